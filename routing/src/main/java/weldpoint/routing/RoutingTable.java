package weldpoint.routing;

import io.avaje.jsonb.JsonType;
import io.avaje.jsonb.Jsonb;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import weldpoint.common.WeldpointException;

/** A configuration compiled into a small program: names have become dense indices. */
public final class RoutingTable {
  private static final JsonType<SpecDocument> TYPE =
      Jsonb.builder().build().type(SpecDocument.class);

  /** The steps of the program that every request runs through, in order. */
  enum Step {
    FIND_HOST {
      @Override
      boolean run(final RoutingTable routingTable, final RouteBinding request) {
        request.prefixes = routingTable.hosts.get(request.host);
        return request.prefixes != null;
      }
    },
    FIND_LONGEST_PREFIX {
      @Override
      boolean run(final RoutingTable routingTable, final RouteBinding request) {
        for (int slash = request.pathEnd;
            slash >= 0;
            slash = request.path.lastIndexOf('/', slash - 1)) {
          final Route found = request.prefixes.get(request.path.substring(0, slash + 1));
          if (found != null) {
            request.route = found;
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
      boolean run(final RoutingTable routingTable, final RouteBinding request) {
        request.routed =
            request.route.services.length == 1
                ? request.route.services[0]
                : request.route.service(request.chance);
        return true;
      }
    };

    abstract boolean run(RoutingTable routingTable, RouteBinding request);
  }

  private static final Step[] PROGRAM = Step.values();

  /** What is known of a service; a partitioned one is divided among its upstreams by key. */
  public record Service(
      int index,
      String name,
      String healthPath,
      int maxConnections,
      double warmupPerSecond,
      double ratePerSecond,
      boolean partitioned) {}

  /** Somebody with keys; a rate of 0 means no limit. */
  public record Tenant(
      int index,
      String name,
      int priority,
      double ratePerSecond,
      double burst,
      List<String> homes) {
    /** Whether upstreams in this region may serve the tenant. */
    public boolean home(final String region) {
      return homes.isEmpty() || homes.contains(region);
    }
  }

  private final long version;
  private final List<Tenant> tenants;
  private final Map<String, Tenant> keys;
  private final Map<String, Map<String, Route>> hosts;
  private final List<Service> services;
  private final Map<String, Integer> serviceIndices;
  private final int maxHeaderBytes;
  private final long maxBodyBytes;
  private final long headerMillis;
  private final long idleMillis;
  private final int routes;

  private RoutingTable(
      final long version,
      final List<Tenant> tenants,
      final Map<String, Tenant> keys,
      final Map<String, Map<String, Route>> hosts,
      final List<Service> services,
      final Map<String, Integer> serviceIndices,
      final SpecDocument.Limits limits,
      final int routes) {
    this.tenants = tenants;
    this.keys = keys;
    this.version = version;
    this.hosts = hosts;
    this.services = services;
    this.serviceIndices = serviceIndices;
    this.routes = routes;
    this.maxHeaderBytes = (int) orElse(limits == null ? null : limits.maxHeaderBytes(), 16_384);
    this.maxBodyBytes = (long) orElse(limits == null ? null : limits.maxBodyBytes(), 64 << 20);
    this.headerMillis = (long) orElse(limits == null ? null : limits.headerTimeoutMs(), 5000);
    this.idleMillis = (long) orElse(limits == null ? null : limits.idleTimeoutMs(), 15_000);
  }

  private static double orElse(final Double value, final double fallback) {
    return value == null || value <= 0 ? fallback : value;
  }

  /** The version in an operator's words: eight hexadecimal digits. */
  public static long version(final String text) {
    try {
      return Long.parseUnsignedLong(text, 16);
    } catch (final NumberFormatException | NullPointerException problem) {
      throw new WeldpointException(
          WeldpointException.Kind.UNREADABLE,
          "the version '" + text + "' is no number; write it as eight hexadecimal digits");
    }
  }

  /** Reads, checks and compiles a configuration. */
  public static RoutingTable compile(final byte[] body) {
    return compile(read(body));
  }

  /** Reads a configuration without checking what it says. */
  public static SpecDocument read(final byte[] body) {
    final SpecDocument document;
    try {
      document = TYPE.fromJson(new String(body, StandardCharsets.UTF_8));
    } catch (final RuntimeException problem) {
      throw new WeldpointException(
          WeldpointException.Kind.UNREADABLE,
          "the configuration cannot be read whole ("
              + problem.getMessage()
              + "); send complete JSON");
    }
    if (document == null || document.listeners() == null || document.pools() == null) {
      throw new WeldpointException(
          WeldpointException.Kind.UNREADABLE,
          "the configuration lacks listeners or pools; send it whole");
    }
    return document;
  }

  /** Checks and compiles a configuration that was read. */
  public static RoutingTable compile(final SpecDocument document) {
    final long version = version(document.version());
    final List<Service> services = new ArrayList<>();
    final Map<String, Integer> indices = new HashMap<>();
    for (final SpecDocument.Pool pool : document.pools()) {
      if (pool.name() == null) {
        throw invalid("a pool has no name; give it one");
      }
      indices.put(pool.name(), services.size());
      services.add(
          new Service(
              services.size(),
              pool.name(),
              pool.healthPath() == null ? "/health" : pool.healthPath(),
              (int) orElse(pool.maxConns(), 100),
              orElse(pool.warmupPerS(), 0),
              orElse(pool.ratePerS(), 0),
              Boolean.TRUE.equals(pool.partitioned())));
    }
    final Map<String, Map<String, Route>> hosts = new HashMap<>();
    int count = 0;
    for (final SpecDocument.Listener listener : document.listeners()) {
      if (listener.host() == null || listener.host().isEmpty()) {
        throw invalid("a listener has an empty host; name the host it serves");
      }
      final Map<String, Route> prefixes =
          hosts.computeIfAbsent(
              listener.host().toLowerCase(java.util.Locale.ROOT), host -> new HashMap<>());
      if (listener.rules() == null) {
        continue;
      }
      for (final SpecDocument.Rule rule : listener.rules()) {
        final Route route = route(rule, count++, indices);
        prefixes.put(rule.match().pathPrefix(), route);
      }
    }
    final List<Tenant> tenants = new ArrayList<>();
    final Map<String, Tenant> keys = new HashMap<>();
    tenants(document, tenants, keys);
    return new RoutingTable(
        version, tenants, keys, hosts, services, indices, document.limits(), count);
  }

  private static void tenants(
      final SpecDocument document, final List<Tenant> tenants, final Map<String, Tenant> keys) {
    final Map<String, Tenant> names = new HashMap<>();
    for (final SpecDocument.Tenant given :
        document.tenants() == null ? List.<SpecDocument.Tenant>of() : document.tenants()) {
      if (given.name() == null || given.name().isEmpty()) {
        throw invalid("a tenant has no name; give it one");
      }
      final Tenant tenant =
          new Tenant(
              tenants.size(),
              given.name(),
              (int) orElse(given.priority(), 0),
              orElse(given.ratePerS(), 0),
              orElse(given.burst(), 0),
              given.homeRegions() == null ? List.of() : given.homeRegions());
      if (names.put(tenant.name(), tenant) != null) {
        throw invalid("two tenants are named " + tenant.name() + "; give each a name of its own");
      }
      tenants.add(tenant);
      for (final String key : given.apiKeys() == null ? List.<String>of() : given.apiKeys()) {
        if (key == null || key.isEmpty()) {
          throw invalid("tenant " + tenant.name() + " has an empty key; give it a key or none");
        }
        final Tenant other = keys.put(key, tenant);
        if (other != null && other != tenant) {
          throw invalid(
              "the tenants "
                  + other.name()
                  + " and "
                  + tenant.name()
                  + " share a key; give each its own");
        }
      }
    }
  }

  private static WeldpointException invalid(final String message) {
    return new WeldpointException(WeldpointException.Kind.INVALID, message);
  }

  private static Route route(
      final SpecDocument.Rule rule, final int index, final Map<String, Integer> indices) {
    final String name = rule.name() == null ? "#" + index : rule.name();
    final SpecDocument.Action action = rule.action();
    if (rule.match() == null || rule.match().pathPrefix() == null || action == null) {
      throw new WeldpointException(
          WeldpointException.Kind.UNREADABLE,
          "route " + name + " lacks its match or its action; send it whole");
    }
    if (action.timeoutMs() == null || action.timeoutMs() <= 0) {
      throw invalid("route " + name + " has no timeoutMs; give it more than 0");
    }
    if (action.maxAttempts() == null || action.maxAttempts() < 1) {
      throw invalid("route " + name + " has 0 maxAttempts; give it at least 1");
    }
    final List<SpecDocument.Share> shares =
        action.split() != null && !action.split().isEmpty()
            ? action.split()
            : List.of(new SpecDocument.Share(action.service(), 1.0));
    final int[] services = new int[shares.size()];
    final double[] upTo = new double[shares.size()];
    double sum = 0;
    for (int place = 0; place < services.length; place++) {
      final Integer service = indices.get(shares.get(place).service());
      if (service == null) {
        throw invalid(
            "route "
                + name
                + " names the unknown service "
                + shares.get(place).service()
                + "; add it to pools or name another");
      }
      services[place] = service;
      sum += shares.get(place).weight() == null ? 0 : Math.max(0, shares.get(place).weight());
      upTo[place] = sum;
    }
    final List<String> homes = action.homeRegions() == null ? List.of() : action.homeRegions();
    return new Route(
        index,
        name,
        RouteKind.of(rule.routeKind()),
        (int) orElse(rule.priority(), 0),
        (long) orElse(rule.targetLatencyMs(), 1000),
        Math.max(1, action.timeoutMs().longValue()),
        action.maxAttempts().intValue(),
        homes.toArray(new String[0]),
        Boolean.TRUE.equals(rule.open()),
        (long) (1000 * orElse(rule.cacheTtlS(), 0)),
        Affinity.of(name, RouteKind.of(rule.routeKind()), action.affinity()),
        services,
        upTo);
  }

  /** Runs the program for a request; false where no route matches. */
  public boolean interpret(final RouteBinding request) {
    for (final Step step : PROGRAM) {
      if (!step.run(this, request)) {
        return false;
      }
    }
    request.found(this);
    return true;
  }

  /** Finds the route of a request whose service was chosen before; false where none matches. */
  boolean findRoute(final RouteBinding request) {
    return Step.FIND_HOST.run(this, request) && Step.FIND_LONGEST_PREFIX.run(this, request);
  }

  /** The version of the configuration. */
  public long version() {
    return version;
  }

  /** The tenants, by index; empty where requests need no keys. */
  public List<Tenant> tenants() {
    return tenants;
  }

  /** The tenant that holds this key; null where nobody does. */
  public Tenant holder(final String key) {
    return keys.get(key);
  }

  /** The tenant of this name; null where there is none. */
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

  /** The names of the services that are divided among their upstreams by key. */
  public List<String> partitioned() {
    return services.stream().filter(Service::partitioned).map(Service::name).toList();
  }

  /** The index of a service, or -1. */
  public int service(final String name) {
    return serviceIndices.getOrDefault(name, -1);
  }

  /** The route of this name; null where there is none. */
  public Route route(final String name) {
    for (final Map<String, Route> prefixes : hosts.values()) {
      for (final Route route : prefixes.values()) {
        if (route.name.equals(name)) {
          return route;
        }
      }
    }
    return null;
  }

  /** All routes. */
  public List<Route> all() {
    final List<Route> all = new ArrayList<>();
    hosts.values().forEach(prefixes -> all.addAll(prefixes.values()));
    return all;
  }

  /** How many routes there are. */
  public int routes() {
    return routes;
  }

  /** The most bytes that the head of a request may have. */
  public int maxHeaderBytes() {
    return maxHeaderBytes;
  }

  /** The most bytes that the body of a request may have. */
  public long maxBodyBytes() {
    return maxBodyBytes;
  }

  /** How long the head of a request may take. */
  public long headerMillis() {
    return headerMillis;
  }

  /** How long a connection may be idle. */
  public long idleMillis() {
    return idleMillis;
  }
}
