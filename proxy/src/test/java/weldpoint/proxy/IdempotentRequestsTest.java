package weldpoint.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import weldpoint.transport.KeyMessages.Claim;
import weldpoint.transport.KeyMessages.ClaimRelease;
import weldpoint.transport.KeyMessages.ClaimRequest;
import weldpoint.transport.KeyMessages.ClaimResponse;
import weldpoint.transport.KeyMessages.ClaimResult;
import weldpoint.transport.KeyMessages.Outcome;
import weldpoint.transport.KeyMessages.OutcomeFound;
import weldpoint.transport.KeyMessages.OutcomeLookup;
import weldpoint.transport.KeyMessages.OutcomeReport;
import weldpoint.transport.KeyMessages.OutcomeResponse;
import weldpoint.transport.KeyMessages.OutcomeStored;
import weldpoint.transport.Message;

/**
 * Requests with idempotency keys at a proxy, for all answers and failures of the registry and of
 * other proxies.
 */
public final class IdempotentRequestsTest implements IdempotentRequests.Environment {
  private static final long WINDOW = 60_000;
  private static final IdempotencyKey KEY = new IdempotencyKey(1, 2, 3);

  private final List<Message> sent = new ArrayList<>();
  private final List<Claim> queriedOwners = new ArrayList<>();
  private final List<Consumer<OutcomeResponse>> queryCallbacks = new ArrayList<>();
  private final List<Runnable> scheduledTasks = new ArrayList<>();
  private boolean stream;
  private String registryRegion;
  private IdempotentRequests idempotentRequests;
  private long now;

  @BeforeMethod
  public void createRequests() {
    sent.clear();
    queriedOwners.clear();
    queryCallbacks.clear();
    scheduledTasks.clear();
    stream = true;
    registryRegion = "north";
    now = ProxyContext.now();
    idempotentRequests = new IdempotentRequests("10.0.0.1", 77, WINDOW, this);
  }

  @Override
  public boolean sendToRegistry(final Message message) {
    if (stream) {
      sent.add(message);
    }
    return stream;
  }

  @Override
  public boolean sendToRegistryWithin(final Message message, final List<String> regions) {
    return regions.isEmpty() || regions.contains(registryRegion) ? sendToRegistry(message) : false;
  }

  @Override
  public void queryOutcome(
      final Claim holder,
      final long fingerprint,
      final long waitMillis,
      final Consumer<OutcomeResponse> callback) {
    queriedOwners.add(holder);
    queryCallbacks.add(callback);
  }

  @Override
  public void schedule(final Runnable task, final long millis) {
    scheduledTasks.add(task);
  }

  private static final class RecordingListener implements IdempotentRequests.Listener {
    IdempotentRequest run;
    OutcomeResponse original;
    int unavailable;

    @Override
    public void granted(final IdempotentRequest given) {
      run = given;
    }

    @Override
    public void duplicate(final OutcomeResponse given) {
      original = given;
    }

    @Override
    public void unavailable() {
      unavailable++;
    }
  }

  private RecordingListener begin(final IdempotencyKey key) {
    final RecordingListener heard = new RecordingListener();
    idempotentRequests.begin(key, now + 2000, List.of("north"), heard, now);
    return heard;
  }

  private Claim lastClaim() {
    return ((ClaimRequest) sent.get(sent.size() - 1)).claim;
  }

  private void answer(final Claim claim, final ClaimResult result, final Claim holder) {
    idempotentRequests.claimAnswered(new ClaimResponse(claim.number, result, holder), now);
  }

  private <T extends Message> List<T> sentOf(final Class<T> type) {
    return sent.stream().filter(type::isInstance).map(type::cast).toList();
  }

  private RecordingListener granted() {
    final RecordingListener heard = begin(KEY);
    answer(lastClaim(), ClaimResult.GRANTED, null);
    return heard;
  }

  private static Claim foreign() {
    return new Claim(1, 2, "10.0.0.9", 5, 6, WINDOW);
  }

  @Test
  public void claimIsKeptForTheWindowPastTheDeadline() {
    begin(KEY);
    assertTrue(lastClaim().keepMillis > WINDOW + 2000, "" + lastClaim().keepMillis);
  }

