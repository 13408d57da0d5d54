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
 * The history of upstreams as this exchange has it: registrations, when each upstream beat last,
 * and who is suspect.
 */
final class Registrations {
  private static final int MOST_REMOVED = 2000;
  private static final long SUSPECT_BEATS = 4;
  static final long LAPSE_BEATS = 20;
  private static final long CONTEST_BEATS = 2;
  private static final int OLD = 255;

  private final long beatMillis;
  private final Map<String, Registration> history = new LinkedHashMap<>();
  private final Map<String, Long> beatAt = new HashMap<>();
  private final Set<String> suspects = new HashSet<>();
  private final Set<String> contested = new HashSet<>();
  private long superseded;
  private long digest;
  private final long[] bucketsOfAll = new long[RegistrationBuckets.COUNT];
  private final long[] bucketsOfLive = new long[RegistrationBuckets.COUNT];
  private long revision;

  Registrations(final long beatMillis) {
    this.beatMillis = beatMillis;
  }

  Map<String, Registration> all() {
    return history;
  }

  Registration get(final String id) {
    return history.get(id);
  }

  int size() {
    return history.size();
  }

  /** A sum over all registrations: two histories with the same one are alike. */
  long digest() {
    return digest;
  }

  /** The digest of each bucket, of all registrations or only of those that have not ended. */
  List<Long> buckets(final boolean ended) {
    return Arrays.stream(ended ? bucketsOfAll : bucketsOfLive).boxed().toList();
  }

  /** Adds a registration to the digests, or with the factor -1 takes it out. */
  private void count(final Registration registration, final long factor) {
    final long counted = factor * LifecycleStage.digest(registration);
    final int bucket = RegistrationBuckets.of(registration.id);
    digest += counted;
    bucketsOfAll[bucket] += counted;
    if (LifecycleStage.of(registration) != LifecycleStage.REMOVED) {
      bucketsOfLive[bucket] += counted;
    }
  }

  /** Rises with each change that matters to those who send requests. */
  long revision() {
    return revision;
  }

  Set<String> suspects() {
    return suspects;
  }

  /**
   * Takes a registration if it is later than the one held; true where the change matters to those
   * who send requests.
   */
  boolean put(final Registration registration) {
    final Registration before = history.get(registration.id);
    if (before != null && LifecycleStage.later(before, registration) == before) {
      return false;
    }
    history.put(registration.id, registration);
    count(registration, 1);
    if (before != null) {
      count(before, -1);
    }
    final boolean matters =
        before == null
            || before.stage != registration.stage
            || warms(before, registration)
            || !before.address.equals(registration.address);
    revision += matters ? 1 : 0;
    return matters;
  }

  private static boolean warms(final Registration before, final Registration after) {
    return after.warmupMillis > 0 && after.warmupMillis > before.warmupMillis
        || after.warmupMillis == 0 && before.warmupMillis > 0;
  }

