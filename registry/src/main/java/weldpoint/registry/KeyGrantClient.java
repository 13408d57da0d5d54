package weldpoint.registry;

import com.google.common.flogger.FluentLogger;
import io.avaje.jsonb.JsonType;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import weldpoint.common.Settings;
import weldpoint.ownership.CallResult;
import weldpoint.transport.OwnershipMessages.KeyRange;

/**
 * HTTP client that grants key ranges to upstreams and asks for their release. Grants to one
 * upstream are sent one after the other over one connection; each release has its own connection,
 * since the upstream responds only after the requests in progress have completed. If a response
 * does not arrive in time, the connection is reset. This does not prove that the call has no effect
 * later; see GrantTimings for how long a grant may still take effect.
 *
 * <p>Used by {@link AssignerEnvironment}. Connections live on the event loop; results are passed on
 * the callback executor.
 */
final class KeyGrantClient {
  private static final String TARGET_INSTANCE_HEADER = "Weldpoint-Target-Instance";
  private static final String TRANSFER_HEADER = "Weldpoint-Duty-Transfer";
  private static final int CONNECT_TIMEOUT_MILLIS = 400;
  private static final int MAX_RESPONSE_BYTES = 8192;
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** One call to an upstream. Times are milliseconds of the monotonic clock. */
  private static final class Call {
    final String kind;
    final KeyRange range;
    final long createdAt = now();
    long sentAt;
    final FullHttpRequest request;
    final long sendDeadline;
    final long responseDeadline;
    final Consumer<CallResult> callback;
    private boolean completed;

    Call(
        final String kind,
        final KeyRange range,
        final FullHttpRequest request,
        final long sendDeadline,
        final long responseDeadline,
        final Consumer<CallResult> callback) {
      this.kind = kind;
      this.range = range;
      this.request = request;
      this.sendDeadline = sendDeadline;
      this.responseDeadline = responseDeadline;
      this.callback = callback;
    }

    void markSent() {
      sentAt = now();
      LOGGER.atFine().log("%s sent at %s: %s", kind, sentAt, this);
    }

    void complete(final CallResult result) {
      if (!completed) {
        completed = true;
        LOGGER.atFine().log("%s ended at %s: %s, %s", kind, now(), this, result.outcome());
        callback.accept(result);
      }
    }

    @Override
    public String toString() {
      return "keys "
          + range.first
          + "-"
          + range.last
          + " fence "
          + range.fence
          + " holder "
          + range.holder
          + " at "
          + range.address
          + " created "
          + createdAt
          + " sent "
          + sentAt;
    }
  }

  /** One connection to an upstream, and the calls that wait for it. Confined to the event loop. */
  private final class UpstreamConnection {
    private final String address;
    private final boolean persistent;
    private final ArrayDeque<Call> pendingCalls = new ArrayDeque<>();
    private Channel channel;
    private Call inFlight;
    private ScheduledFuture<?> timer;
    private boolean connecting;
    private boolean carriedCall;

    UpstreamConnection(final String address, final boolean persistent) {
      this.address = address;
      this.persistent = persistent;
    }

    void enqueue(final Call call) {
      pendingCalls.add(call);
      sendNext();
    }

    private void sendNext() {
      if (inFlight != null || connecting || pendingCalls.isEmpty()) {
        return;
      }
      if (channel == null || !channel.isActive()) {
        connect();
        return;
      }
      final Call call = pendingCalls.poll();
      if (now() >= call.sendDeadline) {
        call.request.release();
        call.complete(CallResult.of(CallResult.Outcome.NOT_SENT));
        sendNext();
        return;
      }
      inFlight = call;
      call.markSent();
      timer =
          loop.schedule(
              this::reset, Math.max(1, call.responseDeadline - now()), TimeUnit.MILLISECONDS);
      channel.writeAndFlush(call.request);
    }

    private void connect() {
      connecting = true;
      final Settings.Address target = Settings.Address.parse("address", address);
      bootstrap
          .clone()
          .handler(
              new ChannelInitializer<SocketChannel>() {
                @Override
                protected void initChannel(final SocketChannel socket) {
                  socket
                      .pipeline()
                      .addLast(
                          new HttpClientCodec(),
                          new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                          new ResponseHandler(UpstreamConnection.this));
                }
              })
          .connect(new InetSocketAddress(target.host(), target.port()))
          .addListener(
              (ChannelFuture future) -> {
                connecting = false;
                if (future.isSuccess()) {
                  channel = future.channel();
                  carriedCall = false;
                  sendNext();
                } else {
                  failPendingCalls();
                }
              });
    }

    private void failPendingCalls() {
      while (!pendingCalls.isEmpty()) {
        final Call call = pendingCalls.poll();
        call.request.release();
        call.complete(CallResult.of(CallResult.Outcome.NOT_SENT));
      }
      connections.remove(address, this);
    }

    private void reset() {
      LOGGER.atInfo().log(
          "%s call timed out at %s; resetting the connection, the outcome is unknown: %s",
          inFlight.kind, now(), inFlight);
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
      fail(channel);
    }

