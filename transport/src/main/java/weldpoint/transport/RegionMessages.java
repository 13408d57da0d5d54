package weldpoint.transport;

import java.util.List;

/** Messages by which the proxies of a region elect a leader and follow its directives. */
public final class RegionMessages {
  private RegionMessages() {}

  /** One proxy, in one incarnation, that may vote. */
  public static final class Elector {
    public final String address;
    public final long incarnation;

    public Elector(final String address, final long incarnation) {
      this.address = address;
      this.incarnation = incarnation;
    }
  }

  /**
   * The proxies of a region that may elect its leader, under a revision that rises with each
   * change, and the region's share of all proxies.
   */
  public static final class Electorate implements Message {
    public final String region;
    public final long revision;
    public final List<Elector> electors;
    public final double regionShare;

    public Electorate(
        final String region,
        final long revision,
        final List<Elector> electors,
        final double regionShare) {
      this.region = region;
      this.revision = revision;
      this.electors = electors;
      this.regionShare = regionShare;
    }
  }

  /** A proxy asks for votes to become the leader of its region. */
  public static final class LeaderVoteRequest implements Message {
    public final String region;
    public final long electorateRevision;
    public final long term;
    public final String address;
    public final long incarnation;

    public LeaderVoteRequest(
        final String region,
        final long electorateRevision,
        final long term,
        final String address,
        final long incarnation) {
      this.region = region;
      this.electorateRevision = electorateRevision;
      this.term = term;
      this.address = address;
      this.incarnation = incarnation;
    }
  }

  /** Whether the sender votes for the candidate. */
  public static final class LeaderVoteResponse implements Message {
    public final String region;
    public final long electorateRevision;
    public final long term;
    public final boolean granted;

    public LeaderVoteResponse(
        final String region,
        final long electorateRevision,
        final long term,
        final boolean granted) {
      this.region = region;
      this.electorateRevision = electorateRevision;
      this.term = term;
      this.granted = granted;
    }
  }

  /** A leader's directive, fenced by the revision of the electorate and the term. */
  public static final class LeaderDirective implements Message {
    public final String region;
    public final long electorateRevision;
    public final long term;
    public final String leader;
    public final long incarnation;
    public final long number;
    public final long sentAt;
    public final double admittedFraction;
    public final List<String> addresses;
    public final List<Double> shares;
    public final List<String> suspects;
    public final List<String> uncertainWrites;

    public LeaderDirective(
        final String region,
        final long electorateRevision,
        final long term,
        final String leader,
        final long incarnation,
        final long number,
        final long sentAt,
        final double admittedFraction,
        final List<String> addresses,
        final List<Double> shares,
        final List<String> suspects,
        final List<String> uncertainWrites) {
      this.region = region;
      this.electorateRevision = electorateRevision;
      this.term = term;
      this.leader = leader;
      this.incarnation = incarnation;
      this.number = number;
      this.sentAt = sentAt;
      this.admittedFraction = admittedFraction;
      this.addresses = addresses;
      this.shares = shares;
      this.suspects = suspects;
      this.uncertainWrites = uncertainWrites;
    }
  }

  /**
   * What one proxy has observed lately: requests by kind, rejected writes, what upstreams carried,
   * upstreams that did not answer, and writes of unknown outcome.
   */
  public static final class ProxyObservations {
    public final long idempotentRequests;
    public final long writes;
    public final long rejectedWrites;
    public final long upstreamRequests;
    public final List<String> silentUpstreams;
    public final List<String> uncertainWrites;

    public ProxyObservations(
        final long idempotentRequests,
        final long writes,
        final long rejectedWrites,
        final long upstreamRequests,
        final List<String> silentUpstreams,
        final List<String> uncertainWrites) {
      this.idempotentRequests = idempotentRequests;
      this.writes = writes;
      this.rejectedWrites = rejectedWrites;
      this.upstreamRequests = upstreamRequests;
      this.silentUpstreams = silentUpstreams;
      this.uncertainWrites = uncertainWrites;
    }
  }

  /** The sender follows a directive, and reports its observations. */
  public static final class LeaderDirectiveAck implements Message {
    public final long electorateRevision;
    public final long term;
    public final long number;
    public final long sentAt;
    public final ProxyObservations observations;

    public LeaderDirectiveAck(
        final long electorateRevision,
        final long term,
        final long number,
        final long sentAt,
        final ProxyObservations observations) {
      this.electorateRevision = electorateRevision;
      this.term = term;
      this.number = number;
      this.sentAt = sentAt;
      this.observations = observations;
    }
  }
}
