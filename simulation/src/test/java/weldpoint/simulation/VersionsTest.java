package weldpoint.simulation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import weldpoint.audit.AuditEntry;
import weldpoint.audit.AuditLog;
import weldpoint.audit.AuditStore;
import weldpoint.audit.CanonicalJson;
import weldpoint.audit.ChangeKind;
import weldpoint.audit.ConfigurationSummary;
import weldpoint.routing.RoutingTable;
import weldpoint.statestore.BrokenAuditSequencer;
import weldpoint.statestore.StateStoreReplica;
import weldpoint.statestore.StoreOperation;
import weldpoint.statestore.StoredValues;
import weldpoint.transport.Compression;
import weldpoint.transport.Message;
import weldpoint.transport.Protocol;
import weldpoint.transport.Serializer;
import weldpoint.transport.StateStoreMessages;
import weldpoint.transport.StoreMessages;

/**
 * Two operators who use the same versions for different configurations, over cuts, freezes, losses
 * of power and wiped disks: a version stands for one.
 */
public final class VersionsTest {
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
      final long seed, final StateStoreSimulation.FaultInjector faultInjector) {
    final StateStoreSimulation simulation = new StateStoreSimulation(seed, SEEDS, true);
    if (faultInjector != null) {
      simulation.faultInjector(faultInjector);
    }
    simulation.keeps(2000);
    for (final String[] machine : MACHINES) {
      simulation.add(machine[0], machine[1], machine[2]);
      simulation.start(machine[0], true);
    }
    simulation.run(6000);
    return simulation;
  }

  private static byte[] body(final long version, final int choice, final boolean rewritten) {
    final String number = String.format("%08x", version);
    final String action =
        "{\"service\":\"s\",\"timeoutMs\":"
            + (1000 + choice)
            + (rewritten ? ".0" : "")
            + ",\"maxAttempts\":1}";
    final String rest =
        "\"listeners\":[{\"host\":\"h\",\"rules\":[{\"name\":\"book\",\"routeKind\":\"mutating\",\"match\":{\"pathPrefix\":\"/b/\"},\"action\":"
            + action
            + "}]}],";
    return (rewritten
            ? "{ \"pools\" : [ {\"name\":\"s\"} ],\n " + rest + "\"version\":\"" + number + "\"}"
            : "{\"version\":\"" + number + "\"," + rest + "\"pools\":[{\"name\":\"s\"}]}")
        .getBytes(StandardCharsets.UTF_8);
  }

  private static StoreMessages.StoreRequest call(
      final long version, final int choice, final boolean rewritten) {
    final byte[] body = body(version, choice, rewritten);
    final StoreMessages.ChangeOrigin origin =
        new StoreMessages.ChangeOrigin(
            "operator " + choice,
            "10.9.9.9",
            "10.0.1.1",
            Compression.deflate(
                Serializer.serialize(ConfigurationSummary.of(RoutingTable.parse(body), body))));
    return new StoreMessages.StoreRequest(
        0,
        StoreOperation.CONFIGURATION_REPLACE.ordinal(),
        "",
        null,
        version,
        0,
        Compression.deflate(body),
        origin,
        CanonicalJson.digest(body));
  }

  private static String content(final long version, final int choice) {
    return java.util.HexFormat.of().formatHex(CanonicalJson.digest(body(version, choice, false)));
  }

  /** What operators were told of each version, and what the history says of it in the end. */
  private static final class Told {
    private final Map<Long, Map<String, List<StoreMessages.StoreResponse>>> answers =
        new TreeMap<>();
    private final List<String> breaches = new ArrayList<>();
    private int accepted;
    private int refused;

    private void told(
        final long version, final String content, final StoreMessages.StoreResponse answer) {
      answers
          .computeIfAbsent(version, key -> new HashMap<>())
          .computeIfAbsent(content, key -> new ArrayList<>())
          .add(answer);
      accepted += answer.status == 200 ? 1 : 0;
      refused += answer.status == 409 ? 1 : 0;
      if (answer.status != 200 && answer.status != 409 && answer.status != 504) {
        breaches.add("version " + version + " was answered " + answer.status);
      }
    }

    private List<String> finish(
        final AuditLog log, final long inForce, final String contentInForce) {
      final Map<Long, AuditEntry> taken = new HashMap<>();
      for (long sequence = 1; sequence <= log.last(); sequence++) {
        final AuditEntry entry = AuditEntry.read(log.read(sequence));
        if (entry.kind() == ChangeKind.CONFIGURATION && taken.put(entry.version, entry) != null) {
          breaches.add("version " + entry.version + " was taken twice");
        }
      }
      answers.forEach(
          (version, contents) -> {
            final AuditEntry entry = taken.get(version);
            final String stands =
                entry == null ? null : java.util.HexFormat.of().formatHex(entry.contentDigest);
            contents.forEach(
                (content, list) -> {
                  for (final StoreMessages.StoreResponse answer : list) {
                    if (entry == null && answer.status == 409) {
                      breaches.add("version " + version + " was refused and stands for nothing");
                    } else if (entry == null && answer.first == version) {
                      breaches.add(
                          "version "
                              + version
                              + " was acknowledged as taken and is not in the history");
                    } else if (entry != null && answer.status == 200 && !content.equals(stands)) {
                      breaches.add(
                          "version "
                              + version
                              + " was acknowledged with another content than it stands for");
                    } else if (entry != null && answer.status == 409) {
                      final StoredValues.TakenVersion named =
                          Serializer.deserialize(answer.body, StoredValues.TakenVersion.class);
                      if (content.equals(stands)) {
                        breaches.add(
                            "version "
                                + version
                                + " was refused with the very content that it stands for");
                      }
                      if (named.version != version
                          || !named.author.equals(entry.author)
                          || named.time != entry.time) {
                        breaches.add(
                            "version "
                                + version
                                + " was refused in the name of "
                                + named.author
                                + " at "
                                + named.time);
                      }
                    }
                  }
                });
          });
      if (taken.get(inForce) == null
          || !java.util.HexFormat.of()
              .formatHex(taken.get(inForce).contentDigest)
              .equals(contentInForce)) {
        breaches.add(
            "in force is version " + inForce + " with a content that it does not stand for");
      }
      return breaches;
    }
  }

  private static final class Operators {
    private final StateStoreSimulation simulation;
    private final Told told;
    private long version;
    private boolean stopped;

    private Operators(final StateStoreSimulation simulation, final Told told) {
      this.simulation = simulation;
      this.told = told;
    }

    private void send(final long number, final int choice) {
      final List<String> running = simulation.running();
      if (!running.isEmpty()) {
        simulation.again(
            running.get(simulation.random().nextInt(running.size())),
            call(number, choice, simulation.random().nextBoolean()),
            answer -> told.told(number, content(number, choice), answer));
      }
    }

    private void work() {
      if (stopped) {
        return;
      }
      final Random random = simulation.random();
      if (random.nextInt(3) == 0 || version == 0) {
        version += 1 + random.nextInt(3);
        final int first = random.nextInt(2);
        send(version, first);
        if (random.nextInt(4) > 0) {
          send(version, 1 - first);
        }
      } else {
        send(
            random.nextInt(3) == 0 ? 1 + random.nextInt((int) version) : version,
            random.nextInt(2));
      }
      simulation.after(30 + random.nextInt(120), this::work);
    }
  }

  private static void trouble(final StateStoreSimulation simulation) {
    final Random random = simulation.random();
    final List<String> running = simulation.running();
    final String one = running.get(random.nextInt(running.size()));
    switch (random.nextInt(6)) {
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
      default -> {
        simulation.kill(one, true);
        simulation.wipe(one);
        simulation.after(300 + random.nextInt(600), () -> simulation.start(one, false));
      }
    }
    simulation.after(2500, simulation::heal);
  }

  private static List<String> play(
      final long seed, final StateStoreSimulation.FaultInjector faultInjector, final int[] counts) {
    final StateStoreSimulation simulation = fleet(seed, faultInjector);
    final Told told = new Told();
    final Operators operators = new Operators(simulation, told);
    operators.work();
    for (int round = 0; round < 3; round++) {
      simulation.run(1500);
      trouble(simulation);
      simulation.run(4500);
    }
    operators.stopped = true;
    simulation.heal();
    simulation.run(8000);
    final long[] inForce = new long[1];
    final String[] content = {""};
    for (int round = 0; round < 40 && inForce[0] == 0; round++) {
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
              inForce[0] = answer.first;
              content[0] =
                  java.util.HexFormat.of()
                      .formatHex(CanonicalJson.digest(Compression.inflate(answer.body)));
            }
          });
      simulation.run(300);
    }
    counts[0] += told.accepted;
    counts[1] += told.refused;
    return told.finish(
        simulation.machines().get("10.0.1.1").replica().history(), inForce[0], content[0]);
  }

  @Test
  public void aVersionStandsForOneConfigurationWhateverFails() {
    final int[] counts = new int[2];
    for (long seed = 1; seed <= 40; seed++) {
      final List<String> breaches = play(seed, null, counts);
      assertTrue(breaches.isEmpty(), "seed " + seed + ": " + breaches);
    }
    assertTrue(
        counts[0] > 40 * 60 && counts[1] > 40 * 40,
        "only " + counts[0] + " were acknowledged and " + counts[1] + " refused");
  }

  @Test
  public void ofTwoThatRaceOneIsTakenAndTheOtherRefused() {
    for (long seed = 1; seed <= 20; seed++) {
      final StateStoreSimulation simulation = fleet(seed, null);
      final int[] statuses = new int[2];
      for (int choice = 0; choice < 2; choice++) {
        race(simulation, choice, statuses);
      }
      simulation.run(3000);
      assertEquals(Math.min(statuses[0], statuses[1]), 200, "seed " + seed);
      assertEquals(Math.max(statuses[0], statuses[1]), 409, "seed " + seed);
    }
  }

  private static void race(
      final StateStoreSimulation simulation, final int choice, final int[] statuses) {
    if (statuses[choice] == 0) {
      simulation.again(
          simulation.running().get(simulation.random().nextInt(6)),
          call(5, choice, false),
          answer -> statuses[choice] = statuses[choice] == 0 ? answer.status : statuses[choice]);
      simulation.after(400, () -> race(simulation, choice, statuses));
    }
  }

  private static int status(
      final StateStoreSimulation simulation,
      final long version,
      final int choice,
      final boolean rewritten) {
    final int[] status = new int[1];
    simulation.again(
        simulation.running().get(simulation.random().nextInt(simulation.running().size())),
        call(version, choice, rewritten),
        answer -> status[0] = answer.status);
    simulation.run(1500);
    return status[0];
  }

  @Test
  public void theSameIsAcknowledgedAgainUnderLaterVersionsAfterRestartsAndWipes() {
    final StateStoreSimulation simulation = fleet(3, null);
    assertEquals(status(simulation, 4, 0, false), 200);
    assertEquals(status(simulation, 4, 0, true), 200);
    assertEquals(status(simulation, 4, 1, false), 409);
    assertEquals(status(simulation, 8, 1, false), 200);
    for (final String address : simulation.running()) {
      simulation.kill(address, true);
      simulation.after(300, () -> simulation.start(address, false));
    }
    simulation.run(4000);
    simulation.kill("10.0.1.1", true);
    simulation.wipe("10.0.1.1");
    simulation.start("10.0.1.1", false);
    simulation.run(8000);
    assertEquals(status(simulation, 4, 0, true), 200);
    assertEquals(status(simulation, 4, 1, true), 409);
    assertEquals(status(simulation, 8, 1, true), 200);
    assertEquals(status(simulation, 8, 0, false), 409);
    assertEquals(
        status(simulation, 6, 0, false),
        200,
        "a version that was never taken and lies below alters nothing");
    assertEquals(status(simulation, 6, 1, false), 200);
  }

  @Test
  public void anOlderStoresConfigurationIsComparedByItsBody() {
    final StateStoreSimulation simulation =
        fleet(
            5,
            new StateStoreSimulation.FaultInjector() {
              @Override
              public void prepare(
                  final StateStoreReplica replica, final AuditStore store, final long keeps) {
                BrokenAuditSequencer.withoutHistory(replica, store, keeps);
              }

              @Override
              public Message pass(final String from, final String to, final Message message) {
                if (!(message instanceof StateStoreMessages.Accept)) {
                  return message;
                }
                final StateStoreMessages.Accept accept = (StateStoreMessages.Accept) message;
                final List<StateStoreMessages.RegisterEntry> entries = new ArrayList<>();
                Protocol.emptyIfNull(accept.entries)
                    .forEach(
                        entry -> entries.add(BrokenAuditSequencer.withoutContentDigest(entry)));
                return new StateStoreMessages.Accept(
                    accept.partition,
                    accept.rosterNumber,
                    accept.ballot,
                    accept.establish,
                    accept.countedIncarnations,
                    entries);
              }
            });
    assertEquals(status(simulation, 4, 0, false), 200);
    simulation.faultInjector(new StateStoreSimulation.FaultInjector() {});
    for (final String address : simulation.running()) {
      simulation.kill(address, false);
      simulation.after(100, () -> simulation.start(address, false));
    }
    simulation.run(6000);
    assertEquals(status(simulation, 4, 0, true), 200);
    assertEquals(status(simulation, 4, 1, false), 409);
    assertEquals(status(simulation, 9, 1, false), 200);
    assertEquals(status(simulation, 4, 0, false), 200);
    assertEquals(status(simulation, 4, 1, true), 409);
  }

  @Test
  public void aHolderThatAcknowledgesWhateverIsNotNewIsCaught() {
    assertTrue(
        caught(
                new StateStoreSimulation.FaultInjector() {
                  @Override
                  public void prepare(
                      final StateStoreReplica replica, final AuditStore store, final long keeps) {
                    replica.history(store, keeps, StateStoreSimulation.ENTRY_BYTES);
                    BrokenAuditSequencer.withoutVersionCheck(replica);
                  }
                })
            >= 6);
  }

  @Test
  public void aHolderThatForgetsWhatOlderVersionsStandForIsCaught() {
    assertTrue(
        caught(
                new StateStoreSimulation.FaultInjector() {
                  @Override
                  public void prepare(
                      final StateStoreReplica replica, final AuditStore store, final long keeps) {
                    BrokenAuditSequencer.withoutOlderVersions(replica, store, keeps);
                  }
                })
            >= 6);
  }

  private static int caught(final StateStoreSimulation.FaultInjector faultInjector) {
    int caught = 0;
    for (long seed = 1; seed <= 6; seed++) {
      caught += play(seed, faultInjector, new int[2]).isEmpty() ? 0 : 1;
    }
    return caught;
  }
}
