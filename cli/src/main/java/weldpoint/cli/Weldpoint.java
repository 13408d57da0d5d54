package weldpoint.cli;

import com.google.common.flogger.FluentLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import weldpoint.cache.CacheDaemon;
import weldpoint.common.Daemon;
import weldpoint.common.Logging;
import weldpoint.common.RandomIds;
import weldpoint.common.Settings;
import weldpoint.common.WeldpointException;
import weldpoint.proxy.ProxyDaemon;
import weldpoint.registry.RegistryDaemon;
import weldpoint.routing.HomeRegionWarnings;
import weldpoint.routing.KeyedRouteWarnings;
import weldpoint.routing.RoutingTable;
import weldpoint.scale.ScaleCommand;
import weldpoint.statestore.StateStoreDaemon;

/**
 * Entry point of the command line: selects the command by its name, runs it and maps failures to
 * exit codes: 1 for a failure, 2 for wrong usage; some commands add codes of their own.
 */
public final class Weldpoint {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final String VERSION = "0.1.0";
  private static final int EXIT_USAGE = 2;
  private static final long SETTINGS_POLL_MILLIS = 2000;

  /**
   * The commands, in the order of the usage text. The name in lower case is what the operator
   * types, the string is the help text.
   */
  private enum Command {
    SWITCHBOARD("runs the proxy on an edge machine") {
      @Override
      int run(final OptionSet options) throws IOException, InterruptedException {
        return runDaemon(new ProxyDaemon(loadSettings("switchboard")));
      }
    },
    EXCHANGE("runs the registry on a core machine") {
      @Override
      int run(final OptionSet options) throws IOException, InterruptedException {
        return runDaemon(new RegistryDaemon(loadSettings("exchange")));
      }
    },
    FRAME("runs a replica of the state store on a core machine") {
      @Override
      int run(final OptionSet options) throws IOException, InterruptedException {
        return runDaemon(new StateStoreDaemon(loadSettings("frame")));
      }
    },
    ANNOUNCER("runs the shared content cache") {
      @Override
      int run(final OptionSet options) throws IOException, InterruptedException {
        return runDaemon(new CacheDaemon(loadSettings("announcer")));
      }
    },
    TRIAL(
        "rolls out a new version of a route in stages: trial begin|status|advance|hold|finish ROUTE --control HOST:PORT") {
      @Override
      int run(final String[] arguments) throws InterruptedException {
        return new TrialCommand().run(arguments, System.out);
      }

      @Override
      int run(final OptionSet options) {
        throw new IllegalStateException("trial parses its own options");
      }
    },
    STATUS(
        "shows core machines, daemons and placements as one exchange sees them: status --control HOST:PORT,...; exits with 3 if that exchange has no majority") {
      @Override
      int run(final String[] arguments) throws InterruptedException {
        return new StatusCommand().run(arguments, System.out);
      }

      @Override
      int run(final OptionSet options) {
        throw new IllegalStateException("status parses its own options");
      }
    },
    HISTORY(
        "shows the history of routing changes, from any replica: history --control HOST:PORT,... [--since --until --route --author --json] or --reach N; exits with 3 if the history is not confirmed to be complete") {
      @Override
      int run(final String[] arguments) throws InterruptedException {
        return new HistoryCommand().run(arguments, System.out, System.err);
      }

      @Override
      int run(final OptionSet options) {
        throw new IllegalStateException("history parses its own options");
      }
    },
    RECORD(
        "records the requests of all switchboards to a file: record begin|status|end --control HOST:PORT,... --file FILE") {
      @Override
      int run(final String[] arguments) throws IOException, InterruptedException {
        return new RecordCommand().run(arguments, System.out);
      }

      @Override
      int run(final OptionSet options) {
        throw new IllegalStateException("record parses its own options");
      }
    },
    SCALE(
        "measures on this machine how the load of each program grows with the fleet: scale [--series NAME] [--sizes N,N,N] [--seconds N]") {
      @Override
      int run(final String[] arguments) throws IOException, InterruptedException {
        return new ScaleCommand().run(arguments, System.out);
      }

      @Override
      int run(final OptionSet options) {
        throw new IllegalStateException("scale parses its own options");
      }
    },
    REPLAY(
        "replays a recording against a proposed configuration: replay RECORDING --spec FILE; exits with 0 if no write is harmed, 1 if one is, 2 if it cannot be judged") {
      @Override
      int run(final String[] arguments) throws IOException {
        return new ReplayCommand().run(arguments, System.out, System.err);
      }

      @Override
      int run(final OptionSet options) {
        throw new IllegalStateException("replay parses its own options");
      }
    },
    DEMO(
        "runs all programs in one process on the loopback address; demo once exits when done, demo trial shows a trial that detects a faulty version, demo affinity shows callers bound to nodes while nodes join and leave") {
      @Override
      int run(final OptionSet options) throws IOException, InterruptedException {
        Logging.configure("demo");
        configureNetty();
        return options.nonOptionArguments().contains("affinity")
            ? new Demo().affinity()
            : options.nonOptionArguments().contains("trial")
                ? new Demo().trial()
                : new Demo().run(!options.nonOptionArguments().contains("once"));
      }
    },
    CHECK("validates a file without starting anything: check settings FILE, check spec FILE") {
      @Override
      int run(final OptionSet options) throws IOException {
        final List<?> arguments = options.nonOptionArguments();
        if (arguments.size() != 2) {
          throw new WeldpointException(
              WeldpointException.Kind.USAGE,
              "check takes the kind of file and a file: check settings FILE, or check spec FILE");
        }
        final Path file = Path.of(arguments.get(1).toString());
        if (arguments.get(0).equals("settings")) {
          Settings.load(file);
        } else if (arguments.get(0).equals("spec")) {
          if (!Files.isReadable(file)) {
            throw new WeldpointException(
                WeldpointException.Kind.UNREADABLE,
                "the file " + file + " cannot be read; name a readable file");
          }
          final RoutingTable routingTable = RoutingTable.compile(Files.readAllBytes(file));
          System.out.println(
              "version "
                  + Long.toHexString(routingTable.version())
                  + ", "
                  + routingTable.routeCount()
                  + " routes, "
                  + routingTable.services().size()
                  + " services");
          final Settings settings = deploymentSettings();
          warnings(routingTable, settings)
              .forEach(warning -> System.out.println("warning: " + warning));
        } else {
          throw new WeldpointException(
              WeldpointException.Kind.USAGE,
              "'" + arguments.get(0) + "' cannot be checked; check settings or spec");
        }
        System.out.println("good");
        return 0;
      }
    };

