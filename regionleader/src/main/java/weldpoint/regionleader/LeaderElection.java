package weldpoint.regionleader;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import weldpoint.transport.Message;
import weldpoint.transport.Protocol;
import weldpoint.transport.RegionMessages;
import weldpoint.transport.RegionMessages.Elector;
import weldpoint.transport.RegionMessages.Electorate;
import weldpoint.transport.RegionMessages.LeaderDirective;
import weldpoint.transport.RegionMessages.LeaderDirectiveAck;
import weldpoint.transport.RegionMessages.LeaderVoteRequest;
import weldpoint.transport.RegionMessages.LeaderVoteResponse;

/**
 * A proxy's part in electing and following a leader of its region while the core (the registries
 * and the state store) cannot be reached. The voters are the proxies named by the last acknowledged
 * electorate, each only in the incarnation named there; a majority of them elects the leader, which
 * acts only as long as a majority has recently acknowledged its directives. More than one proxy may
 * consider itself leader for a time: no write depends on there being only one. Used by the proxy's
 * region leader service, on one thread; takes the time in milliseconds from its caller and sends
 * through {@link Environment}.
 */
public final class LeaderElection {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final long ELECTION_TIMEOUT_MILLIS = 800;

  /**
   * Settings of the election: whether it is enabled, how long the core must be unreachable before
   * an election, how long a leader, a directive or a vote holds without renewal, and how often a
   * leader sends its directive, all in milliseconds.
   */
  public record ElectionTimeouts(
      boolean enabled, long coreSilenceMillis, long leaseMillis, long heartbeatMillis) {}

  /** What the election needs from the proxy that runs it. */
  public interface Environment {
    /**
     * Keeps connections to exactly these proxies; the list is empty unless this proxy is candidate
     * or leader.
     */
    void connectPeers(List<String> addresses);

    /** Sends to another proxy; false if there is no connection. */
    boolean send(String address, Message message);

    /** Returns what this proxy has observed since the last call. */
    RegionMessages.ProxyObservations takeObservations();

    /** Called when the directive in force has changed; null if there is none. */
    void directiveChanged(LeaderDirective directive);
  }

  private final String self;
  private final long incarnation;
  private final String region;
  private final ElectionTimeouts timeouts;
  private final Random random;
  private final Environment environment;
  private final Map<String, LeaderDirectiveAck> acks = new HashMap<>();

  /** By proxy, when the latest directive was sent that it has acknowledged. */
  private final Map<String, Long> ackedHeartbeatAt = new HashMap<>();

  private final Set<String> grantedVotes = new HashSet<>();
  private Electorate electorate;
  private LeaderPhase phase = LeaderPhase.CORE_REACHABLE;
  private long coreHeardAt;

  /** Earliest time at which this proxy may stand for election. */
  private long candidacyAt;

  private long term;
  private long votedTerm;
  private String votedFor;

  /** Until then this proxy votes for no other candidate. */
  private long votedUntil = Long.MIN_VALUE;

  private String leader;
  private long leaderTerm;
  private long leaderElectorateVersion;
  private long phaseSince;
  private long directiveNumber;
  private long leaderLeaseUntil;
  private long heartbeatSentAt;
  private long electionStartedAt;
  private LeaderDirective directive;
  private long refusedMessages;
  private long elections;

  /** Creates an election that counts the core as reached at {@code now}. */
  public LeaderElection(
      final String self,
      final long incarnation,
      final String region,
      final ElectionTimeouts timeouts,
      final Random random,
      final long now,
      final Environment environment) {
    this.self = self;
    this.incarnation = incarnation;
    this.region = region;
    this.timeouts = timeouts;
    this.random = random;
    this.environment = environment;
    this.coreHeardAt = now;
  }

  /**
   * Sets the electorate. Only a later version replaces the known one, and it comes only from the
   * core, never from a leader's directive.
   */
  public void electorate(final Electorate received) {
    if (received != null
        && region.equals(received.region)
        && (electorate == null || received.revision > electorate.revision)) {
      electorate = received;
    }
  }

