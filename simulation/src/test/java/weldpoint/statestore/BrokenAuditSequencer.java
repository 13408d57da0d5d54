package weldpoint.statestore;

import weldpoint.audit.AuditEntry;
import weldpoint.audit.AuditStore;
import weldpoint.simulation.StateStoreSimulation;

/** Leaders that keep the history wrongly, which the tests' checks must catch. */
public final class BrokenAuditSequencer {
  private BrokenAuditSequencer() {}

  /** A leader that has several changes in flight at once, each with only its own entry. */
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

  /** A leader that acknowledges any configuration that is not above the current version. */
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

  /** A leader that knows which configuration took the current version, but no older ones. */
  public static void withoutOlderVersions(
      final StateStoreReplica replica, final AuditStore store, final long retention) {
    replica.history(store, retention, StateStoreSimulation.ENTRY_BYTES);
    replica.takenVersions(
        new TakenVersions(
            new AuditSequencer(StateStoreSimulation.ENTRY_BYTES),
            new weldpoint.audit.AuditLog("none", new weldpoint.audit.HeapStore(), () -> {})));
  }

  /** A configuration as a release before content digests stored it. */
  public static weldpoint.transport.StateStoreMessages.RegisterEntry withoutContentDigest(
      final weldpoint.transport.StateStoreMessages.RegisterEntry entry) {
    if (entry.fullValue == null
        || StoredValues.Kind.of(entry.name) != StoredValues.Kind.CONFIGURATION) {
      return entry;
    }
    final StoredValues.StoredConfiguration configuration =
        (StoredValues.StoredConfiguration) StoredValues.Kind.CONFIGURATION.decode(entry.fullValue);
    return new weldpoint.transport.StateStoreMessages.RegisterEntry(
        entry.name,
        entry.version,
        entry.baseVersion,
        entry.delta,
        StoredValues.Kind.CONFIGURATION.encode(
            new StoredValues.StoredConfiguration(
                configuration.version,
                configuration.compressedBody,
                configuration.compressedSummary,
                configuration.hasAffinity,
                null)),
        entry.auditEntry);
  }

  /** A leader of a release before the history, which writes no entries. */
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
            register.auditTail = null;
          }

          @Override
          boolean isIdle() {
            return false;
          }
        });
  }
}
