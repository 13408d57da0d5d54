package weldpoint.audit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import weldpoint.common.WeldpointException;
import weldpoint.routing.RoutingTable;
import weldpoint.transport.Message;

/** Tests audit entries, logs, segments on disk, configuration differences and authors. */
public final class AuditTest {
  @BeforeClass
  public void disableLogging() {
    java.util.logging.Logger.getLogger("").setLevel(java.util.logging.Level.OFF);
  }

  private static List<byte[]> chain(final int count, final int retained) {
    final List<byte[]> entries = new ArrayList<>();
    String digest = AuditEntry.NO_DIGEST;
    for (int sequence = 1; sequence <= count; sequence++) {
      final boolean trims = retained > 0 && sequence > retained && sequence % 50 == 0;
      final AuditEntry.Draft draft =
          new AuditEntry.Draft(
                  trims ? ChangeKind.RETENTION : ChangeKind.EVACUATION_BEGUN, "zone-" + sequence)
              .origin("me", "10.0.0.9", "10.0.0.1", 1000 - sequence);
      final byte[] bytes =
          (trims
                  ? draft.trimThrough(
                      sequence - retained, AuditEntry.digest(entries.get(sequence - retained - 1)))
                  : draft)
              .encode(sequence, digest);
      digest = AuditEntry.digest(bytes);
      entries.add(bytes);
    }
    return entries;
  }

  private static AuditLog log(final AuditStore store) {
    return new AuditLog("here", store, () -> {});
  }

  @Test
  public void logAppendsOnlyTheNextEntryAndReportsConflicts() {
    final List<byte[]> entries = chain(5, 0);
    final AuditLog log = log(new HeapStore());
    assertEquals(log.offer(entries.get(1)), AuditLog.Outcome.GAP);
    assertEquals(log.offer(entries.get(0)), AuditLog.Outcome.APPENDED);
    assertEquals(log.offer(entries.get(0)), AuditLog.Outcome.KNOWN);
    final byte[] other =
        new AuditEntry.Draft(ChangeKind.TRIAL, "r").encode(1, AuditEntry.NO_DIGEST);
    assertEquals(log.offer(other), AuditLog.Outcome.CONFLICT);
    final byte[] foreign =
        new AuditEntry.Draft(ChangeKind.TRIAL, "r").encode(2, AuditEntry.digest(other));
    assertEquals(log.offer(foreign), AuditLog.Outcome.CONFLICT);
    assertEquals(log.conflicts(), 2);
    assertEquals(log.last(), 1);
    assertEquals(log.read(1), entries.get(0));
    assertEquals(log.lastDurable(), 1);
  }

  @Test
  public void divergedReplicasAreCountedAndNotMerged() {
    final AuditLog one = log(new HeapStore());
    final AuditLog other = log(new HeapStore());
    one.offer(new AuditEntry.Draft(ChangeKind.TRIAL, "r").encode(1, AuditEntry.NO_DIGEST));
    other.offer(new AuditEntry.Draft(ChangeKind.TRIAL, "s").encode(1, AuditEntry.NO_DIGEST));
    reconcile(one, other);
    assertEquals(other.conflicts(), 1);
    assertFalse(one.digest().equals(other.digest()));
  }

  private static void reconcile(final AuditLog from, final AuditLog to) {
    final AuditReplica[] replicas = new AuditReplica[2];
    final List<Runnable> messages = new ArrayList<>();
    for (int index = 0; index < 2; index++) {
      final int self = index;
      replicas[index] =
          new AuditReplica(
              index == 0 ? from : to,
              (peer, message) -> messages.add(() -> deliver(replicas, messages, self, message)),
              new Random(1));
    }
    replicas[0].tick(List.of("b"), 10_000);
    for (int step = 0; step < messages.size() && step < 5000; step++) {
      messages.get(step).run();
    }
  }

  private static void deliver(
      final AuditReplica[] replicas,
      final List<Runnable> messages,
      final int from,
      final Message message) {
    replicas[1 - from].receive(
        "x", message, answer -> messages.add(() -> deliver(replicas, messages, 1 - from, answer)));
  }

