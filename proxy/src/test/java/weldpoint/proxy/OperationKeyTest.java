package weldpoint.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import weldpoint.transport.KeyMessages.Claim;
import weldpoint.transport.KeyMessages.ClaimRequest;
import weldpoint.transport.KeyMessages.Outcome;
import weldpoint.transport.KeyMessages.OutcomeResponse;
import weldpoint.transport.Message;

/**
 * Guards against TWICE (incident 25): with the default settings, the header in which clients send
 * the operation's key was not read, so that keyed requests were sent without a claim.
 */
public final class OperationKeyTest {
  private static final String SERVICE = "{\"name\":\"s\"}";
  private static final String PARTITIONED = "{\"name\":\"s\",\"partitioned\":true,\"warmS\":1.0}";

  private final AtomicInteger connections = new AtomicInteger();
  private final AtomicReference<Claim> claim = new AtomicReference<>();
  private ServerSocket server;
  private TestProxy proxy;

  @BeforeMethod
  public void open() throws IOException {
    connections.set(0);
    claim.set(null);
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    final Thread acceptor =
        new Thread(
            () -> {
              try {
                while (true) {
                  server.accept();
                  connections.incrementAndGet();
                }
              } catch (final IOException closed) {
                Thread.currentThread().interrupt();
              }
            });
    acceptor.setDaemon(true);
    acceptor.start();
    proxy = new TestProxy();
    proxy.proxyContext().idempotentRequests =
        new IdempotentRequests("127.0.0.1", 1, 75_000, new SilentRegistry());
  }

  @AfterMethod
  public void close() throws IOException {
    proxy.close();
    server.close();
  }

  /** A registry that never answers a claim. */
  private final class SilentRegistry implements IdempotentRequests.Environment {
    @Override
    public boolean sendToRegistry(final Message message) {
      if (message instanceof ClaimRequest) {
        claim.set(((ClaimRequest) message).claim);
      }
      return true;
    }

    @Override
    public boolean sendToRegistryWithin(
        final Message message, final java.util.List<String> regions) {
      return sendToRegistry(message);
    }

    @Override
    public void queryOutcome(
        final Claim holder,
        final long fingerprint,
        final long waitMillis,
        final Consumer<OutcomeResponse> callback) {
      callback.accept(new OutcomeResponse(Outcome.UNCERTAIN));
    }

    @Override
    public void schedule(final Runnable task, final long millis) {
      proxy.proxyContext().loop.schedule(task, millis, TimeUnit.MILLISECONDS);
    }
  }

  private static String rule(final String routeKind, final String target) {
    return "{\"name\":\"w\",\"routeKind\":\""
        + routeKind
        + "\",\"targetLatencyMs\":2000,\"match\":{\"pathPrefix\":\"/w/\"},\"action\":{"
        + target
        + ",\"timeoutMs\":3000,\"maxAttempts\":3}}";
  }

  private Socket send(final String keyHeaders) throws IOException, InterruptedException {
    final Socket client = proxy.connect();
    client
        .getOutputStream()
        .write(
            ("POST /w/x HTTP/1.1\r\nHost: h\r\nWeldpoint-Attempt-Id: a\r\nWeldpoint-Shard-Key: 7\r\n"
                    + keyHeaders
                    + "Connection: close\r\nContent-Length: 0\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
    return client;
  }

  private void serve(final String rule, final String pool) throws InterruptedException {
    proxy.serve(rule, pool, 15_000, server.getLocalPort());
  }

  @DataProvider
  public Object[][] waysOfKeyedRequests() {
    final String toService = "\"service\":\"s\"";
    return new Object[][] {
      {rule("keyed", toService), SERVICE},
      {rule("Keyed", toService), SERVICE},
      {rule("mutating", toService), SERVICE},
      {rule("keyed", "\"split\":[{\"service\":\"s\",\"weight\":1}]"), SERVICE},
      {rule("keyed", toService + ",\"homeRegions\":[\"r\"]"), SERVICE},
      {rule("keyed", toService + ",\"affinity\":{\"by\":\"address\"}"), SERVICE},
      {rule("keyed", toService), PARTITIONED},
    };
  }

  @Test(dataProvider = "waysOfKeyedRequests")
  public void operationIsClaimedBeforeItIsSent(final String rule, final String pool)
      throws IOException, InterruptedException {
    serve(rule, pool);
    try (Socket client = send("Weldpoint-Operation-Key: k-5512\r\n")) {
      TestProxy.await(() -> claim.get() != null, "the operation's key was not claimed");
      assertEquals(connections.get(), 0, "nothing is sent before the claim is granted");
    }
  }

  @DataProvider
  public Object[][] keysThatCannotBeUsed() {
    return new Object[][] {
      {"Weldpoint-Operation-Key: \r\n"},
      {"Weldpoint-Operation-Key: k-1\r\nWeldpoint-Operation-Key: k-2\r\n"},
      {"Weldpoint-Operation-Key: " + "k".repeat(IdempotencyKey.MAX_LENGTH + 1) + "\r\n"},
    };
  }

  /** Guards against keyed requests that run unclaimed because their key cannot be read. */
  @Test(dataProvider = "keysThatCannotBeUsed")
  public void unusableKeyIsRejected(final String keyHeaders)
      throws IOException, InterruptedException {
    serve(rule("keyed", "\"service\":\"s\""), SERVICE);
    try (Socket client = send(keyHeaders)) {
      final String response =
          new String(client.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      assertTrue(response.startsWith("HTTP/1.1 400"), response);
      assertTrue(response.contains("Weldpoint-Operation-Key"), response);
    }
    assertEquals(connections.get(), 0);
  }

  private double withoutKeyCount() {
    return proxy.proxyContext().idempotentRequests.metrics().stream()
        .filter(metric -> metric.labels().containsValue("without_key"))
        .mapToDouble(metric -> metric.value())
        .sum();
  }

  /** Guards against a keyed route whose requests run without a key and without a trace of it. */
  @Test
  public void keyedRequestsWithoutKeyAreCounted() throws IOException, InterruptedException {
    serve(rule("keyed", "\"service\":\"s\""), SERVICE);
    try (Socket client = send("")) {
      TestProxy.await(() -> connections.get() == 1, "the request was not sent");
    }
    assertEquals(withoutKeyCount(), 1.0);
  }
}