  /** The same upstream at another stage. */
  static Registration step(final Registration from, final LifecycleStage stage, final long issued) {
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

  /** Takes what another exchange has; those that matter and were news. */
  List<Registration> merge(final List<Registration> registrations, final long now) {
    final List<Registration> news = new ArrayList<>();
    for (final Registration registration : registrations) {
      final boolean unknown = !history.containsKey(registration.id);
      if (put(registration)) {
        news.add(registration);
      }
      if (unknown) {
        beatAt.put(registration.id, now);
        if (LifecycleStage.of(registration) == LifecycleStage.JOINED) {
          news.addAll(supersede(registration, now));
        }
      }
    }
    return news;
  }

  /**
   * Writes off the other lives at the address of a newcomer; those that changed. The wire does not
   * tell which of two lives is the later one, and a first beat may come seconds late: so a life
   * that has not said that it leaves is written off only until its next beat, however many
   * newcomers there are before that. One that was written off and has long been silent is ended.
   */
  List<Registration> supersede(final Registration newcomer, final long now) {
    final List<Registration> changes = new ArrayList<>();
    for (final Registration other : new ArrayList<>(history.values())) {
      if (other.id.equals(newcomer.id) || !other.address.equals(newcomer.address)) {
        continue;
      }
      if (LifecycleStage.of(other) == LifecycleStage.JOINED) {
        contested.add(other.address);
        writeOff(other, LifecycleStage.LAPSED, newcomer.issuedAt, changes);
      } else if (LifecycleStage.of(other) == LifecycleStage.DRAINING
          || LifecycleStage.of(other) == LifecycleStage.LAPSED && longSilent(other, now)) {
        writeOff(other, LifecycleStage.REMOVED, newcomer.issuedAt, changes);
      }
    }
    return changes;
  }

  /**
   * Writes off those at the address of an upstream that beats which have themselves been silent for
   * some beats; those that changed. Only one process can be bound to an address, so of two lives
   * that claim it the one that goes on beating is there.
   */
  List<Registration> settleAddress(final Registration beating, final long now) {
    if (!contested.contains(beating.address)) {
      return List.of();
    }
    final List<Registration> changes = new ArrayList<>();
    for (final Registration other : new ArrayList<>(history.values())) {
      if (!other.id.equals(beating.id)
          && other.address.equals(beating.address)
          && LifecycleStage.of(other) == LifecycleStage.JOINED
          && now - beatAt.getOrDefault(other.id, now) > CONTEST_BEATS * beatMillis) {
        writeOff(other, LifecycleStage.LAPSED, other.issuedAt, changes);
      }
    }
    return changes;
  }

  private boolean longSilent(final Registration one, final long now) {
    return now - beatAt.getOrDefault(one.id, now) > LAPSE_BEATS * beatMillis;
  }

  private void writeOff(
      final Registration one,
      final LifecycleStage stage,
      final long issued,
      final List<Registration> changes) {
    final Registration ended = step(one, stage, issued);
    put(ended);
    changes.add(ended);
    superseded++;
  }

  /** How many lives were written off since another one beat from their address. */
  long superseded() {
    return superseded;
  }

  /** Drops one of those that signed off, where there are too many. */
  void forget() {
    int removed = 0;
    for (final Registration registration : history.values()) {
      removed += LifecycleStage.of(registration) == LifecycleStage.REMOVED ? 1 : 0;
    }
    if (removed > MOST_REMOVED) {
      for (final Registration registration : new ArrayList<>(history.values())) {
        if (LifecycleStage.of(registration) == LifecycleStage.REMOVED) {
          history.remove(registration.id);
          count(registration, -1);
          break;
        }
      }
    }
  }

  // ---- beats

  /** All are taken to have beaten now, since this exchange has only just started. */
  void began(final long now) {
    history.keySet().forEach(id -> beatAt.put(id, now));
  }

  /** An upstream beat here; true where it was suspect. */
  boolean beat(final String id, final long now) {
    beatAt.put(id, now);
    return suspects.remove(id);
  }

  /** An upstream beat elsewhere; true where it was suspect. */
  boolean beaten(final String id, final long heardAt, final long now) {
    if (heardAt <= beatAt.getOrDefault(id, Long.MIN_VALUE)) {
      return false;
    }
    beatAt.put(id, heardAt);
    return now - heardAt < SUSPECT_BEATS * beatMillis && suspects.remove(id);
  }

  private long ageUnit() {
    return Math.max(1, SUSPECT_BEATS * beatMillis / (OLD - 1));
  }

  /** How long ago each upstream beat, one byte each, in the order of their names. */
  byte[] beatAges(final long now) {
    final byte[] ages = new byte[history.size()];
    int index = 0;
    for (final String id : RegistrationBuckets.ordered(history).keySet()) {
      ages[index++] =
          (byte) Math.min(OLD, (now - beatAt.getOrDefault(id, Long.MIN_VALUE / 2)) / ageUnit() + 1);
    }
    return ages;
  }

  /** Takes the ages that a peer with the same history tells; true where a suspect was cleared. */
  boolean takeBeatAges(final byte[] ages, final long now) {
    boolean cleared = false;
    if (ages.length == history.size()) {
      int index = 0;
      for (final String id : RegistrationBuckets.ordered(history).keySet()) {
        final int age = ages[index++] & 0xff;
        if (age < OLD) {
          cleared |= beaten(id, now - age * ageUnit(), now);
        }
      }
    }
    return cleared;
  }

  /** Tells of each upstream that beat lately. */
  void recent(final List<String> ids, final List<Long> ages, final long now) {
    for (final Map.Entry<String, Long> entry : beatAt.entrySet()) {
      final long age = now - entry.getValue();
      if (age < SUSPECT_BEATS * beatMillis) {
        ids.add(entry.getKey());
        ages.add(age);
      }
    }
  }

  /**
   * Judges who is suspect; true where that changed. Those silent for so long that they may be
   * written off are added to the list.
   */
  boolean judge(final List<Registration> silentTooLong, final long now) {
    boolean changed = false;
    for (final Registration registration : new ArrayList<>(history.values())) {
      if (LifecycleStage.of(registration) == LifecycleStage.REMOVED
          || LifecycleStage.of(registration) == LifecycleStage.LAPSED) {
        changed |= suspects.remove(registration.id);
        continue;
      }
      final long silent = now - beatAt.getOrDefault(registration.id, now);
      if (silent > SUSPECT_BEATS * beatMillis
          && LifecycleStage.of(registration) == LifecycleStage.JOINED) {
        changed |= suspects.add(registration.id);
      }
      if (silent > LAPSE_BEATS * beatMillis) {
        silentTooLong.add(registration);
      }
    }
    return changed;
  }
}
