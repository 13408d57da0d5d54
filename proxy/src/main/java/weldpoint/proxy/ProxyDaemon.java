package weldpoint.proxy;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import weldpoint.affinity.AffinityTable;
import weldpoint.common.Daemon;
import weldpoint.common.RandomIds;
import weldpoint.common.SerialExecutor;
import weldpoint.common.Settings;
import weldpoint.metrics.Metric;
import weldpoint.metrics.MetricsServer;
import weldpoint.routing.RoutingTable;
import weldpoint.transport.CacheMessages;
import weldpoint.transport.Connection;
import weldpoint.transport.KeyMessages;
import weldpoint.transport.Message;
import weldpoint.transport.OwnershipMessages.Assignment;
import weldpoint.transport.PermitMessages;
import weldpoint.transport.PlacementMessages;
import weldpoint.transport.Protocol;
import weldpoint.transport.RecordingMessages;
import weldpoint.transport.RegionMessages;
import weldpoint.transport.RegistryMessages;
import weldpoint.transport.Serializer;
import weldpoint.transport.Transport;
import weldpoint.transport.TrialMessages;
import weldpoint.trial.TrialTracker;
import weldpoint.upstream.UpstreamPool;

/** The proxy as a process: traffic on one thread, control state on another. */
public final class ProxyDaemon implements Daemon {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final long TICK_MILLIS = 100;
  private static final long REPORT_MILLIS = 1000;
  private static final long SWEEP_MILLIS = 250;
  private static final int MOST_HEADER = 65_536;
  private static final long LINGER_MILLIS = 2300;
  private static final int CALM_ROUNDS = 5;
  private static final long ROUND_MILLIS = 50;
  private static final long TIE_MILLIS = 50;

  private final Settings settings;
  private final SerialExecutor executor = new SerialExecutor("switchboard");
  private final EventLoopGroup loop = new NioEventLoopGroup(1);
  private final Transport trunk;
  private final ProxyContext proxyContext;
  private final RegistryClient registry;
  private final Set<ClientConnection> sessions = new HashSet<>();
  private final RegistryStream stream;
  private volatile Channel doors;
  private RegionLeaderService chief;
  private final long incarnation;

