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
 * Reads objects from origins, within the part of their rate that this announcer may use. All of it
 * lives on the traffic thread.
 */
final class OriginFetcher implements SharedCache.Environment {
  private static final long STEP_MILLIS = 25;
  private static final long ASK_PAUSE_MILLIS = 90;
  private static final int MOST_ASKED = 8;
  private static final long LOT_MILLIS = 200;
  private static final long MOST_HELD_MILLIS = 2500;
  private static final double HELD_PART = 0.4;
  private static final long MARGIN_MILLIS = 40;
  private static final int MOST_TRIES = 3;

  private final EventLoopGroup loop;
  private final Settings settings;
  private final UpstreamPool upstreamPool;
  private final PermitPool permits;
  private final Random random;
  private final Map<String, SlidingWindowCounter> counters = new HashMap<>();
  private final Map<String, FetchQueue> waitings = new HashMap<>();
  private final long openedAt = now();
  private int announcers;
  long sent;
  long held;

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

  /** Takes how many announcers share what need not be asked for; the most ever seen counts. */
  void announcers(final int count) {
    announcers = Math.max(announcers, count);
  }

  @Override
  public void fetch(
      final RouteBinding binding,
      final String host,
      final String target,
      final String etag,
      final IntSupplier weight,
      final long cutoff,
      final Consumer<SharedCache.FetchResult> done) {
    new OriginFetch(binding, host, target, etag, weight, cutoff, done).permit();
  }

  private boolean own(final RoutingTable.Service service, final long now) {
    final long window = settings.originWindowMillis() + RateLimit.ORIGIN_TRANSIT_MILLIS;
    if (announcers == 0 || !settings.firstStart() && now - openedAt < window) {
      return false;
    }
    final double limit =
        RateLimit.CACHE_SHARE
            * service.ratePerSecond()
            * settings.originWindowMillis()
            / 1000.0
            * settings.originOvershoot()
            / announcers;
    return counters
            .computeIfAbsent(service.name(), name -> new SlidingWindowCounter(window))
            .take(1, limit, now)
        > 0;
  }

  /** Reads that wait until the origin may be asked again: those that most wait for go first. */
  private final class FetchQueue {
    private final RoutingTable.Service service;
    private final List<OriginFetch> reads = new ArrayList<>();
    private int lot;
    private long lotAt;
    private boolean asking;
    private long askAt;
    private boolean stepping;

    private FetchQueue(final RoutingTable.Service service) {
      this.service = service;
    }

    private void add(final OriginFetch read) {
      reads.add(read);
      run();
    }

    private void run() {
      final long now = now();
      reads.removeIf(read -> read.over);
      while (!reads.isEmpty() && take(now)) {
        OriginFetch best = reads.get(0);
        for (final OriginFetch read : reads) {
          if (read.urgency() >= best.urgency()) {
            best = read;
          }
        }
        reads.remove(best);
        best.send();
      }
      for (final OriginFetch read : new ArrayList<>(reads)) {
        if (now - read.waitsSince
                > Math.min(MOST_HELD_MILLIS, (long) (HELD_PART * (read.cutoff - read.waitsSince)))
            || now >= read.cutoff) {
          reads.remove(read);
          held++;
          if (read.running() == 0) {
            read.end(new SharedCache.FetchResult(503, null, null));
          }
        }
      }
      if (reads.isEmpty()) {
        return;
      }
      if (!asking && now >= askAt) {
        asking = true;
        permits.ask(
            RateLimit.ORIGIN.permit(service.name()),
            Math.min(MOST_ASKED, reads.size()),
            (granted, version, confirmedAt) -> {
              asking = false;
              askAt = now() + (granted == 0 ? ASK_PAUSE_MILLIS : 0);
              lot = granted;
              lotAt = now();
              run();
            },
            now);
      }
      if (!stepping) {
        stepping = true;
        loop.schedule(
            () -> {
              stepping = false;
              run();
            },
            STEP_MILLIS,
            TimeUnit.MILLISECONDS);
      }
    }

    private boolean take(final long now) {
      if (lot > 0 && now - lotAt < LOT_MILLIS) {
        lot--;
        return true;
      }
      lot = 0;
      return own(service, now);
    }
  }

  private final class OriginFetch {
    private final IntSupplier weight;
    private final long waitsSince = now();
    private final RouteBinding binding;
    private final RoutingTable.Service service;
    private final Route route;
    private final String host;
    private final String target;
    private final String etag;
    private final long cutoff;
    private final Consumer<SharedCache.FetchResult> done;
    private final List<Upstream> tried = new ArrayList<>();
    private final List<UpstreamPool.Attempt> attempts = new ArrayList<>();
    private int tries;
    private boolean over;

