package weldpoint.exchange;

import java.util.List;
import weldpoint.trunk.Words.Registration;
import weldpoint.trunk.Words.Roster;
import weldpoint.trunk.Words.Trial;

/** What an exchange keeps on disk; parts that a record does not concern are null. */
final class Remembered {
  final List<Registration> history;
  final Roster roster;
  final long version;
  final byte[] spec;
  final List<String> evacuated;
  final long evacuationMark;
  final List<Trial> trials;
  final long trialMark;

  Remembered(final List<Registration> history, final Roster roster, final long version, final byte[] spec, final List<String> evacuated, final long evacuationMark, final List<Trial> trials, final long trialMark) {
    this.history = history;
    this.roster = roster;
    this.version = version;
    this.spec = spec;
    this.evacuated = evacuated;
    this.evacuationMark = evacuationMark;
    this.trials = trials;
    this.trialMark = trialMark;
  }

  /** A record of registrations and, where it changed, the roster. */
  static Remembered membership(final List<Registration> history, final Roster roster) {
    return new Remembered(history, roster, 0, null, null, 0, null, 0);
  }
}
