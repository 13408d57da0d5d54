package weldpoint.transport;

import java.util.List;

/**
 * The message types of the internal protocol. A message is sent with the index of its type in the
 * table. A list that is sent empty arrives as null; {@link #emptyIfNull} corrects that.
 */
public final class Protocol {
  static final Class<?>[] MESSAGE_TYPES = {
    Hello.class,
    KeepAlive.class,
    StateStoreMessages.Prepare.class,
    StateStoreMessages.Promise.class,
    StateStoreMessages.Accept.class,
    StateStoreMessages.Accepted.class,
    StateStoreMessages.Heartbeat.class,
    StateStoreMessages.HeartbeatAck.class,
    StateStoreMessages.MembershipRequest.class,
    StateStoreMessages.MembershipResponse.class,
    StateStoreMessages.RecoveryRequest.class,
    StateStoreMessages.RecoveryResponse.class,
    StateStoreMessages.RosterUpdate.class,
    StateStoreMessages.Refused.class,
    StateStoreMessages.Join.class,
    StateStoreMessages.Resign.class,
    StateStoreMessages.PreVote.class,
    StateStoreMessages.PreVoteResponse.class,
    StoreMessages.StoreRequest.class,
    StoreMessages.StoreResponse.class,
    RegistryMessages.Gossip.class,
    RegistryMessages.Changes.class,
    RegistryMessages.ChangesAck.class,
    RegistryMessages.DaemonReport.class,
    RegistryMessages.View.class,
    RegistryMessages.RegistryStatus.class,
    TrialMessages.TrialReport.class,
    CacheMessages.Purges.class,
    PermitMessages.PermitRequest.class,
    PermitMessages.PermitResponse.class,
    CacheMessages.CacheReadRequest.class,
    CacheMessages.CacheReadResponse.class,
    RegionMessages.Electorate.class,
    RegionMessages.LeaderVoteRequest.class,
    RegionMessages.LeaderVoteResponse.class,
    RegionMessages.LeaderDirective.class,
    RegionMessages.LeaderDirectiveAck.class,
    RecordingMessages.RecordingState.class,
    RecordingMessages.RecordingBatch.class,
    AuditMessages.AuditState.class,
    AuditMessages.AuditRequest.class,
    AuditMessages.AuditEntries.class,
    PlacementMessages.Placements.class,
    PlacementMessages.LeaseRequest.class,
    PlacementMessages.LeaseGrant.class,
    RegistryMessages.SiteProxies.class,
    StateStoreMessages.Released.class,
    RegistryMessages.ControlStateRequest.class,
    RegistryMessages.ControlStateResponse.class,
    KeyMessages.ClaimRequest.class,
    KeyMessages.ClaimResponse.class,
    KeyMessages.ClaimRelease.class,
    KeyMessages.ClaimVoteRequest.class,
    KeyMessages.ClaimVoteResponse.class,
    KeyMessages.OutcomeRequest.class,
    KeyMessages.OutcomeResponse.class,
    OwnershipMessages.Assignments.class,
    OwnershipMessages.AssignerHeartbeat.class,
    OwnershipMessages.SlotReport.class,
    KeyMessages.OutcomeReport.class,
    KeyMessages.OutcomeStored.class,
    KeyMessages.OutcomeLookup.class,
    KeyMessages.OutcomeFound.class,
  };

  /** How many message types a peer knows that does not say so in its hello. */
  static final int UNANNOUNCED_MESSAGE_TYPES = 59;

  private Protocol() {}

  /** Returns the list, or an empty one if it is null. */
  public static <T> List<T> emptyIfNull(final List<T> list) {
    return list == null ? List.of() : list;
  }

  /** The first message of each side of a connection. */
  public static final class Hello implements Message {
    public final int protocolVersion;
    public final String program;
    public final String address;
    public final long incarnation;
    public final Long clockMillis;
    public final Integer messageTypes;

    /** The region of the sender; null if it does not say. */
    public final String region;

    public Hello(
        final int protocolVersion,
        final String program,
        final String address,
        final long incarnation) {
      this(protocolVersion, program, address, incarnation, null, null);
    }

    private Hello(
        final int protocolVersion,
        final String program,
        final String address,
        final long incarnation,
        final Long clockMillis,
        final String region) {
      this.region = region;
      this.protocolVersion = protocolVersion;
      this.program = program;
      this.address = address;
      this.incarnation = incarnation;
      this.clockMillis = clockMillis;
      this.messageTypes = MESSAGE_TYPES.length;
    }

    /** Whether the sender of this hello knows the type of this number. */
    boolean knows(final int typeNumber) {
      return typeNumber < (messageTypes == null ? UNANNOUNCED_MESSAGE_TYPES : messageTypes);
    }

    /** Returns this hello with the time of its sender's monotonic clock, in milliseconds. */
    public Hello withClock(final long millis) {
      return new Hello(protocolVersion, program, address, incarnation, millis, region);
    }

    /** Returns this hello with the region of its sender. */
    public Hello withRegion(final String senderRegion) {
      return new Hello(protocolVersion, program, address, incarnation, clockMillis, senderRegion);
    }
  }

  /** Keeps a connection alive; answered by an echo with the time of the peer's monotonic clock. */
  public static final class KeepAlive implements Message {
    public final boolean echo;
    public final Long clockMillis;

    public KeepAlive(final boolean echo) {
      this(echo, null);
    }

    public KeepAlive(final boolean echo, final Long clockMillis) {
      this.echo = echo;
      this.clockMillis = clockMillis;
    }
  }
}
