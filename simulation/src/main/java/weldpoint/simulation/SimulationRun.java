package weldpoint.simulation;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import weldpoint.audit.AuditEntry;
import weldpoint.audit.ChangeKind;
import weldpoint.statestore.StateStoreReplica;
import weldpoint.transport.RegistryMessages;

/**
 * Plays one day: a fleet from its first start, operators, upstreams and applications, its troubles,
 * and a calm end at which all must be well.
 */
public final class SimulationRun {
  private static final String[] ZONES = {"a", "b", "c"};
  private static final int BOARDS = 3;
  private static final long STALENESS_MILLIS = 3000;
  private static final long CATCH_UP_MILLIS = 4000;
  private static final long START_MILLIS = 6000;
  private static final long CALM_MILLIS = 9000;
  private static final long SLACK_MILLIS = 2000;

  /**
   * How a day ended: the promises that were broken, when the first was, and how many answers were
   * judged.
   */
  public record Outcome(List<String> breaches, long firstBreachAt, long answers) {}

  private final SimulationPlan plan;
  private final ControlPlaneSimulation fleet;
  private final ControlPlaneChecker ledger = new ControlPlaneChecker();
  private final SimulatedOperators operators;
  private final SimulatedUpstreams upstreams;
  private final SimulatedApplications applications;
  private final Map<ControlPlaneSimulation.Machine, Long> lostUntil = new HashMap<>();
  private final long beganAt;
  private List<String> list = List.of();
  private int losing;
  private int born;
  private boolean calm;

  private SimulationRun(
      final SimulationPlan plan, final ControlPlaneSimulation.FaultInjector meddler) {
    this.plan = plan;
    final List<String> seeds = List.of(address(0), address(1), address(2));
    fleet =
        new ControlPlaneSimulation(
            plan.seed(),
            seeds,
            new ControlPlaneSimulation.Observer() {
              @Override
              public void takenUp(
                  final ControlPlaneSimulation.Machine board,
                  final long life,
                  final long startedAt,
                  final long version,
                  final byte[] spec) {
                ledger.takenUp(
                    board.address(),
                    life,
                    startedAt,
                    version,
                    RequestBodies.tag(spec),
                    fleet().now());
              }

              @Override
              public void evacuated(
                  final ControlPlaneSimulation.Machine board, final Set<String> zones) {}

              @Override
              public void upstream(
                  final ControlPlaneSimulation.Machine board,
                  final RegistryMessages.Registration registration,
                  final boolean open) {}
            });
    if (meddler != null) {
      fleet.meddler(meddler);
    }
    beganAt = fleet.now();
    for (int index = 0; index < plan.cores(); index++) {
      fleet.add(address(index), ZONES[index % 3], region(ZONES[index % 3]), true);
    }
    for (int index = 0; index < BOARDS; index++) {
      fleet.add("10.1." + index + ".1", ZONES[index], region(ZONES[index]), false);
    }
    final Random random = new Random(plan.seed() + 1);
    final SimulatedClient operator =
        new SimulatedClient(fleet, new Random(random.nextLong()), () -> list);
    operators =
        new SimulatedOperators(
            fleet, ledger, new Random(random.nextLong()), operator, List.of("a", "b"));
    upstreams =
        new SimulatedUpstreams(
            fleet,
            ledger,
            new Random(random.nextLong()),
            new SimulatedClient(fleet, new Random(random.nextLong()), () -> list));
    applications =
        new SimulatedApplications(
            fleet,
            ledger,
            new Random(random.nextLong()),
            new SimulatedClient(fleet, new Random(random.nextLong()), () -> list));
  }

  private static String address(final int index) {
    return "10.0." + index % 3 + "." + (1 + index / 3);
  }

  private static String region(final String zone) {
    return zone.equals("c") ? "y" : "x";
  }

  /** Plays a day. */
  public static Outcome play(final SimulationPlan plan) {
    return play(plan, null);
  }

  /** Plays a day with somebody who meddles with messages. */
  public static Outcome play(
      final SimulationPlan plan, final ControlPlaneSimulation.FaultInjector meddler) {
    return new SimulationRun(plan, meddler).play();
  }

  private Outcome play() {
    fleet
        .machines()
        .values()
        .forEach(
            machine -> fleet.after(fleet.random().nextInt(300), () -> fleet.start(machine, true)));
    refresh();
    fleet.run(500);
    operators.begin();
    upstreams.begin();
    applications.begin();
    fleet.run(START_MILLIS - 500);
    for (final Fault trouble : plan.troubles()) {
      fleet.after(trouble.atMillis(), () -> trouble.strike(this));
    }
    fleet.run(plan.lasts());
    end();
    return new Outcome(
        ledger.breaches(),
        ledger.firstBreachAt() >= 0 ? ledger.firstBreachAt() - beganAt - START_MILLIS : -1,
        ledger.answers() + applications.answers());
  }

