package weldpoint.registry;

import java.nio.charset.StandardCharsets;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import weldpoint.audit.AuditEntry;
import weldpoint.audit.ChangeKind;
import weldpoint.common.WeldpointException;
import weldpoint.statestore.StoreOperation;
import weldpoint.statestore.StoredValues;
import weldpoint.transport.Protocol;
import weldpoint.transport.Serializer;

/**
 * Reads the history of routing changes from the replica on this machine. It is complete only if a
 * majority confirmed, after the question came, how far the history reaches, and the replica has all
 * of that.
 */
final class HistoryReader {
  private static final long HEAD_MILLIS = 900;
  private static final long CATCH_UP_MILLIS = 1200;
  private static final long AGAIN_MILLIS = 80;
  private static final long LOCAL_MILLIS = 600;
  private static final int MOST = 500;
  private static final long UNHEARD_MILLIS = 4000;

  private static final class PendingRead {
    final ControlApi.HistoryQuery query;
    final Range range;
    final long cutoff;
    final CompletableFuture<ControlApi.HistoryResponse> future = new CompletableFuture<>();
    boolean headKnown;
    long through;
    String digest = "";
    long againAt;
    boolean out;

    PendingRead(final ControlApi.HistoryQuery query, final Range range, final long cutoff) {
      this.query = query;
      this.range = range;
      this.cutoff = cutoff;
    }
  }

  /** The checked range of a question. */
  record Range(long from, long to, long since, long until, int most) {
    static Range of(final ControlApi.HistoryQuery query, final long wall) {
      final long from = query.from() == null ? 0 : query.from();
      final long to = query.to() == null ? Long.MAX_VALUE : query.to();
      if (from < 0 || to < 1) {
        throw bad("from and to count entries from 1");
      }
      if (from > to) {
        throw bad(
            "the range is reversed: from " + from + " is after to " + to + "; exchange the two");
      }
      final long since = time("since", query.since(), Long.MIN_VALUE);
      final long until = time("until", query.until(), Long.MAX_VALUE);
      if (since > until) {
        throw bad(
            "the range is reversed: since "
                + query.since()
                + " is after until "
                + query.until()
                + "; exchange the two");
      }
      if (since > wall) {
        throw bad("since " + query.since() + " lies in the future; give a time that has passed");
      }
      final long most = query.most() == null ? MOST : query.most();
      if (most < 1) {
        throw bad("most is " + most + "; ask for at least one entry");
      }
      return new Range(from, to, since, until, (int) Math.min(MOST, most));
    }

    private static long time(final String name, final String text, final long fallback) {
      if (text == null || text.isEmpty()) {
        return fallback;
      }
      try {
        return Instant.parse(text).toEpochMilli();
      } catch (final DateTimeException problem) {
        throw bad(name + " is '" + text + "'; write it as 2026-01-31T08:00:00Z");
      }
    }

    private static WeldpointException bad(final String message) {
      return new WeldpointException(WeldpointException.Kind.INVALID, message);
    }
  }

  private final String self;
  private final StoreClient store;
  private final List<PendingRead> readings = new ArrayList<>();

  HistoryReader(final String self, final StoreClient store) {
    this.self = self;
    this.store = store;
  }

  /** Answers a question about the history. */
  CompletableFuture<ControlApi.HistoryResponse> read(
      final ControlApi.HistoryQuery query, final long wall, final long now) {
    final PendingRead reading =
        new PendingRead(query, Range.of(query, wall), now + HEAD_MILLIS + CATCH_UP_MILLIS);
    store
        .call(StoreOperation.HISTORY_HEAD, "", null, 0, 0, null, null, now, HEAD_MILLIS)
        .whenComplete(
            (answer, problem) -> {
              if (problem == null && answer.status == 200) {
                reading.headKnown = true;
                reading.through = answer.first;
                reading.digest =
                    answer.body == null ? "" : new String(answer.body, StandardCharsets.UTF_8);
              }
              reading.againAt = Long.MIN_VALUE;
              readings.add(reading);
              look(reading, now);
            });
    return reading.future;
  }

  /** Time has passed. */
  void tick(final long now) {
    for (final PendingRead reading : new ArrayList<>(readings)) {
      if (!reading.out && now >= reading.againAt) {
        look(reading, now);
      }
    }
  }

