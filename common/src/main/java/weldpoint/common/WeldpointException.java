package weldpoint.common;

/** A failure of a known kind; the message says what was wrong and how to correct it. */
public final class WeldpointException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** The kinds of failure, each with the HTTP status of the response, or 0 if there is none. */
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

    /** Returns the HTTP status that a caller receives for this kind of failure. */
    public int status() {
      return status;
    }
  }

  private final Kind kind;

  /** Creates a failure; the message says how to correct it. */
  public WeldpointException(final Kind kind, final String message) {
    super(message, null, false, false);
    this.kind = kind;
  }

  /** Returns the kind of this failure. */
  public Kind kind() {
    return kind;
  }
}
