import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback addresses: the programs of the deploy file as processes of their
 * own, with settings filled from the deploy file's template. Plays the platform: it starts, stops
 * and kills processes, and starts a killed one again when asked.
 */
final class Fleet implements AutoCloseable {
  static final String[] ZONES = {"port-hall", "sando-hall", "arima-hall", "couva-hall"};
  static final String[] REGIONS = {"north", "south", "north", "south"};

  /** One process of the deployment. */
  static final class Proc {
    final String role;
    final String address;
    final int zone;
    final Path settings;
    final Path disk;
    volatile Process process;
    boolean started;

    Proc(String role, String address, int zone, Path settings, Path disk) {
      this.role = role;
      this.address = address;
      this.zone = zone;
      this.settings = settings;
      this.disk = disk;
    }

    String name() {
      return role + "@" + address;
    }
  }

  /**
   * Reads "+ID" for each process that was started and "-ID" for each that has ended. When its input
   * ends, this process is gone, whatever ended it: kills what is left, removes the folder.
   */
  private static final String WATCHER =
      "trap '' INT TERM HUP; all=' '; while read -r word; do id=${word#?}; case $word in"
          + " +*) all=\"$all$id \";; -*) all=\"${all%% $id *} ${all#* $id }\";; esac; done;"
          + " for id in $all; do kill -9 $id 2>/dev/null; done; sleep 0.2; rm -rf \"$1\"; exit 0";

  final Record record;
  final Path folder;
  final int net;
  final int control;
  final int traffic;
  final int readiness;
  final int firstPort;
  final List<Proc> frames = new ArrayList<>();
  final List<Proc> exchanges = new ArrayList<>();
  final List<Proc> edges = new ArrayList<>();
  final List<Proc> stores = new ArrayList<>();
  final Map<String, String> extraFields = new LinkedHashMap<>();
  private final Map<String, String> commands = new LinkedHashMap<>();
  private final String template;
  private final Process watcher;

  Fleet(Record record, int cores, int edgeCount) throws IOException {
    this(record, cores, edgeCount, 0);
  }

