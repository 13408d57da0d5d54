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
 * Carries the claims of a registry's proxies to the voters and counts their votes. A claim is
 * granted once a majority of the voters' disks remembers it and no earlier one: two majorities
 * share a voter, so two claims of one key are never both granted. Votes that come after a claim's
 * deadline count for nothing, so that a voter whose disk was lost has learned what was granted with
 * its lost vote before it votes again (see docs/idempotency.md).
 */
public final class ClaimCoordinator {
  /** For how long votes on a claim count. */
  public static final long DEADLINE_MILLIS = 900;

  private static final long RESEND_MILLIS = 300;
  private static final long BATCH_MILLIS = 10;
  private static final long GRANTS_KEPT_MILLIS = 60_000;
  private static final long FORGET_MILLIS = 1000;
  private static final Invariant ONE_GRANT = Invariant.named("a key is granted to one request");

  private record Claimant(long incarnation, long number) {}

  private record Grant(Claim claim, long until) {}

  private static final class Pending {
    final Claim claim;
    final Consumer<Message> reply;
    final long deadline;
    final Set<String> granted = new HashSet<>();
    final Map<String, Claim> refused = new LinkedHashMap<>();
    long sentAt;

    Pending(final Claim claim, final Consumer<Message> reply, final long now) {
      this.claim = claim;
      this.reply = reply;
      this.deadline = now + DEADLINE_MILLIS;
      this.sentAt = now;
    }
  }

  private final String self;
  private final Consumer<Message> voters;
  private final Map<Claimant, Pending> pending = new LinkedHashMap<>();
  private final Map<Long, Grant> grants = new HashMap<>();
  private final List<Claim> unsent = new ArrayList<>();
  private long flushedAt = Long.MIN_VALUE / 2;
  private long forgotAt = Long.MIN_VALUE / 2;
  private long granted;
  private long conflicts;
  private long unknown;

  /**
   * A coordinator of the registry at this address, which tells all voters, that registry among
   * them, through this.
   */
  public ClaimCoordinator(final String self, final Consumer<Message> voters) {
    this.self = self;
    this.voters = voters;
  }

  /** A proxy claims a key; it hears exactly one answer. */
  public void ask(final Claim claim, final Consumer<Message> reply, final long now) {
    pending.put(new Claimant(claim.incarnation, claim.number), new Pending(claim, reply, now));
    unsent.add(claim);
    if (now - flushedAt >= BATCH_MILLIS) {
      flush(now);
    }
  }

  private void flush(final long now) {
    if (unsent.isEmpty()) {
      return;
    }
    flushedAt = now;
    final ClaimVoteRequest ask = new ClaimVoteRequest(new ArrayList<>(unsent));
    unsent.clear();
    voters.accept(ask);
  }

  /**
   * A voter has voted. Counted are distinct voters of the roster in force, and, for a while after a
   * change of roster, of the one before besides.
   *
   * @param before the roster before, where it still counts; else null
   */
  public void voted(
      final String from,
      final ClaimVoteResponse answer,
      final Roster roster,
      final Roster before,
      final long now) {
    for (final ClaimVote vote : answer.votes) {
      final Claimant claimant = new Claimant(vote.incarnation, vote.number);
      final Pending one = pending.get(claimant);
      if (one == null || now >= one.deadline) {
        continue;
      }
      if (vote.holder == null) {
        one.granted.add(from);
        one.refused.remove(from);
      } else {
        one.refused.put(from, vote.holder);
      }
      judge(claimant, one, roster, before, now);
    }
  }

  private void judge(
      final Claimant claimant,
      final Pending one,
      final Roster roster,
      final Roster before,
      final long now) {
    if (majority(one, roster) && (before == null || majority(one, before))) {
      pending.remove(claimant);
      granted++;
      if (one.granted.contains(self)) {
        checkGrant(one.claim, now);
      }
      one.reply.accept(new ClaimResponse(one.claim.number, ClaimResult.GRANTED, null));
    } else if (hopeless(one, roster)) {
      pending.remove(claimant);
      conflicts++;
      voters.accept(new ClaimRelease(List.of(one.claim)));
      final Claim holder = one.refused.values().iterator().next();
      one.reply.accept(new ClaimResponse(one.claim.number, ClaimResult.HELD, holder));
    }
  }

  private static boolean majority(final Pending one, final Roster roster) {
    return count(one.granted, roster) >= roster.majority();
  }

  private static boolean hopeless(final Pending one, final Roster roster) {
    return roster.voters.size() - count(one.refused.keySet(), roster) < roster.majority();
  }

  private static int count(final Set<String> those, final Roster roster) {
    int count = 0;
    for (final Voter voter : roster.voters) {
      count += those.contains(voter.address) ? 1 : 0;
    }
    return count;
  }

  /**
   * Where this registry itself voted for a claim, its table must not have forgotten an earlier one
   * that was granted here. Without its vote nothing can be said: it may have missed a release.
   */
  private void checkGrant(final Claim claim, final long now) {
    final Grant earlier = grants.put(claim.high, new Grant(claim, now + GRANTS_KEPT_MILLIS));
    ONE_GRANT.check(
        earlier == null
            || earlier.until() <= now
            || earlier.claim().low != claim.low
            || earlier.claim().sameClaimant(claim),
        () -> earlier.claim() + " and " + claim);
  }

  /** A request that held a claim never ran: its key is free again. */
  public void release(final List<Claim> claims) {
    voters.accept(new ClaimRelease(claims));
  }

  /**
   * This registry, as a voter, has heard that claims were given back, perhaps through another
   * registry while their votes were still under way here: those count for nothing any more.
   */
  public void released(final List<Claim> claims) {
    for (final Claim claim : claims) {
      if (pending.remove(new Claimant(claim.incarnation, claim.number)) != null) {
        unsent.removeIf(waiting -> waiting.sameClaimant(claim));
      }
      final Grant grant = grants.get(claim.high);
      if (grant != null && grant.claim().sameClaimant(claim)) {
        grants.remove(claim.high);
      }
    }
  }

  /** Time has passed: waiting claims go out, and those past their deadline are given up. */
  public void tick(final long now) {
    flush(now);
    final List<Claim> again = new ArrayList<>();
    final List<Claim> over = new ArrayList<>();
    pending
        .values()
        .removeIf(
            one -> {
              if (now >= one.deadline) {
                over.add(one.claim);
                one.reply.accept(new ClaimResponse(one.claim.number, ClaimResult.UNKNOWN, null));
                return true;
              }
              if (now - one.sentAt >= RESEND_MILLIS) {
                one.sentAt = now;
                again.add(one.claim);
              }
              return false;
            });
    if (!again.isEmpty()) {
      voters.accept(new ClaimVoteRequest(again));
    }
    if (!over.isEmpty()) {
      unknown += over.size();
      voters.accept(new ClaimRelease(over));
    }
    if (now - forgotAt >= FORGET_MILLIS) {
      forgotAt = now;
      grants.values().removeIf(grant -> grant.until() <= now);
    }
  }

  /** What was decided, as counters. */
  public String counters() {
    return "claims granted " + granted + " conflicts " + conflicts + " unknown " + unknown;
  }

  /** How many claims were granted. */
  public long granted() {
    return granted;
  }

  /** How many claims met another holder. */
  public long conflicts() {
    return conflicts;
  }

  /** How many claims no majority answered in time. */
  public long unknown() {
    return unknown;
  }
}
