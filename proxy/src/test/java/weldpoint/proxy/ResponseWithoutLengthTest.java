package weldpoint.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import weldpoint.proxy.ScriptedUpstream.Ending;
import weldpoint.proxy.ScriptedUpstream.Step;

/**
 * Guards against LOST (incident 26): a response without a length, which ends with its connection,
 * was broken off and replaced by a 502 of the proxy. On real sockets, whose orderly ends and resets
 * must be told apart.
 */
public final class ResponseWithoutLengthTest {
  private static final String HEAD =
      "HTTP/1.1 200 OK\r\nWeldpoint-Attempt-Id: $ID\r\nWeldpoint-Server-Seal: s\r\n\r\n";
  private static final int LARGE_BYTES = 3 << 20;

  private TestProxy proxy;
  private ScriptedUpstream upstream;

  @AfterMethod
  public void close() throws IOException {
    proxy.close();
    upstream.close();
  }

  private void serve(
      final String kind, final int idleMillis, final String answer, final Ending ending)
      throws IOException, InterruptedException {
    proxy = new TestProxy();
    upstream = new ScriptedUpstream(new AtomicInteger(), arrival -> new Step(-1, answer, ending));
    proxy.serve(
        "{\"name\":\"r\",\"routeKind\":\""
            + kind
            + "\",\"targetLatencyMs\":9000,\"match\":{\"pathPrefix\":\"/r/\"},\"action\":{\"service\":\"s\",\"timeoutMs\":3000,\"maxAttempts\":1}}",
        "{\"name\":\"s\"}",
        idleMillis,
        upstream.port());
  }

  private static void send(final Socket client, final String id) throws IOException {
    client
        .getOutputStream()
        .write(
            ("POST /r/x HTTP/1.1\r\nHost: h\r\nWeldpoint-Attempt-Id: "
                    + id
                    + "\r\nWeldpoint-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII));
  }

  /** Reads one response; the result is its head, a space and the number of its body bytes. */
  private static String read(final Socket client) throws IOException {
    final InputStream in = client.getInputStream();
    final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    while (!bytes.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
      final int next = in.read();
      assertTrue(next >= 0, "the connection ended: " + bytes);
      bytes.write(next);
    }
    final String head = bytes.toString(StandardCharsets.ISO_8859_1);
    final int at = head.toLowerCase(java.util.Locale.ROOT).indexOf("content-length: ") + 16;
    final int length = Integer.parseInt(head.substring(at, head.indexOf('\r', at)));
    return head.substring(9, 12) + " " + in.readNBytes(length).length;
  }

  @DataProvider
  public Object[][] orderlyEnds() {
    return new Object[][] {
      {"mutating", "body", Ending.CLOSE},
      {"mutating", "body", Ending.HALF_CLOSE},
      {"mutating", "", Ending.CLOSE},
      {"mutating", "x".repeat(LARGE_BYTES), Ending.CLOSE},
      {"idempotent", "body", Ending.CLOSE},
      {"egress", "x".repeat(LARGE_BYTES), Ending.HALF_CLOSE},
      {"cacheable", "body", Ending.CLOSE},
    };
  }

  /** The client's connection is kept: the response has a length there. */
  @Test(dataProvider = "orderlyEnds")
  public void responseIsDeliveredWholeAtTheEndOfItsConnection(
      final String kind, final String body, final Ending ending)
      throws IOException, InterruptedException {
    serve(kind, 15_000, HEAD + body, ending);
    try (Socket client = proxy.connect()) {
      for (int request = 0; request < 3; request++) {
        send(client, "a" + request);
        assertEquals(read(client), "200 " + body.length());
      }
    }
    assertEquals(upstream.requests.size(), 3, "no request is sent twice");
    assertEquals(upstream.connections.get(), 3, "no connection is reused");
  }

  /** Guards against MIXED: a response that was cut must not be delivered as a success. */
  @Test
  public void responseThatIsResetIsNotDelivered() throws IOException, InterruptedException {
    for (final String body : new String[] {"", "body", "x".repeat(LARGE_BYTES)}) {
      serve("mutating", 15_000, HEAD + body, Ending.RESET);
      try (Socket client = proxy.connect()) {
        send(client, "a");
        assertTrue(read(client).startsWith("502 "));
      }
      assertEquals(upstream.requests.size(), 1);
      close();
    }
  }

  /** Guards against MIXED: a deadline that ends the connection does not complete a response. */
  @Test
  public void responseThatDoesNotEndIsNotDelivered() throws IOException, InterruptedException {
    serve("mutating", 15_000, HEAD + "body", Ending.SILENCE);
    try (Socket client = proxy.connect()) {
      send(client, "a");
      assertTrue(read(client).startsWith("504 "));
    }
    assertTrue(upstream.silenceEnded.await(2, TimeUnit.SECONDS));
  }

  /**
   * Guards against LOST: a proxy that shuts down delivers a response that is still being written,
   * also when that takes longer than the idle timeout.
   */
  @Test
  public void responseIsDeliveredDuringShutdown() throws Exception {
    final SlowUpstream slow = new SlowUpstream();
    proxy = new TestProxy();
    upstream = new ScriptedUpstream(new AtomicInteger(), arrival -> Step.answer(""));
    proxy.serve(
        "{\"name\":\"r\",\"routeKind\":\"mutating\",\"targetLatencyMs\":9000,\"match\":{\"pathPrefix\":\"/r/\"},\"action\":{\"service\":\"s\",\"timeoutMs\":5000,\"maxAttempts\":1}}",
        "{\"name\":\"s\"}",
        200,
        slow.port());
    try (Socket client = proxy.connect()) {
      send(client, "a");
      slow.awaitHeadWritten();
      final Thread stopping = new Thread(proxy.daemon()::stop);
      stopping.start();
      assertEquals(read(client), "200 " + SlowUpstream.BODY_BYTES);
      stopping.join();
    } finally {
      slow.close();
    }
  }

  /** An upstream that writes a response without a length in small parts, for 1.5 s. */
  private static final class SlowUpstream implements AutoCloseable {
    static final int BODY_BYTES = 30;

    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final CountDownLatch headWritten = new CountDownLatch(1);

    SlowUpstream() throws IOException {
      final Thread thread = new Thread(this::serve);
      thread.setDaemon(true);
      thread.start();
    }

    int port() {
      return server.getLocalPort();
    }

    void awaitHeadWritten() throws InterruptedException {
      assertTrue(headWritten.await(5, TimeUnit.SECONDS));
    }

    private void serve() {
      try (Socket socket = server.accept()) {
        final byte[] request = new byte[4096];
        assertTrue(socket.getInputStream().read(request) > 0);
        socket
            .getOutputStream()
            .write(HEAD.replace("$ID", "a").getBytes(StandardCharsets.US_ASCII));
        headWritten.countDown();
        for (int part = 0; part < BODY_BYTES; part++) {
          TimeUnit.MILLISECONDS.sleep(50);
          socket.getOutputStream().write('x');
        }
      } catch (final IOException | InterruptedException ended) {
        Thread.currentThread().interrupt();
      }
    }

    @Override
    public void close() throws IOException {
      server.close();
    }
  }
}
