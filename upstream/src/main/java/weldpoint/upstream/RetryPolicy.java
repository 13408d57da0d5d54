package weldpoint.upstream;

import weldpoint.routing.Route;

/**
 * When a request may be tried at a further upstream: the one place that decides it, for traffic and
 * for replays.
 */
public final class RetryPolicy {
  private static final double HEDGE = 0.55;
  private static final long LEAST_LEFT_MILLIS = 20;
  private static final double ROOM_REPEATABLE = 1.6;
  private static final double ROOM_WRITE = 2.0;
  private static final double ROUTE_STEP = 0.05;
  private static final double TENANT_STEP = 0.1;
  private static final int MOST_RANK = 4;

  private RetryPolicy() {}

  /** Whether one more try fits the route's attempts and the time left. */
  public static boolean fits(final Route route, final int sent, final long now, final long cutoff) {
    return sent < route.maxAttempts && now < cutoff - LEAST_LEFT_MILLIS;
  }

  /**
   * Whether a request may go on after a try: what may be repeated always, anything else only if no
   * try may have run.
   */
  public static boolean mayGoOn(final Route route, final boolean uncertain) {
    return route.kind.repeatable() || !uncertain;
  }

  /** Whether a second try is made beside one that takes long. */
  public static boolean hedges(final Route route, final int sent) {
    return route.kind.repeatable() && sent < route.maxAttempts;
  }

  /** After how long. */
  public static long hedgeMillis(final Route route) {
    return (long) (HEDGE * route.targetLatencyMillis);
  }

  /**
   * Up to which multiple of its slots an upstream is given requests of this route and tenant: what
   * ranks lowest is refused first, the tenant's rank before the route's, and writes last of all.
   */
  public static double room(final Route route, final int tenantRank) {
    final double least = route.kind.repeatable() ? ROOM_REPEATABLE - 0.6 : ROOM_REPEATABLE + 0.01;
    final double room =
        (route.kind.repeatable() ? ROOM_REPEATABLE : ROOM_WRITE)
            - ROUTE_STEP * rank(route.priority)
            - TENANT_STEP * rank(tenantRank);
    return Math.max(least, room);
  }

  private static int rank(final int given) {
    return Math.max(0, Math.min(MOST_RANK, given));
  }
}
