package weldpoint.routing;

import io.avaje.jsonb.Json;
import java.util.List;

/**
 * The JSON document of an operator's configuration as it was sent. Its contents are checked when
 * {@link RoutingTable#compile(SpecDocument)} compiles it.
 */
@Json
public record SpecDocument(
    String version,
    Limits limits,
    List<Tenant> tenants,
    List<Listener> listeners,
    List<Pool> pools) {

  /** A tenant with its API keys, rate limit and home regions. */
  @Json
  public record Tenant(
      String name,
      List<String> apiKeys,
      Double priority,
      Double ratePerS,
      Double burst,
      List<String> homeRegions) {}

  /** Limits on the size of a client's requests and on how long a client may take. */
  @Json
  public record Limits(
      Double maxHeaderBytes, Double maxBodyBytes, Double headerTimeoutMs, Double idleTimeoutMs) {}

  /** A host name and the rules that route its requests. */
  @Json
  public record Listener(String host, List<Rule> rules) {}

  /** A rule that is compiled into one {@link Route}. */
  @Json
  public record Rule(
      String name,
      String routeKind,
      Double targetLatencyMs,
      Double priority,
      @Json.Property("public") Boolean open,
      Double cacheTtlS,
      Match match,
      Action action) {}

  /** The condition under which a rule applies to a request. */
  @Json
  public record Match(String pathPrefix) {}

  /** The services that a rule sends requests to, with time-out, attempts and home regions. */
  @Json
  public record Action(
      String service,
      List<Share> split,
      Double timeoutMs,
      Double maxAttempts,
      List<String> homeRegions,
      Affinity affinity) {}

  /** How a rule identifies its callers in order to keep each on one upstream. */
  @Json
  public record Affinity(String by, String header, Double pauseMs) {}

  /** The weight of one service in a split. */
  @Json
  public record Share(String service, Double weight) {}

  /** A service whose upstreams serve requests. */
  @Json
  public record Pool(
      String name,
      String healthPath,
      Double maxConns,
      Double warmupS,
      Double warmupPerS,
      Double ratePerS,
      Boolean partitioned) {}
}
