package weldpoint.statestore;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import weldpoint.audit.AuditLog;
import weldpoint.audit.AuditReplica;
import weldpoint.audit.AuditStore;
import weldpoint.audit.HeapStore;
import weldpoint.statestore.Partition.Phase;
import weldpoint.statestore.Partition.Waiter;
import weldpoint.transport.Message;
import weldpoint.transport.Protocol;
import weldpoint.transport.RegisterVersion;
import weldpoint.transport.Serializer;
import weldpoint.transport.StateStoreMessages;
import weldpoint.transport.StateStoreMessages.RegisterEntry;
import weldpoint.transport.StateStoreMessages.Roster;
import weldpoint.transport.StateStoreMessages.Voter;
import weldpoint.transport.StoreMessages;

/**
 * The store's state and rules: registers under marks, ballots for the duty of writing a partition,
 * and the roster of voters. It knows neither threads nor clocks nor sockets: all that happens comes
 * in through its methods, with the time of a steady clock in milliseconds.
 */
public final class StateStoreReplica {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** How many partitions there are. */
  public static final int PARTITIONS = 8;

  private static final int SELF = 0;
  private static final int PROMISE = 1;
  static final int REGISTERS = 2;
  private static final int ROSTER = 3;
  static final int KNOWN = 4;
  static final long VACANT_MILLIS = 1000;
  private static final long PULSE_MILLIS = 250;
  static final long RESEND_MILLIS = 400;
  private static final long BALLOT_MILLIS = 900;
  private static final long PREPARE_MILLIS = 100;
  private static final long CANVASS_MILLIS = 180;
  private static final long HEARD_MILLIS = 600;
  private static final long SEEDS_MILLIS = 1000;
  private static final long CONTROL_MILLIS = 700;
  private static final long STALE_WORK_MILLIS = 1300;

  /**
   * A copy of a call is void so long after it was sent, as far as the frame's own clock can tell.
   */
  static final long COPY_MILLIS = 2500;

  private static final long DISK_STUCK_MILLIS = 700;
  private static final int HISTORY_BYTES = 96 << 10;
  private static final int VIEW_BYTES = 64 << 10;
  private static final int REPAIR_BYTES = 32 << 10;
  private static final int ENTRY_BYTES = 96;
  private static final long MOST_PAUSE_MILLIS = 6400;

  /** What the core does to the world. */
  public interface Environment {
    /** Sends to another frame, where there is a line to it. */
    void send(String address, Message message);

    /** Puts a record on disk; the callback runs, in order, once it is lasting. */
    void append(byte[] record, Runnable synced);

    /** The frames to keep lines to. */
    void peers(List<String> addresses);

    /** The time of day, in milliseconds; it is recorded and never used for order. */
    default long timeOfDay() {
      return 0;
    }
  }

  final String self;
  private final String site;
  private final String region;
  private final boolean mayVote;
  private final long keepMillis;
  private final long owner;
  final Random random;
  final Environment environment;
  private List<String> seeds;
  final Partition[] partitions = new Partition[PARTITIONS];
  final Map<String, Long> known = new HashMap<>();
  private final Membership membership;
  Roster roster = new Roster(0, List.of());
  long incarnation;
  boolean blank = true;
  private boolean left;
  private final GracefulLeave gracefulLeave = new GracefulLeave();
  private boolean diskTrouble;
  private long ballots;
  private long commits;
  AuditReplica audit;
  private final Recovery recovery = new Recovery(this);
  private AuditSequencer auditSequencer;
  private TakenVersions versions;
  private long retention = Long.MAX_VALUE;

  /** A core that has read nothing from disk yet. */
  public StateStoreReplica(
      final String self,
      final String site,
      final String region,
      final boolean mayVote,
      final int mostVoters,
      final long historyMillis,
      final long owner,
      final Random random,
      final List<String> seeds,
      final Environment environment) {
    this.self = self;
    this.site = site;
    this.region = region;
    this.mayVote = mayVote;
    this.membership = new Membership(self, mostVoters);
    this.keepMillis = historyMillis + 5000;
    this.owner = owner;
    this.random = random;
    this.seeds = seeds;
    this.environment = environment;
    for (int index = 0; index < PARTITIONS; index++) {
      partitions[index] = new Partition(index);
    }
    history(new HeapStore(), Long.MAX_VALUE, 1024);
  }

  /**
   * Keeps the history of routing changes in this store: so many entries at least, none above so
   * many bytes. To be called before the start.
   */
  public void history(final AuditStore store, final long entries, final int entryBytes) {
    history(store, entries, new AuditSequencer(entryBytes));
  }

  void history(final AuditStore store, final long entries, final AuditSequencer given) {
    retention = entries;
    auditSequencer = given;
    audit =
        new AuditReplica(
            new AuditLog(self, store, recovery::mayBeWhole), environment::send, new Random(owner));
    versions = new TakenVersions(auditSequencer, audit.log());
  }

  void versions(final TakenVersions given) {
    versions = given;
  }

  /** The partition of a register. */
  public static int partition(final String register) {
    final StoredValues.Kind kind = StoredValues.Kind.of(register);
    return kind.control() ? 0 : 1 + Math.floorMod(register.hashCode(), PARTITIONS - 1);
  }

  /** Takes another seed list. */
  public void seeds(final List<String> given) {
    seeds = given;
    tellPeers();
  }

  // ---- disk

  /**
   * Takes what the disk held and begins; records are empty where the disk is blank or counts as
   * lost.
   */
  public void start(final List<byte[]> records, final boolean firstStart, final long now) {
    for (final byte[] record : records) {
      replay(Serializer.deserialize(record, StoredValues.DiskRecord.class));
    }
    if (blank && firstStart) {
      blank = false;
      incarnation = 1;
      final List<Voter> voters = new ArrayList<>();
      for (int index = 0; index < seeds.size(); index++) {
        voters.add(
            new Voter(seeds.get(index), "", "", TokenAssignment.initial(index, seeds.size())));
      }
      roster = new Roster(1, voters);
    }
    for (final Partition partition : partitions) {
      partition.vacateAt = now + 60 + rank(partition) * 60L + random.nextInt(60);
    }
    membership.begins(now);
    tellPeers();
    LOGGER.atInfo().log(
        "frame %s starts: blank %s, roster %s of %s, incarnation %s",
        self, blank, roster.number, roster.voters.size(), incarnation);
  }

  private void replay(final StoredValues.DiskRecord record) {
    switch (record.type) {
      case SELF -> {
        blank = false;
        incarnation = record.incarnation;
      }
      case PROMISE -> {
        final Partition partition = partitions[record.partition];
        if (record.ballot.compareTo(partition.promised) > 0) {
          partition.promised = record.ballot;
        }
      }
      case REGISTERS ->
          partitions[record.partition].store(
              record.ballot,
              record.incarnation == 1,
              Protocol.list(record.entries),
              new ArrayList<>());
      case ROSTER -> {
        if (record.roster.number > roster.number) {
          roster = record.roster;
        }
      }
      case KNOWN -> {
        known.merge(record.address, record.incarnation, Math::max);
        lastingIncarnations.merge(record.address, record.incarnation, Math::max);
      }
      default ->
          throw new IllegalStateException(
              "disk record of type " + record.type + " is unknown; run the release that wrote it");
    }
  }

  /** The live state as records, each of a bounded size unless one register is larger. */
  public List<byte[]> view() {
    final List<byte[]> records = new ArrayList<>();
    if (!blank) {
      records.add(Serializer.serialize(selfRecord()));
    }
    for (final Partition partition : partitions) {
      records.addAll(partition.records(REGISTERS, VIEW_BYTES));
    }
    records.addAll(claims());
    return records;
  }

  StoredValues.DiskRecord selfRecord() {
    return new StoredValues.DiskRecord(SELF, 0, null, null, null, null, incarnation);
  }

  /** What is known of the others, the roster, and what was promised and established. */
  List<byte[]> claims() {
    final List<byte[]> records = new ArrayList<>();
    for (final Map.Entry<String, Long> entry : known.entrySet()) {
      records.add(
          Serializer.serialize(
              new StoredValues.DiskRecord(
                  KNOWN, 0, null, null, null, entry.getKey(), entry.getValue())));
    }
    records.add(
        Serializer.serialize(new StoredValues.DiskRecord(ROSTER, 0, null, null, roster, null, 0)));
    for (final Partition partition : partitions) {
      records.add(
          Serializer.serialize(
              new StoredValues.DiskRecord(
                  PROMISE, partition.number, partition.promised, null, null, null, 0)));
      records.add(
          Serializer.serialize(
              new StoredValues.DiskRecord(
                  REGISTERS, partition.number, partition.established, null, null, null, 1)));
    }
    return records;
  }

