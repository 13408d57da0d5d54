package weldpoint.proxy;

/**
 * Counts requests that are open: from the moment at which they were read whole until the socket has
 * taken the last byte of their answer, or their connection has ended. Changed on the traffic thread
 * only; may be read by any.
 */
final class OpenRequests {
  private volatile int count;
  private long unwrittenBytes;

  /** A request has been read whole. */
  void begun() {
    count++;
  }

  /** The socket has taken the last byte of a request's answer, or its connection has ended. */
  void ended() {
    count--;
  }

  /** An answer with a body of so many bytes has been handed to its connection. */
  void answered(final int bytes) {
    unwrittenBytes += bytes;
  }

  /** The socket has taken an answer whose body had so many bytes, or its connection has ended. */
  void written(final int bytes) {
    unwrittenBytes -= bytes;
  }

  /** How many requests are open. */
  int count() {
    return count;
  }

  /** Bytes of answers that clients have not taken yet. */
  long unwrittenBytes() {
    return unwrittenBytes;
  }
}
