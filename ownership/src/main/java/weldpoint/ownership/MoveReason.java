package weldpoint.ownership;

/** Why a key range is taken from its holder; a label value of a metric. */
public enum MoveReason {
  /** The holder is shutting down, or its zone is evacuated. */
  LEAVES,
  /** The holder's process has terminated. */
  ENDED,
  /** The holder does not respond to grants. */
  SILENT,
  /** Another upstream has more spare capacity. */
  BALANCE
}
