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
 * One size: real frames, exchanges and switchboards as processes on loopback addresses, with hollow
 * ones, for a bounded time.
 */
final class ScaleRun implements AutoCloseable {
  private static final int COUNTERS_MILLIS = 1000;
  private static final long START_SECONDS = 60;
  private static final double MOST_APART = 0.25;
  private static final int BEAT_MILLIS = 1500;

  private final FleetSize sizes;
  private final int ports;
  private final Path folder;
  private final List<MeasuredProcess> children = new ArrayList<>();
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .build();
  private final ScheduledExecutorService clock =
      Executors.newScheduledThreadPool(
          1,
          task -> {
            final Thread thread = new Thread(task, "scale");
            thread.setDaemon(true);
            return thread;
          });
  private final AtomicLong beats = new AtomicLong();
  private final AtomicLong beatsFailed = new AtomicLong();
  private SimulatedProxies hollows;
  private long version;
  private int nextUpstream;

  ScaleRun(final FleetSize sizes, final int ports) throws IOException {
    this.sizes = sizes.checked();
    this.ports = ports;
    this.folder = Files.createTempDirectory("weldpoint-scale");
  }

  private static String core(final int index) {
    return "127.8.0." + (1 + index);
  }

  private static String place(final int index) {
    return "zone-" + index % 4;
  }

  private String settings(final String address, final String place, final String extra) {
    final StringBuilder seeds = new StringBuilder();
    for (int index = 0; index < Math.min(3, sizes.cores()); index++) {
      seeds.append(index == 0 ? "" : ",").append(core(index)).append(":").append(ports);
    }
    return "station.name = "
        + address
        + "\nstation.address = "
        + address
        + "\nstation.site = "
        + place
        + "\nstation.region = "
        + region(place)
        + "\nstation.voter = true\nstation.first-start = true\ntrunk.ports = "
        + (ports + 1)
        + ","
        + (ports + 10)
        + "\ntrunk.seeds = "
        + seeds
        + "\nsites = zone-0:north,zone-1:north,zone-2:south,zone-3:south\nbeat.every-ms = "
        + BEAT_MILLIS
        + "\nlog.counters-ms = "
        + COUNTERS_MILLIS
        + "\n"
        + extra;
  }

  private static String region(final String place) {
    return place.equals("zone-0") || place.equals("zone-1") ? "north" : "south";
  }

  private void start(
      final String program,
      final String address,
      final String place,
      final String extra,
      final int heap)
      throws IOException {
    final Path file = folder.resolve(program + "-" + address);
    Files.writeString(file, settings(address, place, extra));
    children.add(new MeasuredProcess(program, file, heap));
  }

