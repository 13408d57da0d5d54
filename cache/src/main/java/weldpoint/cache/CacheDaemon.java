package weldpoint.cache;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import weldpoint.common.Daemon;
import weldpoint.common.RandomIds;
import weldpoint.common.SerialExecutor;
import weldpoint.common.Settings;
import weldpoint.proxy.PermitPool;
import weldpoint.proxy.RegistryClient;
import weldpoint.proxy.RegistryStream;
import weldpoint.routing.RoutingTable;
import weldpoint.transport.CacheMessages;
import weldpoint.transport.Connection;
import weldpoint.transport.Message;
import weldpoint.transport.PermitMessages;
import weldpoint.transport.Protocol;
import weldpoint.transport.RegistryMessages;
import weldpoint.transport.Serializer;
import weldpoint.transport.Transport;
import weldpoint.transport.TrialMessages;
import weldpoint.upstream.UpstreamPool;

/**
 * The shared cache as a process. The cached objects and the fetches from origins live on the event
 * loop thread; the connection to the registry and the state received over it live on the executor
 * thread.
 */
public final class CacheDaemon implements Daemon {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final long TICK_MILLIS = 100;
  private static final long COUNTERS_MILLIS = 10_000;

  private final Settings settings;
  private final SerialExecutor executor = new SerialExecutor("announcer");
  private final EventLoopGroup loop = new NioEventLoopGroup(1);
  private final Transport transport;
  private final UpstreamPool upstreamPool;
  private final PermitPool permits;
  private final OriginFetcher fetcher;
  private final SharedCache cache;
  private final RegistryClient registry;
  private final RegistryStream stream;

  /** Creates a cache daemon; it does nothing before {@link #start}. */
  public CacheDaemon(final Settings settings) {
    this.settings = settings;
    final long incarnation = RandomIds.next();
    final Random random = new Random(incarnation);
    this.transport =
        new Transport(
            loop,
            new Protocol.Hello(
                Serializer.PROTOCOL_VERSION, "announcer", settings.address(), incarnation));
    this.upstreamPool = new UpstreamPool(loop, settings, random);
    this.stream =
        new RegistryStream(
            transport, executor, settings, () -> loop.execute(() -> permits().expire(true, now())));
    this.permits = new PermitPool(stream::send);
    this.fetcher = new OriginFetcher(loop, settings, upstreamPool, permits, random);
    this.cache =
        new SharedCache(
            settings.cacheBytes(),
            settings.purgeTrustWithoutContactMillis(),
            settings.purgeTrustWithoutMajorityMillis(),
            now(),
            fetcher);
    final RegistryMessages.DaemonEntry self =
        new RegistryMessages.DaemonEntry(
            settings.address(),
            "",
            settings.site(),
            settings.region(),
            incarnation,
            false,
            0,
            true);
    this.registry =
        new RegistryClient(
            self, settings.seeds(), new Random(incarnation + 1), new ClientEnvironment());
    stream.registryClient(registry);
  }

  private final class ClientEnvironment implements RegistryClient.Environment {
    @Override
    public void dial(final String address) {
      stream.dial(address);
    }

    @Override
    public boolean dialParallel(final String address) {
      stream.dialParallel(address);
      return true;
    }

    @Override
    public void closeParallel() {
      stream.closeParallel();
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
        final int proxyCount) {
      final List<UpstreamPool.Change> upstreamChanges = new ArrayList<>();
      changes.forEach(
          (registration, open) -> upstreamChanges.add(new UpstreamPool.Change(registration, open)));
      loop.execute(
          () -> {
            if (routingTable != null) {
              cache.updateRoutingTable(routingTable);
              upstreamPool.setRoutingTable(routingTable);
            }
            upstreamPool.applyChanges(upstreamChanges, now());
            if (evacuated != null) {
              upstreamPool.setEvacuatedSites(evacuated, now());
            }
            if (suspects != null) {
              upstreamPool.setSuspects(suspects);
            }
          });
    }

    @Override
    public void trialsChanged(final List<TrialMessages.Trial> trials, final long version) {
      // Cache daemons carry no writes, so trials of configurations do not involve them.
    }

    @Override
    public void purges(final CacheMessages.Purges purges) {
      loop.execute(() -> cache.updatePurges(purges));
    }

    @Override
    public void registryStatus(
        final long ageMillis, final int proxyCount, final List<String> cacheDaemons) {
      loop.execute(
          () -> {
            cache.majorityConfirmed(ageMillis, now());
            fetcher.cacheDaemonCount(cacheDaemons.size());
          });
    }

    @Override
    public void permitAnswered(final PermitMessages.PermitResponse response) {
      loop.execute(() -> permits.answered(response));
    }

    @Override
    public void firstViewReceived() {
      LOGGER.atInfo().log(
          "cache daemon %s is connected to the registry and has received its state",
          settings.name());
    }
  }

  private PermitPool permits() {
    return permits;
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  @Override
  public void start() throws InterruptedException {
    transport.bind(
        settings.address(),
        settings.transportPort(2),
        new Transport.Listener() {
          @Override
          public void messageReceived(final Connection connection, final Message message) {
            if (message instanceof CacheMessages.CacheReadRequest) {
              cache.handleRead((CacheMessages.CacheReadRequest) message, connection::send, now());
            }
          }
        });
    executor.execute(() -> registry.start(now()));
    loop.scheduleAtFixedRate(
        () -> {
          permits.expire(false, now());
          upstreamPool.closeExpiredConnections(now());
          executor.execute(() -> registry.tick(now()));
        },
        TICK_MILLIS,
        TICK_MILLIS,
        TimeUnit.MILLISECONDS);
    loop.scheduleAtFixedRate(
        () ->
            LOGGER.atInfo().log(
                "counters: %s fetch requests %s queue time-outs %s %s",
                cache.counters(), fetcher.requestsSent, fetcher.queueTimeouts, permits.counters()),
        COUNTERS_MILLIS,
        COUNTERS_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  @Override
  public void reload(final Settings newSettings) {
    executor.execute(() -> registry.addSeeds(newSettings.seeds()));
  }

  @Override
  public void stop() {
    executor.execute(() -> registry.leave(now()));
    try {
      Thread.sleep(Math.min(1500, Math.max(300, settings.graceMillis() - 1000)));
    } catch (final InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
