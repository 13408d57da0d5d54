package weldpoint.ownership;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import weldpoint.transport.OwnershipMessages.Assignment;
import weldpoint.transport.OwnershipMessages.KeyRange;
import weldpoint.transport.OwnershipMessages.RangeState;
import weldpoint.transport.OwnershipMessages.SlotReport;

/**
 * Assigns the keys of one partitioned service. The assignment is a register of the state store.
 * Every registry knows it, and the registry that it names is active: it renews the holders' grants,
 * requests releases and writes the next assignment. Only what is in the register is granted, and a
 * range gets another holder in the register only once the previous one has released it, a later
 * incarnation at its address has done so in its place, or it has been without a grant for longer
 * than any grant is valid. Free of threads, clocks and sockets, which the {@link Environment}
 * provides; not thread-safe.
 */
public class Assigner {
  /**
   * The clock, state store and upstream calls that an assigner uses; calls return at once, and
   * callbacks run on the assigner's thread.
   */
  public interface Environment {
    /** Returns the current time of the steady clock, in milliseconds. */
    long now();

    /**
     * Writes the register if it still has the previous serial; {@code done} runs in either case.
     */
    void write(Assignment next, Runnable done);

    /** Sends a grant, unless it cannot be written to the connection before {@code sendBy}. */
    void grant(KeyRange range, long sendBy, Consumer<CallResult> done);

    /** Requests a release, whose response may take until {@code responseBy}. */
    void release(KeyRange range, long sendBy, long responseBy, Consumer<CallResult> done);
  }

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final long RETRY_MILLIS = 250;

  /** The delay before a release is requested from a holder, so that proxies learn of it first. */
  private static final long PROXY_NOTICE_MILLIS = 50;

  /** Delay after becoming the assigner before ranges are moved for balance. */
  private static final long BALANCE_DELAY_MILLIS = 3000;

  /** Pause between two checks for a move for balance. */
  private static final long BALANCE_INTERVAL_MILLIS = 500;

  /** How long a slot stays with a new holder before it may be moved for balance. */
  private static final long MIN_STAY_MILLIS = 6000;

  /** How long an upstream that stopped responding gets no new keys, the first time. */
  private static final long EJECTION_MILLIS = 5000;

  private static final int MAX_EJECTION_DOUBLINGS = 4;

  /** Ranges in release at the same time beyond which none is moved for balance. */
  private static final int MAX_CONCURRENT_MOVES = 2;

  /** Average number of ranges per member above which adjacent ranges are merged. */
  private static final int MERGE_RANGES_PER_MEMBER = 3;

  /** Consecutive failed grants after which an upstream counts as unresponsive. */
  private static final int UNRESPONSIVE_FAILURES = 2;

  /** What is known of one upstream's responses to grants. */
  private static final class MemberHealth {
    int consecutiveFailures;
    long failingSince;
    long failedAt;
    int ejections;
    boolean responsive;
  }

  private final String service;
  private final String ownAddress;
  private final long incarnation;
  private final GrantTimings timings;
  private final Environment environment;
  private final AssignerCounts counts = new AssignerCounts();
  private final SlotLoads loads = new SlotLoads();
  private final Map<String, MemberHealth> healthByMember = new HashMap<>();
  private final long[] nextCallAt = new long[KeySpace.SLOTS];
  private final long[] movedAt = new long[KeySpace.SLOTS];
  private final boolean[] releaseInFlight = new boolean[KeySpace.SLOTS];
  private final Map<Integer, String> transfers = new HashMap<>();
  private final Map<Integer, String> moveTargets = new HashMap<>();
  private Map<String, Member> knownMembers = Map.of();
  private OutstandingGrants outstandingGrants;
  private Assignment assignment;
  private long termStartedAt;
  private long term;
  private long balanceNotBefore;
  private boolean writeInFlight;

  /** Creates the assigner of a service for one incarnation of a registry. */
  public Assigner(
      final String service,
      final String ownAddress,
      final long incarnation,
      final GrantTimings timings,
      final Environment environment) {
    this.service = service;
    this.ownAddress = ownAddress;
    this.incarnation = incarnation;
    this.timings = timings;
    this.environment = environment;
    this.outstandingGrants = new OutstandingGrants(timings);
    java.util.Arrays.fill(movedAt, Long.MIN_VALUE / 2);
  }

