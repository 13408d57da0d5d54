package weldpoint.exchange;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import weldpoint.dialplan.Dialplan;
import weldpoint.ratelimit.QuotaAllocator;
import weldpoint.trunk.Message;
import weldpoint.trunk.Words.PermitAnswer;
import weldpoint.trunk.Words.PermitAsk;
import weldpoint.trunk.Words.Roster;
import weldpoint.trunk.Words.Voter;

/**
 * Answers those who ask for permits: from the own part, and where that is used up from another
 * exchange's.
 */
final class QuotaEndpoint {
  private static final long FRESH_MILLIS = 4000;
  private static final long RELAY_MILLIS = 600;

  private record Relayed(
      PermitAsk ask,
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
  }

  void ask(
      final PermitAsk ask,
      final Consumer<Message> reply,
      final Dialplan plan,
      final Roster roster,
      final long version,
      final long ageMillis,
      final long now) {
    if (roster.number != rosterNumber) {
      rosterNumber = roster.number;
      final boolean is = roster.index(self) >= 0;
      if (is && !among) {
        amongSince = now;
      }
      among = is;
    }
    final long age = Math.min(Integer.MAX_VALUE, ageMillis);
    final int granted =
        among && ageMillis < FRESH_MILLIS
            ? allocator.grant(ask.name, ask.count, plan, roster.voters.size(), amongSince, now)
            : 0;
    if (granted < ask.count && ask.hops < roster.voters.size()) {
      final long key = ++number;
      for (final Voter next : following(roster)) {
        if (members.test(
            next.address, new PermitAsk(key, ask.name, ask.count - granted, ask.hops + 1))) {
          relayed.put(key, new Relayed(ask, reply, granted, version, age, now + RELAY_MILLIS));
          return;
        }
      }
    }
    reply.accept(new PermitAnswer(ask.number, granted, version, age));
  }

  private List<Voter> following(final Roster roster) {
    final List<Voter> list = new ArrayList<>();
    final int size = roster.voters.size();
    final int from = Math.max(0, roster.index(self));
    for (int step = 1; step <= size; step++) {
      final Voter voter = roster.voters.get((from + step) % size);
      if (!voter.address.equals(self)) {
        list.add(voter);
      }
    }
    return list;
  }

  void answered(final PermitAnswer answer) {
    final Relayed one = relayed.remove(answer.number);
    if (one != null) {
      one.reply.accept(
          new PermitAnswer(
              one.ask.number, one.granted + answer.granted, one.version, one.ageMillis));
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
        one.reply.accept(new PermitAnswer(one.ask.number, one.granted, one.version, one.ageMillis));
      }
    }
  }

  String counters() {
    return "permits " + allocator.granted() + " refused " + allocator.refused();
  }
}
