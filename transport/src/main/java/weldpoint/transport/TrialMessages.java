package weldpoint.transport;

import java.util.List;

/** Trials of a route's new version, and what proxies count in them. */
public final class TrialMessages {
  private TrialMessages() {}

  /** A trial of a route's new version, as the state store keeps it. */
  public static final class Trial {
    public final String route;
    public final long number;
    public final long serial;
    public final String oldService;
    public final String newService;
    public final String token;
    public final List<Integer> stages;
    public final int stage;
    public final int minWrites;
    public final double lateAllowance;
    public final int verdict;
    public final String reason;
    public final List<String> attempts;
    public final long writes;

    public Trial(
        final String route,
        final long number,
        final long serial,
        final String oldService,
        final String newService,
        final String token,
        final List<Integer> stages,
        final int stage,
        final int minWrites,
        final double lateAllowance,
        final int verdict,
        final String reason,
        final List<String> attempts,
        final long writes) {
      this.route = route;
      this.number = number;
      this.serial = serial;
      this.oldService = oldService;
      this.newService = newService;
      this.token = token;
      this.stages = stages;
      this.stage = stage;
      this.minWrites = minWrites;
      this.lateAllowance = lateAllowance;
      this.verdict = verdict;
      this.reason = reason;
      this.attempts = attempts;
      this.writes = writes;
    }
  }

  /**
   * What one incarnation of a proxy has counted in one trial since its beginning: counts only rise.
   */
  public static final class TrialCounts {
    public final String route;
    public final long number;
    public final String proxy;
    public final long incarnation;
    public final List<Long> counts;
    public final String holdReason;
    public final List<String> attempts;

    public TrialCounts(
        final String route,
        final long number,
        final String proxy,
        final long incarnation,
        final List<Long> counts,
        final String holdReason,
        final List<String> attempts) {
      this.route = route;
      this.number = number;
      this.proxy = proxy;
      this.incarnation = incarnation;
      this.counts = counts;
      this.holdReason = holdReason;
      this.attempts = attempts;
    }
  }

  /** Counts of trials, with digests of the attempts that were sent to the new version. */
  public static final class TrialReport implements Message {
    public final boolean relayed;
    public final List<TrialCounts> counts;
    public final List<Long> attemptDigests;

    public TrialReport(
        final boolean relayed, final List<TrialCounts> counts, final List<Long> attemptDigests) {
      this.relayed = relayed;
      this.counts = counts;
      this.attemptDigests = attemptDigests;
    }
  }
}
