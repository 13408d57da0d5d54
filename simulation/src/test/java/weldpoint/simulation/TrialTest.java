package weldpoint.simulation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import weldpoint.common.WeldpointException;
import weldpoint.routing.RoutingTable;
import weldpoint.statestore.StoreOperation;
import weldpoint.statestore.StoredValues;
import weldpoint.transport.Protocol;
import weldpoint.transport.Serializer;
import weldpoint.transport.TrialMessages;
import weldpoint.transport.TrialMessages.Trial;
import weldpoint.trial.TrialCoordinator;
import weldpoint.trial.TrialCounter;
import weldpoint.trial.TrialTracker;
import weldpoint.trial.TrialVerdict;

/**
 * Switchboards, exchanges' panels and five frames on one fake clock; scripted upstreams of a new
 * version at fault.
 */
public final class TrialTest {
  private static final String TOKEN = "only-testers";
  private static final long TARGET = 300;
  private static final RoutingTable PLAN =
      RoutingTable.compile(
          ("{\"version\":\"1\",\"listeners\":[{\"host\":\"h\",\"rules\":["
                  + "{\"name\":\"book\",\"routeKind\":\"mutating\",\"targetLatencyMs\":300,\"match\":{\"pathPrefix\":\"/b/\"},\"action\":{\"split\":[{\"service\":\"old\",\"weight\":1},{\"service\":\"new\",\"weight\":1}],\"timeoutMs\":2000,\"maxAttempts\":2}},"
                  + "{\"name\":\"plain\",\"routeKind\":\"mutating\",\"match\":{\"pathPrefix\":\"/p/\"},\"action\":{\"service\":\"old\",\"timeoutMs\":2000,\"maxAttempts\":2}},"
                  + "{\"name\":\"look\",\"routeKind\":\"idempotent\",\"match\":{\"pathPrefix\":\"/l/\"},\"action\":{\"split\":[{\"service\":\"old\",\"weight\":1},{\"service\":\"new\",\"weight\":1}],\"timeoutMs\":2000,\"maxAttempts\":2}}]}],"
                  + "\"pools\":[{\"name\":\"old\"},{\"name\":\"new\"}]}")
              .getBytes(StandardCharsets.UTF_8));

  /** What is wrong with the new version: one write in so many. */
  private enum Fault {
    NONE,
    LOSES,
    DOUBLES,
    DELAYS,
    ELSEWHERE
  }

  @BeforeClass
  public void quiet() {
    java.util.logging.Logger.getLogger("").setLevel(java.util.logging.Level.SEVERE);
  }

  private static final class Stage {
    final StateStoreSimulation simulation;
    final List<TrialTracker> books = new ArrayList<>();
    final List<Boolean> cut = new ArrayList<>();
    final List<String> addresses = new ArrayList<>();
    final TrialCoordinator coordinator = new TrialCoordinator();
    final Random random;
    final Fault fault;
    final int oneIn;
    final List<TrialMessages.TrialReport> old = new ArrayList<>();
    long marks = -1;
    long version;
    int attempts;
    int exposedWithoutToken;
    int held = -1;

    Stage(final long seed, final Fault fault, final int oneIn, final int boards) {
      this.fault = fault;
      this.oneIn = oneIn;
      this.random = new Random(seed);
      this.simulation =
          new StateStoreSimulation(seed, List.of("10.0.1.1", "10.0.2.1", "10.0.3.1"), true);
      final String[] sites = {"a", "b", "c"};
      for (int index = 0; index < 3; index++) {
        simulation.add("10.0." + (index + 1) + ".1", sites[index], "x");
        simulation.start("10.0." + (index + 1) + ".1", true);
      }
      simulation.run(3000);
      for (int index = 0; index < boards; index++) {
        addresses.add("10.1.0." + index);
        books.add(new TrialTracker("10.1.0." + index, 100 + index));
        cut.add(false);
      }
      poll();
    }

