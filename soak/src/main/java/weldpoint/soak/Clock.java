package weldpoint.soak;

/** The steady clock that all of a soak's records share. */
final class Clock {
  private Clock() {}

  /** Milliseconds since an arbitrary moment of this process. */
  static long millis() {
    return System.nanoTime() / 1_000_000;
  }
}
