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
  private static final int BAD_USAGE = 2;
  private static final long SETTINGS_MILLIS = 2000;

  /** The commands. */
  private enum Command {
    SWITCHBOARD("runs the proxy on an edge machine") {
      @Override
      int run(final OptionSet options) throws IOException, InterruptedException {
        return stay(new ProxyDaemon(boot("switchboard")));
      }
    },
    EXCHANGE("runs the registry on a core machine") {
      @Override
      int run(final OptionSet options) throws IOException, InterruptedException {
        return stay(new RegistryDaemon(boot("exchange")));
      }
    },
    FRAME("runs the store on a core machine") {
      @Override
      int run(final OptionSet options) throws IOException, InterruptedException {
        return stay(new StateStoreDaemon(boot("frame")));
      }
    },
    ANNOUNCER("runs the shared cache of content deliveries") {
      @Override
      int run(final OptionSet options) throws IOException, InterruptedException {
        return stay(new CacheDaemon(boot("announcer")));
      }
    },
    TRIAL(
        "tries a route's new version: trial begin|status|advance|hold|finish ROUTE --control HOST:PORT") {
      @Override
      int run(final String[] words) throws InterruptedException {
        return new TrialCommand().run(words, System.out);
      }

      @Override
      int run(final OptionSet options) {
        throw new IllegalStateException("trial reads its own options");
      }
    },
    STATUS(
        "shows the core, all daemons and placements as one exchange knows them: status --control HOST:PORT,...; 3 where it has no majority") {
      @Override
      int run(final String[] words) throws InterruptedException {
        return new StatusCommand().run(words, System.out);
      }

      @Override
      int run(final OptionSet options) {
        throw new IllegalStateException("status reads its own options");
      }
    },
    HISTORY(
        "shows the changes of routing, from any replica: history --control HOST:PORT,... [--since --until --route --author --json] or --reach N; 3 not confirmed to be complete") {
      @Override
      int run(final String[] words) throws InterruptedException {
        return new HistoryCommand().run(words, System.out, System.err);
      }

      @Override
      int run(final OptionSet options) {
        throw new IllegalStateException("history reads its own options");
      }
    },
    RECORD(
        "records what all switchboards carry: record begin|status|end --control HOST:PORT,... --file FILE") {
      @Override
      int run(final String[] words) throws IOException, InterruptedException {
        return new RecordCommand().run(words, System.out);
      }

      @Override
      int run(final OptionSet options) {
        throw new IllegalStateException("record reads its own options");
      }
    },
    SCALE(
        "measures on this machine how each role grows with the fleet: scale [--series NAME] [--sizes N,N,N] [--seconds N]") {
      @Override
      int run(final String[] words) throws IOException, InterruptedException {
        return new ScaleCommand().run(words, System.out);
      }

      @Override
      int run(final OptionSet options) {
        throw new IllegalStateException("scale reads its own options");
      }
    },
    REPLAY(
        "plays a recorded day through proposed settings: replay DAY --spec FILE; 0 no write is harmed, 1 one is, 2 it cannot be judged") {
      @Override
      int run(final String[] words) throws IOException {
        return new ReplayCommand().run(words, System.out, System.err);
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
        quiet();
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
        final List<?> words = options.nonOptionArguments();
        if (words.size() != 2) {
          throw new WeldpointException(
              WeldpointException.Kind.USAGE,
              "check takes what to check and a file: check settings FILE, or check spec FILE");
        }
        final Path file = Path.of(words.get(1).toString());
        if (words.get(0).equals("settings")) {
          Settings.load(file);
        } else if (words.get(0).equals("spec")) {
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
          HomeRegionWarnings.of(routingTable, regions())
              .forEach(text -> System.out.println("warning: " + text));
        } else {
          throw new WeldpointException(
              WeldpointException.Kind.USAGE,
              "'" + words.get(0) + "' cannot be checked; check settings or spec");
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

    int run(final String[] words) throws IOException, InterruptedException {
      return run(new OptionParser().parse(words));
    }

    abstract int run(OptionSet options) throws IOException, InterruptedException;
  }

  private Weldpoint() {}

  private static void quiet() {
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    System.setProperty("io.netty.machineId", "00:00:00:00:00:00:00:01");
    System.setProperty("io.netty.processId", "1");
    System.setProperty("io.netty.initialSeedUniquifier", Long.toString(RandomIds.next()));
    System.setProperty("io.netty.eventLoopThreads", "1");
    System.setProperty("io.netty.noPreferDirect", "true");
    System.setProperty("io.netty.allocator.type", "unpooled");
    System.setProperty("io.netty.tryReflectionSetAccessible", "false");
  }

  private static Settings boot(final String program) {
    Logging.start(program);
    quiet();
    return Settings.load();
  }

  private static int stay(final Daemon program) throws IOException, InterruptedException {
    program.start();
    final Runnable again =
        () -> {
          try {
            program.reload(Settings.load());
            LOGGER.atInfo().log("the settings were read again");
          } catch (final WeldpointException exception) {
            LOGGER.atWarning().log(
                "the settings were not taken, the old ones stay: %s", exception.getMessage());
          }
        };
    sun.misc.Signal.handle(new sun.misc.Signal("HUP"), signal -> again.run());
    Runtime.getRuntime().addShutdownHook(new Thread(program::stop, "stop"));
    long seen = Settings.changedAt();
    while (true) {
      Thread.sleep(SETTINGS_MILLIS);
      final long changed = Settings.changedAt();
      if (changed != seen) {
        seen = changed;
        again.run();
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
    final int code = execute(arguments);
    if (code >= 0) {
      System.exit(code);
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
      return BAD_USAGE;
    } catch (final OptionException problem) {
      System.err.print(problem.getMessage() + "\n" + usage());
      return BAD_USAGE;
    } catch (final WeldpointException exception) {
      System.err.println("weldpoint: " + exception.getMessage());
      return exception.kind() == WeldpointException.Kind.USAGE ? BAD_USAGE : 1;
    } catch (final IOException problem) {
      System.err.println("weldpoint: " + problem.getMessage());
      return 1;
    } catch (final InterruptedException ended) {
      Thread.currentThread().interrupt();
      return 1;
    }
  }
}