    void poll() {
      final List<String> running = simulation.running();
      if (!running.isEmpty()) {
        simulation.call(
            running.get(random.nextInt(running.size())),
            StoreOperation.CONTROL,
            "",
            null,
            version,
            Math.max(0, marks),
            null,
            answer -> {
              if (answer.status == 200) {
                final StoredValues.ControlSnapshot control =
                    Serializer.deserialize(answer.body, StoredValues.ControlSnapshot.class);
                if (control.trialSerial > marks) {
                  marks = control.trialSerial;
                  coordinator.updateTrials(Protocol.emptyIfNull(control.trials));
                  for (int index = 0; index < books.size(); index++) {
                    if (!cut.get(index)) {
                      books
                          .get(index)
                          .updateTrials(Protocol.emptyIfNull(control.trials), control.trialSerial);
                    }
                  }
                }
              }
            });
      }
      simulation.after(100, this::poll);
    }

    boolean write(final Trial next) {
      final boolean[] done = new boolean[1];
      for (int round = 0; round < 40 && !done[0]; round++) {
        final List<String> running = simulation.running();
        simulation.call(
            running.get(random.nextInt(running.size())),
            StoreOperation.TRIAL_WRITE,
            next.route,
            null,
            next.serial - 1,
            0,
            Serializer.serialize(next),
            answer -> done[0] |= answer.status == 200);
        simulation.run(100);
      }
      simulation.run(400);
      return done[0];
    }

    Trial trial() {
      return coordinator.trials().get(0);
    }

    void reports() {
      for (int index = 0; index < books.size(); index++) {
        final TrialMessages.TrialReport report =
            books.get(index).createReport(random.nextInt(5) == 0);
        if (report != null && !cut.get(index)) {
          old.add(report);
          coordinator.recordReport(report, simulation.now());
        }
      }
      if (!old.isEmpty()) {
        coordinator.recordReport(old.get(random.nextInt(old.size())), simulation.now());
      }
      for (final Trial verdict : coordinator.requiredUpdates(PLAN)) {
        final List<String> running = simulation.running();
        simulation.call(
            running.get(random.nextInt(running.size())),
            StoreOperation.TRIAL_WRITE,
            verdict.route,
            null,
            verdict.serial - 1,
            0,
            Serializer.serialize(verdict),
            answer -> {});
      }
    }

    /** One write at a switchboard drawn by lot. */
    void traffic(final boolean rehearsal) {
      final int board = random.nextInt(books.size());
      final TrialTracker tracker = books.get(board);
      final String attempt = "a" + attempts++;
      final String service =
          tracker.chooseService(
              "book",
              random.nextBoolean() ? "old" : "new",
              rehearsal ? TOKEN : random.nextInt(50) == 0 ? "forged-token" : null,
              random.nextDouble());
      if (service.equals("new") && !rehearsal) {
        exposedWithoutToken++;
      }
      tracker.recordSent("book", service, attempt);
      final boolean strikes =
          service.equals("new") && fault != Fault.NONE && random.nextInt(oneIn) == 0;
      tracker.recordOtherRequest("new", true);
      if (strikes && fault == Fault.LOSES) {
        tracker.recordEnded("book", service, attempt, TrialTracker.WriteOutcome.LOST, 2000, TARGET);
        return;
      }
      tracker.recordEnded(
          "book",
          service,
          attempt,
          TrialTracker.WriteOutcome.CONFIRMED,
          strikes && fault == Fault.DELAYS ? 900 : random.nextInt(100) == 0 ? 350 : 120,
          TARGET);
      if (strikes && fault == Fault.DOUBLES) {
        tracker.recordSurplusAnswer(attempt);
      }
      if (strikes && fault == Fault.ELSEWHERE) {
        final TrialTracker other = books.get((board + 1) % books.size());
        other.recordSent("book", "new", attempt);
        other.recordEnded("book", "new", attempt, TrialTracker.WriteOutcome.CONFIRMED, 100, TARGET);
      }
    }

    int run(final int seconds, final boolean rehearsal) {
      for (int step = 0;
          step < seconds * 20 && TrialVerdict.of(trial()) == TrialVerdict.RUNNING;
          step++) {
        traffic(rehearsal);
        simulation.run(50);
        if (step % 10 == 9) {
          reports();
        }
      }
      simulation.run(600);
      return attempts;
    }

