package weldpoint.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.UUID;

/**
 * The keys that one stand-in upstream holds: grants with rising fences that run out by a clock of
 * its own, which may be slow, and releases that wait for the work under way.
 */
final class GrantedKeys {
  /** How many keys there are. */
  static final int KEY_COUNT = 65_536;

  private static final int STATUS_OK = 200;
  private static final int STATUS_STALE_FENCE = 409;
  private static final int STATUS_BAD_REQUEST = 400;

  private static final int MAX_EVENTS_SHOWN = 12;

  /**
   * A call that came: when its first byte was read and when it was counted, in milliseconds of the
   * steady clock.
   */
  private record Event(String kind, int firstKey, int lastKey, long fence, long readAt, long appliedAt) {
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
          + " counted at "
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
   * Nothing is held yet.
   *
   * @param slowness how much longer than told a grant holds, as a factor
   */
  GrantedKeys(final String instanceId, final double clockFactor, final ExclusiveHolderChecker checker) {
    this.instanceId = instanceId;
    this.clockFactor = clockFactor;
    this.checker = checker;
    checker.register(this);
  }

  String instanceId() {
    return instanceId;
  }

  /**
   * Takes a grant; the status to answer with.
   *
   * @param readAt when the first byte of the call was read
   */
  synchronized int grant(
      final int firstKey, final int lastKey, final long fence, final long holdMillis, final long readAt) {
    final int status = grant(firstKey, lastKey, fence, holdMillis);
    events.add(new Event("grant " + status, firstKey, lastKey, fence, readAt, Clock.millis()));
    return status;
  }

  private int grant(final int firstKey, final int lastKey, final long fence, final long holdMillis) {
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

  /** Stops new work on these keys, waits for what is under way, and gives the handover's token. */
  synchronized String release(final int firstKey, final int lastKey, final long fence, final long readAt)
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

  /** What came of a key here, oldest first, for evidence. */
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

  /** Begins work on a key, if it is held; whether anybody else holds it is judged with that. */
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

  /** Work on a key has ended. */
  void finish(final int key) {
    synchronized (checker) {
      runningRequests[key]--;
      checker.notifyAll();
    }
  }

  private boolean holds(final int key, final long now) {
    return key >= 0 && key < KEY_COUNT && now < expiresAt[key];
  }

  /** The process ends with all that it held, and another life begins, which holds nothing. */
  void restartAs(final String newInstanceId) {
    synchronized (checker) {
      instanceId = newInstanceId;
      java.util.Arrays.fill(expiresAt, 0);
      java.util.Arrays.fill(fences, 0);
    }
  }

  /**
   * Sees to it that no two upstreams of one fleet begin work on a key while both hold it. Whatever
   * changes what an upstream holds does so under the judge's lock, so that a beginning is compared
   * with what the others hold at that very moment, however busy the machine is.
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
          violations.add(now + " two holders: " + describeConflict(key, holder, other));
        }
      }
    }

    private static String describeConflict(final int key, final GrantedKeys holder, final GrantedKeys other) {
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

    /** What was seen. */
    synchronized List<String> violations() {
      return new ArrayList<>(violations);
    }
  }
}
