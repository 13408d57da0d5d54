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
import weldpoint.transport.KeyMessages.OutcomeResponse;
import weldpoint.transport.Message;

/** What a proxy does with keyed requests, whatever the registry and other proxies say or don't. */
public final class IdempotentRequestsTest implements IdempotentRequests.Environment {
  private static final long WINDOW = 60_000;
  private static final IdempotencyKey KEY = new IdempotencyKey(1, 2, 3);

  private final List<Message> sent = new ArrayList<>();
  private final List<Claim> askedOf = new ArrayList<>();
  private final List<Consumer<OutcomeResponse>> asked = new ArrayList<>();
  private final List<Runnable> later = new ArrayList<>();
  private boolean stream;
  private IdempotentRequests runs;
  private long now;

  @BeforeMethod
  public void open() {
    sent.clear();
    askedOf.clear();
    asked.clear();
    later.clear();
    stream = true;
    now = ProxyContext.now();
    runs = new IdempotentRequests("10.0.0.1", 77, WINDOW, this);
  }

  @Override
  public boolean registry(final Message message) {
    if (stream) {
      sent.add(message);
    }
    return stream;
  }

  @Override
  public void outcome(
      final Claim holder,
      final long fingerprint,
      final long waitMillis,
      final Consumer<OutcomeResponse> hears) {
    askedOf.add(holder);
    asked.add(hears);
  }

  @Override
  public void later(final Runnable task, final long millis) {
    later.add(task);
  }

  private static final class Heard implements IdempotentRequests.Listener {
    IdempotentRequest run;
    OutcomeResponse first;
    int unavailable;

    @Override
    public void granted(final IdempotentRequest given) {
      run = given;
    }

    @Override
    public void repeated(final OutcomeResponse given) {
      first = given;
    }

    @Override
    public void unavailable() {
      unavailable++;
    }
  }

  private Heard begin(final IdempotencyKey key) {
    final Heard heard = new Heard();
    runs.begin(key, now + 2000, heard, now);
    return heard;
  }

  private Claim lastClaim() {
    return ((ClaimRequest) sent.get(sent.size() - 1)).claim;
  }

  private void answer(final Claim claim, final ClaimResult result, final Claim holder) {
    runs.answered(new ClaimResponse(claim.number, result, holder), now);
  }

  private Heard granted() {
    final Heard heard = begin(KEY);
    answer(lastClaim(), ClaimResult.GRANTED, null);
    return heard;
  }

  private static Claim foreign() {
    return new Claim(1, 2, "10.0.0.9", 5, 6, WINDOW);
  }

  @Test
  public void aClaimIsRememberedForTheWindowPastTheDeadline() {
    begin(KEY);
    assertTrue(lastClaim().keepMillis > WINDOW + 2000, "" + lastClaim().keepMillis);
  }

  @Test
  public void aRepeatHereGetsTheAnswerWithoutAskingAnybody() {
    final Heard first = granted();
    final Heard waiting = begin(KEY);
    runs.ran(first.run, 200, List.of("a", "b"), new byte[] {7});
    final Heard later = begin(KEY);
    assertEquals(sent.size(), 1, "one claim");
    for (final Heard repeat : List.of(waiting, later)) {
      assertEquals(repeat.first.outcome(), Outcome.ANSWERED);
      assertEquals(repeat.first.body, new byte[] {7});
    }
    final Heard other = begin(new IdempotencyKey(1, 2, 4));
    assertEquals(other.first.outcome(), Outcome.KEY_REUSED);
  }

  @Test
  public void whatNeverRanGivesItsKeyBackAndTheNextClaimsItAnew() {
    final Heard first = granted();
    final Heard waiting = begin(KEY);
    runs.neverRan(first.run, now);
    assertTrue(sent.get(1) instanceof ClaimRelease);
    assertNull(waiting.first);
    later.get(0).run();
    assertNotEquals(lastClaim().number, first.run.claim().number);
    answer(lastClaim(), ClaimResult.GRANTED, null);
    assertTrue(waiting.run != null && waiting.run.atWork());
  }

  @Test
  public void aGrantThatComesTooLateIsNotUsedAndIsGivenBack() {
    final Heard slow = begin(KEY);
    final Claim claim = lastClaim();
    runs.sweep(false, now + IdempotentRequests.PATIENCE_MILLIS + 1);
    assertEquals(slow.unavailable, 1);
    assertEquals(((ClaimRelease) sent.get(1)).claims.get(0).number, claim.number);
    answer(claim, ClaimResult.GRANTED, null);
    assertNull(slow.run, "the request was refused with a promise");
    now += 5000;
    final Heard past = new Heard();
    runs.begin(new IdempotencyKey(8, 8, 8), now - 1, past, now);
    answer(lastClaim(), ClaimResult.GRANTED, null);
    assertNull(past.run);
    assertEquals(past.unavailable, 1);
  }

