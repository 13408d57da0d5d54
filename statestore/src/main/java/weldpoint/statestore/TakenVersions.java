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
 * Looks up which configuration took each version, on the leader of the configuration's partition:
 * the current version from the register, older ones from the history. A version that was taken once
 * never stands for another configuration.
 */
class TakenVersions {
  private final AuditSequencer auditSequencer;
  private final AuditLog log;

  TakenVersions(final AuditSequencer auditSequencer, final AuditLog log) {
    this.auditSequencer = auditSequencer;
    this.log = log;
  }

  /**
   * Decides on a configuration whose version is not above the current one: it is the same
   * configuration again, a conflicting one, or it cannot be told yet.
   */
  Decision decide(final StoredConfiguration current, final StoreRequest call) {
    final AuditEntry entry = findEntry(call.first);
    if (call.first == current.version) {
      return Arrays.equals(contentDigest(current), contentDigest(call))
          ? alreadyApplied()
          : versionConflict(call.first, entry);
    }
    if (entry == null) {
      return historyComplete() ? alreadyApplied() : Decision.confirm(504, 0);
    }
    if (entry.contentDigest == null) {
      return alreadyApplied();
    }
    return Arrays.equals(entry.contentDigest, contentDigest(call))
        ? alreadyApplied()
        : versionConflict(call.first, entry);
  }

  private static Decision alreadyApplied() {
    return Decision.confirm(200, 0);
  }

  private Decision versionConflict(final long version, final AuditEntry entry) {
    if (entry == null && !historyComplete()) {
      return Decision.confirm(504, 0);
    }
    final boolean known = entry != null && entry.kind() == ChangeKind.CONFIGURATION;
    return Decision.confirm(
        409,
        version,
        Serializer.serialize(
            new TakenVersion(version, known ? entry.author : "", known ? entry.time : 0)));
  }

  private AuditEntry findEntry(final long version) {
    final AuditEntry recent = auditSequencer.entryForVersion(version);
    return recent == null ? log.entryForVersion(version) : recent;
  }

  /** Whether this replica has every retained entry, in its log or in the tail after it. */
  private boolean historyComplete() {
    return log.last() >= auditSequencer.tailBase();
  }

  /** The digest of a stored configuration's canonical form. */
  static byte[] contentDigest(final StoredConfiguration configuration) {
    return configuration.contentDigest == null
        ? contentDigest(configuration.compressedBody)
        : configuration.contentDigest;
  }

  /** The digest of the canonical form of a configuration in a request. */
  static byte[] contentDigest(final StoreRequest call) {
    return call.contentDigest == null ? contentDigest(call.body) : call.contentDigest;
  }

  private static byte[] contentDigest(final byte[] compressed) {
    try {
      return CanonicalJson.digest(Compression.inflate(compressed));
    } catch (final WeldpointException damaged) {
      return CanonicalJson.digest(compressed);
    }
  }
}
