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
 * A registry that is cut off from the majority gives callers of the control interface no
 * authoritative response: it redirects the call or responds 504, and does so at once.
 */
public final class CutOffControlServerTest {
  private static final String HEARTBEAT =
      "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"version\":\"v\",\"capacity\":4,\"state\":\"ready\",\"warmupLeftMs\":0,\"callSeq\":1}";
  private static final String CONFIGURATION =
      "{\"version\":\"00000007\",\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"listeners\":[],\"pools\":[]}";
  private static final List<String> VOTERS =
      List.of("127.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4", "10.0.0.5");

  private static final long NOW = 1_000_000;
  private static final ControlServer.Clock CLOCK =
      new ControlServer.Clock() {
        @Override
        public long monotonicMillis() {
          return NOW;
        }

        @Override
        public long wallMillis() {
          return 1_700_000_000_000L;
        }
      };

  private EventLoopGroup loop;
  private RegistryCore core;
  private int port;
  private final List<StoreMessages.StoreRequest> calls = new ArrayList<>();
  private Function<StoreMessages.StoreRequest, StoreMessages.StoreResponse> replicaResponder;

  @BeforeMethod
  public void open() throws IOException, InterruptedException {
    loop = new NioEventLoopGroup(1);
    calls.clear();
    replicaResponder = call -> null;
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
              public boolean sendToMember(final String address, final Message message) {
                return false;
              }

              @Override
              public boolean sendToReplica(
                  final String address, final StoreMessages.StoreRequest call) {
                calls.add(call);
                final StoreMessages.StoreResponse response = replicaResponder.apply(call);
                if (response != null) {
                  core.onStoreResponse(address, response.withCaller(call.callerIncarnation), now());
                }
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
    core.start(
        List.of(
            Serializer.serialize(
                PersistedRecord.membership(List.of(), SimulatedCoreNetwork.roster(4, VOTERS)))),
        now() - 60_000);
    core.onDaemonReport(
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

  /** The fake time, which never advances: every response is sent without waiting. */
  private static long now() {
    return NOW;
  }

  @DataProvider
  public Object[][] affectedCalls() {
    final String lockRequest = "{\"owner\":\"o\",\"holdMs\":3000,\"fenceNumber\":4}";
    return new Object[][] {
      {"POST", "/api/rpc?call=configuration.replace", CONFIGURATION},
      {
        "POST",
        "/api/rpc?call=configuration.replace",
        CONFIGURATION.replace("\"listeners\":[]", "\"listeners\":[{\"host\":\"\"}]")
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
      {"POST", "/api/rpc?call=instances.heartbeat&of=i", HEARTBEAT},
      {"POST", "/api/rpc?call=instances.heartbeat&of=i", HEARTBEAT.replace("ready", "draining")},
      {"POST", "/api/rpc?call=instances.deregister&of=i", ""},
      {"POST", "/api/rpc?call=locks.begin&of=l", lockRequest},
      {"POST", "/api/rpc?call=locks.heartbeat&of=l", lockRequest},
      {"POST", "/api/rpc?call=locks.finish&of=l", lockRequest},
      {"POST", "/api/numbers/n", "{}"},
      {"POST", "/api/rpc?call=cells.replace&of=g.k", "{\"value\":\"v\"}"},
      {"POST", "/api/rpc?call=cells.read&of=g.k", ""},
      {"GET", "/api/watch/g.?after=3&waitMs=2000", ""},
      {"GET", "/api/resolution?name=x&region=r&zone=a", ""},
    };
  }

  @Test(dataProvider = "affectedCalls")
  public void callGetsNoAuthoritativeResponse(
      final String method, final String path, final String body) throws Exception {
    final int before = storeCalls();
    final String response = call(method, path, body);
    assertTrue(response.startsWith("HTTP/1.1 504"), response);
    assertEquals(
        storeCalls(), before, "a daemon that is cut off sent a request to the state store");
  }

  @Test(dataProvider = "affectedCalls")
  public void callIsRedirectedOnceToRegistryThatHearsMajority(
      final String method, final String path, final String body) throws Exception {
    reportMajorityAge(100);
    final String response = call(method, path, body);
    if (path.startsWith("/api/resolution")) {
      assertTrue(response.startsWith("HTTP/1.1 504"), response);
      return;
    }
    assertTrue(response.startsWith("HTTP/1.1 307"), response);
    final String to = path + (path.contains("?") ? "&" : "?") + "sentOn=1";
    assertTrue(
        response
            .toLowerCase(java.util.Locale.ROOT)
            .contains(
                ("location: http://10.0.0.9:" + port + to + "\r\n")
                    .toLowerCase(java.util.Locale.ROOT)),
        response);
    reportMajorityAge(100);
    assertTrue(call(method, to, body).startsWith("HTTP/1.1 504"), "redirected a second time");
    reportMajorityAge(5000);
    assertTrue(
        call(method, path, body).startsWith("HTTP/1.1 504"),
        "redirected to a registry that is cut off itself");
  }

  /** A registry outside the roster reports how long ago a majority was confirmed to it. */
  private void reportMajorityAge(final long ageMillis) throws Exception {
    loop.submit(
            () -> {
              core.onMemberConnected("10.0.0.9", now());
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
  public void statusAndHistoryReportWhatIsNotKnown() throws Exception {
    final String status = call("POST", "/api/rpc?call=status.read", "");
    assertTrue(
        status.startsWith("HTTP/1.1 200")
            && status.contains("\"settled\":false")
            && status.contains("\"majorityAgeMs\":-1"),
        status);
    replicaResponder =
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
  public void trialCallIsRefusedOnlyOnStateConfirmedByMajority() throws Exception {
    loop.submit(() -> VOTERS.forEach(voter -> core.onMemberConnected(voter, now()))).get();
    replicaResponder =
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
      final String response = call("POST", "/api/rpc?call=" + call[0] + "&of=r", "");
      assertTrue(
          response.startsWith("HTTP/1.1 " + call[1])
              && response.contains("\"error\":")
              && response.contains(";"),
          response);
    }
    replicaResponder = call -> new StoreMessages.StoreResponse(call.number, 504, 0, null, null);
    for (final String call : List.of("trial.advance", "trial.status")) {
      assertTrue(call("POST", "/api/rpc?call=" + call + "&of=r", "").startsWith("HTTP/1.1 504"));
    }
    assertTrue(
        calls.stream().noneMatch(call -> call.operation == StoreOperation.TRIAL_WRITE.ordinal()),
        "a trial was written to the state store");
  }

  @Test
  public void configurationOnlyInStateStoreIsNotAcknowledged() throws Exception {
    loop.submit(() -> VOTERS.forEach(voter -> core.onMemberConnected(voter, now()))).get();
    replicaResponder =
        call ->
            call.operation != StoreOperation.CONFIGURATION_REPLACE.ordinal()
                ? null
                : new StoreMessages.StoreResponse(call.number, 200, 7, null, null);
    try (Socket socket = send("POST", "/api/rpc?call=configuration.replace", CONFIGURATION)) {
      final long until = System.nanoTime() + 30_000_000_000L;
      while (!loop.submit(() -> core.status(now()).version().equals("00000007")).get()) {
        assertTrue(
            System.nanoTime() < until,
            "the registry never applied the version that the state store accepted");
        Thread.onSpinWait();
      }
      loop.submit(() -> core.tick(now() + 1000)).get();
      final String response = read(socket);
      assertTrue(response.startsWith("HTTP/1.1 504"), response);
    }
  }

  @Test
  public void registryThatHearsMajorityAnswersNormally() throws Exception {
    loop.submit(() -> VOTERS.forEach(voter -> core.onMemberConnected(voter, now()))).get();
    replicaResponder =
        call ->
            call.operation == StoreOperation.NUMBER.ordinal()
                ? new StoreMessages.StoreResponse(call.number, 200, 12, null, null)
                : null;
    assertTrue(call("POST", "/api/numbers/n", "{}").contains("\"value\":12"));
    assertTrue(
        call("POST", "/api/rpc?call=instances.heartbeat&of=i", HEARTBEAT)
            .startsWith("HTTP/1.1 200"));
    final String resolution = call("GET", "/api/resolution?name=x&region=r&zone=a", "");
    assertTrue(
        resolution.startsWith("HTTP/1.1 200") && resolution.contains("10.9.0.1:80"), resolution);
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
