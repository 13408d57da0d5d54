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
    final StateStoreSimulation simulation = new StateStoreSimulation(seed, SEEDS, syncsFirst);
    for (final String[] machine : MACHINES) {
      simulation.add(machine[0], machine[1], machine[2]);
    }
    for (final String[] machine : MACHINES) {
      simulation.start(machine[0], true);
    }
    simulation.run(6000);
    return simulation;
  }

  private static void traffic(
      final StateStoreSimulation simulation,
      final SequentialModelChecker checker,
      final int[] count,
      final Set<String> busy) {
    final Random random = simulation.random();
    final long sentAt = simulation.now();
    final List<String> running = simulation.running();
    if (!running.isEmpty()) {
      final String at = running.get(random.nextInt(running.size()));
      final String name = "n" + random.nextInt(3);
      switch (random.nextInt(4)) {
        case 0 ->
            simulation.call(
                at,
                StoreOperation.NUMBER,
                name,
                null,
                0,
                0,
                null,
                answer -> {
                  if (answer.status == 200) {
                    checker.given("number " + name, answer.first, sentAt, simulation.now());
                  }
                });
        case 1 -> {
          final String owner = "o" + random.nextInt(3);
          if (!busy.add(name + owner)) {
            break;
          }
          final boolean[] answered = new boolean[1];
          simulation.call(
              at,
              StoreOperation.LOCK_BEGIN,
              name,
              owner,
              800,
              0,
              null,
              answer -> {
                if (simulation.now() - sentAt >= 3000) {
                  return;
                }
                answered[0] = true;
                busy.remove(name + owner);
                if (answer.status == 200) {
                  checker.taken(name, owner, answer.first, sentAt, simulation.now(), 800);
                  simulation.after(
                      random.nextInt(500),
                      () -> {
                        if (busy.add(name + owner)) {
                          checker.released(name, owner, answer.first, simulation.now());
                          final long begunAt = simulation.now();
                          simulation.after(1000, () -> busy.remove(name + owner));
                          simulation.call(
                              at,
                              StoreOperation.LOCK_TICKET,
                              name,
                              owner,
                              0,
                              0,
                              null,
                              ticket -> {
                                if (ticket.status == 200 && simulation.now() - begunAt < 900) {
                                  simulation.call(
                                      at,
                                      StoreOperation.LOCK_FINISH,
                                      name,
                                      owner,
                                      ticket.first,
                                      answer.first,
                                      null,
                                      done -> {});
                                  simulation.after(
                                      random.nextInt(30),
                                      () ->
                                          simulation.call(
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
          simulation.after(
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
          simulation.call(
              at,
              StoreOperation.CELL_REPLACE,
              key.substring(0, 3),
              value,
              enabled,
              0,
              key.getBytes(StandardCharsets.UTF_8),
              answer -> {
                if (answer.status == 200) {
                  checker.put(key, value, answer.first, simulation.now());
                  checker.given(
                      "group " + key.substring(0, 3), answer.first, sentAt, simulation.now());
                } else if (answer.status == 412) {
                  checker.turnedAway(value);
                }
              });
        }
        default -> {
          final String key = "g" + random.nextInt(2) + ".k" + random.nextInt(2);
          simulation.call(
              at,
              StoreOperation.CELL_READ,
              key.substring(0, 3),
              null,
              0,
              0,
              key.getBytes(StandardCharsets.UTF_8),
              answer -> {
                if (answer.status == 200 || answer.status == 404) {
                  checker.read(
                      key,
                      answer.body == null ? null : new String(answer.body, StandardCharsets.UTF_8),
                      answer.status == 404 ? 0 : answer.first,
                      sentAt);
                }
              });
        }
      }
    }
    simulation.after(20, () -> traffic(simulation, checker, count, busy));
  }

  private static void trouble(final StateStoreSimulation simulation) {
    final Random random = simulation.random();
    final List<String> running = simulation.running();
    final String one = running.get(random.nextInt(running.size()));
    switch (random.nextInt(7)) {
      case 0 -> {
        simulation.kill(one, true);
        simulation.after(300 + random.nextInt(2000), () -> simulation.start(one, false));
      }
      case 1 -> {
        for (final String address : running) {
          simulation.kill(address, random.nextBoolean());
          simulation.after(300 + random.nextInt(800), () -> simulation.start(address, false));
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
      case 4 -> simulation.disk(one, 200);
      default -> {
        simulation.kill(one, true);
        simulation.wipe(one);
        simulation.after(300 + random.nextInt(600), () -> simulation.start(one, false));
      }
    }
    simulation.after(2500, simulation::heal);
  }

  private static List<String> play(final long seed, final int[] answers) {
    final StateStoreSimulation simulation = fleet(seed, true);
    final SequentialModelChecker checker = new SequentialModelChecker();
    final int[] count = new int[1];
    final Set<String> busy = new HashSet<>();
    traffic(simulation, checker, count, busy);
    for (int round = 0; round < 5; round++) {
      simulation.run(1500);
      trouble(simulation);
      simulation.run(5500);
    }
    answers[0] += checker.answers();
    return checker.breaches();
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
    final StateStoreSimulation simulation = fleet(seed, syncsFirst);
    final SequentialModelChecker checker = new SequentialModelChecker();
    traffic(simulation, checker, new int[1], new HashSet<>());
    for (int round = 0; round < 3; round++) {
      simulation.machines().keySet().forEach(address -> simulation.disk(address, 400));
      simulation.run(2000);
      for (final String address : simulation.running()) {
        simulation.kill(address, true);
        simulation.after(300, () -> simulation.start(address, false));
      }
      simulation.run(4000);
    }
    return checker.breaches();
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
    final StateStoreSimulation simulation = fleet(7, true);
    int serving = 0;
    for (final StateStoreSimulation.Machine machine : simulation.machines().values()) {
      assertEquals(machine.replica().roster().voters.size(), 5);
      serving += machine.replica().partitionsLed();
    }
    assertEquals(serving, 8);
  }

  @Test
  public void anEmptyMachineTakesTheDeadOnesPlaceAndTokens() {
    final StateStoreSimulation simulation = fleet(8, true);
    simulation.kill("10.0.2.1", true);
    simulation.run(1000);
    simulation.add("10.0.2.9", "b", "y");
    simulation.start("10.0.2.9", false);
    simulation.run(9000);
    final var roster = simulation.machines().get("10.0.1.1").replica().roster();
    assertEquals(roster.indexOf("10.0.2.1"), -1);
    assertTrue(roster.indexOf("10.0.2.9") >= 0);
    assertEquals(roster.voters.size(), 5);
    final List<Integer> tokens = new ArrayList<>();
    roster.voters.forEach(voter -> tokens.addAll(voter.tokens));
    tokens.sort(null);
    assertEquals(tokens.size(), 64);
    assertEquals((int) tokens.get(63), 63);
    simulation.start("10.0.2.1", false);
    simulation.run(4000);
    assertEquals(
        simulation.machines().get("10.0.2.1").replica().roster().indexOf("10.0.2.1"),
        -1,
        "a removed daemon must not vote again by itself");
  }

  @Test
  public void theMinorityAcknowledgesNothing() {
    final StateStoreSimulation simulation = fleet(9, true);
    final String[] few = {"10.0.1.1", "10.0.1.2"};
    for (final String one : few) {
      for (final String other : simulation.running()) {
        if (!other.equals(few[0]) && !other.equals(few[1])) {
          simulation.cut(one, other, true);
          simulation.cut(other, one, true);
        }
      }
    }
    final int[] good = new int[1];
    for (int index = 0; index < 40; index++) {
      simulation.callOnly(
          few[index % 2],
          StoreOperation.NUMBER,
          "n" + index,
          answer -> {
            if (answer.status == 200) {
              good[0]++;
            }
          });
      simulation.run(50);
    }
    assertEquals(good[0], 0);
  }
}