  void persist(final StoredValues.DiskRecord record, final Runnable synced) {
    environment.append(Serializer.serialize(record), synced);
  }

  // ---- peers

  void tellPeers() {
    final List<String> addresses = new ArrayList<>();
    for (final Voter voter : roster.voters) {
      addresses.add(voter.address);
    }
    for (final String seed : seeds) {
      if (!addresses.contains(seed)) {
        addresses.add(seed);
      }
    }
    for (final String joiner : membership.joiners()) {
      if (!addresses.contains(joiner)) {
        addresses.add(joiner);
      }
    }
    for (final String address : met) {
      if (blank && !addresses.contains(address)) {
        addresses.add(address);
      }
    }
    addresses.remove(self);
    environment.peers(addresses);
  }

  List<Long> knownIncarnations() {
    final List<Long> list = new ArrayList<>(roster.voters.size());
    for (final Voter voter : roster.voters) {
      list.add(incarnationOf(voter.address));
    }
    return list;
  }

  /** The incarnation under which a daemon is known here. */
  public long incarnationOf(final String address) {
    return address.equals(self) ? incarnation : known.getOrDefault(address, 1L);
  }

  private void learn(final long rosterNumber, final List<Long> incarnations) {
    if (rosterNumber != roster.number
        || Protocol.list(incarnations).size() != roster.voters.size()) {
      return;
    }
    for (int index = 0; index < incarnations.size(); index++) {
      final String address = roster.voters.get(index).address;
      if (!address.equals(self) && incarnations.get(index) > incarnationOf(address)) {
        known.put(address, incarnations.get(index));
        overtaken(index);
      }
    }
  }

  /**
   * Takes the incarnations that the holder of a duty learned from a majority, and puts them on disk
   * before what it established is there.
   */
  private void learnLasting(final List<Long> incarnations) {
    if (incarnations.size() != roster.voters.size()) {
      return;
    }
    for (int index = 0; index < incarnations.size(); index++) {
      final String address = roster.voters.get(index).address;
      final long given = incarnations.get(index);
      if (address.equals(self) && given > incarnation) {
        rise(given + 1);
      } else if (!address.equals(self)
          && given > 1
          && given >= incarnationOf(address)
          && lastingIncarnations.getOrDefault(address, 1L) < given) {
        lastingIncarnations.put(address, given);
        persist(new StoredValues.DiskRecord(KNOWN, 0, null, null, null, address, given), () -> {});
      }
    }
    learn(roster.number, incarnations);
  }

  /**
   * Others know a later incarnation of this daemon: it lost its disk more than once, and whom it
   * asked had not been voters then. They would never count it; what it has promised it keeps, so
   * that it may take a later one at any time.
   */
  private void rise(final long next) {
    if (next > rising) {
      rising = next;
      persist(
          new StoredValues.DiskRecord(SELF, 0, null, null, null, null, next),
          () -> {
            if (next > incarnation) {
              LOGGER.atInfo().log(
                  "frame %s is known under a later incarnation than %s and takes %s",
                  self, incarnation, next);
              incarnation = next;
            }
          });
    }
  }

  private long rising;
  private final Map<String, Long> lastingIncarnations = new HashMap<>();

  void overtaken(final int index) {
    for (final Partition partition : partitions) {
      if (partition.phase.ordinal() > Phase.CANVASSING.ordinal()
          && index < partition.promises.length) {
        partition.promises[index] = null;
        if (partition.phase != Phase.PREPARING && !restart.contains(partition)) {
          restart.add(partition);
        }
      }
    }
  }

  private final List<Partition> restart = new ArrayList<>();

  boolean votes() {
    return !blank && mayVote && roster.index(self) >= 0;
  }

  // ---- messages from frames

  /** A frame has said something; replies go back over the same line. */
  public void receive(
      final String from, final Message message, final Consumer<Message> reply, final long now) {
    if (left) {
      return;
    }
    membership.heard(from, now);
    meet(from);
    if (message instanceof StateStoreMessages.MembershipRequest) {
      recovery.onEnquire(from, (StateStoreMessages.MembershipRequest) message, reply);
    } else if (message instanceof StateStoreMessages.MembershipResponse) {
      recovery.onEnquired(from, (StateStoreMessages.MembershipResponse) message, now);
    } else if (message instanceof StateStoreMessages.RecoveryResponse) {
      recovery.onFetched(from, (StateStoreMessages.RecoveryResponse) message, now);
    } else if (audit.receive(from, message, reply)) {
      return;
    } else if (blank) {
      return;
    } else if (message instanceof StateStoreMessages.RosterUpdate) {
      adopt(((StateStoreMessages.RosterUpdate) message).roster, now);
    } else if (message instanceof StateStoreMessages.RecoveryRequest) {
      recovery.onFetch(from, (StateStoreMessages.RecoveryRequest) message, reply);
    } else if (message instanceof StateStoreMessages.Join) {
      onJoin((StateStoreMessages.Join) message, now);
    } else if (message instanceof StateStoreMessages.Resign) {
      onResign(from, (StateStoreMessages.Resign) message, reply, now);
    } else if (message instanceof StateStoreMessages.Released) {
      onReleased((StateStoreMessages.Released) message, now);
    } else if (message instanceof StateStoreMessages.PreVote) {
      onCanvass((StateStoreMessages.PreVote) message, reply, now);
    } else if (message instanceof StateStoreMessages.PreVoteResponse) {
      onCanvassed(from, (StateStoreMessages.PreVoteResponse) message, now);
    } else if (message instanceof StateStoreMessages.Prepare) {
      onPrepare((StateStoreMessages.Prepare) message, reply, now);
    } else if (message instanceof StateStoreMessages.Accept) {
      onAccept(from, (StateStoreMessages.Accept) message, reply, now);
    } else if (message instanceof StateStoreMessages.Heartbeat) {
      onPulse(from, (StateStoreMessages.Heartbeat) message, reply, now);
    } else if (message instanceof StateStoreMessages.Promise) {
      recovery.votes(from);
      onPromise(from, (StateStoreMessages.Promise) message, now);
    } else if (message instanceof StateStoreMessages.Accepted) {
      recovery.votes(from);
      onAccepted(from, (StateStoreMessages.Accepted) message, now);
    } else if (message instanceof StateStoreMessages.HeartbeatAck) {
      recovery.votes(from);
      onPulsed(from, (StateStoreMessages.HeartbeatAck) message, now);
    } else if (message instanceof StateStoreMessages.Refused) {
      onRefused(from, (StateStoreMessages.Refused) message, reply, now);
    }
    runRestarts(now);
  }

  /** A blank daemon's seeds may be blank too, or gone: whoever speaks to it is asked as well. */
  private void meet(final String from) {
    if (blank && !from.equals(self) && met.add(from)) {
      tellPeers();
    }
  }

  private final Set<String> met = new HashSet<>();

  private void runRestarts(final long now) {
    while (!restart.isEmpty()) {
      final Partition partition = restart.remove(restart.size() - 1);
      if (partition.phase != Phase.IDLE) {
        stepDown(partition, now);
        begin(partition, now);
      }
    }
  }

  /** The line to a frame has ended. */
  public void lineClosed(final String address, final long now) {
    membership.closed(address, now);
    recovery.lineClosed(address);
    final int index = roster.index(address);
    for (final Partition partition : partitions) {
      if (address.equals(partition.holder)
          && partition.phase.ordinal() <= Phase.CANVASSING.ordinal()) {
        partition.heardAt = Long.MIN_VALUE / 2;
        partition.vacateAt =
            Math.min(partition.vacateAt, now + 60 + rank(partition) * 120L + random.nextInt(60));
      }
      if (index >= 0 && index < partition.establishSent.length) {
        partition.establishSent[index] = false;
        partition.establishSentAt[index] = 0;
        partition.repairs[index] = new Partition.Repair();
        for (final RegisterState held : partition.held.values()) {
          held.sent[index] = -1;
          held.sentAt[index] = 0;
        }
      }
    }
  }

  private boolean agrees(
      final long theirs,
      final Consumer<Message> reply,
      final int partition,
      final RegisterVersion ballot) {
    if (theirs == roster.number) {
      return votes();
    }
    if (theirs < roster.number) {
      reply.accept(new StateStoreMessages.RosterUpdate(roster));
    } else {
      reply.accept(
          new StateStoreMessages.Refused(
              partition, ballot, RegisterVersion.NONE, roster.number, null));
    }
    return false;
  }

