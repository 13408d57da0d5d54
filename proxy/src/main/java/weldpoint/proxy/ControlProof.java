package weldpoint.proxy;

import java.util.ArrayList;
import java.util.List;
import weldpoint.metrics.Metric;

/**
 * The time up to which this proxy provably had all acknowledged control state: configurations,
 * evacuations, draining and ended upstreams. A proof is a lease on acting by that state, since
 * later acknowledgements need not be obeyed yet; without a new proof the lease expires and nothing
 * is sent. A proxy without a proof for longer than a connected machine can be without one keeps
 * serving, for its clients' sake, and so does one that knows the registry cluster to be unsettled.
 * Used on the traffic thread. Times are milliseconds of the steady clock.
 */
final class ControlProof {
  /**
   * Time for a request to reach its upstream over a full link, in addition to its share of the
   * bound.
   */
  private static final long TRANSIT_MILLIS = 100;

  /** A request's way to its upstream may take one fifth of the compliance bound. */
  private static final long TRANSIT_DIVISOR = 5;

  private static final long DISCONNECTED_MARGIN_MILLIS = 300;

  private static final long[] RENEWAL_BUCKETS_MILLIS = {500, 1000, 1500, 2000, 2500, 3000, 5000};

  private final long leaseMillis;
  private final long disconnectedMillis;
  private final long contactMillis;
  private final long[] renewals = new long[RENEWAL_BUCKETS_MILLIS.length + 1];
  private final List<Runnable> waitingTasks = new ArrayList<>();
  private long waitCount;
  private long provedAt;
  private long unsettledUntil = Long.MIN_VALUE;

  /**
   * Starts without a proof.
   *
   * @param complianceMillis the time within which acknowledged control state must be obeyed
   * @param contactMillis for how long a machine must have been sound and connected to count as in
   *     contact
   */
  ControlProof(final long complianceMillis, final long contactMillis) {
    this.leaseMillis =
        complianceMillis
            - Math.min(complianceMillis, complianceMillis / TRANSIT_DIVISOR + TRANSIT_MILLIS);
    this.contactMillis = contactMillis;
    this.disconnectedMillis = Math.max(leaseMillis, contactMillis + DISCONNECTED_MARGIN_MILLIS);
  }

  /** Records that all control state acknowledged before {@code newProvedAt} is in force here. */
  void renew(final long newProvedAt, final long now) {
    if (newProvedAt <= provedAt) {
      return;
    }
    if (provedAt > 0) {
      int bucket = 0;
      while (bucket < RENEWAL_BUCKETS_MILLIS.length
          && now - provedAt > RENEWAL_BUCKETS_MILLIS[bucket]) {
        bucket++;
      }
      renewals[bucket]++;
    }
    provedAt = newProvedAt;
    runWaitingTasks(now);
  }

  private void runWaitingTasks(final long now) {
    if (!waitingTasks.isEmpty() && isValid(now)) {
      final List<Runnable> tasks = List.copyOf(waitingTasks);
      waitingTasks.clear();
      tasks.forEach(Runnable::run);
    }
  }

  /**
   * Records that a registry is down, or has had no majority for {@code ageMillis}: no machine is
   * held to the bounds until the registry cluster has been settled for the contact time.
   */
  void coreUnsettled(final long ageMillis, final long now) {
    unsettledUntil = Math.max(unsettledUntil, now - ageMillis + contactMillis);
    runWaitingTasks(now);
  }

  /** Whether requests may be sent on the basis of the control state in force here. */
  boolean isValid(final long now) {
    return now < validUntil(now);
  }

  /**
   * The time until which requests may be sent on the basis of the control state in force here; in
   * the past if they may not.
   */
  long validUntil(final long now) {
    if (provedAt == 0 || now - provedAt >= disconnectedMillis || now < unsettledUntil) {
      return Long.MAX_VALUE;
    }
    return provedAt + leaseMillis;
  }

  /** Runs the task once the proof is valid again. */
  void await(final Runnable task) {
    waitCount++;
    waitingTasks.add(task);
  }

  /** Removes a waiting task; true if it was still waiting. */
  boolean cancel(final Runnable task) {
    return waitingTasks.remove(task);
  }

  /** The age of the newest proof in milliseconds; 0 if there was none yet. */
  long ageMillis(final long now) {
    return provedAt == 0 ? 0 : now - provedAt;
  }

  /** Metrics: the age of the proof, and how old each proof had become when the next one arrived. */
  List<Metric> metrics(final long now) {
    final List<Metric> metrics = new ArrayList<>();
    metrics.add(
        Metric.gauge(
            "weldpoint_control_proof_age_seconds",
            "Time since this proxy provably had all that was acknowledged.",
            ageMillis(now) / 1000.0));
    metrics.add(
        Metric.counter(
            "weldpoint_control_proof_waits",
            "Requests that waited for a proof that nothing acknowledged is missing.",
            waitCount));
    for (int bucket = 0; bucket <= RENEWAL_BUCKETS_MILLIS.length; bucket++) {
      metrics.add(
          Metric.counter(
                  "weldpoint_control_proof_renewals",
                  "Proofs, by how old the one before had become, in milliseconds at most.",
                  renewals[bucket])
              .withLabel(
                  "most",
                  bucket == RENEWAL_BUCKETS_MILLIS.length
                      ? "inf"
                      : Long.toString(RENEWAL_BUCKETS_MILLIS[bucket])));
    }
    return metrics;
  }
}
