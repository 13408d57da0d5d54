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
      final int most,
      final boolean cutOff,
      final long now) {
    final List<DaemonEntry> live = new ArrayList<>();
    final List<DaemonEntry> dim = new ArrayList<>();
    for (final DaemonTable.Entry entry : daemons.all()) {
      if (!entry.board.leaving && !entry.board.cacheDaemon) {
        (now - entry.heardAt < DaemonTable.LIVE_MILLIS ? live : dim).add(entry.board);
      }
    }
    if (live.isEmpty() || cutOff) {
      live.addAll(dim);
    }
    final List<String> near = new ArrayList<>();
    for (final DaemonEntry board : live) {
      if (board.site.equals(site)) {
        near.add(board.trafficAddress);
      }
    }
    if (near.size() < 2) {
      for (final DaemonEntry board : live) {
        if (board.region.equals(region) && !near.contains(board.trafficAddress)) {
          near.add(board.trafficAddress);
        }
      }
    }
    if (near.isEmpty()) {
      for (final DaemonEntry board : live) {
        near.add(board.trafficAddress);
      }
    }
    return near.size() > most ? near.subList(0, most) : near;
  }
}
