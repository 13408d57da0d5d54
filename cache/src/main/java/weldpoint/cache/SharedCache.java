package weldpoint.cache;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import weldpoint.routing.RouteBinding;
import weldpoint.routing.RouteKind;
import weldpoint.routing.RoutingTable;
import weldpoint.transport.CacheMessages;
import weldpoint.transport.CacheMessages.CacheReadRequest;
import weldpoint.transport.CacheMessages.CacheReadResponse;
import weldpoint.transport.Protocol;

/**
 * The shared cache. Concurrent reads of one object share one fetch, no object is served beyond the
 * TTL of its route, and none that a known purge names. Objects of routes with home regions are
 * neither fetched nor stored nor served, in whichever region this node runs.
 *
 * <p>Used by {@link CacheDaemon} on its event loop thread; not thread-safe. It has no threads,
 * clocks or sockets of its own: the caller passes the current time, in milliseconds, and fetches go
 * through {@link Environment}.
 */
public class SharedCache {
  /** The result of a fetch from an origin. */
  public static final class FetchResult {
    final int status;
    final List<String> headers;
    final byte[] body;

    /**
     * Creates a result. Status 0 means that no response was received, 503 that the fetch failed,
     * for example since the origin's rate limit did not permit it in time. The headers alternate
     * between names and values.
     */
    public FetchResult(final int status, final List<String> headers, final byte[] body) {
      this.status = status;
      this.headers = headers;
      this.body = body;
    }
  }

  /** Sends the fetches of the cache; {@link OriginFetcher} outside of tests. */
  public interface Environment {
    /**
     * Fetches an object, as a revalidation where an entity tag is given. The waiter count tells how
     * many reads wait for the result at the time of the call; the callback is called exactly once.
     */
    void fetch(
        RouteBinding binding,
        String host,
        String target,
        String etag,
        IntSupplier waiterCount,
        long deadline,
        Consumer<FetchResult> onResult);
  }

  private record Waiter(
      CacheReadRequest request,
      Consumer<CacheReadResponse> reply,
      long purgeSequence,
      long deadline) {}

  private static final class Fetch {
    final RouteBinding binding;
    final CacheReadRequest request;
    final String key;
    final String hostAndPath;
    final long startedAt;
    final long purgeSequence;
    final CachedObject staleObject;
    final List<Waiter> waiters = new ArrayList<>();

    Fetch(
        final RouteBinding binding,
        final CacheReadRequest request,
        final String key,
        final long startedAt,
        final long purgeSequence,
        final CachedObject staleObject) {
      this.binding = binding;
      this.request = request;
      this.key = key;
      this.hostAndPath = hostAndPath(request.host, request.target);
      this.startedAt = startedAt;
      this.purgeSequence = purgeSequence;
      this.staleObject = staleObject;
    }
  }

  private final Environment environment;
  private final CacheStore store;
  private static final long REGISTRY_CONTACT_MILLIS = 1000;

  private final long disconnectedTrustMillis;
  private final long connectedTrustMillis;
  private final Map<String, Fetch> fetches = new HashMap<>();
  private RoutingTable routingTable;
  private List<CacheMessages.Purge> purges = List.of();
  private long purgeLogFloor;
  private long purgeSequence;
  private long purgesKnownAt;
  private long registryHeardAt;
  private long hits;
  private long misses;
  private long revalidations;

  /**
   * Creates an empty cache of at most maxBytes. It serves objects for disconnectedTrustMillis after
   * the last time at which a majority of the registry is known to have been reached, since it may
   * miss purges after that. While a registry node still reports to this cache but has no majority
   * itself, it does so for connectedTrustMillis: without a majority no purge can be acknowledged
   * either.
   */
  public SharedCache(
      final long maxBytes,
      final long disconnectedTrustMillis,
      final long connectedTrustMillis,
      final long now,
      final Environment environment) {
    this.disconnectedTrustMillis = disconnectedTrustMillis;
    this.environment = environment;
    this.store = new CacheStore(maxBytes);
    this.connectedTrustMillis = connectedTrustMillis;
    this.purgesKnownAt = now - connectedTrustMillis;
    this.registryHeardAt = now - REGISTRY_CONTACT_MILLIS;
  }

