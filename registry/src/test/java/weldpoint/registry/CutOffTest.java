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
 * Exchanges that are cut off, restarted while cut off, frozen and thawed: none gives or
 * acknowledges anything on its own authority.
 */
public final class CutOffTest {
  @BeforeClass
  public void quiet() {
    java.util.logging.Logger.getLogger("").setLevel(java.util.logging.Level.OFF);
  }

  private static SimulatedCoreNetwork settled() {
    final SimulatedCoreNetwork net = new SimulatedCoreNetwork(5, 5).startAll(true);
    net.pass(2000);
    net.version = 6;
    net.evacuated = List.of("a");
    net.evacuationMark = 1;
    net.pass(2000);
    return net;
  }

  private static boolean refused(final CompletableFuture<Void> future) {
    return future.isCompletedExceptionally();
  }

  @Test
  public void aFreshSwitchboardGetsNothingFromAnExchangeThatRestartedWhileCutOff() {
    final SimulatedCoreNetwork net = settled();
    net.node(1).core.beat(SimulatedCoreNetwork.upstream("u", LifecycleStage.JOINED, 1), net.now);
    net.pass(100);
    net.cut(1, true, true);
    net.restart(1, true);
    net.version = 7;
    for (int round = 0; round < 20; round++) {
      net.node(1).opens("1" + round, 0);
      net.pass(1000);
      assertEquals(
          net.node(1).views("1" + round),
          List.of(),
          "an old configuration set a fresh switchboard going");
    }
    net.cut.clear();
    net.pass(1000);
    assertEquals(net.node(1).given("10"), 7);
  }

  @Test
  public void aFreshSwitchboardGetsNothingFromAnExchangeThatIsCutOffNow() {
    for (final boolean[] ways : new boolean[][] {{true, true}, {true, false}, {false, true}}) {
      final SimulatedCoreNetwork net = settled();
      net.cut(1, ways[0], ways[1]);
      net.pass(1);
      net.version = 7;
      net.node(1).opens("1", 0);
      net.pass(20_000);
      assertEquals(net.node(1).views("1"), List.of());
      net.cut.clear();
      net.pass(4000);
      assertEquals(net.node(1).given("1"), 7);
    }
  }

  @Test
  public void aSwitchboardThatServesIsServedOn() {
    final SimulatedCoreNetwork net = settled();
    net.cut(1, true, true);
    net.pass(5000);
    net.node(1).opens("1", 6);
    net.pass(100);
    assertEquals(net.node(1).views("1").size(), 1);
  }

  @Test
  public void
      afterALossOfPowerAFreshSwitchboardGetsWhatWasAcknowledgedBeforeTheFramesHaveAMajority() {
    final SimulatedCoreNetwork net = settled();
    net.cut(1, true, true);
    net.version = 7;
    net.pass(500);
    final CompletableFuture<Void> acknowledged =
        net.node(2).core.spread(7, SimulatedCoreNetwork.spec(7), net.now);
    net.pass(100);
    assertTrue(acknowledged.isDone() && !refused(acknowledged));
    net.framesDown = true;
    net.cut.clear();
    for (int index = 1; index <= 5; index++) {
      net.restart(index, true);
    }
    net.node(1).opens("1", 0);
    net.node(5).opens("5", 0);
    net.pass(150);
    assertEquals(net.node(1).given("1"), 7);
    assertEquals(net.node(1).views("1").get(0).version, 7, "the first view was an old one");
    assertEquals(net.node(5).given("5"), 7);
  }

  @Test
  public void aConfigurationIsNotAcknowledgedWithoutAMajorityOfExchanges() {
    final SimulatedCoreNetwork net = settled();
    net.cut(1, true, true);
    final CompletableFuture<Void> cutOff =
        net.node(1).core.spread(7, SimulatedCoreNetwork.spec(7), net.now);
    net.pass(1000);
    assertTrue(refused(cutOff));
    net.version = 8;
    final CompletableFuture<Void> reached = net.node(2).core.spread(7, null, net.now);
    net.pass(1000);
    assertTrue(reached.isDone() && !refused(reached));
    assertEquals(
        net.node(3).core.status(net.now).version(),
        "00000008",
        "an older number is acknowledged once the later one that holds is everywhere");
  }

