package weldpoint.affinity;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import weldpoint.transport.PlacementMessages;
import weldpoint.transport.PlacementMessages.PlacementMember;
import weldpoint.transport.Protocol;

/**
 * The switchboard's side: which node a caller belongs to in the placement held, whether a lease
 * still covers it, and which writes are under way. All of it lives on one thread and takes the time
 * from outside.
 */
public class AffinityTable {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final long MARGIN_MILLIS = 60;
  private static final long FINISH_MILLIS = 100;
  private static final long ASK_AGAIN_MILLIS = 200;

  private static final class Epoch {
    final PlacementMessages.Placement placement;
    final Rendezvous.Table members;
    final Rendezvous.Table next;

    Epoch(final PlacementMessages.Placement placement) {
      this.placement = placement;
      this.members = new Rendezvous.Table(Protocol.emptyIfNull(placement.members));
      this.next =
          placement.nextPrepared
              ? new Rendezvous.Table(Protocol.emptyIfNull(placement.nextMembers))
              : null;
    }
  }

  /** A write that is under way, or may be. */
  public static final class PendingWrite {
    private final String service;
    private final long caller;
    private final String node;
    private final Predicate<PlacementMember> may;
    private final long until;
    private boolean over;

    private PendingWrite(
        final String service,
        final long caller,
        final String node,
        final Predicate<PlacementMember> may,
        final long until) {
      this.service = service;
      this.caller = caller;
      this.node = node;
      this.may = may;
      this.until = until;
    }

    /**
     * The write has ended: an answer came, or not a byte was sent. Otherwise it counts until its
     * deadline.
     */
    public void ended() {
      over = true;
    }
  }

  private final String self;
  private final long incarnation;
  private final long leaseMillis;
  private final Consumer<PlacementMessages.LeaseRequest> outlet;
  private final Map<String, Epoch> epochs = new HashMap<>();
  private final List<PendingWrite> ties = new ArrayList<>();
  private final Map<Long, Long> askedAt = new HashMap<>();
  private final long[] counts = new long[WriteDecision.values().length];
  private PlacementMember node;
  private long mark;
  private long settled;
  private long toldSettled = -1;
  private long toldMark = -1;
  private long leaseUntil = Long.MIN_VALUE / 2;
  private long lastAskAt = Long.MIN_VALUE / 2;
  private long asks;

  /** Nothing is held yet; asks for leases go to the outlet. */
  public AffinityTable(
      final String self,
      final long incarnation,
      final long leaseMillis,
      final Consumer<PlacementMessages.LeaseRequest> outlet) {
    this.self = self;
    this.incarnation = incarnation;
    this.leaseMillis = leaseMillis;
    this.outlet = outlet;
  }

  /** Takes placements, unless newer ones are held. */
  public void take(final PlacementMessages.Placements given, final long now) {
    if (given.revision <= mark) {
      return;
    }
    mark = given.revision;
    for (final PlacementMessages.Placement placement : Protocol.emptyIfNull(given.placements)) {
      final Epoch before = epochs.get(placement.service);
      if (before == null || placement.serial > before.placement.serial) {
        epochs.put(placement.service, new Epoch(placement));
        LOGGER.atInfo().log(
            "placement of %s: epoch %s of %s nodes%s",
            placement.service,
            placement.epoch,
            Protocol.emptyIfNull(placement.members).size(),
            placement.nextPrepared
                ? ", the next of "
                    + Protocol.emptyIfNull(placement.nextMembers).size()
                    + " prepared"
                : "");
      }
    }
    tick(now);
  }

  /** A lease was granted, or refused. */
  public void granted(final PlacementMessages.LeaseGrant grant, final long now) {
    final Long asked = askedAt.remove(grant.number);
    if (asked != null && grant.incarnation == incarnation && grant.leaseMillis > 0) {
      leaseUntil = Math.max(leaseUntil, asked + grant.leaseMillis - MARGIN_MILLIS);
    }
  }

  /** Whether the placements held may be used. */
  public boolean leased(final long now) {
    return now < leaseUntil;
  }

