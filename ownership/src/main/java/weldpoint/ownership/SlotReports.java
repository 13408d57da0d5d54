package weldpoint.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import weldpoint.transport.OwnershipMessages.SlotReport;

/**
 * Sums the slot reports of proxies, so that a registry forwards one report per service instead of
 * many. Not thread-safe.
 */
public final class SlotReports {
  private final Map<String, Map<Integer, int[]>> sums = new TreeMap<>();

  /** Adds a proxy's report; ignores one with missing lists. */
  public void add(final SlotReport report) {
    if (report.slots == null || report.requests == null || report.busyMillis == null) {
      return;
    }
    final Map<Integer, int[]> slots = sums.computeIfAbsent(report.service, name -> new TreeMap<>());
    final int size =
        Math.min(report.slots.size(), Math.min(report.requests.size(), report.busyMillis.size()));
    for (int index = 0; index < size; index++) {
      final int[] sum = slots.computeIfAbsent(report.slots.get(index), slot -> new int[2]);
      sum[0] += report.requests.get(index);
      sum[1] += report.busyMillis.get(index);
    }
  }

  /** Returns the sums since the last call and resets them. */
  public List<SlotReport> drain() {
    final List<SlotReport> reports = new ArrayList<>();
    sums.forEach(
        (service, slots) -> {
          final List<Integer> requests = new ArrayList<>();
          final List<Integer> busyMillis = new ArrayList<>();
          slots.values().forEach(sum -> requests.add(sum[0]));
          slots.values().forEach(sum -> busyMillis.add(sum[1]));
          reports.add(
              new SlotReport(service, new ArrayList<>(slots.keySet()), requests, busyMillis));
        });
    sums.clear();
    return reports;
  }
}
