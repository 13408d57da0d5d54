package weldpoint.simulation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import weldpoint.audit.AuditEntry;
import weldpoint.audit.AuditLog;
import weldpoint.audit.AuditStore;
import weldpoint.audit.ChangeKind;
import weldpoint.audit.ConfigurationSummary;
import weldpoint.routing.RoutingTable;
import weldpoint.statestore.BrokenAuditSequencer;
import weldpoint.statestore.StateStoreReplica;
import weldpoint.statestore.StoreOperation;
import weldpoint.transport.Compression;
import weldpoint.transport.Message;
import weldpoint.transport.Protocol;
import weldpoint.transport.Serializer;
import weldpoint.transport.StateStoreMessages;
import weldpoint.transport.StoreMessages;

/**
 * Two operators change configurations and evacuations over cuts, freezes, power loss, wiped, slow
 * and full disks and replaced machines.
 */
public final class HistoryTest {
  private static final List<String> SEEDS = List.of("10.0.1.1", "10.0.2.1", "10.0.3.1");
  private static final String[][] MACHINES = {
    {"10.0.1.1", "a", "x"},
    {"10.0.1.2", "a", "x"},
    {"10.0.2.1", "b", "y"},
    {"10.0.3.1", "c", "x"},
    {"10.0.4.1", "d", "y"},
    {"10.0.2.2", "b", "y"}
  };

  @BeforeClass
  public void quiet() {
    java.util.logging.Logger.getLogger("").setLevel(java.util.logging.Level.OFF);
  }

  private static StateStoreSimulation fleet(
      final long seed, final StateStoreSimulation.FaultInjector faultInjector, final long keeps) {
    final StateStoreSimulation simulation = new StateStoreSimulation(seed, SEEDS, true);
    if (faultInjector != null) {
      simulation.faultInjector(faultInjector);
    }
    simulation.keeps(keeps);
    for (final String[] machine : MACHINES) {
      simulation.add(machine[0], machine[1], machine[2]);
      simulation.start(machine[0], true);
    }
    simulation.run(6000);
    return simulation;
  }

  private static byte[] body(final long version, final int choice) {
    return ("{\"version\":\""
            + String.format("%08x", version)
            + "\",\"listeners\":[{\"host\":\"h\",\"rules\":[{\"name\":\"book\",\"routeKind\":\"mutating\",\"match\":{\"pathPrefix\":\"/b/\"},\"action\":{\"service\":\"s"
            + choice
            + "\",\"timeoutMs\":"
            + (1000 + version)
            + ",\"maxAttempts\":1}},{\"name\":\"look\",\"routeKind\":\"idempotent\",\"match\":{\"pathPrefix\":\"/l/\"},\"action\":{\"service\":\"s0\",\"timeoutMs\":900,\"maxAttempts\":2}}]}],\"pools\":[{\"name\":\"s0\"},{\"name\":\"s1\"},{\"name\":\"s2\"}]}")
        .getBytes(StandardCharsets.UTF_8);
  }

  private static StoreMessages.ChangeOrigin cause(final String author, final byte[] body) {
    return new StoreMessages.ChangeOrigin(
        author,
        "10.9.9.9",
        "10.0.1.1",
        body == null
            ? null
            : Compression.deflate(
                Serializer.serialize(ConfigurationSummary.of(RoutingTable.parse(body), body))));
  }

  private static final class Operators {
    private final StateStoreSimulation simulation;
    private final HistoryChecker checker;
    private final List<StoreMessages.StoreRequest> earlier = new ArrayList<>();
    private long version;
    private boolean stopped;

    private Operators(final StateStoreSimulation simulation, final HistoryChecker checker) {
      this.simulation = simulation;
      this.checker = checker;
    }

