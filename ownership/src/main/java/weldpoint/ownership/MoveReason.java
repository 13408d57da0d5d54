package weldpoint.ownership;

/** Why a range is taken from its holder. */
public enum MoveReason {
  /** The holder leaves, or its zone is evacuated. */
  LEAVES,
  /** The holder's process has ended. */
  ENDED,
  /** The holder does not answer grants. */
  SILENT,
  /** Another upstream has more room. */
  BALANCE
}