  /**
   * Records that a registry had confirmation from a majority of the state store at {@code
   * confirmedAt}. If that is recent enough, every leader's directive is void here from now on.
   */
  public void coreHeard(final long confirmedAt, final long now) {
    coreHeardAt = Math.max(coreHeardAt, confirmedAt);
    if (phase != LeaderPhase.CORE_REACHABLE && now - coreHeardAt < timeouts.coreSilenceMillis) {
      enterPhase(LeaderPhase.CORE_REACHABLE, null, now);
    }
  }

  private boolean isElector() {
    return isElector(self, incarnation);
  }

  private boolean isElector(final String address, final long electorIncarnation) {
    if (electorate != null) {
      for (final Elector elector : Protocol.emptyIfNull(electorate.electors)) {
        if (elector.address.equals(address)) {
          return elector.incarnation == electorIncarnation;
        }
      }
    }
    return false;
  }

  private int majoritySize() {
    return Protocol.emptyIfNull(electorate.electors).size() / 2 + 1;
  }

  private List<String> otherElectors() {
    final List<String> addresses = new ArrayList<>();
    for (final Elector elector : Protocol.emptyIfNull(electorate.electors)) {
      if (!elector.address.equals(self)) {
        addresses.add(elector.address);
      }
    }
    return addresses;
  }

  private void enterPhase(final LeaderPhase nextPhase, final String nextLeader, final long now) {
    if (nextPhase == phase && java.util.Objects.equals(nextLeader, leader)) {
      return;
    }
    LOGGER.atInfo().log(
        "leader election in region %s: %s is now %s, leader %s, electorate version %s, term %s;"
            + " core last reached %s ms ago",
        region,
        self,
        nextPhase,
        nextLeader == null ? "none" : nextLeader,
        electorate == null ? 0 : electorate.revision,
        term,
        now - coreHeardAt);
    phase = nextPhase;
    leader = nextLeader;
    phaseSince = now;
    if (!nextPhase.hasLeader() && directive != null) {
      directive = null;
      environment.directiveChanged(null);
    }
    if (nextPhase != LeaderPhase.LEADER && nextPhase != LeaderPhase.CANDIDATE) {
      environment.connectPeers(List.of());
    }
    if (nextPhase != LeaderPhase.LEADER) {
      acks.clear();
      ackedHeartbeatAt.clear();
    }
    if (nextPhase == LeaderPhase.NO_LEADER || nextPhase == LeaderPhase.CORE_REACHABLE) {
      candidacyAt = Math.max(now, votedUntil) + randomDelayMillis();
    }
  }

  private long randomDelayMillis() {
    return (long) (random.nextDouble() * Math.max(200, timeouts.coreSilenceMillis / 2));
  }

  /** Advances the election to {@code now}; to be called regularly. */
  public void tick(final long now) {
    if (!timeouts.enabled) {
      return;
    }
    switch (phase) {
      case CORE_REACHABLE -> {
        if (now - coreHeardAt >= timeouts.coreSilenceMillis) {
          enterPhase(LeaderPhase.NO_LEADER, null, now);
        }
      }
      case NO_LEADER -> {
        if (now >= candidacyAt && electorate != null && isElector() && now >= votedUntil) {
          startElection(now);
        }
      }
      case CANDIDATE -> {
        if (now - electionStartedAt > ELECTION_TIMEOUT_MILLIS) {
          enterPhase(LeaderPhase.NO_LEADER, null, now);
        }
      }
      case FOLLOWER -> {
        if (now >= leaderLeaseUntil) {
          enterPhase(LeaderPhase.NO_LEADER, null, now);
        }
      }
      case LEADER -> {
        if (now - majorityAckedAt(now) > timeouts.leaseMillis) {
          enterPhase(LeaderPhase.NO_LEADER, null, now);
        } else if (now - heartbeatSentAt >= timeouts.heartbeatMillis) {
          sendHeartbeat(now);
        }
      }
      default -> throw new IllegalStateException("unknown phase " + phase);
    }
  }

  private void startElection(final long now) {
    elections++;
    term = Math.max(term, votedTerm) + 1;
    votedTerm = term;
    votedFor = self;
    votedUntil = now + timeouts.leaseMillis;
    electionStartedAt = now;
    grantedVotes.clear();
    grantedVotes.add(self);
    enterPhase(LeaderPhase.CANDIDATE, null, now);
    environment.connectPeers(otherElectors());
    for (final String other : otherElectors()) {
      environment.send(
          other, new LeaderVoteRequest(region, electorate.revision, term, self, incarnation));
    }
    becomeLeaderIfElected(now);
  }