  @Test
  public void duplicateOnTheSameProxyGetsTheStoredResponse() {
    final RecordingListener first = granted();
    final RecordingListener early = begin(KEY);
    assertEquals(early.original.outcome(), Outcome.IN_PROGRESS);
    idempotentRequests.storeResponse(first.run, 200, List.of("a", "b"), new byte[] {7}, now);
    for (final RecordingListener repeat : List.of(begin(KEY), begin(KEY))) {
      assertEquals(repeat.original.outcome(), Outcome.ANSWERED);
      assertEquals(repeat.original.body, new byte[] {7});
    }
    assertEquals(sentOf(ClaimRequest.class).size(), 1, "one claim");
    assertEquals(early.original.outcome(), Outcome.IN_PROGRESS, "the decision is made once");
    final RecordingListener other = begin(new IdempotencyKey(1, 2, 4));
    assertEquals(other.original.outcome(), Outcome.KEY_REUSED);
  }

  @Test
  public void keyOfRequestThatNeverRanIsReleasedAndClaimedAgain() {
    final RecordingListener first = granted();
    idempotentRequests.neverRan(first.run, now);
    assertTrue(sent.get(1) instanceof ClaimRelease);
    final RecordingListener next = begin(KEY);
    assertNull(next.original);
    assertNotEquals(lastClaim().number, first.run.claim().number);
    answer(lastClaim(), ClaimResult.HELD, first.run.claim());
    assertNull(next.original, "a voter that has not heard the release is asked again");
    scheduledTasks.get(0).run();
    answer(lastClaim(), ClaimResult.GRANTED, null);
    assertTrue(next.run != null && next.run.inProgress());
  }

  @Test
  public void lateGrantIsReleased() {
    final RecordingListener slow = begin(KEY);
    final Claim claim = lastClaim();
    idempotentRequests.expire(false, now + IdempotentRequests.CLAIM_TIMEOUT_MILLIS + 1);
    assertEquals(slow.unavailable, 1);
    assertEquals(((ClaimRelease) sent.get(1)).claims.get(0).number, claim.number);
    answer(claim, ClaimResult.GRANTED, null);
    assertNull(slow.run, "the refusal promised that the request never runs");
    now += 5000;
    final RecordingListener past = new RecordingListener();
    idempotentRequests.begin(new IdempotencyKey(8, 8, 8), now - 1, List.of(), past, now);
    answer(lastClaim(), ClaimResult.GRANTED, null);
    assertNull(past.run);
    assertEquals(past.unavailable, 1);
  }

  @Test
  public void releasesAreSentOnceAStreamExists() {
    final RecordingListener first = granted();
    stream = false;
    assertEquals(begin(new IdempotencyKey(9, 9, 9)).unavailable, 1);
    idempotentRequests.neverRan(first.run, now);
    assertEquals(sent.size(), 1);
    stream = true;
    idempotentRequests.expire(false, now);
    assertTrue(sent.get(1) instanceof ClaimRelease);
  }

  @Test
  public void outcomeOfTheOwnerIsForwarded() {
    final RecordingListener repeat = begin(KEY);
    answer(lastClaim(), ClaimResult.HELD, foreign());
    assertEquals(queriedOwners.get(0).proxy, "10.0.0.9");
    queryCallbacks
        .get(0)
        .accept(new OutcomeResponse(Outcome.ANSWERED, 200, List.of(), new byte[0]));
    assertEquals(repeat.original.outcome(), Outcome.ANSWERED);
  }

  /** Guards against DENIED: the response was lost with the proxy that had received it. */
  @Test
  public void outcomeOfALostOwnerIsLookedUpAtTheRegistries() {
    final OutcomeResponse first =
        new OutcomeResponse(Outcome.ANSWERED, 200, List.of("a", "b"), new byte[] {7});
    final RecordingListener repeat = begin(KEY);
    answer(lastClaim(), ClaimResult.HELD, foreign());
    queryCallbacks.get(0).accept(new OutcomeResponse(Outcome.UNCERTAIN));
    assertNull(repeat.original);
    final OutcomeLookup lookup = sentOf(OutcomeLookup.class).get(0);
    assertTrue(lookup.claim.sameClaimant(foreign()));
    assertEquals(lookup.regions, List.of("north"));
    idempotentRequests.outcomeReplyReceived(new OutcomeFound(lookup.number, first));
    assertEquals(repeat.original.body, new byte[] {7});
    idempotentRequests.outcomeReplyReceived(
        new OutcomeFound(lookup.number, new OutcomeResponse(Outcome.UNCERTAIN)));
    assertEquals(repeat.original.outcome(), Outcome.ANSWERED, "the decision is made once");
  }

