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
import weldpoint.transport.KeyMessages.KeyOutcome;
import weldpoint.transport.KeyMessages.Outcome;
import weldpoint.transport.KeyMessages.OutcomeResponse;
import weldpoint.transport.Message;

/**
 * The requests with idempotency keys at one proxy. A request runs only after its key was claimed
 * for it, and no other request of any proxy gets that key for {@code windowMillis}. A later request
 * with the same key gets the first one's response, or learns that the first one is still in
 * progress. Used on the traffic thread only; times are milliseconds of the steady clock.
 */
final class IdempotentRequests {
  /** How long a claim waits for the registry's answer. */
  static final long CLAIM_TIMEOUT_MILLIS = 1300;

  private static final long RETRY_MILLIS = 60;
  private static final int MAX_CLAIMS = 4;
  private static final long CLOCK_DRIFT_DIVISOR = 20;
  private static final int MAX_RESPONSE_BYTES = 64 << 10;
  private static final int MAX_REPLICATED_BYTES = 16 << 10;

  /** How long the holder of a key may take to answer, before the registries are asked. */
  private static final long HOLDER_TIMEOUT_MILLIS = 700;

  private static final long MAX_STORED_BYTES = 8 << 20;
  private static final int MAX_REQUESTS = 50_000;
  private static final int MAX_PENDING_RELEASES = 10_000;

  /** The connections and the timer that this class needs. */
  interface Environment {
    /** Sends to the current registry; false if there is no stream. */
    boolean sendToRegistry(Message message);

    /**
     * Sends a message that contains a response, or asks for one, to the current registry; false if
     * there is no stream, or if the registry is in none of these regions (empty for any).
     */
    boolean sendToRegistryWithin(Message message, List<String> regions);

    /**
     * Asks another proxy for the outcome of a claim's request; the callback is called exactly once.
     */
    void queryOutcome(
        Claim holder, long fingerprint, long waitMillis, Consumer<OutcomeResponse> callback);

    /** Runs a task on the traffic thread after this many milliseconds. */
    void schedule(Runnable task, long millis);
  }

  /** Receives the decision on a request; exactly one of these methods is called, once. */
  interface Listener {
    /** The key belongs to this request: it may be sent, and its end must be reported. */
    void granted(IdempotentRequest request);

    /** The key belongs or belonged to another request, which has this outcome. */
    void duplicate(OutcomeResponse original);

    /** The decision cannot be made now: the request must not be sent. */
    void unavailable();
  }

  private record Digest(long high, long low) {}

  private static final class Request {
    final IdempotencyKey key;
    final long deadline;
    final List<String> regions;
    final Listener listener;
    long claimedAt;
    int claimCount;

    Request(
        final IdempotencyKey key,
        final long deadline,
        final List<String> regions,
        final Listener listener) {
      this.key = key;
      this.deadline = deadline;
      this.regions = regions;
      this.listener = listener;
    }
  }

  private record PendingClaim(Request request, Claim claim) {}

  private final String self;
  private final long incarnation;
  private final long windowMillis;
  private final Environment environment;
  private final OutcomeReplicas replicas;
  private final Map<Long, PendingClaim> pending = new HashMap<>();
  private final Map<Digest, IdempotentRequest> requests = new HashMap<>();
  private final ArrayDeque<IdempotentRequest> requestsByAge = new ArrayDeque<>();
  private final ArrayDeque<IdempotentRequest> storedResponses = new ArrayDeque<>();
  private final Map<Long, Long> neverRan = new HashMap<>();
  private final List<Claim> pendingReleases = new ArrayList<>();
  private long lastClaimNumber;
  private long storedBytes;
  private long claimedCount;
  private long duplicateCount;
  private long conflictCount;
  private long unavailable;
  private long withoutKeyCount;

  /**
   * Requests of the proxy at this address in this incarnation; a key belongs to one request for the
   * window.
   */
  IdempotentRequests(
      final String self,
      final long incarnation,
      final long windowMillis,
      final Environment environment) {
    this.self = self;
    this.incarnation = incarnation;
    this.windowMillis = windowMillis;
    this.environment = environment;
    this.replicas = new OutcomeReplicas(environment::sendToRegistryWithin);
  }

  /**
   * Claims the key of a request that has arrived and is not sent after the deadline.
   *
   * @param regions where its response may be kept for later requests; empty for all regions
   */
  void begin(
      final IdempotencyKey key,
      final long deadline,
      final List<String> regions,
      final Listener listener,
      final long now) {
    claim(new Request(key, deadline, regions, listener), now);
  }

  private void claim(final Request request, final long now) {
    final IdempotentRequest known = requests.get(new Digest(request.key.high(), request.key.low()));
    if (known != null && now < known.rememberUntil()) {
      onHolderOutcome(request, known.claim(), outcomeOf(known, request.key.fingerprint()), now);
      return;
    }
    final long retentionMillis =
        (windowMillis + Math.max(0, request.deadline - now))
            * (CLOCK_DRIFT_DIVISOR + 1)
            / CLOCK_DRIFT_DIVISOR;
    final Claim claim =
        new Claim(
            request.key.high(),
            request.key.low(),
            self,
            incarnation,
            ++lastClaimNumber,
            retentionMillis);
    request.claimedAt = now;
    request.claimCount++;
    pending.put(claim.number, new PendingClaim(request, claim));
    if (!environment.sendToRegistry(new ClaimRequest(claim))) {
      pending.remove(claim.number);
      neverRan.put(claim.number, now + windowMillis);
      unavailable(request);
    }
  }

