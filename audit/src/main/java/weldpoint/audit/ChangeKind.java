package weldpoint.audit;

/**
 * The kinds of changes in the audit log. Entries store the ordinal, so the order of the constants
 * must not change.
 */
public enum ChangeKind {
  /** An operator's configuration became effective. */
  CONFIGURATION("configuration"),
  /** The evacuation of a zone was started. */
  EVACUATION_BEGUN("evacuation begun"),
  /** The evacuation of a zone was ended. */
  EVACUATION_FINISHED("evacuation finished"),
  /** The trial of a new version on a route was started, advanced, held or ended. */
  TRIAL("trial"),
  /** The oldest entries were trimmed, up to the same entry on all replicas. */
  RETENTION("retention"),
  /** The audit log was started in a state store that was created without one. */
  UPGRADE("upgrade");

  private static final ChangeKind[] ALL = values();
  private final String label;

  ChangeKind(final String label) {
    this.label = label;
  }

  /**
   * The kind with this ordinal.
   *
   * @throws IllegalArgumentException if a newer release wrote a kind that is unknown here
   */
  public static ChangeKind of(final int number) {
    if (number < 0 || number >= ALL.length) {
      throw new IllegalArgumentException(
          "unknown kind of change " + number + "; run the release that wrote this entry");
    }
    return ALL[number];
  }

  /** The name of the kind in the history that operators read. */
  public String label() {
    return label;
  }
}
