package weldpoint.proxy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import weldpoint.boot.Rank;
import weldpoint.trunk.RegistryMessages.Board;

/**
 * The registries that a proxy knows of, and which one it should dial next: each in turn, but one
 * that lately gave no view only after the others.
 */
final class RegistryAddresses {
  private static final long FAILED_MILLIS = 15_000;
  private static final int OWN_ZONE = 0;
  private static final int OWN_REGION = 1;
  private static final int ELSEWHERE = 2;

  private final Board self;
  private final List<String> addresses = new ArrayList<>();
  private final Map<String, String> places = new HashMap<>();
  private final Map<String, Long> failedAt = new HashMap<>();
  private int last;

  /** The seeds, in an order of this proxy's own. */
  RegistryAddresses(final Board self, final List<String> seeds, final Random random) {
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

  /** The next one that is none of these: one that did not fail lately, where there is one. */
  String next(final String present, final String other, final long now) {
    String fallback = null;
    for (int step = 1; step <= addresses.size(); step++) {
      final int index = (last + step) % addresses.size();
      final String address = addresses.get(index);
      if (address.equals(present) || address.equals(other)) {
        continue;
      }
      if (now - failedAt.getOrDefault(address, now - FAILED_MILLIS) >= FAILED_MILLIS) {
        last = index;
        return address;
      }
      fallback = older(address, fallback);
    }
    if (fallback == null) {
      last = (last + 1) % addresses.size();
      return addresses.get(last);
    }
    last = addresses.indexOf(fallback);
    return fallback;
  }

  private String older(final String one, final String other) {
    return other == null || failedAt.get(one) < failedAt.get(other) ? one : other;
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
              && Rank.of(address, self.address) < Rank.of(best, self.address)) {
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
