package weldpoint.ownership;

/**
 * The durations that determine when a grant has certainly expired, in milliseconds of the
 * assigner's steady clock.
 *
 * @param grantMillis validity of a grant, counted by the upstream from its arrival
 * @param leaseMillis how long a registry acts as assigner after it sent a read that confirmed it as
 *     such
 * @param maxSendMillis how long a grant call may be in progress before its connection is reset
 * @param maxLateMillis how long after its connection was reset a grant may still take effect:
 *     intermediaries may forward what they have buffered, and an upstream that was stalled reads
 *     what is left in its socket buffers
 */
public record GrantTimings(
    long grantMillis, long leaseMillis, long maxSendMillis, long maxLateMillis) {
  /**
   * Allowance for an upstream's clock running slow relative to ours, and as much again for our own
   * clock.
   */
  private static final double CLOCK_DRIFT_FACTOR = 1.04;

  private static final long MARGIN_MILLIS = 80;
  private static final long RENEWALS_PER_GRANT = 4;
  private static final long DEFAULT_LEASE_MILLIS = 1500;
  private static final long DEFAULT_MAX_SEND_MILLIS = 800;

  /** Returns the default durations for grants of this validity that may take effect this late. */
  public static GrantTimings of(final long grantMillis, final long maxLateMillis) {
    return new GrantTimings(
        grantMillis, DEFAULT_LEASE_MILLIS, DEFAULT_MAX_SEND_MILLIS, maxLateMillis);
  }

  /** Returns when a grant that took effect at this time at the latest has certainly expired. */
  public long latestExpiry(final long startedBy) {
    return startedBy + (long) Math.ceil(grantMillis * CLOCK_DRIFT_FACTOR) + MARGIN_MILLIS;
  }

  /**
   * Returns by when a grant whose connection was reset at this time has certainly taken effect or
   * been lost.
   */
  public long latestStart(final long resetAt) {
    return resetAt + maxLateMillis;
  }

  /**
   * Returns by when the last grant of the previous assigner has certainly taken effect or been
   * lost.
   */
  public long latestPredecessorStart(final long takenOverAt) {
    return latestStart(takenOverAt + leaseMillis + maxSendMillis + MARGIN_MILLIS);
  }

  /** Returns the interval between two grants of one range. */
  public long renewalIntervalMillis() {
    return grantMillis / RENEWALS_PER_GRANT;
  }

  /** Returns for how long a holder may leave grants unanswered before its keys are reassigned. */
  public long responseTimeoutMillis() {
    return grantMillis / 2;
  }
}
