package weldpoint.regionleader;

/** How a switchboard stands toward the chief of its region. */
public enum LeaderPhase {
  /** The core is heard; there is no chief and none is wanted. */
  CORE,
  /** The core is silent; the wait before an election runs, or an election found no majority. */
  ALONE,
  /** It stands for election. */
  STANDING,
  /** It heeds a chief. */
  FOLLOWING,
  /** It is the chief. */
  ACTING;

  /** Whether orders of a chief are in force. */
  public boolean ordered() {
    return this == FOLLOWING || this == ACTING;
  }
}
