package weldpoint.audit;

import java.util.Arrays;

/**
 * Maps each version of the configuration to the sequence number of the audit entry that introduced
 * it, in two sorted arrays: versions and sequence numbers both ascend.
 */
final class VersionIndex {
  private long[] versions = new long[16];
  private long[] sequences = new long[16];
  private int size;

  /** Adds a version; it and its sequence number must be greater than all added before. */
  void add(final long version, final long sequence) {
    if (size == versions.length) {
      versions = Arrays.copyOf(versions, size * 2);
      sequences = Arrays.copyOf(sequences, size * 2);
    }
    versions[size] = version;
    sequences[size++] = sequence;
  }

  /** The sequence number of the entry that introduced a version; 0 if it is not known. */
  long sequence(final long version) {
    final int position = Arrays.binarySearch(versions, 0, size, version);
    return position < 0 ? 0 : sequences[position];
  }

  /** Removes the versions of the entries up to and including this sequence number. */
  void trim(final long through) {
    int removed = Arrays.binarySearch(sequences, 0, size, through + 1);
    removed = removed < 0 ? -removed - 1 : removed;
    System.arraycopy(versions, removed, versions, 0, size - removed);
    System.arraycopy(sequences, removed, sequences, 0, size - removed);
    size -= removed;
  }

  /** Removes all versions. */
  void clear() {
    size = 0;
  }
}
