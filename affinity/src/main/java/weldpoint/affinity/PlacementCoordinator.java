package weldpoint.affinity;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import weldpoint.transport.PlacementMessages;
import weldpoint.transport.PlacementMessages.Placement;
import weldpoint.transport.PlacementMessages.PlacementMember;
import weldpoint.transport.Protocol;
import weldpoint.transport.Serializer;
import weldpoint.transport.StoreMessages;

/**
 * The exchange's side: one exchange at a time, named by a register, grants leases on placements and
 * changes them in two steps. The next epoch comes in force once every holder of a lease has
 * finished what had to be finished, or its lease and all that it may have sent under it have surely
 * run out.
 */
public class PlacementCoordinator {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final long LEASE_MARGIN_MILLIS = 150;
  private static final long TAKEOVER_DELAY_MILLIS = 1500;

  /** Writes registers, if they still have the serial before. */
  public interface Writer {
    /** Writes who keeps placements. */
    CompletableFuture<StoreMessages.StoreResponse> writeOwner(
        PlacementMessages.PlacementOwner next, long now);

    /** Writes a service's placement. */
    CompletableFuture<StoreMessages.StoreResponse> writePlacement(Placement next, long now);
  }

  private static final class LeaseHolder {
    long leaseUntil;
    long settledVersion;
    List<Long> decisionCounts = List.of();
  }

  private final String self;
  private final long incarnation;
  private final long leaseMillis;
  private final long batchMillis;
  private final Writer writer;
  private final Map<String, Placement> placements = new TreeMap<>();
  private final Map<String, Long> preparedVersion = new HashMap<>();
  private final Map<String, Long> membersDifferSince = new HashMap<>();
  private final Map<String, LeaseHolder> leaseHolders = new LinkedHashMap<>();
  private Map<String, List<PlacementMember>> desiredMembers = Map.of();
  private PlacementMessages.PlacementOwner owner = new PlacementMessages.PlacementOwner(0, "", 0);
  private long placementVersion;
  private long maxWriteMillis;
  private long ownerSince;
  private long ownerLostAt = -1;
  private boolean writeInFlight;
  private long epochChanges;
  private long staleRequests;

  /** Nothing is known yet. */
  public PlacementCoordinator(
      final String self,
      final long incarnation,
      final long leaseMillis,
      final long batchMillis,
      final Writer writer) {
    this.self = self;
    this.incarnation = incarnation;
    this.leaseMillis = leaseMillis;
    this.batchMillis = batchMillis;
    this.writer = writer;
  }

  /** Takes what the frames hold; true where placements are new. */
  public boolean update(
      final List<Placement> storedPlacements,
      final PlacementMessages.PlacementOwner storedOwner,
      final long storedVersion,
      final long now) {
    if (storedOwner != null && storedOwner.serial > owner.serial) {
      owner = storedOwner;
      ownerLostAt = -1;
      if (isOwner()) {
        ownerSince = now;
        leaseHolders.clear();
        LOGGER.atInfo().log("exchange %s keeps placements now", self);
      }
    }
    if (storedVersion <= placementVersion) {
      return false;
    }
    placementVersion = storedVersion;
    for (final Placement placement : storedPlacements) {
      final Placement previous = placements.get(placement.service);
      if (previous == null || placement.serial > previous.serial) {
        placements.put(placement.service, placement);
        if (placement.prepared) {
          preparedVersion.put(placement.service, placementVersion);
        } else {
          preparedVersion.remove(placement.service);
          membersDifferSince.remove(placement.service);
        }
      }
    }
    return true;
  }

  /**
   * Takes among which upstreams the callers of each service should be placed, and how long a tied
   * write may take.
   */
  public void desiredMembers(
      final Map<String, List<PlacementMember>> membersByService, final long longestWriteMillis) {
    desiredMembers = membersByService;
    maxWriteMillis = longestWriteMillis;
  }

  /** Whether this exchange, in this life, keeps placements. */
  public boolean isOwner() {
    return owner.address.equals(self) && owner.incarnation == incarnation;
  }

  /** Who keeps placements; empty where nobody does. */
  public String owner() {
    return owner.address;
  }

  /** The mark of what is known. */
  public long placementVersion() {
    return placementVersion;
  }

  /** All placements, as switchboards are told. */
  public PlacementMessages.Placements placements() {
    return new PlacementMessages.Placements(placementVersion, new ArrayList<>(placements.values()));
  }

  /** Somebody asks for a lease; a majority confirmed what is known here at the time given. */
  public PlacementMessages.LeaseGrant handleLeaseRequest(
      final PlacementMessages.LeaseRequest request, final long confirmedAt, final long now) {
    long millis = 0;
    if (isOwner()) {
      final LeaseHolder holder =
          leaseHolders.computeIfAbsent(
              request.board + "#" + request.incarnation, key -> new LeaseHolder());
      holder.settledVersion = Math.max(holder.settledVersion, request.settled);
      holder.decisionCounts = Protocol.list(request.counts);
      final long remainingMillis = confirmedAt + leaseMillis - now;
      if (remainingMillis > 0 && request.mark >= placementVersion) {
        millis = remainingMillis;
        holder.leaseUntil = Math.max(holder.leaseUntil, now + remainingMillis);
      } else if (request.mark < placementVersion) {
        staleRequests++;
      }
    }
    return new PlacementMessages.LeaseGrant(
        request.number, request.board, request.incarnation, millis);
  }

