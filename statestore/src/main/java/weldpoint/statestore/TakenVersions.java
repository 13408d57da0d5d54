package weldpoint.statestore;

import java.util.Arrays;
import weldpoint.audit.AuditEntry;
import weldpoint.audit.AuditLog;
import weldpoint.audit.CanonicalJson;
import weldpoint.audit.ChangeKind;
import weldpoint.common.WeldpointException;
import weldpoint.statestore.StoredValues.StoredConfiguration;
import weldpoint.statestore.StoredValues.TakenVersion;
import weldpoint.transport.Compression;
import weldpoint.transport.Serializer;
import weldpoint.transport.StoreMessages.StoreRequest;

/**
 * Which content each version of the configuration stands for, as the holder of its register knows
 * it: the version held by the register itself, older ones by the history of changes. A version that
 * was taken once never stands for anything else.
 */
class TakenVersions {
  private final AuditSequencer auditSequencer;
  private final AuditLog log;

  TakenVersions(final AuditSequencer auditSequencer, final AuditLog log) {
    this.auditSequencer = auditSequencer;
    this.log = log;
  }

  /**
   * What is to be said of a configuration whose version is not above the one held: the same one
   * again, another one, or one that is not known.
   */
  Decision decide(final StoredConfiguration held, final StoreRequest call) {
    final AuditEntry entry = entry(call.first);
    if (call.first == held.version) {
      return Arrays.equals(content(held), content(call)) ? again() : taken(call.first, entry);
    }
    if (entry == null) {
      return complete() ? again() : Decision.confirm(504, 0);
    }
    if (entry.contentDigest == null) {
      return again();
    }
    return Arrays.equals(entry.contentDigest, content(call)) ? again() : taken(call.first, entry);
  }

  private static Decision again() {
    return Decision.confirm(200, 0);
  }

  private Decision taken(final long version, final AuditEntry entry) {
    if (entry == null && !complete()) {
      return Decision.confirm(504, 0);
    }
    final boolean known = entry != null && entry.kind() == ChangeKind.CONFIGURATION;
    return Decision.confirm(
        409,
        version,
        Serializer.serialize(
            new TakenVersion(version, known ? entry.author : "", known ? entry.time : 0)));
  }

  private AuditEntry entry(final long version) {
    final AuditEntry young = auditSequencer.taking(version);
    return young == null ? log.entryForVersion(version) : young;
  }

  /** Whether every entry that is kept is here: in the log, or in the tail after it. */
  private boolean complete() {
    return log.last() >= auditSequencer.tailBase();
  }

  /** What a configuration says, by the digest of its canonical form. */
  static byte[] content(final StoredConfiguration spec) {
    return spec.content == null ? content(spec.body) : spec.content;
  }

  /** What a configuration that is sent says. */
  static byte[] content(final StoreRequest call) {
    return call.content == null ? content(call.body) : call.content;
  }

  private static byte[] content(final byte[] packed) {
    try {
      return CanonicalJson.digest(Compression.inflate(packed));
    } catch (final WeldpointException damaged) {
      return CanonicalJson.digest(packed);
    }
  }
}
