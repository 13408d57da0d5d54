package weldpoint.proxy;

/**
 * Counts open requests: from when one has been read completely until the socket has taken the last
 * byte of its response, or the connection has ended. Modified on the traffic thread only; {@link
 * #count} may be called from any thread.
 */
final class OpenRequests {
  private volatile int count;
  private long unwrittenBytes;

  /** Counts a request that has been read completely. */
  void requestStarted() {
    count++;
  }

  /**
   * Called when the socket has taken the last byte of a request's response, or its connection has
   * ended.
   */
  void requestEnded() {
    count--;
  }

  /** Adds a response with a body of this many bytes, which was passed to its connection. */
  void responseQueued(final int bytes) {
    unwrittenBytes += bytes;
  }

  /**
   * Removes a response with a body of this many bytes, which the socket has taken or whose
   * connection has ended.
   */
  void responseWritten(final int bytes) {
    unwrittenBytes -= bytes;
  }

  /** The number of open requests. */
  int count() {
    return count;
  }

  /** Bytes of responses that clients have not taken yet. */
  long unwrittenBytes() {
    return unwrittenBytes;
  }
}
