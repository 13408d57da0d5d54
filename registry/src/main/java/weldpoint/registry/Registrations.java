package weldpoint.registry;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import weldpoint.transport.RegistryMessages.Registration;

/**
 * The upstreams as this registry knows them: their registrations, the time of each one's last
 * heartbeat, and which are suspect.
 */
final class Registrations {
  /** Above this number of removed registrations, one is dropped at a time. */
  private static final int MAX_REMOVED = 2000;

  /** Heartbeat intervals of silence after which an upstream is suspect. */
  private static final long SUSPECT_HEARTBEATS = 4;

  /** Heartbeat intervals of silence after which an upstream may be lapsed or removed. */
  static final long LAPSE_HEARTBEATS = 20;

  /** Heartbeat intervals of silence after which an upstream loses a contested address. */
  private static final long CONTEST_HEARTBEATS = 2;

  /** The largest heartbeat age on the wire: this age or older. */
  private static final int MAX_AGE = 255;

  private final long heartbeatMillis;
  private final Map<String, Registration> byId = new LinkedHashMap<>();
  private final Map<String, Long> heartbeatAt = new HashMap<>();
  private final Set<String> suspects = new HashSet<>();
  private final Set<String> contestedAddresses = new HashSet<>();
  private long supersededCount;
  private long digest;
  private final long[] digestsOfAll = new long[RegistrationBuckets.COUNT];
  private final long[] digestsOfLive = new long[RegistrationBuckets.COUNT];
  private long revision;

  Registrations(final long heartbeatMillis) {
    this.heartbeatMillis = heartbeatMillis;
  }

  Map<String, Registration> all() {
    return byId;
  }

  Registration get(final String id) {
    return byId.get(id);
  }

  int size() {
    return byId.size();
  }

  /**
   * A sum over all registrations: two registries with the same digest have the same registrations.
   */
  long digest() {
    return digest;
  }

  /** The digest of each bucket, of all registrations or only of those that are not removed. */
  List<Long> bucketDigests(final boolean includeRemoved) {
    return Arrays.stream(includeRemoved ? digestsOfAll : digestsOfLive).boxed().toList();
  }

  /** Adds a registration to the digests, or takes it out with the factor -1. */
  private void updateDigests(final Registration registration, final long factor) {
    final long delta = factor * LifecycleStage.digest(registration);
    final int bucket = RegistrationBuckets.bucketOf(registration.id);
    digest += delta;
    digestsOfAll[bucket] += delta;
    if (LifecycleStage.of(registration) != LifecycleStage.REMOVED) {
      digestsOfLive[bucket] += delta;
    }
  }

  /** A counter that rises with each change that is relevant to routing. */
  long revision() {
    return revision;
  }

  Set<String> suspects() {
    return suspects;
  }

  /**
   * Takes a registration if it supersedes the one held; true if the change is relevant to routing.
   */
  boolean put(final Registration registration) {
    final Registration before = byId.get(registration.id);
    if (before != null && LifecycleStage.later(before, registration) == before) {
      return false;
    }
    byId.put(registration.id, registration);
    updateDigests(registration, 1);
    if (before != null) {
      updateDigests(before, -1);
    }
    final boolean relevant =
        before == null
            || before.stage != registration.stage
            || warmupChanged(before, registration)
            || !before.address.equals(registration.address);
    revision += relevant ? 1 : 0;
    return relevant;
  }

  private static boolean warmupChanged(final Registration before, final Registration after) {
    return after.warmupMillis > 0 && after.warmupMillis > before.warmupMillis
        || after.warmupMillis == 0 && before.warmupMillis > 0;
  }

  /** A copy of the registration at another lifecycle stage. */
  static Registration withStage(
      final Registration from, final LifecycleStage stage, final long issued) {
    return new Registration(
        from.id,
        from.service,
        from.address,
        from.site,
        from.software,
        from.capacity,
        stage.ordinal(),
        from.sequence,
        issued,
        from.warmupMillis);
  }

  /**
   * Merges another registry's registrations; returns those that changed something relevant to
   * routing.
   */
  List<Registration> merge(final List<Registration> registrations, final long now) {
    final List<Registration> changed = new ArrayList<>();
    for (final Registration registration : registrations) {
      final boolean unknown = !byId.containsKey(registration.id);
      if (put(registration)) {
        changed.add(registration);
      }
      if (unknown) {
        heartbeatAt.put(registration.id, now);
        if (LifecycleStage.of(registration) == LifecycleStage.JOINED) {
          changed.addAll(supersede(registration, now));
        }
      }
    }
    return changed;
  }

  /**
   * Lapses or removes the other registrations at the address of a newcomer; returns those that
   * changed. The protocol does not say which of two processes is the later one, and a first
   * heartbeat may arrive seconds late. A registration that is not draining is therefore only lapsed
   * until its next heartbeat, however many newcomers come before that. One that is lapsed and has
   * long been silent is removed.
   */
  List<Registration> supersede(final Registration newcomer, final long now) {
    final List<Registration> changes = new ArrayList<>();
    for (final Registration other : new ArrayList<>(byId.values())) {
      if (other.id.equals(newcomer.id) || !other.address.equals(newcomer.address)) {
        continue;
      }
      if (LifecycleStage.of(other) == LifecycleStage.JOINED) {
        contestedAddresses.add(other.address);
        retire(other, LifecycleStage.LAPSED, newcomer.issuedAt, changes);
      } else if (LifecycleStage.of(other) == LifecycleStage.DRAINING
          || LifecycleStage.of(other) == LifecycleStage.LAPSED && silentBeyondLapse(other, now)) {
        retire(other, LifecycleStage.REMOVED, newcomer.issuedAt, changes);
      }
    }
    return changes;
  }

