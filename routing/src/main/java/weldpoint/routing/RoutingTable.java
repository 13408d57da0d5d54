package weldpoint.routing;

import io.avaje.jsonb.JsonType;
import io.avaje.jsonb.Jsonb;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import weldpoint.common.StrictJson;
import weldpoint.common.WeldpointException;

/**
 * A compiled configuration: routes by host and longest path prefix, services and tenants by dense
 * indices. Immutable, so it can be read from any thread; a changed configuration is a new table.
 */
public final class RoutingTable {
  private static final String KEYED_ROUTE_KIND = "keyed";
  private static final JsonType<SpecDocument> SPEC_TYPE =
      Jsonb.builder().build().type(SpecDocument.class);

  /** The steps by which a request is resolved, in order; each returns false to stop. */
  enum Step {
    FIND_HOST {
      @Override
      boolean run(final RoutingTable routingTable, final RouteBinding binding) {
        binding.routesByPrefix = routingTable.routesByHost.get(binding.host);
        return binding.routesByPrefix != null;
      }
    },
    FIND_LONGEST_PREFIX {
      @Override
      boolean run(final RoutingTable routingTable, final RouteBinding binding) {
        for (int slash = binding.lastSlash;
            slash >= 0;
            slash = binding.path.lastIndexOf('/', slash - 1)) {
          final Route found = binding.routesByPrefix.get(binding.path.substring(0, slash + 1));
          if (found != null) {
            binding.route = found;
            return true;
          }
          if (slash == 0) {
            break;
          }
        }
        return false;
      }
    },
    CHOOSE_SERVICE {
      @Override
      boolean run(final RoutingTable routingTable, final RouteBinding binding) {
        binding.serviceIndex =
            binding.route.serviceIndices.length == 1
                ? binding.route.serviceIndices[0]
                : binding.route.serviceAt(binding.splitPoint);
        return true;
      }
    };

    abstract boolean run(RoutingTable routingTable, RouteBinding binding);
  }

  private static final Step[] STEPS = Step.values();

  /**
   * A service. A value of 0 for {@code warmupPerSecond} or {@code ratePerSecond} means that it was
   * not configured; each upstream of a partitioned service serves its own part of the keys.
   */
  public record Service(
      int index,
      String name,
      String healthPath,
      int maxConnections,
      double warmupPerSecond,
      double ratePerSecond,
      boolean partitioned) {}

  /** A tenant with API keys; a {@code ratePerSecond} of 0 means no limit. */
  public record Tenant(
      int index,
      String name,
      int priority,
      double ratePerSecond,
      double burst,
      List<String> homeRegions) {
    /** Whether the home regions of the tenant allow upstreams of this region. */
    public boolean allowsRegion(final String region) {
      return homeRegions.isEmpty() || homeRegions.contains(region);
    }
  }

  private final long version;
  private final List<Tenant> tenants;
  private final Map<String, Tenant> tenantsByKey;
  private final Map<String, Map<String, Route>> routesByHost;
  private final List<Service> services;
  private final Map<String, Integer> serviceIndices;
  private final int maxHeaderBytes;
  private final long maxBodyBytes;
  private final long headerTimeoutMillis;
  private final long idleTimeoutMillis;
  private final int routeCount;

  private RoutingTable(
      final long version,
      final List<Tenant> tenants,
      final Map<String, Tenant> tenantsByKey,
      final Map<String, Map<String, Route>> routesByHost,
      final List<Service> services,
      final Map<String, Integer> serviceIndices,
      final SpecDocument.Limits limits,
      final int routeCount) {
    this.tenants = tenants;
    this.tenantsByKey = tenantsByKey;
    this.version = version;
    this.routesByHost = routesByHost;
    this.services = services;
    this.serviceIndices = serviceIndices;
    this.routeCount = routeCount;
    this.maxHeaderBytes =
        (int) positiveOrDefault(limits == null ? null : limits.maxHeaderBytes(), 16_384);
    this.maxBodyBytes =
        (long) positiveOrDefault(limits == null ? null : limits.maxBodyBytes(), 64 << 20);
    this.headerTimeoutMillis =
        (long) positiveOrDefault(limits == null ? null : limits.headerTimeoutMs(), 5000);
    this.idleTimeoutMillis =
        (long) positiveOrDefault(limits == null ? null : limits.idleTimeoutMs(), 15_000);
  }

  private static double positiveOrDefault(final Double value, final double fallback) {
    return value == null || value <= 0 ? fallback : value;
  }

  /** Parses a version as operators write it: hexadecimal, eight digits. */
  public static long version(final String text) {
    try {
      return Long.parseUnsignedLong(text, 16);
    } catch (final NumberFormatException | NullPointerException problem) {
      throw new WeldpointException(
          WeldpointException.Kind.UNREADABLE,
          "the version '" + text + "' is not a number; write it as eight hexadecimal digits");
    }
  }

  /**
   * Parses, checks and compiles a configuration.
   *
   * @throws WeldpointException if it cannot be read whole or is invalid
   */
  public static RoutingTable compile(final byte[] body) {
    return compile(parse(body));
  }

