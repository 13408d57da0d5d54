package weldpoint.wal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.zip.CRC32;
import weldpoint.common.WeldpointException;

/**
 * The format on disk: a ring of preallocated files. Each file opens with a snapshot of the live
 * state, written and synced before anything else goes there, and goes on with a tail of records. A
 * record carries the file's generation, its own number, a checksum, and the number up to which
 * everything was known to be synced when it was written. The snapshot begins with the format and
 * whose store this is, and ends with the number up to which it reaches and a checksum of the whole.
 * A state that outgrows half a file goes on in larger files, up to a bound.
 */
public final class SegmentRing {
  /** The format that is written; it and the ones before it are read. */
  public static final int FORMAT = 2;

  private static final int MAGIC = 0x7e1d90a7;
  private static final int HEAD = 40;
  private static final int ALIGNMENT = 64;
  private static final int WINDOW = 1 << 18;
  private static final byte PLAIN = 0;
  private static final byte VIEW = 1;
  private static final byte VIEW_END = 2;
  private static final byte HEADER = 3;

  /** The files of one ring, as storage that may fail. */
  public interface Files {
    /** How many bytes a file has; -1 where there is none. */
    long size(int file) throws IOException;

    /** Reads at a place in a file until the buffer is full or the file ends. */
    void read(int file, long position, ByteBuffer bytes) throws IOException;

    /** Writes at a place in a file. */
    void write(int file, long position, ByteBuffer bytes) throws IOException;

    /** Makes everything written to a file lasting. */
    void sync(int file) throws IOException;

    /** Makes a file of at least this size exist; its size is lasting. */
    void allocate(int file, int size) throws IOException;

    /** Makes the names of all files lasting. */
    void syncNames() throws IOException;
  }

  /**
   * What was found at opening: nothing ever written, or records that had been synced and cannot be
   * read.
   */
  public record Recovered(boolean blank, boolean lost, List<byte[]> records) {}

  private final Files files;
  private final String owner;
  private final int count;
  private final int size;
  private final int most;
  private int file;
  private int capacity;
  private long generation;
  private int position;
  private long number;
  private long covered;
  private boolean named;
  private volatile long snapshots;
  private volatile long damaged;
  private volatile long snapshotBytes;
  private volatile long diskBytes;

  /** A ring of an owner, with so many files of this size, none of which grows beyond the most. */
  public SegmentRing(
      final Files files, final String owner, final int count, final int size, final int most) {
    this.files = files;
    this.owner = owner;
    this.count = count;
    this.size = size;
    this.most = most;
  }

  /** One file read through a window, so that a large one never lies in memory whole. */
  private final class Reader {
    private final int index;
    private final int length;
    private ByteBuffer window = ByteBuffer.allocate(0);
    private int from;

    private Reader(final int index) throws IOException {
      this.index = index;
      this.length = (int) Math.min(Integer.MAX_VALUE - WINDOW, files.size(index));
    }

    private void load(final int at, final int needed) throws IOException {
      if (at >= from && at + needed <= from + window.limit()) {
        return;
      }
      final int wanted = Math.min(length - at, Math.max(needed, WINDOW));
      if (window.capacity() < wanted || window.capacity() > 2 * WINDOW && needed <= WINDOW) {
        window = ByteBuffer.allocate(wanted);
      }
      window.clear().limit(wanted);
      from = at;
      files.read(index, at, window);
      window.limit(window.position());
    }

    /**
     * The record at a place, of this generation or, below 0, of any; null where there is none that
     * is sound.
     */
    private Item item(final int at, final long wanted) throws IOException {
      if (at < 0 || at + HEAD > length) {
        return null;
      }
      load(at, HEAD);
      if (window.limit() < at - from + HEAD || window.getInt(at - from) != MAGIC) {
        return null;
      }
      final int bytes = window.getInt(at - from + 4);
      if (bytes < 0
          || bytes > length - at - HEAD
          || wanted >= 0 && window.getLong(at - from + 12) != wanted) {
        return null;
      }
      load(at, HEAD + bytes);
      final int place = at - from;
      if (window.limit() < place + HEAD + bytes) {
        return null;
      }
      final CRC32 sum = new CRC32();
      sum.update(window.array(), place + 12, HEAD - 12 + bytes);
      if ((int) sum.getValue() != window.getInt(place + 8)) {
        return null;
      }
      final byte[] payload = new byte[bytes];
      System.arraycopy(window.array(), place + HEAD, payload, 0, bytes);
      return new Item(
          window.getLong(place + 12),
          window.getLong(place + 20),
          window.getLong(place + 28),
          window.get(place + 36),
          payload);
    }
  }

  private record Item(long generation, long number, long covered, byte type, byte[] payload) {}

  private record Scan(
      long generation, int format, boolean whole, boolean lost, List<byte[]> records, long last) {}