  /**
   * Time has passed. May take over where nobody keeps; reachable tells whether the keeper can be
   * reached.
   */
  public void tick(
      final boolean mayOwn, final boolean ownerReachable, final boolean confirmed, final long now) {
    if (writeInFlight || !confirmed || desiredMembers.isEmpty()) {
      return;
    }
    if (!isOwner()) {
      final boolean ownerLost =
          owner.address.isEmpty() || owner.address.equals(self) || !ownerReachable;
      ownerLostAt = !ownerLost ? -1 : ownerLostAt < 0 ? now : ownerLostAt;
      final boolean takeoverDue =
          ownerLost
              && (owner.address.isEmpty()
                  || owner.address.equals(self)
                  || now - ownerLostAt >= TAKEOVER_DELAY_MILLIS);
      if (mayOwn && takeoverDue) {
        submit(
            writer.writeOwner(
                new PlacementMessages.PlacementOwner(owner.serial + 1, self, incarnation), now));
      }
      return;
    }
    leaseHolders
        .values()
        .removeIf(holder -> now > holder.leaseUntil + maxWriteMillis + LEASE_MARGIN_MILLIS);
    for (final Map.Entry<String, List<PlacementMember>> desired : desiredMembers.entrySet()) {
      final Placement current = placements.get(desired.getKey());
      if (current != null && current.prepared) {
        if (isSettled(current, now)) {
          epochChanges++;
          submit(
              writer.writePlacement(
                  new Placement(
                      current.service,
                      current.serial + 1,
                      current.epoch + 1,
                      current.next,
                      false,
                      null),
                  now));
          return;
        }
      } else if (current == null || !sameMembers(current.members, desired.getValue())) {
        final long since = membersDifferSince.computeIfAbsent(desired.getKey(), service -> now);
        if (current == null && !desired.getValue().isEmpty()
            || current != null && now - since >= batchMillis) {
          submit(
              writer.writePlacement(
                  current == null
                      ? new Placement(desired.getKey(), 1, 1, desired.getValue(), false, null)
                      : new Placement(
                          current.service,
                          current.serial + 1,
                          current.epoch,
                          current.members,
                          true,
                          desired.getValue()),
                  now));
          return;
        }
      } else {
        membersDifferSince.remove(desired.getKey());
      }
    }
  }

  private void submit(final CompletableFuture<StoreMessages.StoreResponse> future) {
    writeInFlight = true;
    future.whenComplete((response, error) -> writeInFlight = false);
  }

  /** Whether nobody can be sending, or have sent, under the epoch before to callers that move. */
  protected boolean isSettled(final Placement prepared, final long now) {
    final Long preparedAtVersion = preparedVersion.get(prepared.service);
    if (preparedAtVersion == null
        || now < ownerSince + leaseMillis + maxWriteMillis + LEASE_MARGIN_MILLIS) {
      return false;
    }
    for (final LeaseHolder holder : leaseHolders.values()) {
      if (holder.settledVersion < preparedAtVersion
          && now <= holder.leaseUntil + maxWriteMillis + LEASE_MARGIN_MILLIS) {
        return false;
      }
    }
    return true;
  }

  private static boolean sameMembers(
      final List<PlacementMember> left, final List<PlacementMember> right) {
    final List<PlacementMember> leftMembers = Protocol.list(left);
    if (leftMembers.size() != right.size()) {
      return false;
    }
    for (int index = 0; index < leftMembers.size(); index++) {
      if (!leftMembers.get(index).id.equals(right.get(index).id)
          || leftMembers.get(index).capacity != right.get(index).capacity) {
        return false;
      }
    }
    return true;
  }

  /** Members in the order in which they are compared. */
  public static List<PlacementMember> sortedById(final List<PlacementMember> members) {
    final List<PlacementMember> sorted = new ArrayList<>(members);
    sorted.sort(Comparator.comparing(member -> member.id));
    return sorted;
  }

  /** What the switchboards that hold leases counted, by verdict. */
  public long[] decisionCounts() {
    final long[] totals = new long[WriteDecision.values().length];
    for (final LeaseHolder holder : leaseHolders.values()) {
      for (int index = 0; index < Math.min(totals.length, holder.decisionCounts.size()); index++) {
        totals[index] += holder.decisionCounts.get(index);
      }
    }
    return totals;
  }

  /** The counters, as one line. */
  public String counters() {
    return "placements "
        + placements.size()
        + " mark "
        + placementVersion
        + " keeper "
        + owner.address
        + " holders "
        + leaseHolders.size()
        + " epochs changed "
        + epochChanges
        + " stale asks "
        + staleRequests;
  }

  /** The bytes of a placement. */
  public static byte[] toBytes(final Placement placement) {
    return Serializer.serialize(placement);
  }
}
