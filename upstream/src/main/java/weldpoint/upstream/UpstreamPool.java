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
import weldpoint.routing.Route;
import weldpoint.routing.RouteBinding;
import weldpoint.routing.RouteKind;
import weldpoint.routing.RoutingTable;

/**
 * The upstreams of all services, their connections, and the choice among them. All of it lives on
 * the traffic thread.
 */
public final class UpstreamPool {
  private static final double USUAL_MILLIS = 150;
  private static final int SAMPLE = 4;
  private static final double ROOM = 0.8;
  private static final double CROWDED = 0.5;
  private static final double DOUBT = 3;
  private static final long COLD_MARGIN_MILLIS = 300;
  private static final double HOLDER_ROOM = 1.6;

  private final Bootstrap bootstrap;
  private final String site;
  private final String region;
  private final Map<String, String> regions;
  private final Settings settings;
  private final Random random;
  private final Map<String, Upstream> upstreams = new HashMap<>();
  private final Map<String, List<Upstream>> services = new HashMap<>();
  private final Map<String, Upstream.Fill> fills = new HashMap<>();
  private final Map<String, RetryBudget> budgets = new HashMap<>();
  private final Map<String, Double> usual = new HashMap<>();
  private final Map<String, Quiet> quiets = new HashMap<>();
  private Set<String> evacuated = Set.of();
  private RoutingTable inForce;
  private final SlowStartLimiter slowStart;
  private final UpstreamSubsets subsets;
  private double ordered;
  private Set<String> orderedSuspects = Set.of();
  private Consumer<String> surplus = id -> {};

  private long bornAt = Long.MIN_VALUE / 2;

