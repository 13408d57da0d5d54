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
 * Entries on disk: a ring of preallocated segments, each with a head and then records that carry
 * its generation, their number and a checksum. One thread writes; whoever owns the store reads.
 */
public final class SegmentStore implements AuditStore {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final int MAGIC = 0x7e1da0d1;
  private static final int HEAD = 32;
  private static final int RECORD = 28;
  private static final int CHUNK = 1 << 18;
  private static final long RETRY_MILLIS = 200;

  /** The segments there are. */
  public static final int SEGMENTS = 8;

  private record PendingAppend(
      long sequence,
      byte[] entry,
      int segment,
      long generation,
      int position,
      boolean opens,
      boolean resets,
      Runnable synced) {}

  private final Path folder;
  private final Executor owner;
  private final FileChannel[] channels = new FileChannel[SEGMENTS];
  private final int size;
  private final long[] generations = new long[SEGMENTS];
  private final long[] lasts = new long[SEGMENTS];
  private final ArrayDeque<PendingAppend> waiting = new ArrayDeque<>();
  private final Map<Long, byte[]> unsynced = new HashMap<>();
  private long[] index = new long[256];
  private long base;
  private long last;
  private long trimmed;
  private long generation;
  private int segment = SEGMENTS - 1;
  private int position;
  private boolean fresh = true;
  private boolean resets;
  private boolean damaged;

  /**
   * Opens the segments in a folder, of so many bytes together; callbacks run on the owner's thread.
   * Nothing is made on disk before the start.
   */
  public SegmentStore(final Path folder, final long bytes, final Executor owner)
      throws IOException {
    this.owner = owner;
    this.size = (int) Math.min(1 << 30, bytes / SEGMENTS);
    this.folder = folder;
    for (int number = 0; number < SEGMENTS; number++) {
      if (Files.exists(file(number))) {
        channels[number] =
            FileChannel.open(file(number), StandardOpenOption.READ, StandardOpenOption.WRITE);
      }
    }
    open();
  }

  private Path file(final int number) {
    return folder.resolve("history-" + number);
  }

  private static int sum(final ByteBuffer buffer, final int from, final int length) {
    final CRC32 sum = new CRC32();
    sum.update(buffer.array(), from, length);
    return (int) sum.getValue();
  }

  private void open() throws IOException {
    final List<Integer> order = new ArrayList<>();
    final boolean[] resetting = new boolean[SEGMENTS];
    final long[] firsts = new long[SEGMENTS];
    for (int number = 0; number < SEGMENTS; number++) {
      final ByteBuffer head = read(number, 0, HEAD);
      if (head != null && head.getInt(0) == MAGIC && head.getInt(4) == sum(head, 8, HEAD - 8)) {
        generations[number] = head.getLong(8);
        firsts[number] = head.getLong(16);
        resetting[number] = head.getInt(24) != 0;
        generation = Math.max(generation, generations[number]);
        order.add(number);
      }
    }
    order.sort(java.util.Comparator.comparingLong(number -> generations[number]));
    boolean broken = false;
    for (final int number : order) {
      if (fresh || resetting[number]) {
        base = firsts[number] - 1;
        last = base;
        index = new long[256];
        broken = false;
      } else if (broken || firsts[number] != last + 1) {
        broken = true;
        blank(number);
        continue;
      }
      fresh = false;
      segment = number;
      broken = scan(number);
      damaged |= broken;
      lasts[number] = last;
    }
    if (!fresh) {
      // What a process wrote and did not sync before it ended may be read here and still be lost
      // with the power.
      channels[segment].force(false);
    }
  }

  private boolean scan(final int number) throws IOException {
    final ByteBuffer all = read(number, 0, (int) Math.min(size, channels[number].size()));
    int at = HEAD;
    while (all != null && at + RECORD <= all.capacity()) {
      final int length = record(all, at, generations[number]);
      if (length < 0 || all.getLong(at + 20) != last + 1) {
        break;
      }
      last++;
      place(last, number, at);
      at += RECORD + length;
    }
    position = at;
    for (int ahead = at; all != null && ahead + RECORD <= all.capacity(); ahead++) {
      if (all.getInt(ahead) == MAGIC
          && record(all, ahead, generations[number]) >= 0
          && all.getLong(ahead + 20) > last) {
        return true;
      }
    }
    return false;
  }

  private static int record(final ByteBuffer buffer, final int at, final long wanted) {
    if (buffer.getInt(at) != MAGIC) {
      return -1;
    }
    final int length = buffer.getInt(at + 4);
    if (length < 0
        || length > buffer.capacity() - at - RECORD
        || buffer.getLong(at + 12) != wanted
        || sum(buffer, at + 12, RECORD - 12 + length) != buffer.getInt(at + 8)) {
      return -1;
    }
    return length;
  }

