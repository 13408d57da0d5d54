package weldpoint.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import weldpoint.transport.RegistryMessages;
import weldpoint.transport.StateStoreMessages;

/**
 * Registries that are cut off, restarted while cut off, frozen and unfrozen: none sends a view to a
 * new proxy or acknowledges a change without a majority.
 */
public final class CutOffTest {
  @BeforeClass
  public void disableLogging() {
    java.util.logging.Logger.getLogger("").setLevel(java.util.logging.Level.OFF);
  }

  private static SimulatedCoreNetwork settledNetwork() {
    final SimulatedCoreNetwork net = new SimulatedCoreNetwork(5, 5).startAll(true);
    net.advance(2000);
    net.version = 6;
    net.evacuated = List.of("a");
    net.evacuationMark = 1;
    net.advance(2000);
    return net;
  }

  private static boolean failed(final CompletableFuture<Void> future) {
    return future.isCompletedExceptionally();
  }

  @Test
  public void newProxyGetsNothingFromARegistryRestartedWhileCutOff() {
    final SimulatedCoreNetwork net = settledNetwork();
    net.node(1)
        .core
        .heartbeat(SimulatedCoreNetwork.upstream("u", LifecycleStage.JOINED, 1), net.now);
    net.advance(100);
    net.cut(1, true, true);
    net.restart(1, true);
    net.version = 7;
    for (int round = 0; round < 20; round++) {
      net.node(1).openStream("1" + round, 0);
      net.advance(1000);
      assertEquals(
          net.node(1).views("1" + round), List.of(), "a new proxy was sent an old configuration");
    }
    net.cut.clear();
    net.advance(1000);
    assertEquals(net.node(1).latestVersionSentTo("10"), 7);
  }

  @Test
  public void newProxyGetsNothingFromARegistryThatIsCutOff() {
    for (final boolean[] ways : new boolean[][] {{true, true}, {true, false}, {false, true}}) {
      final SimulatedCoreNetwork net = settledNetwork();
      net.cut(1, ways[0], ways[1]);
      net.advance(1);
      net.version = 7;
      net.node(1).openStream("1", 0);
      net.advance(20_000);
      assertEquals(net.node(1).views("1"), List.of());
      net.cut.clear();
      net.advance(4000);
      assertEquals(net.node(1).latestVersionSentTo("1"), 7);
    }
  }

  @Test
  public void servingProxyIsStillSentAView() {
    final SimulatedCoreNetwork net = settledNetwork();
    net.cut(1, true, true);
    net.advance(5000);
    net.node(1).openStream("1", 6);
    net.advance(100);
    assertEquals(net.node(1).views("1").size(), 1);
  }

  @Test
  public void afterAPowerLossANewProxyGetsAcknowledgedStateBeforeTheStoreHasAMajority() {
    final SimulatedCoreNetwork net = settledNetwork();
    net.cut(1, true, true);
    net.version = 7;
    net.advance(500);
    final CompletableFuture<Void> acknowledged =
        net.node(2).core.replicateConfiguration(7, SimulatedCoreNetwork.spec(7), net.now);
    net.advance(100);
    assertTrue(acknowledged.isDone() && !failed(acknowledged));
    net.storeDown = true;
    net.cut.clear();
    for (int index = 1; index <= 5; index++) {
      net.restart(index, true);
    }
    net.node(1).openStream("1", 0);
    net.node(5).openStream("5", 0);
    net.advance(150);
    assertEquals(net.node(1).latestVersionSentTo("1"), 7);
    assertEquals(
        net.node(1).views("1").get(0).version, 7, "the first view had an old configuration");
    assertEquals(net.node(5).latestVersionSentTo("5"), 7);
  }

  @Test
  public void configurationIsNotAcknowledgedWithoutAMajorityOfRegistries() {
    final SimulatedCoreNetwork net = settledNetwork();
    net.cut(1, true, true);
    final CompletableFuture<Void> cutOffWrite =
        net.node(1).core.replicateConfiguration(7, SimulatedCoreNetwork.spec(7), net.now);
    net.advance(1000);
    assertTrue(failed(cutOffWrite));
    net.version = 8;
    final CompletableFuture<Void> connectedWrite =
        net.node(2).core.replicateConfiguration(7, null, net.now);
    net.advance(1000);
    assertTrue(connectedWrite.isDone() && !failed(connectedWrite));
    assertEquals(
        net.node(3).core.status(net.now).version(),
        "00000008",
        "an older version is acknowledged once the later one that supersedes it is replicated");
  }

