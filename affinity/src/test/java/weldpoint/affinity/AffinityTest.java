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
 * Callers tied to nodes over cutover weekends: nodes and switchboards come, go, freeze and are cut
 * off, the core too.
 */
public final class AffinityTest {
  private static final int CALLERS = 60;

  @BeforeClass
  public void quiet() {
    java.util.logging.Logger.getLogger("").setLevel(java.util.logging.Level.OFF);
  }

  private static void traffic(final AffinitySimulation world) {
    for (int index = 0; index < 3; index++) {
      world.write("firm-" + world.random.nextInt(CALLERS));
    }
    world.after(8, () -> traffic(world));
  }

  private static AffinitySimulation morning(
      final long seed, final AffinitySimulation.Flaw flaw, final int rounds) {
    final AffinitySimulation world = new AffinitySimulation(seed, flaw, 8, 6);
    world.run(2000);
    traffic(world);
    for (int round = 0; round < rounds; round++) {
      world.trouble();
      world.run(400 + world.random.nextInt(2500));
    }
    world.run(12_000);
    return world;
  }

  @Test
  public void noWriteRunsTwiceAndNoTwoNodesWorkForOneCaller() {
    int confirmed = 0;
    int refused = 0;
    long epochs = 0;
    for (long seed = 1; seed <= 120; seed++) {
      final AffinitySimulation world = morning(seed, AffinitySimulation.Flaw.NONE, 14);
      final List<String> breaches = world.finish();
      assertTrue(
          breaches.isEmpty(),
          "seed " + seed + ": " + breaches.subList(0, Math.min(5, breaches.size())));
      confirmed += world.confirmedCount;
      refused += world.refusedCount;
      epochs += world.epoch();
      assertFalse(world.prepared(), "seed " + seed + ": an epoch was never put in force");
    }
    assertTrue(
        confirmed > 120 * 3000,
        "only " + confirmed + " writes were confirmed, " + refused + " refused");
    assertTrue(epochs > 120 * 4, "only " + epochs + " epochs");
  }

  private static int caught(final AffinitySimulation.Flaw flaw) {
    int caught = 0;
    for (long seed = 1; seed <= 20; seed++) {
      caught += morning(seed, flaw, 20).finish().isEmpty() ? 0 : 1;
    }
    return caught;
  }

  @Test
  public void anEpochInForceWithoutConfirmationsIsCaught() {
    final int caught = caught(AffinitySimulation.Flaw.NO_CONFIRMATION);
    assertTrue(caught >= 15, "noticed only " + caught + " times of 20");
  }

  private static List<String> islands(final long seed, final AffinitySimulation.Flaw flaw) {
    final AffinitySimulation world = new AffinitySimulation(seed, flaw, 8, 4);
    world.run(2000);
    traffic(world);
    for (int round = 0; round < 4; round++) {
      world.islands();
      world.run(9000);
    }
    return world.finish();
  }

  @Test
  public void sendingWithoutALeaseIsCaught() {
    int caught = 0;
    for (long seed = 1; seed <= 20; seed++) {
      assertEquals(islands(seed, AffinitySimulation.Flaw.NONE), List.of());
      caught += islands(seed, AffinitySimulation.Flaw.NO_LEASE_CHECK).isEmpty() ? 0 : 1;
    }
    assertTrue(caught >= 18, "noticed only " + caught + " times of 20");
  }

  @Test
  public void aDeclinedWriteSentElsewhereIsCaught() {
    final int caught = caught(AffinitySimulation.Flaw.DECLINED_ELSEWHERE);
    assertTrue(caught >= 10, "noticed only " + caught + " times of 20");
  }

