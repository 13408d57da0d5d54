package weldpoint.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import weldpoint.common.WeldpointException;

/** The size of one run. */
public record FleetSize(
    int cores,
    int proxies,
    int realProxies,
    int upstreams,
    int services,
    int routes,
    double changesPerSecond,
    double restartsPerSecond,
    boolean affinity,
    int tenants) {
  private static final int MAX_PROCESSES = 200;
  private static final long PROCESS_BYTES = 130L << 20;
  private static final long SIMULATED_PROXY_BYTES = 400L << 10;

  /** A size without tenants. */
  public FleetSize(
      final int cores,
      final int proxies,
      final int realProxies,
      final int upstreams,
      final int services,
      final int routes,
      final double changesPerSecond,
      final double restartsPerSecond,
      final boolean affinity) {
    this(
        cores,
        proxies,
        realProxies,
        upstreams,
        services,
        routes,
        changesPerSecond,
        restartsPerSecond,
        affinity,
        0);
  }

  /** This size, checked against what the machine has. */
  public FleetSize validated() {
    if (cores < 1
        || cores > 40
        || proxies < 0
        || realProxies < 1
        || upstreams < 1
        || services < 1
        || services > upstreams
        || routes < 1
        || tenants < 0
        || tenants > 100_000
        || changesPerSecond < 0
        || changesPerSecond > 20
        || restartsPerSecond < 0
        || restartsPerSecond > 200) {
      throw new WeldpointException(
          WeldpointException.Kind.USAGE,
          "the size "
              + this
              + " makes no sense; give 1 to 40 cores, at least one real switchboard, upstream, service and route, no more services than upstreams, and up to 20 changes and 200 returns a second");
    }
    if (processes() > MAX_PROCESSES) {
      throw new WeldpointException(
          WeldpointException.Kind.USAGE,
          processes()
              + " processes are too many for one machine; keep to "
              + MAX_PROCESSES
              + ", with more hollow switchboards and fewer real ones");
    }
    final long halfOfMemory = totalMemoryBytes() / 2;
    if (estimatedBytes() > halfOfMemory) {
      throw new WeldpointException(
          WeldpointException.Kind.USAGE,
          "about "
              + (estimatedBytes() >> 20)
              + " MB are needed and half of this machine's memory is "
              + (halfOfMemory >> 20)
              + "; measure a smaller size");
    }
    return this;
  }

  int processes() {
    return 2 * cores + realProxies;
  }

  private long estimatedBytes() {
    return processes() * PROCESS_BYTES + (proxies + upstreams / 4L) * SIMULATED_PROXY_BYTES;
  }

  private static long totalMemoryBytes() {
    try {
      for (final String line : Files.readAllLines(Path.of("/proc/meminfo"))) {
        if (line.startsWith("MemTotal:")) {
          return Long.parseLong(line.replaceAll("[^0-9]", "")) << 10;
        }
      }
    } catch (final IOException exception) {
      throw new WeldpointException(
          WeldpointException.Kind.UNREADABLE, "/proc/meminfo cannot be read; run this on Linux");
    }
    throw new WeldpointException(
        WeldpointException.Kind.UNREADABLE,
        "/proc/meminfo does not tell the memory; run this on Linux");
  }
}
