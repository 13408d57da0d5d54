package weldpoint.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import weldpoint.transport.KeyMessages.Claim;
import weldpoint.transport.KeyMessages.ClaimRelease;
import weldpoint.transport.KeyMessages.ClaimRequest;
import weldpoint.transport.KeyMessages.ClaimResponse;
import weldpoint.transport.KeyMessages.ClaimResult;

/**
 * Registries on a simulated clock and network decide which request gets an idempotency key: at most
 * one, also under restarts, lost disks, pauses and partitions.
 */
public final class KeyClaimsTest {
  private static final long RETENTION_MILLIS = 60_000;
  private static final long CAUGHT_UP_MILLIS = 6000;

  private final Map<Long, ClaimResponse> responses = new HashMap<>();
  private long number;
  private long totalGranted;

  @BeforeClass
  public void silenceLogging() {
    java.util.logging.Logger.getLogger("").setLevel(java.util.logging.Level.OFF);
  }

  private SimulatedCoreNetwork settledNetwork() {
    responses.clear();
    number = 0;
    final SimulatedCoreNetwork net = new SimulatedCoreNetwork(5, 5).startAll(true);
    net.advance(2000);
    net.version = 6;
    net.advance(4000);
    return net;
  }

  private Claim submitClaim(final SimulatedCoreNetwork net, final int node, final long key) {
    final Claim claim = new Claim(key, key, "10.9.0." + node, node, ++number, RETENTION_MILLIS);
    net.node(node)
        .core
        .onKeyMessage(
            new ClaimRequest(claim),
            response -> {
              assertFalse(responses.containsKey(claim.number), "answered twice");
              responses.put(claim.number, (ClaimResponse) response);
            },
            net.now);
    return claim;
  }

  private ClaimResult result(final Claim claim) {
    final ClaimResponse response = responses.get(claim.number);
    return response == null ? null : response.result();
  }

  @Test
  public void secondClaimIsToldTheHolderOfTheFirst() {
    final SimulatedCoreNetwork net = settledNetwork();
    final Claim first = submitClaim(net, 1, 7);
    net.advance(100);
    final Claim second = submitClaim(net, 4, 7);
    net.advance(100);
    assertEquals(result(first), ClaimResult.GRANTED);
    assertEquals(result(second), ClaimResult.HELD);
    assertEquals(responses.get(second.number).holder.number, first.number);
    net.advance(RETENTION_MILLIS);
    final Claim later = submitClaim(net, 4, 7);
    net.advance(100);
    assertEquals(result(later), ClaimResult.GRANTED, "the key is free after its retention");
  }

  @Test
  public void atMostOneOfTwoConcurrentClaimsIsGranted() {
    final SimulatedCoreNetwork net = settledNetwork();
    for (int key = 1; key <= 50; key++) {
      final Claim one = submitClaim(net, 1 + key % 5, key);
      net.advance(key % 7);
      final Claim other = submitClaim(net, 1 + (key + 2) % 5, key);
      net.advance(1200);
      assertFalse(
          result(one) == ClaimResult.GRANTED && result(other) == ClaimResult.GRANTED, "key " + key);
      if (result(one) != ClaimResult.GRANTED && result(other) != ClaimResult.GRANTED) {
        final Claim again = submitClaim(net, 3, key);
        net.advance(1200);
        assertEquals(result(again), ClaimResult.GRANTED, "neither claim was granted, key " + key);
      }
    }
  }

  @Test
  public void nonVoterRequestsVotesOfTheVoters() {
    responses.clear();
    number = 0;
    final SimulatedCoreNetwork net = new SimulatedCoreNetwork(6, 5).startAll(true);
    net.advance(2000);
    net.version = 6;
    net.advance(4000);
    final Claim first = submitClaim(net, 6, 7);
    net.advance(100);
    final Claim second = submitClaim(net, 1, 7);
    net.advance(100);
    assertEquals(result(first), ClaimResult.GRANTED);
    assertEquals(result(second), ClaimResult.HELD);
  }

