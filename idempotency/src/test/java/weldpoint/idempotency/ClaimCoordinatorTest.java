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

/** Claims that are released while their votes are being collected. */
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

  private final List<Message> messages = new ArrayList<>();
  private final ClaimCoordinator coordinator = new ClaimCoordinator(SELF, messages::add);

  private static Claim claim(final String proxy, final long number) {
    return new Claim(7, 8, proxy, 1, number, 60_000);
  }

  private void vote(final Claim claim, final String from, final long now) {
    final ClaimVote vote = new ClaimVote(claim.incarnation, claim.number, null);
    coordinator.onVotes(from, new ClaimVoteResponse(1, List.of(vote)), ROSTER, null, now);
  }

  /**
   * Guards against late votes that granted a claim after it had been released through another
   * registry.
   */
  @Test
  public void votesForReleasedClaimAreIgnored() {
    final List<Message> first = new ArrayList<>();
    final List<Message> second = new ArrayList<>();
    final Claim released = claim("10.0.1.1", 9);
    final Claim next = claim("10.0.1.2", 10);
    coordinator.submit(released, first::add, 1000);
    vote(released, SELF, 1010);
    coordinator.onRelease(List.of(released));
    vote(released, OTHER, 1020);
    assertEquals(first, List.of(), "the proxy that released it gets no response");
    messages.clear();
    coordinator.tick(1400);
    assertEquals(messages, List.of(), "votes are not requested again");
    coordinator.submit(next, second::add, 1500);
    vote(next, SELF, 1510);
    vote(next, OTHER, 1520);
    assertEquals(((ClaimResponse) second.get(0)).result(), ClaimResult.GRANTED);
    assertEquals(coordinator.granted(), 1);
  }
}
