package weldpoint.trial;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import weldpoint.transport.Protocol;
import weldpoint.transport.TrialMessages;
import weldpoint.transport.TrialMessages.Trial;
import weldpoint.transport.TrialMessages.TrialCounts;

/**
 * A proxy's part in trials (staged rollouts of a route's new version): it chooses the version that
 * a request goes to, counts the outcomes, and stops sending to the new version as soon as its own
 * counts require it. It starts no threads, takes no locks and reads no clock.
 */
public final class TrialTracker {
  private static final int MAX_TRACKED_ATTEMPTS = 20_000;

  /** The outcome of a write. */
  public enum WriteOutcome {
    /** The upstream gave a definite answer. */
    CONFIRMED,
    /** The write was sent, but no definite answer arrived. */
    LOST,
    /** The write was certainly not executed. */
    NOT_EXECUTED,
  }

  private static final class TrialState {
    Trial trial;
    final long[] counts = TrialCounter.newCounts();

    /** By attempt digest, whether the write went to the new version; oldest first. */
    final Map<Long, Boolean> sentToNew = new LinkedHashMap<>();

    /** Digests of attempts in {@code sentToNew} that were confirmed. */
    final Set<Long> answered = new HashSet<>();

    final List<Long> unreportedDigests = new ArrayList<>();

    /** Why this proxy holds the trial on its own counts; null if it does not. */
    String holdReason;

    final List<String> attempts = new ArrayList<>();
  }

  private final String proxyAddress;
  private final long incarnation;
  private final Map<String, TrialState> statesByRoute = new HashMap<>();
  private long registerVersion = -1;
  private Runnable urgentReportListener = () -> {};

  /** Creates a tracker for the proxy with this address and incarnation. */
  public TrialTracker(final String proxyAddress, final long incarnation) {
    this.proxyAddress = proxyAddress;
    this.incarnation = incarnation;
  }

  /** Sets the callback that is run whenever something must be reported at once. */
  public void urgentReportListener(final Runnable listener) {
    urgentReportListener = listener;
  }

  /**
   * Replaces the trials by those stored under {@code storedVersion}; does nothing if that version
   * is not newer than the known one.
   */
  public void updateTrials(final List<Trial> trials, final long storedVersion) {
    if (storedVersion <= registerVersion) {
      return;
    }
    registerVersion = storedVersion;
    final Set<String> storedRoutes = new HashSet<>();
    for (final Trial trial : trials) {
      storedRoutes.add(trial.route);
      TrialState state = statesByRoute.get(trial.route);
      if (state == null || state.trial.number != trial.number) {
        state = new TrialState();
        statesByRoute.put(trial.route, state);
      }
      if (state.trial == null || trial.serial > state.trial.serial) {
        if (state.trial != null && state.trial.stage != trial.stage) {
          state.counts[TrialCounter.STAGE_CONFIRMED.ordinal()] = 0;
        }
        state.trial = trial;
        state.counts[TrialCounter.STAGE.ordinal()] = trial.stage;
      }
    }
    statesByRoute.keySet().retainAll(storedRoutes);
  }

  /**
   * Returns whether there is no trial at all; callers check this first to save the cost of the
   * other methods.
   */
  public boolean hasNoTrials() {
    return statesByRoute.isEmpty();
  }

  /** Returns whether a route has a trial that is not finished. */
  public boolean isUnderTrial(final String route) {
    final TrialState state = statesByRoute.get(route);
    return state != null && TrialVerdict.of(state.trial) != TrialVerdict.FINISHED;
  }

