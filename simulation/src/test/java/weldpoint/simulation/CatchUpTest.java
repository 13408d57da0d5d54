package weldpoint.simulation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import weldpoint.statestore.StoreOperation;
import weldpoint.transport.AuditMessages;
import weldpoint.transport.Message;
import weldpoint.transport.RegisterVersion;
import weldpoint.transport.StateStoreMessages;

/**
 * A member that was away, cut off or lost its disk catches up: over slow links, while changes go
 * on, and only with what it lacks.
 */
public final class CatchUpTest {
  private static final List<String> SEEDS = List.of("10.0.1.1", "10.0.2.1", "10.0.3.1");
  private static final String[][] MACHINES = {
    {"10.0.1.1", "a", "x"},
    {"10.0.1.2", "a", "x"},
    {"10.0.2.1", "b", "y"},
    {"10.0.3.1", "c", "x"},
    {"10.0.4.1", "d", "y"}
  };
  private static final String MEMBER = "10.0.4.1";

  @BeforeClass
  public void quiet() {
    java.util.logging.Logger.getLogger("").setLevel(java.util.logging.Level.SEVERE);
  }

  private static StateStoreSimulation fleet(final long seed) {
    final StateStoreSimulation simulation = new StateStoreSimulation(seed, SEEDS, true);
    for (final String[] machine : MACHINES) {
      simulation.add(machine[0], machine[1], machine[2]);
    }
    for (final String[] machine : MACHINES) {
      simulation.start(machine[0], true);
    }
    simulation.run(6000);
    assertEquals(simulation.machines().get(MEMBER).replica().roster().voters.size(), 5);
    return simulation;
  }

  private static String text(final Random random, final int length) {
    final StringBuilder text = new StringBuilder();
    while (text.length() < length) {
      text.append(Long.toHexString(random.nextLong()));
    }
    return text.substring(0, length);
  }

  /**
   * Puts one key into each of so many groups, again where an answer did not come; returns how many
   * puts were acknowledged.
   */
  private static int put(
      final StateStoreSimulation simulation, final int groups, final int length) {
    final Map<Integer, String> open = new TreeMap<>();
    for (int group = 0; group < groups; group++) {
      open.put(group, text(simulation.random(), length));
    }
    for (int round = 0; round < 5 && !open.isEmpty(); round++) {
      int sent = 0;
      for (final Map.Entry<Integer, String> one : new ArrayList<>(open.entrySet())) {
        simulation.call(
            SEEDS.get(0),
            StoreOperation.CELL_REPLACE,
            "g" + one.getKey(),
            one.getValue(),
            -1,
            0,
            "key".getBytes(StandardCharsets.UTF_8),
            answer -> {
              if (answer.status == 200) {
                open.remove(one.getKey());
              }
            });
        if (++sent % 20 == 0) {
          simulation.run(40);
        }
      }
      simulation.run(800);
    }
    return groups - open.size();
  }

  private static long untilWhole(final StateStoreSimulation simulation, final long most) {
    final long from = simulation.now();
    while (simulation.now() - from < most
        && (simulation.machines().get(MEMBER).replica() == null
            || simulation.machines().get(MEMBER).replica().recovering())) {
      simulation.run(10);
    }
    return simulation.now() - from;
  }

  private static long ballots(final StateStoreSimulation simulation) {
    long ballots = 0;
    for (final String seed : SEEDS) {
      ballots += simulation.machines().get(seed).replica().ballotsStarted();
    }
    return ballots;
  }

  /** The bytes that the member was sent for catching up. */
  private static long bytes(final StateStoreSimulation simulation) {
    return simulation.received(MEMBER, StateStoreMessages.RecoveryResponse.class)
        + simulation.received(MEMBER, StateStoreMessages.Accept.class)
        + simulation.received(MEMBER, AuditMessages.AuditEntries.class);
  }

  private static void restart(final StateStoreSimulation simulation, final boolean wipe) {
    simulation.kill(MEMBER, true);
    if (wipe) {
      simulation.wipe(MEMBER);
    }
  }

  @Test
  public void aLostDiskIsFilledAgainOverASlowLinkUnderOneIncarnation() {
    final StateStoreSimulation simulation = fleet(1);
    assertEquals(put(simulation, 300, 1000), 300);
    final long ballots = ballots(simulation);
    restart(simulation, true);
    simulation.link(MEMBER, 100);
    simulation.run(500);
    final long before = simulation.received(MEMBER, StateStoreMessages.RecoveryResponse.class);
    simulation.start(MEMBER, false);
    final long took = untilWhole(simulation, 20_000);
    assertFalse(
        simulation.machines().get(MEMBER).replica().recovering(),
        "still blank after " + took + " ms");
    final long fetched =
        simulation.received(MEMBER, StateStoreMessages.RecoveryResponse.class) - before;
    simulation.run(2000);
    assertTrue(ballots(simulation) - ballots <= 24, "ballots " + (ballots(simulation) - ballots));
    assertTrue(fetched < 950_000, "600 KB of state came as " + fetched + " bytes");
    assertTrue(took < 13_000, "6 s at least, took " + took);
  }

