package weldpoint.transport;

import java.util.ArrayDeque;

/**
 * Relates the monotonic clock of a peer to the local one, both in milliseconds, by requests that
 * the peer answers with its clock. It gives lower bounds only: the peer reads its clock after the
 * request was sent, so that no assumption is made about the delay in either direction.
 */
public final class PeerClock {
  /** The clocks may drift apart by one part in this many. */
  private static final long MAX_DRIFT_DIVISOR = 50;

  private final ArrayDeque<Long> sentAt = new ArrayDeque<>();
  private boolean known;
  private long offset;
  private long offsetAt;

  /** A request is being sent; requests are answered in the order in which they are sent. */
  public synchronized void requestSent(final long now) {
    sentAt.addLast(now);
  }

  /** The oldest pending request was answered, with this time of the peer's clock or null. */
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
   * Returns a time of the local clock that was not after the given time of the peer's clock; null
   * if no request has been answered yet.
   */
  public synchronized Long localLowerBound(final long peerMillis, final long now) {
    return known ? peerMillis + offset(now) : null;
  }
}