  private void becomeLeaderIfElected(final long now) {
    if (phase == LeaderPhase.CANDIDATE && grantedVotes.size() >= majoritySize()) {
      leaderTerm = term;
      leaderElectorateVersion = electorate.revision;
      directiveNumber = 0;
      enterPhase(LeaderPhase.LEADER, self, now);
      for (final String voter : grantedVotes) {
        ackedHeartbeatAt.put(voter, electionStartedAt);
      }
      sendHeartbeat(now);
    }
  }

  /**
   * Returns the latest time for which a majority, this proxy included, has acknowledged a directive
   * sent then or later; a vote counts as of the start of the election.
   */
  private long majorityAckedAt(final long now) {
    final List<Long> times = new ArrayList<>(ackedHeartbeatAt.values());
    times.remove(ackedHeartbeatAt.get(self));
    times.add(now);
    times.sort(java.util.Comparator.reverseOrder());
    return times.size() < majoritySize() ? Long.MIN_VALUE / 2 : times.get(majoritySize() - 1);
  }

  private void sendHeartbeat(final long now) {
    heartbeatSentAt = now;
    final RegionMessages.ProxyObservations ownObservations = environment.takeObservations();
    final List<RegionMessages.ProxyObservations> observations = new ArrayList<>();
    final List<String> addresses = new ArrayList<>();
    observations.add(ownObservations);
    addresses.add(self);
    acks.forEach(
        (address, ack) -> {
          if (ack.observations != null
              && now - ackedHeartbeatAt.getOrDefault(address, Long.MIN_VALUE / 2)
                  < timeouts.leaseMillis) {
            observations.add(ack.observations);
            addresses.add(address);
          }
        });
    final RegionAssessment assessment =
        RegionAssessment.of(
            observations,
            addresses,
            Protocol.emptyIfNull(electorate.electors).size(),
            electorate.regionShare);
    directive =
        new LeaderDirective(
            region,
            leaderElectorateVersion,
            leaderTerm,
            self,
            incarnation,
            ++directiveNumber,
            now,
            assessment.admissionRatio(),
            assessment.addresses(),
            assessment.budgetShares(),
            assessment.suspectUpstreams(),
            assessment.uncertainWrites());
    environment.directiveChanged(directive);
    for (final String other : otherElectors()) {
      environment.send(other, directive);
    }
  }

  /**
   * A connection to another proxy was opened: sends it the vote request or directive that the
   * others have already received.
   */
  public void connectionOpened(final String address) {
    if (phase == LeaderPhase.CANDIDATE) {
      environment.send(
          address, new LeaderVoteRequest(region, electorate.revision, term, self, incarnation));
    } else if (phase == LeaderPhase.LEADER && directive != null) {
      environment.send(address, directive);
    }
  }

  /** Handles a message from another proxy. */
  public void receive(
      final String from, final long senderIncarnation, final Message message, final long now) {
    if (message instanceof LeaderVoteRequest) {
      onVoteRequest(from, senderIncarnation, (LeaderVoteRequest) message, now);
    } else if (message instanceof LeaderVoteResponse) {
      final LeaderVoteResponse response = (LeaderVoteResponse) message;
      if (phase == LeaderPhase.CANDIDATE
          && response.term == term
          && response.electorateRevision == electorate.revision
          && response.granted
          && isElector(from, senderIncarnation)) {
        grantedVotes.add(from);
        becomeLeaderIfElected(now);
      } else if (response.term > term) {
        term = response.term;
      }
    } else if (message instanceof LeaderDirective) {
      onDirective(from, senderIncarnation, (LeaderDirective) message, now);
    } else if (message instanceof LeaderDirectiveAck) {
      final LeaderDirectiveAck ack = (LeaderDirectiveAck) message;
      if (phase == LeaderPhase.LEADER
          && ack.term == leaderTerm
          && ack.electorateRevision == leaderElectorateVersion) {
        acks.put(from, ack);
        if (isElector(from, senderIncarnation)) {
          ackedHeartbeatAt.merge(from, ack.sentAt, Math::max);
        }
      } else {
        refusedMessages++;
      }
    }
  }