  /**
   * Returns the service for a request on a route. The configuration's own choice stands if it is
   * neither of the trial's two versions. Between the two, a held trial always gives the old
   * version, a request with the trial's token gets the new one, and for all others the share of the
   * present stage decides. {@code draw} is a random number from 0 to below 1.
   */
  public String chooseService(
      final String route, final String configuredService, final String token, final double draw) {
    final TrialState state = statesByRoute.get(route);
    if (state == null) {
      return configuredService;
    }
    final Trial trial = state.trial;
    if (!isUnderTrial(route)
        || !configuredService.equals(trial.oldService)
            && !configuredService.equals(trial.newService)) {
      return configuredService;
    }
    if (state.holdReason != null || TrialVerdict.of(trial) == TrialVerdict.HELD) {
      return trial.oldService;
    }
    if (token != null && !trial.token.isEmpty() && trial.token.equals(token)) {
      TrialCounter.NEW_REHEARSED.incrementIn(state.counts);
      return trial.newService;
    }
    return draw * 100 < Protocol.emptyIfNull(trial.stages).get(trial.stage)
        ? trial.newService
        : trial.oldService;
  }

  private static long digest(final String attempt) {
    long hash = 0xcbf29ce484222325L;
    for (int index = 0; index < attempt.length(); index++) {
      hash = (hash ^ attempt.charAt(index)) * 0x100000001b3L;
    }
    return hash ^ hash >>> 29;
  }

  /**
   * Returns the trial's state if the route is under trial and the service is one of its versions.
   */
  private TrialState stateFor(final String route, final String service) {
    final TrialState state = isUnderTrial(route) ? statesByRoute.get(route) : null;
    return state != null
            && (service.equals(state.trial.newService) || service.equals(state.trial.oldService))
        ? state
        : null;
  }

  /** Records that a write is sent to one of the two versions. */
  public void recordSent(final String route, final String service, final String attempt) {
    final TrialState state = stateFor(route, service);
    if (state == null) {
      return;
    }
    final boolean toNew = service.equals(state.trial.newService);
    (toNew ? TrialCounter.NEW_SENT : TrialCounter.OLD_SENT).incrementIn(state.counts);
    final long digest = digest(attempt);
    final Boolean previous = state.sentToNew.put(digest, toNew);
    if (state.sentToNew.size() > MAX_TRACKED_ATTEMPTS) {
      final Long oldest = state.sentToNew.keySet().iterator().next();
      state.sentToNew.remove(oldest);
      state.answered.remove(oldest);
    }
    if (toNew) {
      state.unreportedDigests.add(digest);
    }
    if (previous != null) {
      recordDuplicate(state, toNew, attempt);
    }
  }

  /**
   * Records the outcome of a write at one of the two versions. A confirmed write that took longer
   * than {@code targetMillis}, the route's latency target, counts as late.
   */
  public void recordEnded(
      final String route,
      final String service,
      final String attempt,
      final WriteOutcome outcome,
      final long tookMillis,
      final long targetMillis) {
    final TrialState state = stateFor(route, service);
    if (state == null) {
      return;
    }
    final boolean toNew = service.equals(state.trial.newService);
    switch (outcome) {
      case CONFIRMED -> {
        (toNew ? TrialCounter.NEW_CONFIRMED : TrialCounter.OLD_CONFIRMED).incrementIn(state.counts);
        state.answered.add(digest(attempt));
        if (toNew) {
          TrialCounter.STAGE_CONFIRMED.incrementIn(state.counts);
        }
        if (tookMillis > targetMillis) {
          (toNew ? TrialCounter.NEW_LATE : TrialCounter.OLD_LATE).incrementIn(state.counts);
          if (toNew) {
            recordLate(state, attempt);
          }
        }
      }
      case LOST -> {
        (toNew ? TrialCounter.NEW_LOST : TrialCounter.OLD_LOST).incrementIn(state.counts);
        if (toNew) {
          hold(
              state,
              "lost: a write was sent to " + service + " and no definite answer arrived",
              attempt);
        }
      }
      default -> state.sentToNew.remove(digest(attempt));
    }
  }

  /**
   * Records an answer that was not expected: the attempt had been answered before, or it was not
   * the one whose answer was due.
   */
  public void recordSurplusAnswer(final String attempt) {
    final long digest = digest(attempt);
    for (final TrialState state : statesByRoute.values()) {
      final Boolean toNew = state.sentToNew.get(digest);
      if (toNew != null && state.answered.contains(digest)) {
        recordDuplicate(state, toNew, attempt);
      }
    }
  }

