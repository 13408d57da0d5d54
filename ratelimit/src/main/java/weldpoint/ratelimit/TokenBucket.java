package weldpoint.ratelimit;

/**
 * A token bucket that is empty after a restart, so that a restarted process grants only what has
 * accumulated since. Across any number of restarts, no {@code t} milliseconds see more than {@code
 * capacity + rate x t} tokens taken. Not thread-safe.
 */
final class TokenBucket {
  private double tokens;
  private long updatedAt;

  /**
   * Creates a bucket that holds {@code tokens} at {@code updatedAt}, in milliseconds of the steady
   * clock.
   */
  TokenBucket(final double tokens, final long updatedAt) {
    this.tokens = tokens;
    this.updatedAt = updatedAt;
  }

  /**
   * Takes whole tokens, as far as available.
   *
   * @param count how many are requested
   * @param ratePerMilli tokens added per millisecond
   * @param capacity the maximum that the bucket holds
   * @param now milliseconds of the steady clock
   * @return how many were taken
   */
  int acquireUpTo(
      final int count, final double ratePerMilli, final double capacity, final long now) {
    final long elapsedMillis = Math.max(0, now - updatedAt);
    updatedAt = Math.max(updatedAt, now);
    tokens = Math.min(capacity, tokens + elapsedMillis * ratePerMilli);
    final int acquired = Math.max(0, Math.min(count, (int) Math.floor(tokens)));
    tokens -= acquired;
    return acquired;
  }

  /** Whether the bucket is full again by now. */
  boolean isFull(final double ratePerMilli, final double capacity, final long now) {
    return tokens + Math.max(0, now - updatedAt) * ratePerMilli >= capacity;
  }
}
