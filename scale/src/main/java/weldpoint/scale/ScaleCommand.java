package weldpoint.scale;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import weldpoint.common.WeldpointException;

/**
 * The scale command: measures on one machine how memory, messages and processor time of each
 * program grow with the size of the fleet, and fits a line to each measure.
 */
public final class ScaleCommand {
  private final OptionParser parser = new OptionParser();
  private final OptionSpec<String> series =
      parser
          .accepts("series", "what to vary: " + seriesNames() + "; all by default")
          .withRequiredArg()
          .withValuesSeparatedBy(',');
  private final OptionSpec<Double> sizes =
      parser
          .accepts(
              "sizes",
              "sizes of one series: at least three, the largest at least four times the smallest")
          .withRequiredArg()
          .ofType(Double.class)
          .withValuesSeparatedBy(',');
  private final OptionSpec<Integer> seconds =
      parser
          .accepts("seconds", "seconds that each size is measured, 3 to 120")
          .withRequiredArg()
          .ofType(Integer.class)
          .defaultsTo(10);
  private final OptionSpec<Integer> warmup =
      parser
          .accepts("warmup", "seconds that each size runs before it is measured, 2 to 120")
          .withRequiredArg()
          .ofType(Integer.class)
          .defaultsTo(11);
  private final OptionSpec<Integer> port =
      parser
          .accepts("port", "the first of 20 free ports on loopback addresses")
          .withRequiredArg()
          .ofType(Integer.class)
          .defaultsTo(21_000);

  /** Creates the command with its option parser. */
  public ScaleCommand() {}

  private static String seriesNames() {
    final List<String> names = new ArrayList<>();
    for (final Series varied : Series.values()) {
      names.add(varied.name().toLowerCase(Locale.ROOT));
    }
    return String.join(", ", names);
  }

  /**
   * Parses the arguments, runs all chosen series and returns 0. Throws {@link WeldpointException}
   * for wrong usage or a failed run.
   */
  public int run(final String[] arguments, final PrintStream out)
      throws IOException, InterruptedException {
    java.util.logging.Logger.getLogger("").setLevel(java.util.logging.Level.SEVERE);
    final OptionSet options = parser.parse(arguments);
    final List<Series> chosen = new ArrayList<>();
    for (final String name : options.valuesOf(series)) {
      try {
        chosen.add(Series.valueOf(name.toUpperCase(Locale.ROOT)));
      } catch (final IllegalArgumentException unknown) {
        throw new WeldpointException(
            WeldpointException.Kind.USAGE,
            "'" + name + "' cannot be varied; choose one of " + seriesNames());
      }
    }
    if (chosen.isEmpty()) {
      chosen.addAll(List.of(Series.values()));
    }
    if (options.has(sizes) && chosen.size() != 1) {
      throw new WeldpointException(
          WeldpointException.Kind.USAGE, "sizes belong to one series; name it with --series");
    }
    final int measureSeconds = options.valueOf(seconds);
    final int firstPort = options.valueOf(port);
    final int warmupSeconds = options.valueOf(warmup);
    if (measureSeconds < 3
        || measureSeconds > 120
        || warmupSeconds < 2
        || warmupSeconds > 120
        || firstPort < 1024
        || firstPort > 65_000
        || !options.nonOptionArguments().isEmpty()) {
      throw new WeldpointException(
          WeldpointException.Kind.USAGE,
          "scale takes --seconds from 3 to 120, --warmup from 2 to 120 and --port from 1024 to 65000, and no further arguments");
    }
    for (final Series varied : chosen) {
      for (final double size :
          options.has(sizes) ? options.valuesOf(sizes) : varied.defaultSizes()) {
        varied.fleetSize(size).validated();
      }
    }
    for (final Series varied : chosen) {
      measure(
          varied,
          options.has(sizes) ? options.valuesOf(sizes) : varied.defaultSizes(),
          warmupSeconds,
          measureSeconds,
          firstPort,
          out);
    }
    return 0;
  }

  private static void measure(
      final Series series,
      final List<Double> sizes,
      final int warmup,
      final int seconds,
      final int port,
      final PrintStream out)
      throws IOException, InterruptedException {
    final List<Map<String, Double>> results = new ArrayList<>();
    int runIndex = 0;
    for (final double size : sizes) {
      final Map<String, Double> inProcess = series.measureInProcess(size);
      if (inProcess != null) {
        results.add(inProcess);
        continue;
      }
      try (ScaleRun run = new ScaleRun(series.fleetSize(size), port + 20 * (runIndex++ % 50))) {
        final Thread shutdownHook =
            new Thread(
                () -> {
                  out.println(
                      "interrupted: the results of "
                          + series.name().toLowerCase(Locale.ROOT)
                          + " are partial and are not fitted");
                  run.close();
                });
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        try {
          results.add(run.measure(warmup, seconds));
        } finally {
          Runtime.getRuntime().removeShutdownHook(shutdownHook);
        }
      }
    }
    final TreeSet<String> names = new TreeSet<>();
    results.forEach(result -> names.addAll(result.keySet()));
    out.printf(
        Locale.ROOT,
        "%n%s: %s, %d s each%n",
        series.name().toLowerCase(Locale.ROOT),
        sizes,
        seconds);
    out.printf(
        Locale.ROOT,
        "%-32s %s | %14s %14s %14s %9s%n",
        "measure",
        "at each size",
        "slope",
        "fixed",
        "worst rest",
        "explained");
    final double[] sizeValues = sizes.stream().mapToDouble(Double::doubleValue).toArray();
    for (final String name : names) {
      final double[] values =
          results.stream().mapToDouble(result -> result.getOrDefault(name, 0.0)).toArray();
      final LinearFit fit = LinearFit.of(sizeValues, values);
      final StringBuilder points = new StringBuilder();
      for (final double value : values) {
        points.append(String.format(Locale.ROOT, "%12.2f", value));
      }
      out.printf(
          Locale.ROOT,
          "%-32s %s | %14.5f %14.3f %14.3f %9.3f%n",
          name,
          points,
          fit.slope(),
          fit.intercept(),
          fit.maxResidual(),
          fit.rSquared());
    }
  }
}
