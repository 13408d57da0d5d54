package weldpoint.replay;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import weldpoint.routing.RouteKind;

/** What a replay found: writes one by one, other calls in sums. */
public final class ReplayComparison {
  /** What proposed settings would do to a call. */
  public enum Change {
    /** Another service or region would serve it. */
    ELSEWHERE(false),
    /** It would wait longer, by more than the model's error. */
    LONGER(true),
    /** It would be sent to more upstreams than before. */
    SENT_TWICE(true),
    /** More than one upstream would run it. */
    RUN_TWICE(true),
    /** Its answer would be lost. */
    LOST(true),
    /** It would be refused. */
    REFUSED(true),
    /** No route would match it. */
    UNROUTED(true);

    private final boolean harms;

    Change(final boolean harms) {
      this.harms = harms;
    }

    /** Whether a write is harmed by it. */
    public boolean harms() {
      return harms;
    }
  }

  /** One write and what would change for it. */
  public record ChangedWrite(
      String id,
      String board,
      String route,
      long at,
      List<Change> changes,
      String before,
      String after,
      long waitedBefore,
      long waitedAfter) {}

  /** Calls of one route at one switchboard's site, other than writes. */
  public static final class Sum {
    long calls;
    long longer;
    long refused;
    long elsewhere;
    long lost;
    long before;
    long after;
  }

  private final Map<String, Long> errors;
  private final long clockError;
  private final List<ChangedWrite> lines = new ArrayList<>();
  private final Map<Change, Long> writeCounts = new TreeMap<>();
  private final Map<String, Sum> sums = new TreeMap<>();
  private long writes;
  private long writesOnce;
  private long others;
  private long harmed;
  private long unlisted;
  private long unrouted;

  ReplayComparison(final Map<String, Long> errors, final long clockError) {
    this.errors = errors;
    this.clockError = clockError;
  }

  private static List<Change> changes(
      final CallOutcome own, final CallOutcome other, final long error) {
    final List<Change> changes = new ArrayList<>(2);
    if (other.end == CallOutcome.End.UNROUTED && own.end != CallOutcome.End.UNROUTED) {
      changes.add(Change.UNROUTED);
    } else if (other.end == CallOutcome.End.REFUSED && own.end != CallOutcome.End.REFUSED) {
      changes.add(Change.REFUSED);
    } else if (other.end == CallOutcome.End.LOST && own.end != CallOutcome.End.LOST) {
      changes.add(Change.LOST);
    } else if (own.end == CallOutcome.End.SERVED
        && other.end == CallOutcome.End.SERVED
        && other.total > own.total + error) {
      changes.add(Change.LONGER);
    }
    if (other.sent > Math.max(1, own.sent)) {
      changes.add(Change.SENT_TWICE);
    }
    if (other.ran > Math.max(1, own.ran)) {
      changes.add(Change.RUN_TWICE);
    }
    if (own.service != null
        && other.service != null
        && (!own.service.equals(other.service)
            || !own.region.equals(other.region) && own.end == other.end)) {
      changes.add(Change.ELSEWHERE);
    }
    return changes;
  }

  void add(
      final RecordedCall call,
      final CallOutcome own,
      final CallOutcome other,
      final long error,
      final int most) {
    final List<Change> changes = changes(own, other, error);
    if (!call.write()) {
      others++;
      final Sum sum =
          sums.computeIfAbsent(
              call.note.route
                  + " ("
                  + RouteKind.values()[call.note.routeKind]
                      .name()
                      .toLowerCase(java.util.Locale.ROOT)
                  + ")",
              name -> new Sum());
      sum.calls++;
      sum.before += own.total;
      sum.after += other.total;
      sum.longer += changes.contains(Change.LONGER) ? 1 : 0;
      sum.refused += changes.contains(Change.REFUSED) ? 1 : 0;
      unrouted += changes.contains(Change.UNROUTED) ? 1 : 0;
      sum.lost += changes.contains(Change.LOST) ? 1 : 0;
      sum.elsewhere += changes.contains(Change.ELSEWHERE) ? 1 : 0;
      return;
    }
    writes++;
    writesOnce += other.ran == 1 ? 1 : 0;
    if (changes.isEmpty()) {
      return;
    }
    boolean harms = false;
    for (final Change change : changes) {
      writeCounts.merge(change, 1L, Long::sum);
      harms |= change.harms();
    }
    harmed += harms ? 1 : 0;
    if (lines.size() < most) {
      lines.add(
          new ChangedWrite(
              call.note.id,
              call.board,
              call.note.route,
              call.at,
              changes,
              own.service + " in " + own.region + ", " + own.end,
              other.service + " in " + other.region + ", " + other.end,
              own.total,
              other.total));
    } else {
      unlisted++;
    }
  }

