package weldpoint.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Real state stores, registries and proxies as processes on loopback addresses, with stand-in
 * upstreams in this process, on whose behalf it sends heartbeats to the registries. Each upstream
 * and each core machine is reached through a {@link TcpRelay}, which can block or delay its
 * traffic.
 */
final class LocalFleet implements AutoCloseable {
  /** Host name of the listener in the configuration. */
  static final String HOST = "soak.example";

  /** Path of a route whose requests run at most once. */
  static final String WRITE_PATH = "/book/";

  /** Path of a route whose requests are idempotent, so they may run more than once. */
  static final String READ_PATH = "/look/";

  /** Path of a route for reads from the partitioned service. */
  static final String PARTITIONED_READ_PATH = "/shelf/";

  /** Path of a route for writes to the partitioned service, which run at most once. */
  static final String PARTITIONED_WRITE_PATH = "/stock/";

  /** Path of a route whose home regions change during the soak; its requests run at most once. */
  static final String REGION_BOUND_PATH = "/deed/";

  /** Path of a route with large responses. */
  static final String LARGE_DOWNLOAD_PATH = "/sheet/";

  /** The service whose keys are partitioned among its upstreams by leases. */
  static final String PARTITIONED_SERVICE = "shelf";

  private static final double SLOW_CLOCK_FACTOR = 1.02;
  private static final int DAMAGED_CONFIGURATION_INTERVAL = 3;
  private static final int ZONES = 3;

  /** The service of the upstreams without partitioned keys. */
  static final String SERVICE = "desk";

  private static final long START_TIMEOUT_MILLIS = 60_000;
  private static final long POLL_INTERVAL_MILLIS = 100;
  private static final int HEARTBEAT_INTERVAL_MILLIS = 1000;
  private static final int CALL_TIMEOUT_MILLIS = 2000;
  private static final int TRAFFIC_PORT_OFFSET = 0;
  private static final int CONTROL_PORT_OFFSET = 0;
  private static final int REGISTRY_PORT_OFFSET = 1;
  private static final int STORE_PORT_OFFSET = 2;
  private static final int READINESS_PORT_OFFSET = 12;
  private static final int METRICS_PORT_OFFSET = 13;

  /**
   * The size of a fleet.
   *
   * @param cores number of machines with a state store and a registry
   * @param proxies number of machines with a proxy
   * @param upstreams number of stand-in upstreams of the service that is not partitioned
   * @param keyHolders number of stand-in upstreams of the partitioned service
   */
  record Size(int cores, int proxies, int upstreams, int keyHolders) {
    Size(final int cores, final int proxies, final int upstreams) {
      this(cores, proxies, upstreams, 0);
    }
  }

  private final Size size;
  private final int basePort;
  private final Path folder;
  private final RecordingUpstream.Records records =
      new RecordingUpstream.Records(new ConcurrentLinkedQueue<>(), new ConcurrentHashMap<>());
  private final List<DaemonProcess> stores = new ArrayList<>();
  private final List<DaemonProcess> registries = new ArrayList<>();
  private final List<DaemonProcess> proxies = new ArrayList<>();
  private final List<RecordingUpstream> upstreams = new ArrayList<>();
  private final List<TcpRelay> upstreamRelays = new ArrayList<>();
  private final List<RecordingUpstream> keyHolders = new ArrayList<>();
  private final List<TcpRelay> coreRelays = new ArrayList<>();
  private final List<TcpRelay> keyHolderRelays = new ArrayList<>();
  private final GrantedKeys.ExclusiveHolderChecker holderChecker =
      new GrantedKeys.ExclusiveHolderChecker();
  private final Map<Integer, Integer> incarnations = new ConcurrentHashMap<>();
  private final java.util.concurrent.atomic.AtomicInteger lastVersion =
      new java.util.concurrent.atomic.AtomicInteger(1);
  private final java.util.Set<Integer> draining = ConcurrentHashMap.newKeySet();
  private final ConcurrentLinkedQueue<HomeRegions.Change> homeRegionChanges =
      new ConcurrentLinkedQueue<>(
          List.of(
              new HomeRegions.Change(1, HomeRegions.UNRESTRICTED, Long.MIN_VALUE, Long.MIN_VALUE)));
  private final Queue<String> acknowledgedDamage = new ConcurrentLinkedQueue<>();
  private final AtomicLong heartbeatCount = new AtomicLong();
  private final AtomicLong attemptCount = new AtomicLong();
  private final ScheduledExecutorService scheduler =
      Executors.newScheduledThreadPool(3, LocalFleet::daemonThread);

