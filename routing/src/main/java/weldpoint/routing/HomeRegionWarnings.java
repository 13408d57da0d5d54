package weldpoint.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * What is valid in a configuration's home regions and yet lets requests be refused: homes that hold
 * no region of the deployment, and homes of a tenant and a route that exclude each other. Routes
 * and tenants are compared by their sets of homes, of which there are few.
 */
public final class HomeRegionWarnings {
  private HomeRegionWarnings() {}

  /**
   * Warnings, one sentence each.
   *
   * @param regions the regions of the deployment; empty where they are not known
   */
  public static List<String> of(final RoutingTable routingTable, final Collection<String> regions) {
    final Map<Set<String>, List<String>> routes = new LinkedHashMap<>();
    for (final Route route : routingTable.all()) {
      add(routes, Arrays.asList(route.homes), route.name);
    }
    final Map<Set<String>, List<String>> tenants = new LinkedHashMap<>();
    for (final RoutingTable.Tenant tenant : routingTable.tenants()) {
      add(tenants, tenant.homes(), tenant.name());
    }
    final List<String> warnings = new ArrayList<>();
    if (!regions.isEmpty()) {
      routes.forEach((homes, names) -> outside("route", names, homes, regions, warnings));
      tenants.forEach((homes, names) -> outside("tenant", names, homes, regions, warnings));
    }
    routes.forEach(
        (routeHomes, routeNames) ->
            tenants.forEach(
                (tenantHomes, tenantNames) -> {
                  if (Collections.disjoint(routeHomes, tenantHomes)) {
                    warnings.add(
                        named("tenant", tenantNames)
                            + " may be served in "
                            + tenantHomes
                            + " and "
                            + named("route", routeNames)
                            + " in "
                            + routeHomes
                            + ": all requests of the one on the other are refused");
                  }
                }));
    return warnings;
  }

  private static void add(
      final Map<Set<String>, List<String>> byHomes, final List<String> homes, final String name) {
    if (!homes.isEmpty()) {
      byHomes.computeIfAbsent(new TreeSet<>(homes), set -> new ArrayList<>()).add(name);
    }
  }

  private static void outside(
      final String kind,
      final List<String> names,
      final Set<String> homes,
      final Collection<String> regions,
      final List<String> warnings) {
    if (Collections.disjoint(homes, regions)) {
      warnings.add(
          named(kind, names)
              + " may be served in "
              + homes
              + " only, where the deployment has no zone: all requests are refused");
    }
  }

  private static String named(final String kind, final List<String> names) {
    return kind
        + " "
        + names.get(0)
        + (names.size() == 1 ? "" : " (and " + (names.size() - 1) + " more)");
  }
}