  /** Returns the known assignment; null before the first. */
  public Assignment assignment() {
    return assignment;
  }

  /** Returns whether this incarnation of this registry is the assigner. */
  public boolean isActive() {
    return assignment != null && assignment.assignedBy(ownAddress, incarnation);
  }

  /**
   * Applies the assignment read from the register; returns whether it is newer than the known one.
   */
  public boolean applyAssignment(final Assignment update, final long now) {
    if (assignment != null && update.serial <= assignment.serial) {
      return false;
    }
    final Assignment before = assignment;
    final boolean wasActive = isActive();
    assignment = update;
    if (isActive() && !wasActive) {
      beginTerm(before, now);
    } else if (isActive()) {
      for (final KeyRange range : update.ranges()) {
        rangeChanged(range, now);
      }
    }
    return true;
  }

  private void beginTerm(final Assignment before, final long now) {
    term++;
    termStartedAt = now;
    balanceNotBefore = now + BALANCE_DELAY_MILLIS;
    outstandingGrants = new OutstandingGrants(timings);
    transfers.clear();
    moveTargets.clear();
    healthByMember.clear();
    java.util.Arrays.fill(releaseInFlight, false);
    java.util.Arrays.fill(nextCallAt, now);
    final boolean initial = assignment.serial == 1 || before != null && before.ranges().isEmpty();
    if (!initial) {
      assignment.ranges().forEach(range -> inheritGrant(range, now));
    }
    LOGGER.atInfo().log(
        "registry %s assigns the keys of %s now: %s ranges, assignment serial %s",
        ownAddress, service, assignment.ranges().size(), assignment.serial);
  }

  /** Records what another assigner, or an earlier incarnation of this one, may have granted. */
  protected void inheritGrant(final KeyRange range, final long now) {
    outstandingGrants.addInherited(range, now);
  }

  /**
   * Schedules calls for a range that changed with the current assignment; ignores unchanged ranges.
   */
  private void rangeChanged(final KeyRange range, final long now) {
    if (range.fence != assignment.serial) {
      return;
    }
    for (int slot = KeySpace.slot(range.first); slot <= KeySpace.slot(range.last); slot++) {
      nextCallAt[slot] = range.held() ? now : now + PROXY_NOTICE_MILLIS;
      releaseInFlight[slot] = false;
      transfers.remove(slot);
      if (range.held()) {
        moveTargets.remove(slot);
        movedAt[slot] = now;
      }
    }
  }

  /** Adds the load that proxies sent to holders. */
  public void report(final SlotReport report, final long now) {
    loads.add(report, now);
  }

  /**
   * Makes this registry the assigner if the register is unchanged from what is known here. All
   * holders stay, with a higher fencing token; if there are none yet, the keys are divided among
   * the eligible members.
   */
  public void takeOver(final List<Member> members, final long now) {
    final long serial = assignment == null ? 1 : assignment.serial + 1;
    final List<KeyRange> ranges = new ArrayList<>();
    for (final KeyRange range : assignment == null ? List.<KeyRange>of() : assignment.ranges()) {
      ranges.add(withState(range, range.state(), serial));
    }
    if (ranges.isEmpty()) {
      ranges.addAll(Balancer.initialAssignment(members, serial));
    }
    writeAssignment(ranges);
  }

  private static KeyRange withState(
      final KeyRange range, final RangeState state, final long fencingToken) {
    return new KeyRange(
        range.first, range.last, range.holder, range.address, fencingToken, state, range.transfer);
  }

  private static KeyRange withHolder(
      final KeyRange range, final Member receiver, final long fencingToken, final String transfer) {
    return new KeyRange(
        range.first,
        range.last,
        receiver.id(),
        receiver.address(),
        fencingToken,
        RangeState.HELD,
        transfer);
  }

  private void writeAssignment(final List<KeyRange> ranges) {
    if (writeInFlight) {
      return;
    }
    writeInFlight = true;
    final long serial = assignment == null ? 1 : assignment.serial + 1;
    environment.write(
        new Assignment(service, serial, ownAddress, incarnation, ranges),
        () -> writeInFlight = false);
  }

