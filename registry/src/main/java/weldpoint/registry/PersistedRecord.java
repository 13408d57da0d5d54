package weldpoint.registry;

import java.util.List;
import weldpoint.transport.KeyMessages.Claim;
import weldpoint.transport.KeyMessages.KeyOutcome;
import weldpoint.transport.RegistryMessages.Registration;
import weldpoint.transport.StateStoreMessages.Roster;
import weldpoint.transport.TrialMessages.Trial;

/**
 * A record of a registry's log on disk, written by field position; parts that a record does not
 * concern are null.
 */
final class PersistedRecord {
  static final int BOOTSTRAP_UNCHANGED = 0;
  static final int BOOTSTRAPPING = 1;
  static final int BOOTSTRAPPED = 2;

  final List<Registration> registrations;
  final Roster roster;
  final long version;
  final byte[] spec;
  final List<String> evacuated;
  final long evacuationVersion;
  final List<Trial> trials;
  final long trialVersion;
  final int bootstrapState;
  final List<Claim> claims;
  final List<KeyOutcome> outcomes;

  PersistedRecord(
      final List<Registration> registrations,
      final Roster roster,
      final long version,
      final byte[] spec,
      final List<String> evacuated,
      final long evacuationVersion,
      final List<Trial> trials,
      final long trialVersion) {
    this(
        registrations,
        roster,
        version,
        spec,
        evacuated,
        evacuationVersion,
        trials,
        trialVersion,
        BOOTSTRAP_UNCHANGED);
  }

  PersistedRecord(
      final List<Registration> registrations,
      final Roster roster,
      final long version,
      final byte[] spec,
      final List<String> evacuated,
      final long evacuationVersion,
      final List<Trial> trials,
      final long trialVersion,
      final int bootstrapState) {
    this(
        registrations,
        roster,
        version,
        spec,
        evacuated,
        evacuationVersion,
        trials,
        trialVersion,
        bootstrapState,
        null,
        null);
  }

  PersistedRecord(
      final List<Registration> registrations,
      final Roster roster,
      final long version,
      final byte[] spec,
      final List<String> evacuated,
      final long evacuationVersion,
      final List<Trial> trials,
      final long trialVersion,
      final int bootstrapState,
      final List<Claim> claims,
      final List<KeyOutcome> outcomes) {
    this.claims = claims;
    this.outcomes = outcomes;
    this.registrations = registrations;
    this.roster = roster;
    this.version = version;
    this.spec = spec;
    this.evacuated = evacuated;
    this.evacuationVersion = evacuationVersion;
    this.trials = trials;
    this.trialVersion = trialVersion;
    this.bootstrapState = bootstrapState;
  }

  /** A record of registrations and, if it changed, the roster. */
  static PersistedRecord membership(final List<Registration> registrations, final Roster roster) {
    return new PersistedRecord(registrations, roster, 0, null, null, 0, null, 0);
  }

  /** A record of claims of idempotency keys. */
  static PersistedRecord claims(final List<Claim> claims) {
    return new PersistedRecord(
        null, null, 0, null, null, 0, null, 0, BOOTSTRAP_UNCHANGED, claims, null);
  }

  /** A record of outcomes of requests with idempotency keys. */
  static PersistedRecord outcomes(final List<KeyOutcome> outcomes) {
    return new PersistedRecord(
        null, null, 0, null, null, 0, null, 0, BOOTSTRAP_UNCHANGED, null, outcomes);
  }

  /**
   * A record of whether this registry is still bootstrapping: its disk may lack what was
   * acknowledged before it joined.
   */
  static PersistedRecord bootstrapState(final boolean bootstrapping) {
    return new PersistedRecord(
        null, null, 0, null, null, 0, null, 0, bootstrapping ? BOOTSTRAPPING : BOOTSTRAPPED);
  }
}
