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
 * A registry's part in claims of idempotency keys. As a voter it persists the claims that it
 * accepted; for the proxies connected to it, it collects the votes of all voters. Used by {@link
 * RegistryCore} on the control thread.
 */
final class KeyClaims {
  /** Appends claims to the disk; the callback runs once they are durable. */
  interface Disk {
    void append(List<Claim> claims, Runnable synced);
  }

  private final String self;
  private final BiConsumer<String, Message> registrySender;
  private final Disk disk;
  private final ClaimTable table = new ClaimTable();
  private final ClaimCoordinator coordinator;
  private Roster roster = new Roster(0, List.of());
  private Roster previousRoster;
  private boolean votingAllowed;
  private long lastNow;

  KeyClaims(final String self, final BiConsumer<String, Message> registrySender, final Disk disk) {
    this.self = self;
    this.registrySender = registrySender;
    this.disk = disk;
    this.coordinator = new ClaimCoordinator(self, this::sendToVoters);
  }

  /**
   * Restores claims from disk. Their retention spans start again, since it is unknown how long the
   * process was down.
   */
  void restore(final List<Claim> claims, final long now) {
    table.restore(claims, now);
  }

  /** Merges the claims that another voter remembers, and persists them. */
  void merge(final List<Claim> claims, final long now) {
    if (!claims.isEmpty()) {
      table.restore(claims, now);
      disk.append(claims, () -> {});
    }
  }

  /** Returns the claims that have not expired. */
  List<Claim> liveClaims() {
    return table.liveClaims(lastNow);
  }

  /**
   * Sets the roster by which votes are counted, the previous one while it still counts (else null),
   * and whether this registry has learned all claims granted before and may vote.
   */
  void roster(final Roster present, final Roster previous, final boolean mayVote) {
    roster = present;
    previousRoster = previous;
    votingAllowed = mayVote;
  }

  private void sendToVoters(final Message message) {
    for (final Voter voter : roster.voters) {
      if (voter.address.equals(self)) {
        receive(self, message, response -> receive(self, response, unused -> {}, lastNow), lastNow);
      } else {
        registrySender.accept(voter.address, message);
      }
    }
  }

  /** Handles a proxy's claim of a key or its release of claims. */
  void fromProxy(final Message message, final Consumer<Message> reply, final long now) {
    lastNow = Math.max(lastNow, now);
    if (message instanceof ClaimRequest) {
      coordinator.submit(((ClaimRequest) message).claim, reply, now);
    } else if (message instanceof ClaimRelease) {
      coordinator.release(((ClaimRelease) message).claims);
    }
  }

  /** Handles a vote request, vote response or release of another registry or of this one. */
  void receive(
      final String from, final Message message, final Consumer<Message> reply, final long now) {
    lastNow = Math.max(lastNow, now);
    if (message instanceof ClaimVoteRequest) {
      vote(((ClaimVoteRequest) message).claims, reply, now);
    } else if (message instanceof ClaimVoteResponse) {
      final ClaimVoteResponse response = (ClaimVoteResponse) message;
      if (response.rosterNumber <= roster.number) {
        coordinator.onVotes(from, response, roster, previousRoster, now);
      }
    } else if (message instanceof ClaimRelease) {
      final List<Claim> claims = ((ClaimRelease) message).claims;
      claims.forEach(table::release);
      coordinator.onRelease(claims);
    }
  }

  private void vote(final List<Claim> claims, final Consumer<Message> reply, final long now) {
    if (!votingAllowed) {
      return;
    }
    final List<Claim> accepted = new ArrayList<>();
    final List<ClaimVote> granted = new ArrayList<>();
    final List<ClaimVote> refused = new ArrayList<>();
    for (final Claim claim : claims) {
      final Claim holder = table.claim(claim, now);
      if (holder.sameClaimant(claim)) {
        accepted.add(claim);
        granted.add(new ClaimVote(claim.incarnation, claim.number, null));
      } else {
        refused.add(new ClaimVote(claim.incarnation, claim.number, holder));
      }
    }
    if (!refused.isEmpty()) {
      reply.accept(new ClaimVoteResponse(roster.number, refused));
    }
    if (!accepted.isEmpty()) {
      disk.append(accepted, () -> reply.accept(new ClaimVoteResponse(roster.number, granted)));
    }
  }

  /** Advances the clock: expires claims and ends vote rounds that timed out. */
  void tick(final long now) {
    lastNow = now;
    coordinator.tick(now);
    table.expire(now);
  }

  /** Returns the counters of the log line, or an empty string if there was no claim. */
  String counters() {
    final boolean idle = table.size() == 0 && coordinator.granted() + coordinator.unknown() == 0;
    return idle ? "" : " " + coordinator.counters() + " remembered " + table.size();
  }

  /** Returns the metrics of claims. */
  List<Metric> metrics() {
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