  /**
   * Where the write of a caller goes now, among the nodes that may serve it. To be asked right
   * before sending.
   */
  public WriteDecision decide(
      final String service,
      final long caller,
      final Predicate<PlacementMember> may,
      final long now) {
    node = null;
    final Epoch epoch = epochs.get(service);
    if (epoch == null) {
      return WriteDecision.NO_PLACEMENT;
    }
    if (!leased(now)) {
      return WriteDecision.NO_LEASE;
    }
    final PlacementMember here = epoch.members.choose(caller, may);
    if (epoch.next != null) {
      final PlacementMember then = epoch.next.choose(caller, may);
      if (here == null || then == null || !here.id.equals(then.id)) {
        return WriteDecision.MOVING;
      }
    }
    if (here == null) {
      return WriteDecision.NO_NODE;
    }
    node = here;
    return WriteDecision.GO;
  }

  /** The node of the last decision that said go. */
  public PlacementMember node() {
    return node;
  }

  /** Counts what became of a write in the end. */
  public void count(final WriteDecision verdict) {
    counts[verdict.ordinal()]++;
  }

  /** A write goes to the node now; its upstream gives it up at the deadline. */
  public PendingWrite begin(
      final String service,
      final long caller,
      final String nodeId,
      final Predicate<PlacementMember> may,
      final long deadline) {
    final PendingWrite pendingWrite =
        new PendingWrite(service, caller, nodeId, may, deadline + FINISH_MILLIS);
    ties.add(pendingWrite);
    return pendingWrite;
  }

  /** Time has passed, or something ended. */
  public void tick(final long now) {
    boolean pending = false;
    for (final Iterator<PendingWrite> all = ties.iterator(); all.hasNext(); ) {
      final PendingWrite pendingWrite = all.next();
      if (pendingWrite.over || now >= pendingWrite.until) {
        all.remove();
        continue;
      }
      final Epoch epoch = epochs.get(pendingWrite.service);
      if (epoch != null && epoch.next != null) {
        final PlacementMember then = epoch.next.choose(pendingWrite.caller, pendingWrite.may);
        pending |= then == null || !then.id.equals(pendingWrite.node);
      }
    }
    if (!pending) {
      settled = mark;
    }
    final boolean news = settled > toldSettled || mark > toldMark;
    final long since = now - lastAskAt;
    if (mark > 0
        && (news && since > 0
            || since >= leaseMillis / 4
            || !leased(now) && since >= ASK_AGAIN_MILLIS)) {
      ask(now);
    }
  }

  private void ask(final long now) {
    lastAskAt = now;
    toldSettled = settled;
    toldMark = mark;
    askedAt.values().removeIf(at -> now - at > leaseMillis);
    askedAt.put(++asks, now);
    final List<Long> told = new ArrayList<>();
    for (final long count : counts) {
      told.add(count);
    }
    outlet.accept(new PlacementMessages.LeaseRequest(asks, self, incarnation, mark, settled, told));
  }

  /** The mark of the placements held. */
  public long mark() {
    return mark;
  }

  /** The mark up to which everything that had to be finished is. */
  public long settled() {
    return settled;
  }

  /** The epoch held of a service; 0 where there is none. */
  public long epoch(final String service) {
    final Epoch epoch = epochs.get(service);
    return epoch == null ? 0 : epoch.placement.epoch;
  }

  /** The counters, as one line. */
  public String counters(final long now) {
    final StringBuilder text =
        new StringBuilder("placements ")
            .append(epochs.size())
            .append(" mark ")
            .append(mark)
            .append(" settled ")
            .append(settled)
            .append(" lease ")
            .append(Math.max(0, leaseUntil - now))
            .append(" ms under way ")
            .append(ties.size());
    for (final WriteDecision verdict : WriteDecision.values()) {
      text.append(' ')
          .append(verdict.name().toLowerCase(java.util.Locale.ROOT))
          .append(' ')
          .append(counts[verdict.ordinal()]);
    }
    return text.toString();
  }
}
