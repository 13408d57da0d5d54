package weldpoint.simulation;

import java.io.PrintStream;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;

/** The long search: plays day after day until a promise is broken, then shortens that day. */
public final class ControlSearch {
  private static final String USAGE =
      "use: ControlSearch (--days N | --minutes N) [--seed FIRST] [--kind TROUBLE], or ControlSearch --day 'DAY AS IT WAS PRINTED'";
  private static final long TELL_MILLIS = 60_000;
  private static final int MOST_DAYS = 10_000_000;
  private static final int MOST_MINUTES = 1440;

  private final PrintStream out;
  private final Map<Fault.Kind, Integer> played = new EnumMap<>(Fault.Kind.class);
  private long first = 1;
  private long days = -1;
  private long minutes = -1;
  private Fault.Kind kind;
  private SimulationPlan single;
  private volatile long count;
  private volatile boolean concluded;
  private long answers;

  private ControlSearch(final PrintStream out) {
    this.out = out;
  }

  /**
   * Runs the search; exits with 0 where nothing was found, 1 at the first broken promise, 2 for
   * arguments that make no sense.
   */
  public static void main(final String[] arguments) {
    Logger.getLogger("").setLevel(Level.SEVERE);
    final ControlSearch search = new ControlSearch(System.out);
    Runtime.getRuntime().addShutdownHook(new Thread(search::interrupted));
    System.exit(search.run(arguments));
  }

  /** Runs the search with these arguments, without ending the process; gives the exit code. */
  public static int run(final PrintStream out, final String... arguments) {
    return new ControlSearch(out).run(arguments);
  }

  private int run(final String... arguments) {
    try {
      read(arguments);
    } catch (final IllegalArgumentException problem) {
      out.println(problem.getMessage());
      out.println(USAGE);
      concluded = true;
      return 2;
    }
    final int code = single != null ? replay() : search();
    concluded = true;
    return code;
  }

  private void read(final String... arguments) {
    for (int index = 0; index < arguments.length; index += 2) {
      final String name = arguments[index];
      if (index + 1 >= arguments.length) {
        throw new IllegalArgumentException(name + " has no value; give one");
      }
      final String value = arguments[index + 1];
      switch (name) {
        case "--days" -> days = within(name, value, 1, MOST_DAYS);
        case "--minutes" -> minutes = within(name, value, 1, MOST_MINUTES);
        case "--seed" -> first = SimulationPlan.number(name, value);
        case "--kind" -> kind = SimulationPlan.kind(value);
        case "--day" -> single = SimulationPlan.parse(value);
        default -> throw new IllegalArgumentException("'" + name + "' is unknown");
      }
    }
    if (single == null && days < 0 == minutes < 0) {
      throw new IllegalArgumentException("give either a number of days or a number of minutes");
    }
    if (single != null && (days >= 0 || minutes >= 0 || kind != null)) {
      throw new IllegalArgumentException("--day stands alone");
    }
  }

  private static long within(
      final String name, final String value, final long least, final long most) {
    final long number = SimulationPlan.number(name, value);
    if (number < least || number > most) {
      throw new IllegalArgumentException(
          name + " is " + number + "; give " + least + " to " + most);
    }
    return number;
  }

  private int replay() {
    final SimulationRun.Outcome outcome = SimulationRun.play(single);
    count = 1;
    outcome.breaches().forEach(out::println);
    out.println(
        "one day, "
            + outcome.answers()
            + " answers judged, "
            + (outcome.breaches().isEmpty()
                ? "no promise broken"
                : outcome.breaches().size() + " promises broken"));
    return outcome.breaches().isEmpty() ? 0 : 1;
  }

  private int search() {
    out.println("playing days from seed " + first + " on");
    final long begun = System.nanoTime();
    long told = begun;
    for (long seed = first;
        days < 0 ? System.nanoTime() - begun < minutes * 60_000_000_000L : count < days;
        seed++) {
      final SimulationPlan plan = SimulationPlan.drawn(seed);
      if (kind != null && plan.troubles().stream().noneMatch(fault -> fault.kind() == kind)) {
        continue;
      }
      final SimulationRun.Outcome outcome = SimulationRun.play(plan);
      count++;
      answers += outcome.answers();
      plan.troubles().stream()
          .map(Fault::kind)
          .distinct()
          .forEach(one -> played.merge(one, 1, Integer::sum));
      if (!outcome.breaches().isEmpty()) {
        tell(begun);
        out.println("seed " + seed + " breaks a promise:");
        outcome.breaches().stream().limit(5).forEach(breach -> out.println("  " + breach));
        out.println("the day as drawn: " + plan);
        final SimulationPlan shorter = PlanShrinker.shrink(plan, outcome, SimulationRun::play);
        out.println("the shortened day: --day '" + shorter + "'");
        SimulationRun.play(shorter).breaches().stream()
            .limit(5)
            .forEach(breach -> out.println("  " + breach));
        return 1;
      }
      if ((System.nanoTime() - told) / 1_000_000 > TELL_MILLIS) {
        told = System.nanoTime();
        out.printf(Locale.ROOT, "%d days so far, the last with seed %d%n", count, seed);
      }
    }
    tell(begun);
    out.println("no promise was broken");
    return 0;
  }

  private void tell(final long begun) {
    final double hours = (System.nanoTime() - begun) / 3.6e12;
    out.printf(
        Locale.ROOT,
        "%d days played, %d answers judged, %.0f days an hour; by kind of trouble:",
        count,
        answers,
        count / hours);
    played.forEach((one, number) -> out.print(" " + one.word() + " " + number));
    out.println();
  }

  private void interrupted() {
    if (!concluded) {
      out.println(
          "interrupted after "
              + count
              + " days, seeds from "
              + first
              + " on; nothing is concluded");
    }
  }
}
