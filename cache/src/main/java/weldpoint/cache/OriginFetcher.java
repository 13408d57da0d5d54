package weldpoint.cache;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import weldpoint.common.Settings;
import weldpoint.proxy.PermitPool;
import weldpoint.ratelimit.RateLimit;
import weldpoint.ratelimit.SlidingWindowCounter;
import weldpoint.routing.Route;
import weldpoint.routing.RouteBinding;
import weldpoint.routing.RoutingTable;
import weldpoint.upstream.AttemptOutcome;
import weldpoint.upstream.Headers;
import weldpoint.upstream.Upstream;
import weldpoint.upstream.UpstreamConnection;
import weldpoint.upstream.UpstreamPool;

/**
 * Fetches objects from origins, within the share of each origin's rate limit that this cache daemon
 * may use. Used by {@link SharedCache}; confined to the event loop thread.
 */
final class OriginFetcher implements SharedCache.Environment {
  private static final long QUEUE_POLL_MILLIS = 25;
  private static final long PERMIT_RETRY_MILLIS = 90;
  private static final int MAX_PERMITS_PER_REQUEST = 8;
  private static final long PERMIT_LIFETIME_MILLIS = 200;
  private static final long MAX_QUEUED_MILLIS = 2500;
  private static final double MAX_QUEUED_FRACTION = 0.4;
  private static final long DEADLINE_MARGIN_MILLIS = 40;
  private static final int MAX_ATTEMPTS = 3;

  private final EventLoopGroup loop;
  private final Settings settings;
  private final UpstreamPool upstreamPool;
  private final PermitPool permits;
  private final Random random;
  private final Map<String, SlidingWindowCounter> localPermitCounters = new HashMap<>();
  private final Map<String, FetchQueue> fetchQueues = new HashMap<>();
  private final long createdAt = now();
  private int cacheDaemonCount;
  long requestsSent;
  long queueTimeouts;

  OriginFetcher(
      final EventLoopGroup loop,
      final Settings settings,
      final UpstreamPool upstreamPool,
      final PermitPool permits,
      final Random random) {
    this.loop = loop;
    this.settings = settings;
    this.upstreamPool = upstreamPool;
    this.permits = permits;
    this.random = random;
  }

  private static long now() {
    return System.nanoTime() / 1_000_000;
  }

  /**
   * Sets how many cache daemons divide the part of an origin's rate that is spent without permits
   * from the registry. The largest number ever seen counts.
   */
  void cacheDaemonCount(final int count) {
    cacheDaemonCount = Math.max(cacheDaemonCount, count);
  }

  @Override
  public void fetch(
      final RouteBinding binding,
      final String host,
      final String target,
      final String etag,
      final IntSupplier waiterCount,
      final long deadline,
      final Consumer<SharedCache.FetchResult> onResult) {
    new OriginFetch(binding, host, target, etag, waiterCount, deadline, onResult)
        .sendWhenPermitted();
  }

  private boolean takeLocalPermit(final RoutingTable.Service service, final long now) {
    final long window = settings.originWindowMillis() + RateLimit.ORIGIN_TRANSIT_MILLIS;
    if (cacheDaemonCount == 0 || !settings.firstStart() && now - createdAt < window) {
      return false;
    }
    final double limit =
        RateLimit.CACHE_FRACTION
            * service.ratePerSecond()
            * settings.originWindowMillis()
            / 1000.0
            * settings.originOvershoot()
            / cacheDaemonCount;
    return localPermitCounters
            .computeIfAbsent(service.name(), name -> new SlidingWindowCounter(window))
            .acquireUpTo(1, limit, now)
        > 0;
  }

  /**
   * Fetches of one service that wait for a permit to send to its origin. The most urgent one is
   * sent first: the one with the most waiting reads, divided by one plus the priority number of its
   * route.
   */
  private final class FetchQueue {
    private final RoutingTable.Service service;
    private final List<OriginFetch> pending = new ArrayList<>();
    private int permitsLeft;
    private long permitsGrantedAt;
    private boolean permitRequestPending;
    private long nextPermitRequestAt;
    private boolean pollScheduled;

