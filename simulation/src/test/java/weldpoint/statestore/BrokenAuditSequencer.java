package weldpoint.statestore;

import weldpoint.audit.AuditEntry;
import weldpoint.audit.AuditStore;
import weldpoint.simulation.StateStoreSimulation;

/** Holders that keep the history wrongly, for the checks to catch. */
public final class BrokenAuditSequencer {
  private BrokenAuditSequencer() {}

  /** A holder that lets several changes be under way at once, each with its own entry only. */
  public static void hasty(
      final StateStoreReplica replica, final AuditStore store, final long keeps) {
    replica.history(
        store,
        keeps,
        new AuditSequencer(StateStoreSimulation.ENTRY_BYTES) {
          @Override
          boolean busy(final RegisterState held) {
            return false;
          }

          @Override
          void settle(final weldpoint.transport.StateStoreMessages.Roster roster) {
            forget();
          }
        });
  }

  /** A holder that acknowledges whatever is not above the version held, and leaves it at that. */
  public static void heedless(final StateStoreReplica replica) {
    replica.versions(
        new TakenVersions(null, null) {
          @Override
          Decision decide(
              final StoredValues.StoredConfiguration held,
              final weldpoint.transport.StoreMessages.StoreRequest call) {
            return Decision.confirm(200, 0);
          }
        });
  }

  /** A holder that knows what the version held stands for, but of older ones nothing. */
  public static void forgetful(
      final StateStoreReplica replica, final AuditStore store, final long keeps) {
    replica.history(store, keeps, StateStoreSimulation.ENTRY_BYTES);
    replica.versions(
        new TakenVersions(
            new AuditSequencer(StateStoreSimulation.ENTRY_BYTES),
            new weldpoint.audit.AuditLog("none", new weldpoint.audit.HeapStore(), () -> {})));
  }

  /** A configuration as a store wrote it before it kept the digest of what it says. */
  public static weldpoint.transport.StateStoreMessages.RegisterEntry older(
      final weldpoint.transport.StateStoreMessages.RegisterEntry entry) {
    if (entry.fullValue == null || StoredValues.Kind.of(entry.name) != StoredValues.Kind.SPEC) {
      return entry;
    }
    final StoredValues.StoredConfiguration spec =
        (StoredValues.StoredConfiguration) StoredValues.Kind.SPEC.decode(entry.fullValue);
    return new weldpoint.transport.StateStoreMessages.RegisterEntry(
        entry.name,
        entry.version,
        entry.baseVersion,
        entry.delta,
        StoredValues.Kind.SPEC.encode(
            new StoredValues.StoredConfiguration(
                spec.version, spec.body, spec.summary, spec.tied, null)),
        entry.auditEntry);
  }

  /** A holder as before there was a history: no entries at all. */
  public static void silent(
      final StateStoreReplica replica, final AuditStore store, final long keeps) {
    replica.history(
        store,
        keeps,
        new AuditSequencer(StateStoreSimulation.ENTRY_BYTES) {
          @Override
          void add(final AuditEntry.Draft draft) {}

          @Override
          void propose(final RegisterState held) {
            held.audit = null;
          }

          @Override
          boolean idle() {
            return false;
          }
        });
  }
}
