package weldpoint.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Judges what the upstreams saw, apart from the daemons' own counts: each idempotency key and each
 * attempt of a write runs once, and no tenant runs more than its limit in any window.
 */
final class Bounds {
  private Bounds() {}

  /** Each key that ran more than once within a span of milliseconds, with its runs. */
  static List<String> doubledKeys(final List<Run> runs, final long spanMillis) {
    final Map<String, Run> last = new HashMap<>();
    final List<String> broken = new ArrayList<>();
    for (final Run run : runs) {
      if (run.key().isEmpty()) {
        continue;
      }
      final Run before = last.put(run.tenant() + "/" + run.key(), run);
      if (before != null && run.startedAt() - before.startedAt() < spanMillis) {
        broken.add("two runs of one key: " + before + " and " + run);
      }
    }
    return broken;
  }

  /** The most runs of a tenant in any window of this many milliseconds. */
  static int mostInWindow(final List<Run> runs, final String tenant, final long windowMillis) {
    final List<Long> times =
        runs.stream()
            .filter(run -> run.tenant().equals(tenant))
            .map(Run::startedAt)
            .sorted()
            .toList();
    int most = 0;
    int first = 0;
    for (int next = 0; next < times.size(); next++) {
      while (times.get(next) - times.get(first) >= windowMillis) {
        first++;
      }
      most = Math.max(most, next - first + 1);
    }
    return most;
  }
}
