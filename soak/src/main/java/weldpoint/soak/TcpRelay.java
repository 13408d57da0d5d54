package weldpoint.soak;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A TCP relay between two processes that can hold bytes back, delay them, and reset connections
 * instead of passing a response on. An orderly end is passed on as such, anything else as a reset,
 * since the end of a connection may complete a response. Each direction of a connection has its own
 * thread; the settings may be changed from any thread, also while bytes are held back.
 */
final class TcpRelay implements Closeable {
  private static final int BUFFER_BYTES = 16 << 10;
  private static final long BLOCK_POLL_MILLIS = 5;

  private final ServerSocket server;
  private final InetSocketAddress target;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile boolean blocked;
  private volatile boolean closeOnResponse;
  private volatile int delayMillis;
  private volatile boolean closeAfterBlock;
  private volatile boolean closed;

  TcpRelay(final String host, final int port, final InetSocketAddress target) throws IOException {
    this.target = target;
    this.server = new ServerSocket(port, 256, InetAddress.getByName(host));
    start(this::accept, "relay");
  }

  private static void start(final Runnable task, final String name) {
    final Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  /**
   * Sets whether all bytes are held back, in both directions. None are lost, unless {@link
   * #closeAfterBlock} is set.
   */
  void blocked(final boolean enabled) {
    blocked = enabled;
  }

  /** Sets whether connections whose bytes were held back are reset, so that the bytes are lost. */
  void closeAfterBlock(final boolean enabled) {
    closeAfterBlock = enabled;
  }

  /** Sets whether a connection is reset when response bytes arrive on it. */
  void closeOnResponse(final boolean enabled) {
    closeOnResponse = enabled;
  }

  /** Sets the delay of each chunk read, in milliseconds, in both directions. */
  void delayMillis(final int millis) {
    delayMillis = millis;
  }

  private void accept() {
    while (!closed) {
      try {
        final Socket client = server.accept();
        final Socket upstream = new Socket();
        sockets.add(client);
        sockets.add(upstream);
        start(() -> connect(client, upstream), "relay-out");
      } catch (final IOException e) {
        return;
      }
    }
  }

  private void connect(final Socket client, final Socket upstream) {
    try {
      client.setTcpNoDelay(true);
      upstream.connect(target, 1000);
      upstream.setTcpNoDelay(true);
      start(() -> pump(upstream, client, true), "relay-back");
      pump(client, upstream, false);
    } catch (final IOException e) {
      closeSocket(client);
      closeSocket(upstream);
    }
  }

  private void pump(final Socket from, final Socket to, final boolean fromUpstream) {
    final byte[] buffer = new byte[BUFFER_BYTES];
    boolean orderlyEnd = false;
    try {
      final InputStream in = from.getInputStream();
      final OutputStream out = to.getOutputStream();
      int count = in.read(buffer);
      while (count > 0) {
        final boolean wasBlocked = delayOrBlock();
        if (fromUpstream && closeOnResponse || wasBlocked && closeAfterBlock) {
          break;
        }
        out.write(buffer, 0, count);
        out.flush();
        count = in.read(buffer);
      }
      orderlyEnd = count < 0;
    } catch (final IOException e) {
      // both sockets are closed below
    } finally {
      if (!orderlyEnd) {
        resetOnClose(to);
      }
      closeSocket(from);
      closeSocket(to);
    }
  }

  private static void resetOnClose(final Socket socket) {
    try {
      socket.setSoLinger(true, 0);
    } catch (final IOException e) {
      // the socket is closed already
    }
  }

  /** Waits for the delay and while the relay is blocked; returns whether it was blocked. */
  private boolean delayOrBlock() {
    boolean wasBlocked = false;
    try {
      if (delayMillis > 0) {
        Thread.sleep(delayMillis);
      }
      while (blocked && !closed) {
        wasBlocked = true;
        Thread.sleep(BLOCK_POLL_MILLIS);
      }
    } catch (final InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return wasBlocked;
  }

  private void closeSocket(final Socket socket) {
    sockets.remove(socket);
    try {
      socket.close();
    } catch (final IOException e) {
      // the socket is closed already
    }
  }

  @Override
  public void close() throws IOException {
    closed = true;
    server.close();
    sockets.forEach(this::closeSocket);
  }
}
