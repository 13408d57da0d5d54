package weldpoint.idempotency;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import weldpoint.common.Invariant;
import weldpoint.transport.KeyMessages.Claim;
import weldpoint.transport.KeyMessages.ClaimRelease;
import weldpoint.transport.KeyMessages.ClaimResponse;
import weldpoint.transport.KeyMessages.ClaimResult;
import weldpoint.transport.KeyMessages.ClaimVote;
import weldpoint.transport.KeyMessages.ClaimVoteRequest;
import weldpoint.transport.KeyMessages.ClaimVoteResponse;
import weldpoint.transport.Message;
import weldpoint.transport.StateStoreMessages.Roster;
import weldpoint.transport.StateStoreMessages.Voter;

/**
 * Sends the claims of a registry's proxies to the voters and counts their votes. A claim is granted
 * once a majority of the voters has persisted it and no earlier claim of the key. Two majorities
 * share a voter, so two claims of one key are never both granted. Votes that arrive after the
 * deadline of a claim are ignored, so that a voter that lost its disk has learned the claims that
 * were granted with its lost votes before it votes again (see docs/idempotency.md).
 *
 * <p>Used by a registry on its control thread. Times are milliseconds of the monotonic clock.
 */
public final class ClaimCoordinator {
  /** How long votes on a claim count. */
  public static final long CLAIM_TIMEOUT_MILLIS = 900;

  private static final long RESEND_INTERVAL_MILLIS = 300;
  private static final long BATCH_INTERVAL_MILLIS = 10;
  private static final long GRANT_RETENTION_MILLIS = 60_000;
  private static final long CLEANUP_INTERVAL_MILLIS = 1000;
  private static final Invariant ONE_GRANT = Invariant.named("a key is granted to one request");

  private record Claimant(long incarnation, long number) {}

  private record Grant(Claim claim, long expiresAt) {}

  private static final class PendingClaim {
    final Claim claim;
    final Consumer<Message> reply;
    final long deadline;
    final Set<String> granted = new HashSet<>();
    final Map<String, Claim> refused = new LinkedHashMap<>();
    long sentAt;

    PendingClaim(final Claim claim, final Consumer<Message> reply, final long now) {
      this.claim = claim;
      this.reply = reply;
      this.deadline = now + CLAIM_TIMEOUT_MILLIS;
      this.sentAt = now;
    }
  }

  private final String self;
  private final Consumer<Message> voterSender;
  private final Map<Claimant, PendingClaim> pending = new LinkedHashMap<>();
  private final Map<Long, Grant> grants = new HashMap<>();
  private final List<Claim> unsent = new ArrayList<>();
  private long flushedAt = Long.MIN_VALUE / 2;
  private long cleanedUpAt = Long.MIN_VALUE / 2;
  private long granted;
  private long conflicts;
  private long unknown;

  /**
   * Creates the coordinator of the registry at address {@code self}.
   *
   * @param voterSender sends a message to all voters, including this registry if it is one
   */
  public ClaimCoordinator(final String self, final Consumer<Message> voterSender) {
    this.self = self;
    this.voterSender = voterSender;
  }

  /**
   * Submits a claim of a key by a proxy. {@code reply} gets exactly one response, or none if the
   * claim is released before it is decided.
   */
  public void submit(final Claim claim, final Consumer<Message> reply, final long now) {
    pending.put(new Claimant(claim.incarnation, claim.number), new PendingClaim(claim, reply, now));
    unsent.add(claim);
    if (now - flushedAt >= BATCH_INTERVAL_MILLIS) {
      flush(now);
    }
  }

  private void flush(final long now) {
    if (unsent.isEmpty()) {
      return;
    }
    flushedAt = now;
    final ClaimVoteRequest request = new ClaimVoteRequest(new ArrayList<>(unsent));
    unsent.clear();
    voterSender.accept(request);
  }

  /**
   * Handles the votes of one voter. A claim needs a majority of the distinct voters of the roster
   * in force and, for a while after a roster change, also of the previous roster.
   *
   * @param previousRoster the previous roster while it still counts, else null
   */
  public void onVotes(
      final String from,
      final ClaimVoteResponse response,
      final Roster roster,
      final Roster previousRoster,
      final long now) {
    for (final ClaimVote vote : response.votes) {
      final Claimant claimant = new Claimant(vote.incarnation, vote.number);
      final PendingClaim candidate = pending.get(claimant);
      if (candidate == null || now >= candidate.deadline) {
        continue;
      }
      if (vote.holder == null) {
        candidate.granted.add(from);
        candidate.refused.remove(from);
      } else {
        candidate.refused.put(from, vote.holder);
      }
      decide(claimant, candidate, roster, previousRoster, now);
    }
  }

