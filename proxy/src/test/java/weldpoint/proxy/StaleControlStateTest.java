package weldpoint.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import weldpoint.transport.RegistryMessages.Registration;
import weldpoint.upstream.UpstreamPool;

/**
 * A proxy that has had no message of its registry for longer than a change may take to be in force,
 * with bounds of 2 s, and a time of 4 s after which it counts as disconnected.
 */
public final class StaleControlStateTest {
  /** Older than any change may take, younger than for a disconnected proxy. */
  private static final long STALE_MILLIS = 2600;

  private static final long DISCONNECTED_MILLIS = 9000;
  private static final long WAITS_MILLIS = 150;
  private static final String OK =
      "HTTP/1.1 200 OK\r\nWeldpoint-Attempt-Id: $ID\r\nWeldpoint-Server-Seal: s\r\nContent-Length: 2\r\n\r\nok";
  private static final String REJECTED =
      "HTTP/1.1 503 Busy\r\nWeldpoint-Attempt-Id: $ID\r\nWeldpoint-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

  private final AtomicInteger arrivals = new AtomicInteger();
  private String answer;
  private Runnable onArrival;
  private ScriptedUpstream old;
  private ScriptedUpstream other;
  private TestProxy proxy;

  @BeforeMethod
  public void open() throws IOException, InterruptedException {
    arrivals.set(0);
    answer = OK;
    onArrival = () -> {};
    old =
        new ScriptedUpstream(
            arrivals,
            number -> {
              onArrival.run();
              return ScriptedUpstream.Step.answer(answer);
            });
    other = new ScriptedUpstream(new AtomicInteger(), number -> ScriptedUpstream.Step.answer(OK));
    proxy = new TestProxy();
    proxy.configure(
        configuration(1, "s"),
        upstream("i-0", "s", old.port()),
        upstream("i-1", "t", other.port()));
  }

  @AfterMethod
  public void close() throws IOException {
    proxy.close();
    old.close();
    other.close();
  }

  private static String configuration(final int version, final String service) {
    return "{\"version\":\""
        + version
        + "\",\"listeners\":[{\"host\":\"h\",\"rules\":[{\"name\":\"w\",\"routeKind\":\"idempotent\","
        + "\"targetLatencyMs\":2000,\"match\":{\"pathPrefix\":\"/w/\"},\"action\":{\"service\":\""
        + service
        + "\",\"timeoutMs\":6000,\"maxAttempts\":3}}]}],\"pools\":[{\"name\":\"s\"},{\"name\":\"t\"}]}";
  }

  private static UpstreamPool.Change upstream(
      final String id, final String service, final int port) {
    return new UpstreamPool.Change(
        new Registration(id, service, "127.0.0.1:" + port, "a", "v", 4, 0, 1, 0, 0), true);
  }

  /** Sets the age of the newest proof. */
  private void renewProof(final long ageMillis) {
    final long now = ProxyContext.now();
    proxy.proxyContext().controlProof.renew(now - ageMillis, now);
  }

  private void onLoop(final Runnable task) throws InterruptedException {
    proxy.proxyContext().loop.submit(task).sync();
  }

  private Socket request(final String path) throws IOException, InterruptedException {
    final Socket client = proxy.connect();
    client
        .getOutputStream()
        .write(
            ("GET "
                    + path
                    + " HTTP/1.1\r\nHost: h\r\nWeldpoint-Attempt-Id: a1\r\nWeldpoint-Deadline-Ms: 6000\r\nConnection: close\r\n\r\n")
                .getBytes(StandardCharsets.UTF_8));
    return client;
  }

