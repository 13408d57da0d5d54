import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: what was sent, answered and run, with seconds since the start. */
final class Record implements AutoCloseable {
  private final long startedAt = System.nanoTime();
  private final PrintWriter out;

  Record(String file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(Path.of(file)));
  }

  double seconds() {
    return (System.nanoTime() - startedAt) / 1e9;
  }

  synchronized void line(String text) {
    out.printf(Locale.ROOT, "%9.3f s  %s%n", seconds(), text);
    out.flush();
  }

  @Override
  public void close() {
    out.close();
  }
}
