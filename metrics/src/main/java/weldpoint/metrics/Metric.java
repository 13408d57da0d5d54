package weldpoint.metrics;

import java.util.Map;
import java.util.TreeMap;

/**
 * One sample of a metric that a daemon exports, at the time of a scrape.
 *
 * @param name the name in lower case with underscores, without the suffix {@code _total}
 * @param help a description with the unit
 * @param monotonic whether it is a counter, which never decreases while the process runs
 * @param labels the labels that distinguish it from other samples of the same name
 * @param value the value at the time of the scrape
 */
public record Metric(
    String name, String help, boolean monotonic, Map<String, String> labels, double value) {
  /** A counter without labels. */
  public static Metric counter(final String name, final String help, final double value) {
    return new Metric(name, help, true, Map.of(), value);
  }

  /** A gauge without labels. */
  public static Metric gauge(final String name, final String help, final double value) {
    return new Metric(name, help, false, Map.of(), value);
  }

  /** A copy with one more label. */
  public Metric withLabel(final String label, final String labelValue) {
    final Map<String, String> extended = new TreeMap<>(labels);
    extended.put(label, labelValue);
    return new Metric(name, help, monotonic, extended, value);
  }
}
