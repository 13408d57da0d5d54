package weldpoint.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import weldpoint.common.Settings;
import weldpoint.metrics.Metric;
import weldpoint.routing.Route;
import weldpoint.routing.RouteBinding;
import weldpoint.routing.RouteKind;
import weldpoint.routing.RoutingTable;

/**
 * The upstreams of all services, their connections, and the load balancing among them: subsetting,
 * random sampling by estimated latency, slow start, ejection of unhealthy upstreams and retry
 * budgets. Used by proxies, the cache daemon and the replay simulator; all calls are made on one
 * thread, the event loop that carries the traffic. Times are milliseconds of the steady clock.
 */
public final class UpstreamPool {
  /** Latency assumed for a service before its first successful response. */
  private static final double DEFAULT_LATENCY_MILLIS = 150;

  /** Upstreams drawn at random per tier; the one with the lowest estimated latency is taken. */
  private static final int SAMPLE_SIZE = 4;

  /** Up to this utilization an upstream is taken without considering more distant ones. */
  private static final double COMFORTABLE_UTILIZATION = 0.8;

  /**
   * Reported load of others per slot in this site above which distant upstreams are compared too.
   */
  private static final double OVERFLOW_UTILIZATION = 0.5;

  /** Factor on the estimated latency of an upstream whose responses are overdue. */
  private static final double OVERDUE_PENALTY = 3;

  /** Added to the remaining slow-start time that the registry states. */
  private static final long SLOW_START_MARGIN_MILLIS = 300;

  /** Factor on the load limit for requests that only the owner of their key may run. */
  private static final double KEY_OWNER_LOAD_FACTOR = 1.6;

  private final Bootstrap bootstrap;
  private final UnframedResponseCounts unframedResponses = new UnframedResponseCounts();
  private final String site;
  private final String region;
  private final Map<String, String> regions;
  private final Settings settings;
  private final Random random;
  private final Map<String, Upstream> upstreams = new HashMap<>();
  private final Map<String, List<Upstream>> services = new HashMap<>();
  private final Map<String, Upstream.SiteLoad> siteLoads = new HashMap<>();
  private final Map<String, RetryBudget> retryBudgets = new HashMap<>();
  private final Map<String, Double> typicalMillis = new HashMap<>();
  private final Map<String, SiteResponses> siteResponses = new HashMap<>();
  private Set<String> evacuatedSites = Set.of();
  private RoutingTable activeRoutingTable;
  private final SlowStartLimiter slowStart;
  private final UpstreamSubsets subsets;
  private double assignedShare;
  private Set<String> leaderSuspects = Set.of();
  private Consumer<String> unsolicitedResponses = id -> {};

  private long restartedAt = Long.MIN_VALUE / 2;

