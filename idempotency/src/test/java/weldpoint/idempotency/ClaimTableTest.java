package weldpoint.idempotency;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;
import weldpoint.transport.KeyMessages.Claim;

/** Holding, expiry, release and restoring of claims. */
public final class ClaimTableTest {
  private final ClaimTable table = new ClaimTable();

  private static Claim claim(final long key, final long number) {
    return new Claim(key, -key, "10.0.0.1", 5, number, 1000);
  }

  @Test
  public void firstClaimHoldsKeyUntilItExpires() {
    final Claim first = claim(1, 1);
    assertSame(table.claim(first, 0), first);
    assertTrue(table.claim(claim(1, 2), 999).sameClaimant(first));
    assertTrue(table.claim(claim(1, 3), 1000).sameClaimant(claim(1, 3)));
  }

  @Test
  public void repeatedClaimExtendsRetention() {
    table.claim(claim(2, 1), 0);
    table.claim(claim(2, 1), 800);
    table.expire(1700);
    assertTrue(table.claim(claim(2, 2), 1700).sameClaimant(claim(2, 1)));
  }

  @Test
  public void restoredRivalsBlockKeyUntilOneIsLeft() {
    table.restore(List.of(claim(3, 1), claim(3, 2)), 0);
    assertFalse(table.claim(claim(3, 1), 10).sameClaimant(claim(3, 1)));
    assertFalse(table.claim(claim(3, 2), 10).sameClaimant(claim(3, 2)));
    assertEquals(
        table.liveClaims(10).stream().filter(claim -> claim.high == 3).count(),
        2,
        "both are reported to other voters");
    assertTrue(table.release(claim(3, 1)));
    assertFalse(table.claim(claim(3, 3), 20).sameClaimant(claim(3, 3)));
    assertTrue(table.claim(claim(3, 2), 20).sameClaimant(claim(3, 2)));
  }

  @Test
  public void releaseFreesOwnClaimOnly() {
    table.claim(claim(4, 1), 0);
    assertFalse(table.release(claim(4, 2)));
    assertTrue(table.release(claim(4, 1)));
    assertTrue(table.claim(claim(4, 2), 1).sameClaimant(claim(4, 2)));
  }

  @Test
  public void claimsExpire() {
    final ClaimTable fresh = new ClaimTable();
    for (int key = 0; key < 1000; key++) {
      fresh.claim(claim(key, key), key);
    }
    fresh.expire(1500);
    assertEquals(fresh.size(), 499);
    fresh.expire(5000);
    assertEquals(fresh.size(), 0);
    assertEquals(fresh.liveClaims(5000), List.of());
  }
}
