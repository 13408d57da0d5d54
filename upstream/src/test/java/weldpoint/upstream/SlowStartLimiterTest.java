package weldpoint.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;
import weldpoint.common.Settings;
import weldpoint.routing.RouteBinding;
import weldpoint.routing.RoutingTable;
import weldpoint.transport.RegistryMessages.Registration;

/**
 * Tests what a large fleet of proxies together sends to an upstream that enters slow start: in no
 * second more than its limit, and still enough.
 */
public final class SlowStartLimiterTest {
  private static final int FLEET = 55;
  private static final int SITES = 4;
  private static final double RATE = 5.3;
  private static final double MAX_PER_SECOND = RATE * 1.5 + 8;
  private final EventLoopGroup loop = new NioEventLoopGroup(1);
  private final RoutingTable routingTable =
      RoutingTable.compile(
          ("{\"version\":\"1\",\"listeners\":[{\"host\":\"h\",\"rules\":[{\"name\":\"any\",\"routeKind\":\"idempotent\",\"match\":{\"pathPrefix\":\"/\"},"
                  + "\"action\":{\"service\":\"s\",\"timeoutMs\":2000,\"maxAttempts\":2}}]}],\"pools\":[{\"name\":\"s\",\"warmupPerS\":"
                  + RATE
                  + "}]}")
              .getBytes(StandardCharsets.UTF_8));

  @AfterClass
  public void end() {
    loop.shutdownGracefully();
  }

  private UpstreamPool proxyPool(final int index) {
    return new UpstreamPool(
        loop,
        Settings.parse(
            "station.name = one\nstation.address = "
                + address(index)
                + "\nstation.site = s"
                + index % SITES
                + "\nstation.region = r"
                + index % 2
                + "\ntrunk.ports = 7000,7015\ntrunk.seeds = 10.0.0.1:80\nsites = s0:r0,s1:r1,s2:r0,s3:r1\nbound.warmup-tolerance = 8\n"),
        new Random(index));
  }

  private static String address(final int index) {
    return "10.1." + index % SITES + "." + index;
  }

  private static List<String> siteAddresses(final int site, final int fleet) {
    final List<String> list = new ArrayList<>();
    for (int index = site; index < fleet; index += SITES) {
      list.add(address(index));
    }
    return list;
  }

  private static List<UpstreamPool.Change> slowStartingUpstreams(final int millis) {
    final List<UpstreamPool.Change> list = new ArrayList<>();
    for (int index = 0; index < 20; index++) {
      list.add(
          new UpstreamPool.Change(
              new Registration(
                  "i-" + index,
                  "s",
                  "10.9.0." + (1 + index) + ":80",
                  "s" + index % SITES,
                  "v",
                  6,
                  0,
                  1,
                  0,
                  millis),
              true));
    }
    return list;
  }

  private void choose(
      final UpstreamPool upstreamPool, final List<List<Long>> sent, final long now) {
    final RouteBinding binding = new RouteBinding("h", "/x", 0);
    routingTable.resolve(binding);
    if (upstreamPool.choose(binding, List.of(), now) == UpstreamPool.Choice.CHOSEN) {
      sent.get(Integer.parseInt(upstreamPool.chosen().id().substring(2))).add(now);
    }
  }

  private static int maxPerSecond(final List<List<Long>> sent) {
    int max = 0;
    for (final List<Long> times : sent) {
      for (final long from : times) {
        max =
            Math.max(
                max, (int) times.stream().filter(at -> at >= from && at < from + 1000).count());
      }
    }
    return max;
  }

  private static List<List<Long>> emptyLists() {
    final List<List<Long>> sent = new ArrayList<>();
    for (int index = 0; index < 20; index++) {
      sent.add(new ArrayList<>());
    }
    return sent;
  }

  /**
   * Guards against a fault in which every proxy held a full token for an upstream that entered slow
   * start, so that 55 requests could arrive in its first second.
   */
  @Test
  public void rateLimitHoldsWhenAZoneReturnsToALargeFleet() {
    final List<UpstreamPool> fleet = new ArrayList<>();
    for (int index = 0; index < FLEET; index++) {
      final UpstreamPool upstreamPool = proxyPool(index);
      upstreamPool.setFleetSize(FLEET, 0);
      upstreamPool.setSiteProxies(siteAddresses(index % SITES, FLEET), 0);
      upstreamPool.applyChanges(slowStartingUpstreams(6000), 10_000);
      fleet.add(upstreamPool);
    }
    final List<List<Long>> sent = emptyLists();
    for (long now = 10_000; now < 16_000; now += 5) {
      for (final UpstreamPool upstreamPool : fleet) {
        choose(upstreamPool, sent, now);
      }
    }
    assertTrue(maxPerSecond(sent) <= MAX_PER_SECOND, maxPerSecond(sent) + " in a second");
    for (final List<Long> times : sent) {
      assertTrue(
          times.size() > 6 * RATE * 0.8,
          "an upstream in slow start got only " + times.size() + " in six seconds");
    }
  }

