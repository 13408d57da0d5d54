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
 * Reads objects from cache daemons. Each object has its own order of daemons, by rendezvous
 * hashing, and the next one is asked if one cannot answer. Used on the traffic thread only.
 */
final class CacheClient {
  private static final long SUSPECT_MILLIS = 1200;
  private static final long SILENCE_TIMEOUT_MILLIS = 1100;
  private static final long FORGET_DAEMON_MILLIS = 10_000;

  /** The connections to cache daemons. */
  interface Connections {
    void keep(List<String> addresses);

    boolean send(String address, Message message);

    long silentMillis(String address);
  }

  private static final class CacheDaemonState {
    long listedAt;
    long suspectUntil;
  }

  private static final class PendingRead {
    final CacheReadRequest request;
    final Consumer<CacheReadResponse> callback;
    final List<String> preferenceOrder;
    final long deadline;
    int nextIndex;
    String currentAddress;
    long sentAt;

    PendingRead(
        final CacheReadRequest request,
        final Consumer<CacheReadResponse> callback,
        final List<String> preferenceOrder,
        final long deadline) {
      this.request = request;
      this.callback = callback;
      this.preferenceOrder = preferenceOrder;
      this.deadline = deadline;
    }
  }

  private final Connections connections;
  private final Map<String, CacheDaemonState> daemons = new LinkedHashMap<>();
  private final Map<Long, PendingRead> pending = new HashMap<>();
  private long lastNumber;
  long answered;
  long missed;

  CacheClient(final Connections connections) {
    this.connections = connections;
  }

  /**
   * Sets the known cache daemons. One that is no longer listed is kept for a while, since a
   * registry that has just started lists few.
   */
  void updateDaemons(final List<String> addresses, final long now) {
    boolean changed = false;
    for (final String address : addresses) {
      CacheDaemonState daemon = daemons.get(address);
      if (daemon == null) {
        daemon = new CacheDaemonState();
        daemons.put(address, daemon);
        changed = true;
      }
      daemon.listedAt = now;
    }
    changed |=
        !addresses.isEmpty()
            && daemons.values().removeIf(daemon -> now - daemon.listedAt > FORGET_DAEMON_MILLIS);
    if (changed) {
      connections.keep(new ArrayList<>(daemons.keySet()));
    }
  }

  /**
   * Reads an object. The callback is called exactly once, with status 0 if no cache daemon can
   * provide it.
   */
  void read(
      final String service,
      final String host,
      final String target,
      final long waitMillis,
      final Consumer<CacheReadResponse> callback,
      final long now) {
    final List<String> preferenceOrder = preferenceOrder(host + target, now);
    final PendingRead pendingRead =
        new PendingRead(
            new CacheReadRequest(++lastNumber, service, host, target, waitMillis),
            callback,
            preferenceOrder,
            now + waitMillis);
    pending.put(pendingRead.request.number, pendingRead);
    send(pendingRead, now);
  }

  private List<String> preferenceOrder(final String objectName, final long now) {
    final List<String> addresses = new ArrayList<>(daemons.keySet());
    final Map<String, Long> ranks = new HashMap<>();
    for (final String address : addresses) {
      ranks.put(address, RendezvousHash.of(address, objectName));
    }
    addresses.sort(
        Comparator.comparing((String address) -> now < daemons.get(address).suspectUntil)
            .thenComparing(ranks::get));
    return addresses;
  }

  private void send(final PendingRead pendingRead, final long now) {
    while (pendingRead.nextIndex < pendingRead.preferenceOrder.size()
        && now < pendingRead.deadline) {
      final String address = pendingRead.preferenceOrder.get(pendingRead.nextIndex++);
      if (connections.send(address, pendingRead.request)) {
        pendingRead.currentAddress = address;
        pendingRead.sentAt = now;
        return;
      }
    }
    pending.remove(pendingRead.request.number);
    missed++;
    pendingRead.callback.accept(new CacheReadResponse(pendingRead.request.number, 0, null, null));
  }

  /** Handles the response of a cache daemon. */
  void responseReceived(final String address, final CacheReadResponse response, final long now) {
    final CacheDaemonState daemon = daemons.get(address);
    if (daemon != null) {
      daemon.suspectUntil = 0;
    }
    final PendingRead pendingRead = pending.get(response.number);
    if (pendingRead == null
        || response.status == 0 && !address.equals(pendingRead.currentAddress)) {
      return;
    }
    if (response.status == 0) {
      send(pendingRead, now);
      return;
    }
    pending.remove(response.number);
    answered++;
    pendingRead.callback.accept(response);
  }

  /** Asks the next cache daemon for reads that were pending on a closed connection. */
  void closed(final String address, final long now) {
    for (final PendingRead pendingRead : new ArrayList<>(pending.values())) {
      if (address.equals(pendingRead.currentAddress)) {
        send(pendingRead, now);
      }
    }
  }

  /** Asks the next cache daemon for reads whose daemon is silent; called periodically. */
  void checkTimeouts(final long now) {
    for (final PendingRead pendingRead : new ArrayList<>(pending.values())) {
      final boolean silent =
          connections.silentMillis(pendingRead.currentAddress) > SILENCE_TIMEOUT_MILLIS;
      if (silent || now >= pendingRead.deadline) {
        final CacheDaemonState daemon = daemons.get(pendingRead.currentAddress);
        if (daemon != null && silent) {
          daemon.suspectUntil = now + SUSPECT_MILLIS;
        }
        send(pendingRead, now);
      }
    }
  }

  boolean hasDaemons() {
    return !daemons.isEmpty();
  }
}
