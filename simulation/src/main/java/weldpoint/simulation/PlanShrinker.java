package weldpoint.simulation;

import java.util.function.Function;

/** Makes a day that breaks a promise shorter, as long as it still breaks one of the same kind. */
final class PlanShrinker {
  private static final int MOST_PLAYS = 60;
  private static final long SHORTEST_MILLIS = 100;
  private static final long MARGIN_MILLIS = 100;

  private final Function<SimulationPlan, SimulationRun.Outcome> play;
  private final String kind;
  private SimulationPlan best;
  private SimulationRun.Outcome outcome;
  private int plays;

  private PlanShrinker(
      final SimulationPlan plan,
      final SimulationRun.Outcome outcome,
      final Function<SimulationPlan, SimulationRun.Outcome> play) {
    this.best = plan;
    this.outcome = outcome;
    this.play = play;
    this.kind = kind(outcome.breaches().get(0));
  }

  /** The shortest day that was found, after a bounded number of plays. */
  static SimulationPlan shrink(
      final SimulationPlan plan,
      final SimulationRun.Outcome outcome,
      final Function<SimulationPlan, SimulationRun.Outcome> play) {
    final PlanShrinker shrinker = new PlanShrinker(plan, outcome, play);
    shrinker.shrink();
    return shrinker.best;
  }

  /** A breach without the numbers and names in it. */
  private static String kind(final String breach) {
    return breach.replaceAll("at [0-9]+:", "").replaceAll("\\b[a-z]*[0-9][0-9a-z./-]*", "*");
  }

  private boolean keeps(final SimulationPlan candidate) {
    if (candidate.equals(best) || plays >= MOST_PLAYS) {
      return false;
    }
    plays++;
    final SimulationRun.Outcome played = play.apply(candidate);
    if (played.breaches().stream().noneMatch(breach -> kind(breach).equals(kind))) {
      return false;
    }
    best = candidate;
    outcome = played;
    return true;
  }

  private void shrink() {
    for (boolean shorter = true; shorter && plays < MOST_PLAYS; ) {
      shorter = false;
      for (int index = best.troubles().size() - 1; index >= 0; index--) {
        shorter |= keeps(best.without(index));
      }
      final long until = outcome.firstBreachAt() + MARGIN_MILLIS;
      shorter |= until >= 1000 && until < best.lasts() && keeps(best.lasting(until));
      shorter |= best.lasts() > 2000 && keeps(best.lasting(best.lasts() * 3 / 4));
      for (int index = 0; index < best.troubles().size(); index++) {
        final Fault one = best.troubles().get(index);
        shorter |=
            one.forMillis() / 2 >= SHORTEST_MILLIS
                && keeps(
                    best.with(
                        index,
                        new Fault(one.kind(), one.atMillis(), one.forMillis() / 2, one.seed())));
      }
    }
  }
}
