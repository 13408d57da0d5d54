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

/** The store as a process: its core on one thread, its lines on another, its disk on a third. */
public final class StateStoreDaemon implements Daemon {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final int FILES = 3;
  private static final int FILE_BYTES = 1 << 20;
  private static final int MOST_FILE_BYTES = 1 << 25;
  private static final int MOST_VOTERS = 5;
  private static final long TICK_MILLIS = 50;

  private final Settings boot;
  private final SerialExecutor desk = new SerialExecutor("frame");
  private final EventLoopGroup loop = new NioEventLoopGroup(1);
  private final StateStoreReplica core;
  private final Transport trunk;
  private final PeerConnections lines;
  private WriteAheadLog tape;
  private long countersAt;

  /** A store for these settings; nothing runs yet. */
  public StateStoreDaemon(final Settings boot) {
    this.boot = boot;
    final long owner = RandomIds.next();
    this.trunk =
        new Transport(
            loop, new Protocol.Hello(Serializer.PROTOCOL, "frame", boot.address(), owner));
    this.lines =
        new PeerConnections(
            trunk,
            boot.trunkPort(1),
            to ->
                Transport.on(
                    desk,
                    new Transport.Listener() {
                      @Override
                      public void heard(final Connection line, final Message message) {
                        core().receive(to, message, line::send, now());
                      }

                      @Override
                      public void closed(final Connection line) {
                        core().lineClosed(to, now());
                      }
                    }));
    this.core =
        new StateStoreReplica(
            boot.address(),
            boot.site(),
            boot.region(),
            boot.voter(),
            MOST_VOTERS,
            boot.historyMillis(),
            owner,
            new Random(owner),
            boot.seeds(),
            new StateStoreReplica.Environment() {
              @Override
              public void send(final String address, final Message message) {
                lines.send(address, message);
              }

              @Override
              public void append(final byte[] record, final Runnable synced) {
                tape.append(record, synced);
              }

              @Override
              public void peers(final List<String> addresses) {
                lines.keep(addresses);
              }

              @Override
              public long timeOfDay() {
                return System.currentTimeMillis();
              }
            });
  }

  private StateStoreReplica core() {
    return core;
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  @Override
  public void start() throws IOException, InterruptedException {
    if (boot.folder().isEmpty()) {
      throw new WeldpointException(
          WeldpointException.Kind.SETTING,
          "setting station.folder has the value ''; a frame needs a folder on a disk of its own");
    }
    final WriteAheadLog.Opened opened =
        WriteAheadLog.open(
            Path.of(boot.folder(), "frame"),
            "frame " + boot.address(),
            FILES,
            FILE_BYTES,
            MOST_FILE_BYTES,
            desk,
            core::view);
    final SegmentRing.Recovered found = opened.found();
    if (found.lost()) {
      LOGGER.atSevere().log(
          "the disk of %s lost records that had been synced; it counts as blank and is refetched from the other frames",
          boot.name());
    }
    tape = opened.tape();
    final SegmentStore segments =
        new SegmentStore(Path.of(boot.folder(), "frame-history"), boot.auditBytes(), desk);
    core.history(segments, boot.auditRetention(), boot.auditEntryBytes());
    desk.execute(
        () ->
            core.start(
                found.lost() ? List.of() : found.records(),
                boot.firstStart() && found.blank() && !found.lost(),
                now()));
    tape.start("tape");
    segments.start("history");
    trunk.serve(
        boot.bindAddress(),
        boot.trunkPort(1),
        Transport.on(
            desk,
            new Transport.Listener() {
              @Override
              public void heard(final Connection line, final Message message) {
                if (message instanceof StoreMessages.StoreRequest) {
                  core.call(
                      (StoreMessages.StoreRequest) message,
                      answer -> line.send(answer.at(now())),
                      now());
                } else {
                  core.receive(line.peer().address, message, line::send, now());
                }
              }
            }));
    loop.scheduleAtFixedRate(
        () -> desk.execute(this::tick), TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void tick() {
    final long now = now();
    core.disk(tape.busyMillis(), tape.refusing(), now);
    core.tick(now);
    if (now - countersAt >= boot.countersMillis()) {
      countersAt = now;
      LOGGER.atInfo().log(
          "counters: serving %s ballots %s commits %s syncs %s %s roster %s %s %s",
          core.serving(),
          core.ballots(),
          core.commits(),
          tape.syncs(),
          tape.counters(),
          core.roster().number,
          core.historyCounters(),
          trunk.meter());
    }
  }

  @Override
  public void reload(final Settings news) {
    desk.execute(() -> core.seeds(news.seeds()));
  }

  @Override
  public void stop() {
    final java.util.concurrent.CountDownLatch done = new java.util.concurrent.CountDownLatch(1);
    desk.execute(
        () -> core.leave(() -> loop.schedule(done::countDown, 60, TimeUnit.MILLISECONDS), now()));
    try {
      done.await(GracefulLeave.MOST_MILLIS + 1000, TimeUnit.MILLISECONDS);
    } catch (final InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }
}
