package weldpoint.proxy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import weldpoint.metrics.Metric;

/**
 * Counts sends and refusals of the tenants that have a rate limit. At most 200 tenants are counted
 * by name, and the rest together.
 */
final class TenantCounts {
  private static final int MAX_TENANTS = 200;
  private static final String OTHERS = "(others)";

  private static final class TenantCount {
    long sent;
    long refused;
  }

  private final Map<String, TenantCount> counts = new HashMap<>();

  private TenantCount of(final String tenant) {
    final TenantCount known = counts.get(tenant);
    if (known != null) {
      return known;
    }
    final String name = counts.size() < MAX_TENANTS ? tenant : OTHERS;
    return counts.computeIfAbsent(name, unused -> new TenantCount());
  }

  /** Counts a request that was sent to an upstream. */
  void countSend(final String tenant) {
    of(tenant).sent++;
  }

  /** Counts a request that was refused because of the tenant's rate limit. */
  void countRefusal(final String tenant) {
    of(tenant).refused++;
  }

  /** The counts as metrics. */
  List<Metric> metrics() {
    final List<Metric> metrics = new ArrayList<>();
    counts.forEach(
        (tenant, count) -> {
          metrics.add(
              Metric.counter(
                      "weldpoint_tenant_sends", "Sends to upstreams on a permit.", count.sent)
                  .withLabel("tenant", tenant));
          metrics.add(
              Metric.counter(
                      "weldpoint_tenant_refusals", "Requests refused with 429.", count.refused)
                  .withLabel("tenant", tenant));
        });
    return metrics;
  }
}
