package weldpoint.upstream;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import weldpoint.common.Settings;
import weldpoint.routing.RouteBinding;
import weldpoint.routing.RoutingTable;
import weldpoint.transport.RegistryMessages.Registration;

/**
 * Tests the choice of upstreams: home regions, evacuations, drains, subsets, overload, and the
 * slow-start rate limit across many proxies.
 */
public final class UpstreamPoolTest {
  private final EventLoopGroup loop = new NioEventLoopGroup(1);
  private final RoutingTable routingTable = routingTable(tenant(List.of()), "");

  private static RoutingTable routingTable(final String tenants, final String homesOfAny) {
    return RoutingTable.compile(
        ("{\"version\":\"1\","
                + tenants
                + "\"listeners\":[{\"host\":\"h\",\"rules\":[{\"name\":\"r\",\"routeKind\":\"mutating\",\"match\":{\"pathPrefix\":\"/\"},"
                + "\"action\":{\"service\":\"s\",\"timeoutMs\":2000,\"maxAttempts\":2,\"homeRegions\":[\"north\"]}},{\"name\":\"any\",\"routeKind\":\"idempotent\",\"match\":{\"pathPrefix\":\"/any/\"},"
                + "\"action\":{"
                + homesOfAny
                + "\"service\":\"s\",\"timeoutMs\":2000,\"maxAttempts\":2}}]}],\"pools\":[{\"name\":\"s\",\"warmupPerS\":12}]}")
            .getBytes(StandardCharsets.UTF_8));
  }

  @AfterClass
  public void end() {
    loop.shutdownGracefully();
  }

  private UpstreamPool upstreamPool(final long seed) {
    return new UpstreamPool(
        loop,
        Settings.parse(
            "station.name = one\nstation.address = 10.0.0.1\nstation.site = a\nstation.region = north\ntrunk.ports = 7000,7015\ntrunk.seeds = 10.0.0.1:80\nsites = a:north,b:south\n"),
        new Random(seed));
  }

  private static UpstreamPool.Change change(
      final String id, final String site, final long warmup, final boolean open) {
    return new UpstreamPool.Change(
        new Registration(
            id, "s", "10.9.0." + (1 + id.hashCode() % 9) + ":80", site, "v", 4, 0, 1, 0, warmup),
        open);
  }

  private RouteBinding request(final String path) {
    return request(routingTable, path);
  }

  private static RouteBinding request(final RoutingTable routingTable, final String path) {
    final RouteBinding binding = new RouteBinding("h", path, 0);
    routingTable.resolve(binding);
    binding.identifyTenant("k");
    return binding;
  }

  private UpstreamPool.Choice choose(
      final UpstreamPool upstreamPool, final String path, final long now) {
    return upstreamPool.choose(request(path), List.of(), now);
  }

  @Test
  public void homesEvacuationsAndDrainsAreEnforced() {
    final UpstreamPool upstreamPool = upstreamPool(1);
    upstreamPool.applyChanges(List.of(change("n", "a", 0, true), change("s", "b", 0, true)), 1000);
    for (int index = 0; index < 50; index++) {
      assertEquals(choose(upstreamPool, "/x", 1000), UpstreamPool.Choice.CHOSEN);
      assertEquals(upstreamPool.chosen().id(), "n");
    }
    upstreamPool.setEvacuatedSites(Set.of("a"), 1000);
    assertEquals(choose(upstreamPool, "/x", 1000), UpstreamPool.Choice.OUTSIDE_HOMES);
    assertEquals(choose(upstreamPool, "/any/x", 1000), UpstreamPool.Choice.CHOSEN);
    assertEquals(upstreamPool.chosen().id(), "s");
    upstreamPool.applyChanges(List.of(change("s", "b", 0, false)), 1000);
    assertEquals(choose(upstreamPool, "/any/x", 1000), UpstreamPool.Choice.NONE);
    upstreamPool.setEvacuatedSites(Set.of(), 1000);
    assertNotEquals(choose(upstreamPool, "/any/x", 1000), UpstreamPool.Choice.NONE);
  }