  /** Applies a configuration and drops the objects whose routes now have home regions. */
  public void updateRoutingTable(final RoutingTable newRoutingTable) {
    routingTable = newRoutingTable;
    if (newRoutingTable.allRoutes().stream().anyMatch(route -> route.homeRegions.length > 0)) {
      store.removeIf(object -> bindCacheable(object.service, object.host, object.target) == null);
    }
  }

  /**
   * Records a report of the registry that it last reached a majority ageMillis ago: all purges
   * acknowledged before then are known here.
   */
  public void majorityConfirmed(final long ageMillis, final long now) {
    purgesKnownAt = Math.max(purgesKnownAt, now - ageMillis);
    registryHeardAt = now;
  }

  private boolean purgesCurrent(final long now) {
    return now - purgesKnownAt < disconnectedTrustMillis
        || now - registryHeardAt < REGISTRY_CONTACT_MILLIS
            && now - purgesKnownAt < connectedTrustMillis;
  }

  /**
   * Applies purges. Objects and running fetches that they name are invalid; if purges between the
   * last known one and the first in the list are missing, all are.
   */
  public void updatePurges(final CacheMessages.Purges update) {
    if (update.lastSerial <= purgeSequence) {
      return;
    }
    final boolean gap = update.floorSerial > purgeSequence;
    for (final CacheMessages.Purge purge : Protocol.emptyIfNull(update.purges)) {
      if (purge.serial > purgeSequence) {
        store.purge(purge.tag == null ? hostAndPath(purge.host, purge.path) : null, purge.tag);
      }
    }
    if (gap) {
      store.clear();
    }
    purges = Protocol.emptyIfNull(update.purges);
    purgeLogFloor = update.floorSerial;
    purgeSequence = update.lastSerial;
  }

  private static String hostAndPath(final String host, final String target) {
    final int query = target.indexOf('?');
    final int colon = host.lastIndexOf(':');
    return (colon > 0 ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT)
        + (query < 0 ? target : target.substring(0, query));
  }

  /** Handles the read of an object by a proxy; replies exactly once. */
  public void handleRead(
      final CacheReadRequest request, final Consumer<CacheReadResponse> reply, final long now) {
    serveOrFetch(new Waiter(request, reply, purgeSequence, now + request.waitMillis), now);
  }

  private void serveOrFetch(final Waiter waiter, final long now) {
    final CacheReadRequest request = waiter.request;
    final RouteBinding binding = bindCacheable(request.service, request.host, request.target);
    if (binding == null || !purgesCurrent(now)) {
      waiter.reply.accept(new CacheReadResponse(request.number, 0, null, null));
      return;
    }
    final String key =
        request.service + ' ' + request.host.toLowerCase(Locale.ROOT) + request.target;
    final CachedObject object = store.get(key);
    if (object != null && now - object.fetchStartedAt < binding.route().cacheTtlMillis) {
      hits++;
      waiter.reply.accept(okResponse(request, object));
      return;
    }
    final Fetch runningFetch = fetches.get(key);
    if (runningFetch != null
        && firstPurgeAfter(runningFetch.purgeSequence, runningFetch.hostAndPath, List.of()) == 0) {
      runningFetch.waiters.add(waiter);
      return;
    }
    misses++;
    final Fetch fetch = new Fetch(binding, request, key, now, purgeSequence, object);
    fetch.waiters.add(waiter);
    fetches.put(key, fetch);
    environment.fetch(
        binding,
        request.host,
        request.target,
        object == null ? null : object.etag,
        fetch.waiters::size,
        waiter.deadline,
        result -> fetchCompleted(fetch, result));
  }

  /**
   * Returns the purge sequence against which the result of a fetch is checked: the one at its
   * start, since every later purge may name the content that it returns. Tests override this to
   * show that a sequence read later lets purged content through.
   */
  long purgeSequenceForFetch(final long sequenceAtStart) {
    return sequenceAtStart;
  }

  /** Returns the sequence number of the last known purge. */
  final long purgeSequence() {
    return purgeSequence;
  }

