package weldpoint.routing;

import java.util.Map;
import java.util.Objects;

/**
 * What a configuration says of one request: its route, its service and its tenant, and so where it
 * may be sent. A binding follows the configuration in force ({@link #follow}), which is asked at
 * each send. What was fixed when the request came (its deadline, whether it may be repeated, how
 * many tries it has) is none of a binding's business.
 */
public final class RouteBinding {
  /** Whether the configuration in force lets a request go on as it was begun. */
  public enum Standing {
    /** It may be sent, within the homes in force. */
    BOUND("it may be sent"),
    /** Its route is gone. */
    ROUTE_GONE("its route was removed while it waited; come back"),
    /** Its route leads elsewhere, or may be repeated no longer, or ties its callers otherwise. */
    ROUTE_CHANGED("its route was changed while it waited; come back"),
    /** Its key is unknown now, and its route wants one. */
    KEY_UNKNOWN("the key is unknown; send one of yours"),
    /** Its key is another tenant's now, or its tenant has got a limit. */
    TENANT_CHANGED("its tenant was changed while it waited; come back");

    private final String reason;

    Standing(final String reason) {
      this.reason = reason;
    }

    /** What a client is told. */
    public String reason() {
      return reason;
    }
  }

  final String host;
  final String path;
  final int pathEnd;
  final double chance;
  Map<String, Route> prefixes;
  Route route;
  int routed;
  private RoutingTable routingTable;
  private RoutingTable.Service service;
  private RoutingTable.Tenant tenant;
  private String key;
  private boolean keyAsked;
  private boolean everybodys;
  private Standing standing = Standing.BOUND;

  /** A request for this host and path; chance, from 0 to 1, decides in a split. */
  public RouteBinding(final String host, final String target, final double chance) {
    final int colon = host.lastIndexOf(':');
    this.host = (colon > 0 ? host.substring(0, colon) : host).toLowerCase(java.util.Locale.ROOT);
    final int query = target.indexOf('?');
    this.path = query < 0 ? target : target.substring(0, query);
    this.pathEnd = path.lastIndexOf('/');
    this.chance = chance;
  }

  /** Takes what a configuration's program has found. */
  void found(final RoutingTable by) {
    routingTable = by;
    service = by.services().get(routed);
  }

  /** Sends the request to another service of its route than chance has drawn. */
  public void draw(final int index) {
    routed = index;
    service = routingTable.services().get(index);
  }

  /** Sends the request to a service that its route need not lead to, as a trial has it. */
  public void divert(final RoutingTable.Service other) {
    service = other;
  }

  /** Says that the answer is for everybody who may ask for it, whoever the tenants are. */
  public void forEverybody() {
    everybodys = true;
  }

  /** Finds whose request it is; the key may be null. */
  public void identify(final String given) {
    keyAsked = true;
    key = given;
    tenant = given == null ? null : routingTable.holder(given);
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
  public Standing standing() {
    return standing;
  }

  /** Whether the route or the tenant has homes. */
  public boolean homed() {
    return route.homes.length > 0 || tenant != null && !tenant.homes().isEmpty();
  }

  /**
   * Whether upstreams in this region may run it, and copies of its answer may be kept there: where
   * both route and tenant have homes, both bind.
   */
  public boolean home(final String region) {
    return route.home(region) && (tenant == null || tenant.home(region));
  }

  /**
   * Takes the configuration in force, which costs nothing while it is the one known. False where
   * the request must not be sent any more; {@link #standing} tells why.
   *
   * @param inForce the configuration in force; null where only the one known counts
   */
  public boolean follow(final RoutingTable inForce) {
    if (inForce != null && inForce != routingTable && standing == Standing.BOUND) {
      final Route before = route;
      standing = inForce.findRoute(this) ? judge(inForce, before) : Standing.ROUTE_GONE;
      if (standing != Standing.BOUND) {
        route = before;
      }
    }
    return standing == Standing.BOUND;
  }

  private Standing judge(final RoutingTable inForce, final Route before) {
    final RoutingTable.Service now = sameService(inForce, service);
    final RoutingTable.Service drawn = sameService(inForce, routingTable.services().get(routed));
    if (now == null
        || drawn == null
        || !route.leadsTo(drawn.index())
        || route.kind.repeatable() != before.kind.repeatable()
        || !Objects.equals(route.affinity, before.affinity)) {
      return Standing.ROUTE_CHANGED;
    }
    final RoutingTable.Tenant owner = key == null ? null : inForce.holder(key);
    if (owner == null && !everybodys && !route.open && !inForce.tenants().isEmpty()) {
      return keyAsked ? Standing.KEY_UNKNOWN : Standing.TENANT_CHANGED;
    }
    if (owner != null && !sameTenant(owner)) {
      return Standing.TENANT_CHANGED;
    }
    routingTable = inForce;
    service = now;
    routed = drawn.index();
    tenant = owner;
    return Standing.BOUND;
  }

  /** The service in force of this name; null where there is none, or it is divided otherwise. */
  private static RoutingTable.Service sameService(
      final RoutingTable inForce, final RoutingTable.Service known) {
    final int index = inForce.service(known.name());
    final RoutingTable.Service found = index < 0 ? null : inForce.services().get(index);
    return found == null || found.partitioned() != known.partitioned() ? null : found;
  }

  /** Whether a key's tenant is the one it was; a limit that came meanwhile was not asked for. */
  private boolean sameTenant(final RoutingTable.Tenant owner) {
    return tenant != null
        && tenant.name().equals(owner.name())
        && (tenant.ratePerSecond() > 0 || owner.ratePerSecond() <= 0);
  }
}
