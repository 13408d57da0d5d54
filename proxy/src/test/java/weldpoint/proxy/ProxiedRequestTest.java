package weldpoint.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import weldpoint.affinity.AffinityTable;
import weldpoint.common.Settings;
import weldpoint.routing.RoutingTable;
import weldpoint.transport.PlacementMessages;
import weldpoint.transport.RegistryMessages.Registration;
import weldpoint.trial.TrialTracker;
import weldpoint.upstream.UpstreamPool;

/**
 * Requests through the complete proxy pipeline to scripted upstreams: a repeatable request is
 * retried, any other never runs twice.
 */
public final class ProxiedRequestTest {
  private static final String ID = "abc";
  private static final String GOOD =
      "HTTP/1.1 200 OK\r\nWeldpoint-Attempt-Id: abc\r\nWeldpoint-Server-Seal: s\r\nContent-Length: 4\r\n\r\nbody";
  private static final String NOT_RUN =
      "HTTP/1.1 503 Busy\r\nWeldpoint-Attempt-Id: abc\r\nWeldpoint-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  private static final String FOREIGN =
      "HTTP/1.1 200 OK\r\nWeldpoint-Attempt-Id: other\r\nWeldpoint-Server-Seal: s\r\nContent-Length: 5\r\n\r\nwrong";
  private static final String SHORT =
      "HTTP/1.1 200 OK\r\nWeldpoint-Attempt-Id: abc\r\nWeldpoint-Server-Seal: s\r\nContent-Length: 400\r\n\r\nbody";
  private static final String UNSEALED =
      "HTTP/1.1 200 OK\r\nWeldpoint-Attempt-Id: abc\r\nContent-Length: 4\r\n\r\nbody";
  private static final String GARBLED = "nonsense\r\n\r\n";

  private final EventLoopGroup loop = new NioEventLoopGroup(1);
  private ProxyContext proxyContext;
  private Channel listener;
  private AtomicInteger arrivals;

  @AfterClass
  public void end() {
    loop.shutdownGracefully();
  }

