package weldpoint.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import weldpoint.upstream.Headers;

/**
 * One connection of a client. It carries one request at a time; whatever is ambiguous is refused
 * and never passed on.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
  /** A decoder that refuses a body with both a length and chunks. */
  static final class Decoder extends HttpRequestDecoder {
    Decoder(final int maxHeader) {
      super(Math.min(8192, maxHeader), maxHeader, 65_536);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(
        final io.netty.handler.codec.http.HttpMessage message) {
      throw new IllegalArgumentException("both a length and chunks");
    }
  }

  private static final long LINGER_MILLIS = 1000;
  private static final long LEAVING_IDLE_MILLIS = 300;

  private final ProxyContext proxyContext;
  private ChannelHandlerContext context;
  private HttpRequest head;
  private ByteBuf body;
  private ProxiedRequest trip;
  private boolean closing;
  private long since = ProxyContext.now();
  private boolean reading;
  private boolean headOnly;
  private boolean draining;
  private final ArrayDeque<Object> queued = new ArrayDeque<>();
  private final ArrayDeque<Integer> unwritten = new ArrayDeque<>();
  private final ChannelFutureListener uponWritten = this::written;
  private long answerDeadline;
  private boolean closedByClient;
  private long lingerUntil;

  ClientConnection(final ProxyContext proxyContext) {
    this.proxyContext = proxyContext;
  }

  @Override
  public void handlerAdded(final ChannelHandlerContext given) {
    context = given;
  }

  @Override
  public void channelRead(final ChannelHandlerContext given, final Object message) {
    if (closing) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (trip != null || !queued.isEmpty() || !context.channel().isWritable()) {
      queued.add(message);
      context.channel().config().setAutoRead(false);
      return;
    }
    handle(message);
  }

  private void handle(final Object message) {
    try {
      if (((HttpObject) message).decoderResult().isFailure()) {
        final Throwable cause = ((HttpObject) message).decoderResult().cause();
        refuse(
            cause instanceof TooLongFrameException
                ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                : HttpResponseStatus.BAD_REQUEST,
            "the request cannot be read; send proper HTTP/1.1",
            null,
            true);
        return;
      }
      if (message instanceof HttpRequest) {
        begin((HttpRequest) message);
        if (closing) {
          return;
        }
      }
      if (message instanceof HttpContent && head != null) {
        final ByteBuf content = ((HttpContent) message).content();
        if (content.isReadable()) {
          if (body == null) {
            body = context.alloc().buffer(content.readableBytes());
          }
          if (proxyContext.routingTable != null
              && body.readableBytes() + content.readableBytes()
                  > proxyContext.routingTable.maxBodyBytes()) {
            refuse(
                HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
                "the body is too large; send less",
                null,
                true);
            return;
          }
          body.writeBytes(content);
        }
        if (message instanceof LastHttpContent) {
          final HttpRequest whole = head;
          final ByteBuf bytes = body == null ? Unpooled.EMPTY_BUFFER : body;
          head = null;
          body = null;
          reading = false;
          proxyContext.open.begun();
          trip = new ProxiedRequest(proxyContext, this, whole, bytes);
          trip.start();
        }
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void begin(final HttpRequest request) {
    reading = true;
    headOnly = request.method().equals(HttpMethod.HEAD);
    since = ProxyContext.now();
    if (!request.protocolVersion().equals(HttpVersion.HTTP_1_1)
        || request.headers().getAll(HttpHeaderNames.HOST).size() != 1) {
      refuse(
          HttpResponseStatus.BAD_REQUEST, "the request must be HTTP/1.1 with one Host", null, true);
      return;
    }
    if (!proper(request.uri()) || request.headers().getAll(Headers.ATTEMPT_ID).size() > 1) {
      refuse(
          HttpResponseStatus.BAD_REQUEST,
          "the target must be printable ASCII and the attempt id must come once",
          null,
          true);
      return;
    }
    if (request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
            && !HttpUtil.isTransferEncodingChunked(request)
        || request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING).size() > 1) {
      refuse(
          HttpResponseStatus.BAD_REQUEST,
          "the body's coding is not understood; send it in chunks or with a length",
          null,
          true);
      return;
    }
    if (proxyContext.routingTable != null
        && HttpUtil.getContentLength(request, 0L) > proxyContext.routingTable.maxBodyBytes()) {
      refuse(
          HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
          "the body is too large; send less",
          null,
          true);
      return;
    }
    if (HttpUtil.is100ContinueExpected(request)) {
      context.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
    head = request;
  }

  /** Whether a target can be passed on byte for byte. */
  private static boolean proper(final String target) {
    for (int index = 0; index < target.length(); index++) {
      if (target.charAt(index) <= ' ' || target.charAt(index) > '~') {
        return false;
      }
    }
    return true;
  }

  /** Answers on the system's own account. */
  void refuse(
      final HttpResponseStatus status,
      final String text,
      final String retryAfter,
      final boolean close) {
    final byte[] bytes = ("{\"error\":\"" + text + "\"}").getBytes(StandardCharsets.UTF_8);
    final FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            status,
            headOnly ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(bytes));
    response
        .headers()
        .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
    if (retryAfter != null) {
      response.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfter);
    }
    answer(response, close);
  }

  /** Ends the request under way with this answer. */
  void answer(final FullHttpResponse response, final boolean close) {
    final ProxiedRequest answered = trip;
    trip = null;
    since = ProxyContext.now();
    if (!context.channel().isActive()) {
      response.release();
      if (answered != null) {
        proxyContext.open.ended();
      }
      drop();
      return;
    }
    if (answered == null) {
      proxyContext.open.begun();
    }
    answerDeadline = answered == null ? since : Math.max(since, answered.deadline());
    final boolean last = close || proxyContext.leaving && queued.isEmpty();
    if (last) {
      closing = true;
      closedByClient = answered != null && answered.closesAfter() && queued.isEmpty();
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      drop();
      context.channel().config().setAutoRead(true);
    }
    write(response);
    if (!last && !draining) {
      drain();
    }
  }

  private void write(final FullHttpResponse response) {
    final int bytes = response.content().readableBytes();
    unwritten.add(bytes);
    proxyContext.open.answered(bytes);
    context.writeAndFlush(response).addListener(uponWritten);
  }

  /** The socket has taken the oldest of the answers that waited, or the connection has ended. */
  private void written(final ChannelFuture write) {
    since = ProxyContext.now();
    proxyContext.open.written(unwritten.poll());
    proxyContext.open.ended();
    if (!write.isSuccess()) {
      cut();
    } else if (closing && unwritten.isEmpty()) {
      endOutput();
    }
  }

  /**
   * Ends the connection after its last answer. A connection that is closed while bytes of its
   * client wait unread is reset, which may take the answer with it: unless the client has said that
   * it sends no more, the end of the answers is told first, and what still comes is read and
   * dropped until the client closes, for a limited time.
   */
  private void endOutput() {
    if (closedByClient || !(context.channel() instanceof DuplexChannel)) {
      context.close();
      return;
    }
    lingerUntil = since + LINGER_MILLIS;
    ((DuplexChannel) context.channel()).shutdownOutput();
  }

  /**
   * Takes up what a client that does not wait for its answers has sent meanwhile: one request after
   * the other, and none while it does not read its answers.
   */
  private void drain() {
    draining = true;
    try {
      while (trip == null && !closing && !queued.isEmpty() && context.channel().isWritable()) {
        handle(queued.poll());
      }
    } finally {
      draining = false;
    }
    if (queued.isEmpty() && !closing) {
      context.channel().config().setAutoRead(true);
    }
  }

  @Override
  public void channelWritabilityChanged(final ChannelHandlerContext given) {
    if (given.channel().isWritable() && !draining && !queued.isEmpty()) {
      drain();
    }
    given.fireChannelWritabilityChanged();
  }

  private void drop() {
    while (!queued.isEmpty()) {
      ReferenceCountUtil.release(queued.poll());
    }
    if (body != null) {
      body.release();
      body = null;
    }
    head = null;
  }

  /** Ends the connection without an answer. */
  void cut() {
    closing = true;
    drop();
    context.close();
  }

  /** Closes what has been idle or slow for too long. */
  void sweep(final long now) {
    if (!unwritten.isEmpty()) {
      endOverdueAnswer(now);
      return;
    }
    if (lingerUntil > 0 && now > lingerUntil) {
      context.close();
      return;
    }
    if (trip != null || closing || proxyContext.routingTable == null) {
      return;
    }
    if (reading && now - since > proxyContext.routingTable.headerTimeoutMillis()) {
      refuse(
          HttpResponseStatus.REQUEST_TIMEOUT,
          "the request came too slowly; send it faster",
          null,
          true);
    } else if (!reading
        && (now - since > proxyContext.routingTable.idleTimeoutMillis()
            || proxyContext.leaving && now - since > LEAVING_IDLE_MILLIS)) {
      closing = true;
      context.close();
    }
  }

  /**
   * Drops an answer that its client does not take: once the request's deadline has passed, it may
   * wait as long as a connection may be idle.
   */
  private void endOverdueAnswer(final long now) {
    final long spare =
        proxyContext.routingTable == null
            ? LINGER_MILLIS
            : proxyContext.routingTable.idleTimeoutMillis();
    if (now - answerDeadline > spare) {
      closing = true;
      context.close();
    }
  }

  /**
   * Closes the connection of a process that ends, unless a request is open on it; false where one
   * is.
   */
  boolean endIfIdle() {
    if (trip != null || !unwritten.isEmpty()) {
      return false;
    }
    if (lingerUntil == 0) {
      cut();
    }
    return true;
  }

  /** The client's address. */
  String address() {
    return context.channel().remoteAddress() instanceof java.net.InetSocketAddress
        ? ((java.net.InetSocketAddress) context.channel().remoteAddress())
            .getAddress()
            .getHostAddress()
        : "";
  }

  boolean open() {
    return context.channel().isActive();
  }

  @Override
  public void channelInactive(final ChannelHandlerContext given) {
    closing = true;
    drop();
    if (trip != null) {
      trip.clientGone();
      trip = null;
      proxyContext.open.ended();
    }
    given.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(final ChannelHandlerContext given, final Throwable cause) {
    given.close();
  }
}
