package weldpoint.ownership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;
import weldpoint.transport.OwnershipMessages.AssignerHeartbeat;
import weldpoint.transport.OwnershipMessages.Assignment;
import weldpoint.transport.OwnershipMessages.KeyRange;
import weldpoint.transport.OwnershipMessages.SlotReport;

/**
 * Simulates assigners under one simulated clock: registries, a register with compare-and-set, and
 * upstreams that hold keys by clocks up to 2 % slow and that stall at times. Calls are lost or
 * delayed, registries are paused, killed and partitioned from the register, and upstreams crash,
 * leave, restart and join. After each grant it is checked that no other upstream holds one of its
 * keys.
 */
final class OwnershipSimulation {
  static final String SERVICE = "store";

  /** The safeguard that is disabled on purpose. */
  enum Fault {
    NONE,
    /** A range is reassigned without a release and without waiting for its grant to expire. */
    NO_WAIT,
    /** Grants count as expired too early: no margin for slow clocks and calls in progress. */
    NO_MARGIN,
    /** A new assigner ignores its predecessor's grants. */
    IGNORES_PREDECESSOR,
    /** Grants are sent for a proposed assignment before it is in the register. */
    GRANT_BEFORE_REGISTER,
    /**
     * A grant whose connection was reset counts as lost, although the upstream may still read it.
     */
    NO_LATE_ALLOWANCE,
    /** A partitioned registry keeps granting without confirming that it is still the assigner. */
    NO_LEASE
  }

  private static final int REGISTRIES = 3;
  private static final int MAX_UPSTREAMS = 7;
  private static final long GRANT_MILLIS = 2000;
  private static final long TICK_MILLIS = 40;
  private static final long READ_INTERVAL_MILLIS = 300;
  private static final long SEND_MILLIS = 800;
  private static final long SAMPLED_MILLIS = 10_000;

  /** How long calls may stay unread at an upstream, even after their connection was reset. */
  private static final long LATE_MILLIS = 1000;

  private static final long SAMPLE_INTERVAL_MILLIS = 250;
  private static final double SLOWEST_CLOCK = 1 / 0.98;

  private record Event(long at, long number, Runnable task) {}

  /** One incarnation of an upstream. */
  private final class Upstream {
    final String id;
    final String address;
    final double clockSlowdown;
    final long visibleAt;
    final long[] heldUntil = new long[KeySpace.SLOTS];
    final long[] highestFencingTokens = new long[KeySpace.SLOTS];
    boolean running = true;
    boolean leaving;
    boolean partitioned;
    long stalledUntil;
    final java.util.Set<String> unreachableFrom = new java.util.HashSet<>();
    long lastHeartbeatAt;

    Upstream(final int number, final String address, final long visibleAt) {
      this.address = address;
      this.visibleAt = visibleAt;
      id = "u" + number;
      clockSlowdown = number % 2 == 0 ? SLOWEST_CLOCK : 1;
    }

    boolean grant(final KeyRange range, final long grantMillis) {
      for (int slot = KeySpace.slot(range.first); slot <= KeySpace.slot(range.last); slot++) {
        if (highestFencingTokens[slot] > range.fence) {
          return false;
        }
      }
      for (int slot = KeySpace.slot(range.first); slot <= KeySpace.slot(range.last); slot++) {
        highestFencingTokens[slot] = range.fence;
        heldUntil[slot] = now + (long) Math.ceil(grantMillis * clockSlowdown);
      }
      grants++;
      checkSingleHolder(this, range);
      return true;
    }

    void release(final KeyRange range) {
      for (int slot = KeySpace.slot(range.first); slot <= KeySpace.slot(range.last); slot++) {
        heldUntil[slot] = 0;
        highestFencingTokens[slot] = Math.max(highestFencingTokens[slot], range.fence);
      }
    }
  }

  /** One incarnation of a registry. */
  private final class Registry implements Assigner.Environment {
    final String address;
    final long incarnation;
    final OwnershipCoordinator coordinator;
    boolean running = true;
    boolean partitioned;
    long pausedUntil;
    long confirmedAt = Long.MIN_VALUE / 2;