  @Test
  public void withoutAStreamNothingIsSentAndOwedReleasesFollow() {
    final Heard first = granted();
    stream = false;
    assertEquals(begin(new IdempotencyKey(9, 9, 9)).unavailable, 1);
    runs.neverRan(first.run, now);
    assertEquals(sent.size(), 1);
    stream = true;
    runs.sweep(false, now);
    assertTrue(sent.get(1) instanceof ClaimRelease);
  }

  @Test
  public void theHolderIsAskedAndItsWordIsPassedOn() {
    final Heard repeat = begin(KEY);
    answer(lastClaim(), ClaimResult.HELD, foreign());
    assertEquals(askedOf.get(0).proxy, "10.0.0.9");
    asked.get(0).accept(new OutcomeResponse(Outcome.ANSWERED, 200, List.of(), new byte[0]));
    assertEquals(repeat.first.outcome(), Outcome.ANSWERED);
  }

  @Test
  public void aHolderThatNeverRanIsNotWaitedForForever() {
    final Heard repeat = begin(KEY);
    for (int tries = 0; tries < 4; tries++) {
      answer(lastClaim(), ClaimResult.HELD, foreign());
      asked.get(tries).accept(new OutcomeResponse(Outcome.NEVER_RAN));
      if (tries < 3) {
        later.get(tries).run();
      }
    }
    assertEquals(repeat.unavailable, 1);
    assertEquals(later.size(), 3);
  }

  private Outcome told(final Claim claim, final long fingerprint) {
    final List<OutcomeResponse> heard = new ArrayList<>();
    runs.outcome(claim, fingerprint, heard::add);
    return heard.isEmpty() ? null : heard.get(0).outcome();
  }

  @Test
  public void othersAreToldOnlyWhatIsKnown() {
    final Heard first = granted();
    final Claim claim = first.run.claim();
    assertNull(told(claim, 3), "still at work: told later");
    assertEquals(told(claim, 4), Outcome.KEY_REUSED);
    runs.uncertain(first.run);
    assertEquals(told(claim, 3), Outcome.UNCERTAIN);
    final Claim earlierLife = new Claim(1, 2, "10.0.0.1", 76, claim.number, WINDOW);
    assertEquals(told(earlierLife, 3), Outcome.UNCERTAIN, "a life before this one may have run it");
    final Heard refused = begin(new IdempotencyKey(4, 4, 4));
    answer(lastClaim(), ClaimResult.UNKNOWN, null);
    assertEquals(refused.unavailable, 1);
    assertEquals(told(lastClaim(), 4), Outcome.NEVER_RAN);
  }

  @Test
  public void aClaimThatIsStillBeingDecidedIsToldOnceItIs() {
    final Heard first = begin(KEY);
    final Claim claim = lastClaim();
    final List<OutcomeResponse> heard = new ArrayList<>();
    runs.outcome(claim, 3, heard::add);
    answer(claim, ClaimResult.GRANTED, null);
    later.get(0).run();
    assertEquals(heard, List.of(), "now it is at work");
    runs.ran(first.run, 200, List.of(), new byte[0]);
    assertEquals(heard.get(0).outcome(), Outcome.ANSWERED);
  }

  @Test
  public void answersThatTakeTooMuchAreForgottenButNotTheRun() {
    final List<IdempotentRequest> all = new ArrayList<>();
    for (int key = 0; key < 200; key++) {
      final Heard heard = begin(new IdempotencyKey(key, key, key));
      answer(lastClaim(), ClaimResult.GRANTED, null);
      runs.ran(heard.run, 200, List.of(), new byte[60 << 10]);
      all.add(heard.run);
    }
    assertEquals(all.get(0).outcome().outcome(), Outcome.UNCERTAIN);
    assertEquals(all.get(199).outcome().outcome(), Outcome.ANSWERED);
    final Heard repeat = begin(new IdempotencyKey(0, 0, 0));
    assertEquals(repeat.first.outcome(), Outcome.UNCERTAIN);
    runs.sweep(false, now + 10 * WINDOW);
    assertTrue(
        runs.figures().stream()
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
  public void aKeyIsATenantsAndAnyOfTheHeadersBearsIt() {
    assertNull(key("Other", "k", "t"));
    assertNull(key("Idempotency-Key", "", "t"));
    final IdempotencyKey one = key("Idempotency-Key", "k", "t");
    assertEquals(key("x-key", "k", "t").high(), one.high());
    assertNotEquals(key("Idempotency-Key", "k", "u").high(), one.high());
    assertNotEquals(key("Idempotency-Key", "k", null).high(), one.high());
    assertEquals(key("Idempotency-Key", "other", "t").fingerprint(), one.fingerprint());
  }
}
