package weldpoint.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import weldpoint.transport.KeyMessages.Claim;
import weldpoint.transport.KeyMessages.KeyOutcome;
import weldpoint.transport.KeyMessages.Outcome;
import weldpoint.transport.KeyMessages.OutcomeFound;
import weldpoint.transport.KeyMessages.OutcomeLookup;
import weldpoint.transport.KeyMessages.OutcomeReport;
import weldpoint.transport.KeyMessages.OutcomeResponse;
import weldpoint.transport.KeyMessages.OutcomeStored;
import weldpoint.transport.Message;

/**
 * Guards against DENIED (incident 25): the response to a keyed request was lost with its proxy.
 * Registries on a simulated clock and network keep it through restarts, lost disks and pauses.
 */
public final class KeyOutcomesTest {
  private static final long RETENTION_MILLIS = 60_000;
  private static final int KEYS = 20;

  private SimulatedCoreNetwork net;
  private final List<Message> replies = new ArrayList<>();

  @BeforeClass
  public void silenceLogging() {
    java.util.logging.Logger.getLogger("").setLevel(java.util.logging.Level.OFF);
  }

  @BeforeMethod
  public void start() {
    replies.clear();
    net = new SimulatedCoreNetwork(5, 5).startAll(true);
    net.advance(2000);
    net.version = 6;
    net.advance(4000);
  }

  private static Claim claim(final long key) {
    return new Claim(key * 0x9e3779b97f4a7c15L, key, "10.9.0.1", 3, key, RETENTION_MILLIS);
  }

  private static OutcomeResponse response(final long key) {
    return new OutcomeResponse(
        Outcome.ANSWERED,
        200,
        List.of("Weldpoint-Server-Seal", "s" + key),
        new byte[] {(byte) key});
  }

  private boolean report(final int node, final long key) {
    replies.clear();
    net.node(node)
        .core
        .onKeyMessage(
            new OutcomeReport(key, new KeyOutcome(claim(key), 9, response(key), List.of())),
            replies::add,
            net.now);
    net.advance(100);
    return replies.size() == 1 && ((OutcomeStored) replies.get(0)).number == key;
  }

  private OutcomeResponse lookUp(
      final int node, final Claim claim, final long fingerprint, final List<String> regions) {
    replies.clear();
    net.node(node)
        .core
        .onKeyMessage(new OutcomeLookup(77, claim, fingerprint, regions), replies::add, net.now);
    net.advance(600);
    assertEquals(replies.size(), 1, "one reply");
    assertEquals(((OutcomeFound) replies.get(0)).number, 77);
    return ((OutcomeFound) replies.get(0)).response;
  }

  private Outcome outcome(final int node, final long key) {
    return lookUp(node, claim(key), 9, List.of()).outcome();
  }

  @Test
  public void everyRegistryFindsAReportedResponse() {
    for (long key = 1; key <= KEYS; key++) {
      assertTrue(report(1 + (int) (key % 5), key), "key " + key);
    }
    for (long key = 1; key <= KEYS; key++) {
      final OutcomeResponse found = lookUp(1 + (int) (key * 3 % 5), claim(key), 9, List.of());
      assertEquals(found.body, response(key).body);
      assertEquals(found.headers, response(key).headers);
    }
    assertEquals(outcome(1, KEYS + 1), Outcome.UNCERTAIN, "never reported");
    assertEquals(lookUp(2, claim(1), 8, List.of()).outcome(), Outcome.KEY_REUSED);
    final Claim later = new Claim(claim(1).high, 1, "10.9.0.1", 3, 99, RETENTION_MILLIS);
    assertEquals(
        lookUp(2, later, 9, List.of()).outcome(), Outcome.UNCERTAIN, "of another claim of the key");
  }

  @Test
  public void responseSurvivesTwoLostDisks() {
    for (long key = 1; key <= KEYS; key++) {
      assertTrue(report(1, key));
    }
    net.restart(2, false);
    net.restart(3, false);
    net.advance(100);
    for (long key = 1; key <= KEYS; key++) {
      assertEquals(outcome(1, key), Outcome.ANSWERED, "key " + key);
    }
  }

  @Test
  public void responseSurvivesRestartOfAllRegistries() {
    for (long key = 1; key <= KEYS; key++) {
      assertTrue(report(1, key));
    }
    for (int node = 1; node <= 5; node++) {
      net.restart(node, true);
    }
    net.advance(8000);
    for (long key = 1; key <= KEYS; key++) {
      assertEquals(outcome(1 + (int) (key % 5), key), Outcome.ANSWERED, "key " + key);
    }
  }

  @Test
  public void twoFrozenRegistriesDelayNothing() {
    for (long key = 1; key <= KEYS; key++) {
      assertTrue(report(1, key));
    }
    net.freeze(4);
    net.freeze(5);
    for (long key = 1; key <= KEYS; key++) {
      assertEquals(outcome(1, key), Outcome.ANSWERED, "key " + key);
    }
  }

  @Test
  public void responseIsAcknowledgedOnlyOnceTwoReplicasHaveIt() {
    for (int node = 2; node <= 5; node++) {
      net.freeze(node);
    }
    assertEquals(report(1, 1), false);
    for (int node = 2; node <= 5; node++) {
      net.unfreeze(node);
    }
    net.advance(5000);
    assertTrue(report(1, 1), "a report that is sent again is acknowledged");
    assertEquals(outcome(3, 1), Outcome.ANSWERED);
  }

  @Test
  public void responseIsForgottenAfterItsRetention() {
    assertTrue(report(1, 1));
    net.advance(RETENTION_MILLIS);
    assertEquals(outcome(1, 1), Outcome.UNCERTAIN);
  }

  /** Guards against HOME: a response is kept only where the route and the tenant allow it. */
  @Test
  public void responseIsKeptInTheGivenRegionsOnly() {
    replies.clear();
    net.node(1)
        .core
        .onKeyMessage(
            new OutcomeReport(1, new KeyOutcome(claim(1), 9, response(1), List.of("nowhere"))),
            replies::add,
            net.now);
    net.advance(100);
    assertEquals(replies.size(), 1, "there is nothing to wait for");
    for (int node = 1; node <= 5; node++) {
      assertEquals(outcome(node, 1), Outcome.UNCERTAIN);
      assertEquals(keptOutcomes(node), 0.0);
    }
    assertEquals(lookUp(1, claim(1), 9, List.of("nowhere")).outcome(), Outcome.UNCERTAIN);
  }

  private double keptOutcomes(final int node) {
    return net.node(node).core.metrics(net.now).stream()
        .filter(metric -> metric.name().equals("weldpoint_key_outcomes"))
        .mapToDouble(metric -> metric.value())
        .sum();
  }

  /** The oldest responses make room, so that memory and disk stay bounded. */
  @Test
  public void keptBytesAreBounded() {
    final byte[] body = new byte[16 << 10];
    for (long key = 1; key <= 600; key++) {
      final OutcomeResponse large = new OutcomeResponse(Outcome.ANSWERED, 200, List.of(), body);
      net.node(1)
          .core
          .onKeyMessage(
              new OutcomeReport(key, new KeyOutcome(claim(key), 9, large, List.of())),
              unused -> {},
              net.now);
      net.advance(20);
    }
    for (int node = 1; node <= 5; node++) {
      assertTrue(keptOutcomes(node) <= 256, "node " + node + " keeps " + keptOutcomes(node));
    }
    assertEquals(outcome(1, 600), Outcome.ANSWERED, "the newest is kept");
  }
}
