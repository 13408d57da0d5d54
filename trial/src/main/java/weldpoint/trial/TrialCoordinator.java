package weldpoint.trial;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import weldpoint.common.WeldpointException;
import weldpoint.routing.Route;
import weldpoint.routing.RoutingTable;
import weldpoint.transport.Protocol;
import weldpoint.transport.TrialMessages;
import weldpoint.transport.TrialMessages.Trial;
import weldpoint.transport.TrialMessages.TrialCounts;

/**
 * An exchange's side of trials: it checks orders, gathers what switchboards have counted, and says
 * when a trial has to be held. Everything it knows besides the trials themselves is told again by
 * the switchboards, so nothing of it is kept.
 */
public final class TrialCoordinator {
  private static final long FRESH_MILLIS = 2500;
  private static final int MOST_DIGESTS = 200_000;

  private record ReceivedCounts(TrialCounts tally, long heardAt) {}

  private final Map<String, Trial> trials = new LinkedHashMap<>();
  private final Map<String, Map<String, ReceivedCounts>> told = new HashMap<>();
  private final Map<Long, String> digests = new LinkedHashMap<>();
  private final List<String> doubles = new ArrayList<>();
  private String doubledRoute;

  /** Takes the trials as the frame holds them. */
  public void take(final List<Trial> news) {
    final Map<String, Trial> next = new LinkedHashMap<>();
    for (final Trial trial : news) {
      final Trial before = trials.get(trial.route);
      next.put(trial.route, before != null && before.serial > trial.serial ? before : trial);
      if (before == null || before.number != trial.number) {
        told.remove(trial.route);
        if (trial.route.equals(doubledRoute)) {
          doubles.clear();
        }
      }
    }
    trials.clear();
    trials.putAll(next);
  }

  /** The trials known here. */
  public List<Trial> trials() {
    return new ArrayList<>(trials.values());
  }

  private static WeldpointException refuse(final String text) {
    return new WeldpointException(WeldpointException.Kind.INVALID, text);
  }

  /** Checks an order to begin, against the configuration in force; a trial that may be written. */
  public Trial begin(
      final String route,
      final String oldService,
      final String newService,
      final String token,
      final List<Integer> stages,
      final int leastWrites,
      final double lateAllowance,
      final RoutingTable routingTable) {
    final Trial before = trials.get(route);
    if (before != null && TrialVerdict.of(before) != TrialVerdict.FINISHED) {
      throw new WeldpointException(
          WeldpointException.Kind.CONFLICT,
          "route " + route + " is under trial already; finish that one first");
    }
    final String unfit = unfit(route, oldService, newService, routingTable);
    if (unfit != null) {
      throw refuse(unfit);
    }
    if (token == null || token.length() < 8) {
      throw refuse(
          "the rehearsal's token has under 8 characters; give a longer one that only testers know");
    }
    if (stages == null || stages.isEmpty()) {
      throw refuse("the trial has no stages; give rising shares in per cent, such as 1, 10, 50");
    }
    int last = 0;
    for (final Integer stage : stages) {
      if (stage == null || stage <= last || stage > 100) {
        throw refuse(
            "the shares "
                + stages
                + " do not rise from above 0 to at most 100; give rising shares in per cent");
      }
      last = stage;
    }
    if (leastWrites < 1 || lateAllowance < 0 || lateAllowance >= 1) {
      throw refuse(
          "the least writes must be 1 or more, and the allowance for late ones from 0 to below 1");
    }
    final List<Integer> all = new ArrayList<>();
    all.add(0);
    all.addAll(stages);
    return new Trial(
        route,
        before == null ? 1 : before.number + 1,
        before == null ? 1 : before.serial + 1,
        oldService,
        newService,
        token,
        all,
        0,
        leastWrites,
        lateAllowance,
        TrialVerdict.RUNNING.ordinal(),
        "",
        List.of(),
        0);
  }

  /** Why a trial does not fit a configuration; null where it does. */
  public static String unfit(
      final String route,
      final String oldService,
      final String newService,
      final RoutingTable routingTable) {
    final Route found = routingTable == null ? null : routingTable.route(route);
    if (found == null) {
      return "the route " + route + " is not in the configuration in force; name one that is";
    }
    if (found.kind.repeatable()) {
      return "the route " + route + " is no mutating one; a trial watches writes";
    }
    boolean old = false;
    boolean fresh = false;
    for (final int service : found.serviceIndices()) {
      old |= routingTable.services().get(service).name().equals(oldService);
      fresh |= routingTable.services().get(service).name().equals(newService);
    }
    if (!old || !fresh || oldService.equals(newService)) {
      return "the route "
          + route
          + " has no split between "
          + oldService
          + " and "
          + newService
          + "; send a configuration with one first";
    }
    return null;
  }

  private Trial open(final String route) {
    final Trial trial = trials.get(route);
    if (trial == null || TrialVerdict.of(trial) == TrialVerdict.FINISHED) {
      throw refuse("no trial is under way on route " + route + "; begin one");
    }
    return trial;
  }