  private void onCanvass(
      final StateStoreMessages.PreVote canvass, final Consumer<Message> reply, final long now) {
    if (!agrees(canvass.roster, reply, canvass.partition, RegisterVersion.NONE)) {
      return;
    }
    final Partition partition = partitions[canvass.partition];
    if (partition.phase.ordinal() <= Phase.CANVASSING.ordinal()
        && now - partition.heardAt > HEARD_MILLIS) {
      reply.accept(
          new StateStoreMessages.PreVoteResponse(
              canvass.partition, canvass.number, partition.promised.round));
    }
  }

  private void onCanvassed(
      final String from, final StateStoreMessages.PreVoteResponse canvassed, final long now) {
    final Partition partition = partitions[canvassed.partition];
    final int place = roster.index(from);
    if (partition.phase != Phase.CANVASSING
        || partition.canvass != canvassed.number
        || place < 0
        || place >= partition.agreed.length) {
      return;
    }
    highest = Math.max(highest, canvassed.round);
    partition.agreed[place] = true;
    if (count(partition.agreed) >= roster.majority()) {
      begin(partition, now);
    }
  }

  private void canvass(final Partition partition, final long now) {
    partition.phase = Phase.CANVASSING;
    partition.canvass = ++canvasses;
    partition.canvassedAt = now;
    partition.agreed = new boolean[roster.voters.size()];
    broadcast(
        new StateStoreMessages.PreVote(partition.number, roster.number, partition.canvass), now);
  }

  private long canvasses;

  private void onPrepare(
      final StateStoreMessages.Prepare prepare, final Consumer<Message> reply, final long now) {
    if (!agrees(prepare.roster, reply, prepare.partition, prepare.ballot)) {
      return;
    }
    final Partition partition = partitions[prepare.partition];
    if (prepare.ballot.compareTo(partition.promised) < 0) {
      reply.accept(
          new StateStoreMessages.Refused(
              prepare.partition,
              prepare.ballot,
              partition.promised,
              roster.number,
              knownIncarnations()));
      return;
    }
    if (prepare.ballot.owner != owner
        && partition.phase != Phase.IDLE
        && !partition.ballot.sameBallot(prepare.ballot)) {
      stepDown(partition, now);
    }
    partition.promised = prepare.ballot;
    partition.vacateAt = Math.max(partition.vacateAt, now + BALLOT_MILLIS + random.nextInt(200));
    partition.heardAt = now;
    persist(
        new StoredValues.DiskRecord(PROMISE, partition.number, prepare.ballot, null, null, null, 0),
        () -> {
          if (partition.promised.equals(prepare.ballot) && roster.number == prepare.roster) {
            reply.accept(
                new StateStoreMessages.Promise(
                    partition.number,
                    prepare.ballot,
                    partition.established,
                    partition.entries(),
                    incarnation,
                    knownIncarnations()));
          }
        });
  }

  private void onAccept(
      final String from,
      final StateStoreMessages.Accept accept,
      final Consumer<Message> reply,
      final long now) {
    if (!agrees(accept.roster, reply, accept.partition, accept.ballot)) {
      return;
    }
    final Partition partition = partitions[accept.partition];
    final List<Long> counted = Protocol.list(accept.counted);
    for (int index = 0; index < counted.size() && index < roster.voters.size(); index++) {
      if (counted.get(index) > 0
          && counted.get(index) < incarnationOf(roster.voters.get(index).address)) {
        reply.accept(
            new StateStoreMessages.Refused(
                accept.partition,
                accept.ballot,
                partition.promised,
                roster.number,
                knownIncarnations()));
        return;
      }
    }
    if (accept.ballot.compareTo(partition.promised) < 0) {
      reply.accept(
          new StateStoreMessages.Refused(
              accept.partition,
              accept.ballot,
              partition.promised,
              roster.number,
              knownIncarnations()));
      return;
    }
    if (accept.ballot.owner != owner && partition.phase != Phase.IDLE) {
      stepDown(partition, now);
    }
    heardHolder(partition, from, now);
    learnLasting(Protocol.list(accept.known));
    final List<RegisterEntry> entries = Protocol.list(accept.entries);
    final List<RegisterEntry> lacking = new ArrayList<>();
    partition.store(accept.ballot, accept.establish, entries, lacking);
    final List<String> names = new ArrayList<>(entries.size());
    final List<Long> counts = new ArrayList<>(entries.size());
    final List<String> lackingNames = new ArrayList<>();
    final List<RegisterEntry> kept = new ArrayList<>(entries.size());
    for (final RegisterEntry entry : entries) {
      if (lacking.contains(entry)) {
        lackingNames.add(entry.name);
      } else {
        names.add(entry.name);
        counts.add(entry.mark.count);
        kept.add(entry);
      }
    }
    persist(
        new StoredValues.DiskRecord(
            REGISTERS, partition.number, accept.ballot, kept, null, null, accept.establish ? 1 : 0),
        () -> {
          if (roster.number == accept.roster) {
            reply.accept(
                new StateStoreMessages.Accepted(
                    partition.number,
                    accept.ballot,
                    accept.establish,
                    names,
                    counts,
                    lackingNames,
                    incarnation,
                    knownIncarnations()));
          }
        });
  }

  private void heardHolder(final Partition partition, final String from, final long now) {
    partition.holder = from;
    partition.heardAt = now;
    if (partition.phase == Phase.CANVASSING) {
      partition.phase = Phase.IDLE;
    }
    partition.vacateAt = now + VACANT_MILLIS + rank(partition) * 150L + random.nextInt(150);
  }

  private void onPulse(
      final String from,
      final StateStoreMessages.Heartbeat heartbeat,
      final Consumer<Message> reply,
      final long now) {
    final List<Integer> numbers = Protocol.list(heartbeat.partitions);
    if (numbers.isEmpty()
        || !agrees(heartbeat.roster, reply, numbers.get(0), heartbeat.ballots.get(0))) {
      return;
    }
    final List<Integer> standing = new ArrayList<>(numbers.size());
    final List<RegisterVersion> ballotsStanding = new ArrayList<>(numbers.size());
    for (int index = 0; index < numbers.size(); index++) {
      final Partition partition = partitions[numbers.get(index)];
      final RegisterVersion ballot = heartbeat.ballots.get(index);
      if (partition.promised.sameBallot(ballot)) {
        standing.add(partition.number);
        ballotsStanding.add(ballot);
        heardHolder(partition, from, now);
        membership.settled(partition.number, heartbeat.roster);
      } else if (ballot.compareTo(partition.promised) > 0) {
        heardHolder(partition, from, now);
        membership.settled(partition.number, heartbeat.roster);
      } else {
        reply.accept(
            new StateStoreMessages.Refused(
                partition.number, ballot, partition.promised, roster.number, knownIncarnations()));
      }
    }
    reply.accept(
        new StateStoreMessages.HeartbeatAck(
            standing,
            ballotsStanding,
            incarnation,
            knownIncarnations(),
            audit.log().lastDurable()));
  }

  private void onRefused(
      final String from,
      final StateStoreMessages.Refused refused,
      final Consumer<Message> reply,
      final long now) {
    if (refused.roster < roster.number) {
      environment.send(from, new StateStoreMessages.RosterUpdate(roster));
      return;
    }
    learn(refused.roster, refused.known);
    final Partition partition = partitions[refused.partition];
    if (partition.phase != Phase.IDLE
        && partition.ballot.sameBallot(refused.ballot)
        && refused.promised.compareTo(partition.ballot) > 0) {
      highest = Math.max(highest, refused.promised.round);
      stepDown(partition, now);
      partition.vacateAt = now + 300 + rank(partition) * 150L + random.nextInt(300);
    }
  }

  private long highest;

  private void onResign(
      final String from,
      final StateStoreMessages.Resign resign,
      final Consumer<Message> reply,
      final long now) {
    if (resign.leaving) {
      membership.leaves(from, now);
      release(from, reply);
    }
    for (final int number : Protocol.list(resign.partitions)) {
      final Partition partition = partitions[number];
      if (from.equals(partition.holder)
          && partition.phase.ordinal() <= Phase.CANVASSING.ordinal()) {
        partition.heardAt = Long.MIN_VALUE / 2;
        partition.vacateAt = now + rank(partition) * 120L + random.nextInt(20);
      }
    }
  }

  // ---- newcomers

  private void onJoin(final StateStoreMessages.Join join, final long now) {
    recovery.votes(join.voter.address);
    if (membership.asks(join.voter, roster, now)) {
      tellPeers();
    }
  }

