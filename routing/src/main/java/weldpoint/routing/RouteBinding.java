package weldpoint.routing;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The route, service and tenant that a configuration assigns to one request, which determine the
 * upstreams that it may be sent to. {@link #revalidate} checks the binding against the current
 * configuration before each send. A binding does not hold what was fixed when the request arrived:
 * its deadline, whether it may be repeated, and its number of attempts.
 */
public final class RouteBinding {
  /** Whether the current configuration still allows the request to be sent as it was bound. */
  public enum Status {
    /** The request may be sent, within the current home regions. */
    BOUND("the request may be sent"),
    /** No route matches the request any more. */
    ROUTE_REMOVED("the route of the request was removed while it waited; retry the request"),
    /**
     * The route no longer includes the service, its requests have become repeatable or no longer
     * are, the service is partitioned differently, or the affinity rule has changed.
     */
    ROUTE_CHANGED("the route of the request was changed while it waited; retry the request"),
    /** The API key is unknown or missing, and the route requires one. */
    KEY_UNKNOWN("the API key is unknown or missing; send a valid key"),
    /** The API key now belongs to another tenant, or a rate limit was added to the tenant. */
    TENANT_CHANGED("the tenant of the request was changed while it waited; retry the request");

    private final String reason;

    Status(final String reason) {
      this.reason = reason;
    }

    /** The explanation that is sent to the client. */
    public String reason() {
      return reason;
    }
  }

  final String host;
  final String path;
  final int lastSlash;
  final double splitPoint;
  Map<String, Route> routesByPrefix;
  Route route;
  int serviceIndex;
  private RoutingTable routingTable;
  private RoutingTable.Service service;
  private RoutingTable.Tenant tenant;
  private String apiKey;
  private boolean keyChecked;
  private boolean sharedAcrossTenants;
  private Status status = Status.BOUND;

  /**
   * Creates an unresolved binding.
   *
   * @param host the host of the request, with or without a port
   * @param target the request target; its query is ignored
   * @param splitPoint a number from 0 to 1 that selects the service in a weighted split
   */
  public RouteBinding(final String host, final String target, final double splitPoint) {
    final int colon = host.lastIndexOf(':');
    this.host = (colon > 0 ? host.substring(0, colon) : host).toLowerCase(java.util.Locale.ROOT);
    final int query = target.indexOf('?');
    this.path = query < 0 ? target : target.substring(0, query);
    this.lastSlash = path.lastIndexOf('/');
    this.splitPoint = splitPoint;
  }

  /** Records the routing table that has resolved the route and the service index. */
  void setResolved(final RoutingTable resolvedBy) {
    routingTable = resolvedBy;
    service = resolvedBy.services().get(serviceIndex);
  }

  /** Replaces the service that the split selected by another service of the route. */
  public void selectService(final int index) {
    serviceIndex = index;
    service = routingTable.services().get(index);
  }

  /**
   * Sends the request to a service that need not be a target of its route, for instance to the new
   * version of a service in a trial.
   */
  public void overrideService(final RoutingTable.Service override) {
    service = override;
  }

  /**
   * Marks the response as shared by the clients of all tenants, so that no API key is required when
   * the binding is revalidated.
   */
  public void shareAcrossTenants() {
    sharedAcrossTenants = true;
  }

  /** Looks up the tenant by the API key of the request; the key may be null. */
  public void identifyTenant(final String presentedKey) {
    keyChecked = true;
    apiKey = presentedKey;
    tenant = presentedKey == null ? null : routingTable.tenantForKey(presentedKey);
  }

  /** The route; null before the binding was resolved. */
  public Route route() {
    return route;
  }

  /** The service that the request is sent to. */
  public RoutingTable.Service service() {
    return service;
  }

  /** The tenant; null if the request belongs to none. */
  public RoutingTable.Tenant tenant() {
    return tenant;
  }

  /** The result of the last {@link #revalidate}. */
  public Status status() {
    return status;
  }

  /** Whether the route or the tenant is restricted to home regions. */
  public boolean hasHomeRegions() {
    return route.homeRegions.length > 0 || tenant != null && !tenant.homeRegions().isEmpty();
  }

  /** The regions that the route and the tenant both allow; empty if neither is restricted. */
  public List<String> homeRegions() {
    final List<String> ofRoute = List.of(route.homeRegions);
    if (tenant == null || tenant.homeRegions().isEmpty()) {
      return ofRoute;
    }
    return ofRoute.isEmpty()
        ? tenant.homeRegions()
        : ofRoute.stream().filter(tenant::allowsRegion).toList();
  }

  /**
   * Whether upstreams in this region may serve the request and its response may be cached there. If
   * both the route and the tenant have home regions, the region must be among both.
   */
  public boolean allowsRegion(final String region) {
    return route.allowsRegion(region) && (tenant == null || tenant.allowsRegion(region));
  }

  /**
   * Checks the binding against the current configuration and adopts it, which costs nothing if it
   * is the configuration already adopted. Returns false if the request must not be sent any more;
   * {@link #status} gives the reason.
   *
   * @param current the current configuration; null to keep the one already adopted
   */
  public boolean revalidate(final RoutingTable current) {
    if (current != null && current != routingTable && status == Status.BOUND) {
      final Route previousRoute = route;
      status = current.findRoute(this) ? compare(current, previousRoute) : Status.ROUTE_REMOVED;
      if (status != Status.BOUND) {
        route = previousRoute;
      }
    }
    return status == Status.BOUND;
  }

  private Status compare(final RoutingTable current, final Route previousRoute) {
    final RoutingTable.Service currentService = sameService(current, service);
    final RoutingTable.Service currentSelected =
        sameService(current, routingTable.services().get(serviceIndex));
    if (currentService == null
        || currentSelected == null
        || !route.includesService(currentSelected.index())
        || route.kind.repeatable() != previousRoute.kind.repeatable()
        || !Objects.equals(route.affinity, previousRoute.affinity)) {
      return Status.ROUTE_CHANGED;
    }
    final RoutingTable.Tenant keyOwner = apiKey == null ? null : current.tenantForKey(apiKey);
    if (keyOwner == null
        && !sharedAcrossTenants
        && !route.publicAccess
        && !current.tenants().isEmpty()) {
      return keyChecked ? Status.KEY_UNKNOWN : Status.TENANT_CHANGED;
    }
    if (keyOwner != null && !sameTenant(keyOwner)) {
      return Status.TENANT_CHANGED;
    }
    routingTable = current;
    service = currentService;
    serviceIndex = currentSelected.index();
    tenant = keyOwner;
    return Status.BOUND;
  }

  /**
   * The service with the same name in the current configuration; null if there is none or if only
   * one of the two is partitioned.
   */
  private static RoutingTable.Service sameService(
      final RoutingTable current, final RoutingTable.Service previous) {
    final int index = current.serviceIndex(previous.name());
    final RoutingTable.Service candidate = index < 0 ? null : current.services().get(index);
    return candidate == null || candidate.partitioned() != previous.partitioned()
        ? null
        : candidate;
  }

  /**
   * Whether the key still belongs to the same tenant. A tenant that has got a rate limit since then
   * counts as another one, because no permit was requested for this request.
   */
  private boolean sameTenant(final RoutingTable.Tenant keyOwner) {
    return tenant != null
        && tenant.name().equals(keyOwner.name())
        && (tenant.ratePerSecond() > 0 || keyOwner.ratePerSecond() <= 0);
  }
}
