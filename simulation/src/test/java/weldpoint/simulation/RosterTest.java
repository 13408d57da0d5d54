package weldpoint.simulation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import weldpoint.statestore.StoreOperation;
import weldpoint.transport.Message;
import weldpoint.transport.StateStoreMessages;
import weldpoint.transport.StateStoreMessages.Roster;
import weldpoint.transport.StateStoreMessages.Voter;

/**
 * Several losses in turn, planned and unplanned, with and without disks: a majority is left, and
 * nothing that was answered is forgotten.
 */
public final class RosterTest {
  private static final int SEEDS = Integer.getInteger("weldpoint.roster.seeds", 6);
  private static final int ROUNDS = 10;
  private static final long START_MILLIS = 1500;
  private static final long CATCH_UP_MILLIS = 4000;

  /** A loss that the fault budget allows. */
  private enum Loss {
    ZONE,
    ZONE_WITH_DISKS,
    MACHINE,
    MACHINE_WITH_DISK,
    RESTART,
    REPLACED_UNPLANNED,
    REPLACED_PLANNED,
    FROZEN,
    SLOW_DISK
  }

  private static final int[][] SITES = {
    {2, 1, 1, 1},
    {3, 3, 3, 2},
    {2, 2, 2, 2, 2, 1},
    {2, 2, 2, 2, 1, 1, 1, 1},
    {2, 2, 1, 1, 1, 1, 1, 1, 1, 1}
  };

  private static final class Play {
    private final StateStoreSimulation simulation;
    private final Random random;
    private final SequentialModelChecker checker = new SequentialModelChecker();
    private final List<String> machines = new ArrayList<>();
    private int added = 100;
    private long answeredAt;
    private long longest;

    private Play(final long seed, final int... counts) {
      random = new Random(seed * 31 + counts.length);
      final List<String> seeds = new ArrayList<>();
      for (int zone = 0; zone < 3; zone++) {
        seeds.add(address(zone, 1));
      }
      simulation = new StateStoreSimulation(seed, seeds, true);
      for (int zone = 0; zone < counts.length; zone++) {
        for (int place = 1; place <= counts[zone]; place++) {
          add(address(zone, place));
        }
      }
      machines.forEach(machine -> simulation.start(machine, true));
      simulation.run(6000);
      answeredAt = simulation.now();
      traffic();
      simulation.run(500);
    }

    private static String address(final int zone, final int place) {
      return "10." + (zone + 1) + ".0." + place;
    }

    private static int zone(final String address) {
      return Integer.parseInt(address.split("\\.")[1]) - 1;
    }

    private void add(final String address) {
      simulation.add(address, "z" + zone(address), zone(address) % 2 == 0 ? "north" : "south");
      machines.add(address);
    }

    private void traffic() {
      final List<String> running = simulation.running();
      final long sentAt = simulation.now();
      if (!running.isEmpty()) {
        final String name = "n" + random.nextInt(3);
        simulation.call(
            running.get(random.nextInt(running.size())),
            StoreOperation.NUMBER,
            name,
            null,
            0,
            0,
            null,
            answer -> {
              if (answer.status == 200) {
                checker.given("number " + name, answer.first, sentAt, simulation.now());
                longest = Math.max(longest, simulation.now() - answeredAt);
                answeredAt = simulation.now();
              }
            });
      }
      simulation.after(25, this::traffic);
    }

    private Roster roster() {
      Roster newest = new Roster(0, List.of());
      for (final StateStoreSimulation.Machine machine : simulation.machines().values()) {
        if (machine.replica() != null && machine.replica().roster().number > newest.number) {
          newest = machine.replica().roster();
        }
      }
      return newest;
    }

    private Map<String, Integer> zones() {
      final Map<String, Integer> zones = new TreeMap<>();
      for (final Voter voter : roster().voters) {
        zones.merge(voter.site, 1, Integer::sum);
      }
      return zones;
    }

