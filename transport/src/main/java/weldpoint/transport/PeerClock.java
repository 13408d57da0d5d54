package weldpoint.transport;

import java.util.ArrayDeque;

/**
 * Relates the steady clock of a peer to the own one, both in milliseconds, from questions that were
 * answered with the peer's clock. It gives lower bounds only: the peer read its clock after the
 * question was sent, so that no assumption about the delay of either direction is made.
 */
public final class PeerClock {
  /** One part in so many by which the two clocks may drift apart. */
  private static final long MAX_DRIFT_DIVISOR = 50;

  private final ArrayDeque<Long> sentAt = new ArrayDeque<>();
  private boolean known;
  private long offset;
  private long offsetAt;

  /** A question goes out now; questions are answered in their order. */
  public synchronized void requestSent(final long now) {
    sentAt.addLast(now);
  }

  /** The answer to the oldest open question has come; it was given at this time of the peer. */
  public synchronized void responseReceived(final Long peerMillis, final long now) {
    final Long requestSentAt = sentAt.pollFirst();
    if (requestSentAt == null || peerMillis == null) {
      return;
    }
    final long measured = requestSentAt - peerMillis;
    if (!known || measured >= offset(now)) {
      known = true;
      offset = measured;
      offsetAt = now;
    }
  }

  private long offset(final long now) {
    return offset - (now - offsetAt) / MAX_DRIFT_DIVISOR;
  }

  /**
   * A time of the own clock that was not after this time of the peer's clock; null where no
   * question has been answered yet.
   */
  public synchronized Long localLowerBound(final long peerMillis, final long now) {
    return known ? peerMillis + offset(now) : null;
  }
}
