package weldpoint.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
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
import java.util.function.Function;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import weldpoint.common.Settings;
import weldpoint.statestore.StoreOperation;
import weldpoint.statestore.StoredValues;
import weldpoint.transport.Message;
import weldpoint.transport.RegistryMessages;
import weldpoint.transport.Serializer;
import weldpoint.transport.StoreMessages;

/**
 * What callers of the control interface get from a daemon that is cut off: no answer with
 * authority, and that at once.
 */
public final class CutOffControlServerTest {
  private static final String BEAT =
      "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"version\":\"v\",\"capacity\":4,\"state\":\"ready\",\"warmupLeftMs\":0,\"callSeq\":1}";
  private static final String SPEC =
      "{\"version\":\"00000007\",\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"listeners\":[],\"pools\":[]}";
  private static final List<String> VOTERS =
      List.of("127.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4", "10.0.0.5");

  private static final long NOW = 1_000_000;
  private static final ControlServer.Clock CLOCK =
      new ControlServer.Clock() {
        @Override
        public long steadyMillis() {
          return NOW;
        }

        @Override
        public long dayMillis() {
          return 1_700_000_000_000L;
        }
      };

  private EventLoopGroup loop;
  private RegistryCore core;
  private int port;
  private final List<StoreMessages.StoreRequest> calls = new ArrayList<>();
  private Function<StoreMessages.StoreRequest, StoreMessages.StoreResponse> frames;

