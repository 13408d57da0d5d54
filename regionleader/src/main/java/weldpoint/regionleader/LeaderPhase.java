package weldpoint.regionleader;

/** How a switchboard stands toward the chief of its region. */
public enum LeaderPhase {
  /** The core is heard; there is no chief and none is wanted. */
  CORE_REACHABLE,
  /** The core is silent; the wait before an election runs, or an election found no majority. */
  NO_LEADER,
  /** It stands for election. */
  CANDIDATE,
  /** It heeds a chief. */
  FOLLOWER,
  /** It is the chief. */
  LEADER;

  /** Whether orders of a chief are in force. */
  public boolean hasLeader() {
    return this == FOLLOWER || this == LEADER;
  }
}
