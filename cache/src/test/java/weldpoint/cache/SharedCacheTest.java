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
  private static final String CONFIGURATION =
      "{\"version\":\"1\",\"listeners\":[{\"host\":\"quay.example\",\"rules\":[{\"name\":\"r\",\"routeKind\":\"cacheable\",\"targetLatencyMs\":300,\"cacheTtlS\":10,\"match\":{\"pathPrefix\":\"/a/\"},\"action\":{\"service\":\"media\",\"timeoutMs\":3000,\"maxAttempts\":2}}]}],\"pools\":[{\"name\":\"media\",\"ratePerS\":50}]}";

  private record Event(long at, long order, Runnable action) {}

  /**
   * A randomized run of a cache in front of an origin whose objects change, checked against a model
   * that knows from when until when each version of an object was current.
   */
  private static final class RandomizedRun implements SharedCache.Environment {
    private final Random random;
    private final boolean readSequenceAtEnd;
    private final PriorityQueue<Event> events =
        new PriorityQueue<>(
            (first, second) ->
                first.at != second.at
                    ? Long.compare(first.at, second.at)
                    : Long.compare(first.order, second.order));
    private final List<List<Long>> versionTimes = new ArrayList<>();
    private final List<Purge> purges = new ArrayList<>();
    private final long[] purgedUntil = new long[6];
    private long now = 1_000_000;
    private long order;
    private SharedCache cache;
    private long incarnation;
    private long deliveredPurges;
    int staleAnswers;
    int answers;
    int fetches;

    RandomizedRun(final long seed, final boolean readSequenceAtEnd) {
      this.random = new Random(seed);
      this.readSequenceAtEnd = readSequenceAtEnd;
      for (int object = 0; object < 6; object++) {
        versionTimes.add(new ArrayList<>(List.of(now)));
      }
      restart();
    }

    private void restart() {
      incarnation++;
      deliveredPurges = 0;
      cache =
          readSequenceAtEnd
              ? new SharedCache(100_000, 60_000, 60_000, now, this) {
                @Override
                long purgeSequenceForFetch(final long sequenceAtStart) {
                  return purgeSequence();
                }
              }
              : new SharedCache(100_000, 60_000, 60_000, now, this);
      cache.updateRoutingTable(
          RoutingTable.compile(CONFIGURATION.getBytes(StandardCharsets.UTF_8)));
      cache.majorityConfirmed(0, now);
      deliverPurges();
    }

    private void deliverPurges() {
      final List<Purge> list =
          new ArrayList<>(purges.subList(Math.max(0, purges.size() - 4), purges.size()));
      cache.updatePurges(
          new CacheMessages.Purges(
              list.isEmpty() ? 0 : list.get(0).serial - 1, purges.size(), list));
      deliveredPurges = purges.size();
    }

    private void schedule(final long millis, final Runnable action) {
      events.add(new Event(now + millis, order++, action));
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
      fetches++;
      final long fetchIncarnation = incarnation;
      final int object = Integer.parseInt(target.substring(3));
      schedule(
          random.nextInt(800),
          () -> {
            final int version = versionTimes.get(object).size();
            final int failureDraw = random.nextInt(20);
            schedule(
                random.nextInt(1500),
                () -> {
                  if (fetchIncarnation != incarnation) {
                    return;
                  }
                  if (failureDraw == 0) {
                    onResult.accept(new SharedCache.FetchResult(503, null, null));
                  } else if (("\"" + version + "\"").equals(etag)) {
                    onResult.accept(
                        new SharedCache.FetchResult(304, List.of("ETag", etag), new byte[0]));
                  } else {
                    onResult.accept(
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

    private void sendRead() {
      final int object = random.nextInt(6);
      final long askedAt = now;
      final long purgedUntilAtRequest = purgedUntil[object];
      cache.handleRead(
          new CacheReadRequest(order, "media", "quay.example", "/a/" + object, 3000),
          response -> {
            if (response.status != 200) {
              return;
            }
            answers++;
            final int version = Integer.parseInt(new String(response.body, StandardCharsets.UTF_8));
            final List<Long> objectVersionTimes = versionTimes.get(object);
            final long replacedAt =
                version < objectVersionTimes.size()
                    ? objectVersionTimes.get(version)
                    : Long.MAX_VALUE;
            if (replacedAt < purgedUntilAtRequest || now - replacedAt > TTL) {
              staleAnswers++;
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
          event.action.run();
        }
        now = next;
        cache.majorityConfirmed(0, now);
        final int operation = random.nextInt(100);
        if (operation < 70) {
          sendRead();
        } else if (operation < 85) {
          versionTimes.get(random.nextInt(6)).add(now);
        } else if (operation < 95) {
          final int object = random.nextInt(6);
          final boolean label = random.nextBoolean();
          purges.add(
              new Purge(
                  purges.size() + 1,
                  label ? null : "quay.example",
                  label ? null : "/a/" + object,
                  label ? "t" + object % 2 : null));
          if (random.nextInt(4) > 0) {
            deliverPurges();
            recordAcknowledgedPurges();
          }
        } else if (operation < 97) {
          restart();
          recordAcknowledgedPurges();
        }
      }
    }

    private void recordAcknowledgedPurges() {
      for (final Purge purge : purges.subList(0, (int) deliveredPurges)) {
        for (int object = 0; object < 6; object++) {
          if (purge.tag == null
              ? purge.path.equals("/a/" + object)
              : purge.tag.equals("t" + object % 2)) {
            purgedUntil[object] = purge.serial > acknowledgedPurges ? now : purgedUntil[object];
          }
        }
      }
      acknowledgedPurges = deliveredPurges;
    }

    private long acknowledgedPurges;
  }

  @Test
  public void noObjectIsServedBeyondItsTtlOrAfterAnAcknowledgedPurge() {
    int answers = 0;
    int fetches = 0;
    for (long seed = 0; seed < 300; seed++) {
      final RandomizedRun run = new RandomizedRun(seed, false);
      run.run(600);
      assertEquals(run.staleAnswers, 0, "seed " + seed);
      answers += run.answers;
      fetches += run.fetches;
    }
    assertTrue(
        answers > 2 * fetches,
        "cached objects are reused: " + answers + " answers of " + fetches + " fetches");
  }

  @Test
  public void readingThePurgeSequenceWhenAFetchEndsIsDetected() {
    int staleAnswers = 0;
    for (long seed = 0; seed < 100; seed++) {
      final RandomizedRun run = new RandomizedRun(seed, true);
      run.run(600);
      staleAnswers += run.staleAnswers;
    }
    assertTrue(staleAnswers > 0);
  }

  @Test
  public void concurrentReadsShareOneFetchAndItsFailure() {
    final List<Consumer<SharedCache.FetchResult>> fetches = new ArrayList<>();
    final SharedCache cache =
        new SharedCache(
            1000,
            1700,
            5000,
            0,
            (binding, host, target, etag, waiterCount, deadline, onResult) ->
                fetches.add(onResult));
    cache.updateRoutingTable(RoutingTable.compile(CONFIGURATION.getBytes(StandardCharsets.UTF_8)));
    cache.majorityConfirmed(0, 0);
    final List<CacheReadResponse> answers = new ArrayList<>();
    for (int index = 0; index < 3; index++) {
      cache.handleRead(
          new CacheReadRequest(index, "media", "quay.example", "/a/x", 1000), answers::add, 10);
    }
    assertEquals(fetches.size(), 1);
    fetches.get(0).accept(new SharedCache.FetchResult(503, null, null));
    assertEquals(answers.size(), 3);
    cache.handleRead(
        new CacheReadRequest(9, "media", "quay.example", "/a/x", 1000), answers::add, 20);
    fetches.get(1).accept(new SharedCache.FetchResult(200, List.of("ETag", "e"), new byte[] {1}));
    assertEquals(answers.get(3).status, 200);
    assertEquals(cache.objectCount(), 0, "a response without labels is served but not stored");
    cache.handleRead(
        new CacheReadRequest(10, "media", "quay.example", "/b/x", 1000), answers::add, 30);
    cache.handleRead(
        new CacheReadRequest(11, "media", "quay.example", "/a/x", 1000), answers::add, 6000);
    assertEquals(answers.get(4).status, 0, "no route matches");
    assertEquals(answers.get(5).status, 0, "purges may have been missed");
    assertNotNull(cache.counters());
  }

  @Test
  public void objectsAreWithheldOncePurgeKnowledgeIsTooOldAndLaterWhileARegistryAnswers() {
    final List<Consumer<SharedCache.FetchResult>> fetches = new ArrayList<>();
    final SharedCache cache =
        new SharedCache(
            100_000,
            1700,
            9000,
            0,
            (binding, host, target, etag, waiterCount, deadline, onResult) ->
                fetches.add(onResult));
    cache.updateRoutingTable(RoutingTable.compile(CONFIGURATION.getBytes(StandardCharsets.UTF_8)));
    cache.majorityConfirmed(200, 1000);
    final List<Integer> statuses = new ArrayList<>();
    cache.handleRead(
        new CacheReadRequest(1, "media", "quay.example", "/a/x", 1000),
        response -> statuses.add(response.status),
        1000);
    fetches
        .get(0)
        .accept(
            new SharedCache.FetchResult(
                200, List.of("ETag", "e", "Weldpoint-Labels", "all"), new byte[] {1}));
    cache.handleRead(
        new CacheReadRequest(2, "media", "quay.example", "/a/x", 1000),
        response -> statuses.add(response.status),
        2400);
    cache.handleRead(
        new CacheReadRequest(3, "media", "quay.example", "/a/x", 1000),
        response -> statuses.add(response.status),
        2600);
    cache.majorityConfirmed(4000, 4800);
    cache.handleRead(
        new CacheReadRequest(4, "media", "quay.example", "/a/x", 1000),
        response -> statuses.add(response.status),
        5000);
    cache.majorityConfirmed(9100, 9900);
    cache.handleRead(
        new CacheReadRequest(5, "media", "quay.example", "/a/x", 1000),
        response -> statuses.add(response.status),
        9900);
    assertEquals(statuses, List.of(200, 200, 0, 200, 0));
  }

  private static RoutingTable homedRoutingTable() {
    return RoutingTable.compile(
        CONFIGURATION
            .replace("\"version\":\"1\"", "\"version\":\"2\"")
            .replace("\"timeoutMs\"", "\"homeRegions\":[\"north\"],\"timeoutMs\"")
            .getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Guards against a fault in which objects that were stored, or being fetched, before their route
   * got home regions were kept and served.
   */
  @Test
  public void noObjectIsCachedOrServedOnceItsRouteHasHomeRegions() {
    final List<Consumer<SharedCache.FetchResult>> fetches = new ArrayList<>();
    final SharedCache cache =
        new SharedCache(
            100_000,
            60_000,
            60_000,
            0,
            (binding, host, target, etag, waiterCount, deadline, onResult) ->
                fetches.add(onResult));
    cache.updateRoutingTable(RoutingTable.compile(CONFIGURATION.getBytes(StandardCharsets.UTF_8)));
    cache.majorityConfirmed(0, 0);
    final List<Integer> statuses = new ArrayList<>();
    final SharedCache.FetchResult complete =
        new SharedCache.FetchResult(
            200, List.of("ETag", "e", "Weldpoint-Labels", "all"), new byte[] {1});
    cache.handleRead(readRequest(1, "/a/x"), response -> statuses.add(response.status), 10);
    fetches.get(0).accept(complete);
    cache.handleRead(readRequest(2, "/a/y"), response -> statuses.add(response.status), 20);
    assertEquals(cache.objectCount(), 1);
    cache.updateRoutingTable(homedRoutingTable());
    assertEquals(cache.objectCount(), 0, "an object stored before the change");
    fetches.get(1).accept(complete);
    cache.handleRead(readRequest(3, "/a/x"), response -> statuses.add(response.status), 30);
    assertEquals(cache.objectCount(), 0, "a fetch that was running during the change");
    assertEquals(fetches.size(), 2, "no further fetch");
    assertEquals(statuses, List.of(200, 0, 0));
  }

  /**
   * Guards against a fault in which running fetches were discarded when a configuration with
   * tenants was applied.
   */
  @Test
  public void unrelatedConfigurationChangeKeepsRunningFetch() {
    final String tenants = "\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"k\"]}],\"listeners\"";
    final String configuration = CONFIGURATION.replace("\"listeners\"", tenants);
    final List<Consumer<SharedCache.FetchResult>> fetches = new ArrayList<>();
    final SharedCache cache =
        new SharedCache(
            100_000,
            60_000,
            60_000,
            0,
            (binding, host, target, etag, waiterCount, deadline, onResult) ->
                fetches.add(onResult));
    cache.updateRoutingTable(RoutingTable.compile(configuration.getBytes(StandardCharsets.UTF_8)));
    cache.majorityConfirmed(0, 0);
    final List<Integer> statuses = new ArrayList<>();
    cache.handleRead(readRequest(1, "/a/x"), response -> statuses.add(response.status), 10);
    cache.updateRoutingTable(
        RoutingTable.compile(
            configuration
                .replace("\"version\":\"1\"", "\"version\":\"2\"")
                .getBytes(StandardCharsets.UTF_8)));
    fetches
        .get(0)
        .accept(
            new SharedCache.FetchResult(
                200, List.of("ETag", "e", "Weldpoint-Labels", "all"), new byte[] {1}));
    assertEquals(statuses, List.of(200));
    assertEquals(cache.objectCount(), 1);
  }

  private static CacheReadRequest readRequest(final long number, final String target) {
    return new CacheReadRequest(number, "media", "quay.example", target, 1000);
  }
}