  @BeforeMethod
  public void open() throws InterruptedException {
    final Settings settings =
        Settings.parse(
            "station.name = one\nstation.address = 127.0.0.1\nstation.site = a\nstation.region = r\ntrunk.ports = 7000,7015\ntrunk.seeds = 127.0.0.1:80\nsites = a:r\nbound.retry-slack = 100\n");
    proxyContext = new ProxyContext(loop, settings, new Random(1), new TrialTracker("one", 1));
    arrivals = new AtomicInteger();
    listener =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(final SocketChannel channel) {
                    channel
                        .pipeline()
                        .addLast(
                            new ClientConnection.Decoder(16_384),
                            new HttpResponseEncoder(),
                            new ClientConnection(proxyContext));
                  }
                })
            .bind(InetAddress.getLoopbackAddress(), 0)
            .sync()
            .channel();
  }

  /**
   * Starts upstreams that answer the first request of each connection from one script, in the order
   * in which requests arrive.
   */
  private void upstreams(final String... script) throws IOException, InterruptedException {
    final Registration[] registrations = new Registration[3];
    for (int index = 0; index < registrations.length; index++) {
      final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
      registrations[index] =
          new Registration(
              "i-" + index, "s", "127.0.0.1:" + server.getLocalPort(), "a", "v", 4, 0, 1, 0, 0);
      final Thread thread = new Thread(() -> serve(server, script));
      thread.setDaemon(true);
      thread.start();
    }
    final RoutingTable routingTable =
        RoutingTable.compile(
            ("{\"version\":\"1\",\"listeners\":[{\"host\":\"h\",\"rules\":["
                    + "{\"name\":\"w\",\"routeKind\":\"mutating\",\"targetLatencyMs\":5000,\"match\":{\"pathPrefix\":\"/w/\"},\"action\":{\"service\":\"s\",\"timeoutMs\":3000,\"maxAttempts\":3}},"
                    + "{\"name\":\"t\",\"routeKind\":\"mutating\",\"targetLatencyMs\":5000,\"match\":{\"pathPrefix\":\"/t/\"},\"action\":{\"service\":\"s\",\"timeoutMs\":3000,\"maxAttempts\":3,\"affinity\":{\"by\":\"header\",\"header\":\"X-Firm\"}}},"
                    + "{\"name\":\"r\",\"routeKind\":\"idempotent\",\"targetLatencyMs\":5000,\"match\":{\"pathPrefix\":\"/r/\"},\"action\":{\"service\":\"s\",\"timeoutMs\":3000,\"maxAttempts\":3}}]}],\"pools\":[{\"name\":\"s\"}]}")
                .getBytes(StandardCharsets.UTF_8));
    final List<UpstreamPool.Change> changes =
        List.of(
            new UpstreamPool.Change(registrations[0], true),
            new UpstreamPool.Change(registrations[1], true),
            new UpstreamPool.Change(registrations[2], true));
    loop.submit(
            () ->
                proxyContext.apply(
                    new ControlUpdate(routingTable, changes, null, null, 1, null, -1)))
        .sync();
  }

  private void serve(final ServerSocket server, final String... script) {
    while (true) {
      try (Socket socket = server.accept()) {
        final BufferedReader reader =
            new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        String line = reader.readLine();
        if (line == null) {
          continue;
        }
        while (line != null && !line.isEmpty()) {
          line = reader.readLine();
        }
        final String answer = script[Math.min(script.length - 1, arrivals.getAndIncrement())];
        socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
      } catch (final IOException ended) {
        return;
      }
    }
  }

  private String request(final String method, final String path) throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(
          new InetSocketAddress(
              InetAddress.getLoopbackAddress(),
              ((InetSocketAddress) listener.localAddress()).getPort()));
      socket.setSoTimeout(5000);
      socket
          .getOutputStream()
          .write(
              (method
                      + " "
                      + path
                      + " HTTP/1.1\r\nHost: h\r\nWeldpoint-Attempt-Id: "
                      + ID
                      + "\r\nWeldpoint-Deadline-Ms: 3000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
                  .getBytes(StandardCharsets.UTF_8));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  @DataProvider
  public Object[][] scripts() {
    return new Object[][] {
      {"GET", "/r/x", new String[] {GOOD}, 200, 1},
      {"GET", "/r/x", new String[] {"", GOOD}, 200, 2},
      {"GET", "/r/x", new String[] {GARBLED, GOOD}, 200, 2},
      {"GET", "/r/x", new String[] {SHORT, GOOD}, 200, 2},
      {"GET", "/r/x", new String[] {UNSEALED, GOOD}, 200, 2},
      {"GET", "/r/x", new String[] {FOREIGN, GOOD}, 200, 2},
      {"POST", "/w/x", new String[] {GOOD}, 200, 1},
      {"POST", "/w/x", new String[] {FOREIGN + GOOD}, 200, 1},
      {"POST", "/w/x", new String[] {NOT_RUN, GOOD}, 200, 2},
      {"POST", "/w/x", new String[] {"", GOOD}, 502, 1},
      {"POST", "/w/x", new String[] {GARBLED, GOOD}, 502, 1},
      {"POST", "/w/x", new String[] {SHORT, GOOD}, 502, 1},
      {"POST", "/w/x", new String[] {UNSEALED, GOOD}, 502, 1},
      {"POST", "/w/x", new String[] {NOT_RUN, "", GOOD}, 502, 2},
      {"POST", "/w/x", new String[] {NOT_RUN, NOT_RUN, NOT_RUN, NOT_RUN}, 503, 3},
      {"GET", "/none/x", new String[] {GOOD}, 404, 0},
    };
  }

  @Test(dataProvider = "scripts")
  public void responseAndAttemptCountFollowTheUpstreams(
      final String method,
      final String path,
      final String[] script,
      final int status,
      final int attempts)
      throws IOException, InterruptedException {
    upstreams(script);
    final String answer = request(method, path);
    assertTrue(answer.startsWith("HTTP/1.1 " + status), answer);
    assertEquals(arrivals.get(), attempts);
    assertFalse(answer.contains("wrong"), answer);
    assertEquals(answer.contains("Weldpoint-Server-Seal"), status == 200, answer);
    assertEquals(answer.toLowerCase().contains("retry-after"), status == 503, answer);
    listener.close();
  }

  private void takePlacement(final boolean leased, final boolean moving)
      throws InterruptedException {
    loop.submit(
            () -> {
              final long[] number = new long[1];
              proxyContext.affinity =
                  new AffinityTable("127.0.0.1", 1, 4000, ask -> number[0] = ask.number);
              final List<PlacementMessages.PlacementMember> members =
                  List.of(
                      new PlacementMessages.PlacementMember("i-0", 4, "a"),
                      new PlacementMessages.PlacementMember("i-1", 4, "a"),
                      new PlacementMessages.PlacementMember("i-2", 4, "a"));
              final List<PlacementMessages.PlacementMember> next =
                  List.of(new PlacementMessages.PlacementMember("i-9", 4, "a"));
              proxyContext.affinity.updatePlacements(
                  new PlacementMessages.Placements(
                      1,
                      List.of(
                          new PlacementMessages.Placement(
                              "s", 1, 1, members, moving, moving ? next : null))),
                  ProxyContext.now());
              if (leased) {
                proxyContext.affinity.onLeaseGrant(
                    new PlacementMessages.LeaseGrant(number[0], "127.0.0.1", 1, 4000),
                    ProxyContext.now());
              }
            })
        .sync();
  }

  @DataProvider
  public Object[][] affinityScripts() {
    return new Object[][] {
      {true, false, new String[] {GOOD}, 200, 1},
      {true, false, new String[] {NOT_RUN, GOOD}, 503, 1},
      {true, false, new String[] {"", GOOD}, 502, 1},
      {true, false, new String[] {GARBLED, GOOD}, 502, 1},
      {false, false, new String[] {GOOD}, 503, 0},
      {true, true, new String[] {GOOD}, 503, 0},
    };
  }

  @Test(dataProvider = "affinityScripts")
  public void writeWithAffinityGoesToItsNodeOrIsRefused(
      final boolean leased,
      final boolean moving,
      final String[] script,
      final int status,
      final int attempts)
      throws IOException, InterruptedException {
    upstreams(script);
    takePlacement(leased, moving);
    final String answer = request("POST", "/t/x");
    assertTrue(answer.startsWith("HTTP/1.1 " + status), answer);
    assertEquals(arrivals.get(), attempts);
    assertEquals(answer.toLowerCase().contains("retry-after"), status == 503, answer);
    listener.close();
  }

  @Test
  public void withoutPlacementWriteWithAffinityIsRefusedAndReadsContinue()
      throws IOException, InterruptedException {
    upstreams(GOOD);
    assertTrue(request("POST", "/t/x").startsWith("HTTP/1.1 503"));
    assertTrue(request("GET", "/r/x").startsWith("HTTP/1.1 200"));
    assertEquals(arrivals.get(), 1);
    listener.close();
  }
}
