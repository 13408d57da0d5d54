package weldpoint.audit;

import com.google.common.flogger.FluentLogger;

/** One replica's decided entries: dense, chained, and never changed. */
public final class AuditLog {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** What came of offering an entry. */
  public enum Outcome {
    /** It is the next one and was taken. */
    APPENDED,
    /** It is here already. */
    KNOWN,
    /** Entries before it are missing here. */
    GAP,
    /** Another entry stands here at its place, or it does not follow the one before it. */
    CONFLICT,
    /** The disk has no room for it. */
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

  /** The log of one replica over its store; grown runs whenever more of it has become lasting. */
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
            "the history of %s is damaged from entry %s on; %s entries are fetched again from other replicas",
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
          "entry " + entry.sequence + " names another digest for the trimmed entry " + base);
    }
  }

  private void trim(final AuditEntry entry) {
    final String localDigest = digestAt(entry.trimmedThrough);
    if (localDigest != null && !localDigest.equals(entry.trimmedDigest)) {
      reportConflict(
          "entry " + entry.sequence + " names another digest for entry " + entry.trimmedThrough);
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
        "the history of %s differs: %s; nothing was taken, compare the replicas", self, problem);
  }

  /** Offers a decided entry. */
  public Outcome offer(final byte[] bytes) {
    final AuditEntry entry = AuditEntry.read(bytes);
    if (entry.sequence <= base) {
      return Outcome.KNOWN;
    }
    if (entry.sequence <= last) {
      if (java.util.Arrays.equals(bytes, store.read(entry.sequence))) {
        return Outcome.KNOWN;
      }
      reportConflict("entry " + entry.sequence + " is here with another content");
      return Outcome.CONFLICT;
    }
    if (entry.sequence > last + 1) {
      return Outcome.GAP;
    }
    if (!entry.previousDigest.equals(digest)) {
      reportConflict(
          "entry " + entry.sequence + " does not follow the entry " + last + " that is here");
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

  /** Begins anew behind a base that another replica gives because it keeps nothing older. */
  public void reset(final long newBase, final String newDigest) {
    if (newBase <= last) {
      return;
    }
    LOGGER.atInfo().log(
        "the history of %s begins anew behind entry %s; older ones were trimmed meanwhile",
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

  /** Notes that another replica has another entry at the end of its log. */
  public void reportDivergence(final String peer, final long sequence) {
    reportConflict(peer + " has another entry " + sequence);
  }

  /** The digest of an entry, or of the base; null where it is not known here. */
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

  /** The bytes of an entry; null where they are not here. */
  public byte[] read(final long sequence) {
    return sequence <= base || sequence > last ? null : store.read(sequence);
  }

  /** The entry with which a configuration took this version; null where none is here. */
  public AuditEntry entryForVersion(final long version) {
    final long sequence = versions.sequence(version);
    final byte[] bytes = sequence == 0 ? null : read(sequence);
    return bytes == null ? null : AuditEntry.read(bytes);
  }

  /** The number of the entry before the first kept. */
  public long base() {
    return base;
  }

  /** The digest of the entry before the first kept. */
  public String baseDigest() {
    return baseDigest;
  }

  /** The number of the last entry. */
  public long last() {
    return last;
  }

  /** The number of the last entry that is lasting. */
  public long lastDurable() {
    return lastDurable;
  }

  /** The digest of the last entry. */
  public String digest() {
    return digest;
  }

  /** How often another replica, or an entry offered, differed from what is here. */
  public long conflicts() {
    return conflicts;
  }

  /** How many entries were found damaged at the start. */
  public long damagedEntries() {
    return damagedEntries;
  }
}
