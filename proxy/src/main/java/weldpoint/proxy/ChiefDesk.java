package weldpoint.proxy;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import weldpoint.common.Boot;
import weldpoint.regionleader.ChiefCore;
import weldpoint.regionleader.OnceOnly;
import weldpoint.transport.Line;
import weldpoint.transport.Lines;
import weldpoint.transport.Message;
import weldpoint.transport.RegionMessages;
import weldpoint.transport.Trunk;

/**
 * Gives a switchboard's part in choosing a chief its lines, its ticks and its effect. Its core runs
 * on the control thread.
 */
final class ChiefDesk {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final int PORT = 3;
  private static final long TICK_MILLIS = 200;

  private final Boot boot;
  private final Trunk trunk;
  private final Executor desk;
  private final EventLoopGroup loop;
  private final ProxyContext proxyContext;
  private final Lines lines;
  private final Map<String, Line> incoming = new HashMap<>();
  private final ChiefCore core;
  private boolean serves;
  private volatile RegionMessages.Sight sight = new RegionMessages.Sight(0, 0, 0, 0, null, null);
  private volatile String counters = "chief CORE";

  ChiefDesk(
      final Boot boot,
      final Trunk trunk,
      final Executor desk,
      final EventLoopGroup loop,
      final ProxyContext proxyContext,
      final long incarnation) {
    this.boot = boot;
    this.trunk = trunk;
    this.desk = desk;
    this.loop = loop;
    this.proxyContext = proxyContext;
    proxyContext.once = new OnceOnly();
    this.lines =
        new Lines(
            trunk,
            boot.trunkPort(PORT),
            to ->
                Trunk.on(
                    desk,
                    new Trunk.Ear() {
                      @Override
                      public void opened(final Line line) {
                        core().opened(to);
                      }

                      @Override
                      public void heard(final Line line, final Message message) {
                        core().receive(to, line.peer().incarnation, message, ProxyContext.now());
                      }
                    }));
    this.core =
        new ChiefCore(
            boot.address(),
            incarnation,
            boot.region(),
            new ChiefCore.Terms(
                true, boot.chiefWaitMillis(), boot.chiefTenureMillis(), boot.chiefPulseMillis()),
            new Random(incarnation + 2),
            ProxyContext.now(),
            new ChiefCore.Outlet() {
              @Override
              public void peers(final List<String> addresses) {
                lines.keep(addresses);
              }

              @Override
              public boolean send(final String address, final Message message) {
                if (lines.send(address, message)) {
                  return true;
                }
                final Line line = incoming.get(address);
                if (line != null) {
                  line.send(message);
                }
                return line != null;
              }

              @Override
              public RegionMessages.Sight sight() {
                final RegionMessages.Sight seen = sight;
                loop.execute(() -> sight = proxyContext.sight(ProxyContext.now()));
                return seen;
              }

              @Override
              public void ordered(final RegionMessages.Order order) {
                loop.execute(() -> proxyContext.ordered(order, boot.address()));
              }
            });
    loop.scheduleAtFixedRate(
        () -> desk.execute(this::tick), TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  private ChiefCore core() {
    return core;
  }

  private void tick() {
    final long now = ProxyContext.now();
    core.tick(now);
    counters = core.counters(now);
    if (!serves && core.phase() != weldpoint.regionleader.Phase.CORE) {
      serves = true;
      serve()
          .addListener(
              bound -> {
                if (!bound.isSuccess()) {
                  LOGGER.atWarning().withCause(bound.cause()).log(
                      "the port %s cannot be listened at; free it, or no chief can reach this switchboard",
                      boot.trunkPort(PORT));
                  desk.execute(() -> serves = false);
                }
              });
    }
  }

  private ChannelFuture serve() {
    return trunk.listen(
        boot.address(),
        boot.trunkPort(PORT),
        Trunk.on(
            desk,
            new Trunk.Ear() {
              @Override
              public void opened(final Line line) {
                incoming.put(line.peer().address, line);
              }

              @Override
              public void heard(final Line line, final Message message) {
                core.receive(
                    line.peer().address, line.peer().incarnation, message, ProxyContext.now());
              }

              @Override
              public void closed(final Line line) {
                incoming.remove(line.peer().address, line);
              }
            }));
  }

  void electorate(final RegionMessages.Electorate electorate) {
    core.electorate(electorate);
  }

  void core(final long ageMillis, final long now) {
    core.core(now - ageMillis, now);
  }

  String counters() {
    return counters;
  }
}
