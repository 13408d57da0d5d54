package weldpoint.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
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
  }

  private static Run run(final String attemptId, final String key, final long at) {
    return new Run("i-1", attemptId, key, "limited", at);
  }

  private static Call call(
      final String attemptId, final String key, final int status, final String seal) {
    return new Call(attemptId, key, 0, new Reply(status, seal, "done"));
  }

  @Test
  public void theJudgeSeesDoubledKeys() {
    final List<Run> runs = List.of(run("1", "k", 0), run("2", "k", 59_999));
    assertEquals(Bounds.doubledKeys(runs, 60_000).size(), 1);
    assertEquals(Bounds.doubledKeys(runs, 59_000), List.of());
  }

  @Test
  public void theJudgeSeesRefusalsThatRanAndAnswersOfNoRun() {
    final List<Run> runs = List.of(run("1", "k", 0));
    assertEquals(Bounds.brokenPromises(List.of(call("1", "k", 503, "")), runs).size(), 1);
    assertEquals(Bounds.brokenPromises(List.of(call("1", "k", 502, "")), runs), List.of());
    assertEquals(Bounds.strangeAnswers(List.of(call("1", "k", 200, "i-1.1")), runs), List.of());
    assertEquals(Bounds.strangeAnswers(List.of(call("2", "k", 200, "i-1.2")), runs).size(), 1);
    assertEquals(
        Bounds.strangeAnswers(
                List.of(call("1", "k", 200, "i-1.1"), call("2", "k", 200, "i-1.x")), runs)
            .size(),
        2);
  }

  @Test
  public void theJudgeCountsWindowsThatSlide() {
    final List<Run> runs =
        List.of(run("1", "", 0), run("2", "", 4000), run("3", "", 4999), run("4", "", 5000));
    assertEquals(Bounds.mostInWindow(runs, "limited", 5000), 3);
    assertEquals(Bounds.mostInWindow(runs, "another", 5000), 0);
  }
}
