package weldpoint.ratelimit;

/**
 * Counts permits in a sliding window of buckets and grants no more than a limit within any such
 * window. Not thread-safe.
 */
public final class SlidingWindowCounter {
  /**
   * Buckets of the window, one more than it spans, so that a partly expired bucket still counts.
   */
  private static final int BUCKETS = 24;

  private final long bucketMillis;
  private final int[] counts = new int[BUCKETS];
  private long currentBucket = Long.MIN_VALUE;
  private int total;

  /** Creates a counter over a window of this many milliseconds. */
  public SlidingWindowCounter(final long windowMillis) {
    this.bucketMillis = Math.max(1, (windowMillis + BUCKETS - 2) / (BUCKETS - 1));
  }

  /**
   * Moves the window up to now, clearing expired buckets, and returns the current bucket's index.
   */
  private int advance(final long now) {
    final long bucket = Math.floorDiv(now, bucketMillis);
    if (currentBucket == Long.MIN_VALUE || bucket - currentBucket >= BUCKETS) {
      java.util.Arrays.fill(counts, 0);
      total = 0;
      currentBucket = bucket;
    }
    while (currentBucket < bucket) {
      currentBucket++;
      final int index = (int) Math.floorMod(currentBucket, (long) BUCKETS);
      total -= counts[index];
      counts[index] = 0;
    }
    return (int) Math.floorMod(currentBucket, (long) BUCKETS);
  }

  /**
   * Takes up to {@code count} permits, as far as the limit for a window allows; returns how many.
   */
  public int acquireUpTo(final int count, final double limit, final long now) {
    final int index = advance(now);
    final int acquired = Math.max(0, Math.min(count, (int) Math.floor(limit) - total));
    counts[index] += acquired;
    total += acquired;
    return acquired;
  }

  /** Returns how many were taken within the current window. */
  public int currentTotal(final long now) {
    advance(now);
    return total;
  }
}
