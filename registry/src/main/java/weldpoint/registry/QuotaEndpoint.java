package weldpoint.registry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import weldpoint.metrics.Metric;
import weldpoint.ratelimit.QuotaAllocator;
import weldpoint.ratelimit.QuotaShare;
import weldpoint.routing.RoutingTable;
import weldpoint.transport.Message;
import weldpoint.transport.PermitMessages.PermitRequest;
import weldpoint.transport.PermitMessages.PermitResponse;
import weldpoint.transport.StateStoreMessages.Roster;
import weldpoint.transport.StateStoreMessages.Voter;

/**
 * Answers requests for permits from this registry's share of a tenant's limit; once the share is
 * used up, relays the rest of the request to another voter. Used by {@link RegistryCore} on the
 * control thread.
 */
final class QuotaEndpoint {
  /** Nothing is granted if the last confirmation by a majority is older than this. */
  private static final long MAX_MAJORITY_AGE_MILLIS = 8000;

  private static final long RELAY_TIMEOUT_MILLIS = 600;

  /** How long after a roster change other registries may still use the previous roster. */
  private static final long ROSTER_PROPAGATION_MILLIS = MAX_MAJORITY_AGE_MILLIS + 1000;

  /** How long a name for which no voter had a permit is refused without relaying requests. */
  private static final long DENIAL_CACHE_MILLIS = 40;

  private static final int MAX_CACHED_DENIALS = 4096;

  private static final int MAX_TENANT_SERIES = 200;

  private record RelayedRequest(
      PermitRequest request,
      Consumer<Message> reply,
      int granted,
      long version,
      long ageMillis,
      long deadline) {}

  private final String self;
  private final QuotaAllocator allocator;
  private final BiPredicate<String, Message> registrySender;
  private final Map<Long, RelayedRequest> relayed = new HashMap<>();
  private long lastRelayNumber;
  private long rosterNumber;
  private boolean isVoter;
  private long voterSince;
  private int voterCount;
  private int previousVoterCount;
  private long rosterChangedAt = Long.MIN_VALUE / 2;
  private final Map<String, Long> deniedAt = new HashMap<>();

  QuotaEndpoint(
      final String self,
      final QuotaAllocator allocator,
      final BiPredicate<String, Message> registrySender) {
    this.self = self;
    this.allocator = allocator;
    this.registrySender = registrySender;
  }

  /**
   * Restores the roster from disk: a registry that was a voter before its restart has its share
   * from the start.
   */
  void restore(final Roster roster) {
    rosterNumber = roster.number;
    isVoter = roster.indexOf(self) >= 0;
    voterSince = Long.MIN_VALUE / 2;
    voterCount = roster.voters.size();
    previousVoterCount = voterCount;
  }

  /** Answers a request for permits, or relays the rest of it to the next voter. */
  void request(
      final PermitRequest request,
      final Consumer<Message> reply,
      final RoutingTable routingTable,
      final Roster roster,
      final long version,
      final long ageMillis,
      final long now) {
    updateRoster(roster, now);
    final long wireAgeMillis = Math.min(Integer.MAX_VALUE, ageMillis);
    final int granted =
        isVoter && ageMillis < MAX_MAJORITY_AGE_MILLIS
            ? allocator.grant(request.name, request.count, routingTable, ownShare(now), now)
            : 0;
    final boolean relayRest =
        granted < request.count
            && request.hops < roster.voters.size()
            && !recentlyDenied(request.name, now);
    if (!relayRest || !relay(request, reply, granted, roster, version, wireAgeMillis, now)) {
      reply.accept(new PermitResponse(request.number, granted, version, wireAgeMillis));
    }
  }

  private void updateRoster(final Roster roster, final long now) {
    if (roster.number == rosterNumber) {
      return;
    }
    final boolean nowVoter = roster.indexOf(self) >= 0;
    if (nowVoter && !isVoter) {
      final boolean foundingVoter = rosterNumber == 0 && allocator.firstStart();
      voterSince = foundingVoter ? Long.MIN_VALUE / 2 : now + ROSTER_PROPAGATION_MILLIS;
    }
    isVoter = nowVoter;
    rosterNumber = roster.number;
    rosterChangedAt = now;
    previousVoterCount = voterCount;
    voterCount = roster.voters.size();
  }

