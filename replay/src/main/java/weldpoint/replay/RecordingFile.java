package weldpoint.replay;

import io.protostuff.LinkedBuffer;
import io.protostuff.ProtostuffIOUtil;
import io.protostuff.Schema;
import io.protostuff.runtime.RuntimeSchema;
import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import weldpoint.common.WeldpointException;
import weldpoint.transport.RecordingMessages.RecordingBatch;
import weldpoint.transport.RegistryMessages.Registration;

/**
 * The file format of a recording: gzip, a first line that names the version, then length-delimited
 * parts, each after a byte for its kind, and a trailer with the expected number of requests.
 * Written by the command {@code weldpoint record}, read by {@link Replay}.
 */
public final class RecordingFile {
  private static final byte[] MAGIC = "weldpoint day 1\n".getBytes(StandardCharsets.UTF_8);

  private RecordingFile() {}

  /**
   * The control state in force from a time on; what did not change is null. The time is that of the
   * clock of the process that collected the recording.
   */
  public static final class ControlSnapshot {
    public final long at;
    public final byte[] configuration;
    public final List<Registration> registrations;
    public final List<String> evacuatedSites;

    public ControlSnapshot(
        final long at,
        final byte[] configuration,
        final List<Registration> registrations,
        final List<String> evacuatedSites) {
      this.at = at;
      this.configuration = configuration;
      this.registrations = registrations;
      this.evacuatedSites = evacuatedSites;
    }
  }

  /**
   * A batch of recorded requests of one proxy, with the milliseconds to add to the proxy's clock to
   * get the collector's.
   */
  public static final class TimedBatch {
    public final long clockOffsetMillis;
    public final RecordingBatch batch;

    public TimedBatch(final long clockOffsetMillis, final RecordingBatch batch) {
      this.clockOffsetMillis = clockOffsetMillis;
      this.batch = batch;
    }
  }

  /**
   * The end of a complete recording: how many requests it holds, how many were dropped, how far
   * clocks may differ, and which proxies did not report.
   */
  public static final class Trailer {
    public final long requestCount;
    public final long droppedCount;
    public final long clockErrorMillis;
    public final List<String> silentProxies;

    public Trailer(
        final long requestCount,
        final long droppedCount,
        final long clockErrorMillis,
        final List<String> silentProxies) {
      this.requestCount = requestCount;
      this.droppedCount = droppedCount;
      this.clockErrorMillis = clockErrorMillis;
      this.silentProxies = silentProxies;
    }
  }

  // Written as its ordinal, so the order of the constants is part of the file format.
  private enum Kind {
    CONTROL(ControlSnapshot.class),
    BATCH(TimedBatch.class),
    TRAILER(Trailer.class);

    private final Class<?> type;

    Kind(final Class<?> type) {
      this.type = type;
    }
  }

  /** Writes a recording; used by one thread. */
  public static final class Writer implements Closeable {
    private final OutputStream out;
    private final LinkedBuffer buffer = LinkedBuffer.allocate(4096);

    /** Creates the file and writes its first line. */
    public Writer(final Path path) throws IOException {
      out = new BufferedOutputStream(new GZIPOutputStream(Files.newOutputStream(path), 1 << 16));
      out.write(MAGIC);
    }

    /** Appends a part: a control snapshot, a batch or the trailer. */
    @SuppressWarnings("unchecked")
    public <T> void add(final T part) throws IOException {
      for (final Kind kind : Kind.values()) {
        if (kind.type == part.getClass()) {
          out.write(kind.ordinal());
          ProtostuffIOUtil.writeDelimitedTo(
              out, part, (Schema<T>) RuntimeSchema.getSchema(part.getClass()), buffer);
          buffer.clear();
        }
      }
    }

    @Override
    public void close() throws IOException {
      out.close();
    }
  }

  /** Reads a recording, part by part; used by one thread. */
  public static final class Reader implements Closeable {
    private final InputStream in;
    private final Path path;
    private boolean ended;

    /** Opens a file and checks its first line. */
    public Reader(final Path path) {
      this.path = path;
      try {
        in = new BufferedInputStream(new GZIPInputStream(Files.newInputStream(path), 1 << 16));
        final byte[] magic = in.readNBytes(MAGIC.length);
        if (!java.util.Arrays.equals(magic, MAGIC)) {
          throw new WeldpointException(
              WeldpointException.Kind.UNREADABLE,
              path + " is not a recording of this version; record it again with this release");
        }
      } catch (final IOException cause) {
        throw new WeldpointException(
            WeldpointException.Kind.UNREADABLE,
            path
                + " cannot be read as a recording ("
                + cause.getMessage()
                + "); name a file written by weldpoint record");
      }
    }

    /**
     * Returns the next part: a {@link ControlSnapshot}, a {@link TimedBatch} or the {@link
     * Trailer}; null after the trailer.
     */
    public Object next() {
      if (ended) {
        return null;
      }
      try {
        final int kind = in.read();
        if (kind < 0) {
          throw new EOFException("no trailer");
        }
        if (kind >= Kind.values().length) {
          throw new IOException("unknown kind of part " + kind);
        }
        final Object part = part(Kind.values()[kind].type);
        ended = part instanceof Trailer;
        return part;
      } catch (final EOFException truncated) {
        throw new WeldpointException(
            WeldpointException.Kind.UNREADABLE,
            path + " is truncated; end the recording before copying the file, or record again");
      } catch (final IOException | RuntimeException damaged) {
        throw new WeldpointException(
            WeldpointException.Kind.UNREADABLE,
            path + " is damaged (" + damaged.getMessage() + "); copy it again, or record again");
      }
    }

    private <T> T part(final Class<T> type) throws IOException {
      final Schema<T> schema = RuntimeSchema.getSchema(type);
      final T part = schema.newMessage();
      ProtostuffIOUtil.mergeDelimitedFrom(in, part, schema);
      return part;
    }

    @Override
    public void close() throws IOException {
      in.close();
    }
  }
}
