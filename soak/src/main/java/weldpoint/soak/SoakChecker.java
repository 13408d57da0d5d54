package weldpoint.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * Judges what upstreams and clients saw, apart from the daemons' own counts: each idempotency key
 * runs once, all answers to it are one, what was refused did not run, and no tenant runs more than
 * its limit in any window.
 */
final class SoakChecker {
  private SoakChecker() {}

  /** Each key that ran more than once within a span of milliseconds, with its runs. */
  static List<String> duplicateKeyRuns(final List<UpstreamRun> runs, final long windowMillis) {
    final Map<String, UpstreamRun> lastRuns = new HashMap<>();
    final List<String> violations = new ArrayList<>();
    for (final UpstreamRun run : runs) {
      if (run.key().isEmpty()) {
        continue;
      }
      final UpstreamRun previous = lastRuns.put(run.tenant() + "/" + run.key(), run);
      if (previous != null && run.startedAt() - previous.startedAt() < windowMillis) {
        violations.add("two runs of one key: " + previous + " and " + run);
      }
    }
    return violations;
  }

  /** The most runs of a tenant in any window of this many milliseconds. */
  static int maxRunsInWindow(
      final List<UpstreamRun> runs, final String tenant, final long windowMillis) {
    final List<Long> times =
        runs.stream()
            .filter(run -> run.tenant().equals(tenant))
            .map(UpstreamRun::startedAt)
            .sorted()
            .toList();
    int max = 0;
    int first = 0;
    for (int next = 0; next < times.size(); next++) {
      while (times.get(next) - times.get(first) >= windowMillis) {
        first++;
      }
      max = Math.max(max, next - first + 1);
    }
    return max;
  }

  /** Requests that run once at most, were refused with a promise (429, 503) and ran. */
  static List<String> refusedButRun(final List<ClientCall> calls, final List<UpstreamRun> runs) {
    final Set<String> ran = new HashSet<>();
    runs.forEach(run -> ran.add(run.attemptId()));
    final List<String> violations = new ArrayList<>();
    for (final ClientCall call : calls) {
      final int status = call.reply().status();
      final boolean notExecutedPromised = status == 429 || status == 503;
      if (notExecutedPromised && !call.repeatable() && ran.contains(call.attemptId())) {
        violations.add("refused, and ran: " + call);
      }
    }
    return violations;
  }

  /** Requests that may run once at most and ran more than once. */
  static List<String> duplicateRequestRuns(final List<ClientCall> calls, final List<UpstreamRun> runs) {
    final Map<String, Integer> counts = new HashMap<>();
    runs.forEach(run -> counts.merge(run.attemptId(), 1, Integer::sum));
    final List<String> violations = new ArrayList<>();
    for (final ClientCall call : calls) {
      final int ran = counts.getOrDefault(call.attemptId(), 0);
      if (!call.repeatable() && ran > 1) {
        violations.add(ran + " runs of one request: " + call);
      }
    }
    return violations;
  }

  /**
   * Answers that an upstream gave whole and that a proxy cut before its client's time was over,
   * without having been killed or frozen from {@code contactMillis} before the request to its end.
   */
  static List<String> truncatedResponses(
      final List<LargeDownload> downloads,
      final Map<String, Long> responseTimes,
      final Disruptions disruptions,
      final long timeoutMillis,
      final long contactBoundMillis) {
    final List<String> violations = new ArrayList<>();
    for (final LargeDownload download : downloads) {
      final Long respondedAt = responseTimes.get(download.attemptId());
      if (!download.whole()
          && respondedAt != null
          && respondedAt <= download.endedAt()
          && download.endedAt() - download.sentAt() < timeoutMillis
          && !disruptions.disruptedBetween(download.proxy(), download.sentAt() - contactBoundMillis, download.endedAt())) {
        violations.add("an answer given whole was cut: " + download + ", answered at " + respondedAt);
      }
    }
    return violations;
  }

  /** Tells whether a proxy was killed or frozen in a span. */
  interface Disruptions {
    /** Whether it was, from one moment of the steady clock to another. */
    boolean disruptedBetween(int proxy, long from, long to);
  }

  /** Keys whose successes differ, or bear the seal of no run of theirs. */
  static List<String> inconsistentResponses(final List<ClientCall> calls, final List<UpstreamRun> runs) {
    final Map<String, Set<String>> seals = new HashMap<>();
    for (final UpstreamRun run : runs) {
      seals
          .computeIfAbsent(run.key(), key -> new HashSet<>())
          .add(run.instance() + "." + run.attemptId());
    }
    final Map<String, ClientReply> firstReplies = new HashMap<>();
    final List<String> violations = new ArrayList<>();
    for (final ClientCall call : calls) {
      if (call.key().isEmpty() || call.reply().status() != 200) {
        continue;
      }
      final ClientReply previous = firstReplies.putIfAbsent(call.key(), call.reply());
      if (previous != null && !previous.equals(call.reply())) {
        violations.add("two answers to one key: " + previous + " and " + call);
      }
      if (!seals.getOrDefault(call.key(), Set.of()).contains(call.reply().seal())) {
        violations.add("an answer of no run: " + call);
      }
    }
    return violations;
  }

  /**
   * Runs outside of the homes that every configuration has which may be in force: the newest one
   * that was acknowledged longer ago than the bound, and all that were sent after it.
   *
   * @param runs runs of the tenant whose homes change, in calm times
   * @param regionOf the region of an upstream
   */
  static List<String> runsOutsideHomeRegions(
      final List<UpstreamRun> runs,
      final List<HomeRegions.Change> changes,
      final Function<String, String> regionOf,
      final long boundMillis) {
    final List<String> violations = new ArrayList<>();
    for (final UpstreamRun run : runs) {
      int oldestInForce = 0;
      for (final HomeRegions.Change change : changes) {
        if (change.acknowledgedAt() < run.startedAt() - boundMillis) {
          oldestInForce = Math.max(oldestInForce, change.version());
        }
      }
      boolean allowed = false;
      for (final HomeRegions.Change change : changes) {
        allowed |=
            change.version() >= oldestInForce
                && change.sentAt() <= run.startedAt()
                && change.homeRegions().allows(regionOf.apply(run.instance()));
      }
      if (!allowed) {
        violations.add("outside of its homes: " + run + ", oldest version in force " + oldestInForce);
      }
    }
    return violations;
  }
}
