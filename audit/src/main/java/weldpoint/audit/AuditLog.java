package weldpoint.audit;

import com.google.common.flogger.FluentLogger;

/**
 * The audit log of one replica: decided entries with consecutive sequence numbers, each chained to
 * the one before it by its digest. Entries are appended and trimmed at the start, never changed.
 * Not thread-safe; owned by one replica of the state store.
 */
public final class AuditLog {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** The result of offering an entry. */
  public enum Outcome {
    /** The entry is the next one and was appended. */
    APPENDED,
    /** The log already contains the entry, or has trimmed it. */
    KNOWN,
    /** Entries before it are missing in the log. */
    GAP,
    /**
     * The log contains a different entry with the same sequence number, or the entry is not chained
     * to the last entry of the log.
     */
    CONFLICT,
    /** The store has no space for the entry. */
    FULL
  }

  private final String self;
  private final AuditStore store;
  private final Runnable onDurable;
  private final VersionIndex versions = new VersionIndex();
  private long base;
  private String baseDigest = AuditEntry.NO_DIGEST;
  private long last;
  private long lastDurable;
  private long synced;
  private String digest = AuditEntry.NO_DIGEST;
  private long conflicts;
  private long damagedEntries;

  /**
   * Opens the log of a replica and checks the chain of the entries in its store.
   *
   * @param self the name of the replica in log messages
   * @param onDurable runs each time {@link #lastDurable} has advanced
   */
  public AuditLog(final String self, final AuditStore store, final Runnable onDurable) {
    this.self = self;
    this.store = store;
    this.onDurable = onDurable;
    if (store.base() > 0 && store.last() == store.base()) {
      store.reset(0);
    }
    this.base = store.base();
    this.last = base;
    this.damagedEntries = store.damaged() ? 1 : 0;
    final boolean intact = load();
    this.lastDurable = intact ? last : base;
    this.synced = lastDurable;
  }

  private boolean load() {
    while (last < store.last()) {
      final byte[] bytes = store.read(last + 1);
      final AuditEntry entry = bytes == null ? null : AuditEntry.read(bytes);
      if (entry == null
          || entry.sequence != last + 1
          || last > base && !entry.previousDigest.equals(digest)) {
        damagedEntries += store.last() - last;
        LOGGER.atSevere().log(
            "audit log of %s is damaged from entry %s on; fetching %s entries again from other replicas",
            self, last + 1, store.last() - last);
        truncate();
        return false;
      }
      if (last == base) {
        baseDigest = entry.previousDigest;
      }
      apply(entry, bytes);
    }
    return true;
  }

  private void truncate() {
    final java.util.List<byte[]> kept = new java.util.ArrayList<>();
    for (long sequence = base + 1; sequence <= last; sequence++) {
      kept.add(store.read(sequence));
    }
    store.reset(base);
    for (int position = 0; position < kept.size(); position++) {
      final long sequence = base + 1 + position;
      store.append(sequence, kept.get(position), () -> synced(sequence));
    }
  }

  private void apply(final AuditEntry entry, final byte[] bytes) {
    last = entry.sequence;
    digest = AuditEntry.digest(bytes);
    if (entry.definesVersion()) {
      versions.add(entry.version, entry.sequence);
    }
    if (entry.kind() == ChangeKind.RETENTION
        && entry.trimmedThrough > base
        && entry.trimmedThrough < last) {
      trim(entry);
    } else if (entry.kind() == ChangeKind.RETENTION
        && entry.trimmedThrough == base
        && !entry.trimmedDigest.equals(baseDigest)) {
      reportConflict(
          "entry " + entry.sequence + " has a different digest for the trimmed entry " + base);
    }
  }

  private void trim(final AuditEntry entry) {
    final String localDigest = digestAt(entry.trimmedThrough);
    if (localDigest != null && !localDigest.equals(entry.trimmedDigest)) {
      reportConflict(
          "entry " + entry.sequence + " has a different digest for entry " + entry.trimmedThrough);
      return;
    }
    base = entry.trimmedThrough;
    baseDigest = entry.trimmedDigest;
    store.trim(base);
    versions.trim(base);
  }