  @Test
  public void lookupEndsUncertainWithoutARegistryOrAnAnswer() {
    final RecordingListener unanswered = begin(KEY);
    answer(lastClaim(), ClaimResult.HELD, foreign());
    queryCallbacks.get(0).accept(new OutcomeResponse(Outcome.UNCERTAIN));
    idempotentRequests.expire(false, now + 1000);
    assertEquals(unanswered.original.outcome(), Outcome.UNCERTAIN);
    final RecordingListener alone = begin(new IdempotencyKey(4, 5, 6));
    answer(lastClaim(), ClaimResult.HELD, foreign());
    stream = false;
    queryCallbacks.get(1).accept(new OutcomeResponse(Outcome.UNCERTAIN));
    assertEquals(alone.original.outcome(), Outcome.UNCERTAIN);
  }

  @Test
  public void responseIsReportedUntilRegistriesHaveIt() {
    final RecordingListener first = granted();
    stream = false;
    idempotentRequests.storeResponse(first.run, 200, List.of("a", "b"), new byte[] {7}, now);
    assertEquals(sentOf(OutcomeReport.class), List.of());
    stream = true;
    idempotentRequests.expire(false, now + 600);
    idempotentRequests.expire(false, now + 1200);
    final List<OutcomeReport> reports = sentOf(OutcomeReport.class);
    assertEquals(reports.size(), 2);
    assertTrue(reports.get(0).outcome.claim.sameClaimant(first.run.claim()));
    assertTrue(reports.get(0).outcome.claim.keepMillis >= WINDOW, "kept for the window");
    assertEquals(reports.get(0).outcome.regions, List.of("north"));
    idempotentRequests.outcomeReplyReceived(new OutcomeStored(reports.get(0).number));
    idempotentRequests.expire(false, now + 1800);
    assertEquals(sentOf(OutcomeReport.class).size(), 2, "not sent again once it is stored");
  }

  /** Guards against HOME: a response passed through a registry outside of its home regions. */
  @Test
  public void responseIsSentOnlyThroughRegistriesInItsRegions() {
    final RecordingListener first = granted();
    registryRegion = "south";
    idempotentRequests.storeResponse(first.run, 200, List.of("a", "b"), new byte[] {7}, now);
    idempotentRequests.expire(false, now + 100);
    assertEquals(sentOf(OutcomeReport.class), List.of());
    final RecordingListener repeat = begin(new IdempotencyKey(4, 5, 6));
    answer(lastClaim(), ClaimResult.HELD, foreign());
    queryCallbacks.get(0).accept(new OutcomeResponse(Outcome.UNCERTAIN));
    assertEquals(sentOf(OutcomeLookup.class), List.of());
    assertEquals(repeat.original.outcome(), Outcome.UNCERTAIN);
    registryRegion = "north";
    idempotentRequests.expire(false, now + 200);
    assertEquals(sentOf(OutcomeReport.class).size(), 1, "sent once the stream is in its regions");
  }

  @Test
  public void claimsOfAnOwnerThatNeverRanAreLimited() {
    final RecordingListener repeat = begin(KEY);
    for (int tries = 0; tries < 4; tries++) {
      answer(lastClaim(), ClaimResult.HELD, foreign());
      queryCallbacks.get(tries).accept(new OutcomeResponse(Outcome.NEVER_RAN));
      if (tries < 3) {
        scheduledTasks.get(tries).run();
      }
    }
    assertEquals(repeat.unavailable, 1);
    assertEquals(scheduledTasks.size(), 3);
  }

  private Outcome queriedOutcome(final Claim claim, final long fingerprint) {
    final List<OutcomeResponse> heard = new ArrayList<>();
    idempotentRequests.queryOutcome(claim, fingerprint, heard::add);
    return heard.isEmpty() ? null : heard.get(0).outcome();
  }

