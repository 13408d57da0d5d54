package weldpoint.ownership;

import java.util.List;
import weldpoint.transport.OwnershipMessages.Assignment;
import weldpoint.transport.OwnershipMessages.KeyRange;

/** Who holds which key of one service: an assignment, made ready for look-ups. */
public final class RangeTable {
  private final long serial;
  private final KeyRange[] ranges;

  /** A table of an assignment. */
  public RangeTable(final Assignment assignment) {
    this.serial = assignment.serial;
    this.ranges = assignment.ranges().toArray(new KeyRange[0]);
  }

  /** The number of the assignment. */
  public long serial() {
    return serial;
  }

  /** All ranges. */
  public List<KeyRange> ranges() {
    return List.of(ranges);
  }

  /** The range of a key; null where there is none. */
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