  private void reportConflict(final String problem) {
    conflicts++;
    LOGGER.atSevere().log(
        "audit log of %s has a conflict: %s; no entry was replaced or trimmed, compare the replicas",
        self, problem);
  }

  /** Appends a decided entry if it is the next one of the chain. */
  public Outcome offer(final byte[] bytes) {
    final AuditEntry entry = AuditEntry.read(bytes);
    if (entry.sequence <= base) {
      return Outcome.KNOWN;
    }
    if (entry.sequence <= last) {
      if (java.util.Arrays.equals(bytes, store.read(entry.sequence))) {
        return Outcome.KNOWN;
      }
      reportConflict("entry " + entry.sequence + " is already present with different content");
      return Outcome.CONFLICT;
    }
    if (entry.sequence > last + 1) {
      return Outcome.GAP;
    }
    if (!entry.previousDigest.equals(digest)) {
      reportConflict(
          "entry " + entry.sequence + " is not chained to entry " + last + ", the last one");
      return Outcome.CONFLICT;
    }
    final long sequence = entry.sequence;
    if (!store.append(sequence, bytes, () -> synced(sequence))) {
      return Outcome.FULL;
    }
    apply(entry, bytes);
    synced(synced);
    return Outcome.APPENDED;
  }

  private void synced(final long sequence) {
    synced = Math.max(synced, sequence);
    final long durableThrough = Math.min(synced, last);
    if (durableThrough > lastDurable) {
      lastDurable = durableThrough;
      onDurable.run();
    }
  }

  /**
   * Drops all entries and continues after a newer base, which another replica sends when it has
   * trimmed the entries that this log lacks. Does nothing unless the base is after the last entry.
   */
  public void reset(final long newBase, final String newDigest) {
    if (newBase <= last) {
      return;
    }
    LOGGER.atInfo().log(
        "audit log of %s restarts after entry %s; other replicas have trimmed the older entries",
        self, newBase);
    store.reset(newBase);
    versions.clear();
    base = newBase;
    baseDigest = newDigest;
    last = newBase;
    digest = newDigest;
    lastDurable = newBase;
    synced = newBase;
    onDurable.run();
  }

  /** Counts and logs that the last entry of a peer differs from the entry in this log. */
  public void reportDivergence(final String peer, final long sequence) {
    reportConflict(peer + " has a different entry " + sequence);
  }

  /** The digest of an entry or of the base; null if this log does not contain it. */
  public String digestAt(final long sequence) {
    if (sequence == last) {
      return digest;
    }
    if (sequence == base) {
      return baseDigest;
    }
    if (sequence < base || sequence > last) {
      return null;
    }
    final byte[] bytes = store.read(sequence);
    return bytes == null ? null : AuditEntry.digest(bytes);
  }

  /** The bytes of an entry; null if it is not in the log or cannot be read. */
  public byte[] read(final long sequence) {
    return sequence <= base || sequence > last ? null : store.read(sequence);
  }

  /** The entry that introduced a version of the configuration; null if it is not in the log. */
  public AuditEntry entryForVersion(final long version) {
    final long sequence = versions.sequence(version);
    final byte[] bytes = sequence == 0 ? null : read(sequence);
    return bytes == null ? null : AuditEntry.read(bytes);
  }

  /** The sequence number of the last trimmed entry, which precedes the first one kept; or 0. */
  public long base() {
    return base;
  }

  /** The digest of the entry before the first one kept. */
  public String baseDigest() {
    return baseDigest;
  }

  /** The sequence number of the last entry, or the base if there is none. */
  public long last() {
    return last;
  }

  /** The sequence number up to which all entries are durable. */
  public long lastDurable() {
    return lastDurable;
  }

  /** The digest of the last entry. */
  public String digest() {
    return digest;
  }

  /** The number of conflicts found with entries that were offered and with other replicas. */
  public long conflicts() {
    return conflicts;
  }

  /**
   * The number of entries that were found damaged when the log was opened. Damage reported by the
   * store itself counts as one.
   */
  public long damagedEntries() {
    return damagedEntries;
  }
}
