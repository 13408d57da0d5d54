package weldpoint.audit;

import java.util.ArrayList;
import java.util.List;
import weldpoint.routing.RouteKind;
import weldpoint.routing.SpecDocument;

/**
 * A configuration as one line for each route, service, tenant and other part, so that two
 * configurations can be compared by {@link ConfigurationDifference}. Summaries are stored, so keys
 * and fields of the lines must keep their text and order.
 */
public final class ConfigurationSummary {
  /**
   * One route, service, tenant or other part. The key consists of the kind of the part and its
   * name; the fields have the form "name=value", in a fixed order.
   */
  public static final class Line {
    public final String key;
    public final boolean carriesWrites;
    public final List<String> fields;

    Line(final String key, final boolean carriesWrites, final List<String> fields) {
      this.key = key;
      this.carriesWrites = carriesWrites;
      this.fields = fields;
    }
  }

  public final List<Line> lines;
  public final String digest;

  private ConfigurationSummary(final List<Line> lines, final String digest) {
    this.lines = lines;
    this.digest = digest;
  }

  /** The summary before the first configuration, without lines. */
  public static ConfigurationSummary empty() {
    return new ConfigurationSummary(List.of(), AuditEntry.NO_DIGEST);
  }

  /**
   * The summary of a configuration.
   *
   * @param body the bytes from which the document was parsed, for the digest
   */
  public static ConfigurationSummary of(final SpecDocument document, final byte[] body) {
    final List<Line> lines = new ArrayList<>();
    for (final SpecDocument.Listener listener : orEmpty(document.listeners())) {
      for (final SpecDocument.Rule rule : orEmpty(listener.rules())) {
        addRoute(listener.host(), rule, lines);
      }
    }
    for (final SpecDocument.Pool pool : orEmpty(document.pools())) {
      final List<String> fields = new ArrayList<>();
      addField(fields, "healthPath", pool.healthPath());
      addField(fields, "maxConns", pool.maxConns());
      addField(fields, "warmupS", pool.warmupS());
      addField(fields, "warmupPerS", pool.warmupPerS());
      addField(fields, "ratePerS", pool.ratePerS());
      addField(fields, "partitioned", pool.partitioned());
      lines.add(new Line("service " + pool.name(), false, fields));
    }
    if (document.limits() != null) {
      final List<String> fields = new ArrayList<>();
      addField(fields, "maxHeaderBytes", document.limits().maxHeaderBytes());
      addField(fields, "maxBodyBytes", document.limits().maxBodyBytes());
      addField(fields, "headerTimeoutMs", document.limits().headerTimeoutMs());
      addField(fields, "idleTimeoutMs", document.limits().idleTimeoutMs());
      lines.add(new Line("limits", false, fields));
    }
    for (final SpecDocument.Tenant tenant : orEmpty(document.tenants())) {
      final List<String> fields = new ArrayList<>();
      addField(
          fields,
          "keys",
          tenant.apiKeys() == null
              ? null
              : AuditEntry.digest(
                      String.join("\n", tenant.apiKeys())
                          .getBytes(java.nio.charset.StandardCharsets.UTF_8))
                  .substring(0, 12));
      addField(fields, "priority", tenant.priority());
      addField(fields, "ratePerS", tenant.ratePerS());
      addField(fields, "burst", tenant.burst());
      addField(fields, "homeRegions", tenant.homeRegions());
      lines.add(new Line("tenant " + tenant.name(), false, fields));
    }
    return new ConfigurationSummary(lines, AuditEntry.digest(body));
  }

  private static void addRoute(
      final String host, final SpecDocument.Rule rule, final List<Line> lines) {
    final List<String> fields = new ArrayList<>();
    addField(fields, "kind", rule.routeKind());
    final SpecDocument.Action action = rule.action();
    if (action != null) {
      addField(fields, "service", action.service());
      if (action.split() != null && !action.split().isEmpty()) {
        final StringBuilder split = new StringBuilder();
        for (final SpecDocument.Share share : action.split()) {
          split
              .append(split.length() == 0 ? "" : "+")
              .append(share.service())
              .append(':')
              .append(format(share.weight()));
        }
        addField(fields, "split", split.toString());
      }
      addField(fields, "timeoutMs", action.timeoutMs());
      addField(fields, "maxAttempts", action.maxAttempts());
      if (action.affinity() != null) {
        addField(
            fields,
            "affinity",
            action.affinity().by()
                + (action.affinity().header() == null ? "" : ":" + action.affinity().header())
                + (action.affinity().pauseMs() == null
                    ? ""
                    : ":" + format(action.affinity().pauseMs())));
      }
      addField(
          fields,
          "homeRegions",
          action.homeRegions() == null || action.homeRegions().isEmpty()
              ? null
              : action.homeRegions());
    }
    addField(fields, "targetLatencyMs", rule.targetLatencyMs());
    addField(fields, "priority", rule.priority());
    addField(fields, "public", rule.open());
    addField(fields, "cacheTtlS", rule.cacheTtlS());
    final boolean carriesWrites = !RouteKind.of(rule.routeKind()).repeatable();
    final String prefix = rule.match() == null ? "" : rule.match().pathPrefix();
    lines.add(
        new Line(
            (carriesWrites ? "write route " : "route ")
                + host
                + prefix
                + (rule.name() == null ? "" : " (" + rule.name() + ")"),
            carriesWrites,
            fields));
  }

  private static <T> List<T> orEmpty(final List<T> list) {
    return list == null ? List.of() : list;
  }

  private static String format(final Object value) {
    return value instanceof Double
            && ((Double) value) == Math.rint((Double) value)
            && Math.abs((Double) value) < 1e15
        ? Long.toString(((Double) value).longValue())
        : String.valueOf(value);
  }

  private static void addField(final List<String> fields, final String name, final Object value) {
    if (value != null) {
      fields.add(name + "=" + format(value));
    }
  }
}
