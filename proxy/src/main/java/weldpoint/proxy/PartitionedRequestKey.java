package weldpoint.proxy;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import weldpoint.ownership.KeyOwners;
import weldpoint.ownership.KeySpace;
import weldpoint.routing.Route;
import weldpoint.upstream.AttemptOutcome;
import weldpoint.upstream.Headers;

/**
 * The key of one request to a partitioned service, and how often its owner was tried. Used by
 * {@link ProxiedRequest} on the traffic thread.
 */
final class PartitionedRequestKey {
  /** The interval at which a waiting request checks who owns the key. */
  static final long OWNER_POLL_MILLIS = 25;

  /** The delay before a rejected request is sent again. */
  static final long RETRY_MILLIS = 60;

  /** The maximum number of sends of one request, including rejected ones. */
  static final int MAX_SENDS = 2;

  private static final int MAX_TRIES = 4;
  private static final double WAIT_TARGET_FRACTION = 0.22;
  private static final long MISDIRECTED_WAIT_MILLIS = 250;
  private static final int MISDIRECTED_REQUEST = 421;

  private final int key;
  private int tries;
  private long rejectedAt = Long.MIN_VALUE / 2;
  private boolean waited;

  private PartitionedRequestKey(final int key) {
    this.key = key;
  }

  /** Returns the key of a request; null if it has no valid key, or more than one. */
  static PartitionedRequestKey of(final HttpHeaders headers) {
    final List<String> values = headers.getAll(Headers.SHARD_KEY);
    final int key = values.size() == 1 ? KeySpace.parse(values.get(0)) : KeySpace.NO_KEY;
    return key == KeySpace.NO_KEY ? null : new PartitionedRequestKey(key);
  }

  int key() {
    return key;
  }

  /**
   * Whether a request may keep waiting for an owner: so briefly that a client whose request is
   * refused can still be served in time elsewhere, or a moment longer after the request was
   * rejected.
   */
  boolean mayWait(final long arrivedAt, final Route route, final long now) {
    return now - arrivedAt < (long) (WAIT_TARGET_FRACTION * route.targetLatencyMillis)
        || now - rejectedAt < MISDIRECTED_WAIT_MILLIS;
  }

  void countWait(final KeyOwners owners) {
    if (!waited) {
      waited = true;
      owners.recordWait();
    }
  }

  /** Counts an attempt; true if one more attempt at the owner is allowed. */
  boolean mayTryAgain() {
    return ++tries < MAX_TRIES;
  }

  /** Handles the end of an attempt. */
  void attemptEnded(
      final KeyOwners owners,
      final String service,
      final AttemptOutcome outcome,
      final HttpResponse head,
      final long durationMillis) {
    if (outcome == AttemptOutcome.ANSWERED) {
      owners.recordResponse(service, key, durationMillis);
    } else if (outcome == AttemptOutcome.NOT_RUN
        && head != null
        && head.status().code() == MISDIRECTED_REQUEST) {
      rejectedAt = System.nanoTime() / 1_000_000;
      owners.recordRejection();
    }
  }
}