  @Test
  public void evacuationIsAcknowledgedOnlyOnceANewProxyWouldLearnOfIt() {
    final SimulatedCoreNetwork net = settledNetwork();
    net.evacuated = List.of("a", "b");
    net.evacuationMark = 2;
    final CompletableFuture<Void> done = net.node(2).core.replicateControlState(net.now);
    net.advance(200);
    assertTrue(done.isDone() && !failed(done));
    net.storeDown = true;
    for (int index = 1; index <= 5; index++) {
      net.restart(index, true);
    }
    net.node(1).openStream("1", 0);
    net.advance(500);
    assertEquals(net.node(1).views("1").get(0).evacuated, List.of("a", "b"));
    net.cut(1, true, true);
    final CompletableFuture<Void> alone = net.node(1).core.replicateControlState(net.now);
    net.advance(1000);
    assertTrue(failed(alone));
  }

  @Test
  public void repeatedDrainIsAcknowledgedByAMajorityEachTime() {
    final SimulatedCoreNetwork net = settledNetwork();
    net.node(1)
        .core
        .heartbeat(SimulatedCoreNetwork.upstream("i", LifecycleStage.JOINED, 1), net.now);
    net.advance(100);
    final CompletableFuture<Void> first =
        net.node(1)
            .core
            .heartbeat(SimulatedCoreNetwork.upstream("i", LifecycleStage.DRAINING, 2), net.now);
    net.advance(100);
    assertTrue(first.isDone() && !failed(first));
    net.cut(1, true, true);
    final CompletableFuture<Void> again =
        net.node(1)
            .core
            .heartbeat(SimulatedCoreNetwork.upstream("i", LifecycleStage.DRAINING, 3), net.now);
    final CompletableFuture<Void> gone = net.node(1).core.deregister("i", 1, net.now);
    final CompletableFuture<Void> goneAgain = net.node(1).core.deregister("i", 1, net.now);
    final CompletableFuture<Void> late =
        net.node(1)
            .core
            .heartbeat(SimulatedCoreNetwork.upstream("i", LifecycleStage.DRAINING, 2), net.now);
    net.advance(1000);
    for (final CompletableFuture<Void> future : List.of(again, gone, goneAgain, late)) {
      assertTrue(
          failed(future), "acknowledged without a majority that confirmed it after the request");
    }
  }

  @Test
  public void newProxyNeverSeesAnUpstreamAsRoutableThatAMajorityKnowsToBeDraining() {
    final SimulatedCoreNetwork net = settledNetwork();
    net.node(1)
        .core
        .heartbeat(SimulatedCoreNetwork.upstream("i", LifecycleStage.JOINED, 1), net.now);
    net.advance(100);
    net.cut(1, true, true);
    final CompletableFuture<Void> drained =
        net.node(2)
            .core
            .heartbeat(SimulatedCoreNetwork.upstream("i", LifecycleStage.DRAINING, 2), net.now);
    net.advance(100);
    assertTrue(drained.isDone() && !failed(drained));
    net.storeDown = true;
    net.cut.clear();
    for (int index = 1; index <= 5; index++) {
      net.restart(index, true);
    }
    net.node(1).openStream("1", 0);
    net.advance(500);
    final List<RegistryMessages.Registration> received =
        new ArrayList<>(
            RegistrationBuckets.unpack(net.node(1).views("1").get(0).packedRegistrations));
    assertEquals(
        received.stream().map(one -> LifecycleStage.of(one)).toList(),
        List.of(LifecycleStage.DRAINING));
  }

  @Test
  public void unfrozenRegistryAcknowledgesNothingPastItsDeadline() {
    final SimulatedCoreNetwork net = settledNetwork();
    final CompletableFuture<Void> drained =
        net.node(1)
            .core
            .heartbeat(SimulatedCoreNetwork.upstream("i", LifecycleStage.DRAINING, 2), net.now);
    net.advance(3);
    net.freeze(1);
    net.advance(5000);
    net.unfreeze(1);
    net.advance(1000);
    assertTrue(failed(drained));
  }

