package weldpoint.replay;

import weldpoint.routing.RouteKind;
import weldpoint.transport.RecordingMessages.RequestRecord;
import weldpoint.upstream.AttemptOutcome;

/**
 * One recorded call on the day's common clock, with what the recording tells of the work it makes.
 */
final class RecordedCall {
  final RequestRecord note;
  final String board;
  final long at;
  final long work;
  final boolean answerLost;

  RecordedCall(final RequestRecord note, final String board, final long offset, final long usual) {
    this.note = note;
    this.board = board;
    this.at = note.startedAt + offset;
    long answered = -1;
    boolean lost = false;
    for (int index = 0;
        note.attemptOutcomes != null && index < note.attemptOutcomes.size();
        index++) {
      final int end = note.attemptOutcomes.get(index);
      if (end == AttemptOutcome.ANSWERED.ordinal() && answered < 0) {
        answered = note.attemptDurations.get(index);
      }
      lost |= end == AttemptOutcome.UNCERTAIN.ordinal() && answered < 0;
      if (end == AttemptOutcome.UNCERTAIN.ordinal() && answered < 0) {
        answered = note.attemptDurations.get(index);
      }
    }
    this.work =
        answered >= 0
            ? answered
            : note.attemptOutcomes == null || note.attemptOutcomes.isEmpty()
                ? usual
                : note.waitMillis;
    this.answerLost = lost;
  }

  boolean write() {
    return !RouteKind.values()[note.routeKind].repeatable();
  }
}
