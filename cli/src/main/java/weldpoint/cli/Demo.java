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
 * The whole system in one process on the loopback address, with a stand-in upstream: for trying it
 * out.
 */
final class Demo {
  private static final String HOST = "127.0.0.1";
  private static final long PATIENCE_MILLIS = 15_000;

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

  private Settings boot(final int trunk) {
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
            + trunk
            + ","
            + (trunk + 1)
            + "\ntrunk.seeds = "
            + HOST
            + ":"
            + ports[2]
            + "\nsites = here:home\n");
  }

  /** Starts everything, sends a configuration, a beat and some requests; prints what came back. */
  int run(final boolean stay) throws IOException, InterruptedException {
    final int trunk = 20_000 + new java.security.SecureRandom().nextInt(20_000);
    final Settings settings = boot(trunk);
    new StateStoreDaemon(settings).start();
    new RegistryDaemon(settings).start();
    new ProxyDaemon(settings).start();
    standIn(ports[3], 0);
    final String spec =
        "{\"version\":\"00000001\",\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"listeners\":[{\"host\":\"demo.example\",\"rules\":["
            + "{\"name\":\"look\",\"routeKind\":\"idempotent\",\"targetLatencyMs\":300,\"priority\":2,\"match\":{\"pathPrefix\":\"/look/\"},\"action\":{\"service\":\"desk\",\"timeoutMs\":2000,\"maxAttempts\":2,\"homeRegions\":[]}},"
            + "{\"name\":\"book\",\"routeKind\":\"mutating\",\"targetLatencyMs\":300,\"priority\":1,\"match\":{\"pathPrefix\":\"/book/\"},\"action\":{\"split\":[{\"service\":\"desk\",\"weight\":1}],\"timeoutMs\":2000,\"maxAttempts\":2,\"homeRegions\":[\"home\"]}}]}],"
            + "\"pools\":[{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConns\":100,\"protocol\":\"h1\",\"tls\":false,\"warmupS\":3.0,\"warmupPerS\":12.0}]}";
    until(200, ports[2], "POST", "/api/rpc?call=configuration.replace", spec);
    beat(1, "ready");
    until(200, ports[1], "GET", "/api/readiness", "");
    for (int index = 0; index < 5; index++) {
      until(200, ports[0], "GET", "/look/" + index, "");
      until(200, ports[0], "POST", "/book/" + index, "a booking");
    }
    until(200, ports[2], "GET", "/api/resolution?name=demo.example&region=home&zone=here", "");
    until(
        200,
        ports[2],
        "POST",
        "/api/rpc?call=locks.begin&of=l",
        "{\"owner\":\"me\",\"holdMs\":3000}");
    until(
        200,
        ports[2],
        "POST",
        "/api/rpc?call=locks.finish&of=l",
        "{\"owner\":\"me\",\"fenceNumber\":1}");
    until(200, ports[2], "POST", "/api/numbers/n", "{}");
    until(
        200,
        ports[2],
        "POST",
        "/api/rpc?call=cells.replace&of=g.k",
        "{\"value\":\"v\",\"enabled\":0}");
    until(200, ports[2], "POST", "/api/rpc?call=cells.read&of=g.k", "");
    until(200, ports[2], "GET", "/api/watch/g.?after=0&waitMs=10", "");
    until(200, ports[2], "POST", "/api/rpc?call=evacuation.begin&of=there", "");
    until(200, ports[2], "POST", "/api/rpc?call=configuration.read", "");
    until(
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
    beat(2, "draining");
    until(200, ports[2], "POST", "/api/rpc?call=instances.deregister&of=i-1", "");
    System.out.println(
        "the demonstration went well; clients at "
            + HOST
            + ":"
            + ports[0]
            + ", control at "
            + HOST
            + ":"
            + ports[2]);
    if (stay) {
      beat(3, "ready");
      Thread.currentThread().join();
    }
    return 0;
  }

  /**
   * Shows a trial: the new version of a route loses one write in four while lookups are well, and
   * is held in the rehearsal.
   */
  int trial() throws IOException, InterruptedException {
    final Settings settings = boot(20_000 + (int) (weldpoint.common.RandomIds.next() % 20_000));
    new StateStoreDaemon(settings).start();
    new RegistryDaemon(settings).start();
    new ProxyDaemon(settings).start();
    standIn(ports[3], 0);
    standIn(ports[4], 4);
    final String split =
        "\"split\":[{\"service\":\"desk-1\",\"weight\":100},{\"service\":\"desk-2\",\"weight\":0}],\"timeoutMs\":2000,\"maxAttempts\":2";
    until(
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
      until(
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
    until(200, ports[1], "GET", "/api/readiness", "");
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
      exchange(ports[0], "GET", "/look/" + index, "");
      exchange(ports[0], "POST", "/book/" + index, "a household's booking");
      exchange(
          ports[0],
          "POST",
          "/book/r" + index + "\r\nWeldpoint-Trial-Token: rehearsal-token",
          "a tester's booking");
    }
    Thread.sleep(2500);
    final int code = order("status", "book", "--control", control);
    order("advance", "book", "--control", control);
    order("finish", "book", "--control", control);
    order(
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
    order(
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
    order("advance", "book", "--control", control);
    exchange(
        ports[0], "POST", "/book/r1\r\nWeldpoint-Trial-Token: another-token", "a tester's booking");
    Thread.sleep(1500);
    order("advance", "book", "--control", control);
    order("hold", "book", "--control", control, "--reason", "seen enough");
    order("status", "book", "--control", control, "--json");
    order("finish", "book", "--control", control);
    System.out.println(
        code == 3
            ? "the fault was caught in the rehearsal; no booking without the token went to the new version"
            : "the fault was not caught");
    return code == 3 ? 0 : 1;
  }

  /**
   * Shows affinity: firms tied to nodes, one node that joins and one that leaves, and each firm's
   * node after each.
   */
  int affinity() throws IOException, InterruptedException {
    final Settings settings = boot(20_000 + (int) (weldpoint.common.RandomIds.next() % 20_000));
    new StateStoreDaemon(settings).start();
    new RegistryDaemon(settings).start();
    new ProxyDaemon(settings).start();
    for (int node = 1; node <= 3; node++) {
      standIn(ports[2 + node], 0);
    }
    until(
        200,
        ports[2],
        "POST",
        "/api/rpc?call=configuration.replace\r\nWeldpoint-Author: dispatch lead",
        "{\"version\":\"00000001\",\"listeners\":[{\"host\":\"demo.example\",\"rules\":["
            + "{\"name\":\"book\",\"routeKind\":\"mutating\",\"targetLatencyMs\":300,\"match\":{\"pathPrefix\":\"/book/\"},\"action\":{\"service\":\"desk\",\"timeoutMs\":1000,\"maxAttempts\":1,\"affinity\":{\"by\":\"header\",\"header\":\"X-Firm\"}}}]}],\"pools\":[{\"name\":\"desk\"}]}");
    node(1, "ready");
    node(2, "ready");
    final Thread beats = new Thread(this::beatOn, "beats");
    beats.setDaemon(true);
    beats.start();
    until(200, ports[1], "GET", "/api/readiness", "");
    final String[] first = nodes("two nodes");
    node(3, "ready");
    final String[] joined = nodes("a third has joined");
    node(1, "draining");
    final String[] left = nodes("the first is leaving");
    System.out.println("$ weldpoint status --control " + HOST + ":" + ports[2]);
    new StatusCommand().run(new String[] {"--control", HOST + ":" + ports[2]}, System.out);
    boolean good = true;
    int moved = 0;
    for (int firm = 0; firm < FIRMS; firm++) {
      moved += first[firm].equals(joined[firm]) ? 0 : 1;
      good &= first[firm].equals(joined[firm]) || joined[firm].equals("node-3");
      good &= joined[firm].equals(left[firm]) || joined[firm].equals("node-1");
    }
    System.out.println(
        good
            ? moved
                + " of "
                + FIRMS
                + " firms moved to the newcomer, and only the first node's firms moved when it left"
            : "a firm moved that had no need to");
    return good ? 0 : 1;
  }

  private final String[] states = new String[4];
  private int beats;

  /** Lets all nodes beat each second, as upstreams do. */
  private void beatOn() {
    try {
      while (true) {
        Thread.sleep(1000);
        for (int number = 1; number <= 3; number++) {
          final String state = states[number];
          if (state != null) {
            exchange(
                ports[2],
                "POST",
                "/api/rpc?call=instances.heartbeat&of=node-" + number,
                beatBody(number, state));
          }
        }
      }
    } catch (final IOException | InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized String beatBody(final int number, final String state) {
    return "{\"service\":\"desk\",\"address\":\""
        + HOST
        + ":"
        + ports[2 + number]
        + "\",\"zone\":\"here\",\"version\":\"v1\",\"capacity\":8,\"state\":\""
        + state
        + "\",\"warmupLeftMs\":0,\"callSeq\":"
        + ++beats
        + "}";
  }

  private void node(final int number, final String state) throws IOException, InterruptedException {
    states[number] = state;
    until(
        200,
        ports[2],
        "POST",
        "/api/rpc?call=instances.heartbeat&of=node-" + number,
        beatBody(number, state));
  }

  private String[] nodes(final String when) throws IOException, InterruptedException {
    Thread.sleep(2500);
    final String[] nodes = new String[FIRMS];
    System.out.println(when + ":");
    for (int firm = 0; firm < FIRMS; firm++) {
      for (int tries = 0; tries < 50 && nodes[firm] == null; tries++) {
        final String answer =
            exchange(ports[0], "POST", "/book/" + firm + "\r\nX-Firm: firm-" + firm, "a booking");
        for (int number = 1; number <= 3; number++) {
          if (answer.startsWith("HTTP/1.1 200") && answer.endsWith(" " + ports[2 + number])) {
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
            "no booking of firm-" + firm + " was taken within 5 s; see the log above");
      }
    }
    return nodes;
  }

  private static int order(final String... words) throws InterruptedException {
    System.out.println("$ weldpoint trial " + String.join(" ", words));
    try {
      return new TrialCommand().run(words, System.out);
    } catch (final WeldpointException exception) {
      System.out.println("refused: " + exception.getMessage());
      return 1;
    }
  }

  private void beat(final int sequence, final String state)
      throws IOException, InterruptedException {
    until(
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

  private static void standIn(final int port, final int losesOneIn) throws InterruptedException {
    final int[] count = new int[1];
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
                            if (losesOneIn > 0
                                && request.method().name().equals("POST")
                                && ++count[0] % losesOneIn == 0) {
                              context.close();
                              return;
                            }
                            final FullHttpResponse response =
                                new DefaultFullHttpResponse(
                                    HttpVersion.HTTP_1_1,
                                    HttpResponseStatus.OK,
                                    Unpooled.copiedBuffer(
                                        "stand-in at " + port, StandardCharsets.UTF_8));
                            response
                                .headers()
                                .set(
                                    HttpHeaderNames.CONTENT_LENGTH,
                                    response.content().readableBytes())
                                .set(Headers.SERVER_SEAL, "demo")
                                .set(Headers.INSTANCE_LOAD, "0,0,8");
                            final String id = request.headers().get(Headers.ATTEMPT_ID);
                            if (id != null) {
                              response.headers().set(Headers.ATTEMPT_ID, id);
                            }
                            context.writeAndFlush(response);
                          }
                        });
              }
            })
        .bind(HOST, port)
        .sync();
  }

  private void until(
      final int wanted, final int port, final String method, final String path, final String body)
      throws IOException, InterruptedException {
    final long cutoff = System.nanoTime() + PATIENCE_MILLIS * 1_000_000;
    String answer = "";
    while (System.nanoTime() < cutoff) {
      try {
        answer = exchange(port, method, path, body);
      } catch (final IOException problem) {
        answer = "- " + problem.getMessage();
      }
      if (answer.startsWith("HTTP/1.1 " + wanted)) {
        System.out.println(method + " " + path + " -> " + answer.lines().findFirst().orElse(""));
        return;
      }
      Thread.sleep(100);
    }
    throw new WeldpointException(
        WeldpointException.Kind.OUT_OF_REACH,
        "the demonstration got no "
            + wanted
            + " for "
            + path
            + " but: "
            + answer.lines().findFirst().orElse("nothing")
            + "; see the log above");
  }

  private static String exchange(
      final int port, final String method, final String path, final String body)
      throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(HOST, port), 1000);
      socket.setSoTimeout(2000);
      final byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      final OutputStream out = socket.getOutputStream();
      final int at = path.indexOf("\r\n");
      final String target = at < 0 ? path : path.substring(0, at);
      final String extra = at < 0 ? "" : path.substring(at + 2) + "\r\n";
      out.write(
          (method
                  + " "
                  + target
                  + " HTTP/1.1\r\nHost: demo.example\r\n"
                  + extra
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