  @Test
  public void otherProxiesGetOnlyKnownOutcomes() {
    final RecordingListener first = granted();
    final Claim claim = first.run.claim();
    assertEquals(queriedOutcome(claim, 3), Outcome.IN_PROGRESS, "answered at once");
    assertEquals(queriedOutcome(claim, 4), Outcome.KEY_REUSED);
    idempotentRequests.uncertain(first.run);
    assertEquals(queriedOutcome(claim, 3), Outcome.UNCERTAIN);
    final Claim earlierIncarnation = new Claim(1, 2, "10.0.0.1", 76, claim.number, WINDOW);
    assertEquals(
        queriedOutcome(earlierIncarnation, 3),
        Outcome.UNCERTAIN,
        "an earlier incarnation may have run it");
    final RecordingListener refused = begin(new IdempotencyKey(4, 4, 4));
    answer(lastClaim(), ClaimResult.UNKNOWN, null);
    assertEquals(refused.unavailable, 1);
    assertEquals(queriedOutcome(lastClaim(), 4), Outcome.NEVER_RAN);
  }

  @Test
  public void queryForPendingClaimWaitsUntilTheClaimIsDecided() {
    final RecordingListener first = begin(KEY);
    final Claim claim = lastClaim();
    final List<OutcomeResponse> heard = new ArrayList<>();
    idempotentRequests.queryOutcome(claim, 3, heard::add);
    scheduledTasks.get(0).run();
    assertEquals(heard, List.of(), "the claim is undecided");
    answer(claim, ClaimResult.GRANTED, null);
    scheduledTasks.get(1).run();
    assertEquals(heard.get(0).outcome(), Outcome.IN_PROGRESS);
    idempotentRequests.storeResponse(first.run, 200, List.of(), new byte[0], now);
    assertEquals(queriedOutcome(claim, 3), Outcome.ANSWERED);
    assertEquals(heard.size(), 1, "one answer to one query");
  }

  @Test
  public void storedResponsesAreEvictedButRequestsAreRemembered() {
    final List<IdempotentRequest> all = new ArrayList<>();
    for (int key = 0; key < 200; key++) {
      final RecordingListener heard = begin(new IdempotencyKey(key, key, key));
      answer(lastClaim(), ClaimResult.GRANTED, null);
      idempotentRequests.storeResponse(heard.run, 200, List.of(), new byte[60 << 10], now);
      all.add(heard.run);
    }
    assertEquals(all.get(0).outcome().outcome(), Outcome.UNCERTAIN);
    assertEquals(all.get(199).outcome().outcome(), Outcome.ANSWERED);
    final RecordingListener repeat = begin(new IdempotencyKey(0, 0, 0));
    assertNull(repeat.original, "the registries are asked");
    idempotentRequests.expire(false, now + 1000);
    assertEquals(repeat.original.outcome(), Outcome.UNCERTAIN);
    idempotentRequests.expire(false, now + 10 * WINDOW);
    assertTrue(
        idempotentRequests.metrics().stream()
            .filter(metric -> metric.name().equals("weldpoint_keyed_bytes"))
            .allMatch(metric -> metric.value() == 0));
  }

  private static IdempotencyKey key(final String header, final String value, final String tenant) {
    final HttpRequest request =
        new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/book/1");
    request.headers().set("Host", "h").set(header, value);
    final ByteBuf body = Unpooled.copiedBuffer("a booking", StandardCharsets.UTF_8);
    return IdempotencyKey.of(request, body, List.of("Idempotency-Key", "X-Key"), tenant);
  }

  @Test
  public void keyBelongsToTheTenantAndMayBeInAnyConfiguredHeader() {
    assertNull(key("Other", "k", "t"));
    assertNull(key("Idempotency-Key", "", "t"));
    final IdempotencyKey one = key("Idempotency-Key", "k", "t");
    assertEquals(key("x-key", "k", "t").high(), one.high());
    assertNotEquals(key("Idempotency-Key", "k", "u").high(), one.high());
    assertNotEquals(key("Idempotency-Key", "k", null).high(), one.high());
    assertEquals(key("Idempotency-Key", "other", "t").fingerprint(), one.fingerprint());
  }
}
