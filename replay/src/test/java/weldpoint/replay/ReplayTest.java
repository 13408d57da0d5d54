package weldpoint.replay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import weldpoint.common.WeldpointException;
import weldpoint.routing.RoutingTable;

public class ReplayTest {
  private static final int PROXIES = 6;
  private Path folder;
  private Path recording;
  private final RecordingGenerator generator = new RecordingGenerator();

  @BeforeClass
  public void writeRecording() throws IOException {
    folder = Files.createTempDirectory("weldpoint-replay");
    recording = folder.resolve("recording");
    generator.write(recording, 11, PROXIES, 24, 1800);
  }

  @AfterClass
  public void deleteFiles() throws IOException {
    try (var files = Files.list(folder)) {
      for (final Path file : (Iterable<Path>) files::iterator) {
        Files.delete(file);
      }
    }
    Files.delete(folder);
  }

  private static ReplayComparison replay(final Path path, final String configuration)
      throws IOException {
    return new Replay(
            path,
            RoutingTable.compile(RecordingGenerator.utf8(configuration)),
            "",
            500,
            stored -> stored)
        .run();
  }

  private static Set<String> changedWriteIds(
      final ReplayComparison comparison, final ReplayComparison.Change change) {
    final Set<String> ids = new TreeSet<>();
    comparison
        .changedWrites()
        .forEach(
            write -> {
              if (write.changes().contains(change)) {
                ids.add(write.attemptId());
              }
            });
    return ids;
  }

  @Test
  public void recordedConfigurationChangesNothingAndCountsEveryWriteOnce() throws IOException {
    final ReplayComparison comparison =
        replay(recording, RecordingGenerator.configuration(2, "mutating", 2, 1000, "desk", ""));
    assertEquals(comparison.changedWrites(), List.of());
    assertEquals(comparison.exitCode(), 0);
    assertEquals(comparison.writes(), generator.writes);
    assertEquals(comparison.writes() + comparison.others(), generator.calls);
    assertEquals(comparison.othersDegraded(), 0);
    comparison
        .modelErrors()
        .forEach((route, error) -> assertTrue(error <= 20, route + " " + error));
  }

  @Test
  public void idempotentWriteRouteRepeatsExactlySlowAndLostWrites() throws IOException {
    final ReplayComparison comparison =
        replay(recording, RecordingGenerator.configuration(2, "idempotent", 2, 1000, "desk", ""));
    final Set<String> expected = new TreeSet<>(generator.lostAnswerIds);
    expected.addAll(generator.slowWriteIds);
    assertEquals(comparison.exitCode(), 1);
    assertEquals(changedWriteIds(comparison, ReplayComparison.Change.RUN_TWICE), expected);
    assertEquals(changedWriteIds(comparison, ReplayComparison.Change.SENT_TWICE), expected);
  }

  @Test
  public void movedTimedOutAndUnroutedWritesAreListedExactly() throws IOException {
    final Set<String> vipIds = new TreeSet<>();
    generator.targetsById.forEach(
        (id, target) -> {
          if (target.startsWith("/confirm/vip/")) {
            vipIds.add(id);
          }
        });
    final String rule =
        "{\"name\":\"r-vip\",\"routeKind\":\"mutating\",\"targetLatencyMs\":1000,\"match\":{\"pathPrefix\":\"/confirm/vip/\"},\"action\":{\"service\":\"%s\",\"timeoutMs\":4000,\"maxAttempts\":2}},";
    final ReplayComparison moved =
        replay(
            recording,
            RecordingGenerator.configuration(
                2, "mutating", 2, 1000, "desk", String.format(rule, "other")));
    assertEquals(changedWriteIds(moved, ReplayComparison.Change.ELSEWHERE), vipIds);
    assertEquals(moved.exitCode(), 0, "a move to another service is listed but harms no write");
    final ReplayComparison shortTimeout =
        replay(
            recording,
            RecordingGenerator.configuration(
                2,
                "mutating",
                2,
                1000,
                "desk",
                String.format(rule, "desk").replace("4000", "500")));
    final Set<String> slowVipIds = new TreeSet<>(vipIds);
    slowVipIds.retainAll(new HashSet<>(generator.slowWriteIds));
    assertEquals(changedWriteIds(shortTimeout, ReplayComparison.Change.LOST), slowVipIds);
    final ReplayComparison unrouted =
        replay(
            recording,
            RecordingGenerator.configuration(2, "mutating", 2, 1000, "desk", "")
                .replace("/confirm/", "/confirm/vip/"));
    final Set<String> unroutedIds = new TreeSet<>();
    generator.targetsById.forEach(
        (id, target) -> {
          if (target.startsWith("/confirm/") && !vipIds.contains(id)) {
            unroutedIds.add(id);
          }
        });
    assertEquals(changedWriteIds(unrouted, ReplayComparison.Change.UNROUTED), unroutedIds);
    assertEquals(unrouted.exitCode(), 1);
    final ReplayComparison readRouteRemoved =
        replay(
            recording,
            RecordingGenerator.configuration(2, "mutating", 2, 1000, "desk", "")
                .replace("/lookup/", "/look/"));
    assertEquals(
        readRouteRemoved.exitCode(), 1, "the removal of a route that reads used must not pass");
    assertFalse(
        readRouteRemoved.changedWrites().stream()
            .anyMatch(write -> write.changes().stream().anyMatch(ReplayComparison.Change::harms)));
  }

