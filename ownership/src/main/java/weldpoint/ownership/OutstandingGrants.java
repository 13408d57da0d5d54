package weldpoint.ownership;

import java.util.Arrays;
import weldpoint.common.Invariant;
import weldpoint.transport.OwnershipMessages.KeyRange;

/**
 * The grants that may still be valid, by slot: who may hold a slot and until when at the latest.
 * The record is conservative: whatever the assigner cannot know (grants of another assigner, a call
 * whose response never came) counts as held for the longest possible time. Not thread-safe; times
 * are milliseconds of the steady clock.
 */
final class OutstandingGrants {
  private static final Invariant ONE_HOLDER = Invariant.named("one holder per key");
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final GrantTimings timings;
  private final String[] holder = new String[KeySpace.SLOTS];
  private final long[] mayHoldUntil = new long[KeySpace.SLOTS];
  private final int[] inFlight = new int[KeySpace.SLOTS];
  private final long[] acknowledgedAt = new long[KeySpace.SLOTS];
  private final boolean[] released = new boolean[KeySpace.SLOTS];

  OutstandingGrants(final GrantTimings timings) {
    this.timings = timings;
    Arrays.fill(mayHoldUntil, NEVER);
    Arrays.fill(acknowledgedAt, NEVER);
  }

  /**
   * Records that another assigner may have granted this range to its holder, at an unknown time.
   */
  void addInherited(final KeyRange range, final long now) {
    for (int slot = firstSlot(range); slot <= lastSlot(range); slot++) {
      holder[slot] = range.holder;
      mayHoldUntil[slot] = timings.latestExpiry(timings.latestPredecessorStart(now));
      acknowledgedAt[slot] = NEVER;
      released[slot] = false;
    }
  }

  /** Records that a grant is being sent; checks that no other upstream may still hold the range. */
  void grantSent(final KeyRange range, final long now) {
    for (int slot = firstSlot(range); slot <= lastSlot(range); slot++) {
      final int checkedSlot = slot;
      ONE_HOLDER.check(
          range.holder.equals(holder[slot]) || isFree(slot, now),
          () -> range + ", slot " + checkedSlot + " may still be held by " + holder[checkedSlot]);
      if (!range.holder.equals(holder[slot])) {
        acknowledgedAt[slot] = NEVER;
      }
      holder[slot] = range.holder;
      released[slot] = false;
      inFlight[slot]++;
    }
  }

  /** Records how a grant call ended. */
  void grantCompleted(final KeyRange range, final CallResult.Outcome outcome, final long now) {
    for (int slot = firstSlot(range); slot <= lastSlot(range); slot++) {
      inFlight[slot]--;
      if (!range.holder.equals(holder[slot])) {
        continue;
      }
      if (outcome == CallResult.Outcome.DONE) {
        acknowledgedAt[slot] = now;
        mayHoldUntil[slot] = Math.max(mayHoldUntil[slot], timings.latestExpiry(now));
      } else if (outcome == CallResult.Outcome.UNKNOWN) {
        final long startedBy = timings.latestStart(now);
        mayHoldUntil[slot] = Math.max(mayHoldUntil[slot], timings.latestExpiry(startedBy));
      }
    }
  }

  /** Records that the holder has released this range. */
  void markReleased(final KeyRange range) {
    for (int slot = firstSlot(range); slot <= lastSlot(range); slot++) {
      if (range.holder.equals(holder[slot])) {
        released[slot] = true;
      }
    }
  }

  private boolean isFree(final int slot, final long now) {
    return inFlight[slot] == 0 && (released[slot] || now > mayHoldUntil[slot]);
  }

  /** Whether it is certain that no upstream holds any key of this range. */
  boolean isFree(final KeyRange range, final long now) {
    for (int slot = firstSlot(range); slot <= lastSlot(range); slot++) {
      if (!isFree(slot, now)) {
        return false;
      }
    }
    return true;
  }

  /** Whether a grant call for any key of this range is in progress. */
  boolean inFlight(final KeyRange range) {
    for (int slot = firstSlot(range); slot <= lastSlot(range); slot++) {
      if (inFlight[slot] > 0) {
        return true;
      }
    }
    return false;
  }

  /** Returns when the holder last acknowledged all of this range; a time long ago if it has not. */
  long acknowledgedAt(final KeyRange range) {
    long oldest = Long.MAX_VALUE;
    for (int slot = firstSlot(range); slot <= lastSlot(range); slot++) {
      final boolean sameHolder = range.holder.equals(holder[slot]);
      oldest = Math.min(oldest, sameHolder ? acknowledgedAt[slot] : NEVER);
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