  /**
   * Checks an order to go on to the next stage; live names the switchboards that should have
   * reported.
   */
  public Trial advance(
      final String route, final List<String> live, final boolean settled, final long now) {
    final Trial trial = open(route);
    if (TrialVerdict.of(trial) == TrialVerdict.HELD) {
      throw new WeldpointException(
          WeldpointException.Kind.CONFLICT,
          "the trial is held for good (" + trial.reason + "); finish it and begin another");
    }
    if (trial.stage + 1 >= trial.stages.size()) {
      throw refuse(
          "the trial is at its last stage; finish it, and move the weights by a configuration");
    }
    final String missing = undecided(trial, live, settled, now);
    if (missing != null) {
      throw new WeldpointException(WeldpointException.Kind.CONFLICT, "undecided: " + missing);
    }
    return next(trial, trial.stage + 1, TrialVerdict.RUNNING, "", List.of());
  }

  /** What evidence is missing at the present stage; null where there is enough. */
  public String undecided(
      final Trial trial, final List<String> live, final boolean settled, final long now) {
    if (!settled) {
      return "the core is not settled; wait until it is";
    }
    final Map<String, ReceivedCounts> reports = told.getOrDefault(trial.route, Map.of());
    long writes = 0;
    for (final String board : live) {
      boolean fresh = false;
      for (final ReceivedCounts one : reports.values()) {
        final long[] counts = TrialCounter.array(one.tally.counts);
        fresh |=
            one.tally.board.equals(board)
                && now - one.heardAt < FRESH_MILLIS
                && TrialCounter.STAGE.in(counts) == trial.stage;
      }
      if (!fresh) {
        return "switchboard "
            + board
            + " has not reported on this stage; wait for it or take it away";
      }
    }
    for (final ReceivedCounts one : reports.values()) {
      final long[] counts = TrialCounter.array(one.tally.counts);
      writes +=
          TrialCounter.STAGE.in(counts) == trial.stage
              ? TrialCounter.STAGE_CONFIRMED.in(counts)
              : 0;
    }
    return writes >= trial.leastWrites
        ? null
        : "only "
            + writes
            + " of "
            + trial.leastWrites
            + " writes were confirmed on the new version at this stage; wait for more";
  }

  /** An order to hold. */
  public Trial hold(final String route, final String reason) {
    return held(open(route), reason, List.of());
  }

  /** An order to finish. */
  public Trial finish(final String route) {
    return next(
        open(route),
        trials.get(route).stage,
        TrialVerdict.FINISHED,
        trials.get(route).reason,
        trials.get(route).attempts);
  }

  private static Trial next(
      final Trial trial,
      final int stage,
      final TrialVerdict verdict,
      final String reason,
      final List<String> attempts) {
    return new Trial(
        trial.route,
        trial.number,
        trial.serial + 1,
        trial.oldService,
        trial.newService,
        trial.token,
        trial.stages,
        stage,
        trial.leastWrites,
        trial.lateAllowance,
        verdict.ordinal(),
        reason,
        attempts,
        trial.writes);
  }

  private Trial held(final Trial trial, final String reason, final List<String> attempts) {
    final long[] sum = sum(trial.route);
    final boolean both = TrialCounter.OLD_LOST.in(sum) > 0 && TrialCounter.NEW_LOST.in(sum) > 0;
    return new Trial(
        trial.route,
        trial.number,
        trial.serial + 1,
        trial.oldService,
        trial.newService,
        trial.token,
        trial.stages,
        trial.stage,
        trial.leastWrites,
        trial.lateAllowance,
        TrialVerdict.HELD.ordinal(),
        both
            ? reason + " (the old version lost writes too: " + TrialCounter.OLD_LOST.in(sum) + ")"
            : reason,
        attempts,
        TrialCounter.NEW_SENT.in(sum));
  }

  /** Takes what a switchboard has counted; reports may come late, twice and in any order. */
  public void report(final TrialMessages.TrialReport report, final long now) {
    for (final TrialCounts tally : Protocol.list(report.tallies)) {
      final Trial trial = trials.get(tally.route);
      if (trial == null || trial.number != tally.number) {
        continue;
      }
      final Map<String, ReceivedCounts> reports =
          told.computeIfAbsent(tally.route, route -> new LinkedHashMap<>());
      final String key = tally.board + "#" + tally.incarnation;
      final ReceivedCounts before = reports.get(key);
      reports.put(
          key, new ReceivedCounts(before == null ? tally : later(before.tally, tally), now));
      for (final Long digest : Protocol.list(report.digests)) {
        final String other = digests.putIfAbsent(digest, key);
        if (other != null && !other.equals(key)) {
          doubledRoute = tally.route;
          doubles.add(Long.toHexString(digest));
        }
      }
      while (digests.size() > MOST_DIGESTS) {
        digests.remove(digests.keySet().iterator().next());
      }
    }
  }

