package weldpoint.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import weldpoint.common.Settings;

/**
 * Guards against request smuggling: ambiguous requests are refused and nothing of them is
 * forwarded.
 */
public final class ClientConnectionTest {
  private final EventLoopGroup loop = new NioEventLoopGroup(1);

  @AfterClass
  public void end() {
    loop.shutdownGracefully();
  }

  private EmbeddedChannel channel() {
    final Settings settings =
        Settings.parse(
            "station.name = one\nstation.address = 10.0.0.1\nstation.site = a\nstation.region = r\ntrunk.ports = 7000,7015\ntrunk.seeds = 10.0.0.1:80\n");
    return new EmbeddedChannel(
        new ClientConnection.Decoder(2048),
        new HttpResponseEncoder(),
        new ClientConnection(
            new ProxyContext(
                loop, settings, new Random(1), new weldpoint.trial.TrialTracker("one", 1))));
  }

  private static String answer(final EmbeddedChannel channel) {
    final StringBuilder text = new StringBuilder();
    for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
      text.append(part.toString(StandardCharsets.UTF_8));
    }
    return text.toString();
  }

  @DataProvider
  public Object[][] invalidRequests() {
    return new Object[][] {
      {
        "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        400
      },
      {"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400},
      {"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n", 400},
      {"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n", 400},
      {"GET /a HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", 400},
      {"GET /a HTTP/1.1\r\n\r\n", 400},
      {"GET /a HTTP/1.0\r\nHost: x\r\n\r\n", 400},
      {"nonsense\r\n\r\n", 400},
      {"GET /a HTTP/1.1\r\nHost: x\r\nLong: " + "y".repeat(4000) + "\r\n\r\n", 431},
    };
  }

  @Test(dataProvider = "invalidRequests")
  public void invalidRequestIsRefusedAndConnectionClosed(final String request, final int status) {
    final EmbeddedChannel channel = channel();
    channel.writeInbound(
        Unpooled.copiedBuffer(
            request + "GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n", StandardCharsets.UTF_8));
    final String text = answer(channel);
    assertTrue(text.startsWith("HTTP/1.1 " + status), text);
    assertEquals(text.split("HTTP/1.1 [0-9]", -1).length, 2, "exactly one response");
    assertFalse(channel.isOpen());
  }

  @Test
  public void requestWithoutConfigurationGetsRetryAfter() {
    final EmbeddedChannel channel = channel();
    channel.writeInbound(
        Unpooled.copiedBuffer("GET /a HTTP/1.1\r\nHost: x\r\n\r\n", StandardCharsets.UTF_8));
    final String text = answer(channel);
    assertTrue(text.startsWith("HTTP/1.1 503"), text);
    assertTrue(text.toLowerCase().contains("retry-after: 0."), text);
    assertTrue(channel.isOpen());
  }
}