  @DataProvider
  public Object[][] homeRegionCases() {
    return new Object[][] {
      {"/any/x", List.of(), Set.of("n", "s")},
      {"/any/x", List.of("south"), Set.of("s")},
      {"/x", List.of(), Set.of("n")},
      {"/x", List.of("north"), Set.of("n")},
      {"/x", List.of("north", "south"), Set.of("n")},
      {"/x", List.of("south"), Set.of()},
      {"/any/x", List.of("nowhere"), Set.of()},
    };
  }

  /**
   * Guards against a fault in which a tenant's home regions were not applied to ordinary requests.
   */
  @Test(dataProvider = "homeRegionCases")
  public void homeRegionsOfRouteAndTenantApplyToEveryKindOfChoice(
      final String path, final List<String> tenantHomes, final Set<String> allowed) {
    final UpstreamPool upstreamPool = upstreamPool(1);
    upstreamPool.applyChanges(List.of(change("n", "a", 0, true), change("s", "b", 0, true)), 1000);
    final RouteBinding binding = request(routingTable(tenant(tenantHomes), ""), path);
    final Set<String> chosen = new HashSet<>();
    final List<Upstream> tried = new ArrayList<>();
    while (upstreamPool.choose(binding, tried, 1000) == UpstreamPool.Choice.CHOSEN) {
      tried.add(upstreamPool.chosen());
      chosen.add(upstreamPool.chosen().id());
    }
    assertEquals(chosen, allowed, "free choice, and retries");
    for (final String id : List.of("n", "s")) {
      final UpstreamPool.Choice expected =
          allowed.contains(id) ? UpstreamPool.Choice.CHOSEN : UpstreamPool.Choice.OUTSIDE_HOMES;
      assertEquals(
          upstreamPool.chooseKeyOwner(binding, id, 1000), expected, "owner of a key " + id);
      assertEquals(
          upstreamPool.choosePinned(binding, id, 60_000, 1000), expected, "affinity to " + id);
    }
  }

  private static String tenant(final List<String> homes) {
    final String regions = homes.isEmpty() ? "" : "\"" + String.join("\",\"", homes) + "\"";
    return "\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"k\"],\"homeRegions\":[" + regions + "]}],";
  }

  /**
   * Guards against a fault in which a request that waited for its connection was checked only
   * against the home regions known before it began to wait.
   */
  @Test
  public void homeRegionsSetWhileConnectingAreEnforced()
      throws IOException, InterruptedException, ExecutionException, TimeoutException {
    final RoutingTable routeHomed = routingTable("", "\"homeRegions\":[\"south\"],");
    assertEquals(
        sendAndDescribeResult("/any/x", Long.MAX_VALUE, pool -> pool.setRoutingTable(routingTable)),
        "UNCERTAIN bytes");
    assertEquals(
        sendAndDescribeResult("/any/x", Long.MAX_VALUE, pool -> pool.setRoutingTable(routeHomed)),
        "UNSENT nothing");
    assertEquals(
        sendAndDescribeResult(
            "/any/x",
            Long.MAX_VALUE,
            pool -> pool.setRoutingTable(routingTable(tenant(List.of("south")), ""))),
        "UNSENT nothing");
  }

  @Test
  public void slowStartRateLimitHoldsAcrossAllProxies() {
    for (final int proxies : new int[] {1, 4, 10, 14}) {
      final List<UpstreamPool> all = new ArrayList<>();
      for (int index = 0; index < proxies; index++) {
        final UpstreamPool upstreamPool = upstreamPool(index);
        upstreamPool.setFleetSize(proxies);
        upstreamPool.applyChanges(List.of(change("c", "a", 60_000, true)), 0);
        all.add(upstreamPool);
      }
      final List<Long> sent = new ArrayList<>();
      final Random random = new Random(proxies);
      for (long now = 1000; now < 20_000; now += 5) {
        for (final UpstreamPool upstreamPool : all) {
          if (random.nextInt(10) == 0
              && choose(upstreamPool, "/x", now) == UpstreamPool.Choice.CHOSEN) {
            sent.add(now);
          }
        }
      }
      int maxPerSecond = 0;
      for (final long from : new HashSet<>(sent)) {
        maxPerSecond =
            Math.max(
                maxPerSecond,
                (int) sent.stream().filter(at -> at >= from && at < from + 1000).count());
      }
      assertTrue(
          maxPerSecond <= 12 * 1.5 + 5, maxPerSecond + " in a second with proxies: " + proxies);
      assertTrue(sent.size() > 19 * 6, "only " + sent.size() + " with proxies: " + proxies);
    }
  }

