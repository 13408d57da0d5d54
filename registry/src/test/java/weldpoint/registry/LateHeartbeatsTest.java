package weldpoint.registry;

import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.Test;

/**
 * Calls of upstreams that arrive late, duplicated or out of order, at any registry, including one
 * that has just started with an empty disk: the upstream that continues to send heartbeats from an
 * address is routable at all registries again within a fixed bound.
 */
public final class LateHeartbeatsTest {
  private static final int SEEDS = Integer.getInteger("beats.seeds", 60);
  private static final int REGISTRIES = 5;
  private static final int VOTERS = 3;
  private static final long HEARTBEAT_MILLIS = 1500;
  private static final long FAULT_PHASE_MILLIS = 40_000;
  private static final long STEP_MILLIS = 100;

  /** A heartbeat interval, and the time that registries need to propagate it. */
  private static final long BOUND_MILLIS = HEARTBEAT_MILLIS + 500;

  /** The time that a registry needs to bootstrap from an empty disk. */
  private static final long BOOTSTRAP_MILLIS = 4000;

  /** One simulated fleet, driven by one random seed. */
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
        final int registry,
        final String id,
        final LifecycleStage stage,
        final long heartbeatSequence) {
      network
          .node(registry)
          .core
          .heartbeat(SimulatedCoreNetwork.upstream(id, stage, heartbeatSequence), network.now);
    }

    /** Sends a call that is late, duplicated or out of order, or restarts a registry. */
    private void injectFault() {
      faults++;
      lastFaultAt = network.now;
      final long other = 1 + random.nextInt((int) otherUpstreams + 1);
      switch (random.nextInt(6)) {
        case 0 -> heartbeat(randomRegistry(), "late-" + ++otherUpstreams, LifecycleStage.JOINED, 1);
        case 1 ->
            heartbeat(
                randomRegistry(), "late-" + other, LifecycleStage.JOINED, 1 + random.nextInt(4));
        case 2 ->
            heartbeat(
                randomRegistry(), "late-" + other, LifecycleStage.DRAINING, 1 + random.nextInt(4));
        case 3 ->
            network
                .node(randomRegistry())
                .core
                .deregister("late-" + other, network.now, network.now);
        case 4 -> {
          heartbeat(
              randomRegistry(),
              "sound",
              LifecycleStage.JOINED,
              Math.max(1, sequence - random.nextInt(3)));
          heartbeat(
              randomRegistry(),
              "sound",
              LifecycleStage.JOINED,
              Math.max(1, sequence - random.nextInt(3)));
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

    /** A registry that must have the healthy upstream as routable but does not; 0 if none. */
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
                + " does not have the healthy upstream as routable, "
                + (network.now - lastFaultAt)
                + " ms after the last fault");
      }
    }
  }

  /**
   * Guards against a late or duplicated call of another process that makes a healthy upstream at
   * the same address unroutable.
   */
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
    assertTrue(faults > 8 * SEEDS, "too few faults were injected: " + faults);
  }
}
