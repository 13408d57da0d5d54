package weldpoint.affinity;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import weldpoint.routing.Affinity;
import weldpoint.transport.PlacementMessages;
import weldpoint.transport.PlacementMessages.PlacementMember;

/**
 * Checks that bound writes are executed at most once and on one node per caller, while nodes and
 * proxies join, leave, freeze and lose their connections, and the core does too.
 */
public final class AffinityTest {
  private static final int CALLERS = 60;

  @BeforeClass
  public void disableLogging() {
    java.util.logging.Logger.getLogger("").setLevel(java.util.logging.Level.OFF);
  }

  private static void traffic(final AffinitySimulation simulation) {
    for (int index = 0; index < 3; index++) {
      simulation.write("firm-" + simulation.random.nextInt(CALLERS));
    }
    simulation.after(8, () -> traffic(simulation));
  }

  private static AffinitySimulation runWithFaults(
      final long seed, final AffinitySimulation.Flaw flaw, final int rounds) {
    final AffinitySimulation simulation = new AffinitySimulation(seed, flaw, 8, 6);
    simulation.run(2000);
    traffic(simulation);
    for (int round = 0; round < rounds; round++) {
      simulation.injectFault();
      simulation.run(400 + simulation.random.nextInt(2500));
    }
    simulation.run(12_000);
    return simulation;
  }

  @Test
  public void noWriteRunsTwiceAndNoTwoNodesWorkForOneCaller() {
    int confirmed = 0;
    int refused = 0;
    long epochs = 0;
    for (long seed = 1; seed <= 120; seed++) {
      final AffinitySimulation simulation = runWithFaults(seed, AffinitySimulation.Flaw.NONE, 14);
      final List<String> violations = simulation.finish();
      assertTrue(
          violations.isEmpty(),
          "seed " + seed + ": " + violations.subList(0, Math.min(5, violations.size())));
      confirmed += simulation.confirmedCount;
      refused += simulation.refusedCount;
      epochs += simulation.epoch();
      assertFalse(
          simulation.prepared(), "seed " + seed + ": a prepared epoch was never put in force");
    }
    assertTrue(
        confirmed > 120 * 3000,
        "only " + confirmed + " writes were confirmed, " + refused + " refused");
    assertTrue(epochs > 120 * 4, "only " + epochs + " epochs");
  }

  private static int countDetected(final AffinitySimulation.Flaw flaw) {
    int detected = 0;
    for (long seed = 1; seed <= 20; seed++) {
      detected += runWithFaults(seed, flaw, 20).finish().isEmpty() ? 0 : 1;
    }
    return detected;
  }

  @Test
  public void anEpochInForceWithoutConfirmationsIsDetected() {
    final int detected = countDetected(AffinitySimulation.Flaw.NO_CONFIRMATION);
    assertTrue(detected >= 15, "noticed only " + detected + " times of 20");
  }

  private static List<String> runWithPartitions(
      final long seed, final AffinitySimulation.Flaw flaw) {
    final AffinitySimulation simulation = new AffinitySimulation(seed, flaw, 8, 4);
    simulation.run(2000);
    traffic(simulation);
    for (int round = 0; round < 4; round++) {
      simulation.partitionEverySecondProxy();
      simulation.run(9000);
    }
    return simulation.finish();
  }

  @Test
  public void sendingWithoutALeaseIsDetected() {
    int detected = 0;
    for (long seed = 1; seed <= 20; seed++) {
      assertEquals(runWithPartitions(seed, AffinitySimulation.Flaw.NONE), List.of());
      detected += runWithPartitions(seed, AffinitySimulation.Flaw.NO_LEASE_CHECK).isEmpty() ? 0 : 1;
    }
    assertTrue(detected >= 18, "noticed only " + detected + " times of 20");
  }

  @Test
  public void aDeclinedWriteSentElsewhereIsDetected() {
    final int detected = countDetected(AffinitySimulation.Flaw.DECLINED_ELSEWHERE);
    assertTrue(detected >= 10, "noticed only " + detected + " times of 20");
  }

