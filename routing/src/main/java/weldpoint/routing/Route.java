package weldpoint.routing;

/**
 * One route of a compiled {@link RoutingTable}. Services are referred to by their index in {@link
 * RoutingTable#services()}. Immutable; callers must not modify {@code homeRegions}.
 */
public final class Route {
  public final int index;
  public final String name;
  public final RouteKind kind;

  /** Whether clients name the operation of each request by an idempotency key. */
  public final boolean keyed;

  public final int priority;
  public final long targetLatencyMillis;
  public final long timeoutMillis;
  public final int maxAttempts;
  public final String[] homeRegions;
  public final boolean publicAccess;
  public final long cacheTtlMillis;

  /** The rule that keeps each caller on one upstream; null if the route has none. */
  public final Affinity affinity;

  final int[] serviceIndices;
  final double[] cumulativeWeights;

  Route(
      final int index,
      final String name,
      final RouteKind kind,
      final boolean keyed,
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
    this.keyed = keyed;
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

  /**
   * Whether the route's home regions allow upstreams of this region. A tenant can restrict it
   * further, see {@link RouteBinding#allowsRegion}.
   */
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

  /** Whether the service with this index is one of the targets of the route. */
  boolean includesService(final int serviceIndex) {
    for (final int candidate : serviceIndices) {
      if (candidate == serviceIndex) {
        return true;
      }
    }
    return false;
  }

  /** The index of the service that a point between 0 and 1 selects in the weighted split. */
  int serviceAt(final double splitPoint) {
    final double weightedPoint = splitPoint * cumulativeWeights[cumulativeWeights.length - 1];
    int position = 0;
    while (position < serviceIndices.length - 1 && weightedPoint >= cumulativeWeights[position]) {
      position++;
    }
    return serviceIndices[position];
  }

  /**
   * The index of the service that the weighted split assigns to a caller. It depends only on the
   * hash of the caller and on the weights, so a caller keeps its service while the weights do not
   * change.
   */
  public int serviceForCaller(final long callerHash) {
    return serviceAt((callerHash >>> 11) / (double) (1L << 53));
  }

  /** The indices of all services that the route may send requests to, as a copy. */
  public int[] serviceIndices() {
    return serviceIndices.clone();
  }
}