  void adopt(final Roster news, final long now) {
    if (news == null || news.number <= roster.number || blank) {
      return;
    }
    persist(
        new StoredValues.DiskRecord(ROSTER, 0, null, null, news, null, 0),
        () -> {
          if (news.number <= roster.number) {
            return;
          }
          roster = news;
          membership.adopted(news, now);
          LOGGER.atInfo().log("frame %s adopts roster %s: %s", self, news.number, addresses(news));
          tellPeers();
          if (news.index(self) < 0) {
            resign(false, now);
          }
          for (final Partition partition : partitions) {
            final boolean held = partition.phase.ordinal() > Phase.CANVASSING.ordinal();
            if (held) {
              stepDown(partition, now);
            }
            if (votes() && held && !gracefulLeave.begun()) {
              begin(partition, now);
            }
          }
        });
  }

  private static List<String> addresses(final Roster roster) {
    final List<String> list = new ArrayList<>();
    for (final Voter voter : roster.voters) {
      list.add(voter.address);
    }
    return list;
  }

  // ---- duties

  private int rank(final Partition partition) {
    final int size = roster.voters.size();
    if (size == 0) {
      return 0;
    }
    final String best = bestRegion();
    final List<String> order = new ArrayList<>(size);
    for (final Voter voter : roster.voters) {
      if (voter.region.equals(best)) {
        order.add(voter.address);
      }
    }
    if (!order.isEmpty()) {
      java.util.Collections.rotate(order, partition.number);
    }
    for (final Voter voter : roster.voters) {
      if (!voter.region.equals(best)) {
        order.add(voter.address);
      }
    }
    final int index = order.indexOf(self);
    return index < 0 ? size : index;
  }

  private String bestRegion() {
    String best = "";
    int most = 0;
    for (final Voter voter : roster.voters) {
      int count = 0;
      for (final Voter other : roster.voters) {
        count += other.region.equals(voter.region) ? 1 : 0;
      }
      if (count > most || count == most && voter.region.compareTo(best) < 0) {
        most = count;
        best = voter.region;
      }
    }
    return best;
  }

  private void stepDown(final Partition partition, final long now) {
    partition.phase = Phase.IDLE;
    partition.holder = null;
    partition.vacateAt = now + 300 + random.nextInt(200);
    for (final Waiter waiter : partition.waiters) {
      waiter.work.reply.accept(redirect(waiter.work.call, partition));
    }
    partition.waiters.clear();
    partition.confirmOut = false;
    if (partition.number == 0) {
      controlParked.clear();
    }
    for (final RegisterState held : partition.held.values()) {
      for (final RegisterState.Proposal proposed : held.uponCommit) {
        proposed.work.reply.accept(
            new StoreMessages.StoreResponse(proposed.work.call.number, 504, 0, null, null));
      }
      for (final RegisterState.Work work : held.waiting) {
        work.reply.accept(redirect(work.call, partition));
      }
      for (final RegisterState.Work work : held.parked) {
        work.reply.accept(redirect(work.call, partition));
      }
    }
    partition.held = new LinkedHashMap<>();
  }

  private static StoreMessages.StoreResponse redirect(
      final StoreMessages.StoreRequest call, final Partition partition) {
    return new StoreMessages.StoreResponse(call.number, 0, 0, null, partition.holder);
  }

  private void begin(final Partition partition, final long now) {
    final int size = roster.voters.size();
    highest = Math.max(highest, partition.promised.round);
    highest = Math.max(highest, partition.ballot.round) + 1;
    partition.ballot = new RegisterVersion(highest, owner, 0);
    partition.phase = Phase.PREPARING;
    partition.startedAt = now;
    partition.promises = new StateStoreMessages.Promise[size];
    partition.establishAcked = new boolean[size];
    partition.establishSent = new boolean[size];
    partition.establishSentAt = new long[size];
    partition.pulsed = new long[size];
    partition.repairs = new Partition.Repair[size];
    Arrays.setAll(partition.repairs, place -> new Partition.Repair());
    partition.pulseCount = 0;
    partition.count = 0;
    partition.confirmOut = false;
    ballots++;
    partition.preparedAt = now;
    broadcast(
        new StateStoreMessages.Prepare(partition.number, roster.number, partition.ballot), now);
  }

  /**
   * Asks those again who have not promised: one that had not adopted the roster when it was asked
   * may have by now.
   */
  private void prepareAgain(final Partition partition, final long now) {
    if (now - partition.preparedAt < PREPARE_MILLIS) {
      return;
    }
    partition.preparedAt = now;
    for (int place = 0;
        place < partition.promises.length && place < roster.voters.size();
        place++) {
      if (partition.promises[place] == null) {
        send(
            roster.voters.get(place).address,
            new StateStoreMessages.Prepare(partition.number, roster.number, partition.ballot),
            now);
      }
    }
  }

  private void broadcast(final Message message, final long now) {
    for (final Voter voter : roster.voters) {
      send(voter.address, message, now);
    }
  }

  private void send(final String address, final Message message, final long now) {
    if (address.equals(self)) {
      loop.add(message);
      runLoop(now);
    } else {
      environment.send(address, message);
    }
  }

  private final java.util.ArrayDeque<Message> loop = new java.util.ArrayDeque<>();
  private boolean looping;
  private long lastNow;

  private void runLoop(final long now) {
    lastNow = Math.max(lastNow, now);
    if (looping) {
      return;
    }
    looping = true;
    try {
      while (!loop.isEmpty()) {
        receive(
            self,
            loop.poll(),
            answer -> {
              loop.add(answer);
              runLoop(lastNow);
            },
            now);
      }
    } finally {
      looping = false;
    }
  }

  private void onPromise(
      final String from, final StateStoreMessages.Promise promise, final long now) {
    final Partition partition = partitions[promise.partition];
    final int index = roster.index(from);
    if (partition.phase != Phase.PREPARING
        || !partition.ballot.equals(promise.ballot)
        || index < 0) {
      return;
    }
    learn(roster.number, promise.known);
    if (restart.contains(partition) || promise.incarnation < incarnationOf(from)) {
      return;
    }
    if (promise.incarnation > incarnationOf(from)) {
      known.put(from, promise.incarnation);
    }
    partition.promises[index] = promise;
    int count = 0;
    for (final StateStoreMessages.Promise one : partition.promises) {
      count += one == null ? 0 : 1;
    }
    if (count < roster.majority()) {
      return;
    }
    RegisterVersion floor = RegisterVersion.NONE;
    final Long[] counted = new Long[roster.voters.size()];
    Arrays.fill(counted, 0L);
    for (int place = 0; place < partition.promises.length; place++) {
      final StateStoreMessages.Promise one = partition.promises[place];
      if (one != null) {
        counted[place] = one.incarnation;
        if (one.established.compareTo(floor) > 0) {
          floor = one.established;
        }
      }
    }
    partition.counted = List.of(counted);
    final Map<String, RegisterEntry> best = new LinkedHashMap<>();
    for (final StateStoreMessages.Promise one : partition.promises) {
      if (one != null) {
        for (final RegisterEntry entry : Protocol.list(one.entries)) {
          final RegisterEntry before = best.get(entry.name);
          if (entry.mark.compareTo(floor) >= 0
              && (before == null || before.mark.compareTo(entry.mark) < 0)) {
            best.put(entry.name, entry);
          }
        }
      }
    }
    partition.held = new LinkedHashMap<>();
    for (final RegisterEntry entry : best.values()) {
      final RegisterState held =
          new RegisterState(entry.name, keepMillis, partition.ballot.round, versions);
      held.proposed = held.kind.decode(entry.whole);
      held.audit = entry.audit;
      held.source = entry.mark;
      held.mark = partition.ballot.at(++partition.count);
      held.establishedMark = held.mark;
      Arrays.fill(held.acked, -1);
      Arrays.fill(held.sent, -1);
      partition.held.put(entry.name, held);
    }
    if (partition.number == 0) {
      auditSequencer.begin(partition.held.values());
    }
    partition.phase = Phase.ESTABLISHING;
    partition.startedAt = now;
    for (int place = 0; place < roster.voters.size(); place++) {
      if (!recovery.fetches(roster.voters.get(place).address)) {
        sendEstablish(partition, place, now);
      }
    }
  }

