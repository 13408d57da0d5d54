package weldpoint.regionleader;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import weldpoint.transport.Protocol;
import weldpoint.transport.RegionMessages;
import weldpoint.transport.RegionMessages.ProxyObservations;

/**
 * What a leader derives from the observations of its region's proxies: one admission ratio for
 * repeatable requests, each proxy's share of the budgets that the region had, the upstreams that
 * several proxies report as silent, and the writes whose outcome is unknown.
 */
public record RegionAssessment(
    double admissionRatio,
    List<String> addresses,
    List<Double> budgetShares,
    List<String> suspectUpstreams,
    List<String> uncertainWrites) {
  /** Share of the carried load that may be used; writes are subtracted from it first. */
  private static final double TARGET_UTILIZATION = 0.9;

  private static final int MAX_UNCERTAIN_WRITES = 4000;

  /**
   * Merges the observations; {@code regionShare} is the region's share of the whole system's
   * budgets when the core was last reached. The region's share is reduced by the proportion of the
   * {@code electorCount} proxies that have not reported.
   */
  public static RegionAssessment of(
      final List<ProxyObservations> allObservations,
      final List<String> addresses,
      final int electorCount,
      final double regionShare) {
    long demand = 0;
    long writes = 0;
    long capacity = 0;
    long refusedWrites = 0;
    final Map<String, Integer> silentReports = new HashMap<>();
    final List<String> uncertainWrites = new ArrayList<>();
    for (final ProxyObservations observations : allObservations) {
      demand += observations.idempotentRequests + observations.writes;
      writes += observations.writes;
      refusedWrites += observations.rejectedWrites;
      capacity += observations.upstreamRequests;
      for (final String id : Protocol.emptyIfNull(observations.silentUpstreams)) {
        silentReports.merge(id, 1, Integer::sum);
      }
      for (final String id : Protocol.emptyIfNull(observations.uncertainWrites)) {
        if (uncertainWrites.size() < MAX_UNCERTAIN_WRITES) {
          uncertainWrites.add(id);
        }
      }
    }
    final List<String> suspectUpstreams = new ArrayList<>();
    silentReports.forEach(
        (id, count) -> {
          if (count >= 2 || allObservations.size() == 1) {
            suspectUpstreams.add(id);
          }
        });
    final double repeatables = Math.max(1, demand - writes);
    final double remainingCapacity = Math.max(0, TARGET_UTILIZATION * capacity - writes);
    final double admissionRatio =
        refusedWrites == 0 ? 1 : Math.max(0, Math.min(1, remainingCapacity / repeatables));
    final List<Double> budgetShares = new ArrayList<>();
    double totalWeight = 0;
    for (final ProxyObservations observations : allObservations) {
      final double weight = 1 + observations.idempotentRequests + observations.writes;
      budgetShares.add(weight);
      totalWeight += weight;
    }
    final double reachableShare =
        regionShare * Math.min(1, allObservations.size() / (double) Math.max(1, electorCount));
    for (int index = 0; index < budgetShares.size(); index++) {
      budgetShares.set(index, reachableShare * budgetShares.get(index) / totalWeight);
    }
    return new RegionAssessment(
        admissionRatio, addresses, budgetShares, suspectUpstreams, uncertainWrites);
  }

  /** Returns a proxy's budget share under a directive; 0 if the directive gives it none. */
  public static double budgetShare(
      final RegionMessages.LeaderDirective directive, final String address) {
    final int index = Protocol.emptyIfNull(directive.addresses).indexOf(address);
    return index < 0 ? 0 : directive.shares.get(index);
  }
}
