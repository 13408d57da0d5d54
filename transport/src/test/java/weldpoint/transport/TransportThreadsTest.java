package weldpoint.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.net.ServerSocket;
import java.util.Collections;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

/** Races between the control thread and the traffic thread, at the most critical points. */
public final class TransportThreadsTest {
  private static final Protocol.Hello HELLO =
      new Protocol.Hello(Serializer.PROTOCOL_VERSION, "exchange", "127.0.0.1", 7);

  private static int port() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  /**
   * Returns a channel that appears closed by the traffic thread after the control thread has read
   * its outbound buffer this many times; the buffer is null from then on.
   */
  private static Channel closedAfterReads(final int reads) {
    final EmbeddedChannel real = new EmbeddedChannel();
    final ChannelOutboundBuffer buffer = real.unsafe().outboundBuffer();
    final AtomicInteger readCount = new AtomicInteger();
    final Channel.Unsafe unsafe =
        (Channel.Unsafe)
            Proxy.newProxyInstance(
                Channel.Unsafe.class.getClassLoader(),
                new Class<?>[] {Channel.Unsafe.class},
                (self, method, arguments) ->
                    method.getName().equals("outboundBuffer")
                        ? readCount.getAndIncrement() < reads ? buffer : null
                        : method.invoke(real.unsafe(), arguments));
    return (Channel)
        Proxy.newProxyInstance(
            Channel.class.getClassLoader(),
            new Class<?>[] {Channel.class},
            (self, method, arguments) -> {
              if (method.getName().equals("unsafe")) {
                return unsafe;
              }
              try {
                return method.invoke(real, arguments);
              } catch (final InvocationTargetException problem) {
                throw problem.getCause();
              }
            });
  }

  @Test
  public void closingAConnectionDuringSendLosesOnlyTheMessage() {
    for (int reads = 0; reads < 3; reads++) {
      new Connection(closedAfterReads(reads)).send(new Protocol.KeepAlive(false));
    }
  }

  @Test
  public void bindAsyncDoesNotWaitForABlockedEventLoop() throws IOException, InterruptedException {
    final EventLoopGroup loop = new NioEventLoopGroup(1);
    final CountDownLatch held = new CountDownLatch(1);
    final CountDownLatch returned = new CountDownLatch(1);
    final ChannelFuture[] future = new ChannelFuture[1];
    try {
      loop.execute(() -> awaitQuietly(held));
      final int port = port();
      final Thread control =
          new Thread(
              () -> {
                future[0] =
                    new Transport(loop, HELLO)
                        .bindAsync("127.0.0.1", port, (connection, message) -> {});
                returned.countDown();
              });
      control.setDaemon(true);
      control.start();
      assertTrue(
          returned.await(8, TimeUnit.SECONDS), "the control thread waits for the traffic thread");
      assertFalse(future[0].isDone());
      held.countDown();
      assertTrue(future[0].await(8, TimeUnit.SECONDS) && future[0].isSuccess());
    } finally {
      held.countDown();
      loop.shutdownGracefully();
    }
  }

  private static void awaitQuietly(final CountDownLatch latch) {
    try {
      latch.await(10, TimeUnit.SECONDS);
    } catch (final InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  @Test
  public void aConnectorClosedWhileConnectingLeavesNoConnectionOpen()
      throws IOException, InterruptedException {
    final EventLoopGroup loop = new NioEventLoopGroup(1);
    final Set<Connection> open = Collections.synchronizedSet(new HashSet<>());
    final AtomicInteger opened = new AtomicInteger();
    final int port = port();
    try {
      new Transport(loop, HELLO)
          .bind(
              "127.0.0.1",
              port,
              new Transport.Listener() {
                @Override
                public void opened(final Connection connection) {
                  opened.incrementAndGet();
                  open.add(connection);
                }

                @Override
                public void messageReceived(final Connection connection, final Message message) {}

                @Override
                public void closed(final Connection connection) {
                  open.remove(connection);
                }
              });
      final Random random = new Random(19);
      final Transport transport = new Transport(loop, HELLO);
      for (int round = 0; round < 400; round++) {
        final CountDownLatch up = new CountDownLatch(1);
        final Transport.Connector connector =
            transport.connectTo(
                "127.0.0.1",
                port,
                new Transport.Listener() {
                  @Override
                  public void opened(final Connection connection) {
                    up.countDown();
                  }

                  @Override
                  public void messageReceived(final Connection connection, final Message message) {}
                });
        if (round % 4 == 0) {
          up.await(8, TimeUnit.SECONDS);
        }
        final int spins = random.nextInt(40_000);
        for (int spin = 0; spin < spins; spin++) {
          Thread.onSpinWait();
        }
        connector.close();
      }
      final long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
      while (!open.isEmpty() && System.nanoTime() < until) {
        TimeUnit.MILLISECONDS.sleep(5);
      }
      assertEquals(
          open.size(),
          0,
          "of " + opened.get() + " connections stay open after their connectors were closed");
    } finally {
      loop.shutdownGracefully();
    }
  }
}
