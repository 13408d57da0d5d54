package weldpoint.tape;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** The ring cut at every byte, damaged, turned over, and on a disk that refuses. */
public final class RingTest {
  private static final int COUNT = 3;
  private static final int SIZE = 4096;

  private static final class Memory implements Ring.Files {
    final byte[][] files = new byte[COUNT][];
    boolean refuses;

    @Override
    public byte[] read(final int file) {
      return files[file] == null ? null : files[file].clone();
    }

    @Override
    public void write(final int file, final long position, final ByteBuffer bytes) throws IOException {
      if (refuses) {
        throw new IOException("full");
      }
      bytes.get(files[file], (int) position, bytes.remaining());
    }

    @Override
    public void sync(final int file) {
    }

    @Override
    public void allocate(final int file, final int size) {
      if (files[file] == null) {
        files[file] = new byte[size];
      }
    }

    Memory copy() {
      final Memory copy = new Memory();
      for (int index = 0; index < COUNT; index++) {
        copy.files[index] = files[index] == null ? null : files[index].clone();
      }
      return copy;
    }
  }

  private static byte[] bytes(final String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static List<String> read(final Memory memory, final boolean[] lost) throws IOException {
    final Ring.Found found = new Ring(memory, COUNT, SIZE).open();
    lost[0] = found.lost();
    final List<String> texts = new ArrayList<>();
    found.records().forEach(record -> texts.add(new String(record, StandardCharsets.UTF_8)));
    return texts;
  }

  @Test
  public void aTornTailIsDroppedAndNothingBeforeIt() throws IOException {
    final Memory memory = new Memory();
    final Ring ring = new Ring(memory, COUNT, SIZE);
    assertTrue(ring.open().blank());
    ring.begin(List.of(bytes("view")));
    ring.append(List.of(bytes("one"), bytes("two")));
    final Memory before = memory.copy();
    ring.append(List.of(bytes("three, which is somewhat longer than the others so that it spans a few more bytes")));
    final boolean[] lost = new boolean[1];
    assertEquals(read(memory, lost).size(), 4);
    int whole = 0;
    for (int cut = 0; cut < SIZE; cut++) {
      final Memory torn = before.copy();
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
    final Memory memory = new Memory();
    final Ring ring = new Ring(memory, COUNT, SIZE);
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
    final Memory memory = new Memory();
    final Ring ring = new Ring(memory, COUNT, SIZE);
    ring.open();
    ring.begin(List.of(bytes("0")));
    for (int index = 1; index < 500; index++) {
      final List<byte[]> records = List.of(bytes("" + index));
      if (!ring.fits(records)) {
        ring.turnOver(List.of(bytes("" + (index - 1))));
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
    final Memory memory = new Memory();
    final Ring ring = new Ring(memory, COUNT, SIZE);
    ring.open();
    ring.begin(List.of(bytes("view")));
    memory.refuses = true;
    boolean refused = false;
    try {
      ring.append(List.of(bytes("one")));
    } catch (final IOException problem) {
      refused = true;
    }
    assertTrue(refused);
    memory.refuses = false;
    ring.append(List.of(bytes("one")));
    ring.append(List.of(bytes("two")));
    final boolean[] lost = new boolean[1];
    assertEquals(read(memory, lost), List.of("view", "one", "two"));
    assertFalse(lost[0]);
  }
}
