package weldpoint.audit;

import java.util.ArrayList;
import java.util.List;
import weldpoint.routing.RouteKind;
import weldpoint.routing.SpecDocument;

/** A configuration, route by route and service by service, as short texts that can be compared. */
public final class ConfigurationSummary {
  /**
   * One route, service or other part: what it is, under which name, and its fields in order as
   * "name=value".
   */
  public static final class Line {
    public final String key;
    public final boolean writes;
    public final List<String> fields;

    Line(final String key, final boolean writes, final List<String> fields) {
      this.key = key;
      this.writes = writes;
      this.fields = fields;
    }
  }

  public final List<Line> lines;
  public final String digest;

  private ConfigurationSummary(final List<Line> lines, final String digest) {
    this.lines = lines;
    this.digest = digest;
  }

  /** The summary of nothing. */
  public static ConfigurationSummary none() {
    return new ConfigurationSummary(List.of(), AuditEntry.NO_DIGEST);
  }

  /** The summary of a configuration that was sent with these bytes. */
  public static ConfigurationSummary of(final SpecDocument document, final byte[] body) {
    final List<Line> lines = new ArrayList<>();
    for (final SpecDocument.Listener listener : orNone(document.listeners())) {
      for (final SpecDocument.Rule rule : orNone(listener.rules())) {
        route(listener.host(), rule, lines);
      }
    }
    for (final SpecDocument.Pool pool : orNone(document.pools())) {
      final List<String> fields = new ArrayList<>();
      field(fields, "healthPath", pool.healthPath());
      field(fields, "maxConns", pool.maxConns());
      field(fields, "warmupS", pool.warmupS());
      field(fields, "warmupPerS", pool.warmupPerS());
      field(fields, "ratePerS", pool.ratePerS());
      field(fields, "partitioned", pool.partitioned());
      lines.add(new Line("service " + pool.name(), false, fields));
    }
    if (document.limits() != null) {
      final List<String> fields = new ArrayList<>();
      field(fields, "maxHeaderBytes", document.limits().maxHeaderBytes());
      field(fields, "maxBodyBytes", document.limits().maxBodyBytes());
      field(fields, "headerTimeoutMs", document.limits().headerTimeoutMs());
      field(fields, "idleTimeoutMs", document.limits().idleTimeoutMs());
      lines.add(new Line("limits", false, fields));
    }
    for (final SpecDocument.Tenant tenant : orNone(document.tenants())) {
      final List<String> fields = new ArrayList<>();
      field(
          fields,
          "keys",
          tenant.apiKeys() == null
              ? null
              : AuditEntry.digest(
                      String.join("\n", tenant.apiKeys())
                          .getBytes(java.nio.charset.StandardCharsets.UTF_8))
                  .substring(0, 12));
      field(fields, "priority", tenant.priority());
      field(fields, "ratePerS", tenant.ratePerS());
      field(fields, "burst", tenant.burst());
      field(fields, "homeRegions", tenant.homeRegions());
      lines.add(new Line("tenant " + tenant.name(), false, fields));
    }
    return new ConfigurationSummary(lines, AuditEntry.digest(body));
  }

  private static void route(
      final String host, final SpecDocument.Rule rule, final List<Line> lines) {
    final List<String> fields = new ArrayList<>();
    field(fields, "kind", rule.routeKind());
    final SpecDocument.Action action = rule.action();
    if (action != null) {
      field(fields, "service", action.service());
      if (action.split() != null && !action.split().isEmpty()) {
        final StringBuilder split = new StringBuilder();
        for (final SpecDocument.Share share : action.split()) {
          split
              .append(split.length() == 0 ? "" : "+")
              .append(share.service())
              .append(':')
              .append(plain(share.weight()));
        }
        field(fields, "split", split.toString());
      }
      field(fields, "timeoutMs", action.timeoutMs());
      field(fields, "maxAttempts", action.maxAttempts());
      if (action.affinity() != null) {
        field(
            fields,
            "affinity",
            action.affinity().by()
                + (action.affinity().header() == null ? "" : ":" + action.affinity().header())
                + (action.affinity().pauseMs() == null
                    ? ""
                    : ":" + plain(action.affinity().pauseMs())));
      }
      field(
          fields,
          "homeRegions",
          action.homeRegions() == null || action.homeRegions().isEmpty()
              ? null
              : action.homeRegions());
    }
    field(fields, "targetLatencyMs", rule.targetLatencyMs());
    field(fields, "priority", rule.priority());
    field(fields, "public", rule.open());
    field(fields, "cacheTtlS", rule.cacheTtlS());
    final boolean writes = !RouteKind.of(rule.routeKind()).repeatable();
    final String prefix = rule.match() == null ? "" : rule.match().pathPrefix();
    lines.add(
        new Line(
            (writes ? "write route " : "route ")
                + host
                + prefix
                + (rule.name() == null ? "" : " (" + rule.name() + ")"),
            writes,
            fields));
  }

  private static <T> List<T> orNone(final List<T> list) {
    return list == null ? List.of() : list;
  }

  private static String plain(final Object value) {
    return value instanceof Double
            && ((Double) value) == Math.rint((Double) value)
            && Math.abs((Double) value) < 1e15
        ? Long.toString(((Double) value).longValue())
        : String.valueOf(value);
  }

  private static void field(final List<String> fields, final String name, final Object value) {
    if (value != null) {
      fields.add(name + "=" + plain(value));
    }
  }
}
