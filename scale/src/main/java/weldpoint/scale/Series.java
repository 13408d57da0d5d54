package weldpoint.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The quantity that a scale measurement varies while everything else stays the same. The name in
 * lower case is the value of the --series flag.
 */
public enum Series {
  /** Number of proxies that receive streams from the registries. */
  BOARDS(new double[] {40, 120, 360}) {
    @Override
    FleetSize fleetSize(final double size) {
      return new FleetSize(3, (int) size, 1, 60, 3, 12, 0, 0, false);
    }
  },
  /** Number of registered upstreams, each of which sends heartbeats. */
  UPSTREAMS(new double[] {100, 400, 1600}) {
    @Override
    FleetSize fleetSize(final double size) {
      return new FleetSize(3, 12, 1, (int) size, 10, 12, 0, 0, false);
    }
  },
  /**
   * Number of core machines, and so of registries that reconcile the audit log and heartbeat ages
   * with each other.
   */
  CORES(new double[] {3, 6, 12}) {
    @Override
    FleetSize fleetSize(final double size) {
      return new FleetSize((int) size, 24, 1, 200, 5, 12, 0, 0, false);
    }
  },
  /** Number of routes in the configuration, with one configuration change every two seconds. */
  ROUTES(new double[] {20, 200, 1000}) {
    @Override
    FleetSize fleetSize(final double size) {
      return new FleetSize(3, 24, 1, 60, 5, (int) size, 0.5, 0, false);
    }
  },
  /** Number of services, with ten upstreams and one route each. */
  SERVICES(new double[] {5, 25, 125}) {
    @Override
    FleetSize fleetSize(final double size) {
      return new FleetSize(3, 12, 1, (int) size * 10, (int) size, (int) size, 0, 0, false);
    }
  },
  /** Number of tenants, with one API key each. */
  TENANTS(new double[] {500, 2000, 8000}) {
    @Override
    FleetSize fleetSize(final double size) {
      return new FleetSize(3, 4, 1, 20, 2, 6, 0, 0, false, (int) size);
    }
  },
  /** Configuration changes per second. */
  CHANGES(new double[] {0.25, 1, 4}) {
    @Override
    FleetSize fleetSize(final double size) {
      return new FleetSize(3, 48, 1, 60, 3, 12, size, 0, false);
    }
  },
  /** Proxy restarts per second. */
  RETURNS(new double[] {1, 4, 16}) {
    @Override
    FleetSize fleetSize(final double size) {
      return new FleetSize(3, 96, 1, 200, 5, 12, 0, size, false);
    }
  },
  /** Number of proxies that hold leases on placements. */
  LEASES(new double[] {20, 60, 240}) {
    @Override
    FleetSize fleetSize(final double size) {
      return new FleetSize(3, (int) size, 1, 60, 3, 12, 0, 0, true);
    }
  },
  /** Number of entries in the audit log, measured in this process without any daemon. */
  HISTORY(new double[] {5000, 20_000, 80_000}) {
    @Override
    FleetSize fleetSize(final double size) {
      return new FleetSize(1, 0, 1, 1, 1, 1, 0, 0, false);
    }

    @Override
    Map<String, Double> measureInProcess(final double size)
        throws IOException, InterruptedException {
      return HistoryMeasurement.measure((int) Math.min(1_000_000, size));
    }
  };

  private final double[] defaultSizes;

  Series(final double[] defaultSizes) {
    this.defaultSizes = defaultSizes;
  }

  abstract FleetSize fleetSize(double size);

  /** Measures a size in this process; returns null if the series needs daemon processes. */
  Map<String, Double> measureInProcess(final double size) throws IOException, InterruptedException {
    return null;
  }

  /** Returns the sizes that are measured unless --sizes is given. */
  public List<Double> defaultSizes() {
    final List<Double> list = new ArrayList<>();
    for (final double size : defaultSizes) {
      list.add(size);
    }
    return list;
  }
}
