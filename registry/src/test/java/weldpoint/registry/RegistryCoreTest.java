package weldpoint.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.Test;
import weldpoint.transport.Message;
import weldpoint.transport.RegistryMessages.Registration;
import weldpoint.transport.Serializer;
import weldpoint.transport.StateStoreMessages;
import weldpoint.transport.StoreMessages;

/**
 * Three registries that exchange messages directly, on a fake clock, with disks that sync on
 * command.
 */
public final class RegistryCoreTest {
  private static final List<String> SEEDS = List.of("10.0.0.1", "10.0.0.2", "10.0.0.3");

  private static final class Network {
    final Map<String, RegistryCore> cores = new LinkedHashMap<>();
    final Map<String, List<Runnable>> pendingSyncs = new HashMap<>();
    final List<Runnable> queue = new ArrayList<>();
    final List<String> down = new ArrayList<>();
    long now = 1000;

    Network() {
      for (final String address : SEEDS) {
        pendingSyncs.put(address, new ArrayList<>());
        cores.put(
            address,
            new RegistryCore(
                address,
                SEEDS,
                true,
                1500,
                new Random(address.hashCode()),
                new RegistryCore.Environment() {
                  @Override
                  public boolean sendToMember(final String to, final Message message) {
                    if (down.contains(to) || down.contains(address) || !cores.containsKey(to)) {
                      return false;
                    }
                    queue.add(
                        () ->
                            cores
                                .get(to)
                                .receive(
                                    address,
                                    message,
                                    answer ->
                                        queue.add(
                                            () ->
                                                cores
                                                    .get(address)
                                                    .receive(to, answer, ignored -> {}, now)),
                                    now));
                    return true;
                  }

                  @Override
                  public String diskCounters() {
                    return "disk 1536 KB of " + address;
                  }

                  @Override
                  public boolean sendToReplica(
                      final String to, final StoreMessages.StoreRequest call) {
                    return false;
                  }

                  @Override
                  public void sendToStream(final Object stream, final Message message) {}

                  @Override
                  public void append(final byte[] record, final Runnable synced) {
                    pendingSyncs.get(address).add(synced);
                  }

                  @Override
                  public void updatePeers(final List<String> members) {}
                }));
      }
      final List<StateStoreMessages.Voter> voters = new ArrayList<>();
      for (final String seed : SEEDS) {
        voters.add(new StateStoreMessages.Voter(seed, seed, "r", List.of()));
      }
      final byte[] record =
          Serializer.serialize(
              PersistedRecord.membership(null, new StateStoreMessages.Roster(1, voters)));
      cores.values().forEach(core -> core.start(List.of(record), now));
    }

    void deliverMessages() {
      while (!queue.isEmpty()) {
        queue.remove(0).run();
      }
    }

    void sync(final String address) {
      final List<Runnable> due = new ArrayList<>(pendingSyncs.get(address));
      pendingSyncs.get(address).clear();
      due.forEach(Runnable::run);
    }

    void advance(final long millis) {
      for (long step = 0; step < millis; step += 100) {
        now += 100;
        cores.forEach(
            (address, core) -> {
              if (!down.contains(address)) {
                core.tick(now);
              }
            });
        deliverMessages();
        SEEDS.forEach(this::sync);
        deliverMessages();
      }
    }
  }

  private static Registration heartbeat(
      final String id, final String address, final LifecycleStage stage, final long sequence) {
    return new Registration(id, "s", address, "z", "v", 4, stage.ordinal(), sequence, 1, 0);
  }

  @Test
  public void statusReportsDiskUsage() {
    final Network net = new Network();
    assertEquals(net.cores.get(SEEDS.get(1)).status(net.now).disk(), "disk 1536 KB of 10.0.0.2");
  }

  @Test
  public void drainIsAcknowledgedOnlyOnceAMajorityOfDisksHasIt() {
    final Network net = new Network();
    final RegistryCore first = net.cores.get(SEEDS.get(0));
    first.heartbeat(heartbeat("i", "10.9.0.1:80", LifecycleStage.JOINED, 1), net.now);
    net.advance(200);
    final CompletableFuture<Void> done =
        first.heartbeat(heartbeat("i", "10.9.0.1:80", LifecycleStage.DRAINING, 2), net.now);
    net.deliverMessages();
    net.sync(SEEDS.get(0));
    net.deliverMessages();
    assertFalse(done.isDone(), "one disk of three is no majority");
    net.sync(SEEDS.get(1));
    net.deliverMessages();
    assertTrue(done.isDone() && !done.isCompletedExceptionally());
  }

  @Test
  public void drainIsNotAcknowledgedWithoutAMajority() {
    final Network net = new Network();
    net.down.add(SEEDS.get(1));
    net.down.add(SEEDS.get(2));
    final CompletableFuture<Void> done =
        net.cores
            .get(SEEDS.get(0))
            .heartbeat(heartbeat("i", "10.9.0.1:80", LifecycleStage.DRAINING, 2), net.now);
    net.advance(1500);
    assertTrue(done.isCompletedExceptionally());
  }

