package weldpoint.proxy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import weldpoint.metrics.Metric;
import weldpoint.transport.KeyMessages.Claim;
import weldpoint.transport.KeyMessages.KeyOutcome;
import weldpoint.transport.KeyMessages.Outcome;
import weldpoint.transport.KeyMessages.OutcomeFound;
import weldpoint.transport.KeyMessages.OutcomeLookup;
import weldpoint.transport.KeyMessages.OutcomeReport;
import weldpoint.transport.KeyMessages.OutcomeResponse;
import weldpoint.transport.KeyMessages.OutcomeStored;
import weldpoint.transport.Message;

/**
 * The responses of this proxy's keyed requests at the registries: reports them until enough
 * replicas have them on disk, and looks up those of proxies that do not answer. Used on the traffic
 * thread only; times are milliseconds of the steady clock.
 */
final class OutcomeReplicas {
  private static final long RESEND_MILLIS = 500;
  private static final long REPORT_MILLIS = 10_000;
  private static final long LOOKUP_MILLIS = 600;
  private static final int MAX_PENDING_REPORTS = 2000;

  private static final class PendingReport {
    final OutcomeReport report;
    final long until;
    long resendAt;

    PendingReport(final OutcomeReport report, final long until) {
      this.report = report;
      this.until = until;
    }
  }

  private record PendingLookup(Consumer<OutcomeResponse> callback, long until) {}

  private final BiPredicate<Message, List<String>> registry;
  private final Map<Long, PendingReport> reports = new LinkedHashMap<>();
  private final Map<Long, PendingLookup> lookups = new LinkedHashMap<>();
  private long lastNumber;
  private long replicated;
  private long unreplicated;
  private long found;
  private long missing;

  /**
   * Creates the client of the registries.
   *
   * @param registry sends a message to the current registry if it is in one of the given regions,
   *     or if none are given; false if it was not sent
   */
  OutcomeReplicas(final BiPredicate<Message, List<String>> registry) {
    this.registry = registry;
  }

  /** Reports the outcome of a request, which is kept for the retention period of its claim. */
  void report(final KeyOutcome outcome, final long now) {
    if (reports.size() >= MAX_PENDING_REPORTS) {
      unreplicated++;
      return;
    }
    final OutcomeReport report = new OutcomeReport(++lastNumber, outcome);
    final PendingReport pending = new PendingReport(report, now + REPORT_MILLIS);
    reports.put(report.number, pending);
    send(pending, now);
  }

  private void send(final PendingReport pending, final long now) {
    final List<String> regions = pending.report.outcome.regions;
    pending.resendAt = registry.test(pending.report, regions) ? now + RESEND_MILLIS : now;
  }

  /** Counts an outcome that is too large to be replicated. */
  void skip() {
    unreplicated++;
  }

  /** Looks up the outcome of a claim's request; the callback is called exactly once. */
  void find(
      final Claim claim,
      final long fingerprint,
      final List<String> regions,
      final Consumer<OutcomeResponse> callback,
      final long now) {
    final long number = ++lastNumber;
    lookups.put(number, new PendingLookup(callback, now + LOOKUP_MILLIS));
    if (!registry.test(new OutcomeLookup(number, claim, fingerprint, regions), regions)) {
      complete(number, new OutcomeResponse(Outcome.UNCERTAIN));
    }
  }

  /** Handles a registry's reply to a report or to a lookup. */
  void replyReceived(final Message message) {
    if (message instanceof OutcomeStored) {
      replicated += reports.remove(((OutcomeStored) message).number) == null ? 0 : 1;
    } else if (message instanceof OutcomeFound) {
      complete(((OutcomeFound) message).number, ((OutcomeFound) message).response);
    }
  }

  private void complete(final long number, final OutcomeResponse response) {
    final PendingLookup lookup = lookups.remove(number);
    if (lookup == null) {
      return;
    }
    if (response.outcome() == Outcome.UNCERTAIN) {
      missing++;
    } else {
      found++;
    }
    lookup.callback.accept(response);
  }

  /** Sends unanswered reports again, and gives up reports and lookups that took too long. */
  void expire(final long now) {
    final int before = reports.size();
    reports.values().removeIf(pending -> pending.until <= now);
    unreplicated += before - reports.size();
    for (final PendingReport pending : reports.values()) {
      if (pending.resendAt <= now) {
        send(pending, now);
      }
    }
    final List<Long> expired = new ArrayList<>();
    lookups.forEach(
        (number, lookup) -> {
          if (lookup.until <= now) {
            expired.add(number);
          }
        });
    expired.forEach(number -> complete(number, new OutcomeResponse(Outcome.UNCERTAIN)));
  }

  /** Metrics of reports and lookups. */
  List<Metric> metrics() {
    final String reportHelp = "Answers to keyed requests, by whether registries keep them.";
    final String lookupHelp = "Lookups of answers at registries, by result.";
    return List.of(
        Metric.counter("weldpoint_key_outcome_reports", reportHelp, replicated)
            .withLabel("result", "replicated"),
        Metric.counter("weldpoint_key_outcome_reports", reportHelp, unreplicated)
            .withLabel("result", "unreplicated"),
        Metric.counter("weldpoint_key_outcome_lookups", lookupHelp, found)
            .withLabel("result", "found"),
        Metric.counter("weldpoint_key_outcome_lookups", lookupHelp, missing)
            .withLabel("result", "missing"));
  }
}
