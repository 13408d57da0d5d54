package weldpoint.audit;

/** Storage for the entries of a replica's {@link AuditLog}. */
public interface AuditStore {
  /**
   * The sequence number of the entry before the first one stored; the stored entries follow it
   * without a gap.
   */
  long base();

  /** The sequence number of the last entry stored, or the base if there is none. */
  long last();

  /**
   * Appends the next entry. The callback runs once the entry is durable, in the order of the
   * entries. Returns false if the store is full.
   */
  boolean append(long sequence, byte[] entry, Runnable onSynced);

  /** The bytes of an appended entry; null if it was trimmed or cannot be read. */
  byte[] read(long sequence);

  /** Allows the store to discard the entries up to and including this one. */
  void trim(long through);

  /** Whether entries that had been durable could not be read when the store was opened. */
  default boolean damaged() {
    return false;
  }

  /** Discards all entries; the next entry appended is the one after this base. */
  void reset(long base);
}
