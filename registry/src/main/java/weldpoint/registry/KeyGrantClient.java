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
 * Grants keys to upstreams and takes them back, over HTTP. Grants to one upstream go one after the
 * other over one connection; each release has a connection of its own, since its answer waits for
 * the work under way. A call without an answer in time has its connection reset. That is no proof
 * that nothing of it arrives later; see GrantTimings for how long it may still be counted.
 */
final class KeyGrantClient {
  private static final String TARGET_INSTANCE_HEADER = "Weldpoint-Target-Instance";
  private static final String TRANSFER_HEADER = "Weldpoint-Duty-Transfer";
  private static final int CONNECT_TIMEOUT_MILLIS = 400;
  private static final int MAX_RESPONSE_BYTES = 8192;
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** A call of an upstream, and what the log tells of it. Times are of the steady clock. */
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
        LOGGER.atFine().log("%s ended at %s: %s, %s", kind, now(), this, result.end());
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
          + " made "
          + createdAt
          + " sent "
          + sentAt;
    }
  }

  /** One connection, and the calls that wait for it. */
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
        call.complete(CallResult.of(CallResult.End.NOT_SENT));
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
        call.complete(CallResult.of(CallResult.End.NOT_SENT));
      }
      connections.remove(address, this);
    }

    private void reset() {
      LOGGER.atInfo().log(
          "%s unanswered at %s, connection reset: %s", inFlight.kind, now(), inFlight);
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
      channel.close();
    }

    private void onResponse(final Channel source, final FullHttpResponse response) {
      if (source != channel || inFlight == null) {
        source.close();
        return;
      }
      final CallResult result = result(response, !carriedCall);
      carriedCall = true;
      if (!persistent || !HttpUtil.isKeepAlive(response) || result.end() != CallResult.End.DONE) {
        channel = null;
        source.close();
      }
      completeInFlight(result);
    }

    private void onClosed(final Channel closedChannel) {
      if (closedChannel == channel) {
        channel = null;
        completeInFlight(CallResult.of(CallResult.End.UNKNOWN));
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

  /** Hears the answers on one connection. */
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
      context.close();
    }
  }

  private final EventLoopGroup loop;
  private final Executor callbackExecutor;
  private final long holdMillis;
  private final long responseTimeoutMillis;
  private final Bootstrap bootstrap;
  private final Map<String, UpstreamConnection> connections = new HashMap<>();

  /**
   * Calls on this loop; results are told on the desk.
   *
   * @param holdMillis for how long each grant holds
   * @param sendMillis for how long a grant may wait for its answer
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

  /** Grants a range to its holder. */
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

  /** Asks the holder of a range to give it up. */
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
   * How a call ended. Answers to these calls name no call, and an upstream may answer twice: a
   * refusal proves that nothing was granted only on a connection that carried no other call, since
   * elsewhere it may belong to an earlier one.
   */
  private static CallResult result(final FullHttpResponse response, final boolean onlyCall) {
    return switch (response.status().code()) {
      case 200 -> new CallResult(CallResult.End.DONE, response.headers().get(TRANSFER_HEADER));
      case 409, 421 -> CallResult.of(onlyCall ? CallResult.End.REFUSED : CallResult.End.UNKNOWN);
      default -> CallResult.of(CallResult.End.UNKNOWN);
    };
  }
}
