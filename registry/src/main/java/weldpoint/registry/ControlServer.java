package weldpoint.registry;

import com.google.common.flogger.FluentLogger;
import io.avaje.jsonb.JsonType;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import weldpoint.audit.Authors;
import weldpoint.common.Settings;
import weldpoint.common.StrictJson;
import weldpoint.common.WeldpointException;
import weldpoint.metrics.Metric;
import weldpoint.statestore.StoreOperation;
import weldpoint.statestore.StoredValues;
import weldpoint.transport.Protocol;
import weldpoint.transport.RegistryMessages;
import weldpoint.transport.Serializer;
import weldpoint.transport.StoreMessages;
import weldpoint.transport.TrialMessages;
import weldpoint.trial.TrialCounter;
import weldpoint.trial.TrialVerdict;

/**
 * HTTP server of the registry's control interface, directory and number service.
 *
 * <p>Used by the registry daemon, and by simulations that call it without a network. Requests are
 * decoded into a {@link ControlCommand} on the thread that reads them; the command runs on the
 * control thread of the {@link RegistryCore}.
 */
public final class ControlServer {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final int UNREADABLE_LOG_SECONDS = 1;
  private static final int MAX_BODY_BYTES = 16 << 20;
  static final long CALL_TIMEOUT_MILLIS = 900;
  private static final long PAUSE_THRESHOLD_MILLIS = 150;
  private static final int MAX_ADDRESSES = 64;
  private static final int MAX_PURGE_CHARS = 4096;
  private static final String REDIRECTED_PARAMETER = "sentOn";

  /** The monotonic and the wall clock of the process; simulations supply their own. */
  public interface Clock {
    /** The clocks of this machine. */
    Clock SYSTEM =
        new Clock() {
          @Override
          public long monotonicMillis() {
            return System.nanoTime() / 1_000_000;
          }

          @Override
          public long wallMillis() {
            return System.currentTimeMillis();
          }
        };

    /** A monotonic clock, in milliseconds. */
    long monotonicMillis();

    /** The wall clock, in milliseconds since the epoch; it is recorded, never used for ordering. */
    long wallMillis();
  }

  /** Receives the response to a call: its status and its JSON body. */
  public interface ResponseCallback {
    /** Returns whether the caller still waits for the response. */
    boolean isWaiting();

    /** Sends the response; {@code location} is the target of a redirect and null otherwise. */
    void respond(int status, byte[] body, String location);
  }

  private final Settings settings;
  private final RegistryCore core;
  private final Executor controlThread;
  private final Map<String, String> regions;
  private final int controlPort;
  private final Clock clock;
  private final AtomicLong unreadableCalls = new AtomicLong();
  private volatile long lastTickAt;
  private volatile long previousTickAt;

  ControlServer(final Settings settings, final RegistryCore core, final Executor controlThread) {
    this(settings, core, controlThread, Clock.SYSTEM);
  }

  /** Creates the server of a core that runs on {@code controlThread}, with these clocks. */
  public ControlServer(
      final Settings settings,
      final RegistryCore core,
      final Executor controlThread,
      final Clock clock) {
    this.clock = clock;
    lastTickAt = clock.monotonicMillis();
    previousTickAt = lastTickAt;
    this.settings = settings;
    this.core = core;
    this.controlThread = controlThread;
    this.regions = settings.sites();
    this.controlPort = settings.requiredAddress("listen.control").port();
  }

  RegistryCore core() {
    return core;
  }

  Clock clock() {
    return clock;
  }

