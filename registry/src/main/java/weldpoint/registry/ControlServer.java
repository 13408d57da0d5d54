package weldpoint.registry;

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
import java.util.function.BooleanSupplier;
import weldpoint.audit.Authors;
import weldpoint.common.Settings;
import weldpoint.common.WeldpointException;
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
 * The system's own interfaces over HTTP: each call is decoded into a command, which runs on the
 * control thread.
 */
public final class ControlServer {
  private static final int MOST_BYTES = 16 << 20;
  static final long CALL_MILLIS = 900;
  private static final long STANDSTILL_MILLIS = 150;
  private static final int MOST_ADDRESSES = 64;
  private static final int MOST_PURGED = 4096;
  private static final String SENT_ON = "sentOn";

  /** The clocks of the process. */
  public interface Clock {
    /** The clock of this machine. */
    Clock SYSTEM =
        new Clock() {
          @Override
          public long steadyMillis() {
            return System.nanoTime() / 1_000_000;
          }

          @Override
          public long dayMillis() {
            return System.currentTimeMillis();
          }
        };

    /** A clock that only rises, in milliseconds. */
    long steadyMillis();

    /** The time of day, in milliseconds; it is recorded and never used for order. */
    long dayMillis();
  }

  /** Takes the answer to a call: its status and its JSON body. */
  public interface ResponseCallback {
    /** Whether the caller still waits for the answer. */
    boolean waits();

    /** The answer; a redirect says where to, any other has null there. */
    void answer(int status, byte[] body, String location);
  }

  private final Settings settings;
  private final RegistryCore core;
  private final Executor desk;
  private final Map<String, String> regions;
  private final int controlPort;
  private final Clock clock;
  private volatile long awakeAt;
  private volatile long awakeBefore;

  ControlServer(final Settings settings, final RegistryCore core, final Executor desk) {
    this(settings, core, desk, Clock.SYSTEM);
  }

  /** The door of a core that runs on this thread, with these clocks. */
  public ControlServer(
      final Settings settings, final RegistryCore core, final Executor desk, final Clock clock) {
    this.clock = clock;
    awakeAt = clock.steadyMillis();
    awakeBefore = awakeAt;
    this.settings = settings;
    this.core = core;
    this.desk = desk;
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

  /** A call that waits for the one before it on its connection. */
  private record PendingRequest(FullHttpRequest request, long since) {}

  /**
   * Puts calls together; what it says of its own account does not overtake the answer to a call
   * under way.
   */
  private static final class Aggregator extends HttpObjectAggregator {
    private final ConnectionHandler handler;

    private Aggregator(final ConnectionHandler handler) {
      super(MOST_BYTES);
      this.handler = handler;
    }

    @Override
    protected Object newContinueResponse(
        final HttpMessage start, final int maxContentLength, final ChannelPipeline pipeline) {
      return handler.busy ? null : super.newContinueResponse(start, maxContentLength, pipeline);
    }

    @Override
    protected void handleOversizedMessage(
        final ChannelHandlerContext context, final HttpMessage oversized) throws Exception {
      if (handler.busy) {
        context.close();
      } else {
        super.handleOversizedMessage(context, oversized);
      }
    }
  }

  /**
   * One connection of a caller: its calls run one after the other, so that each answer stands in
   * the place of its own call. All of it lives on the traffic thread.
   */
  private final class ConnectionHandler extends ChannelInboundHandlerAdapter {
    private final ArrayDeque<PendingRequest> waiting = new ArrayDeque<>();
    private boolean busy;
    private boolean draining;

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object message) {
      waiting.add(new PendingRequest((FullHttpRequest) message, clock.steadyMillis()));
      drain(context);
    }

    private void drain(final ChannelHandlerContext context) {
      if (draining) {
        return;
      }
      draining = true;
      try {
        while (!busy && !waiting.isEmpty()) {
          final PendingRequest next = waiting.poll();
          try {
            begin(context, next.request, next.since);
          } finally {
            next.request.release();
          }
        }
      } finally {
        draining = false;
      }
      context.channel().config().setAutoRead(waiting.isEmpty());
    }

    private void begin(
        final ChannelHandlerContext context, final FullHttpRequest request, final long since) {
      final boolean keep = HttpUtil.isKeepAlive(request);
      busy = true;
      if (request.decoderResult().isFailure()) {
        settle(
            context,
            ControlReply.problem(400, "the request cannot be read; send proper HTTP/1.1"),
            false);
        return;
      }
      if (clock.steadyMillis() - since >= CALL_MILLIS) {
        settle(
            context,
            ControlReply.problem(
                504,
                "the call waited too long behind the one before it; send it again on a connection of its own"),
            keep);
        return;
      }
      call(
          request,
          address(context),
          new ResponseCallback() {
            @Override
            public boolean waits() {
              return context.channel().isActive();
            }

            @Override
            public void answer(final int status, final byte[] body, final String location) {
              final ControlReply reply = new ControlReply(status, body, location);
              if (context.executor().inEventLoop()) {
                settle(context, reply, keep);
              } else {
                context.executor().execute(() -> settle(context, reply, keep));
              }
            }
          });
    }

    private void settle(
        final ChannelHandlerContext context, final ControlReply reply, final boolean keep) {
      write(context, reply, keep);
      busy = !keep;
      drain(context);
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
      busy = true;
      while (!waiting.isEmpty()) {
        waiting.poll().request.release();
      }
      context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
      context.close();
    }
  }

