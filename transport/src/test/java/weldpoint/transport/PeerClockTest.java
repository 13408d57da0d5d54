package weldpoint.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.Test;

/** The lower bound of a peer's time is never after the true time, whatever the network delays. */
public final class PeerClockTest {
  private static final long PEER_OFFSET_MILLIS = 700_000;
  private static final long REQUEST_INTERVAL_MILLIS = 500;
  private static final int SEEDS = 200;

  @Test
  public void noBoundBeforeTheFirstResponse() {
    final PeerClock clock = new PeerClock();
    clock.requestSent(10);
    assertNull(clock.localLowerBound(5, 20));
  }

  @Test
  public void aSlowResponseDoesNotRaiseTheBound() {
    final PeerClock clock = new PeerClock();
    clock.requestSent(1000);
    clock.responseReceived(1010 + PEER_OFFSET_MILLIS, 6000);
    assertEquals(clock.localLowerBound(1010 + PEER_OFFSET_MILLIS, 6000), Long.valueOf(1000));
  }

  /** Random delays in both directions, and a peer whose clock runs up to 1 % fast or slow. */
  @Test
  public void theBoundIsNeverAfterTheTrueTime() {
    for (int seed = 0; seed < SEEDS; seed++) {
      final Random random = new Random(seed);
      final double rate = 1 + (random.nextDouble() - 0.5) / 50;
      final PeerClock clock = new PeerClock();
      long now = 1000;
      for (int question = 0; question < 200; question++) {
        clock.requestSent(now);
        final long there = now + 1 + random.nextInt(300);
        final long back = there + 1 + random.nextInt(300);
        clock.responseReceived((long) (there * rate) + PEER_OFFSET_MILLIS, back);
        final long moment = back - random.nextInt(200);
        final long peer = (long) (moment * rate) + PEER_OFFSET_MILLIS;
        final long bound = clock.localLowerBound(peer, back);
        assertTrue(bound <= moment + 1, "seed " + seed + ": " + bound + " is after " + moment);
        assertTrue(moment - bound < 1000, "seed " + seed + ": " + (moment - bound) + " ms too low");
        now = back + random.nextInt((int) REQUEST_INTERVAL_MILLIS);
      }
    }
  }
}
