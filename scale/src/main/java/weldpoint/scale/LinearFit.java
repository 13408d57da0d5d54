package weldpoint.scale;

import weldpoint.common.WeldpointException;

/** A straight line through points by least squares, with what it leaves over. */
public record LinearFit(
    double slope,
    double fixed,
    double worst,
    double explained,
    double from,
    double to,
    int points) {
  private static final int LEAST_POINTS = 3;
  private static final double LEAST_SPAN = 4;

  /** The line through these points; fails where they are too few or too near each other. */
  public static LinearFit of(final double[] sizes, final double[] values) {
    if (sizes.length != values.length || sizes.length < LEAST_POINTS) {
      throw new WeldpointException(
          WeldpointException.Kind.INVALID,
          sizes.length + " points give no slope; measure at least " + LEAST_POINTS + " sizes");
    }
    double least = Double.MAX_VALUE;
    double most = 0;
    double meanSize = 0;
    double meanValue = 0;
    for (int index = 0; index < sizes.length; index++) {
      least = Math.min(least, sizes[index]);
      most = Math.max(most, sizes[index]);
      meanSize += sizes[index] / sizes.length;
      meanValue += values[index] / sizes.length;
    }
    if (!(least >= 0) || most < LEAST_SPAN * Math.max(1e-9, least)) {
      throw new WeldpointException(
          WeldpointException.Kind.INVALID,
          "sizes from "
              + least
              + " to "
              + most
              + " lie too near each other; let the largest be "
              + LEAST_SPAN
              + " times the smallest");
    }
    double product = 0;
    double square = 0;
    double total = 0;
    for (int index = 0; index < sizes.length; index++) {
      product += (sizes[index] - meanSize) * (values[index] - meanValue);
      square += (sizes[index] - meanSize) * (sizes[index] - meanSize);
      total += (values[index] - meanValue) * (values[index] - meanValue);
    }
    final double slope = product / square;
    final double fixed = meanValue - slope * meanSize;
    double worst = 0;
    double left = 0;
    for (int index = 0; index < sizes.length; index++) {
      final double rest = values[index] - slope * sizes[index] - fixed;
      worst = Math.max(worst, Math.abs(rest));
      left += rest * rest;
    }
    return new LinearFit(
        slope, fixed, worst, total == 0 ? 1 : 1 - left / total, least, most, sizes.length);
  }

  /** What the line gives at a size. */
  public double at(final double size) {
    return slope * size + fixed;
  }

  /** How many times beyond the largest measured size that is. */
  public double beyond(final double size) {
    return size / to;
  }
}
