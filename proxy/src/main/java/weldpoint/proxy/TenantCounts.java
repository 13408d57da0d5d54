package weldpoint.proxy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import weldpoint.metrics.Metric;

/** What a proxy did with the requests of tenants that have a limit; a bounded number of tenants. */
final class TenantCounts {
  private static final int MOST_TENANTS = 200;
  private static final String OTHERS = "(others)";

  private static final class Count {
    long sent;
    long refused;
  }

  private final Map<String, Count> counts = new HashMap<>();

  private Count of(final String tenant) {
    final Count known = counts.get(tenant);
    if (known != null) {
      return known;
    }
    final String name = counts.size() < MOST_TENANTS ? tenant : OTHERS;
    return counts.computeIfAbsent(name, unused -> new Count());
  }

  /** A request of a tenant was sent to an upstream. */
  void sent(final String tenant) {
    of(tenant).sent++;
  }

  /** A request of a tenant was refused for its limit. */
  void refused(final String tenant) {
    of(tenant).refused++;
  }

  /** The counts as figures. */
  List<Metric> figures() {
    final List<Metric> figures = new ArrayList<>();
    counts.forEach(
        (tenant, count) -> {
          figures.add(
              Metric.counter(
                      "weldpoint_tenant_sends", "Sends to upstreams on a permit.", count.sent)
                  .withLabel("tenant", tenant));
          figures.add(
              Metric.counter(
                      "weldpoint_tenant_refusals", "Requests refused with 429.", count.refused)
                  .withLabel("tenant", tenant));
        });
    return figures;
  }
}
