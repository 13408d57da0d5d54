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
 * A small world for assigners under one fake clock: registries, a register that compares and sets,
 * and upstreams that hold keys by clocks up to 2 in 100 slow and stall now and then. Calls are
 * lost, late or doubled, registries freeze, are killed and cut off from the register, upstreams
 * crash, leave and join. After each event it is judged whether two upstreams hold one key.
 */
final class OwnershipSimulation {
  static final String SERVICE = "store";

  /** How a world is broken on purpose. */
  enum Broken {
    NOTHING,
    /** A range passes on without a release and without a wait. */
    NO_WAIT,
    /** Holds count for no longer than told: no margin for slow clocks and calls under way. */
    NO_MARGIN,
    /** A new assigner counts none of its predecessor's grants. */
    FORGETS_PREDECESSOR,
    /** Grants go out on what was proposed, before the register has it. */
    GRANT_BEFORE_REGISTER,
    /** A grant whose connection was reset counts as lost, though the upstream may still read it. */
    NOTHING_LATE,
    /** A registry that was cut off grants on, without asking whether it still assigns. */
    NO_LEASE
  }

  private static final int REGISTRIES = 3;
  private static final int LATEST_UPSTREAMS = 7;
  private static final long HOLD_MILLIS = 2000;
  private static final long TICK_MILLIS = 40;
  private static final long CONFIRM_MILLIS = 300;
  private static final long SEND_MILLIS = 800;
  private static final long LAST_MILLIS = 10_000;

  /** For so long calls may lie unread at an upstream, also after their connection was reset. */
  private static final long LATE_MILLIS = 1000;

  private static final long SAMPLE_MILLIS = 250;
  private static final double SLOWEST = 1 / 0.98;

  private record Event(long at, long number, Runnable task) {}

  /** An upstream's life. */
  private final class Upstream {
    final String id;
    final String address;
    final double slowness;
    final long knownAt;
    final long[] until = new long[KeySpace.SLOTS];
    final long[] fences = new long[KeySpace.SLOTS];
    boolean up = true;
    boolean leaving;
    boolean cut;
    long stalledUntil;
    final java.util.Set<String> cutFrom = new java.util.HashSet<>();
    long beatAt;

    Upstream(final int number, final String address, final long knownAt) {
      this.address = address;
      this.knownAt = knownAt;
      id = "u" + number;
      slowness = number % 2 == 0 ? SLOWEST : 1;
    }

    boolean grant(final KeyRange range, final long holdMillis) {
      for (int slot = KeySpace.slot(range.first); slot <= KeySpace.slot(range.last); slot++) {
        if (fences[slot] > range.fence) {
          return false;
        }
      }
      for (int slot = KeySpace.slot(range.first); slot <= KeySpace.slot(range.last); slot++) {
        fences[slot] = range.fence;
        until[slot] = now + (long) Math.ceil(holdMillis * slowness);
      }
      grants++;
      judge(this, range);
      return true;
    }

    void release(final KeyRange range) {
      for (int slot = KeySpace.slot(range.first); slot <= KeySpace.slot(range.last); slot++) {
        until[slot] = 0;
        fences[slot] = Math.max(fences[slot], range.fence);
      }
    }
  }

  /** A registry's life. */
  private final class Registry implements Assigner.Environment {
    final String address;
    final long incarnation;
    final OwnershipCoordinator coordinator;
    boolean up = true;
    boolean cut;
    long frozenUntil;
    long confirmedAt = Long.MIN_VALUE / 2;

    Registry(final int place, final long incarnation) {
      this.address = "r" + place;
      this.incarnation = incarnation;
      final GrantTimings timings = GrantTimings.of(HOLD_MILLIS, LATE_MILLIS);
      this.coordinator =
          new OwnershipCoordinator(address, incarnation, timings, this::pulse, this::assigner);
    }

    private Assigner assigner(final String service) {
      return broken == Broken.NOTHING
          ? new Assigner(
              service, address, incarnation, GrantTimings.of(HOLD_MILLIS, LATE_MILLIS), this)
          : new BrokenAssigner(
              service, address, incarnation, GrantTimings.of(HOLD_MILLIS, LATE_MILLIS), this);
    }

    boolean runs() {
      return up && now >= frozenUntil;
    }

    private void pulse(final AssignerHeartbeat pulse) {
      for (final Registry other : registries) {
        if (other != this && !cut && !other.cut) {
          later(delay(), other, () -> other.coordinator.pulse(address, pulse, now));
        }
      }
    }