  private void decide(
      final Claimant claimant,
      final PendingClaim candidate,
      final Roster roster,
      final Roster previousRoster,
      final long now) {
    if (hasMajority(candidate, roster)
        && (previousRoster == null || hasMajority(candidate, previousRoster))) {
      pending.remove(claimant);
      granted++;
      if (candidate.granted.contains(self)) {
        checkGrant(candidate.claim, now);
      }
      candidate.reply.accept(new ClaimResponse(candidate.claim.number, ClaimResult.GRANTED, null));
    } else if (majorityImpossible(candidate, roster)) {
      pending.remove(claimant);
      conflicts++;
      voterSender.accept(new ClaimRelease(List.of(candidate.claim)));
      final Claim holder = candidate.refused.values().iterator().next();
      candidate.reply.accept(new ClaimResponse(candidate.claim.number, ClaimResult.HELD, holder));
    }
  }

  private static boolean hasMajority(final PendingClaim candidate, final Roster roster) {
    return countVoters(candidate.granted, roster) >= roster.majority();
  }

  private static boolean majorityImpossible(final PendingClaim candidate, final Roster roster) {
    return roster.voters.size() - countVoters(candidate.refused.keySet(), roster)
        < roster.majority();
  }

  private static int countVoters(final Set<String> addresses, final Roster roster) {
    int count = 0;
    for (final Voter voter : roster.voters) {
      count += addresses.contains(voter.address) ? 1 : 0;
    }
    return count;
  }

  /**
   * Checks that no earlier claim of the key that was granted here is still valid. Applies only if
   * this registry itself voted for the claim: without its own vote it may have missed the release
   * of the earlier one.
   */
  private void checkGrant(final Claim claim, final long now) {
    final Grant earlier = grants.put(claim.high, new Grant(claim, now + GRANT_RETENTION_MILLIS));
    ONE_GRANT.check(
        earlier == null
            || earlier.expiresAt() <= now
            || earlier.claim().low != claim.low
            || earlier.claim().sameClaimant(claim),
        () -> earlier.claim() + " and " + claim);
  }

  /** Releases the claims of requests that were never run: their keys are free again. */
  public void release(final List<Claim> claims) {
    voterSender.accept(new ClaimRelease(claims));
  }

  /**
   * Handles a release that this registry received as a voter. It may have come through another
   * registry while votes on the claims are still being collected here; these are ignored from now
   * on.
   */
  public void onRelease(final List<Claim> claims) {
    for (final Claim claim : claims) {
      if (pending.remove(new Claimant(claim.incarnation, claim.number)) != null) {
        unsent.removeIf(queued -> queued.sameClaimant(claim));
      }
      final Grant grant = grants.get(claim.high);
      if (grant != null && grant.claim().sameClaimant(claim)) {
        grants.remove(claim.high);
      }
    }
  }

  /**
   * Advances the clock: sends queued claims, resends those without a majority, and gives up those
   * past their deadline.
   */
  public void tick(final long now) {
    flush(now);
    final List<Claim> resend = new ArrayList<>();
    final List<Claim> expired = new ArrayList<>();
    pending
        .values()
        .removeIf(
            candidate -> {
              if (now >= candidate.deadline) {
                expired.add(candidate.claim);
                candidate.reply.accept(
                    new ClaimResponse(candidate.claim.number, ClaimResult.UNKNOWN, null));
                return true;
              }
              if (now - candidate.sentAt >= RESEND_INTERVAL_MILLIS) {
                candidate.sentAt = now;
                resend.add(candidate.claim);
              }
              return false;
            });
    if (!resend.isEmpty()) {
      voterSender.accept(new ClaimVoteRequest(resend));
    }
    if (!expired.isEmpty()) {
      unknown += expired.size();
      voterSender.accept(new ClaimRelease(expired));
    }
    if (now - cleanedUpAt >= CLEANUP_INTERVAL_MILLIS) {
      cleanedUpAt = now;
      grants.values().removeIf(grant -> grant.expiresAt() <= now);
    }
  }

  /** Returns the counters of decided claims, for the log. */
  public String counters() {
    return "claims granted " + granted + " conflicts " + conflicts + " unknown " + unknown;
  }

  /** Returns how many claims were granted. */
  public long granted() {
    return granted;
  }

  /** Returns how many claims were refused because another claim holds the key. */
  public long conflicts() {
    return conflicts;
  }

  /** Returns how many claims were not decided by a majority in time. */
  public long unknown() {
    return unknown;
  }
}
