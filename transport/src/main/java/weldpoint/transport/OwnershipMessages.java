package weldpoint.transport;

import java.util.ArrayList;
import java.util.List;

/**
 * Messages and stored values about services whose keys are partitioned among their upstreams.
 * Durations are in milliseconds and are measured by each receiver on its own monotonic clock.
 */
public final class OwnershipMessages {
  private OwnershipMessages() {}

  /** Whether the holder of a key range is still granted it. */
  public enum RangeState {
    /** The holder is granted the range, and the grant is renewed. */
    HELD,
    /**
     * The grant is not renewed: the holder is asked to release the range, or its grant runs out.
     */
    RELEASING
  }

  /** A range of keys, {@code first} and {@code last} included, and the upstream that holds it. */
  public static final class KeyRange {
    public final int first;
    public final int last;

    /** The instance id of the upstream that holds the range; a restarted upstream has a new one. */
    public final String holder;

    /** The address, as host:port, at which that instance is granted keys. */
    public final String address;

    /** The fencing number: it rises with each change of the range, also if the assigner changes. */
    public final long fence;

    /** The ordinal of a {@link RangeState}. */
    public final int state;

    /** What the previous holder handed over when it released the range; null if nothing. */
    public final String transfer;

    /** Creates a range. */
    public KeyRange(
        final int first,
        final int last,
        final String holder,
        final String address,
        final long fence,
        final RangeState state,
        final String transfer) {
      this.first = first;
      this.last = last;
      this.holder = holder;
      this.address = address;
      this.fence = fence;
      this.state = state.ordinal();
      this.transfer = transfer;
    }

    /** Returns the state. */
    public RangeState state() {
      return RangeState.values()[state];
    }

    /** Returns whether the holder is granted the range. */
    public boolean held() {
      return state() == RangeState.HELD;
    }

    /** Returns a range over part of the keys, with the same holder and fence. */
    public KeyRange subrange(final int from, final int to) {
      return new KeyRange(from, to, holder, address, fence, state(), transfer);
    }

    @Override
    public String toString() {
      return first + "-" + last + " " + state() + " by " + holder + " fence " + fence;
    }
  }

  /**
   * The holders of the keys of one service, and the registry that assigns them. It is kept in a
   * register of the state store; the serial rises by one with each change.
   */
  public static final class Assignment {
    public final String service;
    public final long serial;

    /** The address of the registry that assigns the keys. */
    public final String assigner;

    /** The incarnation of that registry. */
    public final long incarnation;

    /** The ranges, sorted, without gaps or overlaps; empty while no upstream is known. */
    public final List<KeyRange> ranges;

    /** Creates an assignment. */
    public Assignment(
        final String service,
        final long serial,
        final String assigner,
        final long incarnation,
        final List<KeyRange> ranges) {
      this.service = service;
      this.serial = serial;
      this.assigner = assigner;
      this.incarnation = incarnation;
      this.ranges = new ArrayList<>(ranges);
    }

    /** Returns the ranges; an empty list is null after it was deserialized. */
    public List<KeyRange> ranges() {
      return Protocol.emptyIfNull(ranges);
    }

    /** Returns whether the registry at this address, in this incarnation, is the assigner. */
    public boolean assignedBy(final String address, final long assignerIncarnation) {
      return assigner.equals(address) && incarnation == assignerIncarnation;
    }
  }

  /** A registry sends a proxy the key assignments of these services. */
  public static final class Assignments implements Message {
    public final List<Assignment> assignments;

    /** Creates a message with these assignments. */
    public Assignments(final List<Assignment> assignments) {
      this.assignments = assignments;
    }
  }

  /** An assigner tells the other registries that it is active, or that it is shutting down. */
  public static final class AssignerHeartbeat implements Message {
    public final long incarnation;
    public final boolean leaving;

    /** Creates a heartbeat of this incarnation. */
    public AssignerHeartbeat(final long incarnation, final boolean leaving) {
      this.incarnation = incarnation;
      this.leaving = leaving;
    }
  }

  /**
   * The load that a service's keys have caused since the last report, by slot. A slot is a fixed
   * number of adjacent keys.
   */
  public static final class SlotReport implements Message {
    public final String service;
    public final List<Integer> slots;

    /** The number of requests that were answered, for each of the slots. */
    public final List<Integer> requests;

    /** The total time that those requests took at their upstreams, for each of the slots. */
    public final List<Integer> busyMillis;

    /** Creates a report; the three lists have the same length. */
    public SlotReport(
        final String service,
        final List<Integer> slots,
        final List<Integer> requests,
        final List<Integer> busyMillis) {
      this.service = service;
      this.slots = slots;
      this.requests = requests;
      this.busyMillis = busyMillis;
    }
  }
}
