package weldpoint.proxy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import weldpoint.metrics.Metric;
import weldpoint.transport.KeyMessages.Claim;
import weldpoint.transport.KeyMessages.ClaimRelease;
import weldpoint.transport.KeyMessages.ClaimRequest;
import weldpoint.transport.KeyMessages.ClaimResponse;
import weldpoint.transport.KeyMessages.ClaimResult;
import weldpoint.transport.KeyMessages.Outcome;
import weldpoint.transport.KeyMessages.OutcomeResponse;
import weldpoint.transport.Message;

/**
 * The requests with idempotency keys at one proxy: a request runs only once its key was claimed for
 * it, which no other request of the fleet then gets for {@code window}; a later one of the same key
 * gets the first one's answer. All of it lives on the traffic thread; times are milliseconds of the
 * steady clock.
 */
final class IdempotentRequests {
  /** How long a claim may wait for its answer. */
  static final long PATIENCE_MILLIS = 1300;

  private static final long AGAIN_MILLIS = 60;
  private static final int MOST_CLAIMS = 4;
  private static final long DRIFT = 20;
  private static final int MOST_ANSWER_BYTES = 64 << 10;
  private static final long MOST_BYTES = 8 << 20;
  private static final int MOST_RUNS = 50_000;
  private static final int MOST_OWED = 10_000;

  /** What this proxy does to the world. */
  interface Environment {
    /** Sends to the registry of the stream; false where there is no stream. */
    boolean registry(Message message);

    /** Asks another proxy what became of a claim's request; hears exactly once. */
    void outcome(Claim holder, long fingerprint, long waitMillis, Consumer<OutcomeResponse> hears);

    /** Runs a task on the traffic thread after so many milliseconds. */
    void later(Runnable task, long millis);
  }

  /** Hears what may be done with a request; exactly one of these, once. */
  interface Listener {
    /** The key is this request's: it may be sent, and its end must be told. */
    void granted(IdempotentRequest run);

    /** The key is, or was, another request's: what became of that. */
    void repeated(OutcomeResponse first);

    /** It cannot be told now: the request must not be sent. */
    void unavailable();
  }

  private record Digest(long high, long low) {}

  private static final class Request {
    final IdempotencyKey key;
    final long cutoff;
    final Listener listener;
    long askedAt;
    int claims;

    Request(final IdempotencyKey key, final long cutoff, final Listener listener) {
      this.key = key;
      this.cutoff = cutoff;
      this.listener = listener;
    }
  }

  private record PendingClaim(Request request, Claim claim) {}

  private final String self;
  private final long incarnation;
  private final long window;
  private final Environment environment;
  private final Map<Long, PendingClaim> pending = new HashMap<>();
  private final Map<Digest, IdempotentRequest> runs = new HashMap<>();
  private final ArrayDeque<IdempotentRequest> oldest = new ArrayDeque<>();
  private final ArrayDeque<IdempotentRequest> answered = new ArrayDeque<>();
  private final Map<Long, Long> neverRan = new HashMap<>();
  private final List<Claim> owed = new ArrayList<>();
  private long number;
  private long bytes;
  private long claimed;
  private long repeated;
  private long conflicts;
  private long unavailable;

  /** Requests of the proxy at this address, in this life; a key is one request's for a window. */
  IdempotentRequests(
      final String self, final long incarnation, final long window, final Environment environment) {
    this.self = self;
    this.incarnation = incarnation;
    this.window = window;
    this.environment = environment;
  }

  /** A request with a key has come, which is not sent after the cutoff. */
  void begin(final IdempotencyKey key, final long cutoff, final Listener listener, final long now) {
    claim(new Request(key, cutoff, listener), now);
  }

