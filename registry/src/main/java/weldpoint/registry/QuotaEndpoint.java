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
 * Answers those who ask for permits: from the own part, and where that is used up from another
 * exchange's.
 */
final class QuotaEndpoint {
  private static final long FRESH_MILLIS = 8000;
  private static final long RELAY_MILLIS = 600;

  /** For how long after a change of roster others may still count by the one before. */
  private static final long STALE_MILLIS = FRESH_MILLIS + 1000;

  /** For how long a name that no voter had a permit for is refused without asking again. */
  private static final long DENIED_MILLIS = 40;

  private static final int MOST_DENIED = 4096;

  private static final int MOST_SERIES = 200;

  private record Relayed(
      PermitRequest request,
      Consumer<Message> reply,
      int granted,
      long version,
      long ageMillis,
      long cutoff) {}

  private final String self;
  private final QuotaAllocator allocator;
  private final BiPredicate<String, Message> members;
  private final Map<Long, Relayed> relayed = new HashMap<>();
  private long number;
  private long rosterNumber;
  private boolean among;
  private long amongSince;
  private int voters;
  private int votersBefore;
  private long rosterAt = Long.MIN_VALUE / 2;
  private final Map<String, Long> deniedAt = new HashMap<>();

  QuotaEndpoint(
      final String self,
      final QuotaAllocator allocator,
      final BiPredicate<String, Message> members) {
    this.self = self;
    this.allocator = allocator;
    this.members = members;
  }

  /**
   * Takes the roster that the disk held: who was among the voters before has its part from the
   * start.
   */
  void began(final Roster roster) {
    rosterNumber = roster.number;
    among = roster.index(self) >= 0;
    amongSince = Long.MIN_VALUE / 2;
    voters = roster.voters.size();
    votersBefore = voters;
  }

  /** Answers an ask for permits, or passes the rest of it on to the next voter. */
  void ask(
      final PermitRequest request,
      final Consumer<Message> reply,
      final RoutingTable routingTable,
      final Roster roster,
      final long version,
      final long ageMillis,
      final long now) {
    take(roster, now);
    final long age = Math.min(Integer.MAX_VALUE, ageMillis);
    final int granted =
        among && ageMillis < FRESH_MILLIS
            ? allocator.grant(request.name, request.count, routingTable, part(now), now)
            : 0;
    final boolean more =
        granted < request.count
            && request.hops < roster.voters.size()
            && !denied(request.name, now);
    if (!more || !relay(request, reply, granted, roster, version, age, now)) {
      reply.accept(new PermitResponse(request.number, granted, version, age));
    }
  }

  private void take(final Roster roster, final long now) {
    if (roster.number == rosterNumber) {
      return;
    }
    final boolean is = roster.index(self) >= 0;
    if (is && !among) {
      final boolean founder = rosterNumber == 0 && allocator.firstStart();
      amongSince = founder ? Long.MIN_VALUE / 2 : now + STALE_MILLIS;
    }
    among = is;
    rosterNumber = roster.number;
    rosterAt = now;
    votersBefore = voters;
    voters = roster.voters.size();
  }

  /** The own part; after a change of roster the smaller one of the two, until all have heard. */
  private QuotaShare part(final long now) {
    final int parts = now - rosterAt < STALE_MILLIS ? Math.max(voters, votersBefore) : voters;
    return new QuotaShare(parts, amongSince);
  }

  private boolean relay(
      final PermitRequest request,
      final Consumer<Message> reply,
      final int granted,
      final Roster roster,
      final long version,
      final long age,
      final long now) {
    final long key = ++number;
    final PermitRequest rest =
        new PermitRequest(key, request.name, request.count - granted, request.hops + 1);
    for (final Voter next : following(roster)) {
      if (members.test(next.address, rest)) {
        relayed.put(key, new Relayed(request, reply, granted, version, age, now + RELAY_MILLIS));
        return true;
      }
    }
    return false;
  }

  private boolean denied(final String name, final long now) {
    final Long at = deniedAt.get(name);
    return at != null && now - at < DENIED_MILLIS;
  }

  private void noteDenied(final String name, final long now) {
    if (deniedAt.size() >= MOST_DENIED) {
      deniedAt.clear();
    }
    deniedAt.put(name, now);
  }

  /** The other voters, beginning after this one; those who are none spread over all of them. */
  private List<Voter> following(final Roster roster) {
    final List<Voter> list = new ArrayList<>();
    final int size = roster.voters.size();
    final int own = roster.index(self);
    final int from = own >= 0 ? own : Math.floorMod(self.hashCode(), Math.max(1, size));
    for (int step = 1; step <= size; step++) {
      final Voter voter = roster.voters.get((from + step) % size);
      if (!voter.address.equals(self)) {
        list.add(voter);
      }
    }
    return list;
  }

  /** A voter has answered what was passed on to it. */
  void answered(final PermitResponse response, final long now) {
    final Relayed one = relayed.remove(response.number);
    if (one != null) {
      if (response.granted == 0 && one.request.hops == 0) {
        noteDenied(one.request.name, now);
      }
      one.reply.accept(
          new PermitResponse(
              one.request.number, one.granted + response.granted, one.version, one.ageMillis));
    }
  }

  void tick(final long now) {
    if (relayed.isEmpty()) {
      return;
    }
    for (final Map.Entry<Long, Relayed> entry : new ArrayList<>(relayed.entrySet())) {
      final Relayed one = entry.getValue();
      if (now > one.cutoff) {
        relayed.remove(entry.getKey());
        one.reply.accept(
            new PermitResponse(one.request.number, one.granted, one.version, one.ageMillis));
      }
    }
  }

  /** Figures of limits and permits. */
  List<Metric> figures() {
    final List<Metric> figures = new ArrayList<>();
    final String granted = "Permits granted by this registry out of its part of a tenant's limit.";
    final String refused = "Permits that this registry's part of a tenant's limit did not have.";
    for (final QuotaAllocator.TenantCount count : allocator.tenantCounts(MOST_SERIES)) {
      figures.add(
          Metric.counter("weldpoint_permits_granted", granted, count.granted())
              .withLabel("tenant", count.tenant()));
      figures.add(
          Metric.counter("weldpoint_permits_refused", refused, count.refused())
              .withLabel("tenant", count.tenant()));
    }
    return figures;
  }

  String counters() {
    return "permits " + allocator.granted() + " refused " + allocator.refused();
  }
}