  private static String status(final Socket client) throws IOException {
    final String response =
        new String(client.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    final String status = response.split(" ")[1];
    if (status.equals("503")) {
      assertTrue(response.contains("retry-after: "), response);
    }
    return status;
  }

  /**
   * Guards against CONFIG and DRAIN: a proxy without messages keeps sending by its old control
   * state.
   */
  @Test
  public void staleControlStateSendsNothing() throws IOException, InterruptedException {
    onLoop(() -> renewProof(STALE_MILLIS));
    try (Socket client = request("/w/x")) {
      assertEquals(status(client), "503");
    }
    assertEquals(
        arrivals.get(), 0, "a request was sent by control state that may have been replaced");
  }

  /**
   * Guards against CONFIG: a proxy without messages answers 404 for a route that was added
   * elsewhere.
   */
  @Test
  public void staleControlStateDeniesNoUnknownRoute() throws IOException, InterruptedException {
    onLoop(() -> renewProof(STALE_MILLIS));
    try (Socket client = request("/new/x")) {
      assertEquals(status(client), "503");
    }
  }

  /** Guards against CONFIG: a request is handled by the version that is about to be replaced. */
  @Test
  public void requestWaitsForTheNextProof() throws IOException, InterruptedException {
    onLoop(() -> renewProof(STALE_MILLIS));
    try (Socket client = request("/w/x")) {
      TestProxy.await(
          () -> proxy.proxyContext().openRequests.count() == 1, "no request has arrived");
      TimeUnit.MILLISECONDS.sleep(WAITS_MILLIS);
      proxy.configure(configuration(2, "t"));
      onLoop(() -> renewProof(0));
      assertEquals(status(client), "200");
    }
    assertEquals(arrivals.get(), 0, "the request went to the service of the previous version");
    assertEquals(other.requests.size(), 1);
  }

  /**
   * Guards against DRAIN: a retry is sent by control state that has become too old. The request is
   * a write, since a read would be hedged earlier, while the proof still holds.
   */
  @Test
  public void staleControlStateAllowsNoRetry() throws IOException, InterruptedException {
    answer = REJECTED;
    proxy.configure(
        configuration(2, "s").replace("\"idempotent\"", "\"mutating\""),
        upstream("i-2", "s", old.port()));
    final long began = ProxyContext.now();
    onLoop(() -> renewProof(0));
    onArrival =
        () -> {
          try {
            TimeUnit.MILLISECONDS.sleep(STALE_MILLIS);
          } catch (final InterruptedException ended) {
            Thread.currentThread().interrupt();
          }
        };
    try (Socket client = request("/w/x")) {
      assertEquals(status(client), "503");
    }
    assertTrue(ProxyContext.now() - began >= STALE_MILLIS);
    assertEquals(arrivals.get(), 1, "the request was retried by old control state");
  }

  /**
   * A proxy that was disconnected for longer than a connected one can be keeps serving with what it
   * has.
   */
  @Test
  public void disconnectedProxyKeepsServing() throws IOException, InterruptedException {
    onLoop(() -> renewProof(DISCONNECTED_MILLIS));
    try (Socket client = request("/w/x")) {
      assertEquals(status(client), "200");
    }
  }

  /**
   * Guards against needless refusals: the registry cluster has no majority, so nothing can be
   * acknowledged, and proxies refuse all the same.
   */
  @Test
  public void unsettledRegistryClusterKeepsProxyServing() throws IOException, InterruptedException {
    onLoop(() -> renewProof(STALE_MILLIS));
    try (Socket client = request("/w/x")) {
      TestProxy.await(
          () -> proxy.proxyContext().openRequests.count() == 1, "no request has arrived");
      onLoop(
          () -> proxy.proxyContext().controlProof.coreUnsettled(STALE_MILLIS, ProxyContext.now()));
      assertEquals(status(client), "200");
    }
  }

  /**
   * Guards against CONFIG: a registry cluster that has been settled for long is taken for
   * unsettled.
   */
  @Test
  public void settledRegistryClusterEnforcesTheBoundAgain()
      throws IOException, InterruptedException {
    onLoop(
        () -> {
          renewProof(STALE_MILLIS);
          proxy.proxyContext().controlProof.coreUnsettled(DISCONNECTED_MILLIS, ProxyContext.now());
        });
    try (Socket client = request("/w/x")) {
      assertEquals(status(client), "503");
    }
  }

  /** A proxy that never got a proof, from registries of an older release, serves. */
  @Test
  public void proxyWithoutAnyProofServes() throws IOException, InterruptedException {
    try (Socket client = request("/w/x")) {
      assertEquals(status(client), "200");
    }
  }
}
