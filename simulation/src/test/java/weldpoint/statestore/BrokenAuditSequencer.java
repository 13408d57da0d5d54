package weldpoint.statestore;

import weldpoint.audit.AuditEntry;
import weldpoint.audit.AuditStore;
import weldpoint.simulation.StateStoreSimulation;

/** Holders that keep the history wrongly, for the checks to catch. */
public final class BrokenAuditSequencer {
  private BrokenAuditSequencer() {}

  /** A holder that lets several changes be under way at once, each with its own entry only. */
  public static void withConcurrentChanges(
      final StateStoreReplica replica, final AuditStore store, final long retention) {
    replica.history(
        store,
        retention,
        new AuditSequencer(StateStoreSimulation.ENTRY_BYTES) {
          @Override
          boolean mustWait(final RegisterState register) {
            return false;
          }

          @Override
          void trimTail(final weldpoint.transport.StateStoreMessages.Roster roster) {
            discardTail();
          }
        });
  }

  /** A holder that acknowledges whatever is not above the version held, and leaves it at that. */
  public static void withoutVersionCheck(final StateStoreReplica replica) {
    replica.takenVersions(
        new TakenVersions(null, null) {
          @Override
          Decision decide(
              final StoredValues.StoredConfiguration current,
              final weldpoint.transport.StoreMessages.StoreRequest call) {
            return Decision.confirm(200, 0);
          }
        });
  }

  /** A holder that knows what the version held stands for, but of older ones nothing. */
  public static void withoutOlderVersions(
      final StateStoreReplica replica, final AuditStore store, final long retention) {
    replica.history(store, retention, StateStoreSimulation.ENTRY_BYTES);
    replica.takenVersions(
        new TakenVersions(
            new AuditSequencer(StateStoreSimulation.ENTRY_BYTES),
            new weldpoint.audit.AuditLog("none", new weldpoint.audit.HeapStore(), () -> {})));
  }

  /** A configuration as a store wrote it before it kept the digest of what it says. */
  public static weldpoint.transport.StateStoreMessages.RegisterEntry withoutContentDigest(
      final weldpoint.transport.StateStoreMessages.RegisterEntry entry) {
    if (entry.whole == null || StoredValues.Kind.of(entry.name) != StoredValues.Kind.CONFIGURATION) {
      return entry;
    }
    final StoredValues.StoredConfiguration configuration =
        (StoredValues.StoredConfiguration) StoredValues.Kind.CONFIGURATION.decode(entry.whole);
    return new weldpoint.transport.StateStoreMessages.RegisterEntry(
        entry.name,
        entry.mark,
        entry.base,
        entry.difference,
        StoredValues.Kind.CONFIGURATION.encode(
            new StoredValues.StoredConfiguration(
                configuration.version, configuration.compressedBody, configuration.compressedSummary, configuration.hasAffinity, null)),
        entry.audit);
  }

  /** A holder as before there was a history: no entries at all. */
  public static void withoutHistory(
      final StateStoreReplica replica, final AuditStore store, final long retention) {
    replica.history(
        store,
        retention,
        new AuditSequencer(StateStoreSimulation.ENTRY_BYTES) {
          @Override
          void add(final AuditEntry.Draft draft) {}

          @Override
          void propose(final RegisterState register) {
            register.audit = null;
          }

          @Override
          boolean idle() {
            return false;
          }
        });
  }
}
