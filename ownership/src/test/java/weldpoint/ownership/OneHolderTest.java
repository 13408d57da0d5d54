package weldpoint.ownership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests by simulation that no key ever has two holders, and that disabling any safeguard is
 * detected.
 */
public final class OneHolderTest {
  /** Number of simulated seeds; the system property raises it for a search by hand. */
  private static final int SEEDS = Integer.getInteger("ownership.seeds", 40);

  private static final int FAULT_SEEDS = 150;
  private static final long FAULTY_MILLIS = 60_000;
  private static final long HEALTHY_MILLIS = 35_000;

  @Test
  public void noTwoUpstreamsHoldOneKey() {
    long changes = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      final OwnershipSimulation simulation =
          new OwnershipSimulation(seed, OwnershipSimulation.Fault.NONE);
      simulation.simulate(FAULTY_MILLIS, HEALTHY_MILLIS);
      assertEquals(simulation.violations(), List.of(), "seed " + seed);
      assertEquals(
          simulation.maxSlotsHeld(),
          KeySpace.SLOTS,
          "seed " + seed + ": " + simulation.describeUnheldSlots());
      changes += simulation.changes();
    }
    assertTrue(changes > 20L * SEEDS, "ranges were moved: " + changes);
  }

  @DataProvider
  public Object[][] faults() {
    return new Object[][] {
      {OwnershipSimulation.Fault.NO_WAIT},
      {OwnershipSimulation.Fault.NO_MARGIN},
      {OwnershipSimulation.Fault.NO_LATE_ALLOWANCE},
      {OwnershipSimulation.Fault.IGNORES_PREDECESSOR},
      {OwnershipSimulation.Fault.GRANT_BEFORE_REGISTER},
      {OwnershipSimulation.Fault.NO_LEASE}
    };
  }

  @Test(dataProvider = "faults")
  public void aMissingSafeguardIsCaught(final OwnershipSimulation.Fault fault) {
    for (long seed = 1; seed <= FAULT_SEEDS; seed++) {
      final OwnershipSimulation simulation = new OwnershipSimulation(seed, fault);
      try {
        simulation.simulate(FAULTY_MILLIS, 0);
      } catch (final IllegalStateException invariantViolation) {
        assertTrue(invariantViolation.getMessage().contains("one holder per key"));
        return;
      }
      if (!simulation.violations().isEmpty()) {
        return;
      }
    }
    assertTrue(false, fault + " was not detected with " + FAULT_SEEDS + " seeds");
  }
}