  /**
   * Guards against claims that are sent over and over: registries that are no voters asked for all
   * of them with each quorum read, which filled the links of the core.
   */
  @Test
  public void registriesThatDoNotVoteDoNotFetchClaims() {
    responses.clear();
    number = 0;
    final SimulatedCoreNetwork net = new SimulatedCoreNetwork(7, 5).startAll(true);
    net.advance(2000);
    net.version = 6;
    net.advance(4000);
    for (int key = 1; key <= 20; key++) {
      submitClaim(net, 1 + key % 7, key);
    }
    net.advance(8000);
    for (int node = 1; node <= 7; node++) {
      assertEquals(remembered(net, node), node <= 5 ? 20.0 : 0.0, "registry " + node);
    }
    net.roster =
        SimulatedCoreNetwork.roster(
            2, List.of("10.0.0.2", "10.0.0.3", "10.0.0.4", "10.0.0.5", "10.0.0.6"));
    net.advance(8000);
    assertEquals(remembered(net, 6), 20.0, "the new voter has fetched them");
    assertEquals(remembered(net, 7), 0.0);
  }

  private static double remembered(final SimulatedCoreNetwork net, final int node) {
    return net.node(node).core.metrics(net.now).stream()
        .filter(metric -> metric.name().equals("weldpoint_keys_remembered"))
        .mapToDouble(metric -> metric.value())
        .sum();
  }

  @Test
  public void replacementVoterLearnsClaimsBeforeItVotes() {
    responses.clear();
    number = 0;
    final SimulatedCoreNetwork net = new SimulatedCoreNetwork(7, 5).startAll(true);
    net.advance(2000);
    net.version = 6;
    net.advance(4000);
    net.cut(5, true, true);
    net.cut(4, true, true);
    final Claim first = submitClaim(net, 1, 7);
    net.advance(100);
    assertEquals(result(first), ClaimResult.GRANTED);
    net.cut.clear();
    net.advance(3000);
    net.roster =
        SimulatedCoreNetwork.roster(
            2, List.of("10.0.0.2", "10.0.0.3", "10.0.0.4", "10.0.0.5", "10.0.0.6"));
    net.advance(8000);
    net.roster =
        SimulatedCoreNetwork.roster(
            3, List.of("10.0.0.3", "10.0.0.4", "10.0.0.5", "10.0.0.6", "10.0.0.7"));
    net.advance(8000);
    net.freeze(3);
    net.freeze(1);
    net.freeze(2);
    final Claim second = submitClaim(net, 6, 7);
    net.advance(1200);
    assertEquals(
        result(second),
        ClaimResult.UNKNOWN,
        "two voters that missed the claim accept, two new voters that learned it refuse, the fifth is down");
  }

  @Test
  public void releasedKeyIsFree() {
    final SimulatedCoreNetwork net = settledNetwork();
    final Claim first = submitClaim(net, 1, 7);
    net.advance(100);
    net.node(1).core.onKeyMessage(new ClaimRelease(List.of(first)), unused -> {}, net.now);
    net.advance(100);
    final Claim second = submitClaim(net, 2, 7);
    net.advance(100);
    assertEquals(result(second), ClaimResult.GRANTED);
    net.node(1).core.onKeyMessage(new ClaimRelease(List.of(first)), unused -> {}, net.now);
    net.advance(100);
    final Claim third = submitClaim(net, 3, 7);
    net.advance(100);
    assertEquals(
        result(third),
        ClaimResult.HELD,
        "a late release does not free the claim of another request");
  }

  @Test
  public void releaseThroughAnotherRegistryFreesKeyEverywhere() {
    final SimulatedCoreNetwork net = settledNetwork();
    final Claim first = submitClaim(net, 1, 7);
    net.advance(100);
    net.cut("10.0.0.1", "10.0.0.2", true, true);
    net.node(2).core.onKeyMessage(new ClaimRelease(List.of(first)), unused -> {}, net.now);
    net.advance(100);
    final Claim second = submitClaim(net, 1, 7);
    net.advance(1200);
    assertEquals(
        result(second), ClaimResult.GRANTED, "granted by the voters that received the release");
    net.cut.clear();
    final Claim third = submitClaim(net, 1, 7);
    net.advance(1200);
    assertEquals(result(third), ClaimResult.HELD);
  }

