package weldpoint.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import weldpoint.metrics.Metric;

/** Counters of an assigner since its process started. */
final class AssignerCounts {
  private final long[] grants = new long[CallResult.Outcome.values().length];
  private final long[] releases = new long[CallResult.Outcome.values().length];
  private final long[] moves = new long[MoveReason.values().length];
  private long reassignedWithoutRelease;

  void recordGrant(final CallResult.Outcome outcome) {
    grants[outcome.ordinal()]++;
  }

  void recordRelease(final CallResult.Outcome outcome) {
    releases[outcome.ordinal()]++;
  }

  void recordMove(final MoveReason reason) {
    moves[reason.ordinal()]++;
  }

  void reassignedWithoutRelease() {
    reassignedWithoutRelease++;
  }

  List<Metric> metrics() {
    final List<Metric> metrics = new ArrayList<>();
    for (final CallResult.Outcome outcome : CallResult.Outcome.values()) {
      metrics.add(
          Metric.counter("weldpoint_key_grants", "Grants of keys.", grants[outcome.ordinal()])
              .withLabel("result", name(outcome)));
      metrics.add(
          Metric.counter("weldpoint_key_releases", "Releases of keys.", releases[outcome.ordinal()])
              .withLabel("result", name(outcome)));
    }
    for (final MoveReason reason : MoveReason.values()) {
      metrics.add(
          Metric.counter(
                  "weldpoint_key_moves", "Ranges of keys taken away.", moves[reason.ordinal()])
              .withLabel("reason", name(reason)));
    }
    metrics.add(
        Metric.counter(
            "weldpoint_key_holds_waited_out",
            "Ranges taken without a release.",
            reassignedWithoutRelease));
    return metrics;
  }

  private static String name(final Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT);
  }

  /** Returns the counters as one log line. */
  String summary() {
    return "grants "
        + java.util.Arrays.toString(grants)
        + " releases "
        + java.util.Arrays.toString(releases)
        + " moves "
        + java.util.Arrays.toString(moves)
        + " without handover "
        + reassignedWithoutRelease;
  }
}