  private void look(final PendingRead reading, final long now) {
    reading.out = true;
    store
        .here(
            StoreOperation.HISTORY_READ,
            Math.max(1, reading.range.from()),
            reading.range.most(),
            now,
            LOCAL_MILLIS)
        .whenComplete(
            (answer, problem) -> {
              reading.out = false;
              final StoredValues.HistoryPart part =
                  problem == null && answer.status == 200
                      ? Serializer.deserialize(answer.body, StoredValues.HistoryPart.class)
                      : null;
              final boolean whole =
                  part != null && reading.headKnown && !part.blank && part.last >= reading.through;
              if (!whole && reading.headKnown && now < reading.cutoff) {
                reading.againAt = now + AGAIN_MILLIS;
                return;
              }
              readings.remove(reading);
              try {
                reading.future.complete(
                    answer(
                        self,
                        reading.range,
                        reading.query,
                        part,
                        reading.headKnown,
                        reading.through,
                        reading.digest));
              } catch (final WeldpointException exception) {
                reading.future.completeExceptionally(exception);
              }
            });
  }

  /**
   * What a replica's part of the history is worth, given how far a majority says that it reaches.
   */
  static ControlApi.HistoryResponse answer(
      final String replica,
      final Range range,
      final ControlApi.HistoryQuery query,
      final StoredValues.HistoryPart part,
      final boolean headKnown,
      final long head,
      final String headDigest) {
    if (part == null) {
      return new ControlApi.HistoryResponse(
          false,
          "the replica " + replica + " does not answer; ask another one",
          0,
          0,
          "",
          0,
          List.of());
    }
    String problem = null;
    long through = headKnown ? Math.min(head, part.last) : part.last;
    if (!headKnown) {
      problem =
          "no majority confirmed how far the history reaches; the replica "
              + replica
              + " knows it up to entry "
              + part.last
              + ", ask again when the core has its majority";
    } else if (part.blank || part.last < head) {
      problem =
          "the replica "
              + replica
              + " knows the history up to entry "
              + part.last
              + " of "
              + head
              + "; ask again shortly, or another replica";
    } else if (part.conflicts > 0) {
      problem =
          "the replica "
              + replica
              + " has met "
              + part.conflicts
              + " entries that differ from its own; compare it with the others";
    } else if (part.last == head && !headDigest.equals(part.digest)) {
      problem =
          "the replica "
              + replica
              + " has another entry "
              + head
              + " than the one decided; compare it with the others";
    }
    if (range.from() > 0 && range.from() <= part.base) {
      throw new WeldpointException(
          WeldpointException.Kind.INVALID,
          "entries up to " + part.base + " were trimmed; ask from " + (part.base + 1));
    }
    if (range.from() > through && range.from() > 1 && problem == null) {
      throw new WeldpointException(
          WeldpointException.Kind.INVALID,
          "entry " + range.from() + " lies in the future; the last decided one is " + through);
    }
    final List<ControlApi.HistoryEntry> entries = new ArrayList<>();
    final long last = Math.min(range.to(), through);
    long sequence = part.from;
    String digestThrough = headKnown ? headDigest : part.digest;
    for (final byte[] bytes : Protocol.list(part.entries)) {
      if (sequence > last) {
        break;
      }
      final AuditEntry entry = AuditEntry.read(bytes);
      if (matches(entry, range, query)) {
        entries.add(json(entry, bytes));
      }
      sequence++;
    }
    final boolean more = sequence <= last;
    return new ControlApi.HistoryResponse(
        problem == null,
        problem,
        part.base + 1,
        through,
        digestThrough,
        more ? sequence : 0,
        entries);
  }

  private static boolean matches(
      final AuditEntry entry, final Range range, final ControlApi.HistoryQuery query) {
    if (entry.time < range.since()
        || entry.time > range.until()
        || query.author() != null
            && !query.author().isEmpty()
            && !query.author().equals(entry.author)) {
      return false;
    }
    if (query.route() == null || query.route().isEmpty() || query.route().equals(entry.subject)) {
      return true;
    }
    for (final String change : Protocol.list(entry.changes)) {
      if (change.contains(query.route()) || change.startsWith("and ")) {
        return true;
      }
    }
    return false;
  }