  /** What operators and others know of the daemons: whom they could have read some time ago. */
  private void refresh() {
    final List<String> present = new ArrayList<>();
    fleet.core().forEach(machine -> present.add(machine.address()));
    fleet.after(STALENESS_MILLIS, () -> list = present);
    if (list.isEmpty()) {
      list = present;
    }
    fleet.after(1000, this::refresh);
  }

  // ---- the calm end

  private void end() {
    fleet.after(0, operators::end);
    long longest = 0;
    for (final Fault trouble : plan.troubles()) {
      longest =
          Math.max(longest, trouble.atMillis() + trouble.forMillis() + SLACK_MILLIS - plan.lasts());
    }
    fleet.run(longest);
    calm = true;
    all().forEach(machine -> fleet.start(machine, false));
    fleet.run(CALM_MILLIS);
    upstreams.end();
    applications.end();
    final long highest = ledger.highestAcked();
    final boolean[] done = new boolean[2];
    operators.last(
        end -> {
          done[0] = end.good();
          operators.readOnce(
              4000,
              read -> {
                done[1] = read.good();
                if (read.good()) {
                  ledger.finalRead(RequestBodies.version(read.body()), fleet.now());
                }
              });
        });
    fleet.run(6000);
    if (!done[0]) {
      ledger.breach(
          fleet.now(),
          "a change sent "
              + CALM_MILLIS
              + " ms after the last trouble had no acknowledgement in 5 s");
    } else if (!done[1]) {
      ledger.breach(fleet.now(), "the configuration could not be read back in the calm at the end");
    }
    for (final ControlPlaneSimulation.Machine board : fleet.boards()) {
      if (board.version() < Math.max(highest, done[0] ? ledger.highestAcked() : 0)) {
        ledger.breach(
            fleet.now(),
            board.address()
                + " has "
                + String.format("%08x", board.version())
                + " in the calm at the end though "
                + String.format("%08x", ledger.highestAcked())
                + " was acknowledged");
      }
      for (final String zone : List.of("a", "b")) {
        ledger.finalEvacuation(
            board.address(), zone, board.evacuated().contains(zone), SLACK_MILLIS, fleet.now());
      }
      upstreams.check(board);
    }
    history();
  }

  /** Reads the history that the core has decided, where the times of day in it can be relied on. */
  private void history() {
    StateStoreReplica longest = null;
    for (final ControlPlaneSimulation.Machine machine : fleet.core()) {
      if (machine.frame() != null
          && !machine.frame().blank()
          && (longest == null || machine.frame().history().last() > longest.history().last())) {
        longest = machine.frame();
      }
    }
    if (longest == null
        || plan.troubles().stream().anyMatch(trouble -> trouble.kind() == Fault.Kind.CLOCK_STEP)) {
      return;
    }
    for (long sequence = longest.history().base() + 1;
        sequence <= longest.history().last();
        sequence++) {
      final AuditEntry entry = AuditEntry.read(longest.history().read(sequence));
      if (entry.kind() == ChangeKind.EVACUATION_BEGUN
          || entry.kind() == ChangeKind.EVACUATION_FINISHED) {
        ledger.decided(
            entry.subject, entry.kind() == ChangeKind.EVACUATION_BEGUN, entry.time, SLACK_MILLIS);
      }
    }
  }

  // ---- what troubles use

  ControlPlaneSimulation fleet() {
    return fleet;
  }

  /** All machines that have not been removed. */
  List<ControlPlaneSimulation.Machine> all() {
    return fleet.machines().values().stream().filter(machine -> !machine.removed()).toList();
  }

  /** So many of these, by lot. */
  List<ControlPlaneSimulation.Machine> draw(
      final List<ControlPlaneSimulation.Machine> from, final int count, final Random random) {
    final List<ControlPlaneSimulation.Machine> drawn = new ArrayList<>(from);
    Collections.shuffle(drawn, random);
    return new ArrayList<>(drawn.subList(0, Math.min(count, drawn.size())));
  }

  /** The machine at this address and, by lot, other core machines, so many together. */
  List<ControlPlaneSimulation.Machine> with(
      final String address, final int count, final Random random) {
    final List<ControlPlaneSimulation.Machine> drawn = draw(fleet.core(), plan.cores() + 4, random);
    drawn.sort(
        (one, other) ->
            Boolean.compare(other.address().equals(address), one.address().equals(address)));
    return new ArrayList<>(drawn.subList(0, Math.min(count, drawn.size())));
  }

