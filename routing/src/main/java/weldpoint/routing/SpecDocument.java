package weldpoint.routing;

import io.avaje.jsonb.Json;
import java.util.List;

/** An operator's configuration as it is written. */
@Json
public record SpecDocument(
    String version,
    Limits limits,
    List<Tenant> tenants,
    List<Listener> listeners,
    List<Pool> pools) {

  /** Somebody with keys, who may make so many requests. */
  @Json
  public record Tenant(
      String name,
      List<String> apiKeys,
      Double priority,
      Double ratePerS,
      Double burst,
      List<String> homeRegions) {}

  /** What a client may send and how long it may take. */
  @Json
  public record Limits(
      Double maxHeaderBytes, Double maxBodyBytes, Double headerTimeoutMs, Double idleTimeoutMs) {}

  /** The rules of one host. */
  @Json
  public record Listener(String host, List<Rule> rules) {}

  /** One route. */
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

  /** What a route matches. */
  @Json
  public record Match(String pathPrefix) {}

  /** Where a route leads. */
  @Json
  public record Action(
      String service,
      List<Share> split,
      Double timeoutMs,
      Double maxAttempts,
      List<String> homeRegions,
      Affinity affinity) {}

  /** What ties a caller to one node. */
  @Json
  public record Affinity(String by, String header, Double pauseMs) {}

  /** A service's part of a split. */
  @Json
  public record Share(String service, Double weight) {}

  /** A service. */
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