    private void work(final String author) {
      if (stopped) {
        return;
      }
      final Random random = simulation.random();
      final List<String> running = simulation.running();
      if (!running.isEmpty()) {
        final String at = running.get(random.nextInt(running.size()));
        final int pick = random.nextInt(10);
        if (pick < 5) {
          version += 1 + random.nextInt(3);
          final long sent = version;
          final byte[] body = body(sent, random.nextInt(3));
          checker.offered(sent, AuditEntry.digest(body));
          final StoreMessages.StoreRequest call =
              new StoreMessages.StoreRequest(
                  0,
                  StoreOperation.CONFIGURATION_REPLACE.ordinal(),
                  "",
                  null,
                  sent,
                  0,
                  Compression.deflate(body),
                  cause(author, body));
          earlier.add(call);
          simulation.again(at, call, answer -> acknowledge(sent, answer));
        } else if (pick < 7 && !earlier.isEmpty()) {
          final StoreMessages.StoreRequest call = earlier.get(random.nextInt(earlier.size()));
          simulation.again(at, call, answer -> acknowledge(call.first, answer));
        } else {
          final String zone = "z" + random.nextInt(2);
          simulation.change(
              at,
              StoreOperation.EVACUATE,
              zone,
              random.nextInt(2),
              null,
              cause(author, null),
              answer -> {
                if (answer.status == 200) {
                  checker.evacuated(zone, answer.first);
                }
              });
        }
      }
      simulation.after(40 + random.nextInt(120), () -> work(author));
    }

    private void acknowledge(final long sent, final StoreMessages.StoreResponse answer) {
      if (answer.status == 200 && answer.first == sent) {
        checker.acknowledged(sent);
      }
    }
  }

  private static void trouble(final StateStoreSimulation simulation) {
    final Random random = simulation.random();
    final List<String> running = simulation.running();
    final String one = running.get(random.nextInt(running.size()));
    switch (random.nextInt(9)) {
      case 0 -> {
        simulation.kill(one, true);
        simulation.after(200 + random.nextInt(2000), () -> simulation.start(one, false));
      }
      case 1 -> {
        for (final String address : running) {
          simulation.kill(address, random.nextBoolean());
          simulation.after(200 + random.nextInt(800), () -> simulation.start(address, false));
        }
      }
      case 2 -> {
        for (final String other : running) {
          if (!other.equals(one)) {
            simulation.cut(one, other, true);
            simulation.cut(other, one, random.nextBoolean());
          }
        }
      }
      case 3 -> simulation.freeze(one, true);
      case 4 -> simulation.disk(one, 250);
      case 5 -> simulation.full(one, true);
      case 6 -> simulation.step(one, -5000 + random.nextInt(4000));
      case 7 -> {
        simulation.kill(one, true);
        simulation.damage(one);
        simulation.after(200, () -> simulation.start(one, false));
      }
      default -> {
        simulation.kill(one, true);
        simulation.wipe(one);
        simulation.after(300 + random.nextInt(600), () -> simulation.start(one, false));
      }
    }
    simulation.after(2500, simulation::heal);
  }

  private static void watch(final StateStoreSimulation simulation, final HistoryChecker checker) {
    for (final StateStoreSimulation.Machine machine : simulation.machines().values()) {
      if (machine.replica() != null) {
        checker.look(machine.address, machine.replica().history());
      }
    }
    simulation.after(400, () -> watch(simulation, checker));
  }

  private static List<String> finish(
      final StateStoreSimulation simulation, final HistoryChecker checker) {
    final long[] version = new long[1];
    final String[] digest = {""};
    final Map<String, Long> serials = new HashMap<>();
    for (int round = 0; round < 40 && version[0] == 0; round++) {
      simulation.call(
          simulation.running().get(round % simulation.running().size()),
          StoreOperation.CONFIGURATION_READ,
          "",
          null,
          0,
          0,
          null,
          answer -> {
            if (answer.status == 200) {
              version[0] = answer.first;
              digest[0] = AuditEntry.digest(Compression.inflate(answer.body));
            }
          });
      simulation.run(300);
    }
    final Map<String, AuditLog> logs = new LinkedHashMap<>();
    simulation
        .machines()
        .forEach(
            (address, machine) -> {
              if (machine.replica() != null) {
                logs.put(address, machine.replica().history());
              }
            });
    return checker.finish(logs, version[0], digest[0], serials);
  }

  private static List<String> play(
      final long seed,
      final StateStoreSimulation.FaultInjector faultInjector,
      final int[] changes,
      final long keeps) {
    final StateStoreSimulation simulation = fleet(seed, faultInjector, keeps);
    final HistoryChecker checker = new HistoryChecker();
    final Operators operators = new Operators(simulation, checker);
    operators.work("dispatch lead");
    operators.work("legacy clerk");
    watch(simulation, checker);
    for (int round = 0; round < 4; round++) {
      simulation.run(1500);
      trouble(simulation);
      simulation.run(5000);
    }
    operators.stopped = true;
    simulation.heal();
    simulation.run(12_000);
    changes[0] += checker.count();
    return finish(simulation, checker);
  }

