package weldpoint.replay;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;
import weldpoint.common.Settings;
import weldpoint.routing.Route;
import weldpoint.routing.RouteBinding;
import weldpoint.routing.RoutingTable;
import weldpoint.transport.RegistryMessages.Registration;
import weldpoint.upstream.Headers;
import weldpoint.upstream.RetryPolicy;
import weldpoint.upstream.Upstream;
import weldpoint.upstream.UpstreamConnection;
import weldpoint.upstream.UpstreamPool;

/**
 * A fleet of the day's size on the day's clock under one configuration: the daemons' own plan,
 * choice of upstreams, budgets and rules for further tries, before scripted upstreams whose work
 * the recording tells.
 */
final class ReplaySimulator {
  private static final long MARGIN_MILLIS = 15;
  private static final int QUEUE = 2;

  private record Event(long at, long order, Runnable deed) {}

  private static final class Model {
    final int slots;
    final PriorityQueue<Long> free = new PriorityQueue<>();
    int present;

    Model(final int slots) {
      this.slots = Math.max(1, slots);
      for (int index = 0; index < this.slots; index++) {
        free.add(0L);
      }
    }
  }

  private final EventLoopGroup loop;
  private final String extra;
  private final long seed;
  private final Map<String, UpstreamPool> boards = new HashMap<>();
  private final Map<String, Settings> boots = new HashMap<>();
  private final Map<String, Random> chances = new HashMap<>();
  private final Map<String, Model> models = new HashMap<>();
  private final Map<String, Registration> registrations = new HashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (one, other) ->
              one.at != other.at
                  ? Long.compare(one.at, other.at)
                  : Long.compare(one.order, other.order));
  private List<String> evacuated = List.of();
  private RoutingTable routingTable;
  private long now = Long.MIN_VALUE / 2;
  private long order;

  ReplaySimulator(final EventLoopGroup loop, final String extra, final long seed) {
    this.loop = loop;
    this.extra = extra;
    this.seed = seed;
  }

  void routingTable(final RoutingTable given) {
    routingTable = given;
  }

  void control(final List<Registration> changes, final List<String> sites) {
    final List<UpstreamPool.Change> list = new ArrayList<>();
    for (final Registration registration : changes == null ? List.<Registration>of() : changes) {
      registrations.put(registration.id, registration);
      final boolean open = registration.stage == 0 && !registration.service.isEmpty();
      if (open) {
        models.computeIfAbsent(registration.id, id -> new Model(registration.capacity));
      }
      list.add(new UpstreamPool.Change(registration, open));
    }
    boards.values().forEach(upstreamPool -> upstreamPool.apply(list, now));
    if (sites != null) {
      evacuated = sites;
      boards.values().forEach(upstreamPool -> upstreamPool.evacuated(new HashSet<>(sites), now));
    }
  }

  /** Adds a switchboard of the day. */
  void board(
      final String address,
      final String site,
      final String region,
      final Map<String, String> sites) {
    if (boards.containsKey(address)) {
      return;
    }
    final StringBuilder places = new StringBuilder();
    sites.forEach(
        (place, home) ->
            places.append(places.length() == 0 ? "" : ",").append(place).append(':').append(home));
    final Settings settings =
        Settings.parse(
            "station.name = replay\nstation.address = "
                + address
                + "\nstation.site = "
                + site
                + "\nstation.region = "
                + region
                + "\ntrunk.ports = 7000,7015\ntrunk.seeds = "
                + address
                + ":7000\nsites = "
                + places
                + "\n"
                + extra);
    final Random chance = new Random(seed);
    final UpstreamPool upstreamPool = new UpstreamPool(loop, settings, chance);
    boots.put(address, settings);
    chances.put(address, chance);
    boards.put(address, upstreamPool);
    final List<UpstreamPool.Change> list = new ArrayList<>();
    registrations
        .values()
        .forEach(
            registration -> {
              if (registration.stage == 0 && !registration.service.isEmpty()) {
                list.add(new UpstreamPool.Change(registration, true));
              }
            });
    upstreamPool.apply(list, now);
    upstreamPool.evacuated(new HashSet<>(evacuated), now);
    boards.values().forEach(one -> one.switchboards(boards.size()));
  }

  /** Lets the day go on until then. */
  void until(final long time) {
    while (!events.isEmpty() && events.peek().at <= time) {
      final Event event = events.poll();
      now = event.at;
      event.deed.run();
    }
    now = Math.max(now, time);
  }

  /** Lets everything end that is under way. */
  void finish() {
    while (!events.isEmpty()) {
      until(events.peek().at);
    }
  }

  private void after(final long millis, final Runnable deed) {
    events.add(new Event(now + Math.max(0, millis), order++, deed));
  }

  /** Plays a call; whoever is given hears of its outcome exactly once. */
  void play(final RecordedCall call, final Consumer<CallOutcome> done) {
    new Course(call, done).start();
  }

  private final class Course {
    private final RecordedCall call;
    private final Consumer<CallOutcome> done;
    private final CallOutcome outcome = new CallOutcome();
    private final List<Upstream> tried = new ArrayList<>();
    private final List<UpstreamPool.Attempt> attempts = new ArrayList<>();
    private final UpstreamPool upstreamPool;
    private RouteBinding binding;
    private Route route;
    private RoutingTable.Service service;
    private long cutoff;
    private boolean uncertain;
    private boolean hedged;
    private boolean over;

    private Course(final RecordedCall call, final Consumer<CallOutcome> done) {
      this.call = call;
      this.done = done;
      this.upstreamPool = boards.get(call.board);
    }

    private void start() {
      final Random chance = chances.get(call.board);
      chance.setSeed(call.note.id.hashCode() * 0x9e3779b97f4a7c15L + seed);
      binding = new RouteBinding(call.note.host, call.note.target, chance.nextDouble());
      if (!routingTable.resolve(binding)) {
        end(CallOutcome.End.UNROUTED);
        return;
      }
      route = binding.route();
      service = binding.service();
      outcome.service = service.name();
      cutoff =
          now
              + Math.max(
                  1,
                  Math.min(call.note.waits + MARGIN_MILLIS, route.timeoutMillis) - MARGIN_MILLIS);
      upstreamPool.budget(service.name()).request(now);
      after(cutoff - now, this::giveUp);
      if (!attempt(false)) {
        end(CallOutcome.End.REFUSED);
      }
    }

    private int running() {
      int count = 0;
      for (final UpstreamPool.Attempt attempt : attempts) {
        count += attempt.running() ? 1 : 0;
      }
      return count;
    }

    private boolean attempt(final boolean further) {
      return attempt(further, false);
    }

    private boolean attempt(final boolean further, final boolean beside) {
      if (further && !RetryPolicy.fits(route, outcome.sent, now, cutoff)) {
        return false;
      }
      chances.get(call.board).setSeed(call.note.id.hashCode() * 31L + outcome.sent + seed);
      if (upstreamPool.choose(binding, tried, now) != UpstreamPool.Choice.CHOSEN
          || beside && !upstreamPool.roomy(now)
          || outcome.sent > 0 && !upstreamPool.repeat(service.name(), now)) {
        return false;
      }
      final Upstream upstream = upstreamPool.chosen();
      tried.add(upstream);
      final boolean first = outcome.sent++ == 0;
      final UpstreamPool.Attempt attempt = upstreamPool.begin(upstream, now);
      attempts.add(attempt);
      reach(upstream, attempt, first);
      if (!hedged && RetryPolicy.hedges(route, outcome.sent)) {
        hedged = true;
        after(
            RetryPolicy.hedgeMillis(route),
            () -> {
              if (!over && running() == 1) {
                attempt(true, true);
              }
            });
      }
      return true;
    }

    private void reach(
        final Upstream upstream, final UpstreamPool.Attempt attempt, final boolean first) {
      final Model model = models.get(upstream.id());
      if (model.present >= model.slots * (1 + QUEUE)) {
        after(1, () -> answered(upstream, attempt, model, UpstreamConnection.End.ANSWERED, false));
        return;
      }
      model.present++;
      outcome.ran++;
      final long begins = Math.max(now, model.free.poll());
      final long ends = begins + Math.max(1, call.work);
      model.free.add(ends);
      after(
          ends - now,
          () -> {
            model.present--;
            answered(
                upstream,
                attempt,
                model,
                first && call.answerLost
                    ? UpstreamConnection.End.UNCERTAIN
                    : UpstreamConnection.End.ANSWERED,
                true);
          });
    }

    private void answered(
        final Upstream upstream,
        final UpstreamPool.Attempt attempt,
        final Model model,
        final UpstreamConnection.End end,
        final boolean ran) {
      if (!attempt.running()) {
        return;
      }
      final HttpResponse head =
          new DefaultHttpResponse(
              HttpVersion.HTTP_1_1,
              ran ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
              false);
      head.headers()
          .set(
              Headers.LOAD,
              Math.min(model.present, model.slots)
                  + ","
                  + Math.max(0, model.present - model.slots)
                  + ","
                  + model.slots);
      if (!ran) {
        head.headers().set(Headers.NOT_EXECUTED, "1");
      }
      upstreamPool.conclude(attempt, end, head, now);
      if (over) {
        return;
      }
      if (end == UpstreamConnection.End.ANSWERED && ran) {
        outcome.region = boots.get(call.board).sites().getOrDefault(upstream.site(), "");
        end(CallOutcome.End.SERVED);
        return;
      }
      uncertain |= ran;
      if (RetryPolicy.mayGoOn(route, uncertain) && attempt(true) || running() > 0) {
        return;
      }
      end(uncertain ? CallOutcome.End.LOST : CallOutcome.End.REFUSED);
    }

    private void giveUp() {
      if (!over) {
        end(uncertain || running() > 0 ? CallOutcome.End.LOST : CallOutcome.End.REFUSED);
      }
    }

    private void end(final CallOutcome.End end) {
      over = true;
      outcome.end = end;
      outcome.total = now - call.at;
      for (final UpstreamPool.Attempt attempt : attempts) {
        attempt.abandon(now);
      }
      done.accept(outcome);
    }
  }
}
