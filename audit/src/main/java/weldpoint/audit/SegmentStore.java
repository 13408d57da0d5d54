package weldpoint.audit;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.zip.CRC32;

/**
 * Stores entries on disk in a ring of preallocated segment files. A segment has a header followed
 * by records, each with the generation of the segment, its sequence number and a CRC-32. A segment
 * is reused with a higher generation once all of its entries are trimmed. A thread of its own
 * writes and syncs; the owner of the store calls the other methods.
 *
 * <p>Segment header, 32 bytes: magic number (4), CRC-32 of the bytes after it (4), generation (8),
 * sequence number of the first entry (8), whether earlier segments are to be ignored (4), unused
 * (4). Record header, 28 bytes: magic number (4), length of the entry (4), CRC-32 of the bytes
 * after it and the entry (4), generation (8), sequence number (8).
 */
public final class SegmentStore implements AuditStore {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final int MAGIC = 0x7e1da0d1;
  private static final int SEGMENT_HEADER_BYTES = 32;
  private static final int RECORD_HEADER_BYTES = 28;
  private static final int PREALLOCATION_CHUNK_BYTES = 1 << 18;
  private static final long RETRY_INTERVAL_MILLIS = 200;

  /** The number of segments. */
  public static final int SEGMENT_COUNT = 8;

  private record PendingAppend(
      long sequence,
      byte[] entry,
      int segment,
      long generation,
      int position,
      boolean opensSegment,
      boolean resetsLog,
      Runnable onSynced) {}

  private final Path folder;
  private final Executor callbackExecutor;
  private final FileChannel[] channels = new FileChannel[SEGMENT_COUNT];
  private final int segmentBytes;
  private final long[] generations = new long[SEGMENT_COUNT];
  private final long[] lastSequences = new long[SEGMENT_COUNT];
  private final ArrayDeque<PendingAppend> pending = new ArrayDeque<>();
  private final Map<Long, byte[]> unsynced = new HashMap<>();
  private long[] recordIndex = new long[256];
  private long base;
  private long last;
  private long trimmedThrough;
  private long generation;
  private int segment = SEGMENT_COUNT - 1;
  private int position;
  private boolean noSegmentOpen = true;
  private boolean resetPending;
  private boolean damaged;

  /**
   * Opens the existing segments in a folder and recovers their entries. Nothing is created on disk
   * before {@link #start}.
   *
   * @param totalBytes the size of all segments together
   * @param callbackExecutor runs the callbacks of {@link #append}
   * @throws IOException if existing segments cannot be opened or recovered
   */
  public SegmentStore(final Path folder, final long totalBytes, final Executor callbackExecutor)
      throws IOException {
    this.callbackExecutor = callbackExecutor;
    this.segmentBytes = (int) Math.min(1 << 30, totalBytes / SEGMENT_COUNT);
    this.folder = folder;
    for (int number = 0; number < SEGMENT_COUNT; number++) {
      if (Files.exists(segmentFile(number))) {
        channels[number] =
            FileChannel.open(
                segmentFile(number), StandardOpenOption.READ, StandardOpenOption.WRITE);
      }
    }
    recover();
  }

  private Path segmentFile(final int number) {
    return folder.resolve("history-" + number);
  }

  private static int crc32(final ByteBuffer buffer, final int from, final int length) {
    final CRC32 checksum = new CRC32();
    checksum.update(buffer.array(), from, length);
    return (int) checksum.getValue();
  }

  private void recover() throws IOException {
    final List<Integer> order = new ArrayList<>();
    final boolean[] resetsLog = new boolean[SEGMENT_COUNT];
    final long[] firstSequences = new long[SEGMENT_COUNT];
    for (int number = 0; number < SEGMENT_COUNT; number++) {
      final ByteBuffer header = read(number, 0, SEGMENT_HEADER_BYTES);
      if (header != null
          && header.getInt(0) == MAGIC
          && header.getInt(4) == crc32(header, 8, SEGMENT_HEADER_BYTES - 8)) {
        generations[number] = header.getLong(8);
        firstSequences[number] = header.getLong(16);
        resetsLog[number] = header.getInt(24) != 0;
        generation = Math.max(generation, generations[number]);
        order.add(number);
      }
    }
    order.sort(java.util.Comparator.comparingLong(number -> generations[number]));
    boolean broken = false;
    for (final int number : order) {
      if (noSegmentOpen || resetsLog[number]) {
        base = firstSequences[number] - 1;
        last = base;
        recordIndex = new long[256];
        broken = false;
      } else if (broken || firstSequences[number] != last + 1) {
        broken = true;
        eraseHeader(number);
        continue;
      }
      noSegmentOpen = false;
      segment = number;
      broken = scan(number);
      damaged |= broken;
      lastSequences[number] = last;
    }
    if (!noSegmentOpen) {
      // Data that an earlier process wrote but did not sync can be read here and could still be
      // lost in a power failure.
      channels[segment].force(false);
    }
  }

