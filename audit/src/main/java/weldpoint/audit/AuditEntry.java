package weldpoint.audit;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import weldpoint.transport.Serializer;

/**
 * One decided change of routing. Its bytes are made once, by the daemon that proposed it, and never
 * again: the digest of an entry is the SHA-256 of those bytes, and each entry carries the digest of
 * the one before it.
 */
public final class AuditEntry {
  /** The digest that the very first entry names as the one before it. */
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
   * Whether a configuration took this entry's version with it, and what the version stands for is
   * therefore known.
   */
  public boolean definesVersion() {
    return kind == ChangeKind.CONFIGURATION.ordinal()
        || kind == ChangeKind.UPGRADE.ordinal() && version > 0;
  }

  /** Reads an entry from its bytes. */
  public static AuditEntry read(final byte[] bytes) {
    return Serializer.deserialize(bytes, AuditEntry.class);
  }

  /** The digest of bytes, as hexadecimal digits. */
  public static String digest(final byte[] bytes) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
    } catch (final NoSuchAlgorithmException impossible) {
      throw new IllegalStateException(
          "this Java has no SHA-256; run it on a complete one", impossible);
    }
  }

  /** An entry before it has its place in the order. */
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

    /** A change of this kind, to this zone or route; empty where it concerns all. */
    public Draft(final ChangeKind kind, final String subject) {
      this.kind = kind;
      this.subject = subject == null ? "" : subject;
    }

    /**
     * Under which number it is in force: a configuration's version, otherwise the mark of what it
     * changed.
     */
    public Draft version(final long givenVersion, final long givenMark) {
      version = givenVersion;
      mark = givenMark;
      return this;
    }

    /** Who wanted it, from which address, which daemon took it, and when it was proposed. */
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

    /** What it was before and after, by digests. */
    public Draft digests(final String givenBefore, final String givenAfter) {
      before = givenBefore;
      after = givenAfter;
      return this;
    }

    /**
     * What the configuration says, by the digest of its canonical form; null for any other change.
     */
    public Draft contentDigest(final byte[] givenContent) {
      contentDigest = givenContent;
      return this;
    }

    /** What it changed. */
    public Draft difference(final ConfigurationDifference difference, final int maxBytes) {
      added = difference.added();
      removed = difference.removed();
      changed = difference.changed();
      changedWriteRoutes = difference.changedWriteRoutes();
      changes = difference.lines(maxBytes);
      return this;
    }

    /** Says what it was, in one line. */
    public Draft summary(final String text) {
      changes = List.of(text);
      return this;
    }

    /** Up to where entries are forgotten, and the digest of the last of them. */
    public Draft trimThrough(final long through, final String digest) {
      trimmedThrough = through;
      trimmedDigest = digest;
      return this;
    }

    /** The bytes of the entry at its place. */
    public byte[] encode(final long sequence, final String previousDigest) {
      return Serializer.serialize(new AuditEntry(this, sequence, previousDigest));
    }
  }

  /** How many bytes a text takes. */
  static int encodedSize(final String text) {
    return text.getBytes(StandardCharsets.UTF_8).length + 2;
  }
}
