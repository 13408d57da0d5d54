package weldpoint.replay;

import io.avaje.jsonb.Json;
import java.util.List;
import java.util.Map;

/**
 * The JSON form of the report of a replay; component names are part of the output. Times and errors
 * are in milliseconds.
 */
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
  /** One write that the proposed configuration would change. */
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

  /** Totals of the calls of one route, other than writes. */
  @Json
  public record Other(
      String route, long calls, long longer, long refused, long lost, long elsewhere) {}
}