  /**
   * Returns this registry's share. After a roster change it is the smaller share of the two rosters
   * until every registry has the new one.
   */
  private QuotaShare ownShare(final long now) {
    final int divisor =
        now - rosterChangedAt < ROSTER_PROPAGATION_MILLIS
            ? Math.max(voterCount, previousVoterCount)
            : voterCount;
    return new QuotaShare(divisor, voterSince);
  }

  private boolean relay(
      final PermitRequest request,
      final Consumer<Message> reply,
      final int granted,
      final Roster roster,
      final long version,
      final long wireAgeMillis,
      final long now) {
    final long key = ++lastRelayNumber;
    final PermitRequest remainder =
        new PermitRequest(key, request.name, request.count - granted, request.hops + 1);
    for (final Voter next : relayCandidates(roster)) {
      if (registrySender.test(next.address, remainder)) {
        relayed.put(
            key,
            new RelayedRequest(
                request, reply, granted, version, wireAgeMillis, now + RELAY_TIMEOUT_MILLIS));
        return true;
      }
    }
    return false;
  }

  private boolean recentlyDenied(final String name, final long now) {
    final Long at = deniedAt.get(name);
    return at != null && now - at < DENIAL_CACHE_MILLIS;
  }

  private void recordDenial(final String name, final long now) {
    if (deniedAt.size() >= MAX_CACHED_DENIALS) {
      deniedAt.clear();
    }
    deniedAt.put(name, now);
  }

  /**
   * Returns the other voters, starting after this one. A registry that is not a voter starts at a
   * position given by its address, so that such registries spread over the voters.
   */
  private List<Voter> relayCandidates(final Roster roster) {
    final List<Voter> list = new ArrayList<>();
    final int size = roster.voters.size();
    final int ownIndex = roster.indexOf(self);
    final int start = ownIndex >= 0 ? ownIndex : Math.floorMod(self.hashCode(), Math.max(1, size));
    for (int step = 1; step <= size; step++) {
      final Voter voter = roster.voters.get((start + step) % size);
      if (!voter.address.equals(self)) {
        list.add(voter);
      }
    }
    return list;
  }

  /** Handles a voter's response to a relayed request. */
  void onResponse(final PermitResponse response, final long now) {
    final RelayedRequest original = relayed.remove(response.number);
    if (original != null) {
      if (response.granted == 0 && original.request.hops == 0) {
        recordDenial(original.request.name, now);
      }
      original.reply.accept(
          new PermitResponse(
              original.request.number,
              original.granted + response.granted,
              original.version,
              original.ageMillis));
    }
  }

  void tick(final long now) {
    if (relayed.isEmpty()) {
      return;
    }
    for (final Map.Entry<Long, RelayedRequest> entry : new ArrayList<>(relayed.entrySet())) {
      final RelayedRequest original = entry.getValue();
      if (now > original.deadline) {
        relayed.remove(entry.getKey());
        original.reply.accept(
            new PermitResponse(
                original.request.number, original.granted, original.version, original.ageMillis));
      }
    }
  }

  /** Returns the metrics of permits. */
  List<Metric> metrics() {
    final List<Metric> metrics = new ArrayList<>();
    final String granted = "Permits granted by this registry out of its part of a tenant's limit.";
    final String refused = "Permits that this registry's part of a tenant's limit did not have.";
    for (final QuotaAllocator.TenantCount count : allocator.tenantCounts(MAX_TENANT_SERIES)) {
      metrics.add(
          Metric.counter("weldpoint_permits_granted", granted, count.granted())
              .withLabel("tenant", count.tenant()));
      metrics.add(
          Metric.counter("weldpoint_permits_refused", refused, count.refused())
              .withLabel("tenant", count.tenant()));
    }
    return metrics;
  }

  String counters() {
    return "permits " + allocator.granted() + " refused " + allocator.refused();
  }
}
