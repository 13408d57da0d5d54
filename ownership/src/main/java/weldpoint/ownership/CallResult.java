package weldpoint.ownership;

/**
 * How a call to an upstream ended.
 *
 * @param end how
 * @param transfer what a release handed over; null where there was nothing
 */
public record CallResult(End end, String transfer) {
  /** The ways in which a call ends. */
  public enum End {
    /** The upstream has done it. */
    DONE,
    /** The upstream has seen a higher fence. */
    REFUSED,
    /** Not a byte was sent. */
    NOT_SENT,
    /** It may have been done. */
    UNKNOWN
  }

  /** An end without a handover. */
  public static CallResult of(final End end) {
    return new CallResult(end, null);
  }
}
