package weldpoint.ownership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import java.util.List;
import org.testng.annotations.Test;
import weldpoint.transport.OwnershipMessages.Assignment;
import weldpoint.transport.OwnershipMessages.KeyRange;
import weldpoint.transport.OwnershipMessages.RangeState;
import weldpoint.transport.OwnershipMessages.SlotReport;

/** Tests a proxy's table of key holders, the parsing of shard keys, and the load reports. */
public final class KeyOwnersTest {
  private static Assignment assignment(final long serial, final String first, final String second) {
    return new Assignment(
        "s",
        serial,
        "r",
        1,
        List.of(
            new KeyRange(0, 999, first, "h:1", serial, RangeState.HELD, null),
            new KeyRange(1000, 65_535, second, "h:2", serial, RangeState.RELEASING, null)));
  }

  @Test
  public void keysAreFoundAtBothEndsOfARange() {
    final KeyOwners owners = new KeyOwners();
    owners.applyAssignments(List.of(assignment(1, "a", "b")));
    assertEquals(owners.range("s", 0).holder, "a");
    assertEquals(owners.range("s", 999).holder, "a");
    assertEquals(owners.range("s", 1000).holder, "b");
    assertEquals(owners.range("s", 65_535).holder, "b");
    assertNull(owners.range("another", 5));
  }

  @Test
  public void anOlderAssignmentIsIgnored() {
    final KeyOwners owners = new KeyOwners();
    owners.applyAssignments(List.of(assignment(2, "a", "b")));
    owners.applyAssignments(List.of(assignment(1, "x", "y")));
    assertEquals(owners.range("s", 0).holder, "a");
  }

  @Test
  public void onlyWholeNumbersOfTheKeySpaceAreKeys() {
    assertEquals(KeySpace.parse("0"), 0);
    assertEquals(KeySpace.parse(" 65535 "), 65_535);
    for (final String bad : new String[] {null, "", " ", "65536", "-1", "1.0", "a", "000001"}) {
      assertEquals(KeySpace.parse(bad), KeySpace.NO_KEY, bad);
    }
  }

  @Test
  public void reportsAddUpAndAreDrained() {
    final KeyOwners owners = new KeyOwners();
    owners.recordResponse("s", 0, 100);
    owners.recordResponse("s", 63, 50);
    owners.recordResponse("s", 64, 7);
    final SlotReport report = owners.drainReports().get(0);
    assertEquals(report.slots, List.of(0, 1));
    assertEquals(report.requests, List.of(2, 1));
    assertEquals(report.busyMillis, List.of(150, 7));
    assertEquals(owners.drainReports(), List.of());
    final SlotReports sums = new SlotReports();
    sums.add(report);
    sums.add(report);
    assertEquals(sums.drain().get(0).busyMillis, List.of(300, 14));
    assertEquals(sums.drain(), List.of());
  }
}
