package weldpoint.simulation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import weldpoint.statestore.StoreOperation;

/**
 * Five frames under cuts, freezes, kills, power loss, wipes and replacement; what callers saw must
 * fit one order.
 */
public final class FrameSafetyTest {
  private static final List<String> SEEDS = List.of("10.0.1.1", "10.0.2.1", "10.0.3.1");
  private static final String[][] MACHINES = {
    {"10.0.1.1", "a", "x"},
    {"10.0.1.2", "a", "x"},
    {"10.0.2.1", "b", "y"},
    {"10.0.3.1", "c", "x"},
    {"10.0.4.1", "d", "y"}
  };

  @BeforeClass
  public void quiet() {
    java.util.logging.Logger.getLogger("").setLevel(java.util.logging.Level.SEVERE);
  }

  private static StateStoreSimulation fleet(final long seed, final boolean syncsFirst) {
    final StateStoreSimulation fleet = new StateStoreSimulation(seed, SEEDS, syncsFirst);
    for (final String[] machine : MACHINES) {
      fleet.add(machine[0], machine[1], machine[2]);
    }
    for (final String[] machine : MACHINES) {
      fleet.start(machine[0], true);
    }
    fleet.run(6000);
    return fleet;
  }

  private static void traffic(
      final StateStoreSimulation fleet,
      final SequentialModelChecker ledger,
      final int[] count,
      final Set<String> busy) {
    final Random random = fleet.random();
    final long sentAt = fleet.now();
    final List<String> running = fleet.running();
    if (!running.isEmpty()) {
      final String at = running.get(random.nextInt(running.size()));
      final String name = "n" + random.nextInt(3);
      switch (random.nextInt(4)) {
        case 0 ->
            fleet.call(
                at,
                StoreOperation.NUMBER,
                name,
                null,
                0,
                0,
                null,
                answer -> {
                  if (answer.status == 200) {
                    ledger.given("number " + name, answer.first, sentAt, fleet.now());
                  }
                });
        case 1 -> {
          final String owner = "o" + random.nextInt(3);
          if (!busy.add(name + owner)) {
            break;
          }
          final boolean[] answered = new boolean[1];
          fleet.call(
              at,
              StoreOperation.LOCK_BEGIN,
              name,
              owner,
              800,
              0,
              null,
              answer -> {
                if (fleet.now() - sentAt >= 3000) {
                  return;
                }
                answered[0] = true;
                busy.remove(name + owner);
                if (answer.status == 200) {
                  ledger.taken(name, owner, answer.first, sentAt, fleet.now(), 800);
                  fleet.after(
                      random.nextInt(500),
                      () -> {
                        if (busy.add(name + owner)) {
                          ledger.released(name, owner, answer.first, fleet.now());
                          final long begunAt = fleet.now();
                          fleet.after(1000, () -> busy.remove(name + owner));
                          fleet.call(
                              at,
                              StoreOperation.LOCK_TICKET,
                              name,
                              owner,
                              0,
                              0,
                              null,
                              ticket -> {
                                if (ticket.status == 200 && fleet.now() - begunAt < 900) {
                                  fleet.call(
                                      at,
                                      StoreOperation.LOCK_FINISH,
                                      name,
                                      owner,
                                      ticket.first,
                                      answer.first,
                                      null,
                                      done -> {});
                                  fleet.after(
                                      random.nextInt(30),
                                      () ->
                                          fleet.call(
                                              at,
                                              StoreOperation.LOCK_FINISH,
                                              name,
                                              owner,
                                              ticket.first,
                                              answer.first,
                                              null,
                                              done -> {}));
                                }
                              });
                        }
                      });
                }
              });
          fleet.after(
              3000,
              () -> {
                if (!answered[0]) {
                  busy.remove(name + owner);
                }
              });
        }
        case 2 -> {
          final String value = "v" + count[0]++;
          final String key = "g" + random.nextInt(2) + ".k" + random.nextInt(2);
          final long enabled = random.nextBoolean() ? -1 : random.nextInt(4);
          fleet.call(
              at,
              StoreOperation.CELL_REPLACE,
              key.substring(0, 3),
              value,
              enabled,
              0,
              key.getBytes(StandardCharsets.UTF_8),
              answer -> {
                if (answer.status == 200) {
                  ledger.put(key, value, answer.first, fleet.now());
                  ledger.given("group " + key.substring(0, 3), answer.first, sentAt, fleet.now());
                } else if (answer.status == 412) {
                  ledger.turnedAway(value);
                }
              });
        }
        default -> {
          final String key = "g" + random.nextInt(2) + ".k" + random.nextInt(2);
          fleet.call(
              at,
              StoreOperation.CELL_READ,
              key.substring(0, 3),
              null,
              0,
              0,
              key.getBytes(StandardCharsets.UTF_8),
              answer -> {
                if (answer.status == 200 || answer.status == 404) {
                  ledger.read(
                      key,
                      answer.body == null ? null : new String(answer.body, StandardCharsets.UTF_8),
                      answer.status == 404 ? 0 : answer.first,
                      sentAt);
                }
              });
        }
      }
    }
    fleet.after(20, () -> traffic(fleet, ledger, count, busy));
  }

