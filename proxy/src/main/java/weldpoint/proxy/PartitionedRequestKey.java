package weldpoint.proxy;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import weldpoint.ownership.KeyOwners;
import weldpoint.ownership.KeySpace;
import weldpoint.routing.Route;
import weldpoint.upstream.AttemptOutcome;
import weldpoint.upstream.Headers;

/** The key of one request to a divided service, and how often its holder was tried. */
final class PartitionedRequestKey {
  /** The pause before it is looked again who holds the key. */
  static final long PAUSE_MILLIS = 25;

  /** The pause before a request that was turned away is sent again. */
  static final long RETRY_MILLIS = 60;

  /** The most sends of one request, those that were turned away among them. */
  static final int MOST_SENDS = 2;

  private static final int MOST_TRIES = 4;
  private static final double WAIT_OF_TARGET = 0.22;
  private static final long MISDIRECTED_WAIT_MILLIS = 250;
  private static final int MISDIRECTED = 421;

  private final int key;
  private int tries;
  private long turnedAwayAt = Long.MIN_VALUE / 2;
  private boolean waited;

  private PartitionedRequestKey(final int key) {
    this.key = key;
  }

  /** The key that a request bears; null where there is no proper one, or more than one. */
  static PartitionedRequestKey of(final HttpHeaders headers) {
    final List<String> given = headers.getAll(Headers.SHARD_KEY);
    final int key = given.size() == 1 ? KeySpace.parse(given.get(0)) : KeySpace.NO_KEY;
    return key == KeySpace.NO_KEY ? null : new PartitionedRequestKey(key);
  }

  int key() {
    return key;
  }

  /**
   * Whether a request may wait on for a holder: so briefly that a client whose request is refused
   * still comes back in time, or a moment longer after it was turned away.
   */
  boolean mayWait(final long arrivedAt, final Route route, final long now) {
    return now - arrivedAt < (long) (WAIT_OF_TARGET * route.targetLatencyMillis)
        || now - turnedAwayAt < MISDIRECTED_WAIT_MILLIS;
  }

  void waits(final KeyOwners owners) {
    if (!waited) {
      waited = true;
      owners.waited();
    }
  }

  /** Whether one more try at the holder makes sense; counts it. */
  boolean triesAgain() {
    return ++tries < MOST_TRIES;
  }

  /** A try has ended so. */
  void ended(
      final KeyOwners owners,
      final String service,
      final AttemptOutcome fate,
      final HttpResponse head,
      final long tookMillis) {
    if (fate == AttemptOutcome.ANSWERED) {
      owners.answered(service, key, tookMillis);
    } else if (fate == AttemptOutcome.NOT_RUN
        && head != null
        && head.status().code() == MISDIRECTED) {
      turnedAwayAt = System.nanoTime() / 1_000_000;
      owners.turnedAway();
    }
  }
}