  /**
   * Lapses the other registrations at a heartbeating upstream's address that have missed some
   * heartbeats themselves; returns those that changed. Only one process can be bound to an address,
   * so of two that claim it the one that continues to send heartbeats is there.
   */
  List<Registration> resolveContestedAddress(final Registration current, final long now) {
    if (!contestedAddresses.contains(current.address)) {
      return List.of();
    }
    final List<Registration> changes = new ArrayList<>();
    for (final Registration other : new ArrayList<>(byId.values())) {
      if (!other.id.equals(current.id)
          && other.address.equals(current.address)
          && LifecycleStage.of(other) == LifecycleStage.JOINED
          && now - heartbeatAt.getOrDefault(other.id, now) > CONTEST_HEARTBEATS * heartbeatMillis) {
        retire(other, LifecycleStage.LAPSED, other.issuedAt, changes);
      }
    }
    return changes;
  }

  private boolean silentBeyondLapse(final Registration registration, final long now) {
    return now - heartbeatAt.getOrDefault(registration.id, now)
        > LAPSE_HEARTBEATS * heartbeatMillis;
  }

  private void retire(
      final Registration registration,
      final LifecycleStage stage,
      final long issued,
      final List<Registration> changes) {
    final Registration retired = withStage(registration, stage, issued);
    put(retired);
    changes.add(retired);
    supersededCount++;
  }

  /**
   * How many registrations were lapsed or removed because another upstream sent heartbeats from
   * their address.
   */
  long supersededCount() {
    return supersededCount;
  }

  /** Drops one removed registration if there are too many. */
  void pruneRemoved() {
    int removedCount = 0;
    for (final Registration registration : byId.values()) {
      removedCount += LifecycleStage.of(registration) == LifecycleStage.REMOVED ? 1 : 0;
    }
    if (removedCount > MAX_REMOVED) {
      for (final Registration registration : new ArrayList<>(byId.values())) {
        if (LifecycleStage.of(registration) == LifecycleStage.REMOVED) {
          byId.remove(registration.id);
          updateDigests(registration, -1);
          break;
        }
      }
    }
  }

  // ---- heartbeats

  /** Sets the last heartbeat of all upstreams to now, since this registry has only just started. */
  void resetHeartbeats(final long now) {
    byId.keySet().forEach(id -> heartbeatAt.put(id, now));
  }

  /** Records a heartbeat received here; true if the upstream was suspect. */
  boolean heartbeat(final String id, final long now) {
    heartbeatAt.put(id, now);
    return suspects.remove(id);
  }

  /**
   * Records a heartbeat received by another registry; true if the upstream was suspect and no
   * longer is.
   */
  boolean mergeHeartbeat(final String id, final long heardAt, final long now) {
    if (heardAt <= heartbeatAt.getOrDefault(id, Long.MIN_VALUE)) {
      return false;
    }
    heartbeatAt.put(id, heardAt);
    return now - heardAt < SUSPECT_HEARTBEATS * heartbeatMillis && suspects.remove(id);
  }

  private long ageUnitMillis() {
    return Math.max(1, SUSPECT_HEARTBEATS * heartbeatMillis / (MAX_AGE - 1));
  }

  /** The age of each upstream's last heartbeat, one byte each, in the order of the ids. */
  byte[] heartbeatAges(final long now) {
    final byte[] ages = new byte[byId.size()];
    int index = 0;
    for (final String id : RegistrationBuckets.sortedById(byId).keySet()) {
      ages[index++] =
          (byte)
              Math.min(
                  MAX_AGE,
                  (now - heartbeatAt.getOrDefault(id, Long.MIN_VALUE / 2)) / ageUnitMillis() + 1);
    }
    return ages;
  }

  /**
   * Merges the heartbeat ages of a peer with the same registrations; true if a suspect was cleared.
   */
  boolean mergeHeartbeatAges(final byte[] ages, final long now) {
    boolean cleared = false;
    if (ages.length == byId.size()) {
      int index = 0;
      for (final String id : RegistrationBuckets.sortedById(byId).keySet()) {
        final int age = ages[index++] & 0xff;
        if (age < MAX_AGE) {
          cleared |= mergeHeartbeat(id, now - age * ageUnitMillis(), now);
        }
      }
    }
    return cleared;
  }

  /** Adds the id and heartbeat age of each upstream that sent a heartbeat recently. */
  void recentHeartbeats(final List<String> ids, final List<Long> ages, final long now) {
    for (final Map.Entry<String, Long> entry : heartbeatAt.entrySet()) {
      final long age = now - entry.getValue();
      if (age < SUSPECT_HEARTBEATS * heartbeatMillis) {
        ids.add(entry.getKey());
        ages.add(age);
      }
    }
  }

  /**
   * Updates which upstreams are suspect; true if that changed. Those silent for so long that they
   * may be lapsed or removed are added to the list.
   */
  boolean updateSuspects(final List<Registration> expired, final long now) {
    boolean changed = false;
    for (final Registration registration : new ArrayList<>(byId.values())) {
      if (LifecycleStage.of(registration) == LifecycleStage.REMOVED
          || LifecycleStage.of(registration) == LifecycleStage.LAPSED) {
        changed |= suspects.remove(registration.id);
        continue;
      }
      final long silentMillis = now - heartbeatAt.getOrDefault(registration.id, now);
      if (silentMillis > SUSPECT_HEARTBEATS * heartbeatMillis
          && LifecycleStage.of(registration) == LifecycleStage.JOINED) {
        changed |= suspects.add(registration.id);
      }
      if (silentMillis > LAPSE_HEARTBEATS * heartbeatMillis) {
        expired.add(registration);
      }
    }
    return changed;
  }
}
