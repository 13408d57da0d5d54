package weldpoint.simulation.model;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import org.testng.SkipException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * The frame's ballots, searched whole within bounds, and the same with one rule broken, which must
 * be found. The long search goes further and is started with -Dmodel.long=true, and
 * -Dmodel.states=N for another number of states each.
 */
public class ModelTest {
  private static final int ALL = 0b1111;
  private static final int MOST = 3_000_000;

  @DataProvider
  public Object[] sound() {
    return new Object[] {
      SearchBounds.still("3 nodes, 3 ballots, 1 write each, 1 disk lost", 3, 3, 1, 1),
      SearchBounds.still("3 nodes, 2 ballots, 1 write each, 2 disks lost", 3, 2, 1, 2),
      SearchBounds.still("3 nodes, 3 ballots, 2 writes each", 3, 3, 2, 0),
      SearchBounds.still("4 nodes, 3 ballots, 1 write each", 4, 3, 1, 0),
      SearchBounds.still(
              "5 nodes, 2 ballots, 1 write each, 1 disk lost, from where the first ballot serves",
              5,
              2,
              1,
              1)
          .served(0b111),
      SearchBounds.still(
              "3 to 4 voters, 3 ballots, 1 write each, from where the first ballot serves",
              4,
              3,
              1,
              0)
          .rosters(0b111, ALL)
          .served(0b11),
      SearchBounds.still(
              "3 to 4 voters, 2 ballots, 1 write each, 1 disk lost, from where the first ballot serves",
              4,
              2,
              1,
              1)
          .rosters(0b111, ALL)
          .served(0b11),
      SearchBounds.still(
              "4 to 5 to 4 voters, a ballot for each roster, 1 write each, from where the first ballot serves",
              5,
              3,
              1,
              0)
          .rosters(ALL, 0b11111, 0b11110)
          .served(0b111)
          .aBallotEach(),
      SearchBounds.still(
              "the roster itself, of 3 to 5 voters out of 5, 3 ballots, 2 writes each", 5, 3, 2, 0)
          .rostersInRegister(0b111, ALL, 0b10111, 0b11111),
      SearchBounds.still("reads, 3 nodes, 2 ballots, 1 write each, 1 disk lost", 3, 2, 1, 1).read(),
      SearchBounds.still("reads, 3 to 4 voters, 2 ballots, 1 write each", 4, 2, 1, 0)
          .rosters(0b111, ALL)
          .read(),
      SearchBounds.still(
              "incarnations, 3 to 4 to 5 to 4 to 3 voters, 2 disks lost by one node", 5, 0, 0, 2)
          .rosters(0b111, ALL, 0b11111, 0b11101, 0b11001)
          .withoutBallots()
          .wipeable(1),
      SearchBounds.still(
              "incarnations, a voter leaves and comes back, 2 disks lost by it", 5, 0, 0, 2)
          .rosters(0b111, ALL, 0b1110, 0b11110, 0b11100)
          .withoutBallots()
          .wipeable(1),
      SearchBounds.still(
              "4 to 3 to 4 voters, a ballot for each roster, 1 write each, from where the first ballot serves",
              5,
              3,
              1,
              0)
          .rosters(ALL, 0b1110, 0b11110)
          .served(0b111)
          .aBallotEach(),
      SearchBounds.still("incarnations, 5 to 6 to 5 voters, 2 disks lost by one node", 6, 0, 0, 2)
          .rosters(0b11111, 0b111111, 0b111110)
          .withoutBallots()
          .wipeable(1)
    };
  }

  @Test(dataProvider = "sound")
  public void nothingAcknowledgedIsLostAndNoNumberNamesTwoRosters(final SearchBounds bounds) {
    final Search.Result result = Search.run(bounds, MOST);
    print(result);
    assertNull(result.breach(), result.trace().toString());
    assertTrue(result.whole(), "the search was cut short, so that nothing is concluded: " + result);
  }

  @DataProvider
  public Object[] broken() {
    return new Object[] {
      SearchBounds.still("3 nodes, 2 ballots", 3, 2, 1, 0).broken(BrokenRule.PROMISE_NOT_SYNCED),
      SearchBounds.still("3 nodes, 2 ballots, 1 disk lost", 3, 2, 1, 1)
          .broken(BrokenRule.OVERTAKEN_COUNTED),
      SearchBounds.still("3 to 4 to 5 voters", 5, 2, 1, 0)
          .rosters(0b111, ALL, 0b11111)
          .served(0b11)
          .broken(BrokenRule.CHANGE_NOT_SETTLED),
      SearchBounds.still("3 to 4 voters", 5, 1, 2, 0)
          .rostersInRegister(0b111, ALL, 0b10111)
          .broken(BrokenRule.CHANGE_BEFORE_ADOPTION),
      SearchBounds.still("3 nodes, 2 ballots, 1 disk lost", 3, 2, 1, 1)
          .broken(BrokenRule.VOTES_BEFORE_REFETCH),
      SearchBounds.still("3 nodes, 2 ballots", 3, 2, 1, 0)
          .read()
          .broken(BrokenRule.ANSWER_WITHOUT_MAJORITY),
      SearchBounds.still("3 nodes, 3 ballots", 3, 3, 1, 0).broken(BrokenRule.FLOOR_IGNORED),
      SearchBounds.still("3 to 4 to 5 to 4 to 3 voters, 2 disks lost", 5, 0, 0, 2)
          .rosters(0b111, ALL, 0b11111, 0b11101, 0b11001)
          .withoutBallots()
          .wipeable(1)
          .broken(BrokenRule.INCARNATIONS_NOT_CARRIED),
      SearchBounds.still("a voter leaves and comes back, 2 disks lost", 5, 0, 0, 2)
          .rosters(0b111, ALL, 0b1110, 0b11110, 0b11100)
          .withoutBallots()
          .wipeable(1)
          .broken(BrokenRule.INCARNATIONS_OF_VOTERS_CARRIED),
      SearchBounds.still("one voter of 5 replaced by another in one step", 6, 2, 1, 0)
          .rosters(0b11111, 0b101111)
          .served(0b111)
    };
  }

