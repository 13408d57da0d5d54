package weldpoint.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/** Runs a short soak, and tests that the checker reports each kind of violation. */
public final class SoakTest {
  private static final long FAULT_PHASE_MILLIS = 15_000;

  @Test
  public void aShortSoakFindsNoViolation() throws IOException, InterruptedException {
    final SoakRun.Verdict verdict =
        new SoakRun(7, new LocalFleet.Size(3, 2, 3, 4), FAULT_PHASE_MILLIS).run();
    System.out.println(SoakCommand.format(verdict));
    assertEquals(verdict.violations(), List.of());
    assertTrue(verdict.keyedRuns() > 10, "runs with idempotency keys: " + verdict.keyedRuns());
    assertTrue(verdict.served() > verdict.calls() / 10, "share of calls served");
    assertTrue(
        verdict.partitionedReadsServed() > verdict.partitionedReads() / 10,
        "share of partitioned reads served");
    assertTrue(
        verdict.completeDownloads() > verdict.downloads() / 10, "share of downloads complete");
    assertTrue(
        verdict.regionBoundRuns() > 10,
        "runs checked against home regions: " + verdict.regionBoundRuns());
  }

  private static UpstreamRun run(final String attemptId, final String key, final long startedAt) {
    return new UpstreamRun("i-1", attemptId, key, "limited", startedAt);
  }

  private static ClientCall call(
      final String attemptId, final String key, final int status, final String seal) {
    return new ClientCall(attemptId, key, false, 0, new ClientReply(status, seal, "done"));
  }

  @Test
  public void theCheckerReportsDuplicateKeyRuns() {
    final List<UpstreamRun> runs = List.of(run("1", "k", 0), run("2", "k", 59_999));
    assertEquals(SoakChecker.duplicateKeyRuns(runs, 60_000).size(), 1);
    assertEquals(SoakChecker.duplicateKeyRuns(runs, 59_000), List.of());
  }

  @Test
  public void theCheckerReportsRefusedRequestsThatRanAndResponsesOfNoRun() {
    final List<UpstreamRun> runs = List.of(run("1", "k", 0));
    assertEquals(SoakChecker.refusedButRun(List.of(call("1", "k", 503, "")), runs).size(), 1);
    assertEquals(SoakChecker.refusedButRun(List.of(call("1", "k", 502, "")), runs), List.of());
    assertEquals(
        SoakChecker.inconsistentResponses(List.of(call("1", "k", 200, "i-1.1")), runs), List.of());
    assertEquals(
        SoakChecker.inconsistentResponses(List.of(call("2", "k", 200, "i-1.2")), runs).size(), 1);
    assertEquals(
        SoakChecker.inconsistentResponses(
                List.of(call("1", "k", 200, "i-1.1"), call("2", "k", 200, "i-1.x")), runs)
            .size(),
        2);
  }

  @Test
  public void theCheckerReportsResponsesTruncatedWithoutAFault() {
    final Map<String, Long> responseTimes = Map.of("1", 500L);
    final List<LargeDownload> truncated = List.of(new LargeDownload("1", 0, 400, 900, false));
    assertEquals(truncatedResponses(truncated, responseTimes, 5000).size(), 1);
    assertEquals(
        truncatedResponses(truncated, Map.of(), 5000), List.of(), "no upstream had responded");
    assertEquals(
        truncatedResponses(truncated, responseTimes, 600), List.of(), "the proxy was killed");
    assertEquals(
        truncatedResponses(truncated, responseTimes, -3000),
        List.of(),
        "the proxy was frozen shortly before");
    assertEquals(
        truncatedResponses(truncated, responseTimes, -4000).size(),
        1,
        "the proxy was frozen long before");
    assertEquals(
        truncatedResponses(
            List.of(new LargeDownload("1", 0, 400, 2900, false)), responseTimes, 5000),
        List.of(),
        "the client's timeout had passed");
    assertEquals(
        truncatedResponses(List.of(new LargeDownload("1", 0, 400, 900, true)), responseTimes, 5000),
        List.of());
  }

  private static List<String> truncatedResponses(
      final List<LargeDownload> downloads,
      final Map<String, Long> responseTimes,
      final long disruptedAt) {
    return SoakChecker.truncatedResponses(
        downloads,
        responseTimes,
        (proxy, from, to) -> disruptedAt >= from && disruptedAt <= to,
        SlowReader.TIMEOUT_MILLIS,
        4000);
  }

  @Test
  public void theCheckerReportsRequestsThatRanTwice() {
    final List<UpstreamRun> runs = List.of(run("1", "", 0), run("1", "", 10));
    assertEquals(SoakChecker.duplicateRequestRuns(List.of(call("1", "", 200, "")), runs).size(), 1);
    assertEquals(
        SoakChecker.duplicateRequestRuns(List.of(call("2", "", 200, "")), runs), List.of());
  }

  @Test
  public void theCheckerReportsRunsOutsideTheHomeRegionsInForce() {
    final HomeRegions mainRegionOnly = new HomeRegions(List.of(), List.of(HomeRegions.MAIN_REGION));
    final List<HomeRegions.Change> changes =
        List.of(
            new HomeRegions.Change(1, HomeRegions.UNRESTRICTED, 0, 0),
            new HomeRegions.Change(2, mainRegionOnly, 10_000, Long.MAX_VALUE),
            new HomeRegions.Change(2, mainRegionOnly, 10_000, 10_100));
    assertEquals(runsOutsideHomeRegions(changes, "i-2", 13_200).size(), 1);
    assertEquals(
        runsOutsideHomeRegions(changes, "i-2", 13_000), List.of(), "the bound has not passed");
    assertEquals(runsOutsideHomeRegions(changes, "i-1", 13_200), List.of(), "in its home region");
    assertEquals(
        runsOutsideHomeRegions(changes.subList(0, 2), "i-2", 13_200),
        List.of(),
        "not acknowledged");
  }

  private static List<String> runsOutsideHomeRegions(
      final List<HomeRegions.Change> changes, final String instance, final long startedAt) {
    final UpstreamRun run =
        new UpstreamRun(instance, "1", "", Workload.REGION_BOUND_TENANT, startedAt);
    return SoakChecker.runsOutsideHomeRegions(List.of(run), changes, LocalFleet::regionOf, 3000);
  }

  @Test
  public void theCheckerCountsSlidingWindows() {
    final List<UpstreamRun> runs =
        List.of(run("1", "", 0), run("2", "", 4000), run("3", "", 4999), run("4", "", 5000));
    assertEquals(SoakChecker.maxRunsInWindow(runs, "limited", 5000), 3);
    assertEquals(SoakChecker.maxRunsInWindow(runs, "another", 5000), 0);
  }
}