  @Test
  public void anEvacuationIsAcknowledgedOnlyOnceAFreshSwitchboardWouldLearnOfIt() {
    final SimulatedCoreNetwork net = settled();
    net.evacuated = List.of("a", "b");
    net.evacuationMark = 2;
    final CompletableFuture<Void> done = net.node(2).core.settle(net.now);
    net.pass(200);
    assertTrue(done.isDone() && !refused(done));
    net.framesDown = true;
    for (int index = 1; index <= 5; index++) {
      net.restart(index, true);
    }
    net.node(1).opens("1", 0);
    net.pass(500);
    assertEquals(net.node(1).views("1").get(0).evacuated, List.of("a", "b"));
    net.cut(1, true, true);
    final CompletableFuture<Void> alone = net.node(1).core.settle(net.now);
    net.pass(1000);
    assertTrue(refused(alone));
  }

  @Test
  public void aDrainIsAcknowledgedByAMajorityEachTimeItIsSaid() {
    final SimulatedCoreNetwork net = settled();
    net.node(1).core.beat(SimulatedCoreNetwork.upstream("i", LifecycleStage.JOINED, 1), net.now);
    net.pass(100);
    final CompletableFuture<Void> first =
        net.node(1)
            .core
            .beat(SimulatedCoreNetwork.upstream("i", LifecycleStage.DRAINING, 2), net.now);
    net.pass(100);
    assertTrue(first.isDone() && !refused(first));
    net.cut(1, true, true);
    final CompletableFuture<Void> again =
        net.node(1)
            .core
            .beat(SimulatedCoreNetwork.upstream("i", LifecycleStage.DRAINING, 3), net.now);
    final CompletableFuture<Void> gone = net.node(1).core.deregister("i", 1, net.now);
    final CompletableFuture<Void> goneAgain = net.node(1).core.deregister("i", 1, net.now);
    final CompletableFuture<Void> late =
        net.node(1)
            .core
            .beat(SimulatedCoreNetwork.upstream("i", LifecycleStage.DRAINING, 2), net.now);
    net.pass(1000);
    for (final CompletableFuture<Void> future : List.of(again, gone, goneAgain, late)) {
      assertTrue(refused(future), "acknowledged without a majority since the question");
    }
  }

  @Test
  public void aFreshSwitchboardNeverHearsOfAnUpstreamAsOpenThatAMajorityKnowsToLeave() {
    final SimulatedCoreNetwork net = settled();
    net.node(1).core.beat(SimulatedCoreNetwork.upstream("i", LifecycleStage.JOINED, 1), net.now);
    net.pass(100);
    net.cut(1, true, true);
    final CompletableFuture<Void> drained =
        net.node(2)
            .core
            .beat(SimulatedCoreNetwork.upstream("i", LifecycleStage.DRAINING, 2), net.now);
    net.pass(100);
    assertTrue(drained.isDone() && !refused(drained));
    net.framesDown = true;
    net.cut.clear();
    for (int index = 1; index <= 5; index++) {
      net.restart(index, true);
    }
    net.node(1).opens("1", 0);
    net.pass(500);
    final List<RegistryMessages.Registration> given =
        new ArrayList<>(
            RegistrationBuckets.unpack(net.node(1).views("1").get(0).packedRegistrations));
    assertEquals(
        given.stream().map(one -> LifecycleStage.of(one)).toList(),
        List.of(LifecycleStage.DRAINING));
  }

