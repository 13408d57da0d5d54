package weldpoint.cli;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import weldpoint.common.Settings;
import weldpoint.common.WeldpointException;
import weldpoint.proxy.ProxyDaemon;
import weldpoint.registry.RegistryDaemon;
import weldpoint.statestore.StateStoreDaemon;
import weldpoint.upstream.Headers;

/**
 * Runs the state store, the registry and a proxy in one process on the loopback address, with
 * built-in upstreams, so that the system can be tried without any set-up. Ports by index: 0 client
 * traffic, 1 readiness, 2 control, 3 to 5 upstreams.
 */
final class Demo {
  private static final String HOST = "127.0.0.1";
  private static final long AWAIT_TIMEOUT_MILLIS = 15_000;

  private static final int FIRMS = 9;

  private final int[] ports = new int[6];
  private final Path folder;

  Demo() throws IOException {
    folder = Files.createTempDirectory("weldpoint-demo");
    final ServerSocket[] sockets = new ServerSocket[ports.length];
    for (int index = 0; index < ports.length; index++) {
      sockets[index] = new ServerSocket(0);
      ports[index] = sockets[index].getLocalPort();
    }
    for (final ServerSocket socket : sockets) {
      socket.close();
    }
  }

  private Settings settings(final int transportPort) {
    return Settings.parse(
        "station.name = demo\nstation.address = "
            + HOST
            + "\nstation.site = here\nstation.region = home\nstation.voter = true\nstation.first-start = true\nstation.folder = "
            + folder
            + "\nlisten.traffic = "
            + HOST
            + ":"
            + ports[0]
            + "\nlisten.readiness = "
            + HOST
            + ":"
            + ports[1]
            + "\nlisten.control = "
            + HOST
            + ":"
            + ports[2]
            + "\ntrunk.ports = "
            + transportPort
            + ","
            + (transportPort + 1)
            + "\ntrunk.seeds = "
            + HOST
            + ":"
            + ports[2]
            + "\nsites = here:home\n");
  }

