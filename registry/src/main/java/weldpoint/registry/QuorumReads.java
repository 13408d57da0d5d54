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
  private static final long AGAIN_MILLIS = 400;
  private static final long PAUSE_MILLIS = 40;
  private static final long KEPT_READS = 64;

  private final String self;
  private final Map<String, Long> answered = new HashMap<>();
  private final Map<String, Long> asked = new HashMap<>();
  private final Map<String, Long> leased = new HashMap<>();
  private final Map<Long, Long> began = new HashMap<>();
  private long last;
  private long done;
  private long wanted;
  private long beganAt = Long.MIN_VALUE / 2;
  private long doneSince = Long.MIN_VALUE / 2;

  /** Reads for this exchange. */
  QuorumReads(final String self) {
    this.self = self;
  }

  /** The read that a question that comes now must wait for. */
  long next() {
    wanted = last + 1;
    return wanted;
  }

  /** The newest read that is done. */
  long done() {
    return done;
  }

  /**
   * When the newest read that is done began: until then, this exchange was surely in touch with a
   * majority.
   */
  long confirmedAt() {
    return doneSince;
  }

  /**
   * Begins the next read where one is wanted, and again where the last one has not met a majority
   * in time.
   */
  void tick(final LongFunction<Message> question, final Consumer<Message> voters, final long now) {
    if (wanted > last && now - beganAt >= PAUSE_MILLIS
        || last > done && now - beganAt > AGAIN_MILLIS) {
      last++;
      beganAt = now;
      began.put(last, now);
      voters.accept(question.apply(last));
    }
  }

  /**
   * There is a line to a voter's exchange, perhaps a new one: it is asked too, where a read is
   * under way that it has not answered.
   */
  void line(
      final String address, final LongFunction<Message> question, final Consumer<Message> line) {
    if (last > done
        && answered.getOrDefault(address, 0L) < last
        && asked.getOrDefault(address, 0L) < last) {
      asked.put(address, last);
      line.accept(question.apply(last));
    }
  }

  /** A voter that has all that it should has answered the read of this number. */
  void answered(final String from, final long number) {
    answered.merge(from, number, Math::max);
  }

  /** A voter confirms no change before this time, and what it holds is held here. */
  void leased(final String voter, final long until) {
    leased.merge(voter, until, Math::max);
  }

  /** When the read of this number began; the start of time where that is not known any more. */
  long began(final long number) {
    return began.getOrDefault(number, Long.MIN_VALUE / 2);
  }

  /**
   * Until when no change can be acknowledged that is not held here, since a majority of voters
   * confirms none.
   */
  long leasedUntil(final Roster roster) {
    return roster.number == 0
        ? Long.MIN_VALUE / 2
        : reached(
            roster, leased, leased.getOrDefault(self, Long.MIN_VALUE / 2), Long.MIN_VALUE / 2);
  }

  private long reached(
      final Roster roster, final Map<String, Long> answers, final long own, final long none) {
    final long[] reached = new long[roster.voters.size()];
    for (int place = 0; place < reached.length; place++) {
      final String address = roster.voters.get(place).address;
      reached[place] = address.equals(self) ? own : answers.getOrDefault(address, none);
    }
    Arrays.sort(reached);
    return reached[reached.length - roster.majority()];
  }

  /**
   * Whether a newer read has just met a majority; the own disk counts where it has all that it
   * should.
   */
  boolean complete(final Roster roster, final boolean whole) {
    if (roster.number == 0) {
      return false;
    }
    final long majority = reached(roster, answered, whole ? last : 0, 0);
    if (majority <= done) {
      return false;
    }
    done = majority;
    doneSince = began.getOrDefault(done, doneSince);
    began.keySet().removeIf(number -> number <= done - KEPT_READS);
    return true;
  }

  /** The roster has changed: the new voters are asked at once. */
  void restart() {
    leased.clear();
    beganAt = Long.MIN_VALUE / 2;
  }
}
