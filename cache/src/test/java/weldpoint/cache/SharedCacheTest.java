package weldpoint.cache;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.testng.annotations.Test;
import weldpoint.routing.RouteBinding;
import weldpoint.routing.RoutingTable;
import weldpoint.transport.CacheMessages;
import weldpoint.transport.CacheMessages.CacheReadRequest;
import weldpoint.transport.CacheMessages.CacheReadResponse;
import weldpoint.transport.CacheMessages.Purge;

public class SharedCacheTest {
  private static final long TTL = 10_000;
  private static final String SPEC =
      "{\"version\":\"1\",\"listeners\":[{\"host\":\"quay.example\",\"rules\":[{\"name\":\"r\",\"routeKind\":\"cacheable\",\"targetLatencyMs\":300,\"cacheTtlS\":10,\"match\":{\"pathPrefix\":\"/a/\"},\"action\":{\"service\":\"media\",\"timeoutMs\":3000,\"maxAttempts\":2}}]}],\"pools\":[{\"name\":\"media\",\"ratePerS\":50}]}";

  private record Event(long at, long order, Runnable deed) {}

  /**
   * An origin whose objects change, a cache before it, and a model that knows when which version
   * held.
   */
  private static final class Trial implements SharedCache.Environment {
    private final Random random;
    private final boolean lateMark;
    private final PriorityQueue<Event> events =
        new PriorityQueue<>(
            (one, other) ->
                one.at != other.at
                    ? Long.compare(one.at, other.at)
                    : Long.compare(one.order, other.order));
    private final List<List<Long>> since = new ArrayList<>();
    private final List<Purge> purges = new ArrayList<>();
    private final long[] knownPurgedTo = new long[6];
    private long now = 1_000_000;
    private long order;
    private SharedCache cache;
    private long life;
    private long told;
    int breaches;
    int answers;
    int fetches;

    Trial(final long seed, final boolean lateMark) {
      this.random = new Random(seed);
      this.lateMark = lateMark;
      for (int object = 0; object < 6; object++) {
        since.add(new ArrayList<>(List.of(now)));
      }
      restart();
    }

    private void restart() {
      life++;
      told = 0;
      cache =
          lateMark
              ? new SharedCache(100_000, 60_000, 60_000, now, this) {
                @Override
                long knownAtStart(final long markAtStart) {
                  return mark();
                }
              }
              : new SharedCache(100_000, 60_000, 60_000, now, this);
      cache.take(RoutingTable.compile(SPEC.getBytes(StandardCharsets.UTF_8)));
      cache.reached(0, now);
      tell();
    }

    private void tell() {
      final List<Purge> list =
          new ArrayList<>(purges.subList(Math.max(0, purges.size() - 4), purges.size()));
      cache.purged(
          new CacheMessages.Purges(
              list.isEmpty() ? 0 : list.get(0).serial - 1, purges.size(), list));
      told = purges.size();
    }

    private void after(final long millis, final Runnable deed) {
      events.add(new Event(now + millis, order++, deed));
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
      fetches++;
      final long mine = life;
      final int object = Integer.parseInt(target.substring(3));
      after(
          random.nextInt(800),
          () -> {
            final int version = since.get(object).size();
            final int fate = random.nextInt(20);
            after(
                random.nextInt(1500),
                () -> {
                  if (mine != life) {
                    return;
                  }
                  if (fate == 0) {
                    done.accept(new SharedCache.FetchResult(503, null, null));
                  } else if (("\"" + version + "\"").equals(etag)) {
                    done.accept(
                        new SharedCache.FetchResult(304, List.of("ETag", etag), new byte[0]));
                  } else {
                    done.accept(
                        new SharedCache.FetchResult(
                            200,
                            List.of(
                                "ETag",
                                "\"" + version + "\"",
                                "Weldpoint-Labels",
                                "all t" + object % 2),
                            Integer.toString(version).getBytes(StandardCharsets.UTF_8)));
                  }
                });
          });
    }

    private void ask() {
      final int object = random.nextInt(6);
      final long askedAt = now;
      final long purgedTo = knownPurgedTo[object];
      cache.ask(
          new CacheReadRequest(order, "media", "quay.example", "/a/" + object, 3000),
          response -> {
            if (response.status != 200) {
              return;
            }
            answers++;
            final int version = Integer.parseInt(new String(response.body, StandardCharsets.UTF_8));
            final List<Long> history = since.get(object);
            final long replacedAt =
                version < history.size() ? history.get(version) : Long.MAX_VALUE;
            if (replacedAt < purgedTo || now - replacedAt > TTL) {
              breaches++;
            }
            assertTrue(askedAt <= now);
          },
          now);
    }

