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
 * Many proxies without client traffic in this process. Each has its own transport, registry stream
 * and registry client, the same classes as a real proxy. All of them run on one executor thread and
 * one event loop.
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
              eventLoop,
              new Protocol.Hello(
                  Serializer.PROTOCOL_VERSION, "switchboard", address(index), incarnation));
      stream = new RegistryStream(transport, executor, settings, () -> {});
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
                public void controlUpdate(
                    final RoutingTable routingTable,
                    final Map<RegistryMessages.Registration, Boolean> changes,
                    final Set<String> evacuated,
                    final Set<String> suspects,
                    final int switchboards) {
                  if (routingTable != null || evacuated != null) {
                    executor.execute(
                        () ->
                            registry()
                                .reportInForce(
                                    registry().version(), registry().stateVersion(), now()));
                  }
                  if (routingTable != null) {
                    receiptsByVersion.merge(routingTable.version(), 1, Integer::sum);
                  }
                }

                @Override
                public void trialsChanged(
                    final List<TrialMessages.Trial> trials, final long mark) {}

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
                  placementReceipts.merge(placements.revision, 1, Integer::sum);
                }

                @Override
                public void leaseAnswered(final PlacementMessages.LeaseGrant grant) {
                  if (affinity != null) {
                    affinity.onLeaseGrant(grant, now());
                  }
                }

                @Override
                public void firstViewReceived() {
                  admissions.incrementAndGet();
                }
              });
      stream.registryClient(registry);
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

  private final EventLoopGroup eventLoop = new NioEventLoopGroup(1);
  private final ExecutorService executor =
      Executors.newSingleThreadExecutor(
          task -> {
            final Thread thread = new Thread(task, "simulated-proxies");
            thread.setDaemon(true);
            return thread;
          });
  private final List<SimulatedProxy> proxies = new ArrayList<>();
  private final List<Settings> zoneSettings;
  private final AtomicLong admissions = new AtomicLong();
  private final Map<Long, Integer> receiptsByVersion =
      new java.util.concurrent.ConcurrentHashMap<>();
  private final Map<Long, Integer> placementReceipts =
      new java.util.concurrent.ConcurrentHashMap<>();
  private long incarnations = 1000;
  private int nextRestart;
  private long closedBytesIn;
  private long closedMessagesIn;

  /** Starts the given number of proxies, spread evenly over the zones of the settings. */
  SimulatedProxies(final List<Settings> zoneSettings, final int count) {
    this.zoneSettings = zoneSettings;
    executor.execute(
        () -> {
          for (int index = 0; index < count; index++) {
            proxies.add(
                new SimulatedProxy(
                    zoneSettings.get(index % zoneSettings.size()), index, ++incarnations));
          }
        });
    eventLoop.scheduleAtFixedRate(
        () -> executor.execute(() -> proxies.forEach(SimulatedProxy::tick)),
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

  /**
   * Closes the next proxy in turn and starts it again with a new incarnation, as a restart does.
   */
  void restartOne() {
    executor.execute(
        () -> {
          if (!proxies.isEmpty()) {
            final int index = nextRestart++ % proxies.size();
            final SimulatedProxy previous = proxies.get(index);
            closedBytesIn += previous.transport.trafficCounters().bytesReceived();
            closedMessagesIn += previous.transport.trafficCounters().messagesReceived();
            previous.stream.close();
            proxies.set(
                index,
                new SimulatedProxy(
                    zoneSettings.get(index % zoneSettings.size()), index, ++incarnations));
          }
        });
  }

  /** Returns how often a proxy was admitted by a registry; a restarted proxy counts again. */
  long admissions() {
    return admissions.get();
  }

  /**
   * Returns how often a proxy has received this configuration version; a restarted proxy counts
   * again.
   */
  int versionReceipts(final long version) {
    return receiptsByVersion.getOrDefault(version, 0);
  }

  /**
   * Returns how often a proxy has received the placements with exactly this mark, the number that
   * rises with each change of placements.
   */
  int placementReceipts(final long mark) {
    return placementReceipts.getOrDefault(mark, 0);
  }

  /**
   * Returns the totals of all proxies: messages in, bytes in, messages out and bytes out. Only the
   * inbound totals include proxies that were closed by a restart.
   */
  long[] trafficTotals() {
    final java.util.concurrent.CompletableFuture<long[]> future =
        new java.util.concurrent.CompletableFuture<>();
    executor.execute(
        () -> {
          final long[] sums = {closedMessagesIn, closedBytesIn, 0, 0};
          for (final SimulatedProxy proxy : proxies) {
            final TrafficCounters trafficCounters = proxy.transport.trafficCounters();
            sums[0] += trafficCounters.messagesReceived();
            sums[1] += trafficCounters.bytesReceived();
            sums[2] += trafficCounters.messagesSent();
            sums[3] += trafficCounters.bytesSent();
          }
          future.complete(sums);
        });
    return future.join();
  }

  void shutdown() {
    final java.util.concurrent.CountDownLatch closed = new java.util.concurrent.CountDownLatch(1);
    executor.execute(
        () -> {
          proxies.forEach(proxy -> proxy.stream.close());
          proxies.clear();
          closed.countDown();
        });
    try {
      closed.await(2, TimeUnit.SECONDS);
    } catch (final InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
    eventLoop
        .shutdownGracefully(0, 200, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(3, TimeUnit.SECONDS);
    executor.shutdown();
  }
}
