package weldpoint.review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The project's own programs as separate processes on loopback addresses, started with the commands
 * of deploy/system.toml and with settings made from deploy/settings.template.
 */
final class Fleet implements AutoCloseable {
  /** One process: its role, its machine, its settings. */
  final class Daemon {
    final String role;
    final String name;
    private final Path settings;
    private final Path log;
    private Process process;

    Daemon(final String role, final String name, final Map<String, String> fields)
        throws IOException {
      this.role = role;
      this.name = name;
      this.settings = folder.resolve(role + "-" + name + ".conf");
      this.log = folder.resolve(role + "-" + name + ".log");
      Files.writeString(settings, render(fields));
    }

    void start() throws IOException {
      final ProcessBuilder builder = new ProcessBuilder(command(role));
      builder.environment().put("WELDPOINT_SETTINGS", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
      process = builder.start();
      watched(Long.toString(process.pid()));
    }

    boolean alive() {
      return process != null && process.isAlive();
    }

    void signal(final String signal) throws IOException, InterruptedException {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    void waitForEnd() throws InterruptedException {
      process.waitFor();
    }

    List<String> log() throws IOException {
      return Files.readAllLines(log);
    }

    private void end() {
      if (process != null && process.isAlive()) {
        try {
          signal("CONT");
        } catch (final IOException | InterruptedException ignored) {
          // it is killed next
        }
        process.destroyForcibly();
        try {
          process.waitFor();
        } catch (final InterruptedException stopped) {
          Thread.currentThread().interrupt();
        }
      }
    }
  }

  /** Ends what it is told of once this process is gone, whatever ended it. */
  private static final String WATCHER =
      "while read -r one; do case $one in done) all=;; *) all=\"$all $one\";; esac; done;"
          + " for one in $all; do kill -9 $one 2>/dev/null; done; exit 0";

  final Path folder;
  final int port;
  private final Process watcher;
  final List<Daemon> frames = new ArrayList<>();
  final List<Daemon> exchanges = new ArrayList<>();
  final List<Daemon> switchboards = new ArrayList<>();
  private final Map<String, String> common;

  /** Cores stand in one zone each; so do switchboards. */
  Fleet(final int cores, final int proxies, final Map<String, String> common) throws IOException {
    this.folder = Files.createTempDirectory("weldpoint-review");
    this.common = common;
    this.watcher = new ProcessBuilder("sh", "-c", WATCHER).start();
    this.port = freePort(cores, proxies);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  try {
                    close();
                  } catch (final IOException left) {
                    // a temporary folder stays
                  }
                }));
    final List<String> seeds = new ArrayList<>();
    for (int index = 0; index < Math.min(3, cores); index++) {
      seeds.add(control(index));
    }
    for (int index = 0; index < cores; index++) {
      final Map<String, String> fields = machine("core-" + index, coreAddress(index), index);
      fields.put("seedNodes", String.join(",", seeds));
      fields.put("dataPath", folder.resolve("disk-" + index).toString());
      fields.put("quorumMember", "true");
      fields.put("listen.controlPlane", control(index));
      fields.put("listen.directoryAddr", control(index));
      frames.add(new Daemon("frame", "core-" + index, fields));
      exchanges.add(new Daemon("exchange", "core-" + index, fields));
    }
    for (int index = 0; index < proxies; index++) {
      final Map<String, String> fields = machine("edge-" + index, edgeAddress(index), index);
      fields.put("seedNodes", String.join(",", seeds));
      fields.put("quorumMember", "false");
      fields.put("listen.frontend", front(index));
      fields.put("listen.readiness", edgeAddress(index) + ":" + (port + 16));
      switchboards.add(new Daemon("switchboard", "edge-" + index, fields));
    }
  }

  private Map<String, String> machine(final String name, final String address, final int index) {
    final Map<String, String> fields = new LinkedHashMap<>(common);
    fields.put("nodeName", name);
    fields.put("ip", address);
    fields.put("zone", zone(index));
    fields.put("region", region(zone(index)));
    fields.put("bootstrap", "true");
    fields.put("portRange", (port + 1) + "," + (port + 15));
    return fields;
  }

  static String zone(final int index) {
    return List.of("port-hall", "arima-hall", "chag-hall", "sando-hall").get(index % 4);
  }

  private static String region(final String zone) {
    return zone.equals("sando-hall") ? "south" : "north";
  }

  static String coreAddress(final int index) {
    return "127.31.1." + (1 + index);
  }

  static String edgeAddress(final int index) {
    return "127.31.2." + (1 + index);
  }

  String control(final int index) {
    return coreAddress(index) + ":" + (port + 20);
  }

  String front(final int index) {
    return edgeAddress(index) + ":" + (port + 17);
  }

  String readiness(final int index) {
    return edgeAddress(index) + ":" + (port + 16);
  }

  /** The first of thirty ports that are free on all addresses that a case uses. */
  private static int freePort(final int cores, final int proxies) throws IOException {
    final List<String> hosts = new ArrayList<>(List.of("127.31.4.1"));
    for (int index = 0; index < 10; index++) {
      hosts.add("127.31.3." + (1 + index));
    }
    for (int index = 0; index < cores; index++) {
      hosts.add(coreAddress(index));
    }
    for (int index = 0; index < proxies; index++) {
      hosts.add(edgeAddress(index));
    }
    for (int attempt = 0; attempt < 200; attempt++) {
      final int base = 20_000 + new java.util.Random().nextInt(400) * 30;
      if (free(hosts, base)) {
        return base;
      }
    }
    throw new IOException("no free ports");
  }

  private static boolean free(final List<String> hosts, final int base) {
    for (final String host : hosts) {
      for (int offset = 0; offset < 30; offset++) {
        try (ServerSocket probe = new ServerSocket()) {
          probe.bind(new InetSocketAddress(host, base + offset));
        } catch (final IOException taken) {
          return false;
        }
      }
    }
    return true;
  }

  /** The command of a role, split at spaces as the platform does it. */
  private static List<String> command(final String role) throws IOException {
    boolean here = false;
    for (final String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("[")) {
        here = line.equals("[roles." + role + "]");
      } else if (here && line.startsWith("run = ")) {
        return Arrays.asList(line.substring(7, line.lastIndexOf('"')).split(" "));
      }
    }
    throw new IOException("deploy/system.toml has no role " + role);
  }

  /** Fills the project's template as the platform does; what is not given stands for nothing. */
  private static String render(final Map<String, String> fields) throws IOException {
    final StringBuilder text = new StringBuilder();
    for (final String line : Files.readAllLines(Path.of("deploy/settings.template"))) {
      String out = line;
      if (out.contains("{{#zones}}")) {
        out =
            out.substring(0, out.indexOf("{{#zones}}"))
                + "port-hall:north,arima-hall:north,chag-hall:north,sando-hall:south";
      }
      final Matcher gaps = Pattern.compile("\\{\\{([^}]+)\\}\\}").matcher(out);
      out = gaps.replaceAll(gap -> Matcher.quoteReplacement(fields.getOrDefault(gap.group(1), "")));
      if (!out.endsWith("= ")) {
        text.append(out).append('\n');
      }
    }
    return text.toString();
  }

  /** Starts all; gives up after 40 s. */
  void start(final String configuration) throws IOException, InterruptedException {
    for (final Daemon daemon : all()) {
      daemon.start();
    }
    final long until = System.nanoTime() + 40_000_000_000L;
    for (int tries = 0; ; tries++) {
      final Http.Answer answer =
          Http.call(
              control(tries % exchanges.size()),
              "POST",
              "/api/rpc?call=configuration.replace",
              "",
              configuration.getBytes(),
              1000);
      if (answer.status == 200) {
        break;
      }
      if (System.nanoTime() > until) {
        throw new IOException("no configuration was acknowledged");
      }
      Thread.sleep(200);
    }
    for (int index = 0; index < switchboards.size(); index++) {
      while (Http.call(readiness(index), "GET", "/api/readiness", "", new byte[0], 1000).status
          != 200) {
        if (System.nanoTime() > until) {
          throw new IOException("a switchboard is not ready");
        }
        Thread.sleep(100);
      }
    }
  }

  List<Daemon> all() {
    final List<Daemon> all = new ArrayList<>(frames);
    all.addAll(exchanges);
    all.addAll(switchboards);
    return all;
  }

  /** Tells the watcher of a process that was started, or that all are ended. */
  private synchronized void watched(final String word) throws IOException {
    watcher.getOutputStream().write((word + "\n").getBytes());
    watcher.getOutputStream().flush();
  }

  private void endAll() throws IOException {
    all().forEach(Daemon::end);
    watched("done");
    watcher.getOutputStream().close();
    try {
      watcher.waitFor();
    } catch (final InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
  }

  private boolean closed;

  @Override
  public synchronized void close() throws IOException {
    if (closed) {
      return;
    }
    closed = true;
    endAll();
    try (Stream<Path> files = Files.walk(folder)) {
      for (final Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    }
  }
}