  /** The highest generation of any record behind a snapshot in a file; -1 where there is none. */
  private long strayGeneration(final Reader reader) throws IOException {
    long found = -1;
    for (int at = 0; at + HEAD <= reader.length; at += ALIGNMENT) {
      final Item item = reader.item(at, -1);
      if (item != null && item.type == PLAIN) {
        found = Math.max(found, item.generation);
      }
    }
    return found;
  }

  private Scan scan(final Reader reader, final long wanted) throws IOException {
    final List<byte[]> records = new ArrayList<>();
    final CRC32 whole = new CRC32();
    boolean ended = false;
    int format = 1;
    int at = 0;
    long last = -1;
    while (true) {
      final Item item = reader.item(at, wanted);
      if (item == null || last >= 0 && item.number != last + 1) {
        break;
      }
      if (item.type == VIEW_END && item.payload.length > 0) {
        final ByteBuffer end = ByteBuffer.wrap(item.payload);
        if (end.getLong(8) != records.size() || end.getLong(16) != whole.getValue()) {
          break;
        }
      }
      last = item.number;
      switch (item.type) {
        case HEADER -> format = check(item.payload);
        case VIEW_END -> ended = true;
        default -> {
          whole.update(item.payload);
          records.add(item.payload);
        }
      }
      at += aligned(HEAD + item.payload.length);
    }
    boolean lost = false;
    for (int ahead = at; !lost && ahead + HEAD <= reader.length; ahead += ALIGNMENT) {
      final Item item = reader.item(ahead, wanted);
      lost = item != null && (ended ? item.covered > last : item.type == PLAIN);
    }
    return new Scan(wanted, format, ended, lost, records, last);
  }

  private int check(final byte[] payload) {
    final ByteBuffer header = ByteBuffer.wrap(payload);
    final int format = header.getInt();
    if (format > FORMAT) {
      throw new WeldpointException(
          WeldpointException.Kind.UNREADABLE,
          "the store of "
              + owner
              + " is of format "
              + format
              + " and this release reads up to "
              + FORMAT
              + "; run the release that wrote it, or give an empty folder to have it fetched again");
    }
    final String whose =
        new String(payload, Integer.BYTES, payload.length - Integer.BYTES, StandardCharsets.UTF_8);
    if (!whose.equals(owner)) {
      throw new WeldpointException(
          WeldpointException.Kind.UNREADABLE,
          "the folder of "
              + owner
              + " holds the store of "
              + whose
              + "; give that machine its disk back, and this one its own or an empty folder");
    }
    return format;
  }

  private static int aligned(final int length) {
    return (length + ALIGNMENT - 1) / ALIGNMENT * ALIGNMENT;
  }

  /**
   * Reads what is there: the newest snapshot that is whole, with its tail. Nothing may be appended
   * before {@link #begin}.
   */
  public Recovered open() throws IOException {
    final List<long[]> order = new ArrayList<>();
    long stray = -1;
    int missing = 0;
    for (int index = 0; index < count; index++) {
      if (files.size(index) < 0) {
        missing++;
        continue;
      }
      final Reader reader = new Reader(index);
      final Item first = reader.item(0, -1);
      if (first == null) {
        stray = Math.max(stray, strayGeneration(reader));
      } else {
        order.add(new long[] {first.generation, index});
      }
    }
    order.sort(Comparator.comparingLong((long[] one) -> one[0]).reversed());
    Scan best = null;
    boolean lost = false;
    long highest = Math.max(0, stray);
    for (final long[] one : order) {
      final Scan scan = scan(new Reader((int) one[1]), one[0]);
      highest = Math.max(highest, scan.generation);
      number = Math.max(number, scan.last);
      lost |= scan.lost;
      if (scan.whole) {
        best = scan;
        file = (int) one[1];
        break;
      }
    }
    lost |= stray > (best == null ? 0 : best.generation);
    lost |= best != null && missing > 0;
    for (int index = 0; best == null && !lost && index < count; index++) {
      lost = files.size(index) >= 0 && strayGeneration(new Reader(index)) >= 0;
    }
    damaged = lost ? 1 : 0;
    generation = highest;
    named = best != null && best.format > 1;
    if (best == null) {
      file = count - 1;
    }
    return new Recovered(best == null, lost, best == null ? List.of() : best.records);
  }

  /** Preallocates the files and starts a fresh one with this snapshot of the state. */
  public void begin(final List<byte[]> snapshot) throws IOException {
    for (int index = 0; index < count; index++) {
      files.allocate(index, size);
    }
    if (!named) {
      files.syncNames();
      named = true;
    }
    turnOver(snapshot, 0);
  }