    /** The settings of the deployment, if a settings file is named; null otherwise. */
    private static Settings deploymentSettings() {
      final String file = System.getenv(Settings.FILE_VARIABLE);
      return file == null || file.isEmpty() ? null : Settings.load(Path.of(file));
    }

    private static List<String> warnings(final RoutingTable routingTable, final Settings settings) {
      final Collection<String> regions = settings == null ? List.of() : settings.sites().values();
      final List<String> warnings = new ArrayList<>(HomeRegionWarnings.of(routingTable, regions));
      if (settings != null) {
        warnings.addAll(
            KeyedRouteWarnings.of(
                routingTable, Settings.OPERATION_KEY_HEADER, settings.keyHeaders()));
      }
      return warnings;
    }

    private final String help;

    Command(final String help) {
      this.help = help;
    }

    int run(final String[] arguments) throws IOException, InterruptedException {
      return run(new OptionParser().parse(arguments));
    }

    abstract int run(OptionSet options) throws IOException, InterruptedException;
  }

  private Weldpoint() {}

  /**
   * Sets Netty up for a small process: logging through java.util.logging, fixed machine and process
   * ids, one event loop thread and unpooled heap buffers.
   */
  private static void configureNetty() {
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    System.setProperty("io.netty.machineId", "00:00:00:00:00:00:00:01");
    System.setProperty("io.netty.processId", "1");
    System.setProperty("io.netty.initialSeedUniquifier", Long.toString(RandomIds.next()));
    System.setProperty("io.netty.eventLoopThreads", "1");
    System.setProperty("io.netty.noPreferDirect", "true");
    System.setProperty("io.netty.allocator.type", "unpooled");
    System.setProperty("io.netty.tryReflectionSetAccessible", "false");
  }

