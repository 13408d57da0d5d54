package weldpoint.proxy;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import weldpoint.affinity.AffinityTable;
import weldpoint.affinity.Rendezvous;
import weldpoint.affinity.WriteDecision;
import weldpoint.common.Invariant;
import weldpoint.ratelimit.RateLimit;
import weldpoint.routing.Affinity;
import weldpoint.routing.Route;
import weldpoint.routing.RouteBinding;
import weldpoint.routing.RouteKind;
import weldpoint.routing.RoutingTable;
import weldpoint.transport.CacheMessages;
import weldpoint.transport.KeyMessages;
import weldpoint.transport.OwnershipMessages;
import weldpoint.transport.PlacementMessages;
import weldpoint.trial.TrialTracker;
import weldpoint.upstream.AttemptOutcome;
import weldpoint.upstream.Headers;
import weldpoint.upstream.RetryPolicy;
import weldpoint.upstream.Upstream;
import weldpoint.upstream.UpstreamConnection;
import weldpoint.upstream.UpstreamPool;

/**
 * One request from its arrival to its response, with its attempts at upstreams. Its route sets the
 * time limit, the number of attempts and whether the request may be repeated; its binding decides
 * before each attempt where it may be sent.
 *
 * <p>Created by {@link ClientConnection} once the whole request has been read, and used on the
 * traffic thread only. It takes over the reference to the request body and releases it in {@link
 * #releaseResources}.
 */
final class ProxiedRequest {
  private static final long DEADLINE_MARGIN_MILLIS = 15;
  private static final long AFFINITY_RETRY_MILLIS = 25;
  private static final int MAX_AFFINITY_SEND_FAILURES = 2;
  private static final long REVOCATION_MARGIN_MILLIS = 300;
  private static final long PROOF_WAIT_MILLIS = 300;
  private static final String STALE_CONTROL_STATE =
      "this proxy cannot confirm that its configuration is current; retry";

  private static final int MISSING_KEY_LOG_SECONDS = 10;

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final Invariant KEY_CLAIMED = Invariant.named("a keyed send has claimed its key");
  private static final long MAX_KEYED_MILLIS = 300_000;
  private static final Invariant PERMIT_HELD = Invariant.named("a limited send has its permit");

  private final ProxyContext proxyContext;
  private final ClientConnection clientConnection;
  private final HttpRequest request;
  private final ByteBuf body;
  private final long arrivedAt = ProxyContext.now();
  private final List<UpstreamPool.Attempt> attempts = new ArrayList<>();
  private final List<Upstream> tried = new ArrayList<>();
  private Route route;
  private RouteBinding binding;
  private long deadline;
  private boolean completed;
  private int attemptCount;
  private int possiblyRunCount;
  private int heldPermits;
  private IdempotentRequest idempotentRequest;
  private boolean outcomeUncertain;
  private boolean closeAfterResponse;
  private boolean inTrial;
  private boolean onlyOutsideHomeRegions;
  private boolean tenantsConfigured;
  private boolean singleAttempt;
  private Affinity affinity;
  private PartitionedRequestKey partitionKey;
  private long affinityCaller;
  private AffinityTable.PendingWrite pendingWrite;
  private int affinitySendFailures;
  private Recorder.PendingRecord pendingRecord;
  private ScheduledFuture<?> deadlineTimer;
  private ScheduledFuture<?> hedgeTimer;
  private FullHttpResponse lastResponse;

  ProxiedRequest(
      final ProxyContext proxyContext,
      final ClientConnection clientConnection,
      final HttpRequest request,
      final ByteBuf body) {
    this.proxyContext = proxyContext;
    this.clientConnection = clientConnection;
    this.request = request;
    this.body = body;
    this.closeAfterResponse = !HttpUtil.isKeepAlive(request);
  }

