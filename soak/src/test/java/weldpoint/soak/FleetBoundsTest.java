package weldpoint.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Incidents 12 and 13 in small: three core machines, two proxies and three upstreams as processes
 * on loopback, without any trouble.
 */
public final class FleetBoundsTest {
  private static final int RATE = Workload.RATE;
  private static final int WINDOW_MILLIS = 5000;
  private static final int ALLOWED = SoakRun.ALLOWED;
  private static final int DEADLINE_MILLIS = 2000;

  private LocalFleet fleet;

  @BeforeClass
  public void start() throws IOException, InterruptedException {
    fleet = new LocalFleet(new LocalFleet.Size(3, 2, 3), 1);
    fleet.start(Workload.configuration());
  }

  @AfterClass(alwaysRun = true)
  public void end() {
    fleet.close();
  }

  private ClientReply book(final int proxy, final String key) {
    return fleet.request(
        proxy, LocalFleet.WRITE_PATH + "1", fleet.attemptId(), key, "key-f", DEADLINE_MILLIS);
  }

  @Test
  public void aKeyThatHasRunDoesNotRunAgainThroughAnotherProxy() {
    final ClientReply first = book(0, "move-1");
    assertEquals(first.status(), 200, first.toString());
    book(1, "move-1");
    final List<UpstreamRun> runs =
        fleet.runs().stream().filter(run -> run.key().equals("move-1")).toList();
    assertEquals(runs.size(), 1, runs.toString());
  }

  @Test
  public void aRepeatGetsTheFirstOnesAnswerThroughEveryProxy() {
    final ClientReply first = book(0, "move-2");
    assertEquals(first.status(), 200, first.toString());
    assertEquals(book(0, "move-2"), first);
    assertEquals(book(1, "move-2"), first);
  }

  @Test
  public void aKeyIsOneTenantsAndOneRequests() {
    final ClientReply first = book(0, "move-3");
    assertEquals(first.status(), 200, first.toString());
    final String path = LocalFleet.WRITE_PATH + "2";
    final int proxy = 1;
    assertEquals(
        fleet.request(proxy, path, fleet.attemptId(), "move-3", "key-f", DEADLINE_MILLIS).status(),
        409,
        "the key was used for another request");
    assertEquals(
        fleet.request(proxy, path, fleet.attemptId(), "move-3", "key-l", DEADLINE_MILLIS).status(),
        200,
        "another tenant's key is another key");
  }

  @Test
  public void aRepeatWaitsForARequestThatIsStillAtWork() throws Exception {
    fleet.upstreams().forEach(upstream -> upstream.workMillis(600));
    try {
      final java.util.concurrent.CompletableFuture<ClientReply> first =
          java.util.concurrent.CompletableFuture.supplyAsync(() -> book(0, "move-4"));
      Thread.sleep(200);
      final ClientReply second = book(1, "move-4");
      assertEquals(second.status(), 200, second.toString());
      assertEquals(second, first.get());
    } finally {
      fleet.upstreams().forEach(upstream -> upstream.workMillis(20));
    }
    assertEquals(SoakChecker.doubledKeys(fleet.runs(), 60_000), List.of());
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
    final int most = SoakChecker.mostInWindow(fleet.runs(), "limited", WINDOW_MILLIS);
    assertTrue(most <= ALLOWED, most + " runs in a window, allowed " + ALLOWED);
    assertTrue(most >= RATE * 5, "only " + most + " runs in a window, owed " + RATE * 5);
  }
}
