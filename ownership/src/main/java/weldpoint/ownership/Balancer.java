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
 * Decides who should hold what, from the loads of slots and the capacities of members. A function
 * of its arguments alone.
 */
final class Balancer {
  /** A gap between two members' utilisations below which nothing is moved. */
  private static final double LEAST_GAP = 0.2;

  /** The same, as a part of the higher utilisation. */
  private static final double LEAST_RELATIVE_GAP = 0.35;

  private static final double MOST_OF_WANTED = 1.15;
  private static final double LEAST_OF_WANTED = 0.7;
  private static final double LEAST_OF_DONOR = 0.08;
  private static final int MOST_PIECES = 3;

  /** Below which part of its fair share of slots a member is given half of another's range. */
  private static final double SMALL_OF_FAIR = 0.25;

  /** The least piece worth a receiver of its own, as a part of an average member's load. */
  private static final double PIECE_OF_MEMBER = 0.4;

  private static final double ROUNDING = 1e-9;

  /** Slots, both ends inside, that their holder should give up to a receiver. */
  record Move(int firstSlot, int lastSlot, String receiver) {}

  /** Neighbouring slots, both ends inside. */
  private record Run(int firstSlot, int lastSlot) {
    int width() {
      return lastSlot - firstSlot;
    }
  }

  private final SlotLoads loads;
  private final Map<String, Member> members = new HashMap<>();
  private final Map<String, Double> load = new HashMap<>();
  private final List<KeyRange> ranges;
  private final Set<String> proven;

  /**
   * A balancer of an assignment.
   *
   * @param proven the members that answered a grant lately: others are tried with a single slot
   */
  Balancer(
      final SlotLoads loads,
      final List<Member> members,
      final List<KeyRange> ranges,
      final Set<String> proven) {
    this.loads = loads;
    this.ranges = ranges;
    this.proven = proven;
    for (final Member member : members) {
      this.members.put(member.id(), member);
      load.put(member.id(), 0.0);
    }
    for (final KeyRange range : ranges) {
      if (range.held()) {
        load.merge(range.holder, loadOf(range), Double::sum);
      }
    }
  }

  private double loadOf(final KeyRange range) {
    return loads.of(KeySpace.slot(range.first), KeySpace.slot(range.last));
  }

  private double utilisation(final Member member) {
    return load.getOrDefault(member.id(), 0.0) / Math.max(1, member.capacity());
  }

  /** All keys divided among the eligible members by their capacities. */
  static List<KeyRange> firstDivision(final List<Member> members, final long fence) {
    final List<Member> eligible = new ArrayList<>();
    members.stream().filter(Member::eligible).forEach(eligible::add);
    eligible.sort(Comparator.comparing(Member::id));
    final long total = eligible.stream().mapToLong(member -> Math.max(1, member.capacity())).sum();
    final List<KeyRange> ranges = new ArrayList<>();
    long before = 0;
    int firstSlot = 0;
    for (final Member member : eligible) {
      before += Math.max(1, member.capacity());
      final int end = (int) (KeySpace.SLOTS * before / total);
      if (end > firstSlot) {
        ranges.add(
            new KeyRange(
                KeySpace.firstKey(firstSlot),
                KeySpace.lastKey(end - 1),
                member.id(),
                member.address(),
                fence,
                RangeState.HELD,
                null));
        firstSlot = end;
      }
    }
    return ranges;
  }

  /**
   * The eligible member with the most room for this range, which then counts as its; one that has
   * not answered a grant lately only where there is no other; null where there is none.
   */
  Member receiver(final KeyRange range) {
    final Member best = receiver(range, true);
    final Member chosen = best == null ? receiver(range, false) : best;
    if (chosen != null) {
      load.merge(chosen.id(), loadOf(range), Double::sum);
    }
    return chosen;
  }

  private Member receiver(final KeyRange range, final boolean onlyProven) {
    Member best = null;
    double least = Double.MAX_VALUE;
    final double more = loadOf(range);
    for (final Member member : members.values()) {
      final double after =
          (load.getOrDefault(member.id(), 0.0) + more) / Math.max(1, member.capacity());
      final boolean better =
          after < least || after == least && best != null && member.id().compareTo(best.id()) < 0;
      if (member.eligible() && better && (!onlyProven || proven.contains(member.id()))) {
        best = member;
        least = after;
      }
    }
    return best;
  }

  /** A range in pieces of like load, so that no single member has to take all of it. */
  List<KeyRange> pieces(final KeyRange range) {
    final long receivers =
        members.values().stream()
            .filter(member -> member.eligible() && !member.id().equals(range.holder))
            .count();
    final int firstSlot = KeySpace.slot(range.first);
    final int lastSlot = KeySpace.slot(range.last);
    final double whole = loadOf(range);
    final double worthwhile =
        Math.ceil(whole / (PIECE_OF_MEMBER * loads.total() / Math.max(1, receivers)));
    final int count =
        (int)
            Math.min(
                Math.min(receivers, Math.min(MOST_PIECES, worthwhile)), lastSlot - firstSlot + 1);
    final List<KeyRange> pieces = new ArrayList<>();
    if (count <= 1) {
      pieces.add(range);
      return pieces;
    }
    int from = firstSlot;
    double sum = 0;
    for (int slot = firstSlot; slot <= lastSlot; slot++) {
      sum += loads.of(slot);
      final int left = count - pieces.size() - 1;
      final boolean full = sum >= whole * (pieces.size() + 1) / count;
      if (slot == lastSlot || left > 0 && (full || lastSlot - slot == left)) {
        pieces.add(range.subrange(KeySpace.firstKey(from), KeySpace.lastKey(slot)));
        from = slot + 1;
      }
    }
    return pieces;
  }

