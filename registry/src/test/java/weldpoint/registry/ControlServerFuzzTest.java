package weldpoint.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.Reporter;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import weldpoint.common.Settings;
import weldpoint.statestore.StoreOperation;
import weldpoint.statestore.StoredValues;
import weldpoint.transport.Message;
import weldpoint.transport.Serializer;
import weldpoint.transport.StateStoreMessages;
import weldpoint.transport.StoreMessages;

/**
 * Generated calls to the control interface, split at any byte: each gets exactly one response, in
 * order, with a reason if it failed, and none hangs.
 */
public final class ControlServerFuzzTest {
  private static final String HEARTBEAT =
      "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\",\"version\":\"v\",\"capacity\":4,\"state\":\"ready\",\"warmupLeftMs\":0,\"callSeq\":1}";
  private static final String CONFIGURATION =
      "{\"version\":\"00000007\",\"limits\":{\"maxHeaderBytes\":16384},\"listeners\":[{\"host\":\"h\",\"rules\":[{\"name\":\"r\",\"routeKind\":\"mutating\",\"targetLatencyMs\":300,\"priority\":2,\"match\":{\"pathPrefix\":\"/a/\"},\"action\":{\"split\":[{\"service\":\"s\",\"weight\":90}],\"timeoutMs\":2000,\"maxAttempts\":2,\"homeRegions\":[]}}]}],\"pools\":[{\"name\":\"s\",\"healthPath\":\"/health\",\"maxConns\":120}]}";
  private static final String[][] CALLS =
      new String[][] {
        {"POST", "/api/rpc?call=instances.heartbeat&of=i-1", HEARTBEAT},
        {"POST", "/api/rpc?call=instances.deregister&of=i-1", ""},
        {"POST", "/api/rpc?call=configuration.replace", CONFIGURATION},
        {"POST", "/api/rpc?call=configuration.read", ""},
        {"POST", "/api/rpc?call=evacuation.begin&of=a", ""},
        {"POST", "/api/rpc?call=locks.begin&of=l", "{\"owner\":\"o\",\"holdMs\":3000}"},
        {
          "POST",
          "/api/rpc?call=locks.heartbeat&of=l",
          "{\"owner\":\"o\",\"fenceNumber\":41,\"holdMs\":3000}"
        },
        {"POST", "/api/rpc?call=locks.finish&of=l", "{\"owner\":\"o\",\"fenceNumber\":41}"},
        {"POST", "/api/rpc?call=cells.replace&of=g.k", "{\"value\":\"5c0e\",\"enabled\":907}"},
        {"POST", "/api/rpc?call=cells.read&of=g.k", ""},
        {"POST", "/api/numbers/n", "{}"},
        {"GET", "/api/watch/g.?after=1&waitMs=20", ""},
        {"GET", "/api/resolution?region=r&zone=a", ""},
        {"POST", "/api/invalidation", "{\"host\":\"h\",\"path\":\"/a\"}"},
        {"POST", "/api/rpc?call=trial.begin&of=r", "{\"newService\":\"t\",\"stages\":[1]}"},
        {"POST", "/api/rpc?call=history.read", "{\"since\":\"x\"}"},
      };
  private static final List<Integer> STATUSES =
      List.of(200, 400, 404, 405, 409, 410, 412, 413, 422, 503, 504);
  private static final String[] UNUSUAL_VALUES =
      new String[] {
        "null",
        "-1",
        "1e400",
        "99999999999999999999",
        "\"\"",
        "[]",
        "{}",
        "true",
        "\"\\u0000\"",
        "0.5",
        "[[[[[[",
        "{\"a\":",
        "\"%zz\"",
        "\u00e9"
      };

  private static final int CALLERS = 8;

  private final EventLoopGroup loop = new NioEventLoopGroup(1);

  /**
   * Advances only with the ticks of the event loop, so that a busy machine does not look like a
   * pause of the process.
   */
  private final AtomicLong clock = new AtomicLong(1000);

