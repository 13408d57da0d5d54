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

public class QuotaAllocatorTest {
  private static final Settings BOOT =
      Settings.parse(
          "station.name = a\nstation.address = 10.0.0.1\nstation.site = s\nstation.region = r\ntrunk.ports = 7000,7015\ntrunk.seeds = 10.0.0.1:7000\nbound.quota-window-s = 5\nbound.quota-overshoot = 0.1\nbound.quota-tolerance = 20\nbound.origin-window-s = 5\nbound.origin-overshoot = 1.1\n");

  private static final Settings CONTENT =
      Settings.parse(
          "station.name = a\nstation.address = 10.0.0.1\nstation.site = s\nstation.region = r\ntrunk.ports = 7000,7015\ntrunk.seeds = 10.0.0.1:7000\nstation.rollout = content\nbound.quota-window-s = 5\nbound.quota-overshoot = 0.1\nbound.quota-tolerance = 20\nbound.origin-window-s = 5\nbound.origin-overshoot = 1.1\n");

  private static RoutingTable plan(final String tenants) {
    return RoutingTable.compile(
        ("{\"version\":\"1\",\"tenants\":["
                + tenants
                + "],\"listeners\":[],\"pools\":[{\"name\":\"media\",\"ratePerS\":80}]}")
            .getBytes(StandardCharsets.UTF_8));
  }

  private static final RoutingTable PLAN =
      plan(
          "{\"name\":\"t\",\"apiKeys\":[\"k\"],\"ratePerS\":30,\"burst\":30},{\"name\":\"free\",\"apiKeys\":[\"f\"]}");

  /**
   * Five registries under more demand than the limit, killed and replaced at any moment, also again
   * and again within one window: the most granted in any window.
   */
  private static int most(
      final Settings settings,
      final String permit,
      final long seed,
      final long window,
      final int lifeMillis) {
    final Random random = new Random(seed);
    final int parts = 5;
    final QuotaAllocator[] allocators = new QuotaAllocator[parts];
    final long[] since = new long[parts];
    for (int index = 0; index < parts; index++) {
      allocators[index] = new QuotaAllocator(settings, true, 0);
    }
    final ArrayDeque<long[]> granted = new ArrayDeque<>();
    int inWindow = 0;
    int most = 0;
    for (long now = 1; now < 60_000; now += 1 + random.nextInt(4)) {
      final int at = random.nextInt(parts);
      if (random.nextInt(lifeMillis) == 0) {
        allocators[at] = new QuotaAllocator(settings, false, now);
        since[at] = random.nextBoolean() ? now + 1 : 0;
      }
      final int count =
          allocators[at].grant(
              permit, 1 + random.nextInt(3), PLAN, new QuotaShare(parts, since[at]), now);
      granted.add(new long[] {now, count});
      inWindow += count;
      while (granted.peekFirst()[0] <= now - window) {
        inWindow -= (int) granted.pollFirst()[1];
      }
      most = Math.max(most, inWindow);
    }
    return most;
  }

  @DataProvider
  public Object[][] lives() {
    return new Object[][] {{2000}, {200}, {40}};
  }

  @Test(dataProvider = "lives")
  public void whatAllRegistriesGrantNeverExceedsTheLimitHoweverOftenTheyRestart(
      final int lifeMillis) {
    int best = 0;
    for (long seed = 0; seed < 150; seed++) {
      final int tenant = most(BOOT, "tenant/t", seed, 5000, lifeMillis);
      assertTrue(tenant <= (30 * 5 + 30) * 1.1 + 20, "seed " + seed + " " + tenant);
      best = Math.max(best, tenant);
      final int beside = most(CONTENT, "origin/media", seed, 5000, lifeMillis);
      assertTrue(beside <= 0.45 * 80 * 5 * 1.1, "beside cache nodes, seed " + seed + " " + beside);
      final int origin = most(BOOT, "origin/media", seed, 5000, lifeMillis);
      assertTrue(origin <= 0.95 * 80 * 5 * 1.1, "seed " + seed + " " + origin);
    }
    assertTrue(best > (lifeMillis < 100 ? 60 : 190), "most of what may be is granted: " + best);
  }