  /**
   * Goes on to the next file, which opens with this snapshot and has room for so many bytes of
   * records behind it. Where it fails, nothing is appended before it has succeeded.
   */
  public void turnOver(final List<byte[]> snapshot, final int room) throws IOException {
    final ByteBuffer header =
        ByteBuffer.allocate(Integer.BYTES + owner.getBytes(StandardCharsets.UTF_8).length);
    header.putInt(FORMAT).put(owner.getBytes(StandardCharsets.UTF_8));
    final int needed = bytes(snapshot) + aligned(HEAD + header.capacity()) + aligned(HEAD + 24);
    final int next = (file + 1) % count;
    int wanted = size;
    while (wanted < most && (needed > wanted / 2 || needed + room > wanted)) {
      wanted = Math.min(most, wanted * 2);
    }
    if (needed + room > wanted) {
      throw new IOException(
          "the live state of "
              + needed
              + " bytes and "
              + room
              + " more do not fit the bound of "
              + most
              + " bytes for a file; remove what is not needed, or raise the bound in a release");
    }
    if (files.size(next) < wanted) {
      files.allocate(next, wanted);
    }
    final long reach = number;
    capacity = 0;
    generation++;
    try {
      position = write(next, snapshot, header.array(), reach);
    } catch (final IOException problem) {
      number = reach;
      throw problem;
    }
    file = next;
    capacity = (int) Math.min(most, files.size(next));
    covered = number;
    snapshots++;
    snapshotBytes = needed;
    long all = 0;
    for (int index = 0; index < count; index++) {
      all += files.size(index);
    }
    diskBytes = all;
  }

  private int write(
      final int next, final List<byte[]> snapshot, final byte[] header, final long reach)
      throws IOException {
    final Writer writer = new Writer(next);
    writer.put(HEADER, header);
    final CRC32 whole = new CRC32();
    for (final byte[] record : snapshot) {
      whole.update(record);
      writer.put(VIEW, record);
    }
    writer.put(
        VIEW_END,
        ByteBuffer.allocate(24)
            .putLong(reach)
            .putLong(snapshot.size())
            .putLong(whole.getValue())
            .array());
    writer.flush();
    files.sync(next);
    return writer.at;
  }

  /** Puts records one behind the other into a file, some at a time. */
  private final class Writer {
    private final int index;
    private ByteBuffer buffer = ByteBuffer.allocate(WINDOW);
    private int at;

    private Writer(final int index) {
      this.index = index;
    }

    private void put(final byte type, final byte[] record) throws IOException {
      final int bytes = aligned(HEAD + record.length);
      if (bytes > buffer.remaining()) {
        flush();
        buffer = ByteBuffer.allocate(Math.max(WINDOW, bytes));
      }
      SegmentRing.this.put(buffer, type, record);
    }

    private void flush() throws IOException {
      buffer.flip();
      at += buffer.remaining();
      files.write(index, at - buffer.remaining(), buffer);
    }
  }

  private void put(final ByteBuffer buffer, final byte type, final byte[] record) {
    final int at = buffer.position();
    number++;
    buffer
        .putInt(at, MAGIC)
        .putInt(at + 4, record.length)
        .putLong(at + 12, generation)
        .putLong(at + 20, number)
        .putLong(at + 28, covered)
        .put(at + 36, type);
    System.arraycopy(record, 0, buffer.array(), at + HEAD, record.length);
    final CRC32 sum = new CRC32();
    sum.update(buffer.array(), at + 12, HEAD - 12 + record.length);
    buffer.putInt(at + 8, (int) sum.getValue());
    buffer.position(at + aligned(HEAD + record.length));
  }

  /** How many bytes these records take. */
  public static int bytes(final List<byte[]> records) {
    long needed = 0;
    for (final byte[] record : records) {
      needed += aligned(HEAD + record.length);
    }
    return (int) Math.min(Integer.MAX_VALUE / 4, needed);
  }

  /** Whether these records still fit the present file; otherwise {@link #turnOver} comes first. */
  public boolean fits(final List<byte[]> records) {
    return position + bytes(records) <= capacity;
  }

  /** Writes the records and makes them lasting. */
  public void append(final List<byte[]> records) throws IOException {
    final int needed = bytes(records);
    final ByteBuffer buffer = ByteBuffer.allocate(needed);
    final long before = number;
    for (final byte[] record : records) {
      put(buffer, PLAIN, record);
    }
    buffer.clear();
    try {
      files.write(file, position, buffer);
      files.sync(file);
    } catch (final IOException problem) {
      number = before;
      throw problem;
    }
    position += needed;
    covered = number;
  }

  /** The bytes that the files take on disk. */
  public long diskBytes() {
    return diskBytes;
  }

  /** The most bytes that the files may ever take. */
  public long mostBytes() {
    return (long) count * most;
  }

  /** The bytes of the last snapshot. */
  public long snapshotBytes() {
    return snapshotBytes;
  }

  /** Snapshots written. */
  public long snapshots() {
    return snapshots;
  }

  /** 1 where records that had been synced could not be read at opening. */
  public long damaged() {
    return damaged;
  }
}
