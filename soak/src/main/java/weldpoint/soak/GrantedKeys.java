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
  static final int KEYS = 65_536;

  private static final int ACCEPTED = 200;
  private static final int OVERTAKEN = 409;
  private static final int MALFORMED = 400;

  private static final int MOST_SHOWN = 12;

  /**
   * A call that came: when its first byte was read and when it was counted, in milliseconds of the
   * steady clock.
   */
  private record Event(String kind, int first, int last, long fence, long readAt, long countedAt) {
    @Override
    public String toString() {
      return kind
          + " of keys "
          + first
          + "-"
          + last
          + " fence "
          + fence
          + " read at "
          + readAt
          + " counted at "
          + countedAt;
    }
  }

  private final List<Event> events = new ArrayList<>();
  private volatile String instance;
  private final double slowness;
  private final ExclusiveHolderChecker judge;
  private final long[] until = new long[KEYS];
  private final long[] fences = new long[KEYS];
  private final int[] running = new int[KEYS];

  /**
   * Nothing is held yet.
   *
   * @param slowness how much longer than told a grant holds, as a factor
   */
  GrantedKeys(final String instance, final double slowness, final ExclusiveHolderChecker judge) {
    this.instance = instance;
    this.slowness = slowness;
    this.judge = judge;
    judge.join(this);
  }

  String instance() {
    return instance;
  }

  /**
   * Takes a grant; the status to answer with.
   *
   * @param readAt when the first byte of the call was read
   */
  synchronized int grant(
      final int first, final int last, final long fence, final long holdMillis, final long readAt) {
    final int status = grant(first, last, fence, holdMillis);
    events.add(new Event("grant " + status, first, last, fence, readAt, Clock.millis()));
    return status;
  }

  private int grant(final int first, final int last, final long fence, final long holdMillis) {
    if (first < 0 || last >= KEYS || first > last || holdMillis <= 0) {
      return MALFORMED;
    }
    for (int key = first; key <= last; key++) {
      if (fences[key] > fence) {
        return OVERTAKEN;
      }
    }
    final long end = Clock.millis() + (long) (holdMillis * slowness);
    for (int key = first; key <= last; key++) {
      fences[key] = fence;
      until[key] = end;
    }
    return ACCEPTED;
  }

  /** Stops new work on these keys, waits for what is under way, and gives the handover's token. */
  synchronized String release(final int first, final int last, final long fence, final long readAt)
      throws InterruptedException {
    events.add(new Event("release", first, last, fence, readAt, Clock.millis()));
    for (int key = first; key <= last; key++) {
      until[key] = 0;
      fences[key] = Math.max(fences[key], fence);
    }
    while (busy(first, last)) {
      wait();
    }
    events.add(new Event("released", first, last, fence, readAt, Clock.millis()));
    return UUID.randomUUID().toString();
  }

  /** What came of a key here, oldest first, for evidence. */
  private List<String> history(final int key) {
    final List<String> all =
        events.stream()
            .filter(event -> event.first <= key && key <= event.last)
            .map(event -> instance + " " + event)
            .toList();
    return all.subList(Math.max(0, all.size() - MOST_SHOWN), all.size());
  }

  private boolean busy(final int first, final int last) {
    for (int key = first; key <= last; key++) {
      if (running[key] > 0) {
        return true;
      }
    }
    return false;
  }

  /** Begins work on a key, if it is held; whether anybody else holds it is judged with that. */
  boolean begin(final int key) {
    synchronized (judge) {
      final long now = Clock.millis();
      if (!holds(key, now)) {
        return false;
      }
      running[key]++;
      judge.began(this, key, now);
      return true;
    }
  }

  /** Work on a key has ended. */
  void end(final int key) {
    synchronized (judge) {
      running[key]--;
      judge.notifyAll();
    }
  }

  private boolean holds(final int key, final long now) {
    return key >= 0 && key < KEYS && now < until[key];
  }

  /** The process ends with all that it held, and another life begins, which holds nothing. */
  void beginLife(final String id) {
    synchronized (judge) {
      instance = id;
      java.util.Arrays.fill(until, 0);
      java.util.Arrays.fill(fences, 0);
    }
  }

  /**
   * Sees to it that no two upstreams of one fleet begin work on a key while both hold it. Whatever
   * changes what an upstream holds does so under the judge's lock, so that a beginning is compared
   * with what the others hold at that very moment, however busy the machine is.
   */
  static final class ExclusiveHolderChecker {
    private final List<GrantedKeys> all = new ArrayList<>();
    private final List<String> broken = new ArrayList<>();

    private synchronized void join(final GrantedKeys one) {
      all.add(one);
    }

    private void began(final GrantedKeys one, final int key, final long now) {
      for (final GrantedKeys other : all) {
        if (other != one && other.holds(key, now)) {
          broken.add(now + " two holders: " + evidence(key, one, other));
        }
      }
    }

    private static String evidence(final int key, final GrantedKeys one, final GrantedKeys other) {
      final List<String> lines = new ArrayList<>();
      lines.add(
          "key "
              + key
              + " is held by "
              + one.instance
              + " until "
              + one.until[key]
              + " and by "
              + other.instance
              + " until "
              + other.until[key]);
      lines.addAll(one.history(key));
      lines.addAll(other.history(key));
      return String.join("\n    ", lines);
    }

    /** What was seen. */
    synchronized List<String> broken() {
      return new ArrayList<>(broken);
    }
  }
}
