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
import weldpoint.common.Boot;
import weldpoint.common.Chance;
import weldpoint.common.Desk;
import weldpoint.common.Program;
import weldpoint.proxy.PermitPool;
import weldpoint.proxy.RegistryLink;
import weldpoint.proxy.Stream;
import weldpoint.routing.Dialplan;
import weldpoint.transport.CacheMessages;
import weldpoint.transport.Line;
import weldpoint.transport.Message;
import weldpoint.transport.PermitMessages;
import weldpoint.transport.Protocol;
import weldpoint.transport.RegistryMessages;
import weldpoint.transport.TrialMessages;
import weldpoint.transport.Trunk;
import weldpoint.transport.Wire;
import weldpoint.upstream.UpstreamPool;

/** The shared cache as a process: copies and reads on one thread, control state on another. */
public final class AnnouncerDaemon implements Program {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final long TICK_MILLIS = 100;
  private static final long COUNTERS_MILLIS = 10_000;

  private final Boot boot;
  private final Desk desk = new Desk("announcer");
  private final EventLoopGroup loop = new NioEventLoopGroup(1);
  private final Trunk trunk;
  private final UpstreamPool upstreamPool;
  private final PermitPool permits;
  private final Reader reader;
  private final AnnouncerCore core;
  private final RegistryLink link;
  private final Stream stream;

  /** A cache for these settings; nothing runs yet. */
  public AnnouncerDaemon(final Boot boot) {
    this.boot = boot;
    final long incarnation = Chance.fresh();
    final Random random = new Random(incarnation);
    this.trunk =
        new Trunk(
            loop, new Protocol.Hello(Wire.PROTOCOL, "announcer", boot.address(), incarnation));
    this.upstreamPool = new UpstreamPool(loop, boot, random);
    this.stream =
        new Stream(trunk, desk, boot, () -> loop.execute(() -> permits().sweep(true, now())));
    this.permits = new PermitPool(stream::send);
    this.reader = new Reader(loop, boot, upstreamPool, permits, random);
    this.core =
        new AnnouncerCore(
            boot.copyBytes(), boot.purgeFirmMillis(), boot.purgeTrustMillis(), now(), reader);
    final RegistryMessages.Board self =
        new RegistryMessages.Board(
            boot.address(), "", boot.site(), boot.region(), incarnation, false, 0, true);
    this.link = new RegistryLink(self, boot.seeds(), new Random(incarnation + 1), new Outlet());
    stream.link(link);
  }

  private final class Outlet implements RegistryLink.Outlet {
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
        final Dialplan plan,
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
    public void permitted(final PermitMessages.PermitAnswer answer) {
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
        new Trunk.Ear() {
          @Override
          public void heard(final Line line, final Message message) {
            if (message instanceof CacheMessages.CopyAsk) {
              core.ask((CacheMessages.CopyAsk) message, line::send, now());
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
  public void reload(final Boot news) {
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
