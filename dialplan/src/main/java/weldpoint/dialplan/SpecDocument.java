package weldpoint.dialplan;

import io.avaje.jsonb.Json;
import java.util.List;

/** An operator's configuration as it is written. */
@Json
public record SpecDocument(String version, Limits limits, List<Listener> listeners, List<Pool> pools) {

  /** What a client may send and how long it may take. */
  @Json
  public record Limits(Double maxHeaderBytes, Double maxBodyBytes, Double headerTimeoutMs, Double idleTimeoutMs) {
  }

  /** The rules of one host. */
  @Json
  public record Listener(String host, List<Rule> rules) {
  }

  /** One route. */
  @Json
  public record Rule(String name, String routeKind, Double targetLatencyMs, Double priority, Match match, Action action) {
  }

  /** What a route matches. */
  @Json
  public record Match(String pathPrefix) {
  }

  /** Where a route leads. */
  @Json
  public record Action(String service, List<Share> split, Double timeoutMs, Double maxAttempts, List<String> homeRegions) {
  }

  /** A service's part of a split. */
  @Json
  public record Share(String service, Double weight) {
  }

  /** A service. */
  @Json
  public record Pool(String name, String healthPath, Double maxConns, Double warmupS, Double warmupPerS) {
  }
}
