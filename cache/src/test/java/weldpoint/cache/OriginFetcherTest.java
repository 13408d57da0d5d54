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

/** Reads for copies: no read goes to more upstreams than the route allows, whatever they do. */
public final class OriginFetcherTest {
  private final EventLoopGroup loop = new NioEventLoopGroup(1);

  @AfterClass
  public void end() {
    loop.shutdownGracefully();
  }

  @DataProvider
  public Object[][] attempts() {
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

  @Test(dataProvider = "attempts")
  public void aReadKeepsToTheRoutesAttemptsAndNeedsNoEcho(
      final int most, final String answer, final int expected)
      throws IOException,
          InterruptedException,
          java.util.concurrent.ExecutionException,
          java.util.concurrent.TimeoutException {
    final AtomicInteger arrivals = new AtomicInteger();
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
      final Thread thread = new Thread(() -> serve(server, arrivals, answer));
      thread.setDaemon(true);
      thread.start();
    }
    final Settings settings =
        Settings.parse(
            "station.name = one\nstation.address = 127.0.0.1\nstation.site = a\nstation.region = r\ntrunk.ports = 7000,7015\ntrunk.seeds = 127.0.0.1:80\nsites = a:r\nbound.retry-slack = 1000\n");
    final RoutingTable routingTable =
        RoutingTable.compile(
            ("{\"version\":\"1\",\"listeners\":[{\"host\":\"h\",\"rules\":[{\"name\":\"r\",\"routeKind\":\"idempotent\",\"targetLatencyMs\":100,\"match\":{\"pathPrefix\":\"/\"},\"action\":{\"service\":\"s\",\"timeoutMs\":1500,\"maxAttempts\":"
                    + most
                    + "}}]}],\"pools\":[{\"name\":\"s\"}]}")
                .getBytes(StandardCharsets.UTF_8));
    final UpstreamPool upstreamPool = new UpstreamPool(loop, settings, new Random(1));
    final OriginFetcher fetcher =
        new OriginFetcher(
            loop, settings, upstreamPool, new PermitPool(message -> false), new Random(1));
    final CompletableFuture<Integer> status = new CompletableFuture<>();
    loop.execute(
        () -> {
          upstreamPool.apply(changes, System.nanoTime() / 1_000_000);
          final RouteBinding binding = new RouteBinding("h", "/x", 0);
          routingTable.resolve(binding);
          fetcher.fetch(
              binding,
              "h",
              "/x",
              null,
              () -> 1,
              System.nanoTime() / 1_000_000 + 1500,
              fetched -> status.complete(fetched.status));
        });
    assertEquals(status.get(8, TimeUnit.SECONDS).intValue(), expected);
    assertEquals(
        arrivals.get(),
        expected == 200 ? 1 : answer == null ? Math.min(2, most) : Math.min(3, most));
    for (final ServerSocket server : servers) {
      server.close();
    }
  }

  private static void serve(
      final ServerSocket server, final AtomicInteger arrivals, final String answer) {
    while (true) {
      try {
        final Socket socket = server.accept();
        if (socket.getInputStream().read() >= 0) {
          arrivals.incrementAndGet();
          if (answer != null) {
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
            socket.close();
          }
        }
      } catch (final IOException ended) {
        return;
      }
    }
  }
}
