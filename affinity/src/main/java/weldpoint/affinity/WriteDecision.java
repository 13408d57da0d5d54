package weldpoint.affinity;

/** What becomes of a tied write at this moment. */
public enum WriteDecision {
  /** Its node is known and may be used. */
  GO(""),
  /** Its caller moves to another node, and the one it had may still be at work. */
  MOVING("its caller is moving to another node; come back shortly"),
  /** No lease on the placement is held. */
  NO_LEASE("it cannot be told now which node its caller belongs to; come back"),
  /** Callers of the service have not been placed yet. */
  NO_PLACEMENT("the callers of its service have not been placed yet; come back shortly"),
  /** No node may serve it. */
  NO_NODE("no node may serve its caller now; come back"),
  /** Its node takes no more. */
  FULL("its caller's node is full; come back"),
  /** Its node leaves or is gone, and the next placement is not in force yet. */
  LEAVING("its caller's node is leaving; come back shortly"),
  /** Its node declined it. */
  DECLINED("its caller's node did not take it; come back"),
  /** No node in its home regions may serve it. */
  OUTSIDE_HOMES("no node in its home regions may serve its caller now; come back");

  private final String reason;

  WriteDecision(final String reason) {
    this.reason = reason;
  }

  /** What a client is told. */
  public String reason() {
    return reason;
  }

  /** Whether a short wait may mend it. */
  public boolean isTransient() {
    return this == MOVING || this == NO_PLACEMENT || this == NO_LEASE || this == LEAVING;
  }
}