  LocalFleet(final Size size, final long seed) throws IOException {
    this.size = size;
    this.basePort = 20_000 + new Random(seed ^ System.nanoTime()).nextInt(1000) * 20;
    this.folder = Files.createTempDirectory("weldpoint-soak");
    for (int index = 0; index < size.cores(); index++) {
      final String address = coreHost(index);
      final String boundHost = "127.9.11." + (1 + index);
      final String coreSettings =
          "station.folder = "
              + folder.resolve("disk-" + index)
              + "\nstation.bind = "
              + boundHost
              + "\n";
      coreRelays.add(coreRelay(address, boundHost, REGISTRY_PORT_OFFSET));
      coreRelays.add(coreRelay(address, boundHost, STORE_PORT_OFFSET));
      stores.add(newProcess("frame", address, index, coreSettings));
      registries.add(
          newProcess(
              "exchange",
              address,
              index,
              coreSettings
                  + "listen.control = "
                  + address
                  + ":"
                  + (basePort + CONTROL_PORT_OFFSET)
                  + "\n"));
    }
    for (int index = 0; index < size.proxies(); index++) {
      proxies.add(
          newProcess(
              "switchboard",
              proxyHost(index),
              index,
              "listen.traffic = "
                  + proxyAddress(index)
                  + "\nlisten.readiness = "
                  + readinessAddress(index)
                  + "\n"));
    }
    for (int index = 0; index < size.upstreams(); index++) {
      final String host = "127.9.4." + (1 + index);
      upstreams.add(
          new RecordingUpstream("i-" + index, host, basePort, records, seed * 31 + index));
      upstreamRelays.add(
          new TcpRelay("127.9.3." + (1 + index), basePort, new InetSocketAddress(host, basePort)));
    }
    startKeyHolders(seed);
  }

  /**
   * Starts a relay that carries all traffic from daemons to a port for inner messages of a core
   * machine. Bytes that it held back while blocked are lost.
   */
  private TcpRelay coreRelay(final String advertisedHost, final String boundHost, final int offset)
      throws IOException {
    final TcpRelay relay =
        new TcpRelay(
            advertisedHost, basePort + offset, new InetSocketAddress(boundHost, basePort + offset));
    relay.closeAfterBlock(true);
    return relay;
  }

  /**
   * Returns the relays in front of the core machines' ports for inner messages: two for each
   * machine (registry, state store), in the order of the machines.
   */
  List<TcpRelay> coreRelays() {
    return coreRelays;
  }

  private void startKeyHolders(final long seed) throws IOException {
    for (int index = 0; index < size.keyHolders(); index++) {
      final String host = "127.9.6." + (1 + index);
      final GrantedKeys keys =
          new GrantedKeys("k-" + index, index % 2 == 0 ? SLOW_CLOCK_FACTOR : 1, holderChecker);
      keyHolders.add(
          new RecordingUpstream("k-" + index, host, basePort, records, seed * 37 + index, keys));
      final TcpRelay relay =
          new TcpRelay("127.9.5." + (1 + index), basePort, new InetSocketAddress(host, basePort));
      relay.closeAfterBlock(true);
      keyHolderRelays.add(relay);
    }
  }

