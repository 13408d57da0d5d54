package weldpoint.cache;

import static org.testng.Assert.assertEquals;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import weldpoint.common.Settings;
import weldpoint.proxy.PermitPool;
import weldpoint.routing.RouteBinding;
import weldpoint.routing.RoutingTable;
import weldpoint.transport.RegistryMessages.Registration;
import weldpoint.upstream.UpstreamPool;

/** No fetch is sent to more upstreams than its route allows, however the upstreams respond. */
public final class OriginFetcherTest {
  private final EventLoopGroup loop = new NioEventLoopGroup(1);

  @AfterClass
  public void closeEventLoop() {
    loop.shutdownGracefully();
  }

  @DataProvider
  public Object[][] attemptCases() {
    return new Object[][] {
      {1, "", 503},
      {2, "", 503},
      {3, "", 503},
      {9, "", 503},
      {2, "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", 503},
      {2, null, 503},
      {2, "HTTP/1.1 200 OK\r\nWeldpoint-Server-Seal: s\r\nContent-Length: 4\r\n\r\nbody", 200}
    };
  }

  @Test(dataProvider = "attemptCases")
  public void fetchStaysWithinMaxAttemptsAndNeedsNoAttemptIdEcho(
      final int maxAttempts, final String response, final int expectedStatus)
      throws IOException,
          InterruptedException,
          java.util.concurrent.ExecutionException,
          java.util.concurrent.TimeoutException {
    final AtomicInteger requestCount = new AtomicInteger();
    final List<UpstreamPool.Change> changes = new ArrayList<>();
    final List<ServerSocket> servers = new ArrayList<>();
    for (int index = 0; index < 6; index++) {
      final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
      servers.add(server);
      changes.add(
          new UpstreamPool.Change(
              new Registration(
                  "i-" + index,
                  "s",
                  "127.0.0.1:" + server.getLocalPort(),
                  "a",
                  "v",
                  40,
                  0,
                  1,
                  0,
                  0),
              true));
      final Thread thread = new Thread(() -> serve(server, requestCount, response));
      thread.setDaemon(true);
      thread.start();
    }
    final Settings settings =
        Settings.parse(
            "station.name = one\nstation.address = 127.0.0.1\nstation.site = a\nstation.region = r\ntrunk.ports = 7000,7015\ntrunk.seeds = 127.0.0.1:80\nsites = a:r\nbound.retry-slack = 1000\n");
    final RoutingTable routingTable =
        RoutingTable.compile(
            ("{\"version\":\"1\",\"listeners\":[{\"host\":\"h\",\"rules\":[{\"name\":\"r\",\"routeKind\":\"idempotent\",\"targetLatencyMs\":100,\"match\":{\"pathPrefix\":\"/\"},\"action\":{\"service\":\"s\",\"timeoutMs\":1500,\"maxAttempts\":"
                    + maxAttempts
                    + "}}]}],\"pools\":[{\"name\":\"s\"}]}")
                .getBytes(StandardCharsets.UTF_8));
    final UpstreamPool upstreamPool = new UpstreamPool(loop, settings, new Random(1));
    final OriginFetcher fetcher =
        new OriginFetcher(
            loop, settings, upstreamPool, new PermitPool(message -> false), new Random(1));
    final CompletableFuture<Integer> status = new CompletableFuture<>();
    loop.execute(
        () -> {
          upstreamPool.applyChanges(changes, System.nanoTime() / 1_000_000);
          final RouteBinding binding = new RouteBinding("h", "/x", 0);
          routingTable.resolve(binding);
          fetcher.fetch(
              binding,
              "h",
              "/x",
              null,
              () -> 1,
              System.nanoTime() / 1_000_000 + 1500,
              result -> status.complete(result.status));
        });
    assertEquals(status.get(8, TimeUnit.SECONDS).intValue(), expectedStatus);
    assertEquals(
        requestCount.get(),
        expectedStatus == 200
            ? 1
            : response == null ? Math.min(2, maxAttempts) : Math.min(3, maxAttempts));
    for (final ServerSocket server : servers) {
      server.close();
    }
  }

  private static void serve(
      final ServerSocket server, final AtomicInteger requestCount, final String response) {
    while (true) {
      try {
        final Socket socket = server.accept();
        if (socket.getInputStream().read() >= 0) {
          requestCount.incrementAndGet();
          if (response != null) {
            socket.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
            socket.close();
          }
        }
      } catch (final IOException closed) {
        return;
      }
    }
  }
}
