package weldpoint.statestore;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;
import weldpoint.transport.StoreMessages;

/**
 * Decisions are remembered by caller and number, for as long as a copy of a request can be in
 * transit, and up to a maximum number.
 */
public final class RecentCallsTest {
  private static StoreMessages.StoreRequest call(final long caller, final long number) {
    return new StoreMessages.StoreRequest(
            number, StoreOperation.NUMBER.ordinal(), "n", null, 0, 0, null)
        .withCaller(caller);
  }

  @Test
  public void aCallIsKnownByCallerAndNumber() {
    final RecentCalls recent = new RecentCalls();
    recent.remember(call(1, 5), Decision.confirm(200, 77), 0);
    assertEquals(recent.find(call(1, 5)).first, 77);
    assertNull(recent.find(call(2, 5)), "the same number from another incarnation of the caller");
    assertNull(recent.find(call(1, 6)));
    recent.remember(call(0, 5), Decision.confirm(200, 78), 0);
    assertNull(recent.find(call(0, 5)), "a request without a caller");
  }

  @Test
  public void itIsRememberedAsLongAsACopyCanBeUnderWay() {
    final RecentCalls recent = new RecentCalls();
    recent.remember(call(1, 5), Decision.confirm(200, 77), 1000);
    assertFalse(recent.isFull(1000 + RecentCalls.RETENTION_MILLIS));
    assertEquals(recent.size(), 1);
    assertTrue(RecentCalls.RETENTION_MILLIS >= 900 + StateStoreReplica.MAX_REQUEST_AGE_MILLIS);
    assertFalse(recent.isFull(1001 + RecentCalls.RETENTION_MILLIS));
    assertEquals(recent.size(), 0);
  }

  @Test
  public void noMoreThanItsBoundIsKeptAndNothingYoungIsForgotten() {
    final RecentCalls recent = new RecentCalls();
    for (int number = 1; number <= RecentCalls.MAX_CALLS; number++) {
      assertFalse(recent.isFull(number / 10));
      recent.remember(call(1, number), Decision.confirm(200, number), number / 10);
    }
    assertTrue(recent.isFull(1000));
    assertEquals(recent.find(call(1, 1)).first, 1);
    assertFalse(recent.isFull(RecentCalls.RETENTION_MILLIS + 1));
  }
}
