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
 * The on-disk format of the write-ahead log: a ring of preallocated files. Each file starts with a
 * snapshot of the live state, written and synced before anything else is appended, followed by a
 * tail of records. A record has the file's generation, its own number, a checksum, and the number
 * up to which all records were known to be synced when it was written. The snapshot starts with the
 * format and the owner of the store, and ends with the number of the last record before it and a
 * checksum of all of it. Once the state exceeds half a file, larger files are used, up to a bound.
 * {@link WriteAheadLog} writes a ring on its own thread.
 */
public final class SegmentRing {
  /** The format that is written; this one and earlier ones can be read. */
  public static final int FORMAT = 2;

  private static final int MAGIC = 0x7e1d90a7;
  private static final int RECORD_HEADER_BYTES = 40;
  private static final int ALIGNMENT = 64;
  private static final int BUFFER_BYTES = 1 << 18;
  private static final byte TYPE_RECORD = 0;
  private static final byte TYPE_SNAPSHOT = 1;
  private static final byte TYPE_SNAPSHOT_END = 2;
  private static final byte TYPE_FILE_HEADER = 3;

  /** The storage of one ring, whose operations may fail. */
  public interface Files {
    /** The size of a file in bytes; -1 if it does not exist. */
    long size(int file) throws IOException;

    /** Reads from a position in a file until the buffer is full or the file ends. */
    void read(int file, long position, ByteBuffer bytes) throws IOException;

    /** Writes the remaining bytes of a buffer at a position in a file. */
    void write(int file, long position, ByteBuffer bytes) throws IOException;

    /** Makes everything written to a file durable. */
    void sync(int file) throws IOException;

    /** Creates or extends a file to at least this size, and makes its size durable. */
    void allocate(int file, int size) throws IOException;

    /** Makes the names of all files durable. */
    void syncNames() throws IOException;
  }

  /**
   * What was found on disk: {@code blank} if there is no readable snapshot, {@code lost} if records
   * that had been synced cannot be read, and the readable records.
   */
  public record Recovered(boolean blank, boolean lost, List<byte[]> records) {}

  private final Files files;
  private final String owner;
  private final int fileCount;
  private final int initialFileBytes;
  private final int maxFileBytes;
  private int currentFile;
  private int capacity;
  private long generation;
  private int position;
  private long lastNumber;
  private long syncedThrough;
  private boolean namesSynced;
  private volatile long snapshots;
  private volatile long damaged;
  private volatile long snapshotBytes;
  private volatile long diskBytes;

  /** A ring of an owner, with files of this initial size that grow up to a maximum size. */
  public SegmentRing(
      final Files files,
      final String owner,
      final int fileCount,
      final int initialFileBytes,
      final int maxFileBytes) {
    this.files = files;
    this.owner = owner;
    this.fileCount = fileCount;
    this.initialFileBytes = initialFileBytes;
    this.maxFileBytes = maxFileBytes;
  }

  /** Reads a file through a window, so that a large file is never in memory as a whole. */
  private final class Reader {
    private final int index;
    private final int length;
    private ByteBuffer window = ByteBuffer.allocate(0);
    private int windowStart;

    private Reader(final int index) throws IOException {
      this.index = index;
      this.length = (int) Math.min(Integer.MAX_VALUE - BUFFER_BYTES, files.size(index));
    }

    private void fillWindow(final int at, final int needed) throws IOException {
      if (at >= windowStart && at + needed <= windowStart + window.limit()) {
        return;
      }
      final int wanted = Math.min(length - at, Math.max(needed, BUFFER_BYTES));
      if (window.capacity() < wanted
          || window.capacity() > 2 * BUFFER_BYTES && needed <= BUFFER_BYTES) {
        window = ByteBuffer.allocate(wanted);
      }
      window.clear().limit(wanted);
      windowStart = at;
      files.read(index, at, window);
      window.limit(window.position());
    }