  @Test(dataProvider = "broken")
  public void aBrokenRuleIsFound(final SearchBounds bounds) {
    final Search.Result result = Search.run(bounds, MOST);
    print(result);
    assertNotNull(result.breach(), "the broken rule was not noticed: " + result);
    assertTrue(result.trace().size() > 2, "no way to the breach is told");
  }

  @Test
  public void everyRuleHasItsBrokenVariant() {
    for (final BrokenRule variant : BrokenRule.values()) {
      int count = 0;
      for (final Object bounds : broken()) {
        count += ((SearchBounds) bounds).has(variant) ? 1 : 0;
      }
      assertEquals(count, 1, variant.toString());
    }
  }

  /** The same states are visited each time, in the same order. */
  @Test
  public void aSearchGivesTheSameVerdictEachTime() {
    final SearchBounds bounds = SearchBounds.still("3 nodes, 2 ballots, 1 disk lost", 3, 2, 1, 1);
    final Search.Result one = Search.run(bounds, MOST);
    final Search.Result other = Search.run(bounds, MOST);
    assertEquals(one.states(), other.states());
    assertEquals(
        Search.run(bounds.broken(BrokenRule.OVERTAKEN_COUNTED), MOST).trace(),
        Search.run(bounds.broken(BrokenRule.OVERTAKEN_COUNTED), MOST).trace());
  }

  /**
   * Nodes that are alike are counted once: without that, three nodes of one kind give up to six
   * times as many states.
   */
  @Test
  public void likeNodesAreTakenForOneAnother() {
    final Search.Result alike = Search.run(SearchBounds.still("3 alike", 3, 2, 1, 0), MOST);
    final Search.Result apart =
        Search.run(SearchBounds.still("3 apart", 3, 2, 1, 0).toldApart(), MOST);
    assertTrue(apart.whole() && apart.breach() == null && alike.whole());
    assertTrue(
        apart.states() > 3 * alike.states() && apart.states() <= 6 * alike.states(),
        alike + "; " + apart);
  }

  @Test
  public void theLongSearchFindsNothingEither() {
    if (!Boolean.getBoolean("model.long")) {
      throw new SkipException("long; search it with -Dmodel.long=true");
    }
    final int most = Integer.getInteger("model.states", 20_000_000);
    final SearchBounds[] further = {
      SearchBounds.still(
              "5 nodes, 3 ballots, 1 write each, from where the first ballot serves", 5, 3, 1, 0)
          .served(0b111),
      SearchBounds.still(
              "5 to 6 to 5 voters, a ballot for each roster, 1 write each, from where the first ballot serves",
              6,
              3,
              1,
              0)
          .rosters(0b11111, 0b111111, 0b111110)
          .served(0b111)
          .aBallotEach(),
      SearchBounds.still(
              "the roster itself, 3 to 4 voters, 2 ballots, 2 writes each, 1 disk lost", 4, 2, 2, 1)
          .rostersInRegister(0b111, ALL, 0b11),
      SearchBounds.still(
              "reads, 3 to 4 voters, 3 ballots, 1 write each, from where the first ballot serves",
              4,
              3,
              1,
              0)
          .rosters(0b111, ALL)
          .read()
          .served(0b11),
      SearchBounds.still("3 nodes, 3 ballots, 1 write each, 2 disks lost", 3, 3, 1, 2),
      SearchBounds.still(
              "incarnations, 3 to 4 to 5 to 4 to 3 voters, 2 disks lost by two nodes", 5, 0, 0, 2)
          .rosters(0b111, ALL, 0b11111, 0b11101, 0b11001)
          .withoutBallots()
          .wipeable(0b1001)
    };
    for (final SearchBounds bounds : further) {
      final Search.Result result = Search.run(bounds, most);
      print(result);
      assertNull(result.breach(), result.trace().toString());
    }
  }

  private static void print(final Search.Result result) {
    System.out.println("model: " + result);
    result.trace().forEach(line -> System.out.println("model:   " + line));
  }
}
