package weldpoint.statestore;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import weldpoint.transport.StateStoreMessages.Roster;
import weldpoint.transport.StateStoreMessages.Voter;

/**
 * Equal tokens spread over the members, as the paper's third strategy has it: each member keeps Q/S
 * of them.
 */
public final class TokenAssignment {
  /** Q, the number of tokens. */
  public static final int COUNT = 64;

  private TokenAssignment() {}

  /** The tokens that a member takes at the very first start. */
  public static List<Integer> initial(final int index, final int members) {
    final List<Integer> tokens = new ArrayList<>();
    for (int token = index; token < COUNT; token += members) {
      tokens.add(token);
    }
    return tokens;
  }

  /**
   * The roster with a newcomer, who takes tokens from those who have most until it has its share.
   */
  public static Roster with(final Roster roster, final Voter newcomer) {
    final List<List<Integer>> lists = new ArrayList<>();
    for (final Voter voter : roster.voters) {
      lists.add(new ArrayList<>(weldpoint.transport.Protocol.emptyIfNull(voter.tokens)));
    }
    final List<Integer> taken = new ArrayList<>();
    final int share = COUNT / (roster.voters.size() + 1);
    while (taken.size() < share) {
      List<Integer> most = lists.get(0);
      for (final List<Integer> list : lists) {
        most = list.size() > most.size() ? list : most;
      }
      taken.add(most.remove(most.size() - 1));
    }
    final List<Voter> voters = new ArrayList<>();
    for (int index = 0; index < lists.size(); index++) {
      final Voter voter = roster.voters.get(index);
      voters.add(new Voter(voter.address, voter.site, voter.region, lists.get(index)));
    }
    voters.add(new Voter(newcomer.address, newcomer.site, newcomer.region, taken));
    return new Roster(roster.number + 1, voters);
  }

  /** The roster without a member, whose tokens go one by one to those who have fewest. */
  public static Roster without(final Roster roster, final Voter gone) {
    final List<List<Integer>> lists = new ArrayList<>();
    final List<Voter> staying = new ArrayList<>();
    for (final Voter voter : roster.voters) {
      if (!voter.address.equals(gone.address)) {
        staying.add(voter);
        lists.add(new ArrayList<>(weldpoint.transport.Protocol.emptyIfNull(voter.tokens)));
      }
    }
    for (final int token : weldpoint.transport.Protocol.emptyIfNull(gone.tokens)) {
      List<Integer> least = lists.get(0);
      for (final List<Integer> list : lists) {
        least = list.size() < least.size() ? list : least;
      }
      least.add(token);
    }
    final List<Voter> voters = new ArrayList<>();
    for (int index = 0; index < lists.size(); index++) {
      final Voter voter = staying.get(index);
      voters.add(new Voter(voter.address, voter.site, voter.region, lists.get(index)));
    }
    return new Roster(roster.number + 1, voters);
  }

  /** The roster with the sites and regions of members filled in; null where nothing changes. */
  public static Roster described(final Roster roster, final Map<String, Voter> known) {
    boolean changed = false;
    final List<Voter> voters = new ArrayList<>();
    for (final Voter voter : roster.voters) {
      final Voter description = known.get(voter.address);
      if (description != null && !description.site.equals(voter.site)) {
        changed = true;
        voters.add(new Voter(voter.address, description.site, description.region, voter.tokens));
      } else {
        voters.add(voter);
      }
    }
    return changed ? new Roster(roster.number + 1, voters) : null;
  }
}
