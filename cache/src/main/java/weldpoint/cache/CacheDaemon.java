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

/** The shared cache as a process: copies and reads on one thread, control state on another. */
public final class CacheDaemon implements Daemon {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final long TICK_MILLIS = 100;
  private static final long COUNTERS_MILLIS = 10_000;

  private final Settings boot;
  private final SerialExecutor desk = new SerialExecutor("announcer");
  private final EventLoopGroup loop = new NioEventLoopGroup(1);
  private final Transport trunk;
  private final UpstreamPool upstreamPool;
  private final PermitPool permits;
  private final OriginFetcher reader;
  private final SharedCache core;
  private final RegistryClient link;
  private final RegistryStream stream;

  /** A cache for these settings; nothing runs yet. */
  public CacheDaemon(final Settings boot) {
    this.boot = boot;
    final long incarnation = RandomIds.next();
    final Random random = new Random(incarnation);
    this.trunk =
        new Transport(
            loop,
            new Protocol.Hello(Serializer.PROTOCOL, "announcer", boot.address(), incarnation));
    this.upstreamPool = new UpstreamPool(loop, boot, random);
    this.stream =
        new RegistryStream(
            trunk, desk, boot, () -> loop.execute(() -> permits().sweep(true, now())));
    this.permits = new PermitPool(stream::send);
    this.reader = new OriginFetcher(loop, boot, upstreamPool, permits, random);
    this.core =
        new SharedCache(
            boot.copyBytes(), boot.purgeFirmMillis(), boot.purgeTrustMillis(), now(), reader);
    final RegistryMessages.DaemonEntry self =
        new RegistryMessages.DaemonEntry(
            boot.address(), "", boot.site(), boot.region(), incarnation, false, 0, true);
    this.link =
        new RegistryClient(
            self, boot.seeds(), new Random(incarnation + 1), new ClientEnvironment());
    stream.link(link);
  }

  private final class ClientEnvironment implements RegistryClient.Environment {
    @Override
    public void dial(final String address) {
      stream.dial(address);
    }

    @Override
    public boolean approach(final String address) {
      stream.approach(address);
      return true;
    }

    @Override
    public void abandonApproach() {
      stream.abandonApproach();
    }

    @Override
    public void send(final Message message) {
      stream.send(message);
    }

    @Override
    public void outlook(
        final RoutingTable plan,
        final Map<RegistryMessages.Registration, Boolean> changes,
        final Set<String> evacuated,
        final Set<String> suspects,
        final int switchboards) {
      final List<UpstreamPool.Change> list = new ArrayList<>();
      changes.forEach(
          (registration, open) -> list.add(new UpstreamPool.Change(registration, open)));
      loop.execute(
          () -> {
            if (plan != null) {
              core.take(plan);
              upstreamPool.configuration(plan);
            }
            upstreamPool.apply(list, now());
            if (evacuated != null) {
              upstreamPool.evacuated(evacuated, now());
            }
            if (suspects != null) {
              upstreamPool.suspects(suspects);
            }
          });
    }

    @Override
    public void trials(final List<TrialMessages.Trial> trials, final long mark) {
      // an announcer carries no writes and takes no part in trials
    }

    @Override
    public void purges(final CacheMessages.Purges purges) {
      loop.execute(() -> core.purged(purges));
    }

    @Override
    public void reached(final long ageMillis, final int boards, final List<String> announcers) {
      loop.execute(
          () -> {
            core.reached(ageMillis, now());
            reader.announcers(announcers.size());
          });
    }

    @Override
    public void permitted(final PermitMessages.PermitResponse answer) {
      loop.execute(() -> permits.answered(answer));
    }

    @Override
    public void admitted() {
      LOGGER.atInfo().log("announcer %s has a view", boot.name());
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
    trunk.serve(
        boot.address(),
        boot.trunkPort(2),
        new Transport.Listener() {
          @Override
          public void heard(final Connection line, final Message message) {
            if (message instanceof CacheMessages.CacheReadRequest) {
              core.ask((CacheMessages.CacheReadRequest) message, line::send, now());
            }
          }
        });
    desk.execute(() -> link.start(now()));
    loop.scheduleAtFixedRate(
        () -> {
          permits.sweep(false, now());
          upstreamPool.sweep(now());
          desk.execute(() -> link.tick(now()));
        },
        TICK_MILLIS,
        TICK_MILLIS,
        TimeUnit.MILLISECONDS);
    loop.scheduleAtFixedRate(
        () ->
            LOGGER.atInfo().log(
                "counters: %s read %s held %s %s",
                core.counters(), reader.sent, reader.held, permits.counters()),
        COUNTERS_MILLIS,
        COUNTERS_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  @Override
  public void reload(final Settings news) {
    desk.execute(() -> link.seeds(news.seeds()));
  }

  @Override
  public void stop() {
    desk.execute(() -> link.leave(now()));
    try {
      Thread.sleep(Math.min(1500, Math.max(300, boot.graceMillis() - 1000)));
    } catch (final InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }
}
