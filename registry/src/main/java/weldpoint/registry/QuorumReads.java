package weldpoint.registry;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import weldpoint.transport.Message;
import weldpoint.transport.StateStoreMessages.Roster;

/**
 * Reads of what a majority of the voters' registries have on disk. Every acknowledged change is on
 * such a majority, so a read that starts after a request arrived sees all that was acknowledged
 * before the request. Reads are numbered and may overlap: an answer to a later read counts for the
 * earlier ones as well.
 */
class QuorumReads {
  /** After this time without a majority, another read is started. */
  private static final long RETRY_MILLIS = 400;

  /** The least time between the starts of two requested reads. */
  private static final long MIN_INTERVAL_MILLIS = 40;

  /** The start times of this many completed reads are kept. */
  private static final long RETAINED_READS = 64;

  private final String self;
  private final Map<String, Long> answers = new HashMap<>();
  private final Map<String, Long> requested = new HashMap<>();
  private final Map<String, Long> leases = new HashMap<>();
  private final Map<Long, Long> startTimes = new HashMap<>();
  private long lastStarted;
  private long lastCompleted;
  private long nextRequested;
  private long lastStartedAt = Long.MIN_VALUE / 2;
  private long confirmedAt = Long.MIN_VALUE / 2;

  /** Creates the quorum reads of this registry. */
  QuorumReads(final String self) {
    this.self = self;
  }

  /**
   * Requests a read and returns the number of the read that a request arriving now must wait for.
   */
  long requestRead() {
    nextRequested = lastStarted + 1;
    return nextRequested;
  }

  /** The number of the latest completed read. */
  long lastCompleted() {
    return lastCompleted;
  }

  /**
   * The start time of the latest completed read: up to then, this registry was certainly in contact
   * with a majority.
   */
  long confirmedAt() {
    return confirmedAt;
  }

  /**
   * Starts the next read if one is requested, and another one if the last has not reached a
   * majority in time.
   */
  void tick(
      final LongFunction<Message> request, final Consumer<Message> sendToVoters, final long now) {
    if (nextRequested > lastStarted && now - lastStartedAt >= MIN_INTERVAL_MILLIS
        || lastStarted > lastCompleted && now - lastStartedAt > RETRY_MILLIS) {
      lastStarted++;
      lastStartedAt = now;
      startTimes.put(lastStarted, now);
      sendToVoters.accept(request.apply(lastStarted));
    }
  }

  /**
   * Sends the read in progress to a voter's registry over a connection, perhaps a new one, unless
   * that voter was asked or has answered already.
   */
  void onConnected(
      final String address,
      final LongFunction<Message> request,
      final Consumer<Message> connection) {
    if (lastStarted > lastCompleted
        && answers.getOrDefault(address, 0L) < lastStarted
        && requested.getOrDefault(address, 0L) < lastStarted) {
      requested.put(address, lastStarted);
      connection.accept(request.apply(lastStarted));
    }
  }

  /** Records that a voter with complete data has answered the read of this number. */
  void recordAnswer(final String from, final long number) {
    answers.merge(from, number, Math::max);
  }

  /**
   * Records that a voter acknowledges no change before this time, and that this registry holds all
   * that the voter holds.
   */
  void recordLease(final String voter, final long expiresAt) {
    leases.merge(voter, expiresAt, Math::max);
  }

  /**
   * The start time of the read of this number; a time in the distant past if it is no longer known.
   */
  long startedAt(final long number) {
    return startTimes.getOrDefault(number, Long.MIN_VALUE / 2);
  }

  /**
   * The time until which no change that is missing here can be acknowledged, since a majority of
   * voters has leased that it acknowledges none.
   */
  long leasedUntil(final Roster roster) {
    return roster.number == 0
        ? Long.MIN_VALUE / 2
        : majorityValue(
            roster, leases, leases.getOrDefault(self, Long.MIN_VALUE / 2), Long.MIN_VALUE / 2);
  }

  private long majorityValue(
      final Roster roster, final Map<String, Long> byVoter, final long own, final long absent) {
    final long[] values = new long[roster.voters.size()];
    for (int index = 0; index < values.length; index++) {
      final String address = roster.voters.get(index).address;
      values[index] = address.equals(self) ? own : byVoter.getOrDefault(address, absent);
    }
    Arrays.sort(values);
    return values[values.length - roster.majority()];
  }

  /**
   * Whether a newer read has just reached a majority; this registry's own disk counts if its data
   * is complete.
   */
  boolean completeReads(final Roster roster, final boolean selfCounts) {
    if (roster.number == 0) {
      return false;
    }
    final long majority = majorityValue(roster, answers, selfCounts ? lastStarted : 0, 0);
    if (majority <= lastCompleted) {
      return false;
    }
    lastCompleted = majority;
    confirmedAt = startTimes.getOrDefault(lastCompleted, confirmedAt);
    startTimes.keySet().removeIf(number -> number <= lastCompleted - RETAINED_READS);
    return true;
  }

  /** Drops all leases after a change of roster and lets the new voters be asked at once. */
  void onRosterChanged() {
    leases.clear();
    lastStartedAt = Long.MIN_VALUE / 2;
  }
}
