package weldpoint.transport;

import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import weldpoint.common.WeldpointException;

/**
 * Compresses configurations for storage and sending, without any other change to the operator's
 * text.
 */
public final class Compression {
  private Compression() {}

  /** Compresses bytes. */
  public static byte[] deflate(final byte[] bytes) {
    final Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    deflater.setInput(bytes);
    deflater.finish();
    final ByteArrayOutputStream out = new ByteArrayOutputStream(Math.max(64, bytes.length / 4));
    final byte[] chunk = new byte[4096];
    while (!deflater.finished()) {
      out.write(chunk, 0, deflater.deflate(chunk));
    }
    deflater.end();
    return out.toByteArray();
  }

  /** Restores bytes that {@link #deflate} compressed. */
  public static byte[] inflate(final byte[] bytes) {
    final Inflater inflater = new Inflater();
    inflater.setInput(bytes);
    final ByteArrayOutputStream out = new ByteArrayOutputStream(bytes.length * 6);
    final byte[] chunk = new byte[4096];
    try {
      while (!inflater.finished()) {
        final int got = inflater.inflate(chunk);
        if (got == 0 && !inflater.finished() && inflater.needsInput()) {
          throw new WeldpointException(
              WeldpointException.Kind.UNREADABLE,
              "a stored configuration is truncated; send the configuration again");
        }
        out.write(chunk, 0, got);
      }
    } catch (final DataFormatException problem) {
      throw new WeldpointException(
          WeldpointException.Kind.UNREADABLE,
          "a stored configuration is corrupt; send the configuration again");
    } finally {
      inflater.end();
    }
    return out.toByteArray();
  }
}
