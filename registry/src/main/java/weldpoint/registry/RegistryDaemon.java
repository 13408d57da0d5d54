package weldpoint.registry;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import weldpoint.common.Daemon;
import weldpoint.common.RandomIds;
import weldpoint.common.SerialExecutor;
import weldpoint.common.Settings;
import weldpoint.common.WeldpointException;
import weldpoint.metrics.MetricsServer;
import weldpoint.ownership.GrantTimings;
import weldpoint.routing.Affinity;
import weldpoint.transport.Connection;
import weldpoint.transport.KeyMessages;
import weldpoint.transport.Message;
import weldpoint.transport.OwnershipMessages.SlotReport;
import weldpoint.transport.PeerConnections;
import weldpoint.transport.PermitMessages;
import weldpoint.transport.PlacementMessages;
import weldpoint.transport.Protocol;
import weldpoint.transport.RecordingMessages;
import weldpoint.transport.RegistryMessages;
import weldpoint.transport.Serializer;
import weldpoint.transport.StoreMessages;
import weldpoint.transport.Transport;
import weldpoint.transport.TrialMessages;
import weldpoint.wal.SegmentRing;
import weldpoint.wal.WriteAheadLog;

/**
 * The registry as a process: it takes all outside calls, keeps the membership and tells
 * switchboards.
 */
public final class RegistryDaemon implements Daemon {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final int FILES = 3;
  private static final int FILE_BYTES = 1 << 19;
  private static final int MOST_FILE_BYTES = 1 << 24;
  private static final long TICK_MILLIS = 40;

  private final Settings settings;
  private final SerialExecutor executor = new SerialExecutor("exchange");
  private final EventLoopGroup loop = new NioEventLoopGroup(1);
  private final Transport transport;
  private final RegistryCore core;
  private final PeerConnections members;
  private final PeerConnections frames;
  private WriteAheadLog log;
  private long countersAt;
  private final long incarnation;
  private Message unsealed;
  private Message sealed;

  /** A registry for these settings; nothing runs yet. */
  public RegistryDaemon(final Settings settings) {
    this.settings = settings;
    incarnation = RandomIds.next();
    this.transport =
        new Transport(
            loop,
            new Protocol.Hello(Serializer.PROTOCOL, "exchange", settings.address(), incarnation));
    this.members =
        new PeerConnections(
            transport,
            settings.transportPort(0),
            to ->
                Transport.on(
                    executor,
                    new Transport.Listener() {
                      @Override
                      public void opened(final Connection connection) {
                        core().memberOpened(to, now());
                      }

                      @Override
                      public void messageReceived(
                          final Connection connection, final Message message) {
                        core().receive(to, message, connection::send, now());
                      }

                      @Override
                      public void closed(final Connection connection) {
                        core().memberClosed(to, now());
                      }
                    }));
    this.frames =
        new PeerConnections(
            transport,
            settings.transportPort(1),
            to ->
                Transport.on(
                    executor,
                    new Transport.Listener() {
                      @Override
                      public void messageReceived(
                          final Connection connection, final Message message) {
                        if (message instanceof StoreMessages.StoreResponse) {
                          connection.heardClock(((StoreMessages.StoreResponse) message).clock);
                          core().answered(to, (StoreMessages.StoreResponse) message, now());
                        }
                      }

                      @Override
                      public void closed(final Connection connection) {
                        core().frameClosed(to, now());
                      }
                    }));
    this.core =
        new RegistryCore(
            settings.address(),
            settings.seeds(),
            settings.firstStart(),
            settings.heartbeatMillis(),
            new Random(incarnation),
            new RegistryCore.Environment() {
              @Override
              public boolean member(final String address, final Message message) {
                return members.send(address, message);
              }

              @Override
              public boolean frame(final String address, final StoreMessages.StoreRequest call) {
                return frames.send(
                    address,
                    connection -> {
                      final Long clock = connection.peerClock();
                      return call.leaving(clock, now());
                    });
              }

              @Override
              public void board(final Object stream, final Message message) {
                if (message != unsealed) {
                  unsealed = message;
                  sealed = Transport.seal(message);
                }
                ((Connection) stream).send(sealed);
              }

              @Override
              public void append(final byte[] record, final Runnable synced) {
                log.append(record, synced);
              }

              @Override
              public String disk() {
                return log == null ? "" : log.counters();
              }

              @Override
              public void peers(final List<String> addresses) {
                members.keep(addresses);
                final List<String> all = new ArrayList<>(addresses);
                all.add(settings.address());
                frames.keep(all);
              }
            });
  }

