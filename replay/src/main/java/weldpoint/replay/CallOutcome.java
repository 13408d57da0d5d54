package weldpoint.replay;

/** The outcome of one call in one simulation. Filled in by {@link ReplaySimulator}. */
final class CallOutcome {
  /** How the call ended; the names appear in the report. */
  enum End {
    SERVED,
    REFUSED,
    LOST,
    UNROUTED
  }

  End end;
  String service;
  String region = "";
  int attemptCount;
  int executionCount;
  long totalMillis;
}
