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
 * Whether this registry knows itself to be cut off from a majority, and which peer recently
 * reported that it is not.
 */
class MajorityReachability {
  private static final long CUT_OFF_MILLIS = 1500;
  private static final long PROBE_INTERVAL_MILLIS = 300;

  /** How long a peer's report is used. */
  private static final long REPORT_VALID_MILLIS = 1000;

  private record PeerReport(long receivedAt, long majorityAgeMillis) {}

  private final String self;
  private final BiConsumer<String, Message> sender;
  private final Map<String, PeerReport> reports = new HashMap<>();
  private long startedAt;
  private long lastProbeAt;

  MajorityReachability(final String self, final BiConsumer<String, Message> sender) {
    this.self = self;
    this.sender = sender;
  }

  void started(final long now) {
    startedAt = now;
  }

  /**
   * Whether this registry is cut off: no majority has answered recently, although there was time
   * for it, and it is connected to too few voters.
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
    int reachable = 0;
    for (final Voter voter : roster.voters) {
      reachable += voter.address.equals(self) || connected.contains(voter.address) ? 1 : 0;
    }
    return reachable < roster.majority();
  }

  /**
   * If cut off, asks the registries it still reaches at intervals whether they are in contact with
   * a majority.
   */
  void tick(
      final Roster roster,
      final List<String> seeds,
      final Set<String> connected,
      final long majorityAt,
      final long now) {
    if (now - lastProbeAt >= PROBE_INTERVAL_MILLIS
        && cutOff(roster, seeds, connected, majorityAt, now)) {
      lastProbeAt = now;
      final Message probe =
          new RegistryMessages.ControlStateRequest(
              0, roster.number, Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE, null, 0);
      connected.forEach(member -> sender.accept(member, probe));
    }
  }

  /** Records another registry's report of how long ago it was in contact with a majority. */
  void reported(final String member, final long majorityAgeMillis, final long now) {
    reports.put(member, new PeerReport(now, majorityAgeMillis));
  }

  /**
   * A connected registry that recently reported contact with a majority: the one whose contact is
   * the most recent; null if there is none.
   */
  String peerWithMajority(final Set<String> connected, final long now) {
    String best = null;
    long smallestAge = CUT_OFF_MILLIS;
    for (final Map.Entry<String, PeerReport> entry : reports.entrySet()) {
      final long reportAge = now - entry.getValue().receivedAt();
      final long age = entry.getValue().majorityAgeMillis() + reportAge;
      if (reportAge <= REPORT_VALID_MILLIS
          && age <= smallestAge
          && connected.contains(entry.getKey())) {
        best = entry.getKey();
        smallestAge = age;
      }
    }
    return best;
  }
}
