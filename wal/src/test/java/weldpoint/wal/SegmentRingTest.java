package weldpoint.wal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.Test;
import weldpoint.common.WeldpointException;

/** The ring with torn and damaged records, through rotations, and with failing writes. */
public final class SegmentRingTest {
  private static final int FILES = 3;
  private static final int INITIAL_FILE_BYTES = 4096;
  private static final int MAX_FILE_BYTES = 1 << 20;
  private static final String OWNER = "frame 10.0.0.4";

  private static final class InMemoryFiles implements SegmentRing.Files {
    final byte[][] files = new byte[FILES][];
    boolean failing;
    int nameSyncs;

    @Override
    public long size(final int file) {
      return files[file] == null ? -1 : files[file].length;
    }

    @Override
    public void read(final int file, final long position, final ByteBuffer bytes) {
      bytes.put(
          files[file],
          (int) position,
          Math.min(bytes.remaining(), files[file].length - (int) position));
    }

    @Override
    public void write(final int file, final long position, final ByteBuffer bytes)
        throws IOException {
      if (failing) {
        throw new IOException("full");
      }
      bytes.get(files[file], (int) position, bytes.remaining());
    }

    @Override
    public void sync(final int file) {}

    @Override
    public void allocate(final int file, final int size) throws IOException {
      if (failing) {
        throw new IOException("full");
      }
      files[file] =
          files[file] == null
              ? new byte[size]
              : Arrays.copyOf(files[file], Math.max(size, files[file].length));
    }

    @Override
    public void syncNames() {
      nameSyncs++;
    }

    InMemoryFiles copy() {
      final InMemoryFiles copy = new InMemoryFiles();
      for (int index = 0; index < FILES; index++) {
        copy.files[index] = files[index] == null ? null : files[index].clone();
      }
      return copy;
    }
  }

