package weldpoint.routing;

import java.util.Map;
import java.util.Objects;

/**
 * What a configuration says of one request: its route, its service and its tenant, and so where it
 * may be sent. A binding follows the configuration in force ({@link #revalidate}), which is asked
 * at each send. What was fixed when the request came (its deadline, whether it may be repeated, how
 * many tries it has) is none of a binding's business.
 */
public final class RouteBinding {
  /** Whether the configuration in force lets a request go on as it was begun. */
  public enum Status {
    /** It may be sent, within the homes in force. */
    BOUND("it may be sent"),
    /** Its route is gone. */
    ROUTE_REMOVED("its route was removed while it waited; come back"),
    /** Its route leads elsewhere, or may be repeated no longer, or ties its callers otherwise. */
    ROUTE_CHANGED("its route was changed while it waited; come back"),
    /** Its key is unknown now, and its route wants one. */
    KEY_UNKNOWN("the key is unknown; send one of yours"),
    /** Its key is another tenant's now, or its tenant has got a limit. */
    TENANT_CHANGED("its tenant was changed while it waited; come back");

    private final String reason;

    Status(final String reason) {
      this.reason = reason;
    }

    /** What a client is told. */
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

  /** A request for this host and path; chance, from 0 to 1, decides in a split. */
  public RouteBinding(final String host, final String target, final double splitPoint) {
    final int colon = host.lastIndexOf(':');
    this.host = (colon > 0 ? host.substring(0, colon) : host).toLowerCase(java.util.Locale.ROOT);
    final int query = target.indexOf('?');
    this.path = query < 0 ? target : target.substring(0, query);
    this.lastSlash = path.lastIndexOf('/');
    this.splitPoint = splitPoint;
  }

  /** Takes what a configuration's program has found. */
  void setResolved(final RoutingTable resolvedBy) {
    routingTable = resolvedBy;
    service = resolvedBy.services().get(serviceIndex);
  }

  /** Sends the request to another service of its route than chance has drawn. */
  public void selectService(final int index) {
    serviceIndex = index;
    service = routingTable.services().get(index);
  }

  /** Sends the request to a service that its route need not lead to, as a trial has it. */
  public void overrideService(final RoutingTable.Service override) {
    service = override;
  }

  /** Says that the answer is for everybody who may ask for it, whoever the tenants are. */
  public void shareAcrossTenants() {
    sharedAcrossTenants = true;
  }

  /** Finds whose request it is; the key may be null. */
  public void identifyTenant(final String presentedKey) {
    keyChecked = true;
    apiKey = presentedKey;
    tenant = presentedKey == null ? null : routingTable.tenantForKey(presentedKey);
  }

  /** The route. */
  public Route route() {
    return route;
  }

  /** The service that is to run it. */
  public RoutingTable.Service service() {
    return service;
  }

  /** The tenant; null where it is nobody's. */
  public RoutingTable.Tenant tenant() {
    return tenant;
  }

  /** Whether the last configuration that was followed lets the request go on. */
  public Status status() {
    return status;
  }

  /** Whether the route or the tenant has homes. */
  public boolean hasHomeRegions() {
    return route.homeRegions.length > 0 || tenant != null && !tenant.homeRegions().isEmpty();
  }

  /**
   * Whether upstreams in this region may run it, and copies of its answer may be kept there: where
   * both route and tenant have homes, both bind.
   */
  public boolean allowsRegion(final String region) {
    return route.allowsRegion(region) && (tenant == null || tenant.allowsRegion(region));
  }

  /**
   * Takes the configuration in force, which costs nothing while it is the one known. False where
   * the request must not be sent any more; {@link #status} tells why.
   *
   * @param inForce the configuration in force; null where only the one known counts
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

  /** The service in force of this name; null where there is none, or it is divided otherwise. */
  private static RoutingTable.Service sameService(
      final RoutingTable current, final RoutingTable.Service previous) {
    final int index = current.serviceIndex(previous.name());
    final RoutingTable.Service candidate = index < 0 ? null : current.services().get(index);
    return candidate == null || candidate.partitioned() != previous.partitioned()
        ? null
        : candidate;
  }

  /** Whether a key's tenant is the one it was; a limit that came meanwhile was not asked for. */
  private boolean sameTenant(final RoutingTable.Tenant keyOwner) {
    return tenant != null
        && tenant.name().equals(keyOwner.name())
        && (tenant.ratePerSecond() > 0 || keyOwner.ratePerSecond() <= 0);
  }
}
