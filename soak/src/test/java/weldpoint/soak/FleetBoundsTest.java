package weldpoint.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Reproduces incidents 12 and 13 on a small fleet: three core machines and two proxies as processes
 * on loopback, with three stand-in upstreams and without injected faults. Guards that an
 * idempotency key runs once whichever proxy it reaches, and that a tenant's limit holds in every
 * window.
 */
public final class FleetBoundsTest {
  private static final int LIMIT_PER_SECOND = Workload.LIMIT_PER_SECOND;
  private static final int WINDOW_MILLIS = 5000;
  private static final int MAX_RUNS_IN_WINDOW = SoakRun.MAX_RUNS_IN_WINDOW;
  private static final int DEADLINE_MILLIS = 2000;
  private static final int KEYS_OF_KILLED_PROXY = 8;

  private LocalFleet fleet;

  @BeforeClass
  public void start() throws IOException, InterruptedException {
    fleet = new LocalFleet(new LocalFleet.Size(3, 2, 3), 1);
    fleet.start(Workload.configuration());
  }

  @AfterClass(alwaysRun = true)
  public void stop() {
    fleet.close();
  }

  private ClientReply write(final int proxy, final String key) {
    return fleet.request(
        proxy, LocalFleet.WRITE_PATH + "1", fleet.attemptId(), key, "key-f", DEADLINE_MILLIS);
  }

  @Test
  public void aKeyThatHasRunDoesNotRunAgainThroughAnotherProxy() {
    final ClientReply first = write(0, "move-1");
    assertEquals(first.status(), 200, first.toString());
    write(1, "move-1");
    final List<UpstreamRun> runs =
        fleet.runs().stream().filter(run -> run.key().equals("move-1")).toList();
    assertEquals(runs.size(), 1, runs.toString());
  }

  @Test
  public void aRepeatGetsTheFirstResponseThroughEveryProxy() {
    final ClientReply first = write(0, "move-2");
    assertEquals(first.status(), 200, first.toString());
    assertEquals(write(0, "move-2"), first);
    assertEquals(write(1, "move-2"), first);
  }

  @Test
  public void aKeyBelongsToOneTenantAndOneRequest() {
    final ClientReply first = write(0, "move-3");
    assertEquals(first.status(), 200, first.toString());
    final String path = LocalFleet.WRITE_PATH + "2";
    final int proxy = 1;
    assertEquals(
        fleet.request(proxy, path, fleet.attemptId(), "move-3", "key-f", DEADLINE_MILLIS).status(),
        409,
        "the key was already used for another request");
    assertEquals(
        fleet.request(proxy, path, fleet.attemptId(), "move-3", "key-l", DEADLINE_MILLIS).status(),
        200,
        "idempotency keys of two tenants are independent");
  }

  /** Guards against a repeat that waits, although it is to learn that the key is in work. */
  @Test
  public void aRepeatOfARunningRequestGets409AndLaterTheFirstResponse() throws Exception {
    fleet.upstreams().forEach(upstream -> upstream.processingMillis(600));
    try {
      final java.util.concurrent.CompletableFuture<ClientReply> first =
          java.util.concurrent.CompletableFuture.supplyAsync(() -> write(0, "move-4"));
      Thread.sleep(200);
      for (int proxy = 0; proxy < 2; proxy++) {
        final ClientReply early = write(proxy, "move-4");
        assertEquals(early.status(), 409, early.toString());
        assertFalse(first.isDone(), "the repeat did not wait for the first request");
      }
      assertEquals(first.get().status(), 200, first.get().toString());
      assertEquals(write(1, "move-4"), first.get());
      assertEquals(write(0, "move-4"), first.get());
    } finally {
      fleet.upstreams().forEach(upstream -> upstream.processingMillis(20));
    }
    assertEquals(SoakChecker.duplicateKeyRuns(fleet.runs(), 60_000), List.of());
  }

  /** Guards against DENIED: the first response was lost with the proxy that had received it. */
  @Test
  public void aRepeatGetsTheFirstResponseAfterItsProxyIsKilled() throws InterruptedException {
    final List<ClientReply> first = new ArrayList<>();
    for (int key = 0; key < KEYS_OF_KILLED_PROXY; key++) {
      first.add(write(0, "killed-" + key));
      assertEquals(first.get(key).status(), 200, first.get(key).toString());
    }
    Thread.sleep(500);
    fleet.proxies().get(0).kill();
    try {
      for (int key = 0; key < KEYS_OF_KILLED_PROXY; key++) {
        assertEquals(write(1, "killed-" + key), first.get(key));
      }
    } finally {
      fleet.proxies().get(0).startIfDown();
    }
    fleet.awaitReady();
    for (int key = 0; key < KEYS_OF_KILLED_PROXY; key++) {
      assertEquals(write(0, "killed-" + key), first.get(key), "the same proxy, restarted");
    }
    assertEquals(SoakChecker.duplicateKeyRuns(fleet.runs(), 60_000), List.of());
  }

  @Test
  public void aTenantGetsNoMoreThanItsLimitInAnyWindow() throws InterruptedException {
    final ExecutorService callers = Executors.newFixedThreadPool(16);
    final long end = Clock.millis() + WINDOW_MILLIS + 1000;
    for (int caller = 0; caller < 16; caller++) {
      final int proxy = caller % 2;
      callers.execute(
          () -> {
            while (Clock.millis() < end) {
              fleet.request(
                  proxy,
                  LocalFleet.READ_PATH + "1",
                  fleet.attemptId(),
                  "",
                  "key-l",
                  DEADLINE_MILLIS);
            }
          });
    }
    callers.shutdown();
    assertTrue(callers.awaitTermination(30, TimeUnit.SECONDS));
    final int maxRuns = SoakChecker.maxRunsInWindow(fleet.runs(), "limited", WINDOW_MILLIS);
    assertTrue(
        maxRuns <= MAX_RUNS_IN_WINDOW,
        maxRuns + " runs in a window, allowed " + MAX_RUNS_IN_WINDOW);
    assertTrue(
        maxRuns >= LIMIT_PER_SECOND * 5,
        "only " + maxRuns + " runs in a window, expected at least " + LIMIT_PER_SECOND * 5);
  }
}
