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
 * Reads the history of routing changes from the state store replica on this machine. A response is
 * complete only if a majority confirmed, after the request arrived, how far the history reaches,
 * and the replica has all entries up to there. Used by {@link RegistryCore} on the control thread.
 */
final class HistoryReader {
  private static final long HEAD_TIMEOUT_MILLIS = 900;
  private static final long CATCH_UP_TIMEOUT_MILLIS = 1200;
  private static final long RETRY_DELAY_MILLIS = 80;
  private static final long LOCAL_READ_TIMEOUT_MILLIS = 600;
  private static final int MAX_ENTRIES = 500;
  private static final long UNHEARD_MILLIS = 4000;

  private static final class PendingRead {
    final ControlApi.HistoryQuery query;
    final Range range;
    final long deadline;
    final CompletableFuture<ControlApi.HistoryResponse> future = new CompletableFuture<>();
    boolean headKnown;
    long through;
    String digest = "";
    long retryAt;
    boolean inFlight;

    PendingRead(final ControlApi.HistoryQuery query, final Range range, final long deadline) {
      this.query = query;
      this.range = range;
      this.deadline = deadline;
    }
  }

  /** The validated range of a query. */
  record Range(long from, long to, long since, long until, int limit) {
    static Range of(final ControlApi.HistoryQuery query, final long wallMillis) {
      final long from = query.from() == null ? 0 : query.from();
      final long to = query.to() == null ? Long.MAX_VALUE : query.to();
      if (from < 0 || to < 1) {
        throw invalid("entries are numbered from 1; give from and to accordingly");
      }
      if (from > to) {
        throw invalid(
            "the range is reversed: from " + from + " is after to " + to + "; swap the two");
      }
      final long since = time("since", query.since(), Long.MIN_VALUE);
      final long until = time("until", query.until(), Long.MAX_VALUE);
      if (since > until) {
        throw invalid(
            "the range is reversed: since "
                + query.since()
                + " is after until "
                + query.until()
                + "; swap the two");
      }
      if (since > wallMillis) {
        throw invalid("since " + query.since() + " is in the future; give a time in the past");
      }
      final long limit = query.most() == null ? MAX_ENTRIES : query.most();
      if (limit < 1) {
        throw invalid("most is " + limit + "; ask for at least one entry");
      }
      return new Range(from, to, since, until, (int) Math.min(MAX_ENTRIES, limit));
    }

    private static long time(final String name, final String text, final long fallback) {
      if (text == null || text.isEmpty()) {
        return fallback;
      }
      try {
        return Instant.parse(text).toEpochMilli();
      } catch (final DateTimeException problem) {
        throw invalid(name + " is '" + text + "'; write it as 2026-01-31T08:00:00Z");
      }
    }

    private static WeldpointException invalid(final String message) {
      return new WeldpointException(WeldpointException.Kind.INVALID, message);
    }
  }

  private final String self;
  private final StoreClient store;
  private final List<PendingRead> pendingReads = new ArrayList<>();

  HistoryReader(final String self, final StoreClient store) {
    this.self = self;
    this.store = store;
  }

  /**
   * Reads entries of the history.
   *
   * @param wallMillis the wall clock, in milliseconds
   * @param now the monotonic clock, in milliseconds
   */
  CompletableFuture<ControlApi.HistoryResponse> read(
      final ControlApi.HistoryQuery query, final long wallMillis, final long now) {
    final PendingRead pending =
        new PendingRead(
            query,
            Range.of(query, wallMillis),
            now + HEAD_TIMEOUT_MILLIS + CATCH_UP_TIMEOUT_MILLIS);
    store
        .call(StoreOperation.HISTORY_HEAD, "", null, 0, 0, null, null, now, HEAD_TIMEOUT_MILLIS)
        .whenComplete(
            (response, problem) -> {
              if (problem == null && response.status == 200) {
                pending.headKnown = true;
                pending.through = response.first;
                pending.digest =
                    response.body == null ? "" : new String(response.body, StandardCharsets.UTF_8);
              }
              pending.retryAt = Long.MIN_VALUE;
              pendingReads.add(pending);
              readLocalReplica(pending, now);
            });
    return pending.future;
  }

