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
 * Who votes and who would like to: what the holder of partition 0 knows of members and newcomers,
 * and the next change of the roster.
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
  private final long[] establishedRosters = new long[StateStoreReplica.PARTITIONS];
  private long changedAt;
  private long rebalanceDueSince;

  Membership(final String self, final int maxVoters) {
    this.self = self;
    this.maxVoters = maxVoters;
  }

  /** The process begins. */
  void onStart(final long now) {
    changedAt = now;
  }

  /** A frame has said something. */
  void onMessage(final String address, final long now) {
    heardAt.put(address, now);
  }

  /** The line to a frame has ended. */
  void onConnectionClosed(final String address, final long now) {
    closedAt.put(address, now);
  }

  /** A member has said that it ends. */
  void onLeave(final String address, final long now) {
    leavingAt.put(address, now);
    joiners.remove(address);
  }

  /** A member tells its zone and region. */
  void describe(final Voter voter) {
    descriptions.put(voter.address, voter);
  }

  /** A daemon asks to become a voter; true where it was not known to wait. */
  boolean onJoin(final Voter voter, final Roster roster, final long now) {
    if (roster.index(voter.address) >= 0) {
      describe(voter);
      return false;
    }
    joinedAt.put(voter.address, now);
    leavingAt.remove(voter.address);
    return joiners.put(voter.address, voter) == null;
  }

  /** The daemons that wait to become voters. */
  Collection<String> joiners() {
    return joiners.keySet();
  }

  /** A partition has been established under this roster. */
  void establishedRosters(final int partition, final long roster) {
    establishedRosters[partition] = roster;
  }

  /** A newer roster is in force. */
  void onRosterAdopted(final Roster roster, final long now) {
    changedAt = now;
    rebalanceDueSince = 0;
    for (final Voter voter : roster.voters) {
      joiners.remove(voter.address);
    }
  }

  /** Whether a member cannot be reached any more, or says that it leaves. */
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
        || now - heard <= REACHABLE_WITHIN_MILLIS && closedAt.getOrDefault(address, Long.MIN_VALUE) < heard;
  }

  private List<Voter> reachableJoiners(final long now) {
    joiners.keySet().removeIf(address -> now - joinedAt.get(address) > JOIN_REQUEST_TTL_MILLIS);
    final List<Voter> reachable = new ArrayList<>(joiners.values());
    reachable.removeIf(voter -> !isReachable(voter.address, now));
    return reachable;
  }

  private boolean isEstablished(final Roster roster) {
    for (final long number : establishedRosters) {
      if (number < roster.number) {
        return false;
      }
    }
    return true;
  }

  /**
   * The next roster, one voter more or less or better described; null while the present one stays,
   * or is not whole yet on a majority of its voters, or while it is in doubt whether a voter is
   * there: one that is lost often goes with others. A change that would leave less behind after the
   * loss of a zone gives way to the other order, first adding or first removing.
   */
  Roster nextRoster(final Roster roster, final long now) {
    if (now - changedAt < MIN_CHANGE_INTERVAL_MILLIS || !isEstablished(roster)) {
      return null;
    }
    final Roster described = TokenAssignment.described(roster, descriptions);
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
    final List<Voter> best = VoterSelection.best(present.voters, unreachable, reachableJoiners(now), maxVoters);
    final List<Voter> added = new ArrayList<>(best);
    added.removeIf(voter -> present.index(voter.address) >= 0);
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
        && zoneSpare < Math.min(0, VoterSelection.spareAfterZoneLoss(present.voters, unreachable))) {
      return null;
    }
    return chosen;
  }

  private List<Roster> possibleSteps(final Roster present, final List<Voter> added, final List<Voter> removed) {
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
