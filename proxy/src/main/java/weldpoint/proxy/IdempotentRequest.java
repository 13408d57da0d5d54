package weldpoint.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import weldpoint.transport.KeyMessages.Claim;
import weldpoint.transport.KeyMessages.Outcome;
import weldpoint.transport.KeyMessages.OutcomeResponse;

/** One request that holds an idempotency key at this proxy, and what became of it. */
final class IdempotentRequest {
  private static final OutcomeResponse AT_WORK = new OutcomeResponse(Outcome.IN_PROGRESS);

  private final Claim claim;
  private final long fingerprint;
  private final long until;
  private final List<Consumer<OutcomeResponse>> waiting = new ArrayList<>();
  private OutcomeResponse outcome = AT_WORK;

  /**
   * A request that is about to be sent.
   *
   * @param claim the claim that was granted to it
   * @param fingerprint tells it from other requests that bear the same key
   * @param until how long it is remembered, in milliseconds of the steady clock
   */
  IdempotentRequest(final Claim claim, final long fingerprint, final long until) {
    this.claim = claim;
    this.fingerprint = fingerprint;
    this.until = until;
  }

  Claim claim() {
    return claim;
  }

  long fingerprint() {
    return fingerprint;
  }

  long until() {
    return until;
  }

  boolean atWork() {
    return outcome.outcome() == Outcome.IN_PROGRESS;
  }

  OutcomeResponse outcome() {
    return outcome;
  }

  /** The bytes of the answer that is kept. */
  int bytes() {
    return outcome.body == null ? 0 : outcome.body.length;
  }

  /** Hears the outcome once there is one. */
  void whenOver(final Consumer<OutcomeResponse> listener) {
    if (atWork()) {
      waiting.add(listener);
    } else {
      listener.accept(outcome);
    }
  }

  /** The request has ended; only the first end counts. */
  void end(final OutcomeResponse given) {
    if (!atWork()) {
      return;
    }
    outcome = given;
    final List<Consumer<OutcomeResponse>> all = new ArrayList<>(waiting);
    waiting.clear();
    all.forEach(listener -> listener.accept(given));
  }

  /** Forgets the kept answer; what is known is only that it may have run. */
  void forgetAnswer() {
    outcome = new OutcomeResponse(Outcome.UNCERTAIN);
  }
}
