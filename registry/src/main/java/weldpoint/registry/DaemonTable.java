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
 * The switchboards and announcers that this exchange has heard of, itself or from other exchanges,
 * and when.
 */
final class DaemonTable {
  static final long LIVE_MILLIS = 4000;
  static final long GONE_MILLIS = 20_000;
  static final long STAYS_MILLIS = 10_000;
  private static final long PATIENCE_MILLIS = 700;
  private static final long KEEP_MILLIS = 60_000;
  private static final long COUNTED_MILLIS = 10_000;
  private static final long MOST_MILLIS = 20_000;

  /** One of them. */
  static final class Entry {
    DaemonEntry board;
    long heardAt;
    long closedAt;
  }

  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private int most;
  private long mostAt;

  Collection<Entry> all() {
    return entries.values();
  }

  int size() {
    return entries.size();
  }

  /** The largest number of switchboards lately seen. */
  int most() {
    return most;
  }

  /** Whether what this one tells of itself is news to others. */
  boolean news(final DaemonEntry board, final long now) {
    final Entry entry = entries.get(board.address);
    return entry == null
        || entry.board.incarnation != board.incarnation
        || entry.board.leaving != board.leaving
        || now - entry.heardAt > LIVE_MILLIS;
  }

  void merge(final List<DaemonEntry> list, final long now) {
    boolean changed = false;
    for (final DaemonEntry board : list) {
      final Entry entry = entries.computeIfAbsent(board.address, address -> new Entry());
      final long heardAt = now - board.ageMillis;
      if (entry.board == null
          || board.incarnation == entry.board.incarnation
              && (heardAt > entry.heardAt || board.leaving && !entry.board.leaving)
          || board.incarnation != entry.board.incarnation && heardAt > entry.heardAt) {
        final boolean stays =
            entry.board != null
                && entry.board.incarnation == board.incarnation
                && entry.board.leaving;
        entry.board = stays ? entry.board : board;
        entry.heardAt = Math.max(entry.heardAt, heardAt);
        changed = true;
      }
    }
    if (changed) {
      count(now);
    }
  }

  /** Another exchange, or this one, holds it to be gone. */
  void gone(final DaemonEntry board, final long now) {
    final Entry entry = entries.get(board.address);
    if (entry != null
        && entry.board.incarnation == board.incarnation
        && now - entry.heardAt > PATIENCE_MILLIS) {
      entry.heardAt = Math.min(entry.heardAt, now - GONE_MILLIS);
    }
  }

  /** The stream of one of them has ended. */
  void closed(final String address, final long now) {
    final Entry entry = entries.get(address);
    if (entry != null) {
      entry.closedAt = now;
    }
  }

  /**
   * Those whose stream ended and who have opened none anywhere for a while: they are now held to be
   * gone.
   */
  List<DaemonEntry> missed(final long now) {
    final List<DaemonEntry> missed = new ArrayList<>();
    for (final Entry entry : entries.values()) {
      if (entry.closedAt != 0 && now - entry.closedAt > PATIENCE_MILLIS) {
        if (entry.heardAt <= entry.closedAt && now - entry.heardAt < GONE_MILLIS) {
          gone(entry.board, now);
          missed.add(entry.board);
        }
        entry.closedAt = 0;
      }
    }
    return missed;
  }

  /** The same one, heard of so long ago. */
  static DaemonEntry aged(final DaemonEntry board, final long ageMillis) {
    return new DaemonEntry(
        board.address,
        board.trafficAddress,
        board.site,
        board.region,
        board.incarnation,
        board.leaving,
        ageMillis,
        board.cacheDaemon,
        board.version,
        board.controlRevision,
        board.appliedForMillis);
  }

  void count(final long now) {
    int live = 0;
    for (final Entry entry : entries.values()) {
      live += !entry.board.cacheDaemon && now - entry.heardAt < COUNTED_MILLIS ? 1 : 0;
    }
    if (live >= most || now - mostAt > MOST_MILLIS) {
      most = live;
      mostAt = now;
    }
  }

  /** The switchboards that were heard of lately and do not leave. */
  List<DaemonEntry> live(final long now) {
    final List<DaemonEntry> live = new ArrayList<>();
    for (final Entry entry : entries.values()) {
      if (!entry.board.cacheDaemon && !entry.board.leaving && now - entry.heardAt < LIVE_MILLIS) {
        live.add(entry.board);
      }
    }
    return live;
  }

  /** The addresses of announcers, null where there are none. */
  List<String> announcers(final long now) {
    List<String> announcers = null;
    for (final Entry entry : entries.values()) {
      if (entry.board.cacheDaemon && !entry.board.leaving && now - entry.heardAt < GONE_MILLIS) {
        announcers = announcers == null ? new ArrayList<>() : announcers;
        announcers.add(entry.board.address);
      }
    }
    return announcers;
  }

  /** The switchboards of each site. */
  Map<String, List<String>> sites(final long now) {
    final Map<String, List<String>> sites = new HashMap<>();
    for (final Entry entry : entries.values()) {
      if (!entry.board.cacheDaemon && !entry.board.leaving && now - entry.heardAt < STAYS_MILLIS) {
        sites.computeIfAbsent(entry.board.site, site -> new ArrayList<>()).add(entry.board.address);
      }
    }
    return sites;
  }

  // ---- gossip

  private TreeMap<String, Entry> kept(final long now) {
    final TreeMap<String, Entry> kept = new TreeMap<>();
    entries.forEach(
        (address, entry) -> {
          if (now - entry.heardAt < KEEP_MILLIS) {
            kept.put(address, entry);
          }
        });
    return kept;
  }

  /** All that are still told of, with their ages. */
  List<DaemonEntry> told(final long now) {
    final List<DaemonEntry> list = new ArrayList<>();
    kept(now).values().forEach(entry -> list.add(aged(entry.board, now - entry.heardAt)));
    return list;
  }

  long digest(final long now) {
    long sum = 0;
    for (final Entry entry : kept(now).values()) {
      final DaemonEntry board = entry.board;
      long hash = board.address.hashCode() * 0x9e3779b97f4a7c15L + board.incarnation;
      hash =
          (hash ^ hash >>> 29) * 0xbf58476d1ce4e5b9L
              + board.version * 31
              + board.controlRevision * 7
              + (board.leaving ? 1 : 0);
      sum += (hash ^ hash >>> 31) * 0xff51afd7ed558ccdL;
    }
    return sum;
  }

  /**
   * How long ago each was heard of, two bytes each in tens of milliseconds, in the order of their
   * addresses.
   */
  byte[] ages(final long now) {
    final TreeMap<String, Entry> kept = kept(now);
    final byte[] ages = new byte[2 * kept.size()];
    int index = 0;
    for (final Entry entry : kept.values()) {
      final int age = (int) Math.max(0, Math.min(0xffff, (now - entry.heardAt) / 10 + 1));
      ages[index++] = (byte) (age >> 8);
      ages[index++] = (byte) age;
    }
    return ages;
  }

  /** Takes the ages that a peer who knows of the same ones tells. */
  void takeAges(final byte[] ages, final long now) {
    final TreeMap<String, Entry> kept = kept(now);
    if (ages.length == 2 * kept.size()) {
      int index = 0;
      for (final Entry entry : kept.values()) {
        final long age = 10L * ((ages[index++] & 0xff) << 8 | ages[index++] & 0xff);
        entry.heardAt = Math.max(entry.heardAt, now - age);
      }
    }
  }
}
