package weldpoint.upstream;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import weldpoint.common.RendezvousHash;

/**
 * This switchboard's part of what all of them together may send to one cold upstream. The bound of
 * one second is a whole number of tokens. A fleet no larger than that shares them evenly; in a
 * larger one the sites have fixed parts, and within a site the switchboards that rank first for an
 * upstream have one token each. A token is used once a second at most, counted from the moment at
 * which the request was really sent, so no second sees more requests than there are tokens.
 */
final class SlowStartLimiter {
  private static final long SECOND_MILLIS = 1020;
  private static final double CAUTION = 0.9;
  private static final long FRESH_MILLIS = 3000;
  private static final long COUNT_STAYS_MILLIS = 20_000;
  private static final long NEIGHBOUR_STAYS_MILLIS = 20_000;
  private static final double OWN_SITE = 0.5;

  private final String self;
  private final String site;
  private final int sites;
  private final double overshoot;
  private final double tolerance;
  private final Random random;
  private final Map<String, Long> neighbours = new HashMap<>();
  private int most;
  private long mostAt;
  private long toldFrom = Long.MAX_VALUE;
  private long nextLeaves = Long.MAX_VALUE;
  private int lists = 1;

  SlowStartLimiter(
      final String self,
      final String site,
      final int sites,
      final double overshoot,
      final double tolerance,
      final Random random) {
    this.self = self;
    this.site = site;
    this.sites = Math.max(1, sites);
    this.overshoot = overshoot;
    this.tolerance = tolerance;
    this.random = random;
  }

  /** Takes how many switchboards there are, from somebody who knows it for certain. */
  void settled(final int count) {
    most = Math.max(1, count);
    toldFrom = Long.MIN_VALUE / 2;
  }

  /** Takes how many switchboards an exchange counts; the largest number lately told holds. */
  void told(final int count, final long now) {
    if (toldFrom == Long.MAX_VALUE) {
      toldFrom = now;
    }
    if (count >= most || now - mostAt > COUNT_STAYS_MILLIS) {
      most = Math.max(1, count);
      mostAt = now;
    }
  }

  /** The largest number of switchboards lately told. */
  int switchboards() {
    return Math.max(1, most);
  }

  /** Takes who shares the site; who is no longer named still counts for a while. */
  void neighbours(final Collection<String> addresses, final long now) {
    neighbours.replaceAll(
        (address, until) -> until == Long.MAX_VALUE ? now + NEIGHBOUR_STAYS_MILLIS : until);
    for (final String address : addresses) {
      neighbours.put(address, Long.MAX_VALUE);
    }
    leave(now);
  }

  private void leave(final long now) {
    neighbours.values().removeIf(until -> until <= now);
    nextLeaves = neighbours.values().stream().min(Long::compare).orElse(Long.MAX_VALUE);
    lists++;
  }

  /** Whether a request may be sent to this cold upstream now. */
  boolean admits(
      final Upstream upstream, final double perSecond, final double ordered, final long now) {
    if (upstream.connecting > 0 || !member(upstream, perSecond, now)) {
      return false;
    }
    if (!upstream.coldPaced) {
      upstream.coldPaced = true;
      if (fresh(now) || alone(perSecond)) {
        upstream.nextColdAt =
            Math.max(
                upstream.nextColdAt,
                now + (long) (random.nextDouble() * pace(perSecond, ordered, now)));
      }
    }
    return now >= upstream.nextColdAt;
  }

  /** A request was sent to a cold upstream, or is about to be. */
  void sent(final Upstream upstream, final double perSecond, final double ordered, final long now) {
    upstream.coldPace = pace(perSecond, ordered, now);
    upstream.nextColdAt = Math.max(upstream.nextColdAt, now + upstream.coldPace);
  }

  /**
   * Whether this switchboard knows the fleet from so short a time that it may have been told of a
   * part only.
   */
  private boolean fresh(final long now) {
    return toldFrom != Long.MAX_VALUE && now - toldFrom < FRESH_MILLIS;
  }

  private int tokens(final double perSecond) {
    return (int) Math.max(1, Math.floor(perSecond * overshoot + tolerance));
  }

  private boolean shared(final double perSecond, final long now) {
    return !fresh(now) && switchboards() <= tokens(perSecond);
  }

  /**
   * Whether the fleet is too large to share evenly, and nobody has said yet who shares the site.
   */
  private boolean alone(final double perSecond) {
    return neighbours.isEmpty() && switchboards() > tokens(perSecond);
  }

  private boolean member(final Upstream upstream, final double perSecond, final long now) {
    if (now >= nextLeaves) {
      leave(now);
    }
    if (neighbours.isEmpty() || shared(perSecond, now)) {
      return true;
    }
    if (upstream.coldRankOf != lists) {
      upstream.coldRankOf = lists;
      upstream.coldRank = rank(upstream.id);
    }
    return upstream.coldRank < part(upstream.site.equals(site), tokens(perSecond));
  }

  /**
   * How many tokens a site's switchboards have together: half of all at the upstream's own site,
   * the rest evenly at the others.
   */
  int part(final boolean own, final int tokens) {
    final int others =
        sites == 1
            ? 0
            : (int)
                Math.max(
                    tokens >= sites ? 1 : 0, Math.floor(tokens * (1 - OWN_SITE) / (sites - 1)));
    return own ? tokens - others * (sites - 1) : others;
  }

  private int rank(final String upstream) {
    final long mine = RendezvousHash.of(upstream, self);
    int before = 0;
    for (final String address : neighbours.keySet()) {
      final long one = RendezvousHash.of(upstream, address);
      if (!address.equals(self) && (one < mine || one == mine && address.compareTo(self) < 0)) {
        before++;
      }
    }
    return before;
  }

  private long pace(final double perSecond, final double ordered, final long now) {
    final int tokens = tokens(perSecond);
    final boolean shared = shared(perSecond, now);
    final double sharers =
        Math.max(
            ordered > 0 ? 1 / ordered : 0,
            alone(perSecond) ? switchboards() : shared ? switchboards() : tokens);
    final int each = shared ? Math.max(1, tokens / switchboards()) : 1;
    return (long)
        Math.ceil(
            Math.max(
                SECOND_MILLIS / (double) each,
                1000 * sharers / Math.max(0.5, CAUTION * perSecond)));
  }
}
