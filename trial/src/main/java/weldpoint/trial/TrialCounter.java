package weldpoint.trial;

import java.util.ArrayList;
import java.util.List;

/**
 * What is counted for each version of a route under trial, writes apart from all other requests.
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

  /** Counts that are all 0. */
  public static long[] newCounts() {
    return new long[SIZE];
  }

  /** This count among others. */
  public long valueIn(final long[] counts) {
    return counts[ordinal()];
  }

  /** One more of this. */
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
