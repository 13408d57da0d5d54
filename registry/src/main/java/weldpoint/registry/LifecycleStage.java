package weldpoint.registry;

import weldpoint.transport.RegistryMessages.Registration;

/** The steps of an upstream's life as the history records them. */
public enum LifecycleStage {
  /** Its first beat came. */
  JOINED(0, true),
  /**
   * It was silent for so long that it was written off; a later beat of the same life takes that
   * back.
   */
  LAPSED(0, false),
  /** It has said that it will leave. */
  DRAINING(1, false),
  /** It has signed off, or another life has taken its address. */
  REMOVED(2, false);

  private static final LifecycleStage[] ALL = values();
  private final int rank;
  private final boolean open;

  LifecycleStage(final int rank, final boolean open) {
    this.rank = rank;
    this.open = open;
  }

  /** The stage of a registration. */
  public static LifecycleStage of(final Registration registration) {
    return ALL[registration.stage];
  }

  /** Whether requests may be sent to an upstream at this stage. */
  public boolean open() {
    return open;
  }

  /**
   * The later of two registrations of one upstream. It is the greater one of a total order, so that
   * merging is commutative, associative and idempotent, whatever the clocks say.
   */
  public static Registration later(final Registration one, final Registration other) {
    return compare(one, other) >= 0 ? one : other;
  }

  static int compare(final Registration one, final Registration other) {
    int order = Integer.compare(of(one).rank, of(other).rank);
    if (order == 0) {
      order = Long.compare(one.sequence, other.sequence);
    }
    if (order == 0) {
      order = Integer.compare(one.stage, other.stage);
    }
    if (order == 0) {
      order = Long.compare(other.issuedAt, one.issuedAt);
    }
    if (order == 0) {
      order = Long.compare(one.warmupMillis, other.warmupMillis);
    }
    if (order == 0) {
      order = String.valueOf(one.address).compareTo(String.valueOf(other.address));
    }
    return order;
  }

  /** A digest of what must be alike everywhere: sums of these tell whether two histories differ. */
  static long digest(final Registration registration) {
    long hash =
        registration.id.hashCode() * 0x9e3779b97f4a7c15L + registration.stage * 0xc2b2ae3d27d4eb4fL;
    hash ^= hash >>> 31;
    return hash * 0xff51afd7ed558ccdL;
  }
}
