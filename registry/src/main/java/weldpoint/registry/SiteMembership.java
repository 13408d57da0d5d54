package weldpoint.registry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import weldpoint.transport.Message;
import weldpoint.transport.RegistryMessages;

/** The proxies of each site; sent to the proxies of that site, and only when the list changes. */
final class SiteMembership {
  private final Map<Object, String> siteByStream = new HashMap<>();
  private Map<String, RegistryMessages.SiteProxies> current = Map.of();

  void addStream(final Object stream, final String site) {
    siteByStream.put(stream, site);
  }

  void removeStream(final Object stream) {
    siteByStream.remove(stream);
  }

  void sendTo(final Object stream, final BiConsumer<Object, Message> sender) {
    final RegistryMessages.SiteProxies members = current.get(siteByStream.getOrDefault(stream, ""));
    if (members != null) {
      sender.accept(stream, members);
    }
  }

  /** Takes the current proxies of each site. */
  void update(
      final Map<String, List<String>> proxiesBySite,
      final Set<Object> streams,
      final BiConsumer<Object, Message> sender) {
    final Map<String, RegistryMessages.SiteProxies> next = new HashMap<>();
    proxiesBySite.forEach(
        (site, addresses) -> {
          addresses.sort(null);
          final RegistryMessages.SiteProxies previous = current.get(site);
          next.put(
              site,
              previous != null && previous.addresses.equals(addresses)
                  ? previous
                  : new RegistryMessages.SiteProxies(addresses));
        });
    final Map<String, RegistryMessages.SiteProxies> previousBySite = current;
    current = next;
    next.forEach(
        (site, members) -> {
          if (previousBySite.get(site) != members) {
            for (final Object stream : streams) {
              if (site.equals(siteByStream.get(stream))) {
                sender.accept(stream, members);
              }
            }
          }
        });
  }
}
