package weldpoint.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import weldpoint.metrics.Metric;

/** What an assigner has counted since its process started. */
final class AssignerCounts {
  private final long[] grants = new long[CallResult.End.values().length];
  private final long[] releases = new long[CallResult.End.values().length];
  private final long[] moves = new long[MoveReason.values().length];
  private long waitedOut;

  void grant(final CallResult.End end) {
    grants[end.ordinal()]++;
  }

  void release(final CallResult.End end) {
    releases[end.ordinal()]++;
  }

  void move(final MoveReason reason) {
    moves[reason.ordinal()]++;
  }

  void waitedOut() {
    waitedOut++;
  }

  List<Metric> figures() {
    final List<Metric> figures = new ArrayList<>();
    for (final CallResult.End end : CallResult.End.values()) {
      figures.add(
          Metric.counter("weldpoint_key_grants", "Grants of keys.", grants[end.ordinal()])
              .withLabel("result", name(end)));
      figures.add(
          Metric.counter("weldpoint_key_releases", "Releases of keys.", releases[end.ordinal()])
              .withLabel("result", name(end)));
    }
    for (final MoveReason reason : MoveReason.values()) {
      figures.add(
          Metric.counter(
                  "weldpoint_key_moves", "Ranges of keys taken away.", moves[reason.ordinal()])
              .withLabel("reason", name(reason)));
    }
    figures.add(
        Metric.counter(
            "weldpoint_key_holds_waited_out", "Ranges taken without a release.", waitedOut));
    return figures;
  }

  private static String name(final Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT);
  }

  /** The counters as one line. */
  String line() {
    return "grants "
        + java.util.Arrays.toString(grants)
        + " releases "
        + java.util.Arrays.toString(releases)
        + " moves "
        + java.util.Arrays.toString(moves)
        + " waited out "
        + waitedOut;
  }
}