  private RegistryCore core;
  private ControlServer server;
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
                final StoreMessages.StoreResponse response =
                    call.operation == StoreOperation.CONTROL.ordinal()
                        ? storedState(call)
                        : new StoreMessages.StoreResponse(call.number, 409, 0, null, null);
                loop.schedule(
                    () ->
                        core.onStoreResponse(
                            address, response.withCaller(call.callerIncarnation), clock.get()),
                    2,
                    TimeUnit.MILLISECONDS);
                return true;
              }

              @Override
              public void sendToStream(final Object stream, final Message message) {}

              @Override
              public void append(final byte[] record, final Runnable synced) {
                loop.execute(synced);
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
    server =
        new ControlServer(
            settings,
            core,
            loop::execute,
            new ControlServer.Clock() {
              @Override
              public long monotonicMillis() {
                return clock.get();
              }

              @Override
              public long wallMillis() {
                return System.currentTimeMillis();
              }
            });
    server.serve(loop, settings.requiredAddress("listen.control"));
    loop.scheduleAtFixedRate(
        () -> {
          server.recordTick();
          core.tick(clock.addAndGet(20));
        },
        20,
        20,
        TimeUnit.MILLISECONDS);
  }

  /**
   * The control state of the state store: no configuration, and this registry as the only voter, so
   * that it is not cut off.
   */
  private static StoreMessages.StoreResponse storedState(final StoreMessages.StoreRequest call) {
    final StateStoreMessages.Roster roster =
        new StateStoreMessages.Roster(
            1, List.of(new StateStoreMessages.Voter("127.0.0.1", "a", "r", List.of())));
    return new StoreMessages.StoreResponse(
        call.number,
        200,
        0,
        Serializer.serialize(
            new StoredValues.ControlSnapshot(
                0, null, List.of(), 0, roster, List.of(), 0, null, List.of(), false, 0, null,
                null)),
        null);
  }

  @AfterClass
  public void end() {
    loop.shutdownGracefully();
  }

  private Socket connect() throws IOException {
    final Socket socket = new Socket();
    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    socket.setSoTimeout(8000);
    socket.setTcpNoDelay(true);
    return socket;
  }

  private static String request(final String method, final String path, final String body) {
    return method
        + " "
        + path
        + " HTTP/1.1\r\nHost: x\r\nContent-Length: "
        + body.getBytes(StandardCharsets.UTF_8).length
        + "\r\n\r\n"
        + body;
  }

  private static String readResponse(final InputStream in) throws IOException {
    final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    while (!bytes.toString(StandardCharsets.UTF_8).endsWith("\r\n\r\n")) {
      final int next = in.read();
      if (next < 0) {
        return bytes.toString(StandardCharsets.UTF_8);
      }
      bytes.write(next);
    }
    final String head = bytes.toString(StandardCharsets.UTF_8);
    final int at = head.toLowerCase(java.util.Locale.ROOT).indexOf("content-length: ");
    return head
        + new String(
            in.readNBytes(Integer.parseInt(head.substring(at + 16, head.indexOf('\r', at)))),
            StandardCharsets.UTF_8);
  }

  @Test
  public void pipelinedCallsGetResponsesInOrder() throws IOException {
    for (int round = 0; round < 20; round++) {
      try (Socket socket = connect()) {
        final StringBuilder all = new StringBuilder();
        for (int index = 0; index < 6; index++) {
          all.append(request("POST", "/api/numbers/n", "{}"))
              .append(request("POST", "/api/rpc?call=fly" + index, ""));
        }
        socket.getOutputStream().write(all.toString().getBytes(StandardCharsets.UTF_8));
        final InputStream in = new BufferedInputStream(socket.getInputStream());
        for (int index = 0; index < 6; index++) {
          assertTrue(
              readResponse(in).startsWith("HTTP/1.1 409"),
              "the response to the number call comes first");
          final String unknown = readResponse(in);
          assertTrue(
              unknown.startsWith("HTTP/1.1 404") && unknown.contains("'fly" + index + "'"),
              unknown);
        }
      }
    }
  }

  @Test
  public void deeplyNestedBodyIsRefused() throws IOException {
    for (final String path :
        List.of(
            "/api/rpc?call=configuration.replace",
            "/api/rpc?call=instances.heartbeat&of=i",
            "/api/rpc?call=locks.begin&of=l")) {
      for (final String open : List.of("[", "{\"a\":", "{\"listeners\":[", "{\"owner\":{")) {
        try (Socket socket = connect()) {
          socket
              .getOutputStream()
              .write(request("POST", path, open.repeat(200_000)).getBytes(StandardCharsets.UTF_8));
          final String response = readResponse(socket.getInputStream());
          assertTrue(response.startsWith("HTTP/1.1 400"), path + " " + open + ": " + response);
        }
      }
    }
  }

  private String respond(final String method, final String path, final byte[] body)
      throws IOException {
    try (Socket socket = connect()) {
      final String head =
          method
              + " "
              + path
              + " HTTP/1.1\r\nHost: x\r\nContent-Length: "
              + body.length
              + "\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      socket.getOutputStream().write(body);
      return readResponse(socket.getInputStream());
    }
  }

  private static List<byte[]> damagedBodies(final String valid) {
    final List<byte[]> damaged = new ArrayList<>();
    final String body = valid.isEmpty() ? "{\"a\":1,\"b\":2}" : valid;
    final String member =
        body.substring(1, body.indexOf(',') < 0 ? body.length() - 1 : body.indexOf(','));
    for (final String text :
        List.of(
            body + "}",
            body + body,
            body.replaceFirst(",", "},"),
            body.replaceFirst(",", " "),
            body.replaceFirst(",", ",,"),
            body.replaceFirst("\\{", "{" + (member.isEmpty() ? "\"a\":1,\"a\":1" : member + ",")),
            body.substring(0, body.length() - 1),
            body + "\u0000")) {
      if (!text.equals(body)) {
        damaged.add(text.getBytes(StandardCharsets.UTF_8));
      }
    }
    damaged.add((body + "\u00e9").getBytes(StandardCharsets.ISO_8859_1));
    damaged.add("{\"\u00e9\":1}".getBytes(StandardCharsets.ISO_8859_1));
    return damaged;
  }

  /**
   * Guards against CONFIG (incident 27): the part of a body before an error was taken for the body,
   * at whatever call.
   */
  @Test
  public void bodiesThatCannotBeReadWholeAreRefused() throws IOException {
    final double refusedBefore = server.metrics().get(0).value();
    int sent = 0;
    for (final String[] call : CALLS) {
      for (final byte[] body :
          call[0].equals("POST") ? damagedBodies(call[2]) : List.<byte[]>of()) {
        final String response = respond(call[0], call[1], body);
        final String name = call[1] + " " + new String(body, StandardCharsets.UTF_8);
        assertTrue(response.startsWith("HTTP/1.1 400"), name + ": " + response);
        assertTrue(response.contains("cannot be read whole"), name + ": " + response);
        sent++;
      }
      if (call[0].equals("POST") && call[2].isEmpty()) {
        final String response = respond(call[0], call[1], new byte[] {'{', '}'});
        assertTrue(!response.startsWith("HTTP/1.1 400"), call[1] + ": " + response);
      }
    }
    assertEquals(server.metrics().get(0).value() - refusedBefore, (double) sent, "all are counted");
  }

  @Test
  public void generatedCallsGetOneValidResponseEach()
      throws IOException, InterruptedException, ExecutionException {
    final long seed = Long.getLong("weldpoint.fuzz.seed", 19);
    final int rounds = Integer.getInteger("weldpoint.fuzz.rounds", 12);
    Reporter.log("seed " + seed, true);
    final ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
    try {
      final List<Future<Void>> all = new ArrayList<>();
      for (int caller = 0; caller < CALLERS; caller++) {
        final Random random = new Random(seed * CALLERS + caller);
        final String name = "seed " + seed + " caller " + caller;
        all.add(
            callers.submit(
                () -> {
                  for (int round = 0; round < rounds; round++) {
                    round(random, name + " round " + round);
                  }
                  return null;
                }));
      }
      for (final Future<Void> one : all) {
        one.get();
      }
    } finally {
      callers.shutdown();
    }
  }

  private void round(final Random random, final String round) throws IOException {
    try (Socket socket = connect()) {
      final InputStream in = new BufferedInputStream(socket.getInputStream());
      final List<String> sent = new ArrayList<>();
      final StringBuilder bytes = new StringBuilder();
      for (int index = 0; index < 1 + random.nextInt(5); index++) {
        final String[] call = CALLS[random.nextInt(CALLS.length)];
        sent.add(
            request(
                call[0],
                random.nextInt(8) == 0
                    ? mutate(call[1], random)
                        .replace(' ', '+')
                        .replace('\r', '+')
                        .replace('\n', '+')
                    : call[1],
                random.nextInt(4) == 0 ? call[2] : mutate(call[2], random)));
        bytes.append(sent.get(sent.size() - 1));
      }
      final byte[] all = bytes.toString().getBytes(StandardCharsets.UTF_8);
      final int cut = random.nextInt(all.length);
      socket.getOutputStream().write(all, 0, cut);
      socket.getOutputStream().flush();
      socket.getOutputStream().write(all, cut, all.length - cut);
      for (final String one : sent) {
        final String response = readResponse(in);
        final String name = round + ": " + one + " -> " + response;
        assertTrue(response.startsWith("HTTP/1.1 "), name);
        final int status = Integer.parseInt(response.substring(9, 12));
        assertTrue(STATUSES.contains(status), name);
        assertTrue(
            status == 200 || response.contains("\"error\":") && response.contains(";"), name);
      }
    }
  }

  private static String mutate(final String text, final Random random) {
    if (text.isEmpty()) {
      return random.nextBoolean() ? text : UNUSUAL_VALUES[random.nextInt(UNUSUAL_VALUES.length)];
    }
    final int at = random.nextInt(text.length());
    final int end = at + random.nextInt(text.length() - at + 1);
    switch (random.nextInt(6)) {
      case 0:
        return text.substring(0, at);
      case 1:
        return text.substring(0, at) + text.substring(end);
      case 2:
        return text.substring(0, at)
            + UNUSUAL_VALUES[random.nextInt(UNUSUAL_VALUES.length)]
            + text.substring(end);
      case 3:
        return text.substring(0, end) + text.substring(at);
      case 4:
        return text.substring(0, at) + (char) (33 + random.nextInt(90)) + text.substring(at + 1);
      default:
        final int colon = text.indexOf(':', at);
        final int comma = colon < 0 ? -1 : text.indexOf(',', colon);
        return comma < 0
            ? text + text
            : text.substring(0, colon + 1)
                + UNUSUAL_VALUES[random.nextInt(UNUSUAL_VALUES.length)]
                + text.substring(comma);
    }
  }

  @Test
  public void truncatedCallIsNotRun() throws IOException {
    final String call = request("POST", "/api/rpc?call=instances.heartbeat&of=i-cut", HEARTBEAT);
    for (int cut = 0; cut < call.length(); cut += 3) {
      try (Socket socket = connect()) {
        socket.getOutputStream().write(call.substring(0, cut).getBytes(StandardCharsets.UTF_8));
        socket.shutdownOutput();
        assertEquals(readResponse(socket.getInputStream()), "", "cut at " + cut);
      }
    }
  }
}