  private static OutcomeResponse outcomeOf(final IdempotentRequest known, final long fingerprint) {
    return known.fingerprint() == fingerprint
        ? known.outcome()
        : new OutcomeResponse(Outcome.KEY_REUSED);
  }

  /**
   * Handles what the proxy of the request that owns the key says, or that it says nothing: if it
   * does not know the outcome, the registries may have it.
   */
  private void onHolderOutcome(
      final Request request, final Claim holder, final OutcomeResponse original, final long now) {
    if (original.outcome() != Outcome.UNCERTAIN) {
      onOutcome(request, original);
      return;
    }
    replicas.find(
        holder,
        request.key.fingerprint(),
        request.regions,
        replicated -> onOutcome(request, replicated),
        now);
  }

  /** Handles a registry's reply to a report or a lookup of an outcome. */
  void outcomeReplyReceived(final Message message) {
    replicas.replyReceived(message);
  }

  /** Handles the outcome of the request that owns the key, known or not. */
  private void onOutcome(final Request request, final OutcomeResponse original) {
    if (original.outcome() != Outcome.NEVER_RAN) {
      duplicate(request, original);
    } else if (request.claimCount < MAX_CLAIMS) {
      environment.schedule(() -> retryClaim(request), RETRY_MILLIS);
    } else {
      unavailable(request);
    }
  }

  private void retryClaim(final Request request) {
    final long now = ProxyContext.now();
    if (now < request.deadline) {
      claim(request, now);
    } else {
      unavailable(request);
    }
  }

  /** Handles the registry's answer to a claim. */
  void claimAnswered(final ClaimResponse answer, final long now) {
    final PendingClaim pendingClaim = pending.remove(answer.number);
    if (pendingClaim == null) {
      return;
    }
    if (answer.result() == ClaimResult.GRANTED) {
      claimGranted(pendingClaim, now);
    } else if (answer.result() == ClaimResult.HELD) {
      neverRan.put(answer.number, now + windowMillis);
      claimHeld(pendingClaim.request(), answer.holder, now);
    } else {
      neverRan.put(answer.number, now + windowMillis);
      unavailable(pendingClaim.request());
    }
  }

  private void claimGranted(final PendingClaim pendingClaim, final long now) {
    claimedCount++;
    final Request request = pendingClaim.request();
    if (now >= request.deadline) {
      release(pendingClaim.claim(), now);
      unavailable(request);
      return;
    }
    final IdempotentRequest idempotentRequest =
        new IdempotentRequest(
            pendingClaim.claim(),
            request.key.fingerprint(),
            request.deadline + windowMillis,
            request.regions);
    requests.put(new Digest(request.key.high(), request.key.low()), idempotentRequest);
    requestsByAge.add(idempotentRequest);
    request.listener.granted(idempotentRequest);
  }

  private void claimHeld(final Request request, final Claim holder, final long now) {
    if (holder.proxy.equals(self)) {
      queryOutcome(
          holder,
          request.key.fingerprint(),
          original -> onHolderOutcome(request, holder, original, ProxyContext.now()));
    } else {
      environment.queryOutcome(
          holder,
          request.key.fingerprint(),
          Math.max(1, Math.min(HOLDER_TIMEOUT_MILLIS, request.deadline - now)),
          original -> onHolderOutcome(request, holder, original, ProxyContext.now()));
    }
  }

  /**
   * Reports the outcome of a claim's request at this proxy: at once, or, while the claim itself is
   * undecided, as soon as that is decided.
   */
  void queryOutcome(
      final Claim claim, final long fingerprint, final Consumer<OutcomeResponse> callback) {
    final IdempotentRequest known = requests.get(new Digest(claim.high, claim.low));
    final boolean sameIncarnation = claim.incarnation == incarnation;
    if (sameIncarnation && pending.containsKey(claim.number)) {
      environment.schedule(() -> queryOutcome(claim, fingerprint, callback), RETRY_MILLIS);
    } else if (sameIncarnation && neverRan.containsKey(claim.number)) {
      callback.accept(new OutcomeResponse(Outcome.NEVER_RAN));
    } else if (known == null || !known.claim().sameClaimant(claim)) {
      callback.accept(new OutcomeResponse(Outcome.UNCERTAIN));
    } else {
      callback.accept(outcomeOf(known, fingerprint));
    }
  }

  private void duplicate(final Request request, final OutcomeResponse original) {
    if (original.outcome() == Outcome.ANSWERED) {
      duplicateCount++;
    } else {
      conflictCount++;
    }
    request.listener.duplicate(original);
  }

  private void unavailable(final Request request) {
    unavailable++;
    request.listener.unavailable();
  }

