package weldpoint.tape;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;

/**
 * The format on disk: a ring of preallocated files. Each file opens with a whole view of the live state, written before
 * anything else goes there, and goes on with records. A record carries the file's generation, its own number and the
 * number up to which everything was known to be synced when it was written.
 */
public final class Ring {
  private static final int MAGIC = 0x7e1d90a7;
  private static final int HEAD = 40;
  private static final int ALIGNMENT = 64;
  private static final byte PLAIN = 0;
  private static final byte VIEW = 1;
  private static final byte VIEW_END = 2;

  /** The files of one ring, as storage that may fail. */
  public interface Files {
    /** Reads a whole file; null where there is none. */
    byte[] read(int file) throws IOException;

    /** Writes at a place in a file. */
    void write(int file, long position, ByteBuffer bytes) throws IOException;

    /** Makes everything written to a file lasting. */
    void sync(int file) throws IOException;

    /** Makes a file of this size exist. */
    void allocate(int file, int size) throws IOException;
  }

  /** What was found at opening. */
  public record Found(boolean blank, boolean lost, List<byte[]> records) {
  }

  private final Files files;
  private final int count;
  private final int size;
  private int file;
  private long generation;
  private int position;
  private long number;
  private long covered;

  /** A ring of so many files of this size. */
  public Ring(final Files files, final int count, final int size) {
    this.files = files;
    this.count = count;
    this.size = size;
  }

  private record Scan(long generation, boolean whole, boolean lost, List<byte[]> records, int end, long last) {
  }

  private Scan scan(final byte[] bytes) {
    final ByteBuffer buffer = ByteBuffer.wrap(bytes);
    final List<byte[]> records = new ArrayList<>();
    long found = -1;
    boolean whole = false;
    int at = 0;
    long last = 0;
    while (at + HEAD <= bytes.length) {
      final byte[] payload = read(buffer, at, found);
      if (payload == null || found >= 0 && buffer.getLong(at + 20) != last + 1) {
        break;
      }
      found = buffer.getLong(at + 12);
      last = buffer.getLong(at + 20);
      final byte type = buffer.get(at + 36);
      if (type == VIEW_END) {
        whole = true;
      } else {
        records.add(payload);
      }
      at += aligned(HEAD + payload.length);
    }
    boolean lost = false;
    for (int ahead = at; found >= 0 && ahead + HEAD <= bytes.length; ahead += ALIGNMENT) {
      final byte[] payload = read(buffer, ahead, found);
      if (payload != null && buffer.getLong(ahead + 28) > last) {
        lost = true;
        break;
      }
    }
    return new Scan(found, whole, lost, records, at, last);
  }

  private static byte[] read(final ByteBuffer buffer, final int at, final long generation) {
    if (buffer.getInt(at) != MAGIC) {
      return null;
    }
    final int length = buffer.getInt(at + 4);
    if (length < 0 || length > buffer.capacity() - at - HEAD || generation >= 0 && buffer.getLong(at + 12) != generation) {
      return null;
    }
    final CRC32 sum = new CRC32();
    sum.update(buffer.array(), at + 12, HEAD - 12 + length);
    if ((int) sum.getValue() != buffer.getInt(at + 8)) {
      return null;
    }
    final byte[] payload = new byte[length];
    System.arraycopy(buffer.array(), at + HEAD, payload, 0, length);
    return payload;
  }

  private static int aligned(final int length) {
    return (length + ALIGNMENT - 1) / ALIGNMENT * ALIGNMENT;
  }

  /** Reads what is there. Nothing may be appended before {@link #begin}. */
  public Found open() throws IOException {
    Scan best = null;
    boolean lost = false;
    boolean any = false;
    int bestFile = 0;
    long highest = 0;
    final Scan[] scans = new Scan[count];
    for (int index = 0; index < count; index++) {
      final byte[] bytes = files.read(index);
      scans[index] = bytes == null ? null : scan(bytes);
      if (scans[index] != null && scans[index].generation >= 0) {
        any = true;
        highest = Math.max(highest, scans[index].generation);
        number = Math.max(number, scans[index].last);
        if (scans[index].whole && (best == null || scans[index].generation > best.generation)) {
          best = scans[index];
          bestFile = index;
        }
      }
    }
    for (final Scan scan : scans) {
      if (scan != null && scan.generation >= 0 && best != null && scan.generation >= best.generation) {
        lost |= scan.lost;
      }
    }
    if (any && best == null && highest > 1) {
      lost = true;
    }
    generation = highest;
    file = best == null ? count - 1 : bestFile;
    return new Found(best == null, lost, best == null ? List.of() : best.records);
  }

  /** Preallocates the files and starts a fresh one with this view of the state. */
  public void begin(final List<byte[]> view) throws IOException {
    for (int index = 0; index < count; index++) {
      files.allocate(index, size);
    }
    turn(view);
  }

  private void turn(final List<byte[]> view) throws IOException {
    int next = (file + 1) % count;
    generation++;
    position = 0;
    int needed = aligned(HEAD);
    for (final byte[] record : view) {
      needed += aligned(HEAD + record.length);
    }
    if (needed > size / 2) {
      throw new IOException("the live state of " + needed + " bytes does not fit a file of the ring");
    }
    final ByteBuffer buffer = ByteBuffer.allocate(needed);
    for (final byte[] record : view) {
      put(buffer, VIEW, record);
    }
    put(buffer, VIEW_END, new byte[0]);
    buffer.clear();
    files.write(next, 0, buffer);
    files.sync(next);
    file = next;
    position = needed;
    covered = number;
  }

  private void put(final ByteBuffer buffer, final byte type, final byte[] record) {
    final int at = buffer.position();
    number++;
    buffer.putInt(at, MAGIC).putInt(at + 4, record.length).putLong(at + 12, generation).putLong(at + 20, number).putLong(at + 28, covered).put(at + 36, type);
    System.arraycopy(record, 0, buffer.array(), at + HEAD, record.length);
    final CRC32 sum = new CRC32();
    sum.update(buffer.array(), at + 12, HEAD - 12 + record.length);
    buffer.putInt(at + 8, (int) sum.getValue());
    buffer.position(at + aligned(HEAD + record.length));
  }

  /** Whether these records still fit the present file; otherwise {@link #turnOver} comes first. */
  public boolean fits(final List<byte[]> records) {
    int needed = 0;
    for (final byte[] record : records) {
      needed += aligned(HEAD + record.length);
    }
    return position + needed <= size;
  }

  /** Goes on to the next file, which opens with this view. */
  public void turnOver(final List<byte[]> view) throws IOException {
    turn(view);
  }

  /** Writes the records and makes them lasting. */
  public void append(final List<byte[]> records) throws IOException {
    int needed = 0;
    for (final byte[] record : records) {
      needed += aligned(HEAD + record.length);
    }
    final ByteBuffer buffer = ByteBuffer.allocate(needed);
    for (final byte[] record : records) {
      put(buffer, PLAIN, record);
    }
    buffer.clear();
    try {
      files.write(file, position, buffer);
      files.sync(file);
    } catch (final IOException problem) {
      number -= records.size();
      throw problem;
    }
    position += needed;
    covered = number;
  }
}
