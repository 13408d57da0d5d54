package weldpoint.ownership;

/**
 * The spans that decide when a grant has surely run out, in milliseconds of the assigner's steady
 * clock.
 *
 * @param holdMillis for how long a grant holds, counted by the upstream from its arrival
 * @param leaseMillis for how long a registry acts as assigner after it asked whether it still is
 * @param sendMillis the longest that a grant may be under way: then its connection is reset
 * @param lateMillis the longest that a grant may still be counted after its connection was reset:
 *     whoever stands between may pass on what it holds, and an upstream that was stalled reads what
 *     lies in its buffers
 */
public record GrantTimings(long holdMillis, long leaseMillis, long sendMillis, long lateMillis) {
  /** How much slower than ours an upstream's clock may run, with as much again for our own. */
  private static final double SLOWEST_CLOCK = 1.04;

  private static final long MARGIN_MILLIS = 80;
  private static final long RENEWALS_A_HOLD = 4;
  private static final long USUAL_LEASE_MILLIS = 1500;
  private static final long USUAL_SEND_MILLIS = 800;

  /** The usual spans for holds of this length, with grants that may be late by so much. */
  public static GrantTimings of(final long holdMillis, final long lateMillis) {
    return new GrantTimings(holdMillis, USUAL_LEASE_MILLIS, USUAL_SEND_MILLIS, lateMillis);
  }

  /** When a grant has surely run out that was counted at this time at the latest. */
  public long surelyOver(final long countedBy) {
    return countedBy + (long) Math.ceil(holdMillis * SLOWEST_CLOCK) + MARGIN_MILLIS;
  }

  /** When a grant whose connection was reset at this time has surely been counted or been lost. */
  public long surelyCounted(final long resetAt) {
    return resetAt + lateMillis;
  }

  /** When the last grant of an assigner before has surely been counted or been lost. */
  public long predecessorSilent(final long takenOverAt) {
    return surelyCounted(takenOverAt + leaseMillis + sendMillis + MARGIN_MILLIS);
  }

  /** The pause between two grants of one range. */
  public long renewMillis() {
    return holdMillis / RENEWALS_A_HOLD;
  }

  /** For how long a holder may leave grants unanswered before its keys are taken away. */
  public long patienceMillis() {
    return holdMillis / 2;
  }
}