  /** A proxy for these settings; nothing runs yet. */
  public ProxyDaemon(final Settings settings) {
    this.settings = settings;
    this.incarnation = RandomIds.next();
    this.trunk =
        new Transport(
            loop,
            new Protocol.Hello(
                Serializer.PROTOCOL, "switchboard", settings.address(), incarnation));
    this.proxyContext =
        new ProxyContext(
            loop,
            settings,
            new Random(incarnation),
            new TrialTracker(settings.address(), incarnation));
    this.proxyContext.trials.urgentReportListener(() -> report(false));
    this.stream =
        new RegistryStream(
            trunk,
            executor,
            settings,
            () -> {
              if (proxyContext().permits != null) {
                loop.execute(() -> sweepAsks(true));
              }
            });
    final RegistryMessages.DaemonEntry self =
        new RegistryMessages.DaemonEntry(
            settings.address(),
            settings.requiredAddress("listen.traffic").toString(),
            settings.site(),
            settings.region(),
            incarnation,
            false,
            0);
    this.registry =
        new RegistryClient(
            self,
            settings.seeds(),
            new Random(incarnation + 1),
            new RegistryClient.Environment() {
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
                  final RoutingTable routingTable,
                  final Map<RegistryMessages.Registration, Boolean> changes,
                  final Set<String> evacuated,
                  final Set<String> suspects,
                  final int switchboards) {
                final List<UpstreamPool.Change> list = new ArrayList<>();
                changes.forEach(
                    (registration, open) -> list.add(new UpstreamPool.Change(registration, open)));
                loop.execute(
                    () ->
                        proxyContext.take(
                            new ControlUpdate(
                                routingTable, list, evacuated, suspects, switchboards, null, -1)));
                if (routingTable != null || evacuated != null) {
                  inForce();
                }
              }

              @Override
              public void trials(final List<TrialMessages.Trial> trials, final long mark) {
                loop.execute(
                    () ->
                        proxyContext.take(
                            new ControlUpdate(null, List.of(), null, null, 0, trials, mark)));
                inForce();
              }

              @Override
              public void neighbours(final List<String> addresses) {
                loop.execute(
                    () -> proxyContext.upstreamPool.neighbours(addresses, ProxyContext.now()));
              }

              @Override
              public void placements(final PlacementMessages.Placements placements) {
                loop.execute(
                    () -> {
                      ties();
                      proxyContext.affinity.updatePlacements(placements, ProxyContext.now());
                    });
              }

              @Override
              public void assignments(final List<Assignment> assignments) {
                loop.execute(() -> proxyContext.owners.take(assignments));
              }

              @Override
              public void leased(final PlacementMessages.LeaseGrant grant) {
                loop.execute(
                    () -> {
                      if (proxyContext.affinity != null) {
                        proxyContext.affinity.onLeaseGrant(grant, ProxyContext.now());
                      }
                    });
              }

              @Override
              public void recording(final RecordingMessages.RecordingState state) {
                loop.execute(() -> record(state));
              }

              @Override
              public void electorate(final RegionMessages.Electorate electorate) {
                if (chief != null) {
                  chief.electorate(electorate);
                }
              }

              @Override
              public void reached(
                  final long ageMillis, final int boards, final List<String> announcers) {
                if (chief != null) {
                  chief.election(ageMillis, ProxyContext.now());
                }
                if (proxyContext.recordings != null) {
                  loop.execute(
                      () -> proxyContext.recordings.announcers(announcers, ProxyContext.now()));
                }
              }

              @Override
              public void claimed(final KeyMessages.ClaimResponse answer) {
                loop.execute(() -> proxyContext.keys.answered(answer, ProxyContext.now()));
              }

              @Override
              public void permitted(final PermitMessages.PermitResponse answer) {
                loop.execute(() -> proxyContext.permits.answered(answer));
              }

              @Override
              public void coreUnsettled(final long ageMillis) {
                loop.execute(() -> proxyContext.proof.coreUnsettled(ageMillis, ProxyContext.now()));
              }

              @Override
              public void proved(final long provedAt) {
                loop.execute(() -> proxyContext.proof.renew(provedAt, ProxyContext.now()));
              }

              @Override
              public void admitted() {
                loop.execute(() -> report(true));
              }
            });
    stream.registry(registry);
    proxyContext.uponTies = this::ties;
    proxyContext.uponPlan = this::openFront;
  }

  /** Notes what is in force, once the traffic thread has taken what was handed to it. */
  private void inForce() {
    final long version = registry.version();
    final long mark = registry.mark();
    loop.execute(() -> executor.execute(() -> registry.inForce(version, mark, ProxyContext.now())));
  }

  ProxyContext proxyContext() {
    return proxyContext;
  }

  @Override
  public void start() throws InterruptedException {
    final Settings.Address readiness = settings.requiredAddress("listen.readiness");
    if (settings.regionLeaderEnabled()) {
      chief = new RegionLeaderService(settings, trunk, executor, loop, proxyContext, incarnation);
    }
    if (!settings.firstStart()) {
      proxyContext.upstreamPool.restarted(ProxyContext.now());
    }
    permits();
    keys();
    if (settings.content()) {
      content();
    }
    if (settings.metricsPort() > 0) {
      MetricsServer.serve(
          loop,
          settings.address(),
          settings.metricsPort(),
          () -> CompletableFuture.completedFuture(figures()));
    }
    executor.execute(() -> registry.start(ProxyContext.now()));
    new ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(final SocketChannel channel) {
                channel.pipeline().addLast(new HttpServerCodec(), new Readiness());
              }
            })
        .bind(readiness.host(), readiness.port())
        .sync();
    loop.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    loop.scheduleAtFixedRate(
        () -> report(false), REPORT_MILLIS, REPORT_MILLIS, TimeUnit.MILLISECONDS);
    loop.scheduleAtFixedRate(
        () -> proxyContext.owners.reports().forEach(stream::send),
        REPORT_MILLIS,
        REPORT_MILLIS,
        TimeUnit.MILLISECONDS);
    loop.scheduleAtFixedRate(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
    loop.scheduleAtFixedRate(
        () ->
            LOGGER.atInfo().log(
                "counters: served %s refused %s failed %s repeated %s active %s upstreams %s spec %s proof %s ms ago %s",
                proxyContext.served,
                proxyContext.refused,
                proxyContext.failed,
                proxyContext.repeated,
                proxyContext.open.count(),
                proxyContext.upstreamPool.count()
                    + (proxyContext.affinity == null
                        ? ""
                        : " " + proxyContext.affinity.counters(ProxyContext.now()))
                    + (chief == null ? "" : " " + chief.counters())
                    + proxyContext.keys.counters(),
                proxyContext.routingTable == null
                    ? "none"
                    : Long.toHexString(proxyContext.routingTable.version()),
                proxyContext.proof.ageMillis(ProxyContext.now()),
                trunk.trafficCounters()),
        settings.countersMillis(),
        settings.countersMillis(),
        TimeUnit.MILLISECONDS);
  }

  /** Takes to tying callers to nodes. */
  private void ties() {
    if (proxyContext.affinity == null) {
      proxyContext.affinity =
          new AffinityTable(
              settings.address(), incarnation, settings.affinityLeaseMillis(), stream::send);
      loop.scheduleAtFixedRate(
          () -> proxyContext.affinity.tick(ProxyContext.now()),
          TIE_MILLIS,
          TIE_MILLIS,
          TimeUnit.MILLISECONDS);
    }
  }

  private void record(final RecordingMessages.RecordingState state) {
    if (state.on && proxyContext.recorder == null) {
      proxyContext.recorder =
          new Recorder(settings.address(), settings.site(), settings.region(), incarnation);
      loop.scheduleAtFixedRate(
          () -> {
            proxyContext.recorder.flush(ProxyContext.now(), stream::send);
          },
          REPORT_MILLIS,
          REPORT_MILLIS,
          TimeUnit.MILLISECONDS);
    }
    if (proxyContext.recorder != null) {
      proxyContext.recorder.state(state);
    }
  }

  private List<Metric> figures() {
    final String help = "Requests by how they ended.";
    final List<Metric> figures = new ArrayList<>();
    figures.add(
        Metric.counter("weldpoint_requests", help, proxyContext.served).with("result", "served"));
    figures.add(
        Metric.counter("weldpoint_requests", help, proxyContext.refused).with("result", "refused"));
    figures.add(
        Metric.counter("weldpoint_requests", help, proxyContext.failed).with("result", "failed"));
    figures.add(
        Metric.counter(
            "weldpoint_further_sends", "Sends beyond a request's first.", proxyContext.repeated));
    figures.add(Metric.gauge("weldpoint_active", "Requests under way.", proxyContext.open.count()));
    figures.add(
        Metric.gauge(
            "weldpoint_unwritten_answer_bytes",
            "Bytes of answers that clients have not taken yet.",
            proxyContext.open.unwrittenBytes()));
    figures.add(
        Metric.counter(
            "weldpoint_registry_moves",
            "Times that another registry was dialled.",
            registry.moves()));
    figures.add(
        Metric.counter(
            "weldpoint_key_waits",
            "Requests that waited for their key's holder.",
            proxyContext.owners.waitedCount()));
    figures.add(
        Metric.counter(
            "weldpoint_key_turned_away",
            "Requests that an upstream turned away, since it did not hold the key.",
            proxyContext.owners.turnedAwayCount()));
    figures.addAll(proxyContext.proof.figures(ProxyContext.now()));
    figures.addAll(proxyContext.refusals.figures());
    figures.addAll(proxyContext.tenantCounts.figures());
    figures.addAll(proxyContext.permits.figures());
    figures.addAll(proxyContext.keys.figures());
    return figures;
  }

  /** Takes to asking for permits: limits hold wherever a configuration has them. */
  private void permits() {
    proxyContext.permits = new PermitPool(stream::send);
  }

  /** Takes to claiming idempotency keys. */
  private void keys() throws InterruptedException {
    final OutcomeClient lines = new OutcomeClient(trunk, settings, loop, proxyContext);
    proxyContext.keyHeaders = settings.keyHeaders();
    proxyContext.keys =
        new IdempotentRequests(
            settings.address(),
            incarnation,
            settings.keyWindowMillis(),
            new IdempotentRequests.Environment() {
              @Override
              public boolean registry(final Message message) {
                return stream.send(message);
              }

              @Override
              public void outcome(
                  final KeyMessages.Claim holder,
                  final long fingerprint,
                  final long waitMillis,
                  final java.util.function.Consumer<KeyMessages.OutcomeResponse> hears) {
                lines.ask(holder, fingerprint, waitMillis, hears);
              }

              @Override
              public void later(final Runnable task, final long millis) {
                loop.schedule(task, millis, TimeUnit.MILLISECONDS);
              }
            });
    lines.serve();
  }

  private void content() {
    final weldpoint.transport.PeerConnections connections =
        new weldpoint.transport.PeerConnections(
            trunk,
            settings.transportPort(2),
            to ->
                new Transport.Listener() {
                  @Override
                  public void messageReceived(final Connection connection, final Message message) {
                    if (message instanceof CacheMessages.CacheReadResponse) {
                      proxyContext.recordings.heard(
                          to, (CacheMessages.CacheReadResponse) message, ProxyContext.now());
                    }
                  }

                  @Override
                  public void closed(final Connection connection) {
                    proxyContext.recordings.closed(to, ProxyContext.now());
                  }
                });
    proxyContext.recordings =
        new CacheClient(
            new CacheClient.Connections() {
              @Override
              public void keep(final List<String> addresses) {
                connections.keep(addresses);
              }

              @Override
              public boolean send(final String address, final Message message) {
                return connections.send(address, message);
              }

              @Override
              public long silentMillis(final String address) {
                return connections.silentMillis(address);
              }
            });
    loop.scheduleAtFixedRate(
        () -> proxyContext.recordings.sweep(ProxyContext.now()), 100, 100, TimeUnit.MILLISECONDS);
  }

  private void report(final boolean all) {
    final TrialMessages.TrialReport report = proxyContext.trials.createReport(all);
    if (report != null) {
      executor.execute(() -> stream.send(report));
    }
  }

  private void openFront() {
    final Settings.Address front = settings.requiredAddress("listen.traffic");
    final ServerBootstrap server = new ServerBootstrap();
    if (settings.transferBytes() > 0) {
      server.childOption(ChannelOption.SO_SNDBUF, settings.transferBytes());
    }
    server
        .group(loop)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .option(ChannelOption.SO_BACKLOG, 1024)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(final SocketChannel channel) {
                final ClientConnection session = new ClientConnection(proxyContext);
                sessions.add(session);
                channel.closeFuture().addListener(closed -> sessions.remove(session));
                final int most =
                    proxyContext.routingTable == null
                        ? MOST_HEADER
                        : proxyContext.routingTable.maxHeaderBytes();
                channel
                    .pipeline()
                    .addLast(
                        new ClientConnection.Decoder(most), new HttpResponseEncoder(), session);
              }
            })
        .bind(front.host(), front.port())
        .addListener(
            (ChannelFuture bound) -> {
              if (bound.isSuccess()) {
                doors = bound.channel();
              } else {
                LOGGER.atSevere().withCause(bound.cause()).log(
                    "the address %s cannot be listened at; free it or set listen.traffic to another",
                    front);
              }
            });
  }

  private void tick() {
    executor.execute(() -> registry.tick(ProxyContext.now()));
    sweepAsks(false);
  }

  /** Gives up what was asked of a registry, all of it or what has waited for too long. */
  private void sweepAsks(final boolean all) {
    proxyContext.permits.sweep(all, ProxyContext.now());
    proxyContext.keys.sweep(all, ProxyContext.now());
  }

  /** Closes connections that have rested for too long, and drops answers nobody takes. */
  void sweep() {
    final long now = ProxyContext.now();
    proxyContext.upstreamPool.sweep(now);
    for (final ClientConnection session : new ArrayList<>(sessions)) {
      session.sweep(now);
    }
  }

  private final class Readiness extends SimpleChannelInboundHandler<HttpRequest> {
    @Override
    protected void channelRead0(final ChannelHandlerContext context, final HttpRequest request) {
      final boolean ready = proxyContext.routingTable != null && !proxyContext.leaving;
      final DefaultFullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              request.uri().startsWith("/api/readiness")
                  ? ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE
                  : HttpResponseStatus.NOT_FOUND);
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
      if (HttpUtil.isKeepAlive(request)) {
        context.writeAndFlush(response);
      } else {
        response.headers().set(HttpHeaderNames.CONNECTION, "close");
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
      }
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
      context.close();
    }
  }

  @Override
  public void reload(final Settings news) {
    executor.execute(() -> registry.seeds(news.seeds()));
  }

  @Override
  public void stop() {
    final long began = ProxyContext.now();
    executor.execute(() -> registry.leave(ProxyContext.now()));
    loop.execute(() -> proxyContext.leaving = true);
    final long longest = Math.max(500, settings.graceMillis() - 700);
    try {
      Thread.sleep(Math.min(LINGER_MILLIS, longest));
      final Channel open = doors;
      if (open != null) {
        open.close();
      }
      int calm = 0;
      while (calm < CALM_ROUNDS && ProxyContext.now() - began < longest) {
        Thread.sleep(ROUND_MILLIS);
        calm = proxyContext.open.count() == 0 ? calm + 1 : 0;
      }
      while (!loop.submit(this::endIfIdle).get() && ProxyContext.now() - began < longest) {
        Thread.sleep(ROUND_MILLIS);
      }
    } catch (final InterruptedException ended) {
      Thread.currentThread().interrupt();
    } catch (final ExecutionException problem) {
      LOGGER.atWarning().withCause(problem).log("connections could not be closed in order");
    }
  }

  /** Closes all connections on which no request is open; false where one is. */
  private boolean endIfIdle() {
    boolean idle = true;
    for (final ClientConnection session : new ArrayList<>(sessions)) {
      idle &= session.endIfIdle();
    }
    return idle;
  }
}