    private FetchQueue(final RoutingTable.Service service) {
      this.service = service;
    }

    private void add(final OriginFetch fetch) {
      pending.add(fetch);
      process();
    }

    private void process() {
      final long now = now();
      pending.removeIf(fetch -> fetch.completed);
      while (!pending.isEmpty() && takePermit(now)) {
        OriginFetch mostUrgent = pending.get(0);
        for (final OriginFetch fetch : pending) {
          if (fetch.urgency() >= mostUrgent.urgency()) {
            mostUrgent = fetch;
          }
        }
        pending.remove(mostUrgent);
        mostUrgent.send();
      }
      for (final OriginFetch fetch : new ArrayList<>(pending)) {
        if (now - fetch.startedAt
                > Math.min(
                    MAX_QUEUED_MILLIS,
                    (long) (MAX_QUEUED_FRACTION * (fetch.deadline - fetch.startedAt)))
            || now >= fetch.deadline) {
          pending.remove(fetch);
          queueTimeouts++;
          if (fetch.runningAttempts() == 0) {
            fetch.complete(new SharedCache.FetchResult(503, null, null));
          }
        }
      }
      if (pending.isEmpty()) {
        return;
      }
      if (!permitRequestPending && now >= nextPermitRequestAt) {
        permitRequestPending = true;
        permits.acquire(
            RateLimit.ORIGIN.permitName(service.name()),
            Math.min(MAX_PERMITS_PER_REQUEST, pending.size()),
            (granted, version, confirmedAt) -> {
              permitRequestPending = false;
              nextPermitRequestAt = now() + (granted == 0 ? PERMIT_RETRY_MILLIS : 0);
              permitsLeft = granted;
              permitsGrantedAt = now();
              process();
            },
            now);
      }
      if (!pollScheduled) {
        pollScheduled = true;
        loop.schedule(
            () -> {
              pollScheduled = false;
              process();
            },
            QUEUE_POLL_MILLIS,
            TimeUnit.MILLISECONDS);
      }
    }

    private boolean takePermit(final long now) {
      if (permitsLeft > 0 && now - permitsGrantedAt < PERMIT_LIFETIME_MILLIS) {
        permitsLeft--;
        return true;
      }
      permitsLeft = 0;
      return takeLocalPermit(service, now);
    }
  }

  private final class OriginFetch {
    private final IntSupplier waiterCount;
    private final long startedAt = now();
    private final RouteBinding binding;
    private final RoutingTable.Service service;
    private final Route route;
    private final String host;
    private final String target;
    private final String etag;
    private final long deadline;
    private final Consumer<SharedCache.FetchResult> onResult;
    private final List<Upstream> triedUpstreams = new ArrayList<>();
    private final List<UpstreamPool.Attempt> attempts = new ArrayList<>();
    private int attemptCount;
    private boolean completed;

    private OriginFetch(
        final RouteBinding binding,
        final String host,
        final String target,
        final String etag,
        final IntSupplier waiterCount,
        final long deadline,
        final Consumer<SharedCache.FetchResult> onResult) {
      this.waiterCount = waiterCount;
      this.binding = binding;
      this.service = binding.service();
      this.route = binding.route();
      this.host = host;
      this.target = target;
      this.etag = etag;
      this.deadline = deadline - DEADLINE_MARGIN_MILLIS;
      this.onResult = onResult;
    }

    /**
     * How many upstreams one fetch may be sent to: no more than the route allows for the request
     * that caused the fetch.
     */
    private int maxAttempts() {
      return Math.min(MAX_ATTEMPTS, route.maxAttempts);
    }

    private void sendWhenPermitted() {
      final long now = now();
      if (completed) {
        return;
      }
      if (now >= deadline || attemptCount >= maxAttempts()) {
        complete(new SharedCache.FetchResult(503, null, null));
        return;
      }
      if (service.ratePerSecond() <= 0) {
        send();
        return;
      }
      fetchQueues.computeIfAbsent(service.name(), name -> new FetchQueue(service)).add(this);
    }

    private double urgency() {
      return (1.0 + waiterCount.getAsInt()) / (1 + Math.max(0, route.priority));
    }