  private static TrialCounts later(final TrialCounts one, final TrialCounts other) {
    final long[] left = TrialCounter.array(one.counts);
    final long[] right = TrialCounter.array(other.counts);
    final boolean sameStage = TrialCounter.STAGE.in(left) == TrialCounter.STAGE.in(right);
    final boolean laterStage = TrialCounter.STAGE.in(right) > TrialCounter.STAGE.in(left);
    final long[] most = TrialCounter.none();
    for (int index = 0; index < most.length; index++) {
      most[index] = Math.max(left[index], right[index]);
    }
    if (!sameStage) {
      most[TrialCounter.STAGE_CONFIRMED.ordinal()] =
          TrialCounter.STAGE_CONFIRMED.in(laterStage ? right : left);
    }
    final boolean fuller =
        Protocol.list(other.attempts).size() >= Protocol.list(one.attempts).size();
    final TrialCounts held = other.hold != null || one.hold == null && fuller ? other : one;
    return new TrialCounts(
        one.route,
        one.number,
        one.board,
        one.incarnation,
        TrialCounter.list(most),
        held.hold,
        held.attempts);
  }

  /** The counts of a route's trial over all switchboards. */
  public long[] sum(final String route) {
    final long[] sum = TrialCounter.none();
    for (final ReceivedCounts one : told.getOrDefault(route, Map.of()).values()) {
      final long[] counts = TrialCounter.array(one.tally.counts);
      for (int index = 0; index < sum.length; index++) {
        sum[index] += counts[index];
      }
    }
    return sum;
  }

  /** The trials that have to be held, as they should be written. */
  public List<Trial> verdicts(final RoutingTable routingTable) {
    final List<Trial> list = new ArrayList<>();
    for (final Trial trial : trials.values()) {
      if (!TrialVerdict.of(trial).open()) {
        continue;
      }
      final Trial verdict = verdict(trial, routingTable);
      if (verdict != null) {
        list.add(verdict);
      }
    }
    return list;
  }

  private Trial verdict(final Trial trial, final RoutingTable routingTable) {
    for (final ReceivedCounts one : told.getOrDefault(trial.route, Map.of()).values()) {
      if (one.tally.hold != null) {
        return held(
            trial,
            one.tally.hold + " (switchboard " + one.tally.board + ")",
            Protocol.list(one.tally.attempts));
      }
    }
    if (trial.route.equals(doubledRoute) && !doubles.isEmpty()) {
      return held(
          trial,
          "doubled: one attempt was sent by two switchboards",
          new ArrayList<>(doubles.subList(0, Math.min(20, doubles.size()))));
    }
    final long[] sum = sum(trial.route);
    if (TrialCounter.NEW_LOST.in(sum) > 0 || TrialCounter.NEW_DOUBLED.in(sum) > 0) {
      return held(
          trial,
          "lost or doubled: "
              + TrialCounter.NEW_LOST.in(sum)
              + " and "
              + TrialCounter.NEW_DOUBLED.in(sum),
          List.of());
    }
    if (Lateness.tooMany(
        TrialCounter.NEW_LATE.in(sum),
        TrialCounter.NEW_CONFIRMED.in(sum),
        TrialCounter.OLD_LATE.in(sum),
        TrialCounter.OLD_CONFIRMED.in(sum),
        trial.lateAllowance)) {
      return held(
          trial,
          "late: "
              + TrialCounter.NEW_LATE.in(sum)
              + " of "
              + TrialCounter.NEW_CONFIRMED.in(sum)
              + " writes, "
              + TrialCounter.OLD_LATE.in(sum)
              + " of "
              + TrialCounter.OLD_CONFIRMED.in(sum)
              + " on the old version",
          lateAttempts(trial.route));
    }
    if (routingTable != null
        && unfit(trial.route, trial.oldService, trial.newService, routingTable) != null) {
      return next(
          trial,
          trial.stage,
          TrialVerdict.FINISHED,
          "a newer configuration no longer has the split: "
              + unfit(trial.route, trial.oldService, trial.newService, routingTable),
          List.of());
    }
    return null;
  }

  private List<String> lateAttempts(final String route) {
    final List<String> list = new ArrayList<>();
    for (final ReceivedCounts one : told.getOrDefault(route, Map.of()).values()) {
      list.addAll(Protocol.list(one.tally.attempts));
    }
    return list.size() > 20 ? list.subList(0, 20) : list;
  }

  /** What each switchboard has counted in a trial. */
  public Map<String, long[]> byBoard(final Trial trial) {
    final Map<String, long[]> map = new LinkedHashMap<>();
    told.getOrDefault(trial.route, Map.of())
        .forEach(
            (key, one) -> {
              if (one.tally.number == trial.number) {
                map.put(key, TrialCounter.array(one.tally.counts));
              }
            });
    return map;
  }
}
