package weldpoint.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import weldpoint.statestore.StoreOperation;
import weldpoint.transport.StoreMessages;

/**
 * Calls to frames under scripted lines: each carries who calls, and an answer counts only from
 * whom, and for whom, it was asked.
 */
public final class StoreClientTest {
  private record Sent(String to, StoreMessages.StoreRequest call) {}

  private final List<Sent> sent = new ArrayList<>();
  private final List<String> down = new ArrayList<>();
  private StoreClient store;

  private StoreClient life(final long seed) {
    final StoreClient one =
        new StoreClient(
            "here",
            new Random(seed),
            (address, call) -> {
              if (down.contains(address)) {
                return false;
              }
              sent.add(new Sent(address, call));
              return true;
            });
    one.frames(List.of("here", "there"));
    return one;
  }

  @BeforeMethod
  public void open() {
    sent.clear();
    down.clear();
    store = life(1);
  }

  private CompletableFuture<StoreMessages.StoreResponse> begin(
      final StoreClient one, final long now) {
    return one.call(StoreOperation.LOCK_BEGIN, "l", "owner", 3000, 0, null, null, now, 900);
  }

  private static StoreMessages.StoreResponse good(final StoreMessages.StoreRequest call) {
    return new StoreMessages.StoreResponse(call.number, 200, 7, null, null)
        .withCaller(call.callerIncarnation);
  }

  private static StoreMessages.StoreResponse nothing(
      final StoreMessages.StoreRequest call, final String holder) {
    return new StoreMessages.StoreResponse(call.number, 0, 0, null, holder)
        .withCaller(call.callerIncarnation);
  }

  @Test
  public void anAnswerToTheNumberOfAnotherLifeIsNotTaken() {
    begin(store, 0);
    final StoreMessages.StoreRequest earlier = sent.get(0).call;
    final StoreClient later = life(2);
    final CompletableFuture<StoreMessages.StoreResponse> future = begin(later, 10);
    final StoreMessages.StoreRequest mine = sent.get(1).call;
    assertEquals(mine.number, earlier.number);
    assertNotEquals(mine.callerIncarnation, earlier.callerIncarnation);
    later.answered("here", good(earlier), 20);
    assertFalse(future.isDone());
    later.answered("here", new StoreMessages.StoreResponse(mine.number, 200, 7, null, null), 20);
    assertFalse(future.isDone(), "an answer that names nobody");
    later.answered("here", good(mine), 20);
    assertTrue(future.isDone());
  }

  @Test
  public void anAnswerCountsOnlyFromAFrameThatWasAskedOnTheLineThatThereIs() {
    final CompletableFuture<StoreMessages.StoreResponse> future = begin(store, 0);
    assertEquals(sent.get(0).to, "here");
    store.answered("there", good(sent.get(0).call), 5);
    assertFalse(future.isDone(), "a frame that was not asked");
    store.closed("here", 10);
    store.answered("here", good(sent.get(0).call), 15);
    assertFalse(future.isDone(), "the line on which it was asked has ended");
    store.tick(50);
    assertEquals(sent.size(), 2);
    store.answered(sent.get(1).to, good(sent.get(1).call), 60);
    assertTrue(future.isDone());
  }

  @Test
  public void aLateAnswerToTheFirstCopyCountsToo() {
    final CompletableFuture<StoreMessages.StoreResponse> future = begin(store, 0);
    store.tick(401);
    assertEquals(sent.size(), 2);
    assertNotEquals(sent.get(1).to, sent.get(0).to);
    store.answered("here", good(sent.get(0).call), 450);
    assertTrue(future.isDone());
  }

  @Test
  public void aCopyTellsHowLongAgoTheFirstWasSent() {
    begin(store, 100);
    assertEquals(sent.get(0).call.ageMillis, 0);
    store.tick(501);
    assertEquals(sent.get(1).call.ageMillis, 401);
    assertEquals(sent.get(1).call.number, sent.get(0).call.number);
    assertEquals(sent.get(1).call.callerIncarnation, sent.get(0).call.callerIncarnation);
    store.closed(sent.get(1).to, 510);
    store.tick(560);
    assertEquals(sent.get(2).call.ageMillis, 460);
  }

  @Test
  public void whatCertainlyDidNothingLeavesNoAge() {
    begin(store, 100);
    store.answered("here", nothing(sent.get(0).call, "there"), 130);
    assertEquals(sent.get(1).to, "there");
    assertEquals(sent.get(1).call.ageMillis, 0);
    store.answered("there", nothing(sent.get(1).call, null), 140);
    store.tick(200);
    assertEquals(sent.get(2).call.ageMillis, 0);
  }

  @Test
  public void whatMayHaveBeenDoneOnAnEndedLineKeepsItsAge() {
    begin(store, 100);
    store.closed("here", 120);
    down.add("here");
    store.tick(160);
    assertEquals(sent.get(1).to, "there");
    assertEquals(sent.get(1).call.ageMillis, 60);
    store.answered("there", nothing(sent.get(1).call, null), 170);
    store.tick(230);
    assertEquals(sent.get(2).call.ageMillis, 130);
  }

  @Test
  public void aCopyThatNoLineTakesIsNone() {
    down.add("here");
    down.add("there");
    begin(store, 100);
    assertTrue(sent.isEmpty());
    down.clear();
    store.tick(150);
    assertEquals(sent.get(0).call.ageMillis, 0);
  }

  @Test
  public void whatLeavesLaterIsOlder() {
    final StoreMessages.StoreRequest call =
        new StoreMessages.StoreRequest(1, 0, "l", "o", 0, 0, null).withCaller(5);
    assertEquals(call.stampedForSend(77L, 1000).ageMillis, 0);
    assertEquals(
        call.withAge(40, 1000).stampedForSend(77L, 1600).ageMillis,
        640,
        "a process that stood still between the two");
    assertEquals((long) call.stampedForSend(77L, 1000).storeClockMillis, 77);
    assertEquals(call.stampedForSend(null, 1000).storeClockMillis, null);
  }
}
