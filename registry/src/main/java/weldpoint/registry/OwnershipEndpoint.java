package weldpoint.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import weldpoint.metrics.Metric;
import weldpoint.ownership.Assigner;
import weldpoint.ownership.GrantTimings;
import weldpoint.ownership.Member;
import weldpoint.ownership.OwnershipCoordinator;
import weldpoint.ownership.SlotReports;
import weldpoint.routing.RoutingTable;
import weldpoint.transport.Message;
import weldpoint.transport.OwnershipMessages.AssignerHeartbeat;
import weldpoint.transport.OwnershipMessages.Assignment;
import weldpoint.transport.OwnershipMessages.Assignments;
import weldpoint.transport.OwnershipMessages.KeyRange;
import weldpoint.transport.OwnershipMessages.SlotReport;
import weldpoint.transport.RegistryMessages.Registration;

/**
 * A registry's part in partitioned services, whose keys are divided among their upstreams. It
 * derives the members from the registrations, forwards the reports of proxies to the assigner of
 * the service, and supplies proxies with assignments. Used by {@link RegistryCore} on the control
 * thread.
 */
final class OwnershipEndpoint {
  private static final long REPORT_INTERVAL_MILLIS = 500;
  private static final long TICK_INTERVAL_MILLIS = 60;

  private final OwnershipCoordinator coordinator;
  private final String self;
  private final BiConsumer<String, Message> registrySender;
  private final SlotReports reports = new SlotReports();
  private final Map<String, List<Member>> members = new HashMap<>();
  private List<String> services = List.of();
  private long reportedAt;
  private long tickedAt;
  private long knownVersion = -1;
  private long knownRevision = -1;
  private int knownStateHash;

  OwnershipEndpoint(
      final String self,
      final long incarnation,
      final GrantTimings timings,
      final Assigner.Environment environment,
      final Consumer<Message> broadcast,
      final BiConsumer<String, Message> registrySender) {
    this.self = self;
    this.registrySender = registrySender;
    this.coordinator =
        new OwnershipCoordinator(self, incarnation, timings, environment, broadcast::accept);
  }

  /**
   * Returns the sum of all known serials; state store replicas compare it with theirs to decide
   * whether to send the assignments.
   */
  long serialSum() {
    return coordinator.combinedVersion();
  }

  /** Applies stored assignments; returns the changes to send to proxies, or null. */
  Assignments apply(final List<Assignment> stored, final long now) {
    final List<Assignment> changed = coordinator.applyAssignments(stored, now);
    return changed.isEmpty() ? null : new Assignments(changed);
  }

  /** Returns all assignments, for a proxy that has just connected, or null if there are none. */
  Assignments currentAssignments() {
    final List<Assignment> assignments = coordinator.assignments();
    return assignments.isEmpty() ? null : new Assignments(assignments);
  }

  /** Returns all ranges, for the status call. */
  List<ControlApi.KeyRangeStatus> status() {
    final List<ControlApi.KeyRangeStatus> list = new ArrayList<>();
    for (final Assignment assignment : coordinator.assignments()) {
      for (final KeyRange range : assignment.ranges()) {
        list.add(
            new ControlApi.KeyRangeStatus(
                assignment.service,
                assignment.assigner,
                range.first,
                range.last,
                range.holder,
                range.fence,
                range.state().name().toLowerCase(Locale.ROOT)));
      }
    }
    return list;
  }

  /** Handles the assigner heartbeat of another registry. */
  void assignerHeartbeat(final String from, final AssignerHeartbeat heartbeat, final long now) {
    coordinator.receiveHeartbeat(from, heartbeat, now);
  }

  /** Collects a proxy's report of what it sent to holders. */
  void fromProxy(final SlotReport report) {
    reports.add(report);
  }

  /** Handles a report of proxies that another registry forwarded to this assigner. */
  void fromRegistry(final SlotReport report, final long now) {
    coordinator.report(report, now);
  }

  /** Gives up the role of assigner before the process ends. */
  void leave() {
    coordinator.resign();
  }

  /**
   * Advances the clock: updates the members of partitioned services, forwards reports and drives
   * the assigner. Does nothing until there is a routing table.
   */
  void tick(
      final RoutingTable routingTable,
      final Registrations registrations,
      final Collection<String> evacuated,
      final OwnershipCoordinator.Position position,
      final long now) {
    if (routingTable == null || now - tickedAt < TICK_INTERVAL_MILLIS) {
      return;
    }
    tickedAt = now;
    updateMembers(routingTable, registrations, evacuated);
    if (now - reportedAt >= REPORT_INTERVAL_MILLIS) {
      reportedAt = now;
      reports.drain().forEach(report -> forward(report, now));
    }
    coordinator.tick(services, service -> members.getOrDefault(service, List.of()), position, now);
  }

  private void forward(final SlotReport report, final long now) {
    final String assigner = coordinator.assignerOf(report.service);
    if (self.equals(assigner)) {
      coordinator.report(report, now);
    } else if (assigner != null) {
      registrySender.accept(assigner, report);
    }
  }

  private void updateMembers(
      final RoutingTable routingTable,
      final Registrations registrations,
      final Collection<String> evacuated) {
    final Set<String> suspects = registrations.suspects();
    final int stateHash = 31 * evacuated.hashCode() + suspects.hashCode();
    if (routingTable.version() == knownVersion
        && registrations.revision() == knownRevision
        && stateHash == knownStateHash) {
      return;
    }
    knownVersion = routingTable.version();
    knownRevision = registrations.revision();
    knownStateHash = stateHash;
    services = routingTable.partitionedServices();
    members.clear();
    services.forEach(service -> members.put(service, new ArrayList<>()));
    final Map<String, String> joinedByAddress = new HashMap<>();
    for (final Registration registration : registrations.all().values()) {
      if (LifecycleStage.of(registration) == LifecycleStage.JOINED) {
        joinedByAddress.put(registration.address, registration.id);
      }
    }
    for (final Registration registration : registrations.all().values()) {
      final List<Member> list = members.get(registration.service);
      if (list != null) {
        list.add(
            new Member(
                registration.id,
                registration.address,
                registration.capacity,
                standing(registration, joinedByAddress, evacuated, suspects)));
      }
    }
  }

  private static Member.Standing standing(
      final Registration registration,
      final Map<String, String> joinedByAddress,
      final Collection<String> evacuated,
      final Set<String> suspects) {
    if (LifecycleStage.of(registration) == LifecycleStage.REMOVED
        && joinedByAddress.containsKey(registration.address)) {
      return Member.Standing.TERMINATED;
    }
    if (!LifecycleStage.of(registration).routable() || evacuated.contains(registration.site)) {
      return Member.Standing.LEAVING;
    }
    return suspects.contains(registration.id) || registration.warmupMillis > 0
        ? Member.Standing.NO_NEW_KEYS
        : Member.Standing.ELIGIBLE;
  }

  List<Metric> metrics(final long now) {
    return coordinator.metrics(now);
  }

  String counters() {
    return coordinator.counters();
  }
}
