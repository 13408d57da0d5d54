package weldpoint.audit;

import java.util.Arrays;

/**
 * At which entries of a history the versions of configurations were taken: two numbers a version,
 * both rising.
 */
final class VersionIndex {
  private long[] versions = new long[16];
  private long[] sequences = new long[16];
  private int size;

  /** Adds a version, above all before it, taken at a sequence above all before it. */
  void add(final long version, final long sequence) {
    if (size == versions.length) {
      versions = Arrays.copyOf(versions, size * 2);
      sequences = Arrays.copyOf(sequences, size * 2);
    }
    versions[size] = version;
    sequences[size++] = sequence;
  }

  /** At which sequence a version was taken; 0 where it is not in here. */
  long sequence(final long version) {
    final int position = Arrays.binarySearch(versions, 0, size, version);
    return position < 0 ? 0 : sequences[position];
  }

  /** Forgets what was taken up to a sequence. */
  void trim(final long through) {
    int removed = Arrays.binarySearch(sequences, 0, size, through + 1);
    removed = removed < 0 ? -removed - 1 : removed;
    System.arraycopy(versions, removed, versions, 0, size - removed);
    System.arraycopy(sequences, removed, sequences, 0, size - removed);
    size -= removed;
  }

  /** Forgets all. */
  void clear() {
    size = 0;
  }
}
