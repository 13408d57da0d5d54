package weldpoint.statestore;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import weldpoint.transport.StateStoreMessages.Roster;
import weldpoint.transport.StateStoreMessages.Voter;

/**
 * Failure detection and membership changes: what a replica knows of voters and joiners, and, for
 * the leader of partition 0, the next change of the roster.
 */
final class Membership {
  private static final long UNREACHABLE_TIMEOUT_MILLIS = 2500;
  private static final long DISCONNECTED_TIMEOUT_MILLIS = 1600;
  private static final long LEAVE_NOTICE_VALID_MILLIS = 400;
  private static final long REACHABLE_WITHIN_MILLIS = 600;
  private static final long MIN_CHANGE_INTERVAL_MILLIS = 300;
  private static final long DESCRIPTION_WAIT_MILLIS = 1500;
  private static final long JOIN_REQUEST_TTL_MILLIS = 1500;
  private static final long REBALANCE_DELAY_MILLIS = 1000;

  private final String self;
  private final int maxVoters;
  private final Map<String, Long> heardAt = new HashMap<>();
  private final Map<String, Long> closedAt = new HashMap<>();
  private final Map<String, Long> leavingAt = new HashMap<>();
  private final Map<String, Voter> joiners = new LinkedHashMap<>();
  private final Map<String, Long> joinedAt = new HashMap<>();
  private final Map<String, Voter> descriptions = new HashMap<>();
  private final long[] establishedUnder = new long[StateStoreReplica.PARTITIONS];
  private long changedAt;
  private long rebalanceDueSince;

  Membership(final String self, final int maxVoters) {
    this.self = self;
    this.maxVoters = maxVoters;
  }

  /** Notes the start of the process. */
  void onStart(final long now) {
    changedAt = now;
  }

  /** Notes a message from a replica. */
  void onMessage(final String address, final long now) {
    heardAt.put(address, now);
  }

  /** Notes that the connection to a replica has ended. */
  void onConnectionClosed(final String address, final long now) {
    closedAt.put(address, now);
  }

  /** Notes that a voter has announced that it leaves. */
  void onLeave(final String address, final long now) {
    leavingAt.put(address, now);
    joiners.remove(address);
  }

  /** Records the zone and region that a voter has reported. */
  void describe(final Voter voter) {
    descriptions.put(voter.address, voter);
  }

  /** Records a request to become a voter; true if the replica is a new joiner. */
  boolean onJoin(final Voter voter, final Roster roster, final long now) {
    if (roster.indexOf(voter.address) >= 0) {
      describe(voter);
      return false;
    }
    joinedAt.put(voter.address, now);
    leavingAt.remove(voter.address);
    return joiners.put(voter.address, voter) == null;
  }

  /** The replicas that wait to become voters. */
  Collection<String> joiners() {
    return joiners.keySet();
  }

  /** Notes that a partition has been established under this roster. */
  void establishedUnder(final int partition, final long roster) {
    establishedUnder[partition] = roster;
  }

  /** Notes that a newer roster was adopted. */
  void onRosterAdopted(final Roster roster, final long now) {
    changedAt = now;
    rebalanceDueSince = 0;
    for (final Voter voter : roster.voters) {
      joiners.remove(voter.address);
    }
  }

  /** Whether a voter has been silent for too long, or has announced that it leaves. */
  private boolean isUnreachable(final String address, final long now) {
    if (address.equals(self)) {
      return false;
    }
    final long heard = heardAt.getOrDefault(address, changedAt);
    final long leaving = leavingAt.getOrDefault(address, Long.MIN_VALUE / 2);
    if (leaving >= heard || now - leaving <= LEAVE_NOTICE_VALID_MILLIS) {
      return true;
    }
    final boolean closed = closedAt.getOrDefault(address, Long.MIN_VALUE) >= heard;
    return now - heard > (closed ? DISCONNECTED_TIMEOUT_MILLIS : UNREACHABLE_TIMEOUT_MILLIS);
  }

  private boolean isReachable(final String address, final long now) {
    final long heard = heardAt.getOrDefault(address, Long.MIN_VALUE / 2);
    return address.equals(self)
        || now - heard <= REACHABLE_WITHIN_MILLIS
            && closedAt.getOrDefault(address, Long.MIN_VALUE) < heard;
  }

