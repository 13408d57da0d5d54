package weldpoint.regionleader;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import weldpoint.transport.RegionMessages;
import weldpoint.transport.RegionMessages.LeaderDirective;
import weldpoint.transport.RegionMessages.LeaderVoteRequest;

public class LeaderElectionTest {
  private static SimulatedRegion region(final long seed, final int size) {
    return new SimulatedRegion(seed, size, id -> false);
  }

  @Test
  public void nobodySaysAnythingWhileTheCoreAnswers() {
    final SimulatedRegion region = region(1, 7);
    region.run(60_000);
    assertEquals(region.messages, 0);
    assertTrue(region.acting().isEmpty());
  }

  @Test
  public void aMajorityElectsOneAndTheCoreEndsIt() {
    for (long seed = 0; seed < 60; seed++) {
      final SimulatedRegion region = region(seed, 3 + (int) (seed % 9));
      region.run(2000);
      region.coreUp = false;
      region.run(12_000);
      assertEquals(region.acting().size(), 1, "seed " + seed);
      final String chief = region.acting().get(0).address;
      region.boards.values().forEach(board -> assertEquals(board.election.chief(), chief));
      region.coreUp = true;
      region.run(200);
      assertTrue(region.acting().isEmpty(), "seed " + seed);
      region.boards.values().forEach(board -> assertEquals(board.directive, null));
      assertTrue(region.breaches.isEmpty(), "seed " + seed + region.breaches);
    }
  }

  @Test
  public void aMinorityHasNoChiefAndARestartedSwitchboardNoVote() {
    final SimulatedRegion region = region(5, 6);
    region.run(1000);
    region.coreUp = false;
    region.cut = pair -> low(pair[0]) != low(pair[1]);
    region.run(15_000);
    assertTrue(region.acting().isEmpty(), "three of six are no majority");
    region.cut = pair -> false;
    region.run(15_000);
    assertEquals(region.acting().size(), 1);
    final SimulatedRegion other = region(6, 5);
    other.run(1000);
    other.coreUp = false;
    final List<SimulatedRegion.Proxy> all = new ArrayList<>(other.boards.values());
    for (int index = 0; index < 3; index++) {
      all.get(index).boot();
    }
    other.run(15_000);
    assertTrue(other.acting().isEmpty(), "those in a new life are no electors");
  }

  private static boolean low(final String address) {
    return Integer.parseInt(address.substring(address.lastIndexOf('.') + 1)) <= 3;
  }

  @Test
  public void aChiefThatFreezesIsFollowedByAnotherAndFencedWhenItWakes() {
    for (long seed = 0; seed < 40; seed++) {
      final SimulatedRegion region = region(seed, 7);
      region.run(1000);
      region.coreUp = false;
      region.run(12_000);
      final SimulatedRegion.Proxy first = region.acting().get(0);
      final long[] fence = first.election.fence();
      first.frozen = true;
      region.run(15_000);
      assertEquals(region.acting().size(), 1, "seed " + seed);
      final SimulatedRegion.Proxy second = region.acting().get(0);
      assertNotEquals(second.address, first.address);
      assertTrue(second.election.fence()[1] > fence[1]);
      first.frozen = false;
      region.run(5000);
      assertEquals(region.acting().size(), 1, "seed " + seed);
      assertTrue(region.breaches.isEmpty());
    }
  }

  @Test
  public void staleForeignAndUnknownOrdersAreRefusedAndCounted() {
    final SimulatedRegion region = region(3, 5);
    region.run(1000);
    region.coreUp = false;
    region.run(12_000);
    final SimulatedRegion.Proxy chief = region.acting().get(0);
    SimulatedRegion.Proxy found = null;
    for (final SimulatedRegion.Proxy board : region.boards.values()) {
      found = board == chief ? found : board;
    }
    final SimulatedRegion.Proxy follower = found;
    final long term = chief.election.fence()[1];
    final LeaderDirective held = follower.election.directive();
    final long before = follower.election.refused();
    follower.election.receive(
        chief.address,
        chief.life,
        new LeaderDirective(
            "south", 1, term + 1, chief.address, chief.life, 99, 0, 0, null, null, null, null),
        region.now);
    follower.election.receive(
        chief.address,
        chief.life,
        new LeaderDirective(
            "north", 0, term + 1, chief.address, chief.life, 99, 0, 0, null, null, null, null),
        region.now);
    follower.election.receive(
        "10.0.0.99",
        7,
        new LeaderDirective("north", 1, term + 1, "10.0.0.99", 7, 99, 0, 0, null, null, null, null),
        region.now);
    follower.election.receive(
        chief.address,
        chief.life + 1000,
        new LeaderDirective(
            "north",
            1,
            term + 1,
            chief.address,
            chief.life + 1000,
            99,
            0,
            0,
            null,
            null,
            null,
            null),
        region.now);
    follower.election.receive(
        chief.address,
        chief.life,
        new LeaderDirective(
            "north", 1, term, chief.address, chief.life, 1, 0, 0, null, null, null, null),
        region.now);
    assertEquals(follower.election.directive(), held, "nothing of that is taken");
    assertEquals(follower.election.refused() - before, 5);
    follower.election.receive(
        "10.0.0.99", 7, new LeaderVoteRequest("north", 1, term + 9, "10.0.0.99", 7), region.now);
    assertEquals(follower.election.chief(), chief.address);
  }

