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
  private final ControlPlaneSimulation simulation;
  private final ControlPlaneChecker checker = new ControlPlaneChecker();
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
      final SimulationPlan plan, final ControlPlaneSimulation.FaultInjector faultInjector) {
    this.plan = plan;
    final List<String> seeds = List.of(address(0), address(1), address(2));
    simulation =
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
                checker.takenUp(
                    board.address(),
                    life,
                    startedAt,
                    version,
                    RequestBodies.tag(spec),
                    simulation().now());
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
    if (faultInjector != null) {
      simulation.faultInjector(faultInjector);
    }
    beganAt = simulation.now();
    for (int index = 0; index < plan.cores(); index++) {
      simulation.add(address(index), ZONES[index % 3], region(ZONES[index % 3]), true);
    }
    for (int index = 0; index < BOARDS; index++) {
      simulation.add("10.1." + index + ".1", ZONES[index], region(ZONES[index]), false);
    }
    final Random random = new Random(plan.seed() + 1);
    final SimulatedClient operator =
        new SimulatedClient(simulation, new Random(random.nextLong()), () -> list);
    operators =
        new SimulatedOperators(
            simulation, checker, new Random(random.nextLong()), operator, List.of("a", "b"));
    upstreams =
        new SimulatedUpstreams(
            simulation,
            checker,
            new Random(random.nextLong()),
            new SimulatedClient(simulation, new Random(random.nextLong()), () -> list));
    applications =
        new SimulatedApplications(
            simulation,
            checker,
            new Random(random.nextLong()),
            new SimulatedClient(simulation, new Random(random.nextLong()), () -> list));
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
      final SimulationPlan plan, final ControlPlaneSimulation.FaultInjector faultInjector) {
    return new SimulationRun(plan, faultInjector).play();
  }

  private Outcome play() {
    simulation
        .machines()
        .values()
        .forEach(
            machine ->
                simulation.after(
                    simulation.random().nextInt(300), () -> simulation.start(machine, true)));
    refresh();
    simulation.run(500);
    operators.begin();
    upstreams.begin();
    applications.begin();
    simulation.run(START_MILLIS - 500);
    for (final Fault fault : plan.troubles()) {
      simulation.after(fault.atMillis(), () -> fault.strike(this));
    }
    simulation.run(plan.lasts());
    end();
    return new Outcome(
        checker.breaches(),
        checker.firstBreachAt() >= 0 ? checker.firstBreachAt() - beganAt - START_MILLIS : -1,
        checker.answers() + applications.answers());
  }

  /** What operators and others know of the daemons: whom they could have read some time ago. */
  private void refresh() {
    final List<String> present = new ArrayList<>();
    simulation.core().forEach(machine -> present.add(machine.address()));
    simulation.after(STALENESS_MILLIS, () -> list = present);
    if (list.isEmpty()) {
      list = present;
    }
    simulation.after(1000, this::refresh);
  }

  // ---- the calm end

  private void end() {
    simulation.after(0, operators::end);
    long longest = 0;
    for (final Fault fault : plan.troubles()) {
      longest =
          Math.max(longest, fault.atMillis() + fault.forMillis() + SLACK_MILLIS - plan.lasts());
    }
    simulation.run(longest);
    calm = true;
    all().forEach(machine -> simulation.start(machine, false));
    simulation.run(CALM_MILLIS);
    upstreams.end();
    applications.end();
    final long highest = checker.highestAcked();
    final boolean[] done = new boolean[2];
    operators.last(
        end -> {
          done[0] = end.good();
          operators.readOnce(
              4000,
              read -> {
                done[1] = read.good();
                if (read.good()) {
                  checker.finalRead(RequestBodies.version(read.body()), simulation.now());
                }
              });
        });
    simulation.run(6000);
    if (!done[0]) {
      checker.breach(
          simulation.now(),
          "a change sent "
              + CALM_MILLIS
              + " ms after the last trouble had no acknowledgement in 5 s");
    } else if (!done[1]) {
      checker.breach(
          simulation.now(), "the configuration could not be read back in the calm at the end");
    }
    for (final ControlPlaneSimulation.Machine board : simulation.boards()) {
      if (board.version() < Math.max(highest, done[0] ? checker.highestAcked() : 0)) {
        checker.breach(
            simulation.now(),
            board.address()
                + " has "
                + String.format("%08x", board.version())
                + " in the calm at the end though "
                + String.format("%08x", checker.highestAcked())
                + " was acknowledged");
      }
      for (final String zone : List.of("a", "b")) {
        checker.finalEvacuation(
            board.address(),
            zone,
            board.evacuated().contains(zone),
            SLACK_MILLIS,
            simulation.now());
      }
      upstreams.check(board);
    }
    history();
  }

  /** Reads the history that the core has decided, where the times of day in it can be relied on. */
  private void history() {
    StateStoreReplica longest = null;
    for (final ControlPlaneSimulation.Machine machine : simulation.core()) {
      if (machine.frame() != null
          && !machine.frame().recovering()
          && (longest == null || machine.frame().history().last() > longest.history().last())) {
        longest = machine.frame();
      }
    }
    if (longest == null
        || plan.troubles().stream().anyMatch(fault -> fault.kind() == Fault.Kind.CLOCK_STEP)) {
      return;
    }
    for (long sequence = longest.history().base() + 1;
        sequence <= longest.history().last();
        sequence++) {
      final AuditEntry entry = AuditEntry.read(longest.history().read(sequence));
      if (entry.kind() == ChangeKind.EVACUATION_BEGUN
          || entry.kind() == ChangeKind.EVACUATION_FINISHED) {
        checker.decided(
            entry.subject, entry.kind() == ChangeKind.EVACUATION_BEGUN, entry.time, SLACK_MILLIS);
      }
    }
  }

  // ---- what troubles use

  ControlPlaneSimulation simulation() {
    return simulation;
  }

  /** All machines that have not been removed. */
  List<ControlPlaneSimulation.Machine> all() {
    return simulation.machines().values().stream().filter(machine -> !machine.removed()).toList();
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
    final List<ControlPlaneSimulation.Machine> drawn =
        draw(simulation.core(), plan.cores() + 4, random);
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
    simulation.kill(machine, power);
    simulation.after(forMillis, () -> simulation.start(machine, false));
  }

  /** Stops a machine's processes in order; they start again after a while. */
  void restart(final ControlPlaneSimulation.Machine machine, final long forMillis) {
    if (!calm && machine.runs()) {
      simulation.stop(
          machine, () -> simulation.after(forMillis, () -> simulation.start(machine, false)));
    }
  }

  /**
   * How many disks may be lost now: the budget, less those that were lost and have not had the time
   * to catch up.
   */
  int mayLose() {
    lostUntil.values().removeIf(until -> until <= simulation.now());
    return Math.max(0, (plan.cores() < 5 ? 1 : 2) - lostUntil.size());
  }

  /** A machine loses power and its disk; it comes back empty after a while. */
  void wiped(final ControlPlaneSimulation.Machine machine, final long forMillis) {
    if (calm || mayLose() == 0 || machine.removed()) {
      return;
    }
    simulation.kill(machine, true);
    simulation.wipe(machine);
    lostUntil.put(machine, Long.MAX_VALUE);
    simulation.after(
        forMillis,
        () -> {
          simulation.start(machine, false);
          lostUntil.put(machine, simulation.now() + CATCH_UP_MILLIS);
        });
  }

  /**
   * A core machine goes for good; an empty one comes in its zone, before it where that is planned.
   */
  void replace(final boolean planned, final long gapMillis, final Random random) {
    if (calm || mayLose() == 0) {
      return;
    }
    final ControlPlaneSimulation.Machine gone = draw(simulation.core(), 1, random).get(0);
    final ControlPlaneSimulation.Machine next =
        simulation.add("10.0.9." + ++born, gone.site(), gone.region, true);
    next.seeds = gone.seeds;
    lostUntil.put(gone, Long.MAX_VALUE);
    if (planned) {
      simulation.start(next, false);
      simulation.after(
          Math.max(gapMillis, 1000),
          () ->
              simulation.stop(
                  gone,
                  () -> {
                    simulation.remove(gone);
                    lostUntil.put(gone, simulation.now() + CATCH_UP_MILLIS);
                  }));
    } else {
      simulation.remove(gone);
      simulation.after(
          gapMillis,
          () -> {
            simulation.start(next, false);
            lostUntil.put(gone, simulation.now() + CATCH_UP_MILLIS);
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
      simulation.cut(one, other, true);
      simulation.after(forMillis, () -> simulation.cut(one, other, false));
    }
    if (back) {
      simulation.cut(other, one, true);
      simulation.after(forMillis, () -> simulation.cut(other, one, false));
    }
  }

  /** Gives all machines new seeds, beginning with these. */
  void newSeeds(final List<ControlPlaneSimulation.Machine> first) {
    final List<String> seeds = new ArrayList<>();
    first.forEach(machine -> seeds.add(machine.address()));
    for (final ControlPlaneSimulation.Machine machine : simulation.core()) {
      if (seeds.size() < 3 && !seeds.contains(machine.address())) {
        seeds.add(machine.address());
      }
    }
    all()
        .forEach(
            machine ->
                simulation.seeds(
                    machine, List.copyOf(seeds.subList(0, Math.min(3, seeds.size())))));
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
