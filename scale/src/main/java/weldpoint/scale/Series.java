package weldpoint.scale;

import java.util.ArrayList;
import java.util.List;

/** What is varied while everything else stays. */
public enum Series {
  /** Switchboards that stream from the exchanges. */
  BOARDS(new double[] {40, 120, 360}) {
    @Override
    Sizes sizes(final double size) {
      return new Sizes(3, (int) size, 1, 60, 3, 12, 0, 0, false);
    }
  },
  /** Registered upstreams, each of which beats. */
  UPSTREAMS(new double[] {100, 400, 1600}) {
    @Override
    Sizes sizes(final double size) {
      return new Sizes(3, 12, 1, (int) size, 10, 12, 0, 0, false);
    }
  },
  /** Core machines, and so exchanges among whom history and ages are reconciled. */
  CORES(new double[] {3, 6, 12}) {
    @Override
    Sizes sizes(final double size) {
      return new Sizes((int) size, 24, 1, 200, 5, 12, 0, 0, false);
    }
  },
  /** Routes in the configuration, with one change each two seconds. */
  ROUTES(new double[] {20, 200, 1000}) {
    @Override
    Sizes sizes(final double size) {
      return new Sizes(3, 24, 1, 60, 5, (int) size, 0.5, 0, false);
    }
  },
  /** Services, with ten upstreams and one route each. */
  SERVICES(new double[] {5, 25, 125}) {
    @Override
    Sizes sizes(final double size) {
      return new Sizes(3, 12, 1, (int) size * 10, (int) size, (int) size, 0, 0, false);
    }
  },
  /** Changes of the configuration a second. */
  CHANGES(new double[] {0.25, 1, 4}) {
    @Override
    Sizes sizes(final double size) {
      return new Sizes(3, 48, 1, 60, 3, 12, size, 0, false);
    }
  },
  /** Switchboards that restart a second. */
  RETURNS(new double[] {1, 4, 16}) {
    @Override
    Sizes sizes(final double size) {
      return new Sizes(3, 96, 1, 200, 5, 12, 0, size, false);
    }
  },
  /** Switchboards that hold leases on placements. */
  LEASES(new double[] {20, 60, 240}) {
    @Override
    Sizes sizes(final double size) {
      return new Sizes(3, (int) size, 1, 60, 3, 12, 0, 0, true);
    }
  };

  private final double[] usual;

  Series(final double[] usual) {
    this.usual = usual;
  }

  abstract Sizes sizes(double size);

  /** The sizes measured unless others are named. */
  public List<Double> usual() {
    final List<Double> list = new ArrayList<>();
    for (final double size : usual) {
      list.add(size);
    }
    return list;
  }
}
