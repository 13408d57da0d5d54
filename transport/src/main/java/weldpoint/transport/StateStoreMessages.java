package weldpoint.transport;

import java.util.List;

/** Messages between state store replicas: ballots, repair, recovery and the roster of voters. */
public final class StateStoreMessages {
  private StateStoreMessages() {}

  /** One voter of the roster: where it runs and which tokens it has. */
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

  /** The list of voters; its number rises with each change. */
  public static final class Roster {
    public final long number;
    public final List<Voter> voters;

    public Roster(final long number, final List<Voter> voters) {
      this.number = number;
      this.voters = voters;
    }

    /** Returns the index of an address in the list of voters, or -1 if it is not a voter. */
    public int indexOf(final String address) {
      for (int index = 0; index < voters.size(); index++) {
        if (voters.get(index).address.equals(address)) {
          return index;
        }
      }
      return -1;
    }

    /** Returns the smallest number of voters that is more than half of them. */
    public int majority() {
      return voters.size() / 2 + 1;
    }
  }

  /** A register's value at a version, either in full or as a delta against the base version. */
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

  /** Phase 1 of consensus: asks for the promise of a partition under a higher ballot. */
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

  /** A promise, with all register values that the sender holds of the partition. */
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
   * Phase 2 of consensus: writes registers. If {@code establish} is set, the entries replace the
   * whole partition and the message carries the incarnations that the sender knows.
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
   * The named registers are on the sender's disk, at these counts within the ballot. Registers for
   * which the sender lacks the base version of a delta are listed in {@code missingBase}.
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

  /**
   * The holder of partitions reports that it still serves them and asks if its ballots are valid.
   */
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
   * The ballots that are still valid, each with the count that its heartbeat carried, and the last
   * entry of the change history that is on the sender's disk.
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

  /** Asks for the roster and for the sender's incarnation as the receiver knows it. */
  public static final class MembershipRequest implements Message {
    public final long number;

    public MembershipRequest(final long number) {
      this.number = number;
    }
  }

  /**
   * The answer to a {@link MembershipRequest}, with the holder of each partition; the holder is
   * empty if the sender knows none.
   */
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
   * Sent by a replica whose disk is blank, under its new incarnation. Without names it asks for the
   * catalogue of all registers that sort after a name; with names it asks for their values. If part
   * of a value has already been received, the offset says where to continue.
   */
  public static final class RecoveryRequest implements Message {
    public final long incarnation;
    public final String after;
    public final List<String> names;
    public final int offset;
    public final long number;

    /** Asks for the first page of the catalogue. */
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
   * One part of the sender's state. It holds either the promises and the established versions of
   * its partitions with a page of the catalogue, whose entries omit their value if it does not fit,
   * or the values of the named registers; registers that the sender does not hold are listed in
   * {@code absentNames}. For a value too large for one part, {@code total} is its length and {@code
   * offset} the position of this piece.
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

  /** A roster that a majority has stored. */
  public static final class RosterUpdate implements Message {
    public final Roster roster;

    public RosterUpdate(final Roster roster) {
      this.roster = roster;
    }
  }

  /**
   * Refuses a message: a higher ballot was promised, the roster or an incarnation is outdated, or
   * the sender cannot vote.
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

  /** Sent by a replica that is not a voter, to be added to the roster. */
  public static final class Join implements Message {
    public final Voter voter;

    public Join(final Voter voter) {
      this.voter = voter;
    }
  }

  /** The sender gives up these partitions or, if {@code leaving} is set, leaves the roster. */
  public static final class Resign implements Message {
    public final boolean leaving;
    public final List<Integer> partitions;

    public Resign(final boolean leaving, final List<Integer> partitions) {
      this.leaving = leaving;
      this.partitions = partitions;
    }
  }

  /** Tells a leaving voter that a majority holds these partitions without it, under this roster. */
  public static final class Released implements Message {
    public final long rosterNumber;
    public final List<Integer> partitions;

    public Released(final long rosterNumber, final List<Integer> partitions) {
      this.rosterNumber = rosterNumber;
      this.partitions = partitions;
    }
  }

  /**
   * Asks the voters, before any ballot is started, whether they too see a partition without holder.
   */
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

  /**
   * The sender sees the partition without holder; the round is the highest that it has promised.
   */
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
