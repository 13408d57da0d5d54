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
 * The registry's part in affinity. One registry at a time, the owner named by a stored register,
 * grants leases on placements and changes placements in two steps: it prepares the next epoch, then
 * puts it in force once every lease holder has reported that no write is in flight to callers that
 * move, or the holder's lease and every write it may have sent under it have certainly expired. Not
 * thread-safe; takes the time in milliseconds from its caller.
 */
public class PlacementCoordinator {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /**
   * By how much longer than granted the registry considers a lease, and writes under it, active.
   */
  private static final long LEASE_MARGIN_MILLIS = 150;

  /** For how long an owner must be unreachable before another registry takes over. */
  private static final long TAKEOVER_DELAY_MILLIS = 1500;

  /**
   * Writes registers of the state store; a write succeeds only if the register still has the
   * preceding serial.
   */
  public interface Writer {
    /** Writes which registry owns the placements. */
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

  /** By service, the placement version at which its next epoch was prepared. */
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

  /** Creates a coordinator that knows no placements and no owner. */
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

  /**
   * Updates the owner and the placements from the state store; returns true if the placements are
   * newer than the known ones.
   */
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
        LOGGER.atInfo().log("registry %s now owns the placements", self);
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
        if (placement.nextPrepared) {
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
   * Sets the nodes over which the callers of each service should be distributed, and the longest
   * time that a bound write may take, in milliseconds.
   */
  public void desiredMembers(
      final Map<String, List<PlacementMember>> membersByService, final long longestWriteMillis) {
    desiredMembers = membersByService;
    maxWriteMillis = longestWriteMillis;
  }

  /** Returns whether this registry, in this incarnation, owns the placements. */
  public boolean isOwner() {
    return owner.address.equals(self) && owner.incarnation == incarnation;
  }

  /** Returns the address of the owner; empty if there is none. */
  public String owner() {
    return owner.address;
  }

  /** Returns the version of the known placements. */
  public long placementVersion() {
    return placementVersion;
  }

  /** Returns all placements as they are sent to proxies. */
  public PlacementMessages.Placements placements() {
    return new PlacementMessages.Placements(placementVersion, new ArrayList<>(placements.values()));
  }

  /**
   * Answers a lease request. The lease ends {@code leaseMillis} after {@code confirmedAt}, when a
   * majority last confirmed the state known here; nothing is granted to a proxy with older
   * placements.
   */
  public PlacementMessages.LeaseGrant handleLeaseRequest(
      final PlacementMessages.LeaseRequest request, final long confirmedAt, final long now) {
    long millis = 0;
    if (isOwner()) {
      final LeaseHolder holder =
          leaseHolders.computeIfAbsent(
              request.proxy + "#" + request.incarnation, key -> new LeaseHolder());
      holder.settledVersion = Math.max(holder.settledVersion, request.settledRevision);
      holder.decisionCounts = Protocol.emptyIfNull(request.counts);
      final long remainingMillis = confirmedAt + leaseMillis - now;
      if (remainingMillis > 0 && request.placementRevision >= placementVersion) {
        millis = remainingMillis;
        holder.leaseUntil = Math.max(holder.leaseUntil, now + remainingMillis);
      } else if (request.placementRevision < placementVersion) {
        staleRequests++;
      }
    }
    return new PlacementMessages.LeaseGrant(
        request.number, request.proxy, request.incarnation, millis);
  }

  /**
   * Takes over ownership if there is no reachable owner, and as owner writes the next change of a
   * placement; to be called regularly. {@code mayOwn} tells whether this registry may take over,
   * {@code confirmed} whether its state is confirmed by a majority.
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
      if (current != null && current.nextPrepared) {
        if (isSettled(current, now)) {
          epochChanges++;
          submit(
              writer.writePlacement(
                  new Placement(
                      current.service,
                      current.serial + 1,
                      current.epoch + 1,
                      current.nextMembers,
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

  /**
   * Returns whether no proxy can have a write in flight, or still send one, under the previous
   * epoch for callers that move.
   */
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
    final List<PlacementMember> leftMembers = Protocol.emptyIfNull(left);
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

  /** Returns the members sorted by id, the order in which they are compared. */
  public static List<PlacementMember> sortedById(final List<PlacementMember> members) {
    final List<PlacementMember> sorted = new ArrayList<>(members);
    sorted.sort(Comparator.comparing(member -> member.id));
    return sorted;
  }

  /** Returns the counts of all lease holders, summed by decision. */
  public long[] decisionCounts() {
    final long[] totals = new long[WriteDecision.values().length];
    for (final LeaseHolder holder : leaseHolders.values()) {
      for (int index = 0; index < Math.min(totals.length, holder.decisionCounts.size()); index++) {
        totals[index] += holder.decisionCounts.get(index);
      }
    }
    return totals;
  }

  /** Returns the counters as one line for the log. */
  public String counters() {
    return "placements "
        + placements.size()
        + " version "
        + placementVersion
        + " owner "
        + owner.address
        + " lease holders "
        + leaseHolders.size()
        + " epochs changed "
        + epochChanges
        + " stale lease requests "
        + staleRequests;
  }

  /** Serializes a placement. */
  public static byte[] toBytes(final Placement placement) {
    return Serializer.serialize(placement);
  }
}
