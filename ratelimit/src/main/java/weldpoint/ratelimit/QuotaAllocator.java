package weldpoint.ratelimit;

import java.util.HashMap;
import java.util.Map;
import weldpoint.boot.Boot;
import weldpoint.dialplan.Dialplan;

/**
 * Gives out one exchange's fixed part of every allowance. The parts of all voters together never
 * exceed the allowance, so that no exchange needs to know what another gave.
 */
public final class QuotaAllocator {
  private final Boot boot;
  private final long startedAt;
  private final boolean firstStart;
  private final Map<String, SlidingWindowCounter> counters = new HashMap<>();
  private long granted;
  private long refused;

  /** A allocator that opens now; at the very first start nothing can have been given before. */
  public QuotaAllocator(final Boot boot, final boolean firstStart, final long now) {
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
    final RateLimit rateLimit = RateLimit.of(permit);
    if (rateLimit == null || plan == null || parts < 1 || count < 1) {
      return 0;
    }
    final double allowance = rateLimit.allowance(boot, plan, rateLimit.bare(permit));
    if (allowance >= RateLimit.UNLIMITED) {
      return count;
    }
    final long window = rateLimit.windowMillis(boot) + rateLimit.transitMillis();
    double limit = rateLimit.exchangesPart() * allowance / parts;
    if (rateLimit.forgiving()) {
      limit /= 2;
    } else if (!firstStart && now - startedAt < window) {
      limit = 0;
    }
    if (!firstStart && now - partSince < window && partSince > startedAt) {
      limit = 0;
    }
    final int taken =
        counters
            .computeIfAbsent(permit, name -> new SlidingWindowCounter(window))
            .take(count, limit, now);
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
