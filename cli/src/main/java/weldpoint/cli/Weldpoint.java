package weldpoint.cli;

import com.google.common.flogger.FluentLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
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
import weldpoint.routing.RoutingTable;
import weldpoint.scale.ScaleCommand;
import weldpoint.statestore.StateStoreDaemon;

/** The command line. */
public final class Weldpoint {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final String VERSION = "0.1.0";
  private static final int EXIT_USAGE = 2;
  private static final long SETTINGS_POLL_MILLIS = 2000;

  /** The commands. */
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
    FRAME("runs the store on a core machine") {
      @Override
      int run(final OptionSet options) throws IOException, InterruptedException {
        return runDaemon(new StateStoreDaemon(loadSettings("frame")));
      }
    },
    ANNOUNCER("runs the shared cache of content deliveries") {
      @Override
      int run(final OptionSet options) throws IOException, InterruptedException {
        return runDaemon(new CacheDaemon(loadSettings("announcer")));
      }
    },
    TRIAL(
        "tries a route's new version: trial begin|status|advance|hold|finish ROUTE --control HOST:PORT") {
      @Override
      int run(final String[] arguments) throws InterruptedException {
        return new TrialCommand().run(arguments, System.out);
      }

      @Override
      int run(final OptionSet options) {
        throw new IllegalStateException("trial reads its own options");
      }
    },
    STATUS(
        "shows the core, all daemons and placements as one exchange knows them: status --control HOST:PORT,...; 3 where it has no majority") {
      @Override
      int run(final String[] arguments) throws InterruptedException {
        return new StatusCommand().run(arguments, System.out);
      }

      @Override
      int run(final OptionSet options) {
        throw new IllegalStateException("status reads its own options");
      }
    },
    HISTORY(
        "shows the changes of routing, from any replica: history --control HOST:PORT,... [--since --until --route --author --json] or --reach N; 3 not confirmed to be complete") {
      @Override
      int run(final String[] arguments) throws InterruptedException {
        return new HistoryCommand().run(arguments, System.out, System.err);
      }

      @Override
      int run(final OptionSet options) {
        throw new IllegalStateException("history reads its own options");
      }
    },
    RECORD(
        "records what all switchboards carry: record begin|status|end --control HOST:PORT,... --file FILE") {
      @Override
      int run(final String[] arguments) throws IOException, InterruptedException {
        return new RecordCommand().run(arguments, System.out);
      }

      @Override
      int run(final OptionSet options) {
        throw new IllegalStateException("record reads its own options");
      }
    },
    SCALE(
        "measures on this machine how each role grows with the fleet: scale [--series NAME] [--sizes N,N,N] [--seconds N]") {
      @Override
      int run(final String[] arguments) throws IOException, InterruptedException {
        return new ScaleCommand().run(arguments, System.out);
      }

      @Override
      int run(final OptionSet options) {
        throw new IllegalStateException("scale reads its own options");
      }
    },
    REPLAY(
        "plays a recorded day through proposed settings: replay DAY --spec FILE; 0 no write is harmed, 1 one is, 2 it cannot be judged") {
      @Override
      int run(final String[] arguments) throws IOException {
        return new ReplayCommand().run(arguments, System.out, System.err);
      }

      @Override
      int run(final OptionSet options) {
        throw new IllegalStateException("replay reads its own options");
      }
    },
    DEMO(
        "runs everything in one process on the loopback address; demo once ends by itself, demo trial shows a trial that catches a fault, demo affinity callers tied to nodes that come and go") {
      @Override
      int run(final OptionSet options) throws IOException, InterruptedException {
        Logging.start("demo");
        configureNetty();
        return options.nonOptionArguments().contains("affinity")
            ? new Demo().affinity()
            : options.nonOptionArguments().contains("trial")
                ? new Demo().trial()
                : new Demo().run(!options.nonOptionArguments().contains("once"));
      }
    },
    CHECK("checks files without starting anything: check settings FILE, check spec FILE") {
      @Override
      int run(final OptionSet options) throws IOException {
        final List<?> arguments = options.nonOptionArguments();
        if (arguments.size() != 2) {
          throw new WeldpointException(
              WeldpointException.Kind.USAGE,
              "check takes what to check and a file: check settings FILE, or check spec FILE");
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
                  + routingTable.routes()
                  + " routes, "
                  + routingTable.services().size()
                  + " services");
          HomeRegionWarnings.of(routingTable, regions())
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

    /** The regions of the deployment, if a settings file is named; none otherwise. */
    private static Collection<String> regions() {
      final String settings = System.getenv(Settings.VARIABLE);
      return settings == null || settings.isEmpty()
          ? List.of()
          : Settings.load(Path.of(settings)).sites().values();
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
    Logging.start(program);
    configureNetty();
    return Settings.load();
  }

  private static int runDaemon(final Daemon daemon) throws IOException, InterruptedException {
    daemon.start();
    final Runnable reload =
        () -> {
          try {
            daemon.reload(Settings.load());
            LOGGER.atInfo().log("the settings were read again");
          } catch (final WeldpointException exception) {
            LOGGER.atWarning().log(
                "the settings were not taken, the old ones stay: %s", exception.getMessage());
          }
        };
    sun.misc.Signal.handle(new sun.misc.Signal("HUP"), signal -> reload.run());
    Runtime.getRuntime().addShutdownHook(new Thread(daemon::stop, "stop"));
    long appliedChange = Settings.changedAt();
    while (true) {
      Thread.sleep(SETTINGS_POLL_MILLIS);
      final long latestChange = Settings.changedAt();
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
            "  --help       shows this\n  --version    shows the version\nsettings are read from the file that ")
        .append(Settings.VARIABLE)
        .append(" names\n")
        .toString();
  }

  /** Runs a command and ends with its exit code. */
  public static void main(final String[] arguments) {
    final int exitCode = execute(arguments);
    if (exitCode >= 0) {
      System.exit(exitCode);
    }
  }

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
                  ? "no command was given\n"
                  : "the command '" + arguments[0] + "' is unknown\n")
              + usage());
      return EXIT_USAGE;
    } catch (final OptionException problem) {
      System.err.print(problem.getMessage() + "\n" + usage());
      return EXIT_USAGE;
    } catch (final WeldpointException exception) {
      System.err.println("weldpoint: " + exception.getMessage());
      return exception.kind() == WeldpointException.Kind.USAGE ? EXIT_USAGE : 1;
    } catch (final IOException problem) {
      System.err.println("weldpoint: " + problem.getMessage());
      return 1;
    } catch (final InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return 1;
    }
  }
}
