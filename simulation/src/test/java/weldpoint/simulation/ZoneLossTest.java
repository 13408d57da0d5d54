package weldpoint.simulation;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import weldpoint.statestore.StoreOperation;
import weldpoint.transport.StateStoreMessages.Roster;
import weldpoint.transport.StateStoreMessages.Voter;

/**
 * One zone after another is lost and comes back. Voters must be spread so that each loss leaves a
 * majority, and no zone ever holds three of five while others could. The long search:
 * -Dweldpoint.zones.seeds=40.
 */
public final class ZoneLossTest {
  private static final int SEEDS = Integer.getInteger("weldpoint.zones.seeds", 8);
  private static final int ROUNDS = 12;

  /** How many core machines stand in each zone; the zones' regions take turns. */
  private enum Layout {
    ELEVEN_IN_FOUR_ZONES(2, 3, 3, 3, 2),
    ELEVEN_IN_THREE_ZONES(2, 4, 4, 3),
    ELEVEN_IN_SIX_ZONES(2, 2, 2, 2, 2, 2, 1),
    TWELVE_IN_EIGHT_ZONES(2, 2, 2, 2, 2, 1, 1, 1, 1),
    TWELVE_IN_TEN_ZONES(2, 2, 2, 1, 1, 1, 1, 1, 1, 1, 1),
    FIVE_IN_FOUR_ZONES(2, 2, 1, 1, 1),
    SIX_IN_THREE_REGIONS(3, 1, 1, 1, 1, 1, 1);

    private final int regions;
    private final int[] counts;

    Layout(final int regions, final int... counts) {
      this.regions = regions;
      this.counts = counts;
    }

    List<String> addresses() {
      final List<String> all = new ArrayList<>();
      for (int zone = 0; zone < counts.length; zone++) {
        for (int place = 1; place <= counts[zone]; place++) {
          all.add("10." + (zone + 1) + ".0." + place);
        }
      }
      return all;
    }

    StateStoreSimulation fleet(final long seed, final List<String> seeds) {
      final StateStoreSimulation simulation = new StateStoreSimulation(seed, seeds, true);
      for (final String address : addresses()) {
        final int zone = zone(address);
        simulation.add(address, "z" + zone, "r" + zone % regions);
      }
      return simulation;
    }
  }

  private static int zone(final String address) {
    return Integer.parseInt(address.split("\\.")[1]) - 1;
  }

  /** What came of the rounds of some seeds. */
  private static final class Outcome {
    private int rounds;
    private int crowded;
    private int lost;
    private int most;
    private final List<String> notes = new ArrayList<>();

    @Override
    public String toString() {
      return "rounds "
          + rounds
          + ", three or more voters in one zone "
          + crowded
          + ", no majority after one zone's loss "
          + lost
          + ", changes of roster in one seed at most "
          + most
          + " "
          + notes;
    }
  }

  @BeforeClass
  public void quiet() {
    java.util.logging.Logger.getLogger("").setLevel(java.util.logging.Level.SEVERE);
  }

  private static Roster newest(final StateStoreSimulation simulation) {
    Roster newest = new Roster(0, List.of());
    for (final StateStoreSimulation.Machine machine : simulation.machines().values()) {
      if (machine.replica() != null && machine.replica().roster().number > newest.number) {
        newest = machine.replica().roster();
      }
    }
    return newest;
  }

  private static Map<String, Integer> zones(final Roster roster) {
    final Map<String, Integer> zones = new TreeMap<>();
    for (final Voter voter : roster.voters) {
      zones.merge(voter.site, 1, Integer::sum);
    }
    return zones;
  }

  private static boolean answers(final StateStoreSimulation simulation, final Random random) {
    final boolean[] ok = new boolean[1];
    for (int tries = 0; tries < 20 && !ok[0]; tries++) {
      final String at = simulation.running().get(random.nextInt(simulation.running().size()));
      simulation.call(
          at,
          StoreOperation.NUMBER,
          "n" + random.nextInt(3),
          null,
          0,
          0,
          null,
          answer -> ok[0] |= answer.status == 200);
      simulation.run(500);
    }
    return ok[0];
  }

  private static void play(
      final Layout layout,
      final long seed,
      final List<String> seeds,
      final List<String> order,
      final long back,
      final boolean disks,
      final Outcome outcome) {
    final StateStoreSimulation simulation = layout.fleet(seed, seeds);
    for (final String address : order) {
      simulation.start(address, true);
      simulation.run(seed % 2 == 0 ? 0 : simulation.random().nextInt(40));
    }
    simulation.run(8000);
    final Random random = new Random(seed);
    for (int round = 0; round < ROUNDS; round++) {
      final int zone = random.nextInt(layout.counts.length);
      final List<String> gone = new ArrayList<>();
      for (final String address : layout.addresses()) {
        if (zone(address) == zone) {
          gone.add(address);
          simulation.kill(address, true);
        }
      }
      simulation.run(6000);
      outcome.rounds++;
      final boolean ok = answers(simulation, random);
      final Roster roster = newest(simulation);
      if (zones(roster).values().stream().anyMatch(count -> count >= 3)) {
        outcome.crowded++;
        outcome.notes.add(layout + " seed " + seed + " round " + round + ": " + zones(roster));
      }
      if (!ok) {
        outcome.lost++;
        outcome.notes.add(
            layout
                + " seed "
                + seed
                + " round "
                + round
                + ": zone "
                + zone
                + (disks ? "" : " with its disks")
                + " lost, no majority under roster "
                + roster.number
                + " "
                + zones(roster));
      }
      for (final String address : gone) {
        if (!disks) {
          simulation.wipe(address);
        }
        simulation.start(address, false);
      }
      simulation.run(back);
    }
    outcome.most = Math.max(outcome.most, (int) newest(simulation).number);
  }

  private static void holds(final Outcome outcome, final int rounds) {
    System.out.println(outcome);
    assertEquals(outcome.rounds, rounds, outcome.toString());
    assertEquals(outcome.crowded, 0, outcome.toString());
    assertEquals(outcome.lost, 0, outcome.toString());
  }

  @Test
  public void noZoneOfFourTakesTheMajorityWithIt() {
    final Outcome outcome = new Outcome();
    for (int seed = 1; seed <= SEEDS; seed++) {
      play(
          Layout.ELEVEN_IN_FOUR_ZONES,
          seed,
          List.of("10.1.0.1", "10.2.0.1", "10.3.0.1"),
          Layout.ELEVEN_IN_FOUR_ZONES.addresses(),
          8000,
          true,
          outcome);
    }
    holds(outcome, SEEDS * ROUNDS);
  }

  /**
   * Layouts, seed lists, orders of start and lost disks are drawn; the next zone is lost as soon as
   * four seconds after machines are back, of which they take 1.5 to start.
   */
  @Test
  public void noZoneTakesTheMajorityWithItHoweverMachinesStand() {
    final Outcome outcome = new Outcome();
    for (int seed = 1; seed <= SEEDS; seed++) {
      final Random random = new Random(seed * 31L);
      for (final Layout layout : Layout.values()) {
        final List<String> order = new ArrayList<>(layout.addresses());
        Collections.shuffle(order, random);
        final List<String> seeds = new ArrayList<>(order.subList(0, 3));
        Collections.shuffle(order, random);
        play(layout, seed, seeds, order, 2500, random.nextBoolean(), outcome);
      }
    }
    holds(outcome, SEEDS * ROUNDS * Layout.values().length);
  }
}
