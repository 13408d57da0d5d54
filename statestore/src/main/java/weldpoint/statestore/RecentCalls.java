package weldpoint.statestore;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import weldpoint.transport.StoreMessages.StoreRequest;

/**
 * What a holder of a duty has decided of late, by the identity of each call (its caller's
 * incarnation and its number), so that a copy of a call gets the answer of the first and is not
 * carried out once more. It holds as long as a copy can be under way, and no longer; it goes with
 * the duty, since older calls are then told from newer ones by their age.
 */
final class RecentCalls {
  /**
   * How long a copy can be under way: a caller sends it again for 900 ms at most, and it is void
   * {@link StateStoreReplica#COPY_MILLIS} after it was sent.
   */
  static final long KEEP_MILLIS = 4000;

  /**
   * How many calls are remembered at most; while there are so many, further ones are not carried
   * out.
   */
  static final int MOST = 8192;

  private record Identity(long caller, long number) {}

  private record Decided(Decision decision, long at) {}

  private final Map<Identity, Decided> decided = new LinkedHashMap<>();

  /** What was decided of a call before; null where nothing is known of it. */
  Decision before(final StoreRequest call) {
    final Decided one =
        call.callerIncarnation == 0
            ? null
            : decided.get(new Identity(call.callerIncarnation, call.number));
    return one == null ? null : one.decision;
  }

  /** Whether no further call can be remembered. */
  boolean full(final long now) {
    final Iterator<Decided> oldest = decided.values().iterator();
    while (oldest.hasNext() && now - oldest.next().at > KEEP_MILLIS) {
      oldest.remove();
    }
    return decided.size() >= MOST;
  }

  /** Remembers what was decided of a call. */
  void remember(final StoreRequest call, final Decision decision, final long now) {
    if (call.callerIncarnation != 0) {
      decided.put(
          new Identity(call.callerIncarnation, call.number),
          new Decided(Decision.confirm(decision.status, decision.first, decision.body), now));
    }
  }

  void clear() {
    decided.clear();
  }

  int size() {
    return decided.size();
  }
}
