package weldpoint.cli;

import io.avaje.jsonb.Jsonb;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import weldpoint.common.Settings;
import weldpoint.common.WeldpointException;
import weldpoint.replay.Replay;
import weldpoint.replay.ReplayComparison;
import weldpoint.replay.ReportDocument;
import weldpoint.routing.RoutingTable;
import weldpoint.transport.Compression;

/**
 * The replay command: replays a recording against a proposed configuration and proposed settings.
 * Exits with 2 whenever it cannot judge the outcome.
 */
final class ReplayCommand {
  private static final int EXIT_CANNOT_JUDGE = 2;
  private static final String BASE_SETTINGS =
      "station.name = replay\nstation.address = 10.0.0.1\nstation.site = a\nstation.region = a\ntrunk.ports = 7000,7015\ntrunk.seeds = 10.0.0.1:7000\n";

  private final OptionParser parser = new OptionParser();
  private final OptionSpec<String> spec =
      parser.accepts("spec", "file with the proposed configuration").withRequiredArg().required();
  private final OptionSpec<String> settings =
      parser
          .accepts("settings", "file with proposed settings, one name = value a line")
          .withRequiredArg();
  private final OptionSpec<Long> maxModelError =
      parser
          .accepts("error-ms", "largest model error to judge with, in milliseconds")
          .withRequiredArg()
          .ofType(Long.class)
          .defaultsTo(250L);
  private final OptionSpec<Void> json = parser.accepts("json", "prints JSON");

  int run(final String[] arguments, final PrintStream out, final PrintStream err)
      throws IOException {
    try {
      final OptionSet options = parser.parse(arguments);
      final List<?> names = options.nonOptionArguments();
      if (names.size() != 1) {
        throw new WeldpointException(
            WeldpointException.Kind.USAGE,
            "replay takes one recording: replay RECORDING --spec FILE [--settings FILE] [--error-ms N] [--json]");
      }
      final Path specFile = Path.of(options.valueOf(spec));
      if (!Files.isReadable(specFile)) {
        throw new WeldpointException(
            WeldpointException.Kind.UNREADABLE,
            "the configuration " + specFile + " cannot be read; name a readable file");
      }
      final String extraSettings =
          options.has(settings) ? Files.readString(Path.of(options.valueOf(settings))) : "";
      Settings.parse(BASE_SETTINGS + extraSettings);
      final ReplayComparison comparison =
          new Replay(
                  Path.of(names.get(0).toString()),
                  RoutingTable.compile(Files.readAllBytes(specFile)),
                  extraSettings,
                  options.valueOf(maxModelError),
                  Compression::inflate)
              .run();
      if (options.has(json)) {
        out.println(
            Jsonb.builder().build().type(ReportDocument.class).toJson(comparison.toDocument()));
      } else {
        comparison.print(out);
      }
      return comparison.exitCode();
    } catch (final OptionException exception) {
      err.println("weldpoint: " + exception.getMessage());
      parser.printHelpOn(err);
      return EXIT_CANNOT_JUDGE;
    } catch (final WeldpointException | IOException exception) {
      err.println("weldpoint: cannot be judged: " + exception.getMessage());
      return EXIT_CANNOT_JUDGE;
    }
  }
}
