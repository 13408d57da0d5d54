package weldpoint.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import weldpoint.common.WeldpointException;

/**
 * The size of the fleet in one scale run: core machines, proxies simulated in this process and
 * proxies run as processes, and what is configured and changed while measuring. Immutable.
 */
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

  /** Creates a size without tenants. */
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

  /**
   * Returns this size if it is valid. Throws {@link WeldpointException} of kind USAGE if a value is
   * out of range, if it needs more than 200 processes, or if its estimated memory exceeds half of
   * the machine's.
   */
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
              + " is invalid; give 1 to 40 cores, at least one real switchboard, upstream, service and route, no more services than upstreams, and up to 20 changes and 200 restarts a second");
    }
    if (processes() > MAX_PROCESSES) {
      throw new WeldpointException(
          WeldpointException.Kind.USAGE,
          processes()
              + " processes are too many for one machine; keep to "
              + MAX_PROCESSES
              + ", with more simulated switchboards and fewer real ones");
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
        "/proc/meminfo has no MemTotal line; run this on Linux");
  }
}
