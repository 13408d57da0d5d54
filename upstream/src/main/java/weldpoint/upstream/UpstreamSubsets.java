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
 * Selects this proxy's subset of every large service: few upstreams, so that connections are reused
 * and their load is known from recent responses. The subsets of all proxies together spread the
 * proxies about evenly over the upstreams. Used by {@link UpstreamPool} on its event loop; not
 * thread-safe.
 */
final class UpstreamSubsets {
  /** Least number of upstreams in a slice, if there are that many. */
  private static final int MIN_SUBSET_SIZE = 4;

  private static final int TIER_COUNT = 3;

  /** A service's upstreams by distance: this site, this region, elsewhere. */
  static final class Tiers {
    private static final Tiers NONE = new Tiers(false);

    final List<List<Upstream>> subset = lists();
    final List<List<Upstream>> all = lists();

    /** Whether the service is large enough that the subset is smaller than the whole. */
    final boolean subsetted;

    private Tiers(final boolean subsetted) {
      this.subsetted = subsetted;
    }

    private static List<List<Upstream>> lists() {
      final List<List<Upstream>> lists = new ArrayList<>();
      for (int tier = 0; tier < TIER_COUNT; tier++) {
        lists.add(new ArrayList<>());
      }
      return lists;
    }

    private void add(final Upstream upstream, final int tier) {
      all.get(tier).add(upstream);
      if (upstream.inSubset) {
        subset.get(tier).add(upstream);
      }
    }
  }

  private final Settings settings;
  private final Map<String, Tiers> tiers = new HashMap<>();
  private List<String> siteProxies = List.of();
  private boolean outdated = true;

  UpstreamSubsets(final Settings settings) {
    this.settings = settings;
  }

  /** Marks the subsets as outdated since the upstreams have changed. */
  void markOutdated() {
    outdated = true;
  }

  /** Sets the addresses of this site's proxies, in an order that is the same for all of them. */
  void setSiteProxies(final List<String> addresses) {
    outdated |= !addresses.equals(siteProxies);
    siteProxies = addresses;
  }

  /**
   * Returns the upstreams of a service as of the last update; empty tiers for an unknown service.
   */
  Tiers tiers(final String service) {
    return tiers.getOrDefault(service, Tiers.NONE);
  }

  /** Recomputes the subsets if something has changed; each service is a list of its upstreams. */
  void update(final Collection<List<Upstream>> services) {
    if (!outdated) {
      return;
    }
    outdated = false;
    tiers.clear();
    for (final List<Upstream> upstreams : services) {
      if (!upstreams.isEmpty()) {
        tiers.put(upstreams.get(0).service, buildTiers(upstreams));
      }
    }
  }

  private Tiers buildTiers(final List<Upstream> upstreams) {
    final boolean large = upstreams.size() > 2 * settings.subsetSize();
    final Map<String, List<Upstream>> sites = new HashMap<>();
    for (final Upstream upstream : upstreams) {
      upstream.inSubset = !large;
      sites.computeIfAbsent(upstream.site, name -> new ArrayList<>()).add(upstream);
    }
    if (large && siteIndex(sites.getOrDefault(settings.site(), List.of()).size()) >= 0) {
      selectSlices(upstreams, sites.getOrDefault(settings.site(), List.of()));
    } else if (large) {
      sites.forEach(this::selectByRendezvousRank);
    }
    final Tiers result = new Tiers(large);
    for (final Upstream upstream : upstreams) {
      result.add(upstream, tier(upstream));
    }
    return result;
  }

  private int tier(final Upstream upstream) {
    return upstream.site.equals(settings.site())
        ? 0
        : upstream.region.equals(settings.region()) ? 1 : 2;
  }

  private void selectSlices(final List<Upstream> upstreams, final List<Upstream> localUpstreams) {
    selectSlice(
        localUpstreams,
        (double) siteIndex(localUpstreams.size()) / siteProxies.size(),
        Math.ceil(settings.subsetSharers() * localUpstreams.size() / siteProxies.size()));
    final Map<String, List<Upstream>> regions = new HashMap<>();
    for (final Upstream upstream : upstreams) {
      if (!upstream.site.equals(settings.site())) {
        regions.computeIfAbsent(upstream.region, name -> new ArrayList<>()).add(upstream);
      }
    }
    regions
        .values()
        .forEach(list -> selectSlice(list, fleetPosition(), (settings.subsetSize() + 1) / 2));
  }

  private void selectByRendezvousRank(final String site, final List<Upstream> upstreams) {
    upstreams.sort(
        Comparator.comparingLong(upstream -> RendezvousHash.of(upstream.id, settings.address())));
    final int limit =
        site.equals(settings.site()) ? settings.subsetSize() : (settings.subsetSize() + 1) / 2;
    upstreams
        .subList(0, Math.min(limit, upstreams.size()))
        .forEach(upstream -> upstream.inSubset = true);
  }

  /**
   * Returns the index of this proxy among those of its site; -1 if unknown, or if the site has too
   * few proxies for so many upstreams.
   */
  private int siteIndex(final int upstreams) {
    return siteProxies.size() * (long) settings.subsetSize() < settings.subsetSharers() * upstreams
        ? -1
        : siteProxies.indexOf(settings.address());
  }

  /**
   * Returns this proxy's position among all proxies, from 0 to 1, assuming that every site has as
   * many as this one.
   */
  private double fleetPosition() {
    final List<String> sites = new ArrayList<>(settings.sites().keySet());
    sites.sort(null);
    return (Math.max(0, sites.indexOf(settings.site()))
            + (siteProxies.indexOf(settings.address()) + 0.5) / siteProxies.size())
        / Math.max(1, sites.size());
  }

  /**
   * Selects a contiguous slice, starting at {@code position}, of an ordering of the upstreams that
   * is the same for all proxies, so that the slices cover the upstreams evenly.
   */
  private static void selectSlice(
      final List<Upstream> list, final double position, final double desiredSize) {
    list.sort(
        Comparator.comparingLong(upstream -> RendezvousHash.of(upstream.id, upstream.service)));
    final int size = list.size();
    final int sliceSize = (int) Math.min(size, Math.max(MIN_SUBSET_SIZE, desiredSize));
    final int start = (int) (position * size);
    for (int offset = 0; offset < sliceSize; offset++) {
      list.get((start + offset) % size).inSubset = true;
    }
  }
}
