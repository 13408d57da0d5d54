package weldpoint.trial;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import weldpoint.common.WeldpointException;
import weldpoint.routing.Route;
import weldpoint.routing.RoutingTable;
import weldpoint.transport.Protocol;
import weldpoint.transport.TrialMessages;
import weldpoint.transport.TrialMessages.Trial;
import weldpoint.transport.TrialMessages.TrialCounts;

/**
 * The registry's part in trials (staged rollouts of a route's new version): it validates operators'
 * requests, sums the counts that proxies report, and decides when a trial must be held, that is,
 * when the new version must get no more traffic. Only the trials themselves are stored; the counts
 * are reported again by the proxies, so they are kept in memory only. Not thread-safe; takes the
 * time in milliseconds from its caller.
 */
public final class TrialCoordinator {
  /** A proxy whose last report is older than this has not reported on the stage. */
  private static final long REPORT_FRESHNESS_MILLIS = 2500;

  private static final int MAX_DIGESTS = 200_000;

  private record ReceivedCounts(TrialCounts trialCounts, long receivedAt) {}

  private final Map<String, Trial> trials = new LinkedHashMap<>();
  private final Map<String, Map<String, ReceivedCounts>> countsByRoute = new HashMap<>();

  /** By attempt digest, the reporter (proxy address and incarnation) that sent it, oldest first. */
  private final Map<Long, String> reporterByDigest = new LinkedHashMap<>();

  /** Digests of attempts that were sent by more than one proxy, on {@code duplicateRoute}. */
  private final List<String> duplicateDigests = new ArrayList<>();

  private String duplicateRoute;

  /**
   * Replaces the known trials by those read from the state store; of two copies of a trial, the one
   * with the higher serial wins.
   */
  public void updateTrials(final List<Trial> storedTrials) {
    final Map<String, Trial> updatedTrials = new LinkedHashMap<>();
    for (final Trial trial : storedTrials) {
      final Trial previous = trials.get(trial.route);
      updatedTrials.put(
          trial.route, previous != null && previous.serial > trial.serial ? previous : trial);
      if (previous == null || previous.number != trial.number) {
        countsByRoute.remove(trial.route);
        if (trial.route.equals(duplicateRoute)) {
          duplicateDigests.clear();
        }
      }
    }
    trials.clear();
    trials.putAll(updatedTrials);
  }

  /** Returns a copy of the list of known trials. */
  public List<Trial> trials() {
    return new ArrayList<>(trials.values());
  }

  private static WeldpointException invalidRequest(final String message) {
    return new WeldpointException(WeldpointException.Kind.INVALID, message);
  }

  /**
   * Validates a request to begin a trial against the configuration in force and returns the trial
   * to be written. The stages are percentages of the traffic; a stage of 0 % (the rehearsal, in
   * which only requests with the token reach the new version) is put before them. Throws {@code
   * WeldpointException} if the request is invalid or a trial of the route is open.
   */
  public Trial begin(
      final String route,
      final String oldService,
      final String newService,
      final String token,
      final List<Integer> stages,
      final int leastWrites,
      final double lateAllowance,
      final RoutingTable routingTable) {
    final Trial previous = trials.get(route);
    if (previous != null && TrialVerdict.of(previous) != TrialVerdict.FINISHED) {
      throw new WeldpointException(
          WeldpointException.Kind.CONFLICT,
          "route " + route + " already has an open trial; finish that trial first");
    }
    final String mismatch = configurationMismatch(route, oldService, newService, routingTable);
    if (mismatch != null) {
      throw invalidRequest(mismatch);
    }
    if (token == null || token.length() < 8) {
      throw invalidRequest(
          "the rehearsal token has fewer than 8 characters; give a longer, secret one");
    }
    if (stages == null || stages.isEmpty()) {
      throw invalidRequest("the trial has no stages; give rising percentages, such as 1, 10, 50");
    }
    int previousShare = 0;
    for (final Integer share : stages) {
      if (share == null || share <= previousShare || share > 100) {
        throw invalidRequest(
            "the stages "
                + stages
                + " do not rise from above 0 to at most 100; give rising percentages");
      }
      previousShare = share;
    }
    if (leastWrites < 1 || lateAllowance < 0 || lateAllowance >= 1) {
      throw invalidRequest(
          "least-writes must be at least 1, and late-allowance at least 0 and below 1");
    }
    final List<Integer> allStages = new ArrayList<>();
    allStages.add(0);
    allStages.addAll(stages);
    return new Trial(
        route,
        previous == null ? 1 : previous.number + 1,
        previous == null ? 1 : previous.serial + 1,
        oldService,
        newService,
        token,
        allStages,
        0,
        leastWrites,
        lateAllowance,
        TrialVerdict.RUNNING.ordinal(),
        "",
        List.of(),
        0);
  }

