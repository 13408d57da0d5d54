package weldpoint.proxy;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import weldpoint.common.Settings;
import weldpoint.routing.RoutingTable;
import weldpoint.transport.RegistryMessages.Registration;
import weldpoint.upstream.UpstreamPool;

/**
 * A proxy in this process on loopback, with one upstream, whose control state the test provides.
 */
final class TestProxy implements AutoCloseable {
  /** The host of the routes. */
  static final String HOST = "h";

  /** The id of the upstream. */
  static final String UPSTREAM = "i-0";

  private static final int RECEIVE_BUFFER_BYTES = 16 << 10;
  private static final int SWEEP_MILLIS = 20;
  private static final long WAIT_MILLIS = 8000;

  private final ProxyDaemon daemon;
  private final int port;

  TestProxy() throws IOException {
    port = freePort();
    daemon =
        new ProxyDaemon(
            Settings.parse(
                "station.name = one\nstation.address = 127.0.0.1\nstation.site = a\nstation.region = r\nsites = a:r,b:q\nbound.grace-s = 6\nbound.retry-slack = 100\ntrunk.ports = 7000,7015\ntrunk.seeds = 127.0.0.1:80\nlisten.traffic = 127.0.0.1:"
                    + port
                    + "\n"));
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  ProxyDaemon daemon() {
    return daemon;
  }

  ProxyContext proxyContext() {
    return daemon.proxyContext();
  }

  /**
   * Puts a configuration in force and starts to close idle connections.
   *
   * @param rule the one rule of its host, as JSON
   * @param pool the one service, as JSON
   * @param idleMillis the idle timeout of connections, in milliseconds
   */
  void serve(final String rule, final String pool, final int idleMillis, final int upstreamPort)
      throws InterruptedException {
    final RoutingTable routingTable =
        RoutingTable.compile(
            ("{\"version\":\"1\",\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":"
                    + idleMillis
                    + "},\"listeners\":[{\"host\":\""
                    + HOST
                    + "\",\"rules\":["
                    + rule
                    + "]}],\"pools\":["
                    + pool
                    + "]}")
                .getBytes(StandardCharsets.UTF_8));
    final Registration registration =
        new Registration(UPSTREAM, "s", "127.0.0.1:" + upstreamPort, "a", "v", 4, 0, 1, 0, 0);
    final List<UpstreamPool.Change> changes = List.of(new UpstreamPool.Change(registration, true));
    proxyContext()
        .loop
        .submit(
            () ->
                proxyContext()
                    .apply(new ControlUpdate(routingTable, changes, null, null, 1, null, -1)))
        .sync();
    proxyContext()
        .loop
        .scheduleAtFixedRate(
            daemon::checkTimeouts, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Puts a complete configuration, as JSON, and changes of upstreams in force. */
  void configure(final String configuration, final UpstreamPool.Change... changes)
      throws InterruptedException {
    final RoutingTable routingTable =
        RoutingTable.compile(configuration.getBytes(StandardCharsets.UTF_8));
    proxyContext()
        .loop
        .submit(
            () ->
                proxyContext()
                    .apply(
                        new ControlUpdate(routingTable, List.of(changes), null, null, 1, null, -1)))
        .sync();
  }

  /** Opens a client connection with a small receive buffer. */
  Socket connect() throws IOException, InterruptedException {
    final long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MILLIS);
    while (true) {
      final Socket socket = new Socket();
      try {
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        socket.setSoTimeout((int) WAIT_MILLIS);
        return socket;
      } catch (final IOException notYetOpen) {
        assertTrue(System.nanoTime() < until, "the proxy does not accept connections");
        TimeUnit.MILLISECONDS.sleep(10);
      }
    }
  }

  /** Waits until the condition holds; fails with {@code what} after the time limit. */
  static void await(final BooleanSupplier reached, final String what) throws InterruptedException {
    final long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MILLIS);
    while (!reached.getAsBoolean()) {
      assertTrue(System.nanoTime() < until, what);
      TimeUnit.MILLISECONDS.sleep(5);
    }
  }

  @Override
  public void close() {
    proxyContext().loop.shutdownGracefully();
  }
}
