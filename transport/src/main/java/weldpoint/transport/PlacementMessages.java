package weldpoint.transport;

import java.util.List;

/** Where callers that are tied to one upstream are placed, and the leases on that. */
public final class PlacementMessages {
  private PlacementMessages() {}

  /** One upstream that callers may be tied to. */
  public static final class PlacementMember {
    public final String id;
    public final int capacity;
    public final String site;

    public PlacementMember(final String id, final int capacity, final String site) {
      this.id = id;
      this.capacity = capacity;
      this.site = site;
    }
  }

  /**
   * Among which upstreams of a service callers are placed in this epoch, and, where the next epoch
   * is prepared, among which then.
   */
  public static final class Placement {
    public final String service;
    public final long serial;
    public final long epoch;
    public final List<PlacementMember> members;
    public final boolean nextPrepared;
    public final List<PlacementMember> nextMembers;

    public Placement(
        final String service,
        final long serial,
        final long epoch,
        final List<PlacementMember> members,
        final boolean nextPrepared,
        final List<PlacementMember> nextMembers) {
      this.service = service;
      this.serial = serial;
      this.epoch = epoch;
      this.members = members;
      this.nextPrepared = nextPrepared;
      this.nextMembers = nextMembers;
    }
  }

  /** Which exchange, in which life, changes placements and grants leases on them. */
  public static final class PlacementOwner {
    public final long serial;
    public final String address;
    public final long incarnation;

    public PlacementOwner(final long serial, final String address, final long incarnation) {
      this.serial = serial;
      this.address = address;
      this.incarnation = incarnation;
    }
  }

  /** All placements; the mark rises with each change of any. */
  public static final class Placements implements Message {
    public final long revision;
    public final List<Placement> placements;

    public Placements(final long revision, final List<Placement> placements) {
      this.revision = revision;
      this.placements = placements;
    }
  }

  /**
   * A switchboard asks for a lease; it has the placements under this mark, and has finished what
   * had to be finished for those up to settled. Counts are from its start.
   */
  public static final class LeaseRequest implements Message {
    public final long number;
    public final String proxy;
    public final long incarnation;
    public final long placementRevision;
    public final long settledRevision;
    public final List<Long> counts;

    public LeaseRequest(
        final long number,
        final String proxy,
        final long incarnation,
        final long placementRevision,
        final long settledRevision,
        final List<Long> counts) {
      this.number = number;
      this.proxy = proxy;
      this.incarnation = incarnation;
      this.placementRevision = placementRevision;
      this.settledRevision = settledRevision;
      this.counts = counts;
    }
  }

  /** The lease: for so many milliseconds from the asker's question; 0 where none is granted. */
  public static final class LeaseGrant implements Message {
    public final long number;
    public final String proxy;
    public final long incarnation;
    public final long leaseMillis;

    public LeaseGrant(
        final long number, final String proxy, final long incarnation, final long leaseMillis) {
      this.number = number;
      this.proxy = proxy;
      this.incarnation = incarnation;
      this.leaseMillis = leaseMillis;
    }
  }
}
