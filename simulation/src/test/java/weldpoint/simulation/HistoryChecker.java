package weldpoint.simulation;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import weldpoint.audit.AuditEntry;
import weldpoint.audit.AuditLog;
import weldpoint.audit.ChangeKind;

/**
 * Checks histories: what was acknowledged is in them once, what was ever seen in one stays, and all
 * replicas agree to the byte.
 */
final class HistoryChecker {
  private final Map<Long, byte[]> seen = new HashMap<>();
  private final Map<Long, Boolean> acknowledged = new LinkedHashMap<>();
  private final Map<String, Integer> evacuations = new HashMap<>();
  private final Map<Long, String> digests = new HashMap<>();
  private final List<String> breaches = new ArrayList<>();

  /** A configuration was offered with this body's digest. */
  void offered(final long version, final String digest) {
    digests.put(version, digest);
  }

  /** A configuration was acknowledged as one that altered something. */
  void acknowledged(final long version) {
    acknowledged.put(version, true);
  }

  /** An evacuation's register was acknowledged at this serial. */
  void evacuated(final String zone, final long serial) {
    evacuations.merge(zone, (int) serial, Math::max);
  }

  /** Looks at a replica while things go on: an entry seen once may never change. */
  void look(final String address, final AuditLog log) {
    String before = log.baseDigest();
    for (long sequence = log.base() + 1; sequence <= log.last(); sequence++) {
      final byte[] bytes = log.read(sequence);
      if (bytes == null) {
        breaches.add(address + " cannot read its entry " + sequence);
        return;
      }
      final byte[] known = seen.putIfAbsent(sequence, bytes);
      if (known != null && !Arrays.equals(known, bytes)) {
        breaches.add("entry " + sequence + " at " + address + " differs from what was seen before");
      }
      final AuditEntry entry = AuditEntry.read(bytes);
      if (entry.sequence != sequence || !entry.previousDigest.equals(before)) {
        breaches.add("entry " + sequence + " at " + address + " is not chained");
      }
      before = AuditEntry.digest(bytes);
    }
  }

  /** Looks at all replicas once everything is calm, with the configuration in force. */
  List<String> finish(
      final Map<String, AuditLog> logs,
      final long versionInForce,
      final String digestInForce,
      final Map<String, Long> serials) {
    long last = -1;
    String digest = null;
    for (final Map.Entry<String, AuditLog> one : logs.entrySet()) {
      look(one.getKey(), one.getValue());
      if (digest != null
          && (last != one.getValue().last() || !digest.equals(one.getValue().digest()))) {
        breaches.add(
            one.getKey() + " ends at entry " + one.getValue().last() + " and another at " + last);
      }
      last = one.getValue().last();
      digest = one.getValue().digest();
      if (one.getValue().conflicts() > 0) {
        breaches.add(one.getKey() + " met " + one.getValue().conflicts() + " differing entries");
      }
    }
    final Set<Long> versions = new HashSet<>();
    final Map<String, Integer> zones = new HashMap<>();
    long newest = 0;
    String newestDigest = "";
    for (long sequence = 1; sequence <= last; sequence++) {
      final byte[] bytes = seen.get(sequence);
      if (bytes == null) {
        breaches.add("entry " + sequence + " was never seen anywhere");
        continue;
      }
      final AuditEntry entry = AuditEntry.read(bytes);
      if (entry.kind() == ChangeKind.CONFIGURATION) {
        if (!versions.add(entry.version)) {
          breaches.add("version " + entry.version + " is in the history twice");
        }
        if (entry.version <= newest) {
          breaches.add("version " + entry.version + " follows " + newest);
        }
        if (!entry.before.equals(newestDigest)) {
          breaches.add("version " + entry.version + " does not follow the configuration before it");
        }
        if (!entry.after.equals(digests.get(entry.version))) {
          breaches.add("version " + entry.version + " has another content than was sent");
        }
        newest = entry.version;
        newestDigest = entry.after;
      } else if (entry.kind() == ChangeKind.EVACUATION_BEGUN
          || entry.kind() == ChangeKind.EVACUATION_FINISHED) {
        final int count = zones.merge(entry.subject, 1, Integer::sum);
        if (count % 2 == 1 != (entry.kind() == ChangeKind.EVACUATION_BEGUN)) {
          breaches.add(
              "evacuations of " + entry.subject + " do not alternate at entry " + sequence);
        }
      }
    }
    for (final long version : acknowledged.keySet()) {
      if (!versions.contains(version)) {
        breaches.add("version " + version + " was acknowledged and is not in the history");
      }
    }
    if (newest != versionInForce || !newestDigest.equals(digestInForce)) {
      breaches.add("version " + versionInForce + " is in force, the history ends with " + newest);
    }
    evacuations.forEach(
        (zone, serial) -> {
          if (zones.getOrDefault(zone, 0) < serial) {
            breaches.add(
                "evacuation "
                    + serial
                    + " of "
                    + zone
                    + " was acknowledged and is not in the history");
          }
        });
    serials.forEach(
        (zone, serial) -> {
          if (zones.getOrDefault(zone, 0).longValue() != serial) {
            breaches.add(
                "zone "
                    + zone
                    + " is at change "
                    + serial
                    + ", the history at "
                    + zones.getOrDefault(zone, 0));
          }
        });
    return breaches;
  }

  /** How many changes were acknowledged. */
  int count() {
    return acknowledged.size() + evacuations.values().stream().mapToInt(Integer::intValue).sum();
  }
}
