package weldpoint.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import weldpoint.audit.AuditEntry;
import weldpoint.audit.ChangeKind;
import weldpoint.common.WeldpointException;
import weldpoint.statestore.StoreOperation;
import weldpoint.statestore.StoredValues;
import weldpoint.transport.Serializer;
import weldpoint.transport.StoreMessages;

/**
 * Reads of the history at one replica are complete only if a majority confirmed how far the history
 * reaches and the replica has all entries up to there.
 */
public final class HistoryReaderTest {
  private static final long WALL_MILLIS = 1_800_000_000_000L;

  private static List<byte[]> chain(final int count) {
    final List<byte[]> entries = new ArrayList<>();
    String digest = AuditEntry.NO_DIGEST;
    for (int sequence = 1; sequence <= count; sequence++) {
      final byte[] bytes =
          new AuditEntry.Draft(ChangeKind.EVACUATION_BEGUN, "zone-" + sequence % 3)
              .version(0, sequence)
              .origin(
                  sequence % 2 == 0 ? "even" : "odd",
                  "",
                  "",
                  WALL_MILLIS - 1000 * (count - sequence))
              .encode(sequence, digest);
      digest = AuditEntry.digest(bytes);
      entries.add(bytes);
    }
    return entries;
  }

  private static StoredValues.HistoryPart part(
      final List<byte[]> all,
      final long base,
      final long last,
      final long from,
      final boolean blank) {
    return new StoredValues.HistoryPart(
        base,
        last,
        last == 0 ? "" : AuditEntry.digest(all.get((int) last - 1)),
        0,
        blank,
        from,
        all.subList((int) from - 1, (int) last));
  }

  private static ControlApi.HistoryQuery query(
      final Long from, final Long to, final String since, final String until, final String author) {
    return new ControlApi.HistoryQuery(from, to, since, until, null, author, null);
  }

  private static ControlApi.HistoryResponse toResponse(
      final ControlApi.HistoryQuery query,
      final StoredValues.HistoryPart part,
      final boolean known,
      final long head,
      final List<byte[]> all) {
    return HistoryReader.toResponse(
        "10.0.0.1",
        HistoryReader.Range.of(query, WALL_MILLIS),
        query,
        part,
        known,
        head,
        head == 0 ? "" : AuditEntry.digest(all.get((int) head - 1)));
  }

  @Test
  public void sameRangeGivesSameBytesFromAnyReplica() {
    final List<byte[]> all = chain(9);
    final ControlApi.HistoryQuery query = query(null, null, null, null, null);
    final String ahead =
        ControlApi.HISTORY_RESPONSE.toJson(
            toResponse(query, part(all, 0, 9, 1, false), true, 7, all));
    final String exact =
        ControlApi.HISTORY_RESPONSE.toJson(
            toResponse(query, part(all, 0, 7, 1, false), true, 7, all));
    assertEquals(ahead, exact);
    assertTrue(toResponse(query, part(all, 0, 7, 1, false), true, 7, all).complete());
  }

  @Test
  public void wipedLaggingOrIsolatedReplicaIsNeverComplete() {
    final List<byte[]> all = chain(9);
    final ControlApi.HistoryQuery query = query(null, null, null, null, null);
    final ControlApi.HistoryResponse wiped =
        toResponse(query, part(all, 0, 0, 1, true), true, 9, all);
    assertFalse(wiped.complete());
    assertTrue(wiped.problem().contains("up to entry 0 of 9"), wiped.problem());
    final ControlApi.HistoryResponse behind =
        toResponse(query, part(all, 0, 5, 1, false), true, 9, all);
    assertFalse(behind.complete());
    assertTrue(behind.problem().contains("up to entry 5 of 9"), behind.problem());
    final ControlApi.HistoryResponse alone =
        toResponse(query, part(all, 0, 9, 1, false), false, 0, all);
    assertFalse(alone.complete());
    assertTrue(alone.problem().contains("up to entry 9"), alone.problem());
    assertFalse(
        HistoryReader.toResponse(
                "10.0.0.1",
                HistoryReader.Range.of(query, WALL_MILLIS),
                query,
                part(all, 0, 9, 1, false),
                true,
                9,
                "another")
            .complete());
    assertFalse(
        HistoryReader.toResponse(
                "10.0.0.1", HistoryReader.Range.of(query, WALL_MILLIS), query, null, true, 9, "x")
            .complete());
  }

  @DataProvider
  public Object[][] badRanges() {
    return new Object[][] {
      {query(5L, 2L, null, null, null), "reversed"},
      {query(-1L, 2L, null, null, null), "numbered from 1"},
      {query(null, null, "2026-02-01T00:00:00Z", "2026-01-01T00:00:00Z", null), "reversed"},
      {query(null, null, "yesterday", null, null), "write it as"},
      {query(null, null, "2090-01-01T00:00:00Z", null, null), "future"},
      {query(12L, null, null, null, null), "future"},
      {query(3L, null, null, null, null), "trimmed"}
    };
  }

