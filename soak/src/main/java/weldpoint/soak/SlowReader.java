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
 * A client behind a slow link: it asks for large answers over a connection that it keeps until that
 * ends, takes them piece by piece, and rests in between.
 */
final class SlowReader {
  /** How long it waits for an answer. */
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

  /** Asks for answers, over one connection after the other, until all is over. */
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

  /** Asks for one answer; false where the connection cannot be used again. */
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

  /** Reads the head of an answer, in lower case. */
  private static String readHead(final InputStream in) throws IOException {
    final StringBuilder head = new StringBuilder();
    while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
      final int next = in.read();
      if (next < 0) {
        throw new IOException("the connection ended before an answer");
      }
      head.append((char) next);
    }
    return head.toString().toLowerCase(Locale.ROOT);
  }

  private static int contentLength(final String head) throws IOException {
    final String name = "\r\ncontent-length: ";
    final int start = head.indexOf(name);
    if (start < 0) {
      throw new IOException("an answer without a length: " + head);
    }
    final int from = start + name.length();
    return Integer.parseInt(head.substring(from, head.indexOf('\r', from)));
  }

  /** Takes the body as its link lets it through; false where it does not come whole in time. */
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
