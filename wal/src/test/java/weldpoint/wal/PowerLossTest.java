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
 * The ring on a disk that loses power: of what was not synced, each sector is there or missing by
 * itself, and so is each file whose name was not; some writes are refused, and processes die with
 * and without power. Whatever was acknowledged must be read again, in its order and without a gap;
 * broken variants must be caught.
 */
public final class PowerLossTest {
  private static final int COUNT = 3;
  private static final int SIZE = 2048;
  private static final int MOST = 1 << 16;
  private static final int SECTOR = 128;

  private enum Variant {
    SOUND,
    NO_SYNC,
    NO_NAMES,
    NO_TAIL
  }

  private static final class Disk implements SegmentRing.Files {
    final byte[][] seen = new byte[COUNT][];
    final byte[][] lasting = new byte[COUNT][];
    final boolean[] named = new boolean[COUNT];
    final Random random;
    final Variant variant;
    double refusals;

    Disk(final Random random, final Variant variant) {
      this.random = random;
      this.variant = variant;
    }

    private void mayRefuse() throws IOException {
      if (random.nextDouble() < refusals) {
        throw new IOException("the disk is full");
      }
    }

    @Override
    public long size(final int file) {
      return seen[file] == null ? -1 : seen[file].length;
    }

    @Override
    public void read(final int file, final long position, final ByteBuffer bytes) {
      bytes.put(
          seen[file],
          (int) position,
          Math.min(bytes.remaining(), seen[file].length - (int) position));
    }

    @Override
    public void write(final int file, final long position, final ByteBuffer bytes)
        throws IOException {
      if (random.nextDouble() < refusals) {
        final int part = random.nextInt(bytes.remaining() + 1);
        bytes.get(seen[file], (int) position, part);
        throw new IOException("the disk is full");
      }
      bytes.get(seen[file], (int) position, bytes.remaining());
    }

    @Override
    public void sync(final int file) throws IOException {
      mayRefuse();
      if (variant != Variant.NO_SYNC) {
        lasting[file] = seen[file].clone();
      }
    }

    @Override
    public void allocate(final int file, final int size) throws IOException {
      mayRefuse();
      if (seen[file] == null || seen[file].length < size) {
        seen[file] = seen[file] == null ? new byte[size] : Arrays.copyOf(seen[file], size);
        lasting[file] = seen[file].clone();
      }
    }

    @Override
    public void syncNames() throws IOException {
      mayRefuse();
      if (variant != Variant.NO_NAMES) {
        for (int file = 0; file < COUNT; file++) {
          named[file] |= seen[file] != null;
        }
      }
    }

    void losePower() {
      final int way = random.nextInt(3);
      for (int file = 0; file < COUNT; file++) {
        if (seen[file] == null) {
          continue;
        }
        if (!named[file] && random.nextBoolean()) {
          seen[file] = null;
          lasting[file] = null;
          continue;
        }
        named[file] = true;
        final byte[] after = Arrays.copyOf(lasting[file], lasting[file].length);
        for (int at = 0; at < after.length; at += SECTOR) {
          if (way == 1 && random.nextBoolean() || way == 2 && random.nextInt(8) > 0) {
            System.arraycopy(seen[file], at, after, at, Math.min(SECTOR, after.length - at));
          }
        }
        seen[file] = after.clone();
        lasting[file] = after;
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

  /** One day of a disk; returns what went wrong, or null. */
  private static String day(final long seed, final Variant variant) throws IOException {
    final Random random = new Random(seed);
    final Disk disk = new Disk(random, variant);
    final int keep = 1 + random.nextInt(40);
    long acknowledged = 0;
    long written = 0;
    for (int life = 0; life < 8; life++) {
      disk.refusals = 0;
      final SegmentRing ring = new SegmentRing(disk, "frame 10.0.0.4", COUNT, SIZE, MOST);
      final SegmentRing.Recovered found = ring.open();
      final List<byte[]> records =
          variant == Variant.NO_TAIL
              ? found.records().subList(0, Math.min(keep, found.records().size()))
              : found.records();
      if (found.lost()) {
        return "seed " + seed + " life " + life + ": counts as lost";
      }
      long last = records.isEmpty() ? 0 : number(records.get(0)) - 1;
      for (final byte[] record : records) {
        if (number(record) != last + 1) {
          return "seed " + seed + " life " + life + ": " + number(record) + " follows " + last;
        }
        last++;
      }
      if (last < acknowledged || last > written) {
        return "seed "
            + seed
            + " life "
            + life
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
      disk.refusals = random.nextInt(3) == 0 ? 0.1 : 0;
      try {
        ring.begin(state);
        for (int batch = random.nextInt(60); batch > 0; batch--) {
          final List<byte[]> news = new ArrayList<>();
          for (int more = random.nextInt(3); more >= 0; more--) {
            news.add(bytes(written + news.size() + 1, random.nextInt(200)));
          }
          if (!ring.fits(news)) {
            ring.turnOver(state, SegmentRing.bytes(news));
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

  private static int faults(final Variant variant, final int seeds) throws IOException {
    int faults = 0;
    for (long seed = 1; seed <= seeds; seed++) {
      faults += day(seed, variant) == null ? 0 : 1;
    }
    return faults;
  }

  @Test
  public void whatWasAcknowledgedIsReadAgainAfterAnyLossOfPower() throws IOException {
    for (long seed = 1; seed <= 2000; seed++) {
      assertEquals(day(seed, Variant.SOUND), null);
    }
  }

  @Test
  public void aRingThatDoesNotSyncIsCaught() throws IOException {
    assertTrue(faults(Variant.NO_SYNC, 200) > 100);
  }

  @Test
  public void aRingThatDoesNotSyncTheNamesOfItsFilesIsCaught() throws IOException {
    assertTrue(faults(Variant.NO_NAMES, 200) > 50);
  }

  @Test
  public void aSnapshotReadWithoutItsTailIsCaught() throws IOException {
    assertTrue(faults(Variant.NO_TAIL, 200) > 100);
  }
}
