package weldpoint.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Real state stores, registries and proxies as processes on loopback addresses, with stand-in
 * upstreams that beat as upstreams do.
 */
final class LocalFleet implements AutoCloseable {
  /** The host that the configuration's routes are listed under. */
  static final String HOST = "soak.example";

  /** A route whose requests run at most once. */
  static final String WRITE_PATH = "/book/";

  /** A route whose requests may run more than once. */
  static final String READ_PATH = "/look/";

  /** A route to the service that is divided by key. */
  static final String SHELF_PATH = "/shelf/";

  /** A route to the divided service whose requests run at most once. */
  static final String SHELF_WRITE_PATH = "/stock/";

  /** A route whose home regions change. */
  static final String HOMED_PATH = "/deed/";

  /** A route of large answers. */
  static final String SHEET_PATH = "/sheet/";

  /** The service that is divided by key. */
  static final String SHELF = "shelf";

  private static final double SLOW_CLOCK = 1.02;
  private static final int ZONES = 3;

  /** The upstreams' service. */
  static final String SERVICE = "desk";

  private static final long START_MILLIS = 60_000;
  private static final long PAUSE_MILLIS = 100;
  private static final int BEAT_MILLIS = 1000;
  private static final int CALL_MILLIS = 2000;
  private static final int TRAFFIC_PORT = 0;
  private static final int CONTROL_PORT = 0;
  private static final int REGISTRY_PORT = 1;
  private static final int STORE_PORT = 2;
  private static final int READINESS_PORT = 12;
  private static final int METRICS_PORT = 13;

  /**
   * How large a fleet is.
   *
   * @param cores machines with a state store and a registry
   * @param proxies machines with a proxy
   * @param upstreams stand-in upstreams
   * @param keyHolders stand-in upstreams of a service that is divided by key
   */
  record Size(int cores, int proxies, int upstreams, int keyHolders) {
    Size(final int cores, final int proxies, final int upstreams) {
      this(cores, proxies, upstreams, 0);
    }
  }

  private final Size size;
  private final int port;
  private final Path folder;
  private final RecordingUpstream.Records records =
      new RecordingUpstream.Records(new ConcurrentLinkedQueue<>(), new ConcurrentHashMap<>());
  private final List<DaemonProcess> stores = new ArrayList<>();
  private final List<DaemonProcess> registries = new ArrayList<>();
  private final List<DaemonProcess> proxies = new ArrayList<>();
  private final List<RecordingUpstream> upstreams = new ArrayList<>();
  private final List<TcpRelay> relays = new ArrayList<>();
  private final List<RecordingUpstream> keyHolders = new ArrayList<>();
  private final List<TcpRelay> coreRelays = new ArrayList<>();
  private final List<TcpRelay> keyRelays = new ArrayList<>();
  private final GrantedKeys.ExclusiveHolderChecker holderJudge =
      new GrantedKeys.ExclusiveHolderChecker();
  private final Map<Integer, Integer> lives = new ConcurrentHashMap<>();
  private final java.util.concurrent.atomic.AtomicInteger versions =
      new java.util.concurrent.atomic.AtomicInteger(1);
  private final java.util.Set<Integer> draining = ConcurrentHashMap.newKeySet();
  private final ConcurrentLinkedQueue<HomeRegions.Change> homeChanges =
      new ConcurrentLinkedQueue<>(
          List.of(new HomeRegions.Change(1, HomeRegions.NONE, Long.MIN_VALUE, Long.MIN_VALUE)));
  private final AtomicLong beats = new AtomicLong();
  private final AtomicLong calls = new AtomicLong();
  private final ScheduledExecutorService clock =
      Executors.newScheduledThreadPool(3, LocalFleet::daemon);

