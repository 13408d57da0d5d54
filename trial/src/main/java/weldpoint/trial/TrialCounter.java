package weldpoint.trial;

import java.util.ArrayList;
import java.util.List;

/**
 * The counters that a proxy keeps for each version of a route under trial; writes are counted apart
 * from all other requests. Counts are reported as a list in the order of these constants, so that
 * order must not change.
 */
public enum TrialCounter {
  OLD_SENT,
  OLD_CONFIRMED,
  OLD_LOST,
  OLD_DUPLICATED,
  OLD_LATE,
  NEW_SENT,
  NEW_CONFIRMED,
  NEW_LOST,
  NEW_DUPLICATED,
  NEW_LATE,
  NEW_REHEARSED,
  STAGE_CONFIRMED,
  STAGE,
  OLD_OTHER_REQUESTS,
  OLD_OTHER_REQUESTS_FAILED,
  NEW_OTHER_REQUESTS,
  NEW_OTHER_REQUESTS_FAILED;

  private static final int SIZE = values().length;

  /** Returns a new array of counts, all 0. */
  public static long[] newCounts() {
    return new long[SIZE];
  }

  /** Returns the value of this counter in {@code counts}. */
  public long valueIn(final long[] counts) {
    return counts[ordinal()];
  }

  /** Increments this counter in {@code counts}. */
  public void incrementIn(final long[] counts) {
    counts[ordinal()]++;
  }

  static List<Long> toList(final long[] counts) {
    final List<Long> list = new ArrayList<>(counts.length);
    for (final long count : counts) {
      list.add(count);
    }
    return list;
  }

  static long[] toArray(final List<Long> list) {
    final long[] counts = newCounts();
    for (int index = 0; index < Math.min(counts.length, list == null ? 0 : list.size()); index++) {
      counts[index] = list.get(index);
    }
    return counts;
  }
}
