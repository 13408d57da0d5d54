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

/** Checks elections, leader leases and at-most-once writes in simulated regions without a core. */
public class LeaderElectionTest {
  private static SimulatedRegion region(final long seed, final int size) {
    return new SimulatedRegion(seed, size, id -> false);
  }

  @Test
  public void noMessageIsSentWhileTheCoreAnswers() {
    final SimulatedRegion region = region(1, 7);
    region.run(60_000);
    assertEquals(region.messages, 0);
    assertTrue(region.activeLeaders().isEmpty());
  }

  @Test
  public void aMajorityElectsOneLeaderAndTheReturningCoreEndsItsTerm() {
    for (long seed = 0; seed < 60; seed++) {
      final SimulatedRegion region = region(seed, 3 + (int) (seed % 9));
      region.run(2000);
      region.coreUp = false;
      region.run(12_000);
      assertEquals(region.activeLeaders().size(), 1, "seed " + seed);
      final String leader = region.activeLeaders().get(0).address;
      region.proxies.values().forEach(proxy -> assertEquals(proxy.election.leader(), leader));
      region.coreUp = true;
      region.run(200);
      assertTrue(region.activeLeaders().isEmpty(), "seed " + seed);
      region.proxies.values().forEach(proxy -> assertEquals(proxy.directive, null));
      assertTrue(region.violations.isEmpty(), "seed " + seed + region.violations);
    }
  }

  @Test
  public void aMinorityElectsNoLeaderAndARestartedProxyHasNoVote() {
    final SimulatedRegion region = region(5, 6);
    region.run(1000);
    region.coreUp = false;
    region.partitioned = pair -> isLowAddress(pair[0]) != isLowAddress(pair[1]);
    region.run(15_000);
    assertTrue(region.activeLeaders().isEmpty(), "three of six proxies are not a majority");
    region.partitioned = pair -> false;
    region.run(15_000);
    assertEquals(region.activeLeaders().size(), 1);
    final SimulatedRegion other = region(6, 5);
    other.run(1000);
    other.coreUp = false;
    final List<SimulatedRegion.Proxy> all = new ArrayList<>(other.proxies.values());
    for (int index = 0; index < 3; index++) {
      all.get(index).restart();
    }
    other.run(15_000);
    assertTrue(other.activeLeaders().isEmpty(), "restarted proxies are not electors");
  }

  private static boolean isLowAddress(final String address) {
    return Integer.parseInt(address.substring(address.lastIndexOf('.') + 1)) <= 3;
  }

  @Test
  public void aFrozenLeaderIsReplacedAndFencedWhenItResumes() {
    for (long seed = 0; seed < 40; seed++) {
      final SimulatedRegion region = region(seed, 7);
      region.run(1000);
      region.coreUp = false;
      region.run(12_000);
      final SimulatedRegion.Proxy first = region.activeLeaders().get(0);
      final long[] fencingToken = first.election.fencingToken();
      first.frozen = true;
      region.run(15_000);
      assertEquals(region.activeLeaders().size(), 1, "seed " + seed);
      final SimulatedRegion.Proxy second = region.activeLeaders().get(0);
      assertNotEquals(second.address, first.address);
      assertTrue(second.election.fencingToken()[1] > fencingToken[1]);
      first.frozen = false;
      region.run(5000);
      assertEquals(region.activeLeaders().size(), 1, "seed " + seed);
      assertTrue(region.violations.isEmpty());
    }
  }

  @Test
  public void staleForeignAndUnknownDirectivesAreRefusedAndCounted() {
    final SimulatedRegion region = region(3, 5);
    region.run(1000);
    region.coreUp = false;
    region.run(12_000);
    final SimulatedRegion.Proxy leader = region.activeLeaders().get(0);
    SimulatedRegion.Proxy found = null;
    for (final SimulatedRegion.Proxy proxy : region.proxies.values()) {
      found = proxy == leader ? found : proxy;
    }
    final SimulatedRegion.Proxy follower = found;
    final long term = leader.election.fencingToken()[1];
    final LeaderDirective directiveBefore = follower.election.directive();
    final long refusedBefore = follower.election.refusedMessages();
    follower.election.receive(
        leader.address,
        leader.incarnation,
        new LeaderDirective(
            "south",
            1,
            term + 1,
            leader.address,
            leader.incarnation,
            99,
            0,
            0,
            null,
            null,
            null,
            null),
        region.now);
    follower.election.receive(
        leader.address,
        leader.incarnation,
        new LeaderDirective(
            "north",
            0,
            term + 1,
            leader.address,
            leader.incarnation,
            99,
            0,
            0,
            null,
            null,
            null,
            null),
        region.now);
    follower.election.receive(
        "10.0.0.99",
        7,
        new LeaderDirective("north", 1, term + 1, "10.0.0.99", 7, 99, 0, 0, null, null, null, null),
        region.now);
    follower.election.receive(
        leader.address,
        leader.incarnation + 1000,
        new LeaderDirective(
            "north",
            1,
            term + 1,
            leader.address,
            leader.incarnation + 1000,
            99,
            0,
            0,
            null,
            null,
            null,
            null),
        region.now);
    follower.election.receive(
        leader.address,
        leader.incarnation,
        new LeaderDirective(
            "north", 1, term, leader.address, leader.incarnation, 1, 0, 0, null, null, null, null),
        region.now);
    assertEquals(
        follower.election.directive(), directiveBefore, "none of these directives is accepted");
    assertEquals(follower.election.refusedMessages() - refusedBefore, 5);
    follower.election.receive(
        "10.0.0.99", 7, new LeaderVoteRequest("north", 1, term + 9, "10.0.0.99", 7), region.now);
    assertEquals(follower.election.leader(), leader.address);
  }

