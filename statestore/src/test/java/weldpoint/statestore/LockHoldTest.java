package weldpoint.statestore;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import weldpoint.transport.StoreMessages.StoreRequest;

/**
 * Guards against ONE (incident 28): the expiry of a lock with a very long hold overflowed, so that
 * the lock counted as expired at once and was given to the next caller.
 */
public final class LockHoldTest {
  private static final long NOW = 5_000_000_000L;

  @DataProvider
  public Object[][] longHolds() {
    return new Object[][] {
      {60_000L},
      {Long.MAX_VALUE / 2},
      {Long.MAX_VALUE - NOW},
      {Long.MAX_VALUE - 1},
      {Long.MAX_VALUE},
    };
  }

  private static StoreRequest request(
      final StoreOperation operation, final String owner, final long holdMillis, final long fence) {
    return new StoreRequest(1, operation.ordinal(), "l", owner, holdMillis, fence, null);
  }

  private static Decision begin(
      final RegisterState register, final Object lock, final String owner, final long holdMillis) {
    return StoreOperation.LOCK_BEGIN.decide(
        register, lock, request(StoreOperation.LOCK_BEGIN, owner, holdMillis, 0), NOW);
  }

  @Test(dataProvider = "longHolds")
  public void lockIsHeldForAsLongAsItWasTaken(final long holdMillis) {
    final RegisterState register = new RegisterState("lock/l", 0, 1, null);
    final Decision taken = begin(register, null, "one", holdMillis);
    assertEquals(taken.action, Decision.Action.WRITE);
    final StoredValues.Lock lock = (StoredValues.Lock) taken.value;
    assertTrue(register.expiresAt > NOW, "expires at " + register.expiresAt);
    assertEquals(begin(register, lock, "two", 3000).status, 409);
    final Decision renewed =
        StoreOperation.LOCK_HEARTBEAT.decide(
            register,
            lock,
            request(StoreOperation.LOCK_HEARTBEAT, "one", holdMillis, lock.fence),
            NOW);
    assertEquals(renewed.status, 200);
    assertEquals(begin(register, lock, "two", 3000).status, 409, "after a renewal");
  }

  /** A new leader of the partition gives every held lock its whole hold again. */
  @Test(dataProvider = "longHolds")
  public void expiryAfterAChangeOfLeaderDoesNotOverflow(final long holdMillis) {
    assertTrue(RegisterState.lockExpiry(NOW, holdMillis) > NOW);
    assertTrue(RegisterState.lockExpiry(NOW, holdMillis) >= holdMillis);
  }
}
