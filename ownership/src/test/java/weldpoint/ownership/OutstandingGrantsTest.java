package weldpoint.ownership;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;
import weldpoint.transport.OwnershipMessages.KeyRange;
import weldpoint.transport.OwnershipMessages.RangeState;

/** When keys are surely nobody's. */
public final class OutstandingGrantsTest {
  private static final long HOLD_MILLIS = 4000;
  private static final long LATE_MILLIS = 1000;
  private static final long SENT_AT = 10_000;
  private static final long ENDED_AT = 10_800;

  private static final KeyRange RANGE =
      new KeyRange(0, 65_535, "k-1", "10.0.0.1:80", 7, RangeState.HELD, null);

  private static boolean freeAt(final CallResult.End end, final long now) {
    final OutstandingGrants grants =
        new OutstandingGrants(GrantTimings.of(HOLD_MILLIS, LATE_MILLIS));
    grants.sending(RANGE, SENT_AT);
    grants.ended(RANGE, end, ENDED_AT);
    return grants.free(RANGE, now);
  }

  /** Guards against OWNER: a grant that was read after its reset outlasted the wait for it. */
  @Test
  public void aGrantCountedAfterItsResetIsWaitedFor() {
    final long countedAt = ENDED_AT + LATE_MILLIS;
    final long slowestEnd = countedAt + (long) Math.ceil(HOLD_MILLIS / 0.98);
    assertFalse(freeAt(CallResult.End.UNKNOWN, slowestEnd));
    assertTrue(freeAt(CallResult.End.UNKNOWN, slowestEnd + 200));
  }

  @Test
  public void anAnsweredGrantWasCountedBeforeItsAnswer() {
    final long slowestEnd = ENDED_AT + (long) Math.ceil(HOLD_MILLIS / 0.98);
    assertFalse(freeAt(CallResult.End.DONE, slowestEnd));
    assertTrue(freeAt(CallResult.End.DONE, slowestEnd + 200));
    assertTrue(freeAt(CallResult.End.NOT_SENT, ENDED_AT));
    assertTrue(freeAt(CallResult.End.REFUSED, ENDED_AT));
  }
}