  /**
   * Compiles a configuration that a registry has accepted. Bytes that are not read whole are
   * forgiven: an earlier release accepted them, and a daemon that refuses what is in force would
   * have no configuration at all.
   */
  public static RoutingTable compileAccepted(final byte[] body) {
    return compile(bind(new String(body, StandardCharsets.UTF_8)));
  }

  /**
   * Parses the JSON of a configuration without checking its contents.
   *
   * @throws WeldpointException of kind UNREADABLE, with the place of the error, if the bytes are
   *     not one complete JSON value
   */
  public static SpecDocument parse(final byte[] body) {
    return bind(StrictJson.decode(body));
  }

  private static SpecDocument bind(final String text) {
    final SpecDocument document;
    try {
      document = SPEC_TYPE.fromJson(text);
    } catch (final RuntimeException problem) {
      throw new WeldpointException(
          WeldpointException.Kind.UNREADABLE,
          "the configuration cannot be parsed (" + problem.getMessage() + "); send complete JSON");
    }
    if (document == null || document.listeners() == null || document.pools() == null) {
      throw new WeldpointException(
          WeldpointException.Kind.UNREADABLE,
          "the configuration has no listeners or no pools; send a complete configuration");
    }
    return document;
  }

  /** Checks and compiles a parsed configuration. */
  public static RoutingTable compile(final SpecDocument document) {
    final long version = version(document.version());
    final List<Service> services = new ArrayList<>();
    final Map<String, Integer> indicesByName = new HashMap<>();
    for (final SpecDocument.Pool pool : document.pools()) {
      if (pool.name() == null) {
        throw invalid("a pool has no name; give it one");
      }
      indicesByName.put(pool.name(), services.size());
      services.add(
          new Service(
              services.size(),
              pool.name(),
              pool.healthPath() == null ? "/health" : pool.healthPath(),
              (int) positiveOrDefault(pool.maxConns(), 100),
              positiveOrDefault(pool.warmupPerS(), 0),
              positiveOrDefault(pool.ratePerS(), 0),
              Boolean.TRUE.equals(pool.partitioned())));
    }
    final Map<String, Map<String, Route>> routesByHost = new HashMap<>();
    int routeCount = 0;
    for (final SpecDocument.Listener listener : document.listeners()) {
      if (listener.host() == null || listener.host().isEmpty()) {
        throw invalid("a listener has no host; name the host that it serves");
      }
      final Map<String, Route> routesByPrefix =
          routesByHost.computeIfAbsent(
              listener.host().toLowerCase(java.util.Locale.ROOT), host -> new HashMap<>());
      if (listener.rules() == null) {
        continue;
      }
      for (final SpecDocument.Rule rule : listener.rules()) {
        final Route route = route(rule, routeCount++, indicesByName);
        routesByPrefix.put(rule.match().pathPrefix(), route);
      }
    }
    final List<Tenant> tenants = new ArrayList<>();
    final Map<String, Tenant> tenantsByKey = new HashMap<>();
    tenants(document, tenants, tenantsByKey);
    return new RoutingTable(
        version,
        tenants,
        tenantsByKey,
        routesByHost,
        services,
        indicesByName,
        document.limits(),
        routeCount);
  }

  private static void tenants(
      final SpecDocument document,
      final List<Tenant> tenants,
      final Map<String, Tenant> tenantsByKey) {
    final Map<String, Tenant> tenantsByName = new HashMap<>();
    for (final SpecDocument.Tenant spec :
        document.tenants() == null ? List.<SpecDocument.Tenant>of() : document.tenants()) {
      if (spec.name() == null || spec.name().isEmpty()) {
        throw invalid("a tenant has no name; give it one");
      }
      final Tenant tenant =
          new Tenant(
              tenants.size(),
              spec.name(),
              (int) positiveOrDefault(spec.priority(), 0),
              positiveOrDefault(spec.ratePerS(), 0),
              positiveOrDefault(spec.burst(), 0),
              spec.homeRegions() == null ? List.of() : spec.homeRegions());
      if (tenantsByName.put(tenant.name(), tenant) != null) {
        throw invalid("two tenants are named " + tenant.name() + "; give each a different name");
      }
      tenants.add(tenant);
      for (final String key : spec.apiKeys() == null ? List.<String>of() : spec.apiKeys()) {
        if (key == null || key.isEmpty()) {
          throw invalid("tenant " + tenant.name() + " has an empty key; set the key or remove it");
        }
        final Tenant other = tenantsByKey.put(key, tenant);
        if (other != null && other != tenant) {
          throw invalid(
              "the tenants "
                  + other.name()
                  + " and "
                  + tenant.name()
                  + " share a key; give each a different key");
        }
      }
    }
  }

  private static WeldpointException invalid(final String message) {
    return new WeldpointException(WeldpointException.Kind.INVALID, message);
  }

