package weldpoint.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import weldpoint.common.WeldpointException;

/** Tests how configurations are compiled and checked, and how requests are routed. */
public final class RoutingTableTest {
  private static final String VALID =
      "{\"version\":\"0000000c\",\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1000,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"listeners\":[{\"host\":\"a.example\",\"rules\":["
          + "{\"name\":\"r1\",\"routeKind\":\"idempotent\",\"targetLatencyMs\":300,\"priority\":2,\"match\":{\"pathPrefix\":\"/x/\"},\"action\":{\"service\":\"s\",\"timeoutMs\":2000.5,\"maxAttempts\":2,\"homeRegions\":[]},\"unknown\":{\"a\":[1]}},"
          + "{\"name\":\"r2\",\"routeKind\":\"mutating\",\"targetLatencyMs\":400,\"priority\":1,\"match\":{\"pathPrefix\":\"/x/y/\"},\"action\":{\"split\":[{\"service\":\"s\",\"weight\":90},{\"service\":\"t\",\"weight\":10}],\"timeoutMs\":2500,\"maxAttempts\":1,\"homeRegions\":[\"north\"]}}]}],"
          + "\"pools\":[{\"name\":\"s\",\"healthPath\":\"/health\",\"maxConns\":120,\"protocol\":\"h1\",\"tls\":false,\"warmupS\":3.0,\"warmupPerS\":12.0},{\"name\":\"t\",\"maxConns\":120}]}";

