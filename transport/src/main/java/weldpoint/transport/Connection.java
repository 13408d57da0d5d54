package weldpoint.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;

/**
 * One connection between two programs. Any thread may send; the traffic thread may close the
 * connection at any time, also during a send.
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

  /** Returns the peer's hello; null before it has arrived. */
  public Protocol.Hello peer() {
    return peer;
  }

  /**
   * Returns the latest time of the peer's monotonic clock, in milliseconds, that was received on
   * this connection; null if none was.
   */
  public Long peerClockMillis() {
    return peerClockMillis;
  }

  /** Returns the relation to the peer's monotonic clock; known only at the end that connected. */
  public PeerClock clock() {
    return clock;
  }

  /** Records a time of the peer's monotonic clock that a message carried; null is ignored. */
  public void updatePeerClock(final Long millis) {
    if (millis != null && (peerClockMillis == null || millis > peerClockMillis)) {
      peerClockMillis = millis;
    }
  }

  /**
   * Sends a message, in order. If more than 16 MiB are pending because the peer does not read, the
   * connection is closed instead; on a closed connection the message is dropped. A message of a
   * type that the peer's release does not know is dropped too: the peer would close the connection.
   */
  public void send(final Message message) {
    if (!channel.isActive() || !peerKnows(message)) {
      return;
    }
    final ChannelOutboundBuffer outbound = channel.unsafe().outboundBuffer();
    if (outbound != null && outbound.totalPendingWriteBytes() > MAX_PENDING_BYTES) {
      channel.close();
      return;
    }
    channel.writeAndFlush(message, channel.voidPromise());
  }

  private boolean peerKnows(final Message message) {
    final Protocol.Hello hello = peer;
    final int typeNumber = Transport.typeNumber(message);
    return hello == null
        ? typeNumber < Protocol.UNANNOUNCED_MESSAGE_TYPES
        : hello.knows(typeNumber);
  }

  /** Closes the connection. */
  public void close() {
    channel.close();
  }

  /** Returns the object that the owner of the connection attached to it. */
  @SuppressWarnings("unchecked")
  public <T> T attachment() {
    return (T) attachment;
  }

  /** Attaches an object to the connection. */
  public void attach(final Object value) {
    attachment = value;
  }
}
