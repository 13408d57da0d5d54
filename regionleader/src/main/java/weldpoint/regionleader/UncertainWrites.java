package weldpoint.regionleader;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Keeps the ids of writes that a proxy must not send (again): those in flight here, those that have
 * or may have been executed, and those whose outcome is unknown elsewhere in the region according
 * to the leader. Not thread-safe.
 */
public final class UncertainWrites {
  private static final int MAX_TRACKED_WRITES = 20_000;

  /** By write id, when the write was or may have been executed; oldest first. */
  private final LinkedHashMap<String, Long> maybeExecutedAt = new LinkedHashMap<>();

  private final Map<String, Integer> inFlight = new HashMap<>();
  private Set<String> uncertainElsewhere = Set.of();

  /** Ids of the writes in {@code maybeExecutedAt} whose outcome is unknown. */
  private final List<String> unresolvedIds = new ArrayList<>();

  /**
   * Registers a write that is about to be sent; false if it is in flight, or may have been executed
   * here or elsewhere, and so must not be sent.
   */
  public boolean tryBegin(final String id) {
    if (id == null) {
      return true;
    }
    if (maybeExecutedAt.containsKey(id)
        || uncertainElsewhere.contains(id)
        || inFlight.containsKey(id)) {
      return false;
    }
    inFlight.put(id, 1);
    return true;
  }

  /** Records that the upstream did not execute the write, so it may be sent again. */
  public void recordNotExecuted(final String id) {
    inFlight.remove(id);
  }

  /** Records that the write was executed, or may have been. */
  public void recordExecuted(final String id, final boolean outcomeKnown, final long now) {
    if (id == null) {
      return;
    }
    inFlight.remove(id);
    maybeExecutedAt.put(id, now);
    if (!outcomeKnown) {
      unresolvedIds.add(id);
    }
    if (maybeExecutedAt.size() > MAX_TRACKED_WRITES) {
      maybeExecutedAt.remove(maybeExecutedAt.keySet().iterator().next());
    }
  }

  /** Replaces the ids of the writes whose outcome is unknown elsewhere in the region. */
  public void uncertainElsewhere(final List<String> ids) {
    uncertainElsewhere = ids.isEmpty() ? Set.of() : new HashSet<>(ids);
  }

  /**
   * Returns the ids of writes of the last {@code windowMillis} whose outcome is unknown, to be
   * reported to the leader.
   */
  public List<String> recentlyUncertain(final long now, final long windowMillis) {
    unresolvedIds.removeIf(
        id -> now - maybeExecutedAt.getOrDefault(id, Long.MIN_VALUE / 2) > windowMillis);
    return new ArrayList<>(unresolvedIds);
  }
}
