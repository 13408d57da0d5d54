package weldpoint.registry;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import weldpoint.transport.Message;
import weldpoint.transport.StateStoreMessages.Roster;

/**
 * Reads of what a majority of the voters' exchanges have on disk. Every acknowledgement was counted
 * on such a majority, so a read that began after a question came has met all that was acknowledged
 * before the question. Reads are numbered and may overlap: an answer to a later one serves the
 * earlier ones as well.
 */
class QuorumReads {
  private static final long RETRY_MILLIS = 400;
  private static final long MIN_INTERVAL_MILLIS = 40;
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

  /** Reads for this exchange. */
  QuorumReads(final String self) {
    this.self = self;
  }

  /** The read that a question that comes now must wait for. */
  long requestRead() {
    nextRequested = lastStarted + 1;
    return nextRequested;
  }

  /** The newest read that is done. */
  long lastCompleted() {
    return lastCompleted;
  }

  /**
   * When the newest read that is done began: until then, this exchange was surely in touch with a
   * majority.
   */
  long confirmedAt() {
    return confirmedAt;
  }

  /**
   * Begins the next read where one is wanted, and again where the last one has not met a majority
   * in time.
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
   * There is a line to a voter's exchange, perhaps a new one: it is asked too, where a read is
   * under way that it has not answered.
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

  /** A voter that has all that it should has answered the read of this number. */
  void recordAnswer(final String from, final long number) {
    answers.merge(from, number, Math::max);
  }

  /** A voter confirms no change before this time, and what it holds is held here. */
  void recordLease(final String voter, final long expiresAt) {
    leases.merge(voter, expiresAt, Math::max);
  }

  /** When the read of this number began; the start of time where that is not known any more. */
  long startedAt(final long number) {
    return startTimes.getOrDefault(number, Long.MIN_VALUE / 2);
  }

  /**
   * Until when no change can be acknowledged that is not held here, since a majority of voters
   * confirms none.
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
   * Whether a newer read has just met a majority; the own disk counts where it has all that it
   * should.
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

  /** The roster has changed: the new voters are asked at once. */
  void onRosterChanged() {
    leases.clear();
    lastStartedAt = Long.MIN_VALUE / 2;
  }
}
