package weldpoint.wal;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

/**
 * A write-ahead log on a {@link SegmentRing}. Its own thread writes and syncs all queued records
 * together; callbacks and snapshots run on the owner's executor.
 */
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

  /** A log whose callbacks and snapshots run on the owner's executor. */
  public WriteAheadLog(
      final SegmentRing ring, final Executor owner, final Supplier<List<byte[]>> snapshot) {
    this.ring = ring;
    this.owner = owner;
    this.snapshot = snapshot;
  }

  /** An opened log, and what was found on disk. */
  public record Opened(WriteAheadLog log, SegmentRing.Recovered recovered) {}

  /**
   * Opens the ring of an owner in a folder, with files of an initial size in bytes that grow up to
   * a maximum; nothing is written before {@link #start}.
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

  /** Starts the writing thread under this name; the ring must have been opened. */
  public void start(final String name) {
    final Thread thread = new Thread(this::run, name);
    thread.setDaemon(true);
    thread.start();
  }

  /** Queues a record; the callback runs on the owner's executor once the record is durable. */
  public void append(final byte[] record, final Runnable synced) {
    synchronized (this) {
      waiting.add(new PendingAppend(record, synced));
      notifyAll();
    }
  }

  /** How long the current write has lasted, in milliseconds; 0 if there is none. */
  public long currentWriteMillis() {
    final long since = busySince;
    return since == 0 ? 0 : (System.nanoTime() - since) / 1_000_000;
  }

  /** Whether the last write failed and is being retried. */
  public boolean failing() {
    return failing;
  }

  /** The number of successful writes with a sync. */
  public long syncs() {
    return syncs;
  }

  /** The counters of the files on disk, as one line. */
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
          LOGGER.atInfo().log("disk writes succeed again");
        }
        return;
      } catch (final IOException problem) {
        if (!failing) {
          failing = true;
          LOGGER.atWarning().log(
              "disk write failed (%s); retrying until it succeeds; check free space and health of the disk",
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
                "the state has outgrown its log files: snapshot %s KB, files now %s KB on disk, at most %s KB",
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