    /**
     * Closes a channel without a usable response. The channel is given up first: once it is closed,
     * the codec presents an unfinished response without a length as complete.
     */
    private void fail(final Channel failedChannel) {
      final boolean current = failedChannel == channel;
      if (current) {
        channel = null;
      }
      failedChannel.close();
      if (current) {
        completeInFlight(CallResult.of(CallResult.Outcome.UNKNOWN));
      }
    }

    private void onResponse(final Channel source, final FullHttpResponse response) {
      if (source != channel || inFlight == null) {
        source.close();
        return;
      }
      final CallResult result = result(response, !carriedCall);
      carriedCall = true;
      if (!persistent
          || !HttpUtil.isKeepAlive(response)
          || result.outcome() != CallResult.Outcome.DONE) {
        channel = null;
        source.close();
      }
      completeInFlight(result);
    }

    private void onClosed(final Channel closedChannel) {
      if (closedChannel == channel) {
        channel = null;
        completeInFlight(CallResult.of(CallResult.Outcome.UNKNOWN));
      }
    }

    private void completeInFlight(final CallResult result) {
      if (inFlight == null) {
        return;
      }
      final Call call = inFlight;
      inFlight = null;
      timer.cancel(false);
      call.complete(result);
      sendNext();
    }
  }

  /** Passes responses and the close of one channel to its {@link UpstreamConnection}. */
  private static final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final UpstreamConnection connection;

    ResponseHandler(final UpstreamConnection connection) {
      this.connection = connection;
    }

    @Override
    protected void channelRead0(
        final ChannelHandlerContext context, final FullHttpResponse response) {
      connection.onResponse(context.channel(), response);
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
      connection.onClosed(context.channel());
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
      connection.fail(context.channel());
    }
  }

  private final EventLoopGroup loop;
  private final Executor callbackExecutor;
  private final long holdMillis;
  private final long responseTimeoutMillis;
  private final Bootstrap bootstrap;
  private final Map<String, UpstreamConnection> connections = new HashMap<>();

  /**
   * Creates a client whose connections live on {@code loop}.
   *
   * @param callbackExecutor runs the callbacks of calls
   * @param holdMillis how long each grant is valid
   * @param responseTimeoutMillis how long a grant waits for its response
   */
  KeyGrantClient(
      final EventLoopGroup loop,
      final Executor callbackExecutor,
      final long holdMillis,
      final long responseTimeoutMillis) {
    this.loop = loop;
    this.callbackExecutor = callbackExecutor;
    this.holdMillis = holdMillis;
    this.responseTimeoutMillis = responseTimeoutMillis;
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  /**
   * Grants a range to its holder.
   *
   * @param sendDeadline a call not sent by then is not sent at all and ends as NOT_SENT
   */
  void grant(final KeyRange range, final long sendDeadline, final Consumer<CallResult> callback) {
    final ControlApi.Grant body =
        new ControlApi.Grant(range.first, range.last, range.fence, holdMillis, range.transfer);
    final FullHttpRequest request = request(range.address, "/api/grant", ControlApi.GRANT, body);
    request.headers().set(TARGET_INSTANCE_HEADER, range.holder);
    final Call call =
        new Call(
            "grant",
            range,
            request,
            sendDeadline,
            now() + responseTimeoutMillis,
            onCallbackExecutor(callback));
    loop.execute(
        () ->
            connections
                .computeIfAbsent(range.address, target -> new UpstreamConnection(target, true))
                .enqueue(call));
  }

  /** Asks the holder of a range to release it. */
  void release(
      final KeyRange range,
      final long sendDeadline,
      final long responseDeadline,
      final Consumer<CallResult> callback) {
    final ControlApi.Release body = new ControlApi.Release(range.first, range.last, range.fence);
    final FullHttpRequest request =
        request(range.address, "/api/release", ControlApi.RELEASE, body);
    final Call call =
        new Call(
            "release",
            range,
            request,
            sendDeadline,
            responseDeadline,
            onCallbackExecutor(callback));
    loop.execute(() -> new UpstreamConnection(range.address, false).enqueue(call));
  }

  private Consumer<CallResult> onCallbackExecutor(final Consumer<CallResult> callback) {
    return result -> callbackExecutor.execute(() -> callback.accept(result));
  }

  private static <T> FullHttpRequest request(
      final String address, final String path, final JsonType<T> type, final T body) {
    final byte[] bytes = type.toJson(body).getBytes(StandardCharsets.UTF_8);
    final FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.POST, path, Unpooled.wrappedBuffer(bytes));
    request.headers().set(HttpHeaderNames.HOST, address);
    request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    request.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
    return request;
  }

  /**
   * Maps a response to the result of the call. Responses do not identify their call, and an
   * upstream may respond twice. A refusal therefore proves that nothing was granted only on a
   * connection that has carried no other call; otherwise it may be the response to an earlier one.
   */
  private static CallResult result(final FullHttpResponse response, final boolean onlyCall) {
    return switch (response.status().code()) {
      case 200 -> new CallResult(CallResult.Outcome.DONE, response.headers().get(TRANSFER_HEADER));
      case 409, 421 ->
          CallResult.of(onlyCall ? CallResult.Outcome.REFUSED : CallResult.Outcome.UNKNOWN);
      default -> CallResult.of(CallResult.Outcome.UNKNOWN);
    };
  }
}
