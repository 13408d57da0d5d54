package weldpoint.upstream;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import weldpoint.common.RendezvousHash;

/**
 * Limits this proxy to its share of the request rate that all proxies together may send to an
 * upstream in slow start. The limit for one second is a whole number of tokens. A fleet with no
 * more proxies than tokens shares them evenly. In a larger fleet each site has a fixed number of
 * tokens, and within a site the proxies with the lowest rendezvous hash for an upstream get one
 * token each. A token is used at most once a second, counted from the moment at which the request
 * was actually sent, so no second sees more requests than there are tokens. Used by {@link
 * UpstreamPool} on its event loop; not thread-safe.
 */
final class SlowStartLimiter {
  /** Pause between two uses of a token: one second plus a margin. */
  private static final long TOKEN_INTERVAL_MILLIS = 1020;

  private static final double RATE_SAFETY_FACTOR = 0.9;

  /** How long after the first report of the fleet size that size may still be too small. */
  private static final long FLEET_LEARNING_MILLIS = 3000;

  private static final long FLEET_SIZE_TTL_MILLIS = 20_000;
  private static final long SITE_PROXY_TTL_MILLIS = 20_000;

  /** Share of all tokens that belongs to the upstream's own site, before rounding. */
  private static final double LOCAL_SITE_SHARE = 0.5;

  private final String ownAddress;
  private final String site;
  private final int siteCount;
  private final double overshoot;
  private final double tolerance;
  private final Random random;
  private final Map<String, Long> siteProxies = new HashMap<>();
  private int fleetSize;
  private long fleetSizeAt;
  private long fleetKnownSince = Long.MAX_VALUE;
  private long nextExpiryAt = Long.MAX_VALUE;
  private int siteProxiesVersion = 1;

  SlowStartLimiter(
      final String ownAddress,
      final String site,
      final int siteCount,
      final double overshoot,
      final double tolerance,
      final Random random) {
    this.ownAddress = ownAddress;
    this.site = site;
    this.siteCount = Math.max(1, siteCount);
    this.overshoot = overshoot;
    this.tolerance = tolerance;
    this.random = random;
  }

  /** Sets the exact number of proxies, known from an authoritative source. */
  void setFleetSize(final int count) {
    fleetSize = Math.max(1, count);
    fleetKnownSince = Long.MIN_VALUE / 2;
  }

  /** Takes the number of proxies that a registry counts; the largest recent number applies. */
  void reportFleetSize(final int count, final long now) {
    if (fleetKnownSince == Long.MAX_VALUE) {
      fleetKnownSince = now;
    }
    if (count >= fleetSize || now - fleetSizeAt > FLEET_SIZE_TTL_MILLIS) {
      fleetSize = Math.max(1, count);
      fleetSizeAt = now;
    }
  }

  /** Returns the largest recently reported number of proxies, at least 1. */
  int fleetSize() {
    return Math.max(1, fleetSize);
  }

  /**
   * Sets the proxies of this site by address; one that is no longer listed still counts for {@link
   * #SITE_PROXY_TTL_MILLIS}.
   */
  void setSiteProxies(final Collection<String> addresses, final long now) {
    siteProxies.replaceAll(
        (address, expiresAt) ->
            expiresAt == Long.MAX_VALUE ? now + SITE_PROXY_TTL_MILLIS : expiresAt);
    for (final String address : addresses) {
      siteProxies.put(address, Long.MAX_VALUE);
    }
    expireSiteProxies(now);
  }

  private void expireSiteProxies(final long now) {
    siteProxies.values().removeIf(expiresAt -> expiresAt <= now);
    nextExpiryAt = siteProxies.values().stream().min(Long::compare).orElse(Long.MAX_VALUE);
    siteProxiesVersion++;
  }

  /**
   * Returns whether a request may be sent to this upstream in slow start now. The first call in a
   * slow start delays the first send at random if this proxy may not know its exact share yet.
   */
  boolean admits(
      final Upstream upstream,
      final double ratePerSecond,
      final double assignedShare,
      final long now) {
    if (upstream.connecting > 0 || !mayHoldToken(upstream, ratePerSecond, now)) {
      return false;
    }
    if (!upstream.slowStartJittered) {
      upstream.slowStartJittered = true;
      if (learningFleet(now) || lacksSiteProxies(ratePerSecond)) {
        upstream.nextSlowStartSendAt =
            Math.max(
                upstream.nextSlowStartSendAt,
                now
                    + (long)
                        (random.nextDouble()
                            * sendIntervalMillis(ratePerSecond, assignedShare, now)));
      }
    }
    return now >= upstream.nextSlowStartSendAt;
  }

