package weldpoint.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import weldpoint.affinity.PlacementCoordinator;
import weldpoint.routing.Affinity;
import weldpoint.routing.Route;
import weldpoint.routing.RoutingTable;
import weldpoint.statestore.StoredValues;
import weldpoint.transport.Message;
import weldpoint.transport.PlacementMessages;
import weldpoint.transport.PlacementMessages.PlacementMember;
import weldpoint.transport.Protocol;
import weldpoint.transport.RegistryMessages.Registration;

/**
 * An exchange's part in affinity: it works out who should be placed where, and passes leases
 * between switchboards and the keeper.
 */
final class PlacementService {
  private final Affinity usual;
  private final PlacementCoordinator coordinator;
  private final Map<String, Object> askers = new HashMap<>();
  private boolean tied;
  private long keeperSerial;
  private long wantedRevision = -1;
  private long wantedVersion = -1;
  private int wantedState;

  PlacementService(final Affinity usual, final PlacementCoordinator coordinator) {
    this.usual = usual;
    this.coordinator = coordinator;
  }

  PlacementCoordinator coordinator() {
    return coordinator;
  }

  /** Whether a route ties callers, or settings do. */
  boolean active() {
    return tied || usual != null;
  }

  long marks() {
    return coordinator.placementVersion() + keeperSerial;
  }

  /** Takes what the frames hold; true where switchboards must be told. */
  boolean take(final StoredValues.ControlSnapshot control, final long now) {
    tied = control.tied;
    if (control.keeper != null) {
      keeperSerial = Math.max(keeperSerial, control.keeper.serial);
    }
    return coordinator.update(
        Protocol.list(control.placements),
        control.keeper,
        control.placements == null ? 0 : control.placementMark,
        now);
  }

  /** Remembers over which stream a switchboard asked. */
  void asker(final String board, final Object stream) {
    askers.put(board, stream);
  }

  /** Passes the keeper's answer on. */
  void granted(
      final PlacementMessages.LeaseGrant grant,
      final Predicate<Object> open,
      final BiConsumer<Object, Message> board) {
    final Object stream = askers.remove(grant.board);
    if (stream != null && open.test(stream)) {
      board.accept(stream, grant);
    }
  }

  /** Time has passed. */
  void tick(
      final RoutingTable routingTable,
      final Collection<Registration> history,
      final Collection<String> evacuated,
      final Set<String> suspects,
      final long revision,
      final boolean mayKeep,
      final boolean reachable,
      final boolean confirmed,
      final long now) {
    if (routingTable == null) {
      return;
    }
    final int state = 31 * evacuated.hashCode() + suspects.hashCode();
    if (routingTable.version() != wantedVersion
        || revision != wantedRevision
        || state != wantedState) {
      wantedVersion = routingTable.version();
      wantedRevision = revision;
      wantedState = state;
      want(routingTable, history, evacuated, suspects);
    }
    coordinator.tick(mayKeep, reachable, confirmed, now);
  }

  private void want(
      final RoutingTable routingTable,
      final Collection<Registration> history,
      final Collection<String> evacuated,
      final Set<String> suspects) {
    final Map<String, List<PlacementMember>> wanted = new TreeMap<>();
    long longest = 0;
    for (final Route route : routingTable.all()) {
      if (Affinity.inForce(route, usual) != null) {
        longest = Math.max(longest, route.timeoutMillis);
        for (final int service : route.services()) {
          wanted.computeIfAbsent(
              routingTable.services().get(service).name(), name -> new ArrayList<>());
        }
      }
    }
    for (final Registration one : history) {
      final List<PlacementMember> members = wanted.get(one.service);
      if (members != null
          && LifecycleStage.of(one) == LifecycleStage.JOINED
          && !evacuated.contains(one.site)
          && !suspects.contains(one.id)) {
        members.add(new PlacementMember(one.id, one.capacity, one.site));
      }
    }
    wanted.replaceAll((service, members) -> PlacementCoordinator.sortedById(members));
    coordinator.desiredMembers(wanted, longest);
  }
}
