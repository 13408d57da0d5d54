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
 * Connects a proxy's {@link LeaderElection} with its peers, a timer, and the {@link ProxyContext}
 * that applies directives. The election runs on the control thread.
 */
final class RegionLeaderService {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final int PORT_INDEX = 3;
  private static final long TICK_MILLIS = 200;

  private final Settings settings;
  private final Transport transport;
  private final Executor executor;
  private final EventLoopGroup loop;
  private final ProxyContext proxyContext;
  private final PeerConnections connections;
  private final Map<String, Connection> incomingConnections = new HashMap<>();
  private final LeaderElection election;
  private boolean listening;
  private volatile RegionMessages.ProxyObservations observations =
      new RegionMessages.ProxyObservations(0, 0, 0, 0, null, null);
  private volatile String counters = "chief CORE";

  RegionLeaderService(
      final Settings settings,
      final Transport transport,
      final Executor executor,
      final EventLoopGroup loop,
      final ProxyContext proxyContext,
      final long incarnation) {
    this.settings = settings;
    this.transport = transport;
    this.executor = executor;
    this.loop = loop;
    this.proxyContext = proxyContext;
    proxyContext.uncertainWrites = new UncertainWrites();
    this.connections =
        new PeerConnections(
            transport,
            settings.transportPort(PORT_INDEX),
            to ->
                Transport.dispatchOn(
                    executor,
                    new Transport.Listener() {
                      @Override
                      public void opened(final Connection connection) {
                        election().connectionOpened(to);
                      }

                      @Override
                      public void messageReceived(
                          final Connection connection, final Message message) {
                        election()
                            .receive(
                                to, connection.peer().incarnation, message, ProxyContext.now());
                      }
                    }));
    this.election =
        new LeaderElection(
            settings.address(),
            incarnation,
            settings.region(),
            new LeaderElection.ElectionTimeouts(
                true,
                settings.leaderWaitMillis(),
                settings.leaderTenureMillis(),
                settings.leaderHeartbeatMillis()),
            new Random(incarnation + 2),
            ProxyContext.now(),
            new LeaderElection.Environment() {
              @Override
              public void connectPeers(final List<String> addresses) {
                connections.updateAddresses(addresses);
              }

              @Override
              public boolean send(final String address, final Message message) {
                if (connections.send(address, message)) {
                  return true;
                }
                final Connection connection = incomingConnections.get(address);
                if (connection != null) {
                  connection.send(message);
                }
                return connection != null;
              }

              @Override
              public RegionMessages.ProxyObservations takeObservations() {
                final RegionMessages.ProxyObservations seen = observations;
                loop.execute(
                    () -> observations = proxyContext.takeObservations(ProxyContext.now()));
                return seen;
              }

              @Override
              public void directiveChanged(final RegionMessages.LeaderDirective directive) {
                loop.execute(() -> proxyContext.applyDirective(directive, settings.address()));
              }
            });
    loop.scheduleAtFixedRate(
        () -> executor.execute(this::tick), TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  private LeaderElection election() {
    return election;
  }

  private void tick() {
    final long now = ProxyContext.now();
    election.tick(now);
    counters = election.counters(now);
    if (!listening && election.phase() != weldpoint.regionleader.LeaderPhase.CORE_REACHABLE) {
      listening = true;
      listen()
          .addListener(
              bound -> {
                if (!bound.isSuccess()) {
                  LOGGER.atWarning().withCause(bound.cause()).log(
                      "Cannot listen on port %s; free it, or no region leader can reach this proxy",
                      settings.transportPort(PORT_INDEX));
                  executor.execute(() -> listening = false);
                }
              });
    }
  }

  private ChannelFuture listen() {
    return transport.bindAsync(
        settings.address(),
        settings.transportPort(PORT_INDEX),
        Transport.dispatchOn(
            executor,
            new Transport.Listener() {
              @Override
              public void opened(final Connection connection) {
                incomingConnections.put(connection.peer().address, connection);
              }

              @Override
              public void messageReceived(final Connection connection, final Message message) {
                election.receive(
                    connection.peer().address,
                    connection.peer().incarnation,
                    message,
                    ProxyContext.now());
              }

              @Override
              public void closed(final Connection connection) {
                incomingConnections.remove(connection.peer().address, connection);
              }
            }));
  }

  void electorate(final RegionMessages.Electorate electorate) {
    election.electorate(electorate);
  }

  void election(final long ageMillis, final long now) {
    election.coreHeard(now - ageMillis, now);
  }

  String counters() {
    return counters;
  }
}
