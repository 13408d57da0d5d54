package weldpoint.audit;

/** What a change of routing was. */
public enum ChangeKind {
  /** An operator's configuration took force. */
  CONFIGURATION("configuration"),
  /** A zone is evacuated. */
  EVACUATION_BEGUN("evacuation begun"),
  /** An evacuation was taken back. */
  EVACUATION_FINISHED("evacuation finished"),
  /** The trial of a route's new version was begun, moved on, held or ended. */
  TRIAL("trial"),
  /** The oldest entries were forgotten, on all replicas alike. */
  RETENTION("retention"),
  /** A store that is older than its history begins to keep one. */
  UPGRADE("upgrade");

  private static final ChangeKind[] ALL = values();
  private final String label;

  ChangeKind(final String label) {
    this.label = label;
  }

  /** The kind of this number. */
  public static ChangeKind of(final int number) {
    if (number < 0 || number >= ALL.length) {
      throw new IllegalArgumentException(
          "no kind of change has the number " + number + "; run the release that wrote it");
    }
    return ALL[number];
  }

  /** The kind in an operator's words. */
  public String label() {
    return label;
  }
}