  /**
   * Starts everything, sends a configuration, a heartbeat and some requests, and prints the
   * responses.
   */
  int run(final boolean keepRunning) throws IOException, InterruptedException {
    final int transportPort = 20_000 + new java.security.SecureRandom().nextInt(20_000);
    final Settings settings = settings(transportPort);
    new StateStoreDaemon(settings).start();
    new RegistryDaemon(settings).start();
    new ProxyDaemon(settings).start();
    startUpstream(ports[3], 0);
    final String spec =
        "{\"version\":\"00000001\",\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"listeners\":[{\"host\":\"demo.example\",\"rules\":["
            + "{\"name\":\"look\",\"routeKind\":\"idempotent\",\"targetLatencyMs\":300,\"priority\":2,\"match\":{\"pathPrefix\":\"/look/\"},\"action\":{\"service\":\"desk\",\"timeoutMs\":2000,\"maxAttempts\":2,\"homeRegions\":[]}},"
            + "{\"name\":\"book\",\"routeKind\":\"mutating\",\"targetLatencyMs\":300,\"priority\":1,\"match\":{\"pathPrefix\":\"/book/\"},\"action\":{\"split\":[{\"service\":\"desk\",\"weight\":1}],\"timeoutMs\":2000,\"maxAttempts\":2,\"homeRegions\":[\"home\"]}}]}],"
            + "\"pools\":[{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConns\":100,\"protocol\":\"h1\",\"tls\":false,\"warmupS\":3.0,\"warmupPerS\":12.0}]}";
    awaitStatus(200, ports[2], "POST", "/api/rpc?call=configuration.replace", spec);
    sendHeartbeat(1, "ready");
    awaitStatus(200, ports[1], "GET", "/api/readiness", "");
    for (int index = 0; index < 5; index++) {
      awaitStatus(200, ports[0], "GET", "/look/" + index, "");
      awaitStatus(200, ports[0], "POST", "/book/" + index, "a booking");
    }
    awaitStatus(
        200, ports[2], "GET", "/api/resolution?name=demo.example&region=home&zone=here", "");
    awaitStatus(
        200,
        ports[2],
        "POST",
        "/api/rpc?call=locks.begin&of=l",
        "{\"owner\":\"me\",\"holdMs\":3000}");
    awaitStatus(
        200,
        ports[2],
        "POST",
        "/api/rpc?call=locks.finish&of=l",
        "{\"owner\":\"me\",\"fenceNumber\":1}");
    awaitStatus(200, ports[2], "POST", "/api/numbers/n", "{}");
    awaitStatus(
        200,
        ports[2],
        "POST",
        "/api/rpc?call=cells.replace&of=g.k",
        "{\"value\":\"v\",\"enabled\":0}");
    awaitStatus(200, ports[2], "POST", "/api/rpc?call=cells.read&of=g.k", "");
    awaitStatus(200, ports[2], "GET", "/api/watch/g.?after=0&waitMs=10", "");
    awaitStatus(200, ports[2], "POST", "/api/rpc?call=evacuation.begin&of=there", "");
    awaitStatus(200, ports[2], "POST", "/api/rpc?call=configuration.read", "");
    awaitStatus(
        200,
        ports[2],
        "POST",
        "/api/rpc?call=configuration.replace\r\nWeldpoint-Author: dispatch lead",
        spec.replace("00000001", "00000002").replace("\"timeoutMs\":2000", "\"timeoutMs\":2500"));
    System.out.println("$ weldpoint history --control " + HOST + ":" + ports[2]);
    new HistoryCommand()
        .run(new String[] {"--control", HOST + ":" + ports[2]}, System.out, System.out);
    Thread.sleep(1200);
    System.out.println("$ weldpoint history --reach 3 --at " + HOST + ":" + ports[2]);
    new HistoryCommand()
        .run(new String[] {"--reach", "3", "--at", HOST + ":" + ports[2]}, System.out, System.out);
    sendHeartbeat(2, "draining");
    awaitStatus(200, ports[2], "POST", "/api/rpc?call=instances.deregister&of=i-1", "");
    System.out.println(
        "demo finished successfully; send client traffic to "
            + HOST
            + ":"
            + ports[0]
            + ", control calls to "
            + HOST
            + ":"
            + ports[2]);
    if (keepRunning) {
      sendHeartbeat(3, "ready");
      Thread.currentThread().join();
    }
    return 0;
  }

