package weldpoint.ownership;

/**
 * An upstream of a divided service, as the registry knows it.
 *
 * @param id the upstream's life
 * @param address host:port at which it takes requests and grants
 * @param capacity requests that it works on at once
 * @param standing whether it may be given keys, keep them, or must give them up
 */
public record Member(String id, String address, int capacity, Standing standing) {
  /** What an upstream may do with keys. */
  public enum Standing {
    /** It may be given keys. */
    ELIGIBLE,
    /** It keeps what it has and is given nothing more: it is cold, or has not been heard of. */
    KEEPS,
    /** It should give up what it has: it leaves, or its zone is evacuated. */
    LEAVES,
    /** Its process has ended: another life has its address, and may have been granted its keys. */
    ENDED
  }

  /** Whether it may be given keys. */
  public boolean eligible() {
    return standing == Standing.ELIGIBLE;
  }
}