  /** Returns why a trial does not match the configuration; null if it does. */
  public static String configurationMismatch(
      final String route,
      final String oldService,
      final String newService,
      final RoutingTable routingTable) {
    final Route configured = routingTable == null ? null : routingTable.route(route);
    if (configured == null) {
      return "route " + route + " is not in the configuration in force; name one that is";
    }
    if (configured.kind.repeatable()) {
      return "route " + route + " is no mutating one; a trial needs a route that carries writes";
    }
    boolean hasOld = false;
    boolean hasNew = false;
    for (final int serviceIndex : configured.serviceIndices()) {
      hasOld |= routingTable.services().get(serviceIndex).name().equals(oldService);
      hasNew |= routingTable.services().get(serviceIndex).name().equals(newService);
    }
    if (!hasOld || !hasNew || oldService.equals(newService)) {
      return "route "
          + route
          + " has no split between "
          + oldService
          + " and "
          + newService
          + "; replace the configuration by one with this split first";
    }
    return null;
  }

  private Trial openTrial(final String route) {
    final Trial trial = trials.get(route);
    if (trial == null || TrialVerdict.of(trial) == TrialVerdict.FINISHED) {
      throw invalidRequest("route " + route + " has no open trial; begin one");
    }
    return trial;
  }

  /**
   * Validates a request to advance to the next stage and returns the trial to be written; {@code
   * liveProxies} lists the addresses of the proxies that must have reported on the present stage.
   */
  public Trial advance(
      final String route,
      final List<String> liveProxies,
      final boolean registrySettled,
      final long now) {
    final Trial trial = openTrial(route);
    if (TrialVerdict.of(trial) == TrialVerdict.HELD) {
      throw new WeldpointException(
          WeldpointException.Kind.CONFLICT,
          "the trial is held and cannot be resumed ("
              + trial.reason
              + "); finish it and begin a new one");
    }
    if (trial.stage + 1 >= trial.stages.size()) {
      throw invalidRequest(
          "the trial is at its last stage; finish it, then change the weights of the split");
    }
    final String missing = missingEvidence(trial, liveProxies, registrySettled, now);
    if (missing != null) {
      throw new WeldpointException(
          WeldpointException.Kind.CONFLICT, "not enough evidence to advance: " + missing);
    }
    return updated(trial, trial.stage + 1, TrialVerdict.RUNNING, "", List.of());
  }

  /** Returns which evidence is missing at the present stage; null if there is enough. */
  public String missingEvidence(
      final Trial trial,
      final List<String> liveProxies,
      final boolean registrySettled,
      final long now) {
    if (!registrySettled) {
      return "the registry has not settled yet; retry when it has";
    }
    final Map<String, ReceivedCounts> countsByReporter =
        countsByRoute.getOrDefault(trial.route, Map.of());
    long confirmedWrites = 0;
    for (final String proxyAddress : liveProxies) {
      boolean reported = false;
      for (final ReceivedCounts received : countsByReporter.values()) {
        final long[] counts = TrialCounter.toArray(received.trialCounts.counts);
        reported |=
            received.trialCounts.proxy.equals(proxyAddress)
                && now - received.receivedAt < REPORT_FRESHNESS_MILLIS
                && TrialCounter.STAGE.valueIn(counts) == trial.stage;
      }
      if (!reported) {
        return "proxy "
            + proxyAddress
            + " has not reported on this stage; wait for it or remove it";
      }
    }
    for (final ReceivedCounts received : countsByReporter.values()) {
      final long[] counts = TrialCounter.toArray(received.trialCounts.counts);
      confirmedWrites +=
          TrialCounter.STAGE.valueIn(counts) == trial.stage
              ? TrialCounter.STAGE_CONFIRMED.valueIn(counts)
              : 0;
    }
    return confirmedWrites >= trial.minWrites
        ? null
        : "only "
            + confirmedWrites
            + " of "
            + trial.minWrites
            + " required writes were confirmed on the new version at this stage; wait for more";
  }

