package weldpoint.trial;

/** Whether the new version is late more often than the old route's own rate explains. */
public final class Lateness {
  private Lateness() {}

  /**
   * The chance, by Fisher's exact test, of so many late writes or more on the new version if both
   * were alike: late of sent on the new, oldLate of oldSent on the old.
   */
  public static double pValue(
      final long newLate, final long newSent, final long oldLate, final long oldSent) {
    final long total = newSent + oldSent;
    final long totalLate = newLate + oldLate;
    double sum = 0;
    for (long count = newLate; count <= Math.min(newSent, totalLate); count++) {
      sum +=
          Math.exp(
              logBinomial(totalLate, count)
                  + logBinomial(total - totalLate, newSent - count)
                  - logBinomial(total, newSent));
    }
    return Math.min(1, sum);
  }

  /** Whether that many are too many, at this allowance; an allowance of 0 suffers none at all. */
  public static boolean exceedsAllowance(
      final long newLate,
      final long newSent,
      final long oldLate,
      final long oldSent,
      final double allowance) {
    return newLate > 0
        && (allowance <= 0 || pValue(newLate, newSent, oldLate, oldSent) < allowance);
  }

  private static double logBinomial(final long n, final long k) {
    if (k < 0 || k > n) {
      return Double.NEGATIVE_INFINITY;
    }
    return logFactorial(n) - logFactorial(k) - logFactorial(n - k);
  }

  private static double logFactorial(final long n) {
    if (n < 2) {
      return 0;
    }
    if (n < 40) {
      double sum = 0;
      for (long factor = 2; factor <= n; factor++) {
        sum += Math.log(factor);
      }
      return sum;
    }
    final double x = n + 1.0;
    return (x - 0.5) * Math.log(x)
        - x
        + 0.5 * Math.log(2 * Math.PI)
        + 1 / (12 * x)
        - 1 / (360 * x * x * x);
  }
}
