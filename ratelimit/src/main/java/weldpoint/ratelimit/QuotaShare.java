package weldpoint.ratelimit;

/**
 * One registry's part of all limits.
 *
 * @param parts into how many equal parts the limits are divided
 * @param since when the registry was given its part, in milliseconds of the steady clock; long ago
 *     where it had it before its start
 */
public record QuotaShare(int parts, long since) {}