    Registry(final int place, final long incarnation) {
      this.address = "r" + place;
      this.incarnation = incarnation;
      final GrantTimings timings = GrantTimings.of(GRANT_MILLIS, LATE_MILLIS);
      this.coordinator =
          new OwnershipCoordinator(
              address, incarnation, timings, this::sendHeartbeat, this::assigner);
    }

    private Assigner assigner(final String service) {
      return fault == Fault.NONE
          ? new Assigner(
              service, address, incarnation, GrantTimings.of(GRANT_MILLIS, LATE_MILLIS), this)
          : new FaultyAssigner(
              service, address, incarnation, GrantTimings.of(GRANT_MILLIS, LATE_MILLIS), this);
    }

    boolean isRunning() {
      return running && now >= pausedUntil;
    }

    private void sendHeartbeat(final AssignerHeartbeat heartbeat) {
      for (final Registry other : registries) {
        if (other != this && !partitioned && !other.partitioned) {
          schedule(
              delay(), other, () -> other.coordinator.receiveHeartbeat(address, heartbeat, now));
        }
      }
    }

    /** Reads the register; the result counts from the moment of the request. */
    void readRegister() {
      if (!isRunning() || partitioned) {
        return;
      }
      final long requestedAt = now;
      schedule(
          delay(),
          null,
          () -> {
            final Assignment held = register;
            schedule(delay(), this, () -> readCompleted(held, requestedAt));
          });
    }

    private void readCompleted(final Assignment held, final long requestedAt) {
      if (partitioned) {
        return;
      }
      confirmedAt = Math.max(confirmedAt, requestedAt);
      if (held != null) {
        coordinator.applyAssignments(List.of(held), now);
      }
    }

    void tick() {
      if (!isRunning()) {
        return;
      }
      final int place = Integer.parseInt(address.substring(1));
      final long confirmed = fault == Fault.NO_LEASE && confirmedAt >= 0 ? now : confirmedAt;
      coordinator.tick(
          List.of(SERVICE),
          service -> members(),
          new OwnershipCoordinator.Position(place, REGISTRIES, confirmed),
          now);
    }

    @Override
    public long now() {
      return now;
    }

    @Override
    public void write(final Assignment next, final Runnable done) {
      if (fault == Fault.GRANT_BEFORE_REGISTER) {
        coordinator.applyAssignments(List.of(next), now);
      }
      if (partitioned) {
        schedule(900, this, done);
        return;
      }
      schedule(
          delay(),
          null,
          () -> {
            final long serial = register == null ? 0 : register.serial;
            if (next.serial == serial + 1) {
              register = next;
              changes++;
            }
            schedule(delay(), this, done);
            schedule(delay(), this, this::readRegister);
          });
    }

    @Override
    public void grant(final KeyRange range, final long sendBy, final Consumer<CallResult> done) {
      call(range, done, upstream -> toResult(upstream.grant(range, GRANT_MILLIS)), SEND_MILLIS);
    }

    @Override
    public void release(
        final KeyRange range,
        final long sendBy,
        final long responseBy,
        final Consumer<CallResult> done) {
      call(
          range,
          done,
          upstream -> {
            upstream.release(range);
            return new CallResult(CallResult.Outcome.DONE, "t" + range.fence);
          },
          GRANT_MILLIS);
    }

    private void deliverResult(
        final boolean lost, final Consumer<CallResult> receiver, final CallResult result) {
      if (!lost) {
        schedule(delay(), this, () -> receiver.accept(result));
      }
    }

    private CallResult toResult(final boolean granted) {
      return CallResult.of(granted ? CallResult.Outcome.DONE : CallResult.Outcome.REFUSED);
    }