  private void claim(final Request request, final long now) {
    final IdempotentRequest known = runs.get(new Digest(request.key.high(), request.key.low()));
    if (known != null && now < known.until()) {
      await(request, known);
      return;
    }
    final long keep = (window + Math.max(0, request.cutoff - now)) * (DRIFT + 1) / DRIFT;
    final Claim claim =
        new Claim(request.key.high(), request.key.low(), self, incarnation, ++number, keep);
    request.askedAt = now;
    request.claims++;
    pending.put(claim.number, new PendingClaim(request, claim));
    if (!environment.registry(new ClaimRequest(claim))) {
      pending.remove(claim.number);
      neverRan.put(claim.number, now + window);
      unavailable(request);
    }
  }

  /** Waits for the end of a request of this proxy that has the key. */
  private void await(final Request request, final IdempotentRequest known) {
    if (known.fingerprint() != request.key.fingerprint()) {
      repeated(request, new OutcomeResponse(Outcome.OTHER_REQUEST));
      return;
    }
    known.whenOver(first -> ended(request, first));
  }

  /** The request that has the key has ended, or cannot be heard of. */
  private void ended(final Request request, final OutcomeResponse first) {
    if (first.outcome() != Outcome.NEVER_RAN) {
      repeated(request, first);
    } else if (request.claims < MOST_CLAIMS) {
      environment.later(() -> again(request), AGAIN_MILLIS);
    } else {
      unavailable(request);
    }
  }

  private void again(final Request request) {
    final long now = ProxyContext.now();
    if (now < request.cutoff) {
      claim(request, now);
    } else {
      unavailable(request);
    }
  }

  /** The registry has answered a claim. */
  void answered(final ClaimResponse answer, final long now) {
    final PendingClaim asked = pending.remove(answer.number);
    if (asked == null) {
      return;
    }
    if (answer.result() == ClaimResult.GRANTED) {
      granted(asked, now);
    } else if (answer.result() == ClaimResult.HELD) {
      neverRan.put(answer.number, now + window);
      held(asked.request(), answer.holder, now);
    } else {
      neverRan.put(answer.number, now + window);
      unavailable(asked.request());
    }
  }

  private void granted(final PendingClaim asked, final long now) {
    claimed++;
    final Request request = asked.request();
    if (now >= request.cutoff) {
      release(asked.claim(), now);
      unavailable(request);
      return;
    }
    final IdempotentRequest run =
        new IdempotentRequest(asked.claim(), request.key.fingerprint(), request.cutoff + window);
    runs.put(new Digest(request.key.high(), request.key.low()), run);
    oldest.add(run);
    request.listener.granted(run);
  }

  private void held(final Request request, final Claim holder, final long now) {
    if (holder.proxy.equals(self)) {
      outcome(holder, request.key.fingerprint(), first -> ended(request, first));
    } else {
      environment.outcome(
          holder,
          request.key.fingerprint(),
          Math.max(1, request.cutoff - now),
          first -> ended(request, first));
    }
  }

  /** Tells what became of a claim's request at this proxy, once that is known. */
  void outcome(final Claim claim, final long fingerprint, final Consumer<OutcomeResponse> hears) {
    final IdempotentRequest run = runs.get(new Digest(claim.high, claim.low));
    final boolean own = claim.incarnation == incarnation;
    if (own && pending.containsKey(claim.number)) {
      environment.later(() -> outcome(claim, fingerprint, hears), AGAIN_MILLIS);
    } else if (own && neverRan.containsKey(claim.number)) {
      hears.accept(new OutcomeResponse(Outcome.NEVER_RAN));
    } else if (run == null || !run.claim().sameClaimant(claim)) {
      hears.accept(new OutcomeResponse(Outcome.UNCERTAIN));
    } else if (run.fingerprint() != fingerprint) {
      hears.accept(new OutcomeResponse(Outcome.OTHER_REQUEST));
    } else {
      run.whenOver(hears);
    }
  }

  private void repeated(final Request request, final OutcomeResponse first) {
    if (first.outcome() == Outcome.ANSWERED) {
      repeated++;
    } else {
      conflicts++;
    }
    request.listener.repeated(first);
  }

