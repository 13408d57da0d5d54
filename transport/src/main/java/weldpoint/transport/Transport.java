package weldpoint.transport;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.MessageToByteEncoder;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** The inner protocol over TCP: frames of a length, a kind and a Protostuff body, after a hello. */
public final class Transport {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final int MOST_BYTES = 64 << 20;
  private static final long RING_MILLIS = 500;
  private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(1900);

  /** Hears what happens on lines; called on the traffic thread. */
  public interface Listener {
    /** The peer has said hello. */
    default void opened(final Connection connection) {}

    /** The peer has said something. */
    void messageReceived(Connection connection, Message message);

    /** The line has ended. */
    default void closed(final Connection connection) {}

    /** The peer's machine answered that nobody listens there. */
    default void refused() {}
  }

  private final EventLoopGroup loop;
  private final Protocol.Hello hello;
  private final TrafficCounters trafficCounters = new TrafficCounters();

  /** What has passed over all lines. */
  public TrafficCounters trafficCounters() {
    return trafficCounters;
  }

  /** A trunk whose lines open with this hello. */
  public Transport(final EventLoopGroup loop, final Protocol.Hello hello) {
    this.loop = loop;
    this.hello = hello;
  }

  /** Takes calls at an address, and returns once it does. */
  public void serve(final String address, final int port, final Listener listener)
      throws InterruptedException {
    listen(address, port, listener).sync();
  }