    void run(final int steps) {
      for (int step = 0; step < steps; step++) {
        final long next = now + 1 + random.nextInt(120);
        while (!events.isEmpty() && events.peek().at <= next) {
          final Event event = events.poll();
          now = event.at;
          event.deed.run();
        }
        now = next;
        cache.reached(0, now);
        final int what = random.nextInt(100);
        if (what < 70) {
          ask();
        } else if (what < 85) {
          since.get(random.nextInt(6)).add(now);
        } else if (what < 95) {
          final int object = random.nextInt(6);
          final boolean label = random.nextBoolean();
          purges.add(
              new Purge(
                  purges.size() + 1,
                  label ? null : "quay.example",
                  label ? null : "/a/" + object,
                  label ? "t" + object % 2 : null));
          if (random.nextInt(4) > 0) {
            tell();
            settle();
          }
        } else if (what < 97) {
          restart();
          settle();
        }
      }
    }

    private void settle() {
      for (final Purge purge : purges.subList(0, (int) told)) {
        for (int object = 0; object < 6; object++) {
          if (purge.tag == null
              ? purge.path.equals("/a/" + object)
              : purge.tag.equals("t" + object % 2)) {
            knownPurgedTo[object] = purge.serial > settled ? now : knownPurgedTo[object];
          }
        }
      }
      settled = told;
    }

    private long settled;
  }

  @Test
  public void noCopyOutlivesItsTimeOrAPurgeInAnyOrder() {
    int answers = 0;
    int fetches = 0;
    for (long seed = 0; seed < 300; seed++) {
      final Trial trial = new Trial(seed, false);
      trial.run(600);
      assertEquals(trial.breaches, 0, "seed " + seed);
      answers += trial.answers;
      fetches += trial.fetches;
    }
    assertTrue(
        answers > 2 * fetches,
        "copies are used: " + answers + " answers of " + fetches + " fetches");
  }

  @Test
  public void aMarkTakenAtTheEndOfAFetchIsCaught() {
    int breaches = 0;
    for (long seed = 0; seed < 100; seed++) {
      final Trial trial = new Trial(seed, true);
      trial.run(600);
      breaches += trial.breaches;
    }
    assertTrue(breaches > 0);
  }

  @Test
  public void oneFetchServesAllWhoWaitAndAFailureFailsOnlyThem() {
    final List<Consumer<SharedCache.FetchResult>> fetches = new ArrayList<>();
    final SharedCache cache =
        new SharedCache(
            1000,
            1700,
            5000,
            0,
            (binding, host, target, etag, weight, cutoff, done) -> fetches.add(done));
    cache.take(RoutingTable.compile(SPEC.getBytes(StandardCharsets.UTF_8)));
    cache.reached(0, 0);
    final List<CacheReadResponse> answers = new ArrayList<>();
    for (int index = 0; index < 3; index++) {
      cache.ask(
          new CacheReadRequest(index, "media", "quay.example", "/a/x", 1000), answers::add, 10);
    }
    assertEquals(fetches.size(), 1);
    fetches.get(0).accept(new SharedCache.FetchResult(503, null, null));
    assertEquals(answers.size(), 3);
    cache.ask(new CacheReadRequest(9, "media", "quay.example", "/a/x", 1000), answers::add, 20);
    fetches.get(1).accept(new SharedCache.FetchResult(200, List.of("ETag", "e"), new byte[] {1}));
    assertEquals(answers.get(3).status, 200);
    assertEquals(cache.copies(), 0, "an answer without labels is given and not kept");
    cache.ask(new CacheReadRequest(10, "media", "quay.example", "/b/x", 1000), answers::add, 30);
    cache.ask(new CacheReadRequest(11, "media", "quay.example", "/a/x", 1000), answers::add, 6000);
    assertEquals(answers.get(4).status, 0, "no such route");
    assertEquals(answers.get(5).status, 0, "purges may have been missed");
    assertNotNull(cache.counters());
  }

