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
 * The handler of one client connection. It processes one request at a time; ambiguous requests are
 * refused and never forwarded. Runs on the traffic thread. Received messages are released after
 * they have been handled; queued messages and an incomplete body are released in {@link
 * #releaseQueued}.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
  /** A decoder that rejects a request with both Content-Length and chunked transfer encoding. */
  static final class Decoder extends HttpRequestDecoder {
    Decoder(final int maxHeaderBytes) {
      super(Math.min(8192, maxHeaderBytes), maxHeaderBytes, 65_536);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(
        final io.netty.handler.codec.http.HttpMessage message) {
      throw new IllegalArgumentException(
          "request has both Content-Length and Transfer-Encoding: chunked");
    }
  }

  private static final long LINGER_MILLIS = 1000;
  private static final long SHUTDOWN_IDLE_MILLIS = 300;

  private final ProxyContext proxyContext;
  private ChannelHandlerContext context;
  private HttpRequest head;
  private ByteBuf body;
  private ProxiedRequest currentRequest;
  private boolean closing;
  private long lastActivityAt = ProxyContext.now();
  private boolean readingRequest;
  private boolean headRequest;
  private boolean draining;
  private final ArrayDeque<Object> queuedMessages = new ArrayDeque<>();
  private final ArrayDeque<Integer> unwrittenBodySizes = new ArrayDeque<>();
  private final ChannelFutureListener responseWrittenListener = this::onResponseWritten;
  private long responseDeadline;
  private boolean clientClosesConnection;
  private long lingerUntil;

  ClientConnection(final ProxyContext proxyContext) {
    this.proxyContext = proxyContext;
  }

  @Override
  public void handlerAdded(final ChannelHandlerContext ctx) {
    context = ctx;
  }

  @Override
  public void channelRead(final ChannelHandlerContext ctx, final Object message) {
    if (closing) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (currentRequest != null || !queuedMessages.isEmpty() || !context.channel().isWritable()) {
      queuedMessages.add(message);
      context.channel().config().setAutoRead(false);
      return;
    }
    handleMessage(message);
  }

  private void handleMessage(final Object message) {
    try {
      if (((HttpObject) message).decoderResult().isFailure()) {
        final Throwable cause = ((HttpObject) message).decoderResult().cause();
        refuse(
            cause instanceof TooLongFrameException
                ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                : HttpResponseStatus.BAD_REQUEST,
            "the request cannot be parsed; send valid HTTP/1.1",
            null,
            true);
        return;
      }
      if (message instanceof HttpRequest) {
        beginRequest((HttpRequest) message);
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
                "the body exceeds the configured size limit; send a smaller one",
                null,
                true);
            return;
          }
          body.writeBytes(content);
        }
        if (message instanceof LastHttpContent) {
          final HttpRequest requestHead = head;
          final ByteBuf requestBody = body == null ? Unpooled.EMPTY_BUFFER : body;
          head = null;
          body = null;
          readingRequest = false;
          proxyContext.openRequests.requestStarted();
          currentRequest = new ProxiedRequest(proxyContext, this, requestHead, requestBody);
          currentRequest.start();
        }
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void beginRequest(final HttpRequest request) {
    readingRequest = true;
    headRequest = request.method().equals(HttpMethod.HEAD);
    lastActivityAt = ProxyContext.now();
    if (!request.protocolVersion().equals(HttpVersion.HTTP_1_1)
        || request.headers().getAll(HttpHeaderNames.HOST).size() != 1) {
      refuse(
          HttpResponseStatus.BAD_REQUEST,
          "the request must be HTTP/1.1 with exactly one Host header",
          null,
          true);
      return;
    }
    if (!isPrintableAscii(request.uri())
        || request.headers().getAll(Headers.ATTEMPT_ID).size() > 1) {
      refuse(
          HttpResponseStatus.BAD_REQUEST,
          "the request target must be printable ASCII, with at most one attempt id header",
          null,
          true);
      return;
    }
    if (request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
            && !HttpUtil.isTransferEncodingChunked(request)
        || request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING).size() > 1) {
      refuse(
          HttpResponseStatus.BAD_REQUEST,
          "the transfer encoding is not supported; use chunked or Content-Length",
          null,
          true);
      return;
    }
    if (proxyContext.routingTable != null
        && HttpUtil.getContentLength(request, 0L) > proxyContext.routingTable.maxBodyBytes()) {
      refuse(
          HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
          "the body exceeds the configured size limit; send a smaller one",
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

  /** Whether a request target can be forwarded byte for byte. */
  private static boolean isPrintableAscii(final String target) {
    for (int index = 0; index < target.length(); index++) {
      if (target.charAt(index) <= ' ' || target.charAt(index) > '~') {
        return false;
      }
    }
    return true;
  }

  /** Sends an error response of the proxy itself. */
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
            headRequest ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(bytes));
    response
        .headers()
        .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
    if (retryAfter != null) {
      response.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfter);
    }
    respond(response, close);
  }

  /**
   * Sends the response to the current request, which ends it. Takes over the reference to the
   * response; it is released after the write, or at once if the connection is inactive.
   */
  void respond(final FullHttpResponse response, final boolean close) {
    final ProxiedRequest answeredRequest = currentRequest;
    currentRequest = null;
    lastActivityAt = ProxyContext.now();
    if (!context.channel().isActive()) {
      response.release();
      if (answeredRequest != null) {
        proxyContext.openRequests.requestEnded();
      }
      releaseQueued();
      return;
    }
    if (answeredRequest == null) {
      proxyContext.openRequests.requestStarted();
    }
    responseDeadline =
        answeredRequest == null
            ? lastActivityAt
            : Math.max(lastActivityAt, answeredRequest.deadline());
    final boolean lastResponse = close || proxyContext.shuttingDown && queuedMessages.isEmpty();
    if (lastResponse) {
      closing = true;
      clientClosesConnection =
          answeredRequest != null
              && answeredRequest.closesAfterResponse()
              && queuedMessages.isEmpty();
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      releaseQueued();
      context.channel().config().setAutoRead(true);
    }
    writeResponse(response);
    if (!lastResponse && !draining) {
      drainQueue();
    }
  }

  private void writeResponse(final FullHttpResponse response) {
    final int bytes = response.content().readableBytes();
    unwrittenBodySizes.add(bytes);
    proxyContext.openRequests.responseQueued(bytes);
    context.writeAndFlush(response).addListener(responseWrittenListener);
  }

  /** Called when the socket has taken the oldest pending response, or the connection has ended. */
  private void onResponseWritten(final ChannelFuture writeFuture) {
    lastActivityAt = ProxyContext.now();
    proxyContext.openRequests.responseWritten(unwrittenBodySizes.poll());
    proxyContext.openRequests.requestEnded();
    if (!writeFuture.isSuccess()) {
      closeNow();
    } else if (closing && unwrittenBodySizes.isEmpty()) {
      finishOutput();
    }
  }

  /**
   * Ends the connection after its last response. Closing a connection while unread bytes of the
   * client are pending resets it, which may destroy the response. Unless the client announced that
   * it sends no more, the output is therefore shut down first, and further input is read and
   * discarded until the client closes or the linger time is over.
   */
  private void finishOutput() {
    if (clientClosesConnection || !(context.channel() instanceof DuplexChannel)) {
      context.close();
      return;
    }
    lingerUntil = lastActivityAt + LINGER_MILLIS;
    ((DuplexChannel) context.channel()).shutdownOutput();
  }

  /**
   * Handles the queued messages of a client that pipelines requests: one request at a time, and
   * none while the client does not read its responses.
   */
  private void drainQueue() {
    draining = true;
    try {
      while (currentRequest == null
          && !closing
          && !queuedMessages.isEmpty()
          && context.channel().isWritable()) {
        handleMessage(queuedMessages.poll());
      }
    } finally {
      draining = false;
    }
    if (queuedMessages.isEmpty() && !closing) {
      context.channel().config().setAutoRead(true);
    }
  }

  @Override
  public void channelWritabilityChanged(final ChannelHandlerContext ctx) {
    if (ctx.channel().isWritable() && !draining && !queuedMessages.isEmpty()) {
      drainQueue();
    }
    ctx.fireChannelWritabilityChanged();
  }

  private void releaseQueued() {
    while (!queuedMessages.isEmpty()) {
      ReferenceCountUtil.release(queuedMessages.poll());
    }
    if (body != null) {
      body.release();
      body = null;
    }
    head = null;
  }

  /** Closes the connection without a response. */
  void closeNow() {
    closing = true;
    releaseQueued();
    context.close();
  }

  /**
   * Closes the connection if it has been idle for too long, and refuses a request that arrives too
   * slowly; called periodically.
   *
   * @param now milliseconds of the steady clock
   */
  void checkTimeouts(final long now) {
    if (!unwrittenBodySizes.isEmpty()) {
      closeOverdueResponse(now);
      return;
    }
    if (lingerUntil > 0 && now > lingerUntil) {
      context.close();
      return;
    }
    if (currentRequest != null || closing || proxyContext.routingTable == null) {
      return;
    }
    if (readingRequest && now - lastActivityAt > proxyContext.routingTable.headerTimeoutMillis()) {
      refuse(
          HttpResponseStatus.REQUEST_TIMEOUT,
          "the request was not received within the header timeout; send it faster",
          null,
          true);
    } else if (!readingRequest
        && (now - lastActivityAt > proxyContext.routingTable.idleTimeoutMillis()
            || proxyContext.shuttingDown && now - lastActivityAt > SHUTDOWN_IDLE_MILLIS)) {
      closing = true;
      context.close();
    }
  }

  /**
   * Closes the connection if the client does not read a response: once the request's deadline has
   * passed, the response may wait as long as a connection may be idle.
   */
  private void closeOverdueResponse(final long now) {
    final long graceMillis =
        proxyContext.routingTable == null
            ? LINGER_MILLIS
            : proxyContext.routingTable.idleTimeoutMillis();
    if (now - responseDeadline > graceMillis) {
      closing = true;
      context.close();
    }
  }

  /**
   * Closes the connection at process shutdown, unless a request or an unwritten response is
   * pending; false if one is.
   */
  boolean closeIfIdle() {
    if (currentRequest != null || !unwrittenBodySizes.isEmpty()) {
      return false;
    }
    if (lingerUntil == 0) {
      closeNow();
    }
    return true;
  }

  /** The client's IP address; empty if the transport has none. */
  String clientAddress() {
    return context.channel().remoteAddress() instanceof java.net.InetSocketAddress
        ? ((java.net.InetSocketAddress) context.channel().remoteAddress())
            .getAddress()
            .getHostAddress()
        : "";
  }

  boolean isActive() {
    return context.channel().isActive();
  }

  @Override
  public void channelInactive(final ChannelHandlerContext ctx) {
    closing = true;
    releaseQueued();
    if (currentRequest != null) {
      currentRequest.onClientDisconnected();
      currentRequest = null;
      proxyContext.openRequests.requestEnded();
    }
    ctx.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(final ChannelHandlerContext ctx, final Throwable cause) {
    ctx.close();
  }
}