  private static void trouble(final StateStoreSimulation fleet) {
    final Random random = fleet.random();
    final List<String> running = fleet.running();
    final String one = running.get(random.nextInt(running.size()));
    switch (random.nextInt(7)) {
      case 0 -> {
        fleet.kill(one, true);
        fleet.after(300 + random.nextInt(2000), () -> fleet.start(one, false));
      }
      case 1 -> {
        for (final String address : running) {
          fleet.kill(address, random.nextBoolean());
          fleet.after(300 + random.nextInt(800), () -> fleet.start(address, false));
        }
      }
      case 2 -> {
        for (final String other : running) {
          if (!other.equals(one)) {
            fleet.cut(one, other, true);
            fleet.cut(other, one, random.nextBoolean());
          }
        }
      }
      case 3 -> fleet.freeze(one, true);
      case 4 -> fleet.disk(one, 200);
      default -> {
        fleet.kill(one, true);
        fleet.wipe(one);
        fleet.after(300 + random.nextInt(600), () -> fleet.start(one, false));
      }
    }
    fleet.after(2500, fleet::heal);
  }

  private static List<String> play(final long seed, final int[] answers) {
    final StateStoreSimulation fleet = fleet(seed, true);
    final SequentialModelChecker ledger = new SequentialModelChecker();
    final int[] count = new int[1];
    final Set<String> busy = new HashSet<>();
    traffic(fleet, ledger, count, busy);
    for (int round = 0; round < 5; round++) {
      fleet.run(1500);
      trouble(fleet);
      fleet.run(5500);
    }
    answers[0] += ledger.answers();
    return ledger.breaches();
  }

  @Test
  public void everyAnswerFitsOneOrderWhateverFails() {
    final int[] answers = new int[1];
    for (long seed = 1; seed <= 60; seed++) {
      final List<String> breaches = play(seed, answers);
      assertTrue(breaches.isEmpty(), "seed " + seed + ": " + breaches);
    }
    assertTrue(answers[0] > 60 * 700, "only " + answers[0] + " answers");
  }

  private static List<String> powerOutages(final long seed, final boolean syncsFirst) {
    final StateStoreSimulation fleet = fleet(seed, syncsFirst);
    final SequentialModelChecker ledger = new SequentialModelChecker();
    traffic(fleet, ledger, new int[1], new HashSet<>());
    for (int round = 0; round < 3; round++) {
      fleet.machines().keySet().forEach(address -> fleet.disk(address, 400));
      fleet.run(2000);
      for (final String address : fleet.running()) {
        fleet.kill(address, true);
        fleet.after(300, () -> fleet.start(address, false));
      }
      fleet.run(4000);
    }
    return ledger.breaches();
  }

  @Test
  public void acknowledgingBeforeTheSyncIsCaught() {
    int caught = 0;
    for (long seed = 1; seed <= 10; seed++) {
      caught += powerOutages(seed, false).isEmpty() ? 0 : 1;
      final List<String> breaches = powerOutages(seed, true);
      assertTrue(breaches.isEmpty(), "seed " + seed + ": " + breaches);
    }
    assertTrue(
        caught >= 8,
        "the check noticed a store that acknowledges before its sync only "
            + caught
            + " times of 10");
  }

  @Test
  public void allFiveBecomeVotersAndServe() {
    final StateStoreSimulation fleet = fleet(7, true);
    int serving = 0;
    for (final StateStoreSimulation.Machine machine : fleet.machines().values()) {
      assertEquals(machine.core().roster().voters.size(), 5);
      serving += machine.core().serving();
    }
    assertEquals(serving, 8);
  }

  @Test
  public void anEmptyMachineTakesTheDeadOnesPlaceAndTokens() {
    final StateStoreSimulation fleet = fleet(8, true);
    fleet.kill("10.0.2.1", true);
    fleet.run(1000);
    fleet.add("10.0.2.9", "b", "y");
    fleet.start("10.0.2.9", false);
    fleet.run(9000);
    final var roster = fleet.machines().get("10.0.1.1").core().roster();
    assertEquals(roster.index("10.0.2.1"), -1);
    assertTrue(roster.index("10.0.2.9") >= 0);
    assertEquals(roster.voters.size(), 5);
    final List<Integer> tokens = new ArrayList<>();
    roster.voters.forEach(voter -> tokens.addAll(voter.tokens));
    tokens.sort(null);
    assertEquals(tokens.size(), 64);
    assertEquals((int) tokens.get(63), 63);
    fleet.start("10.0.2.1", false);
    fleet.run(4000);
    assertEquals(
        fleet.machines().get("10.0.2.1").core().roster().index("10.0.2.1"),
        -1,
        "a removed daemon must not vote again by itself");
  }

  @Test
  public void theMinorityAcknowledgesNothing() {
    final StateStoreSimulation fleet = fleet(9, true);
    final String[] few = {"10.0.1.1", "10.0.1.2"};
    for (final String one : few) {
      for (final String other : fleet.running()) {
        if (!other.equals(few[0]) && !other.equals(few[1])) {
          fleet.cut(one, other, true);
          fleet.cut(other, one, true);
        }
      }
    }
    final int[] good = new int[1];
    for (int index = 0; index < 40; index++) {
      fleet.callOnly(
          few[index % 2],
          StoreOperation.NUMBER,
          "n" + index,
          answer -> {
            if (answer.status == 200) {
              good[0]++;
            }
          });
      fleet.run(50);
    }
    assertEquals(good[0], 0);
  }
}
