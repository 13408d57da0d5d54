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
 * One registry's part in assigning the keys of all partitioned services: it follows the assignment
 * registers of the state store, takes over services whose assigner has stopped sending heartbeats,
 * and drives the {@link Assigner} of the services that are its own. Not thread-safe; times are
 * milliseconds of the steady clock.
 */
public final class OwnershipCoordinator {
  private static final long HEARTBEAT_MILLIS = 300;

  /** An assigner that was not heard of for this long counts as failed. */
  private static final long FAILURE_TIMEOUT_MILLIS = 1300;

  private static final long TAKE_OVER_STAGGER_MILLIS = 350;
  private static final long REGISTRATION_MIN_WAIT_MILLIS = 1000;
  private static final long REGISTRATION_QUIET_MILLIS = 700;
  private static final long REGISTRATION_MAX_WAIT_MILLIS = 2500;
  private static final long TAKE_OVER_PAUSE_MILLIS = 700;

  /**
   * This registry's position among the voters, which alone may assign.
   *
   * @param voterIndex its index among the voters, starting at 0; -1 if it is not a voter
   * @param voterCount the number of voters
   * @param confirmedAt when it sent the last read of the registers that a majority answered
   */
  public record Position(int voterIndex, int voterCount, long confirmedAt) {}

  /**
   * Tracks the registrations of a new service's first upstreams, which arrive one after another.
   */
  private static final class RegistrationWindow {
    private final long startedAt;
    private long changedAt;
    private long memberCount;

    RegistrationWindow(final long startedAt) {
      this.startedAt = startedAt;
      this.changedAt = startedAt;
    }
  }

  private final String ownAddress;
  private final long incarnation;
  private final GrantTimings timings;
  private final Consumer<AssignerHeartbeat> heartbeatSender;
  private final Function<String, Assigner> assignerFactory;
  private final Map<String, Assigner> assigners = new TreeMap<>();
  private final Map<String, Long> lastHeartbeatAt = new HashMap<>();
  private final Set<String> departed = new HashSet<>();
  private final Map<String, RegistrationWindow> registrationWindows = new HashMap<>();
  private final Map<String, Long> unassignedSince = new HashMap<>();
  private long heartbeatSentAt = Long.MIN_VALUE / 2;
  private long takeOverNotBefore;
  private boolean leaving;

  /**
   * Creates the coordinator of one incarnation of a registry; heartbeats go to all other
   * registries.
   */
  public OwnershipCoordinator(
      final String ownAddress,
      final long incarnation,
      final GrantTimings timings,
      final Assigner.Environment environment,
      final Consumer<AssignerHeartbeat> heartbeatSender) {
    this(
        ownAddress,
        incarnation,
        timings,
        heartbeatSender,
        service -> new Assigner(service, ownAddress, incarnation, timings, environment));
  }

  /** Creates a coordinator with other assigners, for tests. */
  OwnershipCoordinator(
      final String ownAddress,
      final long incarnation,
      final GrantTimings timings,
      final Consumer<AssignerHeartbeat> heartbeatSender,
      final Function<String, Assigner> assignerFactory) {
    this.ownAddress = ownAddress;
    this.incarnation = incarnation;
    this.timings = timings;
    this.heartbeatSender = heartbeatSender;
    this.assignerFactory = assignerFactory;
  }

  private Assigner assigner(final String service) {
    return assigners.computeIfAbsent(service, assignerFactory);
  }

  /**
   * Applies the assignments read from the registers; returns those that were newer than the known
   * ones.
   */
  public List<Assignment> applyAssignments(final List<Assignment> received, final long now) {
    final List<Assignment> updates = new ArrayList<>();
    for (final Assignment assignment : received) {
      if (assigner(assignment.service).applyAssignment(assignment, now)) {
        updates.add(assignment);
        unassignedSince.remove(assignment.service);
      }
    }
    return updates;
  }

  /** Returns all known assignments. */
  public List<Assignment> assignments() {
    final List<Assignment> all = new ArrayList<>();
    for (final Assigner assigner : assigners.values()) {
      if (assigner.assignment() != null) {
        all.add(assigner.assignment());
      }
    }
    return all;
  }

  /** Returns the sum of all serials, which changes with every change of any assignment. */
  public long combinedVersion() {
    return assignments().stream().mapToLong(assignment -> assignment.serial).sum();
  }

  /**
   * Takes another registry's heartbeat; one that says that it is leaving makes its services free to
   * take over.
   */
  public void receiveHeartbeat(
      final String from, final AssignerHeartbeat heartbeat, final long now) {
    final String key = incarnationKey(from, heartbeat.incarnation);
    lastHeartbeatAt.put(key, now);
    if (heartbeat.leaving) {
      departed.add(key);
    }
  }

  private static String incarnationKey(final String address, final long incarnation) {
    return address + "#" + incarnation;
  }

  /** Returns the registry that assigns a service; null if there is none. */
  public String assignerOf(final String service) {
    final Assigner assigner = assigners.get(service);
    return assigner == null || assigner.assignment() == null
        ? null
        : assigner.assignment().assigner;
  }

  /**
   * Takes the load that proxies report for the slots of a service; ignored unless it is assigned
   * here.
   */
  public void report(final SlotReport report, final long now) {
    final Assigner assigner = assigners.get(report.service);
    if (assigner != null && assigner.isActive()) {
      assigner.report(report, now);
    }
  }