  @Test
  public void reconciliationFillsEmptyReplicaAndSkipsTrimmedEntries() {
    final List<byte[]> entries = chain(3000, 700);
    final AuditLog full = log(new HeapStore());
    entries.forEach(full::offer);
    assertEquals(full.base(), 2300);
    final AuditLog empty = log(new HeapStore());
    reconcile(empty, full);
    assertEquals(empty.last(), 3000);
    assertEquals(empty.base(), 2300);
    assertEquals(empty.digest(), full.digest());
    assertEquals(empty.baseDigest(), full.baseDigest());
    final AuditLog behind = log(new HeapStore());
    entries.subList(0, 2500).forEach(behind::offer);
    reconcile(full, behind);
    assertEquals(behind.digest(), full.digest());
    assertEquals(behind.conflicts(), 0);
  }

  private static SegmentStore open(final Path folder, final long bytes) throws IOException {
    return new SegmentStore(folder, bytes, Runnable::run);
  }

  private static void write(
      final SegmentStore store, final AuditLog log, final List<byte[]> entries)
      throws InterruptedException {
    store.start("history");
    final CountDownLatch done = new CountDownLatch(1);
    for (final byte[] entry : entries) {
      assertEquals(log.offer(entry), AuditLog.Outcome.APPENDED);
    }
    final long last = AuditEntry.read(entries.get(entries.size() - 1)).sequence;
    final Thread waiter =
        new Thread(
            () -> {
              while (log.lastDurable() < last) {
                Thread.onSpinWait();
              }
              done.countDown();
            });
    waiter.setDaemon(true);
    waiter.start();
    assertTrue(done.await(30, TimeUnit.SECONDS), "not all entries became durable within 30 s");
  }

  @Test
  public void segmentsSurviveRestartAndAreReusedAfterTrim() throws Exception {
    final Path folder = Files.createTempDirectory("history");
    final List<byte[]> entries = chain(6000, 700);
    final SegmentStore store = open(folder, 8 * 64 << 10);
    final AuditLog log = log(store);
    write(store, log, entries);
    final AuditLog reopened = log(open(folder, 8 * 64 << 10));
    assertEquals(reopened.last(), 6000);
    assertEquals(reopened.base(), log.base());
    assertEquals(reopened.digest(), log.digest());
    assertEquals(reopened.read(5990), entries.get(5989));
    long size = 0;
    for (int number = 0; number < SegmentStore.SEGMENT_COUNT; number++) {
      size += Files.size(folder.resolve("history-" + number));
    }
    assertEquals(size, 8 * 64 << 10);
  }

  @Test
  public void fullSegmentRingRejectsAppends() throws Exception {
    final SegmentStore store = open(Files.createTempDirectory("history"), 8 * 8 << 10);
    final AuditLog log = log(store);
    AuditLog.Outcome outcome = AuditLog.Outcome.APPENDED;
    for (final byte[] entry : chain(2000, 0)) {
      if (outcome == AuditLog.Outcome.APPENDED) {
        outcome = log.offer(entry);
      }
    }
    assertEquals(outcome, AuditLog.Outcome.FULL);
    assertEquals(log.base(), 0);
    assertTrue(log.read(1) != null);
  }

  @Test
  public void damagedEntryAndItsSuccessorsAreCountedAndFetchedAgain() throws Exception {
    final Path folder = Files.createTempDirectory("history");
    final List<byte[]> entries = chain(900, 0);
    final SegmentStore store = open(folder, 8 * 64 << 10);
    write(store, log(store), entries);
    try (RandomAccessFile file = new RandomAccessFile(folder.resolve("history-0").toFile(), "rw")) {
      file.seek(20_000);
      file.write("damage".getBytes(StandardCharsets.UTF_8));
    }
    final SegmentStore damaged = open(folder, 8 * 64 << 10);
    final AuditLog log = log(damaged);
    assertTrue(log.damagedEntries() > 0);
    assertTrue(log.last() > 50 && log.last() < 200, "entries kept: " + log.last());
    final AuditLog full = log(new HeapStore());
    entries.forEach(full::offer);
    damaged.start("history");
    reconcile(log, full);
    assertEquals(log.last(), 900);
    assertEquals(log.digest(), full.digest());
    assertEquals(log.conflicts(), 0);
  }

