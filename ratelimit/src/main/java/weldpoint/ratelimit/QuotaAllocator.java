package weldpoint.ratelimit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import weldpoint.common.Settings;
import weldpoint.routing.RoutingTable;

/**
 * Gives out one registry's fixed part of every limit. The parts of all voters together never exceed
 * the limit, whatever becomes of any of them, so that no registry needs to know what another gave,
 * nor what it gave itself in an earlier life.
 */
public final class QuotaAllocator {
  private static final int MANY_TENANTS = 10_000;
  private static final long FORGET_MILLIS = 10_000;

  private final Settings settings;
  private final long startedAt;
  private final boolean firstStart;
  private final Map<String, TenantShare> tenants = new HashMap<>();
  private final Map<String, SlidingWindowCounter> origins = new HashMap<>();
  private long forgotAt;
  private long partSince = Long.MIN_VALUE;
  private long granted;
  private long refused;

  /**
   * An allocator of a process that starts now; at the very first start of the system nothing can
   * have been given before.
   */
  public QuotaAllocator(final Settings settings, final boolean firstStart, final long now) {
    this.settings = settings;
    this.firstStart = firstStart;
    this.startedAt = now;
  }

  /** Grants up to so many permits out of a part. */
  public int grant(
      final String permit,
      final int count,
      final RoutingTable routingTable,
      final QuotaShare part,
      final long now) {
    final RateLimit limit = RateLimit.of(permit);
    if (limit == null || routingTable == null || part.parts() < 1 || count < 1) {
      return 0;
    }
    if (part.since() != partSince) {
      partSince = part.since();
      tenants.clear();
    }
    final String name = limit.bare(permit);
    final int taken =
        limit == RateLimit.TENANT
            ? grantTenant(routingTable.tenant(name), count, part, now)
            : grantOrigin(routingTable, name, count, part, now);
    granted += taken;
    refused += count - taken;
    return taken;
  }

  private int grantTenant(
      final RoutingTable.Tenant tenant, final int count, final QuotaShare part, final long now) {
    if (tenant == null) {
      return 0;
    }
    if (tenant.ratePerSecond() <= 0) {
      return count;
    }
    if (tenants.size() >= MANY_TENANTS && now - forgotAt >= FORGET_MILLIS) {
      forgotAt = now;
      tenants.values().removeIf(share -> share.idle(now));
    }
    final RateLimit.TenantLimit limit = RateLimit.TenantLimit.of(settings, tenant, part.parts());
    return tenants
        .computeIfAbsent(tenant.name(), name -> share(limit.capacity(), part))
        .take(count, limit.perMilli(), limit.capacity(), now);
  }

  /** A share is full at the system's first start, and empty at any other start. */
  private TenantShare share(final double capacity, final QuotaShare part) {
    final long window = settings.quotaWindowMillis();
    return firstStart && part.since() <= startedAt
        ? new TenantShare(capacity, startedAt, window)
        : new TenantShare(0, Math.max(startedAt, part.since()), window);
  }

  private int grantOrigin(
      final RoutingTable routingTable,
      final String name,
      final int count,
      final QuotaShare part,
      final long now) {
    final int service = routingTable.serviceIndex(name);
    if (service < 0) {
      return 0;
    }
    final double rate = routingTable.services().get(service).ratePerSecond();
    if (rate <= 0) {
      return count;
    }
    final long window = settings.originWindowMillis() + RateLimit.ORIGIN_TRANSIT_MILLIS;
    final boolean earlierLife = !firstStart && now - startedAt < window;
    final boolean newPart = !firstStart && part.since() > startedAt && now - part.since() < window;
    final double allowed =
        earlierLife || newPart ? 0 : RateLimit.originAllowance(settings, rate) / part.parts();
    return origins
        .computeIfAbsent(name, unused -> new SlidingWindowCounter(window))
        .take(count, allowed, now);
  }

  /** Whether the system has never run before. */
  public boolean firstStart() {
    return firstStart;
  }

  /**
   * What a tenant was given here since this process took its part.
   *
   * @param tenant the tenant's name
   * @param granted permits granted
   * @param refused permits asked for and not granted here
   */
  public record TenantCount(String tenant, long granted, long refused) {}

  /** The counts of so many tenants at most. */
  public List<TenantCount> tenantCounts(final int most) {
    final List<TenantCount> counts = new ArrayList<>();
    for (final Map.Entry<String, TenantShare> entry : tenants.entrySet()) {
      if (counts.size() == most) {
        break;
      }
      final TenantShare share = entry.getValue();
      counts.add(new TenantCount(entry.getKey(), share.granted(), share.refused()));
    }
    return counts;
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
