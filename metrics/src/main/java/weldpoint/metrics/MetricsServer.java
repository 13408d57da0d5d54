package weldpoint.metrics;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Serves a daemon's metrics at {@code /metrics} in the Prometheus text format. Metrics are only
 * collected during a scrape. If the address cannot be bound, a warning is logged and the daemon
 * runs without the server.
 */
public final class MetricsServer {
  /** The path of the metrics; any other is answered with 404. */
  public static final String PATH = "/metrics";

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private MetricsServer() {}

  /**
   * Listens at an address; connections are handled on the given event loop.
   *
   * @param metrics collects the metrics for a scrape; the future may be completed on any thread,
   *     and a failure is answered with 503
   */
  public static void serve(
      final EventLoopGroup loop,
      final String host,
      final int port,
      final Supplier<CompletableFuture<List<Metric>>> metrics) {
    new ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(final SocketChannel channel) {
                channel.pipeline().addLast(new HttpServerCodec(), new ScrapeHandler(metrics));
              }
            })
        .bind(host, port)
        .addListener(
            (ChannelFuture bound) -> {
              if (!bound.isSuccess()) {
                LOGGER.atWarning().log(
                    "cannot serve metrics at %s:%s (%s); set metrics.port to a free port",
                    host, port, bound.cause().getMessage());
              }
            });
  }

  private static final class ScrapeHandler extends SimpleChannelInboundHandler<HttpRequest> {
    private final Supplier<CompletableFuture<List<Metric>>> metrics;

    ScrapeHandler(final Supplier<CompletableFuture<List<Metric>>> metrics) {
      this.metrics = metrics;
    }

    @Override
    protected void channelRead0(final ChannelHandlerContext context, final HttpRequest request) {
      if (!request.uri().equals(PATH)) {
        respond(context, HttpResponseStatus.NOT_FOUND, new byte[0]);
        return;
      }
      metrics
          .get()
          .whenComplete(
              (list, failure) ->
                  context
                      .executor()
                      .execute(
                          () -> {
                            if (failure == null) {
                              respond(
                                  context, HttpResponseStatus.OK, PrometheusFormat.format(list));
                            } else {
                              respond(context, HttpResponseStatus.SERVICE_UNAVAILABLE, new byte[0]);
                            }
                          }));
    }

    private static void respond(
        final ChannelHandlerContext context, final HttpResponseStatus status, final byte[] body) {
      final DefaultFullHttpResponse response =
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
      response
          .headers()
          .set(HttpHeaderNames.CONTENT_TYPE, "text/plain; version=0.0.4; charset=utf-8")
          .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
          .set(HttpHeaderNames.CONNECTION, "close");
      context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
      context.close();
    }
  }
}