  private static List<PlacementMember> members(final int count, final int capacity) {
    final List<PlacementMember> members = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      members.add(new PlacementMember("i-" + index, index % 2 == 0 ? capacity : capacity * 2, "a"));
    }
    return members;
  }

  @Test
  public void aNewcomerTakesItsShareOnlyAndNobodyElseMoves() {
    final Rendezvous.Table before = new Rendezvous.Table(members(20, 4));
    final Rendezvous.Table after = new Rendezvous.Table(members(21, 4));
    final int callers = 100_000;
    int moved = 0;
    final Map<String, Integer> load = new HashMap<>();
    for (int index = 0; index < callers; index++) {
      final long caller = Rendezvous.caller("desk", "firm-" + index);
      final String was = before.choose(caller, member -> true).id;
      final String is = after.choose(caller, member -> true).id;
      load.merge(was, 1, Integer::sum);
      if (!was.equals(is)) {
        moved++;
        assertEquals(is, "i-20");
      }
    }
    final double share = 4.0 / (10 * 4 + 10 * 8 + 4);
    assertTrue(
        Math.abs(moved / (double) callers - share) < 0.1 * share,
        "moved " + moved + ", its share is " + share * callers);
    for (final PlacementMember member : members(20, 4)) {
      final double ideal = callers * member.capacity / 120.0;
      assertTrue(
          Math.abs(load.get(member.id) - ideal) < 0.06 * ideal,
          member.id + " has " + load.get(member.id) + " of " + ideal);
    }
  }

  @Test
  public void aNameThatIsMissingDoubleOrOverlongGivesTheAddressAndIsCounted() {
    final AffinityKeys callers = new AffinityKeys();
    final Affinity rule = new Affinity(Affinity.CallerIdentity.HEADER, "X-Firm", 1000);
    assertEquals(callers.name(rule, List.of("north"), null, "10.0.0.1"), "hnorth");
    assertEquals(callers.name(rule, List.of(), null, "10.0.0.1"), "a10.0.0.1");
    assertEquals(callers.name(rule, List.of("one", "two"), null, "10.0.0.1"), "a10.0.0.1");
    assertEquals(callers.name(rule, List.of("x".repeat(300)), null, "10.0.0.1"), "a10.0.0.1");
    assertEquals(callers.unnamed() + callers.several() * 10 + callers.overlong() * 100, 111);
    assertEquals(
        callers.name(
            new Affinity(Affinity.CallerIdentity.TENANT, null, 1000),
            List.of(),
            "harbour",
            "10.0.0.1"),
        "tharbour");
    assertEquals(
        callers.name(
            new Affinity(Affinity.CallerIdentity.TENANT, null, 1000), List.of(), null, "10.0.0.1"),
        "a10.0.0.1");
  }

  @Test
  public void anOlderPlacementAndAnotherLifesLeaseAreNotTaken() {
    final List<PlacementMessages.LeaseRequest> asks = new ArrayList<>();
    final AffinityTable affinity = new AffinityTable("b", 7, 2000, asks::add);
    affinity.take(
        new PlacementMessages.Placements(
            5, List.of(new PlacementMessages.Placement("desk", 3, 3, members(2, 4), false, null))),
        1000);
    affinity.take(
        new PlacementMessages.Placements(
            4, List.of(new PlacementMessages.Placement("desk", 4, 4, members(1, 4), false, null))),
        1000);
    assertEquals(affinity.epoch("desk"), 3);
    assertEquals(affinity.decide("desk", 1, member -> true, 1000), WriteDecision.NO_LEASE);
    affinity.granted(new PlacementMessages.LeaseGrant(asks.get(0).number, "b", 6, 2000), 1010);
    assertFalse(affinity.leased(1010));
    affinity.tick(1300);
    affinity.granted(
        new PlacementMessages.LeaseGrant(asks.get(asks.size() - 1).number, "b", 7, 2000), 1310);
    assertEquals(affinity.decide("desk", 1, member -> true, 1310), WriteDecision.GO);
    assertEquals(
        affinity.decide("desk", 1, member -> true, 3300),
        WriteDecision.NO_LEASE,
        "a process that slept must not send on waking");
    assertEquals(affinity.decide("other", 1, member -> true, 1310), WriteDecision.NO_PLACEMENT);
    assertEquals(affinity.decide("desk", 1, member -> false, 1310), WriteDecision.NO_NODE);
  }

  @Test
  public void aKeeperGrantsNothingOnAnOlderMarkNorWithoutAMajority() {
    final PlacementCoordinator coordinator = new PlacementCoordinator("e", 1, 2000, 100, null);
    coordinator.take(
        List.of(new PlacementMessages.Placement("desk", 2, 2, members(2, 4), false, null)),
        new PlacementMessages.PlacementOwner(1, "e", 1),
        2,
        1000);
    assertEquals(
        coordinator.ask(new PlacementMessages.LeaseRequest(1, "b", 1, 1, 1, null), 1000, 1100)
            .millis,
        0);
    assertEquals(
        coordinator.ask(new PlacementMessages.LeaseRequest(2, "b", 1, 2, 2, null), 1000, 1100)
            .millis,
        1900);
    assertEquals(
        coordinator.ask(new PlacementMessages.LeaseRequest(3, "b", 1, 2, 2, null), 1000, 3100)
            .millis,
        0);
    final PlacementCoordinator other = new PlacementCoordinator("f", 1, 2000, 100, null);
    other.take(List.of(), new PlacementMessages.PlacementOwner(1, "e", 1), 2, 1000);
    assertEquals(
        other.ask(new PlacementMessages.LeaseRequest(1, "b", 1, 2, 2, null), 1000, 1100).millis, 0);
  }

  @Test
  public void anEpochChangesWithinAFewHundredMillisecondsAtEightyEightSwitchboards() {
    final AffinitySimulation world =
        new AffinitySimulation(5, AffinitySimulation.Flaw.NONE, 88, 40);
    world.run(5000);
    assertEquals(world.epoch(), 1);
    world.join();
    final long began = world.now;
    while (world.epoch() < 2 && world.now - began < 5000) {
      world.run(10);
    }
    assertTrue(world.now - began < 1200, "it took " + (world.now - began) + " ms");
  }
}
