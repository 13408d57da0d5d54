package weldpoint.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Locale;
import java.util.Random;
import java.util.function.BooleanSupplier;

/**
 * A client behind a slow link. It downloads large responses chunk by chunk, pauses between
 * downloads and keeps its connection to a proxy open until that fails. Runs in a thread of its own,
 * started by {@link Workload}.
 */
final class SlowReader {
  /** Time limit for one download, also sent to the proxy as the request's deadline. */
  static final int TIMEOUT_MILLIS = 2500;

  private static final int RECEIVE_BUFFER_BYTES = 8 << 10;
  private static final int CHUNK_BYTES = 16 << 10;
  private static final int MAX_CHUNKS = 40;
  private static final int CHUNK_INTERVAL_MILLIS = 25;
  private static final int MAX_THINK_TIME_MILLIS = 500;
  private static final int CONNECT_TIMEOUT_MILLIS = 1000;
  private static final int RECONNECT_DELAY_MILLIS = 100;

  private final LocalFleet fleet;
  private final Random random;
  private final Collection<LargeDownload> downloads;
  private final BooleanSupplier stopped;

  SlowReader(
      final LocalFleet fleet,
      final long seed,
      final Collection<LargeDownload> downloads,
      final BooleanSupplier stopped) {
    this.fleet = fleet;
    this.random = new Random(seed);
    this.downloads = downloads;
    this.stopped = stopped;
  }

  /** Downloads over one connection after the other until the workload is stopped. */
  void run() {
    while (!stopped.getAsBoolean()) {
      final int proxy = random.nextInt(fleet.size().proxies());
      try (Socket socket = new Socket()) {
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        final String address = fleet.proxyAddress(proxy);
        final int colon = address.lastIndexOf(':');
        socket.connect(
            new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
            CONNECT_TIMEOUT_MILLIS);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        final InputStream in = new BufferedInputStream(socket.getInputStream(), CHUNK_BYTES);
        while (!stopped.getAsBoolean() && download(socket, in, proxy)) {
          Thread.sleep(random.nextInt(MAX_THINK_TIME_MILLIS));
        }
      } catch (final IOException e) {
        pauseBeforeReconnect();
      } catch (final InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private static void pauseBeforeReconnect() {
    try {
      Thread.sleep(RECONNECT_DELAY_MILLIS);
    } catch (final InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Downloads one response; returns false if the connection cannot be reused. */
  private boolean download(final Socket socket, final InputStream in, final int proxy)
      throws IOException {
    final String attemptId = fleet.attemptId();
    final int bytes = CHUNK_BYTES * (1 + random.nextInt(MAX_CHUNKS));
    socket
        .getOutputStream()
        .write(
            ("GET "
                    + LocalFleet.LARGE_DOWNLOAD_PATH
                    + "1?size="
                    + bytes
                    + " HTTP/1.1\r\nHost: "
                    + LocalFleet.HOST
                    + "\r\nWeldpoint-Attempt-Id: "
                    + attemptId
                    + "\r\nWeldpoint-Deadline-Ms: "
                    + TIMEOUT_MILLIS
                    + "\r\nAuthorization: Bearer "
                    + Workload.UNLIMITED_API_KEY
                    + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
    final long sentAt = Clock.millis();
    boolean complete = false;
    boolean keepAlive = false;
    try {
      final String head = readHead(in);
      complete = readBody(in, contentLength(head), sentAt);
      keepAlive = complete && !head.contains("\r\nconnection: close");
    } catch (final IOException e) {
      complete = false;
    }
    downloads.add(new LargeDownload(attemptId, proxy, sentAt, Clock.millis(), complete));
    return keepAlive;
  }

  /** Reads the status line and headers of a response, in lower case. */
  private static String readHead(final InputStream in) throws IOException {
    final StringBuilder head = new StringBuilder();
    while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
      final int next = in.read();
      if (next < 0) {
        throw new IOException("connection closed before the end of the response headers");
      }
      head.append((char) next);
    }
    return head.toString().toLowerCase(Locale.ROOT);
  }

  private static int contentLength(final String head) throws IOException {
    final String name = "\r\ncontent-length: ";
    final int start = head.indexOf(name);
    if (start < 0) {
      throw new IOException("response without Content-Length: " + head);
    }
    final int from = start + name.length();
    return Integer.parseInt(head.substring(from, head.indexOf('\r', from)));
  }

  /**
   * Reads the body at the speed of the slow link; returns false if it is incomplete or too late.
   */
  private static boolean readBody(final InputStream in, final int length, final long sentAt)
      throws IOException {
    final byte[] chunk = new byte[CHUNK_BYTES];
    int remaining = length;
    while (remaining > 0) {
      if (Clock.millis() - sentAt >= TIMEOUT_MILLIS) {
        return false;
      }
      final int count = in.read(chunk, 0, Math.min(remaining, chunk.length));
      if (count < 0) {
        return false;
      }
      remaining -= count;
      try {
        Thread.sleep(CHUNK_INTERVAL_MILLIS * count / CHUNK_BYTES);
      } catch (final InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    return true;
  }
}
