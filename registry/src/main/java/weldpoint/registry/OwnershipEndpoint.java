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
 * A registry's part in services whose keys are divided among their upstreams: it knows who the
 * members are, passes proxies' reports to the assigner and assignments to proxies.
 */
final class OwnershipEndpoint {
  private static final long REPORT_MILLIS = 500;
  private static final long TICK_MILLIS = 60;

  private final OwnershipCoordinator coordinator;
  private final String self;
  private final BiConsumer<String, Message> registries;
  private final SlotReports reports = new SlotReports();
  private final Map<String, List<Member>> members = new HashMap<>();
  private List<String> services = List.of();
  private long reportedAt;
  private long tickedAt;
  private long knownVersion = -1;
  private long knownRevision = -1;
  private int knownState;

  OwnershipEndpoint(
      final String self,
      final long incarnation,
      final GrantTimings timings,
      final Assigner.Environment environment,
      final Consumer<Message> everyRegistry,
      final BiConsumer<String, Message> registries) {
    this.self = self;
    this.registries = registries;
    this.coordinator =
        new OwnershipCoordinator(self, incarnation, timings, environment, everyRegistry::accept);
  }

  /** The sum of all serials known, by which the state stores tell whether anything is news. */
  long mark() {
    return coordinator.mark();
  }

  /** Takes what the state stores hold; what proxies must be told, or null. */
  Assignments take(final List<Assignment> given, final long now) {
    final List<Assignment> news = coordinator.take(given, now);
    return news.isEmpty() ? null : new Assignments(news);
  }

  /** All that a proxy must know at first, or null. */
  Assignments all() {
    final List<Assignment> all = coordinator.assignments();
    return all.isEmpty() ? null : new Assignments(all);
  }

  /** All ranges, for operators. */
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

  /** Another registry's pulse. */
  void pulse(final String from, final AssignerHeartbeat pulse, final long now) {
    coordinator.pulse(from, pulse, now);
  }

  /** A proxy tells what it sent to holders. */
  void fromProxy(final SlotReport report) {
    reports.add(report);
  }

  /** A registry passes on what its proxies told. */
  void fromRegistry(final SlotReport report, final long now) {
    coordinator.report(report, now);
  }

  /** The process ends. */
  void leave() {
    coordinator.leave();
  }

  /** Time has passed. */
  void tick(
      final RoutingTable routingTable,
      final Registrations registrations,
      final Collection<String> evacuated,
      final OwnershipCoordinator.Position position,
      final long now) {
    if (routingTable == null || now - tickedAt < TICK_MILLIS) {
      return;
    }
    tickedAt = now;
    learn(routingTable, registrations, evacuated);
    if (now - reportedAt >= REPORT_MILLIS) {
      reportedAt = now;
      reports.drain().forEach(report -> passOn(report, now));
    }
    coordinator.tick(services, service -> members.getOrDefault(service, List.of()), position, now);
  }

  private void passOn(final SlotReport report, final long now) {
    final String assigner = coordinator.assignerOf(report.service);
    if (self.equals(assigner)) {
      coordinator.report(report, now);
    } else if (assigner != null) {
      registries.accept(assigner, report);
    }
  }

  private void learn(
      final RoutingTable routingTable,
      final Registrations registrations,
      final Collection<String> evacuated) {
    final Set<String> suspects = registrations.suspects();
    final int state = 31 * evacuated.hashCode() + suspects.hashCode();
    if (routingTable.version() == knownVersion
        && registrations.revision() == knownRevision
        && state == knownState) {
      return;
    }
    knownVersion = routingTable.version();
    knownRevision = registrations.revision();
    knownState = state;
    services = routingTable.partitionedServices();
    members.clear();
    services.forEach(service -> members.put(service, new ArrayList<>()));
    final Map<String, String> lives = new HashMap<>();
    for (final Registration one : registrations.all().values()) {
      if (LifecycleStage.of(one) == LifecycleStage.JOINED) {
        lives.put(one.address, one.id);
      }
    }
    for (final Registration one : registrations.all().values()) {
      final List<Member> list = members.get(one.service);
      if (list != null) {
        list.add(
            new Member(
                one.id, one.address, one.capacity, standing(one, lives, evacuated, suspects)));
      }
    }
  }

  private static Member.Standing standing(
      final Registration one,
      final Map<String, String> lives,
      final Collection<String> evacuated,
      final Set<String> suspects) {
    if (LifecycleStage.of(one) == LifecycleStage.REMOVED && lives.containsKey(one.address)) {
      return Member.Standing.ENDED;
    }
    if (!LifecycleStage.of(one).open() || evacuated.contains(one.site)) {
      return Member.Standing.LEAVES;
    }
    return suspects.contains(one.id) || one.warmupMillis > 0
        ? Member.Standing.KEEPS
        : Member.Standing.ELIGIBLE;
  }

  List<Metric> figures(final long now) {
    return coordinator.figures(now);
  }

  String counters() {
    return coordinator.counters();
  }
}
