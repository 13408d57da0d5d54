package weldpoint.ratelimit;

import weldpoint.common.Invariant;

/** One registry's share of one tenant's limit: a token bucket, and a check of what it gave. */
final class TenantShare {
  private static final Invariant WITHIN_LIMIT = Invariant.named("tenant grants within the limit");
  private static final double CHECK_SPAN = 24.0 / 23;

  private final TokenBucket bucket;
  private final long windowMillis;
  private SlidingWindowCounter given;
  private double ratePerMilli;
  private double capacity;
  private long granted;
  private long refused;

  TenantShare(final double level, final long at, final long windowMillis) {
    this.bucket = new TokenBucket(level, at);
    this.windowMillis = windowMillis;
    this.given = new SlidingWindowCounter(windowMillis);
  }

  /** Takes permits at this rate and capacity, which may change from call to call. */
  int take(final int count, final double ratePerMilli, final double capacity, final long now) {
    if (ratePerMilli < this.ratePerMilli || capacity < this.capacity) {
      given = new SlidingWindowCounter(windowMillis);
    }
    this.ratePerMilli = ratePerMilli;
    this.capacity = capacity;
    final int taken = bucket.take(count, ratePerMilli, capacity, now);
    given.take(taken, Integer.MAX_VALUE, now);
    final double allowed = capacity + ratePerMilli * windowMillis * CHECK_SPAN + 1;
    final int sum = given.taken(now);
    WITHIN_LIMIT.check(sum <= allowed, () -> sum + " granted in a window, allowed " + allowed);
    granted += taken;
    refused += count - taken;
    return taken;
  }

  /** Whether a new share would give the same as this one: nothing was given for a window. */
  boolean idle(final long now) {
    return given.taken(now) == 0 && bucket.full(ratePerMilli, capacity, now);
  }

  long granted() {
    return granted;
  }

  long refused() {
    return refused;
  }
}
