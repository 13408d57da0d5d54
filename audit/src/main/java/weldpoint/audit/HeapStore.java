package weldpoint.audit;

import java.util.ArrayList;
import java.util.List;

/** Stores entries in memory, for a replica without a disk. Entries are durable at once. */
public final class HeapStore implements AuditStore {
  private final List<byte[]> entries = new ArrayList<>();
  private long base;

  /** Creates an empty store. */
  public HeapStore() {}

  @Override
  public long base() {
    return base;
  }

  @Override
  public long last() {
    return base + entries.size();
  }

  @Override
  public boolean append(final long sequence, final byte[] entry, final Runnable onSynced) {
    entries.add(entry);
    onSynced.run();
    return true;
  }

  @Override
  public byte[] read(final long sequence) {
    return sequence <= base || sequence > last() ? null : entries.get((int) (sequence - base - 1));
  }

  @Override
  public void trim(final long through) {
    if (through > base && through <= last()) {
      entries.subList(0, (int) (through - base)).clear();
      base = through;
    }
  }

  @Override
  public void reset(final long newBase) {
    entries.clear();
    base = newBase;
  }
}