  void serve(final EventLoopGroup loop, final Settings.Address address)
      throws InterruptedException {
    new ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .option(ChannelOption.SO_BACKLOG, 512)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(final SocketChannel channel) {
                final ConnectionHandler handler = new ConnectionHandler();
                channel.pipeline().addLast(new HttpServerCodec(), new Aggregator(handler), handler);
              }
            })
        .bind(address.host(), address.port())
        .sync();
  }

  /** A request that waits for the previous one on its connection to complete. */
  private record PendingRequest(FullHttpRequest request, long receivedAt) {}

  /**
   * Aggregates requests. Responses that the aggregator sends by itself (such as 100 and 413) must
   * not overtake the response to a call in progress: then no 100 is sent, and a request that is too
   * large closes the connection.
   */
  private static final class Aggregator extends HttpObjectAggregator {
    private final ConnectionHandler handler;

    private Aggregator(final ConnectionHandler handler) {
      super(MAX_BODY_BYTES);
      this.handler = handler;
    }

    @Override
    protected Object newContinueResponse(
        final HttpMessage start, final int maxContentLength, final ChannelPipeline pipeline) {
      return handler.callInProgress
          ? null
          : super.newContinueResponse(start, maxContentLength, pipeline);
    }

    @Override
    protected void handleOversizedMessage(
        final ChannelHandlerContext context, final HttpMessage oversized) throws Exception {
      if (handler.callInProgress) {
        context.close();
      } else {
        super.handleOversizedMessage(context, oversized);
      }
    }
  }

  /**
   * Handles one client connection. Pipelined calls run one after the other, so that responses keep
   * the order of the requests. Confined to the event loop of the connection. Releases each request
   * after it has been decoded, or when the connection closes.
   */
  private final class ConnectionHandler extends ChannelInboundHandlerAdapter {
    private final ArrayDeque<PendingRequest> pendingRequests = new ArrayDeque<>();
    private boolean callInProgress;
    private boolean draining;

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object message) {
      pendingRequests.add(new PendingRequest((FullHttpRequest) message, clock.monotonicMillis()));
      processPending(context);
    }

    private void processPending(final ChannelHandlerContext context) {
      if (draining) {
        return;
      }
      draining = true;
      try {
        while (!callInProgress && !pendingRequests.isEmpty()) {
          final PendingRequest next = pendingRequests.poll();
          try {
            startCall(context, next.request, next.receivedAt);
          } finally {
            next.request.release();
          }
        }
      } finally {
        draining = false;
      }
      context.channel().config().setAutoRead(pendingRequests.isEmpty());
    }

    private void startCall(
        final ChannelHandlerContext context, final FullHttpRequest request, final long receivedAt) {
      final boolean keepAlive = HttpUtil.isKeepAlive(request);
      callInProgress = true;
      if (request.decoderResult().isFailure()) {
        completeCall(
            context,
            ControlReply.problem(400, "the request cannot be read; send well-formed HTTP/1.1"),
            false);
        return;
      }
      if (clock.monotonicMillis() - receivedAt >= CALL_TIMEOUT_MILLIS) {
        completeCall(
            context,
            ControlReply.problem(
                504,
                "the call timed out behind the previous call on its connection; send it again on a connection of its own"),
            keepAlive);
        return;
      }
      call(
          request,
          address(context),
          new ResponseCallback() {
            @Override
            public boolean isWaiting() {
              return context.channel().isActive();
            }

            @Override
            public void respond(final int status, final byte[] body, final String location) {
              final ControlReply reply = new ControlReply(status, body, location);
              if (context.executor().inEventLoop()) {
                completeCall(context, reply, keepAlive);
              } else {
                context.executor().execute(() -> completeCall(context, reply, keepAlive));
              }
            }
          });
    }

    private void completeCall(
        final ChannelHandlerContext context, final ControlReply reply, final boolean keepAlive) {
      write(context, reply, keepAlive);
      callInProgress = !keepAlive;
      processPending(context);
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
      callInProgress = true;
      while (!pendingRequests.isEmpty()) {
        pendingRequests.poll().request.release();
      }
      context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
      context.close();
    }
  }

  /**
   * Records that the process is running. Must be called on each tick of the thread that reads
   * calls, so that a pause of the process is noticed for the calls that are read after it.
   */
  public void recordTick() {
    previousTickAt = lastTickAt;
    lastTickAt = clock.monotonicMillis();
  }

  /**
   * Returns the earliest time at which a call that is read at {@code now} may have arrived: after a
   * pause of the process, the tick before the last one; otherwise {@code now}. The caller's timeout
   * of one second began no earlier.
   */
  private long earliestReceiptAt(final long now) {
    final long previous = previousTickAt;
    return now - previous > PAUSE_THRESHOLD_MILLIS ? previous : now;
  }

  /**
   * Handles one call, independent of the transport that carried it. The callback is invoked on the
   * control thread, or at once on the calling thread if the call cannot be decoded.
   */
  public void call(
      final FullHttpRequest request, final String address, final ResponseCallback callback) {
    final ControlCommand command;
    try {
      command = decode(request, address);
    } catch (final WeldpointException exception) {
      respond(callback, problemReply(request.uri(), address, exception));
      return;
    } catch (final RuntimeException | StackOverflowError problem) {
      respond(
          callback,
          ControlReply.problem(
              400,
              "the call cannot be read ("
                  + problem.getClass().getSimpleName()
                  + "); send it as the protocol page describes it"));
      return;
    }
    final long receivedAt = earliestReceiptAt(clock.monotonicMillis());
    final String uri = request.uri();
    controlThread.execute(() -> run(command, uri, address, receivedAt, callback));
  }

  private static void respond(final ResponseCallback callback, final ControlReply reply) {
    callback.respond(reply.status(), reply.body(), reply.location());
  }

  /**
   * Runs a command, unless its caller may already have retried it at another daemon: a delayed copy
   * must not take effect after later calls of the same caller.
   */
  private void run(
      final ControlCommand command,
      final String uri,
      final String caller,
      final long receivedAt,
      final ResponseCallback callback) {
    final long now = clock.monotonicMillis();
    final boolean cutOff =
        command.cutOffPolicy() != ControlCommand.CutOffPolicy.RUN && core.cutOff(now);
    if (cutOff && command.cutOffPolicy() == ControlCommand.CutOffPolicy.REJECT) {
      respond(callback, cutOffReply(uri, now));
      return;
    }
    CompletableFuture<ControlReply> future;
    try {
      if (now - receivedAt >= CALL_TIMEOUT_MILLIS) {
        throw new WeldpointException(
            WeldpointException.Kind.OUT_OF_REACH,
            "this daemon was paused while the call waited; send it again");
      }
      future =
          command.run(
              now - receivedAt > PAUSE_THRESHOLD_MILLIS ? receivedAt : now, callback::isWaiting);
    } catch (final RuntimeException | StackOverflowError problem) {
      future = CompletableFuture.failedFuture(problem);
    }
    if (cutOff) {
      respond(callback, cutOffReply(uri, now));
      return;
    }
    future.whenComplete(
        (reply, problem) ->
            respond(
                callback,
                problem == null
                    ? reply
                    : failureReply(
                        uri,
                        caller,
                        problem instanceof CompletionException ? problem.getCause() : problem)));
  }

  private ControlReply failureReply(final String uri, final String caller, final Throwable cause) {
    if (cause instanceof WeldpointException) {
      return problemReply(uri, caller, (WeldpointException) cause);
    }
    return cause instanceof StackOverflowError
        ? ControlReply.problem(
            400, "the body is nested too deeply; send it as the protocol page describes it")
        : ControlReply.problem(500, "internal error: " + cause + "; send the call again");
  }

  /**
   * Builds the reply of a daemon that is cut off from the majority. It is sent at once, so that the
   * caller can try another daemon within its timeout of one second. A call is redirected at most
   * once, and only to a daemon that recently reported that it hears a majority.
   */
  private ControlReply cutOffReply(final String uri, final long now) {
    final QueryStringDecoder query = new QueryStringDecoder(uri);
    final String other =
        uri.startsWith("/")
                && !query.path().equals("/api/resolution")
                && !query.parameters().containsKey(REDIRECTED_PARAMETER)
            ? core.registryWithMajority(now)
            : null;
    if (other == null) {
      return ControlReply.problem(
          504,
          "this daemon is cut off from the majority and cannot answer the call; ask another daemon");
    }
    return new ControlReply(
        307,
        ControlReply.problem(
                307,
                "this daemon is cut off from the majority; follow the redirect to the daemon in Location")
            .body(),
        "http://"
            + other
            + ":"
            + controlPort
            + uri
            + (uri.contains("?") ? "&" : "?")
            + REDIRECTED_PARAMETER
            + "=1");
  }

  private static void write(
      final ChannelHandlerContext context, final ControlReply reply, final boolean keepAlive) {
    final FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(reply.status()),
            Unpooled.wrappedBuffer(reply.body()));
    response
        .headers()
        .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .set(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
    if (reply.location() != null) {
      response.headers().set(HttpHeaderNames.LOCATION, reply.location());
    }
    if (!keepAlive) {
      response.headers().set(HttpHeaderNames.CONNECTION, "close");
      context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    } else {
      context.writeAndFlush(response, context.voidPromise());
    }
  }

  private ControlCommand decode(final FullHttpRequest request, final String caller) {
    final QueryStringDecoder query = new QueryStringDecoder(request.uri());
    final String path = query.path();
    if (path.equals("/api/rpc")) {
      final ControlCall rpc = ControlCall.of(parameter(query, "call"));
      requireMethod(request, HttpMethod.POST);
      final byte[] body = bytes(request);
      if (rpc.ignoresBody()) {
        requireEmptyOrJson(body);
      }
      return new ControlCommand.WithCutOffPolicy(
          rpc.decode(
              this,
              parameter(query, "of"),
              body,
              new ControlCall.Origin(
                  Authors.check(
                      orEmpty(request.headers().get(Authors.HEADER)),
                      request.headers().getAll(Authors.HEADER).size()),
                  caller)),
          rpc.cutOffPolicy());
    }
    if (path.startsWith("/api/numbers/")) {
      requireMethod(request, HttpMethod.POST);
      requireEmptyOrJson(bytes(request));
      final String id = requireId(path.substring("/api/numbers/".length()));
      return (now, callerWaits) ->
          core.callStore(StoreOperation.NUMBER, id, null, 0, 0, null, CALL_TIMEOUT_MILLIS, now)
              .thenApply(
                  response ->
                      replyFor(
                          response,
                          ControlReply.of(
                              200,
                              ControlApi.NUMBER_RESPONSE,
                              new ControlApi.NumberResponse(response.first))));
    }
    if (path.startsWith("/api/watch/")) {
      requireMethod(request, HttpMethod.GET);
      return watch(
          requireId(path.substring("/api/watch/".length())),
          longParameter(query, "after", 0),
          longParameter(query, "waitMs", 0));
    }
    if (path.equals("/api/resolution")) {
      requireMethod(request, HttpMethod.GET);
      final String region = parameter(query, "region");
      final String site = parameter(query, "zone");
      return (now, callerWaits) -> {
        final List<String> addresses = core.resolve(region, site, MAX_ADDRESSES, now);
        return CompletableFuture.completedFuture(
            addresses.isEmpty()
                ? ControlReply.problem(503, "no switchboard has registered yet; ask again shortly")
                : ControlReply.of(
                    200,
                    ControlApi.RESOLUTION,
                    new ControlApi.Resolution(addresses, Math.min(2, settings.resolutionTtl()))));
      };
    }
    if (path.equals("/api/invalidation")) {
      requireMethod(request, HttpMethod.POST);
      return purge(parseBody(ControlApi.PURGE_REQUEST, bytes(request)));
    }
    throw new WeldpointException(
        WeldpointException.Kind.UNKNOWN_CALL,
        "no call is served at " + path + "; see the protocol page for the known calls");
  }

  private static void requireMethod(final FullHttpRequest request, final HttpMethod method) {
    if (!request.method().equals(method)) {
      throw new WeldpointException(
          WeldpointException.Kind.WRONG_METHOD,
          "the method " + request.method() + " is not allowed for this call; use " + method);
    }
  }

  private static String parameter(final QueryStringDecoder query, final String name) {
    final List<String> values = query.parameters().get(name);
    return values == null || values.isEmpty() ? "" : values.get(0);
  }

  private static String orEmpty(final String text) {
    return text == null ? "" : text;
  }

  private static String address(final ChannelHandlerContext context) {
    return context.channel().remoteAddress() instanceof java.net.InetSocketAddress
        ? ((java.net.InetSocketAddress) context.channel().remoteAddress())
            .getAddress()
            .getHostAddress()
        : "";
  }

  private static long longParameter(
      final QueryStringDecoder query, final String name, final long fallback) {
    final String text = parameter(query, name);
    return text.isEmpty() ? fallback : parseLong(name, text);
  }

  static long parseLong(final String name, final String text) {
    try {
      return Long.parseLong(text);
    } catch (final NumberFormatException problem) {
      throw new WeldpointException(
          WeldpointException.Kind.UNREADABLE, name + " is '" + text + "'; give an integer");
    }
  }

  static String requireId(final String id) {
    if (id.isEmpty()) {
      throw new WeldpointException(
          WeldpointException.Kind.UNREADABLE,
          "the call lacks its id; give it in the path or as parameter 'of'");
    }
    return id;
  }

  static String cellGroup(final String key) {
    final int dot = key.indexOf('.');
    return dot < 0 ? key : key.substring(0, dot + 1);
  }

  static <T> T parseBody(final JsonType<T> type, final byte[] body) {
    final String text = StrictJson.decode(body);
    try {
      final T value = type.fromJson(text);
      if (value != null) {
        return value;
      }
    } catch (final RuntimeException problem) {
      throw new WeldpointException(
          WeldpointException.Kind.UNREADABLE,
          "the body cannot be parsed ("
              + problem.getMessage()
              + "); send it as the protocol page describes it");
    }
    throw new WeldpointException(
        WeldpointException.Kind.UNREADABLE, "the body is null; send a JSON object");
  }

  /** Requires the body of a call that has no parameters in its body to be empty or JSON. */
  private static void requireEmptyOrJson(final byte[] body) {
    if (body.length > 0) {
      StrictJson.decode(body);
    }
  }

  private static byte[] bytes(final FullHttpRequest request) {
    final byte[] body = new byte[request.content().readableBytes()];
    request.content().readBytes(body);
    return body;
  }

  /** Metrics of the calls to the control interface. */
  List<Metric> metrics() {
    return List.of(
        Metric.counter(
            "weldpoint_unreadable_calls",
            "Calls refused since they could not be read whole, or are invalid.",
            unreadableCalls.get()));
  }

  private ControlReply problemReply(
      final String uri, final String caller, final WeldpointException problem) {
    if (problem.kind() == WeldpointException.Kind.UNREADABLE
        || problem.kind() == WeldpointException.Kind.INVALID) {
      unreadableCalls.incrementAndGet();
      LOGGER.atWarning().atMostEvery(UNREADABLE_LOG_SECONDS, TimeUnit.SECONDS).log(
          "call refused: %s from %s: %s", uri, caller, problem.getMessage());
    }
    return ControlReply.problem(Math.max(400, problem.kind().status()), problem);
  }

  static StoreMessages.StoreResponse requireVersionFree(
      final StoreMessages.StoreResponse response) {
    if (response.status == 409 && response.body != null) {
      final StoredValues.TakenVersion taken =
          Serializer.deserialize(response.body, StoredValues.TakenVersion.class);
      throw new WeldpointException(
          WeldpointException.Kind.VERSION_TAKEN,
          String.format(
              "version %08x is taken by another configuration%s%s, which is kept; send this one under a version above the newest",
              taken.version,
              taken.author == null || taken.author.isEmpty() ? "" : ", sent by " + taken.author,
              taken.time == 0 ? "" : " and accepted at " + Instant.ofEpochMilli(taken.time)));
    }
    return response;
  }

  static ControlReply replyFor(
      final StoreMessages.StoreResponse response, final ControlReply success) {
    return switch (response.status) {
      case 504 ->
          ControlReply.problem(
              504, "the daemon responsible changed while the call was in progress; send it again");
      case 409 ->
          ControlReply.problem(
              409, "it is held by another owner, or the lease expired; try again later");
      default -> success;
    };
  }

  ControlCommand heartbeat(final String id, final ControlApi.UpstreamHeartbeat heartbeat) {
    requireId(id);
    final boolean draining = "draining".equals(heartbeat.state());
    if (heartbeat.service() == null
        || heartbeat.address() == null
        || heartbeat.zone() == null
        || heartbeat.callSeq() == null
        || heartbeat.capacity() == null
        || heartbeat.capacity() < 0
        || !draining && !"ready".equals(heartbeat.state())) {
      throw new WeldpointException(
          WeldpointException.Kind.UNREADABLE,
          "the heartbeat of "
              + id
              + " lacks service, address, zone, capacity, callSeq or a state of ready or draining; send them all");
    }
    Settings.Address.parse("address", heartbeat.address());
    final long warmup =
        heartbeat.warmupLeftMs() == null ? 0 : Math.max(0, heartbeat.warmupLeftMs().longValue());
    final RegistryMessages.Registration registration =
        new RegistryMessages.Registration(
            id,
            heartbeat.service(),
            heartbeat.address(),
            heartbeat.zone(),
            heartbeat.version() == null ? "" : heartbeat.version(),
            heartbeat.capacity().intValue(),
            (draining ? LifecycleStage.DRAINING : LifecycleStage.JOINED).ordinal(),
            heartbeat.callSeq(),
            clock.wallMillis(),
            warmup);
    return (now, callerWaits) ->
        core.heartbeat(registration, now)
            .thenApply(
                done ->
                    ControlReply.of(
                        200,
                        ControlApi.HEARTBEAT_RESPONSE,
                        new ControlApi.UpstreamHeartbeatResponse(
                            core.heartbeatOwner(id, heartbeat.zone(), regions)
                                + ":"
                                + controlPort)));
  }

  ControlCommand setRecording(final boolean enabled) {
    return (now, callerWaits) -> {
      core.setRecording(enabled, clock.wallMillis(), now);
      return CompletableFuture.completedFuture(
          ControlReply.of(200, ControlApi.STATE, new ControlApi.State(core.recordingStatus())));
    };
  }

  private ControlCommand purge(final ControlApi.PurgeRequest request) {
    final boolean byObject =
        request.host() != null
            && !request.host().isEmpty()
            && request.path() != null
            && request.path().startsWith("/");
    final boolean byTag = request.tag() != null && !request.tag().isEmpty();
    if (byObject == byTag || !byObject && (request.host() != null || request.path() != null)) {
      throw new WeldpointException(
          WeldpointException.Kind.UNREADABLE,
          "a purge takes either host and path of an object or a tag; send one of the two");
    }
    final String target = byTag ? request.tag() : request.path();
    if (target.length() > MAX_PURGE_CHARS
        || byObject && request.host().length() > MAX_PURGE_CHARS) {
      throw new WeldpointException(
          WeldpointException.Kind.INVALID,
          "a purge key is longer than "
              + MAX_PURGE_CHARS
              + " characters; send one object or one tag");
    }
    return (now, callerWaits) ->
        core.callStore(
                StoreOperation.PURGE,
                "",
                byObject ? request.host().toLowerCase(java.util.Locale.ROOT) : null,
                0,
                0,
                target.getBytes(StandardCharsets.UTF_8),
                CALL_TIMEOUT_MILLIS,
                now)
            .thenApply(response -> replyFor(response, ControlReply.EMPTY));
  }

  ControlCommand evacuate(
      final String site, final long evacuated, final ControlCall.Origin origin) {
    return (now, callerWaits) ->
        core.changeRouting(
                StoreOperation.EVACUATE,
                site,
                evacuated,
                0,
                null,
                core.changeOrigin(origin.author(), origin.caller(), null),
                CALL_TIMEOUT_MILLIS,
                now)
            .thenCompose(
                response ->
                    response.status != 200
                        ? CompletableFuture.completedFuture(replyFor(response, ControlReply.EMPTY))
                        : core.replicateControlState(now).thenApply(done -> ControlReply.EMPTY));
  }

  ControlReply trialStatus(final TrialMessages.Trial trial) {
    final List<ControlApi.ProxyTrialCounts> proxies = new java.util.ArrayList<>();
    final long[] total = TrialCounter.newCounts();
    core.trialCoordinator()
        .countsByProxy(trial)
        .forEach(
            (proxy, counts) -> {
              proxies.add(proxyTrialCounts(proxy, trial, counts));
              for (int index = 0; index < total.length; index++) {
                total[index] += counts[index];
              }
            });
    return ControlReply.of(
        200,
        ControlApi.TRIAL_STATUS,
        new ControlApi.TrialStatus(
            trial.route,
            trial.number,
            TrialVerdict.of(trial).name(),
            trial.reason,
            trial.stage,
            trial.stages,
            trial.minWrites,
            trial.lateAllowance,
            trial.writes,
            Protocol.emptyIfNull(trial.attempts),
            proxyTrialCounts("all", trial, total),
            proxies));
  }

  private static ControlApi.ProxyTrialCounts proxyTrialCounts(
      final String proxy, final TrialMessages.Trial trial, final long[] counts) {
    return new ControlApi.ProxyTrialCounts(
        proxy,
        new ControlApi.VersionCounts(
            trial.oldService,
            TrialCounter.OLD_SENT.valueIn(counts),
            TrialCounter.OLD_CONFIRMED.valueIn(counts),
            TrialCounter.OLD_LOST.valueIn(counts),
            TrialCounter.OLD_DUPLICATED.valueIn(counts),
            TrialCounter.OLD_LATE.valueIn(counts),
            TrialCounter.OLD_OTHER_REQUESTS.valueIn(counts),
            TrialCounter.OLD_OTHER_REQUESTS_FAILED.valueIn(counts)),
        new ControlApi.VersionCounts(
            trial.newService,
            TrialCounter.NEW_SENT.valueIn(counts),
            TrialCounter.NEW_CONFIRMED.valueIn(counts),
            TrialCounter.NEW_LOST.valueIn(counts),
            TrialCounter.NEW_DUPLICATED.valueIn(counts),
            TrialCounter.NEW_LATE.valueIn(counts),
            TrialCounter.NEW_OTHER_REQUESTS.valueIn(counts),
            TrialCounter.NEW_OTHER_REQUESTS_FAILED.valueIn(counts)),
        TrialCounter.NEW_REHEARSED.valueIn(counts),
        TrialCounter.STAGE_CONFIRMED.valueIn(counts));
  }

  ControlCommand finishLock(final String id, final ControlApi.LockRequest request) {
    if (request.owner() == null || request.owner().isEmpty() || request.fenceNumber() == null) {
      throw new WeldpointException(
          WeldpointException.Kind.UNREADABLE,
          "the call for lock " + id + " lacks owner or fenceNumber; send both");
    }
    return (now, callerWaits) -> finishLock(id, request, now, callerWaits);
  }

  CompletableFuture<ControlReply> finishLock(
      final String id,
      final ControlApi.LockRequest request,
      final long startedAt,
      final BooleanSupplier callerWaits) {
    return core.callStore(
            StoreOperation.LOCK_TICKET,
            id,
            request.owner(),
            0,
            0,
            null,
            CALL_TIMEOUT_MILLIS,
            startedAt)
        .thenCompose(
            ticket -> {
              final long now = clock.monotonicMillis();
              final long remaining = startedAt + CALL_TIMEOUT_MILLIS - now;
              if (ticket.status != 200 || remaining <= 0 || !callerWaits.getAsBoolean()) {
                return CompletableFuture.failedFuture(
                    new WeldpointException(
                        WeldpointException.Kind.OUT_OF_REACH,
                        "the lock was not released in time; send the call again"));
              }
              return core.callStore(
                      StoreOperation.LOCK_FINISH,
                      id,
                      request.owner(),
                      ticket.first,
                      request.fenceNumber(),
                      null,
                      remaining,
                      now)
                  .thenApply(
                      response ->
                          response.status == 410
                              ? ControlReply.problem(
                                  504,
                                  "the lock was granted again in the meantime; send the call again")
                              : replyFor(response, ControlReply.EMPTY));
            });
  }

  ControlCommand lock(
      final StoreOperation operation, final String id, final ControlApi.LockRequest request) {
    if (request.owner() == null
        || request.owner().isEmpty()
        || operation != StoreOperation.LOCK_BEGIN && request.fenceNumber() == null
        || operation != StoreOperation.LOCK_FINISH
            && (request.holdMs() == null || request.holdMs() <= 0)) {
      throw new WeldpointException(
          WeldpointException.Kind.UNREADABLE,
          "the call for lock "
              + id
              + " lacks owner, fenceNumber or holdMs; send the fields that the call requires");
    }
    final long holdMillis = request.holdMs() == null ? 0 : request.holdMs().longValue();
    final long fence = request.fenceNumber() == null ? 0 : request.fenceNumber();
    return (now, callerWaits) ->
        core.callStore(
                operation, id, request.owner(), holdMillis, fence, null, CALL_TIMEOUT_MILLIS, now)
            .thenApply(
                response ->
                    replyFor(
                        response,
                        operation == StoreOperation.LOCK_BEGIN
                            ? ControlReply.of(
                                200,
                                ControlApi.FENCING_TOKEN,
                                new ControlApi.FencingToken(response.first))
                            : ControlReply.EMPTY));
  }

  private ControlCommand watch(
      final String group, final long after, final long requestedWaitMillis) {
    final long waitMillis = Math.max(0, Math.min(requestedWaitMillis, 60_000));
    return (now, callerWaits) ->
        core.callStore(
                StoreOperation.WATCH,
                group,
                null,
                after,
                waitMillis,
                null,
                waitMillis + CALL_TIMEOUT_MILLIS,
                now)
            .thenApply(
                response -> {
                  if (response.status != 200) {
                    return replyFor(
                        response,
                        ControlReply.problem(
                            response.status,
                            "the history no longer reaches back to "
                                + after
                                + "; start again with after=0"));
                  }
                  final StoredValues.WatchEvents events =
                      Serializer.deserialize(response.body, StoredValues.WatchEvents.class);
                  final List<ControlApi.Event> list = new java.util.ArrayList<>();
                  for (final StoredValues.Put put : Protocol.emptyIfNull(events.events)) {
                    list.add(new ControlApi.Event(put.name, put.value, put.revision));
                  }
                  return ControlReply.of(
                      200,
                      ControlApi.WATCH_RESPONSE,
                      new ControlApi.WatchResponse(list, events.revision));
                });
  }
}