  @Test
  public void wipedDiskDoesNotCountUntilItsBootstrapIsFinished() {
    final SimulatedCoreNetwork net = settledNetwork();
    net.cut(4, true, true);
    net.cut(5, true, true);
    net.node(1)
        .core
        .heartbeat(SimulatedCoreNetwork.upstream("i", LifecycleStage.JOINED, 1), net.now);
    final CompletableFuture<Void> drained =
        net.node(1)
            .core
            .heartbeat(SimulatedCoreNetwork.upstream("i", LifecycleStage.DRAINING, 2), net.now);
    net.advance(100);
    assertTrue(drained.isDone() && !failed(drained));
    net.storeDown = true;
    net.cut.clear();
    net.cut(1, true, true);
    net.cut(2, true, true);
    net.restart(3, false);
    net.node(4).openStream("4", 0);
    net.advance(9000);
    assertEquals(
        net.node(4).views("4"),
        List.of(),
        "3 lost its disk, 1 and 2 are unreachable: 4 and 5 cannot know of the drain");
    net.cut.clear();
    net.cut(1, true, true);
    net.advance(6000);
    assertEquals(
        RegistrationBuckets.unpack(net.node(4).views("4").get(0).packedRegistrations).stream()
            .map(one -> LifecycleStage.of(one))
            .toList(),
        List.of(LifecycleStage.DRAINING));
    net.cut(2, true, true);
    net.node(5).openStream("5", 0);
    net.advance(1000);
    assertEquals(
        net.node(5).views("5").size() > 0, true, "3 has finished its bootstrap and counts");
  }

  @Test
  public void newVoterBootstrapsBeforeItCounts() {
    final SimulatedCoreNetwork net = new SimulatedCoreNetwork(6, 5).startAll(true);
    net.advance(4000);
    net.version = 6;
    net.advance(1000);
    net.cut(6, true, true);
    net.cut(4, true, true);
    net.cut(5, true, true);
    final CompletableFuture<Void> drained =
        net.node(1)
            .core
            .heartbeat(SimulatedCoreNetwork.upstream("i", LifecycleStage.DRAINING, 2), net.now);
    net.advance(100);
    assertTrue(drained.isDone() && !failed(drained));
    net.storeDown = true;
    net.roster =
        SimulatedCoreNetwork.roster(
            3, List.of("10.0.0.2", "10.0.0.3", "10.0.0.4", "10.0.0.5", "10.0.0.6"));
    net.cut.clear();
    net.cut(1, true, true);
    net.cut(2, true, true);
    net.cut(3, true, true);
    for (int index = 4; index <= 6; index++) {
      net.node(index)
          .core
          .receive(
              "10.0.0.9",
              new RegistryMessages.ControlStateResponse(
                  0, net.roster, false, 0, 0, null, null, 0, null, 0, null, 0),
              ignored -> {},
              net.now);
    }
    net.node(5).openStream("5", 0);
    net.advance(9000);
    assertEquals(
        net.node(5).views("5"),
        List.of(),
        "4, 5 and the new voter are a majority, but none of them has what 1, 2 and 3 acknowledged");
    net.cut.clear();
    net.advance(5000);
    assertTrue(net.node(5).views("5").size() > 0);
    assertEquals(
        LifecycleStage.of(net.node(6).core.registrations().get("i")), LifecycleStage.DRAINING);
  }

  @Test
  public void acknowledgementNeedsMajoritiesOfTheCurrentAndThePreviousRoster() {
    final SimulatedCoreNetwork net = new SimulatedCoreNetwork(7, 5).startAll(true);
    net.advance(4000);
    net.cut(2, true, true);
    net.cut(3, true, true);
    net.cut(4, true, true);
    net.roster = SimulatedCoreNetwork.roster(2, List.of("10.0.0.1", "10.0.0.5", "10.0.0.6"));
    net.advance(800);
    final CompletableFuture<Void> drained =
        net.node(1)
            .core
            .heartbeat(SimulatedCoreNetwork.upstream("i", LifecycleStage.DRAINING, 2), net.now);
    net.advance(1000);
    assertTrue(
        failed(drained),
        "1, 5 and 6 are a majority of the new roster, but 2, 3 and 4 may not know of it yet");
    net.advance(3000);
    final CompletableFuture<Void> later =
        net.node(1)
            .core
            .heartbeat(SimulatedCoreNetwork.upstream("i", LifecycleStage.DRAINING, 3), net.now);
    net.advance(1000);
    assertTrue(later.isDone() && !failed(later));
  }

