package weldpoint.transport;

import java.util.List;

/** Messages by which replicas reconcile the history of routing changes. */
public final class AuditMessages {
  private AuditMessages() {}

  /** The range of entries in the sender's history, and the digest of the last one. */
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

  /** Asks for the entries of the history from this one on. */
  public static final class AuditRequest implements Message {
    public final long from;

    public AuditRequest(final long from) {
      this.from = from;
    }
  }

  /**
   * The entries of the history that follow the base; {@code trimmed} is set if the sender keeps no
   * earlier ones, and {@code last} is the last entry that it has.
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
