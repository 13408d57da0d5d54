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
 * A recorded day on disk: compressed, each part delimited, with an end that says how much there
 * must be.
 */
public final class RecordingFile {
  private static final byte[] MAGIC = "weldpoint day 1\n".getBytes(StandardCharsets.UTF_8);

  private RecordingFile() {}

  /**
   * What was in force from a moment on; what did not change is null. Clocks are those of whoever
   * collected the day.
   */
  public static final class ControlSnapshot {
    public final long at;
    public final byte[] spec;
    public final List<Registration> registrations;
    public final List<String> evacuated;

    public ControlSnapshot(
        final long at,
        final byte[] spec,
        final List<Registration> registrations,
        final List<String> evacuated) {
      this.at = at;
      this.spec = spec;
      this.registrations = registrations;
      this.evacuated = evacuated;
    }
  }

  /** A reel, with what must be added to its clock to get the collector's. */
  public static final class TimedBatch {
    public final long offset;
    public final RecordingBatch batch;

    public TimedBatch(final long offset, final RecordingBatch batch) {
      this.offset = offset;
      this.batch = batch;
    }
  }

  /**
   * The end of a whole recording: how many notes it holds, how many were dropped, and how well
   * clocks agree.
   */
  public static final class Trailer {
    public final long notes;
    public final long dropped;
    public final long clockError;
    public final List<String> silent;

    public Trailer(
        final long notes, final long dropped, final long clockError, final List<String> silent) {
      this.notes = notes;
      this.dropped = dropped;
      this.clockError = clockError;
      this.silent = silent;
    }
  }

  private enum Kind {
    CONTROL(ControlSnapshot.class),
    TURN(TimedBatch.class),
    END(Trailer.class);

    private final Class<?> type;

    Kind(final Class<?> type) {
      this.type = type;
    }
  }

  /** Writes a day. */
  public static final class Writer implements Closeable {
    private final OutputStream out;
    private final LinkedBuffer buffer = LinkedBuffer.allocate(4096);

    /** Begins a file. */
    public Writer(final Path path) throws IOException {
      out = new BufferedOutputStream(new GZIPOutputStream(Files.newOutputStream(path), 1 << 16));
      out.write(MAGIC);
    }

    /** Adds a part. */
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

  /** Reads a day, part by part. */
  public static final class Reader implements Closeable {
    private final InputStream in;
    private final Path path;
    private boolean ended;

    /** Opens a file. */
    public Reader(final Path path) {
      this.path = path;
      try {
        in = new BufferedInputStream(new GZIPInputStream(Files.newInputStream(path), 1 << 16));
        final byte[] magic = in.readNBytes(MAGIC.length);
        if (!java.util.Arrays.equals(magic, MAGIC)) {
          throw new WeldpointException(
              WeldpointException.Kind.UNREADABLE,
              path + " is no recorded day of this version; record it anew with this release");
        }
      } catch (final IOException problem) {
        throw new WeldpointException(
            WeldpointException.Kind.UNREADABLE,
            path
                + " cannot be read as a recorded day ("
                + problem.getMessage()
                + "); name a file that weldpoint record wrote");
      }
    }

    /** The next part: a Control, a Turn or the End; null after the end. */
    public Object next() {
      if (ended) {
        return null;
      }
      try {
        final int kind = in.read();
        if (kind < 0) {
          throw new EOFException("no end");
        }
        if (kind >= Kind.values().length) {
          throw new IOException("an unknown part " + kind);
        }
        final Object part = part(Kind.values()[kind].type);
        ended = part instanceof Trailer;
        return part;
      } catch (final EOFException cut) {
        throw new WeldpointException(
            WeldpointException.Kind.UNREADABLE,
            path
                + " is cut short; end the recording before the file is copied, or record the day anew");
      } catch (final IOException | RuntimeException damaged) {
        throw new WeldpointException(
            WeldpointException.Kind.UNREADABLE,
            path
                + " is damaged ("
                + damaged.getMessage()
                + "); copy it again, or record the day anew");
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