  private void unavailable(final Request request) {
    unavailable++;
    request.listener.unavailable();
  }

  /** A request was answered: a later one of its key gets the same. */
  void ran(
      final IdempotentRequest run,
      final int status,
      final List<String> headers,
      final byte[] body) {
    if (!run.atWork()) {
      return;
    }
    final boolean kept = body.length <= MOST_ANSWER_BYTES;
    run.end(
        kept
            ? new OutcomeResponse(Outcome.ANSWERED, status, headers, body)
            : new OutcomeResponse(Outcome.UNCERTAIN));
    if (run.bytes() > 0) {
      bytes += run.bytes();
      answered.add(run);
    }
    while (bytes > MOST_BYTES) {
      final IdempotentRequest first = answered.poll();
      bytes -= first.bytes();
      first.forgetAnswer();
    }
  }

  /** A request may have run, and no answer is known. */
  void uncertain(final IdempotentRequest run) {
    run.end(new OutcomeResponse(Outcome.UNCERTAIN));
  }

  /** A request never ran and never will: its key is free again. */
  void neverRan(final IdempotentRequest run, final long now) {
    if (!run.atWork()) {
      return;
    }
    runs.remove(new Digest(run.claim().high, run.claim().low), run);
    release(run.claim(), now);
    run.end(new OutcomeResponse(Outcome.NEVER_RAN));
  }

  private void release(final Claim claim, final long now) {
    neverRan.put(claim.number, now + window);
    if (owed.size() < MOST_OWED) {
      owed.add(claim);
    }
    settle();
  }

  private void settle() {
    if (!owed.isEmpty() && environment.registry(new ClaimRelease(new ArrayList<>(owed)))) {
      owed.clear();
    }
  }

  /** The stream has ended, or time has passed: what has waited for too long is given up. */
  void sweep(final boolean all, final long now) {
    if (!pending.isEmpty()) {
      giveUp(all, now);
    }
    settle();
    neverRan.values().removeIf(until -> until <= now);
    while (!oldest.isEmpty() && (oldest.peek().until() <= now || oldest.size() > MOST_RUNS)) {
      final IdempotentRequest past = oldest.poll();
      if (answered.remove(past)) {
        bytes -= past.bytes();
      }
      uncertain(past);
      runs.remove(new Digest(past.claim().high, past.claim().low), past);
    }
  }

  private void giveUp(final boolean all, final long now) {
    final List<PendingClaim> over = new ArrayList<>();
    for (final PendingClaim asked : pending.values()) {
      if (all || now - asked.request().askedAt > PATIENCE_MILLIS) {
        over.add(asked);
      }
    }
    for (final PendingClaim asked : over) {
      pending.remove(asked.claim().number);
      release(asked.claim(), now);
      unavailable(asked.request());
    }
  }

  /** Figures of requests with keys. */
  List<Metric> figures() {
    final String help = "Requests with an idempotency key, by what was decided.";
    return List.of(
        Metric.counter("weldpoint_keyed_requests", help, claimed).withLabel("decision", "claimed"),
        Metric.counter("weldpoint_keyed_requests", help, repeated)
            .withLabel("decision", "repeated"),
        Metric.counter("weldpoint_keyed_requests", help, conflicts)
            .withLabel("decision", "conflict"),
        Metric.counter("weldpoint_keyed_requests", help, unavailable)
            .withLabel("decision", "unavailable"),
        Metric.gauge("weldpoint_keyed_runs", "Keyed requests remembered here.", runs.size()),
        Metric.gauge("weldpoint_keyed_bytes", "Bytes of answers kept for repeats.", bytes));
  }

  /** What was decided, as counters; empty where no request bore a key. */
  String counters() {
    return claimed + conflicts + unavailable + repeated == 0
        ? ""
        : " keys claimed "
            + claimed
            + " repeated "
            + repeated
            + " conflicts "
            + conflicts
            + " unavailable "
            + unavailable;
  }
}
