package weldpoint.transport;

import java.util.List;

/** Messages by which the proxies of a region elect and heed an acting coordinator. */
public final class RegionMessages {
  private RegionMessages() {}

  /** One switchboard, in one life, that may vote. */
  public static final class Elector {
    public final String address;
    public final long incarnation;

    public Elector(final String address, final long incarnation) {
      this.address = address;
      this.incarnation = incarnation;
    }
  }

  /**
   * The switchboards of a region that may choose a chief, under a rising mark, with the region's
   * part of all switchboards.
   */
  public static final class Electorate implements Message {
    public final String region;
    public final long mark;
    public final List<Elector> electors;
    public final double regionPart;

    public Electorate(
        final String region,
        final long mark,
        final List<Elector> electors,
        final double regionPart) {
      this.region = region;
      this.mark = mark;
      this.electors = electors;
      this.regionPart = regionPart;
    }
  }

  /** A switchboard stands for chief. */
  public static final class LeaderVoteRequest implements Message {
    public final String region;
    public final long mark;
    public final long term;
    public final String address;
    public final long incarnation;

    public LeaderVoteRequest(
        final String region,
        final long mark,
        final long term,
        final String address,
        final long incarnation) {
      this.region = region;
      this.mark = mark;
      this.term = term;
      this.address = address;
      this.incarnation = incarnation;
    }
  }

  /** Whether the sender backs whoever stands. */
  public static final class LeaderVoteResponse implements Message {
    public final String region;
    public final long mark;
    public final long term;
    public final boolean yes;

    public LeaderVoteResponse(
        final String region, final long mark, final long term, final boolean yes) {
      this.region = region;
      this.mark = mark;
      this.term = term;
      this.yes = yes;
    }
  }

  /** What a chief orders, fenced by the electorate's mark and the term. */
  public static final class LeaderDirective implements Message {
    public final String region;
    public final long mark;
    public final long term;
    public final String chief;
    public final long incarnation;
    public final long number;
    public final long askedAt;
    public final double admission;
    public final List<String> addresses;
    public final List<Double> parts;
    public final List<String> suspects;
    public final List<String> uncertain;

    public LeaderDirective(
        final String region,
        final long mark,
        final long term,
        final String chief,
        final long incarnation,
        final long number,
        final long askedAt,
        final double admission,
        final List<String> addresses,
        final List<Double> parts,
        final List<String> suspects,
        final List<String> uncertain) {
      this.region = region;
      this.mark = mark;
      this.term = term;
      this.chief = chief;
      this.incarnation = incarnation;
      this.number = number;
      this.askedAt = askedAt;
      this.admission = admission;
      this.addresses = addresses;
      this.parts = parts;
      this.suspects = suspects;
      this.uncertain = uncertain;
    }
  }

  /**
   * What one switchboard has seen lately: requests by kind, writes refused, what upstreams carried,
   * silent upstreams, writes of unknown fate.
   */
  public static final class ProxyObservations {
    public final long repeatables;
    public final long writes;
    public final long refusedWrites;
    public final long carried;
    public final List<String> silent;
    public final List<String> uncertain;

    public ProxyObservations(
        final long repeatables,
        final long writes,
        final long refusedWrites,
        final long carried,
        final List<String> silent,
        final List<String> uncertain) {
      this.repeatables = repeatables;
      this.writes = writes;
      this.refusedWrites = refusedWrites;
      this.carried = carried;
      this.silent = silent;
      this.uncertain = uncertain;
    }
  }

  /** The sender heeds an order, and tells what it has seen. */
  public static final class LeaderDirectiveAck implements Message {
    public final long mark;
    public final long term;
    public final long number;
    public final long askedAt;
    public final ProxyObservations observations;

    public LeaderDirectiveAck(
        final long mark,
        final long term,
        final long number,
        final long askedAt,
        final ProxyObservations observations) {
      this.mark = mark;
      this.term = term;
      this.number = number;
      this.askedAt = askedAt;
      this.observations = observations;
    }
  }
}