  private String control(final int index) {
    return "http://" + core(index % sizes.cores()) + ":" + ports + "/api/rpc?call=";
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
    } catch (final IOException problem) {
      return 0;
    }
  }

  private String spec() {
    final StringBuilder rules = new StringBuilder();
    for (int index = 0; index < sizes.routes(); index++) {
      rules
          .append(index == 0 ? "" : ",")
          .append("{\"name\":\"route-")
          .append(index)
          .append("\",\"routeKind\":\"")
          .append(index % 3 == 0 ? "mutating" : "idempotent")
          .append("\",\"targetLatencyMs\":300,\"priority\":1,\"match\":{\"pathPrefix\":\"/p")
          .append(index)
          .append("/\"},\"action\":{\"service\":\"service-")
          .append(index % sizes.services())
          .append("\",\"timeoutMs\":")
          .append(2000 + version % 1000)
          .append(",\"maxAttempts\":2")
          .append(sizes.tied() && index % 3 == 0 ? ",\"affinity\":{\"by\":\"address\"}" : "")
          .append("}}");
    }
    final StringBuilder pools = new StringBuilder();
    for (int index = 0; index < sizes.services(); index++) {
      pools
          .append(index == 0 ? "" : ",")
          .append("{\"name\":\"service-")
          .append(index)
          .append(
              "\",\"healthPath\":\"/health\",\"maxConns\":100,\"warmupS\":3.0,\"warmupPerS\":12.0}");
    }
    final StringBuilder tenants = new StringBuilder();
    for (int index = 0; index < sizes.tenants(); index++) {
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

  private long change() throws InterruptedException {
    version++;
    final String body = spec();
    final long began = System.nanoTime();
    for (int tries = 0; tries < 200; tries++) {
      if (post(control(tries) + "configuration.replace", body) == 200) {
        return (System.nanoTime() - began) / 1_000_000;
      }
      Thread.sleep(100);
    }
    throw new WeldpointException(
        WeldpointException.Kind.OUT_OF_REACH,
        "no configuration was acknowledged in "
            + START_SECONDS
            + " s; run it on a machine with less load");
  }

  private void beat() {
    final int index = nextUpstream++ % sizes.upstreams();
    final String body =
        "{\"service\":\"service-"
            + index % sizes.services()
            + "\",\"address\":\"10."
            + index / 60_000
            + "."
            + index / 250 % 240
            + "."
            + (1 + index % 250)
            + ":8080\",\"zone\":\""
            + place(index)
            + "\",\"version\":\"v1\",\"capacity\":4,\"state\":\"ready\",\"warmupLeftMs\":0,\"callSeq\":"
            + (1 + nextUpstream / sizes.upstreams())
            + "}";
    client
        .sendAsync(
            HttpRequest.newBuilder(URI.create(control(index) + "instances.heartbeat&of=i-" + index))
                .timeout(Duration.ofSeconds(2))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build(),
            HttpResponse.BodyHandlers.discarding())
        .whenComplete(
            (answer, problem) ->
                (problem == null && answer.statusCode() == 200 ? beats : beatsFailed)
                    .incrementAndGet());
  }

  /**
   * Starts everything, lets it run so many seconds, and gives what each role used in that time, by
   * "role measure".
   */
  Map<String, Double> measure(final int warmup, final int seconds)
      throws IOException, InterruptedException {
    final List<Settings> places = new ArrayList<>();
    for (int index = 0; index < sizes.cores(); index++) {
      final String address = core(index);
      final String disk = "station.folder = " + folder.resolve("disk-" + address) + "\n";
      start("frame", address, place(index), disk, 64);
      start(
          "exchange",
          address,
          place(index),
          disk + "listen.control = " + address + ":" + ports + "\n",
          96);
    }
    for (int index = 0; index < sizes.realBoards(); index++) {
      final String address = "127.7.0." + (1 + index);
      start(
          "switchboard",
          address,
          place(index),
          "listen.traffic = "
              + address
              + ":"
              + ports
              + "\nlisten.readiness = "
              + address
              + ":"
              + (ports + 12)
              + "\n",
          128);
    }
    for (int index = 0; index < 4; index++) {
      places.add(Settings.parse(settings("127.0.0.1", place(index), "")));
    }
    change();
    final long everyNanos = (long) (BEAT_MILLIS * 1e6 / sizes.upstreams());
    clock.scheduleAtFixedRate(this::beat, 0, Math.max(20_000, everyNanos), TimeUnit.NANOSECONDS);
    hollows = new SimulatedProxies(places, sizes.boards());
    final long cutoff = System.nanoTime() + TimeUnit.SECONDS.toNanos(START_SECONDS);
    while (hollows.admitted() < sizes.boards() || beats.get() < sizes.upstreams() || !counted()) {
      if (System.nanoTime() > cutoff) {
        throw new WeldpointException(
            WeldpointException.Kind.OUT_OF_REACH,
            "after "
                + START_SECONDS
                + " s "
                + hollows.admitted()
                + " of "
                + sizes.boards()
                + " switchboards had a view and "
                + beats.get()
                + " beats were acknowledged; measure a smaller size or on a machine with less load");
      }
      Thread.sleep(100);
    }
    Thread.sleep(1000L * warmup);
    return window(seconds);
  }

  private boolean counted() {
    for (final MeasuredProcess child : children) {
      if (child.sample() == null) {
        return false;
      }
    }
    return true;
  }

  private Map<String, Double> window(final int seconds) throws InterruptedException {
    final List<MeasuredProcess.Sample> before = new ArrayList<>();
    children.forEach(child -> before.add(child.sample()));
    final long[] hollowBefore = hollows.in();
    final long beatsBefore = beats.get();
    final long began = System.nanoTime();
    long acknowledged = 0;
    long changes = 0;
    long spread = 0;
    long returns = 0;
    while (System.nanoTime() - began < TimeUnit.SECONDS.toNanos(seconds)) {
      final double passed = (System.nanoTime() - began) / 1e9;
      if (changes < passed * sizes.changesPerSecond()) {
        changes++;
        acknowledged += change();
        final long sent = System.nanoTime();
        while (hollows.have(version) < sizes.boards()
            && System.nanoTime() - sent < 5_000_000_000L) {
          Thread.sleep(2);
        }
        spread += (System.nanoTime() - sent) / 1_000_000;
      } else if (returns < passed * sizes.returnsPerSecond()) {
        returns++;
        hollows.restartOne();
      } else {
        Thread.sleep(5);
      }
    }
    Thread.sleep(COUNTERS_MILLIS + 200);
    final long[] hollowAfter = hollows.in();
    final double hollowSeconds = (System.nanoTime() - began) / 1e9;
    final Map<String, double[]> sums = new LinkedHashMap<>();
    final Map<String, Integer> counts = new LinkedHashMap<>();
    for (int index = 0; index < children.size(); index++) {
      final MeasuredProcess child = children.get(index);
      final MeasuredProcess.Sample one = before.get(index);
      final MeasuredProcess.Sample two = child.sample();
      final double span = (two.atNanos() - one.atNanos()) / 1e9;
      final double[] values = {
        (two.cpuMillis() - one.cpuMillis()) / span,
        two.memoryKilobytes() / 1024.0,
        (two.messagesIn() - one.messagesIn()) / span,
        (two.bytesIn() - one.bytesIn()) / span,
        (two.messagesOut() - one.messagesOut()) / span,
        (two.bytesOut() - one.bytesOut()) / span
      };
      final double[] sum =
          sums.computeIfAbsent(child.program, program -> new double[values.length]);
      for (int place = 0; place < values.length; place++) {
        sum[place] += values[place];
      }
      counts.merge(child.program, 1, Integer::sum);
    }
    final Map<String, Double> result = new LinkedHashMap<>();
    final String[] names = {
      "cpu-ms/s", "memory-mb", "messages-in/s", "bytes-in/s", "messages-out/s", "bytes-out/s"
    };
    sums.forEach(
        (program, sum) -> {
          for (int place = 0; place < names.length; place++) {
            result.put(program + " " + names[place], sum[place] / counts.get(program));
          }
        });
    result.put("beats/s", (beats.get() - beatsBefore) / hollowSeconds);
    result.put("beats failed", (double) beatsFailed.get());
    result.put("changes/s", changes / hollowSeconds);
    result.put("returns/s", returns / hollowSeconds);
    if (changes > 0) {
      result.put("acknowledged-ms", acknowledged / (double) changes);
      result.put("everywhere-ms", spread / (double) changes);
    }
    if (sizes.boards() > 0) {
      result.put(
          "hollow messages-in/s",
          (hollowAfter[0] - hollowBefore[0]) / hollowSeconds / sizes.boards());
      result.put(
          "hollow bytes-in/s", (hollowAfter[1] - hollowBefore[1]) / hollowSeconds / sizes.boards());
      if (sizes.returnsPerSecond() == 0) {
        alike("messages-in/s", result);
        alike("bytes-in/s", result);
      }
    }
    return result;
  }

  private static void alike(final String measure, final Map<String, Double> result) {
    final double hollow = result.get("hollow " + measure);
    final double real = result.get("switchboard " + measure);
    if (Math.abs(hollow - real) > MOST_APART * real) {
      throw new WeldpointException(
          WeldpointException.Kind.INVALID,
          String.format(
              java.util.Locale.ROOT,
              "a hollow switchboard has %.1f %s and a real one %.1f; the run gives no slope",
              hollow,
              measure,
              real));
    }
  }

  @Override
  public void close() {
    clock.shutdownNow();
    if (hollows != null) {
      hollows.end();
    }
    children.forEach(MeasuredProcess::end);
    try {
      for (int wait = 0; wait < 60 && children.stream().anyMatch(MeasuredProcess::alive); wait++) {
        Thread.sleep(50);
      }
    } catch (final InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
    children.forEach(MeasuredProcess::kill);
    try (java.util.stream.Stream<Path> files = Files.walk(folder)) {
      files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (final IOException left) {
      folder.toFile().deleteOnExit();
    }
  }
}