  /**
   * 0 where nothing once-only is harmed and only what may be repeated waits longer, otherwise 1; a
   * route that was used and is gone is never passed over.
   */
  public int code() {
    return harmed == 0 && unrouted == 0 ? 0 : 1;
  }

  /** The writes for which something would change. */
  public List<ChangedWrite> lines() {
    return lines;
  }

  /** How many writes the day holds, each accounted for once. */
  public long writes() {
    return writes;
  }

  /** How many calls of the other kinds. */
  public long others() {
    return others;
  }

  /** How many of the other calls would wait longer or be refused. */
  public long waiting() {
    return sums.values().stream().mapToLong(sum -> sum.longer + sum.refused + sum.lost).sum();
  }

  /** The model's error by route, in milliseconds. */
  public Map<String, Long> errors() {
    return errors;
  }

  /** The report as text. */
  public void print(final PrintStream out) {
    out.printf(
        "calls %d: writes %d, others %d; clocks of switchboards agree within %d ms%n",
        writes + others, writes, others, clockError);
    errors.forEach(
        (route, error) ->
            out.printf("model error of route %s: %d ms (19 of 20 calls)%n", route, error));
    out.printf("writes that exactly one upstream would run: %d of %d%n", writesOnce, writes);
    for (final Change change : Change.values()) {
      out.printf(
          "writes %-10s %d%n",
          change.name().toLowerCase(java.util.Locale.ROOT), writeCounts.getOrDefault(change, 0L));
    }
    for (final ChangedWrite line : lines) {
      out.printf(
          "  %s at %s on %s: %s; before %s after %d ms, proposed %s after %d ms%n",
          line.id,
          line.board,
          line.route,
          line.changes,
          line.before,
          line.waitedBefore,
          line.after,
          line.waitedAfter);
    }
    if (unlisted > 0) {
      out.printf("  and %d more writes%n", unlisted);
    }
    sums.forEach(
        (route, sum) ->
            out.printf(
                "%s: %d calls, longer %d, refused %d, lost %d, elsewhere %d; mean %d ms before, %d ms proposed%n",
                route,
                sum.calls,
                sum.longer,
                sum.refused,
                sum.lost,
                sum.elsewhere,
                sum.before / sum.calls,
                sum.after / sum.calls));
    if (unrouted > 0) {
      out.printf(
          "the configuration lacks routes that %d lookups or downloads used; add them, or tell their callers%n",
          unrouted);
    }
    out.println(
        harmed > 0
            ? "verdict: " + harmed + " writes would be harmed"
            : waiting() > 0
                ? "verdict: no write is harmed; only lookups and downloads wait"
                : "verdict: no write is harmed");
  }

  /** The report for machines. */
  public ReportDocument document() {
    final List<ReportDocument.Write> list = new ArrayList<>();
    for (final ChangedWrite line : lines) {
      final List<String> names = new ArrayList<>();
      line.changes.forEach(change -> names.add(change.name()));
      list.add(
          new ReportDocument.Write(
              line.id,
              line.board,
              line.route,
              line.at,
              names,
              line.before,
              line.after,
              line.waitedBefore,
              line.waitedAfter));
    }
    final List<ReportDocument.Other> rest = new ArrayList<>();
    sums.forEach(
        (route, sum) ->
            rest.add(
                new ReportDocument.Other(
                    route, sum.calls, sum.longer, sum.refused, sum.lost, sum.elsewhere)));
    return new ReportDocument(
        writes, writesOnce, others, harmed, unlisted, unrouted, clockError, errors, list, rest);
  }
}
