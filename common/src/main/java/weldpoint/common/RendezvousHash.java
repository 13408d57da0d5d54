package weldpoint.common;

/**
 * The rank of a place for a name in rendezvous hashing: the same in every process, and unrelated
 * from name to name.
 */
public final class RendezvousHash {
  private RendezvousHash() {}

  /** The rank; the lowest comes first. */
  public static long of(final String node, final String key) {
    long mixed = node.hashCode() * 0x9e3779b97f4a7c15L + key.hashCode();
    mixed = (mixed ^ mixed >>> 30) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
    return mixed ^ mixed >>> 31;
  }
}
