package weldpoint.statestore;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import weldpoint.audit.SegmentStore;
import weldpoint.common.Daemon;
import weldpoint.common.RandomIds;
import weldpoint.common.SerialExecutor;
import weldpoint.common.Settings;
import weldpoint.common.WeldpointException;
import weldpoint.transport.Connection;
import weldpoint.transport.Message;
import weldpoint.transport.PeerConnections;
import weldpoint.transport.Protocol;
import weldpoint.transport.Serializer;
import weldpoint.transport.StoreMessages;
import weldpoint.transport.Transport;
import weldpoint.wal.SegmentRing;
import weldpoint.wal.WriteAheadLog;

/**
 * The state store's process: the replica runs on one thread, the network on another, the disk log
 * on a third. The command line starts it.
 */
public final class StateStoreDaemon implements Daemon {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final int LOG_FILES = 3;
  private static final int INITIAL_FILE_BYTES = 1 << 20;
  private static final int MAX_FILE_BYTES = 1 << 25;
  private static final int MAX_VOTERS = 5;
  private static final long TICK_INTERVAL_MILLIS = 50;

  private final Settings settings;
  private final SerialExecutor executor = new SerialExecutor("frame");
  private final EventLoopGroup loop = new NioEventLoopGroup(1);
  private final StateStoreReplica replica;
  private final Transport transport;
  private final PeerConnections connections;
  private WriteAheadLog log;
  private long countersLoggedAt;

  /** A state store with these settings; {@link #start} starts it. */
  public StateStoreDaemon(final Settings settings) {
    this.settings = settings;
    final long owner = RandomIds.next();
    this.transport =
        new Transport(
            loop,
            new Protocol.Hello(Serializer.PROTOCOL_VERSION, "frame", settings.address(), owner));
    this.connections =
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
                        replica().receive(to, message, connection::send, now());
                      }

                      @Override
                      public void closed(final Connection connection) {
                        replica().connectionClosed(to, now());
                      }
                    }));
    this.replica =
        new StateStoreReplica(
            settings.address(),
            settings.site(),
            settings.region(),
            settings.voter(),
            MAX_VOTERS,
            settings.historyMillis(),
            owner,
            new Random(owner),
            settings.seeds(),
            new StateStoreReplica.Environment() {
              @Override
              public void send(final String address, final Message message) {
                connections.send(address, message);
              }

              @Override
              public void append(final byte[] record, final Runnable synced) {
                log.append(record, synced);
              }

              @Override
              public void peers(final List<String> addresses) {
                connections.updateAddresses(addresses);
              }

              @Override
              public long timeOfDay() {
                return System.currentTimeMillis();
              }
            });
  }

  private StateStoreReplica replica() {
    return replica;
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  @Override
  public void start() throws IOException, InterruptedException {
    if (settings.folder().isEmpty()) {
      throw new WeldpointException(
          WeldpointException.Kind.SETTING,
          "setting station.folder is empty; a state store needs a folder on a disk of its own");
    }
    final WriteAheadLog.Opened opened =
        WriteAheadLog.open(
            Path.of(settings.folder(), "frame"),
            "frame " + settings.address(),
            LOG_FILES,
            INITIAL_FILE_BYTES,
            MAX_FILE_BYTES,
            executor,
            replica::snapshot);
    final SegmentRing.Recovered found = opened.recovered();
    if (found.lost()) {
      LOGGER.atSevere().log(
          "the disk of %s lost records that had been synced; its state is discarded and recovered from the other state stores",
          settings.name());
    }
    log = opened.log();
    final SegmentStore segments =
        new SegmentStore(
            Path.of(settings.folder(), "frame-history"), settings.auditBytes(), executor);
    replica.history(segments, settings.auditRetention(), settings.auditEntryBytes());
    executor.execute(
        () ->
            replica.start(
                found.lost() ? List.of() : found.records(),
                settings.firstStart() && found.blank() && !found.lost(),
                now()));
    log.start("tape");
    segments.start("history");
    transport.bind(
        settings.bindAddress(),
        settings.transportPort(1),
        Transport.dispatchOn(
            executor,
            new Transport.Listener() {
              @Override
              public void messageReceived(final Connection connection, final Message message) {
                if (message instanceof StoreMessages.StoreRequest) {
                  replica.call(
                      (StoreMessages.StoreRequest) message,
                      answer -> connection.send(answer.withClock(now())),
                      now());
                } else {
                  replica.receive(connection.peer().address, message, connection::send, now());
                }
              }
            }));
    loop.scheduleAtFixedRate(
        () -> executor.execute(this::tick),
        TICK_INTERVAL_MILLIS,
        TICK_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  private void tick() {
    final long now = now();
    replica.updateDiskState(log.currentWriteMillis(), log.failing(), now);
    replica.tick(now);
    if (now - countersLoggedAt >= settings.counterLogMillis()) {
      countersLoggedAt = now;
      LOGGER.atInfo().log(
          "counters: serving %s ballots %s commits %s syncs %s %s roster %s %s %s",
          replica.partitionsLed(),
          replica.ballotsStarted(),
          replica.valuesCommitted(),
          log.syncs(),
          log.counters(),
          replica.roster().number,
          replica.historyCounters(),
          transport.trafficCounters());
    }
  }

  @Override
  public void reload(final Settings newSettings) {
    executor.execute(() -> replica.seeds(newSettings.seeds()));
  }

  @Override
  public void stop() {
    final java.util.concurrent.CountDownLatch done = new java.util.concurrent.CountDownLatch(1);
    executor.execute(
        () ->
            replica.leave(() -> loop.schedule(done::countDown, 60, TimeUnit.MILLISECONDS), now()));
    try {
      done.await(GracefulLeave.TIMEOUT_MILLIS + 1000, TimeUnit.MILLISECONDS);
    } catch (final InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }
}
