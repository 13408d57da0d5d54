package weldpoint.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;

/**
 * One connection between two programs. Any thread may send; the traffic thread may end it at any
 * moment between.
 */
public final class Connection {
  private static final int MAX_PENDING_BYTES = 16 << 20;

  private final Channel channel;
  volatile Protocol.Hello peer;
  volatile long lastReceivedNanos = System.nanoTime();
  volatile Long peerClockMillis;
  private final PeerClock clock = new PeerClock();
  private Object attachment;

  Connection(final Channel channel) {
    this.channel = channel;
  }

  /** Who is at the other end; null before its hello. */
  public Protocol.Hello peer() {
    return peer;
  }

  /**
   * The latest time of the other end's steady clock, in milliseconds, that was heard on this very
   * line; null where none was.
   */
  public Long peerClockMillis() {
    return peerClockMillis;
  }

  /** The other end's steady clock as seen from here; known only at the end that dialled. */
  public PeerClock clock() {
    return clock;
  }

  /** A message of the other end told this time of its steady clock. */
  public void updatePeerClock(final Long millis) {
    if (millis != null && (peerClockMillis == null || millis > peerClockMillis)) {
      peerClockMillis = millis;
    }
  }

  /** Sends a message, in order; a line whose peer does not read is closed. */
  public void send(final Message message) {
    if (!channel.isActive()) {
      return;
    }
    final ChannelOutboundBuffer outbound = channel.unsafe().outboundBuffer();
    if (outbound != null && outbound.totalPendingWriteBytes() > MAX_PENDING_BYTES) {
      channel.close();
      return;
    }
    channel.writeAndFlush(message, channel.voidPromise());
  }

  /** Ends the connection. */
  public void close() {
    channel.close();
  }

  /** Whatever the owner keeps with the line. */
  @SuppressWarnings("unchecked")
  public <T> T attachment() {
    return (T) attachment;
  }

  /** Keeps something with the line. */
  public void attach(final Object value) {
    attachment = value;
  }
}
