package weldpoint.ratelimit;

import weldpoint.common.Settings;
import weldpoint.routing.RoutingTable;

/**
 * The kinds of rate limits that apply to the fleet as a whole, with the bounds from the settings.
 */
public enum RateLimit {
  /** Requests of one tenant that upstreams run. */
  TENANT("tenant/"),
  /** Requests that one origin receives, from any sender. */
  ORIGIN("origin/");

  /** The fraction of an origin's allowance that cache nodes use without requesting permits. */
  public static final double CACHE_FRACTION = 0.55;

  /**
   * Milliseconds by which permits are counted longer than an origin's window, since a request takes
   * time to reach the origin.
   */
  public static final long ORIGIN_TRANSIT_MILLIS = 300;

  /** The fraction of its limit that a tenant gets; the rest covers clock drift. */
  static final double TENANT_FRACTION = 0.98;

  /** Permits that every share can accumulate, if the limit for a window allows it. */
  private static final double MIN_CAPACITY = 3;

  private static final double ORIGIN_FRACTION_WITH_CACHES = 0.45;
  private static final double ORIGIN_FRACTION_WITHOUT_CACHES = 0.95;

  private final String prefix;

  RateLimit(final String prefix) {
    this.prefix = prefix;
  }

  /** Returns the name under which permits for this tenant or service are requested. */
  public String permitName(final String name) {
    return prefix + name;
  }

  /** Returns the kind of limit that a permit's name belongs to; null if there is none. */
  static RateLimit of(final String permit) {
    for (final RateLimit limit : values()) {
      if (permit.startsWith(limit.prefix)) {
        return limit;
      }
    }
    return null;
  }

  String subjectName(final String permit) {
    return permit.substring(prefix.length());
  }

  /**
   * One of several equal shares of a tenant's limit, as a token bucket: in any {@code t}
   * milliseconds it grants at most {@code capacity + perMilli x t} permits.
   *
   * @param perMilli permits added per millisecond
   * @param capacity permits that may accumulate
   */
  record TenantLimit(double perMilli, double capacity) {
    /**
     * Computes one share; if its capacity would be below a few permits, it is raised at the expense
     * of the rate.
     */
    static TenantLimit of(
        final Settings settings, final RoutingTable.Tenant tenant, final int shareCount) {
      final double window = settings.quotaWindowMillis();
      final double overshoot = 1 + settings.quotaOvershoot();
      final double burst = tenant.burst() * overshoot + settings.quotaTolerance();
      final double inWindow = tenant.ratePerSecond() / 1000 * window * overshoot + burst;
      final double capacity = Math.max(burst, Math.min(inWindow / 2, MIN_CAPACITY * shareCount));
      final double fraction = TENANT_FRACTION / shareCount;
      return new TenantLimit(fraction * (inWindow - capacity) / window, fraction * capacity);
    }
  }

  /**
   * Returns how many requests an origin may receive in one window through permits of all
   * registries.
   */
  static double originAllowance(final Settings settings, final double ratePerSecond) {
    final double fraction =
        settings.contentDelivery() ? ORIGIN_FRACTION_WITH_CACHES : ORIGIN_FRACTION_WITHOUT_CACHES;
    return fraction
        * ratePerSecond
        * settings.originWindowMillis()
        / 1000.0
        * settings.originOvershoot();
  }
}
