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
  private static final long UNREACHABLE_MILLIS = 2500;
  private static final long UNREACHABLE_CLOSED_MILLIS = 1600;
  private static final long LEAVING_MILLIS = 400;
  private static final long STEADY_MILLIS = 600;
  private static final long CHANGE_MILLIS = 300;
  private static final long DESCRIBE_MILLIS = 1500;
  private static final long JOINER_MILLIS = 1500;
  private static final long BETTER_MILLIS = 1000;

  private final String self;
  private final int mostVoters;
  private final Map<String, Long> heardAt = new HashMap<>();
  private final Map<String, Long> closedAt = new HashMap<>();
  private final Map<String, Long> leavingAt = new HashMap<>();
  private final Map<String, Voter> joiners = new LinkedHashMap<>();
  private final Map<String, Long> joinedAt = new HashMap<>();
  private final Map<String, Voter> descriptions = new HashMap<>();
  private final long[] settled = new long[StateStoreReplica.PARTITIONS];
  private long changedAt;
  private long betterSince;

  Membership(final String self, final int mostVoters) {
    this.self = self;
    this.mostVoters = mostVoters;
  }

  /** The process begins. */
  void begins(final long now) {
    changedAt = now;
  }

  /** A frame has said something. */
  void heard(final String address, final long now) {
    heardAt.put(address, now);
  }

  /** The line to a frame has ended. */
  void closed(final String address, final long now) {
    closedAt.put(address, now);
  }

  /** A member has said that it ends. */
  void leaves(final String address, final long now) {
    leavingAt.put(address, now);
    joiners.remove(address);
  }

  /** A member tells its zone and region. */
  void describes(final Voter voter) {
    descriptions.put(voter.address, voter);
  }

  /** A daemon asks to become a voter; true where it was not known to wait. */
  boolean asks(final Voter voter, final Roster roster, final long now) {
    if (roster.indexOf(voter.address) >= 0) {
      describes(voter);
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
  void settled(final int partition, final long roster) {
    settled[partition] = roster;
  }

  /** A newer roster is in force. */
  void adopted(final Roster roster, final long now) {
    changedAt = now;
    betterSince = 0;
    for (final Voter voter : roster.voters) {
      joiners.remove(voter.address);
    }
  }

  /** Whether a member cannot be reached any more, or says that it leaves. */
  private boolean away(final String address, final long now) {
    if (address.equals(self)) {
      return false;
    }
    final long heard = heardAt.getOrDefault(address, changedAt);
    final long leaving = leavingAt.getOrDefault(address, Long.MIN_VALUE / 2);
    if (leaving >= heard || now - leaving <= LEAVING_MILLIS) {
      return true;
    }
    final boolean closed = closedAt.getOrDefault(address, Long.MIN_VALUE) >= heard;
    return now - heard > (closed ? UNREACHABLE_CLOSED_MILLIS : UNREACHABLE_MILLIS);
  }

  private boolean here(final String address, final long now) {
    final long heard = heardAt.getOrDefault(address, Long.MIN_VALUE / 2);
    return address.equals(self)
        || now - heard <= STEADY_MILLIS && closedAt.getOrDefault(address, Long.MIN_VALUE) < heard;
  }

  private List<Voter> newcomers(final long now) {
    joiners.keySet().removeIf(address -> now - joinedAt.get(address) > JOINER_MILLIS);
    final List<Voter> here = new ArrayList<>(joiners.values());
    here.removeIf(voter -> !here(voter.address, now));
    return here;
  }

  private boolean whole(final Roster roster) {
    for (final long number : settled) {
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
  Roster next(final Roster roster, final long now) {
    if (now - changedAt < CHANGE_MILLIS || !whole(roster)) {
      return null;
    }
    final Roster described = TokenAssignment.described(roster, descriptions);
    final Roster present = described == null ? roster : new Roster(roster.number, described.voters);
    final Set<String> away = new HashSet<>();
    boolean undescribed = false;
    for (final Voter voter : present.voters) {
      if (away(voter.address, now)) {
        away.add(voter.address);
      } else if (!here(voter.address, now)) {
        return null;
      } else {
        undescribed |= voter.site.isEmpty();
      }
    }
    if (undescribed && now - changedAt < DESCRIBE_MILLIS) {
      return null;
    }
    final Roster step = step(present, away, now);
    return step == null ? described : step;
  }

  private Roster step(final Roster present, final Set<String> away, final long now) {
    final List<Voter> best = VoterSelection.best(present.voters, away, newcomers(now), mostVoters);
    final List<Voter> in = new ArrayList<>(best);
    in.removeIf(voter -> present.indexOf(voter.address) >= 0);
    final List<Voter> out = new ArrayList<>(present.voters);
    out.removeAll(best);
    if (in.isEmpty() && out.isEmpty()) {
      betterSince = 0;
      return null;
    }
    final boolean needless =
        present.voters.size() == mostVoters
            && out.stream().noneMatch(voter -> away.contains(voter.address));
    if (needless) {
      if (betterSince == 0) {
        betterSince = now;
      }
      if (now - betterSince < BETTER_MILLIS) {
        return null;
      }
    }
    Roster chosen = null;
    int zoneSpare = 0;
    int spare = 0;
    for (final Roster next : steps(present, in, out)) {
      final int nextZoneSpare = VoterSelection.spareAfterZoneLoss(next.voters, away);
      final int nextSpare = VoterSelection.spare(next.voters, away);
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
        && needless
        && zoneSpare < Math.min(0, VoterSelection.spareAfterZoneLoss(present.voters, away))) {
      return null;
    }
    return chosen;
  }

  private List<Roster> steps(final Roster present, final List<Voter> in, final List<Voter> out) {
    final List<Roster> steps = new ArrayList<>();
    if (present.voters.size() <= mostVoters) {
      for (final Voter voter : in) {
        steps.add(TokenAssignment.with(present, voter));
      }
    }
    for (final Voter voter : out) {
      steps.add(TokenAssignment.without(present, voter));
    }
    return steps;
  }
}
