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
 * The shared cache: one fetch per object at a time, copies no older than their route allows, and
 * nothing that a known purge names. Objects of routes with home regions are neither fetched nor
 * kept nor given, wherever this node stands. It knows neither threads nor clocks nor sockets.
 */
public class SharedCache {
  /** What came of a fetch. */
  public static final class FetchResult {
    final int status;
    final List<String> headers;
    final byte[] body;

    /** Status 0 means that nothing was learned, 503 that the origin's limit stands in the way. */
    public FetchResult(final int status, final List<String> headers, final byte[] body) {
      this.status = status;
      this.headers = headers;
      this.body = body;
    }
  }

  /** What the core does to the world. */
  public interface Environment {
    /**
     * Reads an object, with its tag where a copy is at hand; weight tells how many wait for it;
     * whoever is given hears exactly once.
     */
    void fetch(
        RouteBinding binding,
        String host,
        String target,
        String etag,
        IntSupplier weight,
        long cutoff,
        Consumer<FetchResult> done);
  }

  private record Waiter(
      CacheReadRequest request, Consumer<CacheReadResponse> reply, long mark, long cutoff) {}

  private static final class Fetch {
    final RouteBinding binding;
    final CacheReadRequest request;
    final String key;
    final String place;
    final long startedAt;
    final long mark;
    final CachedObject before;
    final List<Waiter> waiters = new ArrayList<>();

    Fetch(
        final RouteBinding binding,
        final CacheReadRequest request,
        final String key,
        final long startedAt,
        final long mark,
        final CachedObject before) {
      this.binding = binding;
      this.request = request;
      this.key = key;
      this.place = place(request.host, request.target);
      this.startedAt = startedAt;
      this.mark = mark;
      this.before = before;
    }
  }

  private final Environment environment;
  private final CacheStore shelf;
  private static final long HEARD_MILLIS = 1000;

  private final long firmMillis;
  private final long trustMillis;
  private final Map<String, Fetch> fetches = new HashMap<>();
  private RoutingTable routingTable;
  private List<CacheMessages.Purge> purges = List.of();
  private long floor;
  private long mark;
  private long knownAt;
  private long heardAt;
  private long hits;
  private long misses;
  private long renewals;

  /**
   * A cache of so many bytes. It trusts its knowledge of purges for firmMillis after a majority was
   * last heard of; while an exchange still speaks to it and has no majority itself, when no purge
   * can be acknowledged either, for trustMillis.
   */
  public SharedCache(
      final long mostBytes,
      final long firmMillis,
      final long trustMillis,
      final long now,
      final Environment environment) {
    this.firmMillis = firmMillis;
    this.environment = environment;
    this.shelf = new CacheStore(mostBytes);
    this.trustMillis = trustMillis;
    this.knownAt = now - trustMillis;
    this.heardAt = now - HEARD_MILLIS;
  }

  /** Takes a configuration; copies whose routes have got home regions are dropped. */
  public void take(final RoutingTable given) {
    routingTable = given;
    if (given.allRoutes().stream().anyMatch(route -> route.homeRegions.length > 0)) {
      shelf.removeIf(object -> bind(object.service, object.host, object.target) == null);
    }
  }

  /** A majority was heard of that long ago: all purges from before are known. */
  public void reached(final long ageMillis, final long now) {
    knownAt = Math.max(knownAt, now - ageMillis);
    heardAt = now;
  }

  private boolean trusts(final long now) {
    return now - knownAt < firmMillis
        || now - heardAt < HEARD_MILLIS && now - knownAt < trustMillis;
  }

  /** Takes purges: copies and fetches they name are void; with a gap in them, all are. */
  public void purged(final CacheMessages.Purges given) {
    if (given.mark <= mark) {
      return;
    }
    final boolean gap = given.floor > mark;
    for (final CacheMessages.Purge purge : Protocol.list(given.purges)) {
      if (purge.serial > mark) {
        shelf.purge(purge.tag == null ? place(purge.host, purge.path) : null, purge.tag);
      }
    }
    if (gap) {
      shelf.clear();
    }
    purges = Protocol.list(given.purges);
    floor = given.floor;
    mark = given.mark;
  }

  private static String place(final String host, final String target) {
    final int query = target.indexOf('?');
    final int colon = host.lastIndexOf(':');
    return (colon > 0 ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT)
        + (query < 0 ? target : target.substring(0, query));
  }

