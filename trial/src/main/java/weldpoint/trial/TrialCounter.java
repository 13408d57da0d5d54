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
  OLD_DOUBLED,
  OLD_LATE,
  NEW_SENT,
  NEW_CONFIRMED,
  NEW_LOST,
  NEW_DOUBLED,
  NEW_LATE,
  NEW_REHEARSED,
  STAGE_CONFIRMED,
  STAGE,
  OLD_OTHERS,
  OLD_OTHERS_FAILED,
  NEW_OTHERS,
  NEW_OTHERS_FAILED;

  private static final int SIZE = values().length;

  /** Counts that are all 0. */
  public static long[] none() {
    return new long[SIZE];
  }

  /** This count among others. */
  public long in(final long[] counts) {
    return counts[ordinal()];
  }

  /** One more of this. */
  public void more(final long[] counts) {
    counts[ordinal()]++;
  }

  static List<Long> list(final long[] counts) {
    final List<Long> list = new ArrayList<>(counts.length);
    for (final long count : counts) {
      list.add(count);
    }
    return list;
  }

  static long[] array(final List<Long> list) {
    final long[] counts = none();
    for (int index = 0; index < Math.min(counts.length, list == null ? 0 : list.size()); index++) {
      counts[index] = list.get(index);
    }
    return counts;
  }
}
