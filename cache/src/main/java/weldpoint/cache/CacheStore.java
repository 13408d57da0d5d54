package weldpoint.cache;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Copies, found by key, by place and by label; those used longest ago leave when the bytes run out.
 */
final class CacheStore {
  private final long mostBytes;
  private final LinkedHashMap<String, CachedObject> copies = new LinkedHashMap<>(64, 0.75f, true);
  private final Map<String, Set<String>> places = new HashMap<>();
  private final Map<String, Set<String>> labels = new HashMap<>();
  private long bytes;

  CacheStore(final long mostBytes) {
    this.mostBytes = mostBytes;
  }

  CachedObject get(final String key) {
    return copies.get(key);
  }

  void put(final CachedObject object) {
    remove(object.key);
    if (object.bytes() > mostBytes) {
      return;
    }
    copies.put(object.key, object);
    bytes += object.bytes();
    places.computeIfAbsent(object.place, place -> new HashSet<>()).add(object.key);
    for (final String label : object.labels) {
      labels.computeIfAbsent(label, name -> new HashSet<>()).add(object.key);
    }
    final Iterator<CachedObject> oldest =
        new java.util.ArrayList<>(
                bytes > mostBytes ? copies.values() : java.util.List.<CachedObject>of())
            .iterator();
    while (bytes > mostBytes && oldest.hasNext()) {
      remove(oldest.next().key);
    }
  }

  void remove(final String key) {
    final CachedObject object = copies.remove(key);
    if (object == null) {
      return;
    }
    bytes -= object.bytes();
    forget(places, object.place, key);
    for (final String label : object.labels) {
      forget(labels, label, key);
    }
  }

  private static void forget(
      final Map<String, Set<String>> index, final String name, final String key) {
    final Set<String> keys = index.get(name);
    if (keys != null && keys.remove(key) && keys.isEmpty()) {
      index.remove(name);
    }
  }

  /** Removes what a purge names. */
  void purge(final String place, final String label) {
    final Set<String> keys = place != null ? places.get(place) : labels.get(label);
    if (keys != null) {
      for (final String key : new java.util.ArrayList<>(keys)) {
        remove(key);
      }
    }
  }

  /** Removes all copies of which something holds. */
  void removeIf(final Predicate<CachedObject> condition) {
    for (final CachedObject object : new java.util.ArrayList<>(copies.values())) {
      if (condition.test(object)) {
        remove(object.key);
      }
    }
  }

  void clear() {
    copies.clear();
    places.clear();
    labels.clear();
    bytes = 0;
  }

  int size() {
    return copies.size();
  }

  long bytes() {
    return bytes;
  }
}
