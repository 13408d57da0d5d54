package weldpoint.trial;

/**
 * Tests statistically whether the new version answers late more often than the old version does.
 * Used by proxies on their own counts and by the registry on the counts of all proxies.
 */
public final class Lateness {
  private Lateness() {}

  /**
   * Returns the one-sided p-value of Fisher's exact test: the probability of {@code newLate} or
   * more late writes among the {@code newSent} writes of the new version if both versions were
   * equally often late, given {@code oldLate} late writes among {@code oldSent} on the old version.
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

  /**
   * Returns whether the new version has more late writes than {@code allowance}, the significance
   * level of the test, permits. An allowance of 0 permits no late write at all.
   */
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
