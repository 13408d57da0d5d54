package weldpoint.ownership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;
import weldpoint.transport.OwnershipMessages.KeyRange;
import weldpoint.transport.OwnershipMessages.RangeState;
import weldpoint.transport.OwnershipMessages.SlotReport;

/** Tests the initial assignment, moves for balance, and the split of a leaving member's range. */
public final class BalancerTest {
  private static final Set<String> RESPONSIVE = Set.of("a", "b", "c", "d");

  private static Member member(final String id, final int capacity) {
    return new Member(id, id + ":1", capacity, Member.Standing.ELIGIBLE);
  }

  private static KeyRange range(final int firstSlot, final int lastSlot, final String holder) {
    return new KeyRange(
        KeySpace.firstKey(firstSlot),
        KeySpace.lastKey(lastSlot),
        holder,
        holder + ":1",
        1,
        RangeState.HELD,
        null);
  }

  private static SlotLoads loads(final int slot, final int busyMillis) {
    final SlotLoads loads = new SlotLoads();
    loads.add(new SlotReport("s", List.of(slot), List.of(1), List.of(busyMillis)), 0);
    return loads;
  }

  @Test
  public void theInitialAssignmentCoversAllKeysByCapacity() {
    final List<KeyRange> ranges =
        Balancer.initialAssignment(List.of(member("b", 2), member("a", 6)), 7);
    assertEquals(ranges.size(), 2);
    assertEquals(ranges.get(0).holder, "a");
    assertEquals(ranges.get(0).first, 0);
    assertEquals(ranges.get(0).last + 1, KeySpace.KEYS * 3 / 4);
    assertEquals(ranges.get(1).first, ranges.get(0).last + 1);
    assertEquals(ranges.get(1).last, KeySpace.KEYS - 1);
    assertEquals(ranges.get(1).fence, 7);
  }

  @Test
  public void noKeysAreAssignedWithoutEligibleMembers() {
    final Member warmingUp = new Member("c", "c:1", 4, Member.Standing.NO_NEW_KEYS);
    assertEquals(Balancer.initialAssignment(List.of(warmingUp), 1), List.of());
  }

  @Test
  public void hotSlotsAreMovedRatherThanWideIdleRanges() {
    final SlotLoads loads = new SlotLoads();
    loads.add(new SlotReport("s", List.of(10, 11), List.of(9, 9), List.of(6000, 6000)), 0);
    final Balancer balancer =
        new Balancer(
            loads,
            List.of(member("a", 4), member("b", 4)),
            List.of(range(0, 511, "a"), range(512, 1023, "b")),
            RESPONSIVE);
    final Balancer.Move move = balancer.planMove(slot -> true);
    assertNotNull(move);
    assertTrue(move.lastSlot() - move.firstSlot() < 16, move.toString());
    assertTrue(move.firstSlot() <= 11 && move.lastSlot() >= 10, move.toString());
  }

  @Test
  public void evenLoadsAreNotMoved() {
    final Balancer balancer =
        new Balancer(
            new SlotLoads(),
            List.of(member("a", 4), member("b", 4)),
            List.of(range(0, 499, "a"), range(500, 1023, "b")),
            RESPONSIVE);
    assertNull(balancer.planMove(slot -> true));
  }

  @Test
  public void anEmptyMemberGetsHalfOfTheHeaviestRange() {
    final Balancer balancer =
        new Balancer(
            new SlotLoads(),
            List.of(member("a", 4), member("b", 4)),
            List.of(range(0, 1023, "a")),
            RESPONSIVE);
    assertEquals(balancer.planMove(slot -> true), new Balancer.Move(512, 1023, "b"));
  }

  @Test
  public void aMemberThatHasNotRespondedYetGetsOneSlot() {
    final List<Member> members = List.of(member("a", 4), member("b", 4));
    final List<KeyRange> ranges = List.of(range(0, 1023, "a"));
    final Balancer balancer = new Balancer(new SlotLoads(), members, ranges, Set.of("a"));
    assertEquals(balancer.planMove(slot -> true), new Balancer.Move(1023, 1023, "b"));
    assertEquals(balancer.chooseReceiver(range(0, 9, "c")).id(), "a");
    final List<KeyRange> tried = List.of(range(0, 1022, "a"), range(1023, 1023, "b"));
    assertNull(new Balancer(new SlotLoads(), members, tried, Set.of("a")).planMove(slot -> true));
  }

  @Test
  public void aLeavingMembersRangeIsSplitIntoPiecesOfSimilarLoad() {
    final Balancer balancer =
        new Balancer(
            loads(0, 4000),
            List.of(member("a", 4), member("b", 4), member("c", 4), member("d", 4)),
            List.of(range(0, 99, "a"), range(100, 1023, "b")),
            RESPONSIVE);
    final List<KeyRange> pieces = balancer.split(range(0, 99, "a"));
    assertEquals(pieces.size(), 3);
    assertEquals(pieces.get(0).last, KeySpace.lastKey(0), "the hot slot alone");
    assertEquals(pieces.get(2).last, KeySpace.lastKey(99));
  }

  @Test
  public void piecesGoToDifferentReceivers() {
    final Balancer balancer =
        new Balancer(
            new SlotLoads(),
            List.of(member("b", 4), member("c", 4)),
            List.of(range(200, 600, "b"), range(601, 1023, "c")),
            RESPONSIVE);
    final List<String> receivers = new ArrayList<>();
    receivers.add(balancer.chooseReceiver(range(0, 99, "a")).id());
    receivers.add(balancer.chooseReceiver(range(100, 199, "a")).id());
    assertEquals(receivers, List.of("b", "c"));
  }
}
