package weldpoint.scale;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import weldpoint.common.Settings;
import weldpoint.common.WeldpointException;

/**
 * Measures one fleet size: runs state store replicas, registries and some proxies as processes on
 * loopback addresses, simulates the other proxies and the heartbeats of upstreams in this process,
 * and stops all of it on close.
 */
final class ScaleRun implements AutoCloseable {
  private static final int COUNTER_LOG_INTERVAL_MILLIS = 1000;
  private static final long STARTUP_TIMEOUT_SECONDS = 60;
  private static final double MAX_RELATIVE_DIFFERENCE = 0.25;
  private static final int HEARTBEAT_INTERVAL_MILLIS = 1500;

  private final FleetSize fleet;
  private final int basePort;
  private final Path folder;
  private final List<MeasuredProcess> children = new ArrayList<>();
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .build();
  private final ScheduledExecutorService heartbeatScheduler =
      Executors.newScheduledThreadPool(
          1,
          task -> {
            final Thread thread = new Thread(task, "scale");
            thread.setDaemon(true);
            return thread;
          });
  private final AtomicLong heartbeatsAcknowledged = new AtomicLong();
  private final AtomicLong heartbeatsFailed = new AtomicLong();
  private SimulatedProxies simulatedProxies;
  private long version;
  private int nextUpstream;

  ScaleRun(final FleetSize fleet, final int basePort) throws IOException {
    this.fleet = fleet.validated();
    this.basePort = basePort;
    this.folder = Files.createTempDirectory("weldpoint-scale");
  }

  private static String coreAddress(final int index) {
    return "127.8.0." + (1 + index);
  }

  private static String zone(final int index) {
    return "zone-" + index % 4;
  }

  private String settings(final String address, final String zone, final String extra) {
    final StringBuilder seeds = new StringBuilder();
    for (int index = 0; index < Math.min(3, fleet.cores()); index++) {
      seeds.append(index == 0 ? "" : ",").append(coreAddress(index)).append(":").append(basePort);
    }
    return "station.name = "
        + address
        + "\nstation.address = "
        + address
        + "\nstation.site = "
        + zone
        + "\nstation.region = "
        + region(zone)
        + "\nstation.voter = true\nstation.first-start = true\ntrunk.ports = "
        + (basePort + 1)
        + ","
        + (basePort + 10)
        + "\ntrunk.seeds = "
        + seeds
        + "\nsites = zone-0:north,zone-1:north,zone-2:south,zone-3:south\nbeat.every-ms = "
        + HEARTBEAT_INTERVAL_MILLIS
        + "\nlog.counters-ms = "
        + COUNTER_LOG_INTERVAL_MILLIS
        + "\n"
        + extra;
  }

  private static String region(final String zone) {
    return zone.equals("zone-0") || zone.equals("zone-1") ? "north" : "south";
  }

  private void start(
      final String program,
      final String address,
      final String zone,
      final String extra,
      final int heapMegabytes)
      throws IOException {
    final Path file = folder.resolve(program + "-" + address);
    Files.writeString(file, settings(address, zone, extra));
    children.add(new MeasuredProcess(program, file, heapMegabytes));
  }

  private String controlUrl(final int index) {
    return "http://" + coreAddress(index % fleet.cores()) + ":" + basePort + "/api/rpc?call=";
  }

  private int post(final String url, final String body) throws InterruptedException {
    try {
      return client
          .send(
              HttpRequest.newBuilder(URI.create(url))
                  .timeout(Duration.ofSeconds(3))
                  .POST(HttpRequest.BodyPublishers.ofString(body))
                  .build(),
              HttpResponse.BodyHandlers.discarding())
          .statusCode();
    } catch (final IOException exception) {
      return 0;
    }
  }