  /** Returns the routing of an object under the current configuration; null if not cacheable. */
  private RouteBinding bindCacheable(
      final String serviceName, final String host, final String target) {
    final int service = routingTable == null ? -1 : routingTable.serviceIndex(serviceName);
    if (service < 0) {
      return null;
    }
    final RouteBinding binding = new RouteBinding(host, target, 0);
    if (!routingTable.resolve(binding)
        || binding.route().kind != RouteKind.CACHEABLE
        || binding.route().cacheTtlMillis <= 0
        || binding.hasHomeRegions()) {
      return null;
    }
    binding.shareAcrossTenants();
    binding.overrideService(routingTable.services().get(service));
    return binding;
  }

  private static CacheReadResponse okResponse(
      final CacheReadRequest request, final CachedObject object) {
    return new CacheReadResponse(request.number, 200, object.headers, object.body);
  }

  /**
   * Returns the first purge after a sequence number that names this host and path or one of the
   * labels, or that is missing from the list of known purges; 0 if there is none.
   */
  private long firstPurgeAfter(
      final long sequence, final String hostAndPath, final List<String> labels) {
    if (sequence < purgeLogFloor) {
      return sequence + 1;
    }
    long first = 0;
    for (int index = purges.size() - 1;
        index >= 0 && purges.get(index).serial > sequence;
        index--) {
      final CacheMessages.Purge purge = purges.get(index);
      if (purge.tag == null
          ? hostAndPath(purge.host, purge.path).equals(hostAndPath)
          : labels.contains(purge.tag)) {
        first = purge.serial;
      }
    }
    return first;
  }

  private void fetchCompleted(final Fetch fetch, final FetchResult result) {
    if (fetches.get(fetch.key) == fetch) {
      fetches.remove(fetch.key);
    }
    if (!fetch.binding.revalidate(routingTable) || fetch.binding.hasHomeRegions()) {
      for (final Waiter waiter : fetch.waiters) {
        waiter.reply.accept(new CacheReadResponse(waiter.request.number, 0, null, null));
      }
      return;
    }
    CachedObject object = null;
    if (result.status == 304 && fetch.staleObject != null) {
      final String newEtag = header(result.headers, "etag");
      if (newEtag == null || newEtag.equals(fetch.staleObject.etag)) {
        object = fetch.staleObject.revalidated(fetch.startedAt, fetch.purgeSequence);
        revalidations++;
      }
    } else if (result.status == 200) {
      final String labels = header(result.headers, "weldpoint-labels");
      object =
          new CachedObject(
              fetch.key,
              fetch.request.service,
              fetch.request.host,
              fetch.request.target,
              fetch.hostAndPath,
              result.headers,
              result.body,
              header(result.headers, "etag"),
              labels == null ? List.of() : List.of(labels.strip().split("\\s+")),
              fetch.startedAt,
              fetch.purgeSequence);
    }
    final long invalidatingPurge =
        object == null
            ? 0
            : firstPurgeAfter(
                purgeSequenceForFetch(fetch.purgeSequence), fetch.hostAndPath, object.labels);
    if (object != null
        && object.etag != null
        && header(object.headers, "weldpoint-labels") != null
        && invalidatingPurge == 0) {
      final CachedObject storedObject = store.get(fetch.key);
      if (storedObject == null || storedObject.fetchStartedAt <= object.fetchStartedAt) {
        store.put(object);
      }
    }
    for (final Waiter waiter : fetch.waiters) {
      if (object == null) {
        waiter.reply.accept(
            new CacheReadResponse(
                waiter.request.number,
                result.status == 304 ? 503 : result.status,
                result.headers,
                result.body));
      } else if (waiter.purgeSequence < invalidatingPurge || invalidatingPurge == 0) {
        waiter.reply.accept(okResponse(waiter.request, object));
      } else {
        waiter.reply.accept(new CacheReadResponse(waiter.request.number, 503, null, null));
      }
    }
  }

  private static String header(final List<String> headers, final String name) {
    for (int index = 0; headers != null && index + 1 < headers.size(); index += 2) {
      if (headers.get(index).equalsIgnoreCase(name)) {
        return headers.get(index + 1);
      }
    }
    return null;
  }

  /** Returns the number of stored objects. */
  public int objectCount() {
    return store.size();
  }

  /** Returns the counters as one line for the log. */
  public String counters() {
    return "objects "
        + store.size()
        + " bytes "
        + store.bytes()
        + " hits "
        + hits
        + " misses "
        + misses
        + " revalidated "
        + revalidations
        + " purge sequence "
        + purgeSequence;
  }
}