  @Test
  public void aFetchGoesOnWhereItStoodAfterChangesAndRestarts() {
    final StateStoreSimulation simulation = fleet(2);
    assertEquals(put(simulation, 300, 1000), 300);
    restart(simulation, true);
    simulation.link(MEMBER, 200);
    simulation.run(500);
    final long before = simulation.received(MEMBER, StateStoreMessages.RecoveryResponse.class);
    simulation.start(MEMBER, false);
    final boolean[] done = new boolean[1];
    change(simulation, done);
    for (int life = 0; life < 3; life++) {
      simulation.run(1500);
      assertTrue(simulation.machines().get(MEMBER).replica().recovering());
      simulation.kill(MEMBER, life % 2 == 0);
      simulation.run(300);
      simulation.start(MEMBER, false);
    }
    final long took = untilWhole(simulation, 20_000);
    done[0] = true;
    assertFalse(
        simulation.machines().get(MEMBER).replica().recovering(),
        "still blank after " + took + " ms");
    final long fetched =
        simulation.received(MEMBER, StateStoreMessages.RecoveryResponse.class) - before;
    assertTrue(
        fetched < 1_500_000, "600 KB of state came, over four lives, as " + fetched + " bytes");
    assertTrue(took < 6000, "took " + took);
  }

  private static void change(final StateStoreSimulation simulation, final boolean[] done) {
    if (!done[0]) {
      simulation.call(
          SEEDS.get(0),
          StoreOperation.CELL_REPLACE,
          "g" + simulation.random().nextInt(300),
          text(simulation.random(), 100),
          -1,
          0,
          "other".getBytes(StandardCharsets.UTF_8),
          answer -> {});
      simulation.after(50, () -> change(simulation, done));
    }
  }

  @Test
  public void aValueLargerThanAPartComesInPiecesWhileItChanges() {
    final StateStoreSimulation simulation = fleet(3);
    final boolean[] done = new boolean[1];
    final long[] version = new long[1];
    configure(simulation, done, version, 200_000);
    simulation.run(1500);
    restart(simulation, true);
    simulation.link(MEMBER, 100);
    simulation.run(300);
    simulation.start(MEMBER, false);
    final long took = untilWhole(simulation, 20_000);
    done[0] = true;
    assertFalse(
        simulation.machines().get(MEMBER).replica().recovering(),
        "still blank after " + took + " ms");
    assertTrue(version[0] > 5, "versions " + version[0] + ", took " + took);
    assertTrue(took < 15_000, "took " + took);
  }

  private static void configure(
      final StateStoreSimulation simulation,
      final boolean[] done,
      final long[] version,
      final int length) {
    if (!done[0]) {
      final byte[] body = new byte[length];
      simulation.random().nextBytes(body);
      version[0]++;
      simulation.call(
          SEEDS.get(0),
          StoreOperation.CONFIGURATION_REPLACE,
          "",
          null,
          version[0],
          0,
          body,
          answer -> {});
      simulation.after(700, () -> configure(simulation, done, version, length));
    }
  }

  private static long missed(final int changes) {
    final StateStoreSimulation simulation = fleet(4);
    assertEquals(put(simulation, 600, 500), 600);
    restart(simulation, false);
    simulation.run(3000);
    assertEquals(put(simulation, changes, 500), changes);
    final long before = bytes(simulation);
    simulation.start(MEMBER, false);
    simulation.run(4000);
    return bytes(simulation) - before;
  }

  @Test
  public void aMemberWithItsDiskIsSentOnlyWhatItLacks() {
    final long few = missed(10);
    final long many = missed(100);
    final long most = missed(400);
    assertTrue(
        many - few > 60_000 && many - few < 90 * 1_000 * 2,
        "10 changes " + few + " bytes, 100 changes " + many);

    final double slope = (most - many) / 300.0 / ((many - few) / 90.0);
    assertTrue(
        slope > 0.6 && slope < 1.6,
        "10 changes " + few + " bytes, 100 changes " + many + ", 400 changes " + most);
    assertTrue(few < 200_000, "of a state of 700 KB, 10 changes took " + few + " bytes");
  }

