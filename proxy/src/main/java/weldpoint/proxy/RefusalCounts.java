package weldpoint.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import weldpoint.metrics.Metric;

/** How many requests were refused because of what the configuration in force says of them. */
final class RefusalCounts {
  /** Why a request was refused. */
  enum Reason {
    /** Upstreams are available, all of them outside of the homes of the route and the tenant. */
    OUTSIDE_HOMES,
    /** The holder of the request's key stands outside of the homes. */
    HOLDER_OUTSIDE_HOMES,
    /** The configuration has changed while the request waited. */
    CONFIGURATION_CHANGED,
    /** What is in force here may be older than what was acknowledged elsewhere. */
    UNPROVED
  }

  private final long[] counts = new long[Reason.values().length];

  void count(final Reason reason) {
    counts[reason.ordinal()]++;
  }

  /** One counter for each reason. */
  List<Metric> figures() {
    final List<Metric> figures = new ArrayList<>();
    for (final Reason reason : Reason.values()) {
      figures.add(
          Metric.counter(
                  "weldpoint_refused_by_configuration",
                  "Requests refused since the configuration in force forbids the send.",
                  counts[reason.ordinal()])
              .withLabel("reason", reason.name().toLowerCase(Locale.ROOT)));
    }
    return figures;
  }
}
