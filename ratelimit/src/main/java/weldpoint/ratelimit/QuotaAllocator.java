package weldpoint.ratelimit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import weldpoint.common.Settings;
import weldpoint.routing.RoutingTable;

/**
 * Grants permits out of this registry's fixed share of every rate limit. The shares of all voters
 * together never exceed the limit, whatever happens to any of them, so no registry needs to know
 * what another one granted, or what it granted itself before a restart. Not thread-safe.
 */
public final class QuotaAllocator {
  /** From this many tenants on, idle shares are evicted to bound memory. */
  private static final int EVICTION_THRESHOLD = 10_000;

  private static final long EVICTION_INTERVAL_MILLIS = 10_000;

  private final Settings settings;
  private final long startedAt;
  private final boolean firstStart;
  private final Map<String, TenantShare> tenantShares = new HashMap<>();
  private final Map<String, SlidingWindowCounter> originCounters = new HashMap<>();
  private long evictedAt;
  private long shareSince = Long.MIN_VALUE;
  private long granted;
  private long refused;

  /**
   * Creates an allocator for a process that starts now.
   *
   * @param firstStart whether the system starts for the very first time, so that nothing can have
   *     been granted before
   * @param now milliseconds of the steady clock
   */
  public QuotaAllocator(final Settings settings, final boolean firstStart, final long now) {
    this.settings = settings;
    this.firstStart = firstStart;
    this.startedAt = now;
  }

  /**
   * Grants up to {@code count} permits out of this registry's share; returns how many were granted.
   * An unknown limit, tenant or service is granted none, one without a limit all.
   */
  public int grant(
      final String permit,
      final int count,
      final RoutingTable routingTable,
      final QuotaShare quotaShare,
      final long now) {
    final RateLimit limit = RateLimit.of(permit);
    if (limit == null || routingTable == null || quotaShare.shareCount() < 1 || count < 1) {
      return 0;
    }
    if (quotaShare.since() != shareSince) {
      shareSince = quotaShare.since();
      tenantShares.clear();
    }
    final String name = limit.subjectName(permit);
    final int grantedCount =
        limit == RateLimit.TENANT
            ? grantTenant(routingTable.tenant(name), count, quotaShare, now)
            : grantOrigin(routingTable, name, count, quotaShare, now);
    granted += grantedCount;
    refused += count - grantedCount;
    return grantedCount;
  }

  private int grantTenant(
      final RoutingTable.Tenant tenant,
      final int count,
      final QuotaShare quotaShare,
      final long now) {
    if (tenant == null) {
      return 0;
    }
    if (tenant.ratePerSecond() <= 0) {
      return count;
    }
    if (tenantShares.size() >= EVICTION_THRESHOLD && now - evictedAt >= EVICTION_INTERVAL_MILLIS) {
      evictedAt = now;
      tenantShares.values().removeIf(share -> share.isIdle(now));
    }
    final RateLimit.TenantLimit limit =
        RateLimit.TenantLimit.of(settings, tenant, quotaShare.shareCount());
    return tenantShares
        .computeIfAbsent(tenant.name(), name -> newTenantShare(limit.capacity(), quotaShare))
        .acquireUpTo(count, limit.perMilli(), limit.capacity(), now);
  }

  /**
   * Creates a tenant's share: full at the very first start of the system, empty after any other
   * start or when this registry got a new share.
   */
  private TenantShare newTenantShare(final double capacity, final QuotaShare quotaShare) {
    final long window = settings.quotaWindowMillis();
    return firstStart && quotaShare.since() <= startedAt
        ? new TenantShare(capacity, startedAt, window)
        : new TenantShare(0, Math.max(startedAt, quotaShare.since()), window);
  }

  private int grantOrigin(
      final RoutingTable routingTable,
      final String name,
      final int count,
      final QuotaShare quotaShare,
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
    final boolean afterRestart = !firstStart && now - startedAt < window;
    final boolean newShare =
        !firstStart && quotaShare.since() > startedAt && now - quotaShare.since() < window;
    final double limit =
        afterRestart || newShare
            ? 0
            : RateLimit.originAllowance(settings, rate) / quotaShare.shareCount();
    return originCounters
        .computeIfAbsent(name, unused -> new SlidingWindowCounter(window))
        .acquireUpTo(count, limit, now);
  }

  /** Returns whether this process was started as the very first start of the system. */
  public boolean firstStart() {
    return firstStart;
  }

  /**
   * What a tenant was granted here since its share was created.
   *
   * @param tenant the tenant's name
   * @param granted permits granted
   * @param refused permits requested and not granted here
   */
  public record TenantCount(String tenant, long granted, long refused) {}

  /** Returns the counts of up to {@code limit} tenants. */
  public List<TenantCount> tenantCounts(final int limit) {
    final List<TenantCount> counts = new ArrayList<>();
    for (final Map.Entry<String, TenantShare> entry : tenantShares.entrySet()) {
      if (counts.size() == limit) {
        break;
      }
      final TenantShare share = entry.getValue();
      counts.add(new TenantCount(entry.getKey(), share.granted(), share.refused()));
    }
    return counts;
  }

  /** Returns the number of permits granted. */
  public long granted() {
    return granted;
  }

  /** Returns the number of permits requested and not granted here. */
  public long refused() {
    return refused;
  }
}
