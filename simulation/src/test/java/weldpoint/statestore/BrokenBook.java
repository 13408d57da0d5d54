package weldpoint.statestore;

import weldpoint.audit.AuditEntry;
import weldpoint.audit.AuditStore;
import weldpoint.simulation.Fleet;

/** Holders that keep the history wrongly, for the checks to catch. */
public final class BrokenBook {
  private BrokenBook() {}

  /** A holder that lets several changes be under way at once, each with its own entry only. */
  public static void hasty(final FrameCore core, final AuditStore store, final long keeps) {
    core.history(
        store,
        keeps,
        new AuditBook(Fleet.ENTRY_BYTES) {
          @Override
          boolean busy(final Held held) {
            return false;
          }

          @Override
          void settle(final weldpoint.transport.StateStoreMessages.Roster roster) {
            forget();
          }
        });
  }

  /** A holder that acknowledges whatever is not above the version held, and leaves it at that. */
  public static void heedless(final FrameCore core) {
    core.versions(
        new TakenVersions(null, null) {
          @Override
          Decision decide(
              final Values.Spec held, final weldpoint.transport.StoreCallMessages.Call call) {
            return Decision.confirm(200, 0);
          }
        });
  }

  /** A holder that knows what the version held stands for, but of older ones nothing. */
  public static void forgetful(final FrameCore core, final AuditStore store, final long keeps) {
    core.history(store, keeps, Fleet.ENTRY_BYTES);
    core.versions(
        new TakenVersions(
            new AuditBook(Fleet.ENTRY_BYTES),
            new weldpoint.audit.AuditLog("none", new weldpoint.audit.HeapStore(), () -> {})));
  }

  /** A configuration as a store wrote it before it kept the digest of what it says. */
  public static weldpoint.transport.StateStoreMessages.Entry older(
      final weldpoint.transport.StateStoreMessages.Entry entry) {
    if (entry.whole == null || Values.Kind.of(entry.name) != Values.Kind.SPEC) {
      return entry;
    }
    final Values.Spec spec = (Values.Spec) Values.Kind.SPEC.decode(entry.whole);
    return new weldpoint.transport.StateStoreMessages.Entry(
        entry.name,
        entry.mark,
        entry.base,
        entry.difference,
        Values.Kind.SPEC.encode(
            new Values.Spec(spec.version, spec.body, spec.summary, spec.tied, null)),
        entry.audit);
  }

  /** A holder as before there was a history: no entries at all. */
  public static void silent(final FrameCore core, final AuditStore store, final long keeps) {
    core.history(
        store,
        keeps,
        new AuditBook(Fleet.ENTRY_BYTES) {
          @Override
          void add(final AuditEntry.Draft draft) {}

          @Override
          void propose(final Held held) {
            held.audit = null;
          }

          @Override
          boolean idle() {
            return false;
          }
        });
  }
}
