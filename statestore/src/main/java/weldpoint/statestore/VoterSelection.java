package weldpoint.statestore;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import weldpoint.transport.StateStoreMessages.Voter;

/**
 * Selects the replicas that should vote. In order of priority: no zone has so many voters that its
 * loss costs the majority, even if that keeps an unreachable voter; as few voters as possible are
 * unreachable; they are spread over zones; they are spread over regions. No voter is replaced for a
 * selection that is only as good.
 */
final class VoterSelection {
  private static final int MIN_VOTERS = 3;

  private VoterSelection() {}

  /** The cost of a set of voters, compared from the first component to the last. */
  private record Cost(int crowded, int unreachable, int zones, int regions) {
    boolean isBelow(final Cost other) {
      if (crowded != other.crowded) {
        return crowded < other.crowded;
      }
      if (unreachable != other.unreachable) {
        return unreachable < other.unreachable;
      }
      return zones != other.zones ? zones < other.zones : regions < other.regions;
    }
  }

  private static String zone(final Voter voter) {
    return voter.site == null || voter.site.isEmpty()
        ? voter.address
        : voter.region + "/" + voter.site;
  }

  private static String region(final Voter voter) {
    return voter.region == null || voter.region.isEmpty() ? voter.address : voter.region;
  }

  private static Cost cost(
      final List<Voter> voters, final Set<String> unreachable, final int size) {
    final Map<String, Integer> zones = new HashMap<>();
    final Map<String, Integer> regions = new HashMap<>();
    int unreachableVoters = 0;
    for (final Voter voter : voters) {
      zones.merge(zone(voter), 1, Integer::sum);
      regions.merge(region(voter), 1, Integer::sum);
      unreachableVoters += unreachable.contains(voter.address) ? 1 : 0;
    }
    int crowded = 0;
    for (final int count : zones.values()) {
      crowded += Math.max(0, count - (size - 1) / 2);
    }
    return new Cost(
        crowded, unreachableVoters, sumOfSquares(zones.values()), sumOfSquares(regions.values()));
  }

  private static int sumOfSquares(final Collection<Integer> counts) {
    int sum = 0;
    for (final int count : counts) {
      sum += count * count;
    }
    return sum;
  }

  /**
   * The best set of at most {@code maxVoters} voters out of the present ones and the joiners. Zones
   * are nested in regions, so that replacing one voter at a time while the cost falls ends at the
   * best set. A set of even size with an unreachable voter is better off without it: three of three
   * tolerate one more loss, three of four none.
   */
  static List<Voter> best(
      final List<Voter> voters,
      final Set<String> unreachable,
      final List<Voter> joiners,
      final int maxVoters) {
    final List<Voter> chosen = new ArrayList<>(voters);
    final List<Voter> others = new ArrayList<>(joiners);
    final int size = Math.min(maxVoters, voters.size() + joiners.size());
    while (chosen.size() > size) {
      Voter worst = null;
      Cost least = null;
      for (final Voter voter : chosen) {
        final List<Voter> without = new ArrayList<>(chosen);
        without.remove(voter);
        final Cost cost = cost(without, unreachable, size);
        if (least == null || !least.isBelow(cost)) {
          least = cost;
          worst = voter;
        }
      }
      chosen.remove(worst);
    }
    while (chosen.size() < size) {
      Voter best = null;
      Cost least = null;
      for (final Voter voter : others) {
        final List<Voter> with = new ArrayList<>(chosen);
        with.add(voter);
        final Cost cost = cost(with, unreachable, size);
        if (least == null || cost.isBelow(least)) {
          least = cost;
          best = voter;
        }
      }
      chosen.add(best);
      others.remove(best);
    }
    while (replaceOne(chosen, others, unreachable, size)) {
      continue;
    }
    if (size > MIN_VOTERS && size % 2 == 0) {
      chosen.stream()
          .filter(voter -> unreachable.contains(voter.address))
          .findFirst()
          .ifPresent(chosen::remove);
    }
    return chosen;
  }

  private static boolean replaceOne(
      final List<Voter> chosen,
      final List<Voter> others,
      final Set<String> unreachable,
      final int size) {
    Cost least = cost(chosen, unreachable, size);
    Voter added = null;
    Voter removed = null;
    for (final Voter other : others) {
      for (int voterIndex = chosen.size() - 1; voterIndex >= 0; voterIndex--) {
        final List<Voter> candidate = new ArrayList<>(chosen);
        candidate.set(voterIndex, other);
        final Cost cost = cost(candidate, unreachable, size);
        if (cost.isBelow(least)) {
          least = cost;
          added = other;
          removed = chosen.get(voterIndex);
        }
      }
    }
    if (added == null) {
      return false;
    }
    chosen.set(chosen.indexOf(removed), added);
    others.remove(added);
    others.add(removed);
    return true;
  }

  /**
   * How many reachable voters above a majority remain after the loss of the zone with most of them;
   * negative if the majority is lost.
   */
  static int spareAfterZoneLoss(final List<Voter> voters, final Set<String> unreachable) {
    final Map<String, Integer> zones = new HashMap<>();
    int reachable = 0;
    int largestZone = 0;
    for (final Voter voter : voters) {
      if (!unreachable.contains(voter.address)) {
        reachable++;
        largestZone = Math.max(largestZone, zones.merge(zone(voter), 1, Integer::sum));
      }
    }
    return reachable - largestZone - (voters.size() / 2 + 1);
  }

  /** How many voters above a majority are reachable; negative if there is no majority. */
  static int spare(final List<Voter> voters, final Set<String> unreachable) {
    int reachable = 0;
    for (final Voter voter : voters) {
      reachable += unreachable.contains(voter.address) ? 0 : 1;
    }
    return reachable - (voters.size() / 2 + 1);
  }
}