  /**
   * Shows a trial whose new version loses one write in four while lookups succeed, and is held in
   * the rehearsal.
   */
  int trial() throws IOException, InterruptedException {
    final Settings settings = settings(20_000 + (int) (weldpoint.common.RandomIds.next() % 20_000));
    new StateStoreDaemon(settings).start();
    new RegistryDaemon(settings).start();
    new ProxyDaemon(settings).start();
    startUpstream(ports[3], 0);
    startUpstream(ports[4], 4);
    final String split =
        "\"split\":[{\"service\":\"desk-1\",\"weight\":100},{\"service\":\"desk-2\",\"weight\":0}],\"timeoutMs\":2000,\"maxAttempts\":2";
    awaitStatus(
        200,
        ports[2],
        "POST",
        "/api/rpc?call=configuration.replace",
        "{\"version\":\"00000001\",\"listeners\":[{\"host\":\"demo.example\",\"rules\":["
            + "{\"name\":\"look\",\"routeKind\":\"idempotent\",\"targetLatencyMs\":300,\"match\":{\"pathPrefix\":\"/look/\"},\"action\":{"
            + split
            + "}},"
            + "{\"name\":\"book\",\"routeKind\":\"mutating\",\"targetLatencyMs\":300,\"match\":{\"pathPrefix\":\"/book/\"},\"action\":{"
            + split
            + "}}]}],"
            + "\"pools\":[{\"name\":\"desk-1\"},{\"name\":\"desk-2\"}]}");
    for (int version = 1; version <= 2; version++) {
      awaitStatus(
          200,
          ports[2],
          "POST",
          "/api/rpc?call=instances.heartbeat&of=i-" + version,
          "{\"service\":\"desk-"
              + version
              + "\",\"address\":\""
              + HOST
              + ":"
              + ports[2 + version]
              + "\",\"zone\":\"here\",\"version\":\"v"
              + version
              + "\",\"capacity\":8,\"state\":\"ready\",\"warmupLeftMs\":0,\"callSeq\":1}");
    }
    awaitStatus(200, ports[1], "GET", "/api/readiness", "");
    final String control = HOST + ":" + ports[2];
    new TrialCommand()
        .run(
            new String[] {
              "begin",
              "book",
              "--control",
              control,
              "--old",
              "desk-1",
              "--new",
              "desk-2",
              "--token",
              "rehearsal-token",
              "--stages",
              "5,25,100",
              "--least-writes",
              "20"
            },
            System.out);
    Thread.sleep(500);
    for (int index = 0; index < 40; index++) {
      request(ports[0], "GET", "/look/" + index, "");
      request(ports[0], "POST", "/book/" + index, "a household's booking");
      request(
          ports[0],
          "POST",
          "/book/r" + index + "\r\nWeldpoint-Trial-Token: rehearsal-token",
          "a tester's booking");
    }
    Thread.sleep(2500);
    final int exitCode = runTrialCommand("status", "book", "--control", control);
    runTrialCommand("advance", "book", "--control", control);
    runTrialCommand("finish", "book", "--control", control);
    runTrialCommand(
        "begin",
        "book",
        "--control",
        control,
        "--old",
        "desk-1",
        "--new",
        "desk-2",
        "--token",
        "another-token",
        "--stages",
        "5,100",
        "--least-writes",
        "1");
    runTrialCommand(
        "begin",
        "book",
        "--control",
        control,
        "--old",
        "desk-1",
        "--new",
        "desk-2",
        "--token",
        "another-token",
        "--stages",
        "5,100");
    Thread.sleep(500);
    runTrialCommand("advance", "book", "--control", control);
    request(
        ports[0], "POST", "/book/r1\r\nWeldpoint-Trial-Token: another-token", "a tester's booking");
    Thread.sleep(1500);
    runTrialCommand("advance", "book", "--control", control);
    runTrialCommand("hold", "book", "--control", control, "--reason", "seen enough");
    runTrialCommand("status", "book", "--control", control, "--json");
    runTrialCommand("finish", "book", "--control", control);
    System.out.println(
        exitCode == 3
            ? "the faulty version was detected in the rehearsal; no booking without the token reached it"
            : "the faulty version was not detected");
    return exitCode == 3 ? 0 : 1;
  }

  /**
   * Shows affinity: binds each firm to a node, lets one node join and another leave, and prints the
   * node of each firm after each step.
   */
  int affinity() throws IOException, InterruptedException {
    final Settings settings = settings(20_000 + (int) (weldpoint.common.RandomIds.next() % 20_000));
    new StateStoreDaemon(settings).start();
    new RegistryDaemon(settings).start();
    new ProxyDaemon(settings).start();
    for (int node = 1; node <= 3; node++) {
      startUpstream(ports[2 + node], 0);
    }
    awaitStatus(
        200,
        ports[2],
        "POST",
        "/api/rpc?call=configuration.replace\r\nWeldpoint-Author: dispatch lead",
        "{\"version\":\"00000001\",\"listeners\":[{\"host\":\"demo.example\",\"rules\":["
            + "{\"name\":\"book\",\"routeKind\":\"mutating\",\"targetLatencyMs\":300,\"match\":{\"pathPrefix\":\"/book/\"},\"action\":{\"service\":\"desk\",\"timeoutMs\":1000,\"maxAttempts\":1,\"affinity\":{\"by\":\"header\",\"header\":\"X-Firm\"}}}]}],\"pools\":[{\"name\":\"desk\"}]}");
    setNodeState(1, "ready");
    setNodeState(2, "ready");
    final Thread heartbeats = new Thread(this::sendHeartbeats, "heartbeats");
    heartbeats.setDaemon(true);
    heartbeats.start();
    awaitStatus(200, ports[1], "GET", "/api/readiness", "");
    final String[] initial = awaitNodePerFirm("two nodes");
    setNodeState(3, "ready");
    final String[] afterJoin = awaitNodePerFirm("after node-3 joined");
    setNodeState(1, "draining");
    final String[] afterLeave = awaitNodePerFirm("while node-1 is draining");
    System.out.println("$ weldpoint status --control " + HOST + ":" + ports[2]);
    new StatusCommand().run(new String[] {"--control", HOST + ":" + ports[2]}, System.out);
    boolean onlyNecessaryMoves = true;
    int moved = 0;
    for (int firm = 0; firm < FIRMS; firm++) {
      moved += initial[firm].equals(afterJoin[firm]) ? 0 : 1;
      onlyNecessaryMoves &=
          initial[firm].equals(afterJoin[firm]) || afterJoin[firm].equals("node-3");
      onlyNecessaryMoves &=
          afterJoin[firm].equals(afterLeave[firm]) || afterJoin[firm].equals("node-1");
    }
    System.out.println(
        onlyNecessaryMoves
            ? moved
                + " of "
                + FIRMS
                + " firms moved to the node that joined, and only the firms of node-1 moved when it drained"
            : "a firm moved although its node was still available");
    return onlyNecessaryMoves ? 0 : 1;
  }

