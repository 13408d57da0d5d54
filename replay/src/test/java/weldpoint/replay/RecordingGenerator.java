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
 * Makes recorded days by a plain rule of its own: a call takes its work, sometimes an answer is
 * lost.
 */
final class RecordingGenerator {
  static final String CONFIRM = "r-confirm";
  static final String LOOKUP = "r-lookup";
  private static final int UPSTREAMS = 20;

  final List<String> lost = new ArrayList<>();
  final List<String> slow = new ArrayList<>();
  final Map<String, String> paths = new HashMap<>();
  int writes;
  long calls;
  long skip = -1;
  long misnumber = -1;
  boolean endless;
  boolean silent;
  long droppedNotes;

  static String spec(
      final long version,
      final String confirmKind,
      final int lookupAttempts,
      final long confirmTarget,
      final String lookupService,
      final String extra) {
    return "{\"version\":\""
        + Long.toHexString(version)
        + "\",\"listeners\":[{\"host\":\"hall.example\",\"rules\":["
        + "{\"name\":\""
        + CONFIRM
        + "\",\"routeKind\":\""
        + confirmKind
        + "\",\"targetLatencyMs\":"
        + confirmTarget
        + ",\"priority\":1,\"match\":{\"pathPrefix\":\"/confirm/\"},\"action\":{\"service\":\"desk\",\"timeoutMs\":4000,\"maxAttempts\":2}},"
        + extra
        + "{\"name\":\""
        + LOOKUP
        + "\",\"routeKind\":\"idempotent\",\"targetLatencyMs\":800,\"priority\":2,\"match\":{\"pathPrefix\":\"/lookup/\"},\"action\":{\"service\":\""
        + lookupService
        + "\",\"timeoutMs\":3000,\"maxAttempts\":"
        + lookupAttempts
        + "}}"
        + "]}],\"pools\":[{\"name\":\"desk\",\"maxConns\":100},{\"name\":\"other\",\"maxConns\":100},{\"name\":\"small\",\"maxConns\":100}]}";
  }

  static byte[] bytes(final String spec) {
    return spec.getBytes(StandardCharsets.UTF_8);
  }

  /** A day of so many hours over so many switchboards, with rushes. */
  void write(final Path path, final long seed, final int boards, final int hours, final int perHour)
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
              0, bytes(spec(1, "mutating", 2, 1000, "desk", "")), upstreams, List.of()));
      final long[] serials = new long[boards];
      for (int slice = 0; slice < hours * 360; slice++) {
        final boolean rush = slice / 360 % 12 == 7;
        final int count = perHour / 360 * (rush ? 3 : 1);
        final List<List<RequestRecord>> notes = new ArrayList<>();
        for (int board = 0; board < boards; board++) {
          notes.add(new ArrayList<>());
        }
        final List<Long> times = new ArrayList<>();
        for (int index = 0; index < count; index++) {
          times.add(slice * 10_000L + random.nextInt(10_000));
        }
        times.sort(null);
        for (final long at : times) {
          final int board = random.nextInt(boards);
          notes.get(board).add(note(random, at - 1000L * board, ++serials[board]));
        }
        for (int board = 0; board < boards; board++) {
          final List<RequestRecord> list = notes.get(board);
          if (skip >= 0 && board == 1 && slice == skip && !list.isEmpty()) {
            list.remove(0);
          }
          final boolean last = slice == hours * 360 - 1 && !(silent && board == 0);
          writer.add(
              new RecordingFile.TimedBatch(
                  1000L * board,
                  new RecordingBatch(
                      "10.0.0." + (board + 1),
                      board % 2 == 0 ? "port" : "couva",
                      board % 2 == 0 ? "north" : "south",
                      5,
                      slice * 10_000L,
                      droppedNotes,
                      last,
                      list)));
        }
      }
      if (!endless) {
        writer.add(new RecordingFile.Trailer(calls + (misnumber >= 0 ? 1 : 0), 0, 3, null));
      }
    }
  }

  private RequestRecord note(final Random random, final long at, final long serial) {
    final boolean write = random.nextInt(10) < 3;
    final String id = String.format("%016x", ++calls * 0x9e3779b97f4a7c15L);
    long work = 60 + random.nextInt(200);
    boolean answerLost = false;
    if (write) {
      writes++;
      if (random.nextInt(500) == 0) {
        answerLost = true;
        lost.add(id);
      } else if (random.nextInt(300) == 0) {
        work = 700 + random.nextInt(200);
        slow.add(id);
      }
    }
    final String target =
        (write ? "/confirm/" : "/lookup/") + (random.nextInt(50) == 0 ? "vip/" : "") + "x" + calls;
    paths.put(id, target);
    return new RequestRecord(
        serial,
        at,
        id,
        "hall.example",
        target,
        write ? CONFIRM : LOOKUP,
        (write ? RouteKind.MUTATING : RouteKind.IDEMPOTENT).ordinal(),
        "desk",
        write ? 4000 : 3000,
        0,
        List.of("u1"),
        List.of(0L),
        List.of(work),
        List.of(answerLost ? 3 : 1),
        work,
        answerLost ? 502 : 200);
  }
}