  @Test
  public void claimWithoutMajorityIsNotGrantedAndLeavesNoVotes() {
    final SimulatedCoreNetwork net = settledNetwork();
    net.cut(1, true, true);
    final Claim lost = submitClaim(net, 1, 7);
    net.advance(1500);
    assertEquals(result(lost), ClaimResult.UNKNOWN);
    net.cut.clear();
    net.advance(3000);
    final Claim next = submitClaim(net, 2, 7);
    net.advance(1200);
    assertEquals(result(next), ClaimResult.GRANTED);
  }

  @Test
  public void grantSurvivesRestartOfAllRegistries() {
    final SimulatedCoreNetwork net = settledNetwork();
    final Claim first = submitClaim(net, 1, 7);
    net.advance(100);
    assertEquals(result(first), ClaimResult.GRANTED);
    for (int node = 1; node <= 5; node++) {
      net.restart(node, true);
    }
    net.advance(5000);
    final Claim second = submitClaim(net, 2, 7);
    net.advance(1200);
    assertEquals(result(second), ClaimResult.HELD);
  }

  /**
   * Runs one random scenario with faults; returns the keys that were granted twice.
   *
   * @param learnsBeforeVoting whether a voter with an empty disk learns the claims before it votes
   */
  private List<String> runScenario(final long seed, final boolean learnsBeforeVoting) {
    final Random random = new Random(seed);
    final SimulatedCoreNetwork net = settledNetwork();
    final long[] wipedAt = new long[6];
    final Map<Long, Claim> submitted = new HashMap<>();
    final long end = net.now + 40_000;
    while (net.now < end) {
      final int node = 1 + random.nextInt(5);
      if (!net.node(node).frozen) {
        final Claim claim = submitClaim(net, node, 1 + random.nextInt(25));
        submitted.put(claim.number, claim);
      }
      if (random.nextInt(8) == 0) {
        injectFault(net, random, wipedAt, learnsBeforeVoting);
      }
      net.advance(1 + random.nextInt(300));
    }
    net.cut.clear();
    for (int node = 1; node <= 5; node++) {
      net.unfreeze(node);
    }
    net.advance(3000);
    final Map<Long, Claim> granted = new HashMap<>();
    final List<String> duplicates = new ArrayList<>();
    submitted
        .values()
        .forEach(
            claim -> {
              if (result(claim) == ClaimResult.GRANTED) {
                final Claim other = granted.put(claim.high, claim);
                if (other != null) {
                  duplicates.add("seed " + seed + ": " + other + " and " + claim);
                }
              }
            });
    totalGranted += granted.size();
    return duplicates;
  }

  private static void injectFault(
      final SimulatedCoreNetwork net,
      final Random random,
      final long[] wipedAt,
      final boolean learnsBeforeVoting) {
    final int node = 1 + random.nextInt(5);
    final int kind = random.nextInt(6);
    switch (kind) {
      case 0 -> net.restart(node, true);
      case 1 -> {
        int wiped = 0;
        for (int other = 1; other <= 5; other++) {
          wiped += other != node && net.now - wipedAt[other] < CAUGHT_UP_MILLIS ? 1 : 0;
        }
        if (wiped < 2) {
          wipedAt[node] = net.now;
          net.restart(node, false);
          if (!learnsBeforeVoting) {
            net.node(node).start(true);
          }
        }
      }
      case 2 -> net.freeze(node);
      case 3 -> {
        for (int other = 1; other <= 5; other++) {
          net.unfreeze(other);
        }
      }
      case 4 -> net.cut(node, random.nextBoolean(), random.nextBoolean());
      default -> net.cut.clear();
    }
  }

  @Test
  public void noKeyIsGrantedTwiceUnderFaults() {
    final List<String> duplicates = new ArrayList<>();
    for (long seed = Long.getLong("keys.first", 1);
        seed <= Long.getLong("keys.seeds", 60);
        seed++) {
      duplicates.addAll(runScenario(seed, true));
    }
    assertEquals(duplicates, List.of());
  }

  @Test
  public void scenariosDetectVoterThatVotesWithEmptyDisk() {
    int caught = 0;
    for (long seed = 1; seed <= 60; seed++) {
      try {
        caught += runScenario(seed, false).isEmpty() ? 0 : 1;
      } catch (final IllegalStateException invariant) {
        assertTrue(invariant.getMessage().startsWith("invariant broken"), invariant.getMessage());
        caught++;
      }
    }
    assertTrue(caught > 0, "no scenario detected the voter with an empty disk");
  }
}
