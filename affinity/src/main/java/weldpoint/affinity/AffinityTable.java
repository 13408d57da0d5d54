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
 * A proxy's part in affinity: to which node a caller is bound in the known placements, whether a
 * lease still allows their use, and which bound writes are in flight. A placement lists the nodes
 * of a service over which callers are distributed. Not thread-safe: a proxy uses it on one thread.
 * Takes the time in milliseconds from its caller.
 */
public class AffinityTable {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** By how much earlier than granted the proxy considers its lease expired. */
  private static final long LEASE_MARGIN_MILLIS = 60;

  /** For how long after its deadline a write still counts as in flight. */
  private static final long COMPLETION_GRACE_MILLIS = 100;

  /** Interval between lease requests while no lease is held. */
  private static final long LEASE_RETRY_MILLIS = 200;

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

  /** A bound write that is in flight, or may still be. */
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
     * Marks the write as ended: an answer arrived, or not a single byte was sent. A write that is
     * not marked counts as in flight until its deadline.
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

  /** Creates a table without placements; requests for leases go to {@code leaseRequestSender}. */
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

  /**
   * Replaces the placements by newer ones; does nothing if their version is not newer than the
   * known one.
   */
  public void updatePlacements(final PlacementMessages.Placements received, final long now) {
    if (received.revision <= placementVersion) {
      return;
    }
    placementVersion = received.revision;
    for (final PlacementMessages.Placement placement : Protocol.emptyIfNull(received.placements)) {
      final Epoch previous = epochs.get(placement.service);
      if (previous == null || placement.serial > previous.placement.serial) {
        epochs.put(placement.service, new Epoch(placement));
        LOGGER.atInfo().log(
            "updated placement of service %s: epoch %s with %s nodes%s",
            placement.service,
            placement.epoch,
            Protocol.emptyIfNull(placement.members).size(),
            placement.nextPrepared
                ? ", next epoch with "
                    + Protocol.emptyIfNull(placement.nextMembers).size()
                    + " nodes prepared"
                : "");
      }
    }
    tick(now);
  }

  /** Handles the answer to a lease request. The lease counts from the time of the request. */
  public void onLeaseGrant(final PlacementMessages.LeaseGrant grant, final long now) {
    final Long requested = requestedAt.remove(grant.number);
    if (requested != null && grant.incarnation == incarnation && grant.leaseMillis > 0) {
      leaseUntil = Math.max(leaseUntil, requested + grant.leaseMillis - LEASE_MARGIN_MILLIS);
    }
  }

  /** Returns whether a lease allows the known placements to be used. */
  public boolean hasLease(final long now) {
    return now < leaseUntil;
  }

  /**
   * Decides whether a caller's write may be sent now, and to which of the eligible nodes. To be
   * called immediately before sending.
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

  /** Returns the node of the last decision, if that was {@code GO}; null otherwise. */
  public PlacementMember chosenNode() {
    return chosenNode;
  }

  /** Counts the final decision on a write. */
  public void recordDecision(final WriteDecision decision) {
    decisionCounts[decision.ordinal()]++;
  }

  /** Registers a write that is sent to a node now; its upstream abandons it at the deadline. */
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

  /**
   * Removes ended writes, updates the settled version and requests a lease if one is due. To be
   * called regularly and when a write has ended.
   */
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

  /** Returns the version of the known placements. */
  public long placementVersion() {
    return placementVersion;
  }

  /**
   * Returns the placement version up to which no write is in flight that the prepared next epoch
   * would send to another node.
   */
  public long settledVersion() {
    return settledVersion;
  }

  /** Returns the epoch of a service's known placement; 0 if there is none. */
  public long epoch(final String service) {
    final Epoch epoch = epochs.get(service);
    return epoch == null ? 0 : epoch.placement.epoch;
  }

  /** Returns the counters as one line for the log. */
  public String counters(final long now) {
    final StringBuilder text =
        new StringBuilder("placements ")
            .append(epochs.size())
            .append(" version ")
            .append(placementVersion)
            .append(" settled version ")
            .append(settledVersion)
            .append(" lease ")
            .append(Math.max(0, leaseUntil - now))
            .append(" ms, in flight ")
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
