package weldpoint.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The inner protocol: what does not speak it is refused before anything it says is heard. */
public final class TransportTest {
  private final EventLoopGroup loop = new NioEventLoopGroup(1);
  private final AtomicInteger heard = new AtomicInteger();
  private int port;

  @AfterClass
  public void end() {
    loop.shutdownGracefully();
  }

  private static Protocol.Hello hello(final int protocol) {
    return new Protocol.Hello(protocol, "exchange", "127.0.0.1", 7);
  }

  @BeforeMethod
  public void open() throws IOException, InterruptedException {
    try (ServerSocket socket = new ServerSocket(0)) {
      port = socket.getLocalPort();
    }
    heard.set(0);
    new Transport(loop, hello(Serializer.PROTOCOL))
        .serve(
            "127.0.0.1",
            port,
            new Transport.Listener() {
              @Override
              public void messageReceived(final Connection connection, final Message message) {
                heard.incrementAndGet();
                connection.send(message);
              }
            });
  }

  private static byte[] frame(final int kind, final byte[] body) throws IOException {
    final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    final DataOutputStream out = new DataOutputStream(bytes);
    out.writeInt(body.length + 1);
    out.writeByte(kind);
    out.write(body);
    return bytes.toByteArray();
  }

  @DataProvider
  public Object[][] strangers() throws IOException {
    final Message word = new RegistryMessages.ChangesAck(3);
    final byte[] kept = frame(Serializer.number(word), Serializer.serialize(word));
    return new Object[][] {
      {frame(Serializer.number(hello(99)), Serializer.serialize(hello(99))), kept},
      {kept, kept},
      {frame(200, new byte[0]), kept},
      {new byte[] {127, 127, 127, 127, 1}, kept},
    };
  }

  @Test(dataProvider = "strangers")
  public void whoDoesNotOpenWithThisProtocolsHelloIsRefused(final byte[] first, final byte[] then)
      throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.setSoTimeout(5000);
      socket.getOutputStream().write(first);
      socket.getOutputStream().write(then);
      final DataInputStream in = new DataInputStream(socket.getInputStream());
      final byte[] hello = new byte[in.readInt()];
      in.readFully(hello);
      int more = 0;
      try {
        more = in.read();
      } catch (final IOException reset) {
        more = -1;
      }
      assertEquals(more, -1, "the line must end");
    }
    assertEquals(heard.get(), 0);
  }

  @Test
  public void wordsTravelWholeOverADialledLine()
      throws InterruptedException, ExecutionException, TimeoutException {
    final CompletableFuture<RegistryMessages.Gossip> answer = new CompletableFuture<>();
    final Transport.Connector connector =
        new Transport(loop, hello(Serializer.PROTOCOL))
            .dial(
                "127.0.0.1",
                port,
                new Transport.Listener() {
                  @Override
                  public void opened(final Connection connection) {
                    connection.send(
                        new RegistryMessages.Gossip(
                            1,
                            42,
                            new StateStoreMessages.Roster(
                                3,
                                List.of(
                                    new StateStoreMessages.Voter("a", "s", "r", List.of(1, 2)))),
                            List.of("x"),
                            null,
                            List.of(),
                            List.of("i"),
                            List.of(5L)));
                  }

                  @Override
                  public void messageReceived(final Connection connection, final Message message) {
                    answer.complete((RegistryMessages.Gossip) message);
                  }
                });
    final RegistryMessages.Gossip gossip = answer.get(5, TimeUnit.SECONDS);
    connector.close();
    assertEquals(gossip.digest, 42);
    assertEquals(gossip.roster.voters.get(0).tokens, List.of(1, 2));
    assertTrue(Protocol.list(gossip.history).isEmpty() && Protocol.list(gossip.boards).isEmpty());
    assertEquals(gossip.ages, List.of(5L));
  }
}
