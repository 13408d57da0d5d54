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

  private final Settings boot;
  private final SerialExecutor desk = new SerialExecutor("exchange");
  private final EventLoopGroup loop = new NioEventLoopGroup(1);
  private final Transport trunk;
  private final RegistryCore core;
  private final PeerConnections members;
  private final PeerConnections frames;
  private WriteAheadLog tape;
  private long countersAt;
  private final long incarnation;
  private Message unsealed;
  private Message sealed;

  /** A registry for these settings; nothing runs yet. */
  public RegistryDaemon(final Settings boot) {
    this.boot = boot;
    incarnation = RandomIds.next();
    this.trunk =
        new Transport(
            loop, new Protocol.Hello(Serializer.PROTOCOL, "exchange", boot.address(), incarnation));
    this.members =
        new PeerConnections(
            trunk,
            boot.trunkPort(0),
            to ->
                Transport.on(
                    desk,
                    new Transport.Listener() {
                      @Override
                      public void opened(final Connection line) {
                        core().memberOpened(to, now());
                      }

                      @Override
                      public void heard(final Connection line, final Message message) {
                        core().receive(to, message, line::send, now());
                      }

                      @Override
                      public void closed(final Connection line) {
                        core().memberClosed(to, now());
                      }
                    }));
    this.frames =
        new PeerConnections(
            trunk,
            boot.trunkPort(1),
            to ->
                Transport.on(
                    desk,
                    new Transport.Listener() {
                      @Override
                      public void heard(final Connection line, final Message message) {
                        if (message instanceof StoreMessages.StoreResponse) {
                          line.heardClock(((StoreMessages.StoreResponse) message).clock);
                          core().answered(to, (StoreMessages.StoreResponse) message, now());
                        }
                      }

                      @Override
                      public void closed(final Connection line) {
                        core().frameClosed(to, now());
                      }
                    }));
    this.core =
        new RegistryCore(
            boot.address(),
            boot.seeds(),
            boot.firstStart(),
            boot.beatMillis(),
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
                    line -> {
                      final Long clock = line.peerClock();
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
                tape.append(record, synced);
              }

              @Override
              public String disk() {
                return tape == null ? "" : tape.counters();
              }

              @Override
              public void peers(final List<String> addresses) {
                members.keep(addresses);
                final List<String> all = new ArrayList<>(addresses);
                all.add(boot.address());
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
    if (boot.folder().isEmpty()) {
      throw new WeldpointException(
          WeldpointException.Kind.SETTING,
          "setting station.folder has the value ''; an exchange needs a folder on a disk of its own");
    }
    final WriteAheadLog.Opened opened =
        WriteAheadLog.open(
            Path.of(boot.folder(), "exchange"),
            "exchange " + boot.address(),
            FILES,
            FILE_BYTES,
            MOST_FILE_BYTES,
            desk,
            core::view);
    final SegmentRing.Recovered found = opened.found();
    if (found.lost()) {
      LOGGER.atSevere().log(
          "the disk of %s lost records that had been synced; it counts as blank and is refetched from the other exchanges",
          boot.name());
    }
    tape = opened.tape();
    if (boot.chief()) {
      core.chiefs();
    }
    core.place(boot.site(), boot.region());
    core.placements(
        Affinity.setting("affinity.default", boot.affinityUsual()),
        incarnation,
        boot.affinityLeaseMillis(),
        boot.affinityBatchMillis());
    core.quotas(
        new weldpoint.ratelimit.QuotaAllocator(
            boot, boot.firstStart() && found.blank() && !found.lost(), now()));
    final GrantTimings times =
        GrantTimings.of(boot.ownershipHoldMillis(), boot.ownershipLateMillis());
    core.ownership(
        incarnation, times, new KeyGrantClient(loop, desk, times.holdMillis(), times.sendMillis()));
    desk.execute(() -> core.start(found.lost() ? List.of() : found.records(), now()));
    tape.start("tape");
    trunk.serve(
        boot.bindAddress(),
        boot.trunkPort(0),
        Transport.on(
            desk,
            new Transport.Listener() {
              @Override
              public void heard(final Connection line, final Message message) {
                if (message instanceof RegistryMessages.DaemonReport) {
                  core.boardState(
                      line,
                      ((RegistryMessages.DaemonReport) message).board,
                      Protocol.list(((RegistryMessages.DaemonReport) message).buckets),
                      now());
                } else if (message instanceof TrialMessages.TrialReport
                    && "switchboard".equals(line.peer().program)) {
                  core.trials().report((TrialMessages.TrialReport) message, now());
                } else if (message instanceof PlacementMessages.LeaseRequest
                    && "switchboard".equals(line.peer().program)) {
                  core.lease(line, (PlacementMessages.LeaseRequest) message, now());
                } else if (message instanceof RecordingMessages.RecordingBatch) {
                  core.reel((RecordingMessages.RecordingBatch) message, now());
                } else if (message instanceof KeyMessages.ClaimRequest
                    || message instanceof KeyMessages.ClaimRelease
                        && "switchboard".equals(line.peer().program)) {
                  core.key(message, line::send, now());
                } else if (message instanceof SlotReport
                    && "switchboard".equals(line.peer().program)) {
                  core.slotReport((SlotReport) message);
                } else if (message instanceof PermitMessages.PermitRequest
                    && !"exchange".equals(line.peer().program)) {
                  core.permit((PermitMessages.PermitRequest) message, line::send, now());
                } else {
                  core.receive(line.peer().address, message, line::send, now());
                }
              }

              @Override
              public void closed(final Connection line) {
                if (!"exchange".equals(line.peer().program)) {
                  core.streamClosed(line, line.peer().address, now());
                }
              }
            }));
    final ControlServer door = new ControlServer(boot, core, desk);
    door.serve(loop, boot.requiredAddress("listen.control"));
    final Settings.Address directory = boot.optionalAddress("listen.directory");
    if (directory != null && !directory.equals(boot.requiredAddress("listen.control"))) {
      door.serve(loop, directory);
    }
    if (boot.metricsPort() > 0) {
      MetricsServer.serve(
          loop,
          boot.address(),
          boot.metricsPort() + 1,
          () -> CompletableFuture.supplyAsync(() -> core.figures(now()), desk));
    }
    loop.scheduleWithFixedDelay(door::awake, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    loop.scheduleAtFixedRate(
        () -> desk.execute(this::tick), TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void tick() {
    final long now = now();
    core.tick(now);
    if (now - countersAt >= boot.countersMillis()) {
      countersAt = now;
      LOGGER.atInfo().log("counters: %s %s %s", core.counters(), tape.counters(), trunk.meter());
    }
  }

  @Override
  public void reload(final Settings news) {
    desk.execute(() -> core.seeds(news.seeds(), now()));
  }

  @Override
  public void stop() {
    desk.execute(core::leave);
    try {
      Thread.sleep(400);
    } catch (final InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }
}
