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

/** The proxy daemon: client traffic runs on one thread, control state on another. */
public final class ProxyDaemon implements Daemon {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final long TICK_MILLIS = 100;
  private static final long REPORT_MILLIS = 1000;
  private static final long SWEEP_MILLIS = 250;
  private static final int DEFAULT_MAX_HEADER_BYTES = 65_536;
  private static final long SHUTDOWN_LINGER_MILLIS = 2300;
  private static final int IDLE_ROUNDS = 5;
  private static final long IDLE_CHECK_MILLIS = 50;
  private static final long AFFINITY_TICK_MILLIS = 50;

  private final Settings settings;
  private final SerialExecutor executor = new SerialExecutor("switchboard");
  private final EventLoopGroup loop = new NioEventLoopGroup(1);
  private final Transport transport;
  private final ProxyContext proxyContext;
  private final RegistryClient registry;
  private final Set<ClientConnection> clientConnections = new HashSet<>();
  private final RegistryStream stream;
  private volatile Channel trafficChannel;
  private RegionLeaderService regionLeader;
  private final long incarnation;

  /** A proxy with these settings; nothing runs until {@link #start}. */
  public ProxyDaemon(final Settings settings) {
    this.settings = settings;
    this.incarnation = RandomIds.next();
    this.transport =
        new Transport(
            loop,
            new Protocol.Hello(
                Serializer.PROTOCOL_VERSION, "switchboard", settings.address(), incarnation));
    this.proxyContext =
        new ProxyContext(
            loop,
            settings,
            new Random(incarnation),
            new TrialTracker(settings.address(), incarnation));
    this.proxyContext.trials.urgentReportListener(() -> reportTrials(false));
    this.stream =
        new RegistryStream(
            transport,
            executor,
            settings,
            () -> {
              if (proxyContext().permitPool != null) {
                loop.execute(() -> expireRegistryRequests(true));
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
              public boolean dialParallel(final String address) {
                stream.dialParallel(address);
                return true;
              }

              @Override
              public void closeParallel() {
                stream.closeParallel();
              }

              @Override
              public void send(final Message message) {
                stream.send(message);
              }

              @Override
              public void controlUpdate(
                  final RoutingTable routingTable,
                  final Map<RegistryMessages.Registration, Boolean> changes,
                  final Set<String> evacuated,
                  final Set<String> suspects,
                  final int proxyCount) {
                final List<UpstreamPool.Change> list = new ArrayList<>();
                changes.forEach(
                    (registration, open) -> list.add(new UpstreamPool.Change(registration, open)));
                loop.execute(
                    () ->
                        proxyContext.apply(
                            new ControlUpdate(
                                routingTable, list, evacuated, suspects, proxyCount, null, -1)));
                if (routingTable != null || evacuated != null) {
                  reportInForce();
                }
              }

              @Override
              public void trialsChanged(
                  final List<TrialMessages.Trial> trials, final long version) {
                loop.execute(
                    () ->
                        proxyContext.apply(
                            new ControlUpdate(null, List.of(), null, null, 0, trials, version)));
                reportInForce();
              }

              @Override
              public void siteProxies(final List<String> addresses) {
                loop.execute(
                    () -> proxyContext.upstreamPool.setSiteProxies(addresses, ProxyContext.now()));
              }

              @Override
              public void placements(final PlacementMessages.Placements placements) {
                loop.execute(
                    () -> {
                      startAffinity();
                      proxyContext.affinity.updatePlacements(placements, ProxyContext.now());
                    });
              }

              @Override
              public void assignments(final List<Assignment> assignments) {
                loop.execute(() -> proxyContext.keyOwners.applyAssignments(assignments));
              }

              @Override
              public void leaseAnswered(final PlacementMessages.LeaseGrant grant) {
                loop.execute(
                    () -> {
                      if (proxyContext.affinity != null) {
                        proxyContext.affinity.onLeaseGrant(grant, ProxyContext.now());
                      }
                    });
              }

              @Override
              public void recording(final RecordingMessages.RecordingState state) {
                loop.execute(() -> updateRecording(state));
              }

              @Override
              public void electorate(final RegionMessages.Electorate electorate) {
                if (regionLeader != null) {
                  regionLeader.electorate(electorate);
                }
              }

              @Override
              public void registryStatus(
                  final long ageMillis, final int proxyCount, final List<String> cacheDaemons) {
                if (regionLeader != null) {
                  regionLeader.election(ageMillis, ProxyContext.now());
                }
                if (proxyContext.cacheClient != null) {
                  loop.execute(
                      () ->
                          proxyContext.cacheClient.updateDaemons(cacheDaemons, ProxyContext.now()));
                }
              }

              @Override
              public void claimAnswered(final KeyMessages.ClaimResponse answer) {
                loop.execute(
                    () ->
                        proxyContext.idempotentRequests.claimAnswered(answer, ProxyContext.now()));
              }

              @Override
              public void outcomeReplyReceived(final Message reply) {
                loop.execute(() -> proxyContext.idempotentRequests.outcomeReplyReceived(reply));
              }

              @Override
              public void permitAnswered(final PermitMessages.PermitResponse answer) {
                loop.execute(() -> proxyContext.permitPool.answered(answer));
              }

              @Override
              public void coreUnsettled(final long ageMillis) {
                loop.execute(
                    () -> proxyContext.controlProof.coreUnsettled(ageMillis, ProxyContext.now()));
              }

              @Override
              public void proofRenewed(final long provedAt) {
                loop.execute(() -> proxyContext.controlProof.renew(provedAt, ProxyContext.now()));
              }

              @Override
              public void firstViewReceived() {
                loop.execute(() -> reportTrials(true));
              }
            });
    stream.registryClient(registry);
    proxyContext.onAffinityNeeded = this::startAffinity;
    proxyContext.onFirstConfiguration = this::openTrafficListener;
  }

  /** Reports the control state in force, once the traffic thread has applied it. */
  private void reportInForce() {
    final long version = registry.version();
    final long stateVersion = registry.stateVersion();
    loop.execute(
        () ->
            executor.execute(
                () -> registry.reportInForce(version, stateVersion, ProxyContext.now())));
  }

  ProxyContext proxyContext() {
    return proxyContext;
  }

  @Override
  public void start() throws InterruptedException {
    final Settings.Address readiness = settings.requiredAddress("listen.readiness");
    if (settings.regionLeaderEnabled()) {
      regionLeader =
          new RegionLeaderService(settings, transport, executor, loop, proxyContext, incarnation);
    }
    if (!settings.firstStart()) {
      proxyContext.upstreamPool.setRestartedAt(ProxyContext.now());
    }
    startPermitPool();
    startIdempotency();
    if (settings.contentDelivery()) {
      startCacheClient();
    }
    if (settings.metricsPort() > 0) {
      MetricsServer.serve(
          loop,
          settings.address(),
          settings.metricsPort(),
          () -> CompletableFuture.completedFuture(metrics()));
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
                channel.pipeline().addLast(new HttpServerCodec(), new ReadinessHandler());
              }
            })
        .bind(readiness.host(), readiness.port())
        .sync();
    loop.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    loop.scheduleAtFixedRate(
        () -> reportTrials(false), REPORT_MILLIS, REPORT_MILLIS, TimeUnit.MILLISECONDS);
    loop.scheduleAtFixedRate(
        () -> proxyContext.keyOwners.drainReports().forEach(stream::send),
        REPORT_MILLIS,
        REPORT_MILLIS,
        TimeUnit.MILLISECONDS);
    loop.scheduleAtFixedRate(
        this::checkTimeouts, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
    loop.scheduleAtFixedRate(
        () ->
            LOGGER.atInfo().log(
                "counters: served %s refused %s failed %s retries %s active %s upstreams %s configuration %s freshness proof %s ms ago %s",
                proxyContext.served,
                proxyContext.refused,
                proxyContext.failed,
                proxyContext.retries,
                proxyContext.openRequests.count(),
                proxyContext.upstreamPool.size()
                    + (proxyContext.affinity == null
                        ? ""
                        : " " + proxyContext.affinity.counters(ProxyContext.now()))
                    + (regionLeader == null ? "" : " " + regionLeader.counters())
                    + proxyContext.idempotentRequests.counters(),
                proxyContext.routingTable == null
                    ? "none"
                    : Long.toHexString(proxyContext.routingTable.version()),
                proxyContext.controlProof.ageMillis(ProxyContext.now()),
                transport.trafficCounters()),
        settings.counterLogMillis(),
        settings.counterLogMillis(),
        TimeUnit.MILLISECONDS);
  }