    private void lose(final Loss loss) {
      final String one = machines.get(random.nextInt(machines.size()));
      switch (loss) {
        case ZONE, ZONE_WITH_DISKS -> {
          final List<String> gone = new ArrayList<>(machines);
          gone.removeIf(machine -> zone(machine) != zone(one));
          gone.forEach(machine -> simulation.kill(machine, true));
          simulation.run(500 + random.nextInt(5000));
          back(gone, loss == Loss.ZONE_WITH_DISKS);
        }
        case MACHINE, MACHINE_WITH_DISK -> {
          simulation.kill(one, true);
          simulation.run(500 + random.nextInt(5000));
          back(List.of(one), loss == Loss.MACHINE_WITH_DISK);
        }
        case RESTART -> {
          simulation.leave(one);
          simulation.run(3000);
          back(List.of(one), false);
        }
        case REPLACED_UNPLANNED -> {
          simulation.kill(one, true);
          machines.remove(one);
          simulation.run(1000);
          successor(one);
          simulation.run(CATCH_UP_MILLIS);
        }
        case REPLACED_PLANNED -> {
          successor(one);
          simulation.run(1000);
          simulation.leave(one);
          machines.remove(one);
          simulation.run(CATCH_UP_MILLIS);
        }
        case FROZEN -> {
          simulation.freeze(one, true);
          simulation.run(1600);
          simulation.freeze(one, false);
          simulation.run(CATCH_UP_MILLIS);
        }
        default -> {
          simulation.disk(one, 60);
          simulation.run(1600);
          simulation.disk(one, 2);
          simulation.run(CATCH_UP_MILLIS);
        }
      }
    }

    private void back(final List<String> gone, final boolean wiped) {
      simulation.run(START_MILLIS);
      for (final String machine : gone) {
        if (wiped) {
          simulation.wipe(machine);
        }
        simulation.start(machine, false);
      }
      simulation.run(CATCH_UP_MILLIS - START_MILLIS);
    }

    private void successor(final String one) {
      final String other = address(zone(one), added++);
      add(other);
      simulation.run(START_MILLIS);
      simulation.start(other, false);
    }
  }

  @BeforeClass
  public void quiet() {
    java.util.logging.Logger.getLogger("").setLevel(java.util.logging.Level.SEVERE);
  }

  /**
   * The next loss comes four seconds after the last machines are back, of which they take 1.5 to
   * start; the long search: -Dweldpoint.roster.seeds=100.
   */
  @Test
  public void aSecondLossAfterARepairLeavesAMajority() {
    final List<String> notes = new ArrayList<>();
    final Map<Loss, Integer> played = new TreeMap<>();
    int rounds = 0;
    long most = 0;
    long longest = 0;
    for (int seed = 1; seed <= SEEDS; seed++) {
      for (final int[] site : SITES) {
        final Play play = new Play(seed, site);
        for (int round = 0; round < ROUNDS; round++) {
          final Loss loss = Loss.values()[play.random.nextInt(Loss.values().length)];
          played.merge(loss, 1, Integer::sum);
          play.longest = 0;
          play.lose(loss);
          rounds++;
          longest =
              Math.max(longest, Math.max(play.longest, play.simulation.now() - play.answeredAt));
          final String where =
              "site of "
                  + site.length
                  + " zones, seed "
                  + seed
                  + ", round "
                  + round
                  + ", "
                  + loss
                  + ", roster "
                  + play.roster().number
                  + " "
                  + play.zones();
          if (play.longest > 4000 || play.simulation.now() - play.answeredAt > 2000) {
            notes.add(
                where
                    + ": nothing was answered for "
                    + Math.max(play.longest, play.simulation.now() - play.answeredAt)
                    + " ms");
          }
          if (Collections.max(play.zones().values()) >= 3) {
            notes.add(where + ": crowded");
          }
        }
        notes.addAll(play.checker.breaches());
        most = Math.max(most, play.roster().number);
      }
    }
    System.out.println(
        "losses in turn: rounds "
            + rounds
            + " "
            + played
            + ", longest without an answer "
            + longest
            + " ms, rosters in one play at most "
            + most
            + " "
            + notes);
    assertTrue(notes.isEmpty(), notes.toString());
    assertEquals(rounds, SEEDS * SITES.length * ROUNDS);
  }

  /**
   * How many voters know the incarnation of one that lost its disk, after daemons that had waited
   * took the places of all others, and everything was restarted.
   */
  private static int knowing(final long seed, final boolean told, final Roster[] last) {
    final Play play = new Play(seed, 3, 3, 3, 2);
    if (!told) {
      play.simulation.faultInjector(
          new StateStoreSimulation.FaultInjector() {
            @Override
            public Message pass(final String from, final String to, final Message message) {
              if (!(message instanceof StateStoreMessages.Accept)) {
                return message;
              }
              final StateStoreMessages.Accept accept = (StateStoreMessages.Accept) message;
              return new StateStoreMessages.Accept(
                  accept.partition,
                  accept.rosterNumber,
                  accept.ballot,
                  accept.establish,
                  accept.countedIncarnations,
                  accept.entries);
            }
          });
    }
    final String wiped = play.roster().voters.get(1).address;
    play.simulation.kill(wiped, true);
    play.simulation.wipe(wiped);
    play.simulation.start(wiped, false);
    play.simulation.run(3000);
    for (final Voter voter : play.roster().voters) {
      if (!voter.address.equals(wiped)) {
        play.simulation.kill(voter.address, true);
        play.simulation.run(5000);
      }
    }
    for (final String machine : play.simulation.running()) {
      play.simulation.kill(machine, true);
      play.simulation.start(machine, false);
    }
    last[0] = play.roster();
    final long own = play.simulation.machines().get(wiped).replica().incarnationOf(wiped);
    assertTrue(own > 1, "the wiped voter has incarnation " + own);
    int knowing = 0;
    for (final Voter voter : last[0].voters) {
      knowing +=
          play.simulation.machines().get(voter.address).replica().incarnationOf(wiped) >= own
              ? 1
              : 0;
    }
    return knowing;
  }