  private static List<PlacementMember> members(final int count, final int capacity) {
    final List<PlacementMember> members = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      members.add(new PlacementMember("i-" + index, index % 2 == 0 ? capacity : capacity * 2, "a"));
    }
    return members;
  }

  @Test
  public void aNewMemberTakesOnlyItsShareAndNoOtherCallerMoves() {
    final Rendezvous.Table before = new Rendezvous.Table(members(20, 4));
    final Rendezvous.Table after = new Rendezvous.Table(members(21, 4));
    final int callerCount = 100_000;
    int moved = 0;
    final Map<String, Integer> load = new HashMap<>();
    for (int index = 0; index < callerCount; index++) {
      final long caller = Rendezvous.callerHash("desk", "firm-" + index);
      final String oldNode = before.choose(caller, member -> true).id;
      final String newNode = after.choose(caller, member -> true).id;
      load.merge(oldNode, 1, Integer::sum);
      if (!oldNode.equals(newNode)) {
        moved++;
        assertEquals(newNode, "i-20");
      }
    }
    final double share = 4.0 / (10 * 4 + 10 * 8 + 4);
    assertTrue(
        Math.abs(moved / (double) callerCount - share) < 0.1 * share,
        "moved " + moved + ", its share is " + share * callerCount);
    for (final PlacementMember member : members(20, 4)) {
      final double ideal = callerCount * member.capacity / 120.0;
      assertTrue(
          Math.abs(load.get(member.id) - ideal) < 0.06 * ideal,
          member.id + " has " + load.get(member.id) + " of " + ideal);
    }
  }

  @Test
  public void aMissingRepeatedOrOverlongHeaderFallsBackToTheAddressAndIsCounted() {
    final AffinityKeys affinityKeys = new AffinityKeys();
    final Affinity rule = new Affinity(Affinity.CallerIdentity.HEADER, "X-Firm", 1000);
    assertEquals(affinityKeys.keyFor(rule, List.of("north"), null, "10.0.0.1"), "hnorth");
    assertEquals(affinityKeys.keyFor(rule, List.of(), null, "10.0.0.1"), "a10.0.0.1");
    assertEquals(affinityKeys.keyFor(rule, List.of("one", "two"), null, "10.0.0.1"), "a10.0.0.1");
    assertEquals(
        affinityKeys.keyFor(rule, List.of("x".repeat(300)), null, "10.0.0.1"), "a10.0.0.1");
    assertEquals(
        affinityKeys.missingHeaders()
            + affinityKeys.repeatedHeaders() * 10
            + affinityKeys.overlongHeaders() * 100,
        111);
    assertEquals(
        affinityKeys.keyFor(
            new Affinity(Affinity.CallerIdentity.TENANT, null, 1000),
            List.of(),
            "harbour",
            "10.0.0.1"),
        "tharbour");
    assertEquals(
        affinityKeys.keyFor(
            new Affinity(Affinity.CallerIdentity.TENANT, null, 1000), List.of(), null, "10.0.0.1"),
        "a10.0.0.1");
  }

  @Test
  public void anOlderPlacementAndALeaseOfAnotherIncarnationAreIgnored() {
    final List<PlacementMessages.LeaseRequest> requests = new ArrayList<>();
    final AffinityTable affinity = new AffinityTable("b", 7, 2000, requests::add);
    affinity.updatePlacements(
        new PlacementMessages.Placements(
            5, List.of(new PlacementMessages.Placement("desk", 3, 3, members(2, 4), false, null))),
        1000);
    affinity.updatePlacements(
        new PlacementMessages.Placements(
            4, List.of(new PlacementMessages.Placement("desk", 4, 4, members(1, 4), false, null))),
        1000);
    assertEquals(affinity.epoch("desk"), 3);
    assertEquals(affinity.decide("desk", 1, member -> true, 1000), WriteDecision.NO_LEASE);
    affinity.onLeaseGrant(
        new PlacementMessages.LeaseGrant(requests.get(0).number, "b", 6, 2000), 1010);
    assertFalse(affinity.hasLease(1010));
    affinity.tick(1300);
    affinity.onLeaseGrant(
        new PlacementMessages.LeaseGrant(requests.get(requests.size() - 1).number, "b", 7, 2000),
        1310);
    assertEquals(affinity.decide("desk", 1, member -> true, 1310), WriteDecision.GO);
    assertEquals(
        affinity.decide("desk", 1, member -> true, 3300),
        WriteDecision.NO_LEASE,
        "a process that was suspended must not send when it resumes");
    assertEquals(affinity.decide("other", 1, member -> true, 1310), WriteDecision.NO_PLACEMENT);
    assertEquals(affinity.decide("desk", 1, member -> false, 1310), WriteDecision.NO_NODE);
  }

  @Test
  public void anOwnerGrantsNoLeaseOnAnOlderVersionOrWithoutAMajority() {
    final PlacementCoordinator coordinator = new PlacementCoordinator("e", 1, 2000, 100, null);
    coordinator.update(
        List.of(new PlacementMessages.Placement("desk", 2, 2, members(2, 4), false, null)),
        new PlacementMessages.PlacementOwner(1, "e", 1),
        2,
        1000);
    assertEquals(
        coordinator.handleLeaseRequest(
                new PlacementMessages.LeaseRequest(1, "b", 1, 1, 1, null), 1000, 1100)
            .leaseMillis,
        0);
    assertEquals(
        coordinator.handleLeaseRequest(
                new PlacementMessages.LeaseRequest(2, "b", 1, 2, 2, null), 1000, 1100)
            .leaseMillis,
        1900);
    assertEquals(
        coordinator.handleLeaseRequest(
                new PlacementMessages.LeaseRequest(3, "b", 1, 2, 2, null), 1000, 3100)
            .leaseMillis,
        0);
    final PlacementCoordinator other = new PlacementCoordinator("f", 1, 2000, 100, null);
    other.update(List.of(), new PlacementMessages.PlacementOwner(1, "e", 1), 2, 1000);
    assertEquals(
        other.handleLeaseRequest(
                new PlacementMessages.LeaseRequest(1, "b", 1, 2, 2, null), 1000, 1100)
            .leaseMillis,
        0);
  }

  @Test
  public void anEpochChangesWithinAFewHundredMillisecondsAtEightyEightProxies() {
    final AffinitySimulation simulation =
        new AffinitySimulation(5, AffinitySimulation.Flaw.NONE, 88, 40);
    simulation.run(5000);
    assertEquals(simulation.epoch(), 1);
    simulation.addNode();
    final long began = simulation.now;
    while (simulation.epoch() < 2 && simulation.now - began < 5000) {
      simulation.run(10);
    }
    assertTrue(simulation.now - began < 1200, "it took " + (simulation.now - began) + " ms");
  }
}