  LocalFleet(final Size size, final long seed) throws IOException {
    this.size = size;
    this.port = 20_000 + new Random(seed ^ System.nanoTime()).nextInt(1000) * 20;
    this.folder = Files.createTempDirectory("weldpoint-soak");
    for (int index = 0; index < size.cores(); index++) {
      final String address = core(index);
      final String bound = "127.9.11." + (1 + index);
      final String disk =
          "station.folder = "
              + folder.resolve("disk-" + index)
              + "\nstation.bind = "
              + bound
              + "\n";
      coreRelays.add(coreRelay(address, bound, REGISTRY_PORT));
      coreRelays.add(coreRelay(address, bound, STORE_PORT));
      stores.add(process("frame", address, index, disk));
      registries.add(
          process(
              "exchange",
              address,
              index,
              disk + "listen.control = " + address + ":" + (port + CONTROL_PORT) + "\n"));
    }
    for (int index = 0; index < size.proxies(); index++) {
      proxies.add(
          process(
              "switchboard",
              proxyHost(index),
              index,
              "listen.traffic = "
                  + proxy(index)
                  + "\nlisten.readiness = "
                  + readiness(index)
                  + "\n"));
    }
    for (int index = 0; index < size.upstreams(); index++) {
      final String host = "127.9.4." + (1 + index);
      upstreams.add(new RecordingUpstream("i-" + index, host, port, records, seed * 31 + index));
      relays.add(new TcpRelay("127.9.3." + (1 + index), port, new InetSocketAddress(host, port)));
    }
    keyHolders(seed);
  }

  /** Bytes from any daemon to an inner port of a core machine pass through it. */
  private TcpRelay coreRelay(final String told, final String bound, final int offset)
      throws IOException {
    final TcpRelay relay =
        new TcpRelay(told, port + offset, new InetSocketAddress(bound, port + offset));
    relay.loseHeld(true);
    return relay;
  }

  /** The relays before the inner ports of core machines: two for each machine, in their order. */
  List<TcpRelay> coreRelays() {
    return coreRelays;
  }

  private void keyHolders(final long seed) throws IOException {
    for (int index = 0; index < size.keyHolders(); index++) {
      final String host = "127.9.6." + (1 + index);
      final GrantedKeys keys =
          new GrantedKeys("k-" + index, index % 2 == 0 ? SLOW_CLOCK : 1, holderJudge);
      keyHolders.add(
          new RecordingUpstream("k-" + index, host, port, records, seed * 37 + index, keys));
      final TcpRelay relay =
          new TcpRelay("127.9.5." + (1 + index), port, new InetSocketAddress(host, port));
      relay.loseHeld(true);
      keyRelays.add(relay);
    }
  }

  /** The stand-in upstreams of the service that is divided by key. */
  List<RecordingUpstream> keyHolders() {
    return keyHolders;
  }

  /** The relays before them. */
  List<TcpRelay> keyRelays() {
    return keyRelays;
  }

  /** What was seen of two upstreams that held one key. */
  List<String> twoHolders() {
    return holderJudge.broken();
  }

  /** A holder of keys tells from now on that it leaves. */
  void drain(final int keyHolder) {
    draining.add(keyHolder);
    beatHolder(keyHolder);
  }

  /** A holder of keys ends, and another life of it begins at its address. */
  void beginLife(final int keyHolder) {
    final int life = lives.merge(keyHolder, 1, Integer::sum);
    keyHolders.get(keyHolder).beginLife(holderId(keyHolder, life));
    draining.remove(keyHolder);
    beatHolder(keyHolder);
  }

  private static String holderId(final int keyHolder, final int life) {
    return "k-" + keyHolder + (life == 0 ? "" : "-" + life);
  }

  /**
   * Sends the workload's configuration under the next version, without waiting for the answer.
   *
   * @param idleMillis how long a connection of a client may rest
   */
  void sendNextConfiguration(final int idleMillis, final HomeRegions homes) {
    final int version = versions.incrementAndGet();
    final long sentAt = Clock.millis();
    homeChanges.add(new HomeRegions.Change(version, homes, sentAt, Long.MAX_VALUE));
    clock.execute(
        () -> {
          final String body = Workload.configuration(version, idleMillis, homes);
          if (control(version, "configuration.replace", body).status() == 200) {
            homeChanges.add(new HomeRegions.Change(version, homes, sentAt, Clock.millis()));
          }
        });
  }

