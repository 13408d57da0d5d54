package weldpoint.wal;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

/** The thread that writes a ring: records that wait are written and synced together. */
public final class WriteAheadLog {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final long RETRY_MILLIS = 200;

  private record PendingAppend(byte[] record, Runnable synced) {}

  private final SegmentRing ring;
  private final Executor owner;
  private final Supplier<List<byte[]>> snapshot;
  private List<PendingAppend> waiting = new ArrayList<>();
  private volatile long busySince;
  private volatile boolean failing;
  private volatile long syncs;

  /** A tape whose callbacks and views run on the owner's thread. */
  public WriteAheadLog(
      final SegmentRing ring, final Executor owner, final Supplier<List<byte[]>> snapshot) {
    this.ring = ring;
    this.owner = owner;
    this.snapshot = snapshot;
  }

  /** A tape that was opened, and what was found on it. */
  public record Opened(WriteAheadLog log, SegmentRing.Recovered found) {}

  /**
   * Opens the ring of an owner in a folder, of so many files that begin with these bytes and grow
   * to the most; nothing is written before {@link #start}.
   */
  public static Opened open(
      final Path folder,
      final String ownerName,
      final int fileCount,
      final int initialFileBytes,
      final int maxFileBytes,
      final Executor owner,
      final Supplier<List<byte[]>> snapshot)
      throws IOException {
    final SegmentRing ring =
        new SegmentRing(
            new DirectoryFiles(folder, fileCount),
            ownerName,
            fileCount,
            initialFileBytes,
            maxFileBytes);
    final SegmentRing.Recovered found = ring.open();
    return new Opened(new WriteAheadLog(ring, owner, snapshot), found);
  }

  /** Starts the thread; the ring must have been opened. */
  public void start(final String name) {
    final Thread thread = new Thread(this::run, name);
    thread.setDaemon(true);
    thread.start();
  }

  /** Writes a record; the callback runs once it is lasting. */
  public void append(final byte[] record, final Runnable synced) {
    synchronized (this) {
      waiting.add(new PendingAppend(record, synced));
      notifyAll();
    }
  }

  /** For how many milliseconds the present write has been going on. */
  public long currentWriteMillis() {
    final long since = busySince;
    return since == 0 ? 0 : (System.nanoTime() - since) / 1_000_000;
  }

  /** Whether the disk refuses writes. */
  public boolean failing() {
    return failing;
  }

  /** How many times the disk was synced. */
  public long syncs() {
    return syncs;
  }

  /** What is on disk, as counters. */
  public String counters() {
    return "disk "
        + ring.diskBytes() / 1024
        + " KB snapshot "
        + ring.snapshotBytes() / 1024
        + " KB snapshots "
        + ring.snapshots()
        + " damaged "
        + ring.damaged();
  }

  private List<byte[]> ownerSnapshot() {
    final CompletableFuture<List<byte[]>> future = new CompletableFuture<>();
    owner.execute(
        () -> {
          try {
            future.complete(snapshot.get());
          } catch (final RuntimeException problem) {
            future.completeExceptionally(problem);
          }
        });
    return future.join();
  }

  private void runUntilWritten(final DiskOperation operation) throws InterruptedException {
    while (true) {
      busySince = System.nanoTime();
      try {
        operation.run();
        syncs++;
        busySince = 0;
        if (failing) {
          failing = false;
          LOGGER.atInfo().log("the disk takes writes again");
        }
        return;
      } catch (final IOException problem) {
        if (!failing) {
          failing = true;
          LOGGER.atWarning().log(
              "the disk refuses writes (%s); trying again until it takes them",
              problem.getMessage());
        }
        Thread.sleep(RETRY_MILLIS);
      }
    }
  }

  private interface DiskOperation {
    void run() throws IOException;
  }

  private void run() {
    try {
      runUntilWritten(() -> ring.begin(ownerSnapshot()));
      while (true) {
        final List<PendingAppend> batch;
        synchronized (this) {
          while (waiting.isEmpty()) {
            wait();
          }
          batch = waiting;
          waiting = new ArrayList<>();
        }
        final List<byte[]> records = new ArrayList<>(batch.size());
        for (final PendingAppend item : batch) {
          records.add(item.record);
        }
        if (!ring.fits(records)) {
          final long before = ring.diskBytes();
          runUntilWritten(() -> ring.rotate(ownerSnapshot(), SegmentRing.recordBytes(records)));
          if (ring.diskBytes() > before) {
            LOGGER.atInfo().log(
                "the state has outgrown its files: a snapshot of %s KB, %s KB of disk from now on, %s at most",
                ring.snapshotBytes() / 1024, ring.diskBytes() / 1024, ring.maxBytes() / 1024);
          }
        }
        runUntilWritten(() -> ring.append(records));
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
}