  private void onVoteRequest(
      final String from,
      final long senderIncarnation,
      final LeaderVoteRequest request,
      final long now) {
    final boolean coreReachable = phase == LeaderPhase.CORE_REACHABLE;
    final boolean hasLeader =
        phase == LeaderPhase.LEADER || phase == LeaderPhase.FOLLOWER && now < leaderLeaseUntil;
    final boolean sameElectorate =
        electorate != null
            && request.electorateRevision == electorate.revision
            && region.equals(request.region);
    final boolean voteAvailable =
        request.term > votedTerm && now >= votedUntil
            || request.term == votedTerm && from.equals(votedFor);
    final boolean granted =
        timeouts.enabled
            && !coreReachable
            && !hasLeader
            && sameElectorate
            && isElector()
            && isElector(from, senderIncarnation)
            && senderIncarnation == request.incarnation
            && voteAvailable;
    if (granted) {
      votedTerm = request.term;
      votedFor = from;
      votedUntil = now + timeouts.leaseMillis;
      term = Math.max(term, request.term);
      if (phase == LeaderPhase.CANDIDATE) {
        enterPhase(LeaderPhase.NO_LEADER, null, now);
      }
      candidacyAt = now + timeouts.leaseMillis + randomDelayMillis();
    } else if (!sameElectorate || !isElector(from, senderIncarnation)) {
      refusedMessages++;
    }
    environment.send(
        from,
        new LeaderVoteResponse(
            region, electorate == null ? 0 : electorate.revision, request.term, granted));
  }

  private void onDirective(
      final String from,
      final long senderIncarnation,
      final LeaderDirective received,
      final long now) {
    final boolean valid =
        timeouts.enabled
            && region.equals(received.region)
            && from.equals(received.leader)
            && senderIncarnation == received.incarnation
            && electorate != null
            && received.electorateRevision >= electorate.revision;
    final boolean fromElector =
        valid
            && (received.electorateRevision > electorate.revision
                || isElector(from, senderIncarnation));
    final boolean newer =
        received.electorateRevision > leaderElectorateVersion
            || received.electorateRevision == leaderElectorateVersion
                && (received.term > leaderTerm
                    || received.term == leaderTerm
                        && from.equals(leader)
                        && received.number > directiveNumber)
            || !phase.hasLeader()
                && received.electorateRevision == leaderElectorateVersion
                && received.term >= leaderTerm;
    if (phase == LeaderPhase.CORE_REACHABLE || !fromElector || !newer) {
      refusedMessages++;
      return;
    }
    leaderElectorateVersion = received.electorateRevision;
    leaderTerm = received.term;
    directiveNumber = received.number;
    term = Math.max(term, received.term);
    leaderLeaseUntil = now + timeouts.leaseMillis;
    enterPhase(LeaderPhase.FOLLOWER, from, now);
    directive = received;
    environment.directiveChanged(received);
    environment.send(
        from,
        new LeaderDirectiveAck(
            received.electorateRevision,
            received.term,
            received.number,
            received.sentAt,
            environment.takeObservations()));
  }

  /** Returns the current phase. */
  public LeaderPhase phase() {
    return phase;
  }

  /** Returns the address of the leader that this proxy follows or is; null if there is none. */
  public String leader() {
    return leader;
  }

  /** Returns the directive in force; null if there is none. */
  public LeaderDirective directive() {
    return directive;
  }

  /**
   * Returns the electorate version and term under which the present leader acts; a leader with a
   * higher pair supersedes it.
   */
  public long[] fencingToken() {
    return new long[] {leaderElectorateVersion, leaderTerm};
  }

  /**
   * Returns how many directives, acknowledgements and vote requests were refused as stale or as
   * sent by a proxy outside the electorate.
   */
  public long refusedMessages() {
    return refusedMessages;
  }

  /** Returns the counters as one line for the log. */
  public String counters(final long now) {
    return "region leader "
        + phase
        + " "
        + (leader == null ? "none" : leader)
        + " for "
        + (now - phaseSince)
        + " ms, electorate version "
        + leaderElectorateVersion
        + " term "
        + leaderTerm
        + " elections "
        + elections
        + " messages refused "
        + refusedMessages;
  }
}
