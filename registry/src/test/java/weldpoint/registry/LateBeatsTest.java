package weldpoint.registry;

import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.Test;

/**
 * Calls of upstreams that come late, doubled and in another order, at any registry, also at one
 * that has just joined with an empty disk: the upstream that goes on beating from an address is
 * open at all registries again within a named bound.
 */
public final class LateBeatsTest {
  private static final int SEEDS = Integer.getInteger("beats.seeds", 60);
  private static final int REGISTRIES = 5;
  private static final int VOTERS = 3;
  private static final long BEAT_MILLIS = 1500;
  private static final long TROUBLED_MILLIS = 40_000;
  private static final long STEP_MILLIS = 100;

  /** A beat, and the time that registries need to tell each other. */
  private static final long BOUND_MILLIS = BEAT_MILLIS + 500;

  /** What a registry that starts with an empty disk has to learn first. */
  private static final long LEARNING_MILLIS = 4000;

  /** One fleet under one seed. */
  private static final class World {
    private final Random random;
    private final SimulatedCoreNetwork net =
        new SimulatedCoreNetwork(REGISTRIES, VOTERS).startAll(true);
    private final long[] startedAt = new long[REGISTRIES + 1];
    private long sequence;
    private long lives;
    private long oddAt;
    private long beatAt;
    int odd;

    World(final long seed) {
      random = new Random(seed);
    }

    private int any() {
      return 1 + random.nextInt(REGISTRIES);
    }

    private void beat(
        final int at, final String id, final LifecycleStage stage, final long number) {
      net.node(at).core.heartbeat(SimulatedCoreNetwork.upstream(id, stage, number), net.now);
    }

    /** A call that comes late, twice, or out of order. */
    private void oddCall() {
      odd++;
      oddAt = net.now;
      final long life = 1 + random.nextInt((int) lives + 1);
      switch (random.nextInt(6)) {
        case 0 -> beat(any(), "late-" + ++lives, LifecycleStage.JOINED, 1);
        case 1 -> beat(any(), "late-" + life, LifecycleStage.JOINED, 1 + random.nextInt(4));
        case 2 -> beat(any(), "late-" + life, LifecycleStage.DRAINING, 1 + random.nextInt(4));
        case 3 -> net.node(any()).core.deregister("late-" + life, net.now, net.now);
        case 4 -> {
          beat(any(), "sound", LifecycleStage.JOINED, Math.max(1, sequence - random.nextInt(3)));
          beat(any(), "sound", LifecycleStage.JOINED, Math.max(1, sequence - random.nextInt(3)));
        }
        default -> {
          final int restarted = any();
          net.restart(restarted, random.nextBoolean());
          startedAt[restarted] = net.now;
        }
      }
    }

    private void soundBeat() {
      beat(any(), "sound", LifecycleStage.JOINED, ++sequence);
      beatAt = net.now;
    }

    /** The registry that does not have the sound upstream open, though it must; 0 if none. */
    private int closedAt() {
      for (int index = 1; index <= REGISTRIES; index++) {
        final boolean learned = net.now - startedAt[index] > LEARNING_MILLIS;
        final weldpoint.transport.RegistryMessages.Registration held =
            net.node(index).core.registrations().get("sound");
        if (learned && (held == null || !LifecycleStage.of(held).routable())) {
          return index;
        }
      }
      return 0;
    }

    void play() {
      net.pass(LEARNING_MILLIS);
      soundBeat();
      net.pass(1000);
      final long end = net.now + TROUBLED_MILLIS;
      long next = net.now;
      while (net.now < end) {
        net.pass(STEP_MILLIS);
        if (net.now - beatAt >= BEAT_MILLIS) {
          soundBeat();
        }
        if (net.now >= next) {
          oddCall();
          next = net.now + random.nextInt(6000);
        }
        final int closed = closedAt();
        assertTrue(
            closed == 0 || net.now - oddAt <= BOUND_MILLIS,
            "registry "
                + closed
                + " has not the sound upstream, "
                + (net.now - oddAt)
                + " ms after the last odd call");
      }
    }
  }

  /** Guards against a late or doubled call of another life that shuts a sound upstream out. */
  @Test
  public void aSoundUpstreamIsOpenAgainWithinABeatOfAnyLateCall() {
    int odd = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      final World world = new World(seed);
      try {
        world.play();
      } catch (final AssertionError broken) {
        throw new AssertionError("seed " + seed + ": " + broken.getMessage(), broken);
      }
      odd += world.odd;
    }
    assertTrue(odd > 8 * SEEDS, "calls came late: " + odd);
  }
}