  /** Returns the stand-in upstreams of the partitioned service. */
  List<RecordingUpstream> keyHolders() {
    return keyHolders;
  }

  /** Returns the relays in front of the upstreams of the partitioned service, in their order. */
  List<TcpRelay> keyHolderRelays() {
    return keyHolderRelays;
  }

  /** Returns the cases found in which two upstreams held the lease on one key, with evidence. */
  List<String> holderConflicts() {
    return holderChecker.violations();
  }

  /** Makes an upstream of the partitioned service report the state "draining" from now on. */
  void drainKeyHolder(final int keyHolder) {
    draining.add(keyHolder);
    sendKeyHolderHeartbeat(keyHolder);
  }

  /**
   * Simulates a restart of an upstream of the partitioned service: its leases are lost, and a new
   * incarnation with another instance id appears at its address.
   */
  void restartKeyHolder(final int keyHolder) {
    final int incarnation = incarnations.merge(keyHolder, 1, Integer::sum);
    keyHolders.get(keyHolder).restartAs(keyHolderId(keyHolder, incarnation));
    draining.remove(keyHolder);
    sendKeyHolderHeartbeat(keyHolder);
  }

  private static String keyHolderId(final int keyHolder, final int incarnation) {
    return "k-" + keyHolder + (incarnation == 0 ? "" : "-" + incarnation);
  }

  /**
   * Sends the workload's configuration under the next version, without waiting for the response.
   *
   * @param idleTimeoutMillis idle timeout of client connections
   */
  void sendNextConfiguration(final int idleTimeoutMillis, final HomeRegions homeRegions) {
    final int version = lastVersion.incrementAndGet();
    final long sentAt = Clock.millis();
    homeRegionChanges.add(new HomeRegions.Change(version, homeRegions, sentAt, Long.MAX_VALUE));
    scheduler.execute(
        () -> {
          final String body = Workload.configuration(version, idleTimeoutMillis, homeRegions);
          if (version % DAMAGED_CONFIGURATION_INTERVAL == 0) {
            sendDamagedConfiguration(version, body);
          }
          if (callRegistry(version, "configuration.replace", body).status() == 200) {
            homeRegionChanges.add(
                new HomeRegions.Change(version, homeRegions, sentAt, Clock.millis()));
          }
        });
  }

  /** Sends bytes that are no JSON but begin with a configuration; they must be refused. */
  private void sendDamagedConfiguration(final int version, final String body) {
    final String damaged = body + ",\"listeners\":[]}";
    if (callRegistry(version, "configuration.replace", damaged).status() == 200) {
      acknowledgedDamage.add("damaged configuration acknowledged: version " + version);
    }
  }

  /** Returns the damaged configurations that were acknowledged. */
  List<String> acknowledgedDamage() {
    return new ArrayList<>(acknowledgedDamage);
  }

  /**
   * Returns the configurations that were sent. One that was acknowledged is listed twice: as sent,
   * and with the time of its acknowledgement.
   */
  List<HomeRegions.Change> homeRegionChanges() {
    return new ArrayList<>(homeRegionChanges);
  }

  /** Returns the region of a stand-in upstream of the service that is not partitioned. */
  static String regionOf(final String instance) {
    return HomeRegions.regionOfZone(
        Integer.parseInt(instance.substring(instance.indexOf('-') + 1)) % ZONES);
  }

  /**
   * Sends the delayed first heartbeat of an instance that has ended, from the address of a randomly
   * chosen upstream.
   */
  void sendLateFirstHeartbeat(final Random random) {
    final String id = "late-" + heartbeatCount.incrementAndGet();
    final int registry = random.nextInt(size.cores());
    final int index = random.nextInt(size.upstreams() + size.keyHolders());
    if (index < size.upstreams()) {
      scheduler.execute(
          () -> sendHeartbeat(registry, id, SERVICE, "127.9.3." + (1 + index), index, "ready", 1));
    } else {
      final int keyHolder = index - size.upstreams();
      scheduler.execute(
          () ->
              sendHeartbeat(
                  registry,
                  id,
                  PARTITIONED_SERVICE,
                  "127.9.5." + (1 + keyHolder),
                  keyHolder,
                  "ready",
                  1));
    }
  }

