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
 * Requests that wait while the configuration changes: both upstreams stand in a region that the new
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
    /** A repeatable request was turned away by its first upstream. */
    TURNED_AWAY("GET", "idempotent", "", "") {
      @Override
      void begin(final ConfigurationAtSendTest test) throws InterruptedException {
        test.arrived.await(WAIT_SECONDS, TimeUnit.SECONDS);
      }

      @Override
      void end(final ConfigurationAtSendTest test) {
        test.answer.countDown();
      }
    },
    /** A write was turned away by its first upstream. */
    WRITE_TURNED_AWAY("POST", "mutating", "", "") {
      @Override
      void begin(final ConfigurationAtSendTest test) throws InterruptedException {
        TURNED_AWAY.begin(test);
      }

      @Override
      void end(final ConfigurationAtSendTest test) throws InterruptedException {
        TURNED_AWAY.end(test);
      }
    },
    /** The holder of the request's key turned it away. */
    HOLDER_TURNED_AWAY("POST", "mutating", ",\"partitioned\":true,\"warmS\":1.0", "") {
      @Override
      void begin(final ConfigurationAtSendTest test) throws InterruptedException {
        TURNED_AWAY.begin(test);
      }

      @Override
      void end(final ConfigurationAtSendTest test) throws InterruptedException {
        TURNED_AWAY.end(test);
      }
    },
    /** Nobody holds the request's key yet. */
    HOLDER_AWAITED("POST", "mutating", ",\"partitioned\":true,\"warmS\":1.0", "") {
      @Override
      void begin(final ConfigurationAtSendTest test) throws InterruptedException {
        test.awaitRequest();
      }

      @Override
      void end(final ConfigurationAtSendTest test) throws InterruptedException {
        test.assignHolder();
      }
    },
    /** The first upstream is slow, so that a second one would be asked beside it. */
    HEDGE("GET", "idempotent", "", "") {
      @Override
      void begin(final ConfigurationAtSendTest test) throws InterruptedException {
        TURNED_AWAY.begin(test);
      }

      @Override
      void end(final ConfigurationAtSendTest test) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(HEDGE_MILLIS);
        test.answer.countDown();
      }
    },
    /** The permit of the tenant's limit is asked for. */
    PERMIT("GET", "idempotent", "", "") {
      @Override
      void begin(final ConfigurationAtSendTest test) throws InterruptedException {
        TestProxy.await(() -> test.asked.get() != null, "no permit is asked for");
      }

      @Override
      void end(final ConfigurationAtSendTest test) throws InterruptedException {
        final long number = ((PermitRequest) test.asked.get()).number;
        test.onLoop(
            () -> test.proxy.proxyContext().permits.answered(new PermitResponse(number, 1, 2, 0)));
      }
    },
    /** The request's idempotency key is claimed. */
    CLAIM("POST", "mutating", "", "Idempotency-Key: k1\r\n") {
      @Override
      void begin(final ConfigurationAtSendTest test) throws InterruptedException {
        TestProxy.await(() -> test.asked.get() != null, "no key is claimed");
      }

      @Override
      void end(final ConfigurationAtSendTest test) throws InterruptedException {
        final KeyMessages.Claim claim = ((KeyMessages.ClaimRequest) test.asked.get()).claim;
        test.onLoop(
            () ->
                test.proxy
                    .proxyContext()
                    .keys
                    .answered(
                        new KeyMessages.ClaimResponse(
                            claim.number, KeyMessages.ClaimResult.GRANTED, claim),
                        ProxyContext.now()));
      }
    },
    /** The callers of the service have not been placed yet. */
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
    /** A cache node is asked for a copy. */
    COPY("GET", "cacheable", "", "") {
      @Override
      void begin(final ConfigurationAtSendTest test) throws InterruptedException {
        TestProxy.await(() -> test.asked.get() != null, "no copy is asked for");
      }

      @Override
      void end(final ConfigurationAtSendTest test) throws InterruptedException {
        final long number = ((CacheReadRequest) test.asked.get()).number;
        final CacheReadResponse copy =
            new CacheReadResponse(number, 200, List.of("Weldpoint-Server-Seal", "s"), new byte[4]);
        test.onLoop(
            () -> test.proxy.proxyContext().recordings.heard(CACHE_NODE, copy, ProxyContext.now()));
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

    /** Returns once the request waits. */
    abstract void begin(ConfigurationAtSendTest test) throws InterruptedException;

    /** Gives the request what it waits for. */
    abstract void end(ConfigurationAtSendTest test) throws InterruptedException;
  }

  private static final String CACHE_NODE = "127.0.0.9";
  private static final long HEDGE_MILLIS = 700;

  private final List<String> arrivals = Collections.synchronizedList(new ArrayList<>());
  private final AtomicReference<Message> asked = new AtomicReference<>();
  private CountDownLatch arrived;
  private CountDownLatch answer;
  private ServerSocket server;
  private TestProxy proxy;

  @BeforeMethod
  public void open() throws IOException {
    arrivals.clear();
    asked.set(null);
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

  /** Turns every request away, the first one when the test says so. */
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
    TestProxy.await(() -> proxy.proxyContext().open.count() == 1, "no request has come");
  }

  private void assignHolder() throws InterruptedException {
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
    onLoop(() -> proxy.proxyContext().owners.take(List.of(assignment)));
  }

  private void place() throws InterruptedException {
    final List<PlacementMessages.PlacementMember> members =
        List.of(new PlacementMessages.PlacementMember(TestProxy.UPSTREAM, 4, "b"));
    onLoop(
        () -> {
          final AffinityTable ties = proxy.proxyContext().affinity;
          ties.updatePlacements(
              new PlacementMessages.Placements(
                  1, List.of(new PlacementMessages.Placement("s", 1, 1, members, false, null))),
              ProxyContext.now());
          ties.onLeaseGrant(
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

  /** Begins with a configuration without homes and two upstreams in the region q. */
  private void begin(final Wait wait) throws InterruptedException {
    proxy.configure(
        configuration(1, wait, PLAIN, PLAIN), upstream(TestProxy.UPSTREAM), upstream("i-1"));
    onLoop(() -> attach(wait));
    if (wait == Wait.HOLDER_TURNED_AWAY) {
      assignHolder();
    }
  }

  private void attach(final Wait wait) {
    final ProxyContext context = proxy.proxyContext();
    context.tieWaitMillis = 2000;
    context.affinity = new AffinityTable("127.0.0.1", 1, 4000, ask -> {});
    context.permits = new PermitPool(this::take);
    if (wait == Wait.CLAIM) {
      context.keyHeaders = List.of("Idempotency-Key");
      context.keys = new IdempotentRequests("127.0.0.1", 1, 75_000, new Claims());
    }
    if (wait == Wait.COPY) {
      context.recordings = new CacheClient(new CacheLines());
      context.recordings.announcers(List.of(CACHE_NODE), ProxyContext.now());
    }
  }

  private boolean take(final Message message) {
    return asked.compareAndSet(null, message);
  }

  /** A registry that takes each claim and answers it when the test says so. */
  private final class Claims implements IdempotentRequests.Environment {
    @Override
    public boolean registry(final Message message) {
      take(message);
      return true;
    }

    @Override
    public void outcome(
        final KeyMessages.Claim holder,
        final long fingerprint,
        final long waitMillis,
        final java.util.function.Consumer<KeyMessages.OutcomeResponse> hears) {
      hears.accept(new KeyMessages.OutcomeResponse(KeyMessages.Outcome.UNCERTAIN));
    }

    @Override
    public void later(final Runnable task, final long millis) {
      proxy.proxyContext().loop.schedule(task, millis, TimeUnit.MILLISECONDS);
    }
  }

  /** A cache node that answers when the test says so. */
  private final class CacheLines implements CacheClient.Connections {
    @Override
    public void keep(final List<String> addresses) {
      assertEquals(addresses, List.of(CACHE_NODE));
    }

    @Override
    public boolean send(final String address, final Message message) {
      return take(message);
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

  /** Plays one request over a change; its answer. */
  private String play(final Wait wait, final String changed)
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
      assertEquals(arrivals, before, "arrivals after the change are outside of the homes");
      return response;
    }
  }

  private static void assertPromises(final String response) {
    assertEquals(response.split(" ")[1], "503", response);
    assertEquals(response.contains("retry-after: "), true, response);
  }

  @DataProvider
  public Object[][] waits() {
    final List<Object[]> rows = new ArrayList<>();
    for (final Wait wait : Wait.values()) {
      rows.add(new Object[] {wait});
    }
    return rows.toArray(new Object[0][]);
  }

  /** Guards against HOME: a request that waited obeyed the homes its route had when it came. */
  @Test(dataProvider = "waits")
  public void homesOfTheRouteBindAsTheyStandAtTheSend(final Wait wait)
      throws IOException, InterruptedException {
    assertPromises(play(wait, configuration(2, wait, HOME, PLAIN)));
  }

  /** Guards against HOME: a request that waited obeyed the homes its tenant had when it came. */
  @Test(dataProvider = "waits")
  public void homesOfTheTenantBindAsTheyStandAtTheSend(final Wait wait)
      throws IOException, InterruptedException {
    assertPromises(play(wait, configuration(2, wait, PLAIN, HOME)));
  }

  /** Guards against CONFIG: a request that waited went on by a route that was gone or moved. */
  @Test(dataProvider = "waits")
  public void aRouteThatIsGoneOrMovedIsNotUsedAnyMore(final Wait wait)
      throws IOException, InterruptedException {
    assertPromises(
        play(
            wait,
            configuration(2, wait, PLAIN, PLAIN)
                .replace("\"service\":\"s\"", "\"service\":\"other\"")));
    close();
    open();
    assertPromises(
        play(
            wait,
            configuration(2, wait, PLAIN, PLAIN)
                .replace("\"pathPrefix\":\"/w/\"", "\"pathPrefix\":\"/v/\"")));
  }
}
