package weldpoint.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.UUID;

/**
 * The leases on keys that one stand-in upstream holds. Grants carry rising fences and expire by the
 * upstream's own clock, which may run slowly; a release waits for the running requests on its keys.
 * Grants, releases and requests come from the connection threads of {@link UpstreamServer}.
 */
final class GrantedKeys {
  /** Number of keys of the partitioned service: valid keys are 0 to 65,535. */
  static final int KEY_COUNT = 65_536;

  private static final int STATUS_OK = 200;
  private static final int STATUS_STALE_FENCE = 409;
  private static final int STATUS_BAD_REQUEST = 400;

  private static final int MAX_EVENTS_SHOWN = 12;

  /**
   * A grant or release call, with the times when its first line was read and when it was applied,
   * in milliseconds of {@link Clock}.
   */
  private record Event(
      String kind, int firstKey, int lastKey, long fence, long readAt, long appliedAt) {
    @Override
    public String toString() {
      return kind
          + " of keys "
          + firstKey
          + "-"
          + lastKey
          + " fence "
          + fence
          + " read at "
          + readAt
          + " applied at "
          + appliedAt;
    }
  }

  private final List<Event> events = new ArrayList<>();
  private volatile String instanceId;
  private final double clockFactor;
  private final ExclusiveHolderChecker checker;
  private final long[] expiresAt = new long[KEY_COUNT];
  private final long[] fences = new long[KEY_COUNT];
  private final int[] runningRequests = new int[KEY_COUNT];

  /**
   * Creates an upstream's leases, initially none.
   *
   * @param clockFactor how many times as long as granted a lease lasts; above 1 for a slow clock
   */
  GrantedKeys(
      final String instanceId, final double clockFactor, final ExclusiveHolderChecker checker) {
    this.instanceId = instanceId;
    this.clockFactor = clockFactor;
    this.checker = checker;
    checker.register(this);
  }

  String instanceId() {
    return instanceId;
  }

  /**
   * Applies a grant and returns the HTTP status of the response.
   *
   * @param readAt when the first line of the call was read
   */
  synchronized int grant(
      final int firstKey,
      final int lastKey,
      final long fence,
      final long holdMillis,
      final long readAt) {
    final int status = grant(firstKey, lastKey, fence, holdMillis);
    events.add(new Event("grant " + status, firstKey, lastKey, fence, readAt, Clock.millis()));
    return status;
  }

  private int grant(
      final int firstKey, final int lastKey, final long fence, final long holdMillis) {
    if (firstKey < 0 || lastKey >= KEY_COUNT || firstKey > lastKey || holdMillis <= 0) {
      return STATUS_BAD_REQUEST;
    }
    for (int key = firstKey; key <= lastKey; key++) {
      if (fences[key] > fence) {
        return STATUS_STALE_FENCE;
      }
    }
    final long expiry = Clock.millis() + (long) (holdMillis * clockFactor);
    for (int key = firstKey; key <= lastKey; key++) {
      fences[key] = fence;
      expiresAt[key] = expiry;
    }
    return STATUS_OK;
  }

  /**
   * Ends the leases on these keys, waits for the running requests on them and returns a new
   * handover token.
   */
  synchronized String release(
      final int firstKey, final int lastKey, final long fence, final long readAt)
      throws InterruptedException {
    events.add(new Event("release", firstKey, lastKey, fence, readAt, Clock.millis()));
    for (int key = firstKey; key <= lastKey; key++) {
      expiresAt[key] = 0;
      fences[key] = Math.max(fences[key], fence);
    }
    while (hasRunningRequests(firstKey, lastKey)) {
      wait();
    }
    events.add(new Event("released", firstKey, lastKey, fence, readAt, Clock.millis()));
    return UUID.randomUUID().toString();
  }

  /** Returns the last grants and releases of a key, oldest first, as evidence of a conflict. */
  private List<String> history(final int key) {
    final List<String> all =
        events.stream()
            .filter(event -> event.firstKey <= key && key <= event.lastKey)
            .map(event -> instanceId + " " + event)
            .toList();
    return all.subList(Math.max(0, all.size() - MAX_EVENTS_SHOWN), all.size());
  }

  private boolean hasRunningRequests(final int firstKey, final int lastKey) {
    for (int key = firstKey; key <= lastKey; key++) {
      if (runningRequests[key] > 0) {
        return true;
      }
    }
    return false;
  }

  /**
   * Begins a request on a key if this upstream holds its lease, and checks in the same step that no
   * other upstream holds it.
   */
  boolean tryBegin(final int key) {
    synchronized (checker) {
      final long now = Clock.millis();
      if (!holds(key, now)) {
        return false;
      }
      runningRequests[key]++;
      checker.checkExclusive(this, key, now);
      return true;
    }
  }

  /** Marks a request on a key as finished. */
  void finish(final int key) {
    synchronized (checker) {
      runningRequests[key]--;
      checker.notifyAll();
    }
  }

  private boolean holds(final int key, final long now) {
    return key >= 0 && key < KEY_COUNT && now < expiresAt[key];
  }

  /** Simulates a restart of the upstream under a new instance id: all its leases are lost. */
  void restartAs(final String newInstanceId) {
    synchronized (checker) {
      instanceId = newInstanceId;
      java.util.Arrays.fill(expiresAt, 0);
      java.util.Arrays.fill(fences, 0);
    }
  }

  /**
   * Checks that no two upstreams of one fleet hold the lease on a key when a request on it begins.
   * Requests begin and finish and upstreams restart under the checker's lock, so that the beginning
   * of a request is compared with what the other upstreams hold at that moment, however busy the
   * machine is. Grants and releases hold the lock of their own upstream.
   */
  static final class ExclusiveHolderChecker {
    private final List<GrantedKeys> holders = new ArrayList<>();
    private final List<String> violations = new ArrayList<>();

    private synchronized void register(final GrantedKeys holder) {
      holders.add(holder);
    }

    private void checkExclusive(final GrantedKeys holder, final int key, final long now) {
      for (final GrantedKeys other : holders) {
        if (other != holder && other.holds(key, now)) {
          violations.add(
              now + " two lease holders of one key: " + describeConflict(key, holder, other));
        }
      }
    }

    private static String describeConflict(
        final int key, final GrantedKeys holder, final GrantedKeys other) {
      final List<String> lines = new ArrayList<>();
      lines.add(
          "key "
              + key
              + " is held by "
              + holder.instanceId
              + " until "
              + holder.expiresAt[key]
              + " and by "
              + other.instanceId
              + " until "
              + other.expiresAt[key]);
      lines.addAll(holder.history(key));
      lines.addAll(other.history(key));
      return String.join("\n    ", lines);
    }

    /** Returns the conflicts found so far, with evidence. */
    synchronized List<String> violations() {
      return new ArrayList<>(violations);
    }
  }
}