    Trial begin(final double allowance) {
      write(
          coordinator.begin("book", "old", "new", TOKEN, List.of(2, 20, 100), 20, allowance, PLAN));
      return trial();
    }
  }

  @DataProvider
  public Object[][] faults() {
    return new Object[][] {{Fault.LOSES}, {Fault.DOUBLES}, {Fault.DELAYS}, {Fault.ELSEWHERE}};
  }

  @Test(dataProvider = "faults")
  public void theRehearsalCatchesTheFaultBeforeAnybodyWithoutTheTokenIsExposed(final Fault fault) {
    for (long seed = 1; seed <= 10; seed++) {
      final Stage stage = new Stage(seed, fault, 8, 4);
      stage.begin(0.01);
      for (int round = 0; round < 10; round++) {
        stage.run(2, false);
        stage.run(10, true);
      }
      assertEquals(TrialVerdict.of(stage.trial()), TrialVerdict.HELD, fault + " seed " + seed);
      assertEquals(stage.exposedWithoutToken, 0, fault + " seed " + seed);
      assertFalse(
          Protocol.emptyIfNull(stage.trial().attempts).isEmpty(),
          fault + " seed " + seed + " names no attempt: " + stage.trial().reason);
      for (final TrialTracker tracker : stage.books) {
        assertTrue(tracker.isHeld("book"));
        assertEquals(tracker.chooseService("book", "new", TOKEN, 0), "old");
      }
    }
  }

  @Test(dataProvider = "faults")
  public void atASmallShareTheFaultIsHeldAfterFewWrites(final Fault fault) {
    int exposed = 0;
    for (long seed = 1; seed <= 10; seed++) {
      final Stage stage = new Stage(seed, fault, 5, 4);
      final Trial begun = stage.begin(fault == Fault.DELAYS ? 0 : 0.01);
      stage.write(
          new Trial(
              begun.route,
              begun.number,
              begun.serial + 1,
              begun.oldService,
              begun.newService,
              begun.token,
              begun.stages,
              2,
              20,
              begun.lateAllowance,
              0,
              "",
              List.of(),
              0));
      stage.run(120, false);
      assertEquals(TrialVerdict.of(stage.trial()), TrialVerdict.HELD, fault + " seed " + seed);
      assertTrue(stage.trial().writes > 0);
      exposed += stage.exposedWithoutToken;
    }
    assertTrue(
        exposed / 10 <= 20,
        fault
            + ": "
            + exposed / 10
            + " writes exposed on average before the hold, with one in 5 at fault");
  }

  @Test
  public void healthyVersionsPassAndAreSeldomHeldFalsely() {
    int heldFalsely = 0;
    for (long seed = 1; seed <= 40; seed++) {
      final Stage stage = new Stage(seed, Fault.NONE, 1, 3);
      stage.begin(0.005);
      stage.run(40, true);
      for (int step = 1;
          step <= 3 && TrialVerdict.of(stage.trial()) == TrialVerdict.RUNNING;
          step++) {
        stage.reports();
        stage.write(
            stage.coordinator.advance("book", stage.addresses, true, stage.simulation.now()));
        assertEquals(stage.trial().stage, step);
        if (step < 3) {
          stage.run(step == 1 ? 80 : 20, step == 1);
        }
      }
      heldFalsely += TrialVerdict.of(stage.trial()) == TrialVerdict.HELD ? 1 : 0;
    }
    assertTrue(heldFalsely <= 4, heldFalsely + " of 40 healthy trials were held");
  }

