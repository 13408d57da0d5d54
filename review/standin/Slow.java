package weldpoint.review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A link of a bandwidth and with small windows: what goes to clients through it shares the rate. */
final class Slow implements AutoCloseable {
  private static final int WINDOW = 32 << 10;
  private final ServerSocket server;
  private final InetSocketAddress to;
  private final double bytesPerMilli;
  private long freeAt = System.nanoTime();

  Slow(final String listen, final String to, final double mbps) throws IOException {
    this.to = Http.address(to);
    this.bytesPerMilli = mbps * 125;
    server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(Http.address(listen), 256);
    Upstream.daemon(this::accept);
  }

  private void accept() {
    while (true) {
      try {
        final Socket client = server.accept();
        final Socket inner = new Socket();
        inner.setReceiveBufferSize(WINDOW);
        client.setSendBufferSize(WINDOW);
        client.setTcpNoDelay(true);
        inner.setTcpNoDelay(true);
        Upstream.daemon(() -> open(client, inner));
      } catch (final IOException closed) {
        return;
      }
    }
  }

  private void open(final Socket client, final Socket inner) {
    try {
      inner.connect(to, 1000);
    } catch (final IOException refused) {
      reset(client);
      return;
    }
    Upstream.daemon(() -> pump(client, inner, false));
    pump(inner, client, true);
  }

  private static void reset(final Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (final IOException closed) {
      // it is closed
    }
  }

  /** Waits until so many bytes have passed the link. */
  private void pass(final int bytes) throws InterruptedException {
    final long due;
    synchronized (this) {
      freeAt = Math.max(freeAt, System.nanoTime()) + (long) (bytes / bytesPerMilli * 1_000_000);
      due = freeAt;
    }
    final long left = due - System.nanoTime();
    if (left > 0) {
      Thread.sleep(left / 1_000_000, (int) (left % 1_000_000));
    }
  }

  private void pump(final Socket from, final Socket into, final boolean slow) {
    final byte[] bytes = new byte[1448];
    try {
      final InputStream in = from.getInputStream();
      final OutputStream out = into.getOutputStream();
      for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
        if (slow) {
          pass(count);
        }
        out.write(bytes, 0, count);
      }
      into.shutdownOutput();
    } catch (final IOException ended) {
      reset(from);
      reset(into);
    } catch (final InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
