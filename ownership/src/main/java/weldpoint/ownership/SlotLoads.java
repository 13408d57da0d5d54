package weldpoint.ownership;

import java.util.List;
import weldpoint.transport.OwnershipMessages.SlotReport;

/**
 * The average number of concurrent requests of each slot over the last seconds, as reported by
 * proxies, with exponential decay. By Little's law it equals the total time taken by the requests
 * of one second. Not thread-safe.
 */
public final class SlotLoads {
  private static final double HALF_LIFE_MILLIS = 1500;
  private static final double MIN_LOAD = 0.001;

  private final double[] load = new double[KeySpace.SLOTS];
  private long decayedAt = Long.MIN_VALUE;

  /** Adds a proxy's report. */
  public void add(final SlotReport report, final long now) {
    decay(now);
    final double weightPerMilli = Math.log(2) / HALF_LIFE_MILLIS;
    for (int index = 0; index < size(report); index++) {
      final int slot = report.slots.get(index);
      if (slot >= 0 && slot < KeySpace.SLOTS) {
        load[slot] += report.busyMillis.get(index) * weightPerMilli;
      }
    }
  }

  private static int size(final SlotReport report) {
    if (report.slots == null || report.busyMillis == null) {
      return 0;
    }
    return Math.min(report.slots.size(), report.busyMillis.size());
  }

  /** Decays earlier reports up to now. */
  public void decay(final long now) {
    if (decayedAt == Long.MIN_VALUE) {
      decayedAt = now;
    }
    final long elapsedMillis = now - decayedAt;
    if (elapsedMillis <= 0) {
      return;
    }
    final double factor = Math.pow(0.5, elapsedMillis / HALF_LIFE_MILLIS);
    for (int slot = 0; slot < load.length; slot++) {
      load[slot] *= factor;
    }
    decayedAt = now;
  }

  /** Returns the load of a slot; never exactly 0, so that idle keys are split by their number. */
  public double loadOf(final int slot) {
    return load[slot] + MIN_LOAD;
  }

  /** Returns the load of adjacent slots, both ends inclusive. */
  public double loadOf(final int firstSlot, final int lastSlot) {
    double sum = 0;
    for (int slot = firstSlot; slot <= lastSlot; slot++) {
      sum += loadOf(slot);
    }
    return sum;
  }

  /** Returns the load of all slots. */
  public double total() {
    return loadOf(0, KeySpace.SLOTS - 1);
  }

  /** Adds a list of reports. */
  public void addAll(final List<SlotReport> reports, final long now) {
    reports.forEach(report -> add(report, now));
  }
}