    private OriginFetch(
        final RouteBinding binding,
        final String host,
        final String target,
        final String etag,
        final IntSupplier weight,
        final long cutoff,
        final Consumer<SharedCache.FetchResult> done) {
      this.weight = weight;
      this.binding = binding;
      this.service = binding.service();
      this.route = binding.route();
      this.host = host;
      this.target = target;
      this.etag = etag;
      this.cutoff = cutoff - MARGIN_MILLIS;
      this.done = done;
    }

    /**
     * How many upstreams one read may be sent to: no more than the route allows for the request
     * that caused it.
     */
    private int most() {
      return Math.min(MOST_TRIES, route.maxAttempts);
    }

    private void permit() {
      final long now = now();
      if (over) {
        return;
      }
      if (now >= cutoff || tries >= most()) {
        end(new SharedCache.FetchResult(503, null, null));
        return;
      }
      if (service.ratePerSecond() <= 0) {
        send();
        return;
      }
      waitings.computeIfAbsent(service.name(), name -> new FetchQueue(service)).add(this);
    }

    private double urgency() {
      return (1.0 + weight.getAsInt()) / (1 + Math.max(0, route.priority));
    }

    private void send() {
      final long now = now();
      if (over) {
        return;
      }
      if (upstreamPool.choose(binding, tried, now) != UpstreamPool.Choice.CHOSEN) {
        if (running() == 0) {
          end(new SharedCache.FetchResult(503, null, null));
        }
        return;
      }
      final Upstream upstream = upstreamPool.chosen();
      tried.add(upstream);
      tries++;
      sent++;
      final DefaultFullHttpRequest request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1, HttpMethod.GET, target, Unpooled.EMPTY_BUFFER);
      final String id = String.format("%016x", random.nextLong());
      request
          .headers()
          .set(HttpHeaderNames.HOST, host)
          .set(Headers.ATTEMPT_ID, id)
          .set(Headers.DEADLINE, Math.max(1, cutoff - now))
          .set(Headers.TARGET, upstream.id());
      if (etag != null) {
        request.headers().set(HttpHeaderNames.IF_NONE_MATCH, etag);
      }
      attempts.add(upstreamPool.send(upstream, binding, request, id, now, cutoff, this::ended));
      final long patience =
          Math.min(cutoff - now, Math.max(100, (long) (0.6 * route.targetLatencyMillis)));
      loop.schedule(
          () -> {
            if (!over
                && running() > 0
                && now() + MARGIN_MILLIS < cutoff
                && tries < Math.min(2, most())
                && !crowded()) {
              permit();
            }
          },
          patience,
          TimeUnit.MILLISECONDS);
      loop.schedule(
          () -> {
            if (!over && now() >= cutoff) {
              end(new SharedCache.FetchResult(503, null, null));
            }
          },
          Math.max(1, cutoff - now),
          TimeUnit.MILLISECONDS);
    }

    private boolean crowded() {
      final FetchQueue waiting = waitings.get(service.name());
      return waiting != null && !waiting.reads.isEmpty();
    }

    private int running() {
      int count = 0;
      for (final UpstreamPool.Attempt attempt : attempts) {
        count += attempt.running() ? 1 : 0;
      }
      return count;
    }

    private void ended(
        final UpstreamConnection.End end, final HttpResponse head, final ByteBuf body) {
      final byte[] bytes = new byte[body == null ? 0 : body.readableBytes()];
      if (body != null) {
        body.readBytes(bytes);
        body.release();
      }
      if (over) {
        return;
      }
      if (end == UpstreamConnection.End.UNSENT) {
        tries--;
      }
      final int status = head == null ? 0 : head.status().code();
      final boolean sound =
          AttemptOutcome.of(end, head) == AttemptOutcome.ANSWERED
              && !head.headers().contains(HttpHeaderNames.CONTENT_ENCODING)
              && (status == 200 && head.headers().contains(Headers.SEAL)
                  || status == 304 && etag != null
                  || status >= 400 && status < 500 && status != 421 && status != 429);
      if (sound) {
        final List<String> headers = new ArrayList<>();
        final io.netty.handler.codec.http.HttpHeaders kept =
            new io.netty.handler.codec.http.DefaultHttpHeaders(false);
        Headers.copy(head.headers(), kept);
        kept.remove(Headers.ATTEMPT_ID);
        kept.remove(Headers.LOAD);
        kept.forEach(
            entry -> {
              headers.add(entry.getKey());
              headers.add(entry.getValue());
            });
        end(new SharedCache.FetchResult(status, headers, bytes));
      } else if (running() == 0) {
        permit();
      }
    }

    private void end(final SharedCache.FetchResult fetched) {
      if (over) {
        return;
      }
      over = true;
      for (final UpstreamPool.Attempt attempt : attempts) {
        attempt.abandon();
      }
      done.accept(fetched);
    }
  }
}
