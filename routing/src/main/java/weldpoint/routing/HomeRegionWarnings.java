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
 * Finds home regions that are valid in a configuration but cause requests to be rejected: home
 * regions of which none is part of the deployment, and home regions of a tenant and a route that
 * have no region in common. Routes and tenants are grouped by their set of home regions before they
 * are compared, since there are few different sets.
 */
public final class HomeRegionWarnings {
  private HomeRegionWarnings() {}

  /**
   * Returns the warnings for a configuration, one sentence each.
   *
   * @param deploymentRegions the regions of the deployment; empty if they are not known
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
                            + ": all requests of the tenant on the route are rejected");
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
              + " only, where the deployment has no zone: all requests are rejected");
    }
  }

  private static String describe(final String kind, final List<String> names) {
    return kind
        + " "
        + names.get(0)
        + (names.size() == 1 ? "" : " (and " + (names.size() - 1) + " more)");
  }
}
