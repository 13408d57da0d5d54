package weldpoint.soak;

/** The monotonic clock of all times that a soak records. */
final class Clock {
  private Clock() {}

  /** Returns milliseconds since an arbitrary origin that is fixed for this process. */
  static long millis() {
    return System.nanoTime() / 1_000_000;
  }
}