  /** Stores the response of a request for later requests with its key, here and at registries. */
  void storeResponse(
      final IdempotentRequest request,
      final int status,
      final List<String> headers,
      final byte[] body,
      final long now) {
    if (!request.inProgress()) {
      return;
    }
    final boolean storable = body.length <= MAX_RESPONSE_BYTES;
    request.end(
        storable
            ? new OutcomeResponse(Outcome.ANSWERED, status, headers, body)
            : new OutcomeResponse(Outcome.UNCERTAIN));
    if (body.length > MAX_REPLICATED_BYTES) {
      replicas.skip();
    } else {
      final Claim claim =
          request.claim().withKeepMillis(Math.max(1, request.rememberUntil() - now));
      replicas.report(
          new KeyOutcome(claim, request.fingerprint(), request.outcome(), request.regions()), now);
    }
    if (request.responseBytes() > 0) {
      storedBytes += request.responseBytes();
      storedResponses.add(request);
    }
    while (storedBytes > MAX_STORED_BYTES) {
      final IdempotentRequest oldest = storedResponses.poll();
      storedBytes -= oldest.responseBytes();
      oldest.forgetResponse();
    }
  }

  /** Counts a request on a keyed route that has no key, so that its repeat could run again. */
  void recordWithoutKey() {
    withoutKeyCount++;
  }

  /** Records that a request may have run and that no response is known. */
  void uncertain(final IdempotentRequest request) {
    request.end(new OutcomeResponse(Outcome.UNCERTAIN));
  }

  /** Records that a request never ran and never will: its key is released. */
  void neverRan(final IdempotentRequest request, final long now) {
    if (!request.inProgress()) {
      return;
    }
    requests.remove(new Digest(request.claim().high, request.claim().low), request);
    release(request.claim(), now);
    request.end(new OutcomeResponse(Outcome.NEVER_RAN));
  }

  private void release(final Claim claim, final long now) {
    neverRan.put(claim.number, now + windowMillis);
    if (pendingReleases.size() < MAX_PENDING_RELEASES) {
      pendingReleases.add(claim);
    }
    sendReleases();
  }

  private void sendReleases() {
    if (!pendingReleases.isEmpty()
        && environment.sendToRegistry(new ClaimRelease(new ArrayList<>(pendingReleases)))) {
      pendingReleases.clear();
    }
  }

  /**
   * Gives up claims that have waited for too long, or all of them when the stream has ended, and
   * forgets requests that are past the window or too many.
   */
  void expire(final boolean all, final long now) {
    if (!pending.isEmpty()) {
      expireClaims(all, now);
    }
    sendReleases();
    replicas.expire(now);
    neverRan.values().removeIf(until -> until <= now);
    while (!requestsByAge.isEmpty()
        && (requestsByAge.peek().rememberUntil() <= now || requestsByAge.size() > MAX_REQUESTS)) {
      final IdempotentRequest expired = requestsByAge.poll();
      if (storedResponses.remove(expired)) {
        storedBytes -= expired.responseBytes();
      }
      uncertain(expired);
      requests.remove(new Digest(expired.claim().high, expired.claim().low), expired);
    }
  }

  private void expireClaims(final boolean all, final long now) {
    final List<PendingClaim> expired = new ArrayList<>();
    for (final PendingClaim pendingClaim : pending.values()) {
      if (all || now - pendingClaim.request().claimedAt > CLAIM_TIMEOUT_MILLIS) {
        expired.add(pendingClaim);
      }
    }
    for (final PendingClaim pendingClaim : expired) {
      pending.remove(pendingClaim.claim().number);
      release(pendingClaim.claim(), now);
      unavailable(pendingClaim.request());
    }
  }

  /** Metrics of requests with idempotency keys. */
  List<Metric> metrics() {
    final List<Metric> metrics = new ArrayList<>(requestMetrics());
    metrics.addAll(replicas.metrics());
    return metrics;
  }

  private List<Metric> requestMetrics() {
    final String help = "Requests with an idempotency key, by what was decided.";
    return List.of(
        Metric.counter("weldpoint_keyed_requests", help, claimedCount)
            .withLabel("decision", "claimed"),
        Metric.counter("weldpoint_keyed_requests", help, duplicateCount)
            .withLabel("decision", "repeated"),
        Metric.counter("weldpoint_keyed_requests", help, conflictCount)
            .withLabel("decision", "conflict"),
        Metric.counter("weldpoint_keyed_requests", help, unavailable)
            .withLabel("decision", "unavailable"),
        Metric.counter("weldpoint_keyed_requests", help, withoutKeyCount)
            .withLabel("decision", "without_key"),
        Metric.gauge("weldpoint_keyed_runs", "Keyed requests remembered here.", requests.size()),
        Metric.gauge("weldpoint_keyed_bytes", "Bytes of answers kept for repeats.", storedBytes));
  }

  /** The decisions as part of the counters log line; empty if no request had a key. */
  String counters() {
    return claimedCount + conflictCount + unavailable + duplicateCount == 0
        ? ""
        : " idempotency keys claimed "
            + claimedCount
            + " duplicates "
            + duplicateCount
            + " conflicts "
            + conflictCount
            + " unavailable "
            + unavailable;
  }
}
