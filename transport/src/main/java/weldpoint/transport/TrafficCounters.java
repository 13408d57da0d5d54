package weldpoint.transport;

/** Counts the messages and bytes of the internal protocol; written by the traffic thread only. */
public final class TrafficCounters {
  private volatile long messagesReceived;
  private volatile long bytesReceived;
  private volatile long messagesSent;
  private volatile long bytesSent;

  TrafficCounters() {}

  void recordReceived(final long bytes) {
    messagesReceived++;
    bytesReceived += bytes;
  }

  void recordSent(final long bytes) {
    messagesSent++;
    bytesSent += bytes;
  }

  /** Returns the number of messages received. */
  public long messagesReceived() {
    return messagesReceived;
  }

  /** Returns the number of bytes received, with frame headers. */
  public long bytesReceived() {
    return bytesReceived;
  }

  /** Returns the number of messages sent. */
  public long messagesSent() {
    return messagesSent;
  }

  /** Returns the number of bytes sent, with frame headers. */
  public long bytesSent() {
    return bytesSent;
  }

  @Override
  public String toString() {
    return "trunk-in "
        + messagesReceived
        + " "
        + bytesReceived
        + " trunk-out "
        + messagesSent
        + " "
        + bytesSent;
  }
}