  @Test
  public void partiallyWrittenLastEntryIsDropped() throws Exception {
    final Path folder = Files.createTempDirectory("history");
    final SegmentStore store = open(folder, 8 * 64 << 10);
    write(store, log(store), chain(20, 0));
    final AuditLog intact = log(open(folder, 8 * 64 << 10));
    assertEquals(intact.last(), 20);
    try (RandomAccessFile file = new RandomAccessFile(folder.resolve("history-0").toFile(), "rw")) {
      long end = file.length();
      final byte[] bytes = new byte[(int) end];
      file.readFully(bytes);
      while (bytes[(int) end - 1] == 0) {
        end--;
      }
      file.seek(end - 3);
      file.write(new byte[3]);
    }
    final AuditLog torn = log(open(folder, 8 * 64 << 10));
    assertEquals(torn.last(), 19);
    assertNull(torn.read(20));
  }

  private static byte[][] contents(final Path folder) throws IOException {
    final byte[][] files = new byte[SegmentStore.SEGMENT_COUNT][];
    for (int number = 0; number < files.length; number++) {
      files[number] = Files.readAllBytes(folder.resolve("history-" + number));
    }
    return files;
  }

  /**
   * After a power failure, each sector written since the last sync may or may not have reached the
   * disk, independently of the others. All entries that were durable must be recovered.
   */
  @Test
  public void durableEntriesSurvivePowerLoss() throws Exception {
    final Path folder = Files.createTempDirectory("history");
    final List<byte[]> entries = chain(900, 0);
    final int bytes = 8 * 64 << 10;
    final SegmentStore store = open(folder, bytes);
    final AuditLog log = log(store);
    final List<byte[][]> states = new ArrayList<>();
    final List<Integer> durableThrough = new ArrayList<>();
    for (int from = 0; from < entries.size(); from += 60) {
      if (from == 0) {
        write(store, log, entries.subList(0, 60));
      } else {
        for (final byte[] entry : entries.subList(from, from + 60)) {
          assertEquals(log.offer(entry), AuditLog.Outcome.APPENDED);
        }
        while (log.lastDurable() < from + 60) {
          Thread.onSpinWait();
        }
      }
      states.add(contents(folder));
      durableThrough.add(from + 60);
    }
    final Random random = new Random(3);
    for (int trial = 0; trial < 300; trial++) {
      final int step = random.nextInt(states.size() - 1);
      final int chance = 1 + random.nextInt(7);
      final Path after = Files.createTempDirectory("history");
      for (int number = 0; number < SegmentStore.SEGMENT_COUNT; number++) {
        final byte[] mixed = states.get(step)[number].clone();
        for (int at = 0; at < mixed.length; at += 256) {
          if (random.nextInt(8) < chance) {
            System.arraycopy(states.get(step + 1)[number], at, mixed, at, 256);
          }
        }
        Files.write(after.resolve("history-" + number), mixed);
      }
      final AuditLog recovered = log(open(after, bytes));
      assertTrue(
          recovered.last() >= durableThrough.get(step)
              && recovered.last() <= durableThrough.get(step + 1),
          "trial "
              + trial
              + ": durable up to "
              + durableThrough.get(step)
              + ", recovered up to "
              + recovered.last());
      for (long sequence = 1; sequence <= recovered.last(); sequence++) {
        assertEquals(recovered.read(sequence), entries.get((int) sequence - 1), "trial " + trial);
      }
      for (int number = 0; number < SegmentStore.SEGMENT_COUNT; number++) {
        Files.delete(after.resolve("history-" + number));
      }
      Files.delete(after);
    }
  }