  /** The configurations that were sent; one that was acknowledged stands twice. */
  List<HomeRegions.Change> homeChanges() {
    return new ArrayList<>(homeChanges);
  }

  /** The region of a stand-in upstream that is not divided by key. */
  static String regionOf(final String instance) {
    return HomeRegions.region(
        Integer.parseInt(instance.substring(instance.indexOf('-') + 1)) % ZONES);
  }

  /** The first beat of a life that has ended comes from the address of a drawn upstream. */
  void lateFirstBeat(final Random random) {
    final String id = "late-" + beats.incrementAndGet();
    final int registry = random.nextInt(size.cores());
    final int index = random.nextInt(size.upstreams() + size.keyHolders());
    if (index < size.upstreams()) {
      clock.execute(() -> beat(registry, id, SERVICE, "127.9.3." + (1 + index), index, "ready", 1));
    } else {
      final int holder = index - size.upstreams();
      clock.execute(() -> beat(registry, id, SHELF, "127.9.5." + (1 + holder), holder, "ready", 1));
    }
  }

  private int beatHolder(final int index) {
    final long number = beats.incrementAndGet();
    return beat(
        (int) (number % size.cores()),
        holderId(index, lives.getOrDefault(index, 0)),
        SHELF,
        "127.9.5." + (1 + index),
        index,
        draining.contains(index) ? "draining" : "ready",
        number);
  }

  private static Thread daemon(final Runnable task) {
    final Thread thread = new Thread(task, "fleet");
    thread.setDaemon(true);
    return thread;
  }

  private static String core(final int index) {
    return "127.9.1." + (1 + index);
  }

  private static String proxyHost(final int index) {
    return "127.9.2." + (1 + index);
  }

  /** The address at which a proxy takes requests. */
  String proxy(final int index) {
    return proxyHost(index) + ":" + (port + TRAFFIC_PORT);
  }

  private String readiness(final int index) {
    return proxyHost(index) + ":" + (port + READINESS_PORT);
  }

  /** The address at which a registry takes control calls. */
  String control(final int index) {
    return core(index % size.cores()) + ":" + (port + CONTROL_PORT);
  }

  private DaemonProcess process(
      final String program, final String address, final int index, final String extra) {
    final StringBuilder seeds = new StringBuilder();
    for (int core = 0; core < Math.min(3, size.cores()); core++) {
      seeds.append(core == 0 ? "" : ",").append(control(core));
    }
    final String settings =
        "station.name = "
            + address
            + "\nstation.address = "
            + address
            + "\nstation.site = zone-"
            + index % ZONES
            + "\nstation.region = "
            + HomeRegions.region(index % ZONES)
            + "\nstation.voter = true\nstation.first-start = true\n"
            + "trunk.ports = "
            + (port + 1)
            + ","
            + (port + 10)
            + "\ntrunk.seeds = "
            + seeds
            + "\nsites = zone-0:home,zone-1:home,zone-2:away\nbeat.every-ms = "
            + BEAT_MILLIS
            + "\nbound.quota-window-s = 5\nbound.quota-overshoot = 0.1\n"
            + "bound.quota-tolerance = 20\nstation.link-mbps = 20\nmetrics.port = "
            + (port + METRICS_PORT)
            + "\n"
            + extra;
    try {
      final Path file = folder.resolve(program + "-" + index);
      Files.writeString(file, settings);
      return new DaemonProcess(program, address, file);
    } catch (final IOException problem) {
      throw new UncheckedIOException("cannot write settings", problem);
    }
  }

