package weldpoint.registry;

import java.util.ArrayList;
import java.util.List;
import weldpoint.transport.RegistryMessages.DaemonEntry;

/** Answers of the directory: which proxies a client at some site should use. */
final class Directory {
  private final DaemonTable daemons;

  Directory(final DaemonTable daemons) {
    this.daemons = daemons;
  }

  /**
   * The proxy addresses that a client at this site should use: those of its site, those of its
   * region if there are fewer than two, otherwise any; empty if none is known. A registry that is
   * cut off also lists proxies that it has not heard of recently.
   */
  List<String> resolve(
      final String region,
      final String site,
      final int limit,
      final boolean cutOff,
      final long now) {
    final List<DaemonEntry> live = new ArrayList<>();
    final List<DaemonEntry> stale = new ArrayList<>();
    for (final DaemonTable.Entry entry : daemons.all()) {
      if (!entry.daemon.leaving && !entry.daemon.cacheDaemon) {
        (now - entry.heardAt < DaemonTable.LIVE_MILLIS ? live : stale).add(entry.daemon);
      }
    }
    if (live.isEmpty() || cutOff) {
      live.addAll(stale);
    }
    final List<String> chosen = new ArrayList<>();
    for (final DaemonEntry proxy : live) {
      if (proxy.site.equals(site)) {
        chosen.add(proxy.trafficAddress);
      }
    }
    if (chosen.size() < 2) {
      for (final DaemonEntry proxy : live) {
        if (proxy.region.equals(region) && !chosen.contains(proxy.trafficAddress)) {
          chosen.add(proxy.trafficAddress);
        }
      }
    }
    if (chosen.isEmpty()) {
      for (final DaemonEntry proxy : live) {
        chosen.add(proxy.trafficAddress);
      }
    }
    return chosen.size() > limit ? chosen.subList(0, limit) : chosen;
  }
}
