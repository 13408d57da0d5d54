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
 * A configuration whose version stands for another one: the operator is told so, with who sent that
 * one and when.
 */
public final class TakenVersionTest {
  private static final String BODY = "{\"version\":\"0000000c\",\"listeners\":[],\"pools\":[]}";

  private final EventLoopGroup loop = new NioEventLoopGroup(1);
  private final List<StoreMessages.StoreRequest> calls = new ArrayList<>();
  private RegistryCore core;
  private ControlServer server;
  private StoreMessages.StoreResponse next;
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
              public boolean member(final String address, final Message message) {
                return false;
              }

              @Override
              public boolean frame(final String address, final StoreMessages.StoreRequest call) {
                calls.add(call);
                core.answered(
                    address,
                    (call.operation == StoreOperation.CONTROL.ordinal()
                            ? held(call)
                            : new StoreMessages.StoreResponse(
                                call.number, next.status, next.first, next.body, null))
                        .withCaller(call.callerIncarnation),
                    0);
                return true;
              }

              @Override
              public void board(final Object stream, final Message message) {}

              @Override
              public void append(final byte[] record, final Runnable synced) {
                synced.run();
              }

              @Override
              public void peers(final List<String> members) {}
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

  /** What the frames hold: version 12, and this machine as the only voter. */
  private static StoreMessages.StoreResponse held(final StoreMessages.StoreRequest call) {
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

  private String replace(final StoreMessages.StoreResponse answer) throws IOException {
    next = answer;
    server.awake();
    server.awake();
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
  public void theRefusalNamesVersionAuthorAndTime() throws IOException {
    final String answer =
        replace(
            new StoreMessages.StoreResponse(
                0,
                409,
                12,
                Serializer.serialize(
                    new StoredValues.TakenVersion(12, "dispatch lead", 1_700_000_000_000L)),
                null));
    assertTrue(answer.startsWith("HTTP/1.1 409"), answer);
    assertTrue(
        answer.contains("\"kind\":\"VERSION_TAKEN\"")
            && answer.contains("0000000c")
            && answer.contains("dispatch lead")
            && answer.contains("2023-11-14T22:13:20Z"),
        answer);
    assertEquals(
        calls.get(calls.size() - 1).contentDigest,
        CanonicalJson.digest(BODY.getBytes(StandardCharsets.UTF_8)));
  }

  @Test
  public void whatIsNotKnownOfTheOtherIsLeftOut() throws IOException {
    final String answer =
        replace(
            new StoreMessages.StoreResponse(
                0, 409, 12, Serializer.serialize(new StoredValues.TakenVersion(12, "", 0)), null));
    assertTrue(
        answer.startsWith("HTTP/1.1 409")
            && answer.contains("0000000c")
            && !answer.contains("1970")
            && !answer.contains("sent by"),
        answer);
  }

  @Test
  public void theSameAgainIsAcknowledged() throws IOException {
    assertTrue(
        replace(new StoreMessages.StoreResponse(0, 200, 0, null, null)).startsWith("HTTP/1.1 200"));
  }

  @Test
  public void whatIsNotDecidedIsLeftUnclear() throws IOException {
    assertTrue(
        replace(new StoreMessages.StoreResponse(0, 504, 0, null, null)).startsWith("HTTP/1.1 504"));
  }
}