  /**
   * The process runs: to be called with each tick of the thread that reads calls, so that a
   * standstill shows in what is read after it.
   */
  public void awake() {
    awakeBefore = awakeAt;
    awakeAt = clock.steadyMillis();
  }

  /** Since when a call that is read now may have waited: its caller's second began no earlier. */
  private long receivedAt(final long now) {
    final long before = awakeBefore;
    return now - before > STANDSTILL_MILLIS ? before : now;
  }

  /**
   * Takes one call, whatever carried it here; the answer comes on the thread of the core, or at
   * once where the call cannot be read.
   */
  public void call(
      final FullHttpRequest request, final String address, final ResponseCallback caller) {
    final ControlCommand command;
    try {
      command = decode(request, address);
    } catch (final WeldpointException exception) {
      answer(caller, ControlReply.problem(Math.max(400, exception.kind().status()), exception));
      return;
    } catch (final RuntimeException | StackOverflowError problem) {
      answer(
          caller,
          ControlReply.problem(
              400,
              "the call cannot be read ("
                  + problem.getClass().getSimpleName()
                  + "); send it as the protocol page has it"));
      return;
    }
    final long receivedAt = receivedAt(clock.steadyMillis());
    final String uri = request.uri();
    desk.execute(() -> run(command, uri, receivedAt, caller));
  }

  private static void answer(final ResponseCallback caller, final ControlReply reply) {
    caller.answer(reply.status(), reply.body(), reply.location());
  }

  /**
   * Runs a command, unless its caller may have gone on to another daemon: a copy that waited must
   * not take effect after what came later.
   */
  private void run(
      final ControlCommand command,
      final String uri,
      final long receivedAt,
      final ResponseCallback caller) {
    final long now = clock.steadyMillis();
    final boolean cutOff = command.cutOff() != ControlCommand.CutOff.ANSWERED && core.cutOff(now);
    if (cutOff && command.cutOff() == ControlCommand.CutOff.NOT_RUN) {
      answer(caller, unclear(uri, now));
      return;
    }
    CompletableFuture<ControlReply> future;
    try {
      if (now - receivedAt >= CALL_MILLIS) {
        throw new WeldpointException(
            WeldpointException.Kind.OUT_OF_REACH,
            "this daemon stood still while the call waited; send it again");
      }
      future = command.run(now - receivedAt > STANDSTILL_MILLIS ? receivedAt : now, caller::waits);
    } catch (final RuntimeException | StackOverflowError problem) {
      future = CompletableFuture.failedFuture(problem);
    }
    if (cutOff) {
      answer(caller, unclear(uri, now));
      return;
    }
    future.whenComplete(
        (reply, problem) ->
            answer(
                caller,
                problem == null
                    ? reply
                    : failure(
                        problem instanceof CompletionException ? problem.getCause() : problem)));
  }

  private static ControlReply failure(final Throwable cause) {
    if (cause instanceof WeldpointException) {
      return ControlReply.problem(
          ((WeldpointException) cause).kind().status(), (WeldpointException) cause);
    }
    return cause instanceof StackOverflowError
        ? ControlReply.problem(
            400, "the body is nested too deeply; send it as the protocol page has it")
        : ControlReply.problem(500, "internal failure: " + cause + "; send the call again");
  }

