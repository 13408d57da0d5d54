package weldpoint.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Iterator;
import java.util.function.Consumer;

/**
 * Channel handler of one HTTP/1.1 connection to an upstream, which carries one request at a time
 * and is reused only when it is certain that no bytes of an earlier response are left. All calls
 * run on the channel's event loop. Inbound messages are released here.
 */
public final class UpstreamConnection extends ChannelInboundHandlerAdapter {
  private static final int SWITCHING_PROTOCOLS = 101;
  private static final int FIRST_FINAL_STATUS = 200;
  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;
  private static final int MAX_RESPONSE_BYTES = 64 << 20;
  private static final int MAX_INITIAL_BUFFER_BYTES = 1 << 20;
  private static final int MAX_INTERIM_RESPONSES = 16;

  /** How a request on a connection completed. */
  public enum CompletionStatus {
    /** A complete response came, with the request's attempt id or with none. */
    ANSWERED,
    /** Nothing of the request was written. */
    UNSENT,
    /** The connection closed or carried an invalid response; the request may have run. */
    UNCERTAIN,
  }

  /** Notified when a request completes. The listener owns the body and must release it. */
  public interface CompletionListener {
    /**
     * Called with the completion status; head and body are null where no response came, and the
     * body is null if it is empty.
     */
    void completed(CompletionStatus completionStatus, HttpResponse head, ByteBuf body);
  }

  /**
   * A response decoder that rejects a message with both {@code Content-Length} and chunked
   * encoding, and knows whether undecoded bytes remain and whether the upstream has ended its side
   * of the connection in order. A reset is no such end: it is reported as an exception before.
   */
  static final class Decoder extends HttpResponseDecoder {
    boolean headRequest;
    private boolean endOfStream;
    private UpstreamConnection connection;

    Decoder() {
      super(8192, 32_768, 65_536);
    }

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object message)
        throws Exception {
      if (((ByteBuf) message).isReadable()) {
        connection.bytesReceived();
      }
      super.channelRead(context, message);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(
        final io.netty.handler.codec.http.HttpMessage message) {
      throw new IllegalArgumentException(
          "response has both Content-Length and Transfer-Encoding: chunked");
    }

    @Override
    public void userEventTriggered(final ChannelHandlerContext context, final Object event)
        throws Exception {
      endOfStream |= event instanceof ChannelInputShutdownEvent;
      super.userEventTriggered(context, event);
    }

    private boolean hasUnreadBytes() {
      return actualReadableBytes() > 0;
    }

    @Override
    protected boolean isContentAlwaysEmpty(final io.netty.handler.codec.http.HttpMessage message) {
      return headRequest || super.isContentAlwaysEmpty(message);
    }
  }

  private final Upstream upstream;
  private final Decoder decoder;
  private final Consumer<String> unsolicitedResponses;
  private final UnframedResponseCounts unframedResponses;
  private Channel channel;
  private CompletionListener pendingListener;
  private String pendingAttemptId;
  private HttpResponse response;
  private ByteBuf body;
  private boolean mismatched;
  private boolean closing;
  private boolean delimitedByClose;
  private boolean interim;
  private int interimCount;
  long idleUntil;
  private long keepAliveMillis = 8000;

  UpstreamConnection(
      final Upstream upstream,
      final Decoder decoder,
      final Consumer<String> unsolicitedResponses,
      final UnframedResponseCounts unframedResponses) {
    this.unsolicitedResponses = unsolicitedResponses;
    this.unframedResponses = unframedResponses;
    this.upstream = upstream;
    this.decoder = decoder;
    decoder.connection = this;
  }

  void connected(final Channel newChannel) {
    channel = newChannel;
    if (closing) {
      channel.close();
    }
  }

  /**
   * Whether a request may be sent on it: it is idle, open and not expired, and has received no
   * unsolicited bytes.
   */
  boolean isUsable(final long now) {
    return !closing && pendingListener == null && channel.isActive() && now < idleUntil;
  }

  /** Closes the connection if bytes arrive while no request is pending, whatever they are. */
  private void bytesReceived() {
    if (pendingListener == null) {
      close();
    }
  }

  void close() {
    closing = true;
    if (channel != null) {
      channel.close();
    }
  }

  /**
   * Sends a request and takes over its reference count. The listener is notified exactly once,
   * unless the request is cancelled.
   */
  void send(
      final FullHttpRequest request, final String attemptId, final CompletionListener listener) {
    if (!channel.isActive() || closing) {
      request.release();
      close();
      listener.completed(CompletionStatus.UNSENT, null, null);
      return;
    }
    pendingListener = listener;
    pendingAttemptId = attemptId;
    interimCount = 0;
    decoder.headRequest = request.method().equals(HttpMethod.HEAD);
    channel.writeAndFlush(request, channel.voidPromise());
  }