  private String configuration() {
    final StringBuilder rules = new StringBuilder();
    for (int index = 0; index < fleet.routes(); index++) {
      rules
          .append(index == 0 ? "" : ",")
          .append("{\"name\":\"route-")
          .append(index)
          .append("\",\"routeKind\":\"")
          .append(index % 3 == 0 ? "mutating" : "idempotent")
          .append("\",\"targetLatencyMs\":300,\"priority\":1,\"match\":{\"pathPrefix\":\"/p")
          .append(index)
          .append("/\"},\"action\":{\"service\":\"service-")
          .append(index % fleet.services())
          .append("\",\"timeoutMs\":")
          .append(2000 + version % 1000)
          .append(",\"maxAttempts\":2")
          .append(fleet.affinity() && index % 3 == 0 ? ",\"affinity\":{\"by\":\"address\"}" : "")
          .append("}}");
    }
    final StringBuilder pools = new StringBuilder();
    for (int index = 0; index < fleet.services(); index++) {
      pools
          .append(index == 0 ? "" : ",")
          .append("{\"name\":\"service-")
          .append(index)
          .append(
              "\",\"healthPath\":\"/health\",\"maxConns\":100,\"warmupS\":3.0,\"warmupPerS\":12.0}");
    }
    final StringBuilder tenants = new StringBuilder();
    for (int index = 0; index < fleet.tenants(); index++) {
      tenants
          .append(index == 0 ? "" : ",")
          .append("{\"name\":\"tenant-")
          .append(index)
          .append("\",\"apiKeys\":[\"key-")
          .append(Long.toHexString(index * 0x9e3779b97f4a7c15L))
          .append("\"],\"ratePerS\":10,\"burst\":20}");
    }
    return "{\"version\":\""
        + String.format("%08x", version)
        + "\",\"tenants\":["
        + tenants
        + "],\"listeners\":[{\"host\":\"scale.example\",\"rules\":["
        + rules
        + "]}],\"pools\":["
        + pools
        + "]}";
  }

  /** Sends a configuration with the next version; returns the milliseconds until acknowledged. */
  private long replaceConfiguration() throws InterruptedException {
    version++;
    final String body = configuration();
    final long startNanos = System.nanoTime();
    for (int attempt = 0; attempt < 200; attempt++) {
      if (post(controlUrl(attempt) + "configuration.replace", body) == 200) {
        return (System.nanoTime() - startNanos) / 1_000_000;
      }
      Thread.sleep(100);
    }
    throw new WeldpointException(
        WeldpointException.Kind.OUT_OF_REACH,
        "no configuration was acknowledged in "
            + STARTUP_TIMEOUT_SECONDS
            + " s; run it on a machine with less load");
  }

  /** Sends the heartbeat of the next upstream in turn, without waiting for the response. */
  private void sendHeartbeat() {
    final int index = nextUpstream++ % fleet.upstreams();
    final String body =
        "{\"service\":\"service-"
            + index % fleet.services()
            + "\",\"address\":\"10."
            + index / 60_000
            + "."
            + index / 250 % 240
            + "."
            + (1 + index % 250)
            + ":8080\",\"zone\":\""
            + zone(index)
            + "\",\"version\":\"v1\",\"capacity\":4,\"state\":\"ready\",\"warmupLeftMs\":0,\"callSeq\":"
            + (1 + nextUpstream / fleet.upstreams())
            + "}";
    client
        .sendAsync(
            HttpRequest.newBuilder(
                    URI.create(controlUrl(index) + "instances.heartbeat&of=i-" + index))
                .timeout(Duration.ofSeconds(2))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build(),
            HttpResponse.BodyHandlers.discarding())
        .whenComplete(
            (response, problem) ->
                (problem == null && response.statusCode() == 200
                        ? heartbeatsAcknowledged
                        : heartbeatsFailed)
                    .incrementAndGet());
  }

