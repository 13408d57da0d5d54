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
 * Assigns the keys of one divided service. The assignment is a register of the state store; every
 * registry knows it, and the one that it names acts on it: it renews the holders' grants, asks for
 * releases and writes the next assignment. Nothing is granted that is not in the register, and a
 * range gets another holder in the register only once the one before has released it, has ended, or
 * has been without a grant for longer than any grant holds. It knows neither threads, clocks nor
 * sockets.
 */
public class Assigner {
  /** What an assigner does to the world. */
  public interface Environment {
    /** The steady clock, in milliseconds, at this very moment. */
    long now();

    /** Writes the register, if it still has the serial before; {@code done} runs in either case. */
    void write(Assignment next, Runnable done);

    /** Sends a grant, unless it cannot be written before {@code sendBy}. */
    void grant(KeyRange range, long sendBy, Consumer<CallResult> done);

    /** Asks for a release, whose answer may take until {@code answerBy}. */
    void release(KeyRange range, long sendBy, long answerBy, Consumer<CallResult> done);
  }

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final long RETRY_MILLIS = 250;

  /** The pause before a holder is asked for a release, in which proxies hear of it. */
  private static final long PROXIES_TOLD_MILLIS = 50;

  private static final long CALM_MILLIS = 3000;
  private static final long MOVE_PAUSE_MILLIS = 500;
  private static final long SETTLE_MILLIS = 6000;
  private static final long DISTRUST_MILLIS = 5000;
  private static final int MOST_DOUBLINGS = 4;
  private static final int MOST_MOVES = 2;
  private static final int RANGES_A_MEMBER = 3;
  private static final int FAILURES_TO_SILENCE = 2;

  /** What is known of one upstream's answers. */
  private static final class Contact {
    int failures;
    long failingSince;
    long failedAt;
    int silences;
    boolean proven;
  }

  private final String service;
  private final String self;
  private final long incarnation;
  private final GrantTimings timings;
  private final Environment environment;
  private final AssignerCounts counts = new AssignerCounts();
  private final SlotLoads loads = new SlotLoads();
  private final Map<String, Contact> contacts = new HashMap<>();
  private final long[] dueAt = new long[KeySpace.SLOTS];
  private final long[] movedAt = new long[KeySpace.SLOTS];
  private final boolean[] releaseOut = new boolean[KeySpace.SLOTS];
  private final Map<Integer, String> transfers = new HashMap<>();
  private final Map<Integer, String> targets = new HashMap<>();
  private Map<String, Member> knownMembers = Map.of();
  private OutstandingGrants grants;
  private Assignment assignment;
  private long termSince;
  private long term;
  private long movePauseUntil;
  private boolean writing;

  /** An assigner of a service in one life of a registry. */
  public Assigner(
      final String service,
      final String self,
      final long incarnation,
      final GrantTimings timings,
      final Environment environment) {
    this.service = service;
    this.self = self;
    this.incarnation = incarnation;
    this.timings = timings;
    this.environment = environment;
    this.grants = new OutstandingGrants(timings);
    java.util.Arrays.fill(movedAt, Long.MIN_VALUE / 2);
  }

  /** The assignment known; null before the first. */
  public Assignment assignment() {
    return assignment;
  }

  /** Whether this life of this registry assigns. */
  public boolean acts() {
    return assignment != null && assignment.assignedBy(self, incarnation);
  }

  /** Takes what the register holds; true where it is news. */
  public boolean take(final Assignment given, final long now) {
    if (assignment != null && given.serial <= assignment.serial) {
      return false;
    }
    final Assignment before = assignment;
    final boolean acted = acts();
    assignment = given;
    if (acts() && !acted) {
      beginTerm(before, now);
    } else if (acts()) {
      for (final KeyRange range : given.ranges()) {
        note(range, now);
      }
    }
    return true;
  }

  private void beginTerm(final Assignment before, final long now) {
    term++;
    termSince = now;
    movePauseUntil = now + CALM_MILLIS;
    grants = new OutstandingGrants(timings);
    transfers.clear();
    targets.clear();
    contacts.clear();
    java.util.Arrays.fill(releaseOut, false);
    java.util.Arrays.fill(dueAt, now);
    final boolean first = assignment.serial == 1 || before != null && before.ranges().isEmpty();
    if (!first) {
      assignment.ranges().forEach(range -> inherit(range, now));
    }
    LOGGER.atInfo().log(
        "registry %s assigns the keys of %s now: %s ranges, serial %s",
        self, service, assignment.ranges().size(), assignment.serial);
  }

