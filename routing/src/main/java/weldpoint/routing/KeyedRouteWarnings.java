package weldpoint.routing;

import java.util.Collection;
import java.util.List;

/**
 * Finds keyed routes whose requests would not be recognized as repeats: those of a deployment that
 * does not read the header in which clients send the operation's key.
 */
public final class KeyedRouteWarnings {
  private KeyedRouteWarnings() {}

  /**
   * Returns the warnings for a configuration, one sentence each.
   *
   * @param operationKeyHeader the header in which clients send the operation's key
   * @param keyHeaders the headers that the deployment's proxies read; names in any case
   */
  public static List<String> of(
      final RoutingTable routingTable,
      final String operationKeyHeader,
      final Collection<String> keyHeaders) {
    if (keyHeaders.stream().anyMatch(operationKeyHeader::equalsIgnoreCase)) {
      return List.of();
    }
    final List<String> names =
        routingTable.allRoutes().stream()
            .filter(route -> route.keyed)
            .map(route -> route.name)
            .sorted()
            .toList();
    return names.isEmpty()
        ? List.of()
        : List.of(
            "the routes "
                + names
                + " are keyed, but keys.headers does not name "
                + operationKeyHeader
                + ": a repeated operation can run twice");
  }
}
