package weldpoint.proxy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import weldpoint.common.RendezvousHash;
import weldpoint.transport.CacheMessages.CacheReadRequest;
import weldpoint.transport.CacheMessages.CacheReadResponse;
import weldpoint.transport.Message;

/**
 * Asks announcers for objects: each object has its order among the announcers, by rendezvous
 * hashing, and the next one is asked where one cannot answer. All of it lives on the traffic
 * thread.
 */
final class CacheClient {
  private static final long DOUBT_MILLIS = 1200;
  private static final long SILENT_MILLIS = 1100;
  private static final long FORGET_MILLIS = 10_000;

  /** The lines to announcers. */
  interface Connections {
    void keep(List<String> addresses);

    boolean send(String address, Message message);

    long silentMillis(String address);
  }

  private static final class Place {
    long listedAt;
    long doubtfulUntil;
  }

  private static final class PendingRequest {
    final CacheReadRequest request;
    final Consumer<CacheReadResponse> asker;
    final List<String> order;
    final long cutoff;
    int next;
    String at;
    long sentAt;

    PendingRequest(
        final CacheReadRequest request,
        final Consumer<CacheReadResponse> asker,
        final List<String> order,
        final long cutoff) {
      this.request = request;
      this.asker = asker;
      this.order = order;
      this.cutoff = cutoff;
    }
  }

  private final Connections lines;
  private final Map<String, Place> places = new LinkedHashMap<>();
  private final Map<Long, PendingRequest> pending = new HashMap<>();
  private long number;
  long answered;
  long missed;

  CacheClient(final Connections lines) {
    this.lines = lines;
  }

  /**
   * Takes which announcers there are; one that is no longer named is kept for a while, since an
   * exchange that has just started names few.
   */
  void announcers(final List<String> named, final long now) {
    boolean changed = false;
    for (final String address : named) {
      Place place = places.get(address);
      if (place == null) {
        place = new Place();
        places.put(address, place);
        changed = true;
      }
      place.listedAt = now;
    }
    changed |=
        !named.isEmpty() && places.values().removeIf(place -> now - place.listedAt > FORGET_MILLIS);
    if (changed) {
      lines.keep(new ArrayList<>(places.keySet()));
    }
  }

  /**
   * Asks for an object; the asker hears exactly once, with status 0 where no announcer can give it.
   */
  void ask(
      final String service,
      final String host,
      final String target,
      final long waitMillis,
      final Consumer<CacheReadResponse> asker,
      final long now) {
    final List<String> order = order(host + target, now);
    final PendingRequest one =
        new PendingRequest(
            new CacheReadRequest(++number, service, host, target, waitMillis),
            asker,
            order,
            now + waitMillis);
    pending.put(one.request.number, one);
    send(one, now);
  }

  private List<String> order(final String name, final long now) {
    final List<String> all = new ArrayList<>(places.keySet());
    final Map<String, Long> ranks = new HashMap<>();
    for (final String address : all) {
      ranks.put(address, RendezvousHash.of(address, name));
    }
    all.sort(
        Comparator.comparing((String address) -> now < places.get(address).doubtfulUntil)
            .thenComparing(ranks::get));
    return all;
  }

  private void send(final PendingRequest one, final long now) {
    while (one.next < one.order.size() && now < one.cutoff) {
      final String address = one.order.get(one.next++);
      if (lines.send(address, one.request)) {
        one.at = address;
        one.sentAt = now;
        return;
      }
    }
    pending.remove(one.request.number);
    missed++;
    one.asker.accept(new CacheReadResponse(one.request.number, 0, null, null));
  }

  /** An announcer has answered. */
  void heard(final String address, final CacheReadResponse response, final long now) {
    final Place place = places.get(address);
    if (place != null) {
      place.doubtfulUntil = 0;
    }
    final PendingRequest one = pending.get(response.number);
    if (one == null || response.status == 0 && !address.equals(one.at)) {
      return;
    }
    if (response.status == 0) {
      send(one, now);
      return;
    }
    pending.remove(response.number);
    answered++;
    one.asker.accept(response);
  }

  /** The line to an announcer has ended. */
  void closed(final String address, final long now) {
    for (final PendingRequest one : new ArrayList<>(pending.values())) {
      if (address.equals(one.at)) {
        send(one, now);
      }
    }
  }

  /**
   * Time has passed: what was asked of an announcer from which nothing comes any longer is asked of
   * the next.
   */
  void sweep(final long now) {
    for (final PendingRequest one : new ArrayList<>(pending.values())) {
      final boolean silent = lines.silentMillis(one.at) > SILENT_MILLIS;
      if (silent || now >= one.cutoff) {
        final Place place = places.get(one.at);
        if (place != null && silent) {
          place.doubtfulUntil = now + DOUBT_MILLIS;
        }
        send(one, now);
      }
    }
  }

  boolean any() {
    return !places.isEmpty();
  }
}