  private void sendEstablish(final Partition partition, final int place, final long now) {
    final List<RegisterEntry> entries = new ArrayList<>(partition.held.size());
    for (final RegisterState held : partition.held.values()) {
      if (held.proposed != null) {
        entries.add(
            new RegisterEntry(
                held.name,
                held.mark,
                RegisterVersion.NONE,
                null,
                held.kind.encode(held.proposed),
                held.audit));
        held.sent[place] = held.mark.count;
        held.sentAt[place] = now;
      }
    }
    partition.establishSent[place] = true;
    partition.establishSentAt[place] = now;
    send(
        roster.voters.get(place).address,
        new StateStoreMessages.Accept(
            partition.number,
            roster.number,
            partition.ballot,
            true,
            partition.counted,
            entries,
            knownIncarnations()),
        now);
  }

  private void onAccepted(
      final String from, final StateStoreMessages.Accepted accepted, final long now) {
    final Partition partition = partitions[accepted.partition];
    final int place = roster.index(from);
    if (partition.phase != Phase.ESTABLISHING && partition.phase != Phase.SERVING
        || !partition.ballot.sameBallot(accepted.ballot)
        || place < 0) {
      return;
    }
    learn(roster.number, accepted.known);
    if (restart.contains(partition) || accepted.incarnation != incarnationOf(from)) {
      return;
    }
    final List<String> names = Protocol.list(accepted.names);
    for (int index = 0; index < names.size(); index++) {
      final RegisterState held = partition.held.get(names.get(index));
      if (held != null) {
        held.acked[place] = Math.max(held.acked[place], accepted.counts.get(index));
      }
    }
    if (accepted.establish) {
      partition.establishAcked[place] = true;
    }
    partition.repairs[place].pause = 0;
    for (final String name : Protocol.list(accepted.lacking)) {
      final RegisterState held = partition.held.get(name);
      if (held != null) {
        sendWhole(partition, held, place, now);
      }
    }
    if (partition.phase == Phase.ESTABLISHING) {
      if (count(partition.establishAcked) >= roster.majority()) {
        serve(partition, now);
      }
    } else {
      for (final String name : names) {
        final RegisterState held = partition.held.get(name);
        if (held != null) {
          tryCommit(partition, held, now);
        }
      }
    }
  }

  private static int count(final boolean[] flags) {
    int count = 0;
    for (final boolean flag : flags) {
      count += flag ? 1 : 0;
    }
    return count;
  }

  private void serve(final Partition partition, final long now) {
    partition.phase = Phase.SERVING;
    partition.servedAt = now;
    partition.recent.clear();
    partition.holder = self;
    partition.betterSince = 0;
    membership.settled(partition.number, roster.number);
    for (final RegisterState held : partition.held.values()) {
      held.committed = held.proposed;
      if (held.kind == StoredValues.Kind.LOCK) {
        held.expiresAt = now + ((StoredValues.Lock) held.committed).holdMillis;
      } else if (held.kind == StoredValues.Kind.GROUP) {
        for (final StoredValues.Put put : ((StoredValues.CellGroup) held.committed).history) {
          held.putTimes.add(new long[] {put.revision, now});
        }
      }
    }
    LOGGER.atInfo().log(
        "frame %s serves partition %s under ballot %s, roster %s, registers %s",
        self, partition.number, partition.ballot, roster.number, partition.held.size());
    if (partition.number == 0) {
      audit.replicate(auditSequencer.serve(), others());
      final RegisterState held = partition.held.get("roster");
      if (held != null && ((Roster) held.committed).number > roster.number) {
        announce((Roster) held.committed, now);
      }
    }
    pulse(partition, now);
  }

  private void announce(final Roster news, final long now) {
    final List<String> told = new ArrayList<>(addresses(roster));
    for (final String address : addresses(news)) {
      if (!told.contains(address)) {
        told.add(address);
      }
    }
    for (final String address : told) {
      if (!address.equals(self)) {
        environment.send(address, new StateStoreMessages.RosterUpdate(news));
      }
    }
    adopt(news, now);
  }

  private void pulse(final Partition partition, final long now) {
    partition.pulseCount++;
    partition.pulsedAt = now;
    broadcast(
        new StateStoreMessages.Heartbeat(
            roster.number,
            List.of(partition.number),
            List.of(partition.ballot.at(partition.pulseCount))),
        now);
  }

  private void pulseAll(final long now) {
    final List<Integer> numbers = new ArrayList<>();
    final List<RegisterVersion> marks = new ArrayList<>();
    if (now - pulsedAllAt < PULSE_MILLIS) {
      return;
    }
    pulsedAllAt = now;
    for (final Partition partition : partitions) {
      if (partition.phase == Phase.SERVING && now - partition.pulsedAt >= PULSE_MILLIS / 2) {
        partition.pulseCount++;
        partition.pulsedAt = now;
        numbers.add(partition.number);
        marks.add(partition.ballot.at(partition.pulseCount));
      }
    }
    if (!numbers.isEmpty()) {
      broadcast(new StateStoreMessages.Heartbeat(roster.number, numbers, marks), now);
    }
  }

  private long pulsedAllAt;

  private void onPulsed(
      final String from, final StateStoreMessages.HeartbeatAck ack, final long now) {
    final int place = roster.index(from);
    final List<Integer> numbers = Protocol.list(ack.partitions);
    for (int index = 0; index < numbers.size(); index++) {
      final Partition partition = partitions[numbers.get(index)];
      if (partition.phase.ordinal() > Phase.CANVASSING.ordinal()
          && partition.ballot.sameBallot(ack.ballots.get(index))) {
        learn(roster.number, ack.known);
        break;
      }
    }
    if (place < 0 || ack.incarnation != incarnationOf(from)) {
      return;
    }
    for (final Partition partition : partitions) {
      if (partition.phase == Phase.SERVING) {
        partition.repairs[place].heardAt = now;
      }
    }
    if (partitions[0].phase == Phase.SERVING) {
      auditSequencer.logged(place, ack.audited);
      auditSequencer.settle(roster);
    }
    for (int index = 0; index < numbers.size(); index++) {
      final Partition partition = partitions[numbers.get(index)];
      final RegisterVersion mark = ack.ballots.get(index);
      if (partition.phase == Phase.SERVING
          && partition.ballot.sameBallot(mark)
          && !restart.contains(partition)) {
        partition.pulsed[place] = Math.max(partition.pulsed[place], mark.count);
        confirmed(partition, now);
      }
    }
  }

  private void confirmed(final Partition partition, final long now) {
    final long[] sorted = partition.pulsed.clone();
    Arrays.sort(sorted);
    final long reached = sorted[sorted.length - roster.majority()];
    if (reached >= partition.pulseCount) {
      partition.confirmOut = false;
    }
    if (!partition.waiters.isEmpty()) {
      final List<Waiter> due = new ArrayList<>();
      partition.waiters.removeIf(waiter -> waiter.needed <= reached && due.add(waiter));
      for (final Waiter waiter : due) {
        waiter.then.run();
      }
      if (!partition.waiters.isEmpty()
          && !partition.confirmOut
          && partition.phase == Phase.SERVING) {
        partition.confirmOut = true;
        pulse(partition, now);
      }
    }
  }

  private void confirm(
      final Partition partition,
      final long now,
      final RegisterState.Work work,
      final Runnable then) {
    if (!partition.confirmOut) {
      partition.confirmOut = true;
      partition.waiters.add(new Waiter(partition.pulseCount + 1, now, work, then));
      pulse(partition, now);
    } else {
      partition.waiters.add(new Waiter(partition.pulseCount + 1, now, work, then));
    }
  }

  // ---- calls

  /** A call from an exchange. */
  public void call(
      final StoreMessages.StoreRequest call,
      final Consumer<StoreMessages.StoreResponse> line,
      final long now) {
    final Consumer<StoreMessages.StoreResponse> reply =
        answer -> line.accept(answer.to(call.caller));
    final StoreOperation operation = StoreOperation.of(call.deed);
    if (operation == null) {
      reply.accept(new StoreMessages.StoreResponse(call.number, 400, 0, null, null));
      return;
    }
    if (operation == StoreOperation.HISTORY_READ) {
      reply.accept(history(call));
      return;
    }
    final String register = operation.register(call.name);
    final Partition partition = partitions[partition(register)];
    if (partition.phase != Phase.SERVING || gracefulLeave.begun()) {
      reply.accept(
          new StoreMessages.StoreResponse(
              call.number, 0, 0, null, self.equals(partition.holder) ? null : partition.holder));
      return;
    }
    if (operation == StoreOperation.CONTROL) {
      control(partition, call, reply, now);
      return;
    }
    if (operation == StoreOperation.HISTORY_HEAD) {
      head(partition, call, reply, now);
      return;
    }
    final RegisterState held = held(partition, register);
    held.waiting.add(new RegisterState.Work(call, operation, reply, now));
    drain(partition, held, now);
  }

