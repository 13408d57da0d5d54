package weldpoint.transport;

import java.util.ArrayDeque;

/**
 * Relates the steady clock of a peer to the own one, both in milliseconds, from questions that were
 * answered with the peer's clock. It gives lower bounds only: the peer read its clock after the
 * question was sent, so that no assumption about the delay of either direction is made.
 */
public final class PeerClock {
  /** One part in so many by which the two clocks may drift apart. */
  private static final long DRIFT_PARTS = 50;

  private final ArrayDeque<Long> sentAt = new ArrayDeque<>();
  private boolean known;
  private long offset;
  private long offsetAt;

  /** A question goes out now; questions are answered in their order. */
  public synchronized void asked(final long now) {
    sentAt.addLast(now);
  }

  /** The answer to the oldest open question has come; it was given at this time of the peer. */
  public synchronized void answered(final Long peerMillis, final long now) {
    final Long asked = sentAt.pollFirst();
    if (asked == null || peerMillis == null) {
      return;
    }
    final long fresh = asked - peerMillis;
    if (!known || fresh >= offset(now)) {
      known = true;
      offset = fresh;
      offsetAt = now;
    }
  }

  private long offset(final long now) {
    return offset - (now - offsetAt) / DRIFT_PARTS;
  }

  /**
   * A time of the own clock that was not after this time of the peer's clock; null where no
   * question has been answered yet.
   */
  public synchronized Long notAfter(final long peerMillis, final long now) {
    return known ? peerMillis + offset(now) : null;
  }
}
