package weldpoint.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/** The soak in short, and that its judge sees what it must see. */
public final class SoakTest {
  private static final long TROUBLED_MILLIS = 15_000;

  @Test
  public void aShortSoakBreaksNothing() throws IOException, InterruptedException {
    final SoakRun.Verdict verdict =
        new SoakRun(7, new LocalFleet.Size(3, 2, 3, 4), TROUBLED_MILLIS).play();
    System.out.println(SoakCommand.text(verdict));
    assertEquals(verdict.broken(), List.of());
    assertTrue(verdict.keyedRuns() > 10, "writes were made: " + verdict.keyedRuns());
    assertTrue(verdict.served() > verdict.calls() / 10, "something was served");
    assertTrue(verdict.fetched() > verdict.fetches() / 10, "the divided service was served");
    assertTrue(verdict.pulled() > verdict.pulls() / 10, "large answers came");
    assertTrue(verdict.homedRuns() > 10, "homes were judged: " + verdict.homedRuns());
  }

  private static UpstreamRun run(final String attemptId, final String key, final long at) {
    return new UpstreamRun("i-1", attemptId, key, "limited", at);
  }

  private static ClientCall call(
      final String attemptId, final String key, final int status, final String seal) {
    return new ClientCall(attemptId, key, false, 0, new ClientReply(status, seal, "done"));
  }

  @Test
  public void theJudgeSeesDoubledKeys() {
    final List<UpstreamRun> runs = List.of(run("1", "k", 0), run("2", "k", 59_999));
    assertEquals(SoakChecker.doubledKeys(runs, 60_000).size(), 1);
    assertEquals(SoakChecker.doubledKeys(runs, 59_000), List.of());
  }

  @Test
  public void theJudgeSeesRefusalsThatRanAndAnswersOfNoRun() {
    final List<UpstreamRun> runs = List.of(run("1", "k", 0));
    assertEquals(SoakChecker.brokenPromises(List.of(call("1", "k", 503, "")), runs).size(), 1);
    assertEquals(SoakChecker.brokenPromises(List.of(call("1", "k", 502, "")), runs), List.of());
    assertEquals(
        SoakChecker.strangeAnswers(List.of(call("1", "k", 200, "i-1.1")), runs), List.of());
    assertEquals(SoakChecker.strangeAnswers(List.of(call("2", "k", 200, "i-1.2")), runs).size(), 1);
    assertEquals(
        SoakChecker.strangeAnswers(
                List.of(call("1", "k", 200, "i-1.1"), call("2", "k", 200, "i-1.x")), runs)
            .size(),
        2);
  }

  @Test
  public void theJudgeSeesAnswersThatWereCutWithoutACause() {
    final Map<String, Long> answered = Map.of("1", 500L);
    final List<LargeDownload> cut = List.of(new LargeDownload("1", 0, 400, 900, false));
    assertEquals(cuts(cut, answered, 5000).size(), 1);
    assertEquals(cuts(cut, Map.of(), 5000), List.of(), "no upstream had answered");
    assertEquals(cuts(cut, answered, 600), List.of(), "the proxy was killed");
    assertEquals(cuts(cut, answered, -3000), List.of(), "the proxy was frozen shortly before");
    assertEquals(cuts(cut, answered, -4000).size(), 1, "the proxy was frozen long before");
    assertEquals(
        cuts(List.of(new LargeDownload("1", 0, 400, 2900, false)), answered, 5000),
        List.of(),
        "its time was over");
    assertEquals(
        cuts(List.of(new LargeDownload("1", 0, 400, 900, true)), answered, 5000), List.of());
  }

  private static List<String> cuts(
      final List<LargeDownload> pulls, final Map<String, Long> answered, final long disturbedAt) {
    return SoakChecker.cutAnswers(
        pulls,
        answered,
        (proxy, from, to) -> disturbedAt >= from && disturbedAt <= to,
        SlowReader.DEADLINE_MILLIS,
        4000);
  }

  @Test
  public void theJudgeSeesRequestsThatRanTwice() {
    final List<UpstreamRun> runs = List.of(run("1", "", 0), run("1", "", 10));
    assertEquals(SoakChecker.doubledRequests(List.of(call("1", "", 200, "")), runs).size(), 1);
    assertEquals(SoakChecker.doubledRequests(List.of(call("2", "", 200, "")), runs), List.of());
  }

  @Test
  public void theJudgeSeesRunsOutsideOfTheHomesInForce() {
    final HomeRegions near = new HomeRegions(List.of(), List.of(HomeRegions.NEAR));
    final List<HomeRegions.Change> changes =
        List.of(
            new HomeRegions.Change(1, HomeRegions.NONE, 0, 0),
            new HomeRegions.Change(2, near, 10_000, Long.MAX_VALUE),
            new HomeRegions.Change(2, near, 10_000, 10_100));
    assertEquals(outside(changes, "i-2", 13_200).size(), 1);
    assertEquals(outside(changes, "i-2", 13_000), List.of(), "the bound is not over");
    assertEquals(outside(changes, "i-1", 13_200), List.of(), "in its homes");
    assertEquals(outside(changes.subList(0, 2), "i-2", 13_200), List.of(), "not acknowledged");
  }

  private static List<String> outside(
      final List<HomeRegions.Change> changes, final String instance, final long at) {
    final UpstreamRun run = new UpstreamRun(instance, "1", "", Workload.HOMED_TENANT, at);
    return SoakChecker.outsideHomes(List.of(run), changes, LocalFleet::regionOf, 3000);
  }

  @Test
  public void theJudgeCountsWindowsThatSlide() {
    final List<UpstreamRun> runs =
        List.of(run("1", "", 0), run("2", "", 4000), run("3", "", 4999), run("4", "", 5000));
    assertEquals(SoakChecker.mostInWindow(runs, "limited", 5000), 3);
    assertEquals(SoakChecker.mostInWindow(runs, "another", 5000), 0);
  }
}