  void start() {
    final RoutingTable routingTable = proxyContext.routingTable;
    if (routingTable == null) {
      refuse("this proxy has not received a configuration yet; retry shortly", "0.3");
      return;
    }
    if (!proxyContext.controlProof.isValid(ProxyContext.now())) {
      awaitProof(routingTable);
      return;
    }
    if (proxyContext.openRequests.unwrittenBytes() > proxyContext.maxUnwrittenBytes) {
      refuse("too many response bytes are waiting for slow clients; retry", retryAfter());
      return;
    }
    final RouteBinding candidateBinding = newBinding();
    if (!routingTable.resolve(candidateBinding)) {
      finish();
      clientConnection.refuse(
          HttpResponseStatus.NOT_FOUND,
          "no route matches this request; check host and path",
          null,
          closeAfterResponse);
      return;
    }
    if (request.headers().get(Headers.ATTEMPT_ID) == null) {
      finish();
      clientConnection.refuse(
          HttpResponseStatus.BAD_REQUEST,
          "the attempt id, which matches a response to its request, is missing; send Weldpoint-Attempt-Id",
          null,
          closeAfterResponse);
      return;
    }
    binding = candidateBinding;
    route = candidateBinding.route();
    if (!routingTable.tenants().isEmpty() && !authenticate()) {
      return;
    }
    if (!route.kind.repeatable() && !checkIdempotencyKey()) {
      return;
    }
    affinity = Affinity.effective(route, proxyContext.defaultAffinity);
    double fraction = proxyContext.random.nextDouble();
    if (affinity != null) {
      final String callerName =
          proxyContext.affinityKeys.keyFor(
              affinity,
              affinity.header() == null ? List.of() : request.headers().getAll(affinity.header()),
              tenantName(),
              clientConnection.clientAddress());
      final long callerHash = Rendezvous.callerHash(route.name, callerName);
      binding.selectService(route.serviceForCaller(callerHash));
      fraction = (callerHash >>> 11) / (double) (1L << 53);
      affinityCaller = Rendezvous.callerHash(service().name(), callerName);
    }
    if (!proxyContext.trials.hasNoTrials() && proxyContext.trials.isUnderTrial(route.name)) {
      final int trialService =
          routingTable.serviceIndex(
              proxyContext.trials.chooseService(
                  route.name,
                  service().name(),
                  request.headers().get(Headers.TRIAL_TOKEN),
                  fraction));
      if (trialService >= 0) {
        binding.overrideService(routingTable.services().get(trialService));
      }
      inTrial = true;
    }
    if (service().partitioned()) {
      partitionKey = PartitionedRequestKey.of(request.headers());
      affinity = null;
      if (partitionKey == null) {
        finish();
        clientConnection.refuse(
            HttpResponseStatus.BAD_REQUEST,
            "the service is partitioned by key, and the request has no valid key; send one"
                + " Weldpoint-Shard-Key header with an integer from 0 to 65535",
            null,
            closeAfterResponse);
        return;
      }
    }
    final long clientTimeoutMillis =
        Headers.parseMillis(request.headers(), Headers.DEADLINE_MS, route.timeoutMillis);
    deadline =
        arrivedAt
            + Math.max(
                1, Math.min(clientTimeoutMillis, route.timeoutMillis) - DEADLINE_MARGIN_MILLIS);
    if (proxyContext.uncertainWrites != null) {
      if (route.kind.repeatable()) {
        proxyContext.repeatableRequestsSeen++;
      } else {
        proxyContext.writesSeen++;
      }
      if (!proxyContext.admits(route.kind)) {
        refuse(
            "writes take precedence while a region leader limits admission; retry", retryAfter());
        return;
      }
    }
    if (proxyContext.recorder != null && proxyContext.recorder.recording()) {
      pendingRecord =
          proxyContext.recorder.begin(
              arrivedAt,
              request,
              route,
              service().name(),
              deadline - arrivedAt,
              body.readableBytes());
    }
    proxyContext.upstreamPool.retryBudget(service().name()).recordRequest(arrivedAt);
    deadlineTimer =
        proxyContext.loop.schedule(
            this::onDeadline, deadline - ProxyContext.now(), TimeUnit.MILLISECONDS);
    if (proxyContext.cacheClient != null
        && route.kind == RouteKind.CACHEABLE
        && route.cacheTtlMillis > 0
        && request.method().equals(HttpMethod.GET)
        && !body.isReadable()
        && proxyContext.cacheClient.hasDaemons()
        && !binding.hasHomeRegions()) {
      proxyContext.cacheClient.read(
          service().name(),
          request.headers().get(HttpHeaderNames.HOST),
          request.uri(),
          deadline - arrivedAt,
          this::onCacheResponse,
          arrivedAt);
      return;
    }
    acquireOriginPermit();
  }

  private RouteBinding newBinding() {
    return new RouteBinding(
        request.headers().get(HttpHeaderNames.HOST),
        request.uri(),
        proxyContext.random.nextDouble());
  }

  /**
   * Waits for the next proof that no acknowledged control state is missing here. The wait ends
   * early enough that the client can still be served in time by another proxy; the request is then
   * refused.
   */
  private void awaitProof(final RoutingTable routingTable) {
    final RouteBinding candidateBinding = newBinding();
    final long waitMillis =
        routingTable.resolve(candidateBinding)
            ? candidateBinding.route().targetLatencyMillis / 4
            : PROOF_WAIT_MILLIS;
    final Runnable resume =
        () -> {
          if (!completed) {
            start();
          }
        };
    proxyContext.controlProof.await(resume);
    proxyContext.loop.schedule(
        () -> {
          if (proxyContext.controlProof.cancel(resume) && !completed) {
            if (proxyContext.controlProof.isValid(ProxyContext.now())) {
              start();
            } else {
              refuse(RefusalCounts.Reason.UNPROVED, STALE_CONTROL_STATE);
            }
          }
        },
        waitMillis,
        TimeUnit.MILLISECONDS);
  }

  /**
   * The deadline, the earlier of the client's and the route's, in milliseconds of the steady clock;
   * 0 if the request was never bound to a route.
   */
  long deadline() {
    return deadline;
  }

  /** Whether the client announced that it sends no further request on its connection. */
  boolean closesAfterResponse() {
    return closeAfterResponse;
  }

  /** Identifies the tenant by its API key; false if the request was refused. */
  private boolean authenticate() {
    tenantsConfigured = true;
    binding.identifyTenant(CachedCopies.bearerKey(request.headers()));
    if (binding.tenant() != null || route.publicAccess) {
      return true;
    }
    finish();
    clientConnection.refuse(
        HttpResponseStatus.UNAUTHORIZED,
        "the API key is missing or unknown; send one Authorization header with Bearer and a valid key",
        null,
        closeAfterResponse);
    return false;
  }

