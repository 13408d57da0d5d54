package weldpoint.registry;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import weldpoint.common.StrictJson;
import weldpoint.common.WeldpointException;
import weldpoint.routing.RoutingTable;
import weldpoint.transport.Compression;
import weldpoint.transport.Protocol;
import weldpoint.transport.TrialMessages;
import weldpoint.trial.TrialCoordinator;
import weldpoint.trial.TrialVerdict;

/**
 * What operators have ordered, as known to this registry: the configuration, evacuations and
 * trials, each with its version.
 */
final class ControlState {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private final String self;
  private final TrialCoordinator trialCoordinator = new TrialCoordinator();
  private long version;
  private byte[] spec;
  private List<String> evacuated = List.of();
  private long evacuationVersion;
  private List<TrialMessages.Trial> trials = List.of();
  private long trialVersion;
  private long appliedAt;
  private RoutingTable routingTable;

  ControlState(final String self) {
    this.self = self;
  }

  long version() {
    return version;
  }

  byte[] spec() {
    return spec;
  }

  List<String> evacuated() {
    return evacuated;
  }

  long evacuationVersion() {
    return evacuationVersion;
  }

  /** The trials that are not finished. */
  List<TrialMessages.Trial> trials() {
    return trials;
  }

  long trialVersion() {
    return trialVersion;
  }

  TrialCoordinator trialCoordinator() {
    return trialCoordinator;
  }

  /** The version of evacuations and trials together: the sum of both versions. */
  long orderVersion() {
    return evacuationVersion + trialVersion;
  }

  /** When this state last changed here. */
  long appliedAt() {
    return appliedAt;
  }

  /** The compiled configuration; null if there is none. */
  RoutingTable routingTable() {
    if (spec != null && (routingTable == null || routingTable.version() < version)) {
      final byte[] body = Compression.inflate(spec);
      routingTable = RoutingTable.compileAccepted(body);
      reportUnreadableParts(body);
    }
    return routingTable;
  }

  /** Logs a configuration that an earlier release accepted although it cannot be read whole. */
  private void reportUnreadableParts(final byte[] body) {
    try {
      StrictJson.decode(body);
    } catch (final WeldpointException unreadable) {
      LOGGER.atSevere().log(
          "Configuration %s is in force only up to an error in it (%s); send it again, corrected,"
              + " under a later version",
          Long.toHexString(version), unreadable.getMessage());
    }
  }

  /** Restores what a record on disk holds. */
  void restore(final PersistedRecord persisted) {
    if (persisted.spec != null && persisted.version > version) {
      version = persisted.version;
      spec = persisted.spec;
    }
    if (persisted.evacuationVersion > evacuationVersion) {
      evacuationVersion = persisted.evacuationVersion;
      evacuated = new ArrayList<>(Protocol.emptyIfNull(persisted.evacuated));
    }
    if (persisted.trialVersion > trialVersion) {
      trialVersion = persisted.trialVersion;
      updateTrials(Protocol.emptyIfNull(persisted.trials));
    }
  }

  /** What has changed in an update. */
  record Delta(byte[] spec, boolean evacuations, boolean trials) {
    boolean anyChange() {
      return spec != null || evacuations || trials;
    }
  }

  /**
   * Takes what the state store holds, or what another registry has learned from it; only the parts
   * that are newer than those held.
   */
  Delta update(
      final long givenVersion,
      final byte[] givenSpec,
      final List<String> givenEvacuated,
      final long givenEvacuationVersion,
      final List<TrialMessages.Trial> givenTrials,
      final long givenTrialVersion,
      final long now) {
    byte[] newSpec = null;
    if (givenVersion > version && givenSpec != null) {
      version = givenVersion;
      spec = givenSpec;
      newSpec = spec;
      LOGGER.atInfo().log(
          "registry %s now has configuration version %s", self, Long.toHexString(version));
    }
    final boolean evacuationsChanged = givenEvacuationVersion > evacuationVersion;
    if (evacuationsChanged) {
      evacuationVersion = givenEvacuationVersion;
      evacuated = new ArrayList<>(Protocol.emptyIfNull(givenEvacuated));
    }
    final boolean trialsChanged = givenTrialVersion > trialVersion;
    if (trialsChanged) {
      trialVersion = givenTrialVersion;
      updateTrials(Protocol.emptyIfNull(givenTrials));
    }
    final Delta delta = new Delta(newSpec, evacuationsChanged, trialsChanged);
    appliedAt = delta.anyChange() ? now : appliedAt;
    return delta;
  }

  private void updateTrials(final List<TrialMessages.Trial> received) {
    trialCoordinator.updateTrials(received);
    trials = new ArrayList<>();
    for (final TrialMessages.Trial trial : trialCoordinator.trials()) {
      if (TrialVerdict.of(trial) != TrialVerdict.FINISHED) {
        trials.add(trial);
      }
      LOGGER.atInfo().log(
          "trial %s of route %s: stage %s, verdict %s %s",
          trial.number, trial.route, trial.stage, TrialVerdict.of(trial), trial.reason);
    }
  }
}
