package weldpoint.regionleader;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The writes that one switchboard has sent on and whose fate it does not know, and those that its
 * chief tells of: none of them is sent again. It also says, by kind, what an order lets in.
 */
public final class UncertainWrites {
  private static final int MAX_TRACKED_WRITES = 20_000;

  private final LinkedHashMap<String, Long> maybeExecutedAt = new LinkedHashMap<>();
  private final Map<String, Integer> inFlight = new HashMap<>();
  private Set<String> uncertainElsewhere = Set.of();
  private final List<String> unresolvedIds = new ArrayList<>();

  /**
   * Takes a write that is about to be sent; false where it is under way or may have run, here or
   * elsewhere.
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

  /** The upstream did not run it: it may be sent again. */
  public void recordNotExecuted(final String id) {
    inFlight.remove(id);
  }

  /** It has run, or may have. */
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

  /** Takes the ids that the region's switchboards are unsure of. */
  public void uncertainElsewhere(final List<String> ids) {
    uncertainElsewhere = ids.isEmpty() ? Set.of() : new HashSet<>(ids);
  }

  /** The ids of unknown fate within so many milliseconds, for the chief. */
  public List<String> recentlyUncertain(final long now, final long windowMillis) {
    unresolvedIds.removeIf(
        id -> now - maybeExecutedAt.getOrDefault(id, Long.MIN_VALUE / 2) > windowMillis);
    return new ArrayList<>(unresolvedIds);
  }
}
