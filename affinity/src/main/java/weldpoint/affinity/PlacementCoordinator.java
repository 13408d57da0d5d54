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
  private static final long MARGIN_MILLIS = 150;
  private static final long TAKE_OVER_MILLIS = 1500;

  /** Writes registers, if they still have the serial before. */
  public interface Writer {
    /** Writes who keeps placements. */
    CompletableFuture<StoreMessages.StoreResponse> keeper(
        PlacementMessages.PlacementOwner next, long now);

    /** Writes a service's placement. */
    CompletableFuture<StoreMessages.StoreResponse> placement(Placement next, long now);
  }

  private static final class Holder {
    long until;
    long settled;
    List<Long> counts = List.of();
  }

  private final String self;
  private final long incarnation;
  private final long leaseMillis;
  private final long batchMillis;
  private final Writer writer;
  private final Map<String, Placement> placements = new TreeMap<>();
  private final Map<String, Long> preparedMark = new HashMap<>();
  private final Map<String, Long> differsSince = new HashMap<>();
  private final Map<String, Holder> holders = new LinkedHashMap<>();
  private Map<String, List<PlacementMember>> wanted = Map.of();
  private PlacementMessages.PlacementOwner keeper = new PlacementMessages.PlacementOwner(0, "", 0);
  private long mark;
  private long finishMillis;
  private long keeperSince;
  private long keeperLostAt = -1;
  private boolean out;
  private long changes;
  private long stale;

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
  public boolean take(
      final List<Placement> given,
      final PlacementMessages.PlacementOwner named,
      final long givenMark,
      final long now) {
    if (named != null && named.serial > keeper.serial) {
      keeper = named;
      keeperLostAt = -1;
      if (keeps()) {
        keeperSince = now;
        holders.clear();
        LOGGER.atInfo().log("exchange %s keeps placements now", self);
      }
    }
    if (givenMark <= mark) {
      return false;
    }
    mark = givenMark;
    for (final Placement placement : given) {
      final Placement before = placements.get(placement.service);
      if (before == null || placement.serial > before.serial) {
        placements.put(placement.service, placement);
        if (placement.nextPrepared) {
          preparedMark.put(placement.service, mark);
        } else {
          preparedMark.remove(placement.service);
          differsSince.remove(placement.service);
        }
      }
    }
    return true;
  }

  /**
   * Takes among which upstreams the callers of each service should be placed, and how long a tied
   * write may take.
   */
  public void wanted(final Map<String, List<PlacementMember>> given, final long longestMillis) {
    wanted = given;
    finishMillis = longestMillis;
  }

  /** Whether this exchange, in this life, keeps placements. */
  public boolean keeps() {
    return keeper.address.equals(self) && keeper.incarnation == incarnation;
  }

  /** Who keeps placements; empty where nobody does. */
  public String keeper() {
    return keeper.address;
  }

  /** The mark of what is known. */
  public long mark() {
    return mark;
  }

  /** All placements, as switchboards are told. */
  public PlacementMessages.Placements placements() {
    return new PlacementMessages.Placements(mark, new ArrayList<>(placements.values()));
  }

  /** Somebody asks for a lease; a majority confirmed what is known here at the time given. */
  public PlacementMessages.LeaseGrant ask(
      final PlacementMessages.LeaseRequest ask, final long confirmedAt, final long now) {
    long millis = 0;
    if (keeps()) {
      final Holder holder =
          holders.computeIfAbsent(ask.proxy + "#" + ask.incarnation, key -> new Holder());
      holder.settled = Math.max(holder.settled, ask.settledRevision);
      holder.counts = Protocol.emptyIfNull(ask.counts);
      final long left = confirmedAt + leaseMillis - now;
      if (left > 0 && ask.placementRevision >= mark) {
        millis = left;
        holder.until = Math.max(holder.until, now + left);
      } else if (ask.placementRevision < mark) {
        stale++;
      }
    }
    return new PlacementMessages.LeaseGrant(ask.number, ask.proxy, ask.incarnation, millis);
  }

  /**
   * Time has passed. May take over where nobody keeps; reachable tells whether the keeper can be
   * reached.
   */
  public void tick(
      final boolean mayKeep, final boolean reachable, final boolean confirmed, final long now) {
    if (out || !confirmed || wanted.isEmpty()) {
      return;
    }
    if (!keeps()) {
      final boolean lost = keeper.address.isEmpty() || keeper.address.equals(self) || !reachable;
      keeperLostAt = !lost ? -1 : keeperLostAt < 0 ? now : keeperLostAt;
      final boolean due =
          lost
              && (keeper.address.isEmpty()
                  || keeper.address.equals(self)
                  || now - keeperLostAt >= TAKE_OVER_MILLIS);
      if (mayKeep && due) {
        write(
            writer.keeper(
                new PlacementMessages.PlacementOwner(keeper.serial + 1, self, incarnation), now));
      }
      return;
    }
    holders.values().removeIf(holder -> now > holder.until + finishMillis + MARGIN_MILLIS);
    for (final Map.Entry<String, List<PlacementMember>> one : wanted.entrySet()) {
      final Placement before = placements.get(one.getKey());
      if (before != null && before.nextPrepared) {
        if (settled(before, now)) {
          changes++;
          write(
              writer.placement(
                  new Placement(
                      before.service,
                      before.serial + 1,
                      before.epoch + 1,
                      before.nextMembers,
                      false,
                      null),
                  now));
          return;
        }
      } else if (before == null || !same(before.members, one.getValue())) {
        final long since = differsSince.computeIfAbsent(one.getKey(), service -> now);
        if (before == null && !one.getValue().isEmpty()
            || before != null && now - since >= batchMillis) {
          write(
              writer.placement(
                  before == null
                      ? new Placement(one.getKey(), 1, 1, one.getValue(), false, null)
                      : new Placement(
                          before.service,
                          before.serial + 1,
                          before.epoch,
                          before.members,
                          true,
                          one.getValue()),
                  now));
          return;
        }
      } else {
        differsSince.remove(one.getKey());
      }
    }
  }

  private void write(final CompletableFuture<StoreMessages.StoreResponse> future) {
    out = true;
    future.whenComplete((answer, problem) -> out = false);
  }

  /** Whether nobody can be sending, or have sent, under the epoch before to callers that move. */
  protected boolean settled(final Placement prepared, final long now) {
    final Long since = preparedMark.get(prepared.service);
    if (since == null || now < keeperSince + leaseMillis + finishMillis + MARGIN_MILLIS) {
      return false;
    }
    for (final Holder holder : holders.values()) {
      if (holder.settled < since && now <= holder.until + finishMillis + MARGIN_MILLIS) {
        return false;
      }
    }
    return true;
  }

  private static boolean same(final List<PlacementMember> one, final List<PlacementMember> other) {
    final List<PlacementMember> first = Protocol.emptyIfNull(one);
    if (first.size() != other.size()) {
      return false;
    }
    for (int index = 0; index < first.size(); index++) {
      if (!first.get(index).id.equals(other.get(index).id)
          || first.get(index).capacity != other.get(index).capacity) {
        return false;
      }
    }
    return true;
  }

  /** Members in the order in which they are compared. */
  public static List<PlacementMember> sorted(final List<PlacementMember> members) {
    final List<PlacementMember> sorted = new ArrayList<>(members);
    sorted.sort(Comparator.comparing(member -> member.id));
    return sorted;
  }

  /** What the switchboards that hold leases counted, by verdict. */
  public long[] counts() {
    final long[] sums = new long[WriteDecision.values().length];
    for (final Holder holder : holders.values()) {
      for (int index = 0; index < Math.min(sums.length, holder.counts.size()); index++) {
        sums[index] += holder.counts.get(index);
      }
    }
    return sums;
  }

  /** The counters, as one line. */
  public String counters() {
    return "placements "
        + placements.size()
        + " mark "
        + mark
        + " keeper "
        + keeper.address
        + " holders "
        + holders.size()
        + " epochs changed "
        + changes
        + " stale asks "
        + stale;
  }

  /** The bytes of a placement. */
  public static byte[] bytes(final Placement placement) {
    return Serializer.serialize(placement);
  }
}