  @Test
  public void everyReplicaHasTheSameHistoryWhateverFails() {
    final int[] changes = new int[1];
    for (long seed = 1; seed <= 60; seed++) {
      final List<String> breaches = play(seed, null, changes, 2000);
      assertTrue(breaches.isEmpty(), "seed " + seed + ": " + breaches);
    }
    assertTrue(changes[0] > 60 * 40, "only " + changes[0] + " changes were acknowledged");
  }

  @Test
  public void trimmingIsAlikeEverywhereAndNeverForgetsWhatIsYoung() {
    for (long seed = 100; seed < 110; seed++) {
      final StateStoreSimulation simulation = fleet(seed, null, 30);
      final HistoryChecker checker = new HistoryChecker();
      final Operators operators = new Operators(simulation, checker);
      operators.work("one");
      watch(simulation, checker);
      for (int round = 0; round < 4; round++) {
        simulation.run(2500);
        trouble(simulation);
        simulation.run(4000);
      }
      operators.stopped = true;
      simulation.heal();
      simulation.run(12_000);
      final List<String> breaches = finish(simulation, checker);
      assertTrue(breaches.isEmpty(), "seed " + seed + ": " + breaches);
      long base = -1;
      for (final StateStoreSimulation.Machine machine : simulation.machines().values()) {
        final AuditLog log = machine.replica().history();
        assertTrue(
            base < 0 || base == log.base(),
            "seed " + seed + ": trimmed up to " + base + " and " + log.base());
        base = log.base();
        assertTrue(
            log.last() - base >= 30 && log.last() - base <= 30 + 60,
            "keeps " + (log.last() - base));
      }
      assertTrue(base > 0, "nothing was trimmed");
    }
  }

  @Test
  public void aReplacedAndAWipedReplicaGiveTheSameHistory() {
    final StateStoreSimulation simulation = fleet(7, null, 2000);
    final HistoryChecker checker = new HistoryChecker();
    final Operators operators = new Operators(simulation, checker);
    operators.work("one");
    simulation.run(4000);
    simulation.kill("10.0.2.1", true);
    simulation.kill("10.0.3.1", true);
    simulation.wipe("10.0.3.1");
    simulation.add("10.0.2.9", "b", "y");
    simulation.run(500);
    simulation.start("10.0.2.9", false);
    simulation.start("10.0.3.1", false);
    simulation.run(9000);
    operators.stopped = true;
    simulation.run(4000);
    assertTrue(finish(simulation, checker).isEmpty());
    final AuditLog wiped = simulation.machines().get("10.0.3.1").replica().history();
    final AuditLog fresh = simulation.machines().get("10.0.2.9").replica().history();
    assertTrue(wiped.last() > 20);
    assertEquals(wiped.digest(), fresh.digest());
    assertEquals(wiped.base(), 0);
    assertEquals(fresh.base(), 0);
  }

  @Test
  public void aChangeThatAltersNothingMakesNoEntryAndTheAuthorIsInIt() {
    final StateStoreSimulation simulation = fleet(9, null, 2000);
    final byte[] first = body(5, 0);
    for (int round = 0; round < 3; round++) {
      simulation.change(
          "10.0.1.1",
          StoreOperation.CONFIGURATION_REPLACE,
          "",
          5,
          Compression.deflate(first),
          cause("customer desk", first),
          answer -> {});
      simulation.change(
          "10.0.2.1",
          StoreOperation.EVACUATE,
          "z",
          1,
          null,
          cause("customer desk", null),
          answer -> {});
      simulation.run(800);
    }
    final byte[] second = body(9, 2);
    simulation.step("10.0.1.1", -100_000);
    simulation.change(
        "10.0.1.1",
        StoreOperation.CONFIGURATION_REPLACE,
        "",
        9,
        Compression.deflate(second),
        cause("dispatch lead", second),
        answer -> {});
    simulation.run(1500);
    final AuditLog log = simulation.machines().get("10.0.4.1").replica().history();
    assertEquals(log.last(), 3);
    final AuditEntry begun =
        AuditEntry.read(
            log.read(AuditEntry.read(log.read(1)).kind() == ChangeKind.CONFIGURATION ? 1 : 2));
    assertEquals(begun.author, "customer desk");
    assertEquals(begun.added, 5);
    final AuditEntry changed = AuditEntry.read(log.read(3));
    assertEquals(changed.author, "dispatch lead");
    assertEquals(changed.changedWriteRoutes, 1);
    assertEquals(changed.changed, 1);
    assertTrue(
        changed
            .changes
            .get(0)
            .startsWith("~ write route h/b/ (book): service s0 -> s2, timeoutMs 1005 -> 1009"),
        changed.changes.toString());
    assertEquals(changed.before, AuditEntry.digest(first));
    assertEquals(changed.after, AuditEntry.digest(second));
  }

