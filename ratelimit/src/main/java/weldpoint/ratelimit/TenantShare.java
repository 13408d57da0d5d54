package weldpoint.ratelimit;

import weldpoint.common.Invariant;

/**
 * One registry's share of one tenant's limit: a token bucket, and an invariant check of what it
 * granted within a window.
 */
final class TenantShare {
  private static final Invariant WITHIN_LIMIT = Invariant.named("tenant grants within the limit");

  /**
   * The counter's 24 buckets cover up to 24/23 of the window, so the check allows that much more.
   */
  private static final double CHECK_WINDOW_FACTOR = 24.0 / 23;

  private final TokenBucket bucket;
  private final long windowMillis;
  private SlidingWindowCounter windowCounter;
  private double ratePerMilli;
  private double capacity;
  private long granted;
  private long refused;

  TenantShare(final double initialTokens, final long startAt, final long windowMillis) {
    this.bucket = new TokenBucket(initialTokens, startAt);
    this.windowMillis = windowMillis;
    this.windowCounter = new SlidingWindowCounter(windowMillis);
  }

  /**
   * Takes up to {@code count} permits at this rate and capacity, which may change between calls;
   * returns how many.
   */
  int acquireUpTo(
      final int count, final double ratePerMilli, final double capacity, final long now) {
    if (ratePerMilli < this.ratePerMilli || capacity < this.capacity) {
      windowCounter = new SlidingWindowCounter(windowMillis);
    }
    this.ratePerMilli = ratePerMilli;
    this.capacity = capacity;
    final int acquired = bucket.acquireUpTo(count, ratePerMilli, capacity, now);
    windowCounter.acquireUpTo(acquired, Integer.MAX_VALUE, now);
    final double allowed = capacity + ratePerMilli * windowMillis * CHECK_WINDOW_FACTOR + 1;
    final int inWindow = windowCounter.currentTotal(now);
    WITHIN_LIMIT.check(
        inWindow <= allowed,
        () -> inWindow + " permits granted within one window, allowed " + allowed);
    granted += acquired;
    refused += count - acquired;
    return acquired;
  }

  /**
   * Whether a new share would grant the same as this one: nothing was granted for a window and the
   * bucket is full.
   */
  boolean isIdle(final long now) {
    return windowCounter.currentTotal(now) == 0 && bucket.isFull(ratePerMilli, capacity, now);
  }

  long granted() {
    return granted;
  }

  long refused() {
    return refused;
  }
}
