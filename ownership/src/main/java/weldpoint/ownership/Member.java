package weldpoint.ownership;

/**
 * An upstream of a partitioned service, as the registry knows it.
 *
 * @param id the instance id, which changes when the upstream restarts
 * @param address host:port that serves requests and grants
 * @param capacity requests that it processes concurrently
 * @param standing whether it may get keys, keep them, or must release them
 */
public record Member(String id, String address, int capacity, Standing standing) {
  /** Whether an upstream may get or keep keys. */
  public enum Standing {
    /** It may get keys. */
    ELIGIBLE,
    /** It keeps its keys but gets no more: it is in slow start, or its heartbeats are missing. */
    NO_NEW_KEYS,
    /** It must release its keys: it is shutting down, or its zone is evacuated. */
    LEAVING,
    /**
     * Its process has terminated: a later incarnation has its address, and may have received grants
     * meant for it.
     */
    TERMINATED
  }

  /** Returns whether it may get keys. */
  public boolean eligible() {
    return standing == Standing.ELIGIBLE;
  }
}