  /**
   * Starts everything, waits until it is complete and has run for the warm-up, and returns what an
   * average process of each program used in the measured seconds. Keys are the program and the
   * measure, such as "exchange cpu-ms/s". Keys that begin with "hollow" are the average of a
   * simulated proxy, "beats" are heartbeats of upstreams and "returns" are proxy restarts.
   */
  Map<String, Double> measure(final int warmup, final int seconds)
      throws IOException, InterruptedException {
    final List<Settings> zoneSettings = new ArrayList<>();
    for (int index = 0; index < fleet.cores(); index++) {
      final String address = coreAddress(index);
      final String folderSetting = "station.folder = " + folder.resolve("disk-" + address) + "\n";
      start("frame", address, zone(index), folderSetting, 64);
      start(
          "exchange",
          address,
          zone(index),
          folderSetting + "listen.control = " + address + ":" + basePort + "\n",
          96);
    }
    for (int index = 0; index < fleet.realProxies(); index++) {
      final String address = "127.7.0." + (1 + index);
      start(
          "switchboard",
          address,
          zone(index),
          "listen.traffic = "
              + address
              + ":"
              + basePort
              + "\nlisten.readiness = "
              + address
              + ":"
              + (basePort + 12)
              + "\n",
          128);
    }
    for (int index = 0; index < 4; index++) {
      zoneSettings.add(Settings.parse(settings("127.0.0.1", zone(index), "")));
    }
    replaceConfiguration();
    final long heartbeatSpacingNanos = (long) (HEARTBEAT_INTERVAL_MILLIS * 1e6 / fleet.upstreams());
    heartbeatScheduler.scheduleAtFixedRate(
        this::sendHeartbeat, 0, Math.max(20_000, heartbeatSpacingNanos), TimeUnit.NANOSECONDS);
    simulatedProxies = new SimulatedProxies(zoneSettings, fleet.proxies());
    final long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(STARTUP_TIMEOUT_SECONDS);
    while (simulatedProxies.admissions() < fleet.proxies()
        || heartbeatsAcknowledged.get() < fleet.upstreams()
        || !allSampled()) {
      if (System.nanoTime() > deadline) {
        throw new WeldpointException(
            WeldpointException.Kind.OUT_OF_REACH,
            "after "
                + STARTUP_TIMEOUT_SECONDS
                + " s "
                + simulatedProxies.admissions()
                + " of "
                + fleet.proxies()
                + " switchboards were admitted and "
                + heartbeatsAcknowledged.get()
                + " heartbeats were acknowledged; measure a smaller size or on a machine with less load");
      }
      Thread.sleep(100);
    }
    Thread.sleep(1000L * warmup);
    return measureWindow(seconds);
  }

  private boolean allSampled() {
    for (final MeasuredProcess child : children) {
      if (child.sample() == null) {
        return false;
      }
    }
    return true;
  }

