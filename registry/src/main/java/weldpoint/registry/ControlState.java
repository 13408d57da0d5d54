package weldpoint.registry;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import weldpoint.routing.RoutingTable;
import weldpoint.transport.Compression;
import weldpoint.transport.Protocol;
import weldpoint.transport.TrialMessages;
import weldpoint.trial.TrialCoordinator;
import weldpoint.trial.TrialVerdict;

/**
 * What operators have ordered as this exchange has learned it: the configuration, evacuations and
 * trials, each under its mark.
 */
final class ControlState {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private final String self;
  private final TrialCoordinator coordinator = new TrialCoordinator();
  private long version;
  private byte[] spec;
  private List<String> evacuated = List.of();
  private long evacuationMark;
  private List<TrialMessages.Trial> trials = List.of();
  private long trialMark;
  private long heldSince;
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

  long evacuationMark() {
    return evacuationMark;
  }

  /** The trials that have not ended. */
  List<TrialMessages.Trial> trials() {
    return trials;
  }

  long trialMark() {
    return trialMark;
  }

  TrialCoordinator coordinator() {
    return coordinator;
  }

  /** The mark of evacuations and trials together. */
  long mark() {
    return evacuationMark + trialMark;
  }

  /** Since when this has been held. */
  long heldSince() {
    return heldSince;
  }

  /** The compiled configuration; null where there is none. */
  RoutingTable routingTable() {
    if (spec != null && (routingTable == null || routingTable.version() < version)) {
      routingTable = RoutingTable.compile(Compression.inflate(spec));
    }
    return routingTable;
  }

  /** Takes what the disk held. */
  void recall(final PersistedRecord kept) {
    if (kept.spec != null && kept.version > version) {
      version = kept.version;
      spec = kept.spec;
    }
    if (kept.evacuationMark > evacuationMark) {
      evacuationMark = kept.evacuationMark;
      evacuated = new ArrayList<>(Protocol.list(kept.evacuated));
    }
    if (kept.trialMark > trialMark) {
      trialMark = kept.trialMark;
      takeTrials(Protocol.list(kept.trials));
    }
  }

  /** What was news in something taken. */
  record Delta(byte[] spec, boolean evacuations, boolean trials) {
    boolean any() {
      return spec != null || evacuations || trials;
    }
  }

  /**
   * Takes what the frames hold, or what another exchange has learned from them; only what is newer
   * than what is held.
   */
  Delta take(
      final long givenVersion,
      final byte[] givenSpec,
      final List<String> givenEvacuated,
      final long givenEvacuationMark,
      final List<TrialMessages.Trial> givenTrials,
      final long givenTrialMark,
      final long now) {
    byte[] newSpec = null;
    if (givenVersion > version && givenSpec != null) {
      version = givenVersion;
      spec = givenSpec;
      newSpec = spec;
      LOGGER.atInfo().log("registry %s has configuration %s", self, Long.toHexString(version));
    }
    final boolean evacuations = givenEvacuationMark > evacuationMark;
    if (evacuations) {
      evacuationMark = givenEvacuationMark;
      evacuated = new ArrayList<>(Protocol.list(givenEvacuated));
    }
    final boolean trialNews = givenTrialMark > trialMark;
    if (trialNews) {
      trialMark = givenTrialMark;
      takeTrials(Protocol.list(givenTrials));
    }
    final Delta news = new Delta(newSpec, evacuations, trialNews);
    heldSince = news.any() ? now : heldSince;
    return news;
  }

  private void takeTrials(final List<TrialMessages.Trial> given) {
    coordinator.updateTrials(given);
    trials = new ArrayList<>();
    for (final TrialMessages.Trial trial : coordinator.trials()) {
      if (TrialVerdict.of(trial) != TrialVerdict.FINISHED) {
        trials.add(trial);
      }
      LOGGER.atInfo().log(
          "trial %s of route %s: stage %s, %s %s",
          trial.number, trial.route, trial.stage, TrialVerdict.of(trial), trial.reason);
    }
  }
}
