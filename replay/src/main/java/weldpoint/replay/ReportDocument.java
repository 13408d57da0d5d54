package weldpoint.replay;

import io.avaje.jsonb.Json;
import java.util.List;
import java.util.Map;

/** A replay's report for machines. */
@Json
public record ReportDocument(
    long writes,
    long writesRunOnce,
    long others,
    long writesHarmed,
    long writesNotListed,
    long othersUnrouted,
    long clockErrorMs,
    Map<String, Long> modelErrorMs,
    List<Write> writesChanged,
    List<Other> otherRoutes) {
  /** One write for which something would change. */
  @Json
  public record Write(
      String attemptId,
      String switchboard,
      String route,
      long at,
      List<String> changes,
      String before,
      String proposed,
      long beforeMs,
      long proposedMs) {}

  /** The other calls of one route. */
  @Json
  public record Other(
      String route, long calls, long longer, long refused, long lost, long elsewhere) {}
}
