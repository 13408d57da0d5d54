package weldpoint.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * Checks the records of the stand-in upstreams and the clients, independently of the daemons' own
 * metrics: a request with an idempotency key runs once, all responses to one key are equal, refused
 * requests did not run, complete responses were not truncated, requests ran in their home regions,
 * and no tenant exceeds its limit in any window. Each check returns the violations found.
 */
final class SoakChecker {
  private SoakChecker() {}

  /** Returns idempotency keys whose request ran twice within a window, with both runs. */
  static List<String> duplicateKeyRuns(final List<UpstreamRun> runs, final long windowMillis) {
    final Map<String, UpstreamRun> lastRuns = new HashMap<>();
    final List<String> violations = new ArrayList<>();
    for (final UpstreamRun run : runs) {
      if (run.key().isEmpty()) {
        continue;
      }
      final UpstreamRun previous = lastRuns.put(run.tenant() + "/" + run.key(), run);
      if (previous != null && run.startedAt() - previous.startedAt() < windowMillis) {
        violations.add("two runs of one idempotency key: " + previous + " and " + run);
      }
    }
    return violations;
  }

  /** Returns the largest number of a tenant's runs in any window of this length. */
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

  /**
   * Returns at-most-once requests that ran although they were refused with a status that promises
   * that they did not (429, 503).
   */
  static List<String> refusedButRun(final List<ClientCall> calls, final List<UpstreamRun> runs) {
    final Set<String> ran = new HashSet<>();
    runs.forEach(run -> ran.add(run.attemptId()));
    final List<String> violations = new ArrayList<>();
    for (final ClientCall call : calls) {
      final int status = call.reply().status();
      final boolean notExecutedPromised = status == 429 || status == 503;
      if (notExecutedPromised && !call.repeatable() && ran.contains(call.attemptId())) {
        violations.add("request refused, but an upstream ran it: " + call);
      }
    }
    return violations;
  }

  /** Returns at-most-once requests that ran more than once. */
  static List<String> duplicateRequestRuns(
      final List<ClientCall> calls, final List<UpstreamRun> runs) {
    final Map<String, Integer> counts = new HashMap<>();
    runs.forEach(run -> counts.merge(run.attemptId(), 1, Integer::sum));
    final List<String> violations = new ArrayList<>();
    for (final ClientCall call : calls) {
      final int ran = counts.getOrDefault(call.attemptId(), 0);
      if (!call.repeatable() && ran > 1) {
        violations.add(ran + " runs of one at-most-once request: " + call);
      }
    }
    return violations;
  }

  /**
   * Returns responses that an upstream wrote completely and a proxy truncated before the client's
   * timeout, although the proxy was neither killed nor frozen nor resumed between {@code
   * contactBoundMillis} before the request and the end of the response.
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
          && !disruptions.disruptedBetween(
              download.proxy(), download.sentAt() - contactBoundMillis, download.endedAt())) {
        violations.add(
            "complete response truncated by the proxy: "
                + download
                + ", response written at "
                + respondedAt);
      }
    }
    return violations;
  }

  /** Knows when proxies were killed, frozen or resumed. */
  interface Disruptions {
    /**
     * Returns whether a proxy was disrupted between two times, in milliseconds of {@link Clock}.
     */
    boolean disruptedBetween(int proxy, long from, long to);
  }

  /**
   * Returns idempotency keys whose successful responses differ, or whose response carries a seal
   * that matches no run with that key.
   */
  static List<String> inconsistentResponses(
      final List<ClientCall> calls, final List<UpstreamRun> runs) {
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
        violations.add("different responses to one idempotency key: " + previous + " and " + call);
      }
      if (!seals.getOrDefault(call.key(), Set.of()).contains(call.reply().seal())) {
        violations.add("response that matches no run of its key: " + call);
      }
    }
    return violations;
  }

  /** Returns successful responses whose body is not the whole body that their upstream sent. */
  static List<String> cutSuccesses(final List<ClientCall> calls) {
    final List<String> violations = new ArrayList<>();
    for (final ClientCall call : calls) {
      final String seal = call.reply().seal();
      final int end = seal.lastIndexOf('.');
      if (call.reply().status() == 200
          && (end < 0 || !call.reply().body().equals("done by " + seal.substring(0, end)))) {
        violations.add("success without the whole body of its upstream: " + call);
      }
    }
    return violations;
  }

  /**
   * Returns calls that got no success although their upstream had written the complete response
   * well before the client's deadline.
   *
   * @param calls calls from the phase without faults
   * @param responseTimes when the complete response was written, by attempt id
   * @param boundMillis the time in which the response must have been written
   */
  static List<String> lostResponses(
      final List<ClientCall> calls, final Map<String, Long> responseTimes, final long boundMillis) {
    final List<String> violations = new ArrayList<>();
    for (final ClientCall call : calls) {
      final Long respondedAt = responseTimes.get(call.attemptId());
      if (respondedAt != null
          && respondedAt - call.sentAt() < boundMillis
          && call.reply().status() != 200) {
        violations.add("complete response lost: " + call + ", written at " + respondedAt);
      }
    }
    return violations;
  }

  /**
   * Returns runs in a region that no configuration allows that may have been in force at the time.
   * These are the newest configuration acknowledged longer ago than the bound, and all
   * configurations with a later version that had been sent.
   *
   * @param runs runs of the tenant whose home regions change, from the phase without faults
   * @param changes the configurations that were sent
   * @param regionOf maps the instance id of an upstream to its region
   * @param boundMillis within which an acknowledged configuration must be in force everywhere
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
        violations.add(
            "run outside its home regions: " + run + ", oldest version in force " + oldestInForce);
      }
    }
    return violations;
  }
}
