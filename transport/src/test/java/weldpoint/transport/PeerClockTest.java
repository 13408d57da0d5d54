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
      for (int request = 0; request < 200; request++) {
        clock.requestSent(now);
        final long receivedAt = now + 1 + random.nextInt(300);
        final long answeredAt = receivedAt + 1 + random.nextInt(300);
        clock.responseReceived((long) (receivedAt * rate) + PEER_OFFSET_MILLIS, answeredAt);
        final long trueTime = answeredAt - random.nextInt(200);
        final long peerMillis = (long) (trueTime * rate) + PEER_OFFSET_MILLIS;
        final long bound = clock.localLowerBound(peerMillis, answeredAt);
        assertTrue(bound <= trueTime + 1, "seed " + seed + ": " + bound + " is after " + trueTime);
        assertTrue(
            trueTime - bound < 1000, "seed " + seed + ": " + (trueTime - bound) + " ms too low");
        now = answeredAt + random.nextInt((int) REQUEST_INTERVAL_MILLIS);
      }
    }
  }
}
