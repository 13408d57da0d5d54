package weldpoint.proxy;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An upstream on a real socket that reads part of each request, writes part of a response, and then
 * ends the connection in a given way.
 */
final class ScriptedUpstream implements AutoCloseable {
  /** What the upstream does after its response. */
  enum Ending {
    KEEP,
    CLOSE,
    RESET,
    HALF_CLOSE,
    SILENCE
  }

  /**
   * The handling of one request: how many bytes are read (all if negative), the response, and how
   * the connection ends.
   */
  record Step(int reads, String answer, Ending ending) {
    static Step answer(final String answer) {
      return new Step(-1, answer, Ending.KEEP);
    }
  }

  private static final Pattern ID = Pattern.compile("(?i)\r\nweldpoint-attempt-id: ([^\r]*)\r\n");

  private final ServerSocket server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
  private final List<Socket> sockets = Collections.synchronizedList(new ArrayList<>());
  private final IntFunction<Step> script;
  private final AtomicInteger arrivals;

  /** The requests that were read completely, as received. */
  final List<String> requests = Collections.synchronizedList(new ArrayList<>());

  /** How many connections were accepted. */
  final AtomicInteger connections = new AtomicInteger();

  /** Reaches 0 once a client has closed a connection on which the upstream was silent. */
  final CountDownLatch silenceEnded = new CountDownLatch(1);

  /**
   * An upstream whose steps are selected by the number of the arrival, counted over all upstreams
   * that share the counter.
   */
  ScriptedUpstream(final AtomicInteger arrivals, final IntFunction<Step> script)
      throws IOException {
    this.arrivals = arrivals;
    this.script = script;
    thread(
        () -> {
          while (true) {
            final Socket socket = server.accept();
            connections.incrementAndGet();
            sockets.add(socket);
            thread(() -> serve(socket));
          }
        });
  }

  private interface Body {
    void run() throws IOException;
  }

  private static void thread(final Body body) {
    final Thread thread =
        new Thread(
            () -> {
              try {
                body.run();
              } catch (final IOException ended) {
                Thread.currentThread().interrupt();
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  int port() {
    return server.getLocalPort();
  }

  private void serve(final Socket socket) throws IOException {
    final InputStream in = new BufferedInputStream(socket.getInputStream());
    while (true) {
      final int first = in.read();
      if (first < 0) {
        socket.close();
        return;
      }
      final Step step = script.apply(arrivals.getAndIncrement());
      final ByteArrayOutputStream request = new ByteArrayOutputStream();
      request.write(first);
      final boolean whole =
          step.reads < 0 ? readRest(in, request) : readPart(in, request, step.reads);
      if (whole) {
        requests.add(request.toString(StandardCharsets.ISO_8859_1));
      }
      socket
          .getOutputStream()
          .write(step.answer.replace("$ID", id(request)).getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().flush();
      switch (step.ending) {
        case KEEP -> {}
        case CLOSE -> {
          socket.close();
          return;
        }
        case RESET -> {
          socket.setSoLinger(true, 0);
          socket.close();
          return;
        }
        case HALF_CLOSE -> {
          socket.shutdownOutput();
          while (in.read() >= 0) {
            continue;
          }
          socket.close();
          return;
        }
        case SILENCE -> {
          socket.setSoTimeout(10_000);
          try {
            while (in.read() >= 0) {
              continue;
            }
          } catch (final SocketTimeoutException stillThere) {
            return;
          } finally {
            socket.close();
          }
          silenceEnded.countDown();
          return;
        }
      }
    }
  }

  /** The attempt id of a request, for answers that echo it. */
  static String id(final Object request) {
    final Matcher matcher = ID.matcher(request.toString());
    return matcher.find() ? matcher.group(1) : "";
  }

  private static boolean readPart(
      final InputStream in, final ByteArrayOutputStream request, final int bytes)
      throws IOException {
    request.write(in.readNBytes(bytes - request.size()));
    return false;
  }

  /** Reads the rest of a request; false if it ends early. */
  private static boolean readRest(final InputStream in, final ByteArrayOutputStream request)
      throws IOException {
    int matched = 0;
    while (matched < 4) {
      final int next = in.read();
      if (next < 0) {
        return false;
      }
      request.write(next);
      matched = next == "\r\n\r\n".charAt(matched) ? matched + 1 : next == '\r' ? 1 : 0;
    }
    final String head = request.toString(StandardCharsets.ISO_8859_1);
    final int at = head.toLowerCase(java.util.Locale.ROOT).indexOf("content-length: ");
    final int length =
        at < 0 ? 0 : Integer.parseInt(head.substring(at + 16, head.indexOf('\r', at)));
    final byte[] body = in.readNBytes(length);
    request.write(body);
    return body.length == length;
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (final Socket socket : new ArrayList<>(sockets)) {
      socket.close();
    }
  }
}
