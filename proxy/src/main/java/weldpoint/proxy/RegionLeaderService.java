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
import weldpoint.common.Settings;
import weldpoint.regionleader.LeaderElection;
import weldpoint.regionleader.UncertainWrites;
import weldpoint.transport.Connection;
import weldpoint.transport.Message;
import weldpoint.transport.PeerConnections;
import weldpoint.transport.RegionMessages;
import weldpoint.transport.Transport;

/**
 * Gives a switchboard's part in choosing a chief its lines, its ticks and its effect. Its core runs
 * on the control thread.
 */
final class RegionLeaderService {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final int PORT = 3;
  private static final long TICK_MILLIS = 200;

  private final Settings boot;
  private final Transport trunk;
  private final Executor desk;
  private final EventLoopGroup loop;
  private final ProxyContext proxyContext;
  private final PeerConnections lines;
  private final Map<String, Connection> incoming = new HashMap<>();
  private final LeaderElection core;
  private boolean serves;
  private volatile RegionMessages.ProxyObservations sight =
      new RegionMessages.ProxyObservations(0, 0, 0, 0, null, null);
  private volatile String counters = "chief CORE";

  RegionLeaderService(
      final Settings boot,
      final Transport trunk,
      final Executor desk,
      final EventLoopGroup loop,
      final ProxyContext proxyContext,
      final long incarnation) {
    this.boot = boot;
    this.trunk = trunk;
    this.desk = desk;
    this.loop = loop;
    this.proxyContext = proxyContext;
    proxyContext.once = new UncertainWrites();
    this.lines =
        new PeerConnections(
            trunk,
            boot.trunkPort(PORT),
            to ->
                Transport.on(
                    desk,
                    new Transport.Listener() {
                      @Override
                      public void opened(final Connection line) {
                        core().opened(to);
                      }

                      @Override
                      public void heard(final Connection line, final Message message) {
                        core().receive(to, line.peer().incarnation, message, ProxyContext.now());
                      }
                    }));
    this.core =
        new LeaderElection(
            boot.address(),
            incarnation,
            boot.region(),
            new LeaderElection.ElectionTimeouts(
                true, boot.chiefWaitMillis(), boot.chiefTenureMillis(), boot.chiefPulseMillis()),
            new Random(incarnation + 2),
            ProxyContext.now(),
            new LeaderElection.Environment() {
              @Override
              public void peers(final List<String> addresses) {
                lines.keep(addresses);
              }

              @Override
              public boolean send(final String address, final Message message) {
                if (lines.send(address, message)) {
                  return true;
                }
                final Connection line = incoming.get(address);
                if (line != null) {
                  line.send(message);
                }
                return line != null;
              }

              @Override
              public RegionMessages.ProxyObservations sight() {
                final RegionMessages.ProxyObservations seen = sight;
                loop.execute(() -> sight = proxyContext.sight(ProxyContext.now()));
                return seen;
              }

              @Override
              public void ordered(final RegionMessages.LeaderDirective order) {
                loop.execute(() -> proxyContext.ordered(order, boot.address()));
              }
            });
    loop.scheduleAtFixedRate(
        () -> desk.execute(this::tick), TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  private LeaderElection core() {
    return core;
  }

  private void tick() {
    final long now = ProxyContext.now();
    core.tick(now);
    counters = core.counters(now);
    if (!serves && core.phase() != weldpoint.regionleader.LeaderPhase.CORE) {
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
        Transport.on(
            desk,
            new Transport.Listener() {
              @Override
              public void opened(final Connection line) {
                incoming.put(line.peer().address, line);
              }

              @Override
              public void heard(final Connection line, final Message message) {
                core.receive(
                    line.peer().address, line.peer().incarnation, message, ProxyContext.now());
              }

              @Override
              public void closed(final Connection line) {
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
