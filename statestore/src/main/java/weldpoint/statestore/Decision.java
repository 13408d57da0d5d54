package weldpoint.statestore;

/** What a call comes to: an answer, a new value to be written first, or a wait. */
final class Decision {
  enum Way {
    /** Answer once the ballot is confirmed. */
    CONFIRM,
    /** Answer at once: what is told was decided before and stays true. */
    TELL,
    /** Answer once the new value is on a majority of disks. */
    WRITE,
    /** Evaluate again once the ballot is confirmed. */
    READ,
    /** Wait for a change. */
    PARK,
  }

  final Way way;
  final int status;
  final long first;
  final byte[] body;
  final Object value;
  final StoredValues.Put put;

  private Decision(
      final Way way,
      final int status,
      final long first,
      final byte[] body,
      final Object value,
      final StoredValues.Put put) {
    this.way = way;
    this.status = status;
    this.first = first;
    this.body = body;
    this.value = value;
    this.put = put;
  }

  static Decision confirm(final int status, final long first) {
    return confirm(status, first, null);
  }

  static Decision confirm(final int status, final long first, final byte[] body) {
    return new Decision(Way.CONFIRM, status, first, body, null, null);
  }

  static Decision tell(final int status, final long first, final byte[] body) {
    return new Decision(Way.TELL, status, first, body, null, null);
  }

  static Decision write(final Object value, final StoredValues.Put put, final long first) {
    return new Decision(Way.WRITE, 200, first, null, value, put);
  }

  static Decision read() {
    return new Decision(Way.READ, 0, 0, null, null, null);
  }

  static Decision park() {
    return new Decision(Way.PARK, 0, 0, null, null, null);
  }
}