  /**
   * Begins to take calls at an address, without waiting: the control thread must never wait for the
   * traffic thread, which may be waiting for it.
   */
  public ChannelFuture listen(final String address, final int port, final Listener listener) {
    return new ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .option(ChannelOption.SO_BACKLOG, 256)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(final SocketChannel channel) {
                prepare(channel, listener, false);
              }
            })
        .bind(address, port);
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  private Connection prepare(
      final SocketChannel channel, final Listener listener, final boolean dialled) {
    final Connection connection = new Connection(channel);
    if (dialled) {
      connection.clock().asked(now());
    }
    channel
        .pipeline()
        .addLast(
            new LengthFieldBasedFrameDecoder(MOST_BYTES, 0, 4, 0, 4),
            new MessageEncoder(),
            new ConnectionHandler(connection, listener, dialled));
    return connection;
  }

  /** Keeps a line to an address open until closed. */
  public Connector dial(final String address, final int port, final Listener listener) {
    return new Connector(address, port, listener);
  }

  /** Keeps one outgoing line open, dialling again after it ends. */
  public final class Connector {
    private final String address;
    private final int port;
    private final Listener listener;
    private volatile Connection connection;
    private volatile boolean ended;
    private long pauseMillis = 50;

    private Connector(final String address, final int port, final Listener listener) {
      this.address = address;
      this.port = port;
      this.listener = listener;
      connect();
    }

    private void connect() {
      if (ended) {
        return;
      }
      final ChannelFuture attempt =
          new Bootstrap()
              .group(loop)
              .channel(NioSocketChannel.class)
              .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1000)
              .option(ChannelOption.TCP_NODELAY, true)
              .handler(
                  new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(final SocketChannel channel) {
                      prepare(
                          channel,
                          new Listener() {
                            @Override
                            public void opened(final Connection opened) {
                              if (take(opened)) {
                                pauseMillis = 50;
                                listener.opened(opened);
                              } else {
                                opened.close();
                              }
                            }

                            @Override
                            public void messageReceived(
                                final Connection heard, final Message message) {
                              listener.messageReceived(heard, message);
                            }

                            @Override
                            public void closed(final Connection closed) {
                              if (connection == closed) {
                                connection = null;
                                listener.closed(closed);
                              }
                            }
                          },
                          true);
                    }
                  })
              .connect(new InetSocketAddress(address, port));
      attempt.addListener(
          done -> {
            if (isRefusal(done.cause())) {
              listener.refused();
            }
          });
      attempt.channel().closeFuture().addListener(done -> again());
    }

    private boolean isRefusal(final Throwable cause) {
      return !ended
          && cause instanceof ConnectException
          && !(cause instanceof ConnectTimeoutException);
    }

    /** Takes a line unless the end came first; the two may come from different threads. */
    private synchronized boolean take(final Connection opened) {
      if (!ended) {
        connection = opened;
      }
      return !ended;
    }

    private void again() {
      if (!ended) {
        pauseMillis = Math.min(250, pauseMillis * 2);
        loop.schedule(this::connect, pauseMillis, TimeUnit.MILLISECONDS);
      }
    }

    /** The line, or null while there is none. */
    public Connection connection() {
      return connection;
    }

    /** Sends where there is a line; tells whether there was one. */
    public boolean send(final Message message) {
      final Connection now = connection;
      if (now == null) {
        return false;
      }
      now.send(message);
      return true;
    }

    /** Sends what is made for the line of the moment; tells whether there was one. */
    public boolean send(final Function<Connection, Message> made) {
      final Connection now = connection;
      if (now == null) {
        return false;
      }
      now.send(made.apply(now));
      return true;
    }

    /** Ends the line for good. */
    public void close() {
      final Connection now;
      synchronized (this) {
        ended = true;
        now = connection;
      }
      if (now != null) {
        now.close();
      }
    }
  }

  private static final class EncodedMessage implements Message {
    private final int kind;
    private final byte[] body;

    private EncodedMessage(final int kind, final byte[] body) {
      this.kind = kind;
      this.body = body;
    }
  }

  /** The message as its bytes: what goes to many is then turned into bytes once. */
  public static Message seal(final Message message) {
    return new EncodedMessage(Serializer.number(message), Serializer.serialize(message));
  }

  private final class MessageEncoder extends MessageToByteEncoder<Message> {
    @Override
    protected void encode(
        final ChannelHandlerContext context, final Message message, final ByteBuf out) {
      final boolean sealed = message instanceof EncodedMessage;
      final byte[] body = sealed ? ((EncodedMessage) message).body : Serializer.serialize(message);
      trafficCounters.out(body.length + 5);
      out.ensureWritable(body.length + 5);
      out.writeInt(body.length + 1);
      out.writeByte(sealed ? ((EncodedMessage) message).kind : Serializer.number(message));
      out.writeBytes(body);
    }
  }

  private final class ConnectionHandler extends ChannelDuplexHandler {
    private final Connection connection;
    private final Listener listener;
    private final boolean dialled;
    private boolean open;
    private long ringNanos = System.nanoTime();

    private ConnectionHandler(
        final Connection connection, final Listener listener, final boolean dialled) {
      this.connection = connection;
      this.listener = listener;
      this.dialled = dialled;
    }

    @Override
    public void channelActive(final ChannelHandlerContext context) {
      connection.heardNanos = System.nanoTime();
      context.writeAndFlush(hello.at(now()));
      watch(context.channel());
    }

    private void watch(final Channel channel) {
      channel
          .eventLoop()
          .schedule(
              () -> {
                if (!channel.isActive()) {
                  return;
                }
                if (System.nanoTime() - connection.heardNanos > SILENCE_NANOS
                    && System.nanoTime() - ringNanos < 2 * SILENCE_NANOS) {
                  channel.close();
                  return;
                }
                ringNanos = System.nanoTime();
                if (dialled) {
                  connection.clock().asked(now());
                  channel.writeAndFlush(new Protocol.KeepAlive(false));
                }
                watch(channel);
              },
              RING_MILLIS,
              TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object read) {
      final ByteBuf frame = (ByteBuf) read;
      final Message message;
      try {
        final Class<?> kind = Serializer.kind(frame.readByte());
        if (kind == null) {
          context.close();
          return;
        }
        trafficCounters.in(frame.readableBytes() + 5);
        final byte[] body = new byte[frame.readableBytes()];
        frame.readBytes(body);
        message = (Message) Serializer.deserialize(body, kind);
      } finally {
        frame.release();
      }
      connection.heardNanos = System.nanoTime();
      if (message instanceof Protocol.KeepAlive) {
        if (((Protocol.KeepAlive) message).echo) {
          connection.heardClock(((Protocol.KeepAlive) message).clock);
          connection.clock().answered(((Protocol.KeepAlive) message).clock, now());
        } else {
          context.writeAndFlush(new Protocol.KeepAlive(true, now()));
        }
      } else if (!open) {
        if (!(message instanceof Protocol.Hello)
            || ((Protocol.Hello) message).protocol != Serializer.PROTOCOL) {
          LOGGER.atWarning().log(
              "a peer at %s speaks another inner protocol than %d and was refused; run the same release everywhere",
              context.channel().remoteAddress(), Serializer.PROTOCOL);
          context.close();
          return;
        }
        open = true;
        connection.peer = (Protocol.Hello) message;
        connection.peerClock = connection.peer.clock;
        if (dialled) {
          connection.clock().answered(connection.peer.clock, now());
        }
        listener.opened(connection);
      } else {
        listener.messageReceived(connection, message);
      }
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
      if (open) {
        open = false;
        listener.closed(connection);
      }
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
      if (!(cause instanceof java.io.IOException)) {
        LOGGER.atWarning().withCause(cause).log("a line was closed");
      }
      context.close();
    }
  }

  /** An ear that runs everything on another thread, in order. */
  public static Listener on(final java.util.concurrent.Executor executor, final Listener listener) {
    return new Listener() {
      @Override
      public void opened(final Connection connection) {
        executor.execute(() -> listener.opened(connection));
      }

      @Override
      public void messageReceived(final Connection connection, final Message message) {
        executor.execute(() -> listener.messageReceived(connection, message));
      }

      @Override
      public void closed(final Connection connection) {
        executor.execute(() -> listener.closed(connection));
      }

      @Override
      public void refused() {
        executor.execute(listener::refused);
      }
    };
  }

  /** The names of all kinds, for tests. */
  public static List<Class<?>> kinds() {
    return List.of(Protocol.KINDS);
  }
}
