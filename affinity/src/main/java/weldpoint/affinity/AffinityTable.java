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
  private static final long LEASE_MARGIN_MILLIS = 60;
  private static final long COMPLETION_GRACE_MILLIS = 100;
  private static final long LEASE_RETRY_MILLIS = 200;

  private static final class Epoch {
    final PlacementMessages.Placement placement;
    final Rendezvous.Table members;
    final Rendezvous.Table next;

    Epoch(final PlacementMessages.Placement placement) {
      this.placement = placement;
      this.members = new Rendezvous.Table(Protocol.list(placement.members));
      this.next = placement.prepared ? new Rendezvous.Table(Protocol.list(placement.next)) : null;
    }
  }

  /** A write that is under way, or may be. */
  public static final class PendingWrite {
    private final String service;
    private final long caller;
    private final String nodeId;
    private final Predicate<PlacementMember> eligible;
    private final long expiresAt;
    private boolean ended;

    private PendingWrite(
        final String service,
        final long caller,
        final String nodeId,
        final Predicate<PlacementMember> may,
        final long expiresAt) {
      this.service = service;
      this.caller = caller;
      this.nodeId = nodeId;
      this.eligible = may;
      this.expiresAt = expiresAt;
    }

    /**
     * The write has ended: an answer came, or not a byte was sent. Otherwise it counts until its
     * deadline.
     */
    public void markEnded() {
      ended = true;
    }
  }

  private final String self;
  private final long incarnation;
  private final long leaseMillis;
  private final Consumer<PlacementMessages.LeaseRequest> leaseRequestSender;
  private final Map<String, Epoch> epochs = new HashMap<>();
  private final List<PendingWrite> pendingWrites = new ArrayList<>();
  private final Map<Long, Long> requestedAt = new HashMap<>();
  private final long[] decisionCounts = new long[WriteDecision.values().length];
  private PlacementMember chosenNode;
  private long placementVersion;
  private long settledVersion;
  private long reportedSettledVersion = -1;
  private long reportedVersion = -1;
  private long leaseUntil = Long.MIN_VALUE / 2;
  private long lastRequestAt = Long.MIN_VALUE / 2;
  private long lastRequestNumber;

  /** Nothing is held yet; asks for leases go to the outlet. */
  public AffinityTable(
      final String self,
      final long incarnation,
      final long leaseMillis,
      final Consumer<PlacementMessages.LeaseRequest> leaseRequestSender) {
    this.self = self;
    this.incarnation = incarnation;
    this.leaseMillis = leaseMillis;
    this.leaseRequestSender = leaseRequestSender;
  }

  /** Takes placements, unless newer ones are held. */
  public void updatePlacements(final PlacementMessages.Placements received, final long now) {
    if (received.mark <= placementVersion) {
      return;
    }
    placementVersion = received.mark;
    for (final PlacementMessages.Placement placement : Protocol.list(received.placements)) {
      final Epoch previous = epochs.get(placement.service);
      if (previous == null || placement.serial > previous.placement.serial) {
        epochs.put(placement.service, new Epoch(placement));
        LOGGER.atInfo().log(
            "placement of %s: epoch %s of %s nodes%s",
            placement.service,
            placement.epoch,
            Protocol.list(placement.members).size(),
            placement.prepared
                ? ", the next of " + Protocol.list(placement.next).size() + " prepared"
                : "");
      }
    }
    tick(now);
  }

  /** A lease was granted, or refused. */
  public void onLeaseGrant(final PlacementMessages.LeaseGrant grant, final long now) {
    final Long requested = requestedAt.remove(grant.number);
    if (requested != null && grant.incarnation == incarnation && grant.millis > 0) {
      leaseUntil = Math.max(leaseUntil, requested + grant.millis - LEASE_MARGIN_MILLIS);
    }
  }

  /** Whether the placements held may be used. */
  public boolean hasLease(final long now) {
    return now < leaseUntil;
  }

  /**
   * Where the write of a caller goes now, among the nodes that may serve it. To be asked right
   * before sending.
   */
  public WriteDecision decide(
      final String service,
      final long caller,
      final Predicate<PlacementMember> eligible,
      final long now) {
    chosenNode = null;
    final Epoch epoch = epochs.get(service);
    if (epoch == null) {
      return WriteDecision.NO_PLACEMENT;
    }
    if (!hasLease(now)) {
      return WriteDecision.NO_LEASE;
    }
    final PlacementMember current = epoch.members.choose(caller, eligible);
    if (epoch.next != null) {
      final PlacementMember upcoming = epoch.next.choose(caller, eligible);
      if (current == null || upcoming == null || !current.id.equals(upcoming.id)) {
        return WriteDecision.MOVING;
      }
    }
    if (current == null) {
      return WriteDecision.NO_NODE;
    }
    chosenNode = current;
    return WriteDecision.GO;
  }

  /** The node of the last decision that said go. */
  public PlacementMember chosenNode() {
    return chosenNode;
  }

  /** Counts what became of a write in the end. */
  public void recordDecision(final WriteDecision decision) {
    decisionCounts[decision.ordinal()]++;
  }

  /** A write goes to the node now; its upstream gives it up at the deadline. */
  public PendingWrite beginWrite(
      final String service,
      final long caller,
      final String nodeId,
      final Predicate<PlacementMember> eligible,
      final long deadline) {
    final PendingWrite pendingWrite =
        new PendingWrite(service, caller, nodeId, eligible, deadline + COMPLETION_GRACE_MILLIS);
    pendingWrites.add(pendingWrite);
    return pendingWrite;
  }

  /** Time has passed, or something ended. */
  public void tick(final long now) {
    boolean unsettled = false;
    for (final Iterator<PendingWrite> iterator = pendingWrites.iterator(); iterator.hasNext(); ) {
      final PendingWrite pendingWrite = iterator.next();
      if (pendingWrite.ended || now >= pendingWrite.expiresAt) {
        iterator.remove();
        continue;
      }
      final Epoch epoch = epochs.get(pendingWrite.service);
      if (epoch != null && epoch.next != null) {
        final PlacementMember upcoming =
            epoch.next.choose(pendingWrite.caller, pendingWrite.eligible);
        unsettled |= upcoming == null || !upcoming.id.equals(pendingWrite.nodeId);
      }
    }
    if (!unsettled) {
      settledVersion = placementVersion;
    }
    final boolean unreported =
        settledVersion > reportedSettledVersion || placementVersion > reportedVersion;
    final long sinceLastRequest = now - lastRequestAt;
    if (placementVersion > 0
        && (unreported && sinceLastRequest > 0
            || sinceLastRequest >= leaseMillis / 4
            || !hasLease(now) && sinceLastRequest >= LEASE_RETRY_MILLIS)) {
      requestLease(now);
    }
  }

  private void requestLease(final long now) {
    lastRequestAt = now;
    reportedSettledVersion = settledVersion;
    reportedVersion = placementVersion;
    requestedAt.values().removeIf(at -> now - at > leaseMillis);
    requestedAt.put(++lastRequestNumber, now);
    final List<Long> reportedCounts = new ArrayList<>();
    for (final long count : decisionCounts) {
      reportedCounts.add(count);
    }
    leaseRequestSender.accept(
        new PlacementMessages.LeaseRequest(
            lastRequestNumber,
            self,
            incarnation,
            placementVersion,
            settledVersion,
            reportedCounts));
  }

  /** The mark of the placements held. */
  public long placementVersion() {
    return placementVersion;
  }

  /** The mark up to which everything that had to be finished is. */
  public long settledVersion() {
    return settledVersion;
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
            .append(placementVersion)
            .append(" settled ")
            .append(settledVersion)
            .append(" lease ")
            .append(Math.max(0, leaseUntil - now))
            .append(" ms under way ")
            .append(pendingWrites.size());
    for (final WriteDecision decision : WriteDecision.values()) {
      text.append(' ')
          .append(decision.name().toLowerCase(java.util.Locale.ROOT))
          .append(' ')
          .append(decisionCounts[decision.ordinal()]);
    }
    return text.toString();
  }
}
