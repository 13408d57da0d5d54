package weldpoint.wal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/**
 * The ring on a simulated disk that loses power. Each sector that was not synced, and each file
 * whose name was not synced, independently survives or is lost; some writes fail, and the process
 * ends with and without power loss. Everything that was acknowledged must be read again, in order
 * and without a gap; broken variants must be caught.
 */
public final class PowerLossTest {
  private static final int FILES = 3;
  private static final int INITIAL_FILE_BYTES = 2048;
  private static final int MAX_FILE_BYTES = 1 << 16;
  private static final int SECTOR_BYTES = 128;

  private enum Variant {
    CORRECT,
    NO_SYNC,
    NO_NAME_SYNC,
    NO_TAIL
  }

  private static final class Disk implements SegmentRing.Files {
    final byte[][] written = new byte[FILES][];
    final byte[][] durable = new byte[FILES][];
    final boolean[] nameDurable = new boolean[FILES];
    final Random random;
    final Variant variant;
    double failureRate;

    Disk(final Random random, final Variant variant) {
      this.random = random;
      this.variant = variant;
    }

    private void maybeFail() throws IOException {
      if (random.nextDouble() < failureRate) {
        throw new IOException("the disk is full");
      }
    }

    @Override
    public long size(final int file) {
      return written[file] == null ? -1 : written[file].length;
    }

    @Override
    public void read(final int file, final long position, final ByteBuffer bytes) {
      bytes.put(
          written[file],
          (int) position,
          Math.min(bytes.remaining(), written[file].length - (int) position));
    }

    @Override
    public void write(final int file, final long position, final ByteBuffer bytes)
        throws IOException {
      if (random.nextDouble() < failureRate) {
        final int part = random.nextInt(bytes.remaining() + 1);
        bytes.get(written[file], (int) position, part);
        throw new IOException("the disk is full");
      }
      bytes.get(written[file], (int) position, bytes.remaining());
    }

    @Override
    public void sync(final int file) throws IOException {
      maybeFail();
      if (variant != Variant.NO_SYNC) {
        durable[file] = written[file].clone();
      }
    }

    @Override
    public void allocate(final int file, final int size) throws IOException {
      maybeFail();
      if (written[file] == null || written[file].length < size) {
        written[file] = written[file] == null ? new byte[size] : Arrays.copyOf(written[file], size);
        durable[file] = written[file].clone();
      }
    }

    @Override
    public void syncNames() throws IOException {
      maybeFail();
      if (variant != Variant.NO_NAME_SYNC) {
        for (int file = 0; file < FILES; file++) {
          nameDurable[file] |= written[file] != null;
        }
      }
    }

    void losePower() {
      final int mode = random.nextInt(3);
      for (int file = 0; file < FILES; file++) {
        if (written[file] == null) {
          continue;
        }
        if (!nameDurable[file] && random.nextBoolean()) {
          written[file] = null;
          durable[file] = null;
          continue;
        }
        nameDurable[file] = true;
        final byte[] after = Arrays.copyOf(durable[file], durable[file].length);
        for (int at = 0; at < after.length; at += SECTOR_BYTES) {
          if (mode == 1 && random.nextBoolean() || mode == 2 && random.nextInt(8) > 0) {
            System.arraycopy(
                written[file], at, after, at, Math.min(SECTOR_BYTES, after.length - at));
          }
        }
        written[file] = after.clone();
        durable[file] = after;
      }
    }
  }

  private static byte[] bytes(final long number, final int length) {
    final byte[] text = ("#" + number + ".").getBytes(StandardCharsets.UTF_8);
    return Arrays.copyOf(text, Math.max(text.length, length));
  }

  private static long number(final byte[] record) {
    final String text = new String(record, StandardCharsets.UTF_8);
    return Long.parseLong(text.substring(1, text.indexOf('.')));
  }

  /** Runs a ring through several restarts on one disk; returns the failure, or null. */
  private static String runScenario(final long seed, final Variant variant) throws IOException {
    final Random random = new Random(seed);
    final Disk disk = new Disk(random, variant);
    final int keep = 1 + random.nextInt(40);
    long acknowledged = 0;
    long written = 0;
    for (int run = 0; run < 8; run++) {
      disk.failureRate = 0;
      final SegmentRing ring =
          new SegmentRing(disk, "frame 10.0.0.4", FILES, INITIAL_FILE_BYTES, MAX_FILE_BYTES);
      final SegmentRing.Recovered found = ring.open();
      final List<byte[]> records =
          variant == Variant.NO_TAIL
              ? found.records().subList(0, Math.min(keep, found.records().size()))
              : found.records();
      if (found.lost()) {
        return "seed " + seed + " life " + run + ": counts as lost";
      }
      long last = records.isEmpty() ? 0 : number(records.get(0)) - 1;
      for (final byte[] record : records) {
        if (number(record) != last + 1) {
          return "seed " + seed + " life " + run + ": " + number(record) + " follows " + last;
        }
        last++;
      }
      if (last < acknowledged || last > written) {
        return "seed "
            + seed
            + " life "
            + run
            + ": read up to "
            + last
            + ", acknowledged "
            + acknowledged
            + ", written "
            + written;
      }
      final List<byte[]> state =
          new ArrayList<>(records.subList(Math.max(0, records.size() - keep), records.size()));
      written = last;
      disk.failureRate = random.nextInt(3) == 0 ? 0.1 : 0;
      try {
        ring.begin(state);
        for (int batch = random.nextInt(60); batch > 0; batch--) {
          final List<byte[]> news = new ArrayList<>();
          for (int more = random.nextInt(3); more >= 0; more--) {
            news.add(bytes(written + news.size() + 1, random.nextInt(200)));
          }
          if (!ring.fits(news)) {
            ring.rotate(state, SegmentRing.recordBytes(news));
          }
          written += news.size();
          ring.append(news);
          acknowledged = written;
          state.addAll(news);
          while (state.size() > keep) {
            state.remove(0);
          }
        }
      } catch (final IOException refused) {
        assertTrue(refused.getMessage().contains("full"), refused.getMessage());
      }
      if (random.nextInt(3) > 0) {
        disk.losePower();
      }
    }
    return null;
  }

  private static int failures(final Variant variant, final int seeds) throws IOException {
    int faults = 0;
    for (long seed = 1; seed <= seeds; seed++) {
      faults += runScenario(seed, variant) == null ? 0 : 1;
    }
    return faults;
  }

  @Test
  public void whatWasAcknowledgedIsReadAgainAfterAnyLossOfPower() throws IOException {
    for (long seed = 1; seed <= 2000; seed++) {
      assertEquals(runScenario(seed, Variant.CORRECT), null);
    }
  }

  @Test
  public void aRingThatDoesNotSyncIsCaught() throws IOException {
    assertTrue(failures(Variant.NO_SYNC, 200) > 100);
  }

  @Test
  public void aRingThatDoesNotSyncTheNamesOfItsFilesIsCaught() throws IOException {
    assertTrue(failures(Variant.NO_NAME_SYNC, 200) > 50);
  }

  @Test
  public void aSnapshotReadWithoutItsTailIsCaught() throws IOException {
    assertTrue(failures(Variant.NO_TAIL, 200) > 100);
  }
}
