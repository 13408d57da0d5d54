package weldpoint.audit;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import weldpoint.transport.Serializer;

/**
 * One decided change of the routing, as an entry of the audit log. The daemon that proposes the
 * change serializes the entry once; the digest of the entry is the SHA-256 of those bytes, and each
 * entry contains the digest of the one before it. Entries are therefore stored and sent as bytes
 * and never serialized again. Fields are serialized by position: their order must not change.
 */
public final class AuditEntry {
  /** The previous digest of the first entry of a log. */
  public static final String NO_DIGEST = "";

  public final long sequence;
  public final int kind;
  public final long version;
  public final long mark;
  public final String subject;
  public final String author;
  public final String caller;
  public final String acceptedBy;
  public final long time;
  public final String before;
  public final String after;
  public final List<String> changes;
  public final int added;
  public final int removed;
  public final int changed;
  public final int changedWriteRoutes;
  public final long trimmedThrough;
  public final String trimmedDigest;
  public final String previousDigest;
  public final byte[] contentDigest;

  private AuditEntry(final Draft draft, final long sequence, final String previousDigest) {
    this.sequence = sequence;
    this.kind = draft.kind.ordinal();
    this.version = draft.version;
    this.mark = draft.mark;
    this.subject = draft.subject;
    this.author = draft.author;
    this.caller = draft.caller;
    this.acceptedBy = draft.acceptedBy;
    this.time = draft.time;
    this.before = draft.before;
    this.after = draft.after;
    this.changes = draft.changes;
    this.added = draft.added;
    this.removed = draft.removed;
    this.changed = draft.changed;
    this.changedWriteRoutes = draft.changedWriteRoutes;
    this.trimmedThrough = draft.trimmedThrough;
    this.trimmedDigest = draft.trimmedDigest;
    this.previousDigest = previousDigest;
    this.contentDigest = draft.contentDigest;
  }

  /** The kind of the change. */
  public ChangeKind kind() {
    return ChangeKind.of(kind);
  }

  /**
   * Whether the entry introduced its version of the configuration, so that the contents of that
   * version are known from it.
   */
  public boolean definesVersion() {
    return kind == ChangeKind.CONFIGURATION.ordinal()
        || kind == ChangeKind.UPGRADE.ordinal() && version > 0;
  }

  /** Deserializes an entry. */
  public static AuditEntry read(final byte[] bytes) {
    return Serializer.deserialize(bytes, AuditEntry.class);
  }

  /** The SHA-256 of the bytes in hexadecimal. */
  public static String digest(final byte[] bytes) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
    } catch (final NoSuchAlgorithmException impossible) {
      throw new IllegalStateException(
          "this Java runtime has no SHA-256; use a complete JDK or JRE", impossible);
    }
  }

  /** Builder of an entry, before its sequence number and its previous digest are known. */
  public static final class Draft {
    private final ChangeKind kind;
    private final String subject;
    private long version;
    private long mark;
    private String author = "";
    private String caller = "";
    private String acceptedBy = "";
    private long time;
    private String before = "";
    private String after = "";
    private byte[] contentDigest;
    private List<String> changes = List.of();
    private int added;
    private int removed;
    private int changed;
    private int changedWriteRoutes;
    private long trimmedThrough;
    private String trimmedDigest = "";

    /**
     * Starts an entry.
     *
     * @param subject the zone or route that changed; empty or null if the change concerns all
     */
    public Draft(final ChangeKind kind, final String subject) {
      this.kind = kind;
      this.subject = subject == null ? "" : subject;
    }

    /**
     * Sets the numbers that identify the changed state: the version of a configuration, or for
     * other changes the mark of the changed register, which increases with each change of it.
     */
    public Draft version(final long givenVersion, final long givenMark) {
      version = givenVersion;
      mark = givenMark;
      return this;
    }

    /**
     * Sets the origin of the change.
     *
     * @param givenAuthor who requested it; null or empty if unnamed
     * @param givenCaller the address of the client
     * @param givenAcceptedBy the daemon that accepted the call
     * @param givenTime when it was proposed
     */
    public Draft origin(
        final String givenAuthor,
        final String givenCaller,
        final String givenAcceptedBy,
        final long givenTime) {
      author = givenAuthor == null || givenAuthor.isEmpty() ? Authors.UNNAMED : givenAuthor;
      caller = givenCaller == null ? "" : givenCaller;
      acceptedBy = givenAcceptedBy == null ? "" : givenAcceptedBy;
      time = givenTime;
      return this;
    }

    /** Sets the digests of the state before and after the change. */
    public Draft digests(final String givenBefore, final String givenAfter) {
      before = givenBefore;
      after = givenAfter;
      return this;
    }

    /** Sets the digest of the canonical form of a configuration; null for any other change. */
    public Draft contentDigest(final byte[] givenDigest) {
      contentDigest = givenDigest;
      return this;
    }

    /** Sets the difference of two configurations, with lines of at most so many bytes. */
    public Draft difference(final ConfigurationDifference difference, final int maxBytes) {
      added = difference.added();
      removed = difference.removed();
      changed = difference.changed();
      changedWriteRoutes = difference.changedWriteRoutes();
      changes = difference.lines(maxBytes);
      return this;
    }

    /** Describes the change in one line. */
    public Draft summary(final String text) {
      changes = List.of(text);
      return this;
    }

    /** Sets the last entry that this entry causes to be trimmed, and the digest of that entry. */
    public Draft trimThrough(final long through, final String digest) {
      trimmedThrough = through;
      trimmedDigest = digest;
      return this;
    }

    /** Serializes the entry with its sequence number and the digest of the entry before it. */
    public byte[] encode(final long sequence, final String previousDigest) {
      return Serializer.serialize(new AuditEntry(this, sequence, previousDigest));
    }
  }

  /** The size of a serialized text in bytes: its UTF-8 form and two bytes of overhead. */
  static int encodedSize(final String text) {
    return text.getBytes(StandardCharsets.UTF_8).length + 2;
  }
}
