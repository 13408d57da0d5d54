package weldpoint.registry;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import weldpoint.transport.Message;
import weldpoint.transport.Protocol;
import weldpoint.transport.RegistryMessages;
import weldpoint.transport.RegistryMessages.Registration;

/**
 * What a registry tells a proxy that it has been told: seven registries, five of them voters, with
 * cuts either way, freezes and restarts, while upstreams leave and configurations change.
 */
public final class ConfirmationProofTest {
  private static final int REGISTRIES = 7;
  private static final int VOTERS = 5;
  private static final int SEEDS = 60;
  private static final int STEPS = 40;

  @BeforeClass
  public void quiet() {
    java.util.logging.Logger.getLogger("").setLevel(java.util.logging.Level.OFF);
  }

  /** One change and when it was acknowledged. */
  private record Acknowledged(String upstream, long version, long at) {}

  private final List<Acknowledged> acknowledged = new ArrayList<>();

  private void note(
      final SimulatedCoreNetwork net,
      final CompletableFuture<Void> change,
      final String upstream,
      final long version) {
    change.thenRun(() -> acknowledged.add(new Acknowledged(upstream, version, net.now)));
  }

  private void leave(final SimulatedCoreNetwork net, final int registry, final String id) {
    final RegistryCore core = net.node(registry).core;
    core.beat(SimulatedCoreNetwork.upstream(id, LifecycleStage.JOINED, 1), net.now);
    note(
        net,
        core.beat(SimulatedCoreNetwork.upstream(id, LifecycleStage.DRAINING, 2), net.now),
        id,
        0);
  }

  private void configure(final SimulatedCoreNetwork net, final int registry) {
    net.version++;
    final long version = net.version;
    note(
        net,
        net.node(registry).core.spread(version, SimulatedCoreNetwork.spec(version), net.now),
        null,
        version);
  }

  private static void trouble(final SimulatedCoreNetwork net, final Random random) {
    final int one = 1 + random.nextInt(REGISTRIES);
    switch (random.nextInt(8)) {
      case 0 -> net.cut(one, true, random.nextBoolean());
      case 1 -> net.cut.clear();
      case 2 -> net.freeze(one);
      case 3 -> net.restart(one, true);
      case 4, 5, 6 -> {
        final String other = "10.0.0." + (1 + random.nextInt(REGISTRIES));
        net.cut("10.0.0." + one, other, true, random.nextBoolean());
      }
      default -> {
        for (int index = 1; index <= REGISTRIES; index++) {
          net.thaw(index);
        }
      }
    }
  }

  /** Checks each proof that a stream was given after its first view; how many there were. */
  private int check(final List<Message> told, final String what) {
    final Set<String> open = new HashSet<>();
    boolean viewed = false;
    long version = 0;
    int proofs = 0;
    for (final Message message : told) {
      if (message instanceof RegistryMessages.View view) {
        viewed = true;
        version = Math.max(version, view.version);
        final List<Registration> given = new ArrayList<>(Protocol.emptyIfNull(view.registrations));
        given.addAll(RegistrationBuckets.unpack(view.packedRegistrations));
        for (final Registration one : given) {
          if (LifecycleStage.of(one).open()) {
            open.add(one.id);
          } else {
            open.remove(one.id);
          }
        }
      } else if (viewed
          && message instanceof RegistryMessages.RegistryStatus reach
          && reach.confirmedClockMillis != null) {
        proofs++;
        for (final Acknowledged change : acknowledged) {
          if (change.at < reach.confirmedClockMillis) {
            assertTrue(
                change.upstream == null
                    ? version >= change.version
                    : !open.contains(change.upstream),
                what + ": proof up to " + reach.confirmedClockMillis + " lacks " + change);
          }
        }
      }
    }
    return proofs;
  }

  /**
   * Guards against CONFIG and DRAIN: a registry that missed a push tells its proxies that nothing
   * is missing.
   */
  @Test
  public void whatIsProvedToAProxyWasToldToItBefore() {
    int proofs = 0;
    int changes = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      final Random random = new Random(seed);
      final SimulatedCoreNetwork net = new SimulatedCoreNetwork(REGISTRIES, VOTERS).startAll(true);
      acknowledged.clear();
      net.version = 1;
      net.pass(2500);
      final Map<Integer, Long> lives = new HashMap<>();
      for (int step = 0; step < STEPS; step++) {
        for (int index = 1; index <= REGISTRIES; index++) {
          if (lives.getOrDefault(index, 0L) != net.node(index).life) {
            lives.put(index, net.node(index).life);
            net.node(index).opens("s" + index, 0);
          }
        }
        if (random.nextInt(4) == 0) {
          trouble(net, random);
        }
        final int registry = 1 + random.nextInt(REGISTRIES);
        if (!net.node(registry).frozen && random.nextBoolean()) {
          leave(net, registry, "u" + step);
        } else if (!net.node(registry).frozen) {
          configure(net, registry);
        }
        net.pass(50 + random.nextInt(600));
        for (int index = 1; index <= REGISTRIES; index++) {
          final Map<Object, List<Message>> told = net.node(index).told;
          for (final Map.Entry<Object, List<Message>> stream : told.entrySet()) {
            check(stream.getValue(), "seed " + seed + ", registry " + index);
          }
        }
      }
      for (int index = 1; index <= REGISTRIES; index++) {
        for (final List<Message> told : net.node(index).told.values()) {
          proofs += check(told, "seed " + seed + ", registry " + index);
        }
      }
      changes += acknowledged.size();
    }
    assertTrue(changes > 10 * SEEDS, "too few changes were acknowledged: " + changes);
    assertTrue(proofs > 50 * SEEDS, "too few proofs were given: " + proofs);
  }
}
