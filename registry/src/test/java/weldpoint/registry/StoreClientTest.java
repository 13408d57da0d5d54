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
 * Calls to state store replicas over scripted connections: each carries the identity of the calling
 * process, and a response counts only if it comes from a replica that was asked and names this
 * process.
 */
public final class StoreClientTest {
  private record Sent(String to, StoreMessages.StoreRequest call) {}

  private final List<Sent> sent = new ArrayList<>();
  private final List<String> down = new ArrayList<>();
  private StoreClient store;

  private StoreClient newClient(final long seed) {
    final StoreClient client =
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
    client.replicas(List.of("here", "there"));
    return client;
  }

  @BeforeMethod
  public void open() {
    sent.clear();
    down.clear();
    store = newClient(1);
  }

  private CompletableFuture<StoreMessages.StoreResponse> begin(
      final StoreClient client, final long now) {
    return client.call(StoreOperation.LOCK_BEGIN, "l", "owner", 3000, 0, null, null, now, 900);
  }

  private static StoreMessages.StoreResponse success(final StoreMessages.StoreRequest call) {
    return new StoreMessages.StoreResponse(call.number, 200, 7, null, null)
        .withCaller(call.callerIncarnation);
  }

  private static StoreMessages.StoreResponse notExecuted(
      final StoreMessages.StoreRequest call, final String holder) {
    return new StoreMessages.StoreResponse(call.number, 0, 0, null, holder)
        .withCaller(call.callerIncarnation);
  }

  @Test
  public void responseToAnotherProcessWithTheSameNumberIsIgnored() {
    begin(store, 0);
    final StoreMessages.StoreRequest earlier = sent.get(0).call;
    final StoreClient later = newClient(2);
    final CompletableFuture<StoreMessages.StoreResponse> future = begin(later, 10);
    final StoreMessages.StoreRequest current = sent.get(1).call;
    assertEquals(current.number, earlier.number);
    assertNotEquals(current.callerIncarnation, earlier.callerIncarnation);
    later.onResponse("here", success(earlier), 20);
    assertFalse(future.isDone());
    later.onResponse(
        "here", new StoreMessages.StoreResponse(current.number, 200, 7, null, null), 20);
    assertFalse(future.isDone(), "a response that names no caller");
    later.onResponse("here", success(current), 20);
    assertTrue(future.isDone());
  }

  @Test
  public void responseCountsOnlyFromAReplicaAskedOnAnOpenConnection() {
    final CompletableFuture<StoreMessages.StoreResponse> future = begin(store, 0);
    assertEquals(sent.get(0).to, "here");
    store.onResponse("there", success(sent.get(0).call), 5);
    assertFalse(future.isDone(), "a replica that was not asked");
    store.onDisconnected("here", 10);
    store.onResponse("here", success(sent.get(0).call), 15);
    assertFalse(future.isDone(), "the connection on which it was asked is closed");
    store.tick(50);
    assertEquals(sent.size(), 2);
    store.onResponse(sent.get(1).to, success(sent.get(1).call), 60);
    assertTrue(future.isDone());
  }

  @Test
  public void lateResponseToTheFirstCopyCounts() {
    final CompletableFuture<StoreMessages.StoreResponse> future = begin(store, 0);
    store.tick(401);
    assertEquals(sent.size(), 2);
    assertNotEquals(sent.get(1).to, sent.get(0).to);
    store.onResponse("here", success(sent.get(0).call), 450);
    assertTrue(future.isDone());
  }

  @Test
  public void resentCopyCarriesTheAgeOfTheFirst() {
    begin(store, 100);
    assertEquals(sent.get(0).call.ageMillis, 0);
    store.tick(501);
    assertEquals(sent.get(1).call.ageMillis, 401);
    assertEquals(sent.get(1).call.number, sent.get(0).call.number);
    assertEquals(sent.get(1).call.callerIncarnation, sent.get(0).call.callerIncarnation);
    store.onDisconnected(sent.get(1).to, 510);
    store.tick(560);
    assertEquals(sent.get(2).call.ageMillis, 460);
  }

  @Test
  public void callThatWasNotExecutedLeavesNoAge() {
    begin(store, 100);
    store.onResponse("here", notExecuted(sent.get(0).call, "there"), 130);
    assertEquals(sent.get(1).to, "there");
    assertEquals(sent.get(1).call.ageMillis, 0);
    store.onResponse("there", notExecuted(sent.get(1).call, null), 140);
    store.tick(200);
    assertEquals(sent.get(2).call.ageMillis, 0);
  }

  @Test
  public void callThatMayHaveExecutedOnAClosedConnectionKeepsItsAge() {
    begin(store, 100);
    store.onDisconnected("here", 120);
    down.add("here");
    store.tick(160);
    assertEquals(sent.get(1).to, "there");
    assertEquals(sent.get(1).call.ageMillis, 60);
    store.onResponse("there", notExecuted(sent.get(1).call, null), 170);
    store.tick(230);
    assertEquals(sent.get(2).call.ageMillis, 130);
  }

  @Test
  public void copyWithoutAConnectionDoesNotCount() {
    down.add("here");
    down.add("there");
    begin(store, 100);
    assertTrue(sent.isEmpty());
    down.clear();
    store.tick(150);
    assertEquals(sent.get(0).call.ageMillis, 0);
  }

  @Test
  public void callThatIsSentLaterIsOlder() {
    final StoreMessages.StoreRequest call =
        new StoreMessages.StoreRequest(1, 0, "l", "o", 0, 0, null).withCaller(5);
    assertEquals(call.stampedForSend(77L, 1000).ageMillis, 0);
    assertEquals(
        call.withAge(40, 1000).stampedForSend(77L, 1600).ageMillis,
        640,
        "a process that was paused between the two");
    assertEquals((long) call.stampedForSend(77L, 1000).storeClockMillis, 77);
    assertEquals(call.stampedForSend(null, 1000).storeClockMillis, null);
  }
}