    /**
     * The record at a position, of this generation or, if negative, of any; null if there is no
     * intact one.
     */
    private StoredRecord recordAt(final int at, final long wantedGeneration) throws IOException {
      if (at < 0 || at + RECORD_HEADER_BYTES > length) {
        return null;
      }
      fillWindow(at, RECORD_HEADER_BYTES);
      if (window.limit() < at - windowStart + RECORD_HEADER_BYTES
          || window.getInt(at - windowStart) != MAGIC) {
        return null;
      }
      final int bytes = window.getInt(at - windowStart + 4);
      if (bytes < 0
          || bytes > length - at - RECORD_HEADER_BYTES
          || wantedGeneration >= 0 && window.getLong(at - windowStart + 12) != wantedGeneration) {
        return null;
      }
      fillWindow(at, RECORD_HEADER_BYTES + bytes);
      final int offset = at - windowStart;
      if (window.limit() < offset + RECORD_HEADER_BYTES + bytes) {
        return null;
      }
      final CRC32 sum = new CRC32();
      sum.update(window.array(), offset + 12, RECORD_HEADER_BYTES - 12 + bytes);
      if ((int) sum.getValue() != window.getInt(offset + 8)) {
        return null;
      }
      final byte[] payload = new byte[bytes];
      System.arraycopy(window.array(), offset + RECORD_HEADER_BYTES, payload, 0, bytes);
      return new StoredRecord(
          window.getLong(offset + 12),
          window.getLong(offset + 20),
          window.getLong(offset + 28),
          window.get(offset + 36),
          payload);
    }
  }

  private record StoredRecord(
      long generation, long number, long syncedThrough, byte type, byte[] payload) {}

  private record Scan(
      long generation,
      int format,
      boolean complete,
      boolean lost,
      List<byte[]> records,
      long last) {}

  /** The highest generation of the tail records in a file; -1 if there are none. */
  private long highestTailGeneration(final Reader reader) throws IOException {
    long highest = -1;
    for (int at = 0; at + RECORD_HEADER_BYTES <= reader.length; at += ALIGNMENT) {
      final StoredRecord record = reader.recordAt(at, -1);
      if (record != null && record.type == TYPE_RECORD) {
        highest = Math.max(highest, record.generation);
      }
    }
    return highest;
  }

  private Scan scan(final Reader reader, final long wantedGeneration) throws IOException {
    final List<byte[]> records = new ArrayList<>();
    final CRC32 checksum = new CRC32();
    boolean ended = false;
    int format = 1;
    int at = 0;
    long last = -1;
    while (true) {
      final StoredRecord record = reader.recordAt(at, wantedGeneration);
      if (record == null || last >= 0 && record.number != last + 1) {
        break;
      }
      if (record.type == TYPE_SNAPSHOT_END && record.payload.length > 0) {
        final ByteBuffer end = ByteBuffer.wrap(record.payload);
        if (end.getLong(8) != records.size() || end.getLong(16) != checksum.getValue()) {
          break;
        }
      }
      last = record.number;
      switch (record.type) {
        case TYPE_FILE_HEADER -> format = checkHeader(record.payload);
        case TYPE_SNAPSHOT_END -> ended = true;
        default -> {
          checksum.update(record.payload);
          records.add(record.payload);
        }
      }
      at += aligned(RECORD_HEADER_BYTES + record.payload.length);
    }
    boolean lost = false;
    for (int ahead = at;
        !lost && ahead + RECORD_HEADER_BYTES <= reader.length;
        ahead += ALIGNMENT) {
      final StoredRecord record = reader.recordAt(ahead, wantedGeneration);
      lost = record != null && (ended ? record.syncedThrough > last : record.type == TYPE_RECORD);
    }
    return new Scan(wantedGeneration, format, ended, lost, records, last);
  }

  private int checkHeader(final byte[] payload) {
    final ByteBuffer header = ByteBuffer.wrap(payload);
    final int format = header.getInt();
    if (format > FORMAT) {
      throw new WeldpointException(
          WeldpointException.Kind.UNREADABLE,
          "the store of "
              + owner
              + " has format "
              + format
              + ", but this release reads only up to "
              + FORMAT
              + "; run the release that wrote it, or start with an empty folder to recover the state from the other replicas");
    }
    final String storedOwner =
        new String(payload, Integer.BYTES, payload.length - Integer.BYTES, StandardCharsets.UTF_8);
    if (!storedOwner.equals(owner)) {
      throw new WeldpointException(
          WeldpointException.Kind.UNREADABLE,
          "the folder of "
              + owner
              + " holds the store of "
              + storedOwner
              + "; give that machine its disk back, and this one its own or an empty folder");
    }
    return format;
  }