    private void send() {
      final long now = now();
      if (completed) {
        return;
      }
      if (upstreamPool.choose(binding, triedUpstreams, now) != UpstreamPool.Choice.CHOSEN) {
        if (runningAttempts() == 0) {
          complete(new SharedCache.FetchResult(503, null, null));
        }
        return;
      }
      final Upstream upstream = upstreamPool.chosen();
      triedUpstreams.add(upstream);
      attemptCount++;
      requestsSent++;
      final DefaultFullHttpRequest request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1, HttpMethod.GET, target, Unpooled.EMPTY_BUFFER);
      final String attemptId = String.format("%016x", random.nextLong());
      request
          .headers()
          .set(HttpHeaderNames.HOST, host)
          .set(Headers.ATTEMPT_ID, attemptId)
          .set(Headers.DEADLINE_MS, Math.max(1, deadline - now))
          .set(Headers.TARGET_INSTANCE, upstream.id());
      if (etag != null) {
        request.headers().set(HttpHeaderNames.IF_NONE_MATCH, etag);
      }
      attempts.add(
          upstreamPool.send(
              upstream, binding, request, attemptId, now, deadline, this::attemptEnded));
      final long hedgeDelayMillis =
          Math.min(deadline - now, Math.max(100, (long) (0.6 * route.targetLatencyMillis)));
      loop.schedule(
          () -> {
            if (!completed
                && runningAttempts() > 0
                && now() + DEADLINE_MARGIN_MILLIS < deadline
                && attemptCount < Math.min(2, maxAttempts())
                && !othersQueued()) {
              sendWhenPermitted();
            }
          },
          hedgeDelayMillis,
          TimeUnit.MILLISECONDS);
      loop.schedule(
          () -> {
            if (!completed && now() >= deadline) {
              complete(new SharedCache.FetchResult(503, null, null));
            }
          },
          Math.max(1, deadline - now),
          TimeUnit.MILLISECONDS);
    }

    private boolean othersQueued() {
      final FetchQueue queue = fetchQueues.get(service.name());
      return queue != null && !queue.pending.isEmpty();
    }

    private int runningAttempts() {
      int count = 0;
      for (final UpstreamPool.Attempt attempt : attempts) {
        count += attempt.isRunning() ? 1 : 0;
      }
      return count;
    }

    private void attemptEnded(
        final UpstreamConnection.CompletionStatus end,
        final HttpResponse head,
        final ByteBuf body) {
      final byte[] bytes = new byte[body == null ? 0 : body.readableBytes()];
      if (body != null) {
        body.readBytes(bytes);
        body.release();
      }
      if (completed) {
        return;
      }
      if (end == UpstreamConnection.CompletionStatus.UNSENT) {
        attemptCount--;
      }
      final int status = head == null ? 0 : head.status().code();
      final boolean usable =
          AttemptOutcome.of(end, head) == AttemptOutcome.ANSWERED
              && !head.headers().contains(HttpHeaderNames.CONTENT_ENCODING)
              && (status == 200 && head.headers().contains(Headers.SERVER_SEAL)
                  || status == 304 && etag != null
                  || status >= 400 && status < 500 && status != 421 && status != 429);
      if (usable) {
        final List<String> headers = new ArrayList<>();
        final io.netty.handler.codec.http.HttpHeaders forwardedHeaders =
            new io.netty.handler.codec.http.DefaultHttpHeaders(false);
        Headers.copyEndToEnd(head.headers(), forwardedHeaders);
        forwardedHeaders.remove(Headers.ATTEMPT_ID);
        forwardedHeaders.remove(Headers.INSTANCE_LOAD);
        forwardedHeaders.forEach(
            entry -> {
              headers.add(entry.getKey());
              headers.add(entry.getValue());
            });
        complete(new SharedCache.FetchResult(status, headers, bytes));
      } else if (runningAttempts() == 0) {
        sendWhenPermitted();
      }
    }

    private void complete(final SharedCache.FetchResult result) {
      if (completed) {
        return;
      }
      completed = true;
      for (final UpstreamPool.Attempt attempt : attempts) {
        attempt.cancel();
      }
      onResult.accept(result);
    }
  }
}
