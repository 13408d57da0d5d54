package weldpoint.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import weldpoint.transport.RegistryMessages.DaemonEntry;

/**
 * The proxies and cache daemons that this registry knows, from their own streams or from other
 * registries, and when each was last heard of.
 */
final class DaemonTable {
  /** A proxy heard of within this time is live. */
  static final long LIVE_MILLIS = 4000;

  /** A daemon that was not heard of for this time is gone. */
  static final long GONE_MILLIS = 20_000;

  /** A proxy heard of within this time is listed among the proxies of its site. */
  static final long SITE_MEMBER_MILLIS = 10_000;

  /** The time a daemon has to reconnect after its stream ended. */
  private static final long RECONNECT_GRACE_MILLIS = 700;

  /** A daemon heard of within this time is still gossiped. */
  private static final long RETENTION_MILLIS = 60_000;

  /** A proxy heard of within this time counts towards the peak. */
  private static final long COUNTED_MILLIS = 10_000;

  /** How long a peak is kept before a smaller count replaces it. */
  private static final long PEAK_WINDOW_MILLIS = 20_000;

  /** A proxy or cache daemon. */
  static final class Entry {
    DaemonEntry daemon;
    long heardAt;
    long closedAt;
  }

  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private int peakProxyCount;
  private long peakAt;

  Collection<Entry> all() {
    return entries.values();
  }

  int size() {
    return entries.size();
  }

  /** The peak number of proxies in the recent past. */
  int peakProxyCount() {
    return peakProxyCount;
  }

  /** Whether a daemon's report should be pushed to other registries. */
  boolean isNew(final DaemonEntry daemon, final long now) {
    final Entry entry = entries.get(daemon.address);
    return entry == null
        || entry.daemon.incarnation != daemon.incarnation
        || entry.daemon.leaving != daemon.leaving
        || now - entry.heardAt > LIVE_MILLIS;
  }

  void merge(final List<DaemonEntry> list, final long now) {
    boolean changed = false;
    for (final DaemonEntry daemon : list) {
      final Entry entry = entries.computeIfAbsent(daemon.address, address -> new Entry());
      final long heardAt = now - daemon.ageMillis;
      if (entry.daemon == null
          || daemon.incarnation == entry.daemon.incarnation
              && (heardAt > entry.heardAt || daemon.leaving && !entry.daemon.leaving)
          || daemon.incarnation != entry.daemon.incarnation && heardAt > entry.heardAt) {
        final boolean keepLeaving =
            entry.daemon != null
                && entry.daemon.incarnation == daemon.incarnation
                && entry.daemon.leaving;
        entry.daemon = keepLeaving ? entry.daemon : daemon;
        entry.heardAt = Math.max(entry.heardAt, heardAt);
        changed = true;
      }
    }
    if (changed) {
      updatePeakCount(now);
    }
  }

  /** Marks a daemon as gone, as found by this or another registry. */
  void markGone(final DaemonEntry daemon, final long now) {
    final Entry entry = entries.get(daemon.address);
    if (entry != null
        && entry.daemon.incarnation == daemon.incarnation
        && now - entry.heardAt > RECONNECT_GRACE_MILLIS) {
      entry.heardAt = Math.min(entry.heardAt, now - GONE_MILLIS);
    }
  }

  /** Records the end of a daemon's stream. */
  void streamClosed(final String address, final long now) {
    final Entry entry = entries.get(address);
    if (entry != null) {
      entry.closedAt = now;
    }
  }

  /**
   * Marks those as gone whose stream ended and who have not reconnected to any registry within the
   * grace period; returns them.
   */
  List<DaemonEntry> expireDisconnected(final long now) {
    final List<DaemonEntry> expired = new ArrayList<>();
    for (final Entry entry : entries.values()) {
      if (entry.closedAt != 0 && now - entry.closedAt > RECONNECT_GRACE_MILLIS) {
        if (entry.heardAt <= entry.closedAt && now - entry.heardAt < GONE_MILLIS) {
          markGone(entry.daemon, now);
          expired.add(entry.daemon);
        }
        entry.closedAt = 0;
      }
    }
    return expired;
  }

