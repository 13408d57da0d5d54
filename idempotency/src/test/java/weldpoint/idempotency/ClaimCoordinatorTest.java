package weldpoint.idempotency;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import weldpoint.transport.KeyMessages.Claim;
import weldpoint.transport.KeyMessages.ClaimResponse;
import weldpoint.transport.KeyMessages.ClaimResult;
import weldpoint.transport.KeyMessages.ClaimVote;
import weldpoint.transport.KeyMessages.ClaimVoteResponse;
import weldpoint.transport.Message;
import weldpoint.transport.StateStoreMessages.Roster;
import weldpoint.transport.StateStoreMessages.Voter;

/** Claims that are given back while their votes are under way. */
public final class ClaimCoordinatorTest {
  private static final String SELF = "10.0.0.1";
  private static final String OTHER = "10.0.0.2";
  private static final Roster ROSTER =
      new Roster(
          1,
          List.of(
              new Voter(SELF, "a", "r", List.of()),
              new Voter(OTHER, "b", "r", List.of()),
              new Voter("10.0.0.3", "c", "r", List.of())));

  private final List<Message> told = new ArrayList<>();
  private final ClaimCoordinator coordinator = new ClaimCoordinator(SELF, told::add);

  private static Claim claim(final String proxy, final long number) {
    return new Claim(7, 8, proxy, 1, number, 60_000);
  }

  private void votes(final Claim claim, final String from, final long now) {
    final ClaimVote vote = new ClaimVote(claim.incarnation, claim.number, null);
    coordinator.voted(from, new ClaimVoteResponse(1, List.of(vote)), ROSTER, null, now);
  }

  /** Guards against late votes that granted a claim which had been given back elsewhere. */
  @Test
  public void votesForAClaimThatWasGivenBackCountForNothing() {
    final List<Message> first = new ArrayList<>();
    final List<Message> second = new ArrayList<>();
    final Claim givenBack = claim("10.0.1.1", 9);
    final Claim next = claim("10.0.1.2", 10);
    coordinator.ask(givenBack, first::add, 1000);
    votes(givenBack, SELF, 1010);
    coordinator.released(List.of(givenBack));
    votes(givenBack, OTHER, 1020);
    assertEquals(first, List.of(), "its proxy has given it up");
    told.clear();
    coordinator.tick(1400);
    assertEquals(told, List.of(), "it is not asked for again");
    coordinator.ask(next, second::add, 1500);
    votes(next, SELF, 1510);
    votes(next, OTHER, 1520);
    assertEquals(((ClaimResponse) second.get(0)).result(), ClaimResult.GRANTED);
    assertEquals(coordinator.granted(), 1);
  }
}