  private static int aligned(final int length) {
    return (length + ALIGNMENT - 1) / ALIGNMENT * ALIGNMENT;
  }

  /**
   * Reads the newest complete snapshot with its tail. Nothing may be appended before {@link
   * #begin}.
   */
  public Recovered open() throws IOException {
    final List<long[]> byGeneration = new ArrayList<>();
    long tailGeneration = -1;
    int missing = 0;
    for (int index = 0; index < fileCount; index++) {
      if (files.size(index) < 0) {
        missing++;
        continue;
      }
      final Reader reader = new Reader(index);
      final StoredRecord first = reader.recordAt(0, -1);
      if (first == null) {
        tailGeneration = Math.max(tailGeneration, highestTailGeneration(reader));
      } else {
        byGeneration.add(new long[] {first.generation, index});
      }
    }
    byGeneration.sort(Comparator.comparingLong((long[] candidate) -> candidate[0]).reversed());
    Scan best = null;
    boolean lost = false;
    long highest = Math.max(0, tailGeneration);
    for (final long[] candidate : byGeneration) {
      final Scan scan = scan(new Reader((int) candidate[1]), candidate[0]);
      highest = Math.max(highest, scan.generation);
      lastNumber = Math.max(lastNumber, scan.last);
      lost |= scan.lost;
      if (scan.complete) {
        best = scan;
        currentFile = (int) candidate[1];
        break;
      }
    }
    lost |= tailGeneration > (best == null ? 0 : best.generation);
    lost |= best != null && missing > 0;
    for (int index = 0; best == null && !lost && index < fileCount; index++) {
      lost = files.size(index) >= 0 && highestTailGeneration(new Reader(index)) >= 0;
    }
    damaged = lost ? 1 : 0;
    generation = highest;
    namesSynced = best != null && best.format > 1;
    if (best == null) {
      currentFile = fileCount - 1;
    }
    return new Recovered(best == null, lost, best == null ? List.of() : best.records);
  }

  /** Preallocates the files, and starts the next one with this snapshot of the state. */
  public void begin(final List<byte[]> snapshot) throws IOException {
    for (int index = 0; index < fileCount; index++) {
      files.allocate(index, initialFileBytes);
    }
    if (!namesSynced) {
      files.syncNames();
      namesSynced = true;
    }
    rotate(snapshot, 0);
  }

  /**
   * Starts the next file with this snapshot and room for at least this many bytes of records after
   * it. After a failure, nothing can be appended until a later call has succeeded.
   */
  public void rotate(final List<byte[]> snapshot, final int tailBytes) throws IOException {
    final ByteBuffer header =
        ByteBuffer.allocate(Integer.BYTES + owner.getBytes(StandardCharsets.UTF_8).length);
    header.putInt(FORMAT).put(owner.getBytes(StandardCharsets.UTF_8));
    final int needed =
        recordBytes(snapshot)
            + aligned(RECORD_HEADER_BYTES + header.capacity())
            + aligned(RECORD_HEADER_BYTES + 24);
    final int next = (currentFile + 1) % fileCount;
    int fileBytes = initialFileBytes;
    while (fileBytes < maxFileBytes && (needed > fileBytes / 2 || needed + tailBytes > fileBytes)) {
      fileBytes = Math.min(maxFileBytes, fileBytes * 2);
    }
    if (needed + tailBytes > fileBytes) {
      throw new IOException(
          "the live state of "
              + needed
              + " bytes and "
              + tailBytes
              + " more exceed the maximum of "
              + maxFileBytes
              + " bytes for a file; remove unneeded state, or raise the bound in a release");
    }
    if (files.size(next) < fileBytes) {
      files.allocate(next, fileBytes);
    }
    final long lastBefore = lastNumber;
    capacity = 0;
    generation++;
    try {
      position = writeSnapshot(next, snapshot, header.array(), lastBefore);
    } catch (final IOException problem) {
      lastNumber = lastBefore;
      throw problem;
    }
    currentFile = next;
    capacity = (int) Math.min(maxFileBytes, files.size(next));
    syncedThrough = lastNumber;
    snapshots++;
    snapshotBytes = needed;
    long total = 0;
    for (int index = 0; index < fileCount; index++) {
      total += files.size(index);
    }
    diskBytes = total;
  }

