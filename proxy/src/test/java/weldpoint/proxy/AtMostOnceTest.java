package weldpoint.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;
import org.testng.Reporter;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import weldpoint.common.Settings;
import weldpoint.proxy.ScriptedUpstream.Ending;
import weldpoint.proxy.ScriptedUpstream.Step;
import weldpoint.routing.RoutingTable;
import weldpoint.transport.RegistryMessages.Registration;
import weldpoint.trial.TrialTracker;
import weldpoint.upstream.UpstreamPool;

/**
 * Guards against faults at every byte between clients, the proxy and upstreams: a request that may
 * not be repeated runs at most once, and each response reaches its own client.
 */
public final class AtMostOnceTest {
  private static final String GOOD =
      "HTTP/1.1 200 OK\r\nWeldpoint-Attempt-Id: abc\r\nWeldpoint-Server-Seal: s\r\nContent-Length: 4\r\n\r\nbody";
  private static final String NOT_EXECUTED =
      "HTTP/1.1 503 Busy\r\nWeldpoint-Attempt-Id: abc\r\nWeldpoint-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  private static final String WRITE =
      "POST /w/x HTTP/1.1\r\nHost: h\r\nWeldpoint-Attempt-Id: abc\r\nWeldpoint-Deadline-Ms: 3000\r\nContent-Length: 5\r\n\r\nbytes";

  private final EventLoopGroup loop = new NioEventLoopGroup(1);
  private final List<ScriptedUpstream> upstreams = new ArrayList<>();
  private final AtomicInteger arrivals = new AtomicInteger();
  private ProxyContext proxyContext;
  private Channel listener;

  @AfterClass
  public void end() {
    loop.shutdownGracefully();
  }

