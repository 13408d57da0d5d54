package weldpoint.soak;

import java.io.IOException;
import java.util.List;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/**
 * Runs soak tests of real daemon processes on loopback, one seed after the other, and prints one
 * line for each seed. Exit status: 0 if no violation was found; 1 if one was, printed with its seed
 * and evidence; 2 for invalid arguments.
 */
public final class SoakCommand {
  private SoakCommand() {}

  /** Runs the soaks that the arguments specify. */
  public static void main(final String[] arguments) throws IOException, InterruptedException {
    final OptionParser parser = new OptionParser();
    final OptionSpec<Long> seed =
        parser
            .accepts("seed", "the first seed")
            .withRequiredArg()
            .ofType(Long.class)
            .defaultsTo(1L);
    final OptionSpec<Integer> runs =
        parser
            .accepts("runs", "how many seeds")
            .withRequiredArg()
            .ofType(Integer.class)
            .defaultsTo(10);
    final OptionSpec<Integer> seconds =
        parser
            .accepts("seconds", "how long faults are injected, per seed")
            .withRequiredArg()
            .ofType(Integer.class)
            .defaultsTo(30);
    final OptionSpec<Integer> proxies =
        parser
            .accepts("proxies", "how many proxies")
            .withRequiredArg()
            .ofType(Integer.class)
            .defaultsTo(3);
    final OptionSpec<Integer> cores =
        parser
            .accepts("cores", "how many core machines (state store and registry)")
            .withRequiredArg()
            .ofType(Integer.class)
            .defaultsTo(3);
    final OptionSpec<Integer> keyHolders =
        parser
            .accepts("key-holders", "how many upstreams of the partitioned service")
            .withRequiredArg()
            .ofType(Integer.class)
            .defaultsTo(4);
    parser.accepts("help", "shows this help");
    final OptionSet options;
    try {
      options = parser.parse(arguments);
    } catch (final OptionException e) {
      System.err.println(e.getMessage());
      parser.printHelpOn(System.err);
      System.exit(2);
      return;
    }
    if (options.has("help")) {
      parser.printHelpOn(System.out);
      return;
    }
    final LocalFleet.Size size =
        new LocalFleet.Size(
            options.valueOf(cores), options.valueOf(proxies), 3, options.valueOf(keyHolders));
    final long faultPhaseMillis = 1000L * options.valueOf(seconds);
    final boolean passed =
        runSeeds(options.valueOf(seed), options.valueOf(runs), size, faultPhaseMillis);
    System.exit(passed ? 0 : 1);
  }

  private static boolean runSeeds(
      final long firstSeed, final int runs, final LocalFleet.Size size, final long faultPhaseMillis)
      throws IOException, InterruptedException {
    boolean passed = true;
    for (long seed = firstSeed; seed < firstSeed + runs; seed++) {
      final SoakRun.Verdict verdict = new SoakRun(seed, size, faultPhaseMillis).run();
      System.out.println(format(verdict));
      passed &= verdict.violations().isEmpty();
    }
    return passed;
  }

  /** Formats a verdict as one line, followed by the violations if there are any. */
  static String format(final SoakRun.Verdict verdict) {
    final List<String> violations = verdict.violations();
    return "seed "
        + verdict.seed()
        + (violations.isEmpty() ? " good" : " BROKEN")
        + ": calls "
        + verdict.calls()
        + " served "
        + verdict.served()
        + " keyed runs "
        + verdict.keyedRuns()
        + " most in a window "
        + verdict.maxRunsInWindow()
        + " of "
        + SoakRun.MAX_RUNS_IN_WINDOW
        + " fetched "
        + verdict.partitionedReadsServed()
        + " of "
        + verdict.partitionedReads()
        + " pulled "
        + verdict.completeDownloads()
        + " of "
        + verdict.downloads()
        + " homed runs "
        + verdict.regionBoundRuns()
        + " troubles "
        + verdict.faults()
        + (violations.isEmpty() ? "" : "\n  " + String.join("\n  ", violations));
  }
}