  @BeforeMethod
  public void open() throws IOException, InterruptedException {
    loop = new NioEventLoopGroup(1);
    calls.clear();
    frames = call -> null;
    try (ServerSocket socket = new ServerSocket(0)) {
      port = socket.getLocalPort();
    }
    core =
        new RegistryCore(
            "127.0.0.1",
            VOTERS,
            false,
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
                final StoreMessages.StoreResponse answer = frames.apply(call);
                if (answer != null) {
                  core.answered(address, answer.withCaller(call.callerIncarnation), now());
                }
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
    core.start(
        List.of(
            Serializer.serialize(
                PersistedRecord.membership(List.of(), SimulatedCoreNetwork.roster(4, VOTERS)))),
        now() - 60_000);
    core.boardState(
        "s",
        new RegistryMessages.DaemonEntry("10.9.0.1", "10.9.0.1:80", "a", "r", 1, false, 0),
        now());
    final Settings settings =
        Settings.parse(
            "station.name = one\nstation.address = 127.0.0.1\nstation.site = a\nstation.region = r\ntrunk.ports = 7000,7015\ntrunk.seeds = 127.0.0.1:80\nlisten.control = 127.0.0.1:"
                + port
                + "\n");
    new ControlServer(settings, core, Runnable::run, CLOCK)
        .serve(loop, settings.requiredAddress("listen.control"));
  }

  @AfterMethod
  public void end() {
    loop.shutdownGracefully();
  }

  /** The fake time, which stands still: what is answered is answered at once. */
  private static long now() {
    return NOW;
  }

  @DataProvider
  public Object[][] all() {
    final String grip = "{\"owner\":\"o\",\"holdMs\":3000,\"fenceNumber\":4}";
    return new Object[][] {
      {"POST", "/api/rpc?call=configuration.replace", SPEC},
      {
        "POST",
        "/api/rpc?call=configuration.replace",
        SPEC.replace("\"listeners\":[]", "\"listeners\":[{\"host\":\"\"}]")
      },
      {"POST", "/api/rpc?call=configuration.read", ""},
      {"POST", "/api/rpc?call=evacuation.begin&of=a", ""},
      {"POST", "/api/rpc?call=evacuation.finish&of=a", ""},
      {"POST", "/api/invalidation", "{\"tag\":\"t\"}"},
      {"POST", "/api/rpc?call=trial.begin&of=r", "{\"oldService\":\"a\",\"newService\":\"b\"}"},
      {"POST", "/api/rpc?call=trial.advance&of=r", ""},
      {"POST", "/api/rpc?call=trial.hold&of=r", ""},
      {"POST", "/api/rpc?call=trial.finish&of=r", ""},
      {"POST", "/api/rpc?call=trial.status&of=r", ""},
      {"POST", "/api/rpc?call=instances.heartbeat&of=i", BEAT},
      {"POST", "/api/rpc?call=instances.heartbeat&of=i", BEAT.replace("ready", "draining")},
      {"POST", "/api/rpc?call=instances.deregister&of=i", ""},
      {"POST", "/api/rpc?call=locks.begin&of=l", grip},
      {"POST", "/api/rpc?call=locks.heartbeat&of=l", grip},
      {"POST", "/api/rpc?call=locks.finish&of=l", grip},
      {"POST", "/api/numbers/n", "{}"},
      {"POST", "/api/rpc?call=cells.replace&of=g.k", "{\"value\":\"v\"}"},
      {"POST", "/api/rpc?call=cells.read&of=g.k", ""},
      {"GET", "/api/watch/g.?after=3&waitMs=2000", ""},
      {"GET", "/api/resolution?name=x&region=r&zone=a", ""},
    };
  }

  @Test(dataProvider = "all")
  public void isLeftWithoutAClearAnswerAtOnce(
      final String method, final String path, final String body) throws Exception {
    final int before = storeCalls();
    final String answer = call(method, path, body);
    assertTrue(answer.startsWith("HTTP/1.1 504"), answer);
    assertEquals(storeCalls(), before, "something was proposed by a daemon that is cut off");
  }

  @Test(dataProvider = "all")
  public void isSentOnOnceToOneThatHearsAMajority(
      final String method, final String path, final String body) throws Exception {
    told(100);
    final String answer = call(method, path, body);
    if (path.startsWith("/api/resolution")) {
      assertTrue(answer.startsWith("HTTP/1.1 504"), answer);
      return;
    }
    assertTrue(answer.startsWith("HTTP/1.1 307"), answer);
    final String to = path + (path.contains("?") ? "&" : "?") + "sentOn=1";
    assertTrue(
        answer
            .toLowerCase(java.util.Locale.ROOT)
            .contains(
                ("location: http://10.0.0.9:" + port + to + "\r\n")
                    .toLowerCase(java.util.Locale.ROOT)),
        answer);
    told(100);
    assertTrue(call(method, to, body).startsWith("HTTP/1.1 504"), "sent on a second time");
    told(5000);
    assertTrue(
        call(method, path, body).startsWith("HTTP/1.1 504"),
        "sent on to one that is cut off itself");
  }

  /** An exchange outside the roster tells how long ago it heard of a majority. */
  private void told(final long ageMillis) throws Exception {
    loop.submit(
            () -> {
              core.memberOpened("10.0.0.9", now());
              core.receive(
                  "10.0.0.9",
                  new RegistryMessages.ControlStateResponse(
                      0, null, false, ageMillis, 0, null, null, 0, null, 0, null, 0),
                  ignored -> {},
                  now());
            })
        .get();
  }

  @Test
  public void theStatusAndTheHistorySayWhatIsNotKnown() throws Exception {
    final String status = call("POST", "/api/rpc?call=status.read", "");
    assertTrue(
        status.startsWith("HTTP/1.1 200")
            && status.contains("\"settled\":false")
            && status.contains("\"majorityAgeMs\":-1"),
        status);
    frames =
        call ->
            call.operation == StoreOperation.HISTORY_HEAD.ordinal()
                ? new StoreMessages.StoreResponse(call.number, 504, 0, null, null)
                : call.operation == StoreOperation.HISTORY_READ.ordinal()
                    ? new StoreMessages.StoreResponse(
                        call.number,
                        200,
                        0,
                        Serializer.serialize(
                            new StoredValues.HistoryPart(1, 3, "d", 0, false, 0, List.of())),
                        null)
                    : null;
    final String history = call("POST", "/api/rpc?call=history.read", "");
    assertTrue(
        history.startsWith("HTTP/1.1 200")
            && history.contains("\"complete\":false")
            && history.contains("no majority confirmed"),
        history);
  }

  @Test
  public void anOrderThatDependsOnWhatIsHeldIsRefusedOnlyOnAMajoritysWord() throws Exception {
    loop.submit(() -> VOTERS.forEach(voter -> core.memberOpened(voter, now()))).get();
    frames =
        call ->
            call.operation == StoreOperation.CONTROL.ordinal()
                ? new StoreMessages.StoreResponse(
                    call.number,
                    200,
                    0,
                    Serializer.serialize(
                        new StoredValues.ControlSnapshot(
                            0, null, List.of(), 0, null, List.of(), 0, null, List.of(), false, 0,
                            null, null)),
                    null)
                : null;
    for (final String[] call : new String[][] {{"trial.advance", "400"}, {"trial.status", "404"}}) {
      final String answer = call("POST", "/api/rpc?call=" + call[0] + "&of=r", "");
      assertTrue(
          answer.startsWith("HTTP/1.1 " + call[1])
              && answer.contains("\"error\":")
              && answer.contains(";"),
          answer);
    }
    frames = call -> new StoreMessages.StoreResponse(call.number, 504, 0, null, null);
    for (final String call : List.of("trial.advance", "trial.status")) {
      assertTrue(call("POST", "/api/rpc?call=" + call + "&of=r", "").startsWith("HTTP/1.1 504"));
    }
    assertTrue(
        calls.stream().noneMatch(call -> call.operation == StoreOperation.TRIAL_WRITE.ordinal()),
        "something reached the store");
  }

  @Test
  public void aConfigurationThatOnlyTheFramesHaveIsNotAcknowledged() throws Exception {
    loop.submit(() -> VOTERS.forEach(voter -> core.memberOpened(voter, now()))).get();
    frames =
        call ->
            call.operation != StoreOperation.SPEC_REPLACE.ordinal()
                ? null
                : new StoreMessages.StoreResponse(call.number, 200, 7, null, null);
    try (Socket socket = send("POST", "/api/rpc?call=configuration.replace", SPEC)) {
      final long until = System.nanoTime() + 30_000_000_000L;
      while (!loop.submit(() -> core.status(now()).version().equals("00000007")).get()) {
        assertTrue(
            System.nanoTime() < until, "the exchange never took the version that the frames took");
        Thread.onSpinWait();
      }
      loop.submit(() -> core.tick(now() + 1000)).get();
      final String answer = read(socket);
      assertTrue(answer.startsWith("HTTP/1.1 504"), answer);
    }
  }

  @Test
  public void whoHearsAMajorityAnswersAsEver() throws Exception {
    loop.submit(() -> VOTERS.forEach(voter -> core.memberOpened(voter, now()))).get();
    frames =
        call ->
            call.operation == StoreOperation.NUMBER.ordinal()
                ? new StoreMessages.StoreResponse(call.number, 200, 12, null, null)
                : null;
    assertTrue(call("POST", "/api/numbers/n", "{}").contains("\"value\":12"));
    assertTrue(
        call("POST", "/api/rpc?call=instances.heartbeat&of=i", BEAT).startsWith("HTTP/1.1 200"));
    final String directory = call("GET", "/api/resolution?name=x&region=r&zone=a", "");
    assertTrue(
        directory.startsWith("HTTP/1.1 200") && directory.contains("10.9.0.1:80"), directory);
    assertFalse(loop.submit(() -> core.cutOff(now())).get());
  }

  private int storeCalls() throws Exception {
    return loop.submit(
            () ->
                (int)
                    calls.stream()
                        .filter(call -> call.operation != StoreOperation.CONTROL.ordinal())
                        .count())
        .get();
  }

  private String call(final String method, final String path, final String body)
      throws IOException {
    try (Socket socket = send(method, path, body)) {
      return read(socket);
    }
  }

  private Socket send(final String method, final String path, final String body)
      throws IOException {
    final Socket socket = new Socket();
    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    socket.setSoTimeout(5000);
    socket
        .getOutputStream()
        .write(
            (method
                    + " "
                    + path
                    + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: "
                    + body.length()
                    + "\r\n\r\n"
                    + body)
                .getBytes(StandardCharsets.UTF_8));
    return socket;
  }

  private static String read(final Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
  }
}
