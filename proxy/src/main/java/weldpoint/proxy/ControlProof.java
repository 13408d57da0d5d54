package weldpoint.proxy;

import java.util.List;
import weldpoint.metrics.Figure;

/**
 * Up to when this proxy provably had all that was acknowledged: configurations, evacuations,
 * draining and ended upstreams. Times are of the steady clock, in milliseconds.
 */
final class ControlProof {
  private static final long[] BOUNDS_MILLIS = {500, 1000, 1500, 2000, 2500, 3000, 5000};

  private final long[] renewals = new long[BOUNDS_MILLIS.length + 1];
  private long provedAt;

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
  }

  /** How old the newest proof is; 0 where there was none yet. */
  long ageMillis(final long now) {
    return provedAt == 0 ? 0 : now - provedAt;
  }

  /** The age of the proof, and how old it was when the next one came. */
  List<Figure> figures(final long now) {
    final List<Figure> figures = new java.util.ArrayList<>();
    figures.add(
        Figure.gauge(
            "weldpoint_control_proof_age_seconds",
            "Time since this proxy provably had all that was acknowledged.",
            ageMillis(now) / 1000.0));
    for (int bound = 0; bound <= BOUNDS_MILLIS.length; bound++) {
      figures.add(
          Figure.counter(
                  "weldpoint_control_proof_renewals",
                  "Proofs, by how old the one before had become, in milliseconds at most.",
                  renewals[bound])
              .with(
                  "most",
                  bound == BOUNDS_MILLIS.length ? "inf" : Long.toString(BOUNDS_MILLIS[bound])));
    }
    return figures;
  }
}