  private int sendKeyHolderHeartbeat(final int index) {
    final long sequence = heartbeatCount.incrementAndGet();
    return sendHeartbeat(
        (int) (sequence % size.cores()),
        keyHolderId(index, incarnations.getOrDefault(index, 0)),
        PARTITIONED_SERVICE,
        "127.9.5." + (1 + index),
        index,
        draining.contains(index) ? "draining" : "ready",
        sequence);
  }

  private static Thread daemonThread(final Runnable task) {
    final Thread thread = new Thread(task, "fleet");
    thread.setDaemon(true);
    return thread;
  }

  private static String coreHost(final int index) {
    return "127.9.1." + (1 + index);
  }

  private static String proxyHost(final int index) {
    return "127.9.2." + (1 + index);
  }

  /** Returns the address at which a proxy accepts client requests. */
  String proxyAddress(final int index) {
    return proxyHost(index) + ":" + (basePort + TRAFFIC_PORT_OFFSET);
  }

  private String readinessAddress(final int index) {
    return proxyHost(index) + ":" + (basePort + READINESS_PORT_OFFSET);
  }

  /** Returns the address at which a registry accepts control calls. */
  String controlAddress(final int index) {
    return coreHost(index % size.cores()) + ":" + (basePort + CONTROL_PORT_OFFSET);
  }

  private DaemonProcess newProcess(
      final String program, final String address, final int index, final String extraSettings) {
    final StringBuilder seeds = new StringBuilder();
    for (int core = 0; core < Math.min(3, size.cores()); core++) {
      seeds.append(core == 0 ? "" : ",").append(controlAddress(core));
    }
    final String settings =
        "station.name = "
            + address
            + "\nstation.address = "
            + address
            + "\nstation.site = zone-"
            + index % ZONES
            + "\nstation.region = "
            + HomeRegions.regionOfZone(index % ZONES)
            + "\nstation.voter = true\nstation.first-start = true\n"
            + "trunk.ports = "
            + (basePort + 1)
            + ","
            + (basePort + 10)
            + "\ntrunk.seeds = "
            + seeds
            + "\nsites = zone-0:home,zone-1:home,zone-2:away\nbeat.every-ms = "
            + HEARTBEAT_INTERVAL_MILLIS
            + "\nbound.quota-window-s = 5\nbound.quota-overshoot = 0.1\n"
            + "bound.quota-tolerance = 20\nstation.link-mbps = 20\nmetrics.port = "
            + (basePort + METRICS_PORT_OFFSET)
            + "\n"
            + extraSettings;
    try {
      final Path file = folder.resolve(program + "-" + index);
      Files.writeString(file, settings);
      return new DaemonProcess(program, address, file);
    } catch (final IOException e) {
      throw new UncheckedIOException("cannot write the settings file of a daemon", e);
    }
  }

  /** Kills all daemons; also run by the shutdown hook, so that an interrupted soak leaves none. */
  private void killAll() {
    daemons().forEach(DaemonProcess::shutdownNow);
  }