  /**
   * Renews grants, requests releases and writes the next assignment where needed; called
   * periodically.
   *
   * @param confirmedAt when this registry sent the last read by which a majority confirmed it as
   *     the assigner
   */
  public void tick(final List<Member> members, final long confirmedAt, final long now) {
    loads.decay(now);
    final long leaseUntil = confirmedAt + timings.leaseMillis();
    if (!isActive() || now >= leaseUntil) {
      return;
    }
    final Map<String, Member> membersById = new HashMap<>();
    members.forEach(member -> membersById.put(member.id(), member));
    knownMembers = membersById;
    for (final KeyRange range : assignment.ranges()) {
      final Member holder = membersById.get(range.holder);
      final boolean terminated = holder != null && holder.standing() == Member.Standing.TERMINATED;
      if (!range.held()) {
        requestRelease(range, leaseUntil, now);
      } else if (!terminated) {
        renew(range, leaseUntil, now);
      }
    }
    if (!writeInFlight) {
      planChanges(excludeUnresponsive(members, now), membersById, now);
    }
  }

  // ---- calls to upstreams

  private void renew(final KeyRange range, final long leaseUntil, final long now) {
    final int slot = KeySpace.slot(range.first);
    if (now < nextCallAt[slot] || outstandingGrants.inFlight(range)) {
      return;
    }
    final long sentTerm = term;
    final OutstandingGrants sentGrants = outstandingGrants;
    outstandingGrants.grantSent(range, now);
    environment.grant(
        range,
        Math.min(leaseUntil, now + RETRY_MILLIS),
        result -> {
          sentGrants.grantCompleted(range, result.outcome(), environment.now());
          counts.recordGrant(result.outcome());
          if (term == sentTerm) {
            grantCompleted(range, result);
          }
        });
  }

  private void grantCompleted(final KeyRange range, final CallResult result) {
    final boolean done = result.outcome() == CallResult.Outcome.DONE;
    recordCall(range.holder, done);
    final long next = environment.now() + (done ? timings.renewalIntervalMillis() : RETRY_MILLIS);
    for (int slot = KeySpace.slot(range.first); slot <= KeySpace.slot(range.last); slot++) {
      nextCallAt[slot] = Math.max(nextCallAt[slot], next);
    }
  }

  private void recordCall(final String upstream, final boolean done) {
    final MemberHealth health = healthByMember.computeIfAbsent(upstream, id -> new MemberHealth());
    if (done) {
      health.consecutiveFailures = 0;
      health.responsive = true;
      return;
    }
    if (health.consecutiveFailures++ == 0) {
      health.failingSince = environment.now();
    }
    health.failedAt = environment.now();
    if (health.consecutiveFailures == UNRESPONSIVE_FAILURES) {
      health.ejections++;
      health.responsive = false;
    }
  }

  /** Returns the upstreams that responded to their latest grants. */
  private Set<String> responsiveMembers() {
    final Set<String> responsive = new HashSet<>();
    healthByMember.forEach(
        (id, health) -> {
          if (health.responsive) {
            responsive.add(id);
          }
        });
    return responsive;
  }

  /**
   * Returns for how long an upstream that stopped responding gets no more keys: doubled each time.
   */
  private static long ejectionMillis(final MemberHealth health) {
    return EJECTION_MILLIS << Math.min(MAX_EJECTION_DOUBLINGS, Math.max(0, health.ejections - 1));
  }

  /**
   * Returns the members; those that recently left grants unanswered are marked to get no new keys.
   */
  private List<Member> excludeUnresponsive(final List<Member> members, final long now) {
    final List<Member> result = new ArrayList<>();
    for (final Member member : members) {
      final MemberHealth health = healthByMember.get(member.id());
      final boolean unresponsive =
          health != null
              && health.consecutiveFailures >= UNRESPONSIVE_FAILURES
              && now - health.failedAt < ejectionMillis(health);
      result.add(
          unresponsive && member.eligible()
              ? new Member(
                  member.id(), member.address(), member.capacity(), Member.Standing.NO_NEW_KEYS)
              : member);
    }
    return result;
  }

