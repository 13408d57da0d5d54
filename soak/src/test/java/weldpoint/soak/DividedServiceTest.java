package weldpoint.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Reproduces incident 14 on a small fleet: three core machines and two proxies as processes on
 * loopback, with four stand-in upstreams of a service whose keys are partitioned by leases.
 */
public final class DividedServiceTest {
  private static final int REQUESTS = 60;
  private static final int KEY_STEP = 1091;
  private static final long TIMEOUT_MILLIS = 10_000;

  private LocalFleet fleet;

  @BeforeClass
  public void start() throws IOException, InterruptedException {
    fleet = new LocalFleet(new LocalFleet.Size(3, 2, 1, 4), 14);
    fleet.start(Workload.configuration());
    awaitServed();
  }

  @AfterClass(alwaysRun = true)
  public void stop() {
    fleet.close();
  }

  private void awaitServed() throws InterruptedException {
    final long deadline = Clock.millis() + TIMEOUT_MILLIS;
    while (Clock.millis() < deadline && served(4) < 4) {
      Thread.sleep(100);
    }
  }

  private int served(final int requests) {
    int served = 0;
    for (int index = 0; index < requests; index++) {
      final String key = Integer.toString(index * KEY_STEP % GrantedKeys.KEY_COUNT);
      served += fleet.partitionedRead(index % 2, fleet.attemptId(), key).status() == 200 ? 1 : 0;
    }
    return served;
  }

  @Test
  public void aPartitionedServiceServesEveryKey() {
    assertEquals(served(REQUESTS), REQUESTS);
    assertEquals(fleet.holderConflicts(), List.of());
  }

  @Test
  public void aRequestWithoutAValidKeyIsRejectedWithAReason() {
    for (final String invalidKey : List.of("", "65536", "-1", "abc")) {
      final ClientReply reply = fleet.partitionedRead(0, fleet.attemptId(), invalidKey);
      assertEquals(reply.status(), 400, reply.toString());
      assertTrue(reply.body().contains("Weldpoint-Shard-Key"), reply.toString());
    }
  }

  @Test(dependsOnMethods = "aPartitionedServiceServesEveryKey")
  public void aDrainingUpstreamReleasesItsKeysAtOnce() throws InterruptedException {
    fleet.drainKeyHolder(0);
    Thread.sleep(2000);
    final long ranBefore = runsOf("k-0");
    assertEquals(served(REQUESTS), REQUESTS);
    assertEquals(runsOf("k-0"), ranBefore, "runs on the drained upstream");
    assertEquals(fleet.holderConflicts(), List.of());
  }

  private long runsOf(final String instance) {
    return fleet.runs().stream().filter(run -> run.instance().equals(instance)).count();
  }

  @Test(dependsOnMethods = "aDrainingUpstreamReleasesItsKeysAtOnce")
  public void theKeysOfAnUnreachableUpstreamAreReassigned() throws InterruptedException {
    fleet.keyHolderRelays().get(1).blocked(true);
    final long deadline = Clock.millis() + 2 * TIMEOUT_MILLIS;
    int served = 0;
    while (Clock.millis() < deadline && served < REQUESTS) {
      Thread.sleep(500);
      served = served(REQUESTS);
    }
    assertEquals(served, REQUESTS);
    assertEquals(fleet.holderConflicts(), List.of());
  }

  @Test(dependsOnMethods = "theKeysOfAnUnreachableUpstreamAreReassigned")
  public void anotherRegistryTakesOverFromOneThatIsKilled() throws InterruptedException {
    fleet.registries().forEach(DaemonProcess::kill);
    fleet.registries().forEach(DaemonProcess::start);
    Thread.sleep(TIMEOUT_MILLIS);
    awaitServed();
    assertEquals(served(REQUESTS), REQUESTS);
    assertEquals(fleet.holderConflicts(), List.of());
  }
}
