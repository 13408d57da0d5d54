package weldpoint.wal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** The files of a {@link SegmentRing} in a directory. */
public final class DirectoryFiles implements SegmentRing.Files {
  private static final int ZERO_FILL_BYTES = 1 << 18;

  private final Path folder;
  private final FileChannel[] channels;

  /** Uses this directory, which is created if it is missing. */
  public DirectoryFiles(final Path folder, final int count) throws IOException {
    this.folder = folder;
    this.channels = new FileChannel[count];
    Files.createDirectories(folder);
  }

  private Path path(final int file) {
    return folder.resolve("tape-" + file);
  }

  private FileChannel channel(final int file) throws IOException {
    if (channels[file] == null) {
      channels[file] =
          FileChannel.open(
              path(file),
              StandardOpenOption.READ,
              StandardOpenOption.WRITE,
              StandardOpenOption.CREATE);
    }
    return channels[file];
  }

  @Override
  public long size(final int file) throws IOException {
    return channels[file] == null && !Files.exists(path(file)) ? -1 : channel(file).size();
  }

  @Override
  public void read(final int file, final long position, final ByteBuffer bytes) throws IOException {
    final FileChannel channel = channel(file);
    long at = position;
    while (bytes.hasRemaining()) {
      final int count = channel.read(bytes, at);
      if (count <= 0) {
        return;
      }
      at += count;
    }
  }

  @Override
  public void write(final int file, final long position, final ByteBuffer bytes)
      throws IOException {
    final FileChannel channel = channel(file);
    long at = position;
    while (bytes.hasRemaining()) {
      at += channel.write(bytes, at);
    }
  }

  @Override
  public void sync(final int file) throws IOException {
    channel(file).force(false);
  }

  @Override
  public void allocate(final int file, final int size) throws IOException {
    final FileChannel channel = channel(file);
    long at = channel.size();
    if (at >= size) {
      return;
    }
    final ByteBuffer zeros = ByteBuffer.allocate(ZERO_FILL_BYTES);
    while (at < size) {
      zeros.clear().limit((int) Math.min(ZERO_FILL_BYTES, size - at));
      at += channel.write(zeros, at);
    }
    channel.force(true);
  }

  @Override
  public void syncNames() throws IOException {
    sync(folder);
    if (folder.toAbsolutePath().getParent() != null) {
      sync(folder.toAbsolutePath().getParent());
    }
  }

  /** Syncs a directory, since a sync of its files need not make their names durable. */
  public static void sync(final Path folder) throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }
}
