package weldpoint.statestore;

import java.util.ArrayList;
import java.util.List;

/** How far a voter is that ends in order: which partitions the others hold without it. */
final class GracefulLeave {
  /** For how long a voter that ends waits for the others. */
  static final long TIMEOUT_MILLIS = 2000;

  private static final long NOTICE_INTERVAL_MILLIS = 150;

  private final boolean[] released = new boolean[StateStoreReplica.PARTITIONS];
  private Runnable onStopped;
  private long roster;
  private long begunAt;
  private long noticeSentAt;

  void begin(final Runnable whenStopped, final long number, final long now) {
    onStopped = whenStopped;
    roster = number;
    begunAt = now;
    noticeSentAt = now;
  }

  boolean begun() {
    return onStopped != null;
  }

  /** The roster under which it began; releases under older ones do not count. */
  long roster() {
    return roster;
  }

  Runnable onStopped() {
    return onStopped;
  }

  boolean timedOut(final long now) {
    return now - begunAt >= TIMEOUT_MILLIS;
  }

  /** Whether it is time to tell the others again. */
  boolean noticeDue(final long now) {
    if (now - noticeSentAt < NOTICE_INTERVAL_MILLIS) {
      return false;
    }
    noticeSentAt = now;
    return true;
  }

  void released(final List<Integer> partitions) {
    for (final int number : partitions) {
      released[number] = true;
    }
  }

  boolean released() {
    return unreleased().isEmpty();
  }

  /** The partitions that no holder has released. */
  List<Integer> unreleased() {
    final List<Integer> open = new ArrayList<>();
    for (int number = 0; number < released.length; number++) {
      if (!released[number]) {
        open.add(number);
      }
    }
    return open;
  }
}