  private int writeSnapshot(
      final int next, final List<byte[]> snapshot, final byte[] header, final long lastBefore)
      throws IOException {
    final Writer writer = new Writer(next);
    writer.put(TYPE_FILE_HEADER, header);
    final CRC32 checksum = new CRC32();
    for (final byte[] record : snapshot) {
      checksum.update(record);
      writer.put(TYPE_SNAPSHOT, record);
    }
    writer.put(
        TYPE_SNAPSHOT_END,
        ByteBuffer.allocate(24)
            .putLong(lastBefore)
            .putLong(snapshot.size())
            .putLong(checksum.getValue())
            .array());
    writer.flush();
    files.sync(next);
    return writer.flushedBytes;
  }

  /** Writes consecutive records to a file through a buffer. */
  private final class Writer {
    private final int index;
    private ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
    private int flushedBytes;

    private Writer(final int index) {
      this.index = index;
    }

    private void put(final byte type, final byte[] record) throws IOException {
      final int bytes = aligned(RECORD_HEADER_BYTES + record.length);
      if (bytes > buffer.remaining()) {
        flush();
        buffer = ByteBuffer.allocate(Math.max(BUFFER_BYTES, bytes));
      }
      SegmentRing.this.put(buffer, type, record);
    }

    private void flush() throws IOException {
      buffer.flip();
      flushedBytes += buffer.remaining();
      files.write(index, flushedBytes - buffer.remaining(), buffer);
    }
  }

  private void put(final ByteBuffer buffer, final byte type, final byte[] record) {
    final int at = buffer.position();
    lastNumber++;
    buffer
        .putInt(at, MAGIC)
        .putInt(at + 4, record.length)
        .putLong(at + 12, generation)
        .putLong(at + 20, lastNumber)
        .putLong(at + 28, syncedThrough)
        .put(at + 36, type);
    System.arraycopy(record, 0, buffer.array(), at + RECORD_HEADER_BYTES, record.length);
    final CRC32 sum = new CRC32();
    sum.update(buffer.array(), at + 12, RECORD_HEADER_BYTES - 12 + record.length);
    buffer.putInt(at + 8, (int) sum.getValue());
    buffer.position(at + aligned(RECORD_HEADER_BYTES + record.length));
  }

  /** The size in bytes of these records on disk. */
  public static int recordBytes(final List<byte[]> records) {
    long needed = 0;
    for (final byte[] record : records) {
      needed += aligned(RECORD_HEADER_BYTES + record.length);
    }
    return (int) Math.min(Integer.MAX_VALUE / 4, needed);
  }

  /** Whether these records fit the current file; if not, call {@link #rotate} first. */
  public boolean fits(final List<byte[]> records) {
    return position + recordBytes(records) <= capacity;
  }

  /** Appends the records and makes them durable. */
  public void append(final List<byte[]> records) throws IOException {
    final int needed = recordBytes(records);
    final ByteBuffer buffer = ByteBuffer.allocate(needed);
    final long before = lastNumber;
    for (final byte[] record : records) {
      put(buffer, TYPE_RECORD, record);
    }
    buffer.clear();
    try {
      files.write(currentFile, position, buffer);
      files.sync(currentFile);
    } catch (final IOException problem) {
      lastNumber = before;
      throw problem;
    }
    position += needed;
    syncedThrough = lastNumber;
  }

  /** The size of all files in bytes. */
  public long diskBytes() {
    return diskBytes;
  }

  /** The maximum size of all files in bytes. */
  public long maxBytes() {
    return (long) fileCount * maxFileBytes;
  }

  /** The size of the last snapshot in bytes. */
  public long snapshotBytes() {
    return snapshotBytes;
  }

  /** The number of snapshots written. */
  public long snapshots() {
    return snapshots;
  }

  /** 1 if {@link #open} found that synced records could not be read, otherwise 0. */
  public long damaged() {
    return damaged;
  }
}
