package weldpoint.transport;

import java.util.List;

/** Messages by which replicas reconcile the history of routing changes. */
public final class AuditMessages {
  private AuditMessages() {}

  /** Tells how far the sender's history reaches. */
  public static final class AuditState implements Message {
    public final long base;
    public final long last;
    public final String digest;

    public AuditState(final long base, final long last, final String digest) {
      this.base = base;
      this.last = last;
      this.digest = digest;
    }
  }

  /** Asks for the history from this entry on. */
  public static final class AuditRequest implements Message {
    public final long from;

    public AuditRequest(final long from) {
      this.from = from;
    }
  }

  /**
   * Entries of the history behind the base; whether the sender keeps none before them, and how far
   * it reaches.
   */
  public static final class AuditEntries implements Message {
    public final long base;
    public final String baseDigest;
    public final boolean trimmed;
    public final List<byte[]> entries;
    public final long last;

    public AuditEntries(
        final long base,
        final String baseDigest,
        final boolean trimmed,
        final List<byte[]> entries,
        final long last) {
      this.base = base;
      this.baseDigest = baseDigest;
      this.trimmed = trimmed;
      this.entries = entries;
      this.last = last;
    }
  }
}