  /** Kills the processes of an interrupted run. */
  private void killAll() {
    all().forEach(DaemonProcess::endForGood);
  }

  /** Starts all processes, gives them a configuration and waits until all proxies are ready. */
  void start(final String configuration) throws InterruptedException {
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll, "ends-fleet"));
    stores.forEach(DaemonProcess::start);
    registries.forEach(DaemonProcess::start);
    proxies.forEach(DaemonProcess::start);
    final long deadline = Clock.millis() + START_MILLIS;
    replaceConfiguration(configuration, deadline);
    for (int index = 0; index < size.upstreams(); index++) {
      while (beat(index) != 200) {
        pause(deadline, "no beat of upstream " + index + " was acknowledged");
      }
    }
    for (int index = 0; index < size.keyHolders(); index++) {
      while (beatHolder(index) != 200) {
        pause(deadline, "no beat of key holder " + index + " was acknowledged");
      }
    }
    clock.scheduleAtFixedRate(this::beatAll, BEAT_MILLIS, BEAT_MILLIS, TimeUnit.MILLISECONDS);
    for (int index = 0; index < size.proxies(); index++) {
      while (!ready(index)) {
        pause(deadline, "proxy " + index + " is not ready");
      }
    }
    Thread.sleep(BEAT_MILLIS);
  }

  private void pause(final long deadline, final String problem) throws InterruptedException {
    if (Clock.millis() > deadline) {
      throw new IllegalStateException(problem + " after " + START_MILLIS + " ms");
    }
    Thread.sleep(PAUSE_MILLIS);
  }

  /** Sends a configuration until it is acknowledged. */
  void replaceConfiguration(final String configuration, final long deadline)
      throws InterruptedException {
    for (int tries = 0; ; tries++) {
      if (control(tries, "configuration.replace", configuration).status() == 200) {
        return;
      }
      pause(deadline, "no configuration was acknowledged");
    }
  }

  /** The figures of a registry as Prometheus text; empty where it does not answer. */
  String registryFigures(final int registry) {
    return figures(core(registry) + ":" + (port + METRICS_PORT + 1));
  }

  /** The figures of a proxy as Prometheus text; empty where it does not answer. */
  String proxyFigures(final int proxy) {
    return figures(proxyHost(proxy) + ":" + (port + METRICS_PORT));
  }

  private static String figures(final String address) {
    return HttpCaller.call(address, "GET", "/metrics", Map.of("Host", address), "", CALL_MILLIS)
        .body();
  }

  /** Makes one call of the control interface. */
  ClientReply control(final int registry, final String call, final String body) {
    return HttpCaller.call(
        control(registry),
        "POST",
        "/api/rpc?call=" + call,
        Map.of("Host", control(registry)),
        body,
        CALL_MILLIS);
  }

  private void beatAll() {
    for (int index = 0; index < size.upstreams(); index++) {
      beat(index);
    }
    for (int index = 0; index < size.keyHolders(); index++) {
      beatHolder(index);
    }
  }

  private int beat(final int index) {
    final long number = beats.incrementAndGet();
    return beat(
        (int) (number % size.cores()),
        "i-" + index,
        SERVICE,
        "127.9.3." + (1 + index),
        index,
        "ready",
        number);
  }

  private int beat(
      final int registry,
      final String instance,
      final String service,
      final String host,
      final int index,
      final String state,
      final long number) {
    return control(
            registry,
            "instances.heartbeat&of=" + instance,
            "{\"service\":\""
                + service
                + "\",\"address\":\""
                + host
                + ":"
                + port
                + "\",\"zone\":\"zone-"
                + index % ZONES
                + "\",\"version\":\"v1\",\"capacity\":64,\"state\":\""
                + state
                + "\",\"warmupLeftMs\":0,\"callSeq\":"
                + number
                + "}")
        .status();
  }

  private boolean ready(final int index) {
    return HttpCaller.call(
                readiness(index),
                "GET",
                "/api/readiness",
                Map.of("Host", readiness(index)),
                "",
                CALL_MILLIS)
            .status()
        == 200;
  }

  /** An attempt id that no other request of this fleet bears. */
  String attemptId() {
    return String.format("%016x", calls.incrementAndGet());
  }

  /** Sends a request to a proxy; {@code key} and {@code apiKey} may be empty. */
  ClientReply request(
      final int proxy,
      final String path,
      final String attemptId,
      final String key,
      final String apiKey,
      final int deadlineMillis) {
    final Map<String, String> headers = new java.util.LinkedHashMap<>();
    headers.put("Host", HOST);
    headers.put("Weldpoint-Attempt-Id", attemptId);
    headers.put("Weldpoint-Deadline-Ms", Integer.toString(deadlineMillis));
    if (!key.isEmpty()) {
      headers.put("Idempotency-Key", key);
    }
    if (!apiKey.isEmpty()) {
      headers.put("Authorization", "Bearer " + apiKey);
    }
    return HttpCaller.call(
        proxy(proxy), "POST", path, headers, "a booking", deadlineMillis + CALL_MILLIS);
  }

  /** Sends a request for a key of the divided service to a proxy. */
  ClientReply shelfRequest(final int proxy, final String attemptId, final String shardKey) {
    return shelfCall(proxy, "GET", SHELF_PATH, attemptId, shardKey);
  }

  /** Sends a request that changes a key of the divided service, and may run at most once. */
  ClientReply shelfWrite(final int proxy, final String attemptId, final String shardKey) {
    return shelfCall(proxy, "POST", SHELF_WRITE_PATH, attemptId, shardKey);
  }

  private ClientReply shelfCall(
      final int proxy,
      final String method,
      final String path,
      final String attemptId,
      final String shardKey) {
    final Map<String, String> headers = new java.util.LinkedHashMap<>();
    headers.put("Host", HOST);
    headers.put("Weldpoint-Attempt-Id", attemptId);
    headers.put("Weldpoint-Deadline-Ms", Integer.toString(CALL_MILLIS));
    headers.put("Authorization", "Bearer key-f");
    if (!shardKey.isEmpty()) {
      headers.put("Weldpoint-Shard-Key", shardKey);
    }
    return HttpCaller.call(proxy(proxy), method, path + "1", headers, "", 2 * CALL_MILLIS);
  }

  /** All runs that the upstreams noted so far. */
  List<UpstreamRun> runs() {
    return new ArrayList<>(records.runs());
  }

  /** When the answer to a request was written whole by its upstream, by attempt id. */
  Map<String, Long> answered() {
    return records.answered();
  }

  List<DaemonProcess> stores() {
    return stores;
  }

  List<DaemonProcess> registries() {
    return registries;
  }

  List<DaemonProcess> proxies() {
    return proxies;
  }

  List<RecordingUpstream> upstreams() {
    return upstreams;
  }

  List<TcpRelay> relays() {
    return relays;
  }

  /** All daemons. */
  List<DaemonProcess> all() {
    final List<DaemonProcess> all = new ArrayList<>(stores);
    all.addAll(registries);
    all.addAll(proxies);
    return all;
  }

  Size size() {
    return size;
  }

  @Override
  public void close() {
    clock.shutdownNow();
    killAll();
    upstreams.forEach(RecordingUpstream::close);
    keyHolders.forEach(RecordingUpstream::close);
    relays.addAll(keyRelays);
    relays.addAll(coreRelays);
    for (final TcpRelay relay : relays) {
      try {
        relay.close();
      } catch (final IOException alreadyClosed) {
        // nothing is left to do
      }
    }
    delete(folder);
  }

  private static void delete(final Path folder) {
    try (java.util.stream.Stream<Path> files = Files.walk(folder)) {
      for (final Path file : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    } catch (final IOException left) {
      // a temporary folder that cannot be removed is left to the system
    }
  }
}
