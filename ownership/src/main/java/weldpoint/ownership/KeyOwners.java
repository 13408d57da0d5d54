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
 * A proxy's view of which upstream holds which key of the partitioned services, as last received
 * from registries, and the load sent to the holders since the last report. Confined to one thread.
 */
public final class KeyOwners {
  private static final class SlotUsage {
    int requests;
    int busyMillis;
  }

  private final Map<String, RangeTable> tables = new HashMap<>();
  private final Map<String, Map<Integer, SlotUsage>> usageByService = new HashMap<>();
  private long waits;
  private long rejections;

  /** Applies assignments; one that is older than the known one of its service is ignored. */
  public void applyAssignments(final List<Assignment> assignments) {
    for (final Assignment assignment : assignments) {
      final RangeTable known = tables.get(assignment.service);
      if (known == null || assignment.serial > known.serial()) {
        tables.put(assignment.service, new RangeTable(assignment));
      }
    }
  }

  /** Returns the range that contains a key; null if no holder is known. */
  public KeyRange range(final String service, final int key) {
    final RangeTable table = tables.get(service);
    return table == null ? null : table.range(key);
  }

  /** Records a holder's response to a request, with its latency in milliseconds. */
  public void recordResponse(final String service, final int key, final long latencyMillis) {
    final SlotUsage usage =
        usageByService
            .computeIfAbsent(service, name -> new TreeMap<>())
            .computeIfAbsent(KeySpace.slot(key), slot -> new SlotUsage());
    usage.requests++;
    usage.busyMillis += (int) Math.max(1, Math.min(Integer.MAX_VALUE / 2, latencyMillis));
  }

  /** Records that a request waited for a holder of its key. */
  public void recordWait() {
    waits++;
  }

  /** Records that an upstream rejected a request because it did not hold the key. */
  public void recordRejection() {
    rejections++;
  }

  /** Returns how many requests waited for a holder of their key. */
  public long waitCount() {
    return waits;
  }

  /** Returns how many requests upstreams rejected because they did not hold the key. */
  public long rejectionCount() {
    return rejections;
  }

  /** Returns the load counted since the last call and resets it. */
  public List<SlotReport> drainReports() {
    final List<SlotReport> reports = new ArrayList<>();
    usageByService.forEach((service, slots) -> reports.add(report(service, slots)));
    usageByService.clear();
    return reports;
  }

  private static SlotReport report(
      final String service, final Map<Integer, SlotUsage> usageBySlot) {
    final List<Integer> slots = new ArrayList<>();
    final List<Integer> requests = new ArrayList<>();
    final List<Integer> busyMillis = new ArrayList<>();
    usageBySlot.forEach(
        (slot, usage) -> {
          slots.add(slot);
          requests.add(usage.requests);
          busyMillis.add(usage.busyMillis);
        });
    return new SlotReport(service, slots, requests, busyMillis);
  }
}
