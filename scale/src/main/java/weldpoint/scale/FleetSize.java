package weldpoint.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import weldpoint.common.WeldpointException;

/** The size of one run. */
public record FleetSize(
    int cores,
    int boards,
    int realBoards,
    int upstreams,
    int services,
    int routes,
    double changesPerSecond,
    double returnsPerSecond,
    boolean tied,
    int tenants) {
  private static final int MOST_PROCESSES = 200;
  private static final long PROCESS_BYTES = 130L << 20;
  private static final long HOLLOW_BYTES = 400L << 10;

  /** A size without tenants. */
  public FleetSize(
      final int cores,
      final int boards,
      final int realBoards,
      final int upstreams,
      final int services,
      final int routes,
      final double changesPerSecond,
      final double returnsPerSecond,
      final boolean tied) {
    this(
        cores,
        boards,
        realBoards,
        upstreams,
        services,
        routes,
        changesPerSecond,
        returnsPerSecond,
        tied,
        0);
  }

  /** This size, checked against what the machine has. */
  public FleetSize checked() {
    if (cores < 1
        || cores > 40
        || boards < 0
        || realBoards < 1
        || upstreams < 1
        || services < 1
        || services > upstreams
        || routes < 1
        || tenants < 0
        || tenants > 100_000
        || changesPerSecond < 0
        || changesPerSecond > 20
        || returnsPerSecond < 0
        || returnsPerSecond > 200) {
      throw new WeldpointException(
          WeldpointException.Kind.USAGE,
          "the size "
              + this
              + " makes no sense; give 1 to 40 cores, at least one real switchboard, upstream, service and route, no more services than upstreams, and up to 20 changes and 200 returns a second");
    }
    if (processes() > MOST_PROCESSES) {
      throw new WeldpointException(
          WeldpointException.Kind.USAGE,
          processes()
              + " processes are too many for one machine; keep to "
              + MOST_PROCESSES
              + ", with more hollow switchboards and fewer real ones");
    }
    final long half = memory() / 2;
    if (needs() > half) {
      throw new WeldpointException(
          WeldpointException.Kind.USAGE,
          "about "
              + (needs() >> 20)
              + " MB are needed and half of this machine's memory is "
              + (half >> 20)
              + "; measure a smaller size");
    }
    return this;
  }

  int processes() {
    return 2 * cores + realBoards;
  }

  private long needs() {
    return processes() * PROCESS_BYTES + (boards + upstreams / 4L) * HOLLOW_BYTES;
  }

  private static long memory() {
    try {
      for (final String line : Files.readAllLines(Path.of("/proc/meminfo"))) {
        if (line.startsWith("MemTotal:")) {
          return Long.parseLong(line.replaceAll("[^0-9]", "")) << 10;
        }
      }
    } catch (final IOException problem) {
      throw new WeldpointException(
          WeldpointException.Kind.UNREADABLE, "/proc/meminfo cannot be read; run this on Linux");
    }
    throw new WeldpointException(
        WeldpointException.Kind.UNREADABLE,
        "/proc/meminfo does not tell the memory; run this on Linux");
  }
}
