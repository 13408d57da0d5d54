package weldpoint.simulation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.stream.Collectors;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * The search itself: its days are the same each time, can be written and read, and bad input is
 * refused with the remedy.
 */
public final class ControlSearchTest {
  @BeforeClass
  public void quiet() {
    java.util.logging.Logger.getLogger("").setLevel(java.util.logging.Level.SEVERE);
  }

  @Test
  public void aDayPlaysTheSameEachTime() {
    for (long seed = 100; seed < 104; seed++) {
      final SimulationPlan plan = SimulationPlan.drawn(seed);
      final SimulationRun.Outcome first = SimulationRun.play(plan);
      assertEquals(SimulationRun.play(plan), first, plan.toString());
      assertTrue(first.answers() > 300, plan + " gave only " + first.answers() + " answers");
    }
  }

  @Test
  public void aDayIsReadAsItIsWritten() {
    for (long seed = 1; seed < 200; seed++) {
      final SimulationPlan plan = SimulationPlan.drawn(seed);
      assertEquals(SimulationPlan.parse(plan.toString()), plan);
    }
  }

  @DataProvider
  public Object[][] bad() {
    return new Object[][] {
      {new String[] {}, "give either a number of days or a number of minutes"},
      {new String[] {"--days"}, "--days has no value"},
      {new String[] {"--days", "many"}, "--days is 'many'; give a whole number"},
      {new String[] {"--days", "0"}, "--days is 0; give 1 to"},
      {new String[] {"--minutes", "-3"}, "--minutes is -3; give 1 to"},
      {new String[] {"--days", "1", "--minutes", "1"}, "give either"},
      {new String[] {"--days", "1", "--seed", "x"}, "--seed is 'x'; give a whole number"},
      {
        new String[] {"--days", "1", "--kind", "flood"},
        "the trouble 'flood' is unknown; name one of node_kill herd_kill"
      },
      {new String[] {"--nights", "1"}, "'--nights' is unknown"},
      {new String[] {"--day", "seed=1"}, "lacks its seed, cores or length"},
      {new String[] {"--day", "seed=one cores=5 lasts=9000"}, "seed is 'one'; give a whole number"},
      {new String[] {"--day", "seed=1 cores=2 lasts=9000"}, "cores is 2; give 3 to 9"},
      {new String[] {"--day", "seed=1 cores=5 lasts=0"}, "lasts is 0; give 1000 to"},
      {
        new String[] {"--day", "seed=1 cores=5 lasts=9000 flood@1+1#1"},
        "the trouble 'flood' is unknown"
      },
      {
        new String[] {"--day", "seed=1 cores=5 lasts=9000 node_kill@9500+100#1"},
        "times that make no sense"
      },
      {
        new String[] {"--day", "seed=1 cores=5 lasts=9000 node_kill@-1+100#1"},
        "times that make no sense"
      },
      {
        new String[] {"--day", "seed=1 cores=5 lasts=9000 node_kill@1000+0#1"},
        "times that make no sense"
      },
      {
        new String[] {"--day", "seed=1 cores=5 lasts=9000 node_kill@soon+100#1"},
        "give a whole number"
      },
      {new String[] {"--day", "seed=1 cores=5 lasts=9000 node_kill"}, "cannot be read"},
      {new String[] {"--day", "seed=1 cores=5 lasts=9000", "--days", "2"}, "--day stands alone"},
    };
  }

  @Test(dataProvider = "bad")
  public void whatMakesNoSenseIsRefusedWithTheRemedy(
      final String[] arguments, final String remedy) {
    final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    assertEquals(
        ControlSearch.run(new PrintStream(bytes, true, StandardCharsets.UTF_8), arguments), 2);
    final String text = bytes.toString(StandardCharsets.UTF_8);
    assertTrue(text.contains(remedy), text);
    assertTrue(text.contains("use: ControlSearch"), text);
  }

  @Test
  public void aSearchThatIsInterruptedConcludesNothing() throws IOException, InterruptedException {
    final Process search =
        new ProcessBuilder(
                System.getProperty("java.home") + "/bin/java",
                "-Xmx256m",
                "-XX:+UseSerialGC",
                "-cp",
                System.getProperty("java.class.path"),
                ControlSearch.class.getName(),
                "--minutes",
                "10",
                "--kind",
                "hup")
            .redirectErrorStream(true)
            .start();
    try (BufferedReader said =
        new BufferedReader(
            new InputStreamReader(search.getInputStream(), StandardCharsets.UTF_8))) {
      assertEquals(said.readLine(), "playing days from seed 1 on");
      search.toHandle().destroy();
      final String rest = said.lines().collect(Collectors.joining("\n"));
      assertTrue(
          rest.contains("interrupted after ") && rest.contains("nothing is concluded"), rest);
      assertFalse(rest.contains("no promise was broken"), rest);
      assertTrue(search.waitFor() != 0);
    } finally {
      search.destroyForcibly();
    }
  }
}
