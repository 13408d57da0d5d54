package weldpoint.simulation.model;

import java.util.EnumSet;
import java.util.Set;

/**
 * What a search tries: so many nodes, ballots, writes in each ballot, wiped disks and incarnations,
 * and these rosters.
 *
 * @param name what it is called where it is printed
 * @param nodes how many nodes there are, six at most
 * @param ballots how many ballots may be begun, in any order and by anybody
 * @param writes how many writes a ballot may propose, three at most
 * @param wipes how many disks may be emptied, counting each time
 * @param wipeable the nodes, as bits, that may lose their disks
 * @param incarnations the highest incarnation, three at most
 * @param rosters sets of voters as bits, in the order in which partition 0 decides them; the first
 *     is in force
 * @param registered whether the register itself holds the roster, so that the ballots searched
 *     decide it; the other rosters then say what may be proposed after a roster with as many voters
 *     as the one before it
 * @param servedOn the nodes, as bits, on which the first ballot is established at the start; none
 *     begins with nothing
 * @param apart whether like nodes are told apart all the same
 * @param reads whether stale holders are asked
 * @param staged whether a ballot is only begun under the roster of its own number
 * @param ballotless whether ballots are left out and a roster is settled by any two majorities of
 *     it
 * @param variants the rules that are broken
 */
public record SearchBounds(
    String name,
    int nodes,
    int ballots,
    int writes,
    int wipes,
    int wipeable,
    int incarnations,
    int[] rosters,
    boolean registered,
    int servedOn,
    boolean apart,
    boolean reads,
    boolean staged,
    boolean ballotless,
    Set<BrokenRule> variants) {
  /** Bounds with one roster. */
  public static SearchBounds still(
      final String name, final int nodes, final int ballots, final int writes, final int wipes) {
    return new SearchBounds(
        name,
        nodes,
        ballots,
        writes,
        wipes,
        (1 << nodes) - 1,
        1 + wipes,
        new int[] {(1 << nodes) - 1},
        false,
        0,
        false,
        false,
        false,
        false,
        EnumSet.noneOf(BrokenRule.class));
  }

  /** The same with other rosters. */
  public SearchBounds rosters(final int... masks) {
    return new SearchBounds(
        name,
        nodes,
        ballots,
        writes,
        wipes,
        wipeable,
        incarnations,
        masks,
        registered,
        servedOn,
        apart,
        reads,
        staged,
        ballotless,
        variants);
  }

  /** The same with the roster in the register. */
  public SearchBounds rostersInRegister(final int... masks) {
    return new SearchBounds(
        name,
        nodes,
        ballots,
        writes,
        wipes,
        wipeable,
        incarnations,
        masks,
        true,
        servedOn,
        apart,
        reads,
        staged,
        ballotless,
        variants);
  }

  /** The same from where the first ballot serves. */
  public SearchBounds served(final int mask) {
    return new SearchBounds(
        name,
        nodes,
        ballots,
        writes,
        wipes,
        wipeable,
        incarnations,
        rosters,
        registered,
        mask,
        apart,
        reads,
        staged,
        ballotless,
        variants);
  }

  /** The same with reads. */
  public SearchBounds read() {
    return new SearchBounds(
        name,
        nodes,
        ballots,
        writes,
        wipes,
        wipeable,
        incarnations,
        rosters,
        registered,
        servedOn,
        apart,
        true,
        staged,
        ballotless,
        variants);
  }

  /** The same without ballots. */
  public SearchBounds withoutBallots() {
    return new SearchBounds(
        name,
        nodes,
        0,
        0,
        wipes,
        wipeable,
        incarnations,
        rosters,
        registered,
        0,
        apart,
        false,
        false,
        true,
        variants);
  }

  /** The same with another highest incarnation. */
  public SearchBounds incarnations(final int most) {
    return new SearchBounds(
        name,
        nodes,
        ballots,
        writes,
        wipes,
        wipeable,
        most,
        rosters,
        registered,
        servedOn,
        apart,
        reads,
        staged,
        ballotless,
        variants);
  }

  /** The same with rules broken. */
  public SearchBounds broken(final BrokenRule one) {
    return new SearchBounds(
        name + ", broken: " + one,
        nodes,
        ballots,
        writes,
        wipes,
        wipeable,
        incarnations,
        rosters,
        registered,
        servedOn,
        apart,
        reads,
        staged,
        ballotless,
        EnumSet.of(one));
  }

  /** The same with like nodes told apart. */
  public SearchBounds toldApart() {
    return new SearchBounds(
        name,
        nodes,
        ballots,
        writes,
        wipes,
        wipeable,
        incarnations,
        rosters,
        registered,
        servedOn,
        true,
        reads,
        staged,
        ballotless,
        variants);
  }

  /** The same where each roster has one ballot. */
  public SearchBounds aBallotEach() {
    return new SearchBounds(
        name,
        nodes,
        ballots,
        writes,
        wipes,
        wipeable,
        incarnations,
        rosters,
        registered,
        servedOn,
        apart,
        reads,
        true,
        ballotless,
        variants);
  }

  /** The same where only these nodes lose their disks. */
  public SearchBounds wipeable(final int mask) {
    return new SearchBounds(
        name,
        nodes,
        ballots,
        writes,
        wipes,
        mask,
        incarnations,
        rosters,
        registered,
        servedOn,
        apart,
        reads,
        staged,
        ballotless,
        variants);
  }

  boolean has(final BrokenRule variant) {
    return variants.contains(variant);
  }
}