  /** The machines of a zone, by lot. */
  List<ControlPlaneSimulation.Machine> zone(final Random random) {
    final String zone = ZONES[random.nextInt(ZONES.length)];
    return all().stream().filter(machine -> machine.site().equals(zone)).toList();
  }

  /** Ends a machine's processes; they start again after a while. */
  void down(
      final ControlPlaneSimulation.Machine machine, final boolean power, final long forMillis) {
    if (calm || machine.removed()) {
      return;
    }
    fleet.kill(machine, power);
    fleet.after(forMillis, () -> fleet.start(machine, false));
  }

  /** Stops a machine's processes in order; they start again after a while. */
  void restart(final ControlPlaneSimulation.Machine machine, final long forMillis) {
    if (!calm && machine.runs()) {
      fleet.stop(machine, () -> fleet.after(forMillis, () -> fleet.start(machine, false)));
    }
  }

  /**
   * How many disks may be lost now: the budget, less those that were lost and have not had the time
   * to catch up.
   */
  int mayLose() {
    lostUntil.values().removeIf(until -> until <= fleet.now());
    return Math.max(0, (plan.cores() < 5 ? 1 : 2) - lostUntil.size());
  }

  /** A machine loses power and its disk; it comes back empty after a while. */
  void wiped(final ControlPlaneSimulation.Machine machine, final long forMillis) {
    if (calm || mayLose() == 0 || machine.removed()) {
      return;
    }
    fleet.kill(machine, true);
    fleet.wipe(machine);
    lostUntil.put(machine, Long.MAX_VALUE);
    fleet.after(
        forMillis,
        () -> {
          fleet.start(machine, false);
          lostUntil.put(machine, fleet.now() + CATCH_UP_MILLIS);
        });
  }

  /**
   * A core machine goes for good; an empty one comes in its zone, before it where that is planned.
   */
  void replace(final boolean planned, final long gapMillis, final Random random) {
    if (calm || mayLose() == 0) {
      return;
    }
    final ControlPlaneSimulation.Machine gone = draw(fleet.core(), 1, random).get(0);
    final ControlPlaneSimulation.Machine next =
        fleet.add("10.0.9." + ++born, gone.site(), gone.region, true);
    next.seeds = gone.seeds;
    lostUntil.put(gone, Long.MAX_VALUE);
    if (planned) {
      fleet.start(next, false);
      fleet.after(
          Math.max(gapMillis, 1000),
          () ->
              fleet.stop(
                  gone,
                  () -> {
                    fleet.remove(gone);
                    lostUntil.put(gone, fleet.now() + CATCH_UP_MILLIS);
                  }));
    } else {
      fleet.remove(gone);
      fleet.after(
          gapMillis,
          () -> {
            fleet.start(next, false);
            lostUntil.put(gone, fleet.now() + CATCH_UP_MILLIS);
          });
    }
  }

  /** Cuts the way between two machines, in one direction or both, for a while. */
  void cut(
      final ControlPlaneSimulation.Machine one,
      final ControlPlaneSimulation.Machine other,
      final boolean there,
      final boolean back,
      final long forMillis) {
    if (there) {
      fleet.cut(one, other, true);
      fleet.after(forMillis, () -> fleet.cut(one, other, false));
    }
    if (back) {
      fleet.cut(other, one, true);
      fleet.after(forMillis, () -> fleet.cut(other, one, false));
    }
  }

  /** Gives all machines new seeds, beginning with these. */
  void newSeeds(final List<ControlPlaneSimulation.Machine> first) {
    final List<String> seeds = new ArrayList<>();
    first.forEach(machine -> seeds.add(machine.address()));
    for (final ControlPlaneSimulation.Machine machine : fleet.core()) {
      if (seeds.size() < 3 && !seeds.contains(machine.address())) {
        seeds.add(machine.address());
      }
    }
    all()
        .forEach(
            machine ->
                fleet.seeds(machine, List.copyOf(seeds.subList(0, Math.min(3, seeds.size())))));
  }

  /** Loses most of the answers to the operator, or no longer. */
  void loseAcks(final int more) {
    losing += more;
    operators.loses(losing > 0 ? 0.7 : 0);
  }

  /** Runs something once, when the next change is acknowledged. */
  void uponAck(final Consumer<String> deed) {
    operators.uponAck(deed);
  }
}