  private void blank(final int number) throws IOException {
    channels[number].write(ByteBuffer.allocate(HEAD), 0);
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
          "the history cannot be read from disk (%s); other replicas are asked",
          problem.getMessage());
      return null;
    }
  }

  private void place(final long sequence, final int number, final int at) {
    final int slot = (int) (sequence - base - 1);
    if (slot >= index.length) {
      index = java.util.Arrays.copyOf(index, index.length * 2);
    }
    index[slot] = (long) number << 32 | at;
  }

  @Override
  public boolean damaged() {
    return damaged;
  }

  /** Starts the writing thread. */
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
  public boolean append(final long sequence, final byte[] entry, final Runnable synced) {
    synchronized (this) {
      boolean opens = false;
      if (fresh || position + RECORD + entry.length > size) {
        final int next = (segment + 1) % SEGMENTS;
        if (generations[next] != 0 && lasts[next] > trimmed && !resets
            || HEAD + RECORD + entry.length > size) {
          LOGGER.atSevere().log(
              "the segments of the history are full; raise audit.disk-mb or lower audit.retention");
          return false;
        }
        segment = next;
        position = HEAD;
        generations[segment] = ++generation;
        opens = true;
        fresh = false;
      }
      final int at = position;
      position += RECORD + entry.length;
      last = sequence;
      lasts[segment] = sequence;
      place(sequence, segment, at);
      unsynced.put(sequence, entry);
      waiting.add(
          new PendingAppend(
              sequence, entry, segment, generations[segment], at, opens, opens && resets, synced));
      if (opens) {
        resets = false;
      }
      notifyAll();
      return true;
    }
  }

  @Override
  public byte[] read(final long sequence) {
    final long place;
    final long wanted;
    synchronized (this) {
      if (sequence <= base || sequence > last) {
        return null;
      }
      final byte[] entry = unsynced.get(sequence);
      if (entry != null) {
        return entry;
      }
      place = index[(int) (sequence - base - 1)];
      wanted = generations[(int) (place >>> 32)];
    }
    final int number = (int) (place >>> 32);
    final ByteBuffer head = read(number, (int) place, RECORD);
    final int length = head == null ? -1 : head.getInt(4);
    if (length < 0 || length > size) {
      return null;
    }
    final ByteBuffer record = read(number, (int) place, RECORD + length);
    if (record == null || record(record, 0, wanted) != length || record.getLong(20) != sequence) {
      return null;
    }
    final byte[] entry = new byte[length];
    System.arraycopy(record.array(), RECORD, entry, 0, length);
    return entry;
  }

  @Override
  public void trim(final long through) {
    synchronized (this) {
      trimmed = Math.max(trimmed, through);
      if (through > base && through <= last) {
        final int drop = (int) (through - base);
        final int kept = (int) (last - through);
        final long[] next = new long[Math.max(256, Integer.highestOneBit(Math.max(1, kept)) * 2)];
        System.arraycopy(index, drop, next, 0, kept);
        index = next;
        base = through;
      }
    }
  }

  @Override
  public void reset(final long newBase) {
    synchronized (this) {
      base = newBase;
      last = newBase;
      trimmed = Math.max(trimmed, newBase);
      index = new long[256];
      fresh = true;
      resets = true;
    }
  }

  private void run() {
    try {
      attempt(this::preallocate);
      while (true) {
        final List<PendingAppend> batch = new ArrayList<>();
        synchronized (this) {
          while (waiting.isEmpty()) {
            wait();
          }
          batch.addAll(waiting);
          waiting.clear();
        }
        attempt(() -> write(batch));
        synchronized (this) {
          for (final PendingAppend item : batch) {
            unsynced.remove(item.sequence, item.entry);
          }
        }
        owner.execute(
            () -> {
              for (final PendingAppend item : batch) {
                item.synced.run();
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

  private static void attempt(final DiskOperation deed) throws InterruptedException {
    while (true) {
      try {
        deed.run();
        return;
      } catch (final IOException problem) {
        LOGGER.atWarning().atMostEvery(10, java.util.concurrent.TimeUnit.SECONDS).log(
            "the disk refuses the history (%s); trying again until it takes it",
            problem.getMessage());
        Thread.sleep(RETRY_MILLIS);
      }
    }
  }

  private void preallocate() throws IOException {
    final ByteBuffer zeros = ByteBuffer.allocate(CHUNK);
    Files.createDirectories(folder);
    for (int number = 0; number < SEGMENTS; number++) {
      if (channels[number] == null) {
        channels[number] =
            FileChannel.open(
                file(number),
                StandardOpenOption.READ,
                StandardOpenOption.WRITE,
                StandardOpenOption.CREATE);
      }
      final FileChannel channel = channels[number];
      long at = channel.size();
      final boolean grows = at < size;
      while (at < size) {
        zeros.clear().limit((int) Math.min(CHUNK, size - at));
        at += channel.write(zeros, at);
      }
      if (grows) {
        channel.force(true);
      }
    }
    syncNames(folder);
    syncNames(folder.toAbsolutePath().getParent());
  }

  private static void syncNames(final Path folder) throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  private void write(final List<PendingAppend> batch) throws IOException {
    int from = 0;
    while (from < batch.size()) {
      int until = from;
      int bytes = 0;
      while (until < batch.size() && (until == from || !batch.get(until).opens)) {
        bytes += RECORD + batch.get(until).entry.length;
        until++;
      }
      final PendingAppend first = batch.get(from);
      final long writes = first.generation;
      final ByteBuffer buffer = ByteBuffer.allocate((first.opens ? HEAD : 0) + bytes);
      if (first.opens) {
        buffer
            .putInt(0, MAGIC)
            .putLong(8, writes)
            .putLong(16, first.sequence)
            .putInt(24, first.resets ? 1 : 0);
        buffer.putInt(4, sum(buffer, 8, HEAD - 8));
        buffer.position(HEAD);
      }
      for (final PendingAppend item : batch.subList(from, until)) {
        final int at = buffer.position();
        buffer
            .putInt(at, MAGIC)
            .putInt(at + 4, item.entry.length)
            .putLong(at + 12, writes)
            .putLong(at + 20, item.sequence);
        System.arraycopy(item.entry, 0, buffer.array(), at + RECORD, item.entry.length);
        buffer.putInt(at + 8, sum(buffer, at + 12, RECORD - 12 + item.entry.length));
        buffer.position(at + RECORD + item.entry.length);
      }
      buffer.flip();
      long at = first.opens ? 0 : first.position;
      while (buffer.hasRemaining()) {
        at += channels[first.segment].write(buffer, at);
      }
      channels[first.segment].force(false);
      from = until;
    }
  }
}