  @Override
  public void channelRead(final ChannelHandlerContext context, final Object message) {
    try {
      if (pendingListener == null) {
        if (message instanceof HttpResponse
            && ((HttpResponse) message).headers().contains(Headers.ATTEMPT_ID)) {
          unsolicitedResponses.accept(((HttpResponse) message).headers().get(Headers.ATTEMPT_ID));
        }
        close();
        return;
      }
      if (((HttpObject) message).decoderResult().isFailure()) {
        fail();
        return;
      }
      if (message instanceof HttpResponse) {
        handleHead((HttpResponse) message);
        if (pendingListener == null) {
          return;
        }
      }
      if (interim) {
        interim = !(message instanceof LastHttpContent);
        return;
      }
      if (message instanceof HttpContent && response != null) {
        final ByteBuf content = ((HttpContent) message).content();
        if (!mismatched && content.isReadable()) {
          if (body == null) {
            body =
                context
                    .alloc()
                    .buffer(
                        Math.max(
                            content.readableBytes(),
                            (int)
                                Math.min(
                                    MAX_INITIAL_BUFFER_BYTES,
                                    HttpUtil.getContentLength(response, 256L))));
          }
          if (body.readableBytes() + content.readableBytes() > MAX_RESPONSE_BYTES) {
            fail();
            return;
          }
          body.writeBytes(content);
        }
        if (message instanceof LastHttpContent) {
          if (delimitedByClose && !endedInOrder()) {
            fail();
          } else {
            completeResponse();
          }
        }
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void handleHead(final HttpResponse head) {
    final int status = head.status().code();
    if (response != null || interim) {
      fail();
      return;
    }
    if (status < FIRST_FINAL_STATUS) {
      interim = true;
      interimCount++;
      if (status == SWITCHING_PROTOCOLS || interimCount > MAX_INTERIM_RESPONSES) {
        fail();
      }
      return;
    }
    delimitedByClose =
        !HttpUtil.isTransferEncodingChunked(head)
            && !head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
            && !decoder.headRequest
            && status != NO_CONTENT
            && status != NOT_MODIFIED;
    if (delimitedByClose && head.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
      fail();
      return;
    }
    final Iterator<String> echoedIds = head.headers().valueStringIterator(Headers.ATTEMPT_ID);
    final String echoedId = echoedIds.hasNext() ? echoedIds.next() : null;
    if (echoedIds.hasNext()) {
      fail();
      return;
    }
    response = head;
    mismatched = echoedId != null && !echoedId.equals(pendingAttemptId);
    if (mismatched) {
      unsolicitedResponses.accept(echoedId);
      closing = true;
    }
  }

  /**
   * Whether the end of the connection completes a response without a length: the upstream itself
   * has ended its side, and had the whole request before.
   */
  private boolean endedInOrder() {
    return decoder.endOfStream && !closing && !hasUnwrittenBytes();
  }

  private void completeResponse() {
    final HttpResponse head = response;
    response = null;
    if (mismatched) {
      mismatched = false;
      return;
    }
    if (delimitedByClose) {
      unframedResponses.recordComplete();
    }
    final CompletionListener listener = pendingListener;
    pendingListener = null;
    final ByteBuf completeBody = body;
    body = null;
    final boolean persistent =
        HttpUtil.isKeepAlive(head) && head.protocolVersion().equals(HttpVersion.HTTP_1_1);
    final String keepAliveHeader = head.headers().get(HttpHeaderNames.KEEP_ALIVE);
    if (keepAliveHeader != null) {
      final int start = keepAliveHeader.indexOf("timeout=");
      if (start >= 0) {
        int endIndex = start + 8;
        while (endIndex < keepAliveHeader.length()
            && Character.isDigit(keepAliveHeader.charAt(endIndex))) {
          endIndex++;
        }
        if (endIndex > start + 8 && endIndex < start + 14) {
          keepAliveMillis =
              1000L * Integer.parseInt(keepAliveHeader.substring(start + 8, endIndex)) - 1500;
        }
      }
    }
    if (!persistent
        || closing
        || delimitedByClose
        || decoder.hasUnreadBytes()
        || hasUnwrittenBytes()
        || head.headers().contains(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true)) {
      close();
    } else {
      idleUntil = System.nanoTime() / 1_000_000 + keepAliveMillis;
    }
    listener.completed(CompletionStatus.ANSWERED, head, completeBody);
  }

  /**
   * Whether part of the request is still unwritten: a response that arrives that early leaves a
   * connection that cannot be reused.
   */
  private boolean hasUnwrittenBytes() {
    final ChannelOutboundBuffer outbound = channel.unsafe().outboundBuffer();
    return outbound != null && !outbound.isEmpty();
  }

  private void fail() {
    close();
    final CompletionListener listener = pendingListener;
    pendingListener = null;
    if (body != null) {
      body.release();
      body = null;
    }
    if (listener != null && response != null && delimitedByClose) {
      unframedResponses.recordCut();
    }
    response = null;
    if (listener != null) {
      listener.completed(CompletionStatus.UNCERTAIN, null, null);
    }
  }

  /** Cancels the pending request: closes the connection without notifying the listener. */
  void cancel() {
    pendingListener = null;
    close();
    if (body != null) {
      body.release();
      body = null;
    }
    response = null;
  }

  /** Closes the connection once the upstream has ended its side: it carries no more requests. */
  @Override
  public void userEventTriggered(final ChannelHandlerContext context, final Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      close();
    }
  }

  @Override
  public void channelInactive(final ChannelHandlerContext context) {
    closing = true;
    upstream.idleConnections.remove(this);
    fail();
  }

  @Override
  public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
    fail();
  }
}
