package weldpoint.registry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import weldpoint.transport.Message;
import weldpoint.transport.RegistryMessages;
import weldpoint.transport.StateStoreMessages.Roster;
import weldpoint.transport.StateStoreMessages.Voter;

/**
 * Whether this exchange knows itself to be cut off from a majority, and who told lately that it is
 * not.
 */
class MajorityReachability {
  private static final long CUT_OFF_MILLIS = 1500;
  private static final long ASK_MILLIS = 300;
  private static final long TOLD_MILLIS = 1000;

  private record PeerReport(long at, long majorityAgeMillis) {}

  private final String self;
  private final BiConsumer<String, Message> members;
  private final Map<String, PeerReport> told = new HashMap<>();
  private long startedAt;
  private long askedAt;

  MajorityReachability(final String self, final BiConsumer<String, Message> members) {
    this.self = self;
    this.members = members;
  }

  void started(final long now) {
    startedAt = now;
  }

  /**
   * Cut off: no majority has answered lately, though there was time for it, and there are lines to
   * too few voters.
   */
  boolean cutOff(
      final Roster roster,
      final List<String> seeds,
      final Set<String> connected,
      final long majorityAt,
      final long now) {
    if (now - majorityAt <= CUT_OFF_MILLIS || now - startedAt <= CUT_OFF_MILLIS) {
      return false;
    }
    if (roster.number == 0) {
      return connected.isEmpty() && seeds.stream().anyMatch(seed -> !seed.equals(self));
    }
    int reached = 0;
    for (final Voter voter : roster.voters) {
      reached += voter.address.equals(self) || connected.contains(voter.address) ? 1 : 0;
    }
    return reached < roster.majority();
  }

  /**
   * Time has passed: one that is cut off asks those it still reaches whether they hear a majority.
   */
  void tick(
      final Roster roster,
      final List<String> seeds,
      final Set<String> connected,
      final long majorityAt,
      final long now) {
    if (now - askedAt >= ASK_MILLIS && cutOff(roster, seeds, connected, majorityAt, now)) {
      askedAt = now;
      final Message question =
          new RegistryMessages.ControlStateRequest(
              0, roster.number, Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE, null, 0);
      connected.forEach(member -> members.accept(member, question));
    }
  }

  /** An exchange has told how long ago it heard of a majority. */
  void told(final String member, final long majorityAgeMillis, final long now) {
    told.put(member, new PeerReport(now, majorityAgeMillis));
  }

  /**
   * An exchange that can be reached and told lately that it hears a majority: the one whose word is
   * newest; null where there is none.
   */
  String elsewhere(final Set<String> connected, final long now) {
    String best = null;
    long youngest = CUT_OFF_MILLIS;
    for (final Map.Entry<String, PeerReport> entry : told.entrySet()) {
      final long silent = now - entry.getValue().at();
      final long age = entry.getValue().majorityAgeMillis() + silent;
      if (silent <= TOLD_MILLIS && age <= youngest && connected.contains(entry.getKey())) {
        best = entry.getKey();
        youngest = age;
      }
    }
    return best;
  }
}
