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
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import weldpoint.affinity.AffinityTable;
import weldpoint.transport.CacheMessages.CacheReadRequest;
import weldpoint.transport.CacheMessages.CacheReadResponse;
import weldpoint.transport.KeyMessages;
import weldpoint.transport.Message;
import weldpoint.transport.OwnershipMessages.Assignment;
import weldpoint.transport.OwnershipMessages.KeyRange;
import weldpoint.transport.OwnershipMessages.RangeState;
import weldpoint.transport.PermitMessages.PermitRequest;
import weldpoint.transport.PermitMessages.PermitResponse;
import weldpoint.transport.PlacementMessages;
import weldpoint.transport.RegistryMessages.Registration;
import weldpoint.upstream.UpstreamPool;

/**
 * Requests that wait while the configuration changes. Both upstreams are in a region that the new
 * configuration excludes, so nothing may arrive after it is in force.
 */
public final class ConfigurationAtSendTest {
  private static final String PLAIN = "";
  private static final String HOME = "\"homeRegions\":[\"r\"],";
  private static final String TENANT = "firm";
  private static final int LAST_KEY = 65_535;
  private static final long WAIT_SECONDS = 8;
  private static final long SETTLE_MILLIS = 200;

  /** What the request waits for while the configuration changes. */
  private enum Wait {
    /** A repeatable request was rejected by its first upstream. */
    REJECTED("GET", "idempotent", "", "") {
      @Override
      void begin(final ConfigurationAtSendTest test) throws InterruptedException {
        test.arrived.await(WAIT_SECONDS, TimeUnit.SECONDS);
      }

      @Override
      void end(final ConfigurationAtSendTest test) {
        test.answer.countDown();
      }
    },
    /** A write was rejected by its first upstream. */
    WRITE_REJECTED("POST", "mutating", "", "") {
      @Override
      void begin(final ConfigurationAtSendTest test) throws InterruptedException {
        REJECTED.begin(test);
      }

      @Override
      void end(final ConfigurationAtSendTest test) throws InterruptedException {
        REJECTED.end(test);
      }
    },
    /** The owner of the request's key rejected it. */
    OWNER_REJECTED("POST", "mutating", ",\"partitioned\":true,\"warmS\":1.0", "") {
      @Override
      void begin(final ConfigurationAtSendTest test) throws InterruptedException {
        REJECTED.begin(test);
      }

      @Override
      void end(final ConfigurationAtSendTest test) throws InterruptedException {
        REJECTED.end(test);
      }
    },
    /** No upstream owns the request's key yet. */
    OWNER_AWAITED("POST", "mutating", ",\"partitioned\":true,\"warmS\":1.0", "") {
      @Override
      void begin(final ConfigurationAtSendTest test) throws InterruptedException {
        test.awaitRequest();
      }

      @Override
      void end(final ConfigurationAtSendTest test) throws InterruptedException {
        test.assignOwner();
      }
    },
    /** The first upstream is slow, so that a hedged request would be sent. */
    HEDGE("GET", "idempotent", "", "") {
      @Override
      void begin(final ConfigurationAtSendTest test) throws InterruptedException {
        REJECTED.begin(test);
      }

      @Override
      void end(final ConfigurationAtSendTest test) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(HEDGE_MILLIS);
        test.answer.countDown();
      }
    },
    /** The request waits for a permit of the tenant's rate limit. */
    PERMIT("GET", "idempotent", "", "") {
      @Override
      void begin(final ConfigurationAtSendTest test) throws InterruptedException {
        TestProxy.await(() -> test.sentMessage.get() != null, "no permit was requested");
      }

      @Override
      void end(final ConfigurationAtSendTest test) throws InterruptedException {
        final long number = ((PermitRequest) test.sentMessage.get()).number;
        test.onLoop(
            () ->
                test.proxy.proxyContext().permitPool.answered(new PermitResponse(number, 1, 2, 0)));
      }
    },
    /** The request waits for the claim of its idempotency key. */
    CLAIM("POST", "mutating", "", "Idempotency-Key: k1\r\n") {
      @Override
      void begin(final ConfigurationAtSendTest test) throws InterruptedException {
        TestProxy.await(() -> test.sentMessage.get() != null, "no key was claimed");
      }

      @Override
      void end(final ConfigurationAtSendTest test) throws InterruptedException {
        final KeyMessages.Claim claim = ((KeyMessages.ClaimRequest) test.sentMessage.get()).claim;
        test.onLoop(
            () ->
                test.proxy
                    .proxyContext()
                    .idempotentRequests
                    .claimAnswered(
                        new KeyMessages.ClaimResponse(
                            claim.number, KeyMessages.ClaimResult.GRANTED, claim),
                        ProxyContext.now()));
      }
    },
    /** The request waits until the callers of the service are placed. */
    PLACEMENT("POST", "mutating", "", "") {
      @Override
      void begin(final ConfigurationAtSendTest test) throws InterruptedException {
        test.awaitRequest();
      }

      @Override
      void end(final ConfigurationAtSendTest test) throws InterruptedException {
        test.place();
      }
    },
    /** The request waits for a cache daemon. */
    CACHE("GET", "cacheable", "", "") {
      @Override
      void begin(final ConfigurationAtSendTest test) throws InterruptedException {
        TestProxy.await(() -> test.sentMessage.get() != null, "no cached object was requested");
      }

      @Override
      void end(final ConfigurationAtSendTest test) throws InterruptedException {
        final long number = ((CacheReadRequest) test.sentMessage.get()).number;
        final CacheReadResponse copy =
            new CacheReadResponse(number, 200, List.of("Weldpoint-Server-Seal", "s"), new byte[4]);
        test.onLoop(
            () ->
                test.proxy
                    .proxyContext()
                    .cacheClient
                    .responseReceived(CACHE_NODE, copy, ProxyContext.now()));
      }
    };

