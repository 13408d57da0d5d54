package weldpoint.statestore;

import java.util.ArrayList;
import java.util.List;

/** How far a voter is that ends in order: which partitions the others hold without it. */
final class GracefulLeave {
  /** For how long a voter that ends waits for the others. */
  static final long MOST_MILLIS = 2000;

  private static final long AGAIN_MILLIS = 150;

  private final boolean[] released = new boolean[StateStoreReplica.PARTITIONS];
  private Runnable gone;
  private long roster;
  private long begunAt;
  private long toldAt;

  void begin(final Runnable deed, final long number, final long now) {
    gone = deed;
    roster = number;
    begunAt = now;
    toldAt = now;
  }

  boolean begun() {
    return gone != null;
  }

  /** The roster under which it began; releases under older ones do not count. */
  long roster() {
    return roster;
  }

  Runnable gone() {
    return gone;
  }

  boolean late(final long now) {
    return now - begunAt >= MOST_MILLIS;
  }

  /** Whether it is time to tell the others again. */
  boolean again(final long now) {
    if (now - toldAt < AGAIN_MILLIS) {
      return false;
    }
    toldAt = now;
    return true;
  }

  void released(final List<Integer> partitions) {
    for (final int number : partitions) {
      released[number] = true;
    }
  }

  boolean released() {
    return open().isEmpty();
  }

  /** The partitions that no holder has released. */
  List<Integer> open() {
    final List<Integer> open = new ArrayList<>();
    for (int number = 0; number < released.length; number++) {
      if (!released[number]) {
        open.add(number);
      }
    }
    return open;
  }
}
