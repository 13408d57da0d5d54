package weldpoint.statestore;

import java.util.ArrayList;
import java.util.List;

/** The orderly exit of a voter: which partitions a majority has on disk without it. */
final class GracefulLeave {
  /** How long a leaving voter waits for the partitions' leaders. */
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

  boolean isLeaving() {
    return onStopped != null;
  }

  /** The number of the roster when the exit began; releases under older rosters do not count. */
  long roster() {
    return roster;
  }

  Runnable onStopped() {
    return onStopped;
  }

  boolean timedOut(final long now) {
    return now - begunAt >= TIMEOUT_MILLIS;
  }

  /** Whether it is time to announce the exit again. */
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
    return unreleasedPartitions().isEmpty();
  }

  /** The partitions that no leader has released yet. */
  List<Integer> unreleasedPartitions() {
    final List<Integer> unreleased = new ArrayList<>();
    for (int number = 0; number < released.length; number++) {
      if (!released[number]) {
        unreleased.add(number);
      }
    }
    return unreleased;
  }
}
