package weldpoint.transport;

import java.util.ArrayList;
import java.util.List;

/**
 * Messages and stored values about services whose keys are divided among their upstreams. Spans are
 * in milliseconds and are counted by each receiver on its own steady clock.
 */
public final class OwnershipMessages {
  private OwnershipMessages() {}

  /** Whether an upstream may still be granted a range of keys. */
  public enum RangeState {
    /** The holder is granted the range, again and again. */
    HELD,
    /** Nothing is granted any more: the holder is asked to give the range up, or waited for. */
    RELEASING
  }

  /** A range of keys, both ends inside, and the upstream that holds it. */
  public static final class KeyRange {
    public final int first;
    public final int last;

    /** The id of the upstream's life that holds the range. */
    public final String holder;

    /** The address, host:port, at which that life is granted keys. */
    public final String address;

    /** Rises with each change of the range, also over changes of the assigner. */
    public final long fence;

    /** The number of a {@link RangeState}. */
    public final int state;

    /** What the holder before handed over with its release; null where there is nothing. */
    public final String transfer;

    /** A range. */
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

    /** The state. */
    public RangeState state() {
      return RangeState.values()[state];
    }

    /** Whether the holder is granted the range. */
    public boolean held() {
      return state() == RangeState.HELD;
    }

    /** The same holder and fence for a part of the keys. */
    public KeyRange subrange(final int from, final int to) {
      return new KeyRange(from, to, holder, address, fence, state(), transfer);
    }

    @Override
    public String toString() {
      return first + "-" + last + " " + state() + " by " + holder + " fence " + fence;
    }
  }

  /**
   * Who holds the keys of one service, and which registry assigns them: a register of the state
   * store. The serial rises by one with each change.
   */
  public static final class Assignment {
    public final String service;
    public final long serial;

    /** The address of the registry that assigns. */
    public final String assigner;

    /** The life of that registry. */
    public final long incarnation;

    /** Sorted, without gaps or overlaps; empty while no upstream is known. */
    public final List<KeyRange> ranges;

    /** An assignment. */
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

    /** The ranges; an empty list travels as null. */
    public List<KeyRange> ranges() {
      return Protocol.emptyIfNull(ranges);
    }

    /** Whether this life of this registry assigns. */
    public boolean assignedBy(final String address, final long assignerIncarnation) {
      return assigner.equals(address) && incarnation == assignerIncarnation;
    }
  }

  /** A registry tells a proxy who holds the keys of these services. */
  public static final class Assignments implements Message {
    public final List<Assignment> assignments;

    /** News of these services. */
    public Assignments(final List<Assignment> assignments) {
      this.assignments = assignments;
    }
  }

  /** An assigner tells the other registries that it is at work, or that it ends. */
  public static final class AssignerHeartbeat implements Message {
    public final long incarnation;
    public final boolean leaving;

    /** A pulse of this life. */
    public AssignerHeartbeat(final long incarnation, final boolean leaving) {
      this.incarnation = incarnation;
      this.leaving = leaving;
    }
  }

  /**
   * What was sent to the holders of a service's keys since the last report, by slot: a slot is a
   * fixed number of neighbouring keys.
   */
  public static final class SlotReport implements Message {
    public final String service;
    public final List<Integer> slots;

    /** Requests that were answered, for each of the slots. */
    public final List<Integer> requests;

    /** The time that those requests took at their upstreams together, for each of the slots. */
    public final List<Integer> busyMillis;

    /** A report; the three lists are of one length. */
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
