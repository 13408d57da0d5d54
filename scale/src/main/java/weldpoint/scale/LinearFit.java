package weldpoint.scale;

import weldpoint.common.WeldpointException;

/** A straight line through points by least squares, with what it leaves over. */
public record LinearFit(
    double slope,
    double intercept,
    double maxResidual,
    double rSquared,
    double minSize,
    double maxSize,
    int points) {
  private static final int MIN_POINTS = 3;
  private static final double MIN_SIZE_RATIO = 4;

  /** The line through these points; fails where they are too few or too near each other. */
  public static LinearFit of(final double[] sizes, final double[] values) {
    if (sizes.length != values.length || sizes.length < MIN_POINTS) {
      throw new WeldpointException(
          WeldpointException.Kind.INVALID,
          sizes.length + " points give no slope; measure at least " + MIN_POINTS + " sizes");
    }
    double smallest = Double.MAX_VALUE;
    double largest = 0;
    double meanSize = 0;
    double meanValue = 0;
    for (int index = 0; index < sizes.length; index++) {
      smallest = Math.min(smallest, sizes[index]);
      largest = Math.max(largest, sizes[index]);
      meanSize += sizes[index] / sizes.length;
      meanValue += values[index] / sizes.length;
    }
    if (!(smallest >= 0) || largest < MIN_SIZE_RATIO * Math.max(1e-9, smallest)) {
      throw new WeldpointException(
          WeldpointException.Kind.INVALID,
          "sizes from "
              + smallest
              + " to "
              + largest
              + " lie too near each other; let the largest be "
              + MIN_SIZE_RATIO
              + " times the smallest");
    }
    double covariance = 0;
    double sizeVariance = 0;
    double valueVariance = 0;
    for (int index = 0; index < sizes.length; index++) {
      covariance += (sizes[index] - meanSize) * (values[index] - meanValue);
      sizeVariance += (sizes[index] - meanSize) * (sizes[index] - meanSize);
      valueVariance += (values[index] - meanValue) * (values[index] - meanValue);
    }
    final double slope = covariance / sizeVariance;
    final double intercept = meanValue - slope * meanSize;
    double maxResidual = 0;
    double residualSquares = 0;
    for (int index = 0; index < sizes.length; index++) {
      final double residual = values[index] - slope * sizes[index] - intercept;
      maxResidual = Math.max(maxResidual, Math.abs(residual));
      residualSquares += residual * residual;
    }
    return new LinearFit(
        slope,
        intercept,
        maxResidual,
        valueVariance == 0 ? 1 : 1 - residualSquares / valueVariance,
        smallest,
        largest,
        sizes.length);
  }

  /** What the line gives at a size. */
  public double predict(final double size) {
    return slope * size + intercept;
  }

  /** How many times beyond the largest measured size that is. */
  public double extrapolationFactor(final double size) {
    return size / maxSize;
  }
}
