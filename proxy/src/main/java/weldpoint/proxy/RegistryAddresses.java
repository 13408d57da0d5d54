package weldpoint.proxy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import weldpoint.common.RendezvousHash;
import weldpoint.transport.RegistryMessages.DaemonEntry;

/**
 * The registries that a proxy knows, and which of them to dial next: round-robin, with those last
 * that no registry has a connection to or that recently delivered no view. Used by {@link
 * RegistryClient} on the control thread.
 */
final class RegistryAddresses {
  private static final long FAILURE_MEMORY_MILLIS = 15_000;
  private static final int SAME_ZONE = 0;
  private static final int SAME_REGION = 1;
  private static final int OTHER_REGION = 2;

  private final DaemonEntry self;
  private final List<String> addresses = new ArrayList<>();
  private final Map<String, String> locations = new HashMap<>();
  private final Map<String, Long> failedAt = new HashMap<>();
  private Set<String> reachable = Set.of();
  private int lastIndex;

  /** Starts with the seeds, shuffled differently by each proxy. */
  RegistryAddresses(final DaemonEntry self, final List<String> seeds, final Random random) {
    this.self = self;
    addresses.addAll(seeds);
    Collections.shuffle(addresses, random);
  }

  /** Adds addresses; known ones are kept. */
  void add(final List<String> more) {
    for (final String address : more) {
      if (!addresses.contains(address)) {
        addresses.add(address);
      }
    }
  }

  /**
   * Sets the registries that the current one can reach, itself included; an empty list is ignored.
   */
  void reachable(final List<String> named) {
    if (!named.isEmpty()) {
      add(named);
      reachable = Set.copyOf(named);
    }
  }

  /** Sets the location of a registry, as region/zone. */
  void setLocation(final String address, final String location) {
    locations.put(address, location);
  }

  /** Notes that a registry was dialled and delivered no view. */
  void dialFailed(final String address, final long now) {
    failedAt.put(address, now);
  }

  /** Notes that a registry has delivered a view; the search continues after it. */
  void viewReceived(final String address) {
    failedAt.remove(address);
    lastIndex = Math.max(0, addresses.indexOf(address));
  }

  /**
   * The next registry other than these two: one that is reachable and has not failed recently, else
   * another that has not failed, else the one that failed first.
   */
  String next(final String current, final String alsoExcluded, final long now) {
    int best = -1;
    for (int step = 1; step <= addresses.size(); step++) {
      final int index = (lastIndex + step) % addresses.size();
      final String address = addresses.get(index);
      if (!address.equals(current)
          && !address.equals(alsoExcluded)
          && (best < 0 || dialRank(address, now) < dialRank(addresses.get(best), now))) {
        best = index;
      }
    }
    lastIndex = best < 0 ? (lastIndex + 1) % addresses.size() : best;
    return addresses.get(lastIndex);
  }

  /** Lower values are dialled earlier. */
  private long dialRank(final String address, final long now) {
    final long lastFailure = failedAt.getOrDefault(address, now - FAILURE_MEMORY_MILLIS);
    if (now - lastFailure < FAILURE_MEMORY_MILLIS) {
      return FAILURE_MEMORY_MILLIS - (now - lastFailure) + 1;
    }
    return reachable.contains(address) ? -1 : 0;
  }

  /**
   * A registry nearer than this one, in the proxy's own zone or else its own region; rendezvous
   * hashing spreads the proxies over equally near ones. Null if there is none.
   */
  String nearer(final String current) {
    final int currentDistance = distance(current);
    String best = current;
    int nearest = currentDistance;
    for (final String address : addresses) {
      final int distance = distance(address);
      if (distance < nearest
          || distance == nearest
              && distance < currentDistance
              && RendezvousHash.of(address, self.address) < RendezvousHash.of(best, self.address)) {
        nearest = distance;
        best = address;
      }
    }
    return nearest < currentDistance ? best : null;
  }

  /** Makes this registry the next to be dialled. */
  void prefer(final String address) {
    lastIndex = Math.floorMod(addresses.indexOf(address) - 1, addresses.size());
  }

  private int distance(final String address) {
    final String location = locations.get(address);
    if (location == null || !location.startsWith(self.region + "/")) {
      return OTHER_REGION;
    }
    return location.equals(self.region + "/" + self.site) ? SAME_ZONE : SAME_REGION;
  }
}
