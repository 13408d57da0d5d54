package weldpoint.registry;

import java.util.ArrayList;
import java.util.List;
import weldpoint.transport.RegistryMessages.DaemonEntry;

/** Answers of the directory: which switchboards a client in some place should use. */
final class Directory {
  private final DaemonTable daemons;

  Directory(final DaemonTable daemons) {
    this.daemons = daemons;
  }

  /**
   * The fronts that a client in this place should use; empty where none is known. One that is cut
   * off also names those of whom it has heard nothing lately.
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
      if (!entry.daemon.leaving && !entry.daemon.announcer) {
        (now - entry.heardAt < DaemonTable.LIVE_MILLIS ? live : stale).add(entry.daemon);
      }
    }
    if (live.isEmpty() || cutOff) {
      live.addAll(stale);
    }
    final List<String> chosen = new ArrayList<>();
    for (final DaemonEntry proxy : live) {
      if (proxy.site.equals(site)) {
        chosen.add(proxy.front);
      }
    }
    if (chosen.size() < 2) {
      for (final DaemonEntry proxy : live) {
        if (proxy.region.equals(region) && !chosen.contains(proxy.front)) {
          chosen.add(proxy.front);
        }
      }
    }
    if (chosen.isEmpty()) {
      for (final DaemonEntry proxy : live) {
        chosen.add(proxy.front);
      }
    }
    return chosen.size() > limit ? chosen.subList(0, limit) : chosen;
  }
}
