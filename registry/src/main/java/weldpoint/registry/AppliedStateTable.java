package weldpoint.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import weldpoint.transport.RegistryMessages.DaemonEntry;

/** What the daemons known to this registry have applied, by each one's last report. */
final class AppliedStateTable {
  /** The program name under which registries are listed. */
  static final String REGISTRY = "exchange";

  private static final String PROXY = "switchboard";
  private static final String CACHE = "announcer";

  private record Report(long version, long orderVersion, long appliedMillis, long receivedAt) {}

  private final Map<String, Report> registries = new HashMap<>();

  /** Records another registry's report of what it has applied. */
  void report(
      final String address,
      final long version,
      final long orderVersion,
      final long appliedMillis,
      final long now) {
    registries.put(address, new Report(version, orderVersion, appliedMillis, now));
  }

  /**
   * Lists this registry's own state, then other registries', then those of proxies and caches that
   * are not leaving.
   */
  List<AppliedState> all(
      final AppliedState own,
      final Set<String> members,
      final Collection<DaemonTable.Entry> daemons,
      final long now) {
    final List<AppliedState> list = new ArrayList<>();
    list.add(own);
    for (final String member : members) {
      if (!member.equals(own.address())) {
        list.add(registry(member, now));
      }
    }
    for (final DaemonTable.Entry entry : daemons) {
      final DaemonEntry daemon = entry.daemon;
      if (!daemon.leaving) {
        list.add(
            new AppliedState(
                daemon.address,
                daemon.cacheDaemon ? CACHE : PROXY,
                daemon.version,
                daemon.controlRevision,
                daemon.appliedForMillis,
                now - entry.heardAt));
      }
    }
    return list;
  }

  private AppliedState registry(final String address, final long now) {
    final Report report = registries.get(address);
    return report == null
        ? new AppliedState(address, REGISTRY, 0, 0, 0, Long.MAX_VALUE)
        : new AppliedState(
            address,
            REGISTRY,
            report.version,
            report.orderVersion,
            report.appliedMillis,
            now - report.receivedAt);
  }
}
