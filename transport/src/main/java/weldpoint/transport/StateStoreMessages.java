package weldpoint.transport;

import java.util.List;

/** Messages between state stores: ballots, repair and the roster of voters. */
public final class StateStoreMessages {
  private StateStoreMessages() {}

  /** One voter of the roster. */
  public static final class Voter {
    public final String address;
    public final String site;
    public final String region;
    public final List<Integer> tokens;

    public Voter(
        final String address, final String site, final String region, final List<Integer> tokens) {
      this.address = address;
      this.site = site;
      this.region = region;
      this.tokens = tokens;
    }
  }

  /** The voters, under a rising number. */
  public static final class Roster {
    public final long number;
    public final List<Voter> voters;

    public Roster(final long number, final List<Voter> voters) {
      this.number = number;
      this.voters = voters;
    }

    /** The place of an address among the voters, or -1. */
    public int indexOf(final String address) {
      for (int index = 0; index < voters.size(); index++) {
        if (voters.get(index).address.equals(address)) {
          return index;
        }
      }
      return -1;
    }

    /** The smallest number of voters that is more than half. */
    public int majority() {
      return voters.size() / 2 + 1;
    }
  }

  /** A register's value under its mark; either whole or as a difference from the base mark. */
  public static final class RegisterEntry {
    public final String name;
    public final RegisterVersion version;
    public final RegisterVersion baseVersion;
    public final byte[] delta;
    public final byte[] fullValue;
    public final byte[] auditEntry;

    public RegisterEntry(
        final String name,
        final RegisterVersion version,
        final RegisterVersion baseVersion,
        final byte[] delta,
        final byte[] fullValue) {
      this(name, version, baseVersion, delta, fullValue, null);
    }

    public RegisterEntry(
        final String name,
        final RegisterVersion version,
        final RegisterVersion baseVersion,
        final byte[] delta,
        final byte[] fullValue,
        final byte[] auditEntry) {
      this.auditEntry = auditEntry;
      this.name = name;
      this.version = version;
      this.baseVersion = baseVersion;
      this.delta = delta;
      this.fullValue = fullValue;
    }
  }

  /** Asks for a partition's promise under a higher ballot. */
  public static final class Prepare implements Message {
    public final int partition;
    public final long rosterNumber;
    public final RegisterVersion ballot;

    public Prepare(final int partition, final long rosterNumber, final RegisterVersion ballot) {
      this.partition = partition;
      this.rosterNumber = rosterNumber;
      this.ballot = ballot;
    }
  }

  /** The promise, with all that the sender holds of the partition. */
  public static final class Promise implements Message {
    public final int partition;
    public final RegisterVersion ballot;
    public final RegisterVersion established;
    public final List<RegisterEntry> entries;
    public final long incarnation;
    public final List<Long> knownIncarnations;

    public Promise(
        final int partition,
        final RegisterVersion ballot,
        final RegisterVersion established,
        final List<RegisterEntry> entries,
        final long incarnation,
        final List<Long> knownIncarnations) {
      this.partition = partition;
      this.ballot = ballot;
      this.established = established;
      this.entries = entries;
      this.incarnation = incarnation;
      this.knownIncarnations = knownIncarnations;
    }
  }

  /**
   * Writes registers; an establishing one replaces the whole partition, and tells the incarnations
   * that its sender knows.
   */
  public static final class Accept implements Message {
    public final int partition;
    public final long rosterNumber;
    public final RegisterVersion ballot;
    public final boolean establish;
    public final List<Long> countedIncarnations;
    public final List<RegisterEntry> entries;
    public final List<Long> knownIncarnations;

    public Accept(
        final int partition,
        final long rosterNumber,
        final RegisterVersion ballot,
        final boolean establish,
        final List<Long> countedIncarnations,
        final List<RegisterEntry> entries) {
      this(partition, rosterNumber, ballot, establish, countedIncarnations, entries, null);
    }