  /** Stops assigning since this process shuts down, and tells the other registries so. */
  public void resign() {
    leaving = true;
    heartbeatSender.accept(new AssignerHeartbeat(incarnation, true));
  }

  /**
   * Renews grants and rebalances the services assigned here, takes over vacant ones and sends
   * heartbeats; called periodically.
   *
   * @param services the partitioned services of the configuration
   * @param members returns a service's upstreams
   */
  public void tick(
      final List<String> services,
      final Function<String, List<Member>> members,
      final Position position,
      final long now) {
    if (leaving) {
      return;
    }
    boolean active = false;
    for (final String service : services) {
      final Assigner assigner = assigner(service);
      if (assigner.isActive()) {
        active = true;
        assigner.tick(members.apply(service), position.confirmedAt(), now);
      } else {
        takeOverIfVacant(assigner, service, members, position, now);
      }
    }
    if (active && now - heartbeatSentAt >= HEARTBEAT_MILLIS) {
      heartbeatSentAt = now;
      heartbeatSender.accept(new AssignerHeartbeat(incarnation, false));
    }
  }

  /**
   * Takes a service over if it has had no live assigner for long enough. Voters wait for different
   * times so that they do not compete; the voter that waits shortest differs by service.
   */
  private void takeOverIfVacant(
      final Assigner assigner,
      final String service,
      final Function<String, List<Member>> members,
      final Position position,
      final long now) {
    final boolean hasLease = now - position.confirmedAt() < timings.leaseMillis();
    if (position.voterIndex() < 0 || !hasLease || now < takeOverNotBefore) {
      return;
    }
    final long since = unassignedSince.computeIfAbsent(service, name -> now);
    final long staggerMillis = takeOverRank(service, position) * TAKE_OVER_STAGGER_MILLIS;
    final Assignment assignment = assigner.assignment();
    if (now < vacantFrom(assignment, since) + staggerMillis) {
      return;
    }
    final List<Member> list = members.apply(service);
    if (assignment == null && !registrationsSettled(service, list, now)) {
      return;
    }
    takeOverNotBefore = now + TAKE_OVER_PAUSE_MILLIS;
    assigner.takeOver(list, now);
  }

  /**
   * Returns since when a service counts as without an assigner, as far as is known here: since that
   * was first noticed, or from the failure timeout after the assigner's last heartbeat.
   */
  private long vacantFrom(final Assignment assignment, final long since) {
    if (assignment == null || assignment.assigner.equals(ownAddress)) {
      return since;
    }
    final String key = incarnationKey(assignment.assigner, assignment.incarnation);
    if (departed.contains(key)) {
      return since;
    }
    return lastHeartbeatAt.getOrDefault(key, since) + FAILURE_TIMEOUT_MILLIS;
  }

  /**
   * Whether upstreams have had enough time to register before the initial assignment: until no more
   * arrive, but no longer than most of them need between two heartbeats.
   */
  private boolean registrationsSettled(
      final String service, final List<Member> members, final long now) {
    final long count = members.stream().filter(Member::eligible).count();
    if (count == 0) {
      registrationWindows.remove(service);
      return false;
    }
    final RegistrationWindow window =
        registrationWindows.computeIfAbsent(service, name -> new RegistrationWindow(now));
    if (count != window.memberCount) {
      window.memberCount = count;
      window.changedAt = now;
    }
    return now - window.startedAt >= REGISTRATION_MAX_WAIT_MILLIS
        || now - window.startedAt >= REGISTRATION_MIN_WAIT_MILLIS
            && now - window.changedAt >= REGISTRATION_QUIET_MILLIS;
  }

  /**
   * Returns this voter's rank in taking over a service; the order starts at a different voter per
   * service, so that services are spread.
   */
  private static int takeOverRank(final String service, final Position position) {
    return Math.floorMod(
        position.voterIndex() - service.hashCode(), Math.max(1, position.voterCount()));
  }

  /** Returns the metrics of the services that this registry assigns. */
  public List<Metric> metrics(final long now) {
    final List<Metric> metrics = new ArrayList<>();
    for (final Map.Entry<String, Assigner> entry : assigners.entrySet()) {
      final Assigner assigner = entry.getValue();
      if (!assigner.isActive()) {
        continue;
      }
      final String service = entry.getKey();
      for (final Metric metric : assigner.counts().metrics()) {
        metrics.add(metric.withLabel("service", service));
      }
      metrics.add(
          Metric.gauge(
                  "weldpoint_key_ranges",
                  "Ranges of keys assigned.",
                  assigner.assignment().ranges().size())
              .withLabel("service", service));
      metrics.add(
          Metric.gauge(
                  "weldpoint_keys_without_holder",
                  "Keys that no upstream lately acknowledged to hold.",
                  assigner.keysWithoutHolder(now))
              .withLabel("service", service));
    }
    return metrics;
  }

  /** Returns the counters of the services assigned here as one log line. */
  public String counters() {
    final StringBuilder line = new StringBuilder();
    for (final Map.Entry<String, Assigner> entry : assigners.entrySet()) {
      if (entry.getValue().isActive()) {
        line.append(" keys of ").append(entry.getKey()).append(": ranges ");
        line.append(entry.getValue().assignment().ranges().size()).append(' ');
        line.append(entry.getValue().counts().summary());
      }
    }
    return line.toString();
  }
}
