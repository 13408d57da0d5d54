package weldpoint.registry;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import weldpoint.statestore.TokenAssignment;
import weldpoint.transport.Protocol;
import weldpoint.transport.StateStoreMessages.Voter;

/**
 * Which registry keeps the beats of an upstream: the preference list of its token, over distinct
 * zones first, as in the Dynamo paper's Strategy 3. Unreachable ones are passed over and keep their
 * tokens.
 */
final class HeartbeatOwners {
  /** How many of the preference list may be taken for being in the upstream's own region. */
  private static final int NEAR_CHOICES = 3;

  private HeartbeatOwners() {}

  /** The address of the keeper; null where no voter can be reached. */
  static String keeper(
      final List<Voter> voters,
      final String id,
      final String region,
      final Predicate<String> reachable) {
    final List<Voter> preference = preference(voters, id);
    for (final Voter voter : preference.subList(0, Math.min(NEAR_CHOICES, preference.size()))) {
      if (voter.region.equals(region) && reachable.test(voter.address)) {
        return voter.address;
      }
    }
    for (final Voter voter : preference) {
      if (reachable.test(voter.address)) {
        return voter.address;
      }
    }
    return null;
  }

  private static List<Voter> preference(final List<Voter> voters, final String id) {
    final int first = owner(voters, id);
    final List<Voter> preference = new ArrayList<>();
    for (int step = 0; step < voters.size(); step++) {
      final Voter voter = voters.get((first + step) % voters.size());
      if (preference.stream().noneMatch(before -> before.site.equals(voter.site))) {
        preference.add(voter);
      }
    }
    for (int step = 0; step < voters.size(); step++) {
      final Voter voter = voters.get((first + step) % voters.size());
      if (!preference.contains(voter)) {
        preference.add(voter);
      }
    }
    return preference;
  }

  /** The index of the voter that has the upstream's token. */
  private static int owner(final List<Voter> voters, final String id) {
    final int token = Math.floorMod(id.hashCode() * 0x9e3779b1, TokenAssignment.COUNT);
    int owner = 0;
    for (int index = 0; index < voters.size(); index++) {
      if (Protocol.emptyIfNull(voters.get(index).tokens).contains(token)) {
        owner = index;
      }
    }
    return owner;
  }
}
