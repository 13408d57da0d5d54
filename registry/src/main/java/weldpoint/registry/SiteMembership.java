package weldpoint.registry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import weldpoint.transport.Message;
import weldpoint.transport.RegistryMessages;

/** Which switchboards share a site: told to those of the site, and only when it changes. */
final class SiteMembership {
  private final Map<Object, String> sites = new HashMap<>();
  private Map<String, RegistryMessages.SiteProxies> known = Map.of();

  void stream(final Object stream, final String site) {
    sites.put(stream, site);
  }

  void closed(final Object stream) {
    sites.remove(stream);
  }

  void tell(final Object stream, final BiConsumer<Object, Message> board) {
    final RegistryMessages.SiteProxies one = known.get(sites.getOrDefault(stream, ""));
    if (one != null) {
      board.accept(stream, one);
    }
  }

  /** Takes who lives where now. */
  void keep(
      final Map<String, List<String>> present,
      final Set<Object> streams,
      final BiConsumer<Object, Message> board) {
    final Map<String, RegistryMessages.SiteProxies> next = new HashMap<>();
    present.forEach(
        (site, addresses) -> {
          addresses.sort(null);
          final RegistryMessages.SiteProxies before = known.get(site);
          next.put(
              site,
              before != null && before.addresses.equals(addresses)
                  ? before
                  : new RegistryMessages.SiteProxies(addresses));
        });
    final Map<String, RegistryMessages.SiteProxies> last = known;
    known = next;
    next.forEach(
        (site, one) -> {
          if (last.get(site) != one) {
            for (final Object stream : streams) {
              if (site.equals(sites.get(stream))) {
                board.accept(stream, one);
              }
            }
          }
        });
  }
}
