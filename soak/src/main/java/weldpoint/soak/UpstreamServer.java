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
 * The HTTP/1.1 server of a stand-in upstream. Each connection has a thread and handles one request
 * at a time. Optionally a share of the responses is sent twice: the duplicate follows immediately,
 * or late, where the next response on that connection is due. A share of the successful responses
 * has no length and ends with its connection; some of these are reset halfway.
 */
final class UpstreamServer implements AutoCloseable {
  /**
   * A completely read request.
   *
   * @param target path and query
   * @param headers by their names in lower case
   * @param body the body as text
   * @param readAt when its first line was read, in milliseconds of {@link Clock}
   */
  record Request(String target, Map<String, String> headers, String body, long readAt) {
    String path() {
      final int query = target.indexOf('?');
      return query < 0 ? target : target.substring(0, query);
    }

    /** Returns the value of a header; empty if the request does not have it. */
    String header(final String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }
  }

  /** A response to send. */
  record Response(int status, Map<String, String> headers, byte[] body) {}

  /** Handles requests; called from the threads of connections. */
  interface Handler {
    /** Returns the response, or null to close the connection without one. */
    Response handle(Request request);

    /** Called when the complete response to a request has been written. */
    void responseSent(Request request, Response response);
  }

  private static final int BACKLOG = 256;
  private static final int LATE_DUPLICATE_DELAY_MILLIS = 5;
  private static final int MAX_PART_PAUSE_MILLIS = 30;
  private static final double RESET_SHARE_OF_UNFRAMED = 0.25;

  private final ServerSocket server;
  private final Handler handler;
  private final Random random;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile double duplicatedResponseShare;
  private volatile double unframedResponseShare;
  private volatile long stalledUntil;

  UpstreamServer(final InetSocketAddress address, final Handler handler, final Random random)
      throws IOException {
    this.handler = handler;
    this.random = random;
    this.server = new ServerSocket(address.getPort(), BACKLOG, address.getAddress());
    start(this::accept);
  }

  /** Sets the share (0 to 1) of responses that are sent twice. */
  void duplicatedResponseShare(final double share) {
    duplicatedResponseShare = share;
  }

  /** Sets the share (0 to 1) of successful responses that have no length. */
  void unframedResponseShare(final double share) {
    unframedResponseShare = share;
  }

  /** Suspends the handling of requests for a time in milliseconds; they are still read. */
  void stall(final long millis) {
    stalledUntil = Clock.millis() + millis;
  }

  private void awaitStallEnd() throws InterruptedException {
    for (long remaining = stalledUntil - Clock.millis(); remaining > 0; ) {
      Thread.sleep(remaining);
      remaining = stalledUntil - Clock.millis();
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
      } catch (final IOException e) {
        return;
      }
    }
  }

  private void serve(final Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      final InputStream in = new BufferedInputStream(socket.getInputStream());
      final OutputStream out = socket.getOutputStream();
      byte[] lateDuplicate = null;
      for (Request request = readRequest(in); request != null; request = readRequest(in)) {
        if (lateDuplicate != null) {
          Thread.sleep(LATE_DUPLICATE_DELAY_MILLIS);
          out.write(lateDuplicate);
          lateDuplicate = null;
        }
        awaitStallEnd();
        final Response response = handler.handle(request);
        if (response == null) {
          return;
        }
        if (response.status() == 200 && chance(unframedResponseShare)) {
          sendUnframed(socket, request, response);
          return;
        }
        final byte[] bytes = encode(response);
        out.write(bytes);
        handler.responseSent(request, response);
        if (chance(duplicatedResponseShare)) {
          if (chance(0.5)) {
            out.write(bytes);
          } else {
            lateDuplicate = bytes;
          }
        }
      }
    } catch (final IOException e) {
      // the connection has ended
    } catch (final InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    } finally {
      sockets.remove(socket);
    }
  }

  /** Sends a response without a length in two parts, or only one part and a reset. */
  private void sendUnframed(final Socket socket, final Request request, final Response response)
      throws IOException, InterruptedException {
    final byte[] body = response.body;
    final OutputStream out = socket.getOutputStream();
    out.write(encodeHead(response, ""));
    out.write(body, 0, body.length / 2);
    Thread.sleep(random.nextInt(MAX_PART_PAUSE_MILLIS));
    if (chance(RESET_SHARE_OF_UNFRAMED)) {
      socket.setSoLinger(true, 0);
      return;
    }
    out.write(body, body.length / 2, body.length - body.length / 2);
    handler.responseSent(request, response);
  }

  private boolean chance(final double share) {
    synchronized (random) {
      return random.nextDouble() < share;
    }
  }

  /**
   * Reads one request, with a Content-Length or without a body; returns null if the connection has
   * ended.
   */
  private static Request readRequest(final InputStream in) throws IOException {
    final String requestLine = readLine(in);
    if (requestLine == null) {
      return null;
    }
    final long readAt = Clock.millis();
    final Map<String, String> headers = new LinkedHashMap<>();
    for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
      final int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    final int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    final byte[] body = in.readNBytes(length);
    return new Request(
        requestLine.split(" ")[1], headers, new String(body, StandardCharsets.UTF_8), readAt);
  }

  private static String readLine(final InputStream in) throws IOException {
    final ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next >= 0; next = in.read()) {
      if (next == '\n') {
        return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
      }
      line.write(next);
    }
    return null;
  }

  private static byte[] encode(final Response response) {
    final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(encodeHead(response, "Content-Length: " + response.body.length + "\r\n"));
    bytes.writeBytes(response.body);
    return bytes.toByteArray();
  }

  private static byte[] encodeHead(final Response response, final String framing) {
    final StringBuilder head = new StringBuilder("HTTP/1.1 " + response.status + " Answer\r\n");
    response.headers.forEach(
        (name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    head.append(framing).append("\r\n");
    return head.toString().getBytes(StandardCharsets.ISO_8859_1);
  }

  @Override
  public void close() {
    try {
      server.close();
      for (final Socket socket : sockets) {
        socket.close();
      }
    } catch (final IOException e) {
      // the sockets are closed already
    }
  }
}
