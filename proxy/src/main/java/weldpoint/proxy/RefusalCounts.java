package weldpoint.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import weldpoint.metrics.Metric;

/** Counts requests that were refused because of the configuration in force. */
final class RefusalCounts {
  /** Why a request was refused. */
  enum Reason {
    /** Upstreams are available, but all outside the home regions of the route and the tenant. */
    OUTSIDE_HOMES,
    /** The owner of the request's key is outside the home regions. */
    HOLDER_OUTSIDE_HOMES,
    /** The configuration changed while the request waited. */
    CONFIGURATION_CHANGED,
    /** The control state here may be older than what was acknowledged elsewhere. */
    UNPROVED
  }

  private final long[] counts = new long[Reason.values().length];

  void count(final Reason reason) {
    counts[reason.ordinal()]++;
  }

  /** Metrics: one counter for each reason. */
  List<Metric> metrics() {
    final List<Metric> metrics = new ArrayList<>();
    for (final Reason reason : Reason.values()) {
      metrics.add(
          Metric.counter(
                  "weldpoint_refused_by_configuration",
                  "Requests refused since the configuration in force forbids the send.",
                  counts[reason.ordinal()])
              .withLabel("reason", reason.name().toLowerCase(Locale.ROOT)));
    }
    return metrics;
  }
}
