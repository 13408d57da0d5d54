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
 * A registry's status confirms to a proxy that it was sent everything acknowledged up to some time.
 * Checked with seven registries, five of them voters, under cuts in either direction, freezes and
 * restarts, while upstreams leave and configurations change.
 */
public final class ConfirmationProofTest {
  private static final int REGISTRIES = 7;
  private static final int VOTERS = 5;
  private static final int SEEDS = 60;
  private static final int STEPS = 40;

  @BeforeClass
  public void disableLogging() {
    java.util.logging.Logger.getLogger("").setLevel(java.util.logging.Level.OFF);
  }

  /** A change and when it was acknowledged. */
  private record Acknowledged(String upstream, long version, long at) {}

  private final List<Acknowledged> acknowledged = new ArrayList<>();

  private void recordWhenAcknowledged(
      final SimulatedCoreNetwork net,
      final CompletableFuture<Void> change,
      final String upstream,
      final long version) {
    change.thenRun(() -> acknowledged.add(new Acknowledged(upstream, version, net.now)));
  }

  private void drainUpstream(final SimulatedCoreNetwork net, final int registry, final String id) {
    final RegistryCore core = net.node(registry).core;
    core.heartbeat(SimulatedCoreNetwork.upstream(id, LifecycleStage.JOINED, 1), net.now);
    recordWhenAcknowledged(
        net,
        core.heartbeat(SimulatedCoreNetwork.upstream(id, LifecycleStage.DRAINING, 2), net.now),
        id,
        0);
  }

  private void configure(final SimulatedCoreNetwork net, final int registry) {
    net.version++;
    final long version = net.version;
    recordWhenAcknowledged(
        net,
        net.node(registry)
            .core
            .replicateConfiguration(version, SimulatedCoreNetwork.spec(version), net.now),
        null,
        version);
  }

  private static void injectFault(final SimulatedCoreNetwork net, final Random random) {
    final int node = 1 + random.nextInt(REGISTRIES);
    switch (random.nextInt(8)) {
      case 0 -> net.cut(node, true, random.nextBoolean());
      case 1 -> net.cut.clear();
      case 2 -> net.freeze(node);
      case 3 -> net.restart(node, true);
      case 4, 5, 6 -> {
        final String other = "10.0.0." + (1 + random.nextInt(REGISTRIES));
        net.cut("10.0.0." + node, other, true, random.nextBoolean());
      }
      default -> {
        for (int index = 1; index <= REGISTRIES; index++) {
          net.unfreeze(index);
        }
      }
    }
  }

  /** Checks each confirmation sent to a stream after its initial view; returns their number. */
  private int checkConfirmations(final List<Message> sent, final String description) {
    final Set<String> routable = new HashSet<>();
    boolean hasView = false;
    long version = 0;
    int confirmations = 0;
    for (final Message message : sent) {
      if (message instanceof RegistryMessages.View view) {
        hasView = true;
        version = Math.max(version, view.version);
        final List<Registration> received =
            new ArrayList<>(Protocol.emptyIfNull(view.registrations));
        received.addAll(RegistrationBuckets.unpack(view.packedRegistrations));
        for (final Registration one : received) {
          if (LifecycleStage.of(one).routable()) {
            routable.add(one.id);
          } else {
            routable.remove(one.id);
          }
        }
      } else if (hasView
          && message instanceof RegistryMessages.RegistryStatus status
          && status.confirmedClockMillis != null) {
        confirmations++;
        for (final Acknowledged change : acknowledged) {
          if (change.at < status.confirmedClockMillis) {
            assertTrue(
                change.upstream == null
                    ? version >= change.version
                    : !routable.contains(change.upstream),
                description
                    + ": confirmation up to "
                    + status.confirmedClockMillis
                    + " lacks "
                    + change);
          }
        }
      }
    }
    return confirmations;
  }

  /**
   * Guards against violations of CONFIG and DRAIN: a registry that missed a push confirms to its
   * proxies that nothing is missing.
   */
  @Test
  public void confirmedChangesWereSentToTheProxyBefore() {
    int confirmations = 0;
    int changes = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      final Random random = new Random(seed);
      final SimulatedCoreNetwork net = new SimulatedCoreNetwork(REGISTRIES, VOTERS).startAll(true);
      acknowledged.clear();
      net.version = 1;
      net.advance(2500);
      final Map<Integer, Long> incarnations = new HashMap<>();
      for (int step = 0; step < STEPS; step++) {
        for (int index = 1; index <= REGISTRIES; index++) {
          if (incarnations.getOrDefault(index, 0L) != net.node(index).incarnation) {
            incarnations.put(index, net.node(index).incarnation);
            net.node(index).openStream("s" + index, 0);
          }
        }
        if (random.nextInt(4) == 0) {
          injectFault(net, random);
        }
        final int registry = 1 + random.nextInt(REGISTRIES);
        if (!net.node(registry).frozen && random.nextBoolean()) {
          drainUpstream(net, registry, "u" + step);
        } else if (!net.node(registry).frozen) {
          configure(net, registry);
        }
        net.advance(50 + random.nextInt(600));
        for (int index = 1; index <= REGISTRIES; index++) {
          final Map<Object, List<Message>> sent = net.node(index).sentToStreams;
          for (final Map.Entry<Object, List<Message>> stream : sent.entrySet()) {
            checkConfirmations(stream.getValue(), "seed " + seed + ", registry " + index);
          }
        }
      }
      for (int index = 1; index <= REGISTRIES; index++) {
        for (final List<Message> sent : net.node(index).sentToStreams.values()) {
          confirmations += checkConfirmations(sent, "seed " + seed + ", registry " + index);
        }
      }
      changes += acknowledged.size();
    }
    assertTrue(changes > 10 * SEEDS, "too few changes were acknowledged: " + changes);
    assertTrue(confirmations > 50 * SEEDS, "too few confirmations were sent: " + confirmations);
  }
}