  /**
   * The move that evens out the most, or null where all is even enough.
   *
   * @param movable whether a slot may be moved now
   */
  Move move(final java.util.function.IntPredicate movable) {
    Member receiver = null;
    Member donor = null;
    for (final Member member : members.values()) {
      if (mayReceive(member) && (receiver == null || lower(member, receiver))) {
        receiver = member;
      }
      if (holds(member) && (donor == null || lower(donor, member))) {
        donor = member;
      }
    }
    if (receiver == null || donor == null || receiver == donor) {
      return null;
    }
    if (!proven.contains(receiver.id())) {
      return move(oneSlot(donor, movable), receiver);
    }
    if (slotsOf(receiver) < SMALL_OF_FAIR * KeySpace.SLOTS / members.size()) {
      return move(half(donor, movable), receiver);
    }
    final double gap = utilisation(donor) - utilisation(receiver);
    if (gap < Math.max(LEAST_GAP, LEAST_RELATIVE_GAP * utilisation(donor))) {
      return null;
    }
    final double wanted =
        gap
            * donor.capacity()
            * receiver.capacity()
            / Math.max(1, donor.capacity() + receiver.capacity());
    return move(window(donor, wanted, movable), receiver);
  }

  private static Move move(final Run run, final Member receiver) {
    return run == null ? null : new Move(run.firstSlot(), run.lastSlot(), receiver.id());
  }

  /** The member of this id, if it is eligible, which then counts this range as its; or null. */
  Member eligible(final String id, final KeyRange range) {
    final Member member = id == null ? null : members.get(id);
    if (member == null || !member.eligible()) {
      return null;
    }
    load.merge(id, loadOf(range), Double::sum);
    return member;
  }

  private boolean lower(final Member one, final Member other) {
    final double difference = utilisation(one) - utilisation(other);
    return difference < 0 || difference == 0 && one.id().compareTo(other.id()) < 0;
  }

  private boolean holds(final Member member) {
    return member.standing() != Member.Standing.LEAVES
        && member.standing() != Member.Standing.ENDED
        && ranges.stream().anyMatch(range -> range.held() && range.holder.equals(member.id()));
  }

  /**
   * Whether keys may be moved to a member: one that has yet to answer a grant gets one slot first.
   */
  private boolean mayReceive(final Member member) {
    return member.eligible() && (proven.contains(member.id()) || slotsOf(member) == 0);
  }

  private int slotsOf(final Member member) {
    return ranges.stream()
        .filter(range -> range.holder.equals(member.id()))
        .mapToInt(range -> (range.last - range.first + 1) / KeySpace.SLOT_KEYS)
        .sum();
  }

  /** The last slot of the donor's heaviest range. */
  private Run oneSlot(final Member donor, final java.util.function.IntPredicate movable) {
    final KeyRange heaviest = heaviest(donor);
    if (heaviest == null) {
      return null;
    }
    final int slot = KeySpace.slot(heaviest.last);
    return movable.test(slot) ? new Run(slot, slot) : null;
  }

  /** The later half, by load, of the donor's heaviest range. */
  private Run half(final Member donor, final java.util.function.IntPredicate movable) {
    final KeyRange heaviest = heaviest(donor);
    if (heaviest == null) {
      return null;
    }
    final double wanted = loadOf(heaviest) / 2;
    final int lastSlot = KeySpace.slot(heaviest.last);
    int from = lastSlot;
    double sum = loads.of(from);
    while (from - 1 > KeySpace.slot(heaviest.first)
        && sum + loads.of(from - 1) <= wanted + ROUNDING) {
      from--;
      sum += loads.of(from);
    }
    return movable.test(from) ? new Run(from, lastSlot) : null;
  }

  /** The donor's range of more than one slot that has the most load; null where there is none. */
  private KeyRange heaviest(final Member donor) {
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

  /** The narrowest run of the donor's slots whose load is about what is wanted. */
  private Run window(
      final Member donor, final double wanted, final java.util.function.IntPredicate movable) {
    Run best = null;
    double bestLoad = 0;
    for (final KeyRange range : ranges) {
      if (!range.held() || !range.holder.equals(donor.id())) {
        continue;
      }
      int from = KeySpace.slot(range.first);
      double sum = 0;
      for (int slot = from; slot <= KeySpace.slot(range.last); slot++) {
        if (!movable.test(slot)) {
          from = slot + 1;
          sum = 0;
          continue;
        }
        sum += loads.of(slot);
        while (from <= slot && sum > wanted * MOST_OF_WANTED) {
          sum -= loads.of(from);
          from++;
        }
        if (from <= slot && better(new Run(from, slot), sum, best, bestLoad, wanted)) {
          best = new Run(from, slot);
          bestLoad = sum;
        }
      }
    }
    return best != null && bestLoad >= LEAST_OF_DONOR * load.getOrDefault(donor.id(), 0.0)
        ? best
        : null;
  }

  private static boolean better(
      final Run run, final double sum, final Run best, final double bestLoad, final double wanted) {
    if (best == null) {
      return true;
    }
    final boolean enough = sum >= LEAST_OF_WANTED * wanted;
    final boolean bestEnough = bestLoad >= LEAST_OF_WANTED * wanted;
    if (enough && bestEnough) {
      return run.width() < best.width();
    }
    return enough || !bestEnough && sum > bestLoad;
  }
}
