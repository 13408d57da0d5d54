package weldpoint.metrics;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import io.prometheus.metrics.model.snapshots.MetricSnapshots;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import weldpoint.common.Invariant;

/** Formats metrics in the Prometheus text format. */
final class PrometheusFormat {
  private PrometheusFormat() {}

  /** Formats these metrics and the number of violations of each invariant as UTF-8. */
  static byte[] format(final List<Metric> metrics) {
    final Map<String, List<Metric>> byName = new LinkedHashMap<>();
    metrics.forEach(
        metric -> byName.computeIfAbsent(metric.name(), name -> new ArrayList<>()).add(metric));
    final List<Metric> violations = new ArrayList<>();
    Invariant.counts()
        .forEach(
            (name, count) ->
                violations.add(
                    Metric.counter(
                            "weldpoint_invariant_violations",
                            "Checks of an invariant that did not hold.",
                            count)
                        .withLabel("invariant", name)));
    if (!violations.isEmpty()) {
      byName.put("weldpoint_invariant_violations", violations);
    }
    final List<MetricSnapshot> snapshots = new ArrayList<>();
    byName.values().forEach(family -> snapshots.add(snapshot(family)));
    final ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      new PrometheusTextFormatWriter(false).write(out, new MetricSnapshots(snapshots));
    } catch (final IOException impossible) {
      throw new UncheckedIOException(impossible);
    }
    return out.toByteArray();
  }

  private static MetricSnapshot snapshot(final List<Metric> family) {
    return family.get(0).monotonic() ? counter(family) : gauge(family);
  }

  private static MetricSnapshot counter(final List<Metric> family) {
    final CounterSnapshot.Builder builder =
        CounterSnapshot.builder().name(family.get(0).name()).help(family.get(0).help());
    for (final Metric metric : family) {
      builder.dataPoint(
          CounterSnapshot.CounterDataPointSnapshot.builder()
              .value(metric.value())
              .labels(labels(metric))
              .build());
    }
    return builder.build();
  }

  private static MetricSnapshot gauge(final List<Metric> family) {
    final GaugeSnapshot.Builder builder =
        GaugeSnapshot.builder().name(family.get(0).name()).help(family.get(0).help());
    for (final Metric metric : family) {
      builder.dataPoint(
          GaugeSnapshot.GaugeDataPointSnapshot.builder()
              .value(metric.value())
              .labels(labels(metric))
              .build());
    }
    return builder.build();
  }

  private static Labels labels(final Metric metric) {
    final Labels.Builder builder = Labels.builder();
    metric.labels().forEach(builder::label);
    return builder.build();
  }
}