  private boolean scan(final int number) throws IOException {
    final ByteBuffer contents =
        read(number, 0, (int) Math.min(segmentBytes, channels[number].size()));
    int offset = SEGMENT_HEADER_BYTES;
    while (contents != null && offset + RECORD_HEADER_BYTES <= contents.capacity()) {
      final int length = recordLength(contents, offset, generations[number]);
      if (length < 0 || contents.getLong(offset + 20) != last + 1) {
        break;
      }
      last++;
      indexRecord(last, number, offset);
      offset += RECORD_HEADER_BYTES + length;
    }
    position = offset;
    for (int laterOffset = offset;
        contents != null && laterOffset + RECORD_HEADER_BYTES <= contents.capacity();
        laterOffset++) {
      if (contents.getInt(laterOffset) == MAGIC
          && recordLength(contents, laterOffset, generations[number]) >= 0
          && contents.getLong(laterOffset + 20) > last) {
        return true;
      }
    }
    return false;
  }

  private static int recordLength(
      final ByteBuffer buffer, final int offset, final long expectedGeneration) {
    if (buffer.getInt(offset) != MAGIC) {
      return -1;
    }
    final int length = buffer.getInt(offset + 4);
    if (length < 0
        || length > buffer.capacity() - offset - RECORD_HEADER_BYTES
        || buffer.getLong(offset + 12) != expectedGeneration
        || crc32(buffer, offset + 12, RECORD_HEADER_BYTES - 12 + length)
            != buffer.getInt(offset + 8)) {
      return -1;
    }
    return length;
  }

  private void eraseHeader(final int number) throws IOException {
    channels[number].write(ByteBuffer.allocate(SEGMENT_HEADER_BYTES), 0);
    channels[number].force(false);
    generations[number] = 0;
  }

  private ByteBuffer read(final int number, final long from, final int length) {
    if (channels[number] == null) {
      return null;
    }
    try {
      final ByteBuffer buffer = ByteBuffer.allocate(length);
      while (buffer.hasRemaining()) {
        if (channels[number].read(buffer, from + buffer.position()) <= 0) {
          return null;
        }
      }
      return buffer;
    } catch (final IOException problem) {
      LOGGER.atWarning().log(
          "cannot read the audit log from disk (%s); requesting entries from other replicas",
          problem.getMessage());
      return null;
    }
  }

  private void indexRecord(final long sequence, final int number, final int offset) {
    final int slot = (int) (sequence - base - 1);
    if (slot >= recordIndex.length) {
      recordIndex = java.util.Arrays.copyOf(recordIndex, recordIndex.length * 2);
    }
    recordIndex[slot] = (long) number << 32 | offset;
  }

  @Override
  public boolean damaged() {
    return damaged;
  }