    public Accept(
        final int partition,
        final long rosterNumber,
        final RegisterVersion ballot,
        final boolean establish,
        final List<Long> countedIncarnations,
        final List<RegisterEntry> entries,
        final List<Long> knownIncarnations) {
      this.knownIncarnations = knownIncarnations;
      this.partition = partition;
      this.rosterNumber = rosterNumber;
      this.ballot = ballot;
      this.establish = establish;
      this.countedIncarnations = countedIncarnations;
      this.entries = entries;
    }
  }

  /**
   * The registers named are on the sender's disk under these marks; those it lacks the base for are
   * named apart.
   */
  public static final class Accepted implements Message {
    public final int partition;
    public final RegisterVersion ballot;
    public final boolean establish;
    public final List<String> names;
    public final List<Long> counts;
    public final List<String> missingBase;
    public final long incarnation;
    public final List<Long> knownIncarnations;

    public Accepted(
        final int partition,
        final RegisterVersion ballot,
        final boolean establish,
        final List<String> names,
        final List<Long> counts,
        final List<String> missingBase,
        final long incarnation,
        final List<Long> knownIncarnations) {
      this.partition = partition;
      this.ballot = ballot;
      this.establish = establish;
      this.names = names;
      this.counts = counts;
      this.missingBase = missingBase;
      this.incarnation = incarnation;
      this.knownIncarnations = knownIncarnations;
    }
  }

  /** A holder tells that it still serves these partitions and asks whether its ballots stand. */
  public static final class Heartbeat implements Message {
    public final long rosterNumber;
    public final List<Integer> partitions;
    public final List<RegisterVersion> ballots;

    public Heartbeat(
        final long rosterNumber,
        final List<Integer> partitions,
        final List<RegisterVersion> ballots) {
      this.rosterNumber = rosterNumber;
      this.partitions = partitions;
      this.ballots = ballots;
    }
  }

  /**
   * The ballots that stand, with the count that each pulse carried, and up to where the sender's
   * disk has the history.
   */
  public static final class HeartbeatAck implements Message {
    public final List<Integer> partitions;
    public final List<RegisterVersion> ballots;
    public final long incarnation;
    public final List<Long> knownIncarnations;
    public final long auditedThrough;

    public HeartbeatAck(
        final List<Integer> partitions,
        final List<RegisterVersion> ballots,
        final long incarnation,
        final List<Long> knownIncarnations,
        final long auditedThrough) {
      this.auditedThrough = auditedThrough;
      this.partitions = partitions;
      this.ballots = ballots;
      this.incarnation = incarnation;
      this.knownIncarnations = knownIncarnations;
    }
  }

  /** Asks who is on the roster and which incarnation of the sender is known. */
  public static final class MembershipRequest implements Message {
    public final long number;

    public MembershipRequest(final long number) {
      this.number = number;
    }
  }

  /** The answer to an enquiry. */
  public static final class MembershipResponse implements Message {
    public final long number;
    public final boolean blankDisk;
    public final Roster roster;
    public final long incarnation;
    public final List<String> holders;

    public MembershipResponse(
        final long number,
        final boolean blankDisk,
        final Roster roster,
        final long incarnation,
        final List<String> holders) {
      this.number = number;
      this.blankDisk = blankDisk;
      this.roster = roster;
      this.incarnation = incarnation;
      this.holders = holders;
    }
  }

  /**
   * A blank disk asks, under its new incarnation, for the catalogue of all registers behind a name,
   * in their order, or, where it names registers, for their values; a value is asked for from an
   * offset on where part of it has come.
   */
  public static final class RecoveryRequest implements Message {
    public final long incarnation;
    public final String after;
    public final List<String> names;
    public final int offset;
    public final long number;

    /** Asks for the beginning of the catalogue. */
    public RecoveryRequest(final long incarnation) {
      this(incarnation, "", null, 0, 0);
    }

    public RecoveryRequest(
        final long incarnation,
        final String after,
        final List<String> names,
        final int offset,
        final long number) {
      this.number = number;
      this.incarnation = incarnation;
      this.after = after;
      this.names = names;
      this.offset = offset;
    }
  }