  /** Checks that the request has at most one valid idempotency key; false if it was refused. */
  private boolean checkIdempotencyKey() {
    if (proxyContext.idempotentRequests == null) {
      return true;
    }
    final String rejection = IdempotencyKey.rejection(request.headers(), proxyContext.keyHeaders);
    if (rejection == null) {
      return true;
    }
    finish();
    clientConnection.refuse(HttpResponseStatus.BAD_REQUEST, rejection, null, closeAfterResponse);
    return false;
  }

  private RoutingTable.Service service() {
    return binding.service();
  }

  /** The tenant's name; null if the request has no tenant. */
  private String tenantName() {
    return binding.tenant() == null ? null : binding.tenant().name();
  }

  /**
   * Whether the control state is provably recent enough and still permits this request. If not, the
   * request ends as soon as none of its attempts is running.
   */
  private boolean checkConfiguration() {
    final boolean proofValid = proxyContext.controlProof.isValid(ProxyContext.now());
    if (proofValid && binding.revalidate(proxyContext.routingTable)) {
      return true;
    }
    if (completed || runningCount() > 0) {
      return false;
    }
    if (lastResponse != null || outcomeUncertain) {
      conclude();
    } else if (!proofValid) {
      refuse(RefusalCounts.Reason.UNPROVED, STALE_CONTROL_STATE);
    } else if (binding.status() == RouteBinding.Status.KEY_UNKNOWN) {
      finish();
      clientConnection.refuse(
          HttpResponseStatus.UNAUTHORIZED, binding.status().reason(), null, closeAfterResponse);
    } else {
      refuse(RefusalCounts.Reason.CONFIGURATION_CHANGED, binding.status().reason());
    }
    return false;
  }

  /**
   * Handles the response of a cache daemon; status 0 means that no cache daemon could serve the
   * object.
   */
  private void onCacheResponse(final CacheMessages.CacheReadResponse cacheResponse) {
    if (completed || !checkConfiguration()) {
      return;
    }
    if (binding.hasHomeRegions()) {
      acquireOriginPermit();
      return;
    }
    if (cacheResponse.status == 503) {
      refuse("the origin's rate limit is reached; retry", retryAfter());
      return;
    }
    final FullHttpResponse response =
        cacheResponse.status == 0 ? null : CachedCopies.response(request, cacheResponse);
    if (response == null) {
      acquireOriginPermit();
    } else {
      deliver(response);
    }
  }

  /**
   * Requests the tenant's rate limit permit, which is required before an upstream may run the
   * request.
   */
  private void acquireTenantPermit() {
    final RoutingTable.Tenant tenant = binding.tenant();
    if (proxyContext.permitPool == null
        || tenant == null
        || tenant.ratePerSecond() <= 0 && !proxyContext.strictRevocation) {
      claimKeyAndDispatch();
      return;
    }
    proxyContext.permitPool.acquire(
        RateLimit.TENANT.permitName(tenant.name()), 1, this::onTenantPermit, ProxyContext.now());
  }

  /** Handles the answer to the request for the tenant's first permit. */
  private void onTenantPermit(final int granted, final long version, final long confirmedAt) {
    if (completed) {
      return;
    }
    if (proxyContext.strictRevocation
        && (arrivedAt - confirmedAt > proxyContext.revokeMillis - REVOCATION_MARGIN_MILLIS
            || version > proxyContext.routingTable.version())) {
      refuse("this proxy cannot confirm now that the API key is still valid; retry", retryAfter());
    } else if (!checkConfiguration()) {
      return;
    } else if (binding.tenant() == null) {
      claimKeyAndDispatch();
    } else if (granted < 1 && rateLimited() && confirmedAt == PermitPool.UNANSWERED) {
      refuse("the tenant's quota cannot be checked now; retry", retryAfter());
    } else if (granted < 1) {
      proxyContext.refused++;
      proxyContext.tenantCounts.countRefusal(tenantName());
      finish();
      clientConnection.refuse(
          HttpResponseStatus.TOO_MANY_REQUESTS,
          "the tenant's quota is used up; retry",
          retryAfter(),
          closeAfterResponse);
    } else {
      heldPermits += granted;
      claimKeyAndDispatch();
    }
  }

  /** Whether each execution of this request counts towards its tenant's rate limit. */
  private boolean rateLimited() {
    return proxyContext.permitPool != null
        && binding.tenant() != null
        && binding.tenant().ratePerSecond() > 0;
  }

  /** Requests one more permit, which a request that may have run needs before a retry. */
  private void acquireRetryPermit(final Runnable onGranted, final Runnable onDenied) {
    proxyContext.permitPool.acquire(
        RateLimit.TENANT.permitName(tenantName()),
        1,
        (count, version, confirmedAt) -> {
          if (completed) {
            return;
          }
          heldPermits += count;
          (count > 0 ? onGranted : onDenied).run();
        },
        ProxyContext.now());
  }

