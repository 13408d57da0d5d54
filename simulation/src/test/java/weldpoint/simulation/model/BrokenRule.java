package weldpoint.simulation.model;

/** A rule that is broken on purpose, for the search to catch. */
public enum BrokenRule {
  /** A promise is answered before it is on disk, and a loss of power takes it back. */
  PROMISE_NOT_SYNCED,
  /** Promises, acceptances and confirmations of an overtaken incarnation count. */
  OVERTAKEN_COUNTED,
  /**
   * The next roster is decided before every partition has been established under the present one.
   */
  CHANGE_NOT_SETTLED,
  /**
   * The holder proposes a roster while the one that it decided last is not yet in force at itself.
   */
  CHANGE_BEFORE_ADOPTION,
  /** A blank voter votes after one answer to its fetch. */
  VOTES_BEFORE_REFETCH,
  /** A holder answers a read by what it was told before the question. */
  ANSWER_WITHOUT_MAJORITY,
  /** Values below an establishment stay and count. */
  FLOOR_IGNORED,
  /** Establishing does not carry the known incarnations on to the voters of the present roster. */
  INCARNATIONS_NOT_CARRIED,
  /** It carries those of its own voters only, so that those of a voter that left are forgotten. */
  INCARNATIONS_OF_VOTERS_CARRIED
}
