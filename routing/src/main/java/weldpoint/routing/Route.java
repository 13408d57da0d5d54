package weldpoint.routing;

/** A compiled route: names have become indices of services. */
public final class Route {
  public final int index;
  public final String name;
  public final RouteKind kind;
  public final int priority;
  public final long targetLatencyMillis;
  public final long timeoutMillis;
  public final int maxAttempts;
  public final String[] homeRegions;
  public final boolean publicAccess;
  public final long cacheTtlMillis;

  /** What ties callers to nodes; null where nothing does. */
  public final Affinity affinity;

  final int[] serviceIndices;
  final double[] cumulativeWeights;

  Route(
      final int index,
      final String name,
      final RouteKind kind,
      final int priority,
      final long targetLatencyMillis,
      final long timeoutMillis,
      final int maxAttempts,
      final String[] homeRegions,
      final boolean publicAccess,
      final long cacheTtlMillis,
      final Affinity affinity,
      final int[] serviceIndices,
      final double[] cumulativeWeights) {
    this.affinity = affinity;
    this.index = index;
    this.name = name;
    this.kind = kind;
    this.priority = priority;
    this.targetLatencyMillis = targetLatencyMillis;
    this.timeoutMillis = timeoutMillis;
    this.maxAttempts = maxAttempts;
    this.homeRegions = homeRegions;
    this.publicAccess = publicAccess;
    this.cacheTtlMillis = cacheTtlMillis;
    this.serviceIndices = serviceIndices;
    this.cumulativeWeights = cumulativeWeights;
  }

  /** Whether upstreams in this region may serve it; see {@link RouteBinding#allowsRegion}. */
  boolean allowsRegion(final String region) {
    if (homeRegions.length == 0) {
      return true;
    }
    for (final String homeRegion : homeRegions) {
      if (homeRegion.equals(region)) {
        return true;
      }
    }
    return false;
  }

  /** Whether the route may lead to the service of this index. */
  boolean includesService(final int serviceIndex) {
    for (final int candidate : serviceIndices) {
      if (candidate == serviceIndex) {
        return true;
      }
    }
    return false;
  }

  /** The service of the split for a draw from 0 to 1. */
  int serviceAt(final double splitPoint) {
    final double weightedPoint = splitPoint * cumulativeWeights[cumulativeWeights.length - 1];
    int position = 0;
    while (position < serviceIndices.length - 1 && weightedPoint >= cumulativeWeights[position]) {
      position++;
    }
    return serviceIndices[position];
  }

  /**
   * The service of the split that a caller always gets: drawn by its name, so that it stays on one
   * while the weights stand.
   */
  public int serviceForCaller(final long callerHash) {
    return serviceAt((callerHash >>> 11) / (double) (1L << 53));
  }

  /** The services that the route may lead to. */
  public int[] serviceIndices() {
    return serviceIndices.clone();
  }
}