  /** Counts what another assigner, or an earlier life of this one, may have granted. */
  protected void inherit(final KeyRange range, final long now) {
    grants.inherited(range, now);
  }

  /** A range stands so in the register since now, or did before. */
  private void note(final KeyRange range, final long now) {
    if (range.fence != assignment.serial) {
      return;
    }
    for (int slot = KeySpace.slot(range.first); slot <= KeySpace.slot(range.last); slot++) {
      dueAt[slot] = range.held() ? now : now + PROXIES_TOLD_MILLIS;
      releaseOut[slot] = false;
      transfers.remove(slot);
      if (range.held()) {
        targets.remove(slot);
        movedAt[slot] = now;
      }
    }
  }

  /** Takes what proxies sent to holders. */
  public void report(final SlotReport report, final long now) {
    loads.add(report, now);
  }

  /**
   * Makes this registry the assigner, if the register is still as it is known here: all holders
   * stay, under a higher fence. Where nobody holds anything yet, the keys are divided.
   */
  public void takeOver(final List<Member> members, final long now) {
    final long serial = assignment == null ? 1 : assignment.serial + 1;
    final List<KeyRange> ranges = new ArrayList<>();
    for (final KeyRange range : assignment == null ? List.<KeyRange>of() : assignment.ranges()) {
      ranges.add(fenced(range, range.state(), serial));
    }
    if (ranges.isEmpty()) {
      ranges.addAll(Balancer.firstDivision(members, serial));
    }
    write(ranges);
  }

  private static KeyRange fenced(final KeyRange range, final RangeState state, final long fence) {
    return new KeyRange(
        range.first, range.last, range.holder, range.address, fence, state, range.transfer);
  }

  private static KeyRange given(
      final KeyRange range, final Member to, final long fence, final String transfer) {
    return new KeyRange(
        range.first, range.last, to.id(), to.address(), fence, RangeState.HELD, transfer);
  }

  private void write(final List<KeyRange> ranges) {
    if (writing) {
      return;
    }
    writing = true;
    final long serial = assignment == null ? 1 : assignment.serial + 1;
    environment.write(
        new Assignment(service, serial, self, incarnation, ranges), () -> writing = false);
  }

  /**
   * Time has passed.
   *
   * @param confirmedAt when this registry asked last whether it still assigns, and heard from a
   *     majority that it does
   */
  public void tick(final List<Member> members, final long confirmedAt, final long now) {
    loads.decay(now);
    final long actsUntil = confirmedAt + timings.leaseMillis();
    if (!acts() || now >= actsUntil) {
      return;
    }
    final Map<String, Member> known = new HashMap<>();
    members.forEach(member -> known.put(member.id(), member));
    knownMembers = known;
    for (final KeyRange range : assignment.ranges()) {
      final Member holder = known.get(range.holder);
      final boolean ended = holder != null && holder.standing() == Member.Standing.ENDED;
      if (!range.held()) {
        askRelease(range, actsUntil, now);
      } else if (!ended) {
        renew(range, actsUntil, now);
      }
    }
    if (!writing) {
      plan(answering(members, now), known, now);
    }
  }

  // ---- calls to upstreams

  private void renew(final KeyRange range, final long actsUntil, final long now) {
    final int slot = KeySpace.slot(range.first);
    if (now < dueAt[slot] || grants.underWay(range)) {
      return;
    }
    final long sentTerm = term;
    final OutstandingGrants sentLedger = grants;
    grants.sending(range, now);
    environment.grant(
        range,
        Math.min(actsUntil, now + RETRY_MILLIS),
        result -> {
          sentLedger.ended(range, result.end(), environment.now());
          counts.grant(result.end());
          if (term == sentTerm) {
            granted(range, result);
          }
        });
  }

  private void granted(final KeyRange range, final CallResult result) {
    final boolean done = result.end() == CallResult.End.DONE;
    heard(range.holder, done);
    final long next = environment.now() + (done ? timings.renewMillis() : RETRY_MILLIS);
    for (int slot = KeySpace.slot(range.first); slot <= KeySpace.slot(range.last); slot++) {
      dueAt[slot] = Math.max(dueAt[slot], next);
    }
  }

