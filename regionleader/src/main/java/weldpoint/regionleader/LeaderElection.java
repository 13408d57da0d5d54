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
 * A switchboard's part in choosing and heeding its region's chief while the core is silent. A
 * majority of the switchboards that the last acknowledged electorate names, each in the very life
 * it names, elects; the chief acts only while a majority still heeds it. No write depends on there
 * being one chief only. It knows neither threads nor clocks nor sockets.
 */
public final class LeaderElection {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final long ELECTION_TIMEOUT_MILLIS = 800;

  /** How long to wait and to hold. */
  public record ElectionTimeouts(
      boolean enabled, long coreSilenceMillis, long leaseMillis, long heartbeatMillis) {}

  /** What the core does to the world. */
  public interface Environment {
    /** Makes these the switchboards that lines are kept to; none while the core answers. */
    void connectPeers(List<String> addresses);

    /** Sends to another switchboard; false where there is no line. */
    boolean send(String address, Message message);

    /** What this switchboard has seen since it was last asked. */
    RegionMessages.ProxyObservations takeObservations();

    /** The orders in force have changed; null where there are none. */
    void directiveChanged(LeaderDirective directive);
  }

  private final String self;
  private final long incarnation;
  private final String region;
  private final ElectionTimeouts timeouts;
  private final Random random;
  private final Environment environment;
  private final Map<String, LeaderDirectiveAck> acks = new HashMap<>();
  private final Map<String, Long> ackedHeartbeatAt = new HashMap<>();
  private final Set<String> grantedVotes = new HashSet<>();
  private Electorate electorate;
  private LeaderPhase phase = LeaderPhase.CORE_REACHABLE;
  private long coreHeardAt;
  private long candidacyAt;
  private long term;
  private long votedTerm;
  private String votedFor;
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

  /** A part that has just heard the core. */
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
   * Takes who may vote; only a later mark counts, and none is taken over from what a chief says.
   */
  public void electorate(final Electorate received) {
    if (received != null
        && region.equals(received.region)
        && (electorate == null || received.mark > electorate.mark)) {
      electorate = received;
    }
  }

  /**
   * An exchange has told that it heard of a majority at this time: every chief's order is void from
   * here.
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
      for (final Elector elector : Protocol.list(electorate.electors)) {
        if (elector.address.equals(address)) {
          return elector.incarnation == electorIncarnation;
        }
      }
    }
    return false;
  }

  private int majoritySize() {
    return Protocol.list(electorate.electors).size() / 2 + 1;
  }

  private List<String> otherElectors() {
    final List<String> addresses = new ArrayList<>();
    for (final Elector elector : Protocol.list(electorate.electors)) {
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
        "chief of %s: %s is %s, chief %s, mark %s, term %s, because the core was last heard %s ms ago",
        region,
        self,
        nextPhase,
        nextLeader == null ? "none" : nextLeader,
        electorate == null ? 0 : electorate.mark,
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

  /** Time has passed. */
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
      default -> throw new IllegalStateException("no phase " + phase);
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
          other, new LeaderVoteRequest(region, electorate.mark, term, self, incarnation));
    }
    becomeLeaderIfElected(now);
  }

  private void becomeLeaderIfElected(final long now) {
    if (phase == LeaderPhase.CANDIDATE && grantedVotes.size() >= majoritySize()) {
      leaderTerm = term;
      leaderElectorateVersion = electorate.mark;
      directiveNumber = 0;
      enterPhase(LeaderPhase.LEADER, self, now);
      for (final String voter : grantedVotes) {
        ackedHeartbeatAt.put(voter, electionStartedAt);
      }
      sendHeartbeat(now);
    }
  }

  /** The latest moment at which a pulse left that a majority has heeded. */
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
            Protocol.list(electorate.electors).size(),
            electorate.regionPart);
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

  /** There is a line to another switchboard: it hears what the others have heard before. */
  public void connectionOpened(final String address) {
    if (phase == LeaderPhase.CANDIDATE) {
      environment.send(
          address, new LeaderVoteRequest(region, electorate.mark, term, self, incarnation));
    } else if (phase == LeaderPhase.LEADER && directive != null) {
      environment.send(address, directive);
    }
  }

  /** Another switchboard has said something. */
  public void receive(
      final String from, final long senderIncarnation, final Message message, final long now) {
    if (message instanceof LeaderVoteRequest) {
      onVoteRequest(from, senderIncarnation, (LeaderVoteRequest) message, now);
    } else if (message instanceof LeaderVoteResponse) {
      final LeaderVoteResponse response = (LeaderVoteResponse) message;
      if (phase == LeaderPhase.CANDIDATE
          && response.term == term
          && response.mark == electorate.mark
          && response.yes
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
          && ack.mark == leaderElectorateVersion) {
        acks.put(from, ack);
        if (isElector(from, senderIncarnation)) {
          ackedHeartbeatAt.merge(from, ack.askedAt, Math::max);
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
        electorate != null && request.mark == electorate.mark && region.equals(request.region);
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
            region, electorate == null ? 0 : electorate.mark, request.term, granted));
  }

  private void onDirective(
      final String from,
      final long senderIncarnation,
      final LeaderDirective received,
      final long now) {
    final boolean valid =
        timeouts.enabled
            && region.equals(received.region)
            && from.equals(received.chief)
            && senderIncarnation == received.incarnation
            && electorate != null
            && received.mark >= electorate.mark;
    final boolean fromElector =
        valid && (received.mark > electorate.mark || isElector(from, senderIncarnation));
    final boolean newer =
        received.mark > leaderElectorateVersion
            || received.mark == leaderElectorateVersion
                && (received.term > leaderTerm
                    || received.term == leaderTerm
                        && from.equals(leader)
                        && received.number > directiveNumber)
            || !phase.hasLeader()
                && received.mark == leaderElectorateVersion
                && received.term >= leaderTerm;
    if (phase == LeaderPhase.CORE_REACHABLE || !fromElector || !newer) {
      refusedMessages++;
      return;
    }
    leaderElectorateVersion = received.mark;
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
            received.mark,
            received.term,
            received.number,
            received.askedAt,
            environment.takeObservations()));
  }

  /** How this switchboard stands. */
  public LeaderPhase phase() {
    return phase;
  }

  /** The chief it heeds or is; null where there is none. */
  public String leader() {
    return leader;
  }

  /** The orders in force; null where there are none. */
  public LeaderDirective directive() {
    return directive;
  }

  /** The mark and term under which the present chief acts. */
  public long[] fencingToken() {
    return new long[] {leaderElectorateVersion, leaderTerm};
  }

  /** How many orders and candidacies were refused as stale, foreign or unknown. */
  public long refusedMessages() {
    return refusedMessages;
  }

  /** The counters, as one line. */
  public String counters(final long now) {
    return "chief "
        + phase
        + " "
        + (leader == null ? "none" : leader)
        + " for "
        + (now - phaseSince)
        + " ms mark "
        + leaderElectorateVersion
        + " term "
        + leaderTerm
        + " elections "
        + elections
        + " orders refused "
        + refusedMessages;
  }
}
