package weldpoint.wal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** A write-ahead log in a real folder, whose state outgrows its files. */
public final class WriteAheadLogTest {
  private static final int INITIAL_FILE_BYTES = 1 << 16;
  private static final int MAX_FILE_BYTES = 1 << 22;

  @BeforeClass
  public void quiet() {
    java.util.logging.Logger.getLogger("").setLevel(java.util.logging.Level.OFF);
  }

  @Test
  public void aStateThatOutgrowsItsFilesIsReadAgain() throws Exception {
    final Path folder = Files.createTempDirectory("tape").resolve("frame");
    final List<byte[]> state = new CopyOnWriteArrayList<>();
    final WriteAheadLog.Opened opened =
        WriteAheadLog.open(
            folder,
            "frame 10.0.0.4",
            3,
            INITIAL_FILE_BYTES,
            MAX_FILE_BYTES,
            Runnable::run,
            () -> List.copyOf(state));
    assertTrue(opened.recovered().blank());
    opened.log().start("tape");
    final CountDownLatch synced = new CountDownLatch(1500);
    for (int number = 0; number < 1500; number++) {
      final byte[] record = ("record " + number + " ".repeat(400)).getBytes(StandardCharsets.UTF_8);
      state.add(record);
      opened.log().append(record, synced::countDown);
      if (number % 100 == 0) {
        Thread.yield();
      }
    }
    assertTrue(synced.await(60, TimeUnit.SECONDS), "not all records became durable");
    final WriteAheadLog.Opened again =
        WriteAheadLog.open(
            folder,
            "frame 10.0.0.4",
            3,
            INITIAL_FILE_BYTES,
            MAX_FILE_BYTES,
            Runnable::run,
            List::of);
    assertFalse(again.recovered().lost());
    final java.util.Set<String> read = new java.util.TreeSet<>();
    again
        .recovered()
        .records()
        .forEach(record -> read.add(new String(record, StandardCharsets.UTF_8).trim()));
    assertEquals(read.size(), 1500);
    long disk = 0;
    for (int file = 0; file < 3; file++) {
      disk += Files.size(folder.resolve("tape-" + file));
    }
    assertTrue(disk > 3L * INITIAL_FILE_BYTES && disk <= 3L * MAX_FILE_BYTES, "disk " + disk);
  }
}