  /**
   * The answer of a daemon that is cut off: at once, so that the caller goes on within its second
   * of silence. A call is sent on once at most, and only to a daemon that told lately that it hears
   * a majority.
   */
  private ControlReply unclear(final String uri, final long now) {
    final QueryStringDecoder query = new QueryStringDecoder(uri);
    final String other =
        uri.startsWith("/")
                && !query.path().equals("/api/resolution")
                && !query.parameters().containsKey(SENT_ON)
            ? core.majority(now)
            : null;
    if (other == null) {
      return ControlReply.problem(
          504,
          "this daemon is cut off from the majority and does not know the answer; ask another daemon");
    }
    return new ControlReply(
        307,
        ControlReply.problem(307, "this daemon is cut off from the majority; ask the one named")
            .body(),
        "http://"
            + other
            + ":"
            + controlPort
            + uri
            + (uri.contains("?") ? "&" : "?")
            + SENT_ON
            + "=1");
  }

  private static void write(
      final ChannelHandlerContext context, final ControlReply reply, final boolean keep) {
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
    if (!keep) {
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
      wants(request, HttpMethod.POST);
      final byte[] body = new byte[request.content().readableBytes()];
      request.content().readBytes(body);
      return new ControlCommand.Fated(
          rpc.decode(
              this,
              parameter(query, "of"),
              body,
              new ControlCall.Origin(
                  Authors.check(
                      orEmpty(request.headers().get(Authors.HEADER)),
                      request.headers().getAll(Authors.HEADER).size()),
                  caller)),
          rpc.cutOff());
    }
    if (path.startsWith("/api/numbers/")) {
      wants(request, HttpMethod.POST);
      final String id = named(path.substring("/api/numbers/".length()));
      return (now, waits) ->
          core.call(StoreOperation.NUMBER, id, null, 0, 0, null, CALL_MILLIS, now)
              .thenApply(
                  answer ->
                      status(
                          answer,
                          ControlReply.of(
                              200,
                              ControlApi.NUMBER,
                              new ControlApi.NumberResponse(answer.first))));
    }
    if (path.startsWith("/api/watch/")) {
      wants(request, HttpMethod.GET);
      return watch(
          named(path.substring("/api/watch/".length())),
          whole(query, "after", 0),
          whole(query, "waitMs", 0));
    }
    if (path.equals("/api/resolution")) {
      wants(request, HttpMethod.GET);
      final String region = parameter(query, "region");
      final String site = parameter(query, "zone");
      return (now, waits) -> {
        final List<String> addresses = core.resolve(region, site, MOST_ADDRESSES, now);
        return CompletableFuture.completedFuture(
            addresses.isEmpty()
                ? ControlReply.problem(503, "no switchboard is known yet; ask again shortly")
                : ControlReply.of(
                    200,
                    ControlApi.RESOLUTION,
                    new ControlApi.Resolution(addresses, Math.min(2, settings.resolutionTtl()))));
      };
    }
    if (path.equals("/api/invalidation")) {
      wants(request, HttpMethod.POST);
      final byte[] body = new byte[request.content().readableBytes()];
      request.content().readBytes(body);
      return purge(read(ControlApi.PURGE, body));
    }
    throw new WeldpointException(
        WeldpointException.Kind.UNKNOWN_CALL,
        "nothing is served at " + path + "; see the protocol page for the calls there are");
  }