  @Test
  public void missingEvidenceNeverPassesAStage() {
    final Stage stage = new Stage(3, Fault.NONE, 1, 3);
    stage.begin(0.01);
    for (int index = 0; index < 5; index++) {
      stage.traffic(true);
    }
    stage.reports();
    assertEquals(
        expectThrows(
                WeldpointException.class,
                () ->
                    stage.coordinator.advance(
                        "book", stage.addresses, true, stage.simulation.now()))
            .kind(),
        WeldpointException.Kind.CONFLICT);
    stage.cut.set(1, true);
    stage.run(40, true);
    assertTrue(
        expectThrows(
                WeldpointException.class,
                () ->
                    stage.coordinator.advance(
                        "book", stage.addresses, true, stage.simulation.now()))
            .getMessage()
            .contains("10.1.0.1"));
    stage.cut.set(1, false);
    stage.reports();
    assertTrue(
        expectThrows(
                WeldpointException.class,
                () ->
                    stage.coordinator.advance(
                        "book", stage.addresses, false, stage.simulation.now()))
            .getMessage()
            .contains("settled"));
    assertEquals(
        stage.coordinator.advance("book", stage.addresses, true, stage.simulation.now()).stage, 1);
  }

  @Test
  public void aHoldIsFinalWhateverComesLateOrIsRepeatedOrRestarted() {
    final Stage stage = new Stage(4, Fault.LOSES, 2, 3);
    final Trial begun = stage.begin(0.01);
    stage.run(30, true);
    final Trial held = stage.trial();
    assertEquals(TrialVerdict.of(held), TrialVerdict.HELD);
    assertFalse(
        stage.write(
            new Trial(
                begun.route,
                begun.number,
                held.serial + 1,
                begun.oldService,
                begun.newService,
                begun.token,
                begun.stages,
                1,
                20,
                0.01,
                TrialVerdict.RUNNING.ordinal(),
                "",
                List.of(),
                0)));
    expectThrows(
        WeldpointException.class,
        () -> stage.coordinator.advance("book", stage.addresses, true, stage.simulation.now()));
    for (final String address : stage.simulation.running()) {
      stage.simulation.kill(address, true);
      stage.simulation.after(400, () -> stage.simulation.start(address, false));
    }
    stage.simulation.run(5000);
    Collections.shuffle(stage.old, stage.random);
    stage.old.forEach(report -> stage.coordinator.recordReport(report, stage.simulation.now()));
    stage.books.get(0).updateTrials(List.of(begun), 1);
    assertEquals(stage.books.get(0).chooseService("book", "new", TOKEN, 0), "old");
    assertEquals(TrialVerdict.of(stage.trial()), TrialVerdict.HELD);
    assertTrue(stage.write(stage.coordinator.finish("book")));
    assertEquals(TrialVerdict.of(stage.trial()), TrialVerdict.FINISHED);
  }

  @Test
  public void aSwitchboardThatIsCutOffHoldsByItselfAndTheKilledHolderLosesNothing() {
    final Stage stage = new Stage(5, Fault.LOSES, 3, 2);
    stage.begin(0.01);
    stage.cut.set(0, true);
    stage.cut.set(1, true);
    for (int index = 0; index < 200; index++) {
      stage.traffic(true);
    }
    assertTrue(stage.books.get(0).isHeld("book") && stage.books.get(1).isHeld("book"));
    stage.cut.set(0, false);
    for (final StateStoreSimulation.Machine machine :
        new ArrayList<>(stage.simulation.machines().values())) {
      if (machine.replica().partitionsLed() > 0) {
        stage.simulation.kill(machine.address, true);
        break;
      }
    }
    for (int round = 0; round < 10; round++) {
      stage.simulation.run(600);
      stage.reports();
    }
    stage.simulation.run(600);
    assertEquals(TrialVerdict.of(stage.trial()), TrialVerdict.HELD);
  }

  @Test
  public void countersReplayedAndReorderedAreNotCountedTwice() {
    final Stage stage = new Stage(6, Fault.NONE, 1, 3);
    stage.begin(0.005);
    stage.run(20, true);
    stage.reports();
    final long sent = TrialCounter.NEW_SENT.valueIn(stage.coordinator.totals("book"));
    final List<TrialMessages.TrialReport> again = new ArrayList<>(stage.old);
    Collections.shuffle(again, stage.random);
    again.forEach(report -> stage.coordinator.recordReport(report, stage.simulation.now()));
    assertEquals(TrialCounter.NEW_SENT.valueIn(stage.coordinator.totals("book")), sent);
  }

