package weldpoint.upstream;

/**
 * This proxy's share of the retries (hedges included) that all proxies together may send to one
 * service in a sliding window. In the first window after a process start the share of the slack
 * grows from zero to the part that the safety factor leaves unused, because earlier runs of the
 * process may have spent the rest. So no number of restarts within a window exceeds the budget. Not
 * thread-safe.
 */
public final class RetryBudget {
  /** Buckets of the sliding window, one more than the window spans. */
  private static final int BUCKETS = 20;

  /** Fraction of its share that this proxy spends. */
  private static final double SAFETY_FACTOR = 0.7;

  private final double ratio;
  private final double slack;
  private final long windowMillis;
  private final long startedAt;
  private final long bucketMillis;
  private final int[] requests = new int[BUCKETS];
  private final int[] retries = new int[BUCKETS];
  private long currentBucket;
  private int requestTotal;
  private int retryTotal;

  /**
   * Creates a budget of {@code ratio x requests + slack} retries in every window.
   *
   * @param ratio retries allowed per request
   * @param slack retries that all proxies together may send in a window besides
   * @param windowMillis length of the sliding window in milliseconds
   * @param startedAt when this process started, in milliseconds of its steady clock; a time long
   *     ago if no earlier run of it can have sent anything
   */
  public RetryBudget(
      final double ratio, final double slack, final long windowMillis, final long startedAt) {
    this.windowMillis = windowMillis;
    this.startedAt = startedAt;
    this.ratio = ratio;
    this.slack = slack;
    this.bucketMillis = Math.max(1, windowMillis / (BUCKETS - 1));
  }

  /**
   * Moves the window up to now, clearing expired buckets, and returns the current bucket's index.
   */
  private int advance(final long now) {
    final long bucket = now / bucketMillis;
    if (bucket - currentBucket >= BUCKETS) {
      java.util.Arrays.fill(requests, 0);
      java.util.Arrays.fill(retries, 0);
      requestTotal = 0;
      retryTotal = 0;
      currentBucket = bucket;
    }
    while (currentBucket < bucket) {
      currentBucket++;
      final int index = (int) (currentBucket % BUCKETS);
      requestTotal -= requests[index];
      retryTotal -= retries[index];
      requests[index] = 0;
      retries[index] = 0;
    }
    return (int) (bucket % BUCKETS);
  }

  /** Records that a request for the service has arrived. */
  public void recordRequest(final long now) {
    requests[advance(now)]++;
    requestTotal++;
  }

  /**
   * Takes one retry from the budget if this proxy's share, as one of {@code proxies}, allows it.
   */
  public boolean tryAcquire(final double proxies, final long now) {
    final int index = advance(now);
    final double slackShare = slack * slackFraction(now) / Math.max(1, proxies);
    if (retryTotal + 1 > SAFETY_FACTOR * (ratio * requestTotal + slackShare)) {
      return false;
    }
    retries[index]++;
    retryTotal++;
    return true;
  }

  private double slackFraction(final long now) {
    final long ageMillis = now - startedAt;
    return ageMillis >= windowMillis
        ? 1
        : (1 - SAFETY_FACTOR) / SAFETY_FACTOR * Math.max(0, ageMillis) / (double) windowMillis;
  }
}