  /** Retries reads for which the local replica was behind. */
  void tick(final long now) {
    for (final PendingRead pending : new ArrayList<>(pendingReads)) {
      if (!pending.inFlight && now >= pending.retryAt) {
        readLocalReplica(pending, now);
      }
    }
  }

  private void readLocalReplica(final PendingRead pending, final long now) {
    pending.inFlight = true;
    store
        .callLocalReplica(
            StoreOperation.HISTORY_READ,
            Math.max(1, pending.range.from()),
            pending.range.limit(),
            now,
            LOCAL_READ_TIMEOUT_MILLIS)
        .whenComplete(
            (response, problem) -> {
              pending.inFlight = false;
              final StoredValues.HistoryPart part =
                  problem == null && response.status == 200
                      ? Serializer.deserialize(response.body, StoredValues.HistoryPart.class)
                      : null;
              final boolean complete =
                  part != null
                      && pending.headKnown
                      && !part.recovering
                      && part.last >= pending.through;
              if (!complete && pending.headKnown && now < pending.deadline) {
                pending.retryAt = now + RETRY_DELAY_MILLIS;
                return;
              }
              pendingReads.remove(pending);
              try {
                pending.future.complete(
                    toResponse(
                        self,
                        pending.range,
                        pending.query,
                        part,
                        pending.headKnown,
                        pending.through,
                        pending.digest));
              } catch (final WeldpointException exception) {
                pending.future.completeExceptionally(exception);
              }
            });
  }

  /**
   * Builds the response from a replica's part of the history, given how far the history reaches
   * according to a majority (if {@code headKnown}).
   */
  static ControlApi.HistoryResponse toResponse(
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
          "the replica " + replica + " does not respond; ask another one",
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
          "no majority confirmed the length of the history; the replica "
              + replica
              + " has it up to entry "
              + part.last
              + ", ask again once a majority of the registries is reachable";
    } else if (part.recovering || part.last < head) {
      problem =
          "the replica "
              + replica
              + " has the history up to entry "
              + part.last
              + " of "
              + head
              + "; ask again shortly, or another replica";
    } else if (part.conflicts > 0) {
      problem =
          "the replica "
              + replica
              + " has received "
              + part.conflicts
              + " entries that conflict with its own; compare it with the other replicas";
    } else if (part.last == head && !headDigest.equals(part.digest)) {
      problem =
          "the replica "
              + replica
              + " has an entry "
              + head
              + " that differs from the decided one; compare it with the other replicas";
    }
    if (range.from() > 0 && range.from() <= part.base) {
      throw new WeldpointException(
          WeldpointException.Kind.INVALID,
          "entries up to " + part.base + " were trimmed; read from entry " + (part.base + 1));
    }
    if (range.from() > through && range.from() > 1 && problem == null) {
      throw new WeldpointException(
          WeldpointException.Kind.INVALID,
          "entry " + range.from() + " is in the future; the last decided one is " + through);
    }
    final List<ControlApi.HistoryEntry> entries = new ArrayList<>();
    final long last = Math.min(range.to(), through);
    long sequence = part.from;
    String digestThrough = headKnown ? headDigest : part.digest;
    for (final byte[] bytes : Protocol.emptyIfNull(part.entries)) {
      if (sequence > last) {
        break;
      }
      final AuditEntry entry = AuditEntry.read(bytes);
      if (matches(entry, range, query)) {
        entries.add(toHistoryEntry(entry, bytes));
      }
      sequence++;
    }
    final boolean truncated = sequence <= last;
    return new ControlApi.HistoryResponse(
        problem == null,
        problem,
        part.base + 1,
        through,
        digestThrough,
        truncated ? sequence : 0,
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
    for (final String change : Protocol.emptyIfNull(entry.changes)) {
      if (change.contains(query.route()) || change.startsWith("and ")) {
        return true;
      }
    }
    return false;
  }

