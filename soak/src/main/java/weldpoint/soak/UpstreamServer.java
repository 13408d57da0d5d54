package weldpoint.soak;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The HTTP/1.1 side of a stand-in upstream: one request at a time on each connection. On demand a
 * share of its answers comes twice: at once, or late, in the place of the next answer due on that
 * connection.
 */
final class UpstreamServer implements AutoCloseable {
  /**
   * A request that was read whole.
   *
   * @param headers by their names in lower case
   * @param readAt when its first line was read, in milliseconds of the steady clock
   */
  record Request(String target, Map<String, String> headers, String body, long readAt) {
    String path() {
      final int query = target.indexOf('?');
      return query < 0 ? target : target.substring(0, query);
    }

    /** The value of a header; empty where the request has none of this name. */
    String header(final String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }
  }

  /** An answer. */
  record Answer(int status, Map<String, String> headers, byte[] body) {}

  /** Works on requests. */
  interface Handler {
    /** The answer; null where the connection ends without one. */
    Answer handle(Request request);

    /** An answer to this request has been written whole. */
    void answered(Request request, Answer answer);
  }

  private static final int BACKLOG = 256;
  private static final int LATE_COPY_MILLIS = 5;

  private final ServerSocket server;
  private final Handler handler;
  private final Random random;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile double secondCopies;
  private volatile long stalledUntil;

  UpstreamServer(final InetSocketAddress address, final Handler handler, final Random random)
      throws IOException {
    this.handler = handler;
    this.random = random;
    this.server = new ServerSocket(address.getPort(), BACKLOG, address.getAddress());
    start(this::accept);
  }

  /** Sets the share (0 to 1) of answers that come twice. */
  void secondCopies(final double share) {
    secondCopies = share;
  }

  /** From now on nothing that was read is looked at for so many milliseconds. */
  void stall(final long millis) {
    stalledUntil = Clock.millis() + millis;
  }

  private void awaitStall() throws InterruptedException {
    for (long left = stalledUntil - Clock.millis(); left > 0; ) {
      Thread.sleep(left);
      left = stalledUntil - Clock.millis();
    }
  }

  private static void start(final Runnable task) {
    final Thread thread = new Thread(task, "upstream");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        final Socket socket = server.accept();
        sockets.add(socket);
        start(() -> serve(socket));
      } catch (final IOException ended) {
        return;
      }
    }
  }

  private void serve(final Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      final InputStream in = new BufferedInputStream(socket.getInputStream());
      final OutputStream out = socket.getOutputStream();
      byte[] late = null;
      for (Request request = read(in); request != null; request = read(in)) {
        if (late != null) {
          Thread.sleep(LATE_COPY_MILLIS);
          out.write(late);
          late = null;
        }
        awaitStall();
        final Answer answer = handler.handle(request);
        if (answer == null) {
          return;
        }
        final byte[] bytes = bytes(answer);
        out.write(bytes);
        handler.answered(request, answer);
        if (drawn(secondCopies)) {
          if (drawn(0.5)) {
            out.write(bytes);
          } else {
            late = bytes;
          }
        }
      }
    } catch (final IOException ended) {
      // the connection is over
    } catch (final InterruptedException stopped) {
      Thread.currentThread().interrupt();
    } finally {
      sockets.remove(socket);
    }
  }

  private boolean drawn(final double share) {
    synchronized (random) {
      return random.nextDouble() < share;
    }
  }

  /** Reads one request whose body has a length or none; null where the connection has ended. */
  private static Request read(final InputStream in) throws IOException {
    final String first = line(in);
    if (first == null) {
      return null;
    }
    final long readAt = Clock.millis();
    final Map<String, String> headers = new LinkedHashMap<>();
    for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
      final int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    final int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    final byte[] body = in.readNBytes(length);
    return new Request(
        first.split(" ")[1], headers, new String(body, StandardCharsets.UTF_8), readAt);
  }

  private static String line(final InputStream in) throws IOException {
    final ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next >= 0; next = in.read()) {
      if (next == '\n') {
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
      }
      line.write(next);
    }
    return null;
  }

  private static byte[] bytes(final Answer answer) {
    final StringBuilder head = new StringBuilder("HTTP/1.1 " + answer.status + " Answer\r\n");
    answer.headers.forEach(
        (name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    head.append("Content-Length: ").append(answer.body.length).append("\r\n\r\n");
    final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    bytes.writeBytes(answer.body);
    return bytes.toByteArray();
  }

  @Override
  public void close() {
    try {
      server.close();
      for (final Socket socket : sockets) {
        socket.close();
      }
    } catch (final IOException alreadyClosed) {
      // nothing is left to do
    }
  }
}