  @DataProvider
  public Object[][] invalidAuthors() {
    return new Object[][] {
      {"", 1, "empty"},
      {"   ", 1, "empty"},
      {"x".repeat(65), 1, "65 characters"},
      {"dispatch\u0007lead", 1, "control character"},
      {"one", 2, "2 times"}
    };
  }

  @Test(dataProvider = "invalidAuthors")
  public void invalidAuthorIsRejectedWithRemedy(
      final String name, final int times, final String reason) {
    final WeldpointException exception =
        expectThrows(WeldpointException.class, () -> Authors.check(name, times));
    assertEquals(exception.kind().status(), 400);
    assertTrue(
        exception.getMessage().contains(reason) && exception.getMessage().contains(Authors.HEADER),
        exception.getMessage());
  }

  @Test
  public void missingAuthorIsRecordedAsUnnamed() {
    assertEquals(Authors.check("", 0), "unnamed");
    assertEquals(Authors.check(" dispatch lead ", 1), "dispatch lead");
  }

  private static ConfigurationSummary summary(final int routes, final String service) {
    final StringBuilder rules = new StringBuilder();
    for (int index = 0; index < routes; index++) {
      rules
          .append(index == 0 ? "" : ",")
          .append("{\"name\":\"r")
          .append(index)
          .append("\",\"routeKind\":\"")
          .append(index % 2 == 0 ? "mutating" : "idempotent")
          .append("\",\"match\":{\"pathPrefix\":\"/")
          .append(index)
          .append("/\"},\"action\":{\"service\":\"")
          .append(service)
          .append("\",\"timeoutMs\":2000,\"maxAttempts\":2}}");
    }
    final byte[] body =
        ("{\"version\":\"00000001\",\"listeners\":[{\"host\":\"h\",\"rules\":["
                + rules
                + "]}],\"pools\":[{\"name\":\"a\"},{\"name\":\"b\"}]}")
            .getBytes(StandardCharsets.UTF_8);
    return ConfigurationSummary.of(RoutingTable.parse(body), body);
  }

  @Test
  public void writeRoutesComeFirstAndOmittedLinesAreCounted() {
    final ConfigurationDifference difference =
        new ConfigurationDifference(summary(40, "a"), summary(38, "b"));
    assertEquals(difference.changed(), 38);
    assertEquals(difference.removed(), 2);
    assertEquals(difference.changedWriteRoutes(), 20);
    final List<String> lines = difference.lines(300);
    assertTrue(
        lines.get(0).startsWith("~ write route h/0/ (r0): service a -> b"), lines.toString());
    assertTrue(lines.get(lines.size() - 1).matches("and [0-9]+ more; .*"), lines.toString());
    assertEquals(
        new ConfigurationDifference(summary(3, "a"), summary(3, "a")).lines(1000),
        Collections.emptyList());
    final byte[] entry =
        new AuditEntry.Draft(ChangeKind.CONFIGURATION, "")
            .version(7, 0)
            .origin("x".repeat(64), "255.255.255.255", "255.255.255.255", Long.MAX_VALUE)
            .digests("0".repeat(64), "1".repeat(64))
            .difference(difference, 1024 - 420)
            .encode(Long.MAX_VALUE, "2".repeat(64));
    assertTrue(entry.length <= 1024, "an entry of " + entry.length + " bytes");
  }

  @Test
  public void replicaOpensWhileDiskIsNotWritable() throws Exception {
    final Path file = Files.createTempFile("history", "no-folder");
    final SegmentStore store = open(file.resolve("below-a-file"), 8 * 64 << 10);
    final AuditLog log = log(store);
    store.start("history");
    assertEquals(log.offer(chain(1, 0).get(0)), AuditLog.Outcome.APPENDED);
    assertEquals(log.lastDurable(), 0);
    assertEquals(log.read(1), chain(1, 0).get(0));
    Files.delete(file);
    Files.createDirectories(file);
    final long deadline = System.nanoTime() + 20_000_000_000L;
    while (log.lastDurable() < 1 && System.nanoTime() < deadline) {
      Thread.onSpinWait();
    }
    assertEquals(log.lastDurable(), 1);
  }

