package weldpoint.common;

import java.io.DataInputStream;
import java.io.FileInputStream;
import java.io.IOException;

/** Numbers that no two lives of any process share. */
public final class RandomIds {
  private RandomIds() {}

  /** A number from the system's source of chance, not below 0. */
  public static long next() {
    try (DataInputStream source = new DataInputStream(new FileInputStream("/dev/urandom"))) {
      return source.readLong() >>> 1;
    } catch (final IOException absent) {
      return new java.security.SecureRandom().nextLong() >>> 1;
    }
  }
}
