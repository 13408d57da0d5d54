package weldpoint.ratelimit;

/**
 * One registry's equal share of all rate limits.
 *
 * @param shareCount into how many equal shares the limits are divided; no permits are granted below
 *     1
 * @param since when the registry got its share, in milliseconds of the steady clock; a time long
 *     ago if it had the share before its start
 */
public record QuotaShare(int shareCount, long since) {}
