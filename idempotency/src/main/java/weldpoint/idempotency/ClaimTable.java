package weldpoint.idempotency;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import weldpoint.transport.KeyMessages.Claim;

/**
 * The claims that one voter remembers: a key belongs to the first claim until the claim expires or
 * its claimant releases it. Not thread-safe, and without a clock of its own; times are milliseconds
 * of the voter's monotonic clock.
 *
 * <p>Claims that are restored from disk or learned from other voters may include several claims of
 * one key, of which any may have been granted. Such a key is granted to none of them until it
 * expires or all but one of the claims have been released.
 */
public final class ClaimTable {
  /** The maximum retention of a claim; above that of the longest key window and deadline. */
  static final long MAX_RETENTION_MILLIS = 2 * 3_600_000;

  private record Key(long high, long low) {
    static Key of(final Claim claim) {
      return new Key(claim.high, claim.low);
    }
  }

  private static final class Entry {
    final Key key;
    final List<Claim> claims = new ArrayList<>(1);
    long expiresAt;

    Entry(final Key key) {
      this.key = key;
    }

    Claim claimOfOther(final Claim claimant) {
      for (final Claim claim : claims) {
        if (!claim.sameClaimant(claimant)) {
          return claim;
        }
      }
      return null;
    }
  }

  private final Map<Key, Entry> entries = new HashMap<>();
  private final ArrayDeque<Entry> insertionOrder = new ArrayDeque<>();
  private final Map<String, String> proxies = new HashMap<>();

  /**
   * Claims a key.
   *
   * @return the claim that holds the key from now on: the given one, or that of another claimant
   */
  public Claim claim(final Claim requested, final long now) {
    final Entry existing = entries.get(Key.of(requested));
    if (existing != null && now < existing.expiresAt) {
      final Claim other = existing.claimOfOther(requested);
      if (other != null) {
        return other;
      }
    }
    remove(existing);
    remember(requested, now);
    return requested;
  }

  /** Adds claims that were read from disk or received from another voter. */
  public void restore(final List<Claim> claims, final long now) {
    claims.forEach(claim -> remember(claim, now));
  }

  private void remember(final Claim claim, final long now) {
    final Key key = Key.of(claim);
    Entry entry = entries.get(key);
    if (entry != null && entry.expiresAt <= now) {
      remove(entry);
      entry = null;
    }
    if (entry == null) {
      entry = new Entry(key);
      entries.put(key, entry);
      insertionOrder.add(entry);
    }
    final long retentionMillis = Math.max(0, Math.min(MAX_RETENTION_MILLIS, claim.keepMillis));
    entry.expiresAt = Math.max(entry.expiresAt, now + retentionMillis);
    if (entry.claims.stream().noneMatch(claim::sameClaimant)) {
      final String proxy = proxies.computeIfAbsent(claim.proxy, name -> name);
      entry.claims.add(
          new Claim(
              claim.high, claim.low, proxy, claim.incarnation, claim.number, retentionMillis));
    }
  }

  private void remove(final Entry entry) {
    if (entry != null) {
      entries.remove(entry.key, entry);
    }
  }

  /** Removes a claim whose request was never run; returns whether it was remembered. */
  public boolean release(final Claim claim) {
    final Entry entry = entries.get(Key.of(claim));
    if (entry == null || !entry.claims.removeIf(claim::sameClaimant)) {
      return false;
    }
    if (entry.claims.isEmpty()) {
      remove(entry);
    }
    return true;
  }

  /** Removes expired claims. */
  public void expire(final long now) {
    while (!insertionOrder.isEmpty()
        && (insertionOrder.peek().expiresAt <= now || !isCurrent(insertionOrder.peek()))) {
      remove(insertionOrder.poll());
    }
    if (entries.isEmpty()) {
      proxies.clear();
    }
  }

  private boolean isCurrent(final Entry entry) {
    return entries.get(entry.key) == entry;
  }

  /** Returns all claims that have not expired, with their remaining retention. */
  public List<Claim> liveClaims(final long now) {
    final List<Claim> claims = new ArrayList<>(entries.size());
    for (final Entry entry : entries.values()) {
      if (entry.expiresAt > now) {
        entry.claims.forEach(claim -> claims.add(claim.withKeepMillis(entry.expiresAt - now)));
      }
    }
    return claims;
  }

  /** Returns how many keys are remembered. */
  public int size() {
    return entries.size();
  }
}