  /**
   * One part of what the sender holds: its promises and how far its partitions were established,
   * with a page of the catalogue, in which entries for which there is no room come without their
   * value; or the values that were named, those that it does not hold being listed apart. Of a
   * value too large for one part, total tells its length and offset where this piece begins.
   */
  public static final class RecoveryResponse implements Message {
    public final long incarnation;
    public final Roster roster;
    public final List<RegisterVersion> promised;
    public final List<RegisterVersion> established;
    public final List<RegisterEntry> entries;
    public final List<Long> knownIncarnations;
    public final long auditedThrough;
    public final String after;
    public final boolean containsValues;
    public final boolean more;
    public final List<String> absentNames;
    public final int offset;
    public final int total;
    public final long number;

    public RecoveryResponse(
        final long incarnation,
        final Roster roster,
        final List<RegisterVersion> promised,
        final List<RegisterVersion> established,
        final List<RegisterEntry> entries,
        final List<Long> knownIncarnations,
        final long auditedThrough,
        final String after,
        final boolean containsValues,
        final boolean more,
        final List<String> absentNames,
        final int offset,
        final int total,
        final long number) {
      this.number = number;
      this.auditedThrough = auditedThrough;
      this.incarnation = incarnation;
      this.roster = roster;
      this.promised = promised;
      this.established = established;
      this.entries = entries;
      this.knownIncarnations = knownIncarnations;
      this.after = after;
      this.containsValues = containsValues;
      this.more = more;
      this.absentNames = absentNames;
      this.offset = offset;
      this.total = total;
    }
  }

  /** A roster that a majority holds. */
  public static final class RosterUpdate implements Message {
    public final Roster roster;

    public RosterUpdate(final Roster roster) {
      this.roster = roster;
    }
  }

  /**
   * A refusal: a higher ballot was promised, a roster or an incarnation is overtaken, or the sender
   * cannot vote.
   */
  public static final class Refused implements Message {
    public final int partition;
    public final RegisterVersion ballot;
    public final RegisterVersion promised;
    public final long rosterNumber;
    public final List<Long> knownIncarnations;

    public Refused(
        final int partition,
        final RegisterVersion ballot,
        final RegisterVersion promised,
        final long rosterNumber,
        final List<Long> knownIncarnations) {
      this.partition = partition;
      this.ballot = ballot;
      this.promised = promised;
      this.rosterNumber = rosterNumber;
      this.knownIncarnations = knownIncarnations;
    }
  }

  /** A daemon that is no voter offers itself. */
  public static final class Join implements Message {
    public final Voter voter;

    public Join(final Voter voter) {
      this.voter = voter;
    }
  }

  /** The sender gives up these partitions, or leaves altogether. */
  public static final class Resign implements Message {
    public final boolean leaving;
    public final List<Integer> partitions;

    public Resign(final boolean leaving, final List<Integer> partitions) {
      this.leaving = leaving;
      this.partitions = partitions;
    }
  }

  /** To a voter that leaves: a majority holds these partitions without it, under this roster. */
  public static final class Released implements Message {
    public final long rosterNumber;
    public final List<Integer> partitions;

    public Released(final long rosterNumber, final List<Integer> partitions) {
      this.rosterNumber = rosterNumber;
      this.partitions = partitions;
    }
  }

  /** Asks, before any ballot, whether the voters too find a partition vacant. */
  public static final class PreVote implements Message {
    public final int partition;
    public final long rosterNumber;
    public final long number;

    public PreVote(final int partition, final long rosterNumber, final long number) {
      this.partition = partition;
      this.rosterNumber = rosterNumber;
      this.number = number;
    }
  }

  /** The sender finds the partition vacant; it tells the highest round that it has promised. */
  public static final class PreVoteResponse implements Message {
    public final int partition;
    public final long number;
    public final long round;

    public PreVoteResponse(final int partition, final long number, final long round) {
      this.partition = partition;
      this.number = number;
      this.round = round;
    }
  }
}
