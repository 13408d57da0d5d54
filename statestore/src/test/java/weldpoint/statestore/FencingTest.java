package weldpoint.statestore;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import weldpoint.transport.Message;
import weldpoint.transport.RegisterVersion;
import weldpoint.transport.StateStoreMessages;

/**
 * A single voter refuses messages with an old roster or a lower ballot, and ballots that counted an
 * outdated incarnation.
 */
public final class FencingTest {
  private final List<Message> answers = new ArrayList<>();
  private StateStoreReplica replica;

  @BeforeMethod
  public void start() {
    answers.clear();
    replica =
        new StateStoreReplica(
            "10.0.0.1",
            "a",
            "r",
            true,
            5,
            20_000,
            1,
            new Random(1),
            List.of("10.0.0.1", "10.0.0.2", "10.0.0.3"),
            new StateStoreReplica.Environment() {
              @Override
              public void send(final String address, final Message message) {}

              @Override
              public void append(final byte[] record, final Runnable synced) {
                synced.run();
              }

              @Override
              public void peers(final List<String> addresses) {}
            });
    replica.start(List.of(), true, 0);
  }

  private Message receive(final String from, final Message message) {
    answers.clear();
    replica.receive(from, message, answers::add, 10);
    return answers.isEmpty() ? null : answers.get(0);
  }

  private static StateStoreMessages.Accept accept(final long round, final long second) {
    return new StateStoreMessages.Accept(
        3, 1, new RegisterVersion(round, 9, 0), true, List.of(1L, second, 1L), List.of());
  }

  @Test
  public void aBallotThatCountedAnOvertakenIncarnationIsRefused() {
    assertTrue(receive("10.0.0.3", accept(5, 1)) instanceof StateStoreMessages.Accepted);
    assertTrue(
        receive("10.0.0.2", new StateStoreMessages.RecoveryRequest(2))
            instanceof StateStoreMessages.RecoveryResponse);
    final Message refused = receive("10.0.0.3", accept(6, 1));
    assertTrue(refused instanceof StateStoreMessages.Refused);
    assertEquals(((StateStoreMessages.Refused) refused).knownIncarnations, List.of(1L, 2L, 1L));
    assertTrue(receive("10.0.0.3", accept(7, 2)) instanceof StateStoreMessages.Accepted);
  }

  @Test
  public void aLowerBallotIsRefusedWithTheOnePromised() {
    assertTrue(
        receive("10.0.0.2", new StateStoreMessages.Prepare(3, 1, new RegisterVersion(8, 4, 0)))
            instanceof StateStoreMessages.Promise);
    final Message refused = receive("10.0.0.3", accept(7, 1));
    assertEquals(((StateStoreMessages.Refused) refused).promised, new RegisterVersion(8, 4, 0));
  }

  @Test
  public void anOldRosterIsAnsweredWithTheNewerOne() {
    final StateStoreMessages.Roster next =
        new StateStoreMessages.Roster(2, replica.roster().voters);
    assertEquals(receive("10.0.0.2", new StateStoreMessages.RosterUpdate(next)), null);
    final Message answer = receive("10.0.0.3", accept(9, 1));
    assertEquals(((StateStoreMessages.RosterUpdate) answer).roster.number, 2);
  }

  @Test
  public void aBlankDiskNeitherPromisesNorAccepts() {
    final StateStoreReplica blank =
        new StateStoreReplica(
            "10.0.0.2",
            "a",
            "r",
            true,
            5,
            20_000,
            1,
            new Random(1),
            List.of("10.0.0.1", "10.0.0.2", "10.0.0.3"),
            new StateStoreReplica.Environment() {
              @Override
              public void send(final String address, final Message message) {}

              @Override
              public void append(final byte[] record, final Runnable synced) {
                synced.run();
              }

              @Override
              public void peers(final List<String> addresses) {}
            });
    blank.start(List.of(), false, 0);
    answers.clear();
    blank.receive(
        "10.0.0.1",
        new StateStoreMessages.Prepare(3, 1, new RegisterVersion(8, 4, 0)),
        answers::add,
        10);
    blank.receive("10.0.0.1", accept(8, 1), answers::add, 10);
    assertTrue(answers.isEmpty());
  }
}
