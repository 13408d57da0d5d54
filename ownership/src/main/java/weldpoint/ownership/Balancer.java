package weldpoint.ownership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import weldpoint.transport.OwnershipMessages.KeyRange;
import weldpoint.transport.OwnershipMessages.RangeState;

/**
 * Decides which member should hold which range, from slot loads and member capacities. Depends on
 * its arguments only; used by {@link Assigner} for one planning step, since chosen receivers are
 * charged with the load of what they get.
 */
final class Balancer {
  /** The minimum gap between two members' utilizations for a move. */
  private static final double MIN_GAP = 0.2;

  /** The same, as a fraction of the higher utilization. */
  private static final double MIN_RELATIVE_GAP = 0.35;

  /** Bounds of a move's load, as fractions of the load that would even out donor and receiver. */
  private static final double MAX_OF_DESIRED = 1.15;

  private static final double MIN_OF_DESIRED = 0.7;

  /** Moves of less than this fraction of the donor's load are not worthwhile. */
  private static final double MIN_OF_DONOR_LOAD = 0.08;

  private static final int MAX_PIECES = 3;

  /**
   * A member with less than this fraction of its fair share of slots gets half of another member's
   * range.
   */
  private static final double SMALL_FRACTION_OF_FAIR_SHARE = 0.25;

  /**
   * The smallest piece that is worth a receiver of its own, as a fraction of an average member's
   * load.
   */
  private static final double MIN_PIECE_OF_MEMBER_LOAD = 0.4;

  private static final double ROUNDING_TOLERANCE = 1e-9;

  /** Slots, both ends inclusive, that should move from their holder to a receiver. */
  record Move(int firstSlot, int lastSlot, String receiver) {}

  /** Adjacent slots, both ends inclusive. */
  private record SlotRun(int firstSlot, int lastSlot) {
    int width() {
      return lastSlot - firstSlot;
    }
  }

  private final SlotLoads loads;
  private final Map<String, Member> members = new HashMap<>();
  private final Map<String, Double> loadByMember = new HashMap<>();
  private final List<KeyRange> ranges;
  private final Set<String> responsive;

  /**
   * Creates a balancer for an assignment.
   *
   * @param responsive the members that responded to a grant recently; others first get a single
   *     slot
   */
  Balancer(
      final SlotLoads loads,
      final List<Member> members,
      final List<KeyRange> ranges,
      final Set<String> responsive) {
    this.loads = loads;
    this.ranges = ranges;
    this.responsive = responsive;
    for (final Member member : members) {
      this.members.put(member.id(), member);
      loadByMember.put(member.id(), 0.0);
    }
    for (final KeyRange range : ranges) {
      if (range.held()) {
        loadByMember.merge(range.holder, loadOf(range), Double::sum);
      }
    }
  }

  private double loadOf(final KeyRange range) {
    return loads.loadOf(KeySpace.slot(range.first), KeySpace.slot(range.last));
  }

  private double utilisation(final Member member) {
    return loadByMember.getOrDefault(member.id(), 0.0) / Math.max(1, member.capacity());
  }

  /** Divides all keys among the eligible members in proportion to their capacities. */
  static List<KeyRange> initialAssignment(final List<Member> members, final long fencingToken) {
    final List<Member> eligible = new ArrayList<>();
    members.stream().filter(Member::eligible).forEach(eligible::add);
    eligible.sort(Comparator.comparing(Member::id));
    final long total = eligible.stream().mapToLong(member -> Math.max(1, member.capacity())).sum();
    final List<KeyRange> ranges = new ArrayList<>();
    long cumulative = 0;
    int firstSlot = 0;
    for (final Member member : eligible) {
      cumulative += Math.max(1, member.capacity());
      final int end = (int) (KeySpace.SLOTS * cumulative / total);
      if (end > firstSlot) {
        ranges.add(
            new KeyRange(
                KeySpace.firstKey(firstSlot),
                KeySpace.lastKey(end - 1),
                member.id(),
                member.address(),
                fencingToken,
                RangeState.HELD,
                null));
        firstSlot = end;
      }
    }
    return ranges;
  }

  /**
   * Returns the eligible member that would be least utilized with this range, and charges it with
   * the range's load; prefers members that responded to a grant recently; null if no member is
   * eligible.
   */
  Member chooseReceiver(final KeyRange range) {
    final Member best = chooseReceiver(range, true);
    final Member chosen = best == null ? chooseReceiver(range, false) : best;
    if (chosen != null) {
      loadByMember.merge(chosen.id(), loadOf(range), Double::sum);
    }
    return chosen;
  }

