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
  private static final long HEARTBEAT_MILLIS = 1500;
  private static final long FAULT_PHASE_MILLIS = 40_000;
  private static final long STEP_MILLIS = 100;

  /** A beat, and the time that registries need to tell each other. */
  private static final long BOUND_MILLIS = HEARTBEAT_MILLIS + 500;

  /** What a registry that starts with an empty disk has to learn first. */
  private static final long BOOTSTRAP_MILLIS = 4000;

  /** One fleet under one seed. */
  private static final class World {
    private final Random random;
    private final SimulatedCoreNetwork network =
        new SimulatedCoreNetwork(REGISTRIES, VOTERS).startAll(true);
    private final long[] startedAt = new long[REGISTRIES + 1];
    private long sequence;
    private long otherUpstreams;
    private long lastFaultAt;
    private long lastHeartbeatAt;
    int faults;

    World(final long seed) {
      random = new Random(seed);
    }

    private int randomRegistry() {
      return 1 + random.nextInt(REGISTRIES);
    }

    private void heartbeat(
        final int registry, final String id, final LifecycleStage stage, final long heartbeatSequence) {
      network.node(registry).core.heartbeat(SimulatedCoreNetwork.upstream(id, stage, heartbeatSequence), network.now);
    }

    /** A call that comes late, twice, or out of order. */
    private void injectFault() {
      faults++;
      lastFaultAt = network.now;
      final long other = 1 + random.nextInt((int) otherUpstreams + 1);
      switch (random.nextInt(6)) {
        case 0 -> heartbeat(randomRegistry(), "late-" + ++otherUpstreams, LifecycleStage.JOINED, 1);
        case 1 -> heartbeat(randomRegistry(), "late-" + other, LifecycleStage.JOINED, 1 + random.nextInt(4));
        case 2 -> heartbeat(randomRegistry(), "late-" + other, LifecycleStage.DRAINING, 1 + random.nextInt(4));
        case 3 -> network.node(randomRegistry()).core.deregister("late-" + other, network.now, network.now);
        case 4 -> {
          heartbeat(randomRegistry(), "sound", LifecycleStage.JOINED, Math.max(1, sequence - random.nextInt(3)));
          heartbeat(randomRegistry(), "sound", LifecycleStage.JOINED, Math.max(1, sequence - random.nextInt(3)));
        }
        default -> {
          final int restarted = randomRegistry();
          network.restart(restarted, random.nextBoolean());
          startedAt[restarted] = network.now;
        }
      }
    }

    private void currentHeartbeat() {
      heartbeat(randomRegistry(), "sound", LifecycleStage.JOINED, ++sequence);
      lastHeartbeatAt = network.now;
    }

    /** The registry that does not have the sound upstream open, though it must; 0 if none. */
    private int registryWithoutCurrent() {
      for (int index = 1; index <= REGISTRIES; index++) {
        final boolean bootstrapped = network.now - startedAt[index] > BOOTSTRAP_MILLIS;
        final weldpoint.transport.RegistryMessages.Registration held =
            network.node(index).core.registrations().get("sound");
        if (bootstrapped && (held == null || !LifecycleStage.of(held).routable())) {
          return index;
        }
      }
      return 0;
    }

    void run() {
      network.advance(BOOTSTRAP_MILLIS);
      currentHeartbeat();
      network.advance(1000);
      final long end = network.now + FAULT_PHASE_MILLIS;
      long nextFaultAt = network.now;
      while (network.now < end) {
        network.advance(STEP_MILLIS);
        if (network.now - lastHeartbeatAt >= HEARTBEAT_MILLIS) {
          currentHeartbeat();
        }
        if (network.now >= nextFaultAt) {
          injectFault();
          nextFaultAt = network.now + random.nextInt(6000);
        }
        final int lacking = registryWithoutCurrent();
        assertTrue(
            lacking == 0 || network.now - lastFaultAt <= BOUND_MILLIS,
            "registry "
                + lacking
                + " has not the sound upstream, "
                + (network.now - lastFaultAt)
                + " ms after the last odd call");
      }
    }
  }

  /** Guards against a late or doubled call of another life that shuts a sound upstream out. */
  @Test
  public void currentUpstreamIsRoutableAgainWithinOneHeartbeatOfALateCall() {
    int faults = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      final World world = new World(seed);
      try {
        world.run();
      } catch (final AssertionError broken) {
        throw new AssertionError("seed " + seed + ": " + broken.getMessage(), broken);
      }
      faults += world.faults;
    }
    assertTrue(faults > 8 * SEEDS, "calls came late: " + faults);
  }
}
