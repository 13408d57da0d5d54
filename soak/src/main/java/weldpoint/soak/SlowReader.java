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
  static final int DEADLINE_MILLIS = 2500;

  private static final int RECEIVE_BUFFER_BYTES = 8 << 10;
  private static final int PIECE_BYTES = 16 << 10;
  private static final int MOST_PIECES = 40;
  private static final int PIECE_PAUSE_MILLIS = 25;
  private static final int MOST_REST_MILLIS = 500;
  private static final int CONNECT_MILLIS = 1000;
  private static final int REFUSED_PAUSE_MILLIS = 100;

  private final LocalFleet fleet;
  private final Random random;
  private final Collection<LargeDownload> pulls;
  private final BooleanSupplier over;

  SlowReader(
      final LocalFleet fleet,
      final long seed,
      final Collection<LargeDownload> pulls,
      final BooleanSupplier over) {
    this.fleet = fleet;
    this.random = new Random(seed);
    this.pulls = pulls;
    this.over = over;
  }

  /** Asks for answers, over one connection after the other, until all is over. */
  void run() {
    while (!over.getAsBoolean()) {
      final int proxy = random.nextInt(fleet.size().proxies());
      try (Socket socket = new Socket()) {
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        final String address = fleet.proxy(proxy);
        final int colon = address.lastIndexOf(':');
        socket.connect(
            new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
            CONNECT_MILLIS);
        socket.setSoTimeout(DEADLINE_MILLIS);
        final InputStream in = new BufferedInputStream(socket.getInputStream(), PIECE_BYTES);
        while (!over.getAsBoolean() && pull(socket, in, proxy)) {
          Thread.sleep(random.nextInt(MOST_REST_MILLIS));
        }
      } catch (final IOException unreachable) {
        pause();
      } catch (final InterruptedException stopped) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private static void pause() {
    try {
      Thread.sleep(REFUSED_PAUSE_MILLIS);
    } catch (final InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
  }

  /** Asks for one answer; false where the connection cannot be used again. */
  private boolean pull(final Socket socket, final InputStream in, final int proxy)
      throws IOException {
    final String attemptId = fleet.attemptId();
    final int bytes = PIECE_BYTES * (1 + random.nextInt(MOST_PIECES));
    socket
        .getOutputStream()
        .write(
            ("GET "
                    + LocalFleet.SHEET_PATH
                    + "1?size="
                    + bytes
                    + " HTTP/1.1\r\nHost: "
                    + LocalFleet.HOST
                    + "\r\nWeldpoint-Attempt-Id: "
                    + attemptId
                    + "\r\nWeldpoint-Deadline-Ms: "
                    + DEADLINE_MILLIS
                    + "\r\nAuthorization: Bearer "
                    + Workload.FREE
                    + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
    final long sentAt = Clock.millis();
    boolean whole = false;
    boolean keeps = false;
    try {
      final String head = head(in);
      whole = body(in, length(head), sentAt);
      keeps = whole && !head.contains("\r\nconnection: close");
    } catch (final IOException ended) {
      whole = false;
    }
    pulls.add(new LargeDownload(attemptId, proxy, sentAt, Clock.millis(), whole));
    return keeps;
  }

  /** Reads the head of an answer, in lower case. */
  private static String head(final InputStream in) throws IOException {
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

  private static int length(final String head) throws IOException {
    final String name = "\r\ncontent-length: ";
    final int at = head.indexOf(name);
    if (at < 0) {
      throw new IOException("an answer without a length: " + head);
    }
    final int from = at + name.length();
    return Integer.parseInt(head.substring(from, head.indexOf('\r', from)));
  }

  /** Takes the body as its link lets it through; false where it does not come whole in time. */
  private static boolean body(final InputStream in, final int length, final long sentAt)
      throws IOException {
    final byte[] piece = new byte[PIECE_BYTES];
    int left = length;
    while (left > 0) {
      if (Clock.millis() - sentAt >= DEADLINE_MILLIS) {
        return false;
      }
      final int count = in.read(piece, 0, Math.min(left, piece.length));
      if (count < 0) {
        return false;
      }
      left -= count;
      try {
        Thread.sleep(PIECE_PAUSE_MILLIS * count / PIECE_BYTES);
      } catch (final InterruptedException stopped) {
        Thread.currentThread().interrupt();
      }
    }
    return true;
  }
}
