package weldpoint.replay;

import weldpoint.routing.RouteKind;
import weldpoint.transport.RecordingMessages.RequestRecord;
import weldpoint.upstream.AttemptOutcome;

/**
 * One recorded call, its time converted to the common clock of the recording, with the service time
 * that the recorded attempts imply. The simulator gives each attempt of the call this service time.
 */
final class RecordedCall {
  final RequestRecord request;
  final String proxy;
  final long at;
  final long serviceTimeMillis;
  final boolean answerLost;

  RecordedCall(
      final RequestRecord request,
      final String proxy,
      final long clockOffsetMillis,
      final long defaultServiceTimeMillis) {
    this.request = request;
    this.proxy = proxy;
    this.at = request.startedAt + clockOffsetMillis;
    long answeredMillis = -1;
    boolean lost = false;
    for (int index = 0;
        request.attemptOutcomes != null && index < request.attemptOutcomes.size();
        index++) {
      final int outcome = request.attemptOutcomes.get(index);
      if (outcome == AttemptOutcome.ANSWERED.ordinal() && answeredMillis < 0) {
        answeredMillis = request.attemptDurations.get(index);
      }
      lost |= outcome == AttemptOutcome.UNCERTAIN.ordinal() && answeredMillis < 0;
      if (outcome == AttemptOutcome.UNCERTAIN.ordinal() && answeredMillis < 0) {
        answeredMillis = request.attemptDurations.get(index);
      }
    }
    this.serviceTimeMillis =
        answeredMillis >= 0
            ? answeredMillis
            : request.attemptOutcomes == null || request.attemptOutcomes.isEmpty()
                ? defaultServiceTimeMillis
                : request.waitMillis;
    this.answerLost = lost;
  }

  boolean isWrite() {
    return !RouteKind.values()[request.routeKind].repeatable();
  }
}
