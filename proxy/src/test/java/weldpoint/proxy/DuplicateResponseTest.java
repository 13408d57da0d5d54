package weldpoint.proxy;

import static org.testng.Assert.assertEquals;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import weldpoint.transport.OwnershipMessages.Assignment;
import weldpoint.transport.OwnershipMessages.KeyRange;
import weldpoint.transport.OwnershipMessages.RangeState;

/**
 * Guards against duplicate responses: an upstream rejects the first request on its first connection
 * and sends that response again in place of the next one due there.
 */
public final class DuplicateResponseTest {
  private static final String RULE =
      "{\"name\":\"w\",\"routeKind\":\"mutating\",\"targetLatencyMs\":2000,\"match\":{\"pathPrefix\":\"/w/\"},\"action\":{\"service\":\"s\",\"timeoutMs\":3000,\"maxAttempts\":3}}";
  private static final int LAST_KEY = 65_535;

  private final AtomicInteger connections = new AtomicInteger();
  private final AtomicInteger runs = new AtomicInteger();
  private ServerSocket server;
  private TestProxy proxy;

  @BeforeMethod
  public void open() throws IOException, InterruptedException {
    connections.set(0);
    runs.set(0);
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    thread(
        () -> {
          while (true) {
            final Socket socket = server.accept();
            final boolean first = connections.getAndIncrement() == 0;
            thread(() -> answer(socket, first));
          }
        });
    proxy = new TestProxy();
    proxy.serve(
        RULE, "{\"name\":\"s\",\"partitioned\":true,\"warmS\":1.0}", 15_000, server.getLocalPort());
    final KeyRange all =
        new KeyRange(
            0,
            LAST_KEY,
            TestProxy.UPSTREAM,
            "127.0.0.1:" + server.getLocalPort(),
            1,
            RangeState.HELD,
            null);
    final Assignment assignment = new Assignment("s", 1, "registry", 1, List.of(all));
    proxy
        .proxyContext()
        .loop
        .submit(() -> proxy.proxyContext().keyOwners.applyAssignments(List.of(assignment)))
        .sync();
  }

  @AfterMethod
  public void close() throws IOException {
    proxy.close();
    server.close();
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

  private static String rejection(final String id) {
    return "HTTP/1.1 503 Busy\r\nWeldpoint-Attempt-Id: "
        + id
        + "\r\nWeldpoint-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  }

  private void answer(final Socket socket, final boolean first) throws IOException {
    final BufferedReader reader =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    final OutputStream out = socket.getOutputStream();
    String again = null;
    boolean turnsAway = first;
    for (String id = attemptId(reader); id != null; id = attemptId(reader)) {
      if (turnsAway) {
        turnsAway = false;
        again = rejection(id);
        out.write(again.getBytes(StandardCharsets.ISO_8859_1));
        continue;
      }
      runs.incrementAndGet();
      if (again != null) {
        out.write(again.getBytes(StandardCharsets.ISO_8859_1));
        again = null;
      }
      out.write(
          ("HTTP/1.1 200 OK\r\nWeldpoint-Attempt-Id: "
                  + id
                  + "\r\nWeldpoint-Server-Seal: s\r\nContent-Length: 0\r\n\r\n")
              .getBytes(StandardCharsets.ISO_8859_1));
    }
  }

  /**
   * Reads the head of a request without a body; returns its id, null if the connection has ended.
   */
  private static String attemptId(final BufferedReader reader) throws IOException {
    String id = null;
    for (String line = reader.readLine();
        line != null && !line.isEmpty();
        line = reader.readLine()) {
      if (line.toLowerCase().startsWith("weldpoint-attempt-id: ")) {
        id = line.substring(line.indexOf(' ') + 1);
      }
    }
    return id;
  }

  private int status(final String id) throws IOException, InterruptedException {
    try (Socket client = proxy.connect()) {
      client
          .getOutputStream()
          .write(
              ("POST /w/x HTTP/1.1\r\nHost: h\r\nWeldpoint-Attempt-Id: "
                      + id
                      + "\r\nWeldpoint-Shard-Key: 7\r\nWeldpoint-Deadline-Ms: 3000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
                  .getBytes(StandardCharsets.UTF_8));
      final String answer =
          new String(client.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      return Integer.parseInt(answer.substring(9, 12));
    }
  }

  /**
   * Guards against REFUSED: the duplicated response of an earlier attempt ended the attempt that
   * ran.
   */
  @Test
  public void duplicateResponseDoesNotEndALaterAttempt() throws IOException, InterruptedException {
    assertEquals(status("a1"), 200);
    assertEquals(runs.get(), 1);
    assertEquals(connections.get(), 2, "the second attempt uses another connection");
  }

  @Test
  public void duplicateResponseIsDetectedByAttemptId() throws IOException, InterruptedException {
    assertEquals(status("a1"), 200);
    assertEquals(status("a2"), 200);
    assertEquals(status("a3"), 200);
    assertEquals(runs.get(), 3);
    assertEquals(connections.get(), 2, "no further connection is opened");
  }
}
