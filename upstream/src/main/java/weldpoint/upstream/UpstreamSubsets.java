package weldpoint.upstream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import weldpoint.common.RendezvousHash;
import weldpoint.common.Settings;

/**
 * This proxy's own subset of every large service: few upstreams, so that their connections are used
 * again and their load is known. The subsets of all proxies together give each upstream about as
 * many proxies as the next.
 */
final class UpstreamSubsets {
  private static final int LEAST_WIDTH = 4;
  private static final int TIERS = 3;

  /** A service's upstreams by distance: own site, own region, elsewhere. */
  static final class Tiers {
    private static final Tiers NONE = new Tiers(false);

    final List<List<Upstream>> own = lists();
    final List<List<Upstream>> all = lists();

    /** Whether the own subset is less than all. */
    final boolean divided;

    private Tiers(final boolean divided) {
      this.divided = divided;
    }

    private static List<List<Upstream>> lists() {
      final List<List<Upstream>> lists = new ArrayList<>();
      for (int tier = 0; tier < TIERS; tier++) {
        lists.add(new ArrayList<>());
      }
      return lists;
    }

    private void add(final Upstream upstream, final int tier) {
      all.get(tier).add(upstream);
      if (upstream.own) {
        own.get(tier).add(upstream);
      }
    }
  }

  private final Settings settings;
  private final Map<String, Tiers> tiers = new HashMap<>();
  private List<String> neighbours = List.of();
  private boolean outdated = true;

  UpstreamSubsets(final Settings settings) {
    this.settings = settings;
  }

  /** The upstreams have changed. */
  void outdated() {
    outdated = true;
  }

  /** Takes which proxies share this site, in an order that all of them are told alike. */
  void neighbours(final List<String> addresses) {
    outdated |= !addresses.equals(neighbours);
    neighbours = addresses;
  }

  /** The upstreams of a service as of the last update. */
  Tiers tiers(final String service) {
    return tiers.getOrDefault(service, Tiers.NONE);
  }

  /** Divides the services anew, each a list of its upstreams, where something has changed. */
  void update(final Collection<List<Upstream>> services) {
    if (!outdated) {
      return;
    }
    outdated = false;
    tiers.clear();
    for (final List<Upstream> upstreams : services) {
      if (!upstreams.isEmpty()) {
        tiers.put(upstreams.get(0).service, divide(upstreams));
      }
    }
  }

  private Tiers divide(final List<Upstream> upstreams) {
    final boolean large = upstreams.size() > 2 * settings.subsetSize();
    final Map<String, List<Upstream>> sites = new HashMap<>();
    for (final Upstream upstream : upstreams) {
      upstream.own = !large;
      sites.computeIfAbsent(upstream.site, name -> new ArrayList<>()).add(upstream);
    }
    if (large && place(sites.getOrDefault(settings.site(), List.of()).size()) >= 0) {
      takeStretches(upstreams, sites.getOrDefault(settings.site(), List.of()));
    } else if (large) {
      sites.forEach(this::takeNearestByRank);
    }
    final Tiers divided = new Tiers(large);
    for (final Upstream upstream : upstreams) {
      divided.add(upstream, tier(upstream));
    }
    return divided;
  }

  private int tier(final Upstream upstream) {
    return upstream.site.equals(settings.site())
        ? 0
        : upstream.region.equals(settings.region()) ? 1 : 2;
  }

  private void takeStretches(final List<Upstream> upstreams, final List<Upstream> near) {
    takeStretch(
        near,
        (double) place(near.size()) / neighbours.size(),
        Math.ceil(settings.subsetSharers() * near.size() / neighbours.size()));
    final Map<String, List<Upstream>> regions = new HashMap<>();
    for (final Upstream upstream : upstreams) {
      if (!upstream.site.equals(settings.site())) {
        regions.computeIfAbsent(upstream.region, name -> new ArrayList<>()).add(upstream);
      }
    }
    regions
        .values()
        .forEach(list -> takeStretch(list, position(), (settings.subsetSize() + 1) / 2));
  }

  private void takeNearestByRank(final String site, final List<Upstream> upstreams) {
    upstreams.sort(
        Comparator.comparingLong(upstream -> RendezvousHash.of(upstream.id, settings.address())));
    final int most =
        site.equals(settings.site()) ? settings.subsetSize() : (settings.subsetSize() + 1) / 2;
    upstreams.subList(0, Math.min(most, upstreams.size())).forEach(upstream -> upstream.own = true);
  }

  /**
   * The place of this proxy among those of its site; -1 where that is not known, or too few share
   * too many upstreams.
   */
  private int place(final int upstreams) {
    return neighbours.size() * (long) settings.subsetSize() < settings.subsetSharers() * upstreams
        ? -1
        : neighbours.indexOf(settings.address());
  }

  /** Where this proxy stands among all, from 0 to 1, if every site has as many as its own. */
  private double position() {
    final List<String> sites = new ArrayList<>(settings.sites().keySet());
    sites.sort(null);
    return (Math.max(0, sites.indexOf(settings.site()))
            + (neighbours.indexOf(settings.address()) + 0.5) / neighbours.size())
        / Math.max(1, sites.size());
  }

  /**
   * Upstreams stand in one order for all; each proxy has a stretch of it, so that each upstream has
   * as many proxies as the next.
   */
  private static void takeStretch(
      final List<Upstream> list, final double position, final double wanted) {
    list.sort(
        Comparator.comparingLong(upstream -> RendezvousHash.of(upstream.id, upstream.service)));
    final int size = list.size();
    final int width = (int) Math.min(size, Math.max(LEAST_WIDTH, wanted));
    final int from = (int) (position * size);
    for (int step = 0; step < width; step++) {
      list.get((from + step) % size).own = true;
    }
  }
}