  private RegisterState held(final Partition partition, final String register) {
    return partition.held.computeIfAbsent(
        register,
        name -> {
          final RegisterState held =
              new RegisterState(name, keepMillis, partition.ballot.round, versions);
          held.mark = partition.ballot;
          Arrays.fill(held.acked, -1);
          Arrays.fill(held.sent, -1);
          return held;
        });
  }

  private static StoreMessages.StoreResponse answer(
      final RegisterState.Work work, final Decision decision) {
    return new StoreMessages.StoreResponse(
        work.call.number, decision.status, decision.first, decision.body, null);
  }

  private void drain(final Partition partition, final RegisterState held, final long now) {
    final boolean waits = held.kind.audited() && auditSequencer.busy(held);
    Object value = held.committed;
    boolean changed = false;
    final List<StoredValues.Put> puts = new ArrayList<>();
    final List<RegisterState.Work> later = new ArrayList<>();
    while (!held.waiting.isEmpty()) {
      final RegisterState.Work work = held.waiting.poll();
      if (work.operation == StoreOperation.CELL_READ
          || work.operation == StoreOperation.SPEC_READ
          || work.operation == StoreOperation.WATCH) {
        look(partition, held, work, now);
        continue;
      }
      if (held.inFlight || waits) {
        later.add(work);
        continue;
      }
      if (late(work.call, now)
          || work.operation == StoreOperation.LOCK_BEGIN && !datable(partition, work.call, now)) {
        work.reply.accept(redirect(work.call, partition));
        continue;
      }
      final Decision decision = decide(partition, held, value, work, now);
      if (decision.way == Decision.Way.WRITE) {
        if (held.kind.audited()) {
          auditSequencer.add(
              auditSequencer.draft(
                  work.operation,
                  work.call,
                  value,
                  decision.value,
                  work.call.first,
                  controlMark(partition, held, decision.value),
                  environment.timeOfDay()));
        }
        changed = true;
        value = decision.value;
        if (decision.put != null) {
          puts.add(decision.put);
        }
        held.uponCommit.add(new RegisterState.Proposal(work, decision));
      } else if (changed) {
        held.uponCommit.add(new RegisterState.Proposal(work, decision));
      } else {
        confirm(partition, now, work, () -> work.reply.accept(answer(work, decision)));
      }
    }
    held.waiting.addAll(later);
    if (changed) {
      propose(partition, held, value, puts, now);
    }
  }

  /** Whether a copy was under way for too long; nothing is done for it. */
  private static boolean late(final StoreMessages.StoreRequest call, final long now) {
    return call.clock != null && now - call.clock > COPY_MILLIS;
  }

  /**
   * Whether a copy can be told to be of a call that was first sent before this duty began, or after
   * that.
   */
  private static boolean datable(
      final Partition partition, final StoreMessages.StoreRequest call, final long now) {
    return call.clock == null
        || call.clock - call.age >= partition.servedAt
        || older(partition, call, now);
  }

  /**
   * Whether a call was surely sent before this duty began, so that the holder before may have
   * carried it out.
   */
  private static boolean older(
      final Partition partition, final StoreMessages.StoreRequest call, final long now) {
    return call.age > 0 && now - call.age < partition.servedAt;
  }

  private Decision decide(
      final Partition partition,
      final RegisterState held,
      final Object value,
      final RegisterState.Work work,
      final long now) {
    if (!work.operation.once()) {
      return work.operation.decide(held, value, work.call, now);
    }
    final Decision before = partition.recent.before(work.call);
    if (before != null) {
      return before;
    }
    if (work.operation == StoreOperation.LOCK_BEGIN && older(partition, work.call, now)
        || partition.recent.full(now)) {
      return Decision.confirm(504, 0);
    }
    final Decision decision = work.operation.decide(held, value, work.call, now);
    partition.recent.remember(work.call, decision, now);
    return decision;
  }

  private void look(
      final Partition partition,
      final RegisterState held,
      final RegisterState.Work work,
      final long now) {
    final Decision decision = work.operation.decide(held, held.committed, work.call, now);
    switch (decision.way) {
      case READ ->
          confirm(
              partition,
              now,
              work,
              () ->
                  work.reply.accept(answer(work, work.operation.read(held.committed, work.call))));
      case PARK -> held.parked.add(work);
      case CONFIRM ->
          confirm(partition, now, work, () -> work.reply.accept(answer(work, decision)));
      default -> work.reply.accept(answer(work, decision));
    }
  }

  private void propose(
      final Partition partition,
      final RegisterState held,
      final Object value,
      final List<StoredValues.Put> puts,
      final long now) {
    final RegisterVersion base = held.mark;
    final boolean fresh = held.committed == null;
    if (held.kind.audited()) {
      auditSequencer.propose(held);
    }
    held.inFlight = true;
    held.proposed = value;
    held.mark = partition.ballot.at(++partition.count);
    byte[] whole = null;
    byte[] difference = null;
    for (int place = 0; place < roster.voters.size(); place++) {
      if (recovery.fetches(roster.voters.get(place).address)) {
        continue;
      }
      final boolean follows = !puts.isEmpty() && !fresh && held.sent[place] == base.count;
      final RegisterEntry entry;
      if (follows) {
        if (difference == null) {
          difference =
              Serializer.serialize(
                  new StoredValues.GroupDelta(puts, ((StoredValues.CellGroup) value).floor));
        }
        entry = new RegisterEntry(held.name, held.mark, base, difference, null);
      } else {
        if (whole == null) {
          whole = held.kind.encode(value);
        }
        entry =
            new RegisterEntry(held.name, held.mark, RegisterVersion.NONE, null, whole, held.audit);
      }
      held.sent[place] = held.mark.count;
      held.sentAt[place] = now;
      send(
          roster.voters.get(place).address,
          new StateStoreMessages.Accept(
              partition.number,
              roster.number,
              partition.ballot,
              false,
              partition.counted,
              List.of(entry)),
          now);
    }
  }

  private void sendWhole(
      final Partition partition, final RegisterState held, final int place, final long now) {
    if (held.proposed == null) {
      return;
    }
    held.sent[place] = held.mark.count;
    held.sentAt[place] = now;
    send(
        roster.voters.get(place).address,
        new StateStoreMessages.Accept(
            partition.number,
            roster.number,
            partition.ballot,
            false,
            partition.counted,
            List.of(
                new RegisterEntry(
                    held.name,
                    held.mark,
                    RegisterVersion.NONE,
                    null,
                    held.kind.encode(held.proposed),
                    held.audit))),
        now);
  }

  private void tryCommit(final Partition partition, final RegisterState held, final long now) {
    if (!held.inFlight) {
      return;
    }
    int count = 0;
    for (int place = 0; place < roster.voters.size(); place++) {
      count += held.acked[place] >= held.mark.count ? 1 : 0;
    }
    if (count < roster.majority()) {
      return;
    }
    held.inFlight = false;
    held.committed = held.proposed;
    commits++;
    if (held.kind == StoredValues.Kind.LOCK) {
      held.expiresAt =
          Math.max(held.expiresAt, now + ((StoredValues.Lock) held.committed).holdMillis);
      if (((StoredValues.Lock) held.committed).owner.isEmpty()) {
        held.expiresAt = 0;
      }
    } else if (held.kind == StoredValues.Kind.GROUP) {
      final StoredValues.CellGroup group = (StoredValues.CellGroup) held.committed;
      final long last = held.putTimes.isEmpty() ? 0 : held.putTimes.peekLast()[0];
      for (final StoredValues.Put put : group.history) {
        if (put.revision > last) {
          held.putTimes.add(new long[] {put.revision, now});
        }
      }
    }
    final List<RegisterState.Proposal> answers = new ArrayList<>(held.uponCommit);
    held.uponCommit.clear();
    for (final RegisterState.Proposal one : answers) {
      one.work.reply.accept(answer(one.work, one.decision));
    }
    if (!held.parked.isEmpty()) {
      final List<RegisterState.Work> parked = new ArrayList<>(held.parked);
      held.parked.clear();
      for (final RegisterState.Work work : parked) {
        look(partition, held, work, now);
      }
    }
    if (partition.number == 0) {
      if (held.kind == StoredValues.Kind.ROSTER) {
        announce((Roster) held.committed, now);
        return;
      }
      wakeControl(partition, now);
      if (held.kind.audited()) {
        audit.replicate(auditSequencer.commit(held), others());
        for (final RegisterState other : new ArrayList<>(partition.held.values())) {
          if (other != held && other.kind.audited() && !other.waiting.isEmpty()) {
            drain(partition, other, now);
          }
        }
      }
    }
    drain(partition, held, now);
  }

