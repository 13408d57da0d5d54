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
 * The control state that is committed at the holder of its partition, gathered from its registers
 * for registries: what they have is told by the configuration's version and a sum of serials, which
 * changes with each change of any other register.
 */
final class ControlView {
  private static final String EVACUATION = StoredValues.Kind.EVACUATION.register("");

  private final List<String> evacuated = new ArrayList<>();
  private final List<TrialMessages.Trial> trials = new ArrayList<>();
  private final List<RegionMessages.Electorate> electorates = new ArrayList<>();
  private final List<PlacementMessages.Placement> placements = new ArrayList<>();
  private final List<OwnershipMessages.Assignment> assignments = new ArrayList<>();
  private StoredValues.StoredConfiguration spec;
  private CacheMessages.Purges purges;
  private PlacementMessages.PlacementOwner keeper;
  private long evacuationMark;
  private long trialMark;
  private long placementMark;
  private long otherMarks;

  ControlView(final Collection<RegisterState> registers) {
    for (final RegisterState held : registers) {
      if (held.committed != null) {
        take(held);
      }
    }
  }

  private void take(final RegisterState held) {
    switch (held.kind) {
      case SPEC -> spec = (StoredValues.StoredConfiguration) held.committed;
      case EVACUATION -> takeEvacuation(held);
      case TRIAL -> {
        trials.add((TrialMessages.Trial) held.committed);
        trialMark += ((TrialMessages.Trial) held.committed).serial;
      }
      case PURGES -> {
        purges = (CacheMessages.Purges) held.committed;
        otherMarks += purges.lastSerial;
      }
      case ELECTORATE -> {
        electorates.add((RegionMessages.Electorate) held.committed);
        otherMarks += ((RegionMessages.Electorate) held.committed).revision;
      }
      case PLACEMENT -> {
        placements.add((PlacementMessages.Placement) held.committed);
        placementMark += ((PlacementMessages.Placement) held.committed).serial;
      }
      case KEEPER -> {
        keeper = (PlacementMessages.PlacementOwner) held.committed;
        otherMarks += keeper.serial;
      }
      case OWNERSHIP -> {
        assignments.add((OwnershipMessages.Assignment) held.committed);
        otherMarks += ((OwnershipMessages.Assignment) held.committed).serial;
      }
      default -> {
        // not control state that registries are told of
      }
    }
  }

  private void takeEvacuation(final RegisterState held) {
    final StoredValues.Evacuation evacuation = (StoredValues.Evacuation) held.committed;
    evacuationMark += evacuation.serial;
    if (evacuation.on) {
      evacuated.add(held.name.substring(EVACUATION.length()));
    }
  }

  /** The version of the configuration; 0 before the first. */
  long version() {
    return spec == null ? 0 : spec.version;
  }

  /** Whether a registry lacks anything: first is its version, second the sum of its marks. */
  boolean newsFor(final StoreMessages.StoreRequest call) {
    final long marks = evacuationMark + trialMark + placementMark + otherMarks;
    return version() > call.first || marks != call.second;
  }

  /** What the registry that asked so is told. */
  StoredValues.ControlSnapshot answer(
      final StoreMessages.StoreRequest call, final StateStoreMessages.Roster roster) {
    final boolean news = newsFor(call);
    return new StoredValues.ControlSnapshot(
        version(),
        version() > call.first ? spec.body : null,
        evacuated,
        evacuationMark,
        roster,
        trials,
        trialMark,
        purges,
        electorates,
        spec != null && spec.tied,
        placementMark,
        news ? placements : null,
        keeper,
        news ? assignments : null);
  }
}
