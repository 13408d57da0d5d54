package weldpoint.ratelimit;

import weldpoint.boot.Boot;
import weldpoint.dialplan.Dialplan;

/** What tenants and origins may get in one window, by the bounds in the settings. */
public enum RateLimit {
  /** The requests of a tenant that upstreams run. */
  TENANT("tenant/") {
    @Override
    double allowance(final Boot boot, final Dialplan plan, final String name) {
      final Dialplan.Tenant tenant = plan.tenant(name);
      if (tenant == null) {
        return 0;
      }
      return tenant.ratePerSecond() <= 0
          ? UNLIMITED
          : (tenant.ratePerSecond() * windowMillis(boot) / 1000.0 + tenant.burst())
                  * (1 + boot.quotaOvershoot())
              + boot.quotaTolerance();
    }

    @Override
    long windowMillis(final Boot boot) {
      return boot.quotaWindowMillis();
    }

    @Override
    long transitMillis() {
      return 1000;
    }

    @Override
    boolean forgiving() {
      return true;
    }

    @Override
    double exchangesPart() {
      return 0.9;
    }
  },
  /** What an origin receives, from whomever. */
  ORIGIN("origin/") {
    @Override
    double allowance(final Boot boot, final Dialplan plan, final String name) {
      final int service = plan.service(name);
      if (service < 0) {
        return 0;
      }
      final double rate = plan.services().get(service).ratePerSecond();
      return rate <= 0 ? UNLIMITED : rate * windowMillis(boot) / 1000.0 * boot.originOvershoot();
    }

    @Override
    long windowMillis(final Boot boot) {
      return boot.originWindowMillis();
    }

    @Override
    long transitMillis() {
      return ORIGIN_TRANSIT_MILLIS;
    }

    @Override
    boolean forgiving() {
      return false;
    }

    @Override
    double exchangesPart() {
      return 0.45;
    }
  };

  /** The allowance of what has no limit. */
  public static final double UNLIMITED = 1e9;

  /** What announcers may spend of an origin's allowance without asking. */
  public static final double ANNOUNCERS_PART = 0.55;

  /** How much longer than an origin's window permits are counted, for the way to the origin. */
  public static final long ORIGIN_TRANSIT_MILLIS = 300;

  private final String prefix;

  RateLimit(final String prefix) {
    this.prefix = prefix;
  }

  /** The name under which permits for this are asked. */
  public String permit(final String name) {
    return prefix + name;
  }

  /** The rateLimit that a permit's name falls under; null where there is none. */
  static RateLimit of(final String permit) {
    for (final RateLimit rateLimit : values()) {
      if (permit.startsWith(rateLimit.prefix)) {
        return rateLimit;
      }
    }
    return null;
  }

  String bare(final String permit) {
    return permit.substring(prefix.length());
  }

  /** How many may come in one window over the whole system. */
  abstract double allowance(Boot boot, Dialplan plan, String name);

  /** The window. */
  abstract long windowMillis(Boot boot);

  /** How much longer than the window permits are counted, since what they allow arrives later. */
  abstract long transitMillis();

  /**
   * Whether two lives of one exchange share its part between them, rather than the later one
   * waiting for a window.
   */
  abstract boolean forgiving();

  /** The part of the allowance that exchanges give out together. */
  abstract double exchangesPart();
}