  @Test
  public void newUpstreamAtAnAddressLapsesTheOldOneEverywhere() {
    final Network net = new Network();
    net.cores
        .get(SEEDS.get(0))
        .heartbeat(heartbeat("old", "10.9.0.1:80", LifecycleStage.JOINED, 1), net.now);
    net.advance(300);
    net.cores
        .get(SEEDS.get(2))
        .heartbeat(heartbeat("old", "10.9.0.1:80", LifecycleStage.JOINED, 5), net.now);
    net.cores
        .get(SEEDS.get(1))
        .heartbeat(heartbeat("new", "10.9.0.1:80", LifecycleStage.JOINED, 1), net.now);
    for (int second = 0; second < 10; second++) {
      net.advance(300);
      assertStageEverywhere(net, "old", LifecycleStage.LAPSED);
      assertStageEverywhere(net, "new", LifecycleStage.JOINED);
      net.advance(700);
    }
    assertFalse(LifecycleStage.LAPSED.routable(), "no requests are sent to a lapsed upstream");
  }

  private static void assertStageEverywhere(
      final Network net, final String id, final LifecycleStage stage) {
    for (final RegistryCore core : net.cores.values()) {
      assertEquals(LifecycleStage.of(core.registrations().get(id)), stage, id);
    }
  }

  @Test
  public void newUpstreamAtTheAddressOfADrainingOneRemovesIt() {
    final Network net = new Network();
    final RegistryCore core = net.cores.get(SEEDS.get(0));
    core.heartbeat(heartbeat("old", "10.9.0.1:80", LifecycleStage.JOINED, 1), net.now);
    core.heartbeat(heartbeat("old", "10.9.0.1:80", LifecycleStage.DRAINING, 2), net.now);
    core.heartbeat(heartbeat("new", "10.9.0.1:80", LifecycleStage.JOINED, 1), net.now);
    net.advance(300);
    core.heartbeat(heartbeat("old", "10.9.0.1:80", LifecycleStage.JOINED, 3), net.now);
    net.advance(300);
    assertStageEverywhere(net, "old", LifecycleStage.REMOVED);
  }

  /**
   * Guards against a late first heartbeat of another process that removed a healthy upstream's
   * registration for good, although each of the healthy upstream's heartbeats was acknowledged.
   */
  @Test
  public void lateFirstHeartbeatLapsesTheCurrentUpstreamForAtMostOneHeartbeat() {
    for (final int late : new int[] {0, 1, 2}) {
      final Network net = new Network();
      long sequence = 0;
      for (int round = 0; round < 3; round++) {
        final RegistryCore core = net.cores.get(SEEDS.get(round));
        core.heartbeat(
            heartbeat("sound", "10.9.0.1:80", LifecycleStage.JOINED, ++sequence), net.now);
        net.advance(1500);
      }
      net.cores
          .get(SEEDS.get(late))
          .heartbeat(heartbeat("late", "10.9.0.1:80", LifecycleStage.JOINED, 1), net.now);
      net.advance(1500);
      for (int round = 0; round < 4; round++) {
        final RegistryCore core = net.cores.get(SEEDS.get(round % 3));
        core.heartbeat(
            heartbeat("sound", "10.9.0.1:80", LifecycleStage.JOINED, ++sequence), net.now);
        net.advance(300);
        assertStageEverywhere(net, "sound", LifecycleStage.JOINED);
        net.advance(1200);
      }
      assertStageEverywhere(net, "late", LifecycleStage.LAPSED);
    }
  }

  /**
   * Guards against two late first heartbeats within one heartbeat interval that removed a healthy
   * upstream for good.
   */
  @Test
  public void twoLateFirstHeartbeatsRemoveNoUpstream() {
    final Network net = new Network();
    net.cores
        .get(SEEDS.get(0))
        .heartbeat(heartbeat("sound", "10.9.0.1:80", LifecycleStage.JOINED, 1), net.now);
    net.advance(300);
    net.cores
        .get(SEEDS.get(1))
        .heartbeat(heartbeat("late-1", "10.9.0.1:80", LifecycleStage.JOINED, 1), net.now);
    net.advance(300);
    net.cores
        .get(SEEDS.get(2))
        .heartbeat(heartbeat("late-2", "10.9.0.1:80", LifecycleStage.JOINED, 1), net.now);
    net.advance(300);
    net.cores
        .get(SEEDS.get(0))
        .heartbeat(heartbeat("sound", "10.9.0.1:80", LifecycleStage.JOINED, 2), net.now);
    net.advance(300);
    assertStageEverywhere(net, "sound", LifecycleStage.JOINED);
  }

