package weldpoint.audit;

/** Where a replica keeps its entries. */
public interface AuditStore {
  /** The number of the entry before the first that is kept; entries follow it without a gap. */
  long base();

  /** The number of the last entry kept. */
  long last();

  /**
   * Appends the next entry; the callback runs, in order, once it is lasting. False where there is
   * no room.
   */
  boolean append(long sequence, byte[] entry, Runnable onSynced);

  /** The bytes of an entry that was appended; null where they cannot be read any longer. */
  byte[] read(long sequence);

  /** The entries up to this one may be forgotten. */
  void trim(long through);

  /** Whether entries were found at opening that had been lasting and could not be read. */
  default boolean damaged() {
    return false;
  }

  /** Forgets everything; the next entry appended is the one after this base. */
  void reset(long base);
}