  private static void wants(final FullHttpRequest request, final HttpMethod method) {
    if (!request.method().equals(method)) {
      throw new WeldpointException(
          WeldpointException.Kind.WRONG_METHOD,
          "the method " + request.method() + " does not fit this call; use " + method);
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

  private static long whole(
      final QueryStringDecoder query, final String name, final long fallback) {
    final String text = parameter(query, name);
    return text.isEmpty() ? fallback : number(name, text);
  }

  static long number(final String name, final String text) {
    try {
      return Long.parseLong(text);
    } catch (final NumberFormatException problem) {
      throw new WeldpointException(
          WeldpointException.Kind.UNREADABLE, name + " is '" + text + "'; give a whole number");
    }
  }

  static String named(final String id) {
    if (id.isEmpty()) {
      throw new WeldpointException(
          WeldpointException.Kind.UNREADABLE, "the call names nothing; give the id");
    }
    return id;
  }

  static String group(final String key) {
    final int dot = key.indexOf('.');
    return dot < 0 ? key : key.substring(0, dot + 1);
  }

  static <T> T read(final JsonType<T> type, final byte[] body) {
    try {
      final T value = type.fromJson(new String(body, StandardCharsets.UTF_8));
      if (value != null) {
        return value;
      }
    } catch (final RuntimeException problem) {
      throw new WeldpointException(
          WeldpointException.Kind.UNREADABLE,
          "the body cannot be read (" + problem.getMessage() + "); send complete JSON");
    }
    throw new WeldpointException(
        WeldpointException.Kind.UNREADABLE, "the body is empty; send a JSON object");
  }

  static StoreMessages.StoreResponse notTaken(final StoreMessages.StoreResponse answer) {
    if (answer.status == 409 && answer.body != null) {
      final StoredValues.TakenVersion taken =
          Serializer.deserialize(answer.body, StoredValues.TakenVersion.class);
      throw new WeldpointException(
          WeldpointException.Kind.VERSION_TAKEN,
          String.format(
              "version %08x stands for another configuration%s%s, which stays; send this one under a version above the newest",
              taken.version,
              taken.author == null || taken.author.isEmpty() ? "" : ", sent by " + taken.author,
              taken.time == 0 ? "" : " and taken at " + Instant.ofEpochMilli(taken.time)));
    }
    return answer;
  }

  static ControlReply status(final StoreMessages.StoreResponse answer, final ControlReply good) {
    return switch (answer.status) {
      case 504 ->
          ControlReply.problem(
              504, "the duty changed hands while the call was under way; send it again");
      case 409 -> ControlReply.problem(409, "another holds it, or it was lost; try again later");
      default -> good;
    };
  }

  ControlCommand beat(final String id, final ControlApi.UpstreamHeartbeat beat) {
    named(id);
    final boolean draining = "draining".equals(beat.state());
    if (beat.service() == null
        || beat.address() == null
        || beat.zone() == null
        || beat.callSeq() == null
        || beat.capacity() == null
        || beat.capacity() < 0
        || !draining && !"ready".equals(beat.state())) {
      throw new WeldpointException(
          WeldpointException.Kind.UNREADABLE,
          "the beat of "
              + id
              + " lacks service, address, zone, capacity, callSeq or a state of ready or draining; send them all");
    }
    Settings.Address.parse("address", beat.address());
    final long warmup =
        beat.warmupLeftMs() == null ? 0 : Math.max(0, beat.warmupLeftMs().longValue());
    final RegistryMessages.Registration registration =
        new RegistryMessages.Registration(
            id,
            beat.service(),
            beat.address(),
            beat.zone(),
            beat.version() == null ? "" : beat.version(),
            beat.capacity().intValue(),
            (draining ? LifecycleStage.DRAINING : LifecycleStage.JOINED).ordinal(),
            beat.callSeq(),
            clock.dayMillis(),
            warmup);
    return (now, waits) ->
        core.beat(registration, now)
            .thenApply(
                done ->
                    ControlReply.of(
                        200,
                        ControlApi.BEAT_ANSWER,
                        new ControlApi.UpstreamHeartbeatResponse(
                            core.keeper(id, beat.zone(), regions) + ":" + controlPort)));
  }

  ControlCommand record(final boolean on) {
    return (now, waits) -> {
      core.record(on, clock.dayMillis(), now);
      return CompletableFuture.completedFuture(
          ControlReply.of(200, ControlApi.STATE, new ControlApi.State(core.recording())));
    };
  }

  private ControlCommand purge(final ControlApi.PurgeRequest order) {
    final boolean object =
        order.host() != null
            && !order.host().isEmpty()
            && order.path() != null
            && order.path().startsWith("/");
    final boolean label = order.tag() != null && !order.tag().isEmpty();
    if (object == label || !object && (order.host() != null || order.path() != null)) {
      throw new WeldpointException(
          WeldpointException.Kind.UNREADABLE,
          "a purge names either an object by host and path or a tag; send one of the two");
    }
    final String named = label ? order.tag() : order.path();
    if (named.length() > MOST_PURGED || object && order.host().length() > MOST_PURGED) {
      throw new WeldpointException(
          WeldpointException.Kind.INVALID,
          "a purge names more than " + MOST_PURGED + " characters; name one object or tag");
    }
    return (now, waits) ->
        core.call(
                StoreOperation.PURGE,
                "",
                object ? order.host().toLowerCase(java.util.Locale.ROOT) : null,
                0,
                0,
                named.getBytes(StandardCharsets.UTF_8),
                CALL_MILLIS,
                now)
            .thenApply(answer -> status(answer, ControlReply.EMPTY));
  }

  ControlCommand evacuate(final String site, final long on, final ControlCall.Origin origin) {
    return (now, waits) ->
        core.change(
                StoreOperation.EVACUATE,
                site,
                on,
                0,
                null,
                core.cause(origin.author(), origin.caller(), null),
                CALL_MILLIS,
                now)
            .thenCompose(
                answer ->
                    answer.status != 200
                        ? CompletableFuture.completedFuture(status(answer, ControlReply.EMPTY))
                        : core.settle(now).thenApply(done -> ControlReply.EMPTY));
  }

  ControlReply trial(final TrialMessages.Trial trial) {
    final List<ControlApi.ProxyTrialCounts> boards = new java.util.ArrayList<>();
    final long[] sum = TrialCounter.newCounts();
    core.panel()
        .countsByProxy(trial)
        .forEach(
            (board, counts) -> {
              boards.add(counted(board, trial, counts));
              for (int index = 0; index < sum.length; index++) {
                sum[index] += counts[index];
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
            trial.leastWrites,
            trial.lateAllowance,
            trial.writes,
            Protocol.list(trial.attempts),
            counted("all", trial, sum),
            boards));
  }

  private static ControlApi.ProxyTrialCounts counted(
      final String board, final TrialMessages.Trial trial, final long[] counts) {
    return new ControlApi.ProxyTrialCounts(
        board,
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

  ControlCommand finish(final String id, final ControlApi.LockRequest grip) {
    if (grip.owner() == null || grip.owner().isEmpty() || grip.fenceNumber() == null) {
      throw new WeldpointException(
          WeldpointException.Kind.UNREADABLE,
          "the call for lock " + id + " lacks owner or fenceNumber; send both");
    }
    return (now, waits) -> finish(id, grip, now, waits);
  }

  CompletableFuture<ControlReply> finish(
      final String id,
      final ControlApi.LockRequest grip,
      final long began,
      final BooleanSupplier waits) {
    return core.call(StoreOperation.LOCK_TICKET, id, grip.owner(), 0, 0, null, CALL_MILLIS, began)
        .thenCompose(
            ticket -> {
              final long now = clock.steadyMillis();
              final long left = began + CALL_MILLIS - now;
              if (ticket.status != 200 || left <= 0 || !waits.getAsBoolean()) {
                return CompletableFuture.failedFuture(
                    new WeldpointException(
                        WeldpointException.Kind.OUT_OF_REACH,
                        "the lock was not given back in time; send the call again"));
              }
              return core.call(
                      StoreOperation.LOCK_FINISH,
                      id,
                      grip.owner(),
                      ticket.first,
                      grip.fenceNumber(),
                      null,
                      left,
                      now)
                  .thenApply(
                      answer ->
                          answer.status == 410
                              ? ControlReply.problem(
                                  504, "the lock was granted anew meanwhile; send the call again")
                              : status(answer, ControlReply.EMPTY));
            });
  }

  ControlCommand lock(
      final StoreOperation operation, final String id, final ControlApi.LockRequest grip) {
    if (grip.owner() == null
        || grip.owner().isEmpty()
        || operation != StoreOperation.LOCK_BEGIN && grip.fenceNumber() == null
        || operation != StoreOperation.LOCK_FINISH
            && (grip.holdMs() == null || grip.holdMs() <= 0)) {
      throw new WeldpointException(
          WeldpointException.Kind.UNREADABLE,
          "the call for lock "
              + id
              + " lacks owner, fenceNumber or holdMs; send what the call needs");
    }
    final long hold = grip.holdMs() == null ? 0 : grip.holdMs().longValue();
    final long fence = grip.fenceNumber() == null ? 0 : grip.fenceNumber();
    return (now, waits) ->
        core.call(operation, id, grip.owner(), hold, fence, null, CALL_MILLIS, now)
            .thenApply(
                answer ->
                    status(
                        answer,
                        operation == StoreOperation.LOCK_BEGIN
                            ? ControlReply.of(
                                200, ControlApi.FENCE, new ControlApi.FencingToken(answer.first))
                            : ControlReply.EMPTY));
  }

  private ControlCommand watch(final String group, final long after, final long wait) {
    final long patience = Math.max(0, Math.min(wait, 60_000));
    return (now, waits) ->
        core.call(
                StoreOperation.WATCH,
                group,
                null,
                after,
                patience,
                null,
                patience + CALL_MILLIS,
                now)
            .thenApply(
                answer -> {
                  if (answer.status != 200) {
                    return status(
                        answer,
                        ControlReply.problem(
                            answer.status,
                            "the history no longer reaches back to "
                                + after
                                + "; begin again with after=0"));
                  }
                  final StoredValues.WatchEvents events =
                      Serializer.deserialize(answer.body, StoredValues.WatchEvents.class);
                  final List<ControlApi.Event> list = new java.util.ArrayList<>();
                  for (final StoredValues.Put put : Protocol.list(events.events)) {
                    list.add(new ControlApi.Event(put.name, put.value, put.revision));
                  }
                  return ControlReply.of(
                      200, ControlApi.WATCH, new ControlApi.WatchResponse(list, events.revision));
                });
  }
}