  private final String[] nodeStates = new String[4];
  private int heartbeatSequence;

  /** Sends a heartbeat for each node every second, as upstreams do. */
  private void sendHeartbeats() {
    try {
      while (true) {
        Thread.sleep(1000);
        for (int number = 1; number <= 3; number++) {
          final String state = nodeStates[number];
          if (state != null) {
            request(
                ports[2],
                "POST",
                "/api/rpc?call=instances.heartbeat&of=node-" + number,
                heartbeatBody(number, state));
          }
        }
      }
    } catch (final IOException | InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized String heartbeatBody(final int number, final String state) {
    return "{\"service\":\"desk\",\"address\":\""
        + HOST
        + ":"
        + ports[2 + number]
        + "\",\"zone\":\"here\",\"version\":\"v1\",\"capacity\":8,\"state\":\""
        + state
        + "\",\"warmupLeftMs\":0,\"callSeq\":"
        + ++heartbeatSequence
        + "}";
  }

  private void setNodeState(final int number, final String state)
      throws IOException, InterruptedException {
    nodeStates[number] = state;
    awaitStatus(
        200,
        ports[2],
        "POST",
        "/api/rpc?call=instances.heartbeat&of=node-" + number,
        heartbeatBody(number, state));
  }

  /** Lets the change take effect, then returns and prints the node that serves each firm. */
  private String[] awaitNodePerFirm(final String phase) throws IOException, InterruptedException {
    Thread.sleep(2500);
    final String[] nodes = new String[FIRMS];
    System.out.println(phase + ":");
    for (int firm = 0; firm < FIRMS; firm++) {
      for (int attempt = 0; attempt < 50 && nodes[firm] == null; attempt++) {
        final String response =
            request(ports[0], "POST", "/book/" + firm + "\r\nX-Firm: firm-" + firm, "a booking");
        for (int number = 1; number <= 3; number++) {
          if (response.startsWith("HTTP/1.1 200") && response.endsWith(" " + ports[2 + number])) {
            nodes[firm] = "node-" + number;
          }
        }
        if (nodes[firm] == null) {
          Thread.sleep(100);
        }
      }
      System.out.println("  firm-" + firm + " -> " + nodes[firm]);
      if (nodes[firm] == null) {
        throw new WeldpointException(
            WeldpointException.Kind.OUT_OF_REACH,
            "no booking of firm-" + firm + " succeeded within 5 s; see the log above");
      }
    }
    return nodes;
  }

  private static int runTrialCommand(final String... arguments) throws InterruptedException {
    System.out.println("$ weldpoint trial " + String.join(" ", arguments));
    try {
      return new TrialCommand().run(arguments, System.out);
    } catch (final WeldpointException exception) {
      System.out.println("refused: " + exception.getMessage());
      return 1;
    }
  }

  private void sendHeartbeat(final int sequence, final String state)
      throws IOException, InterruptedException {
    awaitStatus(
        200,
        ports[2],
        "POST",
        "/api/rpc?call=instances.heartbeat&of=i-" + (sequence < 3 ? 1 : 2),
        "{\"service\":\"desk\",\"address\":\""
            + HOST
            + ":"
            + ports[3]
            + "\",\"zone\":\"here\",\"version\":\"v1\",\"capacity\":8,\"state\":\""
            + state
            + "\",\"warmupLeftMs\":0,\"callSeq\":"
            + sequence
            + "}");
  }

  /**
   * Starts an upstream that answers each request with its port.
   *
   * @param dropEveryNthPost closes the connection instead of answering every n-th POST; 0 for none
   */
  private static void startUpstream(final int port, final int dropEveryNthPost)
      throws InterruptedException {
    final int[] posts = new int[1];
    final EventLoopGroup loop = new NioEventLoopGroup(1);
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
                        new HttpServerCodec(),
                        new HttpObjectAggregator(1 << 20),
                        new SimpleChannelInboundHandler<FullHttpRequest>() {
                          @Override
                          protected void channelRead0(
                              final ChannelHandlerContext context, final FullHttpRequest request) {
                            if (dropEveryNthPost > 0
                                && request.method().name().equals("POST")
                                && ++posts[0] % dropEveryNthPost == 0) {
                              context.close();
                              return;
                            }
                            final FullHttpResponse response =
                                new DefaultFullHttpResponse(
                                    HttpVersion.HTTP_1_1,
                                    HttpResponseStatus.OK,
                                    Unpooled.copiedBuffer(
                                        "demo upstream at " + port, StandardCharsets.UTF_8));
                            response
                                .headers()
                                .set(
                                    HttpHeaderNames.CONTENT_LENGTH,
                                    response.content().readableBytes())
                                .set(Headers.SERVER_SEAL, "demo")
                                .set(Headers.INSTANCE_LOAD, "0,0,8");
                            final String attemptId = request.headers().get(Headers.ATTEMPT_ID);
                            if (attemptId != null) {
                              response.headers().set(Headers.ATTEMPT_ID, attemptId);
                            }
                            context.writeAndFlush(response);
                          }
                        });
              }
            })
        .bind(HOST, port)
        .sync();
  }

  /** Repeats a request until it returns the expected status; fails after 15 s. */
  private void awaitStatus(
      final int expectedStatus,
      final int port,
      final String method,
      final String path,
      final String body)
      throws IOException, InterruptedException {
    final long deadline = System.nanoTime() + AWAIT_TIMEOUT_MILLIS * 1_000_000;
    String response = "";
    while (System.nanoTime() < deadline) {
      try {
        response = request(port, method, path, body);
      } catch (final IOException exception) {
        response = "- " + exception.getMessage();
      }
      if (response.startsWith("HTTP/1.1 " + expectedStatus)) {
        System.out.println(method + " " + path + " -> " + response.lines().findFirst().orElse(""));
        return;
      }
      Thread.sleep(100);
    }
    throw new WeldpointException(
        WeldpointException.Kind.OUT_OF_REACH,
        "the demo expected status "
            + expectedStatus
            + " for "
            + path
            + " but got: "
            + response.lines().findFirst().orElse("nothing")
            + "; see the log above");
  }

  /** Sends one HTTP request; the path may carry an extra header after a line break. */
  private static String request(
      final int port, final String method, final String path, final String body)
      throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(HOST, port), 1000);
      socket.setSoTimeout(2000);
      final byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      final OutputStream out = socket.getOutputStream();
      final int headerStart = path.indexOf("\r\n");
      final String target = headerStart < 0 ? path : path.substring(0, headerStart);
      final String extraHeader = headerStart < 0 ? "" : path.substring(headerStart + 2) + "\r\n";
      out.write(
          (method
                  + " "
                  + target
                  + " HTTP/1.1\r\nHost: demo.example\r\n"
                  + extraHeader
                  + "Weldpoint-Attempt-Id: "
                  + Long.toHexString(System.nanoTime())
                  + "\r\nWeldpoint-Deadline-Ms: 2000\r\nConnection: close\r\nContent-Length: "
                  + bytes.length
                  + "\r\n\r\n")
              .getBytes(StandardCharsets.UTF_8));
      out.write(bytes);
      out.flush();
      final InputStream in = socket.getInputStream();
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
  }
}
