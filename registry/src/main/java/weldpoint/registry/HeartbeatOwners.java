package weldpoint.registry;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import weldpoint.statestore.TokenAssignment;
import weldpoint.transport.Protocol;
import weldpoint.transport.StateStoreMessages.Voter;

/**
 * Which registry owns the heartbeats of an upstream: the first reachable one of its token's
 * preference list, distinct sites first, as in Strategy 3 of the Dynamo paper. Unreachable
 * registries are skipped and keep their tokens.
 */
final class HeartbeatOwners {
  /** How many entries of the preference list are checked for one in the upstream's own region. */
  private static final int MAX_LOCAL_CANDIDATES = 3;

  private HeartbeatOwners() {}

  /** The address of the owning registry; null if no voter is reachable. */
  static String heartbeatOwner(
      final List<Voter> voters,
      final String id,
      final String region,
      final Predicate<String> reachable) {
    final List<Voter> preference = preferenceList(voters, id);
    for (final Voter voter :
        preference.subList(0, Math.min(MAX_LOCAL_CANDIDATES, preference.size()))) {
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

  private static List<Voter> preferenceList(final List<Voter> voters, final String id) {
    final int first = tokenOwnerIndex(voters, id);
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

  /** The index of the voter that owns the upstream's token. */
  private static int tokenOwnerIndex(final List<Voter> voters, final String id) {
    final int token = Math.floorMod(id.hashCode() * 0x9e3779b1, TokenAssignment.TOKENS);
    int ownerIndex = 0;
    for (int index = 0; index < voters.size(); index++) {
      if (Protocol.emptyIfNull(voters.get(index).tokens).contains(token)) {
        ownerIndex = index;
      }
    }
    return ownerIndex;
  }
}
