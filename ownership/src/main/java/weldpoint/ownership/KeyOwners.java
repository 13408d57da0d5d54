package weldpoint.ownership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import weldpoint.transport.OwnershipMessages.Assignment;
import weldpoint.transport.OwnershipMessages.KeyRange;
import weldpoint.transport.OwnershipMessages.SlotReport;

/**
 * A proxy's part: who holds which key of the divided services, as registries told it last, and what
 * was sent to the holders since the last report. All of it lives on one thread.
 */
public final class KeyOwners {
  private static final class Tally {
    int requests;
    int busyMillis;
  }

  private final Map<String, RangeTable> tables = new HashMap<>();
  private final Map<String, Map<Integer, Tally>> tallies = new HashMap<>();
  private long waited;
  private long turnedAway;

  /** Takes news; an assignment never goes back to an older one. */
  public void take(final List<Assignment> news) {
    for (final Assignment assignment : news) {
      final RangeTable before = tables.get(assignment.service);
      if (before == null || assignment.serial > before.serial()) {
        tables.put(assignment.service, new RangeTable(assignment));
      }
    }
  }

  /** The range of a key; null where nobody is known to hold it. */
  public KeyRange range(final String service, final int key) {
    final RangeTable table = tables.get(service);
    return table == null ? null : table.range(key);
  }

  /** A holder answered a request. */
  public void answered(final String service, final int key, final long tookMillis) {
    final Tally tally =
        tallies
            .computeIfAbsent(service, name -> new TreeMap<>())
            .computeIfAbsent(KeySpace.slot(key), slot -> new Tally());
    tally.requests++;
    tally.busyMillis += (int) Math.max(1, Math.min(Integer.MAX_VALUE / 2, tookMillis));
  }

  /** A request waited for its key's holder. */
  public void waited() {
    waited++;
  }

  /** An upstream turned a request away, since it did not hold the key. */
  public void turnedAway() {
    turnedAway++;
  }

  /** How many requests waited for their key's holder. */
  public long waitedCount() {
    return waited;
  }

  /** How many requests upstreams turned away. */
  public long turnedAwayCount() {
    return turnedAway;
  }

  /** What was counted since the last time. */
  public List<SlotReport> reports() {
    final List<SlotReport> reports = new ArrayList<>();
    tallies.forEach((service, slots) -> reports.add(report(service, slots)));
    tallies.clear();
    return reports;
  }

  private static SlotReport report(final String service, final Map<Integer, Tally> tallies) {
    final List<Integer> slots = new ArrayList<>();
    final List<Integer> requests = new ArrayList<>();
    final List<Integer> busyMillis = new ArrayList<>();
    tallies.forEach(
        (slot, tally) -> {
          slots.add(slot);
          requests.add(tally.requests);
          busyMillis.add(tally.busyMillis);
        });
    return new SlotReport(service, slots, requests, busyMillis);
  }
}