  /** Sends the request, after claiming its idempotency key if it has one. */
  private void claimKeyAndDispatch() {
    final IdempotencyKey idempotencyKey = idempotencyKey();
    if (idempotencyKey == null) {
      if (route.keyed && proxyContext.idempotentRequests != null) {
        reportMissingKey();
      }
      dispatch();
      return;
    }
    deadline = Math.min(deadline, arrivedAt + MAX_KEYED_MILLIS);
    proxyContext.idempotentRequests.begin(
        idempotencyKey, deadline, binding.homeRegions(), new KeyListener(), ProxyContext.now());
  }

  private void reportMissingKey() {
    proxyContext.idempotentRequests.recordWithoutKey();
    LOGGER.atWarning().atMostEvery(MISSING_KEY_LOG_SECONDS, TimeUnit.SECONDS).log(
        "request without an idempotency key on a keyed route: attempt %s route %s; none of the"
            + " headers %s is present, so a repeat of it can run again",
        request.headers().get(Headers.ATTEMPT_ID), route.name, proxyContext.keyHeaders);
  }

  private IdempotencyKey idempotencyKey() {
    return route.kind.repeatable() || proxyContext.idempotentRequests == null
        ? null
        : IdempotencyKey.of(request, body, proxyContext.keyHeaders, tenantName());
  }

  private final class KeyListener implements IdempotentRequests.Listener {
    @Override
    public void granted(final IdempotentRequest claimed) {
      if (completed) {
        proxyContext.idempotentRequests.neverRan(claimed, ProxyContext.now());
        return;
      }
      idempotentRequest = claimed;
      dispatch();
    }

    @Override
    public void duplicate(final KeyMessages.OutcomeResponse original) {
      if (!completed) {
        respondToDuplicate(original);
      }
    }

    @Override
    public void unavailable() {
      if (!completed) {
        refuse(
            "the registry cannot confirm now that the idempotency key is unused; retry",
            retryAfter());
      }
    }
  }

  /** Responds to a request whose idempotency key belongs to another request. */
  private void respondToDuplicate(final KeyMessages.OutcomeResponse original) {
    if (original.outcome() == KeyMessages.Outcome.ANSWERED) {
      deliver(CachedCopies.duplicateResponse(request, original));
      return;
    }
    LOGGER.atInfo().log(
        "idempotency key conflict: attempt %s tenant %s route %s outcome %s",
        request.headers().get(Headers.ATTEMPT_ID), tenantName(), route.name, original.outcome());
    final String text =
        switch (original.outcome()) {
          case KEY_REUSED -> "the key was used for another request; use a new key";
          case IN_PROGRESS -> "a request with this key is still in progress; retry later";
          default ->
              "a request with this key may have run; check its outcome before sending it with a new key";
        };
    proxyContext.refused++;
    finish();
    clientConnection.refuse(HttpResponseStatus.CONFLICT, text, null, closeAfterResponse);
  }

  private void dispatch() {
    if (partitionKey != null) {
      sendToKeyOwner();
      return;
    }
    if (affinity != null) {
      sendWithAffinity();
      return;
    }
    sendAttempt(false);
    refuseUnsent();
  }

  /**
   * Sends a request of a partitioned service to the owner of its key. If no upstream owns the key,
   * or its owner is full, the request polls for a short time and is then refused.
   */
  private void sendToKeyOwner() {
    if (completed) {
      return;
    }
    final long now = ProxyContext.now();
    if (now >= deadline) {
      onDeadline();
      return;
    }
    if (!checkConfiguration()) {
      return;
    }
    final UpstreamPool.Choice choice = chooseKeyOwner(now);
    if (choice == UpstreamPool.Choice.CHOSEN) {
      if (attemptCount > 0 && !proxyContext.upstreamPool.tryRetry(service().name(), now)) {
        conclude();
        return;
      }
      transmit(proxyContext.upstreamPool.chosen(), now);
    } else if (choice == UpstreamPool.Choice.OUTSIDE_HOMES) {
      concludeOutsideHomeRegions(RefusalCounts.Reason.HOLDER_OUTSIDE_HOMES);
    } else if (partitionKey.mayWait(arrivedAt, route, now) && clientConnection.isActive()) {
      partitionKey.countWait(proxyContext.keyOwners);
      proxyContext.loop.schedule(
          this::sendToKeyOwner, PartitionedRequestKey.OWNER_POLL_MILLIS, TimeUnit.MILLISECONDS);
    } else {
      conclude();
    }
  }

  private UpstreamPool.Choice chooseKeyOwner(final long now) {
    final OwnershipMessages.KeyRange range =
        proxyContext.keyOwners.range(service().name(), partitionKey.key());
    return range == null || !range.held()
        ? UpstreamPool.Choice.NONE
        : proxyContext.upstreamPool.chooseKeyOwner(binding, range.holder, now);
  }