  /** An entry as operators read it. */
  static ControlApi.HistoryEntry json(final AuditEntry entry, final byte[] bytes) {
    return new ControlApi.HistoryEntry(
        entry.sequence,
        entry.kind().label(),
        entry.kind() == ChangeKind.CONFIGURATION || entry.kind() == ChangeKind.UPGRADE
            ? String.format("%08x", entry.version)
            : "",
        entry.subject,
        entry.author,
        entry.caller,
        entry.acceptedBy,
        Instant.ofEpochMilli(entry.time).toString(),
        entry.before,
        entry.after,
        entry.added,
        entry.removed,
        entry.changed,
        entry.changedWriteRoutes,
        Protocol.list(entry.changes),
        AuditEntry.digest(bytes),
        entry.previousDigest);
  }

  /** Which daemons had a change in force. */
  static ControlApi.ReachResponse reach(
      final ControlApi.HistoryResponse found,
      final AuditEntry change,
      final List<AppliedState> daemons,
      final long wall) {
    final List<ControlApi.DaemonReach> list = new ArrayList<>();
    final boolean configuration = change.kind() == ChangeKind.CONFIGURATION;
    final boolean routing =
        configuration
            || change.kind() == ChangeKind.EVACUATION_BEGUN
            || change.kind() == ChangeKind.EVACUATION_FINISHED
            || change.kind() == ChangeKind.TRIAL;
    for (final AppliedState one : daemons) {
      final long held = configuration ? one.version() : one.mark();
      final long wanted = configuration ? change.version : change.mark;
      final String heard =
          one.ageMillis() == Long.MAX_VALUE
              ? "never heard of here"
              : "heard of " + one.ageMillis() + " ms ago";
      if (!routing) {
        list.add(
            new ControlApi.DaemonReach(
                one.address(), one.program(), "IN_FORCE", "", "changes no routing"));
      } else if (one.ageMillis() > UNHEARD_MILLIS) {
        list.add(
            new ControlApi.DaemonReach(
                one.address(),
                one.program(),
                "UNHEARD",
                "",
                heard
                    + (held >= wanted && held > 0
                        ? ", had it in force then"
                        : ", not known whether it has it in force")));
      } else if (held < wanted) {
        list.add(new ControlApi.DaemonReach(one.address(), one.program(), "NOT_YET", "", heard));
      } else {
        final String since =
            Instant.ofEpochMilli(wall - one.ageMillis() - one.heldMillis()).toString();
        list.add(
            new ControlApi.DaemonReach(
                one.address(),
                one.program(),
                "IN_FORCE",
                since,
                held == wanted
                    ? heard
                    : heard + "; a later change is in force since then, this one was before"));
      }
    }
    list.sort(
        java.util.Comparator.comparing(ControlApi.DaemonReach::program)
            .thenComparing(ControlApi.DaemonReach::address));
    return new ControlApi.ReachResponse(
        found.complete(),
        found.problem(),
        found.entries().isEmpty() ? null : found.entries().get(0),
        list);
  }

  /** Answers which daemons had the change of this number in force. */
  CompletableFuture<ControlApi.ReachResponse> reach(
      final long sequence, final List<AppliedState> daemons, final long wall, final long now) {
    if (sequence < 1) {
      throw new WeldpointException(
          WeldpointException.Kind.INVALID, "changes are counted from 1; name one of the history");
    }
    return read(
            new ControlApi.HistoryQuery(sequence, sequence, null, null, null, null, 1L), wall, now)
        .thenCompose(
            found -> {
              if (found.entries().isEmpty()) {
                throw new WeldpointException(
                    WeldpointException.Kind.OUT_OF_REACH,
                    "change " + sequence + " is not known here: " + found.problem());
              }
              return store
                  .here(StoreOperation.HISTORY_READ, sequence, 1, now, LOCAL_MILLIS)
                  .thenApply(
                      answer ->
                          reach(
                              found,
                              AuditEntry.read(
                                  Protocol.list(
                                          Serializer.deserialize(
                                                  answer.body, StoredValues.HistoryPart.class)
                                              .entries)
                                      .get(0)),
                              daemons,
                              wall));
            });
  }
}
