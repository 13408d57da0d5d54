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
    public final String caller;
    public final String taker;
    public final byte[] extra;

    public ChangeOrigin(
        final String author, final String caller, final String taker, final byte[] extra) {
      this.author = author;
      this.caller = caller;
      this.taker = taker;
      this.extra = extra;
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
    public final int deed;
    public final String name;
    public final String owner;
    public final long first;
    public final long second;
    public final byte[] body;
    public final ChangeOrigin origin;
    public final byte[] content;
    public final long caller;
    public final long age;
    public final Long clock;
    private final transient long agedAt;

    public StoreRequest(
        final long number,
        final int deed,
        final String name,
        final String owner,
        final long first,
        final long second,
        final byte[] body) {
      this(number, deed, name, owner, first, second, body, null);
    }

    public StoreRequest(
        final long number,
        final int deed,
        final String name,
        final String owner,
        final long first,
        final long second,
        final byte[] body,
        final ChangeOrigin origin) {
      this(number, deed, name, owner, first, second, body, origin, null);
    }

    public StoreRequest(
        final long number,
        final int deed,
        final String name,
        final String owner,
        final long first,
        final long second,
        final byte[] body,
        final ChangeOrigin origin,
        final byte[] content) {
      this(number, deed, name, owner, first, second, body, origin, content, 0, 0, 0, null);
    }

    private StoreRequest(
        final long number,
        final int deed,
        final String name,
        final String owner,
        final long first,
        final long second,
        final byte[] body,
        final ChangeOrigin origin,
        final byte[] content,
        final long caller,
        final long age,
        final long agedAt,
        final Long clock) {
      this.agedAt = agedAt;
      this.caller = caller;
      this.age = age;
      this.clock = clock;
      this.origin = origin;
      this.content = content;
      this.number = number;
      this.deed = deed;
      this.name = name;
      this.owner = owner;
      this.first = first;
      this.second = second;
      this.body = body;
    }

    /** This call in the name of a caller. */
    public StoreRequest from(final long givenCaller) {
      return new StoreRequest(
          number,
          deed,
          name,
          owner,
          first,
          second,
          body,
          origin,
          content,
          givenCaller,
          age,
          agedAt,
          clock);
    }

    /**
     * A copy of this call whose first copy that may have been carried out was sent so long before
     * now, by the caller's steady clock.
     */
    public StoreRequest aged(final long givenAge, final long now) {
      return new StoreRequest(
          number, deed, name, owner, first, second, body, origin, content, caller, givenAge, now,
          clock);
    }

    /**
     * A copy of this call as it leaves now, over a line on which this time of the frame's clock had
     * been heard before.
     */
    public StoreRequest leaving(final Long heardClock, final long now) {
      return new StoreRequest(
          number,
          deed,
          name,
          owner,
          first,
          second,
          body,
          origin,
          content,
          caller,
          age == 0 ? 0 : age + Math.max(0, now - agedAt),
          agedAt,
          heardClock);
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
    public final long caller;
    public final Long clock;

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
        final long caller,
        final Long clock) {
      this.clock = clock;
      this.caller = caller;
      this.number = number;
      this.status = status;
      this.first = first;
      this.body = body;
      this.holder = holder;
    }

    /** This answer for a caller. */
    public StoreResponse to(final long givenCaller) {
      return new StoreResponse(number, status, first, body, holder, givenCaller, clock);
    }

    /** This answer as it leaves, at this time of its sender's steady clock. */
    public StoreResponse at(final long millis) {
      return new StoreResponse(number, status, first, body, holder, caller, millis);
    }
  }
}
