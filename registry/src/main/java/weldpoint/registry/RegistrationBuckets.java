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
 * Registrations hashed into buckets by id, so that two sides find their differences by comparing
 * one digest per bucket; and the packed form in which registrations are sent. Used by registries
 * and proxies.
 */
public final class RegistrationBuckets {
  /** The number of buckets. */
  public static final int COUNT = 32;

  /** The packed form of registrations on the wire. */
  static final class PackedRegistrations {
    final List<Registration> registrations;

    PackedRegistrations(final List<Registration> registrations) {
      this.registrations = registrations;
    }
  }

  private RegistrationBuckets() {}

  /** The bucket of the registration with this id. */
  static int bucketOf(final String id) {
    return Math.floorMod(id.hashCode() * 0x9e3779b1, COUNT);
  }

  /** The digest of each bucket, of all registrations or only of those that are not removed. */
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

  /** Whether all buckets are empty. */
  static boolean allEmpty(final List<Long> digests) {
    for (final long digest : digests) {
      if (digest != 0) {
        return false;
      }
    }
    return true;
  }

  /**
   * The registrations in buckets whose digests differ; all of them if the other side gave no
   * digests.
   */
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

  /** Serializes and compresses registrations. */
  static byte[] pack(final List<Registration> registrations) {
    return Compression.deflate(Serializer.serialize(new PackedRegistrations(registrations)));
  }

  /** The registrations of a packed form; empty for null. */
  public static List<Registration> unpack(final byte[] packed) {
    if (packed == null) {
      return List.of();
    }
    final List<Registration> list =
        Serializer.deserialize(Compression.inflate(packed), PackedRegistrations.class)
            .registrations;
    return list == null ? List.of() : list;
  }

  /** A copy sorted by id, the order in which ages are sent. */
  static <T> TreeMap<String, T> sortedById(final Map<String, T> byId) {
    return new TreeMap<>(byId);
  }
}