  /**
   * A busy morning with the core cut off: chiefs killed, the region split, restarts, answers lost,
   * more asked than fits.
   */
  private static SimulatedRegion morning(
      final long seed, final boolean broken, final boolean twoChiefs) {
    final SimulatedRegion region = new SimulatedRegion(seed, 9, id -> broken);
    region.capacity = 60;
    region.lostAnswers = 0.03;
    region.run(1000);
    for (int second = 0; second < 40; second++) {
      for (int index = 0; index < 40; index++) {
        final String name = "write-" + second + "-" + index;
        region.after(
            second * 1000L + region.random.nextInt(1000), () -> region.request(name, true, 6));
      }
      for (int index = 0; index < 900; index++) {
        region.after(
            second * 1000L + region.random.nextInt(1000), () -> region.request("lookup", false, 2));
      }
    }
    region.run(2000);
    region.coreUp = false;
    region.run(10_000);
    if (twoChiefs) {
      region.boards.values().forEach(board -> board.uncertainWrites.elsewhere(List.of()));
      region.cut = pair -> low(pair[0]) != low(pair[1]);
      region.elect(2 + seed);
    }
    for (final SimulatedRegion.Proxy chief : region.acting()) {
      chief.up = false;
      region.after(4000, chief::boot);
    }
    region.run(8000);
    region.cut = pair -> low(pair[0]) != low(pair[1]);
    region.run(6000);
    region.cut = pair -> false;
    region.run(10_000);
    region.coreUp = true;
    region.run(12_000);
    return region;
  }

  @Test
  public void everyWriteOfABusyMorningWithoutTheCoreArrivesAtMostOnce() {
    for (long seed = 0; seed < 25; seed++) {
      final SimulatedRegion region = morning(seed, false, false);
      assertFalse(region.chiefs.isEmpty(), "seed " + seed + ": a chief acted");
      assertTrue(region.breaches.isEmpty(), "seed " + seed + region.breaches);
      int writes = 0;
      for (final var entry : region.runs.entrySet()) {
        if (entry.getKey().startsWith("write")) {
          writes++;
          assertEquals((int) entry.getValue(), 1, "seed " + seed + " " + entry.getKey());
        }
      }
      for (final var entry : region.confirmed.entrySet()) {
        if (entry.getKey().startsWith("write")) {
          assertEquals((int) entry.getValue(), 1, "seed " + seed + " " + entry.getKey());
          assertTrue(region.runs.containsKey(entry.getKey()));
        }
      }
      assertTrue(writes > 1580, "seed " + seed + ": only " + writes + " of 1600 writes arrived");
    }
  }

  @Test
  public void twoChiefsDoubleNoWriteAndABrokenCheckIsCaught() {
    int doubled = 0;
    for (long seed = 0; seed < 8; seed++) {
      morning(seed, false, true)
          .runs
          .forEach((name, count) -> assertTrue(!name.startsWith("write") || count == 1, name));
      for (final var entry : morning(seed, true, false).runs.entrySet()) {
        doubled += entry.getKey().startsWith("write") && entry.getValue() > 1 ? 1 : 0;
      }
    }
    assertTrue(doubled > 0, "without the check a lost answer doubles a write");
  }

  @Test
  public void dutiesLetWritesGoFirstAndNeverDivideMoreThanTheRegionHeld() {
    final RegionMessages.ProxyObservations crowded =
        new RegionMessages.ProxyObservations(900, 40, 5, 300, List.of("u1"), List.of("w1"));
    final RegionMessages.ProxyObservations calm =
        new RegionMessages.ProxyObservations(100, 10, 0, 100, List.of("u1", "u2"), null);
    final RegionAssessment assessment =
        RegionAssessment.of(List.of(crowded, calm), List.of("a", "b"), 3, 0.6);
    assertEquals(assessment.admission(), (0.9 * 400 - 50) / 1000, 1e-9);
    assertEquals(assessment.suspects(), List.of("u1"));
    assertEquals(assessment.uncertain(), List.of("w1"));
    assertEquals(assessment.parts().stream().mapToDouble(part -> part).sum(), 0.6 * 2 / 3, 1e-9);
    assertTrue(assessment.parts().get(0) > 5 * assessment.parts().get(1));
    assertEquals(
        RegionAssessment.of(List.of(calm), List.of("b"), 3, 0.6).admission(),
        1.0,
        "nothing is held back while no write is refused");
  }
}
