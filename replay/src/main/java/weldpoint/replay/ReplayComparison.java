package weldpoint.replay;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import weldpoint.routing.RouteKind;

/**
 * The result of a replay: each write for which something would change, and totals by route for all
 * other calls. Filled in by {@link Replay}, printed by the command {@code weldpoint replay}.
 */
public final class ReplayComparison {
  /** How the proposed configuration would change a call; the names appear in the report. */
  public enum Change {
    /** Another service or region would serve it. */
    ELSEWHERE(false),
    /** Its response would take longer, by more than the model's error. */
    LONGER(true),
    /** It would be sent to more upstreams than before. */
    SENT_TWICE(true),
    /** More upstreams than before, and more than one, would execute it. */
    RUN_TWICE(true),
    /** Its response would be lost; an upstream may have executed it. */
    LOST(true),
    /** It would be refused without being executed. */
    REFUSED(true),
    /** No route would match it. */
    UNROUTED(true);

    private final boolean harms;

    Change(final boolean harms) {
      this.harms = harms;
    }

    /** Returns whether this change harms a write. */
    public boolean harms() {
      return harms;
    }
  }

  /** One write with its changes; times in milliseconds. */
  public record ChangedWrite(
      String attemptId,
      String proxy,
      String route,
      long at,
      List<Change> changes,
      String baselineOutcome,
      String proposedOutcome,
      long baselineMillis,
      long proposedMillis) {}

  /** Totals of the calls of one route and kind, other than writes; times in milliseconds. */
  public static final class RouteTotals {
    long calls;
    long longer;
    long refused;
    long elsewhere;
    long lost;
    long baselineMillis;
    long proposedMillis;
  }

  private final Map<String, Long> modelErrors;
  private final long clockErrorMillis;
  private final List<ChangedWrite> changedWrites = new ArrayList<>();
  private final Map<Change, Long> writeCounts = new TreeMap<>();
  private final Map<String, RouteTotals> totalsByRoute = new TreeMap<>();
  private long writes;
  private long writesRunOnce;
  private long others;
  private long writesHarmed;
  private long writesNotListed;
  private long othersUnrouted;

  ReplayComparison(final Map<String, Long> modelErrors, final long clockErrorMillis) {
    this.modelErrors = modelErrors;
    this.clockErrorMillis = clockErrorMillis;
  }

  private static List<Change> changes(
      final CallOutcome baseline, final CallOutcome proposed, final long modelErrorMillis) {
    final List<Change> changes = new ArrayList<>(2);
    if (proposed.end == CallOutcome.End.UNROUTED && baseline.end != CallOutcome.End.UNROUTED) {
      changes.add(Change.UNROUTED);
    } else if (proposed.end == CallOutcome.End.REFUSED && baseline.end != CallOutcome.End.REFUSED) {
      changes.add(Change.REFUSED);
    } else if (proposed.end == CallOutcome.End.LOST && baseline.end != CallOutcome.End.LOST) {
      changes.add(Change.LOST);
    } else if (baseline.end == CallOutcome.End.SERVED
        && proposed.end == CallOutcome.End.SERVED
        && proposed.totalMillis > baseline.totalMillis + modelErrorMillis) {
      changes.add(Change.LONGER);
    }
    if (proposed.attemptCount > Math.max(1, baseline.attemptCount)) {
      changes.add(Change.SENT_TWICE);
    }
    if (proposed.executionCount > Math.max(1, baseline.executionCount)) {
      changes.add(Change.RUN_TWICE);
    }
    if (baseline.service != null
        && proposed.service != null
        && (!baseline.service.equals(proposed.service)
            || !baseline.region.equals(proposed.region) && baseline.end == proposed.end)) {
      changes.add(Change.ELSEWHERE);
    }
    return changes;
  }

  void add(
      final RecordedCall call,
      final CallOutcome baseline,
      final CallOutcome proposed,
      final long modelErrorMillis,
      final int maxListed) {
    final List<Change> changes = changes(baseline, proposed, modelErrorMillis);
    if (!call.isWrite()) {
      others++;
      final RouteTotals totals =
          totalsByRoute.computeIfAbsent(
              call.request.route
                  + " ("
                  + RouteKind.values()[call.request.routeKind]
                      .name()
                      .toLowerCase(java.util.Locale.ROOT)
                  + ")",
              name -> new RouteTotals());
      totals.calls++;
      totals.baselineMillis += baseline.totalMillis;
      totals.proposedMillis += proposed.totalMillis;
      totals.longer += changes.contains(Change.LONGER) ? 1 : 0;
      totals.refused += changes.contains(Change.REFUSED) ? 1 : 0;
      othersUnrouted += changes.contains(Change.UNROUTED) ? 1 : 0;
      totals.lost += changes.contains(Change.LOST) ? 1 : 0;
      totals.elsewhere += changes.contains(Change.ELSEWHERE) ? 1 : 0;
      return;
    }
    writes++;
    writesRunOnce += proposed.executionCount == 1 ? 1 : 0;
    if (changes.isEmpty()) {
      return;
    }
    boolean harms = false;
    for (final Change change : changes) {
      writeCounts.merge(change, 1L, Long::sum);
      harms |= change.harms();
    }
    writesHarmed += harms ? 1 : 0;
    if (changedWrites.size() < maxListed) {
      changedWrites.add(
          new ChangedWrite(
              call.request.id,
              call.proxy,
              call.request.route,
              call.at,
              changes,
              baseline.service + " in " + baseline.region + ", " + baseline.end,
              proposed.service + " in " + proposed.region + ", " + proposed.end,
              baseline.totalMillis,
              proposed.totalMillis));
    } else {
      writesNotListed++;
    }
  }