  private void heard(final String upstream, final boolean done) {
    final Contact contact = contacts.computeIfAbsent(upstream, id -> new Contact());
    if (done) {
      contact.failures = 0;
      contact.proven = true;
      return;
    }
    if (contact.failures++ == 0) {
      contact.failingSince = environment.now();
    }
    contact.failedAt = environment.now();
    if (contact.failures == FAILURES_TO_SILENCE) {
      contact.silences++;
      contact.proven = false;
    }
  }

  /** The upstreams that have answered their last grants. */
  private Set<String> proven() {
    final Set<String> proven = new HashSet<>();
    contacts.forEach(
        (id, contact) -> {
          if (contact.proven) {
            proven.add(id);
          }
        });
    return proven;
  }

  /** For how long an upstream that fell silent is given nothing: longer each time. */
  private static long distrustMillis(final Contact contact) {
    return DISTRUST_MILLIS << Math.min(MOST_DOUBLINGS, Math.max(0, contact.silences - 1));
  }

  /** The members, with those that lately left grants unanswered as such that are given nothing. */
  private List<Member> answering(final List<Member> members, final long now) {
    final List<Member> answering = new ArrayList<>();
    for (final Member member : members) {
      final Contact contact = contacts.get(member.id());
      final boolean silent =
          contact != null
              && contact.failures >= FAILURES_TO_SILENCE
              && now - contact.failedAt < distrustMillis(contact);
      answering.add(
          silent && member.eligible()
              ? new Member(member.id(), member.address(), member.capacity(), Member.Standing.KEEPS)
              : member);
    }
    return answering;
  }

  private void askRelease(final KeyRange range, final long actsUntil, final long now) {
    final int slot = KeySpace.slot(range.first);
    if (now < dueAt[slot]
        || releaseOut[slot]
        || grants.free(range, now)
        || grants.underWay(range)
        || !mayRelease(range, now)) {
      return;
    }
    final long sentTerm = term;
    releaseOut[slot] = true;
    environment.release(
        range,
        Math.min(actsUntil, now + RETRY_MILLIS),
        now + timings.holdMillis(),
        result -> {
          counts.release(result.end());
          if (term == sentTerm) {
            releaseEnded(range, result);
          }
        });
  }

  /**
   * Whether an earlier assigner's grants can no longer undo a release: the holder has acknowledged
   * a higher fence, or all of them have arrived or been lost.
   */
  private boolean mayRelease(final KeyRange range, final long now) {
    return grants.acknowledgedAt(range) >= termSince || now > timings.predecessorSilent(termSince);
  }

  private void releaseEnded(final KeyRange range, final CallResult result) {
    if (!stillReleasing(range)) {
      return;
    }
    final int slot = KeySpace.slot(range.first);
    releaseOut[slot] = false;
    if (result.end() == CallResult.End.DONE) {
      grants.released(range);
      if (result.transfer() != null && !ended(range.holder)) {
        transfers.put(slot, result.transfer());
      }
    } else {
      dueAt[slot] = environment.now() + RETRY_MILLIS;
    }
  }

  /** Whether the register still says of this range what it said when its release was asked for. */
  private boolean stillReleasing(final KeyRange asked) {
    for (final KeyRange range : assignment.ranges()) {
      if (range.first == asked.first && range.last == asked.last) {
        return !range.held() && range.fence == asked.fence;
      }
    }
    return false;
  }

  /**
   * Whether another life has the address of this one: it may have been granted the range in its
   * place, so it is asked for the release, but what it hands over is not the holder's.
   */
  private boolean ended(final String upstream) {
    final Member member = knownMembers.get(upstream);
    return member != null && member.standing() == Member.Standing.ENDED;
  }

  // ---- the next assignment

  private void plan(final List<Member> members, final Map<String, Member> known, final long now) {
    if (assignment.ranges().isEmpty()) {
      final List<KeyRange> ranges = Balancer.firstDivision(members, assignment.serial + 1);
      if (!ranges.isEmpty()) {
        write(ranges);
      }
      return;
    }
    final long serial = assignment.serial + 1;
    final Balancer balancer = new Balancer(loads, members, assignment.ranges(), proven());
    final boolean anyEligible = members.stream().anyMatch(Member::eligible);
    final List<KeyRange> next = new ArrayList<>();
    boolean changed = false;
    for (final KeyRange range : assignment.ranges()) {
      final Member holder = known.get(range.holder);
      final MoveReason reason = range.held() ? reason(range, holder, now) : null;
      if (!range.held() && mayPass(range, now)) {
        final Member target = balancer.eligible(targets.get(KeySpace.slot(range.first)), range);
        final Member receiver = target == null ? balancer.receiver(range) : target;
        changed |= receiver != null;
        next.add(receiver == null ? range : passed(range, receiver, serial, now));
      } else if (reason != null && anyEligible) {
        changed = true;
        counts.move(reason);
        for (final KeyRange piece : balancer.pieces(range)) {
          next.add(fenced(piece, RangeState.RELEASING, serial));
        }
      } else {
        next.add(range);
      }
    }
    if (!changed) {
      changed = balance(balancer, next, serial, now);
    }
    if (changed) {
      write(merged(next, members.size(), serial));
    }
  }

