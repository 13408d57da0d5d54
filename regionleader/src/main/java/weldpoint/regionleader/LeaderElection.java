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
  private static final long ELECTION_MILLIS = 800;

  /** How long to wait and to hold. */
  public record ElectionTimeouts(
      boolean on, long waitMillis, long tenureMillis, long pulseMillis) {}

  /** What the core does to the world. */
  public interface Environment {
    /** Makes these the switchboards that lines are kept to; none while the core answers. */
    void peers(List<String> addresses);

    /** Sends to another switchboard; false where there is no line. */
    boolean send(String address, Message message);

    /** What this switchboard has seen since it was last asked. */
    RegionMessages.ProxyObservations sight();

    /** The orders in force have changed; null where there are none. */
    void ordered(LeaderDirective directive);
  }

  private final String self;
  private final long incarnation;
  private final String region;
  private final ElectionTimeouts terms;
  private final Random random;
  private final Environment environment;
  private final Map<String, LeaderDirectiveAck> heeded = new HashMap<>();
  private final Map<String, Long> heardOf = new HashMap<>();
  private final Set<String> backers = new HashSet<>();
  private Electorate electorate;
  private LeaderPhase phase = LeaderPhase.CORE;
  private long coreAt;
  private long standAt;
  private long term;
  private long backedTerm;
  private String backedFor;
  private long backedUntil = Long.MIN_VALUE;
  private String chief;
  private long chiefTerm;
  private long chiefMark;
  private long since;
  private long orderNumber;
  private long heedUntil;
  private long pulsedAt;
  private long electedAt;
  private LeaderDirective directive;
  private long refused;
  private long elections;

  /** A part that has just heard the core. */
  public LeaderElection(
      final String self,
      final long incarnation,
      final String region,
      final ElectionTimeouts terms,
      final Random random,
      final long now,
      final Environment environment) {
    this.self = self;
    this.incarnation = incarnation;
    this.region = region;
    this.terms = terms;
    this.random = random;
    this.environment = environment;
    this.coreAt = now;
  }

  /**
   * Takes who may vote; only a later mark counts, and none is taken over from what a chief says.
   */
  public void electorate(final Electorate given) {
    if (given != null
        && region.equals(given.region)
        && (electorate == null || given.revision > electorate.revision)) {
      electorate = given;
    }
  }

  /**
   * An exchange has told that it heard of a majority at this time: every chief's order is void from
   * here.
   */
  public void core(final long confirmedAt, final long now) {
    coreAt = Math.max(coreAt, confirmedAt);
    if (phase != LeaderPhase.CORE && now - coreAt < terms.waitMillis) {
      enter(LeaderPhase.CORE, null, now);
    }
  }

  private boolean elector() {
    return elector(self, incarnation);
  }

  private boolean elector(final String address, final long life) {
    if (electorate != null) {
      for (final Elector one : Protocol.emptyIfNull(electorate.electors)) {
        if (one.address.equals(address)) {
          return one.incarnation == life;
        }
      }
    }
    return false;
  }

  private int majority() {
    return Protocol.emptyIfNull(electorate.electors).size() / 2 + 1;
  }

  private List<String> others() {
    final List<String> list = new ArrayList<>();
    for (final Elector one : Protocol.emptyIfNull(electorate.electors)) {
      if (!one.address.equals(self)) {
        list.add(one.address);
      }
    }
    return list;
  }

  private void enter(final LeaderPhase next, final String who, final long now) {
    if (next == phase && java.util.Objects.equals(who, chief)) {
      return;
    }
    LOGGER.atInfo().log(
        "chief of %s: %s is %s, chief %s, mark %s, term %s, because the core was last heard %s ms ago",
        region,
        self,
        next,
        who == null ? "none" : who,
        electorate == null ? 0 : electorate.revision,
        term,
        now - coreAt);
    phase = next;
    chief = who;
    since = now;
    if (!next.ordered() && directive != null) {
      directive = null;
      environment.ordered(null);
    }
    if (next != LeaderPhase.ACTING && next != LeaderPhase.STANDING) {
      environment.peers(List.of());
    }
    if (next != LeaderPhase.ACTING) {
      heeded.clear();
      heardOf.clear();
    }
    if (next == LeaderPhase.ALONE || next == LeaderPhase.CORE) {
      standAt = Math.max(now, backedUntil) + spread();
    }
  }

  private long spread() {
    return (long) (random.nextDouble() * Math.max(200, terms.waitMillis / 2));
  }

  /** Time has passed. */
  public void tick(final long now) {
    if (!terms.on) {
      return;
    }
    switch (phase) {
      case CORE -> {
        if (now - coreAt >= terms.waitMillis) {
          enter(LeaderPhase.ALONE, null, now);
        }
      }
      case ALONE -> {
        if (now >= standAt && electorate != null && elector() && now >= backedUntil) {
          stand(now);
        }
      }
      case STANDING -> {
        if (now - electedAt > ELECTION_MILLIS) {
          enter(LeaderPhase.ALONE, null, now);
        }
      }
      case FOLLOWING -> {
        if (now >= heedUntil) {
          enter(LeaderPhase.ALONE, null, now);
        }
      }
      case ACTING -> {
        if (now - heardMajorityAt(now) > terms.tenureMillis) {
          enter(LeaderPhase.ALONE, null, now);
        } else if (now - pulsedAt >= terms.pulseMillis) {
          pulse(now);
        }
      }
      default -> throw new IllegalStateException("no phase " + phase);
    }
  }

  private void stand(final long now) {
    elections++;
    term = Math.max(term, backedTerm) + 1;
    backedTerm = term;
    backedFor = self;
    backedUntil = now + terms.tenureMillis;
    electedAt = now;
    backers.clear();
    backers.add(self);
    enter(LeaderPhase.STANDING, null, now);
    environment.peers(others());
    for (final String other : others()) {
      environment.send(
          other, new LeaderVoteRequest(region, electorate.revision, term, self, incarnation));
    }
    elected(now);
  }

  private void elected(final long now) {
    if (phase == LeaderPhase.STANDING && backers.size() >= majority()) {
      chiefTerm = term;
      chiefMark = electorate.revision;
      orderNumber = 0;
      enter(LeaderPhase.ACTING, self, now);
      for (final String one : backers) {
        heardOf.put(one, electedAt);
      }
      pulse(now);
    }
  }

  /** The latest moment at which a pulse left that a majority has heeded. */
  private long heardMajorityAt(final long now) {
    final List<Long> times = new ArrayList<>(heardOf.values());
    times.remove(heardOf.get(self));
    times.add(now);
    times.sort(java.util.Comparator.reverseOrder());
    return times.size() < majority() ? Long.MIN_VALUE / 2 : times.get(majority() - 1);
  }

  private void pulse(final long now) {
    pulsedAt = now;
    final RegionMessages.ProxyObservations own = environment.sight();
    final List<RegionMessages.ProxyObservations> sights = new ArrayList<>();
    final List<String> addresses = new ArrayList<>();
    sights.add(own);
    addresses.add(self);
    heeded.forEach(
        (address, one) -> {
          if (one.observations != null
              && now - heardOf.getOrDefault(address, Long.MIN_VALUE / 2) < terms.tenureMillis) {
            sights.add(one.observations);
            addresses.add(address);
          }
        });
    final RegionAssessment assessment =
        RegionAssessment.of(
            sights,
            addresses,
            Protocol.emptyIfNull(electorate.electors).size(),
            electorate.regionShare);
    directive =
        new LeaderDirective(
            region,
            chiefMark,
            chiefTerm,
            self,
            incarnation,
            ++orderNumber,
            now,
            assessment.admission(),
            assessment.addresses(),
            assessment.parts(),
            assessment.suspects(),
            assessment.uncertain());
    environment.ordered(directive);
    for (final String other : others()) {
      environment.send(other, directive);
    }
  }

  /** There is a line to another switchboard: it hears what the others have heard before. */
  public void opened(final String address) {
    if (phase == LeaderPhase.STANDING) {
      environment.send(
          address, new LeaderVoteRequest(region, electorate.revision, term, self, incarnation));
    } else if (phase == LeaderPhase.ACTING && directive != null) {
      environment.send(address, directive);
    }
  }

  /** Another switchboard has said something. */
  public void receive(final String from, final long life, final Message message, final long now) {
    if (message instanceof LeaderVoteRequest) {
      onStand(from, life, (LeaderVoteRequest) message, now);
    } else if (message instanceof LeaderVoteResponse) {
      final LeaderVoteResponse backed = (LeaderVoteResponse) message;
      if (phase == LeaderPhase.STANDING
          && backed.term == term
          && backed.electorateRevision == electorate.revision
          && backed.granted
          && elector(from, life)) {
        backers.add(from);
        elected(now);
      } else if (backed.term > term) {
        term = backed.term;
      }
    } else if (message instanceof LeaderDirective) {
      onOrder(from, life, (LeaderDirective) message, now);
    } else if (message instanceof LeaderDirectiveAck) {
      final LeaderDirectiveAck one = (LeaderDirectiveAck) message;
      if (phase == LeaderPhase.ACTING
          && one.term == chiefTerm
          && one.electorateRevision == chiefMark) {
        heeded.put(from, one);
        if (elector(from, life)) {
          heardOf.merge(from, one.sentAt, Math::max);
        }
      } else {
        refused++;
      }
    }
  }

  private void onStand(
      final String from, final long life, final LeaderVoteRequest stand, final long now) {
    final boolean core = phase == LeaderPhase.CORE;
    final boolean held =
        phase == LeaderPhase.ACTING || phase == LeaderPhase.FOLLOWING && now < heedUntil;
    final boolean same =
        electorate != null
            && stand.electorateRevision == electorate.revision
            && region.equals(stand.region);
    final boolean free =
        stand.term > backedTerm && now >= backedUntil
            || stand.term == backedTerm && from.equals(backedFor);
    final boolean yes =
        terms.on
            && !core
            && !held
            && same
            && elector()
            && elector(from, life)
            && life == stand.incarnation
            && free;
    if (yes) {
      backedTerm = stand.term;
      backedFor = from;
      backedUntil = now + terms.tenureMillis;
      term = Math.max(term, stand.term);
      if (phase == LeaderPhase.STANDING) {
        enter(LeaderPhase.ALONE, null, now);
      }
      standAt = now + terms.tenureMillis + spread();
    } else if (!same || !elector(from, life)) {
      refused++;
    }
    environment.send(
        from,
        new LeaderVoteResponse(
            region, electorate == null ? 0 : electorate.revision, stand.term, yes));
  }

  private void onOrder(
      final String from, final long life, final LeaderDirective given, final long now) {
    final boolean sound =
        terms.on
            && region.equals(given.region)
            && from.equals(given.leader)
            && life == given.incarnation
            && electorate != null
            && given.electorateRevision >= electorate.revision;
    final boolean known =
        sound && (given.electorateRevision > electorate.revision || elector(from, life));
    final boolean later =
        given.electorateRevision > chiefMark
            || given.electorateRevision == chiefMark
                && (given.term > chiefTerm
                    || given.term == chiefTerm && from.equals(chief) && given.number > orderNumber)
            || !phase.ordered() && given.electorateRevision == chiefMark && given.term >= chiefTerm;
    if (phase == LeaderPhase.CORE || !known || !later) {
      refused++;
      return;
    }
    chiefMark = given.electorateRevision;
    chiefTerm = given.term;
    orderNumber = given.number;
    term = Math.max(term, given.term);
    heedUntil = now + terms.tenureMillis;
    enter(LeaderPhase.FOLLOWING, from, now);
    directive = given;
    environment.ordered(given);
    environment.send(
        from,
        new LeaderDirectiveAck(
            given.electorateRevision, given.term, given.number, given.sentAt, environment.sight()));
  }

  /** How this switchboard stands. */
  public LeaderPhase phase() {
    return phase;
  }

  /** The chief it heeds or is; null where there is none. */
  public String chief() {
    return chief;
  }

  /** The orders in force; null where there are none. */
  public LeaderDirective directive() {
    return directive;
  }

  /** The mark and term under which the present chief acts. */
  public long[] fence() {
    return new long[] {chiefMark, chiefTerm};
  }

  /** How many orders and candidacies were refused as stale, foreign or unknown. */
  public long refused() {
    return refused;
  }

  /** The counters, as one line. */
  public String counters(final long now) {
    return "chief "
        + phase
        + " "
        + (chief == null ? "none" : chief)
        + " for "
        + (now - since)
        + " ms mark "
        + chiefMark
        + " term "
        + chiefTerm
        + " elections "
        + elections
        + " orders refused "
        + refused;
  }
}
