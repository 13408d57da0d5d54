package weldpoint.registry;

import java.util.List;
import weldpoint.transport.KeyMessages.Claim;
import weldpoint.transport.RegistryMessages.Registration;
import weldpoint.transport.StateStoreMessages.Roster;
import weldpoint.transport.TrialMessages.Trial;

/** What an exchange keeps on disk; parts that a record does not concern are null. */
final class PersistedRecord {
  static final int UNSAID = 0;
  static final int LEARNING = 1;
  static final int WHOLE = 2;

  final List<Registration> history;
  final Roster roster;
  final long version;
  final byte[] spec;
  final List<String> evacuated;
  final long evacuationMark;
  final List<Trial> trials;
  final long trialMark;
  final int learning;
  final List<Claim> claims;

  PersistedRecord(
      final List<Registration> history,
      final Roster roster,
      final long version,
      final byte[] spec,
      final List<String> evacuated,
      final long evacuationMark,
      final List<Trial> trials,
      final long trialMark) {
    this(history, roster, version, spec, evacuated, evacuationMark, trials, trialMark, UNSAID);
  }

  PersistedRecord(
      final List<Registration> history,
      final Roster roster,
      final long version,
      final byte[] spec,
      final List<String> evacuated,
      final long evacuationMark,
      final List<Trial> trials,
      final long trialMark,
      final int learning) {
    this(
        history,
        roster,
        version,
        spec,
        evacuated,
        evacuationMark,
        trials,
        trialMark,
        learning,
        null);
  }

  PersistedRecord(
      final List<Registration> history,
      final Roster roster,
      final long version,
      final byte[] spec,
      final List<String> evacuated,
      final long evacuationMark,
      final List<Trial> trials,
      final long trialMark,
      final int learning,
      final List<Claim> claims) {
    this.claims = claims;
    this.history = history;
    this.roster = roster;
    this.version = version;
    this.spec = spec;
    this.evacuated = evacuated;
    this.evacuationMark = evacuationMark;
    this.trials = trials;
    this.trialMark = trialMark;
    this.learning = learning;
  }

  /** A record of registrations and, where it changed, the roster. */
  static PersistedRecord membership(final List<Registration> history, final Roster roster) {
    return new PersistedRecord(history, roster, 0, null, null, 0, null, 0);
  }

  /** A record of claims of idempotency keys. */
  static PersistedRecord claims(final List<Claim> claims) {
    return new PersistedRecord(null, null, 0, null, null, 0, null, 0, UNSAID, claims);
  }

  /** A record of whether this disk still lacks what was acknowledged before it came. */
  static PersistedRecord learning(final boolean learning) {
    return new PersistedRecord(null, null, 0, null, null, 0, null, 0, learning ? LEARNING : WHOLE);
  }
}
