package weldpoint.statestore;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;
import weldpoint.transport.StoreMessages;

/**
 * What a holder remembers of calls: by caller and number, as long as a copy can be under way, and
 * never more than it may.
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
    assertEquals(recent.before(call(1, 5)).first, 77);
    assertNull(recent.before(call(2, 5)), "another life's number");
    assertNull(recent.before(call(1, 6)));
    recent.remember(call(0, 5), Decision.confirm(200, 78), 0);
    assertNull(recent.before(call(0, 5)), "a call that names nobody");
  }

  @Test
  public void itIsRememberedAsLongAsACopyCanBeUnderWay() {
    final RecentCalls recent = new RecentCalls();
    recent.remember(call(1, 5), Decision.confirm(200, 77), 1000);
    assertFalse(recent.full(1000 + RecentCalls.KEEP_MILLIS));
    assertEquals(recent.size(), 1);
    assertTrue(RecentCalls.KEEP_MILLIS >= 900 + StateStoreReplica.COPY_MILLIS);
    assertFalse(recent.full(1001 + RecentCalls.KEEP_MILLIS));
    assertEquals(recent.size(), 0);
  }

  @Test
  public void noMoreThanItsBoundIsKeptAndNothingYoungIsForgotten() {
    final RecentCalls recent = new RecentCalls();
    for (int number = 1; number <= RecentCalls.MOST; number++) {
      assertFalse(recent.full(number / 10));
      recent.remember(call(1, number), Decision.confirm(200, number), number / 10);
    }
    assertTrue(recent.full(1000));
    assertEquals(recent.before(call(1, 1)).first, 1);
    assertFalse(recent.full(RecentCalls.KEEP_MILLIS + 1));
  }
}
