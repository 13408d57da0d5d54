package weldpoint.registry;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import weldpoint.idempotency.ClaimCoordinator;
import weldpoint.idempotency.ClaimTable;
import weldpoint.metrics.Metric;
import weldpoint.transport.KeyMessages.Claim;
import weldpoint.transport.KeyMessages.ClaimRelease;
import weldpoint.transport.KeyMessages.ClaimRequest;
import weldpoint.transport.KeyMessages.ClaimVote;
import weldpoint.transport.KeyMessages.ClaimVoteRequest;
import weldpoint.transport.KeyMessages.ClaimVoteResponse;
import weldpoint.transport.Message;
import weldpoint.transport.StateStoreMessages.Roster;
import weldpoint.transport.StateStoreMessages.Voter;

/**
 * A registry's part in claims of idempotency keys: as a voter it remembers claims on its disk, and
 * for the proxies on its streams it asks all voters.
 */
final class KeyClaims {
  /** Puts claims on disk; the callback runs once they are lasting. */
  interface Disk {
    void append(List<Claim> claims, Runnable synced);
  }

  private final String self;
  private final BiConsumer<String, Message> members;
  private final Disk disk;
  private final ClaimTable table = new ClaimTable();
  private final ClaimCoordinator coordinator;
  private Roster roster = new Roster(0, List.of());
  private Roster before;
  private boolean votes;
  private long clock;

  KeyClaims(final String self, final BiConsumer<String, Message> members, final Disk disk) {
    this.self = self;
    this.members = members;
    this.disk = disk;
    this.coordinator = new ClaimCoordinator(self, this::tellVoters);
  }

  /** Takes back what the disk remembered: spans begin anew, since nobody knows how long it was. */
  void recall(final List<Claim> claims, final long now) {
    table.recall(claims, now);
  }

  /** Takes what another voter remembers. */
  void learn(final List<Claim> claims, final long now) {
    if (!claims.isEmpty()) {
      table.recall(claims, now);
      disk.append(claims, () -> {});
    }
  }

  /** The claims that are remembered. */
  List<Claim> live() {
    return table.live(clock);
  }

  /**
   * Takes the roster by which votes are counted, the one before it while that still counts, and
   * whether this registry has all that was granted before and may vote.
   */
  void roster(final Roster present, final Roster previous, final boolean mayVote) {
    roster = present;
    before = previous;
    votes = mayVote;
  }

  private void tellVoters(final Message message) {
    for (final Voter voter : roster.voters) {
      if (voter.address.equals(self)) {
        receive(self, message, answer -> receive(self, answer, unused -> {}, clock), clock);
      } else {
        members.accept(voter.address, message);
      }
    }
  }

  /** A proxy claims a key or gives one back. */
  void fromProxy(final Message message, final Consumer<Message> reply, final long now) {
    clock = Math.max(clock, now);
    if (message instanceof ClaimRequest) {
      coordinator.ask(((ClaimRequest) message).claim, reply, now);
    } else if (message instanceof ClaimRelease) {
      coordinator.release(((ClaimRelease) message).claims);
    }
  }

  /** Another registry, or this one, asks for votes or gives them. */
  void receive(
      final String from, final Message message, final Consumer<Message> reply, final long now) {
    clock = Math.max(clock, now);
    if (message instanceof ClaimVoteRequest) {
      vote(((ClaimVoteRequest) message).claims, reply, now);
    } else if (message instanceof ClaimVoteResponse) {
      final ClaimVoteResponse answer = (ClaimVoteResponse) message;
      if (answer.rosterNumber <= roster.number) {
        coordinator.voted(from, answer, roster, before, now);
      }
    } else if (message instanceof ClaimRelease) {
      final List<Claim> claims = ((ClaimRelease) message).claims;
      claims.forEach(table::release);
      coordinator.released(claims);
    }
  }

  private void vote(final List<Claim> claims, final Consumer<Message> reply, final long now) {
    if (!votes) {
      return;
    }
    final List<Claim> mine = new ArrayList<>();
    final List<ClaimVote> granted = new ArrayList<>();
    final List<ClaimVote> refused = new ArrayList<>();
    for (final Claim claim : claims) {
      final Claim holder = table.claim(claim, now);
      if (holder.sameClaimant(claim)) {
        mine.add(claim);
        granted.add(new ClaimVote(claim.incarnation, claim.number, null));
      } else {
        refused.add(new ClaimVote(claim.incarnation, claim.number, holder));
      }
    }
    if (!refused.isEmpty()) {
      reply.accept(new ClaimVoteResponse(roster.number, refused));
    }
    if (!mine.isEmpty()) {
      disk.append(mine, () -> reply.accept(new ClaimVoteResponse(roster.number, granted)));
    }
  }

  /** Time has passed. */
  void tick(final long now) {
    clock = now;
    coordinator.tick(now);
    table.expire(now);
  }

  /** What was decided here, as counters; empty where there was nothing. */
  String counters() {
    final boolean idle = table.size() == 0 && coordinator.granted() + coordinator.unknown() == 0;
    return idle ? "" : " " + coordinator.counters() + " remembered " + table.size();
  }

  /** Figures of claims. */
  List<Metric> figures() {
    final String help = "Claims of idempotency keys that this registry asked the voters about.";
    return List.of(
        Metric.counter("weldpoint_key_claims", help, coordinator.granted())
            .withLabel("result", "granted"),
        Metric.counter("weldpoint_key_claims", help, coordinator.conflicts())
            .withLabel("result", "held"),
        Metric.counter("weldpoint_key_claims", help, coordinator.unknown())
            .withLabel("result", "unknown"),
        Metric.gauge(
            "weldpoint_keys_remembered", "Idempotency keys remembered here.", table.size()));
  }
}