  /** Starts caller affinity if it has not been started. */
  private void startAffinity() {
    if (proxyContext.affinity == null) {
      proxyContext.affinity =
          new AffinityTable(
              settings.address(), incarnation, settings.affinityLeaseMillis(), stream::send);
      loop.scheduleAtFixedRate(
          () -> proxyContext.affinity.tick(ProxyContext.now()),
          AFFINITY_TICK_MILLIS,
          AFFINITY_TICK_MILLIS,
          TimeUnit.MILLISECONDS);
    }
  }

  private void updateRecording(final RecordingMessages.RecordingState state) {
    if (state.enabled && proxyContext.recorder == null) {
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
      proxyContext.recorder.applyState(state);
    }
  }

  private List<Metric> metrics() {
    final String help = "Requests by how they ended.";
    final List<Metric> metrics = new ArrayList<>();
    metrics.add(
        Metric.counter("weldpoint_requests", help, proxyContext.served)
            .withLabel("result", "served"));
    metrics.add(
        Metric.counter("weldpoint_requests", help, proxyContext.refused)
            .withLabel("result", "refused"));
    metrics.add(
        Metric.counter("weldpoint_requests", help, proxyContext.failed)
            .withLabel("result", "failed"));
    metrics.add(
        Metric.counter(
            "weldpoint_further_sends", "Sends beyond a request's first.", proxyContext.retries));
    metrics.add(
        Metric.gauge("weldpoint_active", "Requests under way.", proxyContext.openRequests.count()));
    metrics.add(
        Metric.gauge(
            "weldpoint_unwritten_answer_bytes",
            "Bytes of answers that clients have not taken yet.",
            proxyContext.openRequests.unwrittenBytes()));
    metrics.add(
        Metric.counter(
            "weldpoint_registry_moves",
            "Times that another registry was dialled.",
            registry.moves()));
    metrics.add(
        Metric.counter(
            "weldpoint_key_waits",
            "Requests that waited for their key's holder.",
            proxyContext.keyOwners.waitCount()));
    metrics.add(
        Metric.counter(
            "weldpoint_key_turned_away",
            "Requests that an upstream turned away, since it did not hold the key.",
            proxyContext.keyOwners.rejectionCount()));
    metrics.addAll(proxyContext.controlProof.metrics(ProxyContext.now()));
    metrics.addAll(proxyContext.refusalCounts.metrics());
    metrics.addAll(proxyContext.tenantCounts.metrics());
    metrics.addAll(proxyContext.permitPool.metrics());
    metrics.addAll(proxyContext.idempotentRequests.metrics());
    metrics.addAll(proxyContext.upstreamPool.metrics());
    return metrics;
  }

