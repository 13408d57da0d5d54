package weldpoint.upstream;

import weldpoint.routing.Route;

/**
 * Decides when a request may be retried or hedged at another upstream, and how full an upstream may
 * be for it. Proxies and the replay simulator use this same policy. Stateless.
 */
public final class RetryPolicy {
  /** Hedge delay as a fraction of the route's target latency. */
  private static final double HEDGE_DELAY_FACTOR = 0.55;

  /** No attempt starts with less time than this left before the deadline. */
  private static final long MIN_REMAINING_MILLIS = 20;

  /** Load limits at the highest priority, as multiples of an upstream's slots. */
  private static final double REPEATABLE_LOAD_LIMIT = 1.6;

  private static final double WRITE_LOAD_LIMIT = 2.0;

  /** Reduction of the load limit per priority level. */
  private static final double ROUTE_PRIORITY_STEP = 0.05;

  private static final double TENANT_PRIORITY_STEP = 0.1;
  private static final int MAX_PRIORITY = 4;

  private RetryPolicy() {}

  /** Whether one more attempt fits the route's maximum of attempts and the time left. */
  public static boolean allowsAttempt(
      final Route route, final int attempts, final long now, final long deadline) {
    return attempts < route.maxAttempts && now < deadline - MIN_REMAINING_MILLIS;
  }

  /**
   * Whether a request may be retried after a failed attempt: repeatable requests always, others
   * only if no earlier attempt may have run.
   */
  public static boolean mayRetry(final Route route, final boolean uncertain) {
    return route.kind.repeatable() || !uncertain;
  }

  /** Whether a second attempt (a hedge) is sent alongside one that takes long. */
  public static boolean mayHedge(final Route route, final int attempts) {
    return route.kind.repeatable() && attempts < route.maxAttempts;
  }

  /**
   * Returns the delay in milliseconds after which a hedge is sent, a fraction of the target
   * latency.
   */
  public static long hedgeDelayMillis(final Route route) {
    return (long) (HEDGE_DELAY_FACTOR * route.targetLatencyMillis);
  }

  /**
   * Returns the load limit, as a multiple of an upstream's slots, up to which it is sent requests
   * of this route and tenant. Load is shed by priority: the tenant's priority weighs more than the
   * route's, higher numbers are rejected first, and writes are rejected last.
   */
  public static double loadLimit(final Route route, final int tenantPriority) {
    final double floor =
        route.kind.repeatable() ? REPEATABLE_LOAD_LIMIT - 0.6 : REPEATABLE_LOAD_LIMIT + 0.01;
    final double limit =
        (route.kind.repeatable() ? REPEATABLE_LOAD_LIMIT : WRITE_LOAD_LIMIT)
            - ROUTE_PRIORITY_STEP * clampPriority(route.priority)
            - TENANT_PRIORITY_STEP * clampPriority(tenantPriority);
    return Math.max(floor, limit);
  }

  private static int clampPriority(final int priority) {
    return Math.max(0, Math.min(MAX_PRIORITY, priority));
  }
}
