package weldpoint.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.Test;

/** The bound that a peer's clock is given never lies after the truth, whatever the line does. */
public final class PeerClockTest {
  private static final long PEER_OFFSET_MILLIS = 700_000;
  private static final long QUESTION_MILLIS = 500;
  private static final int SEEDS = 200;

  @Test
  public void nothingIsKnownBeforeAnAnswer() {
    final PeerClock clock = new PeerClock();
    clock.asked(10);
    assertNull(clock.notAfter(5, 20));
  }

  @Test
  public void anAnswerThatWasLongOnItsWayBackDoesNotMakeThePeerLookLater() {
    final PeerClock clock = new PeerClock();
    clock.asked(1000);
    clock.answered(1010 + PEER_OFFSET_MILLIS, 6000);
    assertEquals(clock.notAfter(1010 + PEER_OFFSET_MILLIS, 6000), Long.valueOf(1000));
  }

  /** Delays at random both ways, and a peer whose clock runs up to one part in 100 fast or slow. */
  @Test
  public void theBoundIsNeverAfterTheTruth() {
    for (int seed = 0; seed < SEEDS; seed++) {
      final Random random = new Random(seed);
      final double rate = 1 + (random.nextDouble() - 0.5) / 50;
      final PeerClock clock = new PeerClock();
      long now = 1000;
      for (int question = 0; question < 200; question++) {
        clock.asked(now);
        final long there = now + 1 + random.nextInt(300);
        final long back = there + 1 + random.nextInt(300);
        clock.answered((long) (there * rate) + PEER_OFFSET_MILLIS, back);
        final long moment = back - random.nextInt(200);
        final long peer = (long) (moment * rate) + PEER_OFFSET_MILLIS;
        final long bound = clock.notAfter(peer, back);
        assertTrue(bound <= moment + 1, "seed " + seed + ": " + bound + " is after " + moment);
        assertTrue(moment - bound < 1000, "seed " + seed + ": " + (moment - bound) + " ms too low");
        now = back + random.nextInt((int) QUESTION_MILLIS);
      }
    }
  }
}