  private Map<String, Double> measureWindow(final int seconds) throws InterruptedException {
    final List<MeasuredProcess.Sample> before = new ArrayList<>();
    children.forEach(child -> before.add(child.sample()));
    final long[] simulatedBefore = simulatedProxies.trafficTotals();
    final long heartbeatsBefore = heartbeatsAcknowledged.get();
    final long startNanos = System.nanoTime();
    long acknowledgedMillis = 0;
    long changes = 0;
    long propagationMillis = 0;
    long restarts = 0;
    while (System.nanoTime() - startNanos < TimeUnit.SECONDS.toNanos(seconds)) {
      final double elapsed = (System.nanoTime() - startNanos) / 1e9;
      if (changes < elapsed * fleet.changesPerSecond()) {
        changes++;
        acknowledgedMillis += replaceConfiguration();
        final long acknowledgedAt = System.nanoTime();
        while (simulatedProxies.versionReceipts(version) < fleet.proxies()
            && System.nanoTime() - acknowledgedAt < 5_000_000_000L) {
          Thread.sleep(2);
        }
        propagationMillis += (System.nanoTime() - acknowledgedAt) / 1_000_000;
      } else if (restarts < elapsed * fleet.restartsPerSecond()) {
        restarts++;
        simulatedProxies.restartOne();
      } else {
        Thread.sleep(5);
      }
    }
    Thread.sleep(COUNTER_LOG_INTERVAL_MILLIS + 200);
    final long[] simulatedAfter = simulatedProxies.trafficTotals();
    final double elapsedSeconds = (System.nanoTime() - startNanos) / 1e9;
    final Map<String, double[]> sums = new LinkedHashMap<>();
    final Map<String, Integer> counts = new LinkedHashMap<>();
    for (int index = 0; index < children.size(); index++) {
      final MeasuredProcess child = children.get(index);
      final MeasuredProcess.Sample earlier = before.get(index);
      final MeasuredProcess.Sample later = child.sample();
      final double spanSeconds = (later.atNanos() - earlier.atNanos()) / 1e9;
      final double[] values = {
        (later.cpuMillis() - earlier.cpuMillis()) / spanSeconds,
        later.memoryKilobytes() / 1024.0,
        (later.messagesIn() - earlier.messagesIn()) / spanSeconds,
        (later.bytesIn() - earlier.bytesIn()) / spanSeconds,
        (later.messagesOut() - earlier.messagesOut()) / spanSeconds,
        (later.bytesOut() - earlier.bytesOut()) / spanSeconds
      };
      final double[] sum =
          sums.computeIfAbsent(child.program, program -> new double[values.length]);
      for (int column = 0; column < values.length; column++) {
        sum[column] += values[column];
      }
      counts.merge(child.program, 1, Integer::sum);
    }
    final Map<String, Double> result = new LinkedHashMap<>();
    final String[] names = {
      "cpu-ms/s", "memory-mb", "messages-in/s", "bytes-in/s", "messages-out/s", "bytes-out/s"
    };
    sums.forEach(
        (program, sum) -> {
          for (int column = 0; column < names.length; column++) {
            result.put(program + " " + names[column], sum[column] / counts.get(program));
          }
        });
    result.put("beats/s", (heartbeatsAcknowledged.get() - heartbeatsBefore) / elapsedSeconds);
    result.put("beats failed", (double) heartbeatsFailed.get());
    result.put("changes/s", changes / elapsedSeconds);
    result.put("returns/s", restarts / elapsedSeconds);
    if (changes > 0) {
      result.put("acknowledged-ms", acknowledgedMillis / (double) changes);
      result.put("everywhere-ms", propagationMillis / (double) changes);
    }
    if (fleet.proxies() > 0) {
      result.put(
          "hollow messages-in/s",
          (simulatedAfter[0] - simulatedBefore[0]) / elapsedSeconds / fleet.proxies());
      result.put(
          "hollow bytes-in/s",
          (simulatedAfter[1] - simulatedBefore[1]) / elapsedSeconds / fleet.proxies());
      if (fleet.restartsPerSecond() == 0) {
        requireSimilar("messages-in/s", result);
        requireSimilar("bytes-in/s", result);
      }
    }
    return result;
  }

  /**
   * Fails if a simulated proxy receives over 25% more or less than a real one: the simulation would
   * not be representative.
   */
  private static void requireSimilar(final String measure, final Map<String, Double> result) {
    final double simulated = result.get("hollow " + measure);
    final double real = result.get("switchboard " + measure);
    if (Math.abs(simulated - real) > MAX_RELATIVE_DIFFERENCE * real) {
      throw new WeldpointException(
          WeldpointException.Kind.INVALID,
          String.format(
              java.util.Locale.ROOT,
              "a simulated switchboard has %.1f %s and a real one %.1f; they differ too much to use the run",
              simulated,
              measure,
              real));
    }
  }

  @Override
  public void close() {
    heartbeatScheduler.shutdownNow();
    if (simulatedProxies != null) {
      simulatedProxies.shutdown();
    }
    children.forEach(MeasuredProcess::terminate);
    try {
      for (int wait = 0;
          wait < 60 && children.stream().anyMatch(MeasuredProcess::isAlive);
          wait++) {
        Thread.sleep(50);
      }
    } catch (final InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
    children.forEach(MeasuredProcess::kill);
    try (java.util.stream.Stream<Path> files = Files.walk(folder)) {
      files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (final IOException exception) {
      folder.toFile().deleteOnExit();
    }
  }
}
