package weldpoint.common;

/** A typed failure whose message names what was wrong and the remedy. */
public final class WeldpointException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** The kinds of failure, each with the status that the outside is told. */
  public enum Kind {
    SETTING(0),
    UNREADABLE(400),
    INVALID(400),
    UNKNOWN_CALL(404),
    WRONG_METHOD(405),
    TOO_LARGE(413),
    CONFLICT(409),
    VERSION_TAKEN(409),
    OUT_OF_REACH(504),
    DISK_LOST(0),
    PROTOCOL(0),
    USAGE(0);

    private final int status;

    Kind(final int status) {
      this.status = status;
    }

    /** The HTTP status under which an outside caller learns of it. */
    public int status() {
      return status;
    }
  }

  private final Kind kind;

  /** A failure of the given kind; the message names the remedy. */
  public WeldpointException(final Kind kind, final String message) {
    super(message, null, false, false);
    this.kind = kind;
  }

  /** What kind of failure this is. */
  public Kind kind() {
    return kind;
  }
}