    /** Delivers a call before its time-out or not at all; its response may be lost. */
    private void call(
        final KeyRange range,
        final Consumer<CallResult> done,
        final java.util.function.Function<Upstream, CallResult> effect,
        final long timeoutMillis) {
      final Upstream upstream = currentAt(range.address);
      final boolean[] completed = new boolean[1];
      final Consumer<CallResult> once =
          result -> {
            if (!completed[0]) {
              completed[0] = true;
              done.accept(result);
            }
          };
      if (upstream == null
          || !upstream.running
          || upstream.partitioned
          || upstream.unreachableFrom.contains(address)) {
        schedule(delay(), this, () -> once.accept(CallResult.of(CallResult.Outcome.NOT_SENT)));
        return;
      }
      final long arrives = random.nextInt(4) == 0 ? random.nextInt((int) SEND_MILLIS) : delay();
      final boolean arrivalLost = now < faultsUntil && random.nextInt(12) == 0;
      final boolean responseLost = now < faultsUntil && random.nextInt(12) == 0;
      if (!arrivalLost) {
        schedule(
            Math.min(arrives, SEND_MILLIS),
            null,
            () -> deliver(upstream, effect, result -> deliverResult(responseLost, once, result)));
      }
      schedule(timeoutMillis, this, () -> once.accept(CallResult.of(CallResult.Outcome.UNKNOWN)));
    }
  }

  /** Delivers a call at once, or when a stalled upstream resumes. */
  private void deliver(
      final Upstream upstream,
      final java.util.function.Function<Upstream, CallResult> effect,
      final Consumer<CallResult> done) {
    if (now < upstream.stalledUntil) {
      schedule(upstream.stalledUntil - now, null, () -> deliver(upstream, effect, done));
    } else if (upstream.running) {
      done.accept(effect.apply(upstream));
    }
  }

  /** An assigner with one of its safeguards disabled. */
  private final class FaultyAssigner extends Assigner {
    FaultyAssigner(
        final String service,
        final String self,
        final long incarnation,
        final GrantTimings timings,
        final Environment environment) {
      super(
          service,
          self,
          incarnation,
          switch (fault) {
            case NO_MARGIN -> new ShortTimings().shorten(timings);
            case NO_LATE_ALLOWANCE -> GrantTimings.of(timings.grantMillis(), 0);
            default -> timings;
          },
          environment);
    }

    @Override
    protected boolean mayReassign(final KeyRange range, final long time) {
      return fault == Fault.NO_WAIT || super.mayReassign(range, time);
    }

    @Override
    protected void inheritGrant(final KeyRange range, final long time) {
      if (fault != Fault.IGNORES_PREDECESSOR) {
        super.inheritGrant(range, time);
      }
    }
  }

  /** Timings with which a grant counts as expired too early. */
  private static final class ShortTimings {
    private static final double FACTOR = 0.85;

    GrantTimings shorten(final GrantTimings timings) {
      return new GrantTimings((long) (timings.grantMillis() * FACTOR), timings.leaseMillis(), 0, 0);
    }
  }

  private final Random random;
  private final Fault fault;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
  private final List<Registry> registries = new ArrayList<>();
  private final Map<String, Upstream> upstreams = new LinkedHashMap<>();
  private final List<String> violations = new ArrayList<>();
  private final Map<String, Integer> faultCounts = new HashMap<>();
  private Assignment register;
  private long now = 10_000;
  private long faultsUntil;
  private int maxSlotsHeld;
  private long number;
  private long grants;
  private long changes;
  private int incarnations;

  OwnershipSimulation(final long seed, final Fault fault) {
    this.random = new Random(seed);
    this.fault = fault;
    for (int place = 0; place < REGISTRIES; place++) {
      registries.add(new Registry(place, ++incarnations));
    }
    for (int index = 0; index < 4; index++) {
      addUpstream();
    }
  }

  private void addUpstream() {
    final int incarnation = ++incarnations;
    startUpstream(new Upstream(incarnation, "a" + incarnation + ":1", now + random.nextInt(300)));
  }

  private void startUpstream(final Upstream upstream) {
    upstream.lastHeartbeatAt = now;
    upstreams.put(upstream.id, upstream);
  }