  private static Settings loadSettings(final String program) {
    Logging.configure(program);
    configureNetty();
    return Settings.load();
  }

  /**
   * Starts the daemon and never returns: reloads its settings on SIGHUP and when the settings file
   * changes, and stops it in a shutdown hook.
   */
  private static int runDaemon(final Daemon daemon) throws IOException, InterruptedException {
    daemon.start();
    final Runnable reload =
        () -> {
          try {
            daemon.reload(Settings.load());
            LOGGER.atInfo().log("settings reloaded");
          } catch (final WeldpointException exception) {
            LOGGER.atWarning().log(
                "settings not reloaded, the previous ones stay in effect: %s",
                exception.getMessage());
          }
        };
    sun.misc.Signal.handle(new sun.misc.Signal("HUP"), signal -> reload.run());
    Runtime.getRuntime().addShutdownHook(new Thread(daemon::stop, "stop"));
    long appliedChange = Settings.lastModified();
    while (true) {
      Thread.sleep(SETTINGS_POLL_MILLIS);
      final long latestChange = Settings.lastModified();
      if (latestChange != appliedChange) {
        appliedChange = latestChange;
        reload.run();
      }
    }
  }

  private static String usage() {
    final StringBuilder text = new StringBuilder("usage: weldpoint COMMAND\n");
    for (final Command command : Command.values()) {
      text.append(
          String.format(
              "  %-12s %s%n", command.name().toLowerCase(java.util.Locale.ROOT), command.help));
    }
    return text.append(
            "  --help       shows this text\n  --version    shows the version\nsettings are read from the file that ")
        .append(Settings.FILE_VARIABLE)
        .append(" names\n")
        .toString();
  }

  /** Runs the command that the arguments name and exits with its code. */
  public static void main(final String[] arguments) {
    final int exitCode = execute(arguments);
    if (exitCode >= 0) {
      System.exit(exitCode);
    }
  }

  /** Runs the command that the arguments name and returns its exit code. */
  static int execute(final String[] arguments) {
    try {
      if (arguments.length > 0 && arguments[0].equals("--help")) {
        System.out.print(usage());
        return 0;
      }
      if (arguments.length > 0 && arguments[0].equals("--version")) {
        System.out.println("weldpoint " + VERSION);
        return 0;
      }
      for (final Command command : Command.values()) {
        if (arguments.length > 0
            && command.name().toLowerCase(java.util.Locale.ROOT).equals(arguments[0])) {
          return command.run(Arrays.copyOfRange(arguments, 1, arguments.length));
        }
      }
      System.err.print(
          (arguments.length == 0
                  ? "no command given\n"
                  : "the command '" + arguments[0] + "' is unknown\n")
              + usage());
      return EXIT_USAGE;
    } catch (final OptionException exception) {
      System.err.print(exception.getMessage() + "\n" + usage());
      return EXIT_USAGE;
    } catch (final WeldpointException exception) {
      System.err.println("weldpoint: " + exception.getMessage());
      return exception.kind() == WeldpointException.Kind.USAGE ? EXIT_USAGE : 1;
    } catch (final IOException exception) {
      System.err.println("weldpoint: " + exception.getMessage());
      return 1;
    } catch (final InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return 1;
    }
  }
}
