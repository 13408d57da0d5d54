package weldpoint.scale;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import weldpoint.affinity.AffinityTable;
import weldpoint.common.Settings;
import weldpoint.proxy.RegistryClient;
import weldpoint.proxy.RegistryStream;
import weldpoint.routing.RoutingTable;
import weldpoint.transport.Message;
import weldpoint.transport.PlacementMessages;
import weldpoint.transport.Protocol;
import weldpoint.transport.RegistryMessages;
import weldpoint.transport.Serializer;
import weldpoint.transport.TrafficCounters;
import weldpoint.transport.Transport;
import weldpoint.transport.TrialMessages;

/**
 * Switchboards without traffic, many to this process: each has its own link, stream and line, the
 * very code of a real one.
 */
final class SimulatedProxies {
  private static final long TICK_MILLIS = 100;

  private final class SimulatedProxy {
    private final Transport transport;
    private final RegistryClient registry;
    private final RegistryStream stream;
    private AffinityTable affinity;

    private SimulatedProxy(final Settings settings, final int index, final long incarnation) {
      transport =
          new Transport(
              loop,
              new Protocol.Hello(Serializer.PROTOCOL, "switchboard", address(index), incarnation));
      stream = new RegistryStream(transport, desk, settings, () -> {});
      final RegistryMessages.DaemonEntry self =
          new RegistryMessages.DaemonEntry(
              address(index),
              address(index) + ":8161",
              settings.site(),
              settings.region(),
              incarnation,
              false,
              0);
      registry =
          new RegistryClient(
              self,
              settings.seeds(),
              new Random(incarnation),
              new RegistryClient.Environment() {
                @Override
                public void dial(final String to) {
                  stream.dial(to);
                }

                @Override
                public void send(final Message message) {
                  stream.send(message);
                }

                @Override
                public void outlook(
                    final RoutingTable routingTable,
                    final Map<RegistryMessages.Registration, Boolean> changes,
                    final Set<String> evacuated,
                    final Set<String> suspects,
                    final int switchboards) {
                  if (routingTable != null || evacuated != null) {
                    desk.execute(
                        () -> registry().inForce(registry().version(), registry().mark(), now()));
                  }
                  if (routingTable != null) {
                    versions.merge(routingTable.version(), 1, Integer::sum);
                  }
                }

                @Override
                public void trials(final List<TrialMessages.Trial> trials, final long mark) {}

                @Override
                public void placements(final PlacementMessages.Placements placements) {
                  if (affinity == null) {
                    affinity =
                        new AffinityTable(
                            self.address,
                            incarnation,
                            settings.affinityLeaseMillis(),
                            stream::send);
                  }
                  affinity.updatePlacements(placements, now());
                  placed.merge(placements.mark, 1, Integer::sum);
                }

                @Override
                public void leased(final PlacementMessages.LeaseGrant grant) {
                  if (affinity != null) {
                    affinity.onLeaseGrant(grant, now());
                  }
                }

                @Override
                public void admitted() {
                  admitted.incrementAndGet();
                }
              });
      stream.registry(registry);
      registry.start(now());
    }

    private RegistryClient registry() {
      return registry;
    }

    private void tick() {
      registry.tick(now());
      if (affinity != null) {
        affinity.tick(now());
      }
    }
  }

  private final EventLoopGroup loop = new NioEventLoopGroup(1);
  private final ExecutorService desk =
      Executors.newSingleThreadExecutor(
          task -> {
            final Thread thread = new Thread(task, "hollow");
            thread.setDaemon(true);
            return thread;
          });
  private final List<SimulatedProxy> hollows = new ArrayList<>();
  private final List<Settings> boots;
  private final AtomicLong admitted = new AtomicLong();
  private final Map<Long, Integer> versions = new java.util.concurrent.ConcurrentHashMap<>();
  private final Map<Long, Integer> placed = new java.util.concurrent.ConcurrentHashMap<>();
  private long incarnations = 1000;
  private int next;
  private long gone;
  private long goneMessages;

  /** So many switchboards, spread over these places. */
  SimulatedProxies(final List<Settings> boots, final int count) {
    this.boots = boots;
    desk.execute(
        () -> {
          for (int index = 0; index < count; index++) {
            hollows.add(new SimulatedProxy(boots.get(index % boots.size()), index, ++incarnations));
          }
        });
    loop.scheduleAtFixedRate(
        () -> desk.execute(() -> hollows.forEach(SimulatedProxy::tick)),
        TICK_MILLIS,
        TICK_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  static String address(final int index) {
    return "127.9." + index / 250 + "." + (1 + index % 250);
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  /** Ends one and starts it again as a new life, as a restart does. */
  void restartOne() {
    desk.execute(
        () -> {
          if (!hollows.isEmpty()) {
            final int index = next++ % hollows.size();
            final SimulatedProxy before = hollows.get(index);
            gone += before.transport.trafficCounters().bytesIn();
            goneMessages += before.transport.trafficCounters().messagesIn();
            before.stream.close();
            hollows.set(
                index, new SimulatedProxy(boots.get(index % boots.size()), index, ++incarnations));
          }
        });
  }

  /** How many views were given in all. */
  long admitted() {
    return admitted.get();
  }

  /** How many have this version in force. */
  int have(final long version) {
    return versions.getOrDefault(version, 0);
  }

  /** How many have placements of this mark or a later one. */
  int placed(final long mark) {
    return placed.getOrDefault(mark, 0);
  }

  /** Messages and bytes that came to all. */
  long[] in() {
    final java.util.concurrent.CompletableFuture<long[]> future =
        new java.util.concurrent.CompletableFuture<>();
    desk.execute(
        () -> {
          final long[] sums = {goneMessages, gone, 0, 0};
          for (final SimulatedProxy one : hollows) {
            final TrafficCounters trafficCounters = one.transport.trafficCounters();
            sums[0] += trafficCounters.messagesIn();
            sums[1] += trafficCounters.bytesIn();
            sums[2] += trafficCounters.messagesOut();
            sums[3] += trafficCounters.bytesOut();
          }
          future.complete(sums);
        });
    return future.join();
  }

  void end() {
    final java.util.concurrent.CountDownLatch closed = new java.util.concurrent.CountDownLatch(1);
    desk.execute(
        () -> {
          hollows.forEach(one -> one.stream.close());
          hollows.clear();
          closed.countDown();
        });
    try {
      closed.await(2, TimeUnit.SECONDS);
    } catch (final InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
    loop.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(3, TimeUnit.SECONDS);
    desk.shutdown();
  }
}