  private RegistryCore core() {
    return core;
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  @Override
  public void start() throws IOException, InterruptedException {
    if (settings.folder().isEmpty()) {
      throw new WeldpointException(
          WeldpointException.Kind.SETTING,
          "setting station.folder has the value ''; an exchange needs a folder on a disk of its own");
    }
    final WriteAheadLog.Opened opened =
        WriteAheadLog.open(
            Path.of(settings.folder(), "exchange"),
            "exchange " + settings.address(),
            FILES,
            FILE_BYTES,
            MOST_FILE_BYTES,
            executor,
            core::view);
    final SegmentRing.Recovered found = opened.found();
    if (found.lost()) {
      LOGGER.atSevere().log(
          "the disk of %s lost records that had been synced; it counts as blank and is refetched from the other exchanges",
          settings.name());
    }
    log = opened.log();
    if (settings.regionLeaderEnabled()) {
      core.chiefs();
    }
    core.place(settings.site(), settings.region());
    core.placements(
        Affinity.parseSetting("affinity.default", settings.affinityUsual()),
        incarnation,
        settings.affinityLeaseMillis(),
        settings.affinityBatchMillis());
    core.quotas(
        new weldpoint.ratelimit.QuotaAllocator(
            settings, settings.firstStart() && found.blank() && !found.lost(), now()));
    final GrantTimings timings =
        GrantTimings.of(settings.ownershipHoldMillis(), settings.ownershipLateMillis());
    core.ownership(
        incarnation,
        timings,
        new KeyGrantClient(loop, executor, timings.holdMillis(), timings.sendMillis()));
    executor.execute(() -> core.start(found.lost() ? List.of() : found.records(), now()));
    log.start("tape");
    transport.serve(
        settings.bindAddress(),
        settings.transportPort(0),
        Transport.on(
            executor,
            new Transport.Listener() {
              @Override
              public void messageReceived(final Connection connection, final Message message) {
                if (message instanceof RegistryMessages.DaemonReport) {
                  core.boardState(
                      connection,
                      ((RegistryMessages.DaemonReport) message).entry,
                      Protocol.list(((RegistryMessages.DaemonReport) message).buckets),
                      now());
                } else if (message instanceof TrialMessages.TrialReport
                    && "switchboard".equals(connection.peer().program)) {
                  core.trials().report((TrialMessages.TrialReport) message, now());
                } else if (message instanceof PlacementMessages.LeaseRequest
                    && "switchboard".equals(connection.peer().program)) {
                  core.lease(connection, (PlacementMessages.LeaseRequest) message, now());
                } else if (message instanceof RecordingMessages.RecordingBatch) {
                  core.reel((RecordingMessages.RecordingBatch) message, now());
                } else if (message instanceof KeyMessages.ClaimRequest
                    || message instanceof KeyMessages.ClaimRelease
                        && "switchboard".equals(connection.peer().program)) {
                  core.key(message, connection::send, now());
                } else if (message instanceof SlotReport
                    && "switchboard".equals(connection.peer().program)) {
                  core.slotReport((SlotReport) message);
                } else if (message instanceof PermitMessages.PermitRequest
                    && !"exchange".equals(connection.peer().program)) {
                  core.permit((PermitMessages.PermitRequest) message, connection::send, now());
                } else {
                  core.receive(connection.peer().address, message, connection::send, now());
                }
              }

              @Override
              public void closed(final Connection connection) {
                if (!"exchange".equals(connection.peer().program)) {
                  core.streamClosed(connection, connection.peer().address, now());
                }
              }
            }));
    final ControlServer server = new ControlServer(settings, core, executor);
    server.serve(loop, settings.requiredAddress("listen.control"));
    final Settings.Address directory = settings.optionalAddress("listen.directory");
    if (directory != null && !directory.equals(settings.requiredAddress("listen.control"))) {
      server.serve(loop, directory);
    }
    if (settings.metricsPort() > 0) {
      MetricsServer.serve(
          loop,
          settings.address(),
          settings.metricsPort() + 1,
          () -> CompletableFuture.supplyAsync(() -> core.figures(now()), executor));
    }
    loop.scheduleWithFixedDelay(server::awake, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    loop.scheduleAtFixedRate(
        () -> executor.execute(this::tick), TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void tick() {
    final long now = now();
    core.tick(now);
    if (now - countersAt >= settings.countersMillis()) {
      countersAt = now;
      LOGGER.atInfo().log(
          "counters: %s %s %s", core.counters(), log.counters(), transport.trafficCounters());
    }
  }

  @Override
  public void reload(final Settings news) {
    executor.execute(() -> core.seeds(news.seeds(), now()));
  }

  @Override
  public void stop() {
    executor.execute(core::leave);
    try {
      Thread.sleep(400);
    } catch (final InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }
}