  @Test
  public void aThawedExchangeAcknowledgesNothingThatItsDeadlineHasPassedFor() {
    final SimulatedCoreNetwork net = settled();
    final CompletableFuture<Void> drained =
        net.node(1)
            .core
            .beat(SimulatedCoreNetwork.upstream("i", LifecycleStage.DRAINING, 2), net.now);
    net.pass(3);
    net.freeze(1);
    net.pass(5000);
    net.thaw(1);
    net.pass(1000);
    assertTrue(refused(drained));
  }

  @Test
  public void aDiskThatWasWipedCountsForNothingUntilItHasLearnedWhatWasAcknowledged() {
    final SimulatedCoreNetwork net = settled();
    net.cut(4, true, true);
    net.cut(5, true, true);
    net.node(1).core.beat(SimulatedCoreNetwork.upstream("i", LifecycleStage.JOINED, 1), net.now);
    final CompletableFuture<Void> drained =
        net.node(1)
            .core
            .beat(SimulatedCoreNetwork.upstream("i", LifecycleStage.DRAINING, 2), net.now);
    net.pass(100);
    assertTrue(drained.isDone() && !refused(drained));
    net.framesDown = true;
    net.cut.clear();
    net.cut(1, true, true);
    net.cut(2, true, true);
    net.restart(3, false);
    net.node(4).opens("4", 0);
    net.pass(9000);
    assertEquals(
        net.node(4).views("4"),
        List.of(),
        "3 lost its disk, 1 and 2 are away: 4 and 5 cannot know");
    net.cut.clear();
    net.cut(1, true, true);
    net.pass(6000);
    assertEquals(
        RegistrationBuckets.unpack(net.node(4).views("4").get(0).packedRegistrations).stream()
            .map(one -> LifecycleStage.of(one))
            .toList(),
        List.of(LifecycleStage.DRAINING));
    net.cut(2, true, true);
    net.node(5).opens("5", 0);
    net.pass(1000);
    assertEquals(net.node(5).views("5").size() > 0, true, "3 has learned meanwhile and counts");
  }

  @Test
  public void aNewcomerToTheRosterLearnsBeforeItCounts() {
    final SimulatedCoreNetwork net = new SimulatedCoreNetwork(6, 5).startAll(true);
    net.pass(4000);
    net.version = 6;
    net.pass(1000);
    net.cut(6, true, true);
    net.cut(4, true, true);
    net.cut(5, true, true);
    final CompletableFuture<Void> drained =
        net.node(1)
            .core
            .beat(SimulatedCoreNetwork.upstream("i", LifecycleStage.DRAINING, 2), net.now);
    net.pass(100);
    assertTrue(drained.isDone() && !refused(drained));
    net.framesDown = true;
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
    net.node(5).opens("5", 0);
    net.pass(9000);
    assertEquals(
        net.node(5).views("5"),
        List.of(),
        "4, 5 and the newcomer are a majority, but none of them has what 1, 2 and 3 acknowledged");
    net.cut.clear();
    net.pass(5000);
    assertTrue(net.node(5).views("5").size() > 0);
    assertEquals(LifecycleStage.of(net.node(6).core.history().get("i")), LifecycleStage.DRAINING);
  }

  @Test
  public void anAcknowledgementCountsUnderTheRosterInForceAndTheOneJustBefore() {
    final SimulatedCoreNetwork net = new SimulatedCoreNetwork(7, 5).startAll(true);
    net.pass(4000);
    net.cut(2, true, true);
    net.cut(3, true, true);
    net.cut(4, true, true);
    net.roster = SimulatedCoreNetwork.roster(2, List.of("10.0.0.1", "10.0.0.5", "10.0.0.6"));
    net.pass(800);
    final CompletableFuture<Void> drained =
        net.node(1)
            .core
            .beat(SimulatedCoreNetwork.upstream("i", LifecycleStage.DRAINING, 2), net.now);
    net.pass(1000);
    assertTrue(
        refused(drained),
        "1, 5 and 6 are a majority of the new roster, but 2, 3 and 4 may not know of it yet");
    net.pass(3000);
    final CompletableFuture<Void> later =
        net.node(1)
            .core
            .beat(SimulatedCoreNetwork.upstream("i", LifecycleStage.DRAINING, 3), net.now);
    net.pass(1000);
    assertTrue(later.isDone() && !refused(later));
  }

