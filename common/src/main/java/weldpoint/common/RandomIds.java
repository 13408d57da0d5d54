package weldpoint.common;

import java.io.DataInputStream;
import java.io.FileInputStream;
import java.io.IOException;

/** Random numbers that identify one incarnation of one process. */
public final class RandomIds {
  private RandomIds() {}

  /** Returns a non-negative number from the system's random source. */
  public static long next() {
    try (DataInputStream source = new DataInputStream(new FileInputStream("/dev/urandom"))) {
      return source.readLong() >>> 1;
    } catch (final IOException unavailable) {
      return new java.security.SecureRandom().nextLong() >>> 1;
    }
  }
}