  @BeforeMethod
  public void open() throws InterruptedException {
    final Settings settings =
        Settings.parse(
            "station.name = one\nstation.address = 127.0.0.1\nstation.site = a\nstation.region = r\ntrunk.ports = 7000,7015\ntrunk.seeds = 127.0.0.1:80\nsites = a:r\nbound.retry-slack = 100000\n");
    proxyContext = new ProxyContext(loop, settings, new Random(1), new TrialTracker("one", 1));
    arrivals.set(0);
    listener =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(final SocketChannel channel) {
                    channel
                        .pipeline()
                        .addLast(
                            new ClientConnection.Decoder(16_384),
                            new HttpResponseEncoder(),
                            new ClientConnection(proxyContext));
                  }
                })
            .bind(InetAddress.getLoopbackAddress(), 0)
            .sync()
            .channel();
  }

  @AfterMethod
  public void close() throws IOException {
    listener.close();
    for (final ScriptedUpstream upstream : upstreams) {
      upstream.close();
    }
    upstreams.clear();
  }

  private static String rule(
      final String name,
      final String kind,
      final int target,
      final int timeout,
      final int attempts) {
    return "{\"name\":\""
        + name
        + "\",\"routeKind\":\""
        + kind
        + "\",\"targetLatencyMs\":"
        + target
        + ",\"match\":{\"pathPrefix\":\"/"
        + name
        + "/\"},\"action\":{\"service\":\"s\",\"timeoutMs\":"
        + timeout
        + ",\"maxAttempts\":"
        + attempts
        + "}}";
  }

  private void serve(final IntFunction<Step> script) throws IOException, InterruptedException {
    for (final ScriptedUpstream upstream : upstreams) {
      upstream.close();
    }
    final int from = upstreams.size();
    final List<UpstreamPool.Change> changes = new ArrayList<>();
    for (int index = 0; index < 3; index++) {
      if (from > 0) {
        changes.add(change(from - 3 + index, false));
      }
    }
    for (int index = 0; index < 3; index++) {
      upstreams.add(new ScriptedUpstream(arrivals, script));
      changes.add(change(from + index, true));
    }
    arrivals.set(0);
    final RoutingTable routingTable =
        RoutingTable.compile(
            ("{\"version\":\"1\",\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"listeners\":[{\"host\":\"h\",\"rules\":["
                    + rule("w", "mutating", 5000, 3000, 3)
                    + ","
                    + rule("q", "mutating", 5000, 200, 3)
                    + ","
                    + rule("r", "idempotent", 5000, 3000, 3)
                    + ","
                    + rule("k", "idempotent", 60, 900, 2)
                    + ","
                    + rule("z", "idempotent", 60, 200, 3)
                    + "]}],\"pools\":[{\"name\":\"s\"}]}")
                .getBytes(StandardCharsets.UTF_8));
    loop.submit(
            () ->
                proxyContext.apply(
                    new ControlUpdate(routingTable, changes, null, null, 1, null, -1)))
        .sync();
  }

  private UpstreamPool.Change change(final int index, final boolean open) {
    return new UpstreamPool.Change(
        new Registration(
            "i-" + index,
            "s",
            "127.0.0.1:" + upstreams.get(index).port(),
            "a",
            "v",
            400,
            open ? 0 : 2,
            open ? 1 : 2,
            0,
            0),
        open);
  }

  private Socket connect() throws IOException {
    final Socket socket = new Socket();
    socket.connect(
        new InetSocketAddress(
            InetAddress.getLoopbackAddress(),
            ((InetSocketAddress) listener.localAddress()).getPort()));
    socket.setSoTimeout(8000);
    socket.setTcpNoDelay(true);
    return socket;
  }

  private static void send(final Socket socket, final String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  /** The next response on a connection, or what was received before its end. */
  private static String answer(final InputStream in) throws IOException {
    final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    while (!bytes.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
      final int next = in.read();
      if (next < 0) {
        return bytes.toString(StandardCharsets.ISO_8859_1);
      }
      bytes.write(next);
    }
    final String head = bytes.toString(StandardCharsets.ISO_8859_1);
    final int at = head.toLowerCase(java.util.Locale.ROOT).indexOf("content-length: ");
    final int length =
        at < 0 ? 0 : Integer.parseInt(head.substring(at + 16, head.indexOf('\r', at)));
    return head + new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
  }

  private String sendRequest(final String request) throws IOException {
    try (Socket socket = connect()) {
      send(socket, request);
      return answer(socket.getInputStream());
    }
  }

  private static int status(final String answer) {
    return answer.isEmpty() ? 0 : Integer.parseInt(answer.substring(9, 12));
  }

  private static String writeTo(final String path) {
    return WRITE.replace("/w/x", path);
  }

  @DataProvider
  public Object[][] endings() {
    return new Object[][] {{Ending.CLOSE}, {Ending.RESET}, {Ending.HALF_CLOSE}};
  }

  @Test(dataProvider = "endings")
  public void writeIsNotRetriedOnceAByteWasRead(final Ending ending)
      throws IOException, InterruptedException {
    final int length = WRITE.length() + 20;
    final int[] reads = new int[1];
    serve(number -> number == 0 ? new Step(reads[0], "", ending) : Step.answer(GOOD));
    for (reads[0] = 1; reads[0] < length; reads[0]++) {
      arrivals.set(0);
      final String answer = sendRequest(WRITE);
      assertEquals(status(answer), 502, reads[0] + " bytes read, " + ending + ": " + answer);
      assertFalse(answer.contains("Weldpoint-Server-Seal"), answer);
      assertEquals(arrivals.get(), 1, reads[0] + " bytes read, " + ending);
    }
  }

  @Test(dataProvider = "endings")
  public void truncatedResponseFailsWritesAndRetriesReads(final Ending ending)
      throws IOException, InterruptedException {
    final int[] cut = new int[1];
    serve(
        number ->
            number == 0 ? new Step(-1, GOOD.substring(0, cut[0]), ending) : Step.answer(GOOD));
    for (cut[0] = 0; cut[0] < GOOD.length(); cut[0]++) {
      arrivals.set(0);
      final String answer = sendRequest(WRITE);
      assertEquals(status(answer), 502, cut[0] + " bytes answered, " + ending + ": " + answer);
      assertEquals(arrivals.get(), 1, cut[0] + " bytes answered, " + ending);
      arrivals.set(0);
      assertTrue(
          sendRequest(writeTo("/r/x")).endsWith("body"), cut[0] + " bytes answered, " + ending);
      assertEquals(arrivals.get(), 2);
    }
  }

  @Test
  public void silentUpstreamTimesOutAndLateResponseIsDropped()
      throws IOException, InterruptedException {
    final int[] cut = new int[1];
    long least = Long.MAX_VALUE;
    serve(
        number ->
            number == 0
                ? new Step(-1, GOOD.substring(0, cut[0]), Ending.SILENCE)
                : Step.answer(GOOD));
    for (cut[0] = 0; cut[0] < GOOD.length(); cut[0] += 13) {
      arrivals.set(0);
      try (Socket socket = connect()) {
        final InputStream in = new BufferedInputStream(socket.getInputStream());
        final long began = System.nanoTime();
        send(socket, writeTo("/q/x").replace("Deadline-Ms: 3000", "Deadline-Ms: 600000"));
        final String answer = answer(in);
        final long took = (System.nanoTime() - began) / 1_000_000;
        assertEquals(status(answer), 504, answer);
        assertFalse(answer.contains("Seal"), answer);
        assertTrue(
            took >= 150 && took < 60_000,
            "took " + took + " ms; the route allows 200 ms and the client 600,000 ms");
        least = Math.min(least, took);
        assertEquals(arrivals.get(), 1);
        send(socket, WRITE.replace("abc", "abc"));
        assertTrue(answer(in).endsWith("body"));
      }
    }
    assertTrue(
        least < 450, "the fastest took " + least + " ms, more than 250 ms past the route's 200 ms");
  }

  @DataProvider
  public Object[][] notExecutedStatuses() {
    return new Object[][] {{503}, {429}, {408}};
  }

  @Test(dataProvider = "notExecutedStatuses")
  public void notExecutedStatusWithoutMarkerIsNotForwardedForWrites(final int status)
      throws IOException, InterruptedException {
    final String claim =
        "HTTP/1.1 "
            + status
            + " X\r\nWeldpoint-Attempt-Id: abc\r\nWeldpoint-Server-Seal: s\r\nContent-Length: 0\r\n\r\n";
    serve(number -> Step.answer(claim));
    final String answer = sendRequest(WRITE);
    assertEquals(status(answer), 502, answer);
    assertFalse(
        answer.contains("Seal"), "a server seal with a status of the proxy itself: " + answer);
    assertEquals(arrivals.get(), 1);
    final String read = sendRequest(writeTo("/r/x"));
    assertEquals(status(read), status, "a read gets the upstream's own response");
    assertTrue(read.contains("Weldpoint-Server-Seal: s"), read);
  }

  @DataProvider
  public Object[][] responsesWithoutAttemptId() {
    return new Object[][] {
      {GOOD},
      {NOT_EXECUTED},
      {NOT_EXECUTED.replace("503", "421")},
      {GOOD.replace("200", "404")},
      {GOOD.replace("200", "500")}
    };
  }

  @Test(dataProvider = "responsesWithoutAttemptId")
  public void responseWithoutAttemptIdIsDropped(final String answer)
      throws IOException, InterruptedException {
    serve(
        number ->
            Step.answer(number == 0 ? answer.replace("Weldpoint-Attempt-Id: abc\r\n", "") : GOOD));
    assertEquals(status(sendRequest(WRITE)), 502);
    assertEquals(arrivals.get(), 1);
    arrivals.set(0);
    assertTrue(sendRequest(writeTo("/r/x")).endsWith("body"), "a read is retried");
    assertEquals(arrivals.get(), 2);
  }

  @Test
  public void contradictoryResponseFailsTheWrite() throws IOException, InterruptedException {
    serve(
        number ->
            Step.answer(
                number == 0
                    ? GOOD.replace("Content-Length", "Weldpoint-Not-Executed: 1\r\nContent-Length")
                    : GOOD));
    final String answer = sendRequest(WRITE);
    assertEquals(status(answer), 502, answer);
    assertEquals(arrivals.get(), 1);
  }

  @Test
  public void misdirectedWriteIsRetriedOnce() throws IOException, InterruptedException {
    serve(
        number ->
            number == 0
                ? Step.answer(GOOD)
                : number == 1
                    ? Step.answer(
                        "HTTP/1.1 421 No\r\nWeldpoint-Attempt-Id: abc\r\nContent-Length: 0\r\n\r\n")
                    : Step.answer(GOOD));
    assertTrue(sendRequest(WRITE).endsWith("body"));
    final int before = upstreams.stream().mapToInt(upstream -> upstream.connections.get()).sum();
    assertTrue(sendRequest(WRITE).endsWith("body"));
    assertEquals(arrivals.get(), 3);
    assertEquals(proxyContext.served, 2);
    assertTrue(sendRequest(WRITE).endsWith("body"));
    assertTrue(
        upstreams.stream().mapToInt(upstream -> upstream.connections.get()).sum() >= before,
        "a connection that led to another instance is not reused");
  }

  @Test
  public void connectionWithEarlyResponseIsNotReused() throws IOException, InterruptedException {
    serve(number -> number == 0 ? new Step(200, NOT_EXECUTED, Ending.SILENCE) : Step.answer(GOOD));
    final String head = WRITE.substring(0, WRITE.indexOf("bytes"));
    final String large = head.replace("Content-Length: 5", "Content-Length: 8000000");
    final String body = "x".repeat(8_000_000);
    assertTrue(sendRequest(large + body).endsWith("body"));
    assertEquals(arrivals.get(), 2);
    for (int index = 0; index < 6; index++) {
      assertTrue(sendRequest(WRITE).endsWith("body"));
    }
    assertEquals(
        arrivals.get(),
        8,
        "each request arrived once, none on the connection with the rest of the large one");
  }

  @Test
  public void writeOfDisconnectedClientEndsAtItsDeadline()
      throws IOException, InterruptedException {
    serve(number -> new Step(-1, "", Ending.SILENCE));
    try (Socket socket = connect()) {
      send(socket, writeTo("/q/x"));
      await(() -> arrivals.get() == 1);
    }
    await(() -> upstreams.stream().anyMatch(upstream -> upstream.silenceEnded.getCount() == 0));
    assertEquals(arrivals.get(), 1);
    loop.submit(() -> assertEquals(proxyContext.openRequests.count(), 0)).sync();
  }

  private interface Condition {
    boolean holds();
  }

  private static void await(final Condition condition) throws InterruptedException {
    final long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(8);
    while (!condition.holds()) {
      assertTrue(System.nanoTime() < until, "the condition did not hold within 8 s");
      TimeUnit.MILLISECONDS.sleep(5);
    }
  }

  @Test
  public void retriesAndHedgesShareTheAttemptLimit() throws IOException, InterruptedException {
    final Step silence = new Step(-1, "", Ending.SILENCE);
    final Step reset = new Step(-1, "", Ending.RESET);
    final Step declined = Step.answer(NOT_EXECUTED);
    final Step failed =
        Step.answer(
            "HTTP/1.1 500 X\r\nWeldpoint-Attempt-Id: abc\r\nWeldpoint-Server-Seal: s\r\nContent-Length: 0\r\n\r\n");
    for (final List<Step> steps :
        List.of(
            List.of(silence),
            List.of(reset),
            List.of(declined),
            List.of(failed),
            List.of(silence, reset),
            List.of(silence, declined),
            List.of(silence, failed))) {
      serve(number -> steps.get(Math.min(number, steps.size() - 1)));
      final String answer = sendRequest(writeTo("/k/x"));
      assertEquals(arrivals.get(), 2, "two attempts, including the hedged one: " + steps);
      assertTrue(status(answer) >= 500, answer);
      assertEquals(answer.contains("Seal"), status(answer) == 500, answer);
    }
  }

  @Test
  public void pipelinedRequestsAreAnsweredInOrder() throws IOException, InterruptedException {
    serve(number -> Step.answer(GOOD));
    final StringBuilder all = new StringBuilder(writeTo("/r/x"));
    for (int index = 0; index < 3000; index++) {
      all.append("GET /none HTTP/1.1\r\nHost: h\r\n\r\n");
    }
    all.append(WRITE);
    try (Socket socket = connect()) {
      final Thread writer =
          new Thread(
              () -> {
                try {
                  send(socket, all.toString());
                } catch (final IOException ended) {
                  Thread.currentThread().interrupt();
                }
              });
      writer.start();
      final InputStream in = new BufferedInputStream(socket.getInputStream());
      assertTrue(answer(in).endsWith("body"));
      for (int index = 0; index < 3000; index++) {
        assertEquals(status(answer(in)), 404, "number " + index);
      }
      assertTrue(answer(in).endsWith("body"));
    }
    assertEquals(arrivals.get(), 2);
  }

  @Test
  public void clientThatDoesNotReadGetsNoFurtherRequestsForwarded()
      throws IOException, InterruptedException {
    final int size = 1 << 20;
    final String large =
        GOOD.replace("Content-Length: 4", "Content-Length: " + size)
            .replace("body", "x".repeat(size));
    serve(number -> Step.answer(large));
    try (Socket socket = connect()) {
      final StringBuilder all = new StringBuilder();
      for (int index = 0; index < 100; index++) {
        all.append(writeTo("/r/x"));
      }
      send(socket, all.toString());
      final InputStream in = new BufferedInputStream(socket.getInputStream());
      for (int index = 0; index < 100; index++) {
        assertTrue(
            arrivals.get() <= index + 40,
            arrivals.get() + " requests were forwarded for a client that has read " + index);
        assertTrue(answer(in).length() > size);
      }
    }
    assertEquals(arrivals.get(), 100);
  }

  @Test
  public void truncatedRequestIsNotForwarded() throws IOException, InterruptedException {
    serve(number -> Step.answer(GOOD));
    for (int cut = 0; cut < WRITE.length(); cut++) {
      try (Socket socket = connect()) {
        send(socket, WRITE.substring(0, cut));
        socket.shutdownOutput();
        assertEquals(answer(socket.getInputStream()), "", "cut at " + cut);
      }
    }
    assertEquals(arrivals.get(), 0);
    assertTrue(sendRequest(WRITE).endsWith("body"));
    try (Socket socket = connect()) {
      for (final char one : WRITE.toCharArray()) {
        send(socket, String.valueOf(one));
      }
      assertTrue(answer(socket.getInputStream()).endsWith("body"));
    }
    assertEquals(arrivals.get(), 2);
  }

  @Test
  public void unforwardableRequestIsRefusedAndHeadErrorHasNoBody()
      throws IOException, InterruptedException {
    serve(number -> Step.answer(GOOD));
    assertEquals(status(sendRequest(writeTo("/w/\u00e9"))), 400);
    assertEquals(status(sendRequest(WRITE.replace("Weldpoint-Attempt-Id: abc\r\n", ""))), 400);
    assertEquals(
        status(
            sendRequest(
                WRITE.replace(
                    "Weldpoint-Deadline", "Weldpoint-Attempt-Id: other\r\nWeldpoint-Deadline"))),
        400);
    try (Socket socket = connect()) {
      send(
          socket,
          "HEAD /none HTTP/1.1\r\nHost: h\r\n\r\nHEAD /none HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
      final String both =
          new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      assertFalse(both.contains("{"), both);
      assertEquals(both.split("HTTP/1.1 404", -1).length, 3, both);
    }
    assertEquals(arrivals.get(), 0);
    assertTrue(
        sendRequest(
                WRITE.replace(
                    "Host: h\r\n",
                    "Host: h\r\nX-Name: \u00e9\r\nConnection: X-One\r\nConnection: x-two\r\nX-One: 1\r\nX-Two: 2\r\n"))
            .endsWith("body"));
    final String passed =
        upstreams.stream()
            .flatMap(upstream -> upstream.requests.stream())
            .findFirst()
            .orElseThrow();
    assertTrue(passed.contains("X-Name: \u00e9\r\n"), passed);
    assertFalse(passed.contains("X-One") || passed.contains("X-Two"), passed);
  }

  private static final String ECHO = GOOD.replace("abc", "$ID");
  private static final String[] UPSTREAM_RESPONSES =
      new String[] {
        ECHO,
        ECHO,
        ECHO,
        NOT_EXECUTED.replace("abc", "$ID"),
        "",
        "nonsense\r\n\r\n",
        ECHO + ECHO.replace("$ID", "surplus"),
        ECHO.replace("$ID", "late") + ECHO,
        ECHO.substring(0, ECHO.length() - 2),
        ECHO.replace("200 OK", "500 X"),
        ECHO.replace("200 OK", "503 X"),
        ECHO.replace("Weldpoint-Attempt-Id: $ID\r\n", ""),
      };

  /**
   * Sends generated requests, some corrupted, with other requests hidden in their bodies and split
   * at any byte, to upstreams with every kind of fault.
   */
  @Test
  public void generatedRequestsAreForwardedUnchangedAndAnsweredInOrder()
      throws IOException, InterruptedException {
    final long seed = Long.getLong("weldpoint.fuzz.seed", 19);
    final int rounds = Integer.getInteger("weldpoint.fuzz.rounds", 600);
    Reporter.log("seed " + seed, true);
    final Random random = new Random(seed);
    serve(
        number -> {
          final String answer =
              UPSTREAM_RESPONSES[
                  Math.floorMod(new Random(seed + number).nextInt(), UPSTREAM_RESPONSES.length)];
          return new Step(
              -1,
              answer,
              answer.equals(ECHO) || answer.contains("Not-Executed") || answer.contains("00 X")
                  ? Ending.KEEP
                  : number % 2 == 0 ? Ending.CLOSE : Ending.RESET);
        });
    final java.util.Set<String> asked = new java.util.HashSet<>();
    int number = 0;
    for (int round = 0; round < rounds; round++) {
      final String name = "seed " + seed + " round " + round;
      final List<String> ids = new ArrayList<>();
      final StringBuilder bytes = new StringBuilder();
      boolean spoiled = false;
      for (int index = 0; index < 1 + random.nextInt(4) && !spoiled; index++) {
        final String id = "n" + number++;
        final String body =
            random.nextBoolean()
                ? ""
                : random.nextInt(3) == 0
                    ? "GET /r/evil HTTP/1.1\r\nHost: h\r\nWeldpoint-Attempt-Id: evil\r\n\r\n"
                    : "x".repeat(random.nextInt(300));
        final String head =
            (random.nextBoolean() ? "POST /w/" : "GET /r/")
                + id
                + " HTTP/1.1\r\nHost: h\r\nWeldpoint-Attempt-Id: "
                + id
                + "\r\n";
        final boolean chunks = random.nextBoolean() && !body.isEmpty();
        String request =
            head
                + (chunks
                    ? "Transfer-Encoding: chunked\r\n\r\n"
                        + Integer.toHexString(body.length())
                        + "\r\n"
                        + body
                        + "\r\n0\r\n\r\n"
                    : "Content-Length: " + body.length() + "\r\n\r\n" + body);
        asked.add(head.substring(0, head.indexOf(' ', 5)) + " " + id + " " + body);
        ids.add(id);
        if (random.nextInt(4) == 0) {
          spoiled = true;
          request = corrupt(request, random);
          asked.removeIf(one -> one.contains(" " + id + " "));
        }
        bytes.append(request);
      }
      sendAndCheck(bytes.toString(), ids, random, name);
    }
    final List<String> seen = new ArrayList<>();
    for (final ScriptedUpstream upstream : upstreams) {
      for (final String request : new ArrayList<>(upstream.requests)) {
        final String id = ScriptedUpstream.id(request);
        final String arrived =
            request.substring(0, request.indexOf(' ', 5))
                + " "
                + id
                + " "
                + request.substring(request.indexOf("\r\n\r\n") + 4);
        assertFalse(request.startsWith("GET /r/evil"), "a request hidden in another: " + request);
        if (!asked.contains(arrived)) {
          assertTrue(
              asked.stream().noneMatch(one -> one.contains(" " + id + " ")),
              "changed by the proxy: " + request);
        }
        if (request.startsWith("POST") && asked.contains(arrived)) {
          seen.add(id);
        }
      }
    }
    assertTrue(seen.size() > 50, "only " + seen.size() + " writes arrived");
  }

  /**
   * Sends the bytes in parts, reads the responses, and checks that those of upstreams are in the
   * order of the requests.
   */
  private void sendAndCheck(
      final String bytes, final List<String> ids, final Random random, final String name)
      throws IOException {
    try (Socket socket = connect()) {
      socket.setSoTimeout(4000);
      int at = 0;
      try {
        while (at < bytes.length()) {
          final int next = Math.min(bytes.length(), at + 1 + random.nextInt(200));
          send(socket, bytes.substring(at, next));
          at = next;
        }
        if (random.nextInt(8) == 0) {
          return;
        }
        socket.shutdownOutput();
      } catch (final IOException closed) {
        return;
      }
      String all = "";
      try {
        all = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      } catch (final java.net.SocketException reset) {
        return;
      }
      assertFalse(all.contains("surplus") || all.contains("late"), name + ": " + all);
      int last = -1;
      final java.util.regex.Matcher matcher =
          java.util.regex.Pattern.compile("Weldpoint-Attempt-Id: ([^\r]*)\r").matcher(all);
      while (matcher.find()) {
        final int place = ids.indexOf(matcher.group(1));
        assertTrue(place < 0 || place > last, name + ": out of order: " + all);
        last = Math.max(last, place);
      }
      assertTrue(
          all.split("HTTP/1.1 [0-9]", -1).length - 1 <= ids.size() + 1,
          name + ": more responses than requests: " + all);
    }
  }

  private static String corrupt(final String text, final Random random) {
    final int at = random.nextInt(text.length());
    switch (random.nextInt(7)) {
      case 0:
        return text.substring(0, at);
      case 1:
        return text.substring(0, at) + (char) random.nextInt(256) + text.substring(at + 1);
      case 2:
        return text.replaceFirst(
            "Host: h\r\n", "Host: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n");
      case 3:
        return text.replaceFirst("Host: h\r\n", "Host: h\r\nContent-Length: 7\r\n");
      case 4:
        return text.replaceFirst("Host: h\r\n", "Host: h\r\nTransfer-Encoding: identity\r\n");
      case 5:
        return text.replaceFirst(
            "Host: h\r\n", "Host: h\n Folded: x\r\nTransfer-Encoding : chunked\r\n");
      default:
        return text.substring(0, at) + "\r\n" + text.substring(at);
    }
  }
}
