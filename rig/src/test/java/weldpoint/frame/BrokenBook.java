package weldpoint.frame;

import weldpoint.audit.AuditEntry;
import weldpoint.audit.AuditStore;
import weldpoint.rig.Fleet;

/** Holders that keep the history wrongly, for the checks to catch. */
public final class BrokenBook {
  private BrokenBook() {
  }

  /** A holder that lets several changes be under way at once, each with its own entry only. */
  public static void hasty(final FrameCore core, final AuditStore store, final long keeps) {
    core.history(store, keeps, new AuditBook(Fleet.ENTRY_BYTES) {
      @Override
      boolean busy(final Held held) {
        return false;
      }

      @Override
      void settle(final weldpoint.trunk.Words.Roster roster) {
        forget();
      }
    });
  }

  /** A holder as before there was a history: no entries at all. */
  public static void silent(final FrameCore core, final AuditStore store, final long keeps) {
    core.history(store, keeps, new AuditBook(Fleet.ENTRY_BYTES) {
      @Override
      void add(final AuditEntry.Draft draft) {
      }

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