  /** Records that a request was or is about to be sent to an upstream in slow start. */
  void recordSent(
      final Upstream upstream,
      final double ratePerSecond,
      final double assignedShare,
      final long now) {
    upstream.slowStartIntervalMillis = sendIntervalMillis(ratePerSecond, assignedShare, now);
    upstream.nextSlowStartSendAt =
        Math.max(upstream.nextSlowStartSendAt, now + upstream.slowStartIntervalMillis);
  }

  /**
   * Whether this proxy learned of the fleet so recently that the reported size may cover only part
   * of it.
   */
  private boolean learningFleet(final long now) {
    return fleetKnownSince != Long.MAX_VALUE && now - fleetKnownSince < FLEET_LEARNING_MILLIS;
  }

  private int tokensPerSecond(final double ratePerSecond) {
    return (int) Math.max(1, Math.floor(ratePerSecond * overshoot + tolerance));
  }

  private boolean sharedEvenly(final double ratePerSecond, final long now) {
    return !learningFleet(now) && fleetSize() <= tokensPerSecond(ratePerSecond);
  }

  /**
   * Whether the fleet is too large to share evenly while the proxies of this site are still
   * unknown.
   */
  private boolean lacksSiteProxies(final double ratePerSecond) {
    return siteProxies.isEmpty() && fleetSize() > tokensPerSecond(ratePerSecond);
  }

  private boolean mayHoldToken(
      final Upstream upstream, final double ratePerSecond, final long now) {
    if (now >= nextExpiryAt) {
      expireSiteProxies(now);
    }
    if (siteProxies.isEmpty() || sharedEvenly(ratePerSecond, now)) {
      return true;
    }
    if (upstream.slowStartRankVersion != siteProxiesVersion) {
      upstream.slowStartRankVersion = siteProxiesVersion;
      upstream.slowStartRank = rank(upstream.id);
    }
    return upstream.slowStartRank
        < siteTokens(upstream.site.equals(site), tokensPerSecond(ratePerSecond));
  }

  /**
   * Returns how many tokens the proxies of one site have together: about half of all at the
   * upstream's own site, the rest split evenly among the other sites.
   */
  int siteTokens(final boolean local, final int tokens) {
    final int tokensPerOtherSite =
        siteCount == 1
            ? 0
            : (int)
                Math.max(
                    tokens >= siteCount ? 1 : 0,
                    Math.floor(tokens * (1 - LOCAL_SITE_SHARE) / (siteCount - 1)));
    return local ? tokens - tokensPerOtherSite * (siteCount - 1) : tokensPerOtherSite;
  }

  private int rank(final String upstreamId) {
    final long ownHash = RendezvousHash.of(upstreamId, ownAddress);
    int lower = 0;
    for (final String address : siteProxies.keySet()) {
      final long hash = RendezvousHash.of(upstreamId, address);
      if (!address.equals(ownAddress)
          && (hash < ownHash || hash == ownHash && address.compareTo(ownAddress) < 0)) {
        lower++;
      }
    }
    return lower;
  }

  private long sendIntervalMillis(
      final double ratePerSecond, final double assignedShare, final long now) {
    final int tokens = tokensPerSecond(ratePerSecond);
    final boolean even = sharedEvenly(ratePerSecond, now);
    final double sharingProxies =
        Math.max(
            assignedShare > 0 ? 1 / assignedShare : 0,
            lacksSiteProxies(ratePerSecond) ? fleetSize() : even ? fleetSize() : tokens);
    final int tokensEach = even ? Math.max(1, tokens / fleetSize()) : 1;
    return (long)
        Math.ceil(
            Math.max(
                TOKEN_INTERVAL_MILLIS / (double) tokensEach,
                1000 * sharingProxies / Math.max(0.5, RATE_SAFETY_FACTOR * ratePerSecond)));
  }
}