  @Test
  public void slowerReadsAlonePassAndAreReported() throws IOException {
    final ReplayComparison comparison =
        replay(recording, RecordingGenerator.configuration(2, "mutating", 1, 1000, "small", ""));
    assertEquals(comparison.exitCode(), 0);
    assertTrue(
        comparison.othersDegraded() > 20,
        "reads queue at a single small upstream: " + comparison.othersDegraded());
    assertFalse(
        comparison.changedWrites().stream()
            .anyMatch(write -> write.changes().stream().anyMatch(ReplayComparison.Change::harms)));
    final java.io.ByteArrayOutputStream text = new java.io.ByteArrayOutputStream();
    comparison.print(new java.io.PrintStream(text));
    assertTrue(text.toString().contains("only lookups and downloads wait"), text.toString());
  }

  @Test
  public void predictedRepeatsMatchSimulatedRun() throws IOException {
    final RecordingGenerator actualGenerator = new RecordingGenerator();
    final Path actualRecording = folder.resolve("actual");
    actualGenerator.write(actualRecording, 11, PROXIES, 24, 1800);
    final String proposed = RecordingGenerator.configuration(2, "idempotent", 2, 1000, "desk", "");
    final Set<String> predicted =
        changedWriteIds(replay(recording, proposed), ReplayComparison.Change.RUN_TWICE);
    final Set<String> actual = new TreeSet<>();
    try (RecordingFile.Reader reader = new RecordingFile.Reader(actualRecording)) {
      final var loop = new io.netty.channel.nio.NioEventLoopGroup(1);
      final ReplaySimulator simulator = new ReplaySimulator(loop, "", 99);
      simulator.routingTable(RoutingTable.compile(RecordingGenerator.utf8(proposed)));
      for (Object part = reader.next(); part != null; part = reader.next()) {
        if (part instanceof RecordingFile.ControlSnapshot) {
          simulator.applyControl(((RecordingFile.ControlSnapshot) part).registrations, null);
        } else if (part instanceof RecordingFile.TimedBatch) {
          final RecordingFile.TimedBatch timedBatch = (RecordingFile.TimedBatch) part;
          simulator.addProxy(
              timedBatch.batch.proxy,
              timedBatch.batch.site,
              timedBatch.batch.region,
              java.util.Map.of("port", "north", "couva", "south"));
          for (final var request :
              weldpoint.transport.Protocol.emptyIfNull(timedBatch.batch.records)) {
            final RecordedCall call =
                new RecordedCall(
                    request, timedBatch.batch.proxy, timedBatch.clockOffsetMillis, 100);
            simulator.advanceTo(call.at);
            simulator.play(
                call,
                outcome -> {
                  if (call.isWrite() && outcome.executionCount > 1) {
                    actual.add(request.id);
                  }
                });
          }
        }
      }
      simulator.runToCompletion();
      loop.shutdownGracefully(0, 0, java.util.concurrent.TimeUnit.MILLISECONDS);
    }
    assertEquals(predicted, actual);
  }

  private Path writeFaultyRecording(final java.util.function.Consumer<RecordingGenerator> fault)
      throws IOException {
    final RecordingGenerator faulty = new RecordingGenerator();
    fault.accept(faulty);
    final Path path = folder.resolve("bad-" + System.nanoTime());
    faulty.write(path, 3, 3, 1, 3600);
    return path;
  }

  @Test
  public void incompleteRecordingsAreRejected() throws IOException {
    final String configuration =
        RecordingGenerator.configuration(2, "mutating", 2, 1000, "desk", "");
    for (final Path path :
        List.of(
            writeFaultyRecording(faulty -> faulty.skippedSlice = 30),
            writeFaultyRecording(faulty -> faulty.wrongTrailerCount = 1),
            writeFaultyRecording(faulty -> faulty.omitTrailer = true),
            writeFaultyRecording(faulty -> faulty.omitLastBatch = true),
            writeFaultyRecording(faulty -> faulty.droppedRequests = 4))) {
      assertThrows(WeldpointException.class, () -> replay(path, configuration));
    }
    final Path corrupt = folder.resolve("cut");
    final byte[] whole = Files.readAllBytes(recording);
    Files.write(corrupt, java.util.Arrays.copyOf(whole, whole.length / 2));
    assertThrows(WeldpointException.class, () -> replay(corrupt, configuration));
    final byte[] damaged = whole.clone();
    damaged[whole.length / 2] ^= 0x55;
    Files.write(corrupt, damaged);
    assertThrows(WeldpointException.class, () -> replay(corrupt, configuration));
    Files.write(corrupt, new byte[] {1, 2, 3});
    assertThrows(WeldpointException.class, () -> replay(corrupt, configuration));
  }

  @Test
  public void configurationWithAffinityIsRejected() {
    final weldpoint.routing.RoutingTable withAffinity =
        weldpoint.routing.RoutingTable.compile(
            ("{\"version\":\"1\",\"listeners\":[{\"host\":\"h\",\"rules\":[{\"name\":\"w\",\"routeKind\":\"mutating\",\"match\":{\"pathPrefix\":\"/\"},"
                    + "\"action\":{\"service\":\"s\",\"timeoutMs\":2000,\"maxAttempts\":1,\"affinity\":{\"by\":\"address\"}}}]}],\"pools\":[{\"name\":\"s\"}]}")
                .getBytes(java.nio.charset.StandardCharsets.UTF_8));
    final weldpoint.common.WeldpointException exception =
        org.testng.Assert.expectThrows(
            weldpoint.common.WeldpointException.class,
            () ->
                new Replay(
                        java.nio.file.Path.of("no-such-recording"),
                        withAffinity,
                        "",
                        100,
                        bytes -> bytes)
                    .run());
    org.testng.Assert.assertTrue(
        exception.getMessage().contains("does not hold who called"), exception.getMessage());
  }
}