    /** Asks what the register holds; the answer counts from the moment of the question. */
    void confirm() {
      if (!runs() || cut) {
        return;
      }
      final long askedAt = now;
      later(
          delay(),
          null,
          () -> {
            final Assignment held = register;
            later(delay(), this, () -> confirmed(held, askedAt));
          });
    }

    private void confirmed(final Assignment held, final long askedAt) {
      if (cut) {
        return;
      }
      confirmedAt = Math.max(confirmedAt, askedAt);
      if (held != null) {
        coordinator.take(List.of(held), now);
      }
    }

    void tick() {
      if (!runs()) {
        return;
      }
      final int place = Integer.parseInt(address.substring(1));
      final long confirmed = broken == Broken.NO_LEASE && confirmedAt >= 0 ? now : confirmedAt;
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
      if (broken == Broken.GRANT_BEFORE_REGISTER) {
        coordinator.take(List.of(next), now);
      }
      if (cut) {
        later(900, this, done);
        return;
      }
      later(
          delay(),
          null,
          () -> {
            final long serial = register == null ? 0 : register.serial;
            if (next.serial == serial + 1) {
              register = next;
              changes++;
            }
            later(delay(), this, done);
            later(delay(), this, this::confirm);
          });
    }

    @Override
    public void grant(final KeyRange range, final long sendBy, final Consumer<CallResult> done) {
      call(range, done, upstream -> end(upstream.grant(range, HOLD_MILLIS)), SEND_MILLIS);
    }

    @Override
    public void release(
        final KeyRange range,
        final long sendBy,
        final long answerBy,
        final Consumer<CallResult> done) {
      call(
          range,
          done,
          upstream -> {
            upstream.release(range);
            return new CallResult(CallResult.End.DONE, "t" + range.fence);
          },
          HOLD_MILLIS);
    }

    private void answered(
        final boolean lost, final Consumer<CallResult> hears, final CallResult result) {
      if (!lost) {
        later(delay(), this, () -> hears.accept(result));
      }
    }

    private CallResult end(final boolean granted) {
      return CallResult.of(granted ? CallResult.End.DONE : CallResult.End.REFUSED);
    }

    /** A call arrives within its life or not at all, perhaps twice; its answer may be lost. */
    private void call(
        final KeyRange range,
        final Consumer<CallResult> done,
        final java.util.function.Function<Upstream, CallResult> effect,
        final long lifeMillis) {
      final Upstream upstream = lifeAt(range.address);
      final boolean[] over = new boolean[1];
      final Consumer<CallResult> once =
          result -> {
            if (!over[0]) {
              over[0] = true;
              done.accept(result);
            }
          };
      if (upstream == null || !upstream.up || upstream.cut || upstream.cutFrom.contains(address)) {
        later(delay(), this, () -> once.accept(CallResult.of(CallResult.End.NOT_SENT)));
        return;
      }
      final long arrives = random.nextInt(4) == 0 ? random.nextInt((int) SEND_MILLIS) : delay();
      final boolean arrivalLost = now < troubledUntil && random.nextInt(12) == 0;
      final boolean answerLost = now < troubledUntil && random.nextInt(12) == 0;
      if (!arrivalLost) {
        later(
            Math.min(arrives, SEND_MILLIS),
            null,
            () -> arrive(upstream, effect, result -> answered(answerLost, once, result)));
      }
      later(lifeMillis, this, () -> once.accept(CallResult.of(CallResult.End.UNKNOWN)));
    }
  }

  /** A call is counted at once, or when an upstream that is stalled goes on. */
  private void arrive(
      final Upstream upstream,
      final java.util.function.Function<Upstream, CallResult> effect,
      final Consumer<CallResult> done) {
    if (now < upstream.stalledUntil) {
      later(upstream.stalledUntil - now, null, () -> arrive(upstream, effect, done));
    } else if (upstream.up) {
      done.accept(effect.apply(upstream));
    }
  }

  /** An assigner without one of its safeguards. */
  private final class BrokenAssigner extends Assigner {
    BrokenAssigner(
        final String service,
        final String self,
        final long incarnation,
        final GrantTimings timings,
        final Environment environment) {
      super(
          service,
          self,
          incarnation,
          switch (broken) {
            case NO_MARGIN -> new NoMargin().times(timings);
            case NOTHING_LATE -> GrantTimings.of(timings.holdMillis(), 0);
            default -> timings;
          },
          environment);
    }

    @Override
    protected boolean mayPass(final KeyRange range, final long time) {
      return broken == Broken.NO_WAIT || super.mayPass(range, time);
    }

