package weldpoint.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
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

/** A connection that does not open with a valid hello is closed before any message is handled. */
public final class TransportTest {
  private final EventLoopGroup eventLoopGroup = new NioEventLoopGroup(1);
  private final AtomicInteger received = new AtomicInteger();
  private int port;

  @AfterClass
  public void shutDown() {
    eventLoopGroup.shutdownGracefully();
  }

  private static Protocol.Hello hello(final int protocol) {
    return new Protocol.Hello(protocol, "exchange", "127.0.0.1", 7);
  }

  @BeforeMethod
  public void bind() throws IOException, InterruptedException {
    try (ServerSocket socket = new ServerSocket(0)) {
      port = socket.getLocalPort();
    }
    received.set(0);
    new Transport(eventLoopGroup, hello(Serializer.PROTOCOL_VERSION))
        .bind(
            "127.0.0.1",
            port,
            new Transport.Listener() {
              @Override
              public void messageReceived(final Connection connection, final Message message) {
                received.incrementAndGet();
                connection.send(message);
              }
            });
  }

  private static byte[] frame(final int typeNumber, final byte[] body) throws IOException {
    final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    final DataOutputStream out = new DataOutputStream(bytes);
    out.writeInt(body.length + 1);
    out.writeByte(typeNumber);
    out.write(body);
    return bytes.toByteArray();
  }

  @DataProvider
  public Object[][] invalidOpenings() throws IOException {
    final Message message = new RegistryMessages.ChangesAck(3);
    final byte[] validFrame = frame(Serializer.typeNumber(message), Serializer.serialize(message));
    return new Object[][] {
      {frame(Serializer.typeNumber(hello(99)), Serializer.serialize(hello(99))), validFrame},
      {validFrame, validFrame},
      {frame(200, new byte[0]), validFrame},
      {new byte[] {127, 127, 127, 127, 1}, validFrame},
    };
  }

  @Test(dataProvider = "invalidOpenings")
  public void connectionsWithoutAMatchingHelloAreClosed(final byte[] first, final byte[] then)
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
      assertEquals(more, -1, "the connection must be closed");
    }
    assertEquals(received.get(), 0);
  }

  /** Guards against connections that an earlier release closes at a type it does not know. */
  @Test
  public void typesThatThePeerDoesNotKnowAreNotSent() {
    final Protocol.Hello current = hello(Serializer.PROTOCOL_VERSION);
    final Message latest = new KeyMessages.OutcomeStored(1);
    final Message early = new RegistryMessages.ChangesAck(3);
    assertTrue(current.knows(Transport.typeNumber(latest)));
    assertTrue(current.knows(Transport.typeNumber(Transport.encodeOnce(latest))));
    final Protocol.Hello earlier =
        Serializer.deserialize(
            Serializer.serialize(new EarlierHello(Serializer.PROTOCOL_VERSION)),
            Protocol.Hello.class);
    assertEquals(earlier.program, "exchange");
    assertTrue(earlier.knows(Transport.typeNumber(early)));
    assertFalse(earlier.knows(Transport.typeNumber(latest)));
  }

  /** Guards against HOME: a message with a response was sent to a peer in another region. */
  @Test
  public void messagesAreSentOnlyToPeersInTheGivenRegions()
      throws IOException, InterruptedException, ExecutionException, TimeoutException {
    final int portInNorth;
    try (ServerSocket socket = new ServerSocket(0)) {
      portInNorth = socket.getLocalPort();
    }
    new Transport(eventLoopGroup, hello(Serializer.PROTOCOL_VERSION).withRegion("north"))
        .bind("127.0.0.1", portInNorth, (connection, message) -> received.incrementAndGet());
    final Message message = new RegistryMessages.ChangesAck(3);
    final Transport.Connector north = connector(portInNorth);
    assertTrue(north.sendWithin(message, List.of("south", "north")));
    assertTrue(north.sendWithin(message, List.of()));
    assertFalse(north.sendWithin(message, List.of("south")));
    final Transport.Connector anywhere = connector(port);
    assertFalse(anywhere.sendWithin(message, List.of("north")), "it does not say where it is");
    assertTrue(anywhere.sendWithin(message, List.of()));
    north.close();
    anywhere.close();
  }

  private Transport.Connector connector(final int target)
      throws InterruptedException, ExecutionException, TimeoutException {
    final CompletableFuture<Void> opened = new CompletableFuture<>();
    final Transport.Connector connector =
        new Transport(eventLoopGroup, hello(Serializer.PROTOCOL_VERSION))
            .connectTo(
                "127.0.0.1",
                target,
                new Transport.Listener() {
                  @Override
                  public void opened(final Connection connection) {
                    opened.complete(null);
                  }

                  @Override
                  public void messageReceived(final Connection connection, final Message message) {
                    received.incrementAndGet();
                  }
                });
    opened.get(5, java.util.concurrent.TimeUnit.SECONDS);
    return connector;
  }

  /** The hello of releases that do not announce how many types of message they know. */
  static final class EarlierHello {
    final int protocolVersion;
    final String program = "exchange";
    final String address = "127.0.0.1";
    final long incarnation = 7;
    final Long clockMillis = null;

    EarlierHello(final int protocolVersion) {
      this.protocolVersion = protocolVersion;
    }
  }

  @Test
  public void messagesRoundTripOverAnOutgoingConnection()
      throws InterruptedException, ExecutionException, TimeoutException {
    final CompletableFuture<RegistryMessages.Gossip> answer = new CompletableFuture<>();
    final Transport.Connector connector =
        new Transport(eventLoopGroup, hello(Serializer.PROTOCOL_VERSION))
            .connectTo(
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
    assertTrue(
        Protocol.emptyIfNull(gossip.registrations).isEmpty()
            && Protocol.emptyIfNull(gossip.daemons).isEmpty());
    assertEquals(gossip.heartbeatAges, List.of(5L));
  }
}