  @Test(dataProvider = "badRanges")
  public void trimmedReversedOrFutureRangeIsRefused(
      final ControlApi.HistoryQuery query, final String reason) {
    final List<byte[]> all = chain(9);
    final WeldpointException exception =
        expectThrows(
            WeldpointException.class,
            () -> toResponse(query, part(all, 4, 9, 5, false), true, 9, all));
    assertEquals(exception.kind().status(), 400);
    assertTrue(exception.getMessage().contains(reason), exception.getMessage());
  }

  @Test
  public void authorTimeAndPageLimitEntries() {
    final List<byte[]> all = chain(9);
    assertEquals(
        toResponse(query(null, null, null, null, "even"), part(all, 0, 9, 1, false), true, 9, all)
            .entries()
            .size(),
        4);
    assertEquals(
        toResponse(
                query(
                    null,
                    null,
                    java.time.Instant.ofEpochMilli(WALL_MILLIS - 2000).toString(),
                    null,
                    null),
                part(all, 0, 9, 1, false),
                true,
                9,
                all)
            .entries()
            .size(),
        3);
    final ControlApi.HistoryResponse page =
        toResponse(
            query(2L, 8L, null, null, null),
            new StoredValues.HistoryPart(0, 9, "", 0, false, 2, all.subList(1, 4)),
            true,
            9,
            all);
    assertEquals(page.entries().size(), 3);
    assertEquals(page.next(), 5);
  }

  private static final class RecordingStore {
    private final List<StoreMessages.StoreRequest> heads = new ArrayList<>();
    private final List<StoreMessages.StoreRequest> reads = new ArrayList<>();
    private final StoreClient store =
        new StoreClient(
            "10.0.0.1",
            new Random(1),
            (to, call) -> {
              (StoreOperation.of(call.operation) == StoreOperation.HISTORY_HEAD ? heads : reads)
                  .add(call);
              return true;
            });
  }

  @Test
  public void laggingReplicaIsReadAgainUntilItHasCaughtUp() {
    final List<byte[]> all = chain(6);
    final RecordingStore replica = new RecordingStore();
    final HistoryReader reader = new HistoryReader("10.0.0.1", replica.store);
    final CompletableFuture<ControlApi.HistoryResponse> future =
        reader.read(query(null, null, null, null, null), WALL_MILLIS, 1000);
    assertEquals(replica.reads.size(), 0);
    replica.store.onResponse(
        "10.0.0.1",
        new StoreMessages.StoreResponse(
                replica.heads.get(0).number,
                200,
                6,
                AuditEntry.digest(all.get(5)).getBytes(StandardCharsets.UTF_8),
                null)
            .withCaller(replica.heads.get(0).callerIncarnation),
        1010);
    replica.store.onResponse(
        "10.0.0.1",
        new StoreMessages.StoreResponse(
                replica.reads.get(0).number,
                200,
                4,
                Serializer.serialize(part(all, 0, 4, 1, false)),
                null)
            .withCaller(replica.reads.get(0).callerIncarnation),
        1020);
    assertFalse(future.isDone());
    reader.tick(1200);
    replica.store.onResponse(
        "10.0.0.1",
        new StoreMessages.StoreResponse(
                replica.reads.get(1).number,
                200,
                6,
                Serializer.serialize(part(all, 0, 6, 1, false)),
                null)
            .withCaller(replica.reads.get(1).callerIncarnation),
        1210);
    assertTrue(future.join().complete());
    assertEquals(future.join().entries().size(), 6);
  }

  @Test
  public void daemonWithoutRecentReportIsUnheard() {
    final byte[] bytes =
        new AuditEntry.Draft(ChangeKind.CONFIGURATION, "")
            .version(8, 0)
            .origin("me", "", "", WALL_MILLIS)
            .encode(1, "");
    final ControlApi.HistoryResponse found =
        new ControlApi.HistoryResponse(
            true,
            null,
            1,
            1,
            "",
            0,
            List.of(HistoryReader.toHistoryEntry(AuditEntry.read(bytes), bytes)));
    final ControlApi.ReachResponse reach =
        HistoryReader.reach(
            found,
            AuditEntry.read(bytes),
            List.of(
                new AppliedState("10.0.0.2", "switchboard", 8, 0, 500, 100),
                new AppliedState("10.0.0.3", "switchboard", 7, 0, 9000, 100),
                new AppliedState("10.0.0.4", "switchboard", 9, 0, 500, 20_000),
                new AppliedState("10.0.0.5", "exchange", 0, 0, 0, Long.MAX_VALUE),
                new AppliedState("10.0.0.6", "switchboard", 9, 0, 50, 10)),
            WALL_MILLIS);
    assertEquals(
        reach.daemons().stream().map(ControlApi.DaemonReach::state).toList(),
        List.of("UNHEARD", "IN_FORCE", "NOT_YET", "UNHEARD", "IN_FORCE"));
    assertEquals(
        reach.daemons().get(1).since(),
        java.time.Instant.ofEpochMilli(WALL_MILLIS - 600).toString());
    assertTrue(reach.daemons().get(4).note().contains("a later change"));
  }
}
