package weldpoint.proxy;

import java.util.ArrayList;
import java.util.List;
import weldpoint.metrics.Metric;

/**
 * Up to when this proxy provably had all that was acknowledged: configurations, evacuations,
 * draining and ended upstreams. A proof is a lease on acting by what it has, since whatever was
 * acknowledged later need not be obeyed yet; without a new proof the lease lapses, and nothing is
 * sent. A proxy that has had none for longer than a machine in touch can be without serves on, for
 * the sake of its clients, and so does one that knows the core to be unsettled. Times are of the
 * steady clock, in milliseconds.
 */
final class ControlProof {
  /** What a request may need to its upstream behind a full link, beside its share of the bound. */
  private static final long WAY_MILLIS = 100;

  /** The part of the bound that the way of a request to its upstream may take. */
  private static final long WAY_PART = 5;

  private static final long OUT_OF_TOUCH_MARGIN_MILLIS = 300;

  private static final long[] BOUNDS_MILLIS = {500, 1000, 1500, 2000, 2500, 3000, 5000};

  private final long leaseMillis;
  private final long outOfTouchMillis;
  private final long contactMillis;
  private final long[] renewals = new long[BOUNDS_MILLIS.length + 1];
  private final List<Runnable> waiting = new ArrayList<>();
  private long waited;
  private long provedAt;
  private long unsettledUntil = Long.MIN_VALUE;

  /**
   * No proof yet.
   *
   * @param obeyMillis within which what was acknowledged must be obeyed
   * @param contactMillis for how long a machine in touch has been sound and connected
   */
  ControlProof(final long obeyMillis, final long contactMillis) {
    this.leaseMillis = obeyMillis - Math.min(obeyMillis, obeyMillis / WAY_PART + WAY_MILLIS);
    this.contactMillis = contactMillis;
    this.outOfTouchMillis = Math.max(leaseMillis, contactMillis + OUT_OF_TOUCH_MARGIN_MILLIS);
  }

  /** All that was acknowledged before this time is in force here. */
  void renew(final long given, final long now) {
    if (given <= provedAt) {
      return;
    }
    if (provedAt > 0) {
      int bound = 0;
      while (bound < BOUNDS_MILLIS.length && now - provedAt > BOUNDS_MILLIS[bound]) {
        bound++;
      }
      renewals[bound]++;
    }
    provedAt = given;
    goOn(now);
  }

  private void goOn(final long now) {
    if (!waiting.isEmpty() && holds(now)) {
      final List<Runnable> due = List.copyOf(waiting);
      waiting.clear();
      due.forEach(Runnable::run);
    }
  }

  /**
   * A registry is down or without a majority, for so long: the core is unsettled, and no machine is
   * held to the bounds until it has been settled for a while.
   */
  void coreUnsettled(final long ageMillis, final long now) {
    unsettledUntil = Math.max(unsettledUntil, now - ageMillis + contactMillis);
    goOn(now);
  }

  /** Whether requests may be sent by what is in force here. */
  boolean holds(final long now) {
    return now < until(now);
  }

  /** Until when requests may be sent by what is in force here; in the past where they may not. */
  long until(final long now) {
    if (provedAt == 0 || now - provedAt >= outOfTouchMillis || now < unsettledUntil) {
      return Long.MAX_VALUE;
    }
    return provedAt + leaseMillis;
  }

  /** Has this run with the next proof. */
  void await(final Runnable task) {
    waited++;
    waiting.add(task);
  }

  /** Does not wait any longer; true where it still did. */
  boolean cancel(final Runnable task) {
    return waiting.remove(task);
  }

  /** How old the newest proof is; 0 where there was none yet. */
  long ageMillis(final long now) {
    return provedAt == 0 ? 0 : now - provedAt;
  }

  /** The age of the proof, and how old it was when the next one came. */
  List<Metric> figures(final long now) {
    final List<Metric> figures = new ArrayList<>();
    figures.add(
        Metric.gauge(
            "weldpoint_control_proof_age_seconds",
            "Time since this proxy provably had all that was acknowledged.",
            ageMillis(now) / 1000.0));
    figures.add(
        Metric.counter(
            "weldpoint_control_proof_waits",
            "Requests that waited for a proof that nothing acknowledged is missing.",
            waited));
    for (int bound = 0; bound <= BOUNDS_MILLIS.length; bound++) {
      figures.add(
          Metric.counter(
                  "weldpoint_control_proof_renewals",
                  "Proofs, by how old the one before had become, in milliseconds at most.",
                  renewals[bound])
              .withLabel(
                  "most",
                  bound == BOUNDS_MILLIS.length ? "inf" : Long.toString(BOUNDS_MILLIS[bound])));
    }
    return figures;
  }
}
