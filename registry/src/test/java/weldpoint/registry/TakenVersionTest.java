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
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import weldpoint.audit.CanonicalJson;
import weldpoint.common.Settings;
import weldpoint.statestore.StoreOperation;
import weldpoint.statestore.StoredValues;
import weldpoint.transport.Compression;
import weldpoint.transport.Message;
import weldpoint.transport.Serializer;
import weldpoint.transport.StateStoreMessages;
import weldpoint.transport.StoreMessages;

/**
 * A configuration whose version is taken by another configuration is refused; the message names the
 * author and the time of the other one.
 */
public final class TakenVersionTest {
  private static final String BODY = "{\"version\":\"0000000c\",\"listeners\":[],\"pools\":[]}";

  private final EventLoopGroup loop = new NioEventLoopGroup(1);
  private final List<StoreMessages.StoreRequest> calls = new ArrayList<>();
  private RegistryCore core;
  private ControlServer server;
  private StoreMessages.StoreResponse nextResponse;
  private int port;

  @BeforeClass
  public void open() throws IOException, InterruptedException {
    try (ServerSocket socket = new ServerSocket(0)) {
      port = socket.getLocalPort();
    }
    core =
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
                calls.add(call);
                core.onStoreResponse(
                    address,
                    (call.operation == StoreOperation.CONTROL.ordinal()
                            ? storedState(call)
                            : new StoreMessages.StoreResponse(
                                call.number,
                                nextResponse.status,
                                nextResponse.first,
                                nextResponse.body,
                                null))
                        .withCaller(call.callerIncarnation),
                    0);
                return true;
              }

              @Override
              public void sendToStream(final Object stream, final Message message) {}

              @Override
              public void append(final byte[] record, final Runnable synced) {
                synced.run();
              }

              @Override
              public void updatePeers(final List<String> members) {}
            });
    core.start(List.of(), 0);
    final Settings settings =
        Settings.parse(
            "station.name = one\nstation.address = 127.0.0.1\nstation.site = a\nstation.region = r\ntrunk.ports = 7000,7015\ntrunk.seeds = 127.0.0.1:80\nlisten.control = 127.0.0.1:"
                + port
                + "\n");
    server = new ControlServer(settings, core, Runnable::run, ControlServer.Clock.SYSTEM);
    server.serve(loop, settings.requiredAddress("listen.control"));
  }

  @AfterClass
  public void end() {
    loop.shutdownGracefully();
  }

  /** The control state of the state store: version 12, and this registry as the only voter. */
  private static StoreMessages.StoreResponse storedState(final StoreMessages.StoreRequest call) {
    final StateStoreMessages.Roster roster =
        new StateStoreMessages.Roster(
            1, List.of(new StateStoreMessages.Voter("127.0.0.1", "a", "r", List.of())));
    return new StoreMessages.StoreResponse(
        call.number,
        200,
        12,
        Serializer.serialize(
            new StoredValues.ControlSnapshot(
                12,
                Compression.deflate(BODY.getBytes(StandardCharsets.UTF_8)),
                List.of(),
                0,
                roster,
                List.of(),
                0,
                null,
                List.of(),
                false,
                0,
                null,
                null)),
        null);
  }

  private String replace(final StoreMessages.StoreResponse response) throws IOException {
    nextResponse = response;
    server.recordTick();
    server.recordTick();
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
      socket.setSoTimeout(5000);
      socket
          .getOutputStream()
          .write(
              ("POST /api/rpc?call=configuration.replace HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: "
                      + BODY.length()
                      + "\r\n\r\n"
                      + BODY)
                  .getBytes(StandardCharsets.UTF_8));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  @Test
  public void refusalNamesVersionAuthorAndTime() throws IOException {
    final String response =
        replace(
            new StoreMessages.StoreResponse(
                0,
                409,
                12,
                Serializer.serialize(
                    new StoredValues.TakenVersion(12, "dispatch lead", 1_700_000_000_000L)),
                null));
    assertTrue(response.startsWith("HTTP/1.1 409"), response);
    assertTrue(
        response.contains("\"kind\":\"VERSION_TAKEN\"")
            && response.contains("0000000c")
            && response.contains("dispatch lead")
            && response.contains("2023-11-14T22:13:20Z"),
        response);
    assertEquals(
        calls.get(calls.size() - 1).contentDigest,
        CanonicalJson.digest(BODY.getBytes(StandardCharsets.UTF_8)));
  }

  @Test
  public void unknownAuthorAndTimeAreOmitted() throws IOException {
    final String response =
        replace(
            new StoreMessages.StoreResponse(
                0, 409, 12, Serializer.serialize(new StoredValues.TakenVersion(12, "", 0)), null));
    assertTrue(
        response.startsWith("HTTP/1.1 409")
            && response.contains("0000000c")
            && !response.contains("1970")
            && !response.contains("sent by"),
        response);
  }

  @Test
  public void identicalConfigurationIsAcknowledged() throws IOException {
    assertTrue(
        replace(new StoreMessages.StoreResponse(0, 200, 0, null, null)).startsWith("HTTP/1.1 200"));
  }

  @Test
  public void undecidedReplacementGetsTimeout() throws IOException {
    assertTrue(
        replace(new StoreMessages.StoreResponse(0, 504, 0, null, null)).startsWith("HTTP/1.1 504"));
  }
}
