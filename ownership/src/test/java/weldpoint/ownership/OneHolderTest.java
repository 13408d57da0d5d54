package weldpoint.ownership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** No instant has two holders of a key, whatever happens; and each safeguard is needed for it. */
public final class OneHolderTest {
  /** How many seeds are played; more are asked for by the property, for a search by hand. */
  private static final int SEEDS = Integer.getInteger("ownership.seeds", 40);

  private static final int SEEDS_OF_BROKEN = 150;
  private static final long TROUBLED_MILLIS = 60_000;
  private static final long CALM_MILLIS = 35_000;

  @Test
  public void noTwoUpstreamsHoldOneKey() {
    long changes = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      final OwnershipSimulation fleet =
          new OwnershipSimulation(seed, OwnershipSimulation.Broken.NOTHING);
      fleet.play(TROUBLED_MILLIS, CALM_MILLIS);
      assertEquals(fleet.evidence(), List.of(), "seed " + seed);
      assertEquals(fleet.mostHeld(), KeySpace.SLOTS, "seed " + seed + ": " + fleet.unheld());
      changes += fleet.changes();
    }
    assertTrue(changes > 20L * SEEDS, "ranges were moved: " + changes);
  }

  @DataProvider
  public Object[][] broken() {
    return new Object[][] {
      {OwnershipSimulation.Broken.NO_WAIT},
      {OwnershipSimulation.Broken.NO_MARGIN},
      {OwnershipSimulation.Broken.NOTHING_LATE},
      {OwnershipSimulation.Broken.FORGETS_PREDECESSOR},
      {OwnershipSimulation.Broken.GRANT_BEFORE_REGISTER},
      {OwnershipSimulation.Broken.NO_LEASE}
    };
  }

  @Test(dataProvider = "broken")
  public void aMissingSafeguardIsCaught(final OwnershipSimulation.Broken broken) {
    for (long seed = 1; seed <= SEEDS_OF_BROKEN; seed++) {
      final OwnershipSimulation fleet = new OwnershipSimulation(seed, broken);
      try {
        fleet.play(TROUBLED_MILLIS, 0);
      } catch (final IllegalStateException seenByTheCodeItself) {
        assertTrue(seenByTheCodeItself.getMessage().contains("one holder per key"));
        return;
      }
      if (!fleet.evidence().isEmpty()) {
        return;
      }
    }
    assertTrue(false, broken + " was not caught over " + SEEDS_OF_BROKEN + " seeds");
  }
}