  private Member chooseReceiver(final KeyRange range, final boolean onlyResponsive) {
    Member best = null;
    double lowest = Double.MAX_VALUE;
    final double addedLoad = loadOf(range);
    for (final Member member : members.values()) {
      final double after =
          (loadByMember.getOrDefault(member.id(), 0.0) + addedLoad)
              / Math.max(1, member.capacity());
      final boolean better =
          after < lowest || after == lowest && best != null && member.id().compareTo(best.id()) < 0;
      if (member.eligible() && better && (!onlyResponsive || responsive.contains(member.id()))) {
        best = member;
        lowest = after;
      }
    }
    return best;
  }

  /** Splits a range into pieces of similar load, so that no single member has to take all of it. */
  List<KeyRange> split(final KeyRange range) {
    final long receivers =
        members.values().stream()
            .filter(member -> member.eligible() && !member.id().equals(range.holder))
            .count();
    final int firstSlot = KeySpace.slot(range.first);
    final int lastSlot = KeySpace.slot(range.last);
    final double totalLoad = loadOf(range);
    final double worthwhilePieces =
        Math.ceil(totalLoad / (MIN_PIECE_OF_MEMBER_LOAD * loads.total() / Math.max(1, receivers)));
    final int count =
        (int)
            Math.min(
                Math.min(receivers, Math.min(MAX_PIECES, worthwhilePieces)),
                lastSlot - firstSlot + 1);
    final List<KeyRange> pieces = new ArrayList<>();
    if (count <= 1) {
      pieces.add(range);
      return pieces;
    }
    int start = firstSlot;
    double sum = 0;
    for (int slot = firstSlot; slot <= lastSlot; slot++) {
      sum += loads.loadOf(slot);
      final int remaining = count - pieces.size() - 1;
      final boolean full = sum >= totalLoad * (pieces.size() + 1) / count;
      if (slot == lastSlot || remaining > 0 && (full || lastSlot - slot == remaining)) {
        pieces.add(range.subrange(KeySpace.firstKey(start), KeySpace.lastKey(slot)));
        start = slot + 1;
      }
    }
    return pieces;
  }

  /**
   * Returns the move from the most to the least utilized member, or null if the load is balanced
   * enough.
   *
   * @param movable tests whether a slot may be moved now
   */
  Move planMove(final java.util.function.IntPredicate movable) {
    Member receiver = null;
    Member donor = null;
    for (final Member member : members.values()) {
      if (mayReceive(member) && (receiver == null || isLessUtilized(member, receiver))) {
        receiver = member;
      }
      if (mayDonate(member) && (donor == null || isLessUtilized(donor, member))) {
        donor = member;
      }
    }
    if (receiver == null || donor == null || receiver == donor) {
      return null;
    }
    if (!responsive.contains(receiver.id())) {
      return planMove(singleSlot(donor, movable), receiver);
    }
    if (slotCount(receiver) < SMALL_FRACTION_OF_FAIR_SHARE * KeySpace.SLOTS / members.size()) {
      return planMove(halfOfHeaviestRange(donor, movable), receiver);
    }
    final double gap = utilisation(donor) - utilisation(receiver);
    if (gap < Math.max(MIN_GAP, MIN_RELATIVE_GAP * utilisation(donor))) {
      return null;
    }
    final double desired =
        gap
            * donor.capacity()
            * receiver.capacity()
            / Math.max(1, donor.capacity() + receiver.capacity());
    return planMove(findRun(donor, desired, movable), receiver);
  }

  private static Move planMove(final SlotRun run, final Member receiver) {
    return run == null ? null : new Move(run.firstSlot(), run.lastSlot(), receiver.id());
  }

  /**
   * Returns the member with this id and charges it with the range's load; null if it is not
   * eligible.
   */
  Member assignIfEligible(final String id, final KeyRange range) {
    final Member member = id == null ? null : members.get(id);
    if (member == null || !member.eligible()) {
      return null;
    }
    loadByMember.merge(id, loadOf(range), Double::sum);
    return member;
  }