  /** Makes one frame a candidate that ignores what the others promised to hold. */
  private static StateStoreSimulation.FaultInjector leadsWithOldState(final String candidate) {
    return new StateStoreSimulation.FaultInjector() {
      @Override
      public Message pass(final String from, final String to, final Message message) {
        if (message instanceof StateStoreMessages.Promise && to.equals(candidate)) {
          final StateStoreMessages.Promise promise = (StateStoreMessages.Promise) message;
          return new StateStoreMessages.Promise(
              promise.partition,
              promise.ballot,
              RegisterVersion.NONE,
              List.of(),
              promise.incarnation,
              promise.knownIncarnations);
        }
        return message;
      }
    };
  }

  /**
   * How many keys are read below what was acknowledged once a member with old state, and the best
   * reach, has led.
   */
  private static int behind(final boolean broken) {
    final StateStoreSimulation simulation = fleet(5);
    if (broken) {
      simulation.faultInjector(leadsWithOldState(MEMBER));
    }
    put(simulation, 40, 50);
    restart(simulation, false);
    simulation.run(3000);
    assertEquals(put(simulation, 40, 50), 40);
    for (final String[] machine : MACHINES) {
      simulation.kill(machine[0], true);
    }
    simulation.run(500);
    simulation.start(MEMBER, false);
    simulation.start("10.0.1.2", false);
    simulation.start("10.0.2.1", false);
    simulation.cut("10.0.1.2", "10.0.2.1", true);
    simulation.cut("10.0.2.1", "10.0.1.2", true);
    simulation.run(6000);
    assertTrue(
        simulation.machines().get(MEMBER).replica().partitionsLed() > 0,
        "the member with the best reach leads");
    final int[] found = new int[2];
    for (int group = 0; group < 40; group++) {
      simulation.call(
          MEMBER,
          StoreOperation.CELL_READ,
          "g" + group,
          null,
          0,
          0,
          "key".getBytes(StandardCharsets.UTF_8),
          answer -> {
            found[0]++;
            found[1] += answer.status == 200 && answer.first == 2 ? 0 : 1;
          });
    }
    simulation.run(1500);
    assertTrue(found[0] > 30, "answers " + found[0]);
    return found[1];
  }

  @Test
  public void aMemberWithOldStateThatWinsByItsReachLeadsWithWhatAMajorityHolds() {
    assertEquals(behind(false), 0);
  }

  @Test
  public void aMemberThatLeadsWithItsOldStateIsCaught() {
    assertTrue(behind(true) > 10);
  }

  @Test
  public void anExchangeThatWasAwayLearnsTheNewestConfigurationAtOnce() {
    final StateStoreSimulation simulation = fleet(6);
    final boolean[] done = new boolean[1];
    final long[] version = new long[1];
    configure(simulation, done, version, 300);
    simulation.run(40_000);
    done[0] = true;
    simulation.run(2000);
    final List<Long> learned = new ArrayList<>();
    simulation.call(
        SEEDS.get(0),
        StoreOperation.CONTROL,
        "",
        null,
        0,
        0,
        null,
        answer -> learned.add(answer.first));
    simulation.run(2000);
    assertTrue(version[0] > 40);
    assertEquals(learned, List.of(version[0]));
  }

  @Test
  public void aMemberThatRestartsBeforeItsHistoryIsThereDoesNotCountYet() {
    final StateStoreSimulation simulation = fleet(7);
    final boolean[] done = new boolean[1];
    final long[] version = new long[1];
    configure(simulation, done, version, 300);
    simulation.run(10_000);
    done[0] = true;
    simulation.run(2000);
    restart(simulation, true);
    final boolean[] lost = {true};
    simulation.faultInjector(
        new StateStoreSimulation.FaultInjector() {
          @Override
          public Message pass(final String from, final String to, final Message message) {
            return lost[0] && to.equals(MEMBER) && message instanceof AuditMessages.AuditEntries
                ? null
                : message;
          }
        });
    simulation.start(MEMBER, false);
    simulation.run(5000);
    assertTrue(simulation.machines().get(MEMBER).replica().recovering());
    simulation.kill(MEMBER, false);
    simulation.run(300);
    simulation.start(MEMBER, false);
    simulation.run(5000);
    assertTrue(
        simulation.machines().get(MEMBER).replica().recovering(),
        "counts with " + simulation.machines().get(MEMBER).replica().history().last() + " entries");
    lost[0] = false;
    assertTrue(untilWhole(simulation, 10_000) < 10_000);
    assertEquals(
        simulation.machines().get(MEMBER).replica().history().last(),
        simulation.machines().get(SEEDS.get(0)).replica().history().last());
  }
}