  private void requestRelease(final KeyRange range, final long leaseUntil, final long now) {
    final int slot = KeySpace.slot(range.first);
    if (now < nextCallAt[slot]
        || releaseInFlight[slot]
        || outstandingGrants.isFree(range, now)
        || outstandingGrants.inFlight(range)
        || !mayRelease(range, now)) {
      return;
    }
    final long sentTerm = term;
    releaseInFlight[slot] = true;
    environment.release(
        range,
        Math.min(leaseUntil, now + RETRY_MILLIS),
        now + timings.grantMillis(),
        result -> {
          counts.recordRelease(result.outcome());
          if (term == sentTerm) {
            releaseCompleted(range, result);
          }
        });
  }

  /**
   * Whether an earlier assigner's grants can no longer undo a release: either the holder has
   * acknowledged a higher fencing token, or all of them have arrived or been lost.
   */
  private boolean mayRelease(final KeyRange range, final long now) {
    return outstandingGrants.acknowledgedAt(range) >= termStartedAt
        || now > timings.latestPredecessorStart(termStartedAt);
  }

  private void releaseCompleted(final KeyRange range, final CallResult result) {
    if (!stillReleasing(range)) {
      return;
    }
    final int slot = KeySpace.slot(range.first);
    releaseInFlight[slot] = false;
    if (result.outcome() == CallResult.Outcome.DONE) {
      outstandingGrants.markReleased(range);
      if (result.transfer() != null && !isTerminated(range.holder)) {
        transfers.put(slot, result.transfer());
      }
    } else {
      nextCallAt[slot] = environment.now() + RETRY_MILLIS;
    }
  }

  /** Whether the register still has this range in the state in which its release was requested. */
  private boolean stillReleasing(final KeyRange requested) {
    for (final KeyRange range : assignment.ranges()) {
      if (range.first == requested.first && range.last == requested.last) {
        return !range.held() && range.fence == requested.fence;
      }
    }
    return false;
  }

  /**
   * Whether a later incarnation has the address of this upstream. It may have received the range's
   * grant in its place, so it is asked for the release, but the state that it hands over is not the
   * holder's.
   */
  private boolean isTerminated(final String upstream) {
    final Member member = knownMembers.get(upstream);
    return member != null && member.standing() == Member.Standing.TERMINATED;
  }

  // ---- the next assignment

  private void planChanges(
      final List<Member> members, final Map<String, Member> membersById, final long now) {
    if (assignment.ranges().isEmpty()) {
      final List<KeyRange> ranges = Balancer.initialAssignment(members, assignment.serial + 1);
      if (!ranges.isEmpty()) {
        writeAssignment(ranges);
      }
      return;
    }
    final long serial = assignment.serial + 1;
    final Balancer balancer =
        new Balancer(loads, members, assignment.ranges(), responsiveMembers());
    final boolean anyEligible = members.stream().anyMatch(Member::eligible);
    final List<KeyRange> next = new ArrayList<>();
    boolean changed = false;
    for (final KeyRange range : assignment.ranges()) {
      final Member holder = membersById.get(range.holder);
      final MoveReason reason = range.held() ? moveReason(range, holder, now) : null;
      if (!range.held() && mayReassign(range, now)) {
        final Member target =
            balancer.assignIfEligible(moveTargets.get(KeySpace.slot(range.first)), range);
        final Member receiver = target == null ? balancer.chooseReceiver(range) : target;
        changed |= receiver != null;
        next.add(receiver == null ? range : reassigned(range, receiver, serial, now));
      } else if (reason != null && anyEligible) {
        changed = true;
        counts.recordMove(reason);
        for (final KeyRange piece : balancer.split(range)) {
          next.add(withState(piece, RangeState.RELEASING, serial));
        }
      } else {
        next.add(range);
      }
    }
    if (!changed) {
      changed = balance(balancer, next, serial, now);
    }
    if (changed) {
      writeAssignment(mergeRanges(next, members.size(), serial));
    }
  }

  /** Whether a range that is being released may get another holder. */
  protected boolean mayReassign(final KeyRange range, final long now) {
    return outstandingGrants.isFree(range, now);
  }