  @Test
  public void onlyWhoIsWithoutAMajorityKnowsItselfCutOff() {
    final SimulatedCoreNetwork net = settled();
    for (int index = 1; index <= 5; index++) {
      assertFalse(net.node(index).core.cutOff(net.now));
    }
    net.framesDown = true;
    net.pass(5000);
    assertFalse(
        net.node(1).core.cutOff(net.now),
        "the duty is vacant, but the voters are there: calls wait as they do");
    net.framesDown = false;
    net.pass(2000);
    for (final boolean[] ways : new boolean[][] {{true, true}, {true, false}, {false, true}}) {
      net.cut(1, ways[0], ways[1]);
      net.pass(3000);
      assertTrue(net.node(1).core.cutOff(net.now));
      assertEquals(net.node(1).core.majority(net.now), null);
      assertFalse(net.node(2).core.cutOff(net.now));
      net.restart(1, true);
      net.pass(1600);
      assertTrue(net.node(1).core.cutOff(net.now), "restarted while cut off");
      net.cut.clear();
      net.pass(1500);
      assertFalse(net.node(1).core.cutOff(net.now));
    }
  }

  @Test
  public void whoIsCutOffNamesOneThatToldLatelyThatItHearsAMajority() {
    final SimulatedCoreNetwork net = new SimulatedCoreNetwork(7, 5).startAll(true);
    net.pass(4000);
    net.version = 6;
    for (int voter = 2; voter <= 5; voter++) {
      net.cut("10.0.0.1", "10.0.0." + voter, true, true);
    }
    net.cut("10.0.0.1", "10.0.0.6", true, true);
    net.pass(4000);
    assertTrue(net.node(1).core.cutOff(net.now));
    assertEquals(net.node(1).core.majority(net.now), "10.0.0.7");
    net.cut(7, true, true);
    net.pass(1500);
    assertEquals(net.node(1).core.majority(net.now), null);
  }

  /**
   * All lose power; two that start a little later open a stream at the first exchange when its
   * first read is done.
   */
  private static SimulatedCoreNetwork restarted(
      final java.util.function.Consumer<SimulatedCoreNetwork.Node> judges) {
    final SimulatedCoreNetwork net = settled();
    net.framesDown = true;
    net.judges = judges;
    for (int index = 1; index <= 5; index++) {
      net.restart(index, true);
    }
    net.node(1).opens("1", 0);
    net.pass(660);
    assertEquals(net.node(1).given("1"), 6);
    return net;
  }

  @Test
  public void afterALossOfPowerOneReadServesAllThatComeBackWhileItsLeaseLasts() {
    final SimulatedCoreNetwork net = restarted(null);
    net.cut(1, true, true);
    final CompletableFuture<Void> spread =
        net.node(2).core.spread(7, SimulatedCoreNetwork.spec(7), net.now);
    net.pass(150);
    net.node(1).opens("2", 0);
    net.pass(1);
    assertEquals(net.node(1).given("2"), 6, "the lease still holds");
    assertFalse(spread.isDone(), "acknowledged while 1 may give what was before");
    net.pass(750);
    assertTrue(spread.isDone() && !refused(spread), "the lease has run out");
    net.node(1).opens("3", 0);
    net.pass(5000);
    assertEquals(net.node(1).views("3"), List.of(), "given after the lease had run out");
  }

  @Test
  public void aLeaseThatRanOutInAFreezeServesNobody() {
    final SimulatedCoreNetwork net = restarted(null);
    net.freeze(1);
    final CompletableFuture<Void> spread =
        net.node(2).core.spread(7, SimulatedCoreNetwork.spec(7), net.now);
    net.pass(1200);
    assertTrue(spread.isDone() && !refused(spread));
    net.cut(1, true, true);
    net.thaw(1);
    net.node(1).opens("2", 0);
    net.pass(3000);
    assertEquals(net.node(1).given("2"), net.node(1).views("2").isEmpty() ? 0 : 7);
  }