  /** Counts a request that is not a write, at a service that is part of a trial. */
  public void recordOtherRequest(final String service, final boolean succeeded) {
    for (final TrialState state : statesByRoute.values()) {
      if (service.equals(state.trial.oldService)) {
        (succeeded ? TrialCounter.OLD_OTHER_REQUESTS : TrialCounter.OLD_OTHER_REQUESTS_FAILED)
            .incrementIn(state.counts);
      } else if (service.equals(state.trial.newService)) {
        (succeeded ? TrialCounter.NEW_OTHER_REQUESTS : TrialCounter.NEW_OTHER_REQUESTS_FAILED)
            .incrementIn(state.counts);
      }
    }
  }

  private void recordDuplicate(final TrialState state, final boolean toNew, final String attempt) {
    (toNew ? TrialCounter.NEW_DUPLICATED : TrialCounter.OLD_DUPLICATED).incrementIn(state.counts);
    if (toNew) {
      hold(state, "duplicated: one attempt was executed or answered more than once", attempt);
    }
  }

  private void recordLate(final TrialState state, final String attempt) {
    if (Lateness.exceedsAllowance(
        TrialCounter.NEW_LATE.valueIn(state.counts),
        TrialCounter.NEW_CONFIRMED.valueIn(state.counts),
        TrialCounter.OLD_LATE.valueIn(state.counts),
        TrialCounter.OLD_CONFIRMED.valueIn(state.counts),
        state.trial.lateAllowance)) {
      hold(
          state,
          "late: "
              + TrialCounter.NEW_LATE.valueIn(state.counts)
              + " of "
              + TrialCounter.NEW_CONFIRMED.valueIn(state.counts)
              + " writes were late at one proxy, "
              + TrialCounter.OLD_LATE.valueIn(state.counts)
              + " of "
              + TrialCounter.OLD_CONFIRMED.valueIn(state.counts)
              + " on the old version",
          attempt);
    } else if (state.attempts.size() < 20) {
      state.attempts.add(attempt);
    }
  }

  private void hold(final TrialState state, final String reason, final String attempt) {
    if (state.holdReason == null) {
      state.holdReason = reason;
      state.attempts.clear();
    }
    if (state.attempts.size() < 20) {
      state.attempts.add(attempt);
    }
    urgentReportListener.run();
  }

  /**
   * Creates the next report; null if there is no trial. It contains all counts since the trial
   * began, and the digests of the attempts since the last report, or all of them if {@code full}
   * (after a new connection).
   */
  public TrialMessages.TrialReport createReport(final boolean full) {
    if (statesByRoute.isEmpty()) {
      return null;
    }
    final List<TrialCounts> trialCounts = new ArrayList<>();
    final List<Long> digests = new ArrayList<>();
    for (final TrialState state : statesByRoute.values()) {
      trialCounts.add(
          new TrialCounts(
              state.trial.route,
              state.trial.number,
              proxyAddress,
              incarnation,
              TrialCounter.toList(state.counts),
              state.holdReason,
              new ArrayList<>(state.attempts)));
      if (full) {
        state.sentToNew.forEach(
            (digest, toNew) -> {
              if (toNew) {
                digests.add(digest);
              }
            });
      } else {
        digests.addAll(state.unreportedDigests);
      }
      state.unreportedDigests.clear();
    }
    return new TrialMessages.TrialReport(false, trialCounts, digests);
  }

  /**
   * Returns whether the trial of this route is held, so that the new version gets no requests from
   * this proxy.
   */
  public boolean isHeld(final String route) {
    final TrialState state = statesByRoute.get(route);
    return state != null
        && (state.holdReason != null || TrialVerdict.of(state.trial) == TrialVerdict.HELD);
  }
}