  /** Whether a range that is being given up may get another holder. */
  protected boolean mayPass(final KeyRange range, final long now) {
    return grants.free(range, now);
  }

  private KeyRange passed(
      final KeyRange range, final Member receiver, final long serial, final long now) {
    final String transfer = transfers.get(KeySpace.slot(range.first));
    if (transfer == null) {
      counts.waitedOut();
    }
    LOGGER.atInfo().log(
        "passed keys %s-%s of %s from %s to %s, fence %s%s",
        range.first,
        range.last,
        service,
        range.holder,
        receiver.id(),
        serial,
        transfer == null ? ", without a handover" : "");
    return given(range, receiver, serial, transfer);
  }

  private MoveReason reason(final KeyRange range, final Member holder, final long now) {
    if (holder == null || holder.standing() == Member.Standing.LEAVES) {
      return MoveReason.LEAVES;
    }
    if (holder.standing() == Member.Standing.ENDED) {
      return MoveReason.ENDED;
    }
    final Contact contact = contacts.get(range.holder);
    final boolean silent =
        contact != null
            && contact.failures >= FAILURES_TO_SILENCE
            && now - contact.failingSince >= timings.patienceMillis()
            && now - grants.acknowledgedAt(range) >= timings.patienceMillis();
    return silent ? MoveReason.SILENT : null;
  }

  private boolean balance(
      final Balancer balancer, final List<KeyRange> next, final long serial, final long now) {
    final long moving = next.stream().filter(range -> !range.held()).count();
    if (now < movePauseUntil || moving >= MOST_MOVES) {
      return false;
    }
    movePauseUntil = now + MOVE_PAUSE_MILLIS;
    final Balancer.Move move = balancer.move(slot -> now - movedAt[slot] >= SETTLE_MILLIS);
    if (move == null) {
      return false;
    }
    counts.move(MoveReason.BALANCE);
    targets.put(move.firstSlot(), move.receiver());
    final int first = KeySpace.firstKey(move.firstSlot());
    final int last = KeySpace.lastKey(move.lastSlot());
    for (int index = 0; index < next.size(); index++) {
      final KeyRange range = next.get(index);
      if (range.first <= first && last <= range.last) {
        next.remove(index);
        if (last < range.last) {
          next.add(index, range.subrange(last + 1, range.last));
        }
        next.add(index, fenced(range.subrange(first, last), RangeState.RELEASING, serial));
        if (range.first < first) {
          next.add(index, range.subrange(range.first, first - 1));
        }
        return true;
      }
    }
    return false;
  }

  /** Joins neighbouring ranges of one holder, once there are many, under a fence of their own. */
  private List<KeyRange> merged(final List<KeyRange> ranges, final int members, final long serial) {
    if (ranges.size() <= RANGES_A_MEMBER * members) {
      return ranges;
    }
    final List<KeyRange> merged = new ArrayList<>();
    for (final KeyRange range : ranges) {
      final KeyRange last = merged.isEmpty() ? null : merged.get(merged.size() - 1);
      final boolean joins =
          last != null
              && last.held()
              && range.held()
              && last.holder.equals(range.holder)
              && acknowledged(last)
              && acknowledged(range);
      if (joins) {
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

  private boolean acknowledged(final KeyRange range) {
    return grants.acknowledgedAt(range) >= termSince;
  }

  // ---- what operators and tests look at

  /** How many keys no upstream has acknowledged to hold, as far as this assigner knows. */
  public int keysWithoutHolder(final long now) {
    int keys = 0;
    for (final KeyRange range : assignment == null ? List.<KeyRange>of() : assignment.ranges()) {
      final boolean held =
          range.held() && now - grants.acknowledgedAt(range) <= timings.holdMillis();
      keys += held ? 0 : range.last - range.first + 1;
    }
    return keys;
  }

  AssignerCounts counts() {
    return counts;
  }
}
