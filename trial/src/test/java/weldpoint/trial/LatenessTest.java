package weldpoint.trial;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Checks the test for lateness against p-values calculated by hand. */
public final class LatenessTest {
  @Test
  public void pValueMatchesFishersExactTest() {
    assertEquals(Lateness.pValue(1, 1, 0, 1), 0.5, 1e-9);
    assertEquals(Lateness.pValue(3, 3, 0, 3), 0.05, 1e-9);
    assertEquals(Lateness.pValue(0, 10, 5, 10), 1, 1e-9);
    assertEquals(Lateness.pValue(2, 50, 10, 950), 0.117457, 1e-5);
  }

  @Test
  public void zeroAllowanceToleratesNoLateWriteAndZeroLateWritesNeverExceedIt() {
    assertTrue(Lateness.exceedsAllowance(1, 1000, 500, 1000, 0));
    assertFalse(Lateness.exceedsAllowance(0, 10, 0, 10, 0));
    assertFalse(Lateness.exceedsAllowance(2, 100, 2, 100, 0.01));
    assertTrue(Lateness.exceedsAllowance(12, 100, 2, 100, 0.01));
  }
}
