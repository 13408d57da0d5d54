package weldpoint.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Clients that read large responses slowly, at a proxy that shuts down or has a short idle timeout:
 * a response that was received completely from its upstream is not cut while its client still reads
 * it.
 */
public final class SlowReaderTest {
  private static final int BODY_BYTES = 6 << 20;
  private static final long WAIT_MILLIS = 8000;
  private static final String SEALED =
      "HTTP/1.1 200 OK\r\nWeldpoint-Attempt-Id: $ID\r\nWeldpoint-Server-Seal: s\r\nContent-Length: ";

  private static final String RULE =
      "{\"name\":\"r\",\"routeKind\":\"egress\",\"targetLatencyMs\":1000,\"match\":{\"pathPrefix\":\"/r/\"},\"action\":{\"service\":\"s\",\"timeoutMs\":3000,\"maxAttempts\":1}}";

  private TestProxy proxy;
  private ScriptedUpstream upstream;

  @BeforeMethod
  public void open() throws IOException {
    proxy = new TestProxy();
    upstream =
        new ScriptedUpstream(
            new AtomicInteger(),
            arrival ->
                ScriptedUpstream.Step.answer(
                    SEALED + BODY_BYTES + "\r\n\r\n" + "x".repeat(BODY_BYTES)));
  }

  @AfterMethod
  public void close() throws IOException {
    proxy.close();
    upstream.close();
  }

  private void serve(final int idleMillis) throws InterruptedException {
    proxy.serve(RULE, "{\"name\":\"s\"}", idleMillis, upstream.port());
  }

  private static void send(final Socket socket, final String id, final int deadlineMillis)
      throws IOException {
    socket
        .getOutputStream()
        .write(
            ("GET /r/x HTTP/1.1\r\nHost: h\r\nWeldpoint-Attempt-Id: "
                    + id
                    + "\r\nWeldpoint-Deadline-Ms: "
                    + deadlineMillis
                    + "\r\n\r\n")
                .getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Waits until the upstream has responded and the proxy buffers what the client does not read yet.
   */
  private void awaitResponse() throws InterruptedException {
    TestProxy.await(
        () -> proxy.proxyContext().served > 0, "the upstream's response has not arrived");
  }

  /** Reads heads and bodies; returns the number of body bytes. */
  private static int bodyBytes(final Socket socket, final int answers) throws IOException {
    final InputStream in = socket.getInputStream();
    int whole = 0;
    for (int answer = 0; answer < answers; answer++) {
      final ByteArrayOutputStream head = new ByteArrayOutputStream();
      while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
        final int next = in.read();
        if (next < 0) {
          return whole;
        }
        head.write(next);
      }
      whole += in.readNBytes(BODY_BYTES).length;
    }
    return whole;
  }

  /** Guards against LOST: a proxy that shut down cut responses which clients were still reading. */
  @Test
  public void shutdownWaitsForResponseInProgress() throws IOException, InterruptedException {
    serve(15_000);
    try (Socket client = proxy.connect()) {
      send(client, "a1", 6000);
      awaitResponse();
      proxy.proxyContext().shuttingDown = true;
      TimeUnit.MILLISECONDS.sleep(500);
      assertEquals(bodyBytes(client, 1), BODY_BYTES);
    }
    TestProxy.await(() -> proxy.proxyContext().openRequests.count() == 0, "the request stays open");
  }

  /** Guards against LOST: the process ended while responses still waited in their connections. */
  @Test
  public void processStaysUntilResponseIsRead() throws Exception {
    serve(15_000);
    try (Socket client = proxy.connect()) {
      send(client, "a1", 6000);
      awaitResponse();
      final Thread stopping = new Thread(proxy.daemon()::stop);
      stopping.start();
      TimeUnit.MILLISECONDS.sleep(3200);
      assertTrue(stopping.isAlive(), "the process ended before its response was read");
      assertEquals(bodyBytes(client, 1), BODY_BYTES);
      stopping.join(WAIT_MILLIS);
      assertFalse(stopping.isAlive());
    }
  }

  /** Guards against LOST: a response that takes longer than the idle timeout was cut. */
  @Test
  public void connectionWithResponseInProgressIsNotIdle() throws IOException, InterruptedException {
    serve(200);
    try (Socket client = proxy.connect()) {
      send(client, "a1", 6000);
      awaitResponse();
      TimeUnit.MILLISECONDS.sleep(700);
      assertEquals(bodyBytes(client, 1), BODY_BYTES);
    }
  }

  /**
   * Guards against LOST: a proxy that shut down dropped the requests that waited behind a response.
   */
  @Test
  public void shutdownAnswersPipelinedRequests() throws IOException, InterruptedException {
    serve(15_000);
    try (Socket client = proxy.connect()) {
      send(client, "a1", 6000);
      send(client, "a2", 6000);
      awaitResponse();
      proxy.proxyContext().shuttingDown = true;
      TimeUnit.MILLISECONDS.sleep(300);
      assertEquals(bodyBytes(client, 2), 2 * BODY_BYTES);
      assertEquals(
          client.getInputStream().read(), -1, "the connection ends after the last response");
    }
  }

  @Test
  public void connectionOfClientThatNeverReadsIsClosed() throws IOException, InterruptedException {
    serve(200);
    try (Socket client = proxy.connect()) {
      send(client, "a1", 500);
      awaitResponse();
      assertEquals(proxy.proxyContext().openRequests.count(), 1);
      TestProxy.await(
          () -> proxy.proxyContext().openRequests.count() == 0, "the request was never closed");
      assertTrue(bodyBytes(client, 1) < BODY_BYTES);
    } catch (final IOException reset) {
      assertEquals(proxy.proxyContext().openRequests.count(), 0);
    }
    TestProxy.await(
        () -> proxy.proxyContext().openRequests.unwrittenBytes() == 0,
        "unwritten bytes are still counted");
  }

  @Test
  public void unwrittenBytesLimitRefusesNewRequests() throws IOException, InterruptedException {
    serve(15_000);
    proxy.proxyContext().maxUnwrittenBytes = 1;
    try (Socket slow = proxy.connect();
        Socket other = proxy.connect()) {
      send(slow, "a1", 6000);
      awaitResponse();
      send(other, "a2", 6000);
      final byte[] status = other.getInputStream().readNBytes(12);
      assertEquals(new String(status, StandardCharsets.UTF_8), "HTTP/1.1 503");
      assertEquals(bodyBytes(slow, 1), BODY_BYTES);
    }
  }
}
