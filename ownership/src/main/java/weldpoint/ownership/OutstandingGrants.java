package weldpoint.ownership;

import java.util.Arrays;
import weldpoint.common.Invariant;
import weldpoint.transport.OwnershipMessages.KeyRange;

/**
 * What an assigner knows of the grants that may still hold, by slot: who may hold it and until when
 * at the latest. It never knows too little: what it cannot know of (another assigner's grants, an
 * answer that never came) counts as held for the longest time possible.
 */
final class OutstandingGrants {
  private static final Invariant ONE_HOLDER = Invariant.named("one holder per key");
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final GrantTimings timings;
  private final String[] holder = new String[KeySpace.SLOTS];
  private final long[] possibleUntil = new long[KeySpace.SLOTS];
  private final int[] underWay = new int[KeySpace.SLOTS];
  private final long[] acknowledgedAt = new long[KeySpace.SLOTS];
  private final boolean[] released = new boolean[KeySpace.SLOTS];

  OutstandingGrants(final GrantTimings timings) {
    this.timings = timings;
    Arrays.fill(possibleUntil, NEVER);
    Arrays.fill(acknowledgedAt, NEVER);
  }

  /** Another assigner granted this range to its holder, nobody knows when. */
  void inherited(final KeyRange range, final long now) {
    for (int slot = firstSlot(range); slot <= lastSlot(range); slot++) {
      holder[slot] = range.holder;
      possibleUntil[slot] = timings.surelyOver(timings.predecessorSilent(now));
      acknowledgedAt[slot] = NEVER;
      released[slot] = false;
    }
  }

  /** A grant goes out. */
  void sending(final KeyRange range, final long now) {
    for (int slot = firstSlot(range); slot <= lastSlot(range); slot++) {
      final int checked = slot;
      ONE_HOLDER.check(
          range.holder.equals(holder[slot]) || free(slot, now),
          () -> range + ", slot " + checked + " may still be held by " + holder[checked]);
      if (!range.holder.equals(holder[slot])) {
        acknowledgedAt[slot] = NEVER;
      }
      holder[slot] = range.holder;
      released[slot] = false;
      underWay[slot]++;
    }
  }

  /** A grant has ended so. */
  void ended(final KeyRange range, final CallResult.End end, final long now) {
    for (int slot = firstSlot(range); slot <= lastSlot(range); slot++) {
      underWay[slot]--;
      if (!range.holder.equals(holder[slot])) {
        continue;
      }
      if (end == CallResult.End.DONE) {
        acknowledgedAt[slot] = now;
        possibleUntil[slot] = Math.max(possibleUntil[slot], timings.surelyOver(now));
      } else if (end == CallResult.End.UNKNOWN) {
        final long countedBy = timings.surelyCounted(now);
        possibleUntil[slot] = Math.max(possibleUntil[slot], timings.surelyOver(countedBy));
      }
    }
  }

  /** The holder has given this range up. */
  void released(final KeyRange range) {
    for (int slot = firstSlot(range); slot <= lastSlot(range); slot++) {
      if (range.holder.equals(holder[slot])) {
        released[slot] = true;
      }
    }
  }

  private boolean free(final int slot, final long now) {
    return underWay[slot] == 0 && (released[slot] || now > possibleUntil[slot]);
  }

  /** Whether surely nobody holds any key of this range. */
  boolean free(final KeyRange range, final long now) {
    for (int slot = firstSlot(range); slot <= lastSlot(range); slot++) {
      if (!free(slot, now)) {
        return false;
      }
    }
    return true;
  }

  /** Whether a grant of any key of this range is under way. */
  boolean underWay(final KeyRange range) {
    for (int slot = firstSlot(range); slot <= lastSlot(range); slot++) {
      if (underWay[slot] > 0) {
        return true;
      }
    }
    return false;
  }

  /** When the holder acknowledged all of this range last; a time long ago where it did not. */
  long acknowledgedAt(final KeyRange range) {
    long oldest = Long.MAX_VALUE;
    for (int slot = firstSlot(range); slot <= lastSlot(range); slot++) {
      final boolean known = range.holder.equals(holder[slot]);
      oldest = Math.min(oldest, known ? acknowledgedAt[slot] : NEVER);
    }
    return oldest;
  }

  private static int firstSlot(final KeyRange range) {
    return KeySpace.slot(range.first);
  }

  private static int lastSlot(final KeyRange range) {
    return KeySpace.slot(range.last);
  }
}
