package weldpoint.ownership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import weldpoint.metrics.Metric;
import weldpoint.transport.OwnershipMessages.AssignerHeartbeat;
import weldpoint.transport.OwnershipMessages.Assignment;
import weldpoint.transport.OwnershipMessages.SlotReport;

/**
 * One registry's part in assigning the keys of all divided services: it follows the registers,
 * takes a service over whose assigner has fallen silent, and acts for those that are its own.
 */
public final class OwnershipCoordinator {
  private static final long PULSE_MILLIS = 300;
  private static final long SILENCE_MILLIS = 1300;
  private static final long STAGGER_MILLIS = 350;
  private static final long GATHER_MILLIS = 1000;
  private static final long GATHER_QUIET_MILLIS = 700;
  private static final long MOST_GATHER_MILLIS = 2500;
  private static final long TAKE_OVER_PAUSE_MILLIS = 700;

  /**
   * How this registry stands among those that may assign.
   *
   * @param place its place among the voters, from 0 on; -1 where it is none
   * @param voters how many voters there are
   * @param confirmedAt when it last asked what the registers hold, and heard it from a majority
   */
  public record Position(int place, int voters, long confirmedAt) {}

  /** The first upstreams of a service that register one after the other. */
  private static final class Gathering {
    private final long beganAt;
    private long changedAt;
    private long count;

    Gathering(final long beganAt) {
      this.beganAt = beganAt;
      this.changedAt = beganAt;
    }
  }

  private final String self;
  private final long incarnation;
  private final GrantTimings timings;
  private final Consumer<AssignerHeartbeat> pulses;
  private final Function<String, Assigner> maker;
  private final Map<String, Assigner> assigners = new TreeMap<>();
  private final Map<String, Long> heardAt = new HashMap<>();
  private final Set<String> left = new HashSet<>();
  private final Map<String, Gathering> gatherings = new HashMap<>();
  private final Map<String, Long> vacantSince = new HashMap<>();
  private long pulsedAt = Long.MIN_VALUE / 2;
  private long takeOverPause;
  private boolean leaving;

  /** A registry's part in this life; pulses go to all other registries. */
  public OwnershipCoordinator(
      final String self,
      final long incarnation,
      final GrantTimings timings,
      final Assigner.Environment environment,
      final Consumer<AssignerHeartbeat> pulses) {
    this(
        self,
        incarnation,
        timings,
        pulses,
        service -> new Assigner(service, self, incarnation, timings, environment));
  }

  /** A registry's part with assigners of another make, for tests. */
  OwnershipCoordinator(
      final String self,
      final long incarnation,
      final GrantTimings timings,
      final Consumer<AssignerHeartbeat> pulses,
      final Function<String, Assigner> maker) {
    this.self = self;
    this.incarnation = incarnation;
    this.timings = timings;
    this.pulses = pulses;
    this.maker = maker;
  }

  private Assigner assigner(final String service) {
    return assigners.computeIfAbsent(service, maker);
  }

  /** Takes what the registers hold; those that are news here. */
  public List<Assignment> take(final List<Assignment> given, final long now) {
    final List<Assignment> news = new ArrayList<>();
    for (final Assignment assignment : given) {
      if (assigner(assignment.service).take(assignment, now)) {
        news.add(assignment);
        vacantSince.remove(assignment.service);
      }
    }
    return news;
  }

  /** All assignments known. */
  public List<Assignment> assignments() {
    final List<Assignment> all = new ArrayList<>();
    for (final Assigner assigner : assigners.values()) {
      if (assigner.assignment() != null) {
        all.add(assigner.assignment());
      }
    }
    return all;
  }

  /** The sum of all serials: it changes with each change of any. */
  public long mark() {
    return assignments().stream().mapToLong(assignment -> assignment.serial).sum();
  }

  /** Another registry's pulse. */
  public void pulse(final String from, final AssignerHeartbeat pulse, final long now) {
    final String life = life(from, pulse.incarnation);
    heardAt.put(life, now);
    if (pulse.leaving) {
      left.add(life);
    }
  }

  private static String life(final String address, final long life) {
    return address + "#" + life;
  }

  /** The registry that assigns a service; null where nobody does. */
  public String assignerOf(final String service) {
    final Assigner assigner = assigners.get(service);
    return assigner == null || assigner.assignment() == null
        ? null
        : assigner.assignment().assigner;
  }

  /** Takes what proxies sent to the holders of a service that is assigned here. */
  public void report(final SlotReport report, final long now) {
    final Assigner assigner = assigners.get(report.service);
    if (assigner != null && assigner.acts()) {
      assigner.report(report, now);
    }
  }

