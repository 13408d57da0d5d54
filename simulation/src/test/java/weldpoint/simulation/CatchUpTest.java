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
    final StateStoreSimulation fleet = new StateStoreSimulation(seed, SEEDS, true);
    for (final String[] machine : MACHINES) {
      fleet.add(machine[0], machine[1], machine[2]);
    }
    for (final String[] machine : MACHINES) {
      fleet.start(machine[0], true);
    }
    fleet.run(6000);
    assertEquals(fleet.machines().get(MEMBER).core().roster().voters.size(), 5);
    return fleet;
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
  private static int put(final StateStoreSimulation fleet, final int groups, final int length) {
    final Map<Integer, String> open = new TreeMap<>();
    for (int group = 0; group < groups; group++) {
      open.put(group, text(fleet.random(), length));
    }
    for (int round = 0; round < 5 && !open.isEmpty(); round++) {
      int sent = 0;
      for (final Map.Entry<Integer, String> one : new ArrayList<>(open.entrySet())) {
        fleet.call(
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
          fleet.run(40);
        }
      }
      fleet.run(800);
    }
    return groups - open.size();
  }

  private static long untilWhole(final StateStoreSimulation fleet, final long most) {
    final long from = fleet.now();
    while (fleet.now() - from < most
        && (fleet.machines().get(MEMBER).core() == null
            || fleet.machines().get(MEMBER).core().blank())) {
      fleet.run(10);
    }
    return fleet.now() - from;
  }

  private static long ballots(final StateStoreSimulation fleet) {
    long ballots = 0;
    for (final String seed : SEEDS) {
      ballots += fleet.machines().get(seed).core().ballots();
    }
    return ballots;
  }

  /** The bytes that the member was sent for catching up. */
  private static long bytes(final StateStoreSimulation fleet) {
    return fleet.received(MEMBER, StateStoreMessages.RecoveryResponse.class)
        + fleet.received(MEMBER, StateStoreMessages.Accept.class)
        + fleet.received(MEMBER, AuditMessages.AuditEntries.class);
  }

  private static void restart(final StateStoreSimulation fleet, final boolean wipe) {
    fleet.kill(MEMBER, true);
    if (wipe) {
      fleet.wipe(MEMBER);
    }
  }

  @Test
  public void aLostDiskIsFilledAgainOverASlowLinkUnderOneIncarnation() {
    final StateStoreSimulation fleet = fleet(1);
    assertEquals(put(fleet, 300, 1000), 300);
    final long ballots = ballots(fleet);
    restart(fleet, true);
    fleet.link(MEMBER, 100);
    fleet.run(500);
    final long before = fleet.received(MEMBER, StateStoreMessages.RecoveryResponse.class);
    fleet.start(MEMBER, false);
    final long took = untilWhole(fleet, 20_000);
    assertFalse(fleet.machines().get(MEMBER).core().blank(), "still blank after " + took + " ms");
    final long fetched = fleet.received(MEMBER, StateStoreMessages.RecoveryResponse.class) - before;
    fleet.run(2000);
    assertTrue(ballots(fleet) - ballots <= 24, "ballots " + (ballots(fleet) - ballots));
    assertTrue(fetched < 950_000, "600 KB of state came as " + fetched + " bytes");
    assertTrue(took < 13_000, "6 s at least, took " + took);
  }

  @Test
  public void aFetchGoesOnWhereItStoodAfterChangesAndRestarts() {
    final StateStoreSimulation fleet = fleet(2);
    assertEquals(put(fleet, 300, 1000), 300);
    restart(fleet, true);
    fleet.link(MEMBER, 200);
    fleet.run(500);
    final long before = fleet.received(MEMBER, StateStoreMessages.RecoveryResponse.class);
    fleet.start(MEMBER, false);
    final boolean[] done = new boolean[1];
    change(fleet, done);
    for (int life = 0; life < 3; life++) {
      fleet.run(1500);
      assertTrue(fleet.machines().get(MEMBER).core().blank());
      fleet.kill(MEMBER, life % 2 == 0);
      fleet.run(300);
      fleet.start(MEMBER, false);
    }
    final long took = untilWhole(fleet, 20_000);
    done[0] = true;
    assertFalse(fleet.machines().get(MEMBER).core().blank(), "still blank after " + took + " ms");
    final long fetched = fleet.received(MEMBER, StateStoreMessages.RecoveryResponse.class) - before;
    assertTrue(
        fetched < 1_500_000, "600 KB of state came, over four lives, as " + fetched + " bytes");
    assertTrue(took < 6000, "took " + took);
  }

  private static void change(final StateStoreSimulation fleet, final boolean[] done) {
    if (!done[0]) {
      fleet.call(
          SEEDS.get(0),
          StoreOperation.CELL_REPLACE,
          "g" + fleet.random().nextInt(300),
          text(fleet.random(), 100),
          -1,
          0,
          "other".getBytes(StandardCharsets.UTF_8),
          answer -> {});
      fleet.after(50, () -> change(fleet, done));
    }
  }

  @Test
  public void aValueLargerThanAPartComesInPiecesWhileItChanges() {
    final StateStoreSimulation fleet = fleet(3);
    final boolean[] done = new boolean[1];
    final long[] version = new long[1];
    configure(fleet, done, version, 200_000);
    fleet.run(1500);
    restart(fleet, true);
    fleet.link(MEMBER, 100);
    fleet.run(300);
    fleet.start(MEMBER, false);
    final long took = untilWhole(fleet, 20_000);
    done[0] = true;
    assertFalse(fleet.machines().get(MEMBER).core().blank(), "still blank after " + took + " ms");
    assertTrue(version[0] > 5, "versions " + version[0] + ", took " + took);
    assertTrue(took < 15_000, "took " + took);
  }

  private static void configure(
      final StateStoreSimulation fleet,
      final boolean[] done,
      final long[] version,
      final int length) {
    if (!done[0]) {
      final byte[] body = new byte[length];
      fleet.random().nextBytes(body);
      version[0]++;
      fleet.call(
          SEEDS.get(0), StoreOperation.SPEC_REPLACE, "", null, version[0], 0, body, answer -> {});
      fleet.after(700, () -> configure(fleet, done, version, length));
    }
  }

  private static long missed(final int changes) {
    final StateStoreSimulation fleet = fleet(4);
    assertEquals(put(fleet, 600, 500), 600);
    restart(fleet, false);
    fleet.run(3000);
    assertEquals(put(fleet, changes, 500), changes);
    final long before = bytes(fleet);
    fleet.start(MEMBER, false);
    fleet.run(4000);
    return bytes(fleet) - before;
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
              promise.known);
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
    final StateStoreSimulation fleet = fleet(5);
    if (broken) {
      fleet.meddler(leadsWithOldState(MEMBER));
    }
    put(fleet, 40, 50);
    restart(fleet, false);
    fleet.run(3000);
    assertEquals(put(fleet, 40, 50), 40);
    for (final String[] machine : MACHINES) {
      fleet.kill(machine[0], true);
    }
    fleet.run(500);
    fleet.start(MEMBER, false);
    fleet.start("10.0.1.2", false);
    fleet.start("10.0.2.1", false);
    fleet.cut("10.0.1.2", "10.0.2.1", true);
    fleet.cut("10.0.2.1", "10.0.1.2", true);
    fleet.run(6000);
    assertTrue(
        fleet.machines().get(MEMBER).core().serving() > 0, "the member with the best reach leads");
    final int[] found = new int[2];
    for (int group = 0; group < 40; group++) {
      fleet.call(
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
    fleet.run(1500);
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
    final StateStoreSimulation fleet = fleet(6);
    final boolean[] done = new boolean[1];
    final long[] version = new long[1];
    configure(fleet, done, version, 300);
    fleet.run(40_000);
    done[0] = true;
    fleet.run(2000);
    final List<Long> learned = new ArrayList<>();
    fleet.call(
        SEEDS.get(0),
        StoreOperation.CONTROL,
        "",
        null,
        0,
        0,
        null,
        answer -> learned.add(answer.first));
    fleet.run(2000);
    assertTrue(version[0] > 40);
    assertEquals(learned, List.of(version[0]));
  }

  @Test
  public void aMemberThatRestartsBeforeItsHistoryIsThereDoesNotCountYet() {
    final StateStoreSimulation fleet = fleet(7);
    final boolean[] done = new boolean[1];
    final long[] version = new long[1];
    configure(fleet, done, version, 300);
    fleet.run(10_000);
    done[0] = true;
    fleet.run(2000);
    restart(fleet, true);
    final boolean[] lost = {true};
    fleet.meddler(
        new StateStoreSimulation.FaultInjector() {
          @Override
          public Message pass(final String from, final String to, final Message message) {
            return lost[0] && to.equals(MEMBER) && message instanceof AuditMessages.AuditEntries
                ? null
                : message;
          }
        });
    fleet.start(MEMBER, false);
    fleet.run(5000);
    assertTrue(fleet.machines().get(MEMBER).core().blank());
    fleet.kill(MEMBER, false);
    fleet.run(300);
    fleet.start(MEMBER, false);
    fleet.run(5000);
    assertTrue(
        fleet.machines().get(MEMBER).core().blank(),
        "counts with " + fleet.machines().get(MEMBER).core().history().last() + " entries");
    lost[0] = false;
    assertTrue(untilWhole(fleet, 10_000) < 10_000);
    assertEquals(
        fleet.machines().get(MEMBER).core().history().last(),
        fleet.machines().get(SEEDS.get(0)).core().history().last());
  }
}
