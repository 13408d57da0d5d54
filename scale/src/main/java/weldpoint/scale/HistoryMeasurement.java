package weldpoint.scale;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import weldpoint.audit.AuditEntry;
import weldpoint.audit.AuditLog;
import weldpoint.audit.AuditReplica;
import weldpoint.audit.ChangeKind;
import weldpoint.audit.SegmentStore;
import weldpoint.transport.Serializer;

/**
 * Measures the audit log in this process, without any daemon: the size of the entries, the
 * processor time to write them, and the cost of bringing an empty replica up to date.
 */
final class HistoryMeasurement {
  private HistoryMeasurement() {}

  private static SegmentStore store(final Path folder, final int entries) throws IOException {
    final SegmentStore store =
        new SegmentStore(folder, Math.max(4L << 20, entries * 1600L), Runnable::run);
    store.start("history");
    return store;
  }

  private static long threadCpuMillis() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() / 1_000_000;
  }

  private static void awaitDurable(final AuditLog log, final long entries)
      throws InterruptedException {
    while (log.lastDurable() < entries) {
      Thread.sleep(5);
    }
  }

  /** Returns the results by name for a log with this many entries. */
  static Map<String, Double> measure(final int entries) throws IOException, InterruptedException {
    final Path folder = Files.createTempDirectory("weldpoint-history");
    final AuditLog full = new AuditLog("full", store(folder.resolve("full"), entries), () -> {});
    String digest = AuditEntry.NO_DIGEST;
    long bytes = 0;
    final long buildStart = threadCpuMillis();
    for (int sequence = 1; sequence <= entries; sequence++) {
      final byte[] entry =
          new AuditEntry.Draft(ChangeKind.CONFIGURATION, "")
              .version(sequence, 0)
              .origin("dispatch lead", "10.0.0.9", "10.0.0.4", 1_800_000_000_000L + sequence)
              .digests(digest, digest)
              .summary(
                  "~ write route booking.example/book/ (r-book): service booking-desk -> booking-desk-"
                      + sequence % 7)
              .encode(sequence, digest);
      digest = AuditEntry.digest(entry);
      bytes += entry.length;
      full.offer(entry);
    }
    awaitDurable(full, entries);
    final long buildEnd = threadCpuMillis();
    final AuditLog empty = new AuditLog("empty", store(folder.resolve("empty"), entries), () -> {});
    final long[] traffic = new long[2];
    final ArrayDeque<Runnable> queue = new ArrayDeque<>();
    final AuditReplica[] replicas = new AuditReplica[2];
    final long transferStart = System.nanoTime();
    replicas[0] = new AuditReplica(full, (to, message) -> {}, new Random(1));
    replicas[1] =
        new AuditReplica(
            empty,
            (to, message) -> queue.add(() -> deliver(replicas, 0, message, queue, traffic)),
            new Random(1));
    replicas[1].tick(List.of("full"), 10_000);
    while (!queue.isEmpty()) {
      queue.poll().run();
    }
    awaitDurable(empty, entries);
    final double seconds = (System.nanoTime() - transferStart) / 1e9;
    final Map<String, Double> result = new LinkedHashMap<>();
    result.put("bytes of entries", (double) bytes);
    result.put("cpu-ms to make and store", (double) (buildEnd - buildStart));
    result.put("cpu-ms to give and take", (double) (threadCpuMillis() - buildEnd));
    result.put("seconds until an empty replica has them", seconds);
    result.put("bytes on the wire for that", (double) traffic[1]);
    result.put("messages for that", (double) traffic[0]);
    try (java.util.stream.Stream<Path> files = Files.walk(folder)) {
      files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    }
    return result;
  }

  /** Counts the message (traffic[0] messages, traffic[1] bytes) and delivers it to a replica. */
  private static void deliver(
      final AuditReplica[] replicas,
      final int to,
      final weldpoint.transport.Message message,
      final ArrayDeque<Runnable> queue,
      final long[] traffic) {
    traffic[0]++;
    traffic[1] += Serializer.serialize(message).length;
    replicas[to].receive(
        "peer",
        message,
        answer -> queue.add(() -> deliver(replicas, 1 - to, answer, queue, traffic)));
  }
}
