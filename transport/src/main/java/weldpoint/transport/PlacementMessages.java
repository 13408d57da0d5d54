package weldpoint.transport;

import java.util.List;

/** Placement of callers with affinity to one upstream, and the leases on placements. */
public final class PlacementMessages {
  private PlacementMessages() {}

  /** One upstream among which callers with affinity are placed. */
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
   * The upstreams of a service among which callers are placed in this epoch and, if the next epoch
   * has been prepared, those of that one.
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

  /** The registry, with its incarnation, that changes placements and grants leases on them. */
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

  /** All placements; the revision rises with each change of any of them. */
  public static final class Placements implements Message {
    public final long revision;
    public final List<Placement> placements;

    public Placements(final long revision, final List<Placement> placements) {
      this.revision = revision;
      this.placements = placements;
    }
  }

  /**
   * A proxy asks for a lease. It has the placements of {@code placementRevision}, and has completed
   * everything that had to be completed for those up to {@code settledRevision}. The counts are
   * cumulative from the start of the proxy.
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

  /** A lease, in milliseconds from when the proxy sent the request; 0 if none is granted. */
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