  /** No upstreams yet. */
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
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 400);
    if (settings.transferBytes() > 0) {
      bootstrap.option(ChannelOption.SO_RCVBUF, settings.transferBytes());
    }
  }

  /** Takes what changed in the registry. */
  public void apply(final List<Change> changes, final long now) {
    if (!changes.isEmpty()) {
      subsets.outdated();
    }
    for (final Change change : changes) {
      final Upstream known = upstreams.get(change.registration.id);
      if (!change.open) {
        if (known != null) {
          known.open = false;
          upstreams.remove(known.id);
          services.get(known.service).remove(known);
          for (final UpstreamConnection connection : new ArrayList<>(known.idle)) {
            connection.close();
          }
          known.idle.clear();
        }
        continue;
      }
      final Upstream upstream;
      if (known == null) {
        upstream =
            new Upstream(
                change.registration, regions.getOrDefault(change.registration.site, ""), now);
        upstreams.put(upstream.id, upstream);
        upstream.fill =
            fills.computeIfAbsent(
                upstream.service + "@" + upstream.site, key -> new Upstream.Fill());
        services.computeIfAbsent(upstream.service, name -> new ArrayList<>()).add(upstream);
      } else {
        upstream = known;
      }
      if (change.registration.warmupMillis > 0) {
        upstream.coldPaced &= upstream.cold(now);
        upstream.coldUntil = now + change.registration.warmupMillis + COLD_MARGIN_MILLIS;
      } else if (known != null) {
        upstream.coldUntil = 0;
      }
    }
  }

  /** Takes the configuration in force, of which every choice and every late send is judged. */
  public void configuration(final RoutingTable routingTable) {
    inForce = routingTable;
  }

  /** A change in the registry. */
  public record Change(
      weldpoint.transport.RegistryMessages.Registration registration, boolean open) {}

  /** Takes which sites are evacuated; those taken back count as cold until told otherwise. */
  public void evacuated(final Set<String> sites, final long now) {
    for (final String back : evacuated) {
      if (!sites.contains(back)) {
        for (final Upstream upstream : upstreams.values()) {
          if (upstream.site.equals(back)) {
            upstream.coldPaced &= upstream.cold(now);
            upstream.coldUntil =
                Math.max(upstream.coldUntil, now + settings.heartbeatMillis() + 1000);
          }
        }
      }
    }
    evacuated = new HashSet<>(sites);
  }

  /** Takes which upstreams have not been heard of. */
  public void suspects(final Set<String> ids) {
    for (final Upstream upstream : upstreams.values()) {
      upstream.suspect = ids.contains(upstream.id);
    }
  }

  /**
   * Takes how many switchboards share budgets and cold bounds, from somebody who knows it for
   * certain.
   */
  public void switchboards(final int count) {
    slowStart.settled(count);
  }

  /** Takes how many switchboards an exchange counts; the largest number lately told holds. */
  public void switchboards(final int count, final long now) {
    slowStart.told(count, now);
  }

  /**
   * Takes a chief's orders: the part of all budgets that this switchboard has, 0 for its usual one,
   * and who is silent.
   */
  public void ordered(final double part, final Set<String> silent) {
    ordered = part;
    orderedSuspects = silent;
  }

  private double sharers() {
    return ordered > 0 ? 1 / ordered : slowStart.switchboards();
  }

  /** The upstreams from which nothing comes back. */
  public List<String> silent(final long now) {
    final List<String> list = new ArrayList<>();
    for (final Upstream upstream : upstreams.values()) {
      if (upstream.dim(now, usual(upstream.service))) {
        list.add(upstream.id);
      }
    }
    return list;
  }

  /** The budget of a service. */
  public RetryBudget budget(final String service) {
    return budgets.computeIfAbsent(
        service,
        name ->
            new RetryBudget(
                settings.retryRatio(),
                settings.retrySlack(),
                settings.retryWindowMillis(),
                bornAt));
  }

  /** This process may have had an earlier life, which spent of the same budgets. */
  public void restarted(final long now) {
    bornAt = now;
  }

  /** Takes a further try from a service's budget. */
  public boolean repeat(final String service, final long now) {
    return budget(service).take(sharers(), now);
  }

  /** Hears the id of every answer that came besides the one due. */
  public void surplus(final Consumer<String> given) {
    surplus = given;
  }

  /** What came of a choice. */
  public enum Choice {
    /** One was chosen. */
    CHOSEN,
    /** All that may be used are full. */
    FULL,
    /** There is none that may be used. */
    NONE,
    /** There is none that may be used; there would be, were it not for homes. */
    OUTSIDE_HOMES,
  }

  /**
   * Among which upstreams is chosen: the own part first, all where that is full or in trouble, at
   * last even doubtful ones.
   */
  private enum Width {
    OWN,
    ALL,
    DESPERATE
  }

  /** The region of a site. */
  public String region(final String place) {
    return regions.getOrDefault(place, "");
  }

  /** Takes which proxies share this site, in an order that all of them are told alike. */
  public void neighbours(final List<String> addresses, final long now) {
    slowStart.neighbours(addresses, now);
    subsets.neighbours(addresses);
  }

  /** The ids of the upstreams in this proxy's own subset of a service. */
  List<String> part(final String service) {
    subsets.update(services.values());
    final List<String> ids = new ArrayList<>();
    for (final Upstream upstream : services.getOrDefault(service, List.of())) {
      if (upstream.own) {
        ids.add(upstream.id);
      }
    }
    return ids;
  }

  private Upstream chosen;

  /** The upstream that the last successful choice found. */
  public Upstream chosen() {
    return chosen;
  }

  /** Chooses an upstream for a request, not among those tried before. */
  public Choice choose(final RouteBinding binding, final List<Upstream> tried, final long now) {
    chosen = null;
    if (!binding.revalidate(inForce)) {
      return Choice.NONE;
    }
    final RoutingTable.Service service = binding.service();
    final Route route = binding.route();
    subsets.update(services.values());
    final UpstreamSubsets.Tiers tiers = subsets.tiers(service.name());
    Upstream best = null;
    double bestCost = Double.MAX_VALUE;
    boolean any = false;
    final Upstream.Fill near = fills.get(service.name() + "@" + site);
    final boolean crowded =
        near != null && route.kind != RouteKind.EGRESS && near.perSlot(now) > CROWDED;
    for (final Width width : Width.values()) {
      if (width == Width.ALL && !tiers.divided) {
        continue;
      }
      if (best != null
          && (width == Width.DESPERATE
              || best.busy(now) + 1 <= best.capacity && !doubt(best, service, now))) {
        break;
      }
      for (int tier = 0; tier < 3; tier++) {
        final Upstream candidate =
            sample(
                width == Width.OWN ? tiers.own.get(tier) : tiers.all.get(tier),
                binding,
                tried,
                width,
                now);
        if (candidate == null) {
          continue;
        }
        any = true;
        final double cost =
            candidate.cost(now, usual(service.name()))
                    * (doubt(candidate, service, now) ? DOUBT : 1)
                + (tier == 0
                    ? 0
                    : tier == 1
                        ? 3
                        : route.kind == RouteKind.EGRESS ? 2 * usual(service.name()) : 30);
        if (cost < bestCost) {
          best = candidate;
          bestCost = cost;
        }
        if (!crowded && best.busy(now) + 1 <= best.capacity * ROOM && !doubt(best, service, now)) {
          break;
        }
      }
    }
    if (best == null) {
      return any ? Choice.FULL : noneMayRun(binding);
    }
    if (best.known(now) >= best.capacity * RetryPolicy.room(route, rank(binding))) {
      return Choice.FULL;
    }
    paced(best, service, now);
    chosen = best;
    return Choice.CHOSEN;
  }

  /**
   * Whether the upstream of the last choice has a free slot, so that a second try beside one that
   * takes long does no harm.
   */
  public boolean roomy(final long now) {
    return chosen != null && chosen.busy(now) + 1 <= chosen.capacity * ROOM;
  }

  /** Chooses this very upstream for a write that is tied to it, or none. */
  public Choice pinned(
      final RouteBinding binding, final String id, final long pauseMillis, final long now) {
    chosen = null;
    final Upstream upstream = upstreams.get(id);
    final Choice allowed = allowed(upstream, binding);
    if (allowed != Choice.CHOSEN) {
      return allowed;
    }
    final RoutingTable.Service service = binding.service();
    reserves = true;
    upstream.tied(now, pauseMillis);
    if (!coldAdmits(upstream, service, now)
        || upstream.known(now)
            >= upstream.capacity * RetryPolicy.room(binding.route(), rank(binding))) {
      return Choice.FULL;
    }
    paced(upstream, service, now);
    chosen = upstream;
    return Choice.CHOSEN;
  }

  /**
   * Chooses this very upstream for a request whose key it holds, or none: nobody else may run it,
   * so it is given more than an upstream that has others beside it.
   */
  public Choice holder(final RouteBinding binding, final String id, final long now) {
    chosen = null;
    final Upstream upstream = upstreams.get(id);
    final Choice allowed = allowed(upstream, binding);
    if (allowed != Choice.CHOSEN) {
      return allowed;
    }
    final RoutingTable.Service service = binding.service();
    final double most =
        upstream.capacity * RetryPolicy.room(binding.route(), rank(binding)) * HOLDER_ROOM;
    if (!coldAdmits(upstream, service, now) || upstream.known(now) >= most) {
      return Choice.FULL;
    }
    paced(upstream, service, now);
    chosen = upstream;
    return Choice.CHOSEN;
  }

  /** Whether this very upstream may run a request, and if not, whether only homes forbid it. */
  private Choice allowed(final Upstream upstream, final RouteBinding binding) {
    if (upstream == null
        || !binding.revalidate(inForce)
        || !upstream.service.equals(binding.service().name())
        || !available(upstream)) {
      return Choice.NONE;
    }
    return binding.allowsRegion(upstream.region) ? Choice.CHOSEN : Choice.OUTSIDE_HOMES;
  }

  /** Whether an upstream may run a request at all, however full it is. */
  private boolean mayRun(final Upstream upstream, final RouteBinding binding) {
    return available(upstream) && binding.allowsRegion(upstream.region);
  }

  private boolean available(final Upstream upstream) {
    return upstream.open && !evacuated.contains(upstream.site);
  }

  /** Why there is no upstream for a request: homes, where one outside of them is available. */
  private Choice noneMayRun(final RouteBinding binding) {
    boolean outside = false;
    for (final Upstream upstream : services.getOrDefault(binding.service().name(), List.of())) {
      if (!available(upstream)) {
        continue;
      }
      if (binding.allowsRegion(upstream.region)) {
        return Choice.NONE;
      }
      outside = true;
    }
    return outside ? Choice.OUTSIDE_HOMES : Choice.NONE;
  }

  private static int rank(final RouteBinding binding) {
    return binding.tenant() == null ? 0 : binding.tenant().priority();
  }

  private boolean kept(final Upstream upstream, final Route route, final long now) {
    if (!reserves || !route.kind.repeatable()) {
      return false;
    }
    final int reserved =
        upstream.reserved(now, sharers(), settings.affinityReserve(), usual(upstream.service));
    return reserved > 0 && upstream.known(now) + 1 > upstream.capacity - reserved;
  }

  private boolean reserves;

  private boolean coldAdmits(
      final Upstream upstream, final RoutingTable.Service service, final long now) {
    return !upstream.cold(now)
        || service.warmupPerSecond() <= 0
        || slowStart.admits(upstream, service.warmupPerSecond(), ordered, now);
  }

  private void paced(final Upstream upstream, final RoutingTable.Service service, final long now) {
    if (upstream.cold(now) && service.warmupPerSecond() > 0) {
      slowStart.sent(upstream, service.warmupPerSecond(), ordered, now);
    }
  }

  private double usual(final String service) {
    return usual.getOrDefault(service, USUAL_MILLIS);
  }

  private Upstream sample(
      final List<Upstream> all,
      final RouteBinding binding,
      final List<Upstream> tried,
      final Width width,
      final long now) {
    final RoutingTable.Service service = binding.service();
    final Route route = binding.route();
    final List<Upstream> fit = new ArrayList<>();
    for (final Upstream upstream : all) {
      if (!mayRun(upstream, binding) || tried.contains(upstream)) {
        continue;
      }
      if (!coldAdmits(upstream, service, now) || kept(upstream, route, now)) {
        continue;
      }
      if (width != Width.DESPERATE
          && (upstream.suspect
              || orderedSuspects.contains(upstream.id)
              || upstream.dim(now, usual(service.name())))) {
        continue;
      }
      fit.add(upstream);
    }
    if (fit.isEmpty()) {
      return null;
    }
    Upstream best = null;
    double bestCost = 0;
    for (int draw = 0; draw < Math.min(SAMPLE, fit.size()); draw++) {
      final int index = draw + random.nextInt(fit.size() - draw);
      final Upstream one = fit.get(index);
      fit.set(index, fit.get(draw));
      final double cost =
          one.cost(now, usual(service.name())) * (doubt(one, service, now) ? DOUBT : 1);
      if (best == null || cost < bestCost) {
        best = one;
        bestCost = cost;
      }
    }
    return best;
  }

  /**
   * What comes back from the upstreams of one site, taken together: when a site goes dark, all of
   * it does.
   */
  private static final class Quiet {
    private final ArrayDeque<long[]> outstanding = new ArrayDeque<>();
    private long answeredAt = Long.MIN_VALUE / 2;

    private boolean doubtful(final long now, final double usual) {
      final long[] oldest = outstanding.peekFirst();
      return outstanding.size() > 1
          && answeredAt < oldest[0]
          && now - oldest[0] > Math.max(100, 0.9 * usual);
    }
  }

  private boolean doubt(
      final Upstream upstream, final RoutingTable.Service service, final long now) {
    return upstream.doubtful(now, usual(service.name()))
        || quiet(upstream.site).doubtful(now, usual(service.name()));
  }

  private Quiet quiet(final String place) {
    return quiets.computeIfAbsent(place, name -> new Quiet());
  }

  /** One request at one upstream. */
  public final class Attempt {
    private final Upstream upstream;
    private final long startedAt;
    private final long[] token;
    private UpstreamConnection connection;
    private boolean over;
    private boolean withdrawn;

    private Attempt(final Upstream upstream, final long startedAt) {
      this.upstream = upstream;
      this.startedAt = startedAt;
      this.token = new long[] {startedAt};
    }

    private void end() {
      if (!over) {
        over = true;
        upstream.ended(token);
        quiet(upstream.site).outstanding.remove(token);
      }
    }

    /** Whether it is still under way. */
    public boolean running() {
      return !over;
    }

    /**
     * Whether it is under way and not a byte of it was written: once abandoned, it provably never
     * runs.
     */
    public boolean unwritten() {
      return !over && connection == null;
    }

    /** The upstream it was sent to. */
    public Upstream upstream() {
      return upstream;
    }

    /** Stops it; nobody hears of its end. */
    public void abandon() {
      abandon(System.nanoTime() / 1_000_000);
    }

    /** Stops it at this time. */
    public void abandon(final long now) {
      if (!over) {
        upstream.left(startedAt, now);
        end();
        if (connection != null) {
          connection.abandon();
        }
      }
    }
  }

  /** Counts a request as sent to an upstream. */
  public Attempt begin(final Upstream upstream, final long now) {
    final Attempt attempt = new Attempt(upstream, now);
    upstream.sent(attempt.token);
    quiet(upstream.site).outstanding.addLast(attempt.token);
    return attempt;
  }

  /** Counts a request as ended so. */
  public void conclude(
      final Attempt attempt,
      final UpstreamConnection.End end,
      final HttpResponse head,
      final long now) {
    attempt.end();
    settle(attempt, end, head, now);
  }

  /** Sends a request that was never sent before. */
  public Attempt send(
      final Upstream upstream,
      final RouteBinding binding,
      final FullHttpRequest request,
      final String id,
      final long now,
      final long until,
      final UpstreamConnection.Done listener) {
    return send(upstream, binding, request, id, List.of(), now, until, listener);
  }

  /**
   * Sends a request to the chosen upstream; where there is no connection by this time, nothing is
   * sent. An upstream may answer twice, the second time in the place of the next answer due on that
   * connection, and the id in an answer names the request and not the send: so no connection is
   * used on which one of the earlier attempts of this request went. Where the upstream must not
   * have it any more once a connection is there, nothing is sent either.
   */
  public Attempt send(
      final Upstream upstream,
      final RouteBinding binding,
      final FullHttpRequest request,
      final String id,
      final List<Attempt> earlier,
      final long now,
      final long until,
      final UpstreamConnection.Done listener) {
    final Attempt attempt = begin(upstream, now);
    final UpstreamConnection.Done done =
        (end, head, body) -> {
          if (attempt.over) {
            if (body != null) {
              body.release();
            }
            return;
          }
          conclude(attempt, end, head, System.nanoTime() / 1_000_000);
          listener.done(end, head, body);
        };
    final UpstreamConnection idle = takeIdle(upstream, earlier, now);
    if (idle != null) {
      attempt.connection = idle;
      idle.send(request, id, done);
      return attempt;
    }
    connect(upstream, binding, attempt, request, id, until, done);
    return attempt;
  }

  /** Takes the resting connection used last that carried none of these attempts; null if none. */
  private static UpstreamConnection takeIdle(
      final Upstream upstream, final List<Attempt> earlier, final long now) {
    for (final Iterator<UpstreamConnection> all = upstream.idle.iterator(); all.hasNext(); ) {
      final UpstreamConnection connection = all.next();
      if (!connection.usable(now)) {
        all.remove();
        connection.close();
      } else if (!carried(connection, earlier)) {
        all.remove();
        return connection;
      }
    }
    return null;
  }

  private static boolean carried(
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
      final long until,
      final UpstreamConnection.Done done) {
    upstream.connecting++;
    final UpstreamConnection.Decoder decoder = new UpstreamConnection.Decoder();
    final UpstreamConnection connection =
        new UpstreamConnection(upstream, decoder, echoed -> surplus.accept(echoed));
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
            done.done(UpstreamConnection.End.UNSENT, null, null);
            return;
          }
          connection.connected(future.channel());
          if (attempt.over
              || allowed(upstream, binding) != Choice.CHOSEN
              || System.nanoTime() / 1_000_000 >= until) {
            attempt.withdrawn = true;
            request.release();
            connection.close();
            done.done(UpstreamConnection.End.UNSENT, null, null);
            return;
          }
          attempt.connection = connection;
          upstream.sentLate(System.nanoTime() / 1_000_000);
          connection.send(request, id, done);
        });
  }

  private void settle(
      final Attempt attempt,
      final UpstreamConnection.End end,
      final HttpResponse head,
      final long now) {
    final Upstream upstream = attempt.upstream;
    if (end != UpstreamConnection.End.ANSWERED) {
      if (!attempt.withdrawn) {
        upstream.failed(now);
      }
      return;
    }
    quiet(upstream.site).answeredAt = now;
    final int status = head.status().code();
    final String load = head.headers().get(Headers.LOAD);
    if (load != null) {
      upstream.told(load, now);
    }
    final long took = now - attempt.startedAt;
    if (AttemptOutcome.of(end, head) == AttemptOutcome.NOT_RUN) {
      upstream.failed(now);
    } else {
      upstream.answered(now, status < 300 ? took : -1);
      if (status < 300) {
        usual.merge(
            upstream.service, (double) took, (before, after) -> before * 0.98 + after * 0.02);
      }
    }
    if (attempt.connection != null) {
      if (upstream.open && status != 421 && attempt.connection.usable(now)) {
        upstream.idle.addFirst(attempt.connection);
      } else {
        attempt.connection.close();
      }
    }
  }

  /** Closes connections that have been idle for too long. */
  public void sweep(final long now) {
    for (final Upstream upstream : upstreams.values()) {
      while (!upstream.idle.isEmpty() && !upstream.idle.peekLast().usable(now)) {
        upstream.idle.pollLast().close();
      }
    }
  }

  /** How many upstreams are known. */
  public int count() {
    return upstreams.size();
  }
}
