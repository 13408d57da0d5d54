package weldpoint.ratelimit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import weldpoint.common.Settings;
import weldpoint.common.WeldpointException;
import weldpoint.routing.RoutingTable;

/**
 * Tests that the registries' shares of rate limits stay within the limits, also across restarts.
 */
public class QuotaAllocatorTest {
  private static final Settings SETTINGS =
      Settings.parse(
          "station.name = a\nstation.address = 10.0.0.1\nstation.site = s\nstation.region = r\ntrunk.ports = 7000,7015\ntrunk.seeds = 10.0.0.1:7000\nbound.quota-window-s = 5\nbound.quota-overshoot = 0.1\nbound.quota-tolerance = 20\nbound.origin-window-s = 5\nbound.origin-overshoot = 1.1\n");

  private static final Settings SETTINGS_WITH_CACHES =
      Settings.parse(
          "station.name = a\nstation.address = 10.0.0.1\nstation.site = s\nstation.region = r\ntrunk.ports = 7000,7015\ntrunk.seeds = 10.0.0.1:7000\nstation.rollout = content\nbound.quota-window-s = 5\nbound.quota-overshoot = 0.1\nbound.quota-tolerance = 20\nbound.origin-window-s = 5\nbound.origin-overshoot = 1.1\n");

  private static RoutingTable routingTable(final String tenants) {
    return RoutingTable.compile(
        ("{\"version\":\"1\",\"tenants\":["
                + tenants
                + "],\"listeners\":[],\"pools\":[{\"name\":\"media\",\"ratePerS\":80}]}")
            .getBytes(StandardCharsets.UTF_8));
  }

  private static final RoutingTable ROUTING_TABLE =
      routingTable(
          "{\"name\":\"t\",\"apiKeys\":[\"k\"],\"ratePerS\":30,\"burst\":30},{\"name\":\"free\",\"apiKeys\":[\"f\"]}");

  /**
   * Simulates five registries under more demand than the limit that are killed and replaced at
   * random, also repeatedly within one window; returns the most permits granted in any window.
   */
  private static int maxGrantedInWindow(
      final Settings settings,
      final String permit,
      final long seed,
      final long window,
      final int meanUptimeMillis) {
    final Random random = new Random(seed);
    final int registries = 5;
    final QuotaAllocator[] allocators = new QuotaAllocator[registries];
    final long[] since = new long[registries];
    for (int index = 0; index < registries; index++) {
      allocators[index] = new QuotaAllocator(settings, true, 0);
    }
    final ArrayDeque<long[]> granted = new ArrayDeque<>();
    int inWindow = 0;
    int max = 0;
    for (long now = 1; now < 60_000; now += 1 + random.nextInt(4)) {
      final int registry = random.nextInt(registries);
      if (random.nextInt(meanUptimeMillis) == 0) {
        allocators[registry] = new QuotaAllocator(settings, false, now);
        since[registry] = random.nextBoolean() ? now + 1 : 0;
      }
      final int count =
          allocators[registry].grant(
              permit,
              1 + random.nextInt(3),
              ROUTING_TABLE,
              new QuotaShare(registries, since[registry]),
              now);
      granted.add(new long[] {now, count});
      inWindow += count;
      while (granted.peekFirst()[0] <= now - window) {
        inWindow -= (int) granted.pollFirst()[1];
      }
      max = Math.max(max, inWindow);
    }
    return max;
  }

  @DataProvider
  public Object[][] uptimes() {
    return new Object[][] {{2000}, {200}, {40}};
  }

  @Test(dataProvider = "uptimes")
  public void grantsOfAllRegistriesStayWithinTheLimitAcrossRestarts(final int meanUptimeMillis) {
    int best = 0;
    for (long seed = 0; seed < 150; seed++) {
      final int tenant = maxGrantedInWindow(SETTINGS, "tenant/t", seed, 5000, meanUptimeMillis);
      assertTrue(tenant <= (30 * 5 + 30) * 1.1 + 20, "seed " + seed + " " + tenant);
      best = Math.max(best, tenant);
      final int withCaches =
          maxGrantedInWindow(SETTINGS_WITH_CACHES, "origin/media", seed, 5000, meanUptimeMillis);
      assertTrue(
          withCaches <= 0.45 * 80 * 5 * 1.1, "with cache nodes, seed " + seed + " " + withCaches);
      final int origin = maxGrantedInWindow(SETTINGS, "origin/media", seed, 5000, meanUptimeMillis);
      assertTrue(origin <= 0.95 * 80 * 5 * 1.1, "seed " + seed + " " + origin);
    }
    assertTrue(best > (meanUptimeMillis < 100 ? 60 : 190), "most of the limit is granted: " + best);
  }