  // ---- history

  /** Which number all evacuations and trials together are under. */
  private static long controlMark(
      final Partition partition, final RegisterState changing, final Object value) {
    long mark = 0;
    for (final RegisterState held : partition.held.values()) {
      mark += StoredValues.serial(held.kind, held == changing ? value : held.committed);
    }
    return mark;
  }

  private List<String> others() {
    final List<String> others = new ArrayList<>(addresses(roster));
    for (final String joiner : membership.joiners()) {
      if (!others.contains(joiner)) {
        others.add(joiner);
      }
    }
    others.remove(self);
    return others;
  }

  /**
   * The peers with whom the history is reconciled: the voters, and the seeds where no voter is
   * known.
   */
  private List<String> auditPeers() {
    final List<String> peers = others();
    if (peers.isEmpty()) {
      peers.addAll(seeds);
      peers.remove(self);
    }
    return peers;
  }

  /** Answers from what is here, whoever holds the duty: entries from first on, second at most. */
  private StoreMessages.StoreResponse history(final StoreMessages.StoreRequest call) {
    final AuditLog log = audit.log();
    final List<byte[]> entries = new ArrayList<>();
    int bytes = 0;
    final long from = Math.max(call.first, log.base() + 1);
    for (long sequence = from;
        sequence <= log.last() && entries.size() < call.second && bytes < HISTORY_BYTES;
        sequence++) {
      final byte[] entry = log.read(sequence);
      if (entry == null) {
        break;
      }
      bytes += entry.length;
      entries.add(entry);
    }
    return new StoreMessages.StoreResponse(
        call.number,
        200,
        log.last(),
        Serializer.serialize(
            new StoredValues.HistoryPart(
                log.base(), log.last(), log.digest(), log.conflicts(), blank, from, entries)),
        null);
  }

  private void head(
      final Partition partition,
      final StoreMessages.StoreRequest call,
      final Consumer<StoreMessages.StoreResponse> reply,
      final long now) {
    final RegisterState.Work work =
        new RegisterState.Work(call, StoreOperation.HISTORY_HEAD, reply, now);
    confirm(
        partition,
        now,
        work,
        () ->
            reply.accept(
                new StoreMessages.StoreResponse(
                    call.number,
                    200,
                    auditSequencer.decided(),
                    auditSequencer
                        .decidedDigest()
                        .getBytes(java.nio.charset.StandardCharsets.UTF_8),
                    null)));
  }

  /**
   * Proposes, where nothing else is under way, what the history itself needs: its first entry in an
   * older store, and trimming.
   */
  private void keepHistory(final Partition partition, final long now) {
    auditSequencer.settle(roster);
    if (!auditSequencer.idle()) {
      return;
    }
    final RegisterState held = held(partition, StoredValues.Kind.AUDIT.register(""));
    final RegisterState spec = partition.held.get(StoredValues.Kind.SPEC.register(""));
    if (auditSequencer.decided() == 0) {
      if (spec != null && spec.committed != null) {
        auditSequencer.add(
            auditSequencer.upgrade(
                (StoredValues.StoredConfiguration) spec.committed, self, environment.timeOfDay()));
        propose(partition, held, new StoredValues.Retention(0), List.of(), now);
      }
      return;
    }
    final AuditLog log = audit.log();
    final long slack = Math.max(16, retention / 10);
    final long through = auditSequencer.decided() - retention;
    if (retention < Long.MAX_VALUE / 2
        && auditSequencer.decided() - log.base() > retention + slack
        && log.last() == auditSequencer.decided()
        && through <= auditSequencer.settled(roster)) {
      final String digest = log.digestAt(through);
      if (digest != null) {
        auditSequencer.add(
            auditSequencer.retention(through, digest, self, environment.timeOfDay()));
        propose(partition, held, new StoredValues.Retention(through), List.of(), now);
      }
    }
  }

  // ---- control state for exchanges

  private final List<RegisterState.Work> controlParked = new ArrayList<>();

  private void control(
      final Partition partition,
      final StoreMessages.StoreRequest call,
      final Consumer<StoreMessages.StoreResponse> reply,
      final long now) {
    final RegisterState.Work work =
        new RegisterState.Work(call, StoreOperation.CONTROL, reply, now);
    confirm(
        partition,
        now,
        work,
        () -> {
          if (!tellControl(partition, work, false)) {
            controlParked.add(work);
          }
        });
  }

  private boolean tellControl(
      final Partition partition, final RegisterState.Work work, final boolean always) {
    final ControlView view = new ControlView(partition.held.values());
    if (!always && !view.newsFor(work.call)) {
      return false;
    }
    final StoredValues.ControlSnapshot control = view.answer(work.call, roster);
    work.reply.accept(
        new StoreMessages.StoreResponse(
            work.call.number, 200, view.version(), Serializer.serialize(control), null));
    return true;
  }

  private void wakeControl(final Partition partition, final long now) {
    final List<RegisterState.Work> parked = new ArrayList<>(controlParked);
    controlParked.clear();
    for (final RegisterState.Work work : parked) {
      if (!tellControl(partition, work, false)) {
        controlParked.add(work);
      }
    }
  }

  // ---- time

  /**
   * Tells how the disk fares: for how long the present write has lasted, and whether it refuses
   * writes.
   */
  public void disk(final long busyMillis, final boolean refusing, final long now) {
    final boolean trouble = refusing || busyMillis > DISK_STUCK_MILLIS;
    if (trouble && !diskTrouble) {
      LOGGER.atWarning().log(
          "frame %s gives its duties up: its disk has hung for %s ms or refuses writes",
          self, busyMillis);
      resign(false, now);
    }
    diskTrouble = trouble;
  }

  /**
   * Gives all duties up because the process ends, and stays a voter until the others hold without
   * it all that this daemon counted for, or too long has passed; then the deed runs.
   */
  public void leave(final Runnable gone, final long now) {
    gracefulLeave.begin(gone, roster.number, now);
    resign(true, now);
    if (!votes()) {
      depart(now);
    }
  }

  private void depart(final long now) {
    if (!gracefulLeave.begun() || left) {
      return;
    }
    if (votes() && !gracefulLeave.released()) {
      if (!gracefulLeave.late(now)) {
        return;
      }
      LOGGER.atWarning().log(
          "frame %s leaves although partitions %s may be on too few other disks: no holder has said within %s ms that a majority has them without it; bring it back with its disk, or replace it, before another voter is lost",
          self, gracefulLeave.open(), GracefulLeave.MOST_MILLIS);
    }
    resign(true, now);
    left = true;
    gracefulLeave.gone().run();
  }

  /**
   * Tells a voter that leaves which partitions served here are on a majority of disks without it.
   */
  private void release(final String from, final Consumer<Message> reply) {
    final int place = roster.index(from);
    final List<Integer> numbers = new ArrayList<>();
    for (final Partition partition : partitions) {
      if (partition.phase == Phase.SERVING
          && !restart.contains(partition)
          && (place < 0 || heldWithout(partition, place))) {
        numbers.add(partition.number);
      }
    }
    if (!numbers.isEmpty()) {
      reply.accept(new StateStoreMessages.Released(roster.number, numbers));
    }
  }

  private boolean heldWithout(final Partition partition, final int leaver) {
    if (partition.number == 0
        && auditSequencer.settledWithout(roster, leaver) < auditSequencer.decided()) {
      return false;
    }
    for (final RegisterState held : partition.held.values()) {
      int count = 0;
      for (int place = 0; place < roster.voters.size(); place++) {
        count +=
            place != leaver
                    && partition.establishAcked[place]
                    && held.acked[place] >= held.mark.count
                ? 1
                : 0;
      }
      if (count < roster.majority() && held.proposed != null) {
        return false;
      }
    }
    return true;
  }

  private void onReleased(final StateStoreMessages.Released released, final long now) {
    if (gracefulLeave.begun() && released.roster >= gracefulLeave.roster()) {
      gracefulLeave.released(Protocol.list(released.partitions));
      depart(now);
    }
  }

  private void resign(final boolean ending, final long now) {
    final List<Integer> numbers = new ArrayList<>();
    for (final Partition partition : partitions) {
      if (partition.phase.ordinal() > Phase.CANVASSING.ordinal()) {
        numbers.add(partition.number);
        stepDown(partition, now);
        partition.vacateAt = now + 3000;
      }
    }
    if (ending || !numbers.isEmpty()) {
      for (final Voter voter : roster.voters) {
        if (!voter.address.equals(self)) {
          environment.send(voter.address, new StateStoreMessages.Resign(ending, numbers));
        }
      }
    }
  }