  /** Creates an empty pool that opens its connections on this event loop. */
  public UpstreamPool(final EventLoopGroup loop, final Settings settings, final Random random) {
    this.settings = settings;
    this.site = settings.site();
    this.region = settings.region();
    this.regions = settings.sites();
    this.random = random;
    this.subsets = new UpstreamSubsets(settings);
    this.slowStart =
        new SlowStartLimiter(
            settings.address(),
            settings.site(),
            regions.size(),
            settings.warmupOvershoot(),
            settings.warmupTolerance(),
            random);
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 400);
    if (settings.transferBytes() > 0) {
      bootstrap.option(ChannelOption.SO_RCVBUF, settings.transferBytes());
    }
  }

  /** Metrics of the responses of upstreams. */
  public List<Metric> metrics() {
    return unframedResponses.metrics();
  }

  /**
   * Applies changes of the registry. A changed upstream is added or, when deregistered, removed and
   * its idle connections closed.
   */
  public void applyChanges(final List<Change> changes, final long now) {
    if (!changes.isEmpty()) {
      subsets.markOutdated();
    }
    for (final Change change : changes) {
      final Upstream known = upstreams.get(change.registration.id);
      if (!change.registered) {
        if (known != null) {
          known.registered = false;
          upstreams.remove(known.id);
          services.get(known.service).remove(known);
          for (final UpstreamConnection connection : new ArrayList<>(known.idleConnections)) {
            connection.close();
          }
          known.idleConnections.clear();
        }
        continue;
      }
      final Upstream upstream;
      if (known == null) {
        upstream =
            new Upstream(
                change.registration, regions.getOrDefault(change.registration.site, ""), now);
        upstreams.put(upstream.id, upstream);
        upstream.siteLoad =
            siteLoads.computeIfAbsent(
                upstream.service + "@" + upstream.site, key -> new Upstream.SiteLoad());
        services.computeIfAbsent(upstream.service, name -> new ArrayList<>()).add(upstream);
      } else {
        upstream = known;
      }
      if (change.registration.warmupMillis > 0) {
        upstream.slowStartJittered &= upstream.inSlowStart(now);
        upstream.slowStartUntil = now + change.registration.warmupMillis + SLOW_START_MARGIN_MILLIS;
      } else if (known != null) {
        upstream.slowStartUntil = 0;
      }
    }
  }

  /**
   * Sets the configuration in force, against which every choice is checked, and every send that
   * waited for its connection.
   */
  public void setRoutingTable(final RoutingTable routingTable) {
    activeRoutingTable = routingTable;
  }

  /** A change in the registry: an upstream that is registered, or no longer. */
  public record Change(
      weldpoint.transport.RegistryMessages.Registration registration, boolean registered) {}

  /**
   * Sets the evacuated sites. Upstreams of a site that returns are in slow start until the registry
   * says otherwise, or for one heartbeat interval and a second.
   */
  public void setEvacuatedSites(final Set<String> sites, final long now) {
    for (final String returned : evacuatedSites) {
      if (!sites.contains(returned)) {
        for (final Upstream upstream : upstreams.values()) {
          if (upstream.site.equals(returned)) {
            upstream.slowStartJittered &= upstream.inSlowStart(now);
            upstream.slowStartUntil =
                Math.max(upstream.slowStartUntil, now + settings.heartbeatMillis() + 1000);
          }
        }
      }
    }
    evacuatedSites = new HashSet<>(sites);
  }

  /** Sets the upstreams, by id, whose heartbeats the registry is missing. */
  public void setSuspects(final Set<String> ids) {
    for (final Upstream upstream : upstreams.values()) {
      upstream.registrySuspect = ids.contains(upstream.id);
    }
  }

  /**
   * Sets the exact number of proxies that share retry budgets and slow-start rates, known from an
   * authoritative source.
   */
  public void setFleetSize(final int count) {
    slowStart.setFleetSize(count);
  }

  /** Takes the number of proxies that a registry counts; the largest recent number applies. */
  public void setFleetSize(final int count, final long now) {
    slowStart.reportFleetSize(count, now);
  }

  /**
   * Takes what the region leader assigns: this proxy's share of all budgets, 0 for an even share,
   * and the upstreams that it suspects to be down.
   */
  public void setAssignedShare(final double share, final Set<String> suspects) {
    assignedShare = share;
    leaderSuspects = suspects;
  }

  private double sharingProxies() {
    return assignedShare > 0 ? 1 / assignedShare : slowStart.fleetSize();
  }

  /** Returns the ids of upstreams that are ejected or have stopped responding. */
  public List<String> unhealthyUpstreams(final long now) {
    final List<String> list = new ArrayList<>();
    for (final Upstream upstream : upstreams.values()) {
      if (upstream.isUnhealthy(now, typicalMillis(upstream.service))) {
        list.add(upstream.id);
      }
    }
    return list;
  }

  /** Returns the retry budget of a service. */
  public RetryBudget retryBudget(final String service) {
    return retryBudgets.computeIfAbsent(
        service,
        name ->
            new RetryBudget(
                settings.retryRatio(),
                settings.retrySlack(),
                settings.retryWindowMillis(),
                restartedAt));
  }

  /**
   * States that this process may have run before and spent part of the same retry budgets; applies
   * to the budgets of services that are first used afterwards.
   */
  public void setRestartedAt(final long now) {
    restartedAt = now;
  }

  /** Takes one retry from a service's budget, if it allows one. */
  public boolean tryRetry(final String service, final long now) {
    return retryBudget(service).tryAcquire(sharingProxies(), now);
  }

  /**
   * Sets the listener for the attempt id of every response that arrives unasked, besides the one
   * expected.
   */
  public void onUnsolicitedResponse(final Consumer<String> listener) {
    unsolicitedResponses = listener;
  }

  /** The result of choosing an upstream. */
  public enum Choice {
    /** An upstream was chosen. */
    CHOSEN,
    /** All upstreams that may be used are at their load limit. */
    FULL,
    /** No upstream may be used. */
    NONE,
    /** No upstream may be used, and some could be if home regions did not exclude them. */
    OUTSIDE_HOMES,
  }

  /**
   * Which upstreams are considered: first the own subset; then all, if the subset is full or
   * overdue; last even unhealthy ones.
   */
  private enum SearchScope {
    SUBSET,
    ALL,
    INCLUDING_UNHEALTHY
  }

  /** Returns the region of a site; empty if the site is unknown. */
  public String regionOf(final String siteName) {
    return regions.getOrDefault(siteName, "");
  }

  /** Sets the addresses of this site's proxies, in an order that is the same for all of them. */
  public void setSiteProxies(final List<String> addresses, final long now) {
    slowStart.setSiteProxies(addresses, now);
    subsets.setSiteProxies(addresses);
  }

  /** Returns the ids of the upstreams in this proxy's subset of a service. */
  List<String> subset(final String service) {
    subsets.update(services.values());
    final List<String> ids = new ArrayList<>();
    for (final Upstream upstream : services.getOrDefault(service, List.of())) {
      if (upstream.inSubset) {
        ids.add(upstream.id);
      }
    }
    return ids;
  }

  private Upstream chosen;

  /** Returns the upstream of the last choice; null if it failed. */
  public Upstream chosen() {
    return chosen;
  }

  /** Chooses an upstream for a request, other than those tried before. */
  public Choice choose(final RouteBinding binding, final List<Upstream> tried, final long now) {
    chosen = null;
    if (!binding.revalidate(activeRoutingTable)) {
      return Choice.NONE;
    }
    final RoutingTable.Service service = binding.service();
    final Route route = binding.route();
    subsets.update(services.values());
    final UpstreamSubsets.Tiers tiers = subsets.tiers(service.name());
    Upstream best = null;
    double bestCost = Double.MAX_VALUE;
    boolean anyCandidate = false;
    final Upstream.SiteLoad localLoad = siteLoads.get(service.name() + "@" + site);
    final boolean localCrowded =
        localLoad != null
            && route.kind != RouteKind.EGRESS
            && localLoad.loadPerSlot(now) > OVERFLOW_UTILIZATION;
    for (final SearchScope scope : SearchScope.values()) {
      if (scope == SearchScope.ALL && !tiers.subsetted) {
        continue;
      }
      if (best != null
          && (scope == SearchScope.INCLUDING_UNHEALTHY
              || best.estimatedLoad(now) + 1 <= best.capacity && !isOverdue(best, service, now))) {
        break;
      }
      for (int tier = 0; tier < 3; tier++) {
        final Upstream candidate =
            sample(
                scope == SearchScope.SUBSET ? tiers.subset.get(tier) : tiers.all.get(tier),
                binding,
                tried,
                scope,
                now);
        if (candidate == null) {
          continue;
        }
        anyCandidate = true;
        final double cost =
            candidate.estimatedLatencyMillis(now, typicalMillis(service.name()))
                    * (isOverdue(candidate, service, now) ? OVERDUE_PENALTY : 1)
                + (tier == 0
                    ? 0
                    : tier == 1
                        ? 3
                        : route.kind == RouteKind.EGRESS ? 2 * typicalMillis(service.name()) : 30);
        if (cost < bestCost) {
          best = candidate;
          bestCost = cost;
        }
        if (!localCrowded
            && best.estimatedLoad(now) + 1 <= best.capacity * COMFORTABLE_UTILIZATION
            && !isOverdue(best, service, now)) {
          break;
        }
      }
    }
    if (best == null) {
      return anyCandidate ? Choice.FULL : noneEligible(binding);
    }
    if (best.knownLoad(now)
        >= best.capacity * RetryPolicy.loadLimit(route, tenantPriority(binding))) {
      return Choice.FULL;
    }
    recordSlowStartSend(best, service, now);
    chosen = best;
    return Choice.CHOSEN;
  }

  /** Whether the upstream of the last choice has a free slot, so that a hedge does no harm. */
  public boolean chosenHasFreeSlot(final long now) {
    return chosen != null
        && chosen.estimatedLoad(now) + 1 <= chosen.capacity * COMFORTABLE_UTILIZATION;
  }

  /** Chooses this upstream or none, for a write bound to it by client affinity. */
  public Choice choosePinned(
      final RouteBinding binding, final String id, final long pauseMillis, final long now) {
    chosen = null;
    final Upstream upstream = upstreams.get(id);
    final Choice allowed = eligibility(upstream, binding);
    if (allowed != Choice.CHOSEN) {
      return allowed;
    }
    final RoutingTable.Service service = binding.service();
    affinityUsed = true;
    upstream.recordAffinityWrite(now, pauseMillis);
    if (!slowStartAdmits(upstream, service, now)
        || upstream.knownLoad(now)
            >= upstream.capacity
                * RetryPolicy.loadLimit(binding.route(), tenantPriority(binding))) {
      return Choice.FULL;
    }
    recordSlowStartSend(upstream, service, now);
    chosen = upstream;
    return Choice.CHOSEN;
  }

  /**
   * Chooses this upstream or none, for a request whose shard key it owns. No other upstream may run
   * the request, so the load limit is higher than where there are alternatives.
   */
  public Choice chooseKeyOwner(final RouteBinding binding, final String id, final long now) {
    chosen = null;
    final Upstream upstream = upstreams.get(id);
    final Choice allowed = eligibility(upstream, binding);
    if (allowed != Choice.CHOSEN) {
      return allowed;
    }
    final RoutingTable.Service service = binding.service();
    final double limit =
        upstream.capacity
            * RetryPolicy.loadLimit(binding.route(), tenantPriority(binding))
            * KEY_OWNER_LOAD_FACTOR;
    if (!slowStartAdmits(upstream, service, now) || upstream.knownLoad(now) >= limit) {
      return Choice.FULL;
    }
    recordSlowStartSend(upstream, service, now);
    chosen = upstream;
    return Choice.CHOSEN;
  }

  /** Whether this upstream may run a request and, if not, whether only home regions exclude it. */
  private Choice eligibility(final Upstream upstream, final RouteBinding binding) {
    if (upstream == null
        || !binding.revalidate(activeRoutingTable)
        || !upstream.service.equals(binding.service().name())
        || !isAvailable(upstream)) {
      return Choice.NONE;
    }
    return binding.allowsRegion(upstream.region) ? Choice.CHOSEN : Choice.OUTSIDE_HOMES;
  }

  /** Whether an upstream may run a request, regardless of its load. */
  private boolean isEligible(final Upstream upstream, final RouteBinding binding) {
    return isAvailable(upstream) && binding.allowsRegion(upstream.region);
  }

  private boolean isAvailable(final Upstream upstream) {
    return upstream.registered && !evacuatedSites.contains(upstream.site);
  }

  /**
   * Returns why no upstream may run a request: home regions, if one outside of them is available.
   */
  private Choice noneEligible(final RouteBinding binding) {
    boolean outsideHomes = false;
    for (final Upstream upstream : services.getOrDefault(binding.service().name(), List.of())) {
      if (!isAvailable(upstream)) {
        continue;
      }
      if (binding.allowsRegion(upstream.region)) {
        return Choice.NONE;
      }
      outsideHomes = true;
    }
    return outsideHomes ? Choice.OUTSIDE_HOMES : Choice.NONE;
  }

  private static int tenantPriority(final RouteBinding binding) {
    return binding.tenant() == null ? 0 : binding.tenant().priority();
  }

  private boolean reservedForAffinity(final Upstream upstream, final Route route, final long now) {
    if (!affinityUsed || !route.kind.repeatable()) {
      return false;
    }
    final int reservedSlots =
        upstream.reservedSlots(
            now, sharingProxies(), settings.affinityReserve(), typicalMillis(upstream.service));
    return reservedSlots > 0 && upstream.knownLoad(now) + 1 > upstream.capacity - reservedSlots;
  }

  private boolean affinityUsed;

  private boolean slowStartAdmits(
      final Upstream upstream, final RoutingTable.Service service, final long now) {
    return !upstream.inSlowStart(now)
        || service.warmupPerSecond() <= 0
        || slowStart.admits(upstream, service.warmupPerSecond(), assignedShare, now);
  }

  private void recordSlowStartSend(
      final Upstream upstream, final RoutingTable.Service service, final long now) {
    if (upstream.inSlowStart(now) && service.warmupPerSecond() > 0) {
      slowStart.recordSent(upstream, service.warmupPerSecond(), assignedShare, now);
    }
  }

  private double typicalMillis(final String service) {
    return typicalMillis.getOrDefault(service, DEFAULT_LATENCY_MILLIS);
  }

  private Upstream sample(
      final List<Upstream> candidates,
      final RouteBinding binding,
      final List<Upstream> tried,
      final SearchScope scope,
      final long now) {
    final RoutingTable.Service service = binding.service();
    final Route route = binding.route();
    final List<Upstream> eligible = new ArrayList<>();
    for (final Upstream upstream : candidates) {
      if (!isEligible(upstream, binding) || tried.contains(upstream)) {
        continue;
      }
      if (!slowStartAdmits(upstream, service, now) || reservedForAffinity(upstream, route, now)) {
        continue;
      }
      if (scope != SearchScope.INCLUDING_UNHEALTHY
          && (upstream.registrySuspect
              || leaderSuspects.contains(upstream.id)
              || upstream.isUnhealthy(now, typicalMillis(service.name())))) {
        continue;
      }
      eligible.add(upstream);
    }
    if (eligible.isEmpty()) {
      return null;
    }
    Upstream best = null;
    double bestCost = 0;
    for (int draw = 0; draw < Math.min(SAMPLE_SIZE, eligible.size()); draw++) {
      final int index = draw + random.nextInt(eligible.size() - draw);
      final Upstream candidate = eligible.get(index);
      eligible.set(index, eligible.get(draw));
      final double cost =
          candidate.estimatedLatencyMillis(now, typicalMillis(service.name()))
              * (isOverdue(candidate, service, now) ? OVERDUE_PENALTY : 1);
      if (best == null || cost < bestCost) {
        best = candidate;
        bestCost = cost;
      }
    }
    return best;
  }

  /**
   * Outstanding requests and responses of all upstreams of one site together: when a site fails,
   * all of its upstreams stop responding at once.
   */
  private static final class SiteResponses {
    private final ArrayDeque<long[]> outstanding = new ArrayDeque<>();
    private long lastResponseAt = Long.MIN_VALUE / 2;

    private boolean isOverdue(final long now, final double typicalMillis) {
      final long[] oldest = outstanding.peekFirst();
      return outstanding.size() > 1
          && lastResponseAt < oldest[0]
          && now - oldest[0] > Math.max(100, 0.9 * typicalMillis);
    }
  }

  private boolean isOverdue(
      final Upstream upstream, final RoutingTable.Service service, final long now) {
    return upstream.isOverdue(now, typicalMillis(service.name()))
        || siteResponses(upstream.site).isOverdue(now, typicalMillis(service.name()));
  }

  private SiteResponses siteResponses(final String siteName) {
    return siteResponses.computeIfAbsent(siteName, name -> new SiteResponses());
  }

  /** One attempt: a request sent to one upstream. */
  public final class Attempt {
    private final Upstream upstream;
    private final long startedAt;
    private final long[] token;
    private UpstreamConnection connection;
    private boolean ended;
    private boolean withdrawnBeforeSend;

    private Attempt(final Upstream upstream, final long startedAt) {
      this.upstream = upstream;
      this.startedAt = startedAt;
      this.token = new long[] {startedAt};
    }

    private void markEnded() {
      if (!ended) {
        ended = true;
        upstream.requestEnded(token);
        siteResponses(upstream.site).outstanding.remove(token);
      }
    }

    /** Whether it is still in progress. */
    public boolean isRunning() {
      return !ended;
    }

    /**
     * Whether it is in progress and none of its bytes were written: once cancelled, it certainly
     * never runs.
     */
    public boolean isUnwritten() {
      return !ended && connection == null;
    }

    /** Returns the upstream it was sent to. */
    public Upstream upstream() {
      return upstream;
    }

    /** Cancels it without notifying the listener. */
    public void cancel() {
      cancel(System.nanoTime() / 1_000_000);
    }

    /** Cancels it at this time, without notifying the listener. */
    public void cancel(final long now) {
      if (!ended) {
        upstream.requestAbandoned(startedAt, now);
        markEnded();
        if (connection != null) {
          connection.cancel();
        }
      }
    }
  }

  /** Counts a request as sent to an upstream, without sending anything. */
  public Attempt startAttempt(final Upstream upstream, final long now) {
    final Attempt attempt = new Attempt(upstream, now);
    upstream.requestSent(attempt.token);
    siteResponses(upstream.site).outstanding.addLast(attempt.token);
    return attempt;
  }

  /** Counts an attempt as completed with this status and records the result. */
  public void finishAttempt(
      final Attempt attempt,
      final UpstreamConnection.CompletionStatus completionStatus,
      final HttpResponse head,
      final long now) {
    attempt.markEnded();
    recordResult(attempt, completionStatus, head, now);
  }

  /** Sends a request that was never sent before; see the overload with earlier attempts. */
  public Attempt send(
      final Upstream upstream,
      final RouteBinding binding,
      final FullHttpRequest request,
      final String id,
      final long now,
      final long sendBy,
      final UpstreamConnection.CompletionListener listener) {
    return send(upstream, binding, request, id, List.of(), now, sendBy, listener);
  }

  /**
   * Sends a request to the chosen upstream and takes over its reference count. Nothing is sent if
   * there is no connection before {@code sendBy}, or if the upstream is no longer eligible once it
   * is connected. No connection is reused that carried one of the earlier attempts of this request:
   * a faulty upstream may respond twice, the second time in place of the next response on that
   * connection, and the echoed id names the request, not the attempt.
   */
  public Attempt send(
      final Upstream upstream,
      final RouteBinding binding,
      final FullHttpRequest request,
      final String id,
      final List<Attempt> earlierAttempts,
      final long now,
      final long sendBy,
      final UpstreamConnection.CompletionListener listener) {
    final Attempt attempt = startAttempt(upstream, now);
    final UpstreamConnection.CompletionListener completion =
        (completionStatus, head, body) -> {
          if (attempt.ended) {
            if (body != null) {
              body.release();
            }
            return;
          }
          finishAttempt(attempt, completionStatus, head, System.nanoTime() / 1_000_000);
          listener.completed(completionStatus, head, body);
        };
    final UpstreamConnection idle = takeIdle(upstream, earlierAttempts, now);
    if (idle != null) {
      attempt.connection = idle;
      idle.send(request, id, completion);
      return attempt;
    }
    connect(upstream, binding, attempt, request, id, sendBy, completion);
    return attempt;
  }

  /**
   * Takes the most recently used idle connection that carried none of these attempts; null if there
   * is none.
   */
  private static UpstreamConnection takeIdle(
      final Upstream upstream, final List<Attempt> earlierAttempts, final long now) {
    for (final Iterator<UpstreamConnection> connections = upstream.idleConnections.iterator();
        connections.hasNext(); ) {
      final UpstreamConnection connection = connections.next();
      if (!connection.isUsable(now)) {
        connections.remove();
        connection.close();
      } else if (!wasUsedBy(connection, earlierAttempts)) {
        connections.remove();
        return connection;
      }
    }
    return null;
  }

  private static boolean wasUsedBy(
      final UpstreamConnection connection, final List<Attempt> attempts) {
    for (final Attempt attempt : attempts) {
      if (attempt.connection == connection) {
        return true;
      }
    }
    return false;
  }

  private void connect(
      final Upstream upstream,
      final RouteBinding binding,
      final Attempt attempt,
      final FullHttpRequest request,
      final String id,
      final long sendBy,
      final UpstreamConnection.CompletionListener completion) {
    upstream.connecting++;
    final UpstreamConnection.Decoder decoder = new UpstreamConnection.Decoder();
    final UpstreamConnection connection =
        new UpstreamConnection(
            upstream,
            decoder,
            echoedId -> unsolicitedResponses.accept(echoedId),
            unframedResponses);
    final ChannelFuture future =
        bootstrap
            .clone()
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(final SocketChannel channel) {
                    channel.pipeline().addLast(decoder, new HttpRequestEncoder(), connection);
                  }
                })
            .connect(new InetSocketAddress(upstream.host, upstream.port));
    future.addListener(
        result -> {
          upstream.connecting--;
          if (!result.isSuccess()) {
            request.release();
            completion.completed(UpstreamConnection.CompletionStatus.UNSENT, null, null);
            return;
          }
          connection.connected(future.channel());
          if (attempt.ended
              || eligibility(upstream, binding) != Choice.CHOSEN
              || System.nanoTime() / 1_000_000 >= sendBy) {
            attempt.withdrawnBeforeSend = true;
            request.release();
            connection.close();
            completion.completed(UpstreamConnection.CompletionStatus.UNSENT, null, null);
            return;
          }
          attempt.connection = connection;
          upstream.sentAfterConnect(System.nanoTime() / 1_000_000);
          connection.send(request, id, completion);
        });
  }

  private void recordResult(
      final Attempt attempt,
      final UpstreamConnection.CompletionStatus completionStatus,
      final HttpResponse head,
      final long now) {
    final Upstream upstream = attempt.upstream;
    if (completionStatus != UpstreamConnection.CompletionStatus.ANSWERED) {
      if (!attempt.withdrawnBeforeSend) {
        upstream.requestFailed(now);
      }
      return;
    }
    siteResponses(upstream.site).lastResponseAt = now;
    final int status = head.status().code();
    final String load = head.headers().get(Headers.INSTANCE_LOAD);
    if (load != null) {
      upstream.updateLoad(load, now);
    }
    final long latencyMillis = now - attempt.startedAt;
    if (AttemptOutcome.of(completionStatus, head) == AttemptOutcome.NOT_RUN) {
      upstream.requestFailed(now);
    } else {
      upstream.responseReceived(now, status < 300 ? latencyMillis : -1);
      if (status < 300) {
        typicalMillis.merge(
            upstream.service,
            (double) latencyMillis,
            (before, after) -> before * 0.98 + after * 0.02);
      }
    }
    if (attempt.connection != null) {
      if (upstream.registered && status != 421 && attempt.connection.isUsable(now)) {
        upstream.idleConnections.addFirst(attempt.connection);
      } else {
        attempt.connection.close();
      }
    }
  }

  /** Closes connections that have been idle longer than their keep-alive. */
  public void closeExpiredConnections(final long now) {
    for (final Upstream upstream : upstreams.values()) {
      while (!upstream.idleConnections.isEmpty()
          && !upstream.idleConnections.peekLast().isUsable(now)) {
        upstream.idleConnections.pollLast().close();
      }
    }
  }

  /** Returns the number of registered upstreams. */
  public int size() {
    return upstreams.size();
  }
}