  private static RoutingTable compile(final String text) {
    return RoutingTable.compile(text.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  public void longestPrefixOfTheHostMatches() {
    final RoutingTable routingTable = compile(VALID);
    assertEquals(routingTable.version(), 12);
    final RouteBinding deep = new RouteBinding("A.example:80", "/x/y/z?q=/1/", 0.95);
    assertTrue(routingTable.resolve(deep));
    assertEquals(deep.route().name, "r2");
    assertFalse(deep.route().kind.repeatable());
    assertEquals(deep.service().name(), "t");
    assertTrue(deep.allowsRegion("north"));
    assertFalse(deep.allowsRegion("south"));
    final RouteBinding shallow = new RouteBinding("a.example", "/x/z", 0.5);
    assertTrue(routingTable.resolve(shallow));
    assertEquals(shallow.route().name, "r1");
    assertFalse(routingTable.resolve(new RouteBinding("a.example", "/y/z", 0.5)));
    assertFalse(routingTable.resolve(new RouteBinding("b.example", "/x/z", 0.5)));
  }

  @Test
  public void servicesMayBePartitionedByKey() {
    assertEquals(compile(VALID).partitionedServices(), java.util.List.of());
    final String partitioned =
        VALID.replace("{\"name\":\"t\",", "{\"name\":\"t\",\"partitioned\":true,");
    assertEquals(compile(partitioned).partitionedServices(), java.util.List.of("t"));
  }

  @DataProvider
  public Object[][] invalid() {
    return new Object[][] {
      {VALID.substring(0, VALID.length() - 40), WeldpointException.Kind.UNREADABLE},
      {"", WeldpointException.Kind.UNREADABLE},
      {VALID.replace("\"a.example\"", "\"\""), WeldpointException.Kind.INVALID},
      {VALID.replace("2000.5", "0"), WeldpointException.Kind.INVALID},
      {
        VALID.replace("\"service\":\"s\",\"timeoutMs\"", "\"service\":\"u\",\"timeoutMs\""),
        WeldpointException.Kind.INVALID
      },
      {VALID.replace("{\"service\":\"t\"", "{\"service\":\"u\""), WeldpointException.Kind.INVALID},
      {VALID.replace("\"maxAttempts\":1", "\"maxAttempts\":0"), WeldpointException.Kind.INVALID},
      {VALID.replace("0000000c", "zz"), WeldpointException.Kind.UNREADABLE},
    };
  }

  private static String withAffinity(final String affinity) {
    return VALID.replace("\"maxAttempts\":1,", "\"maxAttempts\":1,\"affinity\":" + affinity + ",");
  }

  @Test
  public void affinityAppliesToWriteRoutes() {
    final Route route =
        compile(withAffinity("{\"by\":\"header\",\"header\":\"X-Firm\",\"pauseMs\":5000}"))
            .route("r2");
    assertEquals(route.affinity, new Affinity(Affinity.CallerIdentity.HEADER, "X-Firm", 5000));
    assertEquals(
        compile(withAffinity("{\"by\":\"address\"}")).route("r2").affinity.by(),
        Affinity.CallerIdentity.ADDRESS);
    assertEquals(compile(VALID).route("r2").affinity, null);
    assertEquals(
        Affinity.effective(
                compile(VALID).route("r2"),
                Affinity.parseSetting("affinity.default", "header:X-Firm"))
            .header(),
        "X-Firm");
    assertEquals(
        Affinity.effective(
            compile(VALID).route("r1"), Affinity.parseSetting("affinity.default", "address")),
        null);
  }

  @Test
  public void splitKeepsEachCallerOnOneServiceInProportionToWeights() {
    final RoutingTable routingTable = compile(withAffinity("{\"by\":\"address\"}"));
    final Route route = routingTable.route("r2");
    int callersOfT = 0;
    for (int caller = 0; caller < 20_000; caller++) {
      final long hash = caller * 0x9e3779b97f4a7c15L;
      assertEquals(route.serviceForCaller(hash), route.serviceForCaller(hash));
      callersOfT +=
          routingTable.services().get(route.serviceForCaller(hash)).name().equals("t") ? 1 : 0;
    }
    assertTrue(
        callersOfT > 1600 && callersOfT < 2400,
        "t has " + callersOfT + " of 20000 callers at a weight of 10 in 100");
  }

  @DataProvider
  public Object[][] invalidAffinity() {
    return new Object[][] {
      {withAffinity("{\"by\":\"moon\"}"), "give header, tenant or address"},
      {withAffinity("{}"), "give header, tenant or address"},
      {withAffinity("{\"by\":\"header\"}"), "name the header"},
      {withAffinity("{\"by\":\"header\",\"header\":\"\"}"), "no name of one"},
      {withAffinity("{\"by\":\"header\",\"header\":\"X Firm\"}"), "no name of one"},
      {withAffinity("{\"by\":\"address\",\"header\":\"X-Firm\"}"), "leave the header out"},
      {withAffinity("{\"by\":\"address\",\"pauseMs\":0}"), "above 0"},
      {withAffinity("{\"by\":\"address\",\"pauseMs\":-5}"), "above 0"},
      {
        withAffinity("{\"by\":\"address\"}").replace("\"mutating\"", "\"egress\""),
        "carries no writes"
      },
    };
  }

  @Test(dataProvider = "invalidAffinity")
  public void invalidAffinityIsRejectedWithRemedy(final String text, final String remedy) {
    final WeldpointException exception =
        expectThrows(WeldpointException.class, () -> compile(text));
    assertEquals(exception.kind(), WeldpointException.Kind.INVALID);
    assertTrue(exception.getMessage().contains(remedy), exception.getMessage());
  }

  @Test(dataProvider = "invalid")
  public void invalidConfigurationIsRejectedWithItsKind(
      final String text, final WeldpointException.Kind kind) {
    assertEquals(expectThrows(WeldpointException.class, () -> compile(text)).kind(), kind);
  }

  private static RoutingTable tableWith(
      final String prefix, final String rule, final String action, final String tenant) {
    return RoutingTable.compile(
        ("{\"version\":\"1\",\"tenants\":["
                + tenant
                + "],\"listeners\":[{\"host\":\"h\",\"rules\":[{\"name\":\"r\","
                + rule
                + "\"match\":{\"pathPrefix\":\""
                + prefix
                + "\"},\"action\":{"
                + action
                + "\"timeoutMs\":2000,\"maxAttempts\":2}}]}],\"pools\":[{\"name\":\"other\"},{\"name\":\"s\"}]}")
            .getBytes(StandardCharsets.UTF_8));
  }

  @DataProvider
  public Object[][] changedConfigurations() {
    final String rule = "\"routeKind\":\"idempotent\",";
    final String toS = "\"service\":\"s\",";
    final String tenant = "{\"name\":\"t\",\"apiKeys\":[\"k\"]}";
    return new Object[][] {
      {"/x/", rule, toS, tenant, RouteBinding.Status.BOUND, Set.of("north", "south")},
      {
        "/x/",
        rule,
        toS + "\"homeRegions\":[\"north\"],",
        tenant,
        RouteBinding.Status.BOUND,
        Set.of("north")
      },
      {
        "/x/",
        rule,
        toS,
        tenant.replace("}", ",\"homeRegions\":[\"south\"]}"),
        RouteBinding.Status.BOUND,
        Set.of("south")
      },
      {
        "/x/",
        rule,
        toS + "\"homeRegions\":[\"north\"],",
        tenant.replace("}", ",\"homeRegions\":[\"south\"]}"),
        RouteBinding.Status.BOUND,
        Set.of()
      },
      {"/", rule, toS, tenant, RouteBinding.Status.BOUND, Set.of("north", "south")},
      {"/y/", rule, toS, tenant, RouteBinding.Status.ROUTE_REMOVED, Set.of()},
      {"/x/", rule, "\"service\":\"other\",", tenant, RouteBinding.Status.ROUTE_CHANGED, Set.of()},
      {
        "/x/",
        rule,
        "\"split\":[{\"service\":\"other\",\"weight\":1},{\"service\":\"s\",\"weight\":1}],",
        tenant,
        RouteBinding.Status.BOUND,
        Set.of("north", "south")
      },
      {
        "/x/",
        "\"routeKind\":\"mutating\",",
        toS,
        tenant,
        RouteBinding.Status.ROUTE_CHANGED,
        Set.of()
      },
      {
        "/x/",
        rule,
        toS,
        tenant.replace("\"k\"", "\"l\""),
        RouteBinding.Status.KEY_UNKNOWN,
        Set.of()
      },
      {
        "/x/",
        rule,
        toS,
        tenant.replace("\"t\"", "\"u\""),
        RouteBinding.Status.TENANT_CHANGED,
        Set.of()
      },
      {
        "/x/",
        rule,
        toS,
        tenant.replace("}", ",\"ratePerS\":5}"),
        RouteBinding.Status.TENANT_CHANGED,
        Set.of()
      },
    };
  }

  @Test(dataProvider = "changedConfigurations")
  public void bindingIsRevalidatedAgainstCurrentConfiguration(
      final String prefix,
      final String rule,
      final String action,
      final String tenant,
      final RouteBinding.Status status,
      final Set<String> regions) {
    final RoutingTable first =
        tableWith(
            "/x/",
            "\"routeKind\":\"idempotent\",",
            "\"service\":\"s\",",
            "{\"name\":\"t\",\"apiKeys\":[\"k\"]}");
    final RouteBinding binding = new RouteBinding("h", "/x/1", 0);
    assertTrue(first.resolve(binding));
    binding.identifyTenant("k");
    assertTrue(binding.revalidate(first));
    assertEquals(
        binding.revalidate(tableWith(prefix, rule, action, tenant)),
        status == RouteBinding.Status.BOUND);
    assertEquals(binding.status(), status);
    if (status == RouteBinding.Status.BOUND) {
      final Set<String> allowed = new HashSet<>(List.of("north", "south"));
      allowed.removeIf(region -> !binding.allowsRegion(region));
      assertEquals(allowed, regions);
      assertEquals(binding.service().name(), "s");
    }
  }

  /** Guards against TWICE: keyed routes were taken without a word where no key is looked at. */
  @Test
  public void keyedRoutesWithoutTheirHeaderCauseWarnings() {
    final RoutingTable keyed =
        tableWith("/x/", "\"routeKind\":\"keyed\",", "\"service\":\"s\",", "");
    assertTrue(keyed.route("r").keyed);
    assertFalse(keyed.route("r").kind.repeatable());
    assertEquals(KeyedRouteWarnings.of(keyed, "Op-Key", List.of("X", "op-key")), List.of());
    final List<String> warnings = KeyedRouteWarnings.of(keyed, "Op-Key", List.of("X"));
    assertEquals(warnings.size(), 1);
    assertTrue(warnings.get(0).contains("[r]"), warnings.toString());
    final RoutingTable plain =
        tableWith("/x/", "\"routeKind\":\"mutating\",", "\"service\":\"s\",", "");
    assertEquals(KeyedRouteWarnings.of(plain, "Op-Key", List.of()), List.of());
  }

  @Test
  public void homeRegionsThatRejectRequestsCauseWarnings() {
    final RoutingTable routingTable =
        tableWith(
            "/x/",
            "\"routeKind\":\"idempotent\",",
            "\"service\":\"s\",\"homeRegions\":[\"north\"],",
            "{\"name\":\"t\",\"homeRegions\":[\"south\"]},{\"name\":\"u\",\"homeRegions\":[\"south\"]},"
                + "{\"name\":\"v\",\"homeRegions\":[\"north\",\"south\"]},{\"name\":\"w\"}");
    assertEquals(
        HomeRegionWarnings.of(routingTable, List.of()),
        List.of(
            "tenant t (and 1 more) may be served in [south] and route r in [north]: all requests"
                + " of the tenant on the route are rejected"));
    final List<String> warnings = HomeRegionWarnings.of(routingTable, List.of("south"));
    assertEquals(warnings.size(), 2, warnings.toString());
    assertTrue(
        warnings.get(0).startsWith("route r may be served in [north] only"), warnings.toString());
    assertEquals(
        HomeRegionWarnings.of(tableWith("/x/", "", "\"service\":\"s\",", ""), List.of("south")),
        List.of());
  }
}