    private final String method;
    private final String kind;
    private final String pool;
    private final String header;

    Wait(final String method, final String kind, final String pool, final String header) {
      this.method = method;
      this.kind = kind;
      this.pool = pool;
      this.header = header;
    }

    /** Returns once the request is waiting. */
    abstract void begin(ConfigurationAtSendTest test) throws InterruptedException;

    /** Provides what the request is waiting for. */
    abstract void end(ConfigurationAtSendTest test) throws InterruptedException;
  }

  private static final String CACHE_NODE = "127.0.0.9";
  private static final long HEDGE_MILLIS = 700;

  private final List<String> arrivals = Collections.synchronizedList(new ArrayList<>());
  private final AtomicReference<Message> sentMessage = new AtomicReference<>();
  private CountDownLatch arrived;
  private CountDownLatch answer;
  private ServerSocket server;
  private TestProxy proxy;

  @BeforeMethod
  public void open() throws IOException {
    arrivals.clear();
    sentMessage.set(null);
    arrived = new CountDownLatch(1);
    answer = new CountDownLatch(1);
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    thread(
        () -> {
          while (true) {
            final Socket socket = server.accept();
            thread(() -> serve(socket));
          }
        });
    proxy = new TestProxy();
  }

  @AfterMethod
  public void close() throws IOException {
    answer.countDown();
    proxy.close();
    server.close();
  }

  private interface Body {
    void run() throws IOException, InterruptedException;
  }

  private static void thread(final Body body) {
    final Thread thread =
        new Thread(
            () -> {
              try {
                body.run();
              } catch (final IOException | InterruptedException ended) {
                Thread.currentThread().interrupt();
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  /** Rejects every request, the first one when the test allows it. */
  private void serve(final Socket socket) throws IOException, InterruptedException {
    final BufferedReader reader =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    final OutputStream out = socket.getOutputStream();
    for (String line = reader.readLine(); line != null; line = reader.readLine()) {
      String id = "";
      final String first = line;
      while (line != null && !line.isEmpty()) {
        if (line.toLowerCase(java.util.Locale.ROOT).startsWith("weldpoint-attempt-id: ")) {
          id = line.substring(line.indexOf(' ') + 1);
        }
        line = reader.readLine();
      }
      arrivals.add(first);
      arrived.countDown();
      answer.await(WAIT_SECONDS, TimeUnit.SECONDS);
      out.write(
          ("HTTP/1.1 503 Busy\r\nWeldpoint-Attempt-Id: "
                  + id
                  + "\r\nWeldpoint-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
              .getBytes(StandardCharsets.ISO_8859_1));
    }
  }

  private void onLoop(final Runnable task) throws InterruptedException {
    proxy.proxyContext().loop.submit(task).sync();
  }

  private void awaitRequest() throws InterruptedException {
    TestProxy.await(() -> proxy.proxyContext().openRequests.count() == 1, "no request has arrived");
  }

  private void assignOwner() throws InterruptedException {
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
    onLoop(() -> proxy.proxyContext().keyOwners.applyAssignments(List.of(assignment)));
  }

  private void place() throws InterruptedException {
    final List<PlacementMessages.PlacementMember> members =
        List.of(new PlacementMessages.PlacementMember(TestProxy.UPSTREAM, 4, "b"));
    onLoop(
        () -> {
          final AffinityTable affinity = proxy.proxyContext().affinity;
          affinity.updatePlacements(
              new PlacementMessages.Placements(
                  1, List.of(new PlacementMessages.Placement("s", 1, 1, members, false, null))),
              ProxyContext.now());
          affinity.onLeaseGrant(
              new PlacementMessages.LeaseGrant(1, "127.0.0.1", 1, 4000), ProxyContext.now());
        });
  }

  private String configuration(
      final int version, final Wait wait, final String routeHomes, final String tenantHomes) {
    final String affinity =
        wait == Wait.PLACEMENT ? ",\"affinity\":{\"by\":\"header\",\"header\":\"X-Firm\"}" : "";
    return "{\"version\":\""
        + version
        + "\",\"tenants\":[{\"name\":\""
        + TENANT
        + "\","
        + tenantHomes
        + (wait == Wait.PERMIT ? "\"ratePerS\":100," : "")
        + "\"apiKeys\":[\"key\"]}],\"listeners\":[{\"host\":\"h\",\"rules\":[{\"name\":\"w\",\"routeKind\":\""
        + wait.kind
        + "\",\"cacheTtlS\":10,\"targetLatencyMs\":"
        + (wait == Wait.HEDGE ? 1000 : 2000)
        + ",\"match\":{\"pathPrefix\":\"/w/\"},\"action\":{\"service\":\"s\","
        + routeHomes
        + "\"timeoutMs\":3000,\"maxAttempts\":3"
        + affinity
        + "}}]}],\"pools\":[{\"name\":\"s\""
        + wait.pool
        + "},{\"name\":\"other\"}]}";
  }

  /** Starts with a configuration without home regions and two upstreams in the region q. */
  private void begin(final Wait wait) throws InterruptedException {
    proxy.configure(
        configuration(1, wait, PLAIN, PLAIN), upstream(TestProxy.UPSTREAM), upstream("i-1"));
    onLoop(() -> attachStubs(wait));
    if (wait == Wait.OWNER_REJECTED) {
      assignOwner();
    }
  }

  private void attachStubs(final Wait wait) {
    final ProxyContext context = proxy.proxyContext();
    context.affinityWaitMillis = 2000;
    context.affinity = new AffinityTable("127.0.0.1", 1, 4000, ask -> {});
    context.permitPool = new PermitPool(this::recordMessage);
    if (wait == Wait.CLAIM) {
      context.keyHeaders = List.of("Idempotency-Key");
      context.idempotentRequests = new IdempotentRequests("127.0.0.1", 1, 75_000, new Claims());
    }
    if (wait == Wait.CACHE) {
      context.cacheClient = new CacheClient(new CacheConnections());
      context.cacheClient.updateDaemons(List.of(CACHE_NODE), ProxyContext.now());
    }
  }

  private boolean recordMessage(final Message message) {
    return sentMessage.compareAndSet(null, message);
  }

  /** A registry that accepts each claim and answers it when the test does. */
  private final class Claims implements IdempotentRequests.Environment {
    @Override
    public boolean sendToRegistry(final Message message) {
      recordMessage(message);
      return true;
    }

    @Override
    public boolean sendToRegistryWithin(
        final Message message, final java.util.List<String> regions) {
      return sendToRegistry(message);
    }

    @Override
    public void queryOutcome(
        final KeyMessages.Claim holder,
        final long fingerprint,
        final long waitMillis,
        final java.util.function.Consumer<KeyMessages.OutcomeResponse> callback) {
      callback.accept(new KeyMessages.OutcomeResponse(KeyMessages.Outcome.UNCERTAIN));
    }

    @Override
    public void schedule(final Runnable task, final long millis) {
      proxy.proxyContext().loop.schedule(task, millis, TimeUnit.MILLISECONDS);
    }
  }

  /** A cache daemon that responds when the test does. */
  private final class CacheConnections implements CacheClient.Connections {
    @Override
    public void keep(final List<String> addresses) {
      assertEquals(addresses, List.of(CACHE_NODE));
    }

    @Override
    public boolean send(final String address, final Message message) {
      return recordMessage(message);
    }

    @Override
    public long silentMillis(final String address) {
      return 0;
    }
  }

  private UpstreamPool.Change upstream(final String id) {
    return new UpstreamPool.Change(
        new Registration(id, "s", "127.0.0.1:" + server.getLocalPort(), "b", "v", 4, 0, 1, 0, 0),
        true);
  }

  /** Sends one request across a configuration change; returns the response. */
  private String sendAcrossChange(final Wait wait, final String changed)
      throws IOException, InterruptedException {
    begin(wait);
    try (Socket client = proxy.connect()) {
      client
          .getOutputStream()
          .write(
              (wait.method
                      + " /w/x HTTP/1.1\r\nHost: h\r\nWeldpoint-Attempt-Id: a1\r\nWeldpoint-Shard-Key: 7\r\nX-Firm: f\r\n"
                      + "Authorization: Bearer key\r\nWeldpoint-Deadline-Ms: 3000\r\nConnection: close\r\nContent-Length: 0\r\n"
                      + wait.header
                      + "\r\n")
                  .getBytes(StandardCharsets.UTF_8));
      wait.begin(this);
      proxy.configure(changed);
      final List<String> before = List.copyOf(arrivals);
      wait.end(this);
      final String response =
          new String(client.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
      assertEquals(
          arrivals,
          before,
          "a request reached an upstream outside the home regions after the change");
      return response;
    }
  }

  private static void assertNotExecuted(final String response) {
    assertEquals(response.split(" ")[1], "503", response);
    assertEquals(response.contains("retry-after: "), true, response);
  }

  @DataProvider
  public Object[][] allWaits() {
    final List<Object[]> rows = new ArrayList<>();
    for (final Wait wait : Wait.values()) {
      rows.add(new Object[] {wait});
    }
    return rows.toArray(new Object[0][]);
  }

  /**
   * Guards against HOME: a request that waited obeyed the home regions its route had on its
   * arrival.
   */
  @Test(dataProvider = "allWaits")
  public void routeHomeRegionsAreCheckedAtSend(final Wait wait)
      throws IOException, InterruptedException {
    assertNotExecuted(sendAcrossChange(wait, configuration(2, wait, HOME, PLAIN)));
  }

  /**
   * Guards against HOME: a request that waited obeyed the home regions its tenant had on its
   * arrival.
   */
  @Test(dataProvider = "allWaits")
  public void tenantHomeRegionsAreCheckedAtSend(final Wait wait)
      throws IOException, InterruptedException {
    assertNotExecuted(sendAcrossChange(wait, configuration(2, wait, PLAIN, HOME)));
  }

  /**
   * Guards against CONFIG: a request that waited was sent by a route that had been removed or
   * moved.
   */
  @Test(dataProvider = "allWaits")
  public void removedOrMovedRouteIsNotUsed(final Wait wait)
      throws IOException, InterruptedException {
    assertNotExecuted(
        sendAcrossChange(
            wait,
            configuration(2, wait, PLAIN, PLAIN)
                .replace("\"service\":\"s\"", "\"service\":\"other\"")));
    close();
    open();
    assertNotExecuted(
        sendAcrossChange(
            wait,
            configuration(2, wait, PLAIN, PLAIN)
                .replace("\"pathPrefix\":\"/w/\"", "\"pathPrefix\":\"/v/\"")));
  }
}
