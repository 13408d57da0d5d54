package weldpoint.transport;

/** Calls of registries to the state store, and their answers. */
public final class StoreMessages {
  private StoreMessages() {}

  /**
   * Who wants a change of routing: the author named, the address it came from and the daemon that
   * took it; extra is a configuration's summary.
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
   * A call to the store; content is the digest of what its body says, where the deed compares that.
   * Caller, the incarnation of the process that calls, and number are its identity, which never
   * recurs. Age is how long ago the first copy of it that may have been carried out was sent, 0
   * where there is none; clock is the latest time of the frame's own steady clock that the caller
   * had heard over this line when it sent this copy.
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

    /** This call in the name of a caller. */
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
     * A copy of this call whose first copy that may have been carried out was sent so long before
     * now, by the caller's steady clock.
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
     * A copy of this call as it leaves now, over a line on which this time of the frame's clock had
     * been heard before.
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
   * The store's answer to the call of this number and caller, with the time of the frame's steady
   * clock; status 0 means that nothing was done and "ask the holder named", or nobody knows one
   * where it is null.
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

    /** This answer for a caller. */
    public StoreResponse withCaller(final long newCaller) {
      return new StoreResponse(number, status, first, body, holder, newCaller, storeClockMillis);
    }

    /** This answer as it leaves, at this time of its sender's steady clock. */
    public StoreResponse withClock(final long millis) {
      return new StoreResponse(number, status, first, body, holder, callerIncarnation, millis);
    }
  }
}