  /** Starts the thread that creates the segments and writes and syncs the entries. */
  public void start(final String name) {
    final Thread thread = new Thread(this::run, name);
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public synchronized long base() {
    return base;
  }

  @Override
  public synchronized long last() {
    return last;
  }

  @Override
  public boolean append(final long sequence, final byte[] entry, final Runnable onSynced) {
    synchronized (this) {
      boolean opensSegment = false;
      if (noSegmentOpen || position + RECORD_HEADER_BYTES + entry.length > segmentBytes) {
        final int next = (segment + 1) % SEGMENT_COUNT;
        if (generations[next] != 0 && lastSequences[next] > trimmedThrough && !resetPending
            || SEGMENT_HEADER_BYTES + RECORD_HEADER_BYTES + entry.length > segmentBytes) {
          LOGGER.atSevere().log(
              "the audit log on disk is full; raise audit.disk-mb or lower audit.retention");
          return false;
        }
        segment = next;
        position = SEGMENT_HEADER_BYTES;
        generations[segment] = ++generation;
        opensSegment = true;
        noSegmentOpen = false;
      }
      final int offset = position;
      position += RECORD_HEADER_BYTES + entry.length;
      last = sequence;
      lastSequences[segment] = sequence;
      indexRecord(sequence, segment, offset);
      unsynced.put(sequence, entry);
      pending.add(
          new PendingAppend(
              sequence,
              entry,
              segment,
              generations[segment],
              offset,
              opensSegment,
              opensSegment && resetPending,
              onSynced));
      if (opensSegment) {
        resetPending = false;
      }
      notifyAll();
      return true;
    }
  }

  @Override
  public byte[] read(final long sequence) {
    final long location;
    final long expectedGeneration;
    synchronized (this) {
      if (sequence <= base || sequence > last) {
        return null;
      }
      final byte[] entry = unsynced.get(sequence);
      if (entry != null) {
        return entry;
      }
      location = recordIndex[(int) (sequence - base - 1)];
      expectedGeneration = generations[(int) (location >>> 32)];
    }
    final int number = (int) (location >>> 32);
    final ByteBuffer header = read(number, (int) location, RECORD_HEADER_BYTES);
    final int length = header == null ? -1 : header.getInt(4);
    if (length < 0 || length > segmentBytes) {
      return null;
    }
    final ByteBuffer record = read(number, (int) location, RECORD_HEADER_BYTES + length);
    if (record == null
        || recordLength(record, 0, expectedGeneration) != length
        || record.getLong(20) != sequence) {
      return null;
    }
    final byte[] entry = new byte[length];
    System.arraycopy(record.array(), RECORD_HEADER_BYTES, entry, 0, length);
    return entry;
  }

  @Override
  public void trim(final long through) {
    synchronized (this) {
      trimmedThrough = Math.max(trimmedThrough, through);
      if (through > base && through <= last) {
        final int dropped = (int) (through - base);
        final int kept = (int) (last - through);
        final long[] newIndex =
            new long[Math.max(256, Integer.highestOneBit(Math.max(1, kept)) * 2)];
        System.arraycopy(recordIndex, dropped, newIndex, 0, kept);
        recordIndex = newIndex;
        base = through;
      }
    }
  }

  @Override
  public void reset(final long newBase) {
    synchronized (this) {
      base = newBase;
      last = newBase;
      trimmedThrough = Math.max(trimmedThrough, newBase);
      recordIndex = new long[256];
      noSegmentOpen = true;
      resetPending = true;
    }
  }

  private void run() {
    try {
      retryUntilSuccess(this::preallocate);
      while (true) {
        final List<PendingAppend> batch = new ArrayList<>();
        synchronized (this) {
          while (pending.isEmpty()) {
            wait();
          }
          batch.addAll(pending);
          pending.clear();
        }
        retryUntilSuccess(() -> writeBatch(batch));
        synchronized (this) {
          for (final PendingAppend item : batch) {
            unsynced.remove(item.sequence, item.entry);
          }
        }
        callbackExecutor.execute(
            () -> {
              for (final PendingAppend item : batch) {
                item.onSynced.run();
              }
            });
      }
    } catch (final InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  private interface DiskOperation {
    void run() throws IOException;
  }

  private static void retryUntilSuccess(final DiskOperation operation) throws InterruptedException {
    while (true) {
      try {
        operation.run();
        return;
      } catch (final IOException problem) {
        LOGGER.atWarning().atMostEvery(10, java.util.concurrent.TimeUnit.SECONDS).log(
            "cannot write the audit log to disk (%s); retrying until it succeeds",
            problem.getMessage());
        Thread.sleep(RETRY_INTERVAL_MILLIS);
      }
    }
  }

  private void preallocate() throws IOException {
    final ByteBuffer zeros = ByteBuffer.allocate(PREALLOCATION_CHUNK_BYTES);
    Files.createDirectories(folder);
    for (int number = 0; number < SEGMENT_COUNT; number++) {
      if (channels[number] == null) {
        channels[number] =
            FileChannel.open(
                segmentFile(number),
                StandardOpenOption.READ,
                StandardOpenOption.WRITE,
                StandardOpenOption.CREATE);
      }
      final FileChannel channel = channels[number];
      long offset = channel.size();
      final boolean grows = offset < segmentBytes;
      while (offset < segmentBytes) {
        zeros.clear().limit((int) Math.min(PREALLOCATION_CHUNK_BYTES, segmentBytes - offset));
        offset += channel.write(zeros, offset);
      }
      if (grows) {
        channel.force(true);
      }
    }
    syncDirectory(folder);
    syncDirectory(folder.toAbsolutePath().getParent());
  }

  private static void syncDirectory(final Path folder) throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  private void writeBatch(final List<PendingAppend> batch) throws IOException {
    int from = 0;
    while (from < batch.size()) {
      int until = from;
      int bytes = 0;
      while (until < batch.size() && (until == from || !batch.get(until).opensSegment)) {
        bytes += RECORD_HEADER_BYTES + batch.get(until).entry.length;
        until++;
      }
      final PendingAppend first = batch.get(from);
      final long batchGeneration = first.generation;
      final ByteBuffer buffer =
          ByteBuffer.allocate((first.opensSegment ? SEGMENT_HEADER_BYTES : 0) + bytes);
      if (first.opensSegment) {
        buffer
            .putInt(0, MAGIC)
            .putLong(8, batchGeneration)
            .putLong(16, first.sequence)
            .putInt(24, first.resetsLog ? 1 : 0);
        buffer.putInt(4, crc32(buffer, 8, SEGMENT_HEADER_BYTES - 8));
        buffer.position(SEGMENT_HEADER_BYTES);
      }
      for (final PendingAppend item : batch.subList(from, until)) {
        final int offset = buffer.position();
        buffer
            .putInt(offset, MAGIC)
            .putInt(offset + 4, item.entry.length)
            .putLong(offset + 12, batchGeneration)
            .putLong(offset + 20, item.sequence);
        System.arraycopy(
            item.entry, 0, buffer.array(), offset + RECORD_HEADER_BYTES, item.entry.length);
        buffer.putInt(
            offset + 8, crc32(buffer, offset + 12, RECORD_HEADER_BYTES - 12 + item.entry.length));
        buffer.position(offset + RECORD_HEADER_BYTES + item.entry.length);
      }
      buffer.flip();
      long offset = first.opensSegment ? 0 : first.position;
      while (buffer.hasRemaining()) {
        offset += channels[first.segment].write(buffer, offset);
      }
      channels[first.segment].force(false);
      from = until;
    }
  }
}