  @Test
  public void aConfigurationWithoutTheSplitEndsTheTrialAndOneThatKeepsItDoesNot() {
    final Stage stage = new Stage(7, Fault.NONE, 1, 3);
    stage.begin(0.01);
    assertTrue(stage.coordinator.requiredUpdates(PLAN).isEmpty());
    final RoutingTable without =
        RoutingTable.compile(
            "{\"version\":\"2\",\"listeners\":[],\"pools\":[]}".getBytes(StandardCharsets.UTF_8));
    final Trial ended = stage.coordinator.requiredUpdates(without).get(0);
    assertEquals(TrialVerdict.of(ended), TrialVerdict.FINISHED);
    assertTrue(ended.reason.contains("configuration"), ended.reason);
  }

  @Test
  public void aSecondTrialOnTheSameRouteIsRefusedUntilTheFirstIsFinished() {
    final Stage stage = new Stage(9, Fault.NONE, 1, 2);
    stage.begin(0.01);
    assertEquals(
        expectThrows(
                WeldpointException.class,
                () ->
                    stage.coordinator.begin(
                        "book", "old", "new", TOKEN, List.of(10), 20, 0.01, PLAN))
            .kind(),
        WeldpointException.Kind.CONFLICT);
    assertTrue(stage.write(stage.coordinator.finish("book")));
    assertEquals(
        stage.coordinator.begin("book", "old", "new", TOKEN, List.of(10), 20, 0.01, PLAN).number,
        2);
  }

  @Test
  public void anotherTrialIsNotJudgedByTheEvidenceOfTheOneBefore() {
    final Stage stage = new Stage(10, Fault.ELSEWHERE, 2, 3);
    stage.begin(0.01);
    stage.run(30, true);
    assertEquals(TrialVerdict.of(stage.trial()), TrialVerdict.HELD);
    assertTrue(stage.write(stage.coordinator.finish("book")));
    stage.begin(0.01);
    stage.reports();
    stage.simulation.run(600);
    assertEquals(stage.trial().number, 2);
    assertEquals(TrialVerdict.of(stage.trial()), TrialVerdict.RUNNING);
    assertEquals(TrialCounter.NEW_SENT.valueIn(stage.coordinator.totals("book")), 0);
  }

  @Test
  public void anOrderOnTheMinoritySideIsNotAcknowledged() {
    final Stage stage = new Stage(8, Fault.NONE, 1, 2);
    final List<String> running = stage.simulation.running();
    stage.simulation.kill(running.get(0), true);
    stage.simulation.kill(running.get(1), true);
    assertFalse(
        stage.write(
            stage.coordinator.begin("book", "old", "new", TOKEN, List.of(10), 20, 0.01, PLAN)));
  }

  @DataProvider
  public Object[][] badOrders() {
    return new Object[][] {
      {"none", "old", "new", TOKEN, List.of(1, 10), "not in the configuration"},
      {"look", "old", "new", TOKEN, List.of(1, 10), "no mutating one"},
      {"plain", "old", "new", TOKEN, List.of(1, 10), "no split"},
      {"book", "old", "other", TOKEN, List.of(1, 10), "no split"},
      {"book", "old", "new", TOKEN, List.of(10, 10), "do not rise"},
      {"book", "old", "new", TOKEN, List.of(10, 101), "do not rise"},
      {"book", "old", "new", TOKEN, List.of(), "no stages"},
      {"book", "old", "new", "short", List.of(1), "token"},
    };
  }

  @Test(dataProvider = "badOrders")
  public void aBadOrderIsRefusedWithItsReason(
      final String route,
      final String old,
      final String fresh,
      final String token,
      final List<Integer> stages,
      final String reason) {
    final WeldpointException exception =
        expectThrows(
            WeldpointException.class,
            () -> new TrialCoordinator().begin(route, old, fresh, token, stages, 10, 0.01, PLAN));
    assertTrue(exception.getMessage().contains(reason), exception.getMessage());
    assertTrue(
        exception.getMessage().contains(";"), "the remedy is missing: " + exception.getMessage());
  }
}