  @DataProvider
  public Object[][] same() {
    return new Object[][] {
      {"{\"a\":1,\"b\":[1,2]}", " { \"b\" : [1.0, 20e-1],\n\"a\":1 }", true},
      {"{\"a\":\"x/\\u0041\"}", "{\"a\":\"x\\/A\"}", true},
      {"[true,false,null,{}]", "[ true, false, null, { } ]", true},
      {"{\"a\":1,\"a\":2}", "{\"a\":2}", true},
      {"[0,-0,0.0]", "[0,0,0]", true},
      {"{\"a\":{\"c\":1,\"b\":2}}", "{\"a\":{\"b\":2,\"c\":1}}", true},
      {"\"\\n\\t\\\\\\\"\"", "\"\\u000a\\u0009\\u005c\\u0022\"", true},
      {"{\"a\":[1,2]}", "{\"a\":[2,1]}", false},
      {"{\"a\":1}", "{\"a\":\"1\"}", false},
      {"{\"a\":1}", "{\"a\":2}", false},
      {"{\"a\":null}", "{}", false},
      {"[1,2]", "[12]", false},
      {"{\"a\":\"x\\\",\\\"b\\\":\\\"y\"}", "{\"a\":\"x\",\"b\":\"y\"}", false},
      {"[1e999999999]", "[1e999999998]", false},
      {"{\"a\":1", "{\"a\":1 ", false},
      {"{} {}", "{}{}", false},
      {"", " ", false},
    };
  }

  @Test(dataProvider = "same")
  public void equivalentJsonHasTheSameDigest(
      final String one, final String other, final boolean same) {
    final byte[] left = CanonicalJson.digest(one.getBytes(StandardCharsets.UTF_8));
    assertEquals(
        java.util.Arrays.equals(left, CanonicalJson.digest(other.getBytes(StandardCharsets.UTF_8))),
        same);
    assertTrue(
        java.util.Arrays.equals(left, CanonicalJson.digest(one.getBytes(StandardCharsets.UTF_8))));
  }

  @Test
  public void excessiveNestingFallsBackToDigestOfBytes() {
    final String deep = "[".repeat(100_000) + "]".repeat(100_000);
    assertNull(CanonicalJson.canonical(deep.getBytes(StandardCharsets.UTF_8)));
    assertEquals(CanonicalJson.digest(deep.getBytes(StandardCharsets.UTF_8)).length, 32);
  }

  @Test
  public void versionsAreFoundUntilTheirEntriesAreTrimmed() {
    final AuditLog log = log(new HeapStore());
    String digest = AuditEntry.NO_DIGEST;
    final List<byte[]> entries = new ArrayList<>();
    for (int sequence = 1; sequence <= 60; sequence++) {
      final AuditEntry.Draft draft =
          sequence % 3 == 0
              ? new AuditEntry.Draft(ChangeKind.EVACUATION_BEGUN, "z")
              : new AuditEntry.Draft(ChangeKind.CONFIGURATION, "")
                  .version(sequence * 10L, 0)
                  .contentDigest(new byte[] {(byte) sequence});
      entries.add(draft.encode(sequence, digest));
      digest = AuditEntry.digest(entries.get(sequence - 1));
      assertEquals(log.offer(entries.get(sequence - 1)), AuditLog.Outcome.APPENDED);
    }
    assertEquals(log.entryForVersion(400).sequence, 40);
    assertEquals(log.entryForVersion(400).contentDigest, new byte[] {40});
    assertNull(log.entryForVersion(300));
    assertNull(log.entryForVersion(401));
    assertEquals(
        log.offer(
            new AuditEntry.Draft(ChangeKind.RETENTION, "")
                .trimThrough(40, AuditEntry.digest(entries.get(39)))
                .encode(61, digest)),
        AuditLog.Outcome.APPENDED);
    assertNull(log.entryForVersion(400));
    assertEquals(log.entryForVersion(410).sequence, 41);
    log.reset(100, "other");
    assertNull(log.entryForVersion(410));
  }
}
