package weldpoint.transport;

/** Counts what passes over the inner protocol; written by the traffic thread only. */
public final class TrafficCounters {
  private volatile long messagesIn;
  private volatile long bytesIn;
  private volatile long messagesOut;
  private volatile long bytesOut;

  TrafficCounters() {}

  void in(final long bytes) {
    messagesIn++;
    bytesIn += bytes;
  }

  void out(final long bytes) {
    messagesOut++;
    bytesOut += bytes;
  }

  /** Messages that came. */
  public long messagesIn() {
    return messagesIn;
  }

  /** Bytes that came. */
  public long bytesIn() {
    return bytesIn;
  }

  /** Messages that went. */
  public long messagesOut() {
    return messagesOut;
  }

  /** Bytes that went. */
  public long bytesOut() {
    return bytesOut;
  }

  @Override
  public String toString() {
    return "trunk-in " + messagesIn + " " + bytesIn + " trunk-out " + messagesOut + " " + bytesOut;
  }
}
