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
  public static List<String> of(
      final RoutingTable routingTable, final Collection<String> deploymentRegions) {
    final Map<Set<String>, List<String>> routesByHomeRegions = new LinkedHashMap<>();
    for (final Route route : routingTable.allRoutes()) {
      add(routesByHomeRegions, Arrays.asList(route.homeRegions), route.name);
    }
    final Map<Set<String>, List<String>> tenantsByHomeRegions = new LinkedHashMap<>();
    for (final RoutingTable.Tenant tenant : routingTable.tenants()) {
      add(tenantsByHomeRegions, tenant.homeRegions(), tenant.name());
    }
    final List<String> warnings = new ArrayList<>();
    if (!deploymentRegions.isEmpty()) {
      routesByHomeRegions.forEach(
          (homeRegions, names) ->
              addIfOutsideDeployment("route", names, homeRegions, deploymentRegions, warnings));
      tenantsByHomeRegions.forEach(
          (homeRegions, names) ->
              addIfOutsideDeployment("tenant", names, homeRegions, deploymentRegions, warnings));
    }
    routesByHomeRegions.forEach(
        (routeRegions, routeNames) ->
            tenantsByHomeRegions.forEach(
                (tenantRegions, tenantNames) -> {
                  if (Collections.disjoint(routeRegions, tenantRegions)) {
                    warnings.add(
                        describe("tenant", tenantNames)
                            + " may be served in "
                            + tenantRegions
                            + " and "
                            + describe("route", routeNames)
                            + " in "
                            + routeRegions
                            + ": all requests of the one on the other are refused");
                  }
                }));
    return warnings;
  }

  private static void add(
      final Map<Set<String>, List<String>> namesByHomeRegions,
      final List<String> homeRegions,
      final String name) {
    if (!homeRegions.isEmpty()) {
      namesByHomeRegions
          .computeIfAbsent(new TreeSet<>(homeRegions), regions -> new ArrayList<>())
          .add(name);
    }
  }

  private static void addIfOutsideDeployment(
      final String kind,
      final List<String> names,
      final Set<String> homeRegions,
      final Collection<String> deploymentRegions,
      final List<String> warnings) {
    if (Collections.disjoint(homeRegions, deploymentRegions)) {
      warnings.add(
          describe(kind, names)
              + " may be served in "
              + homeRegions
              + " only, where the deployment has no zone: all requests are refused");
    }
  }

  private static String describe(final String kind, final List<String> names) {
    return kind
        + " "
        + names.get(0)
        + (names.size() == 1 ? "" : " (and " + (names.size() - 1) + " more)");
  }
}
