package weldpoint.trunk;

import java.util.List;

/**
 * The words of the inner protocol. A list that travelled empty arrives as null; {@link #list} mends
 * that.
 */
public final class Words {
  static final Class<?>[] KINDS = {
    Hello.class,
    Ring.class,
    Prepare.class,
    Promise.class,
    Accept.class,
    Accepted.class,
    Pulse.class,
    Pulsed.class,
    Enquire.class,
    Enquired.class,
    Fetch.class,
    Fetched.class,
    RosterNews.class,
    Refused.class,
    Join.class,
    Resign.class,
    Canvass.class,
    Canvassed.class,
    Call.class,
    Answer.class,
    Gossip.class,
    Changes.class,
    Kept.class,
    BoardState.class,
    View.class,
    Reach.class,
    TrialReport.class,
    Purges.class,
    PermitAsk.class,
    PermitAnswer.class,
    CopyAsk.class,
    CopyAnswer.class,
    Electorate.class,
    Stand.class,
    Backed.class,
    Order.class,
    Heeded.class,
    RecordState.class,
    Reel.class,
    AuditState.class,
    AuditAsk.class,
    AuditPart.class,
    Placements.class,
    LeaseAsk.class,
    LeaseGrant.class,
    Neighbours.class,
    Released.class,
    StateRead.class,
    StateHeld.class,
    KeyMessages.ClaimAsk.class,
    KeyMessages.ClaimAnswer.class,
    KeyMessages.ClaimRelease.class,
    KeyMessages.VoteAsk.class,
    KeyMessages.VoteAnswer.class,
    KeyMessages.OutcomeAsk.class,
    KeyMessages.OutcomeAnswer.class,
    OwnershipMessages.Assignments.class,
    OwnershipMessages.AssignerPulse.class,
    OwnershipMessages.SlotReport.class,
  };

  private Words() {}

  /** The list itself, or an empty one for null. */
  public static <T> List<T> list(final List<T> list) {
    return list == null ? List.of() : list;
  }

  /** The first word on every line. */
  public static final class Hello implements Message {
    public final int protocol;
    public final String program;
    public final String address;
    public final long incarnation;
    public final Long clock;

    public Hello(
        final int protocol, final String program, final String address, final long incarnation) {
      this(protocol, program, address, incarnation, null);
    }

    private Hello(
        final int protocol,
        final String program,
        final String address,
        final long incarnation,
        final Long clock) {
      this.protocol = protocol;
      this.program = program;
      this.address = address;
      this.incarnation = incarnation;
      this.clock = clock;
    }

    /** This hello with the time of its sender's steady clock. */
    public Hello at(final long millis) {
      return new Hello(protocol, program, address, incarnation, millis);
    }
  }

  /** Keeps a line alive; echoed once, with the time of the echoing side's steady clock. */
  public static final class Ring implements Message {
    public final boolean echo;
    public final Long clock;

    public Ring(final boolean echo) {
      this(echo, null);
    }