  private static byte[] bytes(final String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static List<String> read(final InMemoryFiles memory, final boolean[] lost)
      throws IOException {
    final SegmentRing.Recovered found =
        new SegmentRing(memory, OWNER, FILES, INITIAL_FILE_BYTES, MAX_FILE_BYTES).open();
    lost[0] = found.lost();
    final List<String> texts = new ArrayList<>();
    found.records().forEach(record -> texts.add(new String(record, StandardCharsets.UTF_8)));
    return texts;
  }

  @Test
  public void aTornTailIsDroppedAndNothingBeforeIt() throws IOException {
    final InMemoryFiles memory = new InMemoryFiles();
    final SegmentRing ring =
        new SegmentRing(memory, OWNER, FILES, INITIAL_FILE_BYTES, MAX_FILE_BYTES);
    assertTrue(ring.open().blank());
    ring.begin(List.of(bytes("view")));
    ring.append(List.of(bytes("one"), bytes("two")));
    final InMemoryFiles before = memory.copy();
    ring.append(
        List.of(
            bytes(
                "three, which is somewhat longer than the others so that it spans a few more bytes")));
    final boolean[] lost = new boolean[1];
    assertEquals(read(memory, lost).size(), 4);
    int whole = 0;
    for (int cut = 0; cut < INITIAL_FILE_BYTES; cut++) {
      final InMemoryFiles torn = before.copy();
      System.arraycopy(memory.files[0], 0, torn.files[0], 0, cut);
      final List<String> texts = read(torn, lost);
      assertFalse(lost[0], "cut at " + cut);
      assertEquals(texts.subList(0, 3), List.of("view", "one", "two"), "cut at " + cut);
      whole += texts.size() - 3;
    }
    assertTrue(whole > 0);
  }

  @Test
  public void aSyncedRecordThatIsDamagedMakesTheDiskCountAsLost() throws IOException {
    final InMemoryFiles memory = new InMemoryFiles();
    final SegmentRing ring =
        new SegmentRing(memory, OWNER, FILES, INITIAL_FILE_BYTES, MAX_FILE_BYTES);
    ring.open();
    ring.begin(List.of(bytes("view")));
    ring.append(List.of(bytes("first")));
    ring.append(List.of(bytes("second")));
    ring.append(List.of(bytes("third")));
    final boolean[] lost = new boolean[1];
    read(memory, lost);
    assertFalse(lost[0]);
    final int at = new String(memory.files[0], StandardCharsets.ISO_8859_1).indexOf("first");
    memory.files[0][at] ^= 1;
    read(memory, lost);
    assertTrue(lost[0]);
  }

  @Test
  public void theRingTurnsAndCarriesTheLiveStateForward() throws IOException {
    final InMemoryFiles memory = new InMemoryFiles();
    final SegmentRing ring =
        new SegmentRing(memory, OWNER, FILES, INITIAL_FILE_BYTES, MAX_FILE_BYTES);
    ring.open();
    ring.begin(List.of(bytes("0")));
    for (int index = 1; index < 500; index++) {
      final List<byte[]> records = List.of(bytes("" + index));
      if (!ring.fits(records)) {
        ring.rotate(List.of(bytes("" + (index - 1))), SegmentRing.recordBytes(records));
      }
      ring.append(records);
      final boolean[] lost = new boolean[1];
      final List<String> texts = read(memory, lost);
      assertFalse(lost[0]);
      assertEquals(texts.get(texts.size() - 1), "" + index);
    }
  }

  @Test
  public void aRefusedWriteIsTriedAgainInTheSamePlace() throws IOException {
    final InMemoryFiles memory = new InMemoryFiles();
    final SegmentRing ring =
        new SegmentRing(memory, OWNER, FILES, INITIAL_FILE_BYTES, MAX_FILE_BYTES);
    ring.open();
    ring.begin(List.of(bytes("view")));
    memory.failing = true;
    boolean refused = false;
    try {
      ring.append(List.of(bytes("one")));
    } catch (final IOException problem) {
      refused = true;
    }
    assertTrue(refused);
    memory.failing = false;
    ring.append(List.of(bytes("one")));
    ring.append(List.of(bytes("two")));
    final boolean[] lost = new boolean[1];
    assertEquals(read(memory, lost), List.of("view", "one", "two"));
    assertFalse(lost[0]);
  }

  /** The files of a ring that was rotated to its second file, with or without a tail there. */
  private static InMemoryFiles rotatedRing(final boolean tail) throws IOException {
    final InMemoryFiles memory = new InMemoryFiles();
    final SegmentRing ring =
        new SegmentRing(memory, OWNER, FILES, INITIAL_FILE_BYTES, MAX_FILE_BYTES);
    ring.open();
    ring.begin(List.of(bytes("old")));
    ring.append(List.of(bytes("one")));
    ring.rotate(List.of(bytes("SNAPSHOT"), bytes("one")), 0);
    if (tail) {
      ring.append(List.of(bytes("two")));
    }
    return memory;
  }

  private static int offset(final InMemoryFiles memory, final int file, final String text) {
    return new String(memory.files[file], StandardCharsets.ISO_8859_1).indexOf(text);
  }

  @Test
  public void aDamagedSnapshotWithATailCountsAsLostWhereverItIsDamaged() throws IOException {
    final boolean[] lost = new boolean[1];
    for (final String part : List.of(OWNER, "SNAPSHOT")) {
      final InMemoryFiles memory = rotatedRing(true);
      memory.files[1][offset(memory, 1, part)] ^= 1;
      read(memory, lost);
      assertTrue(lost[0], part);
    }
    final InMemoryFiles whole = rotatedRing(true);
    assertEquals(read(whole, lost), List.of("SNAPSHOT", "one", "two"));
    assertFalse(lost[0]);
  }

  @Test
  public void aDamagedSnapshotThatNothingFollowedGivesWayToTheOneBeforeWithItsTail()
      throws IOException {
    final InMemoryFiles memory = rotatedRing(false);
    memory.files[1][offset(memory, 1, "SNAPSHOT")] ^= 1;
    final boolean[] lost = new boolean[1];
    assertEquals(read(memory, lost), List.of("old", "one"));
    assertFalse(lost[0]);
  }

  @Test
  public void aSnapshotThatLacksARecordIsNotWhole() throws IOException {
    final InMemoryFiles memory = rotatedRing(true);
    final int head = 128;
    final int from = offset(memory, 1, "one") - 40;
    assertEquals(from % 64, 0);
    System.arraycopy(memory.files[1], head - 64, memory.files[1], from, 0);
    Arrays.fill(memory.files[1], from, from + 64, (byte) 0);
    final boolean[] lost = new boolean[1];
    read(memory, lost);
    assertTrue(lost[0]);
  }

  @Test
  public void aMissingFileOfAWrittenRingCountsAsLost() throws IOException {
    final InMemoryFiles memory = rotatedRing(true);
    memory.files[1] = null;
    final boolean[] lost = new boolean[1];
    read(memory, lost);
    assertTrue(lost[0]);
  }

  @Test
  public void aStateThatOutgrowsItsFileGoesOnAndShrinksAgainWithinABoundOfDisk()
      throws IOException {
    final InMemoryFiles memory = new InMemoryFiles();
    final SegmentRing ring =
        new SegmentRing(memory, OWNER, FILES, INITIAL_FILE_BYTES, MAX_FILE_BYTES);
    ring.open();
    ring.begin(List.of());
    final List<byte[]> state = new ArrayList<>();
    final boolean[] lost = new boolean[1];
    for (int index = 0; index < 4000; index++) {
      final List<byte[]> news = List.of(bytes("record " + index));
      if (!ring.fits(news)) {
        ring.rotate(state, SegmentRing.recordBytes(news));
      }
      ring.append(news);
      state.add(news.get(0));
      if (index % 97 == 0) {
        final List<String> texts = read(memory, lost);
        assertFalse(lost[0]);
        assertEquals(texts.size(), state.size());
        assertEquals(texts.get(texts.size() - 1), "record " + index);
      }
    }
    assertTrue(ring.snapshotBytes() > 100_000, "snapshot of " + ring.snapshotBytes());
    assertTrue(ring.diskBytes() <= 3L * MAX_FILE_BYTES, "disk " + ring.diskBytes());
    ring.rotate(state.subList(0, 3), 0);
    assertEquals(read(memory, lost).size(), 3);
    assertTrue(ring.diskBytes() <= 3L * MAX_FILE_BYTES);
  }

  @Test
  public void aStateBeyondTheBoundIsRefusedWithTheRemedyAndNothingOfItIsUsed() throws IOException {
    final InMemoryFiles memory = new InMemoryFiles();
    final SegmentRing ring =
        new SegmentRing(memory, OWNER, FILES, INITIAL_FILE_BYTES, 4 * INITIAL_FILE_BYTES);
    ring.open();
    ring.begin(List.of(bytes("small")));
    ring.append(List.of(bytes("tail")));
    final List<byte[]> large = List.of(new byte[4 * INITIAL_FILE_BYTES]);
    final IOException refusal =
        org.testng.Assert.expectThrows(IOException.class, () -> ring.rotate(large, 0));
    assertTrue(refusal.getMessage().contains("raise the bound"), refusal.getMessage());
    final boolean[] lost = new boolean[1];
    assertEquals(read(memory, lost), List.of("small", "tail"));
    ring.rotate(List.of(bytes("small again")), 0);
    assertEquals(read(memory, lost), List.of("small again"));
  }

  @Test
  public void aStoreOfALaterFormatOrOfAnotherMachineIsRefusedWithTheRemedy() throws IOException {
    final InMemoryFiles memory = rotatedRing(true);
    final WeldpointException foreign =
        org.testng.Assert.expectThrows(
            WeldpointException.class,
            () ->
                new SegmentRing(memory, "frame 10.0.0.9", FILES, INITIAL_FILE_BYTES, MAX_FILE_BYTES)
                    .open());
    assertTrue(
        foreign.getMessage().contains("holds the store of " + OWNER)
            && foreign.getMessage().contains("give"),
        foreign.getMessage());
    final int at = offset(memory, 1, OWNER) - Integer.BYTES;
    memory.files[1][at + 3] = SegmentRing.FORMAT + 1;
    final ByteBuffer buffer = ByteBuffer.wrap(memory.files[1]);
    final java.util.zip.CRC32 sum = new java.util.zip.CRC32();
    sum.update(memory.files[1], 12, 28 + buffer.getInt(4));
    buffer.putInt(8, (int) sum.getValue());
    final WeldpointException later =
        org.testng.Assert.expectThrows(
            WeldpointException.class,
            () -> new SegmentRing(memory, OWNER, FILES, INITIAL_FILE_BYTES, MAX_FILE_BYTES).open());
    assertTrue(
        later.getMessage().contains("format " + (SegmentRing.FORMAT + 1))
            && later.getMessage().contains("run the release"),
        later.getMessage());
  }

  /** Writes a record in the first format. */
  private static void oldRecord(
      final ByteBuffer buffer,
      final int type,
      final long number,
      final long covered,
      final byte[] payload) {
    final int at = buffer.position();
    buffer
        .putInt(at, 0x7e1d90a7)
        .putInt(at + 4, payload.length)
        .putLong(at + 12, 1)
        .putLong(at + 20, number)
        .putLong(at + 28, covered)
        .put(at + 36, (byte) type);
    System.arraycopy(payload, 0, buffer.array(), at + 40, payload.length);
    final java.util.zip.CRC32 sum = new java.util.zip.CRC32();
    sum.update(buffer.array(), at + 12, 28 + payload.length);
    buffer.putInt(at + 8, (int) sum.getValue());
    buffer.position(at + (40 + payload.length + 63) / 64 * 64);
  }

  @Test
  public void aStoreOfTheFirstFormatIsReadAndItsNamesAreMadeLasting() throws IOException {
    final InMemoryFiles memory = new InMemoryFiles();
    for (int file = 0; file < FILES; file++) {
      memory.allocate(file, INITIAL_FILE_BYTES);
    }
    final ByteBuffer old = ByteBuffer.wrap(memory.files[0]);
    oldRecord(old, 1, 1, 0, bytes("view"));
    oldRecord(old, 2, 2, 0, new byte[0]);
    oldRecord(old, 0, 3, 2, bytes("one"));
    final boolean[] lost = new boolean[1];
    assertEquals(read(memory, lost), List.of("view", "one"));
    assertFalse(lost[0]);
    final SegmentRing ring =
        new SegmentRing(memory, OWNER, FILES, INITIAL_FILE_BYTES, MAX_FILE_BYTES);
    assertFalse(ring.open().blank());
    ring.begin(List.of(bytes("view"), bytes("one")));
    assertEquals(memory.nameSyncs, 1);
    final SegmentRing again =
        new SegmentRing(memory, OWNER, FILES, INITIAL_FILE_BYTES, MAX_FILE_BYTES);
    again.open();
    again.begin(List.of(bytes("view"), bytes("one")));
    assertEquals(memory.nameSyncs, 1, "file names that are durable are not synced again");
    assertEquals(read(memory, lost), List.of("view", "one"));
  }

  @Test
  public void nothingIsAppendedAfterASnapshotThatFailed() throws IOException {
    final InMemoryFiles memory = rotatedRing(true);
    final SegmentRing ring =
        new SegmentRing(memory, OWNER, FILES, INITIAL_FILE_BYTES, MAX_FILE_BYTES);
    ring.open();
    ring.begin(List.of(bytes("a")));
    memory.failing = true;
    assertThrows(IOException.class, () -> ring.rotate(List.of(bytes("b")), 0));
    assertFalse(ring.fits(List.of(bytes("c"))));
    memory.failing = false;
    ring.rotate(List.of(bytes("b")), 0);
    ring.append(List.of(bytes("c")));
    final boolean[] lost = new boolean[1];
    assertEquals(read(memory, lost), List.of("b", "c"));
  }
}
