package weldpoint.trial;

/** Whether the new version is late more often than the old route's own rate explains. */
public final class Lateness {
  private Lateness() {}

  /**
   * The chance, by Fisher's exact test, of so many late writes or more on the new version if both
   * were alike: late of sent on the new, oldLate of oldSent on the old.
   */
  public static double chance(
      final long late, final long sent, final long oldLate, final long oldSent) {
    final long all = sent + oldSent;
    final long allLate = late + oldLate;
    double sum = 0;
    for (long count = late; count <= Math.min(sent, allLate); count++) {
      sum +=
          Math.exp(
              choose(allLate, count) + choose(all - allLate, sent - count) - choose(all, sent));
    }
    return Math.min(1, sum);
  }

  /** Whether that many are too many, at this allowance; an allowance of 0 suffers none at all. */
  public static boolean tooMany(
      final long late,
      final long sent,
      final long oldLate,
      final long oldSent,
      final double allowance) {
    return late > 0 && (allowance <= 0 || chance(late, sent, oldLate, oldSent) < allowance);
  }

  private static double choose(final long of, final long count) {
    if (count < 0 || count > of) {
      return Double.NEGATIVE_INFINITY;
    }
    return factorial(of) - factorial(count) - factorial(of - count);
  }

  private static double factorial(final long number) {
    if (number < 2) {
      return 0;
    }
    if (number < 40) {
      double sum = 0;
      for (long factor = 2; factor <= number; factor++) {
        sum += Math.log(factor);
      }
      return sum;
    }
    final double x = number + 1.0;
    return (x - 0.5) * Math.log(x)
        - x
        + 0.5 * Math.log(2 * Math.PI)
        + 1 / (12 * x)
        - 1 / (360 * x * x * x);
  }
}
