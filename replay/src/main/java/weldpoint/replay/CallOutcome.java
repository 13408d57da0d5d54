package weldpoint.replay;

/** What became of one call in one world. */
final class CallOutcome {
  /** How it ended. */
  enum End {
    SERVED,
    REFUSED,
    LOST,
    UNROUTED
  }

  End end;
  String service;
  String region = "";
  int sent;
  int ran;
  long total;
}
