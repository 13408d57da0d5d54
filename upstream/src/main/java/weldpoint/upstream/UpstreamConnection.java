package weldpoint.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
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

/** One connection to an upstream, which carries one request at a time. */
public final class UpstreamConnection extends ChannelInboundHandlerAdapter {
  private static final int MOST_ANSWER = 64 << 20;
  private static final int MOST_RESERVED = 1 << 20;

  /** How a request on a connection ended. */
  public enum End {
    /** A whole answer came, with the id of the request or with none. */
    ANSWERED,
    /** Nothing was written. */
    UNSENT,
    /** The connection ended or carried what is no answer; the request may have run. */
    UNCERTAIN,
  }

  /** Hears how a request ended. The body belongs to whoever is told. */
  public interface Done {
    /** Hears the end, with the head and the body where an answer came. */
    void done(End end, HttpResponse head, ByteBuf body);
  }

  /**
   * A decoder that refuses a body with both a length and chunks, and knows whether bytes wait that
   * nobody has read.
   */
  static final class Decoder extends HttpResponseDecoder {
    boolean head;
    private UpstreamConnection connection;

    Decoder() {
      super(8192, 32_768, 65_536);
    }

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object message)
        throws Exception {
      if (((ByteBuf) message).isReadable()) {
        connection.bytes();
      }
      super.channelRead(context, message);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(
        final io.netty.handler.codec.http.HttpMessage message) {
      throw new IllegalArgumentException("both a length and chunks");
    }

    private boolean unread() {
      return actualReadableBytes() > 0;
    }

    @Override
    protected boolean isContentAlwaysEmpty(final io.netty.handler.codec.http.HttpMessage message) {
      return head || super.isContentAlwaysEmpty(message);
    }
  }

  private final Upstream upstream;
  private final Decoder decoder;
  private final Consumer<String> surplus;
  private Channel channel;
  private Done done;
  private String id;
  private HttpResponse answer;
  private ByteBuf body;
  private boolean foreign;
  private boolean spoiled;
  long idleUntil;
  private long keepMillis = 8000;

  UpstreamConnection(
      final Upstream upstream, final Decoder decoder, final Consumer<String> surplus) {
    this.surplus = surplus;
    this.upstream = upstream;
    this.decoder = decoder;
    decoder.connection = this;
  }

  void connected(final Channel given) {
    channel = given;
    if (spoiled) {
      channel.close();
    }
  }

  /**
   * Whether a request may be sent on it: it rests, and nothing has come that belongs to no request.
   */
  boolean usable(final long now) {
    return !spoiled && done == null && channel.isActive() && now < idleUntil;
  }

  /** Bytes have come: while no request waits, they end the connection, whatever they are. */
  private void bytes() {
    if (done == null) {
      close();
    }
  }

  void close() {
    spoiled = true;
    if (channel != null) {
      channel.close();
    }
  }

  /** Sends a request; whoever is given hears of its end exactly once. */
  void send(final FullHttpRequest request, final String attemptId, final Done listener) {
    if (!channel.isActive() || spoiled) {
      request.release();
      close();
      listener.done(End.UNSENT, null, null);
      return;
    }
    done = listener;
    id = attemptId;
    decoder.head = request.method().equals(HttpMethod.HEAD);
    channel.writeAndFlush(request, channel.voidPromise());
  }

  @Override
  public void channelRead(final ChannelHandlerContext context, final Object message) {
    try {
      if (done == null) {
        if (message instanceof HttpResponse
            && ((HttpResponse) message).headers().contains(Headers.ATTEMPT_ID)) {
          surplus.accept(((HttpResponse) message).headers().get(Headers.ATTEMPT_ID));
        }
        close();
        return;
      }
      if (((HttpObject) message).decoderResult().isFailure()) {
        fail();
        return;
      }
      if (message instanceof HttpResponse) {
        begin((HttpResponse) message);
        if (done == null) {
          return;
        }
      }
      if (message instanceof HttpContent && answer != null) {
        final ByteBuf content = ((HttpContent) message).content();
        if (!foreign && content.isReadable()) {
          if (body == null) {
            body =
                context
                    .alloc()
                    .buffer(
                        Math.max(
                            content.readableBytes(),
                            (int)
                                Math.min(MOST_RESERVED, HttpUtil.getContentLength(answer, 256L))));
          }
          if (body.readableBytes() + content.readableBytes() > MOST_ANSWER) {
            fail();
            return;
          }
          body.writeBytes(content);
        }
        if (message instanceof LastHttpContent) {
          finish();
        }
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void begin(final HttpResponse head) {
    if (answer != null) {
      fail();
      return;
    }
    final boolean framed =
        HttpUtil.isTransferEncodingChunked(head)
            || head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
            || decoder.head
            || head.status().code() == 204
            || head.status().code() == 304;
    if (!framed || head.status().code() < 200) {
      fail();
      return;
    }
    final Iterator<String> echoes = head.headers().valueStringIterator(Headers.ATTEMPT_ID);
    final String echoed = echoes.hasNext() ? echoes.next() : null;
    if (echoes.hasNext()) {
      fail();
      return;
    }
    answer = head;
    foreign = echoed != null && !echoed.equals(id);
    if (foreign) {
      surplus.accept(echoed);
      spoiled = true;
    }
  }

  private void finish() {
    final HttpResponse head = answer;
    answer = null;
    if (foreign) {
      foreign = false;
      return;
    }
    final Done listener = done;
    done = null;
    final ByteBuf whole = body;
    body = null;
    final boolean keep =
        HttpUtil.isKeepAlive(head) && head.protocolVersion().equals(HttpVersion.HTTP_1_1);
    final String keepAlive = head.headers().get(HttpHeaderNames.KEEP_ALIVE);
    if (keepAlive != null) {
      final int at = keepAlive.indexOf("timeout=");
      if (at >= 0) {
        int end = at + 8;
        while (end < keepAlive.length() && Character.isDigit(keepAlive.charAt(end))) {
          end++;
        }
        if (end > at + 8 && end < at + 14) {
          keepMillis = 1000L * Integer.parseInt(keepAlive.substring(at + 8, end)) - 1500;
        }
      }
    }
    if (!keep
        || spoiled
        || decoder.unread()
        || writing()
        || head.headers().contains(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true)) {
      close();
    } else {
      idleUntil = System.nanoTime() / 1_000_000 + keepMillis;
    }
    listener.done(End.ANSWERED, head, whole);
  }

  /**
   * Whether part of the request has not gone out yet: an answer that comes so early leaves a
   * connection that cannot be used again.
   */
  private boolean writing() {
    final ChannelOutboundBuffer waiting = channel.unsafe().outboundBuffer();
    return waiting != null && !waiting.isEmpty();
  }

  private void fail() {
    close();
    final Done listener = done;
    done = null;
    if (body != null) {
      body.release();
      body = null;
    }
    answer = null;
    if (listener != null) {
      listener.done(End.UNCERTAIN, null, null);
    }
  }

  /** Stops waiting: the connection is closed and nobody hears of it. */
  void abandon() {
    done = null;
    close();
    if (body != null) {
      body.release();
      body = null;
    }
    answer = null;
  }

  @Override
  public void channelInactive(final ChannelHandlerContext context) {
    spoiled = true;
    upstream.idle.remove(this);
    fail();
  }

  @Override
  public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
    fail();
  }
}
