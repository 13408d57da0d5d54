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

/** Registries on a fake clock and network decide to which request an idempotency key belongs. */
public final class KeyClaimsTest {
  private static final long KEEP_MILLIS = 60_000;
  private static final long CAUGHT_UP_MILLIS = 6000;

  private final Map<Long, ClaimResponse> answers = new HashMap<>();
  private long number;
  private long grantedInAll;

  @BeforeClass
  public void quiet() {
    java.util.logging.Logger.getLogger("").setLevel(java.util.logging.Level.OFF);
  }

  private SimulatedCoreNetwork settled() {
    answers.clear();
    number = 0;
    final SimulatedCoreNetwork net = new SimulatedCoreNetwork(5, 5).startAll(true);
    net.advance(2000);
    net.version = 6;
    net.advance(4000);
    return net;
  }

  private Claim ask(final SimulatedCoreNetwork net, final int node, final long key) {
    final Claim claim = new Claim(key, key, "10.9.0." + node, node, ++number, KEEP_MILLIS);
    net.node(node)
        .core
        .onKeyMessage(
            new ClaimRequest(claim),
            answer -> {
              assertFalse(answers.containsKey(claim.number), "answered twice");
              answers.put(claim.number, (ClaimResponse) answer);
            },
            net.now);
    return claim;
  }

  private ClaimResult result(final Claim claim) {
    final ClaimResponse answer = answers.get(claim.number);
    return answer == null ? null : answer.result();
  }

  @Test
  public void theFirstGetsTheKeyAndTheSecondHearsWhoHasIt() {
    final SimulatedCoreNetwork net = settled();
    final Claim first = ask(net, 1, 7);
    net.advance(100);
    final Claim second = ask(net, 4, 7);
    net.advance(100);
    assertEquals(result(first), ClaimResult.GRANTED);
    assertEquals(result(second), ClaimResult.HELD);
    assertEquals(answers.get(second.number).holder.number, first.number);
    net.advance(KEEP_MILLIS);
    final Claim later = ask(net, 4, 7);
    net.advance(100);
    assertEquals(result(later), ClaimResult.GRANTED, "after its span the key is free");
  }

  @Test
  public void ofTwoAtOnceAtMostOneGetsTheKeyAndTheOtherLeavesNothingBehind() {
    final SimulatedCoreNetwork net = settled();
    for (int key = 1; key <= 50; key++) {
      final Claim one = ask(net, 1 + key % 5, key);
      net.advance(key % 7);
      final Claim other = ask(net, 1 + (key + 2) % 5, key);
      net.advance(1200);
      assertFalse(
          result(one) == ClaimResult.GRANTED && result(other) == ClaimResult.GRANTED, "key " + key);
      if (result(one) != ClaimResult.GRANTED && result(other) != ClaimResult.GRANTED) {
        final Claim again = ask(net, 3, key);
        net.advance(1200);
        assertEquals(result(again), ClaimResult.GRANTED, "neither had it, key " + key);
      }
    }
  }

  @Test
  public void aRegistryThatIsNoVoterAsksTheVoters() {
    answers.clear();
    number = 0;
    final SimulatedCoreNetwork net = new SimulatedCoreNetwork(6, 5).startAll(true);
    net.advance(2000);
    net.version = 6;
    net.advance(4000);
    final Claim first = ask(net, 6, 7);
    net.advance(100);
    final Claim second = ask(net, 1, 7);
    net.advance(100);
    assertEquals(result(first), ClaimResult.GRANTED);
    assertEquals(result(second), ClaimResult.HELD);
  }

  @Test
  public void aVoterThatReplacesAnotherLearnsTheClaimsBeforeItVotes() {
    answers.clear();
    number = 0;
    final SimulatedCoreNetwork net = new SimulatedCoreNetwork(7, 5).startAll(true);
    net.advance(2000);
    net.version = 6;
    net.advance(4000);
    net.cut(5, true, true);
    net.cut(4, true, true);
    final Claim first = ask(net, 1, 7);
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
    final Claim second = ask(net, 6, 7);
    net.advance(1200);
    assertEquals(
        result(second),
        ClaimResult.UNKNOWN,
        "two that missed it grant, two newcomers that learned it do not, and the fifth is away");
  }