  /** Continues after an attempt at the key's owner that produced no response for the client. */
  private void continueAtKeyOwner() {
    if (completed || runningCount() > 0) {
      return;
    }
    final long now = ProxyContext.now();
    final boolean mayRetry =
        RetryPolicy.mayRetry(route, outcomeUncertain)
            && !singleAttempt
            && attemptCount < PartitionedRequestKey.MAX_SENDS
            && RetryPolicy.allowsAttempt(route, attemptCount, now, deadline)
            && partitionKey.mayTryAgain();
    if (!mayRetry) {
      conclude();
    } else if (rateLimited() && heldPermits < 1) {
      acquireRetryPermit(this::sendToKeyOwner, this::conclude);
    } else {
      proxyContext.loop.schedule(
          this::sendToKeyOwner, PartitionedRequestKey.RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Sends a write with caller affinity to its caller's node; waits briefly while the node cannot
   * take it, then refuses.
   */
  private void sendWithAffinity() {
    if (completed) {
      return;
    }
    if (ProxyContext.now() >= deadline) {
      onDeadline();
      return;
    }
    if (!checkConfiguration()) {
      return;
    }
    final WriteDecision decision = trySendWithAffinity();
    if (decision == WriteDecision.GO) {
      proxyContext.affinity.recordDecision(decision);
      return;
    }
    final long waitedMillis = ProxyContext.now() - arrivedAt;
    if (decision.isTransient()
        && waitedMillis < proxyContext.affinityWaitMillis
        && clientConnection.isActive()) {
      proxyContext.loop.schedule(
          this::sendWithAffinity,
          Math.min(AFFINITY_RETRY_MILLIS, proxyContext.affinityWaitMillis - waitedMillis),
          TimeUnit.MILLISECONDS);
      return;
    }
    refuseAffinity(decision);
  }

  private void refuseAffinity(final WriteDecision decision) {
    if (completed) {
      return;
    }
    if (proxyContext.affinity != null) {
      proxyContext.affinity.recordDecision(decision);
    }
    if (decision == WriteDecision.OUTSIDE_HOMES) {
      refuse(RefusalCounts.Reason.OUTSIDE_HOMES, decision.reason());
    } else {
      refuse(decision.reason(), retryAfter());
    }
  }

  /**
   * Attempts to send a write with caller affinity; returns {@code GO} if it was sent, otherwise the
   * reason.
   */
  private WriteDecision trySendWithAffinity() {
    if (proxyContext.affinity == null) {
      return WriteDecision.NO_PLACEMENT;
    }
    final long now = ProxyContext.now();
    final Predicate<PlacementMessages.PlacementMember> inHomeRegions =
        member -> binding.allowsRegion(proxyContext.upstreamPool.regionOf(member.site));
    final WriteDecision decision =
        proxyContext.affinity.decide(service().name(), affinityCaller, inHomeRegions, now);
    if (decision != WriteDecision.GO) {
      return decision == WriteDecision.NO_NODE && binding.hasHomeRegions()
          ? WriteDecision.OUTSIDE_HOMES
          : decision;
    }
    final String nodeId = proxyContext.affinity.chosenNode().id;
    final UpstreamPool.Choice choice =
        proxyContext.upstreamPool.choosePinned(binding, nodeId, affinity.pauseMillis(), now);
    if (choice != UpstreamPool.Choice.CHOSEN) {
      return choice == UpstreamPool.Choice.FULL ? WriteDecision.FULL : WriteDecision.LEAVING;
    }
    pendingWrite =
        proxyContext.affinity.beginWrite(
            service().name(), affinityCaller, nodeId, inHomeRegions, deadline);
    transmit(proxyContext.upstreamPool.chosen(), now);
    return WriteDecision.GO;
  }

  /** Requests the origin's permit if the service has a rate limit. */
  private void acquireOriginPermit() {
    if (proxyContext.permitPool == null || service().ratePerSecond() <= 0) {
      acquireTenantPermit();
      return;
    }
    proxyContext.permitPool.acquire(
        RateLimit.ORIGIN.permitName(service().name()),
        1,
        (granted, version, confirmedAt) -> {
          if (completed) {
            return;
          }
          if (granted < 1) {
            refuse("the origin's rate limit is reached; retry", retryAfter());
          } else {
            singleAttempt = true;
            acquireTenantPermit();
          }
        },
        ProxyContext.now());
  }

  /** Refuses at once a request that no upstream could accept. */
  private void refuseUnsent() {
    if (!completed && attemptCount == 0 && runningCount() == 0) {
      if (onlyOutsideHomeRegions) {
        concludeOutsideHomeRegions(RefusalCounts.Reason.OUTSIDE_HOMES);
      } else {
        refuse("no eligible upstream can accept this request now; retry", retryAfter());
      }
    }
  }

  /** Ends a request for which no upstream in its home regions is eligible. */
  private void concludeOutsideHomeRegions(final RefusalCounts.Reason reason) {
    if (completed || runningCount() > 0) {
      return;
    }
    if (lastResponse != null || outcomeUncertain) {
      conclude();
    } else {
      refuse(reason, "no upstream in the request's home regions can accept it now; retry");
    }
  }

  private boolean sendAttempt(final boolean retry) {
    return sendAttempt(retry, false);
  }

  private boolean sendAttempt(final boolean retry, final boolean hedged) {
    final long now = ProxyContext.now();
    if (now >= deadline
        || retry
            && (singleAttempt || !RetryPolicy.allowsAttempt(route, attemptCount, now, deadline))) {
      return false;
    }
    if (!checkConfiguration()) {
      return false;
    }
    final UpstreamPool.Choice choice = proxyContext.upstreamPool.choose(binding, tried, now);
    onlyOutsideHomeRegions = choice == UpstreamPool.Choice.OUTSIDE_HOMES;
    if (choice != UpstreamPool.Choice.CHOSEN) {
      return false;
    }
    if (hedged && !proxyContext.upstreamPool.chosenHasFreeSlot(now)
        || attemptCount > 0 && !proxyContext.upstreamPool.tryRetry(service().name(), now)) {
      return false;
    }
    return transmit(proxyContext.upstreamPool.chosen(), now);
  }

  private boolean transmit(final Upstream upstream, final long now) {
    if (proxyContext.uncertainWrites != null
        && !route.kind.repeatable()
        && !proxyContext.uncertainWrites.tryBegin(request.headers().get(Headers.ATTEMPT_ID))) {
      fail(
          HttpResponseStatus.BAD_GATEWAY,
          "this write was sent before and may have run; check its outcome before sending it again");
      return true;
    }
    KEY_CLAIMED.check(
        idempotentRequest != null ? idempotentRequest.inProgress() : idempotencyKey() == null,
        () -> "attempt " + request.headers().get(Headers.ATTEMPT_ID) + ", " + idempotentRequest);
    if (rateLimited()) {
      PERMIT_HELD.check(
          heldPermits > 0, () -> "tenant " + tenantName() + ", attempt " + (attemptCount + 1));
      heldPermits--;
      proxyContext.tenantCounts.countSend(tenantName());
    }
    tried.add(upstream);
    attemptCount++;
    possiblyRunCount++;
    if (attemptCount > 1) {
      proxyContext.retries++;
    }
    final FullHttpRequest forwardedRequest =
        ForwardedMessages.request(request, body, upstream.id(), deadline - now);
    if (tenantsConfigured) {
      ForwardedMessages.replaceCredentials(forwardedRequest, binding.tenant());
    }
    final String attemptId = request.headers().get(Headers.ATTEMPT_ID);
    if (inTrial && attemptId != null) {
      proxyContext.trials.recordSent(route.name, service().name(), attemptId);
    }
    final int recordIndex =
        pendingRecord == null ? -1 : pendingRecord.attemptSent(upstream.id(), now);
    final UpstreamPool.Attempt[] startedAttempt = new UpstreamPool.Attempt[1];
    final boolean[] alreadyEnded = new boolean[1];
    startedAttempt[0] =
        proxyContext.upstreamPool.send(
            upstream,
            binding,
            forwardedRequest,
            attemptId,
            attempts,
            now,
            Math.min(deadline, proxyContext.controlProof.validUntil(now)),
            (end, head, content) -> {
              alreadyEnded[0] = true;
              final AttemptOutcome outcome = AttemptOutcome.ofIdentifiedResponse(end, head);
              if (outcome == AttemptOutcome.NOT_RUN) {
                heldPermits++;
              }
              if (partitionKey != null) {
                partitionKey.attemptEnded(
                    proxyContext.keyOwners,
                    service().name(),
                    outcome,
                    head,
                    ProxyContext.now() - now);
              }
              if (pendingWrite != null && end != UpstreamConnection.CompletionStatus.UNCERTAIN) {
                pendingWrite.markEnded();
                proxyContext.affinity.tick(ProxyContext.now());
              }
              if (pendingRecord != null) {
                pendingRecord.attemptEnded(recordIndex, end, head, ProxyContext.now());
              }
              if (proxyContext.uncertainWrites != null
                  && !route.kind.repeatable()
                  && attemptId != null) {
                if (outcome == AttemptOutcome.NOT_RUN) {
                  proxyContext.uncertainWrites.recordNotExecuted(attemptId);
                } else {
                  proxyContext.uncertainWrites.recordExecuted(
                      attemptId, outcome == AttemptOutcome.ANSWERED, ProxyContext.now());
                }
              }
              reportToTrial(
                  outcome == AttemptOutcome.NOT_RUN
                      ? TrialTracker.WriteOutcome.NOT_EXECUTED
                      : outcome == AttemptOutcome.UNCERTAIN
                          ? TrialTracker.WriteOutcome.LOST
                          : TrialTracker.WriteOutcome.CONFIRMED);
              onAttemptEnded(end, outcome, head, content);
            });
    if (!alreadyEnded[0]) {
      attempts.add(startedAttempt[0]);
    }
    if (!completed
        && !singleAttempt
        && partitionKey == null
        && hedgeTimer == null
        && RetryPolicy.mayHedge(route, attemptCount)) {
      hedgeTimer =
          proxyContext.loop.schedule(
              this::hedge, RetryPolicy.hedgeDelayMillis(route), TimeUnit.MILLISECONDS);
    }
    return true;
  }

  private void reportToTrial(final TrialTracker.WriteOutcome outcome) {
    final String attemptId = request.headers().get(Headers.ATTEMPT_ID);
    if (inTrial && attemptId != null && !completed) {
      proxyContext.trials.recordEnded(
          route.name,
          service().name(),
          attemptId,
          outcome,
          ProxyContext.now() - arrivedAt,
          route.targetLatencyMillis);
    }
  }

  private void hedge() {
    if (completed || runningCount() != 1 || !clientConnection.isActive()) {
      return;
    }
    if (rateLimited() && heldPermits < 1) {
      acquireRetryPermit(this::sendHedgedAttempt, () -> {});
    } else {
      sendHedgedAttempt();
    }
  }

  private void sendHedgedAttempt() {
    if (runningCount() == 1 && clientConnection.isActive()) {
      sendAttempt(true, true);
    }
  }

  private int runningCount() {
    int count = 0;
    for (final UpstreamPool.Attempt attempt : attempts) {
      count += attempt.isRunning() ? 1 : 0;
    }
    return count;
  }

  private void onAttemptEnded(
      final UpstreamConnection.CompletionStatus end,
      final AttemptOutcome outcome,
      final HttpResponse head,
      final ByteBuf content) {
    if (outcome == AttemptOutcome.NOT_RUN) {
      possiblyRunCount--;
    }
    if (completed) {
      endAfterDisconnect(outcome, head, content);
      return;
    }
    if (end == UpstreamConnection.CompletionStatus.UNSENT) {
      attemptCount--;
      if (affinity != null && ++affinitySendFailures > MAX_AFFINITY_SEND_FAILURES) {
        refuseAffinity(WriteDecision.DECLINED);
        return;
      }
      continueAfterAttempt();
      return;
    }
    if (outcome == AttemptOutcome.NOT_RUN) {
      releaseContent(content);
      continueAfterAttempt();
      return;
    }
    if (outcome == AttemptOutcome.UNCERTAIN || !ForwardedMessages.mayForward(head, route)) {
      releaseContent(content);
      outcomeUncertain = true;
      continueAfterAttempt();
      return;
    }
    if (head.status().code() >= 500 && route.kind.repeatable()) {
      keepResponse(head, content);
      continueAfterAttempt();
      return;
    }
    deliver(ForwardedMessages.response(request, head, content));
  }

  private void keepResponse(final HttpResponse head, final ByteBuf content) {
    if (lastResponse != null) {
      lastResponse.release();
    }
    lastResponse = ForwardedMessages.response(request, head, content);
  }

  private static void releaseContent(final ByteBuf content) {
    if (content != null) {
      content.release();
    }
  }

  /** Continues after an attempt that produced no response for the client. */
  private void continueAfterAttempt() {
    if (partitionKey != null) {
      continueAtKeyOwner();
      return;
    }
    if (affinity != null && !outcomeUncertain && lastResponse == null && runningCount() == 0) {
      if (attemptCount == 0) {
        sendWithAffinity();
      } else {
        refuseAffinity(WriteDecision.DECLINED);
      }
      return;
    }
    if (affinity != null) {
      fail(
          HttpResponseStatus.BAD_GATEWAY,
          "the upstream gave no valid response; the request may have run");
      return;
    }
    if (!RetryPolicy.mayRetry(route, outcomeUncertain)) {
      conclude();
    } else if (rateLimited() && heldPermits < 1 && retryFits()) {
      acquireRetryPermit(this::sendRetry, this::conclude);
    } else {
      sendRetry();
    }
  }

  private boolean retryFits() {
    return !singleAttempt
        && !completed
        && RetryPolicy.allowsAttempt(route, attemptCount, ProxyContext.now(), deadline);
  }

  private void sendRetry() {
    if (!sendAttempt(true)) {
      if (onlyOutsideHomeRegions) {
        concludeOutsideHomeRegions(RefusalCounts.Reason.OUTSIDE_HOMES);
      } else {
        conclude();
      }
    }
  }

  /** Ends a request that is not retried, unless an attempt is still running. */
  private void conclude() {
    if (completed || runningCount() > 0) {
      return;
    }
    if (lastResponse != null) {
      final FullHttpResponse response = lastResponse;
      lastResponse = null;
      deliver(response);
    } else if (outcomeUncertain) {
      fail(
          HttpResponseStatus.BAD_GATEWAY,
          "the upstream gave no valid response; the request may have run");
    } else {
      refuse("every eligible upstream is at its limit; retry", retryAfter());
    }
  }

  private String retryAfter() {
    return String.format(
        java.util.Locale.ROOT, "%.2f", 0.1 + 0.25 * proxyContext.random.nextDouble());
  }

  /**
   * Handles an upstream's response that arrived after the request had ended. Its content is
   * released here, or with the response that is stored for duplicates.
   */
  private void endAfterDisconnect(
      final AttemptOutcome outcome, final HttpResponse head, final ByteBuf content) {
    if (idempotentRequest == null) {
      releaseContent(content);
    } else if (outcome == AttemptOutcome.ANSWERED && ForwardedMessages.mayForward(head, route)) {
      final FullHttpResponse response = ForwardedMessages.response(request, head, content);
      storeForDuplicates(response);
      response.release();
    } else {
      releaseContent(content);
      settleKey();
    }
  }

  /**
   * Copies a response for later requests with the same idempotency key; the buffer is not retained.
   */
  private void storeForDuplicates(final FullHttpResponse response) {
    if (idempotentRequest != null) {
      final byte[] bytes = new byte[response.content().readableBytes()];
      response.content().getBytes(response.content().readerIndex(), bytes);
      proxyContext.idempotentRequests.storeResponse(
          idempotentRequest,
          response.status().code(),
          CachedCopies.headerList(response.headers()),
          bytes,
          ProxyContext.now());
    }
  }

  /**
   * Reports the outcome of the request that owns the idempotency key, unless an attempt is running.
   */
  private void settleKey() {
    if (idempotentRequest == null || !idempotentRequest.inProgress()) {
      return;
    }
    if (possiblyRunCount == 0) {
      proxyContext.idempotentRequests.neverRan(idempotentRequest, ProxyContext.now());
    } else if (runningCount() == 0) {
      proxyContext.idempotentRequests.uncertain(idempotentRequest);
    }
  }

  private void deliver(final FullHttpResponse response) {
    proxyContext.served++;
    storeForDuplicates(response);
    if (pendingRecord != null) {
      pendingRecord.status(response.status().code());
    }
    if (!proxyContext.trials.hasNoTrials() && route.kind.repeatable()) {
      proxyContext.trials.recordOtherRequest(service().name(), response.status().code() < 500);
    }
    finish();
    clientConnection.respond(response, closeAfterResponse);
  }

  private void fail(final HttpResponseStatus status, final String text) {
    proxyContext.failed++;
    finish();
    clientConnection.refuse(status, text, null, closeAfterResponse);
  }

  /**
   * Refuses because of the configuration in force, promising that the request never runs where that
   * is known.
   */
  private void refuse(final RefusalCounts.Reason reason, final String text) {
    proxyContext.refusalCounts.count(reason);
    refuse(text, retryAfter());
  }

  /**
   * Refuses with status 503, which promises that the request has not run and never will. If an
   * attempt of a non-repeatable request may have run, it fails with 502 instead, without that
   * promise.
   */
  private void refuse(final String text, final String retryAfter) {
    if (possiblyRunCount > 0 && !route.kind.repeatable()) {
      fail(
          HttpResponseStatus.BAD_GATEWAY,
          "the upstream gave no valid response; the request may have run");
      return;
    }
    proxyContext.refused++;
    proxyContext.writesRefused += route == null || route.kind.repeatable() ? 0 : 1;
    finish();
    clientConnection.refuse(
        HttpResponseStatus.SERVICE_UNAVAILABLE, text, retryAfter, closeAfterResponse);
  }

  private void onDeadline() {
    if (completed) {
      return;
    }
    abandonUnwritten();
    if (lastResponse != null) {
      final FullHttpResponse response = lastResponse;
      lastResponse = null;
      deliver(response);
    } else if (outcomeUncertain || runningCount() > 0) {
      if (runningCount() > 0) {
        reportToTrial(TrialTracker.WriteOutcome.LOST);
        if (proxyContext.uncertainWrites != null && !route.kind.repeatable()) {
          proxyContext.uncertainWrites.recordExecuted(
              request.headers().get(Headers.ATTEMPT_ID), false, ProxyContext.now());
        }
      }
      fail(
          HttpResponseStatus.GATEWAY_TIMEOUT,
          "the upstream did not respond before the deadline; the request may have run");
    } else {
      refuse("no upstream could accept this request before the deadline; retry", retryAfter());
    }
  }

  /** Abandons the attempts of which no byte has been written; they never run. */
  private void abandonUnwritten() {
    for (final UpstreamPool.Attempt attempt : attempts) {
      if (attempt.isUnwritten()) {
        attempt.cancel();
        possiblyRunCount--;
        if (pendingWrite != null) {
          pendingWrite.markEnded();
        }
        if (proxyContext.uncertainWrites != null && !route.kind.repeatable()) {
          proxyContext.uncertainWrites.recordNotExecuted(request.headers().get(Headers.ATTEMPT_ID));
        }
      }
    }
  }

  /**
   * Handles the end of the client's connection: a repeatable request is dropped; any other keeps
   * running until its deadline, without a recipient for its response.
   */
  void onClientDisconnected() {
    if (completed) {
      return;
    }
    if (route == null || route.kind.repeatable()) {
      finish();
      return;
    }
    abandonUnwritten();
    completed = true;
    releaseResources();
    if (runningCount() > 0) {
      proxyContext.loop.schedule(
          this::abandonAfterDisconnect,
          Math.max(0, deadline - ProxyContext.now()),
          TimeUnit.MILLISECONDS);
    }
  }

  private void abandonAfterDisconnect() {
    if (runningCount() > 0 && proxyContext.uncertainWrites != null) {
      proxyContext.uncertainWrites.recordExecuted(
          request.headers().get(Headers.ATTEMPT_ID), false, ProxyContext.now());
    }
    for (final UpstreamPool.Attempt attempt : attempts) {
      attempt.cancel();
    }
    settleKey();
  }

  private void releaseResources() {
    settleKey();
    if (pendingRecord != null) {
      proxyContext.recorder.finish(pendingRecord, ProxyContext.now());
      pendingRecord = null;
    }
    if (deadlineTimer != null) {
      deadlineTimer.cancel(false);
    }
    if (hedgeTimer != null) {
      hedgeTimer.cancel(false);
    }
    if (lastResponse != null) {
      lastResponse.release();
      lastResponse = null;
    }
    body.release();
  }

  private void finish() {
    if (completed) {
      return;
    }
    completed = true;
    for (final UpstreamPool.Attempt attempt : attempts) {
      attempt.cancel();
    }
    releaseResources();
  }
}
