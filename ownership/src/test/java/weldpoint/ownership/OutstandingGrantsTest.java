package weldpoint.ownership;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;
import weldpoint.transport.OwnershipMessages.KeyRange;
import weldpoint.transport.OwnershipMessages.RangeState;

/** Tests from when on it is certain that no upstream holds a key. */
public final class OutstandingGrantsTest {
  private static final long GRANT_MILLIS = 4000;
  private static final long LATE_MILLIS = 1000;
  private static final long SENT_AT = 10_000;
  private static final long COMPLETED_AT = 10_800;

  private static final KeyRange RANGE =
      new KeyRange(0, 65_535, "k-1", "10.0.0.1:80", 7, RangeState.HELD, null);

  private static boolean isFreeAt(final CallResult.Outcome outcome, final long now) {
    final OutstandingGrants grants =
        new OutstandingGrants(GrantTimings.of(GRANT_MILLIS, LATE_MILLIS));
    grants.grantSent(RANGE, SENT_AT);
    grants.grantCompleted(RANGE, outcome, COMPLETED_AT);
    return grants.isFree(RANGE, now);
  }

  /**
   * Guards against a fault in which a grant that the upstream read after its connection was reset
   * was still valid when the assigner considered it expired.
   */
  @Test
  public void aGrantReadAfterItsConnectionResetIsStillCovered() {
    final long startedAt = COMPLETED_AT + LATE_MILLIS;
    final long latestExpiry = startedAt + (long) Math.ceil(GRANT_MILLIS / 0.98);
    assertFalse(isFreeAt(CallResult.Outcome.UNKNOWN, latestExpiry));
    assertTrue(isFreeAt(CallResult.Outcome.UNKNOWN, latestExpiry + 200));
  }

  @Test
  public void anAcknowledgedGrantStartedBeforeItsAcknowledgement() {
    final long latestExpiry = COMPLETED_AT + (long) Math.ceil(GRANT_MILLIS / 0.98);
    assertFalse(isFreeAt(CallResult.Outcome.DONE, latestExpiry));
    assertTrue(isFreeAt(CallResult.Outcome.DONE, latestExpiry + 200));
    assertTrue(isFreeAt(CallResult.Outcome.NOT_SENT, COMPLETED_AT));
    assertTrue(isFreeAt(CallResult.Outcome.REFUSED, COMPLETED_AT));
  }
}
