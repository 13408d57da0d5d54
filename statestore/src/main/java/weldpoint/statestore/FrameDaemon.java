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
import weldpoint.common.Boot;
import weldpoint.common.Breakdown;
import weldpoint.common.Chance;
import weldpoint.common.Desk;
import weldpoint.common.Program;
import weldpoint.transport.Line;
import weldpoint.transport.Lines;
import weldpoint.transport.Message;
import weldpoint.transport.Protocol;
import weldpoint.transport.StoreCallMessages;
import weldpoint.transport.Trunk;
import weldpoint.transport.Wire;
import weldpoint.wal.Ring;
import weldpoint.wal.Tape;

/** The store as a process: its core on one thread, its lines on another, its disk on a third. */
public final class FrameDaemon implements Program {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final int FILES = 3;
  private static final int FILE_BYTES = 1 << 20;
  private static final int MOST_FILE_BYTES = 1 << 25;
  private static final int MOST_VOTERS = 5;
  private static final long TICK_MILLIS = 50;

  private final Boot boot;
  private final Desk desk = new Desk("frame");
  private final EventLoopGroup loop = new NioEventLoopGroup(1);
  private final FrameCore core;
  private final Trunk trunk;
  private final Lines lines;
  private Tape tape;
  private long countersAt;

  /** A store for these settings; nothing runs yet. */
  public FrameDaemon(final Boot boot) {
    this.boot = boot;
    final long owner = Chance.fresh();
    this.trunk = new Trunk(loop, new Protocol.Hello(Wire.PROTOCOL, "frame", boot.address(), owner));
    this.lines =
        new Lines(
            trunk,
            boot.trunkPort(1),
            to ->
                Trunk.on(
                    desk,
                    new Trunk.Ear() {
                      @Override
                      public void heard(final Line line, final Message message) {
                        core().receive(to, message, line::send, now());
                      }

                      @Override
                      public void closed(final Line line) {
                        core().lineClosed(to, now());
                      }
                    }));
    this.core =
        new FrameCore(
            boot.address(),
            boot.site(),
            boot.region(),
            boot.voter(),
            MOST_VOTERS,
            boot.historyMillis(),
            owner,
            new Random(owner),
            boot.seeds(),
            new FrameCore.Outlet() {
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

  private FrameCore core() {
    return core;
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  @Override
  public void start() throws IOException, InterruptedException {
    if (boot.folder().isEmpty()) {
      throw new Breakdown(
          Breakdown.Kind.SETTING,
          "setting station.folder has the value ''; a frame needs a folder on a disk of its own");
    }
    final Tape.Opened opened =
        Tape.open(
            Path.of(boot.folder(), "frame"),
            "frame " + boot.address(),
            FILES,
            FILE_BYTES,
            MOST_FILE_BYTES,
            desk,
            core::view);
    final Ring.Found found = opened.found();
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
        Trunk.on(
            desk,
            new Trunk.Ear() {
              @Override
              public void heard(final Line line, final Message message) {
                if (message instanceof StoreCallMessages.Call) {
                  core.call(
                      (StoreCallMessages.Call) message,
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
  public void reload(final Boot news) {
    desk.execute(() -> core.seeds(news.seeds()));
  }

  @Override
  public void stop() {
    final java.util.concurrent.CountDownLatch done = new java.util.concurrent.CountDownLatch(1);
    desk.execute(
        () -> core.leave(() -> loop.schedule(done::countDown, 60, TimeUnit.MILLISECONDS), now()));
    try {
      done.await(Departure.MOST_MILLIS + 1000, TimeUnit.MILLISECONDS);
    } catch (final InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }
}