  /** Returns the incarnation that has an address now, or had it last. */
  private Upstream currentAt(final String address) {
    Upstream last = null;
    for (final Upstream upstream : upstreams.values()) {
      if (upstream.address.equals(address)) {
        last = upstream;
      }
    }
    return last;
  }

  /** Whether a later incarnation is known to have the address of this one. */
  private boolean isReplaced(final Upstream upstream) {
    final Upstream last = currentAt(upstream.address);
    return last != upstream && now >= last.visibleAt;
  }

  private long delay() {
    return 1 + random.nextInt(random.nextInt(10) == 0 ? 300 : 20);
  }

  private void schedule(final long millis, final Registry at, final Runnable task) {
    events.add(new Event(now + millis, ++number, () -> run(at, task)));
  }

  /** Runs a task at a registry: a paused one runs it when it resumes, a killed one never. */
  private void run(final Registry at, final Runnable task) {
    if (at == null) {
      task.run();
    } else if (at.running && now < at.pausedUntil) {
      schedule(at.pausedUntil - now, at, task);
    } else if (at.running) {
      task.run();
    }
  }

  private List<Member> members() {
    final List<Member> members = new ArrayList<>();
    for (final Upstream upstream : upstreams.values()) {
      if (now < upstream.visibleAt) {
        continue;
      }
      final Member.Standing standing;
      if (isReplaced(upstream)) {
        standing = Member.Standing.TERMINATED;
      } else if (upstream.leaving) {
        standing = Member.Standing.LEAVING;
      } else if (now - upstream.lastHeartbeatAt > 4000) {
        standing = Member.Standing.NO_NEW_KEYS;
      } else {
        standing = Member.Standing.ELIGIBLE;
      }
      members.add(new Member(upstream.id, upstream.address, 4, standing));
    }
    return members;
  }

  /** Checks after a grant that no other upstream holds any key of the range. */
  private void checkSingleHolder(final Upstream one, final KeyRange range) {
    for (final Upstream other : upstreams.values()) {
      if (other == one || !other.running) {
        continue;
      }
      for (int slot = KeySpace.slot(range.first); slot <= KeySpace.slot(range.last); slot++) {
        if (now < other.heldUntil[slot]) {
          violations.add(now + ": " + range + " is also held by " + other.id);
          return;
        }
      }
    }
  }

  /** Simulates a period with faults, then one without, both in milliseconds. */
  void simulate(final long millis, final long healthyMillis) {
    final long end = now + millis;
    faultsUntil = end;
    long nextFault = now + 2000;
    long nextTick = now;
    long nextRead = now;
    while (now < end + healthyMillis && violations.isEmpty()) {
      if (now >= nextTick) {
        nextTick = now + TICK_MILLIS;
        sendHeartbeats();
        if (now < end) {
          reportLoad();
        }
        registries.forEach(Registry::tick);
      }
      if (now >= nextRead) {
        nextRead = now + READ_INTERVAL_MILLIS;
        registries.forEach(Registry::readRegister);
      }
      if (now >= nextFault && now < end) {
        nextFault = now + random.nextInt(1500);
        injectFault();
      }
      while (!events.isEmpty() && events.peek().at() <= now) {
        events.poll().task().run();
      }
      if (now > end + healthyMillis - SAMPLED_MILLIS && now % SAMPLE_INTERVAL_MILLIS == 0) {
        maxSlotsHeld = Math.max(maxSlotsHeld, slotsHeld());
      }
      now++;
    }
  }

  /** Returns the most slots that were held at one time in the last seconds without faults. */
  int maxSlotsHeld() {
    return maxSlotsHeld;
  }

  private void sendHeartbeats() {
    for (final Upstream upstream : upstreams.values()) {
      if (upstream.running && !upstream.partitioned) {
        upstream.lastHeartbeatAt = now;
      }
    }
  }

