package weldpoint.idempotency;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import weldpoint.transport.KeyMessages.Claim;

/**
 * The claims that one voter remembers: a key belongs to the first claim that came until its span is
 * over or its claimant releases it. It knows neither threads nor clocks; times are milliseconds of
 * the voter's steady clock.
 *
 * <p>What is recalled from a disk or learned from other voters may name several claims of one key,
 * of which any may have been granted. Such a key is nobody's until its span is over or all but one
 * of the claims were released.
 */
public final class ClaimTable {
  /** The longest that any claim is remembered, whatever its sender says. */
  static final long MOST_KEPT_MILLIS = 600_000;

  private record Key(long high, long low) {
    static Key of(final Claim claim) {
      return new Key(claim.high, claim.low);
    }
  }

  private static final class Entry {
    final Key key;
    final List<Claim> claims = new ArrayList<>(1);
    long until;

    Entry(final Key key) {
      this.key = key;
    }

    Claim other(final Claim than) {
      for (final Claim claim : claims) {
        if (!claim.sameClaimant(than)) {
          return claim;
        }
      }
      return null;
    }
  }

  private final Map<Key, Entry> entries = new HashMap<>();
  private final ArrayDeque<Entry> oldest = new ArrayDeque<>();
  private final Map<String, String> proxies = new HashMap<>();

  /**
   * Claims a key.
   *
   * @return the claim that holds the key from now on: the given one, or another claimant's
   */
  public Claim claim(final Claim wanted, final long now) {
    final Entry present = entries.get(Key.of(wanted));
    if (present != null && now < present.until) {
      final Claim other = present.other(wanted);
      if (other != null) {
        return other;
      }
    }
    forget(present);
    remember(wanted, now);
    return wanted;
  }

  /** Takes what a disk or another voter remembered beside what is remembered here. */
  public void recall(final List<Claim> claims, final long now) {
    claims.forEach(claim -> remember(claim, now));
  }

  private void remember(final Claim claim, final long now) {
    final Key key = Key.of(claim);
    Entry entry = entries.get(key);
    if (entry != null && entry.until <= now) {
      forget(entry);
      entry = null;
    }
    if (entry == null) {
      entry = new Entry(key);
      entries.put(key, entry);
      oldest.add(entry);
    }
    final long millis = Math.max(0, Math.min(MOST_KEPT_MILLIS, claim.keepMillis));
    entry.until = Math.max(entry.until, now + millis);
    if (entry.claims.stream().noneMatch(claim::sameClaimant)) {
      final String proxy = proxies.computeIfAbsent(claim.proxy, name -> name);
      entry.claims.add(
          new Claim(claim.high, claim.low, proxy, claim.incarnation, claim.number, millis));
    }
  }

  private void forget(final Entry entry) {
    if (entry != null) {
      entries.remove(entry.key, entry);
    }
  }

  /** Forgets a claim whose request never ran; tells whether it was held. */
  public boolean release(final Claim claim) {
    final Entry entry = entries.get(Key.of(claim));
    if (entry == null || !entry.claims.removeIf(claim::sameClaimant)) {
      return false;
    }
    if (entry.claims.isEmpty()) {
      forget(entry);
    }
    return true;
  }

  /** Forgets the claims whose span is over. */
  public void expire(final long now) {
    while (!oldest.isEmpty() && (oldest.peek().until <= now || !current(oldest.peek()))) {
      forget(oldest.poll());
    }
    if (entries.isEmpty()) {
      proxies.clear();
    }
  }

  private boolean current(final Entry entry) {
    return entries.get(entry.key) == entry;
  }

  /** All claims with what is left of their spans. */
  public List<Claim> live(final long now) {
    final List<Claim> live = new ArrayList<>(entries.size());
    for (final Entry entry : entries.values()) {
      if (entry.until > now) {
        entry.claims.forEach(claim -> live.add(claim.withKeepMillis(entry.until - now)));
      }
    }
    return live;
  }

  /** How many keys are remembered. */
  public int size() {
    return entries.size();
  }
}
