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
    final int place = Arrays.binarySearch(versions, 0, size, version);
    return place < 0 ? 0 : sequences[place];
  }

  /** Forgets what was taken up to a sequence. */
  void trim(final long through) {
    int gone = Arrays.binarySearch(sequences, 0, size, through + 1);
    gone = gone < 0 ? -gone - 1 : gone;
    System.arraycopy(versions, gone, versions, 0, size - gone);
    System.arraycopy(sequences, gone, sequences, 0, size - gone);
    size -= gone;
  }

  /** Forgets all. */
  void clear() {
    size = 0;
  }
}
