package weldpoint.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.UUID;

/**
 * The keys that one stand-in upstream holds: grants with rising fences that run out by a clock of
 * its own, which may be slow, and releases that wait for the work under way.
 */
final class HeldKeys {
  /** How many keys there are. */
  static final int KEYS = 65_536;

  private static final int ACCEPTED = 200;
  private static final int OVERTAKEN = 409;
  private static final int MALFORMED = 400;

  private volatile String instance;
  private final double slowness;
  private final HolderJudge judge;
  private final long[] until = new long[KEYS];
  private final long[] fences = new long[KEYS];
  private final int[] running = new int[KEYS];

  /**
   * Nothing is held yet.
   *
   * @param slowness how much longer than told a grant holds, as a factor
   */
  HeldKeys(final String instance, final double slowness, final HolderJudge judge) {
    this.instance = instance;
    this.slowness = slowness;
    this.judge = judge;
    judge.join(this);
  }

  String instance() {
    return instance;
  }

  /** Takes a grant; the status to answer with. */
  synchronized int grant(final int first, final int last, final long fence, final long holdMillis) {
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
  synchronized String release(final int first, final int last, final long fence)
      throws InterruptedException {
    for (int key = first; key <= last; key++) {
      until[key] = 0;
      fences[key] = Math.max(fences[key], fence);
    }
    while (busy(first, last)) {
      wait();
    }
    return UUID.randomUUID().toString();
  }

  private boolean busy(final int first, final int last) {
    for (int key = first; key <= last; key++) {
      if (running[key] > 0) {
        return true;
      }
    }
    return false;
  }

  /** Begins work on a key, if it is held. */
  boolean begin(final int key) {
    synchronized (this) {
      if (!holds(key)) {
        return false;
      }
      running[key]++;
    }
    judge.began(this, key);
    return true;
  }

  /** Work on a key has ended. */
  synchronized void end(final int key) {
    running[key]--;
    notifyAll();
  }

  /** Whether new work on a key may begin. */
  synchronized boolean holds(final int key) {
    return key >= 0 && key < KEYS && Clock.millis() < until[key];
  }

  /** The process ends with all that it held, and another life begins, which holds nothing. */
  synchronized void beginLife(final String id) {
    instance = id;
    java.util.Arrays.fill(until, 0);
    java.util.Arrays.fill(fences, 0);
  }

  /** Sees to it that no two upstreams of one fleet begin work on a key while both hold it. */
  static final class HolderJudge {
    private final List<HeldKeys> all = new ArrayList<>();
    private final List<String> broken = new ArrayList<>();

    private synchronized void join(final HeldKeys one) {
      all.add(one);
    }

    private void began(final HeldKeys one, final int key) {
      final List<HeldKeys> others;
      synchronized (this) {
        others = new ArrayList<>(all);
      }
      for (final HeldKeys other : others) {
        if (other != one && other.holds(key)) {
          note("key " + key + " is held by " + one.instance + " and by " + other.instance);
        }
      }
    }

    private synchronized void note(final String evidence) {
      broken.add(Clock.millis() + " two holders: " + evidence);
    }

    /** What was seen. */
    synchronized List<String> broken() {
      return new ArrayList<>(broken);
    }
  }
}