  /** Sets up requests for permits: rate limits apply wherever a configuration has them. */
  private void startPermitPool() {
    proxyContext.permitPool = new PermitPool(stream::send);
  }

  /** Sets up idempotency keys. */
  private void startIdempotency() throws InterruptedException {
    final OutcomeClient outcomeClient = new OutcomeClient(transport, settings, loop, proxyContext);
    proxyContext.idempotentRequests =
        new IdempotentRequests(
            settings.address(),
            incarnation,
            settings.keyWindowMillis(),
            new IdempotentRequests.Environment() {
              @Override
              public boolean sendToRegistry(final Message message) {
                return stream.send(message);
              }

              @Override
              public boolean sendToRegistryWithin(
                  final Message message, final List<String> regions) {
                return stream.sendWithin(message, regions);
              }

              @Override
              public void queryOutcome(
                  final KeyMessages.Claim holder,
                  final long fingerprint,
                  final long waitMillis,
                  final java.util.function.Consumer<KeyMessages.OutcomeResponse> callback) {
                outcomeClient.query(holder, fingerprint, waitMillis, callback);
              }

              @Override
              public void schedule(final Runnable task, final long millis) {
                loop.schedule(task, millis, TimeUnit.MILLISECONDS);
              }
            });
    outcomeClient.listen();
  }

  private void startCacheClient() {
    final weldpoint.transport.PeerConnections connections =
        new weldpoint.transport.PeerConnections(
            transport,
            settings.transportPort(2),
            to ->
                new Transport.Listener() {
                  @Override
                  public void messageReceived(final Connection connection, final Message message) {
                    if (message instanceof CacheMessages.CacheReadResponse) {
                      proxyContext.cacheClient.responseReceived(
                          to, (CacheMessages.CacheReadResponse) message, ProxyContext.now());
                    }
                  }

                  @Override
                  public void closed(final Connection connection) {
                    proxyContext.cacheClient.closed(to, ProxyContext.now());
                  }
                });
    proxyContext.cacheClient =
        new CacheClient(
            new CacheClient.Connections() {
              @Override
              public void keep(final List<String> addresses) {
                connections.updateAddresses(addresses);
              }

              @Override
              public boolean send(final String address, final Message message) {
                return connections.send(address, message);
              }

              @Override
              public long silentMillis(final String address) {
                return connections.millisSinceReceived(address);
              }
            });
    loop.scheduleAtFixedRate(
        () -> proxyContext.cacheClient.checkTimeouts(ProxyContext.now()),
        100,
        100,
        TimeUnit.MILLISECONDS);
  }