    @Override
    protected void inherit(final KeyRange range, final long time) {
      if (broken != Broken.FORGETS_PREDECESSOR) {
        super.inherit(range, time);
      }
    }
  }

  /** Spans in which a hold counts as over too early. */
  private static final class NoMargin {
    private static final double SHORT = 0.85;

    GrantTimings times(final GrantTimings timings) {
      return new GrantTimings((long) (timings.holdMillis() * SHORT), timings.leaseMillis(), 0, 0);
    }
  }

  private final Random random;
  private final Broken broken;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
  private final List<Registry> registries = new ArrayList<>();
  private final Map<String, Upstream> upstreams = new LinkedHashMap<>();
  private final List<String> evidence = new ArrayList<>();
  private final Map<String, Integer> troubles = new HashMap<>();
  private Assignment register;
  private long now = 10_000;
  private long troubledUntil;
  private int mostHeld;
  private long number;
  private long grants;
  private long changes;
  private int lives;

  OwnershipSimulation(final long seed, final Broken broken) {
    this.random = new Random(seed);
    this.broken = broken;
    for (int place = 0; place < REGISTRIES; place++) {
      registries.add(new Registry(place, ++lives));
    }
    for (int index = 0; index < 4; index++) {
      join();
    }
  }

  private void join() {
    final int life = ++lives;
    begin(new Upstream(life, "a" + life + ":1", now + random.nextInt(300)));
  }

  private void begin(final Upstream upstream) {
    upstream.beatAt = now;
    upstreams.put(upstream.id, upstream);
  }

  /** The life that has an address now, or had it last. */
  private Upstream lifeAt(final String address) {
    Upstream last = null;
    for (final Upstream upstream : upstreams.values()) {
      if (upstream.address.equals(address)) {
        last = upstream;
      }
    }
    return last;
  }

  /** Whether another life is known to have the address of this one. */
  private boolean ended(final Upstream upstream) {
    final Upstream last = lifeAt(upstream.address);
    return last != upstream && now >= last.knownAt;
  }

  private long delay() {
    return 1 + random.nextInt(random.nextInt(10) == 0 ? 300 : 20);
  }

  private void later(final long millis, final Registry at, final Runnable task) {
    events.add(new Event(now + millis, ++number, () -> run(at, task)));
  }

  /** A frozen registry does it when it wakes, a killed one never. */
  private void run(final Registry at, final Runnable task) {
    if (at == null) {
      task.run();
    } else if (at.up && now < at.frozenUntil) {
      later(at.frozenUntil - now, at, task);
    } else if (at.up) {
      task.run();
    }
  }

  private List<Member> members() {
    final List<Member> members = new ArrayList<>();
    for (final Upstream upstream : upstreams.values()) {
      if (now < upstream.knownAt) {
        continue;
      }
      final Member.Standing standing;
      if (ended(upstream)) {
        standing = Member.Standing.ENDED;
      } else if (upstream.leaving) {
        standing = Member.Standing.LEAVES;
      } else if (now - upstream.beatAt > 4000) {
        standing = Member.Standing.KEEPS;
      } else {
        standing = Member.Standing.ELIGIBLE;
      }
      members.add(new Member(upstream.id, upstream.address, 4, standing));
    }
    return members;
  }

  /** After a grant: nobody else may hold any key of the range. */
  private void judge(final Upstream one, final KeyRange range) {
    for (final Upstream other : upstreams.values()) {
      if (other == one || !other.up) {
        continue;
      }
      for (int slot = KeySpace.slot(range.first); slot <= KeySpace.slot(range.last); slot++) {
        if (now < other.until[slot]) {
          evidence.add(now + ": " + range + " is also held by " + other.id);
          return;
        }
      }
    }
  }

  /** Plays so many milliseconds of trouble, then a calm. */
  void play(final long millis, final long calmMillis) {
    final long end = now + millis;
    troubledUntil = end;
    long nextTrouble = now + 2000;
    long nextTick = now;
    long nextConfirm = now;
    while (now < end + calmMillis && evidence.isEmpty()) {
      if (now >= nextTick) {
        nextTick = now + TICK_MILLIS;
        beat();
        if (now < end) {
          load();
        }
        registries.forEach(Registry::tick);
      }
      if (now >= nextConfirm) {
        nextConfirm = now + CONFIRM_MILLIS;
        registries.forEach(Registry::confirm);
      }
      if (now >= nextTrouble && now < end) {
        nextTrouble = now + random.nextInt(1500);
        trouble();
      }
      while (!events.isEmpty() && events.peek().at() <= now) {
        events.poll().task().run();
      }
      if (now > end + calmMillis - LAST_MILLIS && now % SAMPLE_MILLIS == 0) {
        mostHeld = Math.max(mostHeld, slotsHeld());
      }
      now++;
    }
  }