  /**
   * Returns the exit code of the command: 0 if no write is harmed and other calls at most take
   * longer or fail, otherwise 1. A call whose route is gone always gives 1.
   */
  public int exitCode() {
    return writesHarmed == 0 && othersUnrouted == 0 ? 0 : 1;
  }

  /** Returns the writes for which something would change, up to the limit of the list. */
  public List<ChangedWrite> changedWrites() {
    return changedWrites;
  }

  /** Returns the number of writes in the recording, each counted once. */
  public long writes() {
    return writes;
  }

  /** Returns the number of calls other than writes. */
  public long others() {
    return others;
  }

  /** Returns how many of the other calls would take longer, be refused or be lost. */
  public long othersDegraded() {
    return totalsByRoute.values().stream()
        .mapToLong(totals -> totals.longer + totals.refused + totals.lost)
        .sum();
  }

  /** Returns the error of the model by route, in milliseconds. */
  public Map<String, Long> modelErrors() {
    return modelErrors;
  }

  /** Prints the report as text. */
  public void print(final PrintStream out) {
    out.printf(
        "calls %d: writes %d, others %d; clocks of switchboards agree within %d ms%n",
        writes + others, writes, others, clockErrorMillis);
    modelErrors.forEach(
        (route, error) ->
            out.printf("model error of route %s: %d ms (19 of 20 calls)%n", route, error));
    out.printf("writes that exactly one upstream would run: %d of %d%n", writesRunOnce, writes);
    for (final Change change : Change.values()) {
      out.printf(
          "writes %-10s %d%n",
          change.name().toLowerCase(java.util.Locale.ROOT), writeCounts.getOrDefault(change, 0L));
    }
    for (final ChangedWrite write : changedWrites) {
      out.printf(
          "  %s at %s on %s: %s; before %s after %d ms, proposed %s after %d ms%n",
          write.attemptId,
          write.proxy,
          write.route,
          write.changes,
          write.baselineOutcome,
          write.baselineMillis,
          write.proposedOutcome,
          write.proposedMillis);
    }
    if (writesNotListed > 0) {
      out.printf("  and %d more writes%n", writesNotListed);
    }
    totalsByRoute.forEach(
        (route, totals) ->
            out.printf(
                "%s: %d calls, longer %d, refused %d, lost %d, elsewhere %d; mean %d ms before, %d ms proposed%n",
                route,
                totals.calls,
                totals.longer,
                totals.refused,
                totals.lost,
                totals.elsewhere,
                totals.baselineMillis / totals.calls,
                totals.proposedMillis / totals.calls));
    if (othersUnrouted > 0) {
      out.printf(
          "the configuration lacks routes that %d lookups or downloads used; add them, or tell their callers%n",
          othersUnrouted);
    }
    out.println(
        writesHarmed > 0
            ? "verdict: " + writesHarmed + " writes would be harmed"
            : othersDegraded() > 0
                ? "verdict: no write is harmed; only lookups and downloads wait"
                : "verdict: no write is harmed");
  }

  /** Returns the report for output as JSON. */
  public ReportDocument toDocument() {
    final List<ReportDocument.Write> changed = new ArrayList<>();
    for (final ChangedWrite write : changedWrites) {
      final List<String> changeNames = new ArrayList<>();
      write.changes.forEach(change -> changeNames.add(change.name()));
      changed.add(
          new ReportDocument.Write(
              write.attemptId,
              write.proxy,
              write.route,
              write.at,
              changeNames,
              write.baselineOutcome,
              write.proposedOutcome,
              write.baselineMillis,
              write.proposedMillis));
    }
    final List<ReportDocument.Other> otherRoutes = new ArrayList<>();
    totalsByRoute.forEach(
        (route, totals) ->
            otherRoutes.add(
                new ReportDocument.Other(
                    route,
                    totals.calls,
                    totals.longer,
                    totals.refused,
                    totals.lost,
                    totals.elsewhere)));
    return new ReportDocument(
        writes,
        writesRunOnce,
        others,
        writesHarmed,
        writesNotListed,
        othersUnrouted,
        clockErrorMillis,
        modelErrors,
        changed,
        otherRoutes);
  }
}