  /**
   * The proxies of a zone restart within a second and a half; each is told of those that started
   * before it.
   */
  @Test
  public void restartedProxiesBeginWithoutTokens() {
    for (int seed = 0; seed < 20; seed++) {
      final Random random = new Random(seed);
      final List<UpstreamPool> fleet = new ArrayList<>();
      final long[] starts = new long[FLEET];
      for (int index = 0; index < FLEET; index++) {
        fleet.add(proxyPool(index));
        starts[index] = index % SITES == 0 ? 10_000 + random.nextInt(1500) : 0;
        if (starts[index] == 0) {
          fleet.get(index).setFleetSize(FLEET, 0);
          fleet.get(index).setSiteProxies(siteAddresses(index % SITES, FLEET), 0);
          fleet.get(index).applyChanges(slowStartingUpstreams(3000), 10_000);
        }
      }
      final List<List<Long>> sent = emptyLists();
      for (long now = 10_000; now < 13_000; now += 5) {
        final List<String> present = new ArrayList<>();
        for (int index = 0; index < FLEET; index += SITES) {
          if (starts[index] <= now) {
            present.add(address(index));
          }
        }
        for (int index = 0; index < FLEET; index++) {
          final UpstreamPool upstreamPool = fleet.get(index);
          if (starts[index] != 0 && starts[index] <= now) {
            if (starts[index] > now - 5) {
              upstreamPool.applyChanges(slowStartingUpstreams((int) (13_000 - now)), now);
            }
            upstreamPool.setFleetSize(FLEET - siteAddresses(0, FLEET).size() + present.size(), now);
            upstreamPool.setSiteProxies(present, now);
          }
          if (starts[index] <= now && random.nextInt(10) == 0) {
            choose(upstreamPool, sent, now);
          }
        }
      }
      assertTrue(
          maxPerSecond(sent) <= MAX_PER_SECOND,
          maxPerSecond(sent) + " in a second with seed " + seed);
    }
  }

  @Test
  public void siteTokensAddUpToAllTokens() {
    for (int sites = 1; sites <= 12; sites++) {
      final SlowStartLimiter slowStart =
          new SlowStartLimiter("a", "s", sites, 1.5, 8, new Random(1));
      for (int tokens = 1; tokens < 60; tokens++) {
        final int sum =
            slowStart.siteTokens(true, tokens) + (sites - 1) * slowStart.siteTokens(false, tokens);
        assertEquals(sum, tokens, sites + " sites");
        assertTrue(slowStart.siteTokens(true, tokens) >= 1, "the upstream's own site has some");
      }
    }
  }

  @Test
  public void aSmallerFleetSizeIsIgnoredUntilTheLargerOneExpires() {
    final SlowStartLimiter slowStart = new SlowStartLimiter("a", "s", 4, 1.5, 8, new Random(1));
    slowStart.reportFleetSize(55, 0);
    slowStart.reportFleetSize(3, 1000);
    assertEquals(slowStart.fleetSize(), 55);
    slowStart.reportFleetSize(40, 20_001);
    assertEquals(slowStart.fleetSize(), 40);
  }

  @Test
  public void aRequestWaitingForItsConnectionKeepsItsTokenUntilItIsSent() {
    final SlowStartLimiter slowStart = new SlowStartLimiter("a", "s", 1, 1.5, 8, new Random(1));
    slowStart.setFleetSize(10);
    final Upstream upstream =
        new Upstream(new Registration("i", "s", "10.9.0.1:80", "s", "v", 6, 0, 1, 0, 0), "r", 0);
    upstream.slowStartUntil = 60_000;
    assertTrue(slowStart.admits(upstream, RATE, 0, 0));
    slowStart.recordSent(upstream, RATE, 0, 0);
    upstream.connecting = 1;
    assertFalse(
        slowStart.admits(upstream, RATE, 0, 30_000),
        "a request is still waiting for its connection");
    upstream.connecting = 0;
    upstream.sentAfterConnect(30_000);
    assertFalse(
        slowStart.admits(upstream, RATE, 0, 31_000), "the interval counts from when it was sent");
    assertTrue(slowStart.admits(upstream, RATE, 0, 33_000));
  }
}