  /** This process ends: it acts no more and says so. */
  public void leave() {
    leaving = true;
    pulses.accept(new AssignerHeartbeat(incarnation, true));
  }

  /**
   * Time has passed.
   *
   * @param services the divided services of the configuration
   * @param members a service's upstreams
   */
  public void tick(
      final List<String> services,
      final Function<String, List<Member>> members,
      final Position position,
      final long now) {
    if (leaving) {
      return;
    }
    boolean acting = false;
    for (final String service : services) {
      final Assigner assigner = assigner(service);
      if (assigner.acts()) {
        acting = true;
        assigner.tick(members.apply(service), position.confirmedAt(), now);
      } else {
        stand(assigner, service, members, position, now);
      }
    }
    if (acting && now - pulsedAt >= PULSE_MILLIS) {
      pulsedAt = now;
      pulses.accept(new AssignerHeartbeat(incarnation, false));
    }
  }

  /**
   * Takes a service over, if its assigner has been silent for long enough for one in this place.
   */
  private void stand(
      final Assigner assigner,
      final String service,
      final Function<String, List<Member>> members,
      final Position position,
      final long now) {
    final boolean confirmed = now - position.confirmedAt() < timings.leaseMillis();
    if (position.place() < 0 || !confirmed || now < takeOverPause) {
      return;
    }
    final long since = vacantSince.computeIfAbsent(service, name -> now);
    final long turn = rank(service, position) * STAGGER_MILLIS;
    final Assignment assignment = assigner.assignment();
    if (now < vacantAt(assignment, since) + turn) {
      return;
    }
    final List<Member> list = members.apply(service);
    if (assignment == null && !gathered(service, list, now)) {
      return;
    }
    takeOverPause = now + TAKE_OVER_PAUSE_MILLIS;
    assigner.takeOver(list, now);
  }

  /**
   * From when on nobody assigns, as far as is known here: first noticed without one, or not heard.
   */
  private long vacantAt(final Assignment assignment, final long since) {
    if (assignment == null || assignment.assigner.equals(self)) {
      return since;
    }
    final String life = life(assignment.assigner, assignment.incarnation);
    if (left.contains(life)) {
      return since;
    }
    return heardAt.getOrDefault(life, since) + SILENCE_MILLIS;
  }

  /**
   * Whether upstreams have had a moment to register before the first division: until no more come,
   * but no longer than most of them need between two beats.
   */
  private boolean gathered(final String service, final List<Member> members, final long now) {
    final long count = members.stream().filter(Member::eligible).count();
    if (count == 0) {
      gatherings.remove(service);
      return false;
    }
    final Gathering gathering = gatherings.computeIfAbsent(service, name -> new Gathering(now));
    if (count != gathering.count) {
      gathering.count = count;
      gathering.changedAt = now;
    }
    return now - gathering.beganAt >= MOST_GATHER_MILLIS
        || now - gathering.beganAt >= GATHER_MILLIS
            && now - gathering.changedAt >= GATHER_QUIET_MILLIS;
  }

  /** Services begin at different voters, so that they are spread. */
  private static int rank(final String service, final Position position) {
    return Math.floorMod(position.place() - service.hashCode(), Math.max(1, position.voters()));
  }

  /** What this registry tells of the keys that it assigns. */
  public List<Metric> figures(final long now) {
    final List<Metric> figures = new ArrayList<>();
    for (final Map.Entry<String, Assigner> entry : assigners.entrySet()) {
      final Assigner assigner = entry.getValue();
      if (!assigner.acts()) {
        continue;
      }
      final String service = entry.getKey();
      for (final Metric metric : assigner.counts().figures()) {
        figures.add(metric.withLabel("service", service));
      }
      figures.add(
          Metric.gauge(
                  "weldpoint_key_ranges",
                  "Ranges of keys assigned.",
                  assigner.assignment().ranges().size())
              .withLabel("service", service));
      figures.add(
          Metric.gauge(
                  "weldpoint_keys_without_holder",
                  "Keys that no upstream lately acknowledged to hold.",
                  assigner.keysWithoutHolder(now))
              .withLabel("service", service));
    }
    return figures;
  }

  /** The counters, as one line. */
  public String counters() {
    final StringBuilder line = new StringBuilder();
    for (final Map.Entry<String, Assigner> entry : assigners.entrySet()) {
      if (entry.getValue().acts()) {
        line.append(" keys of ").append(entry.getKey()).append(": ranges ");
        line.append(entry.getValue().assignment().ranges().size()).append(' ');
        line.append(entry.getValue().counts().line());
      }
    }
    return line.toString();
  }
}
