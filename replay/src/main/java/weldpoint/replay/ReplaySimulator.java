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
 * Discrete-event simulation of the recorded proxies under one configuration, on the clock of the
 * recording. Routing, choice of upstreams, retry budgets and retry rules are the code that proxies
 * run; the upstreams are models whose service times come from the recording. Used by {@link
 * Replay}; not thread-safe.
 */
final class ReplaySimulator {
  private static final long DEADLINE_MARGIN_MILLIS = 15;
  private static final int QUEUE_PER_SLOT = 2;

  private record Event(long at, long order, Runnable action) {}

  private static final class UpstreamModel {
    final int slots;
    final PriorityQueue<Long> slotFreeTimes = new PriorityQueue<>();
    int inFlight;

    UpstreamModel(final int slots) {
      this.slots = Math.max(1, slots);
      for (int index = 0; index < this.slots; index++) {
        slotFreeTimes.add(0L);
      }
    }
  }

  private final EventLoopGroup loop;
  private final String extraSettings;
  private final long seed;
  private final Map<String, UpstreamPool> upstreamPools = new HashMap<>();
  private final Map<String, Settings> proxySettings = new HashMap<>();
  private final Map<String, Random> randoms = new HashMap<>();
  private final Map<String, UpstreamModel> upstreamModels = new HashMap<>();
  private final Map<String, Registration> registrations = new HashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (first, second) ->
              first.at != second.at
                  ? Long.compare(first.at, second.at)
                  : Long.compare(first.order, second.order));
  private List<String> evacuatedSites = List.of();
  private RoutingTable routingTable;
  private long now = Long.MIN_VALUE / 2;
  private long order;

  ReplaySimulator(final EventLoopGroup loop, final String extraSettings, final long seed) {
    this.loop = loop;
    this.extraSettings = extraSettings;
    this.seed = seed;
  }

  void routingTable(final RoutingTable newRoutingTable) {
    routingTable = newRoutingTable;
  }

  void applyControl(final List<Registration> changes, final List<String> newEvacuatedSites) {
    final List<UpstreamPool.Change> upstreamChanges = new ArrayList<>();
    for (final Registration registration : changes == null ? List.<Registration>of() : changes) {
      registrations.put(registration.id, registration);
      final boolean open = registration.stage == 0 && !registration.service.isEmpty();
      if (open) {
        upstreamModels.computeIfAbsent(
            registration.id, id -> new UpstreamModel(registration.capacity));
      }
      upstreamChanges.add(new UpstreamPool.Change(registration, open));
    }
    upstreamPools.values().forEach(upstreamPool -> upstreamPool.applyChanges(upstreamChanges, now));
    if (newEvacuatedSites != null) {
      evacuatedSites = newEvacuatedSites;
      upstreamPools
          .values()
          .forEach(
              upstreamPool ->
                  upstreamPool.setEvacuatedSites(new HashSet<>(newEvacuatedSites), now));
    }
  }

  /** Adds a proxy of the recording, unless it is known already. */
  void addProxy(
      final String address,
      final String site,
      final String region,
      final Map<String, String> sites) {
    if (upstreamPools.containsKey(address)) {
      return;
    }
    final StringBuilder siteList = new StringBuilder();
    sites.forEach(
        (siteName, regionName) ->
            siteList
                .append(siteList.length() == 0 ? "" : ",")
                .append(siteName)
                .append(':')
                .append(regionName));
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
                + siteList
                + "\n"
                + extraSettings);
    final Random random = new Random(seed);
    final UpstreamPool upstreamPool = new UpstreamPool(loop, settings, random);
    proxySettings.put(address, settings);
    randoms.put(address, random);
    upstreamPools.put(address, upstreamPool);
    final List<UpstreamPool.Change> upstreamChanges = new ArrayList<>();
    registrations
        .values()
        .forEach(
            registration -> {
              if (registration.stage == 0 && !registration.service.isEmpty()) {
                upstreamChanges.add(new UpstreamPool.Change(registration, true));
              }
            });
    upstreamPool.applyChanges(upstreamChanges, now);
    upstreamPool.setEvacuatedSites(new HashSet<>(evacuatedSites), now);
    upstreamPools.values().forEach(pool -> pool.setFleetSize(upstreamPools.size()));
  }

  /** Runs all events up to this time and advances the clock to it. */
  void advanceTo(final long time) {
    while (!events.isEmpty() && events.peek().at <= time) {
      final Event event = events.poll();
      now = event.at;
      event.action.run();
    }
    now = Math.max(now, time);
  }

  /** Runs the simulation until no events are left. */
  void runToCompletion() {
    while (!events.isEmpty()) {
      advanceTo(events.peek().at);
    }
  }

  private void schedule(final long millis, final Runnable action) {
    events.add(new Event(now + Math.max(0, millis), order++, action));
  }

  /** Starts a call at the current time; the callback receives its outcome exactly once. */
  void play(final RecordedCall call, final Consumer<CallOutcome> onComplete) {
    new SimulatedCall(call, onComplete).start();
  }

  private final class SimulatedCall {
    private final RecordedCall call;
    private final Consumer<CallOutcome> onComplete;
    private final CallOutcome outcome = new CallOutcome();
    private final List<Upstream> triedUpstreams = new ArrayList<>();
    private final List<UpstreamPool.Attempt> attempts = new ArrayList<>();
    private final UpstreamPool upstreamPool;
    private RouteBinding binding;
    private Route route;
    private RoutingTable.Service service;
    private long deadline;
    private boolean maybeExecuted;
    private boolean hedged;
    private boolean completed;

    private SimulatedCall(final RecordedCall call, final Consumer<CallOutcome> onComplete) {
      this.call = call;
      this.onComplete = onComplete;
      this.upstreamPool = upstreamPools.get(call.proxy);
    }

    private void start() {
      final Random random = randoms.get(call.proxy);
      random.setSeed(call.request.id.hashCode() * 0x9e3779b97f4a7c15L + seed);
      binding = new RouteBinding(call.request.host, call.request.target, random.nextDouble());
      if (!routingTable.resolve(binding)) {
        complete(CallOutcome.End.UNROUTED);
        return;
      }
      route = binding.route();
      service = binding.service();
      outcome.service = service.name();
      deadline =
          now
              + Math.max(
                  1,
                  Math.min(call.request.waitMillis + DEADLINE_MARGIN_MILLIS, route.timeoutMillis)
                      - DEADLINE_MARGIN_MILLIS);
      upstreamPool.retryBudget(service.name()).recordRequest(now);
      schedule(deadline - now, this::timeOut);
      if (!sendAttempt(false)) {
        complete(CallOutcome.End.REFUSED);
      }
    }

    private int runningAttempts() {
      int count = 0;
      for (final UpstreamPool.Attempt attempt : attempts) {
        count += attempt.isRunning() ? 1 : 0;
      }
      return count;
    }

    private boolean sendAttempt(final boolean isRetry) {
      return sendAttempt(isRetry, false);
    }

    private boolean sendAttempt(final boolean isRetry, final boolean isHedge) {
      if (isRetry && !RetryPolicy.allowsAttempt(route, outcome.attemptCount, now, deadline)) {
        return false;
      }
      randoms
          .get(call.proxy)
          .setSeed(call.request.id.hashCode() * 31L + outcome.attemptCount + seed);
      if (upstreamPool.choose(binding, triedUpstreams, now) != UpstreamPool.Choice.CHOSEN
          || isHedge && !upstreamPool.chosenHasFreeSlot(now)
          || outcome.attemptCount > 0 && !upstreamPool.tryRetry(service.name(), now)) {
        return false;
      }
      final Upstream upstream = upstreamPool.chosen();
      triedUpstreams.add(upstream);
      final boolean isFirst = outcome.attemptCount++ == 0;
      final UpstreamPool.Attempt attempt = upstreamPool.startAttempt(upstream, now);
      attempts.add(attempt);
      arrive(upstream, attempt, isFirst);
      if (!hedged && RetryPolicy.mayHedge(route, outcome.attemptCount)) {
        hedged = true;
        schedule(
            RetryPolicy.hedgeDelayMillis(route),
            () -> {
              if (!completed && runningAttempts() == 1) {
                sendAttempt(true, true);
              }
            });
      }
      return true;
    }

    private void arrive(
        final Upstream upstream, final UpstreamPool.Attempt attempt, final boolean isFirst) {
      final UpstreamModel model = upstreamModels.get(upstream.id());
      if (model.inFlight >= model.slots * (1 + QUEUE_PER_SLOT)) {
        schedule(
            1,
            () ->
                attemptEnded(
                    upstream, attempt, model, UpstreamConnection.CompletionStatus.ANSWERED, false));
        return;
      }
      model.inFlight++;
      outcome.executionCount++;
      final long startsAt = Math.max(now, model.slotFreeTimes.poll());
      final long endsAt = startsAt + Math.max(1, call.serviceTimeMillis);
      model.slotFreeTimes.add(endsAt);
      schedule(
          endsAt - now,
          () -> {
            model.inFlight--;
            attemptEnded(
                upstream,
                attempt,
                model,
                isFirst && call.answerLost
                    ? UpstreamConnection.CompletionStatus.UNCERTAIN
                    : UpstreamConnection.CompletionStatus.ANSWERED,
                true);
          });
    }

    private void attemptEnded(
        final Upstream upstream,
        final UpstreamPool.Attempt attempt,
        final UpstreamModel model,
        final UpstreamConnection.CompletionStatus end,
        final boolean executed) {
      if (!attempt.isRunning()) {
        return;
      }
      final HttpResponse head =
          new DefaultHttpResponse(
              HttpVersion.HTTP_1_1,
              executed ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
              false);
      head.headers()
          .set(
              Headers.INSTANCE_LOAD,
              Math.min(model.inFlight, model.slots)
                  + ","
                  + Math.max(0, model.inFlight - model.slots)
                  + ","
                  + model.slots);
      if (!executed) {
        head.headers().set(Headers.NOT_EXECUTED, "1");
      }
      upstreamPool.finishAttempt(attempt, end, head, now);
      if (completed) {
        return;
      }
      if (end == UpstreamConnection.CompletionStatus.ANSWERED && executed) {
        outcome.region = proxySettings.get(call.proxy).sites().getOrDefault(upstream.site(), "");
        complete(CallOutcome.End.SERVED);
        return;
      }
      maybeExecuted |= executed;
      if (RetryPolicy.mayRetry(route, maybeExecuted) && sendAttempt(true)
          || runningAttempts() > 0) {
        return;
      }
      complete(maybeExecuted ? CallOutcome.End.LOST : CallOutcome.End.REFUSED);
    }

    private void timeOut() {
      if (!completed) {
        complete(
            maybeExecuted || runningAttempts() > 0
                ? CallOutcome.End.LOST
                : CallOutcome.End.REFUSED);
      }
    }

    private void complete(final CallOutcome.End result) {
      completed = true;
      outcome.end = result;
      outcome.totalMillis = now - call.at;
      for (final UpstreamPool.Attempt attempt : attempts) {
        attempt.cancel(now);
      }
      onComplete.accept(outcome);
    }
  }
}