  private UpstreamPool proxyPool(final int index, final List<UpstreamPool.Change> changes) {
    final UpstreamPool upstreamPool =
        new UpstreamPool(
            loop,
            Settings.parse(
                "station.name = one\nstation.address = 10.1."
                    + index % 4
                    + "."
                    + index
                    + "\nstation.site = s"
                    + index % 4
                    + "\nstation.region = r"
                    + index % 2
                    + "\ntrunk.ports = 7000,7015\ntrunk.seeds = 10.0.0.1:80\nsites = s0:r0,s1:r1,s2:r0,s3:r1\n"),
            new Random(index));
    upstreamPool.applyChanges(changes, 1000);
    return upstreamPool;
  }

  private static List<UpstreamPool.Change> upstreams(final int count) {
    final List<UpstreamPool.Change> list = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      list.add(
          new UpstreamPool.Change(
              new Registration(
                  "i-" + index * 7919, "s", "10.9.0.1:80", "s" + index % 4, "v", 4, 0, 1, 0, 0),
              true));
    }
    return list;
  }

  @Test
  public void subsetsOfALargeServiceCoverItEvenlyAndChangeLittle() {
    final java.util.Map<String, Integer> callers = new java.util.HashMap<>();
    int moved = 0;
    for (int index = 0; index < 77; index++) {
      final UpstreamPool upstreamPool = proxyPool(index, upstreams(281));
      final Set<String> before = new HashSet<>(upstreamPool.subset("s"));
      assertEquals(before.size(), 24 + 3 * 12);
      before.forEach(id -> callers.merge(id, 1, Integer::sum));
      upstreamPool.applyChanges(
          List.of(
              new UpstreamPool.Change(
                  new Registration("i-0", "s", "10.9.0.1:80", "s0", "v", 4, 2, 2, 0, 0), false)),
          2000);
      final Set<String> after = new HashSet<>(upstreamPool.subset("s"));
      after.removeAll(before);
      moved += after.size();
    }
    assertEquals(callers.size(), 281, "no upstream is left without proxies");
    final double mean = 77 * 60 / 281.0;
    callers.forEach(
        (id, count) -> assertTrue(count > 0.3 * mean && count < 1.8 * mean, id + " has " + count));
    assertTrue(moved <= callers.get("i-0"), "only the proxies that used it replace it: " + moved);
    assertEquals(
        proxyPool(1, upstreams(30)).subset("s").size(), 30, "a small service is not subsetted");
    assertEquals(proxyPool(1, upstreams(1)).subset("s").size(), 1);
  }

  @Test
  public void otherUpstreamsHelpWhenTheSubsetIsFull() {
    final UpstreamPool upstreamPool = proxyPool(0, upstreams(281));
    final Set<String> subset = new HashSet<>(upstreamPool.subset("s"));
    final Set<String> used = new HashSet<>();
    for (int index = 0; index < 600; index++) {
      assertEquals(choose(upstreamPool, "/any/x", 3000), UpstreamPool.Choice.CHOSEN);
      upstreamPool.startAttempt(upstreamPool.chosen(), 3000);
      used.add(upstreamPool.chosen().id());
      if (index < 40) {
        assertTrue(subset.contains(upstreamPool.chosen().id()));
      }
    }
    assertTrue(used.size() > subset.size(), "others help when the subset is full");
  }

  @Test
  public void lowestPriorityIsRejectedFirstAndWritesLast() {
    final double[] limits =
        new double[] {
          RetryPolicy.loadLimit(routeWithPriority("idempotent", 4), 4),
          RetryPolicy.loadLimit(routeWithPriority("idempotent", 0), 4),
          RetryPolicy.loadLimit(routeWithPriority("idempotent", 2), 1),
          RetryPolicy.loadLimit(routeWithPriority("egress", 2), 0),
          RetryPolicy.loadLimit(routeWithPriority("idempotent", 1), 0),
          RetryPolicy.loadLimit(routeWithPriority("mutating", 4), 4),
          RetryPolicy.loadLimit(routeWithPriority("mutating", 1), 0),
        };
    for (int index = 1; index < limits.length; index++) {
      assertTrue(limits[index] > limits[index - 1], java.util.Arrays.toString(limits));
    }
  }

  private static weldpoint.routing.Route routeWithPriority(final String kind, final int priority) {
    final RoutingTable table =
        RoutingTable.compile(
            ("{\"version\":\"1\",\"listeners\":[{\"host\":\"h\",\"rules\":[{\"name\":\"r\",\"routeKind\":\""
                    + kind
                    + "\",\"priority\":"
                    + priority
                    + ",\"match\":{\"pathPrefix\":\"/\"},\"action\":{\"service\":\"s\",\"timeoutMs\":2000,\"maxAttempts\":2}}]}],\"pools\":[{\"name\":\"s\"}]}")
                .getBytes(StandardCharsets.UTF_8));
    return table.route("r");
  }

  @Test
  public void readsLeaveReservedSlotsToAffinityWritesUntilThoseCease() {
    final UpstreamPool upstreamPool = upstreamPool(5);
    upstreamPool.applyChanges(List.of(change("n", "a", 0, true)), 0);
    upstreamPool.setFleetSize(1);
    final RouteBinding write = request("/x");
    final RouteBinding read = request("/any/x");
    final List<UpstreamPool.Attempt> attempts = new ArrayList<>();
    long now = 10_000;
    for (int index = 0; index < 30; index++) {
      now += 50;
      assertEquals(upstreamPool.choosePinned(write, "n", 60_000, now), UpstreamPool.Choice.CHOSEN);
    }
    int reads = 0;
    while (upstreamPool.choose(read, List.of(), now) == UpstreamPool.Choice.CHOSEN && reads < 10) {
      attempts.add(upstreamPool.startAttempt(upstreamPool.chosen(), now));
      reads++;
    }
    assertEquals(reads, 2, "half of four slots is reserved for the writes");
    assertEquals(
        upstreamPool.choosePinned(write, "n", 60_000, now),
        UpstreamPool.Choice.CHOSEN,
        "an affinity write still gets a slot");
    now += 25_000;
    assertEquals(
        upstreamPool.choose(read, List.of(), now),
        UpstreamPool.Choice.CHOSEN,
        "an unused reservation is released");
    assertEquals(upstreamPool.choosePinned(write, "gone", 60_000, now), UpstreamPool.Choice.NONE);
    upstreamPool.setEvacuatedSites(Set.of("a"), now);
    assertEquals(upstreamPool.choosePinned(write, "n", 60_000, now), UpstreamPool.Choice.NONE);
    attempts.forEach(attempt -> attempt.cancel(0));
  }

  @Test
  public void proxiesOfASiteShareItsUpstreamsEvenly() {
    final int upstreams = 31;
    final List<String> addresses = new ArrayList<>();
    for (int index = 0; index < 9; index++) {
      addresses.add("10.0.0." + (1 + index));
    }
    final List<UpstreamPool.Change> changes = new ArrayList<>();
    for (int index = 0; index < upstreams; index++) {
      changes.add(
          new UpstreamPool.Change(
              new Registration("near-" + index, "s", "10.9.0.1:80", "a", "v", 4, 0, 1, 0, 0),
              true));
      changes.add(
          new UpstreamPool.Change(
              new Registration("far-" + index, "s", "10.9.0.1:80", "b", "v", 4, 0, 1, 0, 0), true));
    }
    final java.util.Map<String, Integer> callers = new java.util.HashMap<>();
    for (final String address : addresses) {
      final UpstreamPool upstreamPool =
          new UpstreamPool(
              loop,
              Settings.parse(
                  "station.name = one\nstation.address = "
                      + address
                      + "\nstation.site = a\nstation.region = north\ntrunk.ports = 7000,7015\ntrunk.seeds = 10.0.0.1:80\nsites = a:north,b:south\n"),
              new Random(1));
      upstreamPool.applyChanges(changes, 1000);
      upstreamPool.setSiteProxies(addresses, 0);
      final List<String> local =
          upstreamPool.subset("s").stream().filter(id -> id.startsWith("near")).toList();
      assertEquals(local.size(), 7);
      local.forEach(id -> callers.merge(id, 1, Integer::sum));
    }
    assertEquals(callers.size(), upstreams);
    for (final int count : callers.values()) {
      assertTrue(count >= 2 && count <= 3, callers.toString());
    }
  }

  @Test
  public void readsOverflowToAnotherRegionWhileTheLocalOneIsCrowded() {
    final UpstreamPool upstreamPool = upstreamPool(9);
    final List<UpstreamPool.Change> changes = new ArrayList<>();
    for (int index = 0; index < 6; index++) {
      changes.add(change("near-" + index, "a", 0, true));
      changes.add(change("far-" + index, "b", 0, true));
    }
    upstreamPool.applyChanges(changes, 0);
    int remote = 0;
    for (int round = 0; round < 400; round++) {
      final long now = 10_000 + round * 20;
      assertEquals(choose(upstreamPool, "/any/x", now), UpstreamPool.Choice.CHOSEN);
      final Upstream chosen = upstreamPool.chosen();
      final boolean local = chosen.site().equals("a");
      if (round >= 200) {
        remote += local ? 0 : 1;
      }
      final UpstreamPool.Attempt attempt = upstreamPool.startAttempt(chosen, now);
      chosen.updateLoad(local ? "4,1,4" : "1,0,4", now);
      attempt.cancel(now);
      chosen.responseReceived(now, local ? 900 : 400);
    }
    assertTrue(remote > 120, "only " + remote + " of 200 went to the region with spare capacity");
    assertEquals(choose(upstreamPool, "/x", 20_000), UpstreamPool.Choice.CHOSEN);
    assertEquals(upstreamPool.chosen().site(), "a", "home regions still apply");
  }

  /**
   * Sends a request to a listening upstream, runs {@code meanwhile} before the connection is up,
   * and returns how the request completed and whether any bytes arrived.
   */
  private String sendAndDescribeResult(
      final String path, final long sendBy, final Consumer<UpstreamPool> meanwhile)
      throws IOException, InterruptedException, ExecutionException, TimeoutException {
    try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      server.setSoTimeout(8000);
      final UpstreamPool upstreamPool = upstreamPool(3);
      final CompletableFuture<UpstreamConnection.CompletionStatus> completion =
          new CompletableFuture<>();
      final DefaultFullHttpRequest request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1, HttpMethod.POST, "/x", Unpooled.EMPTY_BUFFER);
      loop.execute(
          () -> {
            upstreamPool.applyChanges(
                List.of(
                    new UpstreamPool.Change(
                        new Registration(
                            "n",
                            "s",
                            "127.0.0.1:" + server.getLocalPort(),
                            "a",
                            "v",
                            4,
                            0,
                            1,
                            0,
                            0),
                        true)),
                1000);
            final RouteBinding binding = request(path);
            assertEquals(upstreamPool.choose(binding, List.of(), 1000), UpstreamPool.Choice.CHOSEN);
            upstreamPool.send(
                upstreamPool.chosen(),
                binding,
                request,
                "abc",
                1000,
                sendBy,
                (completionStatus, head, body) -> completion.complete(completionStatus));
            meanwhile.accept(upstreamPool);
          });
      try (Socket socket = server.accept()) {
        socket.setSoTimeout(8000);
        final int firstByte = socket.getInputStream().read();
        socket.close();
        return completion.get(8, TimeUnit.SECONDS) + (firstByte < 0 ? " nothing" : " bytes");
      }
    }
  }

  @Test
  public void anAttemptConnectedTooLateIsNeverWritten()
      throws IOException, InterruptedException, ExecutionException, TimeoutException {
    assertEquals(
        sendAndDescribeResult("/x", Long.MAX_VALUE, upstreamPool -> {}), "UNCERTAIN bytes");
    assertEquals(
        sendAndDescribeResult("/x", System.nanoTime() / 1_000_000 - 1, upstreamPool -> {}),
        "UNSENT nothing",
        "past its deadline, as after a long pause of the process");
    assertEquals(
        sendAndDescribeResult(
            "/x",
            Long.MAX_VALUE,
            upstreamPool -> upstreamPool.setEvacuatedSites(Set.of("a"), 1000)),
        "UNSENT nothing",
        "its zone was evacuated meanwhile");
    assertEquals(
        sendAndDescribeResult(
            "/x",
            Long.MAX_VALUE,
            upstreamPool -> upstreamPool.applyChanges(List.of(change("n", "a", 0, false)), 1000)),
        "UNSENT nothing",
        "it deregistered meanwhile");
  }
}
