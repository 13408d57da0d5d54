package weldpoint.ownership;

import java.util.List;
import weldpoint.transport.OwnershipMessages.Assignment;
import weldpoint.transport.OwnershipMessages.KeyRange;

/** An assignment of one service indexed for lookups by key. Immutable. */
public final class RangeTable {
  private final long serial;
  private final KeyRange[] ranges;

  /** Creates a table of an assignment, whose ranges must be sorted. */
  public RangeTable(final Assignment assignment) {
    this.serial = assignment.serial;
    this.ranges = assignment.ranges().toArray(new KeyRange[0]);
  }

  /** Returns the serial number of the assignment. */
  public long serial() {
    return serial;
  }

  /** Returns all ranges. */
  public List<KeyRange> ranges() {
    return List.of(ranges);
  }

  /** Returns the range that contains a key, by binary search; null if there is none. */
  public KeyRange range(final int key) {
    int low = 0;
    int high = ranges.length - 1;
    while (low <= high) {
      final int middle = (low + high) >>> 1;
      final KeyRange range = ranges[middle];
      if (key < range.first) {
        high = middle - 1;
      } else if (key > range.last) {
        low = middle + 1;
      } else {
        return range;
      }
    }
    return null;
  }
}
