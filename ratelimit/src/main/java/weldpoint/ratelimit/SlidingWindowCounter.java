package weldpoint.ratelimit;

/**
 * Counts what was given out in a sliding window, and gives no more than a limit within any such
 * window.
 */
public final class SlidingWindowCounter {
  private static final int SLICES = 24;

  private final long sliceMillis;
  private final int[] given = new int[SLICES];
  private long slice = Long.MIN_VALUE;
  private int sum;

  /** A purse over a window of this many milliseconds. */
  public SlidingWindowCounter(final long windowMillis) {
    this.sliceMillis = Math.max(1, (windowMillis + SLICES - 2) / (SLICES - 1));
  }

  private int place(final long now) {
    final long present = Math.floorDiv(now, sliceMillis);
    if (slice == Long.MIN_VALUE || present - slice >= SLICES) {
      java.util.Arrays.fill(given, 0);
      sum = 0;
      slice = present;
    }
    while (slice < present) {
      slice++;
      final int place = (int) Math.floorMod(slice, (long) SLICES);
      sum -= given[place];
      given[place] = 0;
    }
    return (int) Math.floorMod(slice, (long) SLICES);
  }

  /** Takes up to this many, as far as the limit for a window allows. */
  public int take(final int count, final double limit, final long now) {
    final int place = place(now);
    final int taken = Math.max(0, Math.min(count, (int) Math.floor(limit) - sum));
    given[place] += taken;
    sum += taken;
    return taken;
  }

  /** How many were taken within the present window. */
  public int taken(final long now) {
    place(now);
    return sum;
  }
}
