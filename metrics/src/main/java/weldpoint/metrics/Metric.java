package weldpoint.metrics;

import java.util.Map;
import java.util.TreeMap;

/**
 * One figure that a daemon tells of itself.
 *
 * @param name its name without {@code _total}, in lower case with underscores
 * @param help what it counts, with its unit
 * @param rises whether it only rises in one life of the process
 * @param labels what tells it from others of the name
 * @param value the value at the moment of the question
 */
public record Metric(
    String name, String help, boolean monotonic, Map<String, String> labels, double value) {
  /** A figure that only rises. */
  public static Metric counter(final String name, final String help, final double value) {
    return new Metric(name, help, true, Map.of(), value);
  }

  /** A figure that rises and falls. */
  public static Metric gauge(final String name, final String help, final double value) {
    return new Metric(name, help, false, Map.of(), value);
  }

  /** The same with one more label. */
  public Metric withLabel(final String label, final String labelValue) {
    final Map<String, String> extended = new TreeMap<>(labels);
    extended.put(label, labelValue);
    return new Metric(name, help, monotonic, extended, value);
  }
}
