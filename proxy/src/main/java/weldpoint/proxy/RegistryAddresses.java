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
 * The registries that a proxy knows of, and which one it should dial next: each in turn, those that
 * a registry has no line to, or that lately gave no view, only after the others.
 */
final class RegistryAddresses {
  private static final long FAILED_MILLIS = 15_000;
  private static final int OWN_ZONE = 0;
  private static final int OWN_REGION = 1;
  private static final int ELSEWHERE = 2;

  private final DaemonEntry self;
  private final List<String> addresses = new ArrayList<>();
  private final Map<String, String> places = new HashMap<>();
  private final Map<String, Long> failedAt = new HashMap<>();
  private Set<String> reachable = Set.of();
  private int last;

  /** The seeds, in an order of this proxy's own. */
  RegistryAddresses(final DaemonEntry self, final List<String> seeds, final Random random) {
    this.self = self;
    addresses.addAll(seeds);
    Collections.shuffle(addresses, random);
  }

  /** Takes more of them; what is known besides stays known. */
  void add(final List<String> more) {
    for (final String address : more) {
      if (!addresses.contains(address)) {
        addresses.add(address);
      }
    }
  }

  /** A registry names those that it has a line to, and itself. */
  void reachable(final List<String> named) {
    if (!named.isEmpty()) {
      add(named);
      reachable = Set.copyOf(named);
    }
  }

  /** Takes where one of them stands, as region/zone. */
  void place(final String address, final String place) {
    places.put(address, place);
  }

  /** It was dialled and gave no view. */
  void failed(final String address, final long now) {
    failedAt.put(address, now);
  }

  /** It has given a view; the next one after it is dialled next. */
  void served(final String address) {
    failedAt.remove(address);
    last = Math.max(0, addresses.indexOf(address));
  }

  /**
   * The next one that is none of these: one that was named as reachable and did not fail lately,
   * else another that did not fail, else the one that failed first.
   */
  String next(final String present, final String other, final long now) {
    int best = -1;
    for (int step = 1; step <= addresses.size(); step++) {
      final int index = (last + step) % addresses.size();
      final String address = addresses.get(index);
      if (!address.equals(present)
          && !address.equals(other)
          && (best < 0 || order(address, now) < order(addresses.get(best), now))) {
        best = index;
      }
    }
    last = best < 0 ? (last + 1) % addresses.size() : best;
    return addresses.get(last);
  }

  /** Lower for those that should be dialled sooner. */
  private long order(final String address, final long now) {
    final long failed = failedAt.getOrDefault(address, now - FAILED_MILLIS);
    if (now - failed < FAILED_MILLIS) {
      return FAILED_MILLIS - (now - failed) + 1;
    }
    return reachable.contains(address) ? -1 : 0;
  }

  /**
   * One that is nearer than this: of the own zone, or of the own region; which one, each proxy
   * draws for itself. Null where there is none.
   */
  String nearer(final String present) {
    final int here = distance(present);
    String best = present;
    int nearest = here;
    for (final String address : addresses) {
      final int distance = distance(address);
      if (distance < nearest
          || distance == nearest
              && distance < here
              && RendezvousHash.of(address, self.address) < RendezvousHash.of(best, self.address)) {
        nearest = distance;
        best = address;
      }
    }
    return nearest < here ? best : null;
  }

  /** Makes this one the next to be dialled. */
  void prefer(final String address) {
    last = Math.floorMod(addresses.indexOf(address) - 1, addresses.size());
  }

  private int distance(final String address) {
    final String place = places.get(address);
    if (place == null || !place.startsWith(self.region + "/")) {
      return ELSEWHERE;
    }
    return place.equals(self.region + "/" + self.site) ? OWN_ZONE : OWN_REGION;
  }
}
