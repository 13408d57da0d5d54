package weldpoint.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import weldpoint.transport.RegistryMessages.DaemonEntry;

/** What the daemons that this registry knows of have in force, as each told last. */
final class AppliedStateTable {
  /** The program name under which registries are listed. */
  static final String REGISTRY = "exchange";

  private static final String PROXY = "switchboard";
  private static final String CACHE = "announcer";

  private record Report(long version, long mark, long heldMillis, long at) {}

  private final Map<String, Report> registries = new HashMap<>();

  /** Another registry told what it has in force. */
  void told(
      final String address,
      final long version,
      final long mark,
      final long heldMillis,
      final long now) {
    registries.put(address, new Report(version, mark, heldMillis, now));
  }

  /** This registry's own, then other members, then proxies and caches that are not leaving. */
  List<AppliedState> all(
      final AppliedState own,
      final Set<String> members,
      final Collection<DaemonTable.Entry> proxies,
      final long now) {
    final List<AppliedState> list = new ArrayList<>();
    list.add(own);
    for (final String member : members) {
      if (!member.equals(own.address())) {
        list.add(registry(member, now));
      }
    }
    for (final DaemonTable.Entry entry : proxies) {
      final DaemonEntry board = entry.board;
      if (!board.leaving) {
        list.add(
            new AppliedState(
                board.address,
                board.cacheDaemon ? CACHE : PROXY,
                board.version,
                board.controlRevision,
                board.appliedForMillis,
                now - entry.heardAt));
      }
    }
    return list;
  }

  private AppliedState registry(final String address, final long now) {
    final Report told = registries.get(address);
    return told == null
        ? new AppliedState(address, REGISTRY, 0, 0, 0, Long.MAX_VALUE)
        : new AppliedState(
            address, REGISTRY, told.version, told.mark, told.heldMillis, now - told.at);
  }
}