  Fleet(Record record, int cores, int edgeCount, int storeCount) throws IOException {
    this.record = record;
    this.folder = Files.createTempDirectory("weldpoint-review");
    this.watcher = new ProcessBuilder("sh", "-c", WATCHER, "watcher", folder.toString()).start();
    endWithParent();
    this.net = 20 + ThreadLocalRandom.current().nextInt(200);
    final int base = freeBase();
    this.control = base;
    this.traffic = base + 1;
    this.readiness = base + 2;
    this.firstPort = base + 3;
    readCommands();
    this.template = Files.readString(Path.of("deploy/settings.template"));
    for (int i = 0; i < cores; i++) {
      final String address = "127." + net + ".1." + (1 + i);
      final Path disk = folder.resolve("disk-" + i);
      frames.add(new Proc("frame", address, i % 4, folder.resolve("frame-" + i), disk));
      exchanges.add(new Proc("exchange", address, i % 4, folder.resolve("exchange-" + i), disk));
    }
    for (int i = 0; i < edgeCount; i++) {
      edges.add(
          new Proc(
              "switchboard", "127." + net + ".2." + (1 + i), i % 4, folder.resolve("edge-" + i), null));
    }
    for (int i = 0; i < storeCount; i++) {
      stores.add(
          new Proc(
              "announcer", "127." + net + ".3." + (1 + i), i % 4, folder.resolve("store-" + i), null));
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  private static int freeBase() throws IOException {
    try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return 20_000 + probe.getLocalPort() % 9000;
    }
  }

  private void readCommands() throws IOException {
    String role = null;
    final Pattern section = Pattern.compile("\\[roles\\.([a-z]+)\\]");
    final Pattern run = Pattern.compile("run = \"(.*)\"");
    for (final String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      final Matcher s = section.matcher(line.strip());
      final Matcher r = run.matcher(line.strip());
      if (s.matches()) {
        role = s.group(1);
      } else if (r.matches()) {
        commands.put(role, r.group(1));
      }
    }
  }

  String frontend(int edge) {
    return edges.get(edge).address + ":" + traffic;
  }

  String controlOf(int core) {
    return exchanges.get(core % exchanges.size()).address + ":" + control;
  }

  /** The fields of the platform, filled into the template as the deploy page describes. */
  private String settings(Proc p) {
    final Map<String, String> f = new LinkedHashMap<>();
    f.put("nodeName", p.role + "-" + p.address.replace('.', '-'));
    f.put("ip", p.address);
    f.put("zone", ZONES[p.zone]);
    f.put("region", REGIONS[p.zone]);
    f.put("quorumMember", Boolean.toString(p.disk != null));
    f.put("bootstrap", Boolean.toString(!p.started));
    f.put("dataPath", p.disk == null ? "" : p.disk.toString());
    f.put("limits.memoryMb", p.disk == null ? "430" : "426");
    f.put("limits.maxFds", "4100");
    f.put("limits.linkMbps", "1000.0");
    f.put("listen.frontend", p.role.equals("switchboard") ? p.address + ":" + traffic : "");
    f.put("listen.readiness", p.role.equals("switchboard") ? p.address + ":" + readiness : "");
    f.put("listen.controlPlane", p.role.equals("exchange") ? p.address + ":" + control : "");
    f.put("listen.directoryAddr", p.role.equals("exchange") ? p.address + ":" + control : "");
    f.put("portRange", firstPort + "," + (firstPort + 15));
    final StringBuilder seeds = new StringBuilder();
    for (int i = 0; i < Math.min(3, exchanges.size()); i++) {
      seeds.append(i == 0 ? "" : ",").append(controlOf(i));
    }
    f.put("seedNodes", seeds.toString());
    f.put("heartbeatMs", "1500");
    f.put("rollout", "global");
    final String[][] bounds = {
      {"drainMs", "2500"}, {"configDeadlineMs", "2500"}, {"evacuateMs", "5000"},
      {"contactMs", "4000"}, {"graceS", "6"}, {"historyS", "20"}, {"retryRatio", "0.2"},
      {"retryWindowS", "10"}, {"retrySlack", "58"}, {"warmupOvershoot", "1.5"},
      {"warmupTolerance", "5"}, {"ttl_max_s", "5"}, {"reuseDelayS", "2"}, {"maxStretchMs", "6000"}
    };
    for (final String[] b : bounds) {
      f.put("bounds." + b[0], b[1]);
    }
    f.putAll(extraFields);
    final StringBuilder zones = new StringBuilder();
    for (int i = 0; i < ZONES.length; i++) {
      zones.append(i == 0 ? "" : ",").append(ZONES[i]).append(':').append(REGIONS[i]);
    }
    String text = template.replace("{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", zones);
    for (final Map.Entry<String, String> e : f.entrySet()) {
      text = text.replace("{{" + e.getKey() + "}}", e.getValue());
    }
    return text.replaceAll("\\{\\{[^}]*\\}\\}", "");
  }

  void start(Proc p) throws IOException {
    Files.writeString(p.settings, settings(p));
    if (p.disk != null) {
      Files.createDirectories(p.disk);
    }
    final ProcessBuilder builder = new ProcessBuilder(commands.get(p.role).split(" "));
    builder.environment().put("WELDPOINT_SETTINGS", p.settings.toString());
    final Path log = folder.resolve(p.name() + ".log");
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    p.process = builder.start();
    watch(p.process);
    p.started = true;
    record.line("platform starts " + p.name() + " pid " + p.process.pid());
  }

  /** Has a process ended when this one is gone, even by SIGKILL. */
  void watch(Process process) {
    tell("+" + process.pid());
    process.onExit().thenRun(() -> tell("-" + process.pid()));
  }

  private void tell(String word) {
    synchronized (watcher) {
      try {
        watcher.getOutputStream().write((word + "\n").getBytes());
        watcher.getOutputStream().flush();
      } catch (final IOException e) {
        // the watcher has ended: all processes have been ended before
      }
    }
  }

  /** Ends this process in order when the one that started it is gone. */
  private static void endWithParent() {
    final long parent = ProcessHandle.current().parent().map(ProcessHandle::pid).orElse(0L);
    final Thread thread =
        new Thread(
            () -> {
              try {
                while (ProcessHandle.current().parent().map(ProcessHandle::pid).orElse(0L) == parent) {
                  Thread.sleep(500);
                }
              } catch (final InterruptedException e) {
                return;
              }
              System.exit(2);
            });
    thread.setDaemon(true);
    thread.start();
  }

  void kill(Proc p) throws InterruptedException {
    record.line("platform kills " + p.name() + " (SIGKILL)");
    p.process.destroyForcibly();
    p.process.waitFor(5, TimeUnit.SECONDS);
  }

  void term(Proc p) {
    record.line("platform sends SIGTERM to " + p.name());
    p.process.destroy();
  }

  void signal(Proc p, String signal) throws IOException, InterruptedException {
    record.line("platform sends SIG" + signal + " to " + p.name());
    new ProcessBuilder("kill", "-" + signal, Long.toString(p.process.pid())).start().waitFor();
  }

  List<Proc> all() {
    final List<Proc> list = new ArrayList<>(frames);
    list.addAll(exchanges);
    list.addAll(edges);
    list.addAll(stores);
    return list;
  }

  void startAll() throws IOException {
    for (final Proc p : all()) {
      start(p);
    }
  }

  /** Sends a control call to one daemon after the other until one gives a clear answer. */
  Http.Reply order(String path, String body, long timeoutMillis) throws InterruptedException {
    final long until = System.currentTimeMillis() + timeoutMillis;
    for (int i = 0; ; i++) {
      final Http.Reply reply = Http.call(controlOf(i), "POST", path, Map.of(), body, 2000);
      if (reply.status >= 200 && reply.status < 300 || reply.status >= 400 && reply.status < 500) {
        return reply;
      }
      if (System.currentTimeMillis() > until) {
        return reply;
      }
      Thread.sleep(100);
    }
  }

  boolean ready(int edge) {
    return Http.call(
                edges.get(edge).address + ":" + readiness, "GET", "/api/readiness", Map.of(), "", 1000)
            .status
        == 200;
  }

  void awaitReady(long timeoutMillis) throws InterruptedException {
    final long until = System.currentTimeMillis() + timeoutMillis;
    for (int i = 0; i < edges.size(); i++) {
      while (!ready(i)) {
        if (System.currentTimeMillis() > until) {
          throw new IllegalStateException("edge " + i + " did not become ready");
        }
        Thread.sleep(100);
      }
    }
  }

  /** Copies the last lines of a process's log into the record. */
  void quoteLog(Proc p, int lines) throws IOException {
    final List<String> all = Files.readAllLines(folder.resolve(p.name() + ".log"));
    for (final String line : all.subList(Math.max(0, all.size() - lines), all.size())) {
      record.line("log of " + p.name() + ": " + line);
    }
  }

  @Override
  public synchronized void close() {
    for (final Proc p : all()) {
      if (p.process != null) {
        p.process.destroyForcibly();
      }
    }
    for (final Proc p : all()) {
      if (p.process != null) {
        try {
          p.process.waitFor(5, TimeUnit.SECONDS);
        } catch (final InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
    try (java.util.stream.Stream<Path> files = Files.walk(folder)) {
      for (final Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    } catch (final IOException e) {
      // what is left of the temporary folder is harmless
    }
  }
}