  // ---- broken variants: each must be caught

  @Test
  public void aLeaseThatIsTakenForLongerThanItWasGivenIsCaught() {
    final SimulatedCoreNetwork net =
        restarted(
            node ->
                node.core.judges(
                    new QuorumWrites(),
                    new QuorumReads(node.address) {
                      @Override
                      long leasedUntil(final StateStoreMessages.Roster roster) {
                        return super.leasedUntil(roster) + 10_000;
                      }
                    },
                    new MajorityReachability(node.address, (to, message) -> {})));
    net.cut(1, true, true);
    final CompletableFuture<Void> spread =
        net.node(2).core.spread(7, SimulatedCoreNetwork.spec(7), net.now);
    net.pass(880);
    assertTrue(spread.isDone() && !refused(spread));
    net.node(1).opens("3", 0);
    net.pass(100);
    assertEquals(
        net.node(1).given("3"),
        6,
        "the broken variant gives the old configuration after the new one was acknowledged");
  }

  private static SimulatedCoreNetwork broken(
      final java.util.function.Consumer<SimulatedCoreNetwork.Node> judges) {
    final SimulatedCoreNetwork net = new SimulatedCoreNetwork(5, 5);
    net.judges = judges;
    net.startAll(true);
    net.pass(2000);
    net.version = 6;
    net.pass(2000);
    return net;
  }

  @Test
  public void aReadThatCountsOnItselfAloneIsCaught() {
    final SimulatedCoreNetwork net =
        broken(
            node ->
                node.core.judges(
                    new QuorumWrites(),
                    new QuorumReads(node.address) {
                      @Override
                      boolean complete(
                          final StateStoreMessages.Roster roster, final boolean whole) {
                        return super.complete(
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
    net.node(1).opens("1", 0);
    net.pass(1000);
    assertEquals(
        net.node(1).given("1"),
        6,
        "the broken variant gives the old configuration; the test above would fail");
  }

  @Test
  public void aReadDoneBeforeTheQuestionCameIsCaught() {
    final SimulatedCoreNetwork net =
        broken(
            node ->
                node.core.judges(
                    new QuorumWrites(),
                    new QuorumReads(node.address) {
                      @Override
                      long next() {
                        return Math.min(super.next(), Math.max(1, done()));
                      }
                    },
                    new MajorityReachability(node.address, (to, message) -> {})));
    net.node(1).opens("0", 0);
    net.pass(1000);
    net.cut(1, true, true);
    net.version = 7;
    net.node(1).opens("1", 0);
    net.pass(1000);
    assertEquals(net.node(1).given("1"), 6, "a confirmation from before the question serves on");
  }

  @Test
  public void anAcknowledgementCountedAfterThawingIsCaught() {
    final SimulatedCoreNetwork net =
        broken(
            node ->
                node.core.judges(
                    new QuorumWrites() {
                      @Override
                      void kept(
                          final String from,
                          final long key,
                          final StateStoreMessages.Roster roster,
                          final StateStoreMessages.Roster before,
                          final long now) {
                        super.kept(from, key, roster, before, Long.MIN_VALUE);
                      }
                    },
                    new QuorumReads(node.address),
                    new MajorityReachability(node.address, (to, message) -> {})));
    final CompletableFuture<Void> drained =
        net.node(1)
            .core
            .beat(SimulatedCoreNetwork.upstream("i", LifecycleStage.DRAINING, 2), net.now);
    net.pass(3);
    net.freeze(1);
    net.pass(5000);
    net.thaw(1);
    net.pass(1000);
    assertFalse(
        refused(drained),
        "the broken variant acknowledges with answers that waited out the freeze");
  }
}
