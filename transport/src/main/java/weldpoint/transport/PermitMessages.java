package weldpoint.transport;

/** Requests for rate limit permits of tenants and origins, and the responses. */
public final class PermitMessages {
  private PermitMessages() {}

  /** Asks for permits under a name; {@code hops} counts the registries that forwarded it. */
  public static final class PermitRequest implements Message {
    public final long number;
    public final String name;
    public final int count;
    public final int hops;

    public PermitRequest(final long number, final String name, final int count, final int hops) {
      this.number = number;
      this.name = name;
      this.count = count;
      this.hops = hops;
    }
  }

  /** The permits granted, the configuration version, and how long ago that was the latest. */
  public static final class PermitResponse implements Message {
    public final long number;
    public final int granted;
    public final long version;
    public final long ageMillis;

    public PermitResponse(
        final long number, final int granted, final long version, final long ageMillis) {
      this.number = number;
      this.granted = granted;
      this.version = version;
      this.ageMillis = ageMillis;
    }
  }
}
