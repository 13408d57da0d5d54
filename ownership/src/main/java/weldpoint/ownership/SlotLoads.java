package weldpoint.ownership;

import java.util.List;
import weldpoint.transport.OwnershipMessages.SlotReport;

/**
 * How many requests of each slot are under way at once, on average over the last seconds, as
 * proxies report them. By Little's law that is the time that all requests of a second took
 * together.
 */
public final class SlotLoads {
  private static final double HALF_LIFE_MILLIS = 1500;
  private static final double LEAST = 0.001;

  private final double[] busy = new double[KeySpace.SLOTS];
  private long decayedAt = Long.MIN_VALUE;

  /** Takes what proxies sent. */
  public void add(final SlotReport report, final long now) {
    decay(now);
    final double perReportedMilli = Math.log(2) / HALF_LIFE_MILLIS;
    for (int index = 0; index < size(report); index++) {
      final int slot = report.slots.get(index);
      if (slot >= 0 && slot < KeySpace.SLOTS) {
        busy[slot] += report.busyMillis.get(index) * perReportedMilli;
      }
    }
  }

  private static int size(final SlotReport report) {
    if (report.slots == null || report.busyMillis == null) {
      return 0;
    }
    return Math.min(report.slots.size(), report.busyMillis.size());
  }

  /** Lets what was reported earlier count for less. */
  public void decay(final long now) {
    if (decayedAt == Long.MIN_VALUE) {
      decayedAt = now;
    }
    final long passed = now - decayedAt;
    if (passed <= 0) {
      return;
    }
    final double factor = Math.pow(0.5, passed / HALF_LIFE_MILLIS);
    for (int slot = 0; slot < busy.length; slot++) {
      busy[slot] *= factor;
    }
    decayedAt = now;
  }

  /** The load of a slot; never quite 0, so that idle keys are divided by their number. */
  public double of(final int slot) {
    return busy[slot] + LEAST;
  }

  /** The load of neighbouring slots, both ends inside. */
  public double of(final int firstSlot, final int lastSlot) {
    double sum = 0;
    for (int slot = firstSlot; slot <= lastSlot; slot++) {
      sum += of(slot);
    }
    return sum;
  }

  /** The load of all slots. */
  public double total() {
    return of(0, KeySpace.SLOTS - 1);
  }

  /** Takes the loads of a list of reports at once. */
  public void addAll(final List<SlotReport> reports, final long now) {
    reports.forEach(report -> add(report, now));
  }
}
