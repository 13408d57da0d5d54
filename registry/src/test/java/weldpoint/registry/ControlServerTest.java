package weldpoint.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import weldpoint.common.Settings;
import weldpoint.transport.Message;
import weldpoint.transport.StoreMessages;

/**
 * Invalid calls of operators, upstreams and applications are refused with reason and remedy, and
 * cause no call to the state store.
 */
public final class ControlServerTest {
  private static final String HEARTBEAT =
      "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"version\":\"v\",\"capacity\":4,\"state\":\"ready\",\"warmupLeftMs\":0,\"callSeq\":1}";

  private final EventLoopGroup loop = new NioEventLoopGroup(1);
  private int port;
  private int storeCalls;

  @BeforeClass
  public void open() throws IOException, InterruptedException {
    try (ServerSocket socket = new ServerSocket(0)) {
      port = socket.getLocalPort();
    }
    final RegistryCore core =
        new RegistryCore(
            "127.0.0.1",
            List.of("127.0.0.1"),
            true,
            1500,
            new Random(1),
            new RegistryCore.Environment() {
              @Override
              public boolean sendToMember(final String address, final Message message) {
                return false;
              }

              @Override
              public boolean sendToReplica(
                  final String address, final StoreMessages.StoreRequest call) {
                storeCalls++;
                return true;
              }

              @Override
              public void sendToStream(final Object stream, final Message message) {}

              @Override
              public void append(final byte[] record, final Runnable synced) {}

              @Override
              public void updatePeers(final List<String> members) {}
            });
    core.start(List.of(), 0);
    final Settings settings =
        Settings.parse(
            "station.name = one\nstation.address = 127.0.0.1\nstation.site = a\nstation.region = r\ntrunk.ports = 7000,7015\ntrunk.seeds = 127.0.0.1:80\nlisten.control = 127.0.0.1:"
                + port
                + "\n");
    new ControlServer(settings, core, Runnable::run)
        .serve(loop, settings.requiredAddress("listen.control"));
  }

  @AfterClass
  public void end() {
    loop.shutdownGracefully();
  }

  @DataProvider
  public Object[][] invalidCalls() {
    return new Object[][] {
      {"POST", "/api/rpc?call=fly&of=x", "{}", 404},
      {"GET", "/api/rpc?call=instances.heartbeat&of=i", "", 405},
      {"GET", "/api/numbers/n", "", 405},
      {"POST", "/nothing", "", 404},
      {
        "POST",
        "/api/rpc?call=instances.heartbeat&of=i",
        HEARTBEAT.replace("\"callSeq\":1", "\"x\":1"),
        400
      },
      {"POST", "/api/rpc?call=instances.heartbeat&of=i", HEARTBEAT.replace("ready", "asleep"), 400},
      {
        "POST",
        "/api/rpc?call=instances.heartbeat&of=i",
        HEARTBEAT.replace("10.0.0.1:80", "nowhere"),
        400
      },
      {"POST", "/api/rpc?call=instances.heartbeat&of=", HEARTBEAT, 400},
      {"POST", "/api/rpc?call=instances.heartbeat&of=i", "{\"service", 400},
      {"POST", "/api/rpc?call=locks.begin&of=l", "{\"owner\":\"o\"}", 400},
      {"POST", "/api/rpc?call=locks.finish&of=l", "{\"owner\":\"o\"}", 400},
      {"POST", "/api/rpc?call=cells.replace&of=g.k", "{}", 400},
      {"GET", "/api/watch/g.?after=x", "", 400},
      {"POST", "/api/rpc?call=configuration.replace", "{\"version\":\"1\",\"listeners\":[", 400},
      {
        "POST",
        "/api/rpc?call=configuration.replace",
        "{\"version\":\"1\",\"listeners\":[{\"host\":\"\"}],\"pools\":[]}",
        400
      },
      {"GET", "/api/resolution?region=r&zone=a", "", 503},
    };
  }

  @Test(dataProvider = "invalidCalls")
  public void invalidCallIsRefusedWithReason(
      final String method, final String path, final String body, final int status)
      throws IOException {
    final int before = storeCalls;
    final String response =
        call(
            method
                + " "
                + path
                + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body);
    assertTrue(response.startsWith("HTTP/1.1 " + status), response);
    assertTrue(
        response.contains("\"error\":") && response.contains(";"),
        "no reason or no remedy: " + response);
    assertEquals(storeCalls, before);
  }

  @Test
  public void oversizedBodyIsRefusedUnread() throws IOException {
    final String response =
        call(
            "POST /api/rpc?call=configuration.replace HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\nConnection: close\r\n\r\n");
    assertTrue(response.startsWith("HTTP/1.1 413"), response);
  }

  @Test
  public void validHeartbeatIsAcknowledged() throws IOException {
    assertTrue(
        call("POST /api/rpc?call=instances.heartbeat&of=i HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: "
                + HEARTBEAT.length()
                + "\r\n\r\n"
                + HEARTBEAT)
            .startsWith("HTTP/1.1 200"));
  }

  private String call(final String request) throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
      socket.setSoTimeout(5000);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }
}
