package weldpoint.review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, with the milliseconds since the record began. */
final class Record implements AutoCloseable {
  private final long began = System.nanoTime();
  private final PrintWriter out;

  Record(final Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  long now() {
    return (System.nanoTime() - began) / 1_000_000;
  }

  synchronized void note(final String format, final Object... values) {
    final String line = String.format("%7d ", now()) + String.format(format, values);
    out.println(line);
    out.flush();
    System.out.println(line);
  }

  @Override
  public void close() {
    out.close();
  }
}
