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
import org.testng.annotations.Test;
import weldpoint.common.Settings;
import weldpoint.routing.RoutingTable;

/** Unfavourable interleavings of the threads of a proxy. */
public final class ProxyThreadsTest {
  private static int port() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  @Test
  public void configurationBeforeEndOfStartOpensTheListener()
      throws IOException, InterruptedException {
    final int trafficPort = port();
    final ProxyDaemon daemon =
        new ProxyDaemon(
            Settings.parse(
                "station.name = one\nstation.address = 127.0.0.1\nstation.site = a\nstation.region = r\ntrunk.ports = 7000,7015\ntrunk.seeds = 127.0.0.1:80\nlisten.traffic = 127.0.0.1:"
                    + trafficPort
                    + "\n"));
    final RoutingTable routingTable =
        RoutingTable.compile(
            "{\"version\":\"1\",\"listeners\":[],\"pools\":[]}".getBytes(StandardCharsets.UTF_8));
    daemon
        .proxyContext()
        .loop
        .submit(
            () ->
                daemon
                    .proxyContext()
                    .apply(new ControlUpdate(routingTable, List.of(), null, null, 1, null, -1)))
        .sync();
    final long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(8);
    boolean open = false;
    while (!open && System.nanoTime() < until) {
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), trafficPort));
        open = true;
      } catch (final IOException notYet) {
        TimeUnit.MILLISECONDS.sleep(5);
      }
    }
    assertTrue(open, "the traffic listener was not opened within 8 s");
    daemon.proxyContext().loop.shutdownGracefully();
  }
}