  @Test
  public void onlyARegistryWithoutAMajorityIsCutOff() {
    final SimulatedCoreNetwork net = settledNetwork();
    for (int index = 1; index <= 5; index++) {
      assertFalse(net.node(index).core.cutOff(net.now));
    }
    net.storeDown = true;
    net.advance(5000);
    assertFalse(
        net.node(1).core.cutOff(net.now),
        "no replica holds the partition, but the voters are reachable: calls wait");
    net.storeDown = false;
    net.advance(2000);
    for (final boolean[] ways : new boolean[][] {{true, true}, {true, false}, {false, true}}) {
      net.cut(1, ways[0], ways[1]);
      net.advance(3000);
      assertTrue(net.node(1).core.cutOff(net.now));
      assertEquals(net.node(1).core.registryWithMajority(net.now), null);
      assertFalse(net.node(2).core.cutOff(net.now));
      net.restart(1, true);
      net.advance(1600);
      assertTrue(net.node(1).core.cutOff(net.now), "restarted while cut off");
      net.cut.clear();
      net.advance(1500);
      assertFalse(net.node(1).core.cutOff(net.now));
    }
  }

  @Test
  public void cutOffRegistryNamesAPeerThatRecentlyReportedAMajority() {
    final SimulatedCoreNetwork net = new SimulatedCoreNetwork(7, 5).startAll(true);
    net.advance(4000);
    net.version = 6;
    for (int voter = 2; voter <= 5; voter++) {
      net.cut("10.0.0.1", "10.0.0." + voter, true, true);
    }
    net.cut("10.0.0.1", "10.0.0.6", true, true);
    net.advance(4000);
    assertTrue(net.node(1).core.cutOff(net.now));
    assertEquals(net.node(1).core.registryWithMajority(net.now), "10.0.0.7");
    net.cut(7, true, true);
    net.advance(1500);
    assertEquals(net.node(1).core.registryWithMajority(net.now), null);
  }

  /**
   * All registries lose power and restart; a new proxy opens a stream at the first registry and
   * gets its view once the first quorum read is complete.
   */
  private static SimulatedCoreNetwork restartedAfterPowerLoss(
      final java.util.function.Consumer<SimulatedCoreNetwork.Node> checksOverride) {
    final SimulatedCoreNetwork net = settledNetwork();
    net.storeDown = true;
    net.checksOverride = checksOverride;
    for (int index = 1; index <= 5; index++) {
      net.restart(index, true);
    }
    net.node(1).openStream("1", 0);
    net.advance(660);
    assertEquals(net.node(1).latestVersionSentTo("1"), 6);
    return net;
  }

  @Test
  public void afterAPowerLossOneReadServesAllReconnectingProxiesDuringItsLease() {
    final SimulatedCoreNetwork net = restartedAfterPowerLoss(null);
    net.cut(1, true, true);
    final CompletableFuture<Void> write =
        net.node(2).core.replicateConfiguration(7, SimulatedCoreNetwork.spec(7), net.now);
    net.advance(150);
    net.node(1).openStream("2", 0);
    net.advance(1);
    assertEquals(net.node(1).latestVersionSentTo("2"), 6, "the lease still holds");
    assertFalse(write.isDone(), "acknowledged while 1 may still send the old configuration");
    net.advance(750);
    assertTrue(write.isDone() && !failed(write), "the lease has expired");
    net.node(1).openStream("3", 0);
    net.advance(5000);
    assertEquals(net.node(1).views("3"), List.of(), "a view was sent after the lease had expired");
  }

  @Test
  public void leaseThatExpiredDuringAFreezeServesNobody() {
    final SimulatedCoreNetwork net = restartedAfterPowerLoss(null);
    net.freeze(1);
    final CompletableFuture<Void> write =
        net.node(2).core.replicateConfiguration(7, SimulatedCoreNetwork.spec(7), net.now);
    net.advance(1200);
    assertTrue(write.isDone() && !failed(write));
    net.cut(1, true, true);
    net.unfreeze(1);
    net.node(1).openStream("2", 0);
    net.advance(3000);
    assertEquals(net.node(1).latestVersionSentTo("2"), net.node(1).views("2").isEmpty() ? 0 : 7);
  }