  private List<Voter> reachableJoiners(final long now) {
    joiners.keySet().removeIf(address -> now - joinedAt.get(address) > JOIN_REQUEST_TTL_MILLIS);
    final List<Voter> reachable = new ArrayList<>(joiners.values());
    reachable.removeIf(voter -> !isReachable(voter.address, now));
    return reachable;
  }

  private boolean isEstablished(final Roster roster) {
    for (final long number : establishedUnder) {
      if (number < roster.number) {
        return false;
      }
    }
    return true;
  }

  /**
   * The next roster, with one voter added or removed, or with zones and regions filled in. Returns
   * null if nothing should change, if a partition is not yet established under the present roster
   * on a majority of its voters, or while it is uncertain whether a voter is reachable, since
   * voters are often lost together. Of adding first and removing first, the order is chosen that
   * leaves more voters after the loss of a zone.
   */
  Roster nextRoster(final Roster roster, final long now) {
    if (now - changedAt < MIN_CHANGE_INTERVAL_MILLIS || !isEstablished(roster)) {
      return null;
    }
    final Roster described = TokenAssignment.withDescriptions(roster, descriptions);
    final Roster present = described == null ? roster : new Roster(roster.number, described.voters);
    final Set<String> unreachable = new HashSet<>();
    boolean undescribed = false;
    for (final Voter voter : present.voters) {
      if (isUnreachable(voter.address, now)) {
        unreachable.add(voter.address);
      } else if (!isReachable(voter.address, now)) {
        return null;
      } else {
        undescribed |= voter.site.isEmpty();
      }
    }
    if (undescribed && now - changedAt < DESCRIPTION_WAIT_MILLIS) {
      return null;
    }
    final Roster step = nextStep(present, unreachable, now);
    return step == null ? described : step;
  }

  private Roster nextStep(final Roster present, final Set<String> unreachable, final long now) {
    final List<Voter> best =
        VoterSelection.best(present.voters, unreachable, reachableJoiners(now), maxVoters);
    final List<Voter> added = new ArrayList<>(best);
    added.removeIf(voter -> present.indexOf(voter.address) >= 0);
    final List<Voter> removed = new ArrayList<>(present.voters);
    removed.removeAll(best);
    if (added.isEmpty() && removed.isEmpty()) {
      rebalanceDueSince = 0;
      return null;
    }
    final boolean optional =
        present.voters.size() == maxVoters
            && removed.stream().noneMatch(voter -> unreachable.contains(voter.address));
    if (optional) {
      if (rebalanceDueSince == 0) {
        rebalanceDueSince = now;
      }
      if (now - rebalanceDueSince < REBALANCE_DELAY_MILLIS) {
        return null;
      }
    }
    Roster chosen = null;
    int zoneSpare = 0;
    int spare = 0;
    for (final Roster next : possibleSteps(present, added, removed)) {
      final int nextZoneSpare = VoterSelection.spareAfterZoneLoss(next.voters, unreachable);
      final int nextSpare = VoterSelection.spare(next.voters, unreachable);
      if (nextSpare >= 0
          && (chosen == null
              || nextZoneSpare > zoneSpare
              || nextZoneSpare == zoneSpare && nextSpare > spare)) {
        chosen = next;
        zoneSpare = nextZoneSpare;
        spare = nextSpare;
      }
    }
    if (chosen != null
        && optional
        && zoneSpare
            < Math.min(0, VoterSelection.spareAfterZoneLoss(present.voters, unreachable))) {
      return null;
    }
    return chosen;
  }

  private List<Roster> possibleSteps(
      final Roster present, final List<Voter> added, final List<Voter> removed) {
    final List<Roster> steps = new ArrayList<>();
    if (present.voters.size() <= maxVoters) {
      for (final Voter voter : added) {
        steps.add(TokenAssignment.with(present, voter));
      }
    }
    for (final Voter voter : removed) {
      steps.add(TokenAssignment.without(present, voter));
    }
    return steps;
  }
}