  @Test
  public void aTenantIsGivenItsPlainLimitWhileNothingFails() {
    final int parts = 5;
    final QuotaAllocator[] allocators = new QuotaAllocator[parts];
    for (int index = 0; index < parts; index++) {
      allocators[index] = new QuotaAllocator(BOOT, true, 0);
    }
    int given = 0;
    for (long now = 0; now < 5000; now += 5) {
      for (final QuotaAllocator allocator : allocators) {
        given += allocator.grant("tenant/t", 5, PLAN, new QuotaShare(parts, 0), now);
      }
    }
    assertTrue(given >= 30 * 5 + 30, "owed 180, given " + given);
    assertTrue(given <= (30 * 5 + 30) * 1.1 + 20, "given " + given);
  }

  @Test
  public void oneThatIsForgottenWhileIdleGetsNoMoreThanOneThatIsNot() {
    final TenantShare share = new TenantShare(0, 0, 5000);
    assertEquals(share.take(100, 0.01, 20, 10_000), 20);
    assertFalse(share.idle(11_000), "it has not earned its permits again");
    assertFalse(share.idle(11_900));
    assertTrue(share.idle(16_000));
    assertEquals(new TenantShare(0, 0, 5000).take(100, 0.01, 20, 16_000), 20);
    assertEquals(share.take(100, 0.01, 20, 16_000), 20);
  }

  @Test
  public void aMemberThatReturnsBeginsAnewWithItsPart() {
    final QuotaAllocator allocator = new QuotaAllocator(BOOT, true, 0);
    assertTrue(allocator.grant("tenant/t", 50, PLAN, new QuotaShare(5, 0), 100) > 5);
    assertEquals(allocator.grant("tenant/t", 50, PLAN, new QuotaShare(5, 60_000), 60_000), 0);
    assertEquals(allocator.grant("tenant/t", 50, PLAN, new QuotaShare(5, 60_000), 61_000), 6);
  }

  @Test
  public void unlimitedUnknownAndFreshOnesAreToldApart() {
    final QuotaAllocator allocator = new QuotaAllocator(BOOT, false, 0);
    assertEquals(allocator.grant("tenant/free", 7, PLAN, new QuotaShare(5, 0), 10), 7);
    assertEquals(allocator.grant("tenant/nobody", 7, PLAN, new QuotaShare(5, 0), 10), 0);
    assertEquals(allocator.grant("somewhere/else", 7, PLAN, new QuotaShare(5, 0), 10), 0);
    assertEquals(
        allocator.grant("origin/media", 1, PLAN, new QuotaShare(5, 0), 10),
        0,
        "the life before may have used it up");
    assertEquals(allocator.grant("origin/media", 1, PLAN, new QuotaShare(5, 0), 7000), 1);
  }

  @Test
  public void aWindowSlides() {
    final SlidingWindowCounter purse = new SlidingWindowCounter(5000);
    assertEquals(purse.take(10, 4, 1), 4);
    assertEquals(purse.take(10, 4, 4000), 0);
    assertEquals(purse.take(1, 4, 6000), 1);
    assertEquals(purse.taken(50_000), 0);
  }

  @Test
  public void tenantsWithOneKeyAreRefused() {
    try {
      plan("{\"name\":\"a\",\"apiKeys\":[\"k\"]},{\"name\":\"b\",\"apiKeys\":[\"k\"]}");
    } catch (final WeldpointException exception) {
      assertEquals(exception.kind(), WeldpointException.Kind.INVALID);
      assertTrue(!exception.getMessage().contains("\"k\""), "a key is never shown");
      return;
    }
    throw new AssertionError("two tenants share a key");
  }
}
