package weldpoint.transport;

/** Requests of registries to the state store, and the responses. */
public final class StoreMessages {
  private StoreMessages() {}

  /**
   * Where a routing change comes from: the author given, the address of the caller and the daemon
   * that received the call. For a change of configuration it carries a summary of that.
   */
  public static final class ChangeOrigin {
    public final String author;
    public final String callerAddress;
    public final String receivedBy;
    public final byte[] configurationSummary;

    public ChangeOrigin(
        final String author,
        final String callerAddress,
        final String receivedBy,
        final byte[] configurationSummary) {
      this.author = author;
      this.callerAddress = callerAddress;
      this.receivedBy = receivedBy;
      this.configurationSummary = configurationSummary;
    }
  }

  /**
   * A request to the state store. {@code contentDigest} is the digest of what the body says, for
   * operations that compare it. {@code callerIncarnation}, the incarnation of the calling process,
   * and {@code number} identify the request and are never reused. {@code ageMillis} is how long ago
   * the first copy that may have been executed was sent, or 0 if there is none. {@code
   * storeClockMillis} is the latest time of the replica's own monotonic clock that the caller had
   * received on this connection when it sent this copy.
   */
  public static final class StoreRequest implements Message {
    public final long number;
    public final int operation;
    public final String name;
    public final String owner;
    public final long first;
    public final long second;
    public final byte[] body;
    public final ChangeOrigin origin;
    public final byte[] contentDigest;
    public final long callerIncarnation;
    public final long ageMillis;
    public final Long storeClockMillis;
    private final transient long ageTakenAt;

    public StoreRequest(
        final long number,
        final int operation,
        final String name,
        final String owner,
        final long first,
        final long second,
        final byte[] body) {
      this(number, operation, name, owner, first, second, body, null);
    }

    public StoreRequest(
        final long number,
        final int operation,
        final String name,
        final String owner,
        final long first,
        final long second,
        final byte[] body,
        final ChangeOrigin origin) {
      this(number, operation, name, owner, first, second, body, origin, null);
    }

    public StoreRequest(
        final long number,
        final int operation,
        final String name,
        final String owner,
        final long first,
        final long second,
        final byte[] body,
        final ChangeOrigin origin,
        final byte[] contentDigest) {
      this(
          number,
          operation,
          name,
          owner,
          first,
          second,
          body,
          origin,
          contentDigest,
          0,
          0,
          0,
          null);
    }

    private StoreRequest(
        final long number,
        final int operation,
        final String name,
        final String owner,
        final long first,
        final long second,
        final byte[] body,
        final ChangeOrigin origin,
        final byte[] contentDigest,
        final long callerIncarnation,
        final long ageMillis,
        final long ageTakenAt,
        final Long storeClockMillis) {
      this.ageTakenAt = ageTakenAt;
      this.callerIncarnation = callerIncarnation;
      this.ageMillis = ageMillis;
      this.storeClockMillis = storeClockMillis;
      this.origin = origin;
      this.contentDigest = contentDigest;
      this.number = number;
      this.operation = operation;
      this.name = name;
      this.owner = owner;
      this.first = first;
      this.second = second;
      this.body = body;
    }

    /** Returns this request with the incarnation of its caller. */
    public StoreRequest withCaller(final long newCaller) {
      return new StoreRequest(
          number,
          operation,
          name,
          owner,
          first,
          second,
          body,
          origin,
          contentDigest,
          newCaller,
          ageMillis,
          ageTakenAt,
          storeClockMillis);
    }

    /**
     * Returns a copy of this request whose first copy that may have been executed was sent that
     * many milliseconds before now, by the caller's monotonic clock.
     */
    public StoreRequest withAge(final long newAgeMillis, final long now) {
      return new StoreRequest(
          number,
          operation,
          name,
          owner,
          first,
          second,
          body,
          origin,
          contentDigest,
          callerIncarnation,
          newAgeMillis,
          now,
          storeClockMillis);
    }

    /**
     * Returns a copy of this request to be sent now, with its age updated, over a connection on
     * which this time of the replica's clock was the latest received.
     */
    public StoreRequest stampedForSend(final Long newStoreClockMillis, final long now) {
      return new StoreRequest(
          number,
          operation,
          name,
          owner,
          first,
          second,
          body,
          origin,
          contentDigest,
          callerIncarnation,
          ageMillis == 0 ? 0 : ageMillis + Math.max(0, now - ageTakenAt),
          ageTakenAt,
          newStoreClockMillis);
    }
  }

  /**
   * The store's response to the request of this number and caller, with the time of the replica's
   * monotonic clock. Status 0 means that nothing was done and that the request should be sent to
   * {@code holder}, which is null if no holder is known.
   */
  public static final class StoreResponse implements Message {
    public final long number;
    public final int status;
    public final long first;
    public final byte[] body;
    public final String holder;
    public final long callerIncarnation;
    public final Long storeClockMillis;

    public StoreResponse(
        final long number,
        final int status,
        final long first,
        final byte[] body,
        final String holder) {
      this(number, status, first, body, holder, 0, null);
    }

    private StoreResponse(
        final long number,
        final int status,
        final long first,
        final byte[] body,
        final String holder,
        final long callerIncarnation,
        final Long storeClockMillis) {
      this.storeClockMillis = storeClockMillis;
      this.callerIncarnation = callerIncarnation;
      this.number = number;
      this.status = status;
      this.first = first;
      this.body = body;
      this.holder = holder;
    }

    /** Returns this response with the incarnation of the caller it is for. */
    public StoreResponse withCaller(final long newCaller) {
      return new StoreResponse(number, status, first, body, holder, newCaller, storeClockMillis);
    }

    /** Returns this response as sent at a time of its sender's monotonic clock, in milliseconds. */
    public StoreResponse withClock(final long millis) {
      return new StoreResponse(number, status, first, body, holder, callerIncarnation, millis);
    }
  }
}
