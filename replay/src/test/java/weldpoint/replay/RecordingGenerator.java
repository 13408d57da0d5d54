package weldpoint.replay;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import weldpoint.routing.RouteKind;
import weldpoint.transport.RecordingMessages.RecordingBatch;
import weldpoint.transport.RecordingMessages.RequestRecord;
import weldpoint.transport.RegistryMessages.Registration;

/**
 * Generates recordings by a simple model independent of the simulator: each call takes its service
 * time, and the responses of some writes are lost.
 */
final class RecordingGenerator {
  static final String WRITE_ROUTE = "r-confirm";
  static final String READ_ROUTE = "r-lookup";
  private static final int UPSTREAMS = 20;

  final List<String> lostAnswerIds = new ArrayList<>();
  final List<String> slowWriteIds = new ArrayList<>();
  final Map<String, String> targetsById = new HashMap<>();
  int writes;
  long calls;
  long skippedSlice = -1;
  long wrongTrailerCount = -1;
  boolean omitTrailer;
  boolean omitLastBatch;
  long droppedRequests;

  static String configuration(
      final long version,
      final String writeKind,
      final int readMaxAttempts,
      final long writeTargetMillis,
      final String readService,
      final String extraRule) {
    return "{\"version\":\""
        + Long.toHexString(version)
        + "\",\"listeners\":[{\"host\":\"hall.example\",\"rules\":["
        + "{\"name\":\""
        + WRITE_ROUTE
        + "\",\"routeKind\":\""
        + writeKind
        + "\",\"targetLatencyMs\":"
        + writeTargetMillis
        + ",\"priority\":1,\"match\":{\"pathPrefix\":\"/confirm/\"},\"action\":{\"service\":\"desk\",\"timeoutMs\":4000,\"maxAttempts\":2}},"
        + extraRule
        + "{\"name\":\""
        + READ_ROUTE
        + "\",\"routeKind\":\"idempotent\",\"targetLatencyMs\":800,\"priority\":2,\"match\":{\"pathPrefix\":\"/lookup/\"},\"action\":{\"service\":\""
        + readService
        + "\",\"timeoutMs\":3000,\"maxAttempts\":"
        + readMaxAttempts
        + "}}"
        + "]}],\"pools\":[{\"name\":\"desk\",\"maxConns\":100},{\"name\":\"other\",\"maxConns\":100},{\"name\":\"small\",\"maxConns\":100}]}";
  }

  static byte[] utf8(final String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /** Writes a recording of this many hours and proxies, with three times the load in peak hours. */
  void write(
      final Path path, final long seed, final int proxyCount, final int hours, final int perHour)
      throws IOException {
    final Random random = new Random(seed);
    try (RecordingFile.Writer writer = new RecordingFile.Writer(path)) {
      final List<Registration> upstreams = new ArrayList<>();
      for (int index = 0; index < UPSTREAMS; index++) {
        upstreams.add(
            new Registration(
                "u" + index,
                "desk",
                "10.9.0." + index + ":80",
                index % 2 == 0 ? "port" : "couva",
                "v1",
                6,
                0,
                1,
                0,
                0));
        upstreams.add(
            new Registration(
                "o" + index,
                "other",
                "10.9.1." + index + ":80",
                index % 2 == 0 ? "port" : "couva",
                "v1",
                6,
                0,
                1,
                0,
                0));
      }
      upstreams.add(new Registration("s0", "small", "10.9.2.1:80", "port", "v1", 2, 0, 1, 0, 0));
      writer.add(
          new RecordingFile.ControlSnapshot(
              0, utf8(configuration(1, "mutating", 2, 1000, "desk", "")), upstreams, List.of()));
      final long[] serials = new long[proxyCount];
      for (int slice = 0; slice < hours * 360; slice++) {
        final boolean peakHour = slice / 360 % 12 == 7;
        final int count = perHour / 360 * (peakHour ? 3 : 1);
        final List<List<RequestRecord>> requestsByProxy = new ArrayList<>();
        for (int proxy = 0; proxy < proxyCount; proxy++) {
          requestsByProxy.add(new ArrayList<>());
        }
        final List<Long> times = new ArrayList<>();
        for (int index = 0; index < count; index++) {
          times.add(slice * 10_000L + random.nextInt(10_000));
        }
        times.sort(null);
        for (final long at : times) {
          final int proxy = random.nextInt(proxyCount);
          requestsByProxy.get(proxy).add(request(random, at - 1000L * proxy, ++serials[proxy]));
        }
        for (int proxy = 0; proxy < proxyCount; proxy++) {
          final List<RequestRecord> list = requestsByProxy.get(proxy);
          if (skippedSlice >= 0 && proxy == 1 && slice == skippedSlice && !list.isEmpty()) {
            list.remove(0);
          }
          final boolean last = slice == hours * 360 - 1 && !(omitLastBatch && proxy == 0);
          writer.add(
              new RecordingFile.TimedBatch(
                  1000L * proxy,
                  new RecordingBatch(
                      "10.0.0." + (proxy + 1),
                      proxy % 2 == 0 ? "port" : "couva",
                      proxy % 2 == 0 ? "north" : "south",
                      5,
                      slice * 10_000L,
                      droppedRequests,
                      last,
                      list)));
        }
      }
      if (!omitTrailer) {
        writer.add(new RecordingFile.Trailer(calls + (wrongTrailerCount >= 0 ? 1 : 0), 0, 3, null));
      }
    }
  }

  private RequestRecord request(final Random random, final long at, final long serial) {
    final boolean isWrite = random.nextInt(10) < 3;
    final String id = String.format("%016x", ++calls * 0x9e3779b97f4a7c15L);
    long serviceTimeMillis = 60 + random.nextInt(200);
    boolean answerLost = false;
    if (isWrite) {
      writes++;
      if (random.nextInt(500) == 0) {
        answerLost = true;
        lostAnswerIds.add(id);
      } else if (random.nextInt(300) == 0) {
        serviceTimeMillis = 700 + random.nextInt(200);
        slowWriteIds.add(id);
      }
    }
    final String target =
        (isWrite ? "/confirm/" : "/lookup/")
            + (random.nextInt(50) == 0 ? "vip/" : "")
            + "x"
            + calls;
    targetsById.put(id, target);
    return new RequestRecord(
        serial,
        at,
        id,
        "hall.example",
        target,
        isWrite ? WRITE_ROUTE : READ_ROUTE,
        (isWrite ? RouteKind.MUTATING : RouteKind.IDEMPOTENT).ordinal(),
        "desk",
        isWrite ? 4000 : 3000,
        0,
        List.of("u1"),
        List.of(0L),
        List.of(serviceTimeMillis),
        List.of(answerLost ? 3 : 1),
        serviceTimeMillis,
        answerLost ? 502 : 200);
  }
}