  @Test
  public void anOlderStoreBeginsItsHistoryBySayingSo() {
    final StateStoreSimulation simulation =
        fleet(
            11,
            new StateStoreSimulation.FaultInjector() {
              @Override
              public Message pass(final String from, final String to, final Message message) {
                return message;
              }

              @Override
              public void prepare(
                  final StateStoreReplica replica, final AuditStore store, final long keeps) {
                BrokenAuditSequencer.withoutHistory(replica, store, keeps);
              }
            },
            2000);
    final byte[] old = body(3, 1);
    simulation.change(
        "10.0.1.1",
        StoreOperation.CONFIGURATION_REPLACE,
        "",
        3,
        Compression.deflate(old),
        null,
        answer -> {});
    simulation.run(1000);
    simulation.faultInjector(new StateStoreSimulation.FaultInjector() {});
    for (final String address : simulation.running()) {
      simulation.kill(address, false);
      simulation.after(100, () -> simulation.start(address, false));
    }
    simulation.run(6000);
    final AuditLog log = simulation.machines().get("10.0.4.1").replica().history();
    assertEquals(log.last(), 1);
    final AuditEntry entry = AuditEntry.read(log.read(1));
    assertEquals(entry.kind(), ChangeKind.UPGRADE);
    assertEquals(entry.version, 3);
    assertEquals(entry.after, AuditEntry.digest(old));
  }

  @Test
  public void anEntryWrittenAfterItsChangeIsCaught() {
    int caught = 0;
    for (long seed = 1; seed <= 12; seed++) {
      caught +=
          play(
                      seed,
                      new StateStoreSimulation.FaultInjector() {
                        @Override
                        public Message pass(
                            final String from, final String to, final Message message) {
                          if (message instanceof StateStoreMessages.Accept
                              && !((StateStoreMessages.Accept) message).establish) {
                            final StateStoreMessages.Accept accept =
                                (StateStoreMessages.Accept) message;
                            final List<StateStoreMessages.RegisterEntry> entries =
                                new ArrayList<>();
                            for (final StateStoreMessages.RegisterEntry entry :
                                Protocol.emptyIfNull(accept.entries)) {
                              entries.add(
                                  new StateStoreMessages.RegisterEntry(
                                      entry.name,
                                      entry.version,
                                      entry.baseVersion,
                                      entry.delta,
                                      entry.fullValue));
                            }
                            return new StateStoreMessages.Accept(
                                accept.partition,
                                accept.rosterNumber,
                                accept.ballot,
                                false,
                                accept.countedIncarnations,
                                entries);
                          }
                          return message;
                        }
                      },
                      new int[1],
                      2000)
                  .isEmpty()
              ? 0
              : 1;
    }
    assertTrue(caught >= 6, "noticed only " + caught + " times of 12");
  }

  @Test
  public void aSequenceGivenBeforeTheEarlierOneIsDecidedIsCaught() {
    int caught = 0;
    for (long seed = 1; seed <= 12; seed++) {
      caught +=
          play(
                      seed,
                      new StateStoreSimulation.FaultInjector() {
                        @Override
                        public void prepare(
                            final StateStoreReplica replica,
                            final AuditStore store,
                            final long keeps) {
                          BrokenAuditSequencer.withConcurrentChanges(replica, store, keeps);
                        }
                      },
                      new int[1],
                      2000)
                  .isEmpty()
              ? 0
              : 1;
    }
    assertTrue(caught >= 6, "noticed only " + caught + " times of 12");
  }
}
