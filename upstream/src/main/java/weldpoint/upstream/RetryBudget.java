package weldpoint.upstream;

/**
 * This proxy's share of the further tries that all of them together may make at one service. In the
 * first window of a life the share of the slack grows from nothing to what caution leaves beside
 * that of earlier lives, so that no number of restarts within a window exceeds the budget.
 */
public final class RetryBudget {
  private static final int SLICES = 20;
  private static final double CAUTION = 0.7;

  private final double ratio;
  private final double slack;
  private final long windowMillis;
  private final long bornAt;
  private final long sliceMillis;
  private final int[] requests = new int[SLICES];
  private final int[] repeats = new int[SLICES];
  private long slice;
  private int requestSum;
  private int repeatSum;

  /**
   * A budget of ratio x requests + slack in every window.
   *
   * @param bornAt when this process started, in milliseconds of its steady clock; long ago where no
   *     earlier life of it can have sent anything
   */
  public RetryBudget(
      final double ratio, final double slack, final long windowMillis, final long bornAt) {
    this.windowMillis = windowMillis;
    this.bornAt = bornAt;
    this.ratio = ratio;
    this.slack = slack;
    this.sliceMillis = Math.max(1, windowMillis / (SLICES - 1));
  }

  private int place(final long now) {
    final long present = now / sliceMillis;
    if (present - slice >= SLICES) {
      java.util.Arrays.fill(requests, 0);
      java.util.Arrays.fill(repeats, 0);
      requestSum = 0;
      repeatSum = 0;
      slice = present;
    }
    while (slice < present) {
      slice++;
      final int place = (int) (slice % SLICES);
      requestSum -= requests[place];
      repeatSum -= repeats[place];
      requests[place] = 0;
      repeats[place] = 0;
    }
    return (int) (present % SLICES);
  }

  /** A request for the service has come. */
  public void request(final long now) {
    requests[place(now)]++;
    requestSum++;
  }

  /** Takes one further try, if the share of one among so many switchboards allows it. */
  public boolean take(final double switchboards, final long now) {
    final int place = place(now);
    final double ownSlack = slack * slackPart(now) / Math.max(1, switchboards);
    if (repeatSum + 1 > CAUTION * (ratio * requestSum + ownSlack)) {
      return false;
    }
    repeats[place]++;
    repeatSum++;
    return true;
  }

  private double slackPart(final long now) {
    final long age = now - bornAt;
    return age >= windowMillis
        ? 1
        : (1 - CAUTION) / CAUTION * Math.max(0, age) / (double) windowMillis;
  }
}