  private void reportTrials(final boolean all) {
    final TrialMessages.TrialReport report = proxyContext.trials.createReport(all);
    if (report != null) {
      executor.execute(() -> stream.send(report));
    }
  }

  private void openTrafficListener() {
    final Settings.Address trafficAddress = settings.requiredAddress("listen.traffic");
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
                final ClientConnection clientConnection = new ClientConnection(proxyContext);
                clientConnections.add(clientConnection);
                channel
                    .closeFuture()
                    .addListener(closed -> clientConnections.remove(clientConnection));
                final int maxHeaderBytes =
                    proxyContext.routingTable == null
                        ? DEFAULT_MAX_HEADER_BYTES
                        : proxyContext.routingTable.maxHeaderBytes();
                channel
                    .pipeline()
                    .addLast(
                        new ClientConnection.Decoder(maxHeaderBytes),
                        new HttpResponseEncoder(),
                        clientConnection);
              }
            })
        .bind(trafficAddress.host(), trafficAddress.port())
        .addListener(
            (ChannelFuture bound) -> {
              if (bound.isSuccess()) {
                trafficChannel = bound.channel();
              } else {
                LOGGER.atSevere().withCause(bound.cause()).log(
                    "Cannot listen on address %s; free it or change the setting listen.traffic",
                    trafficAddress);
              }
            });
  }

  private void tick() {
    executor.execute(() -> registry.tick(ProxyContext.now()));
    expireRegistryRequests(false);
  }

  /** Gives up requests to a registry: all of them, or those that have waited for too long. */
  private void expireRegistryRequests(final boolean all) {
    proxyContext.permitPool.expire(all, ProxyContext.now());
    proxyContext.idempotentRequests.expire(all, ProxyContext.now());
  }

  /**
   * Closes connections that have been idle for too long, and drops responses that clients do not
   * read.
   */
  void checkTimeouts() {
    final long now = ProxyContext.now();
    proxyContext.upstreamPool.closeExpiredConnections(now);
    for (final ClientConnection clientConnection : new ArrayList<>(clientConnections)) {
      clientConnection.checkTimeouts(now);
    }
  }

  private final class ReadinessHandler extends SimpleChannelInboundHandler<HttpRequest> {
    @Override
    protected void channelRead0(final ChannelHandlerContext context, final HttpRequest request) {
      final boolean ready = proxyContext.routingTable != null && !proxyContext.shuttingDown;
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
  public void reload(final Settings newSettings) {
    executor.execute(() -> registry.addSeeds(newSettings.seeds()));
  }

  @Override
  public void stop() {
    final long startedAt = ProxyContext.now();
    executor.execute(() -> registry.leave(ProxyContext.now()));
    loop.execute(() -> proxyContext.shuttingDown = true);
    final long maxMillis = Math.max(500, settings.graceMillis() - 700);
    try {
      Thread.sleep(Math.min(SHUTDOWN_LINGER_MILLIS, maxMillis));
      final Channel listener = trafficChannel;
      if (listener != null) {
        listener.close();
      }
      int idleRounds = 0;
      while (idleRounds < IDLE_ROUNDS && ProxyContext.now() - startedAt < maxMillis) {
        Thread.sleep(IDLE_CHECK_MILLIS);
        idleRounds = proxyContext.openRequests.count() == 0 ? idleRounds + 1 : 0;
      }
      while (!loop.submit(this::closeIdleConnections).get()
          && ProxyContext.now() - startedAt < maxMillis) {
        Thread.sleep(IDLE_CHECK_MILLIS);
      }
    } catch (final InterruptedException ended) {
      Thread.currentThread().interrupt();
    } catch (final ExecutionException problem) {
      LOGGER.atWarning().withCause(problem).log(
          "Client connections could not be closed in an orderly way; the shutdown continues");
    }
  }

  /** Closes all connections without an open request; false if one has an open request. */
  private boolean closeIdleConnections() {
    boolean idle = true;
    for (final ClientConnection clientConnection : new ArrayList<>(clientConnections)) {
      idle &= clientConnection.closeIfIdle();
    }
    return idle;
  }
}
