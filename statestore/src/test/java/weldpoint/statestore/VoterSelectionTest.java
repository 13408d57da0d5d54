package weldpoint.statestore;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import weldpoint.transport.StateStoreMessages.Voter;

/** Selection of voters in a small cluster with an unreachable voter. */
public final class VoterSelectionTest {
  private static final int MOST = 5;

  private static List<Voter> voters(final String names) {
    final List<Voter> voters = new ArrayList<>();
    Arrays.stream(names.split(" "))
        .filter(name -> !name.isEmpty())
        .forEach(
            name -> voters.add(new Voter(name, "zone-" + name.charAt(0), "region", List.of())));
    return voters;
  }

  @DataProvider
  public Object[][] sites() {
    return new Object[][] {
      {"a1 b1 c1", "", "", "a1 b1 c1"},
      {"a1 b1 c1", "b1", "", "a1 b1 c1"},
      {"a1 b1 c1", "b1", "b2", "a1 b2 c1"},
      {"a1 b1 b2 c1", "b1", "", "a1 b2 c1"},
      {"a1 b1 b2 c1", "", "", "a1 b1 b2 c1"},
      {"a1 a2 b1 b2 c1", "b1", "", "a1 a2 b1 b2 c1"},
      {"a1 a2 b1 b2 c1", "b1", "b3", "a1 a2 b2 b3 c1"},
      {"a1 a2 b1 b2 c1", "a1 b1", "", "a1 a2 b1 b2 c1"},
    };
  }

  @Test(dataProvider = "sites")
  public void anEvenNumberGoesOnWithoutAVoterWhoIsAway(
      final String present, final String away, final String newcomers, final String wanted) {
    final Set<String> chosen = new TreeSet<>();
    VoterSelection.best(
            voters(present),
            Set.of(
                Arrays.stream(away.split(" "))
                    .filter(name -> !name.isEmpty())
                    .toArray(String[]::new)),
            voters(newcomers),
            MOST)
        .forEach(voter -> chosen.add(voter.address));
    assertEquals(String.join(" ", chosen), wanted);
  }
}