  @Test
  public void copiesAreWithheldWhenNobodySpeaksAndForALittleLongerWhileAnExchangeDoes() {
    final List<Consumer<SharedCache.FetchResult>> fetches = new ArrayList<>();
    final SharedCache cache =
        new SharedCache(
            100_000,
            1700,
            9000,
            0,
            (binding, host, target, etag, weight, cutoff, done) -> fetches.add(done));
    cache.take(RoutingTable.compile(SPEC.getBytes(StandardCharsets.UTF_8)));
    cache.reached(200, 1000);
    final List<Integer> statuses = new ArrayList<>();
    cache.ask(
        new CacheReadRequest(1, "media", "quay.example", "/a/x", 1000),
        response -> statuses.add(response.status),
        1000);
    fetches
        .get(0)
        .accept(
            new SharedCache.FetchResult(
                200, List.of("ETag", "e", "Weldpoint-Labels", "all"), new byte[] {1}));
    cache.ask(
        new CacheReadRequest(2, "media", "quay.example", "/a/x", 1000),
        response -> statuses.add(response.status),
        2400);
    cache.ask(
        new CacheReadRequest(3, "media", "quay.example", "/a/x", 1000),
        response -> statuses.add(response.status),
        2600);
    cache.reached(4000, 4800);
    cache.ask(
        new CacheReadRequest(4, "media", "quay.example", "/a/x", 1000),
        response -> statuses.add(response.status),
        5000);
    cache.reached(9100, 9900);
    cache.ask(
        new CacheReadRequest(5, "media", "quay.example", "/a/x", 1000),
        response -> statuses.add(response.status),
        9900);
    assertEquals(statuses, List.of(200, 200, 0, 200, 0));
  }

  private static RoutingTable homed() {
    return RoutingTable.compile(
        SPEC.replace("\"version\":\"1\"", "\"version\":\"2\"")
            .replace("\"timeoutMs\"", "\"homeRegions\":[\"north\"],\"timeoutMs\"")
            .getBytes(StandardCharsets.UTF_8));
  }

  /** Guards against HOME: copies taken, or under way, before homes came were kept and given. */
  @Test
  public void noCopyIsKeptOrGivenOnceItsRouteHasHomes() {
    final List<Consumer<SharedCache.FetchResult>> fetches = new ArrayList<>();
    final SharedCache cache =
        new SharedCache(
            100_000,
            60_000,
            60_000,
            0,
            (binding, host, target, etag, weight, cutoff, done) -> fetches.add(done));
    cache.take(RoutingTable.compile(SPEC.getBytes(StandardCharsets.UTF_8)));
    cache.reached(0, 0);
    final List<Integer> statuses = new ArrayList<>();
    final SharedCache.FetchResult whole =
        new SharedCache.FetchResult(
            200, List.of("ETag", "e", "Weldpoint-Labels", "all"), new byte[] {1});
    cache.ask(ask(1, "/a/x"), response -> statuses.add(response.status), 10);
    fetches.get(0).accept(whole);
    cache.ask(ask(2, "/a/y"), response -> statuses.add(response.status), 20);
    assertEquals(cache.copies(), 1);
    cache.take(homed());
    assertEquals(cache.copies(), 0, "a copy taken before");
    fetches.get(1).accept(whole);
    cache.ask(ask(3, "/a/x"), response -> statuses.add(response.status), 30);
    assertEquals(cache.copies(), 0, "a fetch that was under way");
    assertEquals(fetches.size(), 2, "nothing is fetched any more");
    assertEquals(statuses, List.of(200, 0, 0));
  }

  /** Guards against fetches that were thrown away since a configuration with tenants came. */
  @Test
  public void aFetchGoesOnWhenAConfigurationComesThatDoesNotConcernIt() {
    final String tenants = "\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"k\"]}],\"listeners\"";
    final String before = SPEC.replace("\"listeners\"", tenants);
    final List<Consumer<SharedCache.FetchResult>> fetches = new ArrayList<>();
    final SharedCache cache =
        new SharedCache(
            100_000,
            60_000,
            60_000,
            0,
            (binding, host, target, etag, weight, cutoff, done) -> fetches.add(done));
    cache.take(RoutingTable.compile(before.getBytes(StandardCharsets.UTF_8)));
    cache.reached(0, 0);
    final List<Integer> statuses = new ArrayList<>();
    cache.ask(ask(1, "/a/x"), response -> statuses.add(response.status), 10);
    cache.take(
        RoutingTable.compile(
            before
                .replace("\"version\":\"1\"", "\"version\":\"2\"")
                .getBytes(StandardCharsets.UTF_8)));
    fetches
        .get(0)
        .accept(
            new SharedCache.FetchResult(
                200, List.of("ETag", "e", "Weldpoint-Labels", "all"), new byte[] {1}));
    assertEquals(statuses, List.of(200));
    assertEquals(cache.copies(), 1);
  }

  private static CacheReadRequest ask(final long number, final String target) {
    return new CacheReadRequest(number, "media", "quay.example", target, 1000);
  }
}
