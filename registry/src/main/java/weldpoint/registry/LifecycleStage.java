package weldpoint.registry;

import weldpoint.transport.RegistryMessages.Registration;

/**
 * The lifecycle stages of an upstream as its registration records them. Used by registries and
 * proxies; the ordinal is sent and stored.
 */
public enum LifecycleStage {
  /** It has sent its first heartbeat. */
  JOINED(0, true),
  /**
   * It was silent for too long, or another upstream claimed its address; a later heartbeat of the
   * same registration brings it back to joined.
   */
  LAPSED(0, false),
  /** It has announced that it will leave. */
  DRAINING(1, false),
  /** It has deregistered, or another upstream has taken over its address. */
  REMOVED(2, false);

  private static final LifecycleStage[] ALL = values();
  private final int precedence;
  private final boolean routable;

  LifecycleStage(final int precedence, final boolean routable) {
    this.precedence = precedence;
    this.routable = routable;
  }

  /** The stage of a registration. */
  public static LifecycleStage of(final Registration registration) {
    return ALL[registration.stage];
  }

  /** Whether requests may be sent to an upstream at this stage. */
  public boolean routable() {
    return routable;
  }

  /**
   * The later of two registrations of one upstream. It is the greater one in a total order, so that
   * merging is commutative, associative and idempotent, independent of clocks.
   */
  public static Registration later(final Registration one, final Registration other) {
    return compare(one, other) >= 0 ? one : other;
  }

  static int compare(final Registration one, final Registration other) {
    int order = Integer.compare(of(one).precedence, of(other).precedence);
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

  /**
   * A digest of what must be equal at all registries: sums of these show whether two sets of
   * registrations differ.
   */
  static long digest(final Registration registration) {
    long hash =
        registration.id.hashCode() * 0x9e3779b97f4a7c15L + registration.stage * 0xc2b2ae3d27d4eb4fL;
    hash ^= hash >>> 31;
    return hash * 0xff51afd7ed558ccdL;
  }
}
