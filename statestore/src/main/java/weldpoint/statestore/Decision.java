package weldpoint.statestore;

/** The leader's decision on a request: an answer, a new value to write first, or a wait. */
final class Decision {
  enum Action {
    /** Answer once the ballot is confirmed. */
    CONFIRM,
    /** Answer at once: the answer was decided before and stays true. */
    REPLY,
    /** Answer once the new value is on a majority of disks. */
    WRITE,
    /** Evaluate again once the ballot is confirmed. */
    READ,
    /** Wait until the register changes. */
    PARK,
  }

  final Action action;
  final int status;
  final long first;
  final byte[] body;
  final Object value;
  final StoredValues.Put put;

  private Decision(
      final Action action,
      final int status,
      final long first,
      final byte[] body,
      final Object value,
      final StoredValues.Put put) {
    this.action = action;
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
    return new Decision(Action.CONFIRM, status, first, body, null, null);
  }

  static Decision reply(final int status, final long first, final byte[] body) {
    return new Decision(Action.REPLY, status, first, body, null, null);
  }

  static Decision write(final Object value, final StoredValues.Put put, final long first) {
    return new Decision(Action.WRITE, 200, first, null, value, put);
  }

  static Decision read() {
    return new Decision(Action.READ, 0, 0, null, null, null);
  }

  static Decision park() {
    return new Decision(Action.PARK, 0, 0, null, null, null);
  }
}
