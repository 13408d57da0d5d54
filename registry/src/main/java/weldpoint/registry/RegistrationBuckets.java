package weldpoint.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import weldpoint.transport.Compression;
import weldpoint.transport.RegistryMessages.Registration;
import weldpoint.transport.Serializer;

/**
 * Registrations by buckets of their names, so that two sides find what differs without telling all;
 * and their packed form.
 */
public final class RegistrationBuckets {
  /** How many there are. */
  public static final int COUNT = 32;

  /** How registrations travel packed. */
  static final class PackedRegistrations {
    final List<Registration> registrations;

    PackedRegistrations(final List<Registration> registrations) {
      this.registrations = registrations;
    }
  }

  private RegistrationBuckets() {}

  /** The bucket of the registration of this id. */
  static int bucketOf(final String id) {
    return Math.floorMod(id.hashCode() * 0x9e3779b1, COUNT);
  }

  /** The digest of each bucket, of all registrations or only of those that have not ended. */
  public static List<Long> digests(
      final Collection<Registration> registrations, final boolean includeRemoved) {
    final long[] sums = new long[COUNT];
    for (final Registration registration : registrations) {
      if (includeRemoved || LifecycleStage.of(registration) != LifecycleStage.REMOVED) {
        sums[bucketOf(registration.id)] += LifecycleStage.digest(registration);
      }
    }
    final List<Long> digests = new ArrayList<>(COUNT);
    for (final long sum : sums) {
      digests.add(sum);
    }
    return digests;
  }

  /** Whether there is nothing in any bucket. */
  static boolean allEmpty(final List<Long> digests) {
    for (final long digest : digests) {
      if (digest != 0) {
        return false;
      }
    }
    return true;
  }

  /** The registrations in buckets where the two differ; all where the other side gave none. */
  static List<Registration> differing(
      final Collection<Registration> registrations,
      final List<Long> local,
      final List<Long> remote) {
    final List<Registration> list = new ArrayList<>();
    for (final Registration registration : registrations) {
      final int bucket = bucketOf(registration.id);
      if (remote.size() != COUNT || !local.get(bucket).equals(remote.get(bucket))) {
        list.add(registration);
      }
    }
    return list;
  }

  /** Registrations as few bytes. */
  static byte[] pack(final List<Registration> registrations) {
    return Compression.deflate(Serializer.serialize(new PackedRegistrations(registrations)));
  }

  /** What was packed; empty for null. */
  public static List<Registration> unpack(final byte[] packed) {
    if (packed == null) {
      return List.of();
    }
    final List<Registration> list =
        Serializer.deserialize(Compression.inflate(packed), PackedRegistrations.class)
            .registrations;
    return list == null ? List.of() : list;
  }

  /** Names in the order in which ages travel. */
  static <T> TreeMap<String, T> sortedById(final Map<String, T> byId) {
    return new TreeMap<>(byId);
  }
}
