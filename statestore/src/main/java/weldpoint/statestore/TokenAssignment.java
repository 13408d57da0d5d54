package weldpoint.statestore;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import weldpoint.transport.StateStoreMessages.Roster;
import weldpoint.transport.StateStoreMessages.Voter;

/**
 * Assigns equal-sized token ranges to voters by the third strategy of the Dynamo paper: each of S
 * voters has Q/S of the Q tokens.
 */
public final class TokenAssignment {
  /** The number of tokens, Q in the Dynamo paper. */
  public static final int TOKENS = 64;

  private TokenAssignment() {}

  /** The tokens of a voter at the first start of the store. */
  public static List<Integer> initialTokens(final int index, final int members) {
    final List<Integer> tokens = new ArrayList<>();
    for (int token = index; token < TOKENS; token += members) {
      tokens.add(token);
    }
    return tokens;
  }

  /**
   * The next roster with one more voter, which takes tokens from the voters that have most until it
   * has its share.
   */
  public static Roster with(final Roster roster, final Voter newcomer) {
    final List<List<Integer>> lists = new ArrayList<>();
    for (final Voter voter : roster.voters) {
      lists.add(new ArrayList<>(weldpoint.transport.Protocol.emptyIfNull(voter.tokens)));
    }
    final List<Integer> taken = new ArrayList<>();
    final int share = TOKENS / (roster.voters.size() + 1);
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

  /** The next roster without a voter; its tokens go one by one to the voters with the fewest. */
  public static Roster without(final Roster roster, final Voter removed) {
    final List<List<Integer>> lists = new ArrayList<>();
    final List<Voter> remaining = new ArrayList<>();
    for (final Voter voter : roster.voters) {
      if (!voter.address.equals(removed.address)) {
        remaining.add(voter);
        lists.add(new ArrayList<>(weldpoint.transport.Protocol.emptyIfNull(voter.tokens)));
      }
    }
    for (final int token : weldpoint.transport.Protocol.emptyIfNull(removed.tokens)) {
      List<Integer> least = lists.get(0);
      for (final List<Integer> list : lists) {
        least = list.size() < least.size() ? list : least;
      }
      least.add(token);
    }
    final List<Voter> voters = new ArrayList<>();
    for (int index = 0; index < lists.size(); index++) {
      final Voter voter = remaining.get(index);
      voters.add(new Voter(voter.address, voter.site, voter.region, lists.get(index)));
    }
    return new Roster(roster.number + 1, voters);
  }

  /** The next roster with sites and regions of voters filled in; null if nothing changes. */
  public static Roster withDescriptions(final Roster roster, final Map<String, Voter> known) {
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
