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
import weldpoint.metrics.Metric;
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
 * The registry as a process: it serves the control calls, keeps the membership of upstreams,
 * proxies and cache daemons, and updates proxies and caches over their streams. All state is in
 * {@link RegistryCore}, which, once started, is called only from the serial executor.
 */
public final class RegistryDaemon implements Daemon {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final int LOG_FILES = 3;
  private static final int LOG_FILE_BYTES = 1 << 19;
  private static final int MAX_LOG_FILE_BYTES = 1 << 24;
  private static final long TICK_MILLIS = 40;

  private final Settings settings;
  private final SerialExecutor executor = new SerialExecutor("exchange");
  private final EventLoopGroup loop = new NioEventLoopGroup(1);
  private final Transport transport;
  private final RegistryCore core;
  private final PeerConnections memberConnections;
  private final PeerConnections replicaConnections;
  private WriteAheadLog log;
  private long countersLoggedAt;
  private final long incarnation;
  private Message lastMessage;
  private Message lastSealedMessage;

  /** Creates a registry for these settings; nothing runs until it is started. */
  public RegistryDaemon(final Settings settings) {
    this.settings = settings;
    incarnation = RandomIds.next();
    this.transport =
        new Transport(
            loop,
            new Protocol.Hello(
                    Serializer.PROTOCOL_VERSION, "exchange", settings.address(), incarnation)
                .withRegion(settings.region()));
    this.memberConnections =
        new PeerConnections(
            transport,
            settings.transportPort(0),
            to ->
                Transport.dispatchOn(
                    executor,
                    new Transport.Listener() {
                      @Override
                      public void opened(final Connection connection) {
                        core().onMemberConnected(to, now());
                      }

                      @Override
                      public void messageReceived(
                          final Connection connection, final Message message) {
                        core().receive(to, message, connection::send, now());
                      }

                      @Override
                      public void closed(final Connection connection) {
                        core().onMemberDisconnected(to, now());
                      }
                    }));
    this.replicaConnections =
        new PeerConnections(
            transport,
            settings.transportPort(1),
            to ->
                Transport.dispatchOn(
                    executor,
                    new Transport.Listener() {
                      @Override
                      public void messageReceived(
                          final Connection connection, final Message message) {
                        if (message instanceof StoreMessages.StoreResponse) {
                          connection.updatePeerClock(
                              ((StoreMessages.StoreResponse) message).storeClockMillis);
                          core().onStoreResponse(to, (StoreMessages.StoreResponse) message, now());
                        }
                      }

                      @Override
                      public void closed(final Connection connection) {
                        core().onReplicaDisconnected(to, now());
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
              public boolean sendToMember(final String address, final Message message) {
                return memberConnections.send(address, message);
              }

              @Override
              public boolean sendToReplica(
                  final String address, final StoreMessages.StoreRequest call) {
                return replicaConnections.send(
                    address,
                    connection -> {
                      final Long clock = connection.peerClockMillis();
                      return call.stampedForSend(clock, now());
                    });
              }

              @Override
              public void sendToStream(final Object stream, final Message message) {
                if (message != lastMessage) {
                  lastMessage = message;
                  lastSealedMessage = Transport.encodeOnce(message);
                }
                ((Connection) stream).send(lastSealedMessage);
              }

              @Override
              public void append(final byte[] record, final Runnable synced) {
                log.append(record, synced);
              }

              @Override
              public String diskCounters() {
                return log == null ? "" : log.counters();
              }

              @Override
              public void updatePeers(final List<String> addresses) {
                memberConnections.updateAddresses(addresses);
                final List<String> all = new ArrayList<>(addresses);
                all.add(settings.address());
                replicaConnections.updateAddresses(all);
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
          "setting station.folder has the value ''; a registry needs a folder on a disk of its own");
    }
    final WriteAheadLog.Opened opened =
        WriteAheadLog.open(
            Path.of(settings.folder(), "exchange"),
            "exchange " + settings.address(),
            LOG_FILES,
            LOG_FILE_BYTES,
            MAX_LOG_FILE_BYTES,
            executor,
            core::snapshot);
    final SegmentRing.Recovered recovered = opened.recovered();
    if (recovered.lost()) {
      LOGGER.atSevere().log(
          "the disk of %s lost records that had been synced; it is treated as empty and its data is fetched again from the other registries",
          settings.name());
    }
    log = opened.log();
    if (settings.regionLeaderEnabled()) {
      core.enableElectorates();
    }
    core.setLocation(settings.site(), settings.region());
    core.enablePlacements(
        Affinity.parseSetting("affinity.default", settings.defaultAffinity()),
        incarnation,
        settings.affinityLeaseMillis(),
        settings.affinityBatchMillis());
    core.enableQuotas(
        new weldpoint.ratelimit.QuotaAllocator(
            settings, settings.firstStart() && recovered.blank() && !recovered.lost(), now()));
    final GrantTimings timings =
        GrantTimings.of(settings.ownershipHoldMillis(), settings.ownershipLateMillis());
    core.enableOwnership(
        incarnation,
        timings,
        new KeyGrantClient(loop, executor, timings.grantMillis(), timings.maxSendMillis()));
    executor.execute(() -> core.start(recovered.lost() ? List.of() : recovered.records(), now()));
    log.start("tape");
    transport.bind(
        settings.bindAddress(),
        settings.transportPort(0),
        Transport.dispatchOn(
            executor,
            new Transport.Listener() {
              @Override
              public void messageReceived(final Connection connection, final Message message) {
                if (message instanceof RegistryMessages.DaemonReport) {
                  core.onDaemonReport(
                      connection,
                      ((RegistryMessages.DaemonReport) message).entry,
                      Protocol.emptyIfNull(((RegistryMessages.DaemonReport) message).bucketDigests),
                      now());
                } else if (message instanceof TrialMessages.TrialReport
                    && "switchboard".equals(connection.peer().program)) {
                  core.trialService().report((TrialMessages.TrialReport) message, now());
                } else if (message instanceof PlacementMessages.LeaseRequest
                    && "switchboard".equals(connection.peer().program)) {
                  core.requestPlacementLease(
                      connection, (PlacementMessages.LeaseRequest) message, now());
                } else if (message instanceof RecordingMessages.RecordingBatch) {
                  core.addRecordingBatch((RecordingMessages.RecordingBatch) message, now());
                } else if (message instanceof KeyMessages.ClaimRequest
                    || (message instanceof KeyMessages.ClaimRelease
                            || message instanceof KeyMessages.OutcomeReport
                            || message instanceof KeyMessages.OutcomeLookup)
                        && "switchboard".equals(connection.peer().program)) {
                  core.onKeyMessage(message, connection::send, now());
                } else if (message instanceof SlotReport
                    && "switchboard".equals(connection.peer().program)) {
                  core.slotReport((SlotReport) message);
                } else if (message instanceof PermitMessages.PermitRequest
                    && !"exchange".equals(connection.peer().program)) {
                  core.requestPermits(
                      (PermitMessages.PermitRequest) message, connection::send, now());
                } else {
                  core.receive(connection.peer().address, message, connection::send, now());
                }
              }

              @Override
              public void closed(final Connection connection) {
                if (!"exchange".equals(connection.peer().program)) {
                  core.onStreamClosed(connection, connection.peer().address, now());
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
          () -> CompletableFuture.supplyAsync(() -> metrics(server), executor));
    }
    loop.scheduleWithFixedDelay(
        server::recordTick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    loop.scheduleAtFixedRate(
        () -> executor.execute(this::tick), TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  private List<Metric> metrics(final ControlServer server) {
    final List<Metric> metrics = new ArrayList<>(core.metrics(now()));
    metrics.addAll(server.metrics());
    return metrics;
  }

  private void tick() {
    final long now = now();
    core.tick(now);
    if (now - countersLoggedAt >= settings.counterLogMillis()) {
      countersLoggedAt = now;
      LOGGER.atInfo().log(
          "counters: %s %s %s", core.counters(), log.counters(), transport.trafficCounters());
    }
  }

  @Override
  public void reload(final Settings newSettings) {
    executor.execute(() -> core.updateSeeds(newSettings.seeds(), now()));
  }

  @Override
  public void stop() {
    executor.execute(core::leave);
    try {
      Thread.sleep(400);
    } catch (final InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