  private KeyRange reassigned(
      final KeyRange range, final Member receiver, final long serial, final long now) {
    final String transfer = transfers.get(KeySpace.slot(range.first));
    if (transfer == null) {
      counts.reassignedWithoutRelease();
    }
    LOGGER.atInfo().log(
        "reassigned keys %s-%s of service %s from upstream %s to %s, fencing token %s%s",
        range.first,
        range.last,
        service,
        range.holder,
        receiver.id(),
        serial,
        transfer == null ? ", without handed-over state" : "");
    return withHolder(range, receiver, serial, transfer);
  }

  private MoveReason moveReason(final KeyRange range, final Member holder, final long now) {
    if (holder == null || holder.standing() == Member.Standing.LEAVING) {
      return MoveReason.LEAVES;
    }
    if (holder.standing() == Member.Standing.TERMINATED) {
      return MoveReason.ENDED;
    }
    final MemberHealth health = healthByMember.get(range.holder);
    final boolean unresponsive =
        health != null
            && health.consecutiveFailures >= UNRESPONSIVE_FAILURES
            && now - health.failingSince >= timings.responseTimeoutMillis()
            && now - outstandingGrants.acknowledgedAt(range) >= timings.responseTimeoutMillis();
    return unresponsive ? MoveReason.SILENT : null;
  }

  private boolean balance(
      final Balancer balancer, final List<KeyRange> next, final long serial, final long now) {
    final long moving = next.stream().filter(range -> !range.held()).count();
    if (now < balanceNotBefore || moving >= MAX_CONCURRENT_MOVES) {
      return false;
    }
    balanceNotBefore = now + BALANCE_INTERVAL_MILLIS;
    final Balancer.Move move = balancer.planMove(slot -> now - movedAt[slot] >= MIN_STAY_MILLIS);
    if (move == null) {
      return false;
    }
    counts.recordMove(MoveReason.BALANCE);
    moveTargets.put(move.firstSlot(), move.receiver());
    final int first = KeySpace.firstKey(move.firstSlot());
    final int last = KeySpace.lastKey(move.lastSlot());
    for (int index = 0; index < next.size(); index++) {
      final KeyRange range = next.get(index);
      if (range.first <= first && last <= range.last) {
        next.remove(index);
        if (last < range.last) {
          next.add(index, range.subrange(last + 1, range.last));
        }
        next.add(index, withState(range.subrange(first, last), RangeState.RELEASING, serial));
        if (range.first < first) {
          next.add(index, range.subrange(range.first, first - 1));
        }
        return true;
      }
    }
    return false;
  }

  /** Merges adjacent ranges of one holder, once there are many, under a new fencing token. */
  private List<KeyRange> mergeRanges(
      final List<KeyRange> ranges, final int members, final long serial) {
    if (ranges.size() <= MERGE_RANGES_PER_MEMBER * members) {
      return ranges;
    }
    final List<KeyRange> merged = new ArrayList<>();
    for (final KeyRange range : ranges) {
      final KeyRange last = merged.isEmpty() ? null : merged.get(merged.size() - 1);
      final boolean mergeable =
          last != null
              && last.held()
              && range.held()
              && last.holder.equals(range.holder)
              && acknowledgedThisTerm(last)
              && acknowledgedThisTerm(range);
      if (mergeable) {
        merged.set(
            merged.size() - 1,
            new KeyRange(
                last.first,
                range.last,
                range.holder,
                range.address,
                serial,
                RangeState.HELD,
                null));
      } else {
        merged.add(range);
      }
    }
    return merged;
  }

  private boolean acknowledgedThisTerm(final KeyRange range) {
    return outstandingGrants.acknowledgedAt(range) >= termStartedAt;
  }

  // ---- status for operators and tests

  /**
   * Returns how many keys no upstream has acknowledged to hold within the validity of a grant, as
   * far as this assigner knows.
   */
  public int keysWithoutHolder(final long now) {
    int keys = 0;
    for (final KeyRange range : assignment == null ? List.<KeyRange>of() : assignment.ranges()) {
      final boolean held =
          range.held() && now - outstandingGrants.acknowledgedAt(range) <= timings.grantMillis();
      keys += held ? 0 : range.last - range.first + 1;
    }
    return keys;
  }

  AssignerCounts counts() {
    return counts;
  }
}