  private static Route route(
      final SpecDocument.Rule rule, final int index, final Map<String, Integer> indicesByName) {
    final String name = rule.name() == null ? "#" + index : rule.name();
    final SpecDocument.Action action = rule.action();
    if (rule.match() == null || rule.match().pathPrefix() == null || action == null) {
      throw new WeldpointException(
          WeldpointException.Kind.UNREADABLE,
          "route " + name + " has no match or no action; send a complete route");
    }
    if (action.timeoutMs() == null || action.timeoutMs() <= 0) {
      throw invalid("route " + name + " has no timeoutMs above 0; give it one");
    }
    if (action.maxAttempts() == null || action.maxAttempts() < 1) {
      throw invalid("route " + name + " has no maxAttempts of 1 or more; give it at least 1");
    }
    final List<SpecDocument.Share> shares =
        action.split() != null && !action.split().isEmpty()
            ? action.split()
            : List.of(new SpecDocument.Share(action.service(), 1.0));
    final int[] targetIndices = new int[shares.size()];
    final double[] cumulativeWeights = new double[shares.size()];
    double totalWeight = 0;
    for (int position = 0; position < targetIndices.length; position++) {
      final Integer service = indicesByName.get(shares.get(position).service());
      if (service == null) {
        throw invalid(
            "route "
                + name
                + " refers to the unknown service "
                + shares.get(position).service()
                + "; add it to pools or name another service");
      }
      targetIndices[position] = service;
      totalWeight +=
          shares.get(position).weight() == null ? 0 : Math.max(0, shares.get(position).weight());
      cumulativeWeights[position] = totalWeight;
    }
    final List<String> homeRegions =
        action.homeRegions() == null ? List.of() : action.homeRegions();
    return new Route(
        index,
        name,
        RouteKind.of(rule.routeKind()),
        KEYED_ROUTE_KIND.equalsIgnoreCase(rule.routeKind()),
        (int) positiveOrDefault(rule.priority(), 0),
        (long) positiveOrDefault(rule.targetLatencyMs(), 1000),
        Math.max(1, action.timeoutMs().longValue()),
        action.maxAttempts().intValue(),
        homeRegions.toArray(new String[0]),
        Boolean.TRUE.equals(rule.open()),
        (long) (1000 * positiveOrDefault(rule.cacheTtlS(), 0)),
        Affinity.of(name, RouteKind.of(rule.routeKind()), action.affinity()),
        targetIndices,
        cumulativeWeights);
  }

  /**
   * Resolves the route and the service of a request and stores them in its binding; false if no
   * route matches.
   */
  public boolean resolve(final RouteBinding binding) {
    for (final Step step : STEPS) {
      if (!step.run(this, binding)) {
        return false;
      }
    }
    binding.setResolved(this);
    return true;
  }

  /**
   * Finds the route of a request whose service has already been selected; false if no route
   * matches.
   */
  boolean findRoute(final RouteBinding binding) {
    return Step.FIND_HOST.run(this, binding) && Step.FIND_LONGEST_PREFIX.run(this, binding);
  }

  /** The version of the configuration. */
  public long version() {
    return version;
  }

  /** The tenants, by index; empty if requests need no API keys. */
  public List<Tenant> tenants() {
    return tenants;
  }

  /** The tenant that this API key belongs to; null if the key is unknown. */
  public Tenant tenantForKey(final String key) {
    return tenantsByKey.get(key);
  }

  /** The tenant of this name; null if there is none. */
  public Tenant tenant(final String name) {
    for (final Tenant tenant : tenants) {
      if (tenant.name().equals(name)) {
        return tenant;
      }
    }
    return null;
  }

  /** The services, by index. */
  public List<Service> services() {
    return services;
  }

  /** The names of the services whose keys are partitioned among their upstreams. */
  public List<String> partitionedServices() {
    return services.stream().filter(Service::partitioned).map(Service::name).toList();
  }

  /** The index of the service of this name, or -1 if there is none. */
  public int serviceIndex(final String name) {
    return serviceIndices.getOrDefault(name, -1);
  }

  /** The route of this name; null if there is none. */
  public Route route(final String name) {
    for (final Map<String, Route> routesByPrefix : routesByHost.values()) {
      for (final Route route : routesByPrefix.values()) {
        if (route.name.equals(name)) {
          return route;
        }
      }
    }
    return null;
  }

  /** All routes, in no particular order. */
  public List<Route> allRoutes() {
    final List<Route> routes = new ArrayList<>();
    routesByHost.values().forEach(routesByPrefix -> routes.addAll(routesByPrefix.values()));
    return routes;
  }

  /** The number of routes in the configuration. */
  public int routeCount() {
    return routeCount;
  }

  /** The maximum size of the header of a request in bytes. */
  public int maxHeaderBytes() {
    return maxHeaderBytes;
  }

  /** The maximum size of the body of a request in bytes. */
  public long maxBodyBytes() {
    return maxBodyBytes;
  }

  /** The time within which the header of a request must arrive, in milliseconds. */
  public long headerTimeoutMillis() {
    return headerTimeoutMillis;
  }

  /** The time for which a connection may be idle, in milliseconds. */
  public long idleTimeoutMillis() {
    return idleTimeoutMillis;
  }
}