  /** Returns the trial as held by an operator's request, to be written. */
  public Trial hold(final String route, final String reason) {
    return heldTrial(openTrial(route), reason, List.of());
  }

  /** Returns the trial as finished by an operator's request, to be written. */
  public Trial finish(final String route) {
    return updated(
        openTrial(route),
        trials.get(route).stage,
        TrialVerdict.FINISHED,
        trials.get(route).reason,
        trials.get(route).attempts);
  }

  private static Trial updated(
      final Trial trial,
      final int stage,
      final TrialVerdict status,
      final String reason,
      final List<String> attempts) {
    return new Trial(
        trial.route,
        trial.number,
        trial.serial + 1,
        trial.oldService,
        trial.newService,
        trial.token,
        trial.stages,
        stage,
        trial.minWrites,
        trial.lateAllowance,
        status.ordinal(),
        reason,
        attempts,
        trial.writes);
  }

  private Trial heldTrial(final Trial trial, final String reason, final List<String> attempts) {
    final long[] totals = totals(trial.route);
    final boolean bothLost =
        TrialCounter.OLD_LOST.valueIn(totals) > 0 && TrialCounter.NEW_LOST.valueIn(totals) > 0;
    return new Trial(
        trial.route,
        trial.number,
        trial.serial + 1,
        trial.oldService,
        trial.newService,
        trial.token,
        trial.stages,
        trial.stage,
        trial.minWrites,
        trial.lateAllowance,
        TrialVerdict.HELD.ordinal(),
        bothLost
            ? reason
                + " (writes to the old version were lost too: "
                + TrialCounter.OLD_LOST.valueIn(totals)
                + ")"
            : reason,
        attempts,
        TrialCounter.NEW_SENT.valueIn(totals));
  }

  /** Records what a proxy has counted. Reports may arrive late, more than once and in any order. */
  public void recordReport(final TrialMessages.TrialReport report, final long now) {
    for (final TrialCounts trialCounts : Protocol.emptyIfNull(report.counts)) {
      final Trial trial = trials.get(trialCounts.route);
      if (trial == null || trial.number != trialCounts.number) {
        continue;
      }
      final Map<String, ReceivedCounts> countsByReporter =
          countsByRoute.computeIfAbsent(trialCounts.route, route -> new LinkedHashMap<>());
      final String reporter = trialCounts.proxy + "#" + trialCounts.incarnation;
      final ReceivedCounts previous = countsByReporter.get(reporter);
      countsByReporter.put(
          reporter,
          new ReceivedCounts(
              previous == null ? trialCounts : merge(previous.trialCounts, trialCounts), now));
      for (final Long digest : Protocol.emptyIfNull(report.attemptDigests)) {
        final String otherReporter = reporterByDigest.putIfAbsent(digest, reporter);
        if (otherReporter != null && !otherReporter.equals(reporter)) {
          duplicateRoute = trialCounts.route;
          duplicateDigests.add(Long.toHexString(digest));
        }
      }
      while (reporterByDigest.size() > MAX_DIGESTS) {
        reporterByDigest.remove(reporterByDigest.keySet().iterator().next());
      }
    }
  }

  private static TrialCounts merge(final TrialCounts first, final TrialCounts second) {
    final long[] firstCounts = TrialCounter.toArray(first.counts);
    final long[] secondCounts = TrialCounter.toArray(second.counts);
    final boolean sameStage =
        TrialCounter.STAGE.valueIn(firstCounts) == TrialCounter.STAGE.valueIn(secondCounts);
    final boolean secondAtLaterStage =
        TrialCounter.STAGE.valueIn(secondCounts) > TrialCounter.STAGE.valueIn(firstCounts);
    final long[] merged = TrialCounter.newCounts();
    for (int index = 0; index < merged.length; index++) {
      merged[index] = Math.max(firstCounts[index], secondCounts[index]);
    }
    if (!sameStage) {
      merged[TrialCounter.STAGE_CONFIRMED.ordinal()] =
          TrialCounter.STAGE_CONFIRMED.valueIn(secondAtLaterStage ? secondCounts : firstCounts);
    }
    final boolean secondHasNoFewerAttempts =
        Protocol.emptyIfNull(second.attempts).size() >= Protocol.emptyIfNull(first.attempts).size();
    final TrialCounts holdSource =
        second.holdReason != null || first.holdReason == null && secondHasNoFewerAttempts
            ? second
            : first;
    return new TrialCounts(
        first.route,
        first.number,
        first.proxy,
        first.incarnation,
        TrialCounter.toList(merged),
        holdSource.holdReason,
        holdSource.attempts);
  }

