package weldpoint.ownership;

/**
 * The result of a grant or release call to an upstream.
 *
 * @param end how the call ended
 * @param transfer the state that a release handed over; null if there was none
 */
public record CallResult(Outcome outcome, String transfer) {
  /** The ways in which a call ends; label values of metrics. */
  public enum Outcome {
    /** The upstream carried it out. */
    DONE,
    /** The upstream rejected it, having seen a higher fencing token. */
    REFUSED,
    /** Nothing was sent. */
    NOT_SENT,
    /** The upstream may have carried it out. */
    UNKNOWN
  }

  /** Creates a result without handed-over state. */
  public static CallResult of(final Outcome outcome) {
    return new CallResult(outcome, null);
  }
}
