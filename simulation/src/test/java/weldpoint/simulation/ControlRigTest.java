package weldpoint.simulation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Whole control sides under every trouble that touches them: the bounded part of the search, and
 * the days that once broke a promise.
 */
public final class ControlRigTest {
  private static final int DAYS = 100;

  @BeforeClass
  public void quiet() {
    java.util.logging.Logger.getLogger("").setLevel(java.util.logging.Level.SEVERE);
  }

  @Test
  public void everyPromiseIsKeptWhateverFails() {
    final Set<Fault.Kind> played = EnumSet.noneOf(Fault.Kind.class);
    long answers = 0;
    for (long seed = 1; seed <= DAYS; seed++) {
      final SimulationPlan plan = SimulationPlan.drawn(seed);
      final SimulationRun.Outcome outcome = SimulationRun.play(plan);
      assertEquals(outcome.breaches(), List.of(), "--day '" + plan + "'");
      plan.troubles().forEach(fault -> played.add(fault.kind()));
      answers += outcome.answers();
    }
    assertEquals(played, EnumSet.allOf(Fault.Kind.class));
    assertTrue(answers > DAYS * 1000L, "only " + answers + " answers");
  }

  @DataProvider
  public Object[][] kept() {
    return new Object[][] {
      {
        "an exchange that had just started gave a fresh switchboard an old configuration",
        "seed=100 cores=6 lasts=10407 node_kill@6967+3299#862366"
      },
      {
        "the same after the loss of a zone",
        "seed=170 cores=6 lasts=8859 zone_loss@3509+3962#236522 zone_loss@5939+2014#843447"
      },
      {
        "the same after a stop in order",
        "seed=159 cores=5 lasts=11391 roll_term@4913+130#431722 roll_term@9308+107#386529 after_ack_kill@7763+1252#273898"
      },
      {
        "the same at a daemon cut off from the core",
        "seed=1606 cores=6 lasts=5937 core_cut@4691+1525#279493"
      },
      {
        "the same in a site of three",
        "seed=182 cores=3 lasts=4564 roll_term@2288+120#680067 after_ack_kill@3128+5886#684491"
      },
      {
        "an order on a zone was carried out late by a daemon that had been frozen",
        "seed=154 cores=3 lasts=16397 node_freeze@4859+1077#626229 node_freeze@7300+10106#900092"
      },
      {
        "the same beside other troubles",
        "seed=102 cores=6 lasts=17920 roll_term@4957+170#753744 zone_loss@7945+587#327137 node_slow@6115+3570#765992 node_freeze@14047+1956#241239"
      },
      {
        "a dead voter of a site of three was never removed",
        "seed=1343 cores=3 lasts=15264 replace_core@3414+103#863961 replace_core@11589+135#962066"
      },
      {
        "the same with a lost disk",
        "seed=1963 cores=3 lasts=12529 replace_core@3886+172#107788 after_ack_wipe@10021+167#706827"
      },
      {"two contents under one number were acknowledged", "seed=1 cores=5 lasts=1702"},
    };
  }

  @Test(dataProvider = "kept")
  public void aDayThatOnceBrokeAPromiseIsWhole(final String story, final String day) {
    assertEquals(SimulationRun.play(SimulationPlan.parse(day)).breaches(), List.of(), story);
  }
}
