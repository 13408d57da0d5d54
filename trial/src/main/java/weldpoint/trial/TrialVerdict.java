package weldpoint.trial;

import weldpoint.transport.TrialMessages.Trial;

/**
 * The status of a trial. Trials are stored with the ordinal, so the order of the constants must not
 * change.
 */
public enum TrialVerdict {
  /** The trial is open and may advance. */
  RUNNING(true),
  /** The trial is held and cannot be resumed; the new version gets no requests. */
  HELD(false),
  /**
   * The trial was finished by an operator, or by a configuration that no longer contains the split.
   */
  FINISHED(false);

  private static final TrialVerdict[] ALL = values();
  private final boolean open;

  TrialVerdict(final boolean open) {
    this.open = open;
  }

  /** Returns whether the trial can still advance. */
  public boolean open() {
    return open;
  }

  /** Returns the status of a trial. */
  public static TrialVerdict of(final Trial trial) {
    return ALL[trial.verdict];
  }
}
