package weldpoint.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import weldpoint.transport.OwnershipMessages.SlotReport;

/** Adds proxies' reports up, so that a registry passes one report of a service on, not many. */
public final class SlotReports {
  private final Map<String, Map<Integer, int[]>> sums = new TreeMap<>();

  /** Takes a proxy's report. */
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

  /** The sums since the last time. */
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
