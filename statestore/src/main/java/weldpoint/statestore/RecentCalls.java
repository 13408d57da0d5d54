package weldpoint.statestore;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import weldpoint.transport.StoreMessages.StoreRequest;

/**
 * The recent decisions of a partition's leader by the identity of each request (its caller's
 * incarnation and its number), so that a copy of a request gets the first answer and is not carried
 * out again. A decision is kept for as long as a copy can be in transit. The map is cleared when
 * the leader changes, since requests sent before that are then recognized by their age.
 */
final class RecentCalls {
  /**
   * How long a copy can be in transit: a caller repeats a request for at most 900 ms, and a copy is
   * ignored {@link StateStoreReplica#MAX_REQUEST_AGE_MILLIS} after it was sent.
   */
  static final long RETENTION_MILLIS = 4000;

  /**
   * The maximum number of remembered requests; further ones are not carried out until older ones
   * expire.
   */
  static final int MAX_CALLS = 8192;

  private record CallId(long caller, long number) {}

  private record RememberedDecision(Decision decision, long at) {}

  private final Map<CallId, RememberedDecision> decided = new LinkedHashMap<>();

  /** The earlier decision on a request; null if there is none. */
  Decision find(final StoreRequest call) {
    final RememberedDecision remembered =
        call.callerIncarnation == 0
            ? null
            : decided.get(new CallId(call.callerIncarnation, call.number));
    return remembered == null ? null : remembered.decision;
  }

  /** Drops expired decisions; returns whether there is room for no further one. */
  boolean isFull(final long now) {
    final Iterator<RememberedDecision> oldest = decided.values().iterator();
    while (oldest.hasNext() && now - oldest.next().at > RETENTION_MILLIS) {
      oldest.remove();
    }
    return decided.size() >= MAX_CALLS;
  }

  /** Remembers the decision on a request. */
  void remember(final StoreRequest call, final Decision decision, final long now) {
    if (call.callerIncarnation != 0) {
      decided.put(
          new CallId(call.callerIncarnation, call.number),
          new RememberedDecision(
              Decision.confirm(decision.status, decision.first, decision.body), now));
    }
  }

  void clear() {
    decided.clear();
  }

  int size() {
    return decided.size();
  }
}
