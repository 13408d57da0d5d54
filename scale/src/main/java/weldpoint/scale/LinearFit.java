package weldpoint.scale;

import weldpoint.common.WeldpointException;

/**
 * Least-squares line through measured points, with its largest residual and R squared. Used by the
 * scale command; immutable.
 */
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

  /**
   * Fits a line. Throws {@link WeldpointException} of kind INVALID for fewer than 3 points or if
   * the largest size is less than 4 times the smallest.
   */
  public static LinearFit of(final double[] sizes, final double[] values) {
    if (sizes.length != values.length || sizes.length < MIN_POINTS) {
      throw new WeldpointException(
          WeldpointException.Kind.INVALID,
          sizes.length
              + " points are too few for a fit; measure at least "
              + MIN_POINTS
              + " sizes");
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
              + " are too close together; the largest must be at least "
              + MIN_SIZE_RATIO
              + " times the smallest");
    }
    double crossDeviations = 0;
    double sizeDeviations = 0;
    double valueDeviations = 0;
    for (int index = 0; index < sizes.length; index++) {
      crossDeviations += (sizes[index] - meanSize) * (values[index] - meanValue);
      sizeDeviations += (sizes[index] - meanSize) * (sizes[index] - meanSize);
      valueDeviations += (values[index] - meanValue) * (values[index] - meanValue);
    }
    final double slope = crossDeviations / sizeDeviations;
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
        valueDeviations == 0 ? 1 : 1 - residualSquares / valueDeviations,
        smallest,
        largest,
        sizes.length);
  }

  /** Returns the value of the line at a size. */
  public double predict(final double size) {
    return slope * size + intercept;
  }

  /**
   * Returns a size as a multiple of the largest measured size: how far a prediction extrapolates.
   */
  public double extrapolationFactor(final double size) {
    return size / maxSize;
  }
}
