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
  private static final int MOST = 20_000;

  private final LinkedHashMap<String, Long> uncertain = new LinkedHashMap<>();
  private final Map<String, Integer> underWay = new HashMap<>();
  private Set<String> elsewhere = Set.of();
  private final List<String> fresh = new ArrayList<>();

  /**
   * Takes a write that is about to be sent; false where it is under way or may have run, here or
   * elsewhere.
   */
  public boolean begin(final String id) {
    if (id == null) {
      return true;
    }
    if (uncertain.containsKey(id) || elsewhere.contains(id) || underWay.containsKey(id)) {
      return false;
    }
    underWay.put(id, 1);
    return true;
  }

  /** The upstream did not run it: it may be sent again. */
  public void notRun(final String id) {
    underWay.remove(id);
  }

  /** It has run, or may have. */
  public void ran(final String id, final boolean known, final long now) {
    if (id == null) {
      return;
    }
    underWay.remove(id);
    uncertain.put(id, now);
    if (!known) {
      fresh.add(id);
    }
    if (uncertain.size() > MOST) {
      uncertain.remove(uncertain.keySet().iterator().next());
    }
  }

  /** Takes the ids that the region's switchboards are unsure of. */
  public void elsewhere(final List<String> ids) {
    elsewhere = ids.isEmpty() ? Set.of() : new HashSet<>(ids);
  }

  /** The ids of unknown fate within so many milliseconds, for the chief. */
  public List<String> unsure(final long now, final long millis) {
    fresh.removeIf(id -> now - uncertain.getOrDefault(id, Long.MIN_VALUE / 2) > millis);
    return new ArrayList<>(fresh);
  }
}
