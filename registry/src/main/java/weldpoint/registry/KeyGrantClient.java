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
  private static final String TARGET = "Weldpoint-Target-Instance";
  private static final String TRANSFER = "Weldpoint-Duty-Transfer";
  private static final int CONNECT_MILLIS = 400;
  private static final int MOST_ANSWER = 8192;
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** A call of an upstream, and what the log tells of it. Times are of the steady clock. */
  private static final class Call {
    final String kind;
    final KeyRange range;
    final long madeAt = now();
    long sentAt;
    final FullHttpRequest request;
    final long sendBy;
    final long answerBy;
    final Consumer<CallResult> done;
    private boolean over;

    Call(
        final String kind,
        final KeyRange range,
        final FullHttpRequest request,
        final long sendBy,
        final long answerBy,
        final Consumer<CallResult> done) {
      this.kind = kind;
      this.range = range;
      this.request = request;
      this.sendBy = sendBy;
      this.answerBy = answerBy;
      this.done = done;
    }

    void sent() {
      sentAt = now();
      LOGGER.atFine().log("%s sent at %s: %s", kind, sentAt, this);
    }

    void end(final CallResult result) {
      if (!over) {
        over = true;
        LOGGER.atFine().log("%s ended at %s: %s, %s", kind, now(), this, result.outcome());
        done.accept(result);
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
          + madeAt
          + " sent "
          + sentAt;
    }
  }

  /** One connection, and the calls that wait for it. */
  private final class Link {
    private final String address;
    private final boolean kept;
    private final ArrayDeque<Call> waiting = new ArrayDeque<>();
    private Channel channel;
    private Call sent;
    private ScheduledFuture<?> timer;
    private boolean connecting;
    private boolean used;

    Link(final String address, final boolean kept) {
      this.address = address;
      this.kept = kept;
    }

    void add(final Call call) {
      waiting.add(call);
      next();
    }

    private void next() {
      if (sent != null || connecting || waiting.isEmpty()) {
        return;
      }
      if (channel == null || !channel.isActive()) {
        connect();
        return;
      }
      final Call call = waiting.poll();
      if (now() >= call.sendBy) {
        call.request.release();
        call.end(CallResult.of(CallResult.Outcome.NOT_SENT));
        next();
        return;
      }
      sent = call;
      call.sent();
      timer = loop.schedule(this::reset, Math.max(1, call.answerBy - now()), TimeUnit.MILLISECONDS);
      channel.writeAndFlush(call.request);
    }

    private void connect() {
      connecting = true;
      final Settings.Address to = Settings.Address.parse("address", address);
      bootstrap
          .clone()
          .handler(
              new ChannelInitializer<SocketChannel>() {
                @Override
                protected void initChannel(final SocketChannel made) {
                  made.pipeline()
                      .addLast(
                          new HttpClientCodec(),
                          new HttpObjectAggregator(MOST_ANSWER),
                          new ResponseHandler(Link.this));
                }
              })
          .connect(new InetSocketAddress(to.host(), to.port()))
          .addListener(
              (ChannelFuture future) -> {
                connecting = false;
                if (future.isSuccess()) {
                  channel = future.channel();
                  used = false;
                  next();
                } else {
                  unreachable();
                }
              });
    }

    private void unreachable() {
      while (!waiting.isEmpty()) {
        final Call call = waiting.poll();
        call.request.release();
        call.end(CallResult.of(CallResult.Outcome.NOT_SENT));
      }
      links.remove(address, this);
    }

    private void reset() {
      LOGGER.atInfo().log("%s unanswered at %s, connection reset: %s", sent.kind, now(), sent);
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
      channel.close();
    }

    private void answered(final Channel from, final FullHttpResponse response) {
      if (from != channel || sent == null) {
        from.close();
        return;
      }
      final CallResult result = result(response, !used);
      used = true;
      if (!kept || !HttpUtil.isKeepAlive(response) || result.outcome() != CallResult.Outcome.DONE) {
        channel = null;
        from.close();
      }
      finish(result);
    }

    private void closed(final Channel which) {
      if (which == channel) {
        channel = null;
        finish(CallResult.of(CallResult.Outcome.UNKNOWN));
      }
    }

    private void finish(final CallResult result) {
      if (sent == null) {
        return;
      }
      final Call ended = sent;
      sent = null;
      timer.cancel(false);
      ended.end(result);
      next();
    }
  }

  /** Hears the answers on one connection. */
  private static final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final Link link;

    ResponseHandler(final Link link) {
      this.link = link;
    }

    @Override
    protected void channelRead0(
        final ChannelHandlerContext context, final FullHttpResponse response) {
      link.answered(context.channel(), response);
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
      link.closed(context.channel());
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
      context.close();
    }
  }

  private final EventLoopGroup loop;
  private final Executor desk;
  private final long holdMillis;
  private final long sendMillis;
  private final Bootstrap bootstrap;
  private final Map<String, Link> links = new HashMap<>();

  /**
   * Calls on this loop; results are told on the desk.
   *
   * @param holdMillis for how long each grant holds
   * @param sendMillis for how long a grant may wait for its answer
   */
  KeyGrantClient(
      final EventLoopGroup loop,
      final Executor desk,
      final long holdMillis,
      final long sendMillis) {
    this.loop = loop;
    this.desk = desk;
    this.holdMillis = holdMillis;
    this.sendMillis = sendMillis;
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS);
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  /** Grants a range to its holder. */
  void grant(final KeyRange range, final long sendBy, final Consumer<CallResult> done) {
    final ControlApi.Grant body =
        new ControlApi.Grant(range.first, range.last, range.fence, holdMillis, range.transfer);
    final FullHttpRequest request = request(range.address, "/api/grant", ControlApi.GRANT, body);
    request.headers().set(TARGET, range.holder);
    final Call call = new Call("grant", range, request, sendBy, now() + sendMillis, onDesk(done));
    loop.execute(() -> links.computeIfAbsent(range.address, to -> new Link(to, true)).add(call));
  }

  /** Asks the holder of a range to give it up. */
  void release(
      final KeyRange range,
      final long sendBy,
      final long answerBy,
      final Consumer<CallResult> done) {
    final ControlApi.Release body = new ControlApi.Release(range.first, range.last, range.fence);
    final FullHttpRequest request =
        request(range.address, "/api/release", ControlApi.RELEASE, body);
    final Call call = new Call("release", range, request, sendBy, answerBy, onDesk(done));
    loop.execute(() -> new Link(range.address, false).add(call));
  }

  private Consumer<CallResult> onDesk(final Consumer<CallResult> done) {
    return result -> desk.execute(() -> done.accept(result));
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
      case 200 -> new CallResult(CallResult.Outcome.DONE, response.headers().get(TRANSFER));
      case 409, 421 ->
          CallResult.of(onlyCall ? CallResult.Outcome.REFUSED : CallResult.Outcome.UNKNOWN);
      default -> CallResult.of(CallResult.Outcome.UNKNOWN);
    };
  }
}