  // ---- broken variants of the quorum checks: each must be detected

  @Test
  public void detectsALeaseHeldLongerThanGranted() {
    final SimulatedCoreNetwork net =
        restartedAfterPowerLoss(
            node ->
                node.core.replaceQuorumChecks(
                    new QuorumWrites(),
                    new QuorumReads(node.address) {
                      @Override
                      long leasedUntil(final StateStoreMessages.Roster roster) {
                        return super.leasedUntil(roster) + 10_000;
                      }
                    },
                    new MajorityReachability(node.address, (to, message) -> {})));
    net.cut(1, true, true);
    final CompletableFuture<Void> write =
        net.node(2).core.replicateConfiguration(7, SimulatedCoreNetwork.spec(7), net.now);
    net.advance(880);
    assertTrue(write.isDone() && !failed(write));
    net.node(1).openStream("3", 0);
    net.advance(100);
    assertEquals(
        net.node(1).latestVersionSentTo("3"),
        6,
        "the broken variant sends the old configuration after the new one was acknowledged");
  }

  private static SimulatedCoreNetwork networkWithBrokenChecks(
      final java.util.function.Consumer<SimulatedCoreNetwork.Node> checksOverride) {
    final SimulatedCoreNetwork net = new SimulatedCoreNetwork(5, 5);
    net.checksOverride = checksOverride;
    net.startAll(true);
    net.advance(2000);
    net.version = 6;
    net.advance(2000);
    return net;
  }

  @Test
  public void detectsAReadThatCountsOnlyItself() {
    final SimulatedCoreNetwork net =
        networkWithBrokenChecks(
            node ->
                node.core.replaceQuorumChecks(
                    new QuorumWrites(),
                    new QuorumReads(node.address) {
                      @Override
                      boolean completeReads(
                          final StateStoreMessages.Roster roster, final boolean whole) {
                        return super.completeReads(
                            new StateStoreMessages.Roster(
                                1,
                                List.of(
                                    new StateStoreMessages.Voter(node.address, "", "", List.of()))),
                            whole);
                      }
                    },
                    new MajorityReachability(node.address, (to, message) -> {})));
    net.cut(1, true, true);
    net.restart(1, true);
    net.version = 7;
    net.node(1).openStream("1", 0);
    net.advance(1000);
    assertEquals(
        net.node(1).latestVersionSentTo("1"),
        6,
        "the broken variant sends the old configuration; the unbroken test would fail");
  }

  @Test
  public void detectsAReadCompletedBeforeTheRequest() {
    final SimulatedCoreNetwork net =
        networkWithBrokenChecks(
            node ->
                node.core.replaceQuorumChecks(
                    new QuorumWrites(),
                    new QuorumReads(node.address) {
                      @Override
                      long requestRead() {
                        return Math.min(super.requestRead(), Math.max(1, lastCompleted()));
                      }
                    },
                    new MajorityReachability(node.address, (to, message) -> {})));
    net.node(1).openStream("0", 0);
    net.advance(1000);
    net.cut(1, true, true);
    net.version = 7;
    net.node(1).openStream("1", 0);
    net.advance(1000);
    assertEquals(
        net.node(1).latestVersionSentTo("1"),
        6,
        "the broken variant accepts a confirmation from before the request");
  }

  @Test
  public void detectsAnAcknowledgementCountedAfterUnfreezing() {
    final SimulatedCoreNetwork net =
        networkWithBrokenChecks(
            node ->
                node.core.replaceQuorumChecks(
                    new QuorumWrites() {
                      @Override
                      void acknowledged(
                          final String from,
                          final long key,
                          final StateStoreMessages.Roster roster,
                          final StateStoreMessages.Roster before,
                          final long now) {
                        super.acknowledged(from, key, roster, before, Long.MIN_VALUE);
                      }
                    },
                    new QuorumReads(node.address),
                    new MajorityReachability(node.address, (to, message) -> {})));
    final CompletableFuture<Void> drained =
        net.node(1)
            .core
            .heartbeat(SimulatedCoreNetwork.upstream("i", LifecycleStage.DRAINING, 2), net.now);
    net.advance(3);
    net.freeze(1);
    net.advance(5000);
    net.unfreeze(1);
    net.advance(1000);
    assertFalse(
        failed(drained),
        "the broken variant acknowledges with answers that were delivered after the freeze");
  }
}
