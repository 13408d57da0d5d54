package weldpoint.toll;

import java.util.HashMap;
import java.util.Map;
import weldpoint.boot.Boot;
import weldpoint.dialplan.Dialplan;

/**
 * Gives out one exchange's fixed part of every allowance. The parts of all voters together never
 * exceed the allowance, so that no exchange needs to know what another gave.
 */
public final class Tollhouse {
  private final Boot boot;
  private final long startedAt;
  private final boolean firstStart;
  private final Map<String, Purse> purses = new HashMap<>();
  private long granted;
  private long refused;

  /** A house that opens now; at the very first start nothing can have been given before. */
  public Tollhouse(final Boot boot, final boolean firstStart, final long now) {
    this.boot = boot;
    this.firstStart = firstStart;
    this.startedAt = now;
  }

  /** Grants up to this many permits, being one of so many parts since then. */
  public int grant(
      final String permit,
      final int count,
      final Dialplan plan,
      final int parts,
      final long partSince,
      final long now) {
    final Tariff tariff = Tariff.of(permit);
    if (tariff == null || plan == null || parts < 1 || count < 1) {
      return 0;
    }
    final double allowance = tariff.allowance(boot, plan, tariff.bare(permit));
    if (allowance >= Tariff.UNLIMITED) {
      return count;
    }
    final long window = tariff.windowMillis(boot) + tariff.transitMillis();
    double limit = tariff.exchangesPart() * allowance / parts;
    if (tariff.forgiving()) {
      limit /= 2;
    } else if (!firstStart && now - startedAt < window) {
      limit = 0;
    }
    if (!firstStart && now - partSince < window && partSince > startedAt) {
      limit = 0;
    }
    final int taken =
        purses.computeIfAbsent(permit, name -> new Purse(window)).take(count, limit, now);
    granted += taken;
    refused += count - taken;
    return taken;
  }

  /** How many permits were granted. */
  public long granted() {
    return granted;
  }

  /** How many were asked for and not granted here. */
  public long refused() {
    return refused;
  }
}
