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

/**
 * The internal protocol over TCP. A frame is a length of four bytes, a message type of one byte and
 * a Protostuff body; the first message of each side is a hello. All handlers and listeners run on
 * the event loop, which is called the traffic thread here.
 */
public final class Transport {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final int MAX_FRAME_BYTES = 64 << 20;
  private static final long KEEP_ALIVE_MILLIS = 500;
  private static final long IDLE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1900);

  /** Receives the events of connections; called on the traffic thread. */
  public interface Listener {
    /** The peer's hello has arrived. */
    default void opened(final Connection connection) {}

    /** A message has arrived that is neither a hello nor a keep-alive. */
    void messageReceived(Connection connection, Message message);

    /** The connection has closed. */
    default void closed(final Connection connection) {}

    /** The connection was refused: no process listens on the peer's port. */
    default void connectionRefused() {}
  }

  private final EventLoopGroup eventLoopGroup;
  private final Protocol.Hello hello;
  private final TrafficCounters trafficCounters = new TrafficCounters();

  /** Returns the counters over all connections. */
  public TrafficCounters trafficCounters() {
    return trafficCounters;
  }

  /** Creates a transport whose connections start with this hello. */
  public Transport(final EventLoopGroup eventLoopGroup, final Protocol.Hello hello) {
    this.eventLoopGroup = eventLoopGroup;
    this.hello = hello;
  }

  /** Accepts connections at an address; returns once the port is bound. */
  public void bind(final String address, final int port, final Listener listener)
      throws InterruptedException {
    bindAsync(address, port, listener).sync();
  }

  /**
   * Starts to accept connections at an address, without waiting for the port to be bound: the
   * control thread must never wait for the traffic thread, which may be waiting for it.
   */
  public ChannelFuture bindAsync(final String address, final int port, final Listener listener) {
    return new ServerBootstrap()
        .group(eventLoopGroup)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .option(ChannelOption.SO_BACKLOG, 256)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(final SocketChannel channel) {
                initPipeline(channel, listener, false);
              }
            })
        .bind(address, port);
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  private Connection initPipeline(
      final SocketChannel channel, final Listener listener, final boolean outgoing) {
    final Connection connection = new Connection(channel);
    if (outgoing) {
      connection.clock().requestSent(now());
    }
    channel
        .pipeline()
        .addLast(
            new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, 4, 0, 4),
            new MessageEncoder(),
            new ConnectionHandler(connection, listener, outgoing));
    return connection;
  }

  /** Keeps a connection to an address open until the connector is closed. */
  public Connector connectTo(final String address, final int port, final Listener listener) {
    return new Connector(address, port, listener);
  }

  /** Keeps one outgoing connection open, and reconnects with backoff after it closes. */
  public final class Connector {
    private final String address;
    private final int port;
    private final Listener listener;
    private volatile Connection connection;
    private volatile boolean stopped;
    private long backoffMillis = 50;

    private Connector(final String address, final int port, final Listener listener) {
      this.address = address;
      this.port = port;
      this.listener = listener;
      connect();
    }

    private void connect() {
      if (stopped) {
        return;
      }
      final ChannelFuture attempt =
          new Bootstrap()
              .group(eventLoopGroup)
              .channel(NioSocketChannel.class)
              .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1000)
              .option(ChannelOption.TCP_NODELAY, true)
              .handler(
                  new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(final SocketChannel channel) {
                      initPipeline(
                          channel,
                          new Listener() {
                            @Override
                            public void opened(final Connection opened) {
                              if (setConnection(opened)) {
                                backoffMillis = 50;
                                listener.opened(opened);
                              } else {
                                opened.close();
                              }
                            }

                            @Override
                            public void messageReceived(
                                final Connection sender, final Message message) {
                              listener.messageReceived(sender, message);
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
            if (isConnectionRefused(done.cause())) {
              listener.connectionRefused();
            }
          });
      attempt.channel().closeFuture().addListener(done -> scheduleReconnect());
    }

    private boolean isConnectionRefused(final Throwable cause) {
      return !stopped
          && cause instanceof ConnectException
          && !(cause instanceof ConnectTimeoutException);
    }

    /** Stores the connection unless the connector was closed first, maybe by another thread. */
    private synchronized boolean setConnection(final Connection opened) {
      if (!stopped) {
        connection = opened;
      }
      return !stopped;
    }

    private void scheduleReconnect() {
      if (!stopped) {
        backoffMillis = Math.min(250, backoffMillis * 2);
        eventLoopGroup.schedule(this::connect, backoffMillis, TimeUnit.MILLISECONDS);
      }
    }

    /** Returns the connection, or null while there is none. */
    public Connection connection() {
      return connection;
    }

    /** Sends a message if there is a connection; returns whether there was one. */
    public boolean send(final Message message) {
      final Connection current = connection;
      if (current == null) {
        return false;
      }
      current.send(message);
      return true;
    }

    /**
     * Sends a message if the peer of the current connection is in one of these regions, or if there
     * are none; returns whether it was sent.
     */
    public boolean sendWithin(final Message message, final List<String> regions) {
      final Connection current = connection;
      if (current == null || !regions.isEmpty() && !isWithin(current.peer, regions)) {
        return false;
      }
      current.send(message);
      return true;
    }

    private static boolean isWithin(final Protocol.Hello peer, final List<String> regions) {
      return peer != null && peer.region != null && regions.contains(peer.region);
    }

    /** Sends the message made for the current connection; returns whether there was one. */
    public boolean send(final Function<Connection, Message> messageFactory) {
      final Connection current = connection;
      if (current == null) {
        return false;
      }
      current.send(messageFactory.apply(current));
      return true;
    }

    /** Closes the connection and does not reconnect. */
    public void close() {
      final Connection current;
      synchronized (this) {
        stopped = true;
        current = connection;
      }
      if (current != null) {
        current.close();
      }
    }
  }

  private static final class EncodedMessage implements Message {
    private final int typeNumber;
    private final byte[] body;

    private EncodedMessage(final int typeNumber, final byte[] body) {
      this.typeNumber = typeNumber;
      this.body = body;
    }
  }

  /** Serializes a message once, so that it can be sent to many peers. */
  public static Message encodeOnce(final Message message) {
    return new EncodedMessage(Serializer.typeNumber(message), Serializer.serialize(message));
  }

  /** Returns the number that stands for a message's type on the wire. */
  static int typeNumber(final Message message) {
    return message instanceof EncodedMessage
        ? ((EncodedMessage) message).typeNumber
        : Serializer.typeNumber(message);
  }

  private final class MessageEncoder extends MessageToByteEncoder<Message> {
    @Override
    protected void encode(
        final ChannelHandlerContext context, final Message message, final ByteBuf out) {
      final boolean encoded = message instanceof EncodedMessage;
      final byte[] body = encoded ? ((EncodedMessage) message).body : Serializer.serialize(message);
      trafficCounters.recordSent(body.length + 5);
      out.ensureWritable(body.length + 5);
      out.writeInt(body.length + 1);
      out.writeByte(typeNumber(message));
      out.writeBytes(body);
    }
  }

  private final class ConnectionHandler extends ChannelDuplexHandler {
    private final Connection connection;
    private final Listener listener;
    private final boolean outgoing;
    private boolean helloReceived;
    private long lastCheckNanos = System.nanoTime();

    private ConnectionHandler(
        final Connection connection, final Listener listener, final boolean outgoing) {
      this.connection = connection;
      this.listener = listener;
      this.outgoing = outgoing;
    }

    @Override
    public void channelActive(final ChannelHandlerContext context) {
      connection.lastReceivedNanos = System.nanoTime();
      context.writeAndFlush(hello.withClock(now()));
      scheduleKeepAlive(context.channel());
    }

    private void scheduleKeepAlive(final Channel channel) {
      channel
          .eventLoop()
          .schedule(
              () -> {
                if (!channel.isActive()) {
                  return;
                }
                if (System.nanoTime() - connection.lastReceivedNanos > IDLE_TIMEOUT_NANOS
                    && System.nanoTime() - lastCheckNanos < 2 * IDLE_TIMEOUT_NANOS) {
                  channel.close();
                  return;
                }
                lastCheckNanos = System.nanoTime();
                if (outgoing) {
                  connection.clock().requestSent(now());
                  channel.writeAndFlush(new Protocol.KeepAlive(false));
                }
                scheduleKeepAlive(channel);
              },
              KEEP_ALIVE_MILLIS,
              TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object received) {
      final ByteBuf frame = (ByteBuf) received;
      final Message message;
      try {
        final Class<?> type = Serializer.messageType(frame.readByte());
        if (type == null) {
          context.close();
          return;
        }
        trafficCounters.recordReceived(frame.readableBytes() + 5);
        final byte[] body = new byte[frame.readableBytes()];
        frame.readBytes(body);
        message = (Message) Serializer.deserialize(body, type);
      } finally {
        frame.release();
      }
      connection.lastReceivedNanos = System.nanoTime();
      if (message instanceof Protocol.KeepAlive) {
        if (((Protocol.KeepAlive) message).echo) {
          connection.updatePeerClock(((Protocol.KeepAlive) message).clockMillis);
          connection.clock().responseReceived(((Protocol.KeepAlive) message).clockMillis, now());
        } else {
          context.writeAndFlush(new Protocol.KeepAlive(true, now()));
        }
      } else if (!helloReceived) {
        if (!(message instanceof Protocol.Hello)
            || ((Protocol.Hello) message).protocolVersion != Serializer.PROTOCOL_VERSION) {
          LOGGER.atWarning().log(
              "a peer at %s did not open with a hello of internal protocol %d, connection closed;"
                  + " run the same release everywhere",
              context.channel().remoteAddress(), Serializer.PROTOCOL_VERSION);
          context.close();
          return;
        }
        helloReceived = true;
        connection.peer = (Protocol.Hello) message;
        connection.peerClockMillis = connection.peer.clockMillis;
        if (outgoing) {
          connection.clock().responseReceived(connection.peer.clockMillis, now());
        }
        listener.opened(connection);
      } else {
        listener.messageReceived(connection, message);
      }
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
      if (helloReceived) {
        helloReceived = false;
        listener.closed(connection);
      }
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
      if (!(cause instanceof java.io.IOException)) {
        LOGGER.atWarning().withCause(cause).log("connection closed after an error in its handlers");
      }
      context.close();
    }
  }

  /** Returns a listener that passes each event on to an executor, in order. */
  public static Listener dispatchOn(
      final java.util.concurrent.Executor executor, final Listener listener) {
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
      public void connectionRefused() {
        executor.execute(listener::connectionRefused);
      }
    };
  }

  /** Returns the message types in the order of their numbers, for tests. */
  public static List<Class<?>> messageTypes() {
    return List.of(Protocol.MESSAGE_TYPES);
  }
}