  /** A copy of the entry with this age. */
  static DaemonEntry withAge(final DaemonEntry daemon, final long ageMillis) {
    return new DaemonEntry(
        daemon.address,
        daemon.trafficAddress,
        daemon.site,
        daemon.region,
        daemon.incarnation,
        daemon.leaving,
        ageMillis,
        daemon.cacheDaemon,
        daemon.version,
        daemon.controlRevision,
        daemon.appliedForMillis);
  }

  void updatePeakCount(final long now) {
    int live = 0;
    for (final Entry entry : entries.values()) {
      live += !entry.daemon.cacheDaemon && now - entry.heardAt < COUNTED_MILLIS ? 1 : 0;
    }
    if (live >= peakProxyCount || now - peakAt > PEAK_WINDOW_MILLIS) {
      peakProxyCount = live;
      peakAt = now;
    }
  }

  /** The proxies that were heard of recently and are not leaving. */
  List<DaemonEntry> liveProxies(final long now) {
    final List<DaemonEntry> live = new ArrayList<>();
    for (final Entry entry : entries.values()) {
      if (!entry.daemon.cacheDaemon && !entry.daemon.leaving && now - entry.heardAt < LIVE_MILLIS) {
        live.add(entry.daemon);
      }
    }
    return live;
  }

  /** The addresses of cache daemons; null if there are none. */
  List<String> liveCaches(final long now) {
    List<String> caches = null;
    for (final Entry entry : entries.values()) {
      if (entry.daemon.cacheDaemon && !entry.daemon.leaving && now - entry.heardAt < GONE_MILLIS) {
        caches = caches == null ? new ArrayList<>() : caches;
        caches.add(entry.daemon.address);
      }
    }
    return caches;
  }

  /** The addresses of the proxies of each site. */
  Map<String, List<String>> proxiesBySite(final long now) {
    final Map<String, List<String>> sites = new HashMap<>();
    for (final Entry entry : entries.values()) {
      if (!entry.daemon.cacheDaemon
          && !entry.daemon.leaving
          && now - entry.heardAt < SITE_MEMBER_MILLIS) {
        sites
            .computeIfAbsent(entry.daemon.site, site -> new ArrayList<>())
            .add(entry.daemon.address);
      }
    }
    return sites;
  }

  // ---- gossip

  private TreeMap<String, Entry> retained(final long now) {
    final TreeMap<String, Entry> retained = new TreeMap<>();
    entries.forEach(
        (address, entry) -> {
          if (now - entry.heardAt < RETENTION_MILLIS) {
            retained.put(address, entry);
          }
        });
    return retained;
  }

  /** All entries that are still gossiped, with their ages. */
  List<DaemonEntry> entriesWithAges(final long now) {
    final List<DaemonEntry> list = new ArrayList<>();
    retained(now).values().forEach(entry -> list.add(withAge(entry.daemon, now - entry.heardAt)));
    return list;
  }

  long digest(final long now) {
    long sum = 0;
    for (final Entry entry : retained(now).values()) {
      final DaemonEntry daemon = entry.daemon;
      long hash = daemon.address.hashCode() * 0x9e3779b97f4a7c15L + daemon.incarnation;
      hash =
          (hash ^ hash >>> 29) * 0xbf58476d1ce4e5b9L
              + daemon.version * 31
              + daemon.controlRevision * 7
              + (daemon.leaving ? 1 : 0);
      sum += (hash ^ hash >>> 31) * 0xff51afd7ed558ccdL;
    }
    return sum;
  }

  /** The age of each entry, two bytes each in units of 10 ms, in the order of their addresses. */
  byte[] ages(final long now) {
    final TreeMap<String, Entry> retained = retained(now);
    final byte[] ages = new byte[2 * retained.size()];
    int index = 0;
    for (final Entry entry : retained.values()) {
      final int age = (int) Math.max(0, Math.min(0xffff, (now - entry.heardAt) / 10 + 1));
      ages[index++] = (byte) (age >> 8);
      ages[index++] = (byte) age;
    }
    return ages;
  }

  /** Merges the ages of a peer that knows the same daemons. */
  void mergeAges(final byte[] ages, final long now) {
    final TreeMap<String, Entry> retained = retained(now);
    if (ages.length == 2 * retained.size()) {
      int index = 0;
      for (final Entry entry : retained.values()) {
        final long age = 10L * ((ages[index++] & 0xff) << 8 | ages[index++] & 0xff);
        entry.heardAt = Math.max(entry.heardAt, now - age);
      }
    }
  }
}
