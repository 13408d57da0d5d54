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
 * A registry's part in affinity: it derives the members that placements should have, and passes
 * leases between proxies and the owner of the leases. Used by {@link RegistryCore} on the control
 * thread.
 */
final class PlacementService {
  private final Affinity defaultAffinity;
  private final PlacementCoordinator coordinator;
  private final Map<String, Object> requesters = new HashMap<>();
  private boolean affinityConfigured;
  private long ownerSerial;
  private long knownRevision = -1;
  private long knownVersion = -1;
  private int knownStateHash;

  PlacementService(final Affinity defaultAffinity, final PlacementCoordinator coordinator) {
    this.defaultAffinity = defaultAffinity;
    this.coordinator = coordinator;
  }

  PlacementCoordinator coordinator() {
    return coordinator;
  }

  /** Returns whether affinity is configured, for a route or as the default of the settings. */
  boolean active() {
    return affinityConfigured || defaultAffinity != null;
  }

  long serialSum() {
    return coordinator.placementVersion() + ownerSerial;
  }

  /** Applies a snapshot of the state store; returns true if proxies must be notified. */
  boolean apply(final StoredValues.ControlSnapshot control, final long now) {
    affinityConfigured = control.hasAffinity;
    if (control.placementOwner != null) {
      ownerSerial = Math.max(ownerSerial, control.placementOwner.serial);
    }
    return coordinator.update(
        Protocol.emptyIfNull(control.placements),
        control.placementOwner,
        control.placements == null ? 0 : control.placementSerial,
        now);
  }

  /** Records the stream over which a proxy requested a lease. */
  void addRequester(final String proxy, final Object stream) {
    requesters.put(proxy, stream);
  }

  /** Forwards the owner's response to the proxy that requested it, if its stream is still open. */
  void forwardGrant(
      final PlacementMessages.LeaseGrant grant,
      final Predicate<Object> isOpen,
      final BiConsumer<Object, Message> streamSender) {
    final Object stream = requesters.remove(grant.proxy);
    if (stream != null && isOpen.test(stream)) {
      streamSender.accept(stream, grant);
    }
  }

  /**
   * Advances the clock: recomputes the members of placements if their inputs have changed, and
   * drives the coordinator. Does nothing until there is a routing table.
   */
  void tick(
      final RoutingTable routingTable,
      final Collection<Registration> history,
      final Collection<String> evacuated,
      final Set<String> suspects,
      final long revision,
      final boolean mayOwn,
      final boolean reachable,
      final boolean confirmed,
      final long now) {
    if (routingTable == null) {
      return;
    }
    final int stateHash = 31 * evacuated.hashCode() + suspects.hashCode();
    if (routingTable.version() != knownVersion
        || revision != knownRevision
        || stateHash != knownStateHash) {
      knownVersion = routingTable.version();
      knownRevision = revision;
      knownStateHash = stateHash;
      updateMembers(routingTable, history, evacuated, suspects);
    }
    coordinator.tick(mayOwn, reachable, confirmed, now);
  }

  private void updateMembers(
      final RoutingTable routingTable,
      final Collection<Registration> history,
      final Collection<String> evacuated,
      final Set<String> suspects) {
    final Map<String, List<PlacementMember>> membersByService = new TreeMap<>();
    long longestTimeoutMillis = 0;
    for (final Route route : routingTable.allRoutes()) {
      if (Affinity.effective(route, defaultAffinity) != null) {
        longestTimeoutMillis = Math.max(longestTimeoutMillis, route.timeoutMillis);
        for (final int service : route.serviceIndices()) {
          membersByService.computeIfAbsent(
              routingTable.services().get(service).name(), name -> new ArrayList<>());
        }
      }
    }
    for (final Registration registration : history) {
      final List<PlacementMember> members = membersByService.get(registration.service);
      if (members != null
          && LifecycleStage.of(registration) == LifecycleStage.JOINED
          && !evacuated.contains(registration.site)
          && !suspects.contains(registration.id)) {
        members.add(new PlacementMember(registration.id, registration.capacity, registration.site));
      }
    }
    membersByService.replaceAll((service, members) -> PlacementCoordinator.sortedById(members));
    coordinator.desiredMembers(membersByService, longestTimeoutMillis);
  }
}