  /** Converts an entry to its JSON form. */
  static ControlApi.HistoryEntry toHistoryEntry(final AuditEntry entry, final byte[] bytes) {
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
        Protocol.emptyIfNull(entry.changes),
        AuditEntry.digest(bytes),
        entry.previousDigest);
  }

  /** Returns which daemons have applied a change, from their last reports. */
  static ControlApi.ReachResponse reach(
      final ControlApi.HistoryResponse found,
      final AuditEntry change,
      final List<AppliedState> daemons,
      final long wallMillis) {
    final List<ControlApi.DaemonReach> list = new ArrayList<>();
    final boolean configuration = change.kind() == ChangeKind.CONFIGURATION;
    final boolean routing =
        configuration
            || change.kind() == ChangeKind.EVACUATION_BEGUN
            || change.kind() == ChangeKind.EVACUATION_FINISHED
            || change.kind() == ChangeKind.TRIAL;
    for (final AppliedState daemon : daemons) {
      final long applied = configuration ? daemon.version() : daemon.orderVersion();
      final long required = configuration ? change.version : change.mark;
      final String lastHeard =
          daemon.ageMillis() == Long.MAX_VALUE
              ? "never heard from"
              : "last heard " + daemon.ageMillis() + " ms ago";
      if (!routing) {
        list.add(
            new ControlApi.DaemonReach(
                daemon.address(), daemon.program(), "IN_FORCE", "", "does not change routing"));
      } else if (daemon.ageMillis() > UNHEARD_MILLIS) {
        list.add(
            new ControlApi.DaemonReach(
                daemon.address(),
                daemon.program(),
                "UNHEARD",
                "",
                lastHeard
                    + (applied >= required && applied > 0
                        ? ", it was in force then"
                        : ", unknown whether it is in force")));
      } else if (applied < required) {
        list.add(
            new ControlApi.DaemonReach(
                daemon.address(), daemon.program(), "NOT_YET", "", lastHeard));
      } else {
        final String since =
            Instant.ofEpochMilli(wallMillis - daemon.ageMillis() - daemon.appliedMillis())
                .toString();
        list.add(
            new ControlApi.DaemonReach(
                daemon.address(),
                daemon.program(),
                "IN_FORCE",
                since,
                applied == required
                    ? lastHeard
                    : lastHeard
                        + "; a later change has been in force since then, this one was before"));
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

  /** Returns which daemons have applied the change with this number. */
  CompletableFuture<ControlApi.ReachResponse> reach(
      final long sequence,
      final List<AppliedState> daemons,
      final long wallMillis,
      final long now) {
    if (sequence < 1) {
      throw new WeldpointException(
          WeldpointException.Kind.INVALID,
          "changes are numbered from 1; give the number of a history entry");
    }
    return read(
            new ControlApi.HistoryQuery(sequence, sequence, null, null, null, null, 1L),
            wallMillis,
            now)
        .thenCompose(
            found -> {
              if (found.entries().isEmpty()) {
                throw new WeldpointException(
                    WeldpointException.Kind.OUT_OF_REACH,
                    "change " + sequence + " is not available here: " + found.problem());
              }
              return store
                  .callLocalReplica(
                      StoreOperation.HISTORY_READ, sequence, 1, now, LOCAL_READ_TIMEOUT_MILLIS)
                  .thenApply(
                      response ->
                          reach(
                              found,
                              AuditEntry.read(
                                  Protocol.emptyIfNull(
                                          Serializer.deserialize(
                                                  response.body, StoredValues.HistoryPart.class)
                                              .entries)
                                      .get(0)),
                              daemons,
                              wallMillis));
            });
  }
}
