package weldpoint.affinity;

import java.util.List;
import java.util.function.Predicate;
import weldpoint.transport.PlacementMessages.PlacementMember;

/**
 * Weighted rendezvous hashing: every member draws a number for a caller, and the highest wins. The
 * same on every switchboard, without a table; whoever joins takes only its share, by capacity, and
 * whoever goes gives up only its own.
 */
public final class Rendezvous {
  private Rendezvous() {}

  /** The hash of a caller of a service. */
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

  /** The members of a placement, with what a draw needs worked out once. */
  public static final class Table {
    private final PlacementMember[] members;
    private final long[] hashes;

    /** A table of these members. */
    public Table(final List<PlacementMember> memberList) {
      members = memberList.toArray(new PlacementMember[0]);
      hashes = new long[members.length];
      for (int index = 0; index < hashes.length; index++) {
        hashes[index] = hash(members[index].id);
      }
    }

    /** The member that the caller belongs to, of those that may serve it; null where none may. */
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

    /** How many members there are. */
    public int size() {
      return members.length;
    }
  }
}
