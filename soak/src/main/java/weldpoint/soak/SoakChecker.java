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
  static List<String> doubledKeys(final List<UpstreamRun> runs, final long spanMillis) {
    final Map<String, UpstreamRun> last = new HashMap<>();
    final List<String> broken = new ArrayList<>();
    for (final UpstreamRun run : runs) {
      if (run.key().isEmpty()) {
        continue;
      }
      final UpstreamRun before = last.put(run.tenant() + "/" + run.key(), run);
      if (before != null && run.startedAt() - before.startedAt() < spanMillis) {
        broken.add("two runs of one key: " + before + " and " + run);
      }
    }
    return broken;
  }

  /** The most runs of a tenant in any window of this many milliseconds. */
  static int mostInWindow(
      final List<UpstreamRun> runs, final String tenant, final long windowMillis) {
    final List<Long> times =
        runs.stream()
            .filter(run -> run.tenant().equals(tenant))
            .map(UpstreamRun::startedAt)
            .sorted()
            .toList();
    int most = 0;
    int first = 0;
    for (int next = 0; next < times.size(); next++) {
      while (times.get(next) - times.get(first) >= windowMillis) {
        first++;
      }
      most = Math.max(most, next - first + 1);
    }
    return most;
  }

  /** Requests that run once at most, were refused with a promise (429, 503) and ran. */
  static List<String> brokenPromises(final List<ClientCall> calls, final List<UpstreamRun> runs) {
    final Set<String> ran = new HashSet<>();
    runs.forEach(run -> ran.add(run.attemptId()));
    final List<String> broken = new ArrayList<>();
    for (final ClientCall call : calls) {
      final int status = call.reply().status();
      final boolean promised = status == 429 || status == 503;
      if (promised && !call.repeatable() && ran.contains(call.attemptId())) {
        broken.add("refused, and ran: " + call);
      }
    }
    return broken;
  }

  /** Requests that may run once at most and ran more than once. */
  static List<String> doubledRequests(final List<ClientCall> calls, final List<UpstreamRun> runs) {
    final Map<String, Integer> counts = new HashMap<>();
    runs.forEach(run -> counts.merge(run.attemptId(), 1, Integer::sum));
    final List<String> broken = new ArrayList<>();
    for (final ClientCall call : calls) {
      final int ran = counts.getOrDefault(call.attemptId(), 0);
      if (!call.repeatable() && ran > 1) {
        broken.add(ran + " runs of one request: " + call);
      }
    }
    return broken;
  }

  /**
   * Answers that an upstream gave whole and that a proxy cut before its client's time was over,
   * without having been killed or frozen from {@code contactMillis} before the request to its end.
   */
  static List<String> cutAnswers(
      final List<LargeDownload> pulls,
      final Map<String, Long> answered,
      final Disturbances disturbances,
      final long deadlineMillis,
      final long contactMillis) {
    final List<String> broken = new ArrayList<>();
    for (final LargeDownload pull : pulls) {
      final Long answeredAt = answered.get(pull.attemptId());
      if (!pull.whole()
          && answeredAt != null
          && answeredAt <= pull.endedAt()
          && pull.endedAt() - pull.sentAt() < deadlineMillis
          && !disturbances.disturbed(pull.proxy(), pull.sentAt() - contactMillis, pull.endedAt())) {
        broken.add("an answer given whole was cut: " + pull + ", answered at " + answeredAt);
      }
    }
    return broken;
  }

  /** Tells whether a proxy was killed or frozen in a span. */
  interface Disturbances {
    /** Whether it was, from one moment of the steady clock to another. */
    boolean disturbed(int proxy, long from, long to);
  }

  /** Keys whose successes differ, or bear the seal of no run of theirs. */
  static List<String> strangeAnswers(final List<ClientCall> calls, final List<UpstreamRun> runs) {
    final Map<String, Set<String>> seals = new HashMap<>();
    for (final UpstreamRun run : runs) {
      seals
          .computeIfAbsent(run.key(), key -> new HashSet<>())
          .add(run.instance() + "." + run.attemptId());
    }
    final Map<String, ClientReply> first = new HashMap<>();
    final List<String> broken = new ArrayList<>();
    for (final ClientCall call : calls) {
      if (call.key().isEmpty() || call.reply().status() != 200) {
        continue;
      }
      final ClientReply before = first.putIfAbsent(call.key(), call.reply());
      if (before != null && !before.equals(call.reply())) {
        broken.add("two answers to one key: " + before + " and " + call);
      }
      if (!seals.getOrDefault(call.key(), Set.of()).contains(call.reply().seal())) {
        broken.add("an answer of no run: " + call);
      }
    }
    return broken;
  }

  /**
   * Runs outside of the homes that every configuration has which may be in force: the newest one
   * that was acknowledged longer ago than the bound, and all that were sent after it.
   *
   * @param runs runs of the tenant whose homes change, in calm times
   * @param regionOf the region of an upstream
   */
  static List<String> outsideHomes(
      final List<UpstreamRun> runs,
      final List<HomeRegions.Change> changes,
      final Function<String, String> regionOf,
      final long boundMillis) {
    final List<String> broken = new ArrayList<>();
    for (final UpstreamRun run : runs) {
      int oldest = 0;
      for (final HomeRegions.Change change : changes) {
        if (change.acknowledgedAt() < run.startedAt() - boundMillis) {
          oldest = Math.max(oldest, change.version());
        }
      }
      boolean allowed = false;
      for (final HomeRegions.Change change : changes) {
        allowed |=
            change.version() >= oldest
                && change.sentAt() <= run.startedAt()
                && change.homes().allow(regionOf.apply(run.instance()));
      }
      if (!allowed) {
        broken.add("outside of its homes: " + run + ", oldest version in force " + oldest);
      }
    }
    return broken;
  }
}
