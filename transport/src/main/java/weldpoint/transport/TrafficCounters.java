package weldpoint.transport;

/** Counts what passes over the inner protocol; written by the traffic thread only. */
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

  /** Messages that came. */
  public long messagesReceived() {
    return messagesReceived;
  }

  /** Bytes that came. */
  public long bytesReceived() {
    return bytesReceived;
  }

  /** Messages that went. */
  public long messagesSent() {
    return messagesSent;
  }

  /** Bytes that went. */
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