  @Test
  public void incarnationsAreWholeOnEachRoster() {
    int forgotten = 0;
    for (int seed = 1; seed <= 5; seed++) {
      final Roster[] last = new Roster[1];
      final int knowing = knowing(seed, true, last);
      assertTrue(
          knowing >= last[0].majority(),
          "seed " + seed + ": only " + knowing + " of " + last[0].voters.size() + " know it");
      forgotten += knowing(seed, false, last) < last[0].majority() ? 1 : 0;
    }
    assertTrue(
        forgotten >= 3,
        "a roster that does not pass incarnations on was noticed only "
            + forgotten
            + " times of 5");
  }

  @Test
  public void aShortSilenceChangesNoRoster() {
    for (int seed = 1; seed <= 4; seed++) {
      final Play play = new Play(seed, 3, 3, 3, 2);
      final Roster before = play.roster();
      for (final Voter voter : before.voters) {
        play.simulation.freeze(voter.address, true);
        play.simulation.run(1600);
        play.simulation.freeze(voter.address, false);
        play.simulation.run(1500);
      }
      assertEquals(play.roster().number, before.number);
      assertEquals(play.checker.breaches(), List.of());
    }
  }

  @Test
  public void aLostMemberIsReplacedWithinTheTimeToCatchUp() {
    for (int seed = 1; seed <= 4; seed++) {
      final Play play = new Play(seed, 3, 3, 3, 2);
      final String lost = play.roster().voters.get(seed).address;
      play.simulation.kill(lost, true);
      play.simulation.run(CATCH_UP_MILLIS);
      assertEquals(play.roster().indexOf(lost), -1);
      assertEquals(play.roster().voters.size(), 5);
    }
  }

  @Test
  public void aBalancedRosterStays() {
    final Play play = new Play(3, 3, 3, 3, 2);
    final long before = play.roster().number;
    play.simulation.run(60_000);
    assertEquals(play.roster().number, before);
  }

  /**
   * Two voters lag; the one that leaves is needed for what was just answered, and ends once they
   * have it.
   */
  @Test
  public void aLeaverStaysUntilTheOthersHoldWhatItCountedFor() {
    for (int seed = 1; seed <= 6; seed++) {
      final Play play = new Play(seed, 2, 1, 1, 1);
      final List<Voter> voters = play.roster().voters;
      final List<String> slow = new ArrayList<>();
      final List<String> quick = new ArrayList<>();
      for (final Voter voter : voters) {
        (slow.size() < 2 ? slow : quick).add(voter.address);
      }
      slow.forEach(address -> play.simulation.disk(address, 600));
      play.simulation.run(400);
      final String leaver = quick.get(seed % 3);
      play.simulation.leave(leaver);
      play.simulation.run(200);
      assertNotNull(
          play.simulation.machines().get(leaver).replica(),
          "the leaver ended before the others held what it counted for");
      slow.forEach(address -> play.simulation.disk(address, 2));
      play.simulation.run(2500);
      assertEquals(play.simulation.machines().get(leaver).replica(), null);
      play.simulation.wipe(leaver);
      final String second = quick.get((seed + 1) % 3);
      play.simulation.kill(second, true);
      play.simulation.wipe(second);
      play.simulation.run(6000);
      assertTrue(
          play.simulation.now() - play.answeredAt < 1000, "no majority after the second loss");
      assertEquals(play.checker.breaches(), List.of());
    }
  }

  /** With two voters out of reach nobody can release the leaver: it ends all the same, in time. */
  @Test
  public void aLeaverThatCannotHandOnEndsInTime() {
    final Play play = new Play(1, 2, 1, 1, 1);
    final List<Voter> voters = play.roster().voters;
    play.simulation.kill(voters.get(0).address, true);
    play.simulation.kill(voters.get(1).address, true);
    play.simulation.run(1000);
    final String leaver = voters.get(2).address;
    play.simulation.leave(leaver);
    play.simulation.run(1900);
    assertNotNull(play.simulation.machines().get(leaver).replica());
    play.simulation.run(400);
    assertEquals(play.simulation.machines().get(leaver).replica(), null);
  }
}