  /**
   * Guards against a late drain of an unknown upstream that made a healthy one at the same address
   * unroutable.
   */
  @Test
  public void lateDrainOfAnUnknownUpstreamLapsesNobody() {
    final Network net = new Network();
    net.cores
        .get(SEEDS.get(0))
        .heartbeat(heartbeat("sound", "10.9.0.1:80", LifecycleStage.JOINED, 1), net.now);
    net.advance(300);
    net.cores
        .get(SEEDS.get(1))
        .heartbeat(heartbeat("late", "10.9.0.1:80", LifecycleStage.DRAINING, 7), net.now);
    net.advance(300);
    assertStageEverywhere(net, "sound", LifecycleStage.JOINED);
    assertStageEverywhere(net, "late", LifecycleStage.DRAINING);
  }

  @Test
  public void lateHeartbeatOfACrashedUpstreamIsUndoneWithinAFewHeartbeats() {
    final Network net = new Network();
    net.cores
        .get(SEEDS.get(0))
        .heartbeat(heartbeat("old", "10.9.0.1:80", LifecycleStage.JOINED, 4), net.now);
    net.advance(300);
    long sequence = 0;
    net.cores
        .get(SEEDS.get(1))
        .heartbeat(heartbeat("new", "10.9.0.1:80", LifecycleStage.JOINED, ++sequence), net.now);
    net.advance(300);
    net.cores
        .get(SEEDS.get(2))
        .heartbeat(heartbeat("old", "10.9.0.1:80", LifecycleStage.JOINED, 5), net.now);
    for (int round = 0; round < 4; round++) {
      net.advance(1200);
      final RegistryCore core = net.cores.get(SEEDS.get(round % 3));
      core.heartbeat(heartbeat("new", "10.9.0.1:80", LifecycleStage.JOINED, ++sequence), net.now);
      net.advance(300);
      assertStageEverywhere(net, "new", LifecycleStage.JOINED);
    }
    assertStageEverywhere(net, "old", LifecycleStage.LAPSED);
  }

  @Test
  public void gossipRepairsAMissedPush() {
    final Network net = new Network();
    net.down.add(SEEDS.get(2));
    net.cores
        .get(SEEDS.get(0))
        .heartbeat(heartbeat("i", "10.9.0.1:80", LifecycleStage.JOINED, 1), net.now);
    net.advance(500);
    assertFalse(net.cores.get(SEEDS.get(2)).registrations().containsKey("i"));
    net.down.clear();
    net.advance(5000);
    assertTrue(net.cores.get(SEEDS.get(2)).registrations().containsKey("i"));
  }

  @Test
  public void acknowledgedConfigurationIsOnAMajorityOfDisksAndNeverReverts() {
    final Network net = new Network();
    final RegistryCore first = net.cores.get(SEEDS.get(0));
    final CompletableFuture<Void> done = first.replicateConfiguration(7, new byte[] {1}, net.now);
    net.deliverMessages();
    net.sync(SEEDS.get(0));
    net.deliverMessages();
    assertFalse(done.isDone(), "one disk of three is no majority");
    net.sync(SEEDS.get(2));
    net.deliverMessages();
    assertTrue(done.isDone());
    net.cores.get(SEEDS.get(1)).replicateConfiguration(6, new byte[] {2}, net.now);
    net.advance(300);
    for (final RegistryCore core : net.cores.values()) {
      assertTrue(core.counters().endsWith("spec 7"), core.counters());
      final RegistryCore restarted =
          new RegistryCore(
              "10.0.0.9",
              SEEDS,
              false,
              1500,
              new Random(1),
              new RegistryCore.Environment() {
                @Override
                public boolean sendToMember(final String to, final Message message) {
                  return false;
                }

                @Override
                public boolean sendToReplica(
                    final String to, final StoreMessages.StoreRequest call) {
                  return false;
                }

                @Override
                public void sendToStream(final Object stream, final Message message) {}

                @Override
                public void append(final byte[] record, final Runnable synced) {}

                @Override
                public void updatePeers(final List<String> members) {}
              });
      restarted.start(core.snapshot(), net.now);
      assertTrue(
          restarted.counters().endsWith("spec 7"),
          "the configuration is lost after a restart: " + restarted.counters());
    }
  }

  @Test
  public void staleHeartbeatChangesNothing() {
    final Network net = new Network();
    final RegistryCore core = net.cores.get(SEEDS.get(0));
    core.heartbeat(heartbeat("i", "10.9.0.1:80", LifecycleStage.JOINED, 7), net.now);
    assertTrue(
        core.heartbeat(heartbeat("i", "10.9.0.2:80", LifecycleStage.JOINED, 3), net.now).isDone());
    assertEquals(core.registrations().get("i").address, "10.9.0.1:80");
  }
}
