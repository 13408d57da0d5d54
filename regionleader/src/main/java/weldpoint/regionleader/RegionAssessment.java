package weldpoint.regionleader;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import weldpoint.transport.Protocol;
import weldpoint.transport.RegionMessages;
import weldpoint.transport.RegionMessages.ProxyObservations;

/**
 * What a chief makes of what its region's switchboards see: one admission for what may be repeated,
 * each one's part of what the region held, the upstreams that several find silent, and the writes
 * whose fate is unknown.
 */
public record RegionAssessment(
    double admission,
    List<String> addresses,
    List<Double> parts,
    List<String> suspects,
    List<String> uncertain) {
  private static final double FULL = 0.9;
  private static final int MOST_UNCERTAIN = 4000;

  /**
   * Merges sights; regionPart is the region's part of the whole system's budgets when the core was
   * last heard.
   */
  public static RegionAssessment of(
      final List<ProxyObservations> sights,
      final List<String> addresses,
      final int electors,
      final double regionPart) {
    long demand = 0;
    long writes = 0;
    long room = 0;
    long refusedWrites = 0;
    final Map<String, Integer> silent = new HashMap<>();
    final List<String> uncertain = new ArrayList<>();
    for (final ProxyObservations observations : sights) {
      demand += observations.idempotentRequests + observations.writes;
      writes += observations.writes;
      refusedWrites += observations.rejectedWrites;
      room += observations.upstreamRequests;
      for (final String id : Protocol.emptyIfNull(observations.silentUpstreams)) {
        silent.merge(id, 1, Integer::sum);
      }
      for (final String id : Protocol.emptyIfNull(observations.uncertainWrites)) {
        if (uncertain.size() < MOST_UNCERTAIN) {
          uncertain.add(id);
        }
      }
    }
    final List<String> suspects = new ArrayList<>();
    silent.forEach(
        (id, count) -> {
          if (count >= 2 || sights.size() == 1) {
            suspects.add(id);
          }
        });
    final double repeatables = Math.max(1, demand - writes);
    final double left = Math.max(0, FULL * room - writes);
    final double admission = refusedWrites == 0 ? 1 : Math.max(0, Math.min(1, left / repeatables));
    final List<Double> parts = new ArrayList<>();
    double sum = 0;
    for (final ProxyObservations observations : sights) {
      final double one = 1 + observations.idempotentRequests + observations.writes;
      parts.add(one);
      sum += one;
    }
    final double reachable =
        regionPart * Math.min(1, sights.size() / (double) Math.max(1, electors));
    for (int index = 0; index < parts.size(); index++) {
      parts.set(index, reachable * parts.get(index) / sum);
    }
    return new RegionAssessment(admission, addresses, parts, suspects, uncertain);
  }

  /** One switchboard's part under an order; 0 where the order gives it none. */
  public static double part(final RegionMessages.LeaderDirective directive, final String address) {
    final int index = Protocol.emptyIfNull(directive.addresses).indexOf(address);
    return index < 0 ? 0 : directive.shares.get(index);
  }
}