  /** Time has passed; to be called every few tens of milliseconds. */
  public void tick(final long now) {
    if (left) {
      return;
    }
    if (gracefulLeave.begun()) {
      depart(now);
      if (left) {
        return;
      }
      if (gracefulLeave.again(now)) {
        resign(true, now);
      }
    }
    final int place = roster.index(self);
    if (blank || place < 0 || roster.voters.get(place).site.isEmpty()) {
      outsider(now);
    }
    if (blank) {
      recovery.tick(now);
      return;
    }
    runRestarts(now);
    pulseAll(now);
    for (final Partition partition : partitions) {
      switch (partition.phase) {
        case IDLE -> {
          if (votes() && !diskTrouble && !gracefulLeave.begun() && now >= partition.vacateAt) {
            canvass(partition, now);
          }
        }
        case CANVASSING -> {
          if (now - partition.canvassedAt > CANVASS_MILLIS) {
            partition.phase = Phase.IDLE;
            partition.vacateAt = Math.max(partition.vacateAt, now + random.nextInt(80));
          }
        }
        case PREPARING, ESTABLISHING -> {
          if (now - partition.startedAt > BALLOT_MILLIS) {
            stepDown(partition, now);
            partition.vacateAt = now + rank(partition) * 100L + random.nextInt(300);
          } else if (partition.phase == Phase.PREPARING) {
            prepareAgain(partition, now);
          }
        }
        default -> {
          resend(partition, now);
          expire(partition, now);
          handOver(partition, now);
        }
      }
    }
    audit.tick(auditPeers(), now);
    if (partitions[0].phase == Phase.SERVING) {
      keepHistory(partitions[0], now);
      changeRoster(now);
      tellSeeds(now);
    }
  }

  /**
   * Brings voters up to date that lack something: in parts of a bounded size, the next once one was
   * acknowledged, and nothing to those who answer no pulse. A value that the establishing took over
   * as it was goes as its old mark: who has it under that one needs no more. The partition counts
   * as established at a voter once all of it is there.
   */
  private void resend(final Partition partition, final long now) {
    for (int place = 0; place < roster.voters.size(); place++) {
      final Partition.Repair repair = partition.repairs[place];
      if (repair.heardAt <= repair.sentAt || now - repair.sentAt <= repair.pause) {
        continue;
      }
      final List<RegisterEntry> entries = new ArrayList<>();
      boolean whole = true;
      int bytes = 0;
      for (final RegisterState held : partition.held.values()) {
        if (held.proposed == null || held.acked[place] >= held.mark.count) {
          continue;
        }
        whole &= held.acked[place] >= 0;
        if (bytes < REPAIR_BYTES && now - held.sentAt[place] > RESEND_MILLIS) {
          final boolean renamed = held.acked[place] < 0 && held.mark.equals(held.establishedMark);
          final byte[] value = renamed ? StoredValues.UNCHANGED : held.kind.encode(held.proposed);
          bytes +=
              held.name.length()
                  + ENTRY_BYTES
                  + value.length
                  + (held.audit == null ? 0 : held.audit.length);
          entries.add(
              renamed
                  ? new RegisterEntry(held.name, held.mark, held.source, value, null, held.audit)
                  : new RegisterEntry(
                      held.name, held.mark, RegisterVersion.NONE, null, value, held.audit));
          held.sent[place] = held.mark.count;
          held.sentAt[place] = now;
        }
      }
      final boolean establish =
          whole
              && !partition.establishAcked[place]
              && now - partition.establishSentAt[place] > RESEND_MILLIS;
      if (establish || !entries.isEmpty()) {
        repair.sentAt = now;
        repair.pause =
            repair.pause == 0 ? RESEND_MILLIS : Math.min(MOST_PAUSE_MILLIS, repair.pause * 2);
        partition.establishSentAt[place] = establish ? now : partition.establishSentAt[place];
        repaired += bytes;
        send(
            roster.voters.get(place).address,
            new StateStoreMessages.Accept(
                partition.number,
                roster.number,
                partition.ballot,
                establish,
                partition.counted,
                entries),
            now);
      }
    }
  }

  private long repaired;

  private void expire(final Partition partition, final long now) {
    partition.waiters.removeIf(waiter -> now - waiter.receivedAt > STALE_WORK_MILLIS);
    for (final RegisterState held : partition.held.values()) {
      if (!held.waiting.isEmpty()) {
        held.waiting.removeIf(work -> now - work.receivedAt > STALE_WORK_MILLIS);
      }
      if (!held.parked.isEmpty()) {
        held.parked.removeIf(
            work -> {
              if (now - work.receivedAt < work.call.second) {
                return false;
              }
              work.reply.accept(
                  new StoreMessages.StoreResponse(
                      work.call.number,
                      200,
                      work.call.first,
                      Serializer.serialize(
                          new StoredValues.WatchEvents(List.of(), work.call.first)),
                      null));
              return true;
            });
      }
    }
    if (partition.number == 0) {
      controlParked.removeIf(
          work -> now - work.receivedAt >= CONTROL_MILLIS && tellControl(partition, work, true));
    }
  }

  private void handOver(final Partition partition, final long now) {
    final String best = bestRegion();
    if (region.equals(best)) {
      partition.betterSince = 0;
      return;
    }
    int better = 0;
    for (int place = 0; place < roster.voters.size(); place++) {
      final Voter voter = roster.voters.get(place);
      if (voter.region.equals(best)
          && partition.pulsed[place] >= partition.pulseCount - 2
          && partition.establishAcked[place]) {
        better++;
      }
    }
    if (better < 2) {
      partition.betterSince = 0;
    } else if (partition.betterSince == 0) {
      partition.betterSince = now;
    } else if (now - partition.betterSince > 3000) {
      stepDown(partition, now);
      partition.vacateAt = now + 2000;
      broadcast(new StateStoreMessages.Resign(false, List.of(partition.number)), now);
    }
  }

  private void outsider(final long now) {
    final StateStoreMessages.MembershipRequest enquire = recovery.enquire(now);
    if (enquire == null) {
      return;
    }
    final List<String> asked = new ArrayList<>(seeds);
    for (final String address : addresses(roster)) {
      if (!asked.contains(address)) {
        asked.add(address);
      }
    }
    for (final String address : met) {
      if (blank && !asked.contains(address)) {
        asked.add(address);
      }
    }
    membership.describes(new Voter(self, site, region, List.of()));
    for (final String address : asked) {
      if (!address.equals(self)) {
        environment.send(address, enquire);
        if (!blank && mayVote) {
          environment.send(
              address, new StateStoreMessages.Join(new Voter(self, site, region, List.of())));
        }
      }
    }
  }

  /**
   * Seeds that are neither voters nor known to wait may have lost their disks and know nobody: they
   * are told who votes.
   */
  private void tellSeeds(final long now) {
    if (now - seedsToldAt < SEEDS_MILLIS) {
      return;
    }
    seedsToldAt = now;
    for (final String seed : seeds) {
      if (!seed.equals(self) && roster.index(seed) < 0 && !membership.joiners().contains(seed)) {
        environment.send(seed, new StateStoreMessages.RosterUpdate(roster));
      }
    }
  }

  private long seedsToldAt;

  private void changeRoster(final long now) {
    final Partition partition = partitions[0];
    final RegisterState held = held(partition, "roster");
    if (held.inFlight
        || held.committed != null && ((Roster) held.committed).number > roster.number
        || auditSequencer.settled(roster) < auditSequencer.decided()) {
      return;
    }
    final Roster next = membership.next(roster, now);
    if (next != null) {
      propose(partition, held, next, List.of(), now);
    }
  }

  // ---- what tests and operators look at

  /** The roster in force here. */
  public Roster roster() {
    return roster;
  }

  /** Whether this daemon has forgotten what it held and must not vote. */
  public boolean blank() {
    return blank;
  }

  /** The partitions that this daemon serves. */
  public int serving() {
    int count = 0;
    for (final Partition partition : partitions) {
      count += partition.phase == Phase.SERVING ? 1 : 0;
    }
    return count;
  }

  /** This replica's history of routing changes. */
  public AuditLog history() {
    return audit.log();
  }

  /** The counters of the history, as one line. */
  public String historyCounters() {
    return audit.counters() + " " + recovery.counters() + " repaired " + repaired / 1024 + " KB";
  }

  /** Ballots begun here. */
  public long ballots() {
    return ballots;
  }

  /** Values that became lasting here. */
  public long commits() {
    return commits;
  }
}
