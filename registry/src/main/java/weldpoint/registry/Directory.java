package weldpoint.registry;

import java.util.ArrayList;
import java.util.List;
import weldpoint.transport.RegistryMessages.Board;

/** Answers of the directory: which switchboards a client in some place should use. */
final class Directory {
  private final Switchboards switchboards;

  Directory(final Switchboards switchboards) {
    this.switchboards = switchboards;
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
    final List<Board> live = new ArrayList<>();
    final List<Board> dim = new ArrayList<>();
    for (final Switchboards.Entry entry : switchboards.all()) {
      if (!entry.board.leaving && !entry.board.announcer) {
        (now - entry.heardAt < Switchboards.LIVE_MILLIS ? live : dim).add(entry.board);
      }
    }
    if (live.isEmpty() || cutOff) {
      live.addAll(dim);
    }
    final List<String> near = new ArrayList<>();
    for (final Board board : live) {
      if (board.site.equals(site)) {
        near.add(board.front);
      }
    }
    if (near.size() < 2) {
      for (final Board board : live) {
        if (board.region.equals(region) && !near.contains(board.front)) {
          near.add(board.front);
        }
      }
    }
    if (near.isEmpty()) {
      for (final Board board : live) {
        near.add(board.front);
      }
    }
    return near.size() > most ? near.subList(0, most) : near;
  }
}