  /** Reports a much higher load for some keys than for others. */
  private void reportLoad() {
    if (now / TICK_MILLIS % 12 != 0) {
      return;
    }
    final int hot = (int) (now / 6000 * 97 % KeySpace.SLOTS);
    final SlotReport report =
        new SlotReport(
            SERVICE, List.of(hot, (hot + 1) % KeySpace.SLOTS), List.of(9, 9), List.of(2500, 2500));
    registries.stream()
        .filter(Registry::isRunning)
        .forEach(one -> one.coordinator.report(report, now));
  }

  private void injectFault() {
    final Registry registry = registries.get(random.nextInt(REGISTRIES));
    final List<Upstream> all = new ArrayList<>(upstreams.values());
    final Upstream upstream = all.get(random.nextInt(all.size()));
    final int durationMillis = 200 + random.nextInt(5000);
    switch (random.nextInt(10)) {
      case 0 -> {
        countFault("registry paused");
        registry.pausedUntil = Math.max(registry.pausedUntil, now + durationMillis);
      }
      case 1 -> {
        countFault("registry killed");
        registry.running = false;
        final int place = registries.indexOf(registry);
        registries.set(place, new Registry(place, ++incarnations));
      }
      case 2 -> {
        countFault("registry partitioned");
        registry.partitioned = true;
        schedule(durationMillis, null, () -> registry.partitioned = false);
      }
      case 3 -> {
        countFault("upstream partitioned");
        upstream.partitioned = true;
        schedule(durationMillis, null, () -> upstream.partitioned = false);
      }
      case 4 -> {
        countFault("one link broken");
        upstream.unreachableFrom.add(registry.address);
        schedule(
            3L * durationMillis, null, () -> upstream.unreachableFrom.remove(registry.address));
      }
      case 5 -> {
        countFault("upstream leaves");
        if (all.stream().filter(one -> one.running && !one.leaving).count() > 2) {
          upstream.leaving = true;
          schedule(8000, null, () -> upstream.running = false);
        }
      }
      case 6 -> {
        countFault("upstream restarts at its address");
        if (upstream.running && !upstream.leaving && currentAt(upstream.address) == upstream) {
          upstream.running = false;
          startUpstream(new Upstream(++incarnations, upstream.address, now + random.nextInt(2000)));
        }
      }
      case 7 -> {
        countFault("upstream crashes");
        if (all.stream().filter(one -> one.running && !one.leaving).count() > 2) {
          upstream.running = false;
        }
      }
      case 8 -> {
        countFault("upstream stalls");
        upstream.stalledUntil = Math.max(upstream.stalledUntil, now + LATE_MILLIS);
      }
      default -> {
        countFault("upstream joins");
        if (all.stream().filter(one -> one.running).count() < MAX_UPSTREAMS) {
          addUpstream();
        }
      }
    }
  }

  private void countFault(final String faultName) {
    faultCounts.merge(faultName, 1, Integer::sum);
  }

  List<String> violations() {
    return violations;
  }

  long grants() {
    return grants;
  }

  long changes() {
    return changes;
  }

  /** Describes what the register says of the ranges that no upstream holds, for test messages. */
  String describeUnheldSlots() {
    final StringBuilder text = new StringBuilder("now " + now + " register " + register.serial);
    text.append(" by ").append(register.assigner).append('#').append(register.incarnation);
    for (final KeyRange range : register.ranges()) {
      final int slot = KeySpace.slot(range.first);
      if (upstreams.values().stream().noneMatch(one -> one.running && now < one.heldUntil[slot])) {
        final Upstream holder = upstreams.get(range.holder);
        text.append("; ").append(range);
        text.append(" up ").append(holder.running).append(" leaving ").append(holder.leaving);
        text.append(" highest fence seen ").append(holder.highestFencingTokens[slot]);
      }
    }
    return text.toString();
  }

  private int slotsHeld() {
    int held = 0;
    for (int slot = 0; slot < KeySpace.SLOTS; slot++) {
      final int one = slot;
      held +=
          upstreams.values().stream()
                  .anyMatch(upstream -> upstream.running && now < upstream.heldUntil[one])
              ? 1
              : 0;
    }
    return held;
  }
}