  @Test
  public void aTenantGetsItsFullLimitWithoutFailures() {
    final int registries = 5;
    final QuotaAllocator[] allocators = new QuotaAllocator[registries];
    for (int index = 0; index < registries; index++) {
      allocators[index] = new QuotaAllocator(SETTINGS, true, 0);
    }
    int granted = 0;
    for (long now = 0; now < 5000; now += 5) {
      for (final QuotaAllocator allocator : allocators) {
        granted +=
            allocator.grant("tenant/t", 5, ROUTING_TABLE, new QuotaShare(registries, 0), now);
      }
    }
    assertTrue(granted >= 30 * 5 + 30, "expected at least 180, granted " + granted);
    assertTrue(granted <= (30 * 5 + 30) * 1.1 + 20, "granted " + granted);
  }

  @Test
  public void evictingAnIdleTenantGrantsItNothingExtra() {
    final TenantShare share = new TenantShare(0, 0, 5000);
    assertEquals(share.acquireUpTo(100, 0.01, 20, 10_000), 20);
    assertFalse(share.isIdle(11_000), "its permits have not accumulated again yet");
    assertFalse(share.isIdle(11_900));
    assertTrue(share.isIdle(16_000));
    assertEquals(new TenantShare(0, 0, 5000).acquireUpTo(100, 0.01, 20, 16_000), 20);
    assertEquals(share.acquireUpTo(100, 0.01, 20, 16_000), 20);
  }

  @Test
  public void aRegistryThatRejoinsStartsWithAnEmptyShare() {
    final QuotaAllocator allocator = new QuotaAllocator(SETTINGS, true, 0);
    assertTrue(allocator.grant("tenant/t", 50, ROUTING_TABLE, new QuotaShare(5, 0), 100) > 5);
    assertEquals(
        allocator.grant("tenant/t", 50, ROUTING_TABLE, new QuotaShare(5, 60_000), 60_000), 0);
    assertEquals(
        allocator.grant("tenant/t", 50, ROUTING_TABLE, new QuotaShare(5, 60_000), 61_000), 6);
  }

  @Test
  public void unlimitedUnknownAndRestartedLimitsAreDistinguished() {
    final QuotaAllocator allocator = new QuotaAllocator(SETTINGS, false, 0);
    assertEquals(allocator.grant("tenant/free", 7, ROUTING_TABLE, new QuotaShare(5, 0), 10), 7);
    assertEquals(allocator.grant("tenant/nobody", 7, ROUTING_TABLE, new QuotaShare(5, 0), 10), 0);
    assertEquals(allocator.grant("somewhere/else", 7, ROUTING_TABLE, new QuotaShare(5, 0), 10), 0);
    assertEquals(
        allocator.grant("origin/media", 1, ROUTING_TABLE, new QuotaShare(5, 0), 10),
        0,
        "the process before the restart may have used up the limit");
    assertEquals(allocator.grant("origin/media", 1, ROUTING_TABLE, new QuotaShare(5, 0), 7000), 1);
  }

  @Test
  public void theWindowSlides() {
    final SlidingWindowCounter counter = new SlidingWindowCounter(5000);
    assertEquals(counter.acquireUpTo(10, 4, 1), 4);
    assertEquals(counter.acquireUpTo(10, 4, 4000), 0);
    assertEquals(counter.acquireUpTo(1, 4, 6000), 1);
    assertEquals(counter.currentTotal(50_000), 0);
  }

  @Test
  public void tenantsThatShareAnApiKeyAreRejected() {
    try {
      routingTable("{\"name\":\"a\",\"apiKeys\":[\"k\"]},{\"name\":\"b\",\"apiKeys\":[\"k\"]}");
    } catch (final WeldpointException exception) {
      assertEquals(exception.kind(), WeldpointException.Kind.INVALID);
      assertTrue(!exception.getMessage().contains("\"k\""), "an API key is never shown");
      return;
    }
    throw new AssertionError("two tenants that share an API key were accepted");
  }
}
