package weldpoint.affinity;

import java.util.List;
import java.util.function.Predicate;
import weldpoint.transport.PlacementMessages.PlacementMember;

/**
 * Weighted rendezvous hashing: each member gets a score for a caller, and the member with the
 * highest score is chosen. All proxies choose the same member without shared state. A member that
 * joins takes over only its share of the callers, in proportion to its capacity; when a member
 * leaves, only its own callers move.
 */
public final class Rendezvous {
  private Rendezvous() {}

  /** Returns the hash of a caller of a service. */
  public static long callerHash(final String service, final String caller) {
    return mix(hash(service) * 31 + hash(caller));
  }

  private static long hash(final String text) {
    long hash = 0xcbf29ce484222325L;
    for (int index = 0; index < text.length(); index++) {
      hash = (hash ^ text.charAt(index)) * 0x100000001b3L;
    }
    return hash;
  }

  private static long mix(final long given) {
    long mixed = given + 0x9e3779b97f4a7c15L;
    mixed = (mixed ^ mixed >>> 30) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
    return mixed ^ mixed >>> 31;
  }

  /** The members of a placement with their precalculated hashes. */
  public static final class Table {
    private final PlacementMember[] members;
    private final long[] hashes;

    /** Creates a table of these members. */
    public Table(final List<PlacementMember> memberList) {
      members = memberList.toArray(new PlacementMember[0]);
      hashes = new long[members.length];
      for (int index = 0; index < hashes.length; index++) {
        hashes[index] = hash(members[index].id);
      }
    }

    /**
     * Returns the eligible member with the highest score for the caller; null if none is eligible.
     */
    public PlacementMember choose(final long caller, final Predicate<PlacementMember> eligible) {
      PlacementMember best = null;
      double bestScore = -1;
      for (int index = 0; index < members.length; index++) {
        final double draw = ((mix(hashes[index] ^ caller) >>> 11) + 0.5) / (1L << 53);
        final double score = Math.max(1, members[index].capacity) / -Math.log(draw);
        if (score > bestScore && eligible.test(members[index])) {
          bestScore = score;
          best = members[index];
        }
      }
      return best;
    }

    /** Returns the number of members. */
    public int size() {
      return members.length;
    }
  }
}
