package weldpoint.common;

/**
 * Ranks the nodes for a key in rendezvous hashing. The ranks are the same in every process, and
 * independent from key to key.
 */
public final class RendezvousHash {
  private RendezvousHash() {}

  /** Returns the rank of a node for a key; the node with the lowest rank comes first. */
  public static long of(final String node, final String key) {
    long mixed = node.hashCode() * 0x9e3779b97f4a7c15L + key.hashCode();
    mixed = (mixed ^ mixed >>> 30) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
    return mixed ^ mixed >>> 31;
  }
}
