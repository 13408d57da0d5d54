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
 * The choice of upstreams: homes, evacuations, drains, and the bound of cold ones over many
 * switchboards.
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
  public void homesEvacuationsAndDrainsBind() {
    final UpstreamPool upstreamPool = upstreamPool(1);
    upstreamPool.apply(List.of(change("n", "a", 0, true), change("s", "b", 0, true)), 1000);
    for (int index = 0; index < 50; index++) {
      assertEquals(choose(upstreamPool, "/x", 1000), UpstreamPool.Choice.CHOSEN);
      assertEquals(upstreamPool.chosen().id(), "n");
    }
    upstreamPool.evacuated(Set.of("a"), 1000);
    assertEquals(choose(upstreamPool, "/x", 1000), UpstreamPool.Choice.OUTSIDE_HOMES);
    assertEquals(choose(upstreamPool, "/any/x", 1000), UpstreamPool.Choice.CHOSEN);
    assertEquals(upstreamPool.chosen().id(), "s");
    upstreamPool.apply(List.of(change("s", "b", 0, false)), 1000);
    assertEquals(choose(upstreamPool, "/any/x", 1000), UpstreamPool.Choice.NONE);
    upstreamPool.evacuated(Set.of(), 1000);
    assertNotEquals(choose(upstreamPool, "/any/x", 1000), UpstreamPool.Choice.NONE);
  }

  @DataProvider
  public Object[][] homes() {
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

  /** Guards against HOME: homes of a tenant bound no ordinary request. */
  @Test(dataProvider = "homes")
  public void homesOfRouteAndTenantBothBindHoweverAnUpstreamIsChosen(
      final String path, final List<String> tenantHomes, final Set<String> allowed) {
    final UpstreamPool upstreamPool = upstreamPool(1);
    upstreamPool.apply(List.of(change("n", "a", 0, true), change("s", "b", 0, true)), 1000);
    final RouteBinding binding = request(routingTable(tenant(tenantHomes), ""), path);
    final Set<String> chosen = new HashSet<>();
    final List<Upstream> tried = new ArrayList<>();
    while (upstreamPool.choose(binding, tried, 1000) == UpstreamPool.Choice.CHOSEN) {
      tried.add(upstreamPool.chosen());
      chosen.add(upstreamPool.chosen().id());
    }
    assertEquals(chosen, allowed, "free choice, and further tries");
    for (final String id : List.of("n", "s")) {
      final UpstreamPool.Choice wanted =
          allowed.contains(id) ? UpstreamPool.Choice.CHOSEN : UpstreamPool.Choice.OUTSIDE_HOMES;
      assertEquals(upstreamPool.holder(binding, id, 1000), wanted, "holder of a key " + id);
      assertEquals(
          upstreamPool.pinned(binding, id, 60_000, 1000), wanted, "node of a caller " + id);
    }
  }

  private static String tenant(final List<String> homes) {
    final String regions = homes.isEmpty() ? "" : "\"" + String.join("\",\"", homes) + "\"";
    return "\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"k\"],\"homeRegions\":[" + regions + "]}],";
  }

  /** Guards against HOME: what waited for its connection obeyed the homes known before. */
  @Test
  public void homesThatComeWhileAConnectionIsOpenedBind()
      throws IOException, InterruptedException, ExecutionException, TimeoutException {
    final RoutingTable routeHomed = routingTable("", "\"homeRegions\":[\"south\"],");
    assertEquals(
        sent("/any/x", Long.MAX_VALUE, pool -> pool.configuration(routingTable)),
        "UNCERTAIN bytes");
    assertEquals(
        sent("/any/x", Long.MAX_VALUE, pool -> pool.configuration(routeHomed)), "UNSENT nothing");
    assertEquals(
        sent(
            "/any/x",
            Long.MAX_VALUE,
            pool -> pool.configuration(routingTable(tenant(List.of("south")), ""))),
        "UNSENT nothing");
  }

  @Test
  public void coldUpstreamsGetTheirBoundOverAllSwitchboardsTogether() {
    for (final int boards : new int[] {1, 4, 10, 14}) {
      final List<UpstreamPool> all = new ArrayList<>();
      for (int index = 0; index < boards; index++) {
        final UpstreamPool upstreamPool = upstreamPool(index);
        upstreamPool.switchboards(boards);
        upstreamPool.apply(List.of(change("c", "a", 60_000, true)), 0);
        all.add(upstreamPool);
      }
      final List<Long> sent = new ArrayList<>();
      final Random random = new Random(boards);
      for (long now = 1000; now < 20_000; now += 5) {
        for (final UpstreamPool upstreamPool : all) {
          if (random.nextInt(10) == 0
              && choose(upstreamPool, "/x", now) == UpstreamPool.Choice.CHOSEN) {
            sent.add(now);
          }
        }
      }
      int most = 0;
      for (final long from : new HashSet<>(sent)) {
        most =
            Math.max(
                most, (int) sent.stream().filter(at -> at >= from && at < from + 1000).count());
      }
      assertTrue(most <= 12 * 1.5 + 5, most + " in a second with " + boards);
      assertTrue(sent.size() > 19 * 6, "only " + sent.size() + " with " + boards);
    }
  }

  private UpstreamPool board(final int index, final List<UpstreamPool.Change> changes) {
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
    upstreamPool.apply(changes, 1000);
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
  public void partsOfALargeServiceUseAllOfItEvenlyAndMoveLittle() {
    final java.util.Map<String, Integer> callers = new java.util.HashMap<>();
    int moved = 0;
    for (int index = 0; index < 77; index++) {
      final UpstreamPool upstreamPool = board(index, upstreams(281));
      final Set<String> before = new HashSet<>(upstreamPool.part("s"));
      assertEquals(before.size(), 24 + 3 * 12);
      before.forEach(id -> callers.merge(id, 1, Integer::sum));
      upstreamPool.apply(
          List.of(
              new UpstreamPool.Change(
                  new Registration("i-0", "s", "10.9.0.1:80", "s0", "v", 4, 2, 2, 0, 0), false)),
          2000);
      final Set<String> after = new HashSet<>(upstreamPool.part("s"));
      after.removeAll(before);
      moved += after.size();
    }
    assertEquals(callers.size(), 281, "no upstream is left without callers");
    final double mean = 77 * 60 / 281.0;
    callers.forEach(
        (id, count) -> assertTrue(count > 0.3 * mean && count < 1.8 * mean, id + " has " + count));
    assertTrue(moved <= callers.get("i-0"), "only its own callers replace it: " + moved);
    assertEquals(board(1, upstreams(30)).part("s").size(), 30, "a small service is used whole");
    assertEquals(board(1, upstreams(1)).part("s").size(), 1);
  }

  @Test
  public void aPartThatIsFullOrSilentIsWidenedAtOnce() {
    final UpstreamPool upstreamPool = board(0, upstreams(281));
    final Set<String> part = new HashSet<>(upstreamPool.part("s"));
    final Set<String> used = new HashSet<>();
    for (int index = 0; index < 600; index++) {
      assertEquals(choose(upstreamPool, "/any/x", 3000), UpstreamPool.Choice.CHOSEN);
      upstreamPool.begin(upstreamPool.chosen(), 3000);
      used.add(upstreamPool.chosen().id());
      if (index < 40) {
        assertTrue(part.contains(upstreamPool.chosen().id()));
      }
    }
    assertTrue(used.size() > part.size(), "others help when the part is full");
  }

  @Test
  public void theLowestRankIsRefusedFirstAndWritesLast() {
    final double[] room =
        new double[] {
          RetryPolicy.room(ranked("idempotent", 4), 4),
          RetryPolicy.room(ranked("idempotent", 0), 4),
          RetryPolicy.room(ranked("idempotent", 2), 1),
          RetryPolicy.room(ranked("egress", 2), 0),
          RetryPolicy.room(ranked("idempotent", 1), 0),
          RetryPolicy.room(ranked("mutating", 4), 4),
          RetryPolicy.room(ranked("mutating", 1), 0),
        };
    for (int index = 1; index < room.length; index++) {
      assertTrue(room[index] > room[index - 1], java.util.Arrays.toString(room));
    }
  }

  private static weldpoint.routing.Route ranked(final String kind, final int priority) {
    final RoutingTable one =
        RoutingTable.compile(
            ("{\"version\":\"1\",\"listeners\":[{\"host\":\"h\",\"rules\":[{\"name\":\"r\",\"routeKind\":\""
                    + kind
                    + "\",\"priority\":"
                    + priority
                    + ",\"match\":{\"pathPrefix\":\"/\"},\"action\":{\"service\":\"s\",\"timeoutMs\":2000,\"maxAttempts\":2}}]}],\"pools\":[{\"name\":\"s\"}]}")
                .getBytes(StandardCharsets.UTF_8));
    return one.route("r");
  }

  @Test
  public void lookupsLeaveSlotsFreeForTiedWritesAndGetThemBackWhenThoseCease() {
    final UpstreamPool upstreamPool = upstreamPool(5);
    upstreamPool.apply(List.of(change("n", "a", 0, true)), 0);
    upstreamPool.switchboards(1);
    final RouteBinding write = request("/x");
    final RouteBinding look = request("/any/x");
    final List<UpstreamPool.Attempt> under = new ArrayList<>();
    long now = 10_000;
    for (int index = 0; index < 30; index++) {
      now += 50;
      assertEquals(upstreamPool.pinned(write, "n", 60_000, now), UpstreamPool.Choice.CHOSEN);
    }
    int lookups = 0;
    while (upstreamPool.choose(look, List.of(), now) == UpstreamPool.Choice.CHOSEN
        && lookups < 10) {
      under.add(upstreamPool.begin(upstreamPool.chosen(), now));
      lookups++;
    }
    assertEquals(lookups, 2, "half of four slots is kept for the writes");
    assertEquals(
        upstreamPool.pinned(write, "n", 60_000, now),
        UpstreamPool.Choice.CHOSEN,
        "a tied write still has room");
    now += 25_000;
    assertEquals(
        upstreamPool.choose(look, List.of(), now),
        UpstreamPool.Choice.CHOSEN,
        "an idle reserve is given back");
    assertEquals(upstreamPool.pinned(write, "gone", 60_000, now), UpstreamPool.Choice.NONE);
    upstreamPool.evacuated(Set.of("a"), now);
    assertEquals(upstreamPool.pinned(write, "n", 60_000, now), UpstreamPool.Choice.NONE);
    under.forEach(attempt -> attempt.abandon(0));
  }

  @Test
  public void neighboursShareTheUpstreamsOfTheirSiteEvenly() {
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
      upstreamPool.apply(changes, 1000);
      upstreamPool.neighbours(addresses, 0);
      final List<String> near =
          upstreamPool.part("s").stream().filter(id -> id.startsWith("near")).toList();
      assertEquals(near.size(), 7);
      near.forEach(id -> callers.merge(id, 1, Integer::sum));
    }
    assertEquals(callers.size(), upstreams);
    for (final int count : callers.values()) {
      assertTrue(count >= 2 && count <= 3, callers.toString());
    }
  }

  @Test
  public void lookupsGoToAnotherRegionWhileTheOwnOneIsCrowded() {
    final UpstreamPool upstreamPool = upstreamPool(9);
    final List<UpstreamPool.Change> changes = new ArrayList<>();
    for (int index = 0; index < 6; index++) {
      changes.add(change("near-" + index, "a", 0, true));
      changes.add(change("far-" + index, "b", 0, true));
    }
    upstreamPool.apply(changes, 0);
    int far = 0;
    for (int round = 0; round < 400; round++) {
      final long now = 10_000 + round * 20;
      assertEquals(choose(upstreamPool, "/any/x", now), UpstreamPool.Choice.CHOSEN);
      final Upstream chosen = upstreamPool.chosen();
      final boolean near = chosen.site().equals("a");
      if (round >= 200) {
        far += near ? 0 : 1;
      }
      final UpstreamPool.Attempt attempt = upstreamPool.begin(chosen, now);
      chosen.told(near ? "4,1,4" : "1,0,4", now);
      attempt.abandon(now);
      chosen.answered(now, near ? 900 : 400);
    }
    assertTrue(far > 120, "only " + far + " of 200 went to the region with room");
    assertEquals(choose(upstreamPool, "/x", 20_000), UpstreamPool.Choice.CHOSEN);
    assertEquals(upstreamPool.chosen().site(), "a", "homes bind all the same");
  }

  /**
   * Sends to an upstream that listens, does something at once, and tells how it ended and how many
   * bytes arrived.
   */
  private String sent(final String path, final long until, final Consumer<UpstreamPool> meanwhile)
      throws IOException, InterruptedException, ExecutionException, TimeoutException {
    try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      server.setSoTimeout(8000);
      final UpstreamPool upstreamPool = upstreamPool(3);
      final CompletableFuture<UpstreamConnection.End> ended = new CompletableFuture<>();
      final DefaultFullHttpRequest request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1, HttpMethod.POST, "/x", Unpooled.EMPTY_BUFFER);
      loop.execute(
          () -> {
            upstreamPool.apply(
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
                until,
                (end, head, body) -> ended.complete(end));
            meanwhile.accept(upstreamPool);
          });
      try (Socket socket = server.accept()) {
        socket.setSoTimeout(8000);
        final int first = socket.getInputStream().read();
        socket.close();
        return ended.get(8, TimeUnit.SECONDS) + (first < 0 ? " nothing" : " bytes");
      }
    }
  }

  @Test
  public void aTryThatIsConnectedTooLateIsNeverWritten()
      throws IOException, InterruptedException, ExecutionException, TimeoutException {
    assertEquals(sent("/x", Long.MAX_VALUE, upstreamPool -> {}), "UNCERTAIN bytes");
    assertEquals(
        sent("/x", System.nanoTime() / 1_000_000 - 1, upstreamPool -> {}),
        "UNSENT nothing",
        "past its deadline, as after a standstill");
    assertEquals(
        sent("/x", Long.MAX_VALUE, upstreamPool -> upstreamPool.evacuated(Set.of("a"), 1000)),
        "UNSENT nothing",
        "its zone is evacuated meanwhile");
    assertEquals(
        sent(
            "/x",
            Long.MAX_VALUE,
            upstreamPool -> upstreamPool.apply(List.of(change("n", "a", 0, false)), 1000)),
        "UNSENT nothing",
        "it has signed off meanwhile");
  }
}