  /** The most slots that were held at one time in the last seconds of the calm. */
  int mostHeld() {
    return mostHeld;
  }

  private void beat() {
    for (final Upstream upstream : upstreams.values()) {
      if (upstream.up && !upstream.cut) {
        upstream.beatAt = now;
      }
    }
  }

  /** Some keys are much busier than others. */
  private void load() {
    if (now / TICK_MILLIS % 12 != 0) {
      return;
    }
    final int hot = (int) (now / 6000 * 97 % KeySpace.SLOTS);
    final SlotReport report =
        new SlotReport(
            SERVICE, List.of(hot, (hot + 1) % KeySpace.SLOTS), List.of(9, 9), List.of(2500, 2500));
    registries.stream().filter(Registry::runs).forEach(one -> one.coordinator.report(report, now));
  }

  private void trouble() {
    final Registry registry = registries.get(random.nextInt(REGISTRIES));
    final List<Upstream> all = new ArrayList<>(upstreams.values());
    final Upstream upstream = all.get(random.nextInt(all.size()));
    final int lasting = 200 + random.nextInt(5000);
    switch (random.nextInt(10)) {
      case 0 -> {
        count("freeze");
        registry.frozenUntil = Math.max(registry.frozenUntil, now + lasting);
      }
      case 1 -> {
        count("kill");
        registry.up = false;
        final int place = registries.indexOf(registry);
        registries.set(place, new Registry(place, ++lives));
      }
      case 2 -> {
        count("cut");
        registry.cut = true;
        later(lasting, null, () -> registry.cut = false);
      }
      case 3 -> {
        count("upstream cut");
        upstream.cut = true;
        later(lasting, null, () -> upstream.cut = false);
      }
      case 4 -> {
        count("one link cut");
        upstream.cutFrom.add(registry.address);
        later(3L * lasting, null, () -> upstream.cutFrom.remove(registry.address));
      }
      case 5 -> {
        count("leaves");
        if (all.stream().filter(one -> one.up && !one.leaving).count() > 2) {
          upstream.leaving = true;
          later(8000, null, () -> upstream.up = false);
        }
      }
      case 6 -> {
        count("restarts at its address");
        if (upstream.up && !upstream.leaving && lifeAt(upstream.address) == upstream) {
          upstream.up = false;
          begin(new Upstream(++lives, upstream.address, now + random.nextInt(2000)));
        }
      }
      case 7 -> {
        count("crash");
        if (all.stream().filter(one -> one.up && !one.leaving).count() > 2) {
          upstream.up = false;
        }
      }
      case 8 -> {
        count("upstream stalls");
        upstream.stalledUntil = Math.max(upstream.stalledUntil, now + LATE_MILLIS);
      }
      default -> {
        count("joins");
        if (all.stream().filter(one -> one.up).count() < LATEST_UPSTREAMS) {
          join();
        }
      }
    }
  }

  private void count(final String trouble) {
    troubles.merge(trouble, 1, Integer::sum);
  }

  List<String> evidence() {
    return evidence;
  }

  long grants() {
    return grants;
  }

  long changes() {
    return changes;
  }

  /** What the register says of the slots that nobody holds, for messages of tests. */
  String unheld() {
    final StringBuilder text = new StringBuilder("now " + now + " register " + register.serial);
    text.append(" by ").append(register.assigner).append('#').append(register.incarnation);
    for (final KeyRange range : register.ranges()) {
      final int slot = KeySpace.slot(range.first);
      if (upstreams.values().stream().noneMatch(one -> one.up && now < one.until[slot])) {
        final Upstream holder = upstreams.get(range.holder);
        text.append("; ").append(range);
        text.append(" up ").append(holder.up).append(" leaving ").append(holder.leaving);
        text.append(" fence seen ").append(holder.fences[slot]);
      }
    }
    return text.toString();
  }

  private int slotsHeld() {
    int held = 0;
    for (int slot = 0; slot < KeySpace.SLOTS; slot++) {
      final int one = slot;
      held +=
          upstreams.values().stream().anyMatch(upstream -> upstream.up && now < upstream.until[one])
              ? 1
              : 0;
    }
    return held;
  }
}
