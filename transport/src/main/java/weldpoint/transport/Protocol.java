package weldpoint.transport;

import java.util.List;

/**
 * The kinds of messages of the inner protocol, each with the number under which it travels. A list
 * that travelled empty arrives as null; {@link #list} mends that.
 */
public final class Protocol {
  static final Class<?>[] KINDS = {
    Hello.class,
    Ring.class,
    StateStoreMessages.Prepare.class,
    StateStoreMessages.Promise.class,
    StateStoreMessages.Accept.class,
    StateStoreMessages.Accepted.class,
    StateStoreMessages.Pulse.class,
    StateStoreMessages.Pulsed.class,
    StateStoreMessages.Enquire.class,
    StateStoreMessages.Enquired.class,
    StateStoreMessages.Fetch.class,
    StateStoreMessages.Fetched.class,
    StateStoreMessages.RosterNews.class,
    StateStoreMessages.Refused.class,
    StateStoreMessages.Join.class,
    StateStoreMessages.Resign.class,
    StateStoreMessages.Canvass.class,
    StateStoreMessages.Canvassed.class,
    StoreCallMessages.Call.class,
    StoreCallMessages.Answer.class,
    RegistryMessages.Gossip.class,
    RegistryMessages.Changes.class,
    RegistryMessages.Kept.class,
    RegistryMessages.BoardState.class,
    RegistryMessages.View.class,
    RegistryMessages.Reach.class,
    TrialMessages.TrialReport.class,
    CacheMessages.Purges.class,
    PermitMessages.PermitAsk.class,
    PermitMessages.PermitAnswer.class,
    CacheMessages.CopyAsk.class,
    CacheMessages.CopyAnswer.class,
    RegionMessages.Electorate.class,
    RegionMessages.Stand.class,
    RegionMessages.Backed.class,
    RegionMessages.Order.class,
    RegionMessages.Heeded.class,
    RecordingMessages.RecordState.class,
    RecordingMessages.Reel.class,
    AuditMessages.AuditState.class,
    AuditMessages.AuditAsk.class,
    AuditMessages.AuditPart.class,
    PlacementMessages.Placements.class,
    PlacementMessages.LeaseAsk.class,
    PlacementMessages.LeaseGrant.class,
    RegistryMessages.Neighbours.class,
    StateStoreMessages.Released.class,
    RegistryMessages.StateRead.class,
    RegistryMessages.StateHeld.class,
    KeyMessages.ClaimAsk.class,
    KeyMessages.ClaimAnswer.class,
    KeyMessages.ClaimRelease.class,
    KeyMessages.VoteAsk.class,
    KeyMessages.VoteAnswer.class,
    KeyMessages.OutcomeAsk.class,
    KeyMessages.OutcomeAnswer.class,
    OwnershipMessages.Assignments.class,
    OwnershipMessages.AssignerPulse.class,
    OwnershipMessages.SlotReport.class,
  };

  private Protocol() {}

  /** The list itself, or an empty one for null. */
  public static <T> List<T> list(final List<T> list) {
    return list == null ? List.of() : list;
  }

  /** The first message on every line. */
  public static final class Hello implements Message {
    public final int protocol;
    public final String program;
    public final String address;
    public final long incarnation;
    public final Long clock;

    public Hello(
        final int protocol, final String program, final String address, final long incarnation) {
      this(protocol, program, address, incarnation, null);
    }

    private Hello(
        final int protocol,
        final String program,
        final String address,
        final long incarnation,
        final Long clock) {
      this.protocol = protocol;
      this.program = program;
      this.address = address;
      this.incarnation = incarnation;
      this.clock = clock;
    }

    /** This hello with the time of its sender's steady clock. */
    public Hello at(final long millis) {
      return new Hello(protocol, program, address, incarnation, millis);
    }
  }

  /** Keeps a line alive; echoed once, with the time of the echoing side's steady clock. */
  public static final class Ring implements Message {
    public final boolean echo;
    public final Long clock;

    public Ring(final boolean echo) {
      this(echo, null);
    }

    public Ring(final boolean echo, final Long clock) {
      this.echo = echo;
      this.clock = clock;
    }
  }
}