    public Ring(final boolean echo, final Long clock) {
      this.echo = echo;
      this.clock = clock;
    }
  }

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
    public int index(final String address) {
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
  public static final class Entry {
    public final String name;
    public final Mark mark;
    public final Mark base;
    public final byte[] difference;
    public final byte[] whole;
    public final byte[] audit;

    public Entry(
        final String name,
        final Mark mark,
        final Mark base,
        final byte[] difference,
        final byte[] whole) {
      this(name, mark, base, difference, whole, null);
    }

    public Entry(
        final String name,
        final Mark mark,
        final Mark base,
        final byte[] difference,
        final byte[] whole,
        final byte[] audit) {
      this.audit = audit;
      this.name = name;
      this.mark = mark;
      this.base = base;
      this.difference = difference;
      this.whole = whole;
    }
  }

  /** Asks for a partition's promise under a higher ballot. */
  public static final class Prepare implements Message {
    public final int partition;
    public final long roster;
    public final Mark ballot;

    public Prepare(final int partition, final long roster, final Mark ballot) {
      this.partition = partition;
      this.roster = roster;
      this.ballot = ballot;
    }
  }

  /** The promise, with all that the sender holds of the partition. */
  public static final class Promise implements Message {
    public final int partition;
    public final Mark ballot;
    public final Mark established;
    public final List<Entry> entries;
    public final long incarnation;
    public final List<Long> known;

    public Promise(
        final int partition,
        final Mark ballot,
        final Mark established,
        final List<Entry> entries,
        final long incarnation,
        final List<Long> known) {
      this.partition = partition;
      this.ballot = ballot;
      this.established = established;
      this.entries = entries;
      this.incarnation = incarnation;
      this.known = known;
    }
  }

  /**
   * Writes registers; an establishing one replaces the whole partition, and tells the incarnations
   * that its sender knows.
   */
  public static final class Accept implements Message {
    public final int partition;
    public final long roster;
    public final Mark ballot;
    public final boolean establish;
    public final List<Long> counted;
    public final List<Entry> entries;
    public final List<Long> known;

    public Accept(
        final int partition,
        final long roster,
        final Mark ballot,
        final boolean establish,
        final List<Long> counted,
        final List<Entry> entries) {
      this(partition, roster, ballot, establish, counted, entries, null);
    }

    public Accept(
        final int partition,
        final long roster,
        final Mark ballot,
        final boolean establish,
        final List<Long> counted,
        final List<Entry> entries,
        final List<Long> known) {
      this.known = known;
      this.partition = partition;
      this.roster = roster;
      this.ballot = ballot;
      this.establish = establish;
      this.counted = counted;
      this.entries = entries;
    }
  }

  /**
   * The registers named are on the sender's disk under these marks; those it lacks the base for are
   * named apart.
   */
  public static final class Accepted implements Message {
    public final int partition;
    public final Mark ballot;
    public final boolean establish;
    public final List<String> names;
    public final List<Long> counts;
    public final List<String> lacking;
    public final long incarnation;
    public final List<Long> known;

    public Accepted(
        final int partition,
        final Mark ballot,
        final boolean establish,
        final List<String> names,
        final List<Long> counts,
        final List<String> lacking,
        final long incarnation,
        final List<Long> known) {
      this.partition = partition;
      this.ballot = ballot;
      this.establish = establish;
      this.names = names;
      this.counts = counts;
      this.lacking = lacking;
      this.incarnation = incarnation;
      this.known = known;
    }
  }

  /** A holder tells that it still serves these partitions and asks whether its ballots stand. */
  public static final class Pulse implements Message {
    public final long roster;
    public final List<Integer> partitions;
    public final List<Mark> ballots;

    public Pulse(final long roster, final List<Integer> partitions, final List<Mark> ballots) {
      this.roster = roster;
      this.partitions = partitions;
      this.ballots = ballots;
    }
  }

  /**
   * The ballots that stand, with the count that each pulse carried, and up to where the sender's
   * disk has the history.
   */
  public static final class Pulsed implements Message {
    public final List<Integer> partitions;
    public final List<Mark> ballots;
    public final long incarnation;
    public final List<Long> known;
    public final long audited;

    public Pulsed(
        final List<Integer> partitions,
        final List<Mark> ballots,
        final long incarnation,
        final List<Long> known,
        final long audited) {
      this.audited = audited;
      this.partitions = partitions;
      this.ballots = ballots;
      this.incarnation = incarnation;
      this.known = known;
    }
  }

  /** Asks who is on the roster and which incarnation of the sender is known. */
  public static final class Enquire implements Message {
    public final long number;

    public Enquire(final long number) {
      this.number = number;
    }
  }

  /** The answer to an enquiry. */
  public static final class Enquired implements Message {
    public final long number;
    public final boolean blank;
    public final Roster roster;
    public final long incarnation;
    public final List<String> holders;

    public Enquired(
        final long number,
        final boolean blank,
        final Roster roster,
        final long incarnation,
        final List<String> holders) {
      this.number = number;
      this.blank = blank;
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
  public static final class Fetch implements Message {
    public final long incarnation;
    public final String after;
    public final List<String> names;
    public final int offset;
    public final long number;

    /** Asks for the beginning of the catalogue. */
    public Fetch(final long incarnation) {
      this(incarnation, "", null, 0, 0);
    }

    public Fetch(
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
  public static final class Fetched implements Message {
    public final long incarnation;
    public final Roster roster;
    public final List<Mark> promised;
    public final List<Mark> established;
    public final List<Entry> entries;
    public final List<Long> known;
    public final long audited;
    public final String after;
    public final boolean values;
    public final boolean more;
    public final List<String> absent;
    public final int offset;
    public final int total;
    public final long number;

    public Fetched(
        final long incarnation,
        final Roster roster,
        final List<Mark> promised,
        final List<Mark> established,
        final List<Entry> entries,
        final List<Long> known,
        final long audited,
        final String after,
        final boolean values,
        final boolean more,
        final List<String> absent,
        final int offset,
        final int total,
        final long number) {
      this.number = number;
      this.audited = audited;
      this.incarnation = incarnation;
      this.roster = roster;
      this.promised = promised;
      this.established = established;
      this.entries = entries;
      this.known = known;
      this.after = after;
      this.values = values;
      this.more = more;
      this.absent = absent;
      this.offset = offset;
      this.total = total;
    }
  }

  /** A roster that a majority holds. */
  public static final class RosterNews implements Message {
    public final Roster roster;

    public RosterNews(final Roster roster) {
      this.roster = roster;
    }
  }

  /**
   * A refusal: a higher ballot was promised, a roster or an incarnation is overtaken, or the sender
   * cannot vote.
   */
  public static final class Refused implements Message {
    public final int partition;
    public final Mark ballot;
    public final Mark promised;
    public final long roster;
    public final List<Long> known;

    public Refused(
        final int partition,
        final Mark ballot,
        final Mark promised,
        final long roster,
        final List<Long> known) {
      this.partition = partition;
      this.ballot = ballot;
      this.promised = promised;
      this.roster = roster;
      this.known = known;
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
    public final long roster;
    public final List<Integer> partitions;

    public Released(final long roster, final List<Integer> partitions) {
      this.roster = roster;
      this.partitions = partitions;
    }
  }

  /** Asks, before any ballot, whether the voters too find a partition vacant. */
  public static final class Canvass implements Message {
    public final int partition;
    public final long roster;
    public final long number;

    public Canvass(final int partition, final long roster, final long number) {
      this.partition = partition;
      this.roster = roster;
      this.number = number;
    }
  }

  /** The sender finds the partition vacant; it tells the highest round that it has promised. */
  public static final class Canvassed implements Message {
    public final int partition;
    public final long number;
    public final long round;

    public Canvassed(final int partition, final long number, final long round) {
      this.partition = partition;
      this.number = number;
      this.round = round;
    }
  }

  /**
   * Who wants a change of routing: the author named, the address it came from and the daemon that
   * took it; extra is a configuration's summary.
   */
  public static final class Cause {
    public final String author;
    public final String caller;
    public final String taker;
    public final byte[] extra;

    public Cause(final String author, final String caller, final String taker, final byte[] extra) {
      this.author = author;
      this.caller = caller;
      this.taker = taker;
      this.extra = extra;
    }
  }

  /** The switchboards of one site, in an order that all of them are told alike. */
  public static final class Neighbours implements Message {
    public final List<String> addresses;

    public Neighbours(final List<String> addresses) {
      this.addresses = addresses;
    }
  }

  /** One upstream that callers may be tied to. */
  public static final class PlacementMember {
    public final String id;
    public final int capacity;
    public final String site;

    public PlacementMember(final String id, final int capacity, final String site) {
      this.id = id;
      this.capacity = capacity;
      this.site = site;
    }
  }

  /**
   * Among which upstreams of a service callers are placed in this epoch, and, where the next epoch
   * is prepared, among which then.
   */
  public static final class Placement {
    public final String service;
    public final long serial;
    public final long epoch;
    public final List<PlacementMember> members;
    public final boolean prepared;
    public final List<PlacementMember> next;

    public Placement(
        final String service,
        final long serial,
        final long epoch,
        final List<PlacementMember> members,
        final boolean prepared,
        final List<PlacementMember> next) {
      this.service = service;
      this.serial = serial;
      this.epoch = epoch;
      this.members = members;
      this.prepared = prepared;
      this.next = next;
    }
  }

  /** Which exchange, in which life, changes placements and grants leases on them. */
  public static final class Keeper {
    public final long serial;
    public final String address;
    public final long incarnation;

    public Keeper(final long serial, final String address, final long incarnation) {
      this.serial = serial;
      this.address = address;
      this.incarnation = incarnation;
    }
  }

  /** All placements; the mark rises with each change of any. */
  public static final class Placements implements Message {
    public final long mark;
    public final List<Placement> placements;

    public Placements(final long mark, final List<Placement> placements) {
      this.mark = mark;
      this.placements = placements;
    }
  }

  /**
   * A switchboard asks for a lease; it has the placements under this mark, and has finished what
   * had to be finished for those up to settled. Counts are from its start.
   */
  public static final class LeaseAsk implements Message {
    public final long number;
    public final String board;
    public final long incarnation;
    public final long mark;
    public final long settled;
    public final List<Long> counts;

    public LeaseAsk(
        final long number,
        final String board,
        final long incarnation,
        final long mark,
        final long settled,
        final List<Long> counts) {
      this.number = number;
      this.board = board;
      this.incarnation = incarnation;
      this.mark = mark;
      this.settled = settled;
      this.counts = counts;
    }
  }

  /** The lease: for so many milliseconds from the asker's question; 0 where none is granted. */
  public static final class LeaseGrant implements Message {
    public final long number;
    public final String board;
    public final long incarnation;
    public final long millis;

    public LeaseGrant(
        final long number, final String board, final long incarnation, final long millis) {
      this.number = number;
      this.board = board;
      this.incarnation = incarnation;
      this.millis = millis;
    }
  }

  /** Tells how far the sender's history reaches. */
  public static final class AuditState implements Message {
    public final long base;
    public final long last;
    public final String digest;

    public AuditState(final long base, final long last, final String digest) {
      this.base = base;
      this.last = last;
      this.digest = digest;
    }
  }

  /** Asks for the history from this entry on. */
  public static final class AuditAsk implements Message {
    public final long from;

    public AuditAsk(final long from) {
      this.from = from;
    }
  }

  /**
   * Entries of the history behind the base; whether the sender keeps none before them, and how far
   * it reaches.
   */
  public static final class AuditPart implements Message {
    public final long base;
    public final String baseDigest;
    public final boolean trimmed;
    public final List<byte[]> entries;
    public final long last;

    public AuditPart(
        final long base,
        final String baseDigest,
        final boolean trimmed,
        final List<byte[]> entries,
        final long last) {
      this.base = base;
      this.baseDigest = baseDigest;
      this.trimmed = trimmed;
      this.entries = entries;
      this.last = last;
    }
  }

  /**
   * A call to the store; content is the digest of what its body says, where the deed compares that.
   * Caller, the incarnation of the process that calls, and number are its identity, which never
   * recurs. Age is how long ago the first copy of it that may have been carried out was sent, 0
   * where there is none; clock is the latest time of the frame's own steady clock that the caller
   * had heard over this line when it sent this copy.
   */
  public static final class Call implements Message {
    public final long number;
    public final int deed;
    public final String name;
    public final String owner;
    public final long first;
    public final long second;
    public final byte[] body;
    public final Cause cause;
    public final byte[] content;
    public final long caller;
    public final long age;
    public final Long clock;
    private final transient long agedAt;

    public Call(
        final long number,
        final int deed,
        final String name,
        final String owner,
        final long first,
        final long second,
        final byte[] body) {
      this(number, deed, name, owner, first, second, body, null);
    }

    public Call(
        final long number,
        final int deed,
        final String name,
        final String owner,
        final long first,
        final long second,
        final byte[] body,
        final Cause cause) {
      this(number, deed, name, owner, first, second, body, cause, null);
    }

    public Call(
        final long number,
        final int deed,
        final String name,
        final String owner,
        final long first,
        final long second,
        final byte[] body,
        final Cause cause,
        final byte[] content) {
      this(number, deed, name, owner, first, second, body, cause, content, 0, 0, 0, null);
    }

    private Call(
        final long number,
        final int deed,
        final String name,
        final String owner,
        final long first,
        final long second,
        final byte[] body,
        final Cause cause,
        final byte[] content,
        final long caller,
        final long age,
        final long agedAt,
        final Long clock) {
      this.agedAt = agedAt;
      this.caller = caller;
      this.age = age;
      this.clock = clock;
      this.cause = cause;
      this.content = content;
      this.number = number;
      this.deed = deed;
      this.name = name;
      this.owner = owner;
      this.first = first;
      this.second = second;
      this.body = body;
    }

    /** This call in the name of a caller. */
    public Call from(final long givenCaller) {
      return new Call(
          number,
          deed,
          name,
          owner,
          first,
          second,
          body,
          cause,
          content,
          givenCaller,
          age,
          agedAt,
          clock);
    }

    /**
     * A copy of this call whose first copy that may have been carried out was sent so long before
     * now, by the caller's steady clock.
     */
    public Call aged(final long givenAge, final long now) {
      return new Call(
          number, deed, name, owner, first, second, body, cause, content, caller, givenAge, now,
          clock);
    }

    /**
     * A copy of this call as it leaves now, over a line on which this time of the frame's clock had
     * been heard before.
     */
    public Call leaving(final Long heardClock, final long now) {
      return new Call(
          number,
          deed,
          name,
          owner,
          first,
          second,
          body,
          cause,
          content,
          caller,
          age == 0 ? 0 : age + Math.max(0, now - agedAt),
          agedAt,
          heardClock);
    }
  }

  /**
   * The store's answer to the call of this number and caller, with the time of the frame's steady
   * clock; status 0 means that nothing was done and "ask the holder named", or nobody knows one
   * where it is null.
   */
  public static final class Answer implements Message {
    public final long number;
    public final int status;
    public final long first;
    public final byte[] body;
    public final String holder;
    public final long caller;
    public final Long clock;

    public Answer(
        final long number,
        final int status,
        final long first,
        final byte[] body,
        final String holder) {
      this(number, status, first, body, holder, 0, null);
    }

    private Answer(
        final long number,
        final int status,
        final long first,
        final byte[] body,
        final String holder,
        final long caller,
        final Long clock) {
      this.clock = clock;
      this.caller = caller;
      this.number = number;
      this.status = status;
      this.first = first;
      this.body = body;
      this.holder = holder;
    }

    /** This answer for a caller. */
    public Answer to(final long givenCaller) {
      return new Answer(number, status, first, body, holder, givenCaller, clock);
    }

    /** This answer as it leaves, at this time of its sender's steady clock. */
    public Answer at(final long millis) {
      return new Answer(number, status, first, body, holder, caller, millis);
    }
  }

  /** One upstream's registration: a step of its life, with the time at which it was issued. */
  public static final class Registration {
    public final String id;
    public final String service;
    public final String address;
    public final String site;
    public final String software;
    public final int capacity;
    public final int stage;
    public final long sequence;
    public final long issued;
    public final long warmupMillis;

    public Registration(
        final String id,
        final String service,
        final String address,
        final String site,
        final String software,
        final int capacity,
        final int stage,
        final long sequence,
        final long issued,
        final long warmupMillis) {
      this.id = id;
      this.service = service;
      this.address = address;
      this.site = site;
      this.software = software;
      this.capacity = capacity;
      this.stage = stage;
      this.sequence = sequence;
      this.issued = issued;
      this.warmupMillis = warmupMillis;
    }
  }

  /**
   * One switchboard, or announcer, as the directory knows it: which configuration and which mark of
   * evacuations and trials it has in force, and for how long.
   */
  public static final class Board {
    public final String address;
    public final String front;
    public final String site;
    public final String region;
    public final long incarnation;
    public final boolean leaving;
    public final long ageMillis;
    public final boolean announcer;
    public final long version;
    public final long mark;
    public final long heldMillis;

    public Board(
        final String address,
        final String front,
        final String site,
        final String region,
        final long incarnation,
        final boolean leaving,
        final long ageMillis) {
      this(address, front, site, region, incarnation, leaving, ageMillis, false);
    }

    public Board(
        final String address,
        final String front,
        final String site,
        final String region,
        final long incarnation,
        final boolean leaving,
        final long ageMillis,
        final boolean announcer) {
      this(address, front, site, region, incarnation, leaving, ageMillis, announcer, 0, 0, 0);
    }

    public Board(
        final String address,
        final String front,
        final String site,
        final String region,
        final long incarnation,
        final boolean leaving,
        final long ageMillis,
        final boolean announcer,
        final long version,
        final long mark,
        final long heldMillis) {
      this.version = version;
      this.mark = mark;
      this.heldMillis = heldMillis;
      this.announcer = announcer;
      this.address = address;
      this.front = front;
      this.site = site;
      this.region = region;
      this.incarnation = incarnation;
      this.leaving = leaving;
      this.ageMillis = ageMillis;
    }
  }

  /** What an operator ended for caches: one object by its host and path, or all under a label. */
  public static final class Purge {
    public final long serial;
    public final String host;
    public final String path;
    public final String tag;

    public Purge(final long serial, final String host, final String path, final String tag) {
      this.serial = serial;
      this.host = host;
      this.path = path;
      this.tag = tag;
    }
  }

  /**
   * All purges above the floor up to the mark, in order; whoever knows less than the floor has
   * missed some.
   */
  public static final class Purges implements Message {
    public final long floor;
    public final long mark;
    public final List<Purge> purges;

    public Purges(final long floor, final long mark, final List<Purge> purges) {
      this.floor = floor;
      this.mark = mark;
      this.purges = purges;
    }
  }

  /** Asks for permits under a name; hops counts the exchanges that passed it on. */
  public static final class PermitAsk implements Message {
    public final long number;
    public final String name;
    public final int count;
    public final int hops;

    public PermitAsk(final long number, final String name, final int count, final int hops) {
      this.number = number;
      this.name = name;
      this.count = count;
      this.hops = hops;
    }
  }

  /** How many were granted, under which spec, and how long ago that was known to be the newest. */
  public static final class PermitAnswer implements Message {
    public final long number;
    public final int granted;
    public final long version;
    public final long ageMillis;

    public PermitAnswer(
        final long number, final int granted, final long version, final long ageMillis) {
      this.number = number;
      this.granted = granted;
      this.version = version;
      this.ageMillis = ageMillis;
    }
  }

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
  public static final class Stand implements Message {
    public final String region;
    public final long mark;
    public final long term;
    public final String address;
    public final long incarnation;

    public Stand(
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
  public static final class Backed implements Message {
    public final String region;
    public final long mark;
    public final long term;
    public final boolean yes;

    public Backed(final String region, final long mark, final long term, final boolean yes) {
      this.region = region;
      this.mark = mark;
      this.term = term;
      this.yes = yes;
    }
  }

  /** What a chief orders, fenced by the electorate's mark and the term. */
  public static final class Order implements Message {
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

    public Order(
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
  public static final class Sight {
    public final long repeatables;
    public final long writes;
    public final long refusedWrites;
    public final long carried;
    public final List<String> silent;
    public final List<String> uncertain;

    public Sight(
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
  public static final class Heeded implements Message {
    public final long mark;
    public final long term;
    public final long number;
    public final long askedAt;
    public final Sight sight;

    public Heeded(
        final long mark,
        final long term,
        final long number,
        final long askedAt,
        final Sight sight) {
      this.mark = mark;
      this.term = term;
      this.number = number;
      this.askedAt = askedAt;
      this.sight = sight;
    }
  }

  /** Whether switchboards record what they carry, under a rising mark. */
  public static final class RecordState implements Message {
    public final long mark;
    public final boolean on;

    public RecordState(final long mark, final boolean on) {
      this.mark = mark;
      this.on = on;
    }
  }

  /**
   * One request as a switchboard carried it; serials of one switchboard's life leave no gap. Tries
   * stand in three lists, in order.
   */
  public static final class Note {
    public final long serial;
    public final long at;
    public final String id;
    public final String host;
    public final String target;
    public final String route;
    public final int kind;
    public final String service;
    public final long waits;
    public final long bytes;
    public final List<String> upstreams;
    public final List<Long> begun;
    public final List<Long> took;
    public final List<Integer> ends;
    public final long total;
    public final int status;

    public Note(
        final long serial,
        final long at,
        final String id,
        final String host,
        final String target,
        final String route,
        final int kind,
        final String service,
        final long waits,
        final long bytes,
        final List<String> upstreams,
        final List<Long> begun,
        final List<Long> took,
        final List<Integer> ends,
        final long total,
        final int status) {
      this.serial = serial;
      this.at = at;
      this.id = id;
      this.host = host;
      this.target = target;
      this.route = route;
      this.kind = kind;
      this.service = service;
      this.waits = waits;
      this.bytes = bytes;
      this.upstreams = upstreams;
      this.begun = begun;
      this.took = took;
      this.ends = ends;
      this.total = total;
      this.status = status;
    }
  }

  /**
   * Notes of one switchboard's life, with its own clock when they were sent, and how many were
   * dropped so far; the last reel of a life says so.
   */
  public static final class Reel implements Message {
    public final String board;
    public final String site;
    public final String region;
    public final long incarnation;
    public final long sentAt;
    public final long dropped;
    public final boolean last;
    public final List<Note> notes;

    public Reel(
        final String board,
        final String site,
        final String region,
        final long incarnation,
        final long sentAt,
        final long dropped,
        final boolean last,
        final List<Note> notes) {
      this.board = board;
      this.site = site;
      this.region = region;
      this.incarnation = incarnation;
      this.sentAt = sentAt;
      this.dropped = dropped;
      this.last = last;
      this.notes = notes;
    }
  }

  /** Asks an announcer for an object. */
  public static final class CopyAsk implements Message {
    public final long number;
    public final String service;
    public final String host;
    public final String target;
    public final long waitMillis;

    public CopyAsk(
        final long number,
        final String service,
        final String host,
        final String target,
        final long waitMillis) {
      this.number = number;
      this.service = service;
      this.host = host;
      this.target = target;
      this.waitMillis = waitMillis;
    }
  }

  /** The object with its headers; status 0 means that it cannot be had from here now. */
  public static final class CopyAnswer implements Message {
    public final long number;
    public final int status;
    public final List<String> headers;
    public final byte[] body;

    public CopyAnswer(
        final long number, final int status, final List<String> headers, final byte[] body) {
      this.number = number;
      this.status = status;
      this.headers = headers;
      this.body = body;
    }
  }

  /**
   * Reconciles two exchanges. While the digests agree, ages stand alone, in the order of names;
   * where they differ, only the buckets that do travel.
   */
  public static final class Gossip implements Message {
    public final int depth;
    public final long digest;
    public final Roster roster;
    public final List<String> members;
    public final List<Registration> history;
    public final List<Board> boards;
    public final List<String> beaten;
    public final List<Long> ages;
    public final long version;
    public final long mark;
    public final long heldMillis;
    public final long rosterNumber;
    public final int count;
    public final byte[] beatAges;
    public final long boardDigest;
    public final byte[] boardAges;
    public final List<Long> buckets;
    public final byte[] packed;
    public final String site;
    public final String region;

    public Gossip(
        final int depth,
        final long digest,
        final Roster roster,
        final List<String> members,
        final List<Registration> history,
        final List<Board> boards,
        final List<String> beaten,
        final List<Long> ages) {
      this(
          depth, digest, roster, members, history, boards, beaten, ages, 0, 0, 0, 0, 0, null, 0,
          null, null, null, "", "");
    }

    public Gossip(
        final int depth,
        final long digest,
        final Roster roster,
        final List<String> members,
        final List<Registration> history,
        final List<Board> boards,
        final List<String> beaten,
        final List<Long> ages,
        final long version,
        final long mark,
        final long heldMillis,
        final long rosterNumber,
        final int count,
        final byte[] beatAges,
        final long boardDigest,
        final byte[] boardAges,
        final List<Long> buckets,
        final byte[] packed,
        final String site,
        final String region) {
      this.rosterNumber = rosterNumber;
      this.count = count;
      this.beatAges = beatAges;
      this.boardDigest = boardDigest;
      this.boardAges = boardAges;
      this.buckets = buckets;
      this.packed = packed;
      this.site = site;
      this.region = region;
      this.version = version;
      this.mark = mark;
      this.heldMillis = heldMillis;
      this.depth = depth;
      this.digest = digest;
      this.roster = roster;
      this.members = members;
      this.history = history;
      this.boards = boards;
      this.beaten = beaten;
      this.ages = ages;
    }
  }

  /** Changes pushed at once; acknowledged with {@link Kept} under the number if that is not 0. */
  public static final class Changes implements Message {
    public final long number;
    public final List<Registration> registrations;
    public final List<Board> boards;
    public final long version;
    public final byte[] spec;
    public final List<String> evacuated;
    public final long evacuationMark;
    public final List<Trial> trials;
    public final long trialMark;

    public Changes(
        final long number, final List<Registration> registrations, final List<Board> boards) {
      this(number, registrations, boards, 0, null, null, 0, null, 0);
    }

    public Changes(
        final long number,
        final List<Registration> registrations,
        final List<Board> boards,
        final long version,
        final byte[] spec,
        final List<String> evacuated,
        final long evacuationMark,
        final List<Trial> trials,
        final long trialMark) {
      this.evacuated = evacuated;
      this.evacuationMark = evacuationMark;
      this.trials = trials;
      this.trialMark = trialMark;
      this.version = version;
      this.spec = spec;
      this.number = number;
      this.registrations = registrations;
      this.boards = boards;
    }
  }

  /**
   * Changes pushed under this number are on the sender's disk; it knows the roster of the number
   * given.
   */
  public static final class Kept implements Message {
    public final long number;
    public final long rosterNumber;

    public Kept(final long number) {
      this(number, 0);
    }

    public Kept(final long number, final long rosterNumber) {
      this.number = number;
      this.rosterNumber = rosterNumber;
    }
  }

  /**
   * An exchange asks another for what it holds beyond what the asker has: configuration,
   * evacuations, trials, registrations. It says so what it holds itself, and for how long from now
   * it will confirm no change.
   */
  public static final class StateRead implements Message {
    public final long number;
    public final long rosterNumber;
    public final long version;
    public final long evacuationMark;
    public final long trialMark;
    public final List<Long> buckets;
    public final long leaseMillis;

    /** Whether the asker lacks the claims of keys as well. */
    public final boolean claimsToo;

    public StateRead(
        final long number,
        final long rosterNumber,
        final long version,
        final long evacuationMark,
        final long trialMark,
        final List<Long> buckets,
        final long leaseMillis) {
      this(number, rosterNumber, version, evacuationMark, trialMark, buckets, leaseMillis, false);
    }

    /** A question that says whether claims of keys are wanted too. */
    public StateRead(
        final long number,
        final long rosterNumber,
        final long version,
        final long evacuationMark,
        final long trialMark,
        final List<Long> buckets,
        final long leaseMillis,
        final boolean claimsToo) {
      this.claimsToo = claimsToo;
      this.leaseMillis = leaseMillis;
      this.number = number;
      this.rosterNumber = rosterNumber;
      this.version = version;
      this.evacuationMark = evacuationMark;
      this.trialMark = trialMark;
      this.buckets = buckets;
    }
  }

  /**
   * What an exchange holds beyond what the asker has, whether it still learns what was acknowledged
   * before it came, how long ago it heard of a majority, and for how long from now it will confirm
   * no change, so that the asker may rely on this.
   */
  public static final class StateHeld implements Message {
    public final long number;
    public final Roster roster;
    public final boolean learning;
    public final long majorityAgeMillis;
    public final long version;
    public final byte[] spec;
    public final List<String> evacuated;
    public final long evacuationMark;
    public final List<Trial> trials;
    public final long trialMark;
    public final byte[] packed;
    public final long leaseMillis;

    /** The claims of keys, for an asker that lacks them. */
    public final List<KeyMessages.Claim> claims;

    public StateHeld(
        final long number,
        final Roster roster,
        final boolean learning,
        final long majorityAgeMillis,
        final long version,
        final byte[] spec,
        final List<String> evacuated,
        final long evacuationMark,
        final List<Trial> trials,
        final long trialMark,
        final byte[] packed,
        final long leaseMillis) {
      this(
          number,
          roster,
          learning,
          majorityAgeMillis,
          version,
          spec,
          evacuated,
          evacuationMark,
          trials,
          trialMark,
          packed,
          leaseMillis,
          null);
    }

    /** What is held, with the claims of keys. */
    public StateHeld(
        final long number,
        final Roster roster,
        final boolean learning,
        final long majorityAgeMillis,
        final long version,
        final byte[] spec,
        final List<String> evacuated,
        final long evacuationMark,
        final List<Trial> trials,
        final long trialMark,
        final byte[] packed,
        final long leaseMillis,
        final List<KeyMessages.Claim> claims) {
      this.claims = claims;
      this.leaseMillis = leaseMillis;
      this.number = number;
      this.roster = roster;
      this.learning = learning;
      this.majorityAgeMillis = majorityAgeMillis;
      this.version = version;
      this.spec = spec;
      this.evacuated = evacuated;
      this.evacuationMark = evacuationMark;
      this.trials = trials;
      this.trialMark = trialMark;
      this.packed = packed;
    }
  }

  /**
   * A switchboard tells of itself; at the opening of a stream also, by digests, which registrations
   * it has.
   */
  public static final class BoardState implements Message {
    public final Board board;
    public final List<Long> buckets;

    public BoardState(final Board board) {
      this(board, null);
    }

    public BoardState(final Board board, final List<Long> buckets) {
      this.buckets = buckets;
      this.board = board;
    }
  }

  /** What switchboards need to know: all of it at first, then what has changed. */
  public static final class View implements Message {
    public final long version;
    public final byte[] spec;
    public final boolean evacuationsGiven;
    public final List<String> evacuated;
    public final long evacuationMark;
    public final List<Registration> registrations;
    public final List<String> suspects;
    public final boolean suspectsGiven;
    public final int boards;
    public final List<Trial> trials;
    public final long trialMark;
    public final byte[] packed;

    public View(
        final long version,
        final byte[] spec,
        final boolean evacuationsGiven,
        final List<String> evacuated,
        final long evacuationMark,
        final List<Registration> registrations,
        final boolean suspectsGiven,
        final List<String> suspects,
        final int boards,
        final List<Trial> trials,
        final long trialMark) {
      this(
          version,
          spec,
          evacuationsGiven,
          evacuated,
          evacuationMark,
          registrations,
          suspectsGiven,
          suspects,
          boards,
          trials,
          trialMark,
          null);
    }

    public View(
        final long version,
        final byte[] spec,
        final boolean evacuationsGiven,
        final List<String> evacuated,
        final long evacuationMark,
        final List<Registration> registrations,
        final boolean suspectsGiven,
        final List<String> suspects,
        final int boards,
        final List<Trial> trials,
        final long trialMark,
        final byte[] packed) {
      this.packed = packed;
      this.trials = trials;
      this.trialMark = trialMark;
      this.version = version;
      this.spec = spec;
      this.evacuationsGiven = evacuationsGiven;
      this.evacuated = evacuated;
      this.evacuationMark = evacuationMark;
      this.registrations = registrations;
      this.suspectsGiven = suspectsGiven;
      this.suspects = suspects;
      this.boards = boards;
    }
  }

  /** A trial of a route's new version, as the frame keeps it. */
  public static final class Trial {
    public final String route;
    public final long number;
    public final long serial;
    public final String oldService;
    public final String newService;
    public final String token;
    public final List<Integer> stages;
    public final int stage;
    public final int leastWrites;
    public final double lateAllowance;
    public final int verdict;
    public final String reason;
    public final List<String> attempts;
    public final long writes;

    public Trial(
        final String route,
        final long number,
        final long serial,
        final String oldService,
        final String newService,
        final String token,
        final List<Integer> stages,
        final int stage,
        final int leastWrites,
        final double lateAllowance,
        final int verdict,
        final String reason,
        final List<String> attempts,
        final long writes) {
      this.route = route;
      this.number = number;
      this.serial = serial;
      this.oldService = oldService;
      this.newService = newService;
      this.token = token;
      this.stages = stages;
      this.stage = stage;
      this.leastWrites = leastWrites;
      this.lateAllowance = lateAllowance;
      this.verdict = verdict;
      this.reason = reason;
      this.attempts = attempts;
      this.writes = writes;
    }
  }

  /**
   * What one life of a switchboard has counted in one trial, from its beginning: counts only rise.
   */
  public static final class Tally {
    public final String route;
    public final long number;
    public final String board;
    public final long incarnation;
    public final List<Long> counts;
    public final String hold;
    public final List<String> attempts;

    public Tally(
        final String route,
        final long number,
        final String board,
        final long incarnation,
        final List<Long> counts,
        final String hold,
        final List<String> attempts) {
      this.route = route;
      this.number = number;
      this.board = board;
      this.incarnation = incarnation;
      this.counts = counts;
      this.hold = hold;
      this.attempts = attempts;
    }
  }

  /** Tallies, with digests of the attempts that were sent to the new version. */
  public static final class TrialReport implements Message {
    public final boolean relayed;
    public final List<Tally> tallies;
    public final List<Long> digests;

    public TrialReport(final boolean relayed, final List<Tally> tallies, final List<Long> digests) {
      this.relayed = relayed;
      this.tallies = tallies;
      this.digests = digests;
    }
  }

  /**
   * An exchange tells how long ago it heard of a majority, how many switchboards there are, and of
   * other exchanges with their places, as region/site.
   */
  public static final class Reach implements Message {
    public final long ageMillis;
    public final int boards;
    public final List<String> members;
    public final List<String> announcers;
    public final List<String> places;
    public final long contactMillis;

    public Reach(final long ageMillis, final int boards, final List<String> members) {
      this(ageMillis, boards, members, null, null, ageMillis);
    }

    public Reach(
        final long ageMillis,
        final int boards,
        final List<String> members,
        final List<String> announcers,
        final List<String> places) {
      this(ageMillis, boards, members, announcers, places, ageMillis);
    }

    public Reach(
        final long ageMillis,
        final int boards,
        final List<String> members,
        final List<String> announcers,
        final List<String> places,
        final long contactMillis) {
      this.contactMillis = contactMillis;
      this.places = places;
      this.announcers = announcers;
      this.ageMillis = ageMillis;
      this.boards = boards;
      this.members = members;
    }
  }
}
