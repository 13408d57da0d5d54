package weldpoint.statestore;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import weldpoint.transport.CacheMessages;
import weldpoint.transport.OwnershipMessages;
import weldpoint.transport.PlacementMessages;
import weldpoint.transport.RegionMessages;
import weldpoint.transport.StateStoreMessages;
import weldpoint.transport.StoreMessages;
import weldpoint.transport.TrialMessages;

/**
 * The committed control state, collected from the registers of partition 0 on its leader for the
 * registries. A registry states what it has by the configuration's version and a sum of serials,
 * which changes whenever any other control register changes.
 */
final class ControlView {
  private static final String EVACUATION = StoredValues.Kind.EVACUATION.register("");

  private final List<String> evacuated = new ArrayList<>();
  private final List<TrialMessages.Trial> trials = new ArrayList<>();
  private final List<RegionMessages.Electorate> electorates = new ArrayList<>();
  private final List<PlacementMessages.Placement> placements = new ArrayList<>();
  private final List<OwnershipMessages.Assignment> assignments = new ArrayList<>();
  private StoredValues.StoredConfiguration configuration;
  private CacheMessages.Purges purges;
  private PlacementMessages.PlacementOwner placementOwner;
  private long evacuationSerial;
  private long trialSerial;
  private long placementSerial;
  private long otherSerials;

  ControlView(final Collection<RegisterState> registers) {
    for (final RegisterState register : registers) {
      if (register.committed != null) {
        add(register);
      }
    }
  }

  private void add(final RegisterState register) {
    switch (register.kind) {
      case CONFIGURATION -> configuration = (StoredValues.StoredConfiguration) register.committed;
      case EVACUATION -> addEvacuation(register);
      case TRIAL -> {
        trials.add((TrialMessages.Trial) register.committed);
        trialSerial += ((TrialMessages.Trial) register.committed).serial;
      }
      case PURGES -> {
        purges = (CacheMessages.Purges) register.committed;
        otherSerials += purges.lastSerial;
      }
      case ELECTORATE -> {
        electorates.add((RegionMessages.Electorate) register.committed);
        otherSerials += ((RegionMessages.Electorate) register.committed).revision;
      }
      case PLACEMENT -> {
        placements.add((PlacementMessages.Placement) register.committed);
        placementSerial += ((PlacementMessages.Placement) register.committed).serial;
      }
      case PLACEMENT_OWNER -> {
        placementOwner = (PlacementMessages.PlacementOwner) register.committed;
        otherSerials += placementOwner.serial;
      }
      case OWNERSHIP -> {
        assignments.add((OwnershipMessages.Assignment) register.committed);
        otherSerials += ((OwnershipMessages.Assignment) register.committed).serial;
      }
      default -> {
        // not part of the control state that is sent to registries
      }
    }
  }

  private void addEvacuation(final RegisterState register) {
    final StoredValues.Evacuation evacuation = (StoredValues.Evacuation) register.committed;
    evacuationSerial += evacuation.serial;
    if (evacuation.on) {
      evacuated.add(register.name.substring(EVACUATION.length()));
    }
  }

  /** The version of the configuration; 0 if there is none. */
  long version() {
    return configuration == null ? 0 : configuration.version;
  }

  /** Whether a registry is out of date: first is its version, second its sum of serials. */
  boolean isNewerThan(final StoreMessages.StoreRequest call) {
    final long serials = evacuationSerial + trialSerial + placementSerial + otherSerials;
    return version() > call.first || serials != call.second;
  }

  /** The answer to a registry's request, without the parts that it already has. */
  StoredValues.ControlSnapshot snapshotFor(
      final StoreMessages.StoreRequest call, final StateStoreMessages.Roster roster) {
    final boolean changed = isNewerThan(call);
    return new StoredValues.ControlSnapshot(
        version(),
        version() > call.first ? configuration.compressedBody : null,
        evacuated,
        evacuationSerial,
        roster,
        trials,
        trialSerial,
        purges,
        electorates,
        configuration != null && configuration.hasAffinity,
        placementSerial,
        changed ? placements : null,
        placementOwner,
        changed ? assignments : null);
  }
}
