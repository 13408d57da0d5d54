package weldpoint.ratelimit;

import weldpoint.common.Settings;
import weldpoint.routing.RoutingTable;

/** What is limited for the fleet as a whole, by the bounds in the settings. */
public enum RateLimit {
  /** The requests of a tenant that upstreams run. */
  TENANT("tenant/"),
  /** What an origin receives, from whomever. */
  ORIGIN("origin/");

  /** The part of an origin's allowance that cache nodes spend without asking. */
  public static final double CACHE_SHARE = 0.55;

  /** How much longer than an origin's window permits are counted, for the way to the origin. */
  public static final long ORIGIN_TRANSIT_MILLIS = 300;

  /** How much of its limit a tenant is given; the rest covers clocks that drift apart. */
  static final double TENANT_SHARE = 0.98;

  private static final double LEAST_CAPACITY = 3;
  private static final double ORIGIN_SHARE_BESIDE_CACHES = 0.45;
  private static final double ORIGIN_SHARE_ALONE = 0.95;

  private final String prefix;

  RateLimit(final String prefix) {
    this.prefix = prefix;
  }

  /** The name under which permits for this are asked. */
  public String permit(final String name) {
    return prefix + name;
  }

  /** The limit that a permit's name falls under; null where there is none. */
  static RateLimit of(final String permit) {
    for (final RateLimit limit : values()) {
      if (permit.startsWith(limit.prefix)) {
        return limit;
      }
    }
    return null;
  }

  String bare(final String permit) {
    return permit.substring(prefix.length());
  }

  /**
   * One of several equal parts of a tenant's limit: in any span of {@code t} milliseconds it gives
   * {@code capacity + perMilli x t} permits at most.
   *
   * @param perMilli permits that a millisecond brings
   * @param capacity permits that may be saved up
   */
  record TenantLimit(double perMilli, double capacity) {
    /** Parts that could not save up a few permits take them from their rate. */
    static TenantLimit of(
        final Settings settings, final RoutingTable.Tenant tenant, final int parts) {
      final double window = settings.quotaWindowMillis();
      final double overshoot = 1 + settings.quotaOvershoot();
      final double burst = tenant.burst() * overshoot + settings.quotaTolerance();
      final double inWindow = tenant.ratePerSecond() / 1000 * window * overshoot + burst;
      final double capacity = Math.max(burst, Math.min(inWindow / 2, LEAST_CAPACITY * parts));
      final double share = TENANT_SHARE / parts;
      return new TenantLimit(share * (inWindow - capacity) / window, share * capacity);
    }
  }

  /** How many requests an origin may receive in one window through permits of registries. */
  static double originAllowance(final Settings settings, final double ratePerSecond) {
    final double share =
        settings.contentDelivery() ? ORIGIN_SHARE_BESIDE_CACHES : ORIGIN_SHARE_ALONE;
    return share
        * ratePerSecond
        * settings.originWindowMillis()
        / 1000.0
        * settings.originOvershoot();
  }
}
