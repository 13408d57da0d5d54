package weldpoint.upstream;

import java.util.List;
import weldpoint.metrics.Metric;

/**
 * Counts responses of upstreams without a length, which only the end of their connection delimits.
 * Used on the traffic thread.
 */
final class UnframedResponseCounts {
  private long complete;
  private long cut;

  void recordComplete() {
    complete++;
  }

  void recordCut() {
    cut++;
  }

  List<Metric> metrics() {
    final String help = "Responses of upstreams without a length, by how they ended.";
    return List.of(
        Metric.counter("weldpoint_unframed_responses", help, complete)
            .withLabel("result", "complete"),
        Metric.counter("weldpoint_unframed_responses", help, cut).withLabel("result", "cut"));
  }
}