  /** Returns the counts of a route's trial, summed over all proxies. */
  public long[] totals(final String route) {
    final long[] totals = TrialCounter.newCounts();
    for (final ReceivedCounts received : countsByRoute.getOrDefault(route, Map.of()).values()) {
      final long[] counts = TrialCounter.toArray(received.trialCounts.counts);
      for (int index = 0; index < totals.length; index++) {
        totals[index] += counts[index];
      }
    }
    return totals;
  }

  /**
   * Returns the trials that must be held or finished, in the state in which they must be written.
   */
  public List<Trial> requiredUpdates(final RoutingTable routingTable) {
    final List<Trial> updates = new ArrayList<>();
    for (final Trial trial : trials.values()) {
      if (!TrialVerdict.of(trial).open()) {
        continue;
      }
      final Trial update = requiredUpdate(trial, routingTable);
      if (update != null) {
        updates.add(update);
      }
    }
    return updates;
  }

  private Trial requiredUpdate(final Trial trial, final RoutingTable routingTable) {
    for (final ReceivedCounts received :
        countsByRoute.getOrDefault(trial.route, Map.of()).values()) {
      if (received.trialCounts.holdReason != null) {
        return heldTrial(
            trial,
            received.trialCounts.holdReason
                + " (reported by proxy "
                + received.trialCounts.proxy
                + ")",
            Protocol.emptyIfNull(received.trialCounts.attempts));
      }
    }
    if (trial.route.equals(duplicateRoute) && !duplicateDigests.isEmpty()) {
      return heldTrial(
          trial,
          "duplicated: one attempt was sent by two proxies",
          new ArrayList<>(duplicateDigests.subList(0, Math.min(20, duplicateDigests.size()))));
    }
    final long[] totals = totals(trial.route);
    if (TrialCounter.NEW_LOST.valueIn(totals) > 0
        || TrialCounter.NEW_DUPLICATED.valueIn(totals) > 0) {
      return heldTrial(
          trial,
          "lost or duplicated: "
              + TrialCounter.NEW_LOST.valueIn(totals)
              + " and "
              + TrialCounter.NEW_DUPLICATED.valueIn(totals),
          List.of());
    }
    if (Lateness.exceedsAllowance(
        TrialCounter.NEW_LATE.valueIn(totals),
        TrialCounter.NEW_CONFIRMED.valueIn(totals),
        TrialCounter.OLD_LATE.valueIn(totals),
        TrialCounter.OLD_CONFIRMED.valueIn(totals),
        trial.lateAllowance)) {
      return heldTrial(
          trial,
          "late: "
              + TrialCounter.NEW_LATE.valueIn(totals)
              + " of "
              + TrialCounter.NEW_CONFIRMED.valueIn(totals)
              + " writes, "
              + TrialCounter.OLD_LATE.valueIn(totals)
              + " of "
              + TrialCounter.OLD_CONFIRMED.valueIn(totals)
              + " on the old version",
          lateAttempts(trial.route));
    }
    if (routingTable != null
        && configurationMismatch(trial.route, trial.oldService, trial.newService, routingTable)
            != null) {
      return updated(
          trial,
          trial.stage,
          TrialVerdict.FINISHED,
          "a newer configuration no longer contains the split: "
              + configurationMismatch(
                  trial.route, trial.oldService, trial.newService, routingTable),
          List.of());
    }
    return null;
  }

  private List<String> lateAttempts(final String route) {
    final List<String> attempts = new ArrayList<>();
    for (final ReceivedCounts received : countsByRoute.getOrDefault(route, Map.of()).values()) {
      attempts.addAll(Protocol.emptyIfNull(received.trialCounts.attempts));
    }
    return attempts.size() > 20 ? attempts.subList(0, 20) : attempts;
  }

  /** Returns the counts of a trial by reporter (proxy address and incarnation). */
  public Map<String, long[]> countsByProxy(final Trial trial) {
    final Map<String, long[]> result = new LinkedHashMap<>();
    countsByRoute
        .getOrDefault(trial.route, Map.of())
        .forEach(
            (reporter, received) -> {
              if (received.trialCounts.number == trial.number) {
                result.put(reporter, TrialCounter.toArray(received.trialCounts.counts));
              }
            });
    return result;
  }
}
