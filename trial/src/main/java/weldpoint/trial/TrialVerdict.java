package weldpoint.trial;

import weldpoint.transport.TrialMessages.Trial;

/** Where a trial stands. */
public enum TrialVerdict {
  /** Under way. */
  RUNNING(true),
  /** Held back for good: the new version gets nothing. */
  HELD(false),
  /** Finished by the operator or by a configuration that changed the route. */
  FINISHED(false);

  private static final TrialVerdict[] ALL = values();
  private final boolean open;

  TrialVerdict(final boolean open) {
    this.open = open;
  }

  /** Whether the trial may still move. */
  public boolean open() {
    return open;
  }

  /** The verdict of a trial. */
  public static TrialVerdict of(final Trial trial) {
    return ALL[trial.verdict];
  }
}
