package weldpoint.regionleader;

/** A proxy's phase in the election of its region's leader. */
public enum LeaderPhase {
  /** The core is reachable; there is no leader and none is needed. */
  CORE_REACHABLE,
  /**
   * The core is unreachable and no leader is known: the delay before an election is running, or an
   * election found no majority.
   */
  NO_LEADER,
  /** The proxy has requested votes and waits for a majority. */
  CANDIDATE,
  /** The proxy follows another proxy's directives. */
  FOLLOWER,
  /** The proxy is the leader. */
  LEADER;

  /** Returns whether a leader's directive is in force. */
  public boolean hasLeader() {
    return this == FOLLOWER || this == LEADER;
  }
}