  @Test
  public void aKeyThatIsGivenBackIsFree() {
    final SimulatedCoreNetwork net = settled();
    final Claim first = ask(net, 1, 7);
    net.advance(100);
    net.node(1).core.onKeyMessage(new ClaimRelease(List.of(first)), unused -> {}, net.now);
    net.advance(100);
    final Claim second = ask(net, 2, 7);
    net.advance(100);
    assertEquals(result(second), ClaimResult.GRANTED);
    net.node(1).core.onKeyMessage(new ClaimRelease(List.of(first)), unused -> {}, net.now);
    net.advance(100);
    final Claim third = ask(net, 3, 7);
    net.advance(100);
    assertEquals(result(third), ClaimResult.HELD, "a late release frees nobody else's claim");
  }

  @Test
  public void aGrantThatIsGivenBackThroughAnotherRegistryFreesItsKeyEverywhere() {
    final SimulatedCoreNetwork net = settled();
    final Claim first = ask(net, 1, 7);
    net.advance(100);
    net.cut("10.0.0.1", "10.0.0.2", true, true);
    net.node(2).core.onKeyMessage(new ClaimRelease(List.of(first)), unused -> {}, net.now);
    net.advance(100);
    final Claim second = ask(net, 1, 7);
    net.advance(1200);
    assertEquals(result(second), ClaimResult.GRANTED, "by the voters that heard of it");
    net.cut.clear();
    final Claim third = ask(net, 1, 7);
    net.advance(1200);
    assertEquals(result(third), ClaimResult.HELD);
  }

  @Test
  public void withoutAMajorityNothingIsGrantedAndNothingStaysBehind() {
    final SimulatedCoreNetwork net = settled();
    net.cut(1, true, true);
    final Claim lost = ask(net, 1, 7);
    net.advance(1500);
    assertEquals(result(lost), ClaimResult.UNKNOWN);
    net.cut.clear();
    net.advance(3000);
    final Claim next = ask(net, 2, 7);
    net.advance(1200);
    assertEquals(result(next), ClaimResult.GRANTED);
  }

  @Test
  public void aGrantSurvivesALossOfPowerEverywhere() {
    final SimulatedCoreNetwork net = settled();
    final Claim first = ask(net, 1, 7);
    net.advance(100);
    assertEquals(result(first), ClaimResult.GRANTED);
    for (int node = 1; node <= 5; node++) {
      net.restart(node, true);
    }
    net.advance(5000);
    final Claim second = ask(net, 2, 7);
    net.advance(1200);
    assertEquals(result(second), ClaimResult.HELD);
  }

  /** One story under trouble: the keys that were granted twice. */
  private List<String> play(final long seed, final boolean learns) {
    final Random random = new Random(seed);
    final SimulatedCoreNetwork net = settled();
    final long[] wipedAt = new long[6];
    final Map<Long, Claim> asked = new HashMap<>();
    final long end = net.now + 40_000;
    while (net.now < end) {
      final int node = 1 + random.nextInt(5);
      if (!net.node(node).frozen) {
        final Claim claim = ask(net, node, 1 + random.nextInt(25));
        asked.put(claim.number, claim);
      }
      if (random.nextInt(8) == 0) {
        trouble(net, random, wipedAt, learns);
      }
      net.advance(1 + random.nextInt(300));
    }
    net.cut.clear();
    for (int node = 1; node <= 5; node++) {
      net.unfreeze(node);
    }
    net.advance(3000);
    final Map<Long, Claim> granted = new HashMap<>();
    final List<String> twice = new ArrayList<>();
    asked
        .values()
        .forEach(
            claim -> {
              if (result(claim) == ClaimResult.GRANTED) {
                final Claim other = granted.put(claim.high, claim);
                if (other != null) {
                  twice.add("seed " + seed + ": " + other + " and " + claim);
                }
              }
            });
    grantedInAll += granted.size();
    return twice;
  }

  private static void trouble(
      final SimulatedCoreNetwork net,
      final Random random,
      final long[] wipedAt,
      final boolean learns) {
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
          if (!learns) {
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
  public void noKeyIsGrantedTwiceWhateverFails() {
    final List<String> twice = new ArrayList<>();
    for (long seed = Long.getLong("keys.first", 1);
        seed <= Long.getLong("keys.seeds", 60);
        seed++) {
      twice.addAll(play(seed, true));
    }
    assertEquals(twice, List.of());
  }

  @Test
  public void theSameStoriesCatchAVoterThatVotesWithAnEmptyDiskAtOnce() {
    int caught = 0;
    for (long seed = 1; seed <= 60; seed++) {
      try {
        caught += play(seed, false).isEmpty() ? 0 : 1;
      } catch (final IllegalStateException invariant) {
        assertTrue(invariant.getMessage().startsWith("invariant broken"), invariant.getMessage());
        caught++;
      }
    }
    assertTrue(caught > 0, "the broken variant went unnoticed");
  }
}