  /**
   * Runs a region under load beyond its capacity while the core is unreachable: leaders are killed
   * and restarted, the region is partitioned, and answers are lost.
   */
  private static SimulatedRegion runCoreOutage(
      final long seed, final boolean checkDisabled, final boolean twoLeaders) {
    final SimulatedRegion region = new SimulatedRegion(seed, 9, id -> checkDisabled);
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
    if (twoLeaders) {
      region.proxies.values().forEach(proxy -> proxy.uncertainWrites.uncertainElsewhere(List.of()));
      region.partitioned = pair -> isLowAddress(pair[0]) != isLowAddress(pair[1]);
      region.publishElectorate(2 + seed);
    }
    for (final SimulatedRegion.Proxy leader : region.activeLeaders()) {
      leader.up = false;
      region.after(4000, leader::restart);
    }
    region.run(8000);
    region.partitioned = pair -> isLowAddress(pair[0]) != isLowAddress(pair[1]);
    region.run(6000);
    region.partitioned = pair -> false;
    region.run(10_000);
    region.coreUp = true;
    region.run(12_000);
    return region;
  }

  @Test
  public void everyWriteRunsAtMostOnceDuringACoreOutage() {
    for (long seed = 0; seed < 25; seed++) {
      final SimulatedRegion region = runCoreOutage(seed, false, false);
      assertFalse(region.leaderHistory.isEmpty(), "seed " + seed + ": a leader was elected");
      assertTrue(region.violations.isEmpty(), "seed " + seed + region.violations);
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
      assertTrue(
          writes > 1580, "seed " + seed + ": only " + writes + " of 1600 writes were executed");
    }
  }

  @Test
  public void twoLeadersDuplicateNoWriteAndADisabledCheckIsDetected() {
    int duplicated = 0;
    for (long seed = 0; seed < 8; seed++) {
      runCoreOutage(seed, false, true)
          .runs
          .forEach((name, count) -> assertTrue(!name.startsWith("write") || count == 1, name));
      for (final var entry : runCoreOutage(seed, true, false).runs.entrySet()) {
        duplicated += entry.getKey().startsWith("write") && entry.getValue() > 1 ? 1 : 0;
      }
    }
    assertTrue(duplicated > 0, "without the check, a lost answer leads to a duplicate write");
  }

  @Test
  public void assessmentAdmitsWritesFirstAndNeverDividesMoreThanTheRegionsShare() {
    final RegionMessages.ProxyObservations overloaded =
        new RegionMessages.ProxyObservations(900, 40, 5, 300, List.of("u1"), List.of("w1"));
    final RegionMessages.ProxyObservations lightlyLoaded =
        new RegionMessages.ProxyObservations(100, 10, 0, 100, List.of("u1", "u2"), null);
    final RegionAssessment assessment =
        RegionAssessment.of(List.of(overloaded, lightlyLoaded), List.of("a", "b"), 3, 0.6);
    assertEquals(assessment.admissionRatio(), (0.9 * 400 - 50) / 1000, 1e-9);
    assertEquals(assessment.suspectUpstreams(), List.of("u1"));
    assertEquals(assessment.uncertainWrites(), List.of("w1"));
    assertEquals(
        assessment.budgetShares().stream().mapToDouble(share -> share).sum(), 0.6 * 2 / 3, 1e-9);
    assertTrue(assessment.budgetShares().get(0) > 5 * assessment.budgetShares().get(1));
    assertEquals(
        RegionAssessment.of(List.of(lightlyLoaded), List.of("b"), 3, 0.6).admissionRatio(),
        1.0,
        "all requests are admitted while no write is refused");
  }
}