  private boolean isLessUtilized(final Member one, final Member other) {
    final double difference = utilisation(one) - utilisation(other);
    return difference < 0 || difference == 0 && one.id().compareTo(other.id()) < 0;
  }

  private boolean mayDonate(final Member member) {
    return member.standing() != Member.Standing.LEAVING
        && member.standing() != Member.Standing.TERMINATED
        && ranges.stream().anyMatch(range -> range.held() && range.holder.equals(member.id()));
  }

  /**
   * Whether keys may be moved to a member; one that has not responded to a grant yet gets only one
   * slot first.
   */
  private boolean mayReceive(final Member member) {
    return member.eligible() && (responsive.contains(member.id()) || slotCount(member) == 0);
  }

  private int slotCount(final Member member) {
    return ranges.stream()
        .filter(range -> range.holder.equals(member.id()))
        .mapToInt(range -> (range.last - range.first + 1) / KeySpace.SLOT_KEYS)
        .sum();
  }

  /** Returns the last slot of the donor's most loaded range; null if it must not be moved. */
  private SlotRun singleSlot(final Member donor, final java.util.function.IntPredicate movable) {
    final KeyRange heaviest = heaviestRange(donor);
    if (heaviest == null) {
      return null;
    }
    final int slot = KeySpace.slot(heaviest.last);
    return movable.test(slot) ? new SlotRun(slot, slot) : null;
  }

  /**
   * Returns the later half, by load, of the donor's most loaded range; null if it must not be
   * moved.
   */
  private SlotRun halfOfHeaviestRange(
      final Member donor, final java.util.function.IntPredicate movable) {
    final KeyRange heaviest = heaviestRange(donor);
    if (heaviest == null) {
      return null;
    }
    final double desired = loadOf(heaviest) / 2;
    final int lastSlot = KeySpace.slot(heaviest.last);
    int start = lastSlot;
    double sum = loads.loadOf(start);
    while (start - 1 > KeySpace.slot(heaviest.first)
        && sum + loads.loadOf(start - 1) <= desired + ROUNDING_TOLERANCE) {
      start--;
      sum += loads.loadOf(start);
    }
    return movable.test(start) ? new SlotRun(start, lastSlot) : null;
  }

  /** Returns the donor's most loaded range of more than one slot; null if there is none. */
  private KeyRange heaviestRange(final Member donor) {
    KeyRange heaviest = null;
    for (final KeyRange range : ranges) {
      final boolean wide = KeySpace.slot(range.last) > KeySpace.slot(range.first);
      if (range.held()
          && range.holder.equals(donor.id())
          && wide
          && (heaviest == null || loadOf(range) > loadOf(heaviest))) {
        heaviest = range;
      }
    }
    return heaviest;
  }

  /**
   * Returns the narrowest run of the donor's movable slots whose load is about the desired one;
   * null if there is none worth moving.
   */
  private SlotRun findRun(
      final Member donor, final double desired, final java.util.function.IntPredicate movable) {
    SlotRun best = null;
    double bestLoad = 0;
    for (final KeyRange range : ranges) {
      if (!range.held() || !range.holder.equals(donor.id())) {
        continue;
      }
      int start = KeySpace.slot(range.first);
      double sum = 0;
      for (int slot = start; slot <= KeySpace.slot(range.last); slot++) {
        if (!movable.test(slot)) {
          start = slot + 1;
          sum = 0;
          continue;
        }
        sum += loads.loadOf(slot);
        while (start <= slot && sum > desired * MAX_OF_DESIRED) {
          sum -= loads.loadOf(start);
          start++;
        }
        if (start <= slot && isBetter(new SlotRun(start, slot), sum, best, bestLoad, desired)) {
          best = new SlotRun(start, slot);
          bestLoad = sum;
        }
      }
    }
    return best != null
            && bestLoad >= MIN_OF_DONOR_LOAD * loadByMember.getOrDefault(donor.id(), 0.0)
        ? best
        : null;
  }

  private static boolean isBetter(
      final SlotRun run,
      final double sum,
      final SlotRun best,
      final double bestLoad,
      final double desired) {
    if (best == null) {
      return true;
    }
    final boolean enough = sum >= MIN_OF_DESIRED * desired;
    final boolean bestEnough = bestLoad >= MIN_OF_DESIRED * desired;
    if (enough && bestEnough) {
      return run.width() < best.width();
    }
    return enough || !bestEnough && sum > bestLoad;
  }
}