  /**
   * Starts all daemons, sends them a configuration and waits until all upstreams' heartbeats are
   * acknowledged and all proxies are ready.
   */
  void start(final String configuration) throws InterruptedException {
    Runtime.getRuntime().addShutdownHook(new Thread(this::killAll, "kill-fleet"));
    stores.forEach(DaemonProcess::start);
    registries.forEach(DaemonProcess::start);
    proxies.forEach(DaemonProcess::start);
    final long deadline = Clock.millis() + START_TIMEOUT_MILLIS;
    replaceConfiguration(configuration, deadline);
    for (int index = 0; index < size.upstreams(); index++) {
      while (sendHeartbeat(index) != 200) {
        pauseUntil(deadline, "no heartbeat of upstream " + index + " was acknowledged");
      }
    }
    for (int index = 0; index < size.keyHolders(); index++) {
      while (sendKeyHolderHeartbeat(index) != 200) {
        pauseUntil(deadline, "no heartbeat of key holder " + index + " was acknowledged");
      }
    }
    scheduler.scheduleAtFixedRate(
        this::sendHeartbeats,
        HEARTBEAT_INTERVAL_MILLIS,
        HEARTBEAT_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
    awaitReady(deadline);
    Thread.sleep(HEARTBEAT_INTERVAL_MILLIS);
  }

  /** Waits until all proxies are ready. */
  void awaitReady() throws InterruptedException {
    awaitReady(Clock.millis() + START_TIMEOUT_MILLIS);
  }

  private void awaitReady(final long deadline) throws InterruptedException {
    for (int index = 0; index < size.proxies(); index++) {
      while (!isReady(index)) {
        pauseUntil(deadline, "proxy " + index + " is not ready");
      }
    }
  }

  private void pauseUntil(final long deadline, final String problem) throws InterruptedException {
    if (Clock.millis() > deadline) {
      throw new IllegalStateException(problem + " after " + START_TIMEOUT_MILLIS + " ms");
    }
    Thread.sleep(POLL_INTERVAL_MILLIS);
  }

  /** Sends a configuration to one registry after the other until one acknowledges it. */
  void replaceConfiguration(final String configuration, final long deadline)
      throws InterruptedException {
    for (int attempt = 0; ; attempt++) {
      if (callRegistry(attempt, "configuration.replace", configuration).status() == 200) {
        return;
      }
      pauseUntil(deadline, "the configuration was not acknowledged");
    }
  }

  /** Returns a registry's metrics as Prometheus text; empty if it does not respond. */
  String registryMetrics(final int registry) {
    return fetchMetrics(coreHost(registry) + ":" + (basePort + METRICS_PORT_OFFSET + 1));
  }

  /** Returns a proxy's metrics as Prometheus text; empty if it does not respond. */
  String proxyMetrics(final int proxy) {
    return fetchMetrics(proxyHost(proxy) + ":" + (basePort + METRICS_PORT_OFFSET));
  }

  private static String fetchMetrics(final String address) {
    return HttpCaller.call(
            address, "GET", "/metrics", Map.of("Host", address), "", CALL_TIMEOUT_MILLIS)
        .body();
  }

  /** Sends one control call to a registry. */
  ClientReply callRegistry(final int registry, final String call, final String body) {
    return HttpCaller.call(
        controlAddress(registry),
        "POST",
        "/api/rpc?call=" + call,
        Map.of("Host", controlAddress(registry)),
        body,
        CALL_TIMEOUT_MILLIS);
  }

  private void sendHeartbeats() {
    for (int index = 0; index < size.upstreams(); index++) {
      sendHeartbeat(index);
    }
    for (int index = 0; index < size.keyHolders(); index++) {
      sendKeyHolderHeartbeat(index);
    }
  }

  private int sendHeartbeat(final int index) {
    final long sequence = heartbeatCount.incrementAndGet();
    return sendHeartbeat(
        (int) (sequence % size.cores()),
        "i-" + index,
        SERVICE,
        "127.9.3." + (1 + index),
        index,
        "ready",
        sequence);
  }

  private int sendHeartbeat(
      final int registry,
      final String instance,
      final String service,
      final String host,
      final int index,
      final String state,
      final long sequence) {
    return callRegistry(
            registry,
            "instances.heartbeat&of=" + instance,
            "{\"service\":\""
                + service
                + "\",\"address\":\""
                + host
                + ":"
                + basePort
                + "\",\"zone\":\"zone-"
                + index % ZONES
                + "\",\"version\":\"v1\",\"capacity\":64,\"state\":\""
                + state
                + "\",\"warmupLeftMs\":0,\"callSeq\":"
                + sequence
                + "}")
        .status();
  }

  private boolean isReady(final int index) {
    return HttpCaller.call(
                readinessAddress(index),
                "GET",
                "/api/readiness",
                Map.of("Host", readinessAddress(index)),
                "",
                CALL_TIMEOUT_MILLIS)
            .status()
        == 200;
  }

  /** Returns an attempt id that is unique among the requests to this fleet. */
  String attemptId() {
    return String.format("%016x", attemptCount.incrementAndGet());
  }

  /** Sends a request to a proxy; the idempotency key and the API key may be empty. */
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
      headers.put("Weldpoint-Operation-Key", key);
    }
    if (!apiKey.isEmpty()) {
      headers.put("Authorization", "Bearer " + apiKey);
    }
    return HttpCaller.call(
        proxyAddress(proxy),
        "POST",
        path,
        headers,
        "a booking",
        deadlineMillis + CALL_TIMEOUT_MILLIS);
  }

  /** Reads a key of the partitioned service through a proxy. */
  ClientReply partitionedRead(final int proxy, final String attemptId, final String shardKey) {
    return partitionedCall(proxy, "GET", PARTITIONED_READ_PATH, attemptId, shardKey);
  }

  /** Writes a key of the partitioned service through a proxy; the write runs at most once. */
  ClientReply partitionedWrite(final int proxy, final String attemptId, final String shardKey) {
    return partitionedCall(proxy, "POST", PARTITIONED_WRITE_PATH, attemptId, shardKey);
  }

  private ClientReply partitionedCall(
      final int proxy,
      final String method,
      final String path,
      final String attemptId,
      final String shardKey) {
    final Map<String, String> headers = new java.util.LinkedHashMap<>();
    headers.put("Host", HOST);
    headers.put("Weldpoint-Attempt-Id", attemptId);
    headers.put("Weldpoint-Deadline-Ms", Integer.toString(CALL_TIMEOUT_MILLIS));
    headers.put("Authorization", "Bearer key-f");
    if (!shardKey.isEmpty()) {
      headers.put("Weldpoint-Shard-Key", shardKey);
    }
    return HttpCaller.call(
        proxyAddress(proxy), method, path + "1", headers, "", 2 * CALL_TIMEOUT_MILLIS);
  }

  /** Returns all executions of requests that the upstreams have recorded so far. */
  List<UpstreamRun> runs() {
    return new ArrayList<>(records.runs());
  }

  /** Returns when an upstream had written the complete response to a request, by attempt id. */
  Map<String, Long> responseTimes() {
    return records.responseTimes();
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

  List<TcpRelay> upstreamRelays() {
    return upstreamRelays;
  }

  /** Returns all daemons: state stores, registries and proxies. */
  List<DaemonProcess> daemons() {
    final List<DaemonProcess> daemons = new ArrayList<>(stores);
    daemons.addAll(registries);
    daemons.addAll(proxies);
    return daemons;
  }

  Size size() {
    return size;
  }

  @Override
  public void close() {
    scheduler.shutdownNow();
    killAll();
    upstreams.forEach(RecordingUpstream::close);
    keyHolders.forEach(RecordingUpstream::close);
    upstreamRelays.addAll(keyHolderRelays);
    upstreamRelays.addAll(coreRelays);
    for (final TcpRelay relay : upstreamRelays) {
      try {
        relay.close();
      } catch (final IOException e) {
        // the listening socket is gone in any case
      }
    }
    deleteRecursively(folder);
  }

  private static void deleteRecursively(final Path folder) {
    try (java.util.stream.Stream<Path> files = Files.walk(folder)) {
      for (final Path file : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    } catch (final IOException e) {
      // a temporary folder that cannot be removed is left to the operating system
    }
  }
}
