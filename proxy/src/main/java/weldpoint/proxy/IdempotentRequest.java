package weldpoint.proxy;

import java.util.List;
import weldpoint.transport.KeyMessages.Claim;
import weldpoint.transport.KeyMessages.Outcome;
import weldpoint.transport.KeyMessages.OutcomeResponse;

/**
 * A request that owns an idempotency key at this proxy, and its outcome. Used on the traffic thread
 * by {@link IdempotentRequests} and {@link ProxiedRequest}.
 */
final class IdempotentRequest {
  private static final OutcomeResponse IN_PROGRESS = new OutcomeResponse(Outcome.IN_PROGRESS);

  private final Claim claim;
  private final long fingerprint;
  private final long rememberUntil;
  private final List<String> regions;
  private OutcomeResponse outcome = IN_PROGRESS;

  /**
   * A request that is about to be sent.
   *
   * @param claim the claim that was granted to it
   * @param fingerprint distinguishes it from other requests with the same key
   * @param rememberUntil how long it is remembered, in milliseconds of the steady clock
   * @param regions where its response may be kept; empty for all regions
   */
  IdempotentRequest(
      final Claim claim,
      final long fingerprint,
      final long rememberUntil,
      final List<String> regions) {
    this.regions = regions;
    this.claim = claim;
    this.fingerprint = fingerprint;
    this.rememberUntil = rememberUntil;
  }

  Claim claim() {
    return claim;
  }

  long fingerprint() {
    return fingerprint;
  }

  long rememberUntil() {
    return rememberUntil;
  }

  List<String> regions() {
    return regions;
  }

  boolean inProgress() {
    return outcome.outcome() == Outcome.IN_PROGRESS;
  }

  OutcomeResponse outcome() {
    return outcome;
  }

  /** The size of the stored response body in bytes. */
  int responseBytes() {
    return outcome.body == null ? 0 : outcome.body.length;
  }

  /** Ends the request; only the first call has an effect. */
  void end(final OutcomeResponse result) {
    if (inProgress()) {
      outcome = result;
    }
  }

  /** Drops the stored response; the outcome becomes that the request may have run. */
  void forgetResponse() {
    outcome = new OutcomeResponse(Outcome.UNCERTAIN);
  }
}
