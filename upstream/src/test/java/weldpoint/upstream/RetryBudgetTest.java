package weldpoint.upstream;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/** Tests that the shares of all proxies together stay within the budget in every sliding window. */
public final class RetryBudgetTest {
  @Test
  public void sharesOfAllProxiesStayWithinTheBudgetInEveryWindow() {
    final int proxies = 10;
    final double ratio = 0.2;
    final double slack = 60;
    final List<RetryBudget> budgets = new ArrayList<>();
    for (int index = 0; index < proxies; index++) {
      budgets.add(new RetryBudget(ratio, slack, 10_000, Long.MIN_VALUE / 2));
    }
    final List<long[]> events = new ArrayList<>();
    final Random random = new Random(3);
    int taken = 0;
    for (long now = 100_000; now < 160_000; now += 10) {
      final boolean busy = now / 7000 % 2 == 0;
      for (final RetryBudget budget : budgets) {
        if (random.nextDouble() < (busy ? 0.6 : 0.05)) {
          budget.recordRequest(now);
          events.add(new long[] {now, 0});
        }
        if (random.nextDouble() < 0.5 && budget.tryAcquire(proxies, now)) {
          taken++;
          events.add(new long[] {now, 1});
        }
      }
    }
    assertTrue(taken > 100, "only " + taken);
    for (long from = 100_000; from < 150_000; from += 130) {
      int requests = 0;
      int retries = 0;
      for (final long[] event : events) {
        if (event[0] >= from && event[0] < from + 10_000) {
          requests += event[1] == 0 ? 1 : 0;
          retries += event[1] == 1 ? 1 : 0;
        }
      }
      assertTrue(retries <= ratio * requests + slack, retries + " of " + requests);
    }
  }

  /**
   * Simulates proxies that restart repeatedly and take all retries they can get; returns the most
   * retries beyond the budget in any window.
   */
  private static int maxExcess(final long seed, final int uptimeMillis) {
    final int proxies = 10;
    final double ratio = 0.2;
    final double slack = 60;
    final Random random = new Random(seed);
    final List<RetryBudget> budgets = new ArrayList<>();
    for (int index = 0; index < proxies; index++) {
      budgets.add(new RetryBudget(ratio, slack, 10_000, Long.MIN_VALUE / 2));
    }
    final List<long[]> events = new ArrayList<>();
    for (long now = 100_000; now < 140_000; now += 5) {
      for (int index = 0; index < proxies; index++) {
        if (random.nextInt(uptimeMillis / 5) == 0) {
          budgets.set(index, new RetryBudget(ratio, slack, 10_000, now));
        }
        if (random.nextInt(50) == 0) {
          budgets.get(index).recordRequest(now);
          events.add(new long[] {now, 0});
        }
        if (budgets.get(index).tryAcquire(proxies, now)) {
          events.add(new long[] {now, 1});
        }
      }
    }
    int max = Integer.MIN_VALUE;
    for (long from = 100_000; from < 130_000; from += 250) {
      int requests = 0;
      int retries = 0;
      for (final long[] event : events) {
        if (event[0] >= from && event[0] < from + 10_000) {
          requests += event[1] == 0 ? 1 : 0;
          retries += event[1] == 1 ? 1 : 0;
        }
      }
      max = Math.max(max, (int) Math.ceil(retries - ratio * requests - slack));
    }
    return max;
  }

  @Test
  public void restartsWithinAWindowDoNotExceedTheBudget() {
    for (final int uptime : new int[] {20_000, 5000, 1500, 500}) {
      for (long seed = 1; seed <= 8; seed++) {
        final int excess = maxExcess(seed, uptime);
        assertTrue(excess <= 0, excess + " beyond the budget, uptimes of " + uptime + " ms");
      }
    }
  }
}
