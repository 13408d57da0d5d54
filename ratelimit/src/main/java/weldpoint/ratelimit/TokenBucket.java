package weldpoint.ratelimit;

/**
 * A token bucket that a process starts empty, so that a restart can grant nothing that time has not
 * earned since: over any number of lives, one after the other, no span of {@code t} milliseconds
 * sees more than {@code capacity + rate x t} tokens taken.
 */
final class TokenBucket {
  private double level;
  private long at;

  /** A bucket that holds so many tokens at a moment, in milliseconds of the steady clock. */
  TokenBucket(final double level, final long at) {
    this.level = level;
    this.at = at;
  }

  /**
   * Takes whole tokens, as far as there are any.
   *
   * @param count how many are wanted
   * @param ratePerMilli tokens that a millisecond brings
   * @param capacity the most that the bucket holds
   * @param now milliseconds of the steady clock
   * @return how many were taken
   */
  int take(final int count, final double ratePerMilli, final double capacity, final long now) {
    final long passed = Math.max(0, now - at);
    at = Math.max(at, now);
    level = Math.min(capacity, level + passed * ratePerMilli);
    final int taken = Math.max(0, Math.min(count, (int) Math.floor(level)));
    level -= taken;
    return taken;
  }

  /** Whether nothing was taken lately and the bucket is full again by now. */
  boolean full(final double ratePerMilli, final double capacity, final long now) {
    return level + Math.max(0, now - at) * ratePerMilli >= capacity;
  }
}
