package weldpoint.affinity;

/**
 * The decision on a write that is bound to its caller's node. Names are written out in lower case
 * in counters, and counts are reported in the order of these constants.
 */
public enum WriteDecision {
  /** The caller's node is known and may be used. */
  GO(""),
  /** The caller is moving to another node, and its previous node may still be executing a write. */
  MOVING("the caller is being moved to another node; retry shortly"),
  /** The proxy holds no lease on the placement. */
  NO_LEASE("this proxy has no valid lease on the service's placement; retry later"),
  /** The service has no placement yet. */
  NO_PLACEMENT("the service has no placement yet; retry shortly"),
  /** No node is eligible. */
  NO_NODE("no node may serve the caller now; retry later"),
  /** The caller's node is at its capacity. */
  FULL("the caller's node is at its capacity; retry later"),
  /** The caller's node is leaving or gone, and the next placement is not in force yet. */
  LEAVING("the caller's node is leaving; retry shortly"),
  /** The caller's node declined the write. */
  DECLINED("the caller's node declined the request; retry later"),
  /** No node in the home regions is eligible. */
  OUTSIDE_HOMES("no node in the home regions may serve the caller now; retry later");

  private final String reason;

  WriteDecision(final String reason) {
    this.reason = reason;
  }

  /** Returns the reason that the client is given; empty for {@code GO}. */
  public String reason() {
    return reason;
  }

  /** Returns whether the write may succeed after a short wait. */
  public boolean isTransient() {
    return this == MOVING || this == NO_PLACEMENT || this == NO_LEASE || this == LEAVING;
  }
}
