package weldpoint.cache;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * In-memory store of cached objects, indexed by key, by host and path, and by label (the cache tags
 * in {@code Weldpoint-Labels}). When it exceeds its size in bytes, the least recently used objects
 * are evicted. Used by {@link SharedCache} only, which is confined to one thread.
 */
final class CacheStore {
  private final long maxBytes;
  private final LinkedHashMap<String, CachedObject> objects = new LinkedHashMap<>(64, 0.75f, true);
  private final Map<String, Set<String>> keysByHostAndPath = new HashMap<>();
  private final Map<String, Set<String>> keysByLabel = new HashMap<>();
  private long bytes;

  CacheStore(final long maxBytes) {
    this.maxBytes = maxBytes;
  }

  CachedObject get(final String key) {
    return objects.get(key);
  }

  void put(final CachedObject object) {
    remove(object.key);
    if (object.bytes() > maxBytes) {
      return;
    }
    objects.put(object.key, object);
    bytes += object.bytes();
    keysByHostAndPath
        .computeIfAbsent(object.hostAndPath, hostAndPath -> new HashSet<>())
        .add(object.key);
    for (final String label : object.labels) {
      keysByLabel.computeIfAbsent(label, name -> new HashSet<>()).add(object.key);
    }
    final Iterator<CachedObject> leastRecentlyUsed =
        new java.util.ArrayList<>(
                bytes > maxBytes ? objects.values() : java.util.List.<CachedObject>of())
            .iterator();
    while (bytes > maxBytes && leastRecentlyUsed.hasNext()) {
      remove(leastRecentlyUsed.next().key);
    }
  }

  void remove(final String key) {
    final CachedObject object = objects.remove(key);
    if (object == null) {
      return;
    }
    bytes -= object.bytes();
    removeFromIndex(keysByHostAndPath, object.hostAndPath, key);
    for (final String label : object.labels) {
      removeFromIndex(keysByLabel, label, key);
    }
  }

  private static void removeFromIndex(
      final Map<String, Set<String>> index, final String name, final String key) {
    final Set<String> keys = index.get(name);
    if (keys != null && keys.remove(key) && keys.isEmpty()) {
      index.remove(name);
    }
  }

  /**
   * Removes the objects that a purge names: those with this host and path, or, where that is null,
   * those with this label.
   */
  void purge(final String hostAndPath, final String label) {
    final Set<String> keys =
        hostAndPath != null ? keysByHostAndPath.get(hostAndPath) : keysByLabel.get(label);
    if (keys != null) {
      for (final String key : new java.util.ArrayList<>(keys)) {
        remove(key);
      }
    }
  }

  /** Removes all objects that match the condition. */
  void removeIf(final Predicate<CachedObject> condition) {
    for (final CachedObject object : new java.util.ArrayList<>(objects.values())) {
      if (condition.test(object)) {
        remove(object.key);
      }
    }
  }

  void clear() {
    objects.clear();
    keysByHostAndPath.clear();
    keysByLabel.clear();
    bytes = 0;
  }

  int size() {
    return objects.size();
  }

  long bytes() {
    return bytes;
  }
}