  /** A switchboard asks for an object; it hears exactly once. */
  public void ask(
      final CacheReadRequest request, final Consumer<CacheReadResponse> reply, final long now) {
    serve(new Waiter(request, reply, mark, now + request.waitMillis), now);
  }

  private void serve(final Waiter waiter, final long now) {
    final CacheReadRequest request = waiter.request;
    final RouteBinding binding = bind(request.service, request.host, request.target);
    if (binding == null || !trusts(now)) {
      waiter.reply.accept(new CacheReadResponse(request.number, 0, null, null));
      return;
    }
    final String key =
        request.service + ' ' + request.host.toLowerCase(Locale.ROOT) + request.target;
    final CachedObject object = shelf.get(key);
    if (object != null && now - object.startedAt < binding.route().cacheTtlMillis) {
      hits++;
      waiter.reply.accept(answer(request, object));
      return;
    }
    final Fetch running = fetches.get(key);
    if (running != null && named(running.mark, running.place, List.of()) == 0) {
      running.waiters.add(waiter);
      return;
    }
    misses++;
    final Fetch fetch = new Fetch(binding, request, key, now, mark, object);
    fetch.waiters.add(waiter);
    fetches.put(key, fetch);
    environment.fetch(
        binding,
        request.host,
        request.target,
        object == null ? null : object.etag,
        fetch.waiters::size,
        waiter.cutoff,
        fetched -> fetched(fetch, fetched));
  }

  /** The purges that a fetch knew; all later ones may name what it brings. */
  long knownAtStart(final long markAtStart) {
    return markAtStart;
  }

  /** The purges known now. */
  final long mark() {
    return mark;
  }

  /** What the configuration says of an object; null where no copy of it may be kept. */
  private RouteBinding bind(final String serviceName, final String host, final String target) {
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

  private static CacheReadResponse answer(
      final CacheReadRequest request, final CachedObject object) {
    return new CacheReadResponse(request.number, 200, object.headers, object.body);
  }

  /**
   * The first purge above a mark that names a place or one of the labels, or that is not known; 0
   * where there is none.
   */
  private long named(final long above, final String place, final List<String> labels) {
    if (above < floor) {
      return above + 1;
    }
    long first = 0;
    for (int index = purges.size() - 1; index >= 0 && purges.get(index).serial > above; index--) {
      final CacheMessages.Purge purge = purges.get(index);
      if (purge.tag == null
          ? place(purge.host, purge.path).equals(place)
          : labels.contains(purge.tag)) {
        first = purge.serial;
      }
    }
    return first;
  }

  private void fetched(final Fetch fetch, final FetchResult fetched) {
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
    if (fetched.status == 304 && fetch.before != null) {
      final String tag = header(fetched.headers, "etag");
      if (tag == null || tag.equals(fetch.before.etag)) {
        object = fetch.before.renewed(fetch.startedAt, fetch.mark);
        renewals++;
      }
    } else if (fetched.status == 200) {
      final String labels = header(fetched.headers, "weldpoint-labels");
      object =
          new CachedObject(
              fetch.key,
              fetch.request.service,
              fetch.request.host,
              fetch.request.target,
              fetch.place,
              fetched.headers,
              fetched.body,
              header(fetched.headers, "etag"),
              labels == null ? List.of() : List.of(labels.strip().split("\\s+")),
              fetch.startedAt,
              fetch.mark);
    }
    final long voidedBy =
        object == null ? 0 : named(knownAtStart(fetch.mark), fetch.place, object.labels);
    if (object != null
        && object.etag != null
        && header(object.headers, "weldpoint-labels") != null
        && voidedBy == 0) {
      final CachedObject present = shelf.get(fetch.key);
      if (present == null || present.startedAt <= object.startedAt) {
        shelf.put(object);
      }
    }
    for (final Waiter waiter : fetch.waiters) {
      if (object == null) {
        waiter.reply.accept(
            new CacheReadResponse(
                waiter.request.number,
                fetched.status == 304 ? 503 : fetched.status,
                fetched.headers,
                fetched.body));
      } else if (waiter.mark < voidedBy || voidedBy == 0) {
        waiter.reply.accept(answer(waiter.request, object));
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

  /** How many copies there are. */
  public int copies() {
    return shelf.size();
  }

  /** The counters, as one line. */
  public String counters() {
    return "copies "
        + shelf.size()
        + " bytes "
        + shelf.bytes()
        + " hits "
        + hits
        + " misses "
        + misses
        + " renewed "
        + renewals
        + " purges "
        + mark;
  }
}
