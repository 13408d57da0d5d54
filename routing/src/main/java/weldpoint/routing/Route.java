package weldpoint.routing;

/** A compiled route: names have become indices of services. */
public final class Route {
  public final int index;
  public final String name;
  public final RouteKind kind;
  public final int priority;
  public final long targetMillis;
  public final long timeoutMillis;
  public final int maxAttempts;
  public final String[] homes;
  public final boolean open;
  public final long cacheMillis;

  /** What ties callers to nodes; null where nothing does. */
  public final Affinity affinity;

  final int[] services;
  final double[] upTo;

  Route(
      final int index,
      final String name,
      final RouteKind kind,
      final int priority,
      final long targetMillis,
      final long timeoutMillis,
      final int maxAttempts,
      final String[] homes,
      final boolean open,
      final long cacheMillis,
      final Affinity affinity,
      final int[] services,
      final double[] upTo) {
    this.affinity = affinity;
    this.index = index;
    this.name = name;
    this.kind = kind;
    this.priority = priority;
    this.targetMillis = targetMillis;
    this.timeoutMillis = timeoutMillis;
    this.maxAttempts = maxAttempts;
    this.homes = homes;
    this.open = open;
    this.cacheMillis = cacheMillis;
    this.services = services;
    this.upTo = upTo;
  }

  /** Whether upstreams in this region may serve it; see {@link RouteBinding#home}. */
  boolean home(final String region) {
    if (homes.length == 0) {
      return true;
    }
    for (final String home : homes) {
      if (home.equals(region)) {
        return true;
      }
    }
    return false;
  }

  /** Whether the route may lead to the service of this index. */
  boolean leadsTo(final int service) {
    for (final int one : services) {
      if (one == service) {
        return true;
      }
    }
    return false;
  }

  /** The service of the split for a draw from 0 to 1. */
  int service(final double chance) {
    final double wanted = chance * upTo[upTo.length - 1];
    int place = 0;
    while (place < services.length - 1 && wanted >= upTo[place]) {
      place++;
    }
    return services[place];
  }

  /**
   * The service of the split that a caller always gets: drawn by its name, so that it stays on one
   * while the weights stand.
   */
  public int serviceFor(final long callerHash) {
    return service((callerHash >>> 11) / (double) (1L << 53));
  }

  /** The services that the route may lead to. */
  public int[] services() {
    return services.clone();
  }
}
