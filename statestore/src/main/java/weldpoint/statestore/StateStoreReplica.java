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
import weldpoint.statestore.Partition.ConfirmationWaiter;
import weldpoint.statestore.Partition.Phase;
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
 * One replica of the state store: versioned registers in {@link #PARTITIONS} partitions, the
 * ballots that elect the leader of each partition, and the roster (the list of voters). It uses no
 * threads, clocks or sockets of its own: messages, requests and ticks come in through its methods,
 * with the time of a monotonic clock in milliseconds. Not thread-safe; {@link StateStoreDaemon}
 * calls it from one thread, and the simulation drives it directly.
 */
public final class StateStoreReplica {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  /** The number of partitions. */
  public static final int PARTITIONS = 8;

  private static final int RECORD_SELF = 0;
  private static final int RECORD_PROMISE = 1;
  static final int RECORD_REGISTERS = 2;
  private static final int RECORD_ROSTER = 3;
  static final int RECORD_PEER_INCARNATION = 4;
  static final long LEADER_TIMEOUT_MILLIS = 1000;
  private static final long HEARTBEAT_INTERVAL_MILLIS = 250;
  static final long RESEND_INTERVAL_MILLIS = 400;
  private static final long BALLOT_TIMEOUT_MILLIS = 900;
  private static final long PREPARE_RETRY_MILLIS = 100;
  private static final long PRE_VOTE_TIMEOUT_MILLIS = 180;
  private static final long PRE_VOTE_LEADER_SILENCE_MILLIS = 600;
  private static final long SEED_UPDATE_INTERVAL_MILLIS = 1000;
  private static final long CONTROL_WAIT_TIMEOUT_MILLIS = 700;
  private static final long PENDING_REQUEST_TIMEOUT_MILLIS = 1300;

  /**
   * A copy of a request is ignored this long after it was sent, measured by the replica's own
   * clock.
   */
  static final long MAX_REQUEST_AGE_MILLIS = 2500;

  private static final long DISK_STALL_TIMEOUT_MILLIS = 700;
  private static final int HISTORY_RESPONSE_BYTES = 96 << 10;
  private static final int SNAPSHOT_RECORD_BYTES = 64 << 10;
  private static final int REPAIR_MESSAGE_BYTES = 32 << 10;
  private static final int ENTRY_OVERHEAD_BYTES = 96;
  private static final long MAX_REPAIR_BACKOFF_MILLIS = 6400;

  /** The replica's access to network, disk and time of day. */
  public interface Environment {
    /** Sends to another replica, if there is a connection to it. */
    void send(String address, Message message);

    /** Appends a record to the disk log; callbacks run in order, once their record is durable. */
    void append(byte[] record, Runnable synced);

    /** Sets the replicas to keep connections to. */
    void peers(List<String> addresses);

    /** The time of day in milliseconds; it is recorded, but never used for ordering. */
    default long timeOfDay() {
      return 0;
    }
  }

  final String self;
  private final String site;
  private final String region;
  private final boolean mayVote;
  private final long historyRetentionMillis;
  private final long owner;
  final Random random;
  final Environment environment;
  private List<String> seeds;
  final Partition[] partitions = new Partition[PARTITIONS];
  final Map<String, Long> knownIncarnations = new HashMap<>();
  private final Membership membership;
  Roster roster = new Roster(0, List.of());
  long incarnation;
  boolean recovering = true;
  private boolean stopped;
  private final GracefulLeave gracefulLeave = new GracefulLeave();
  private boolean diskFailing;
  private long ballotsStarted;
  private long valuesCommitted;
  AuditReplica audit;
  private final Recovery recovery = new Recovery(this);
  private AuditSequencer auditSequencer;
  private TakenVersions takenVersions;
  private long auditRetention = Long.MAX_VALUE;

  /** A replica that has read nothing from disk yet. */
  public StateStoreReplica(
      final String self,
      final String site,
      final String region,
      final boolean mayVote,
      final int maxVoters,
      final long historyMillis,
      final long owner,
      final Random random,
      final List<String> seeds,
      final Environment environment) {
    this.self = self;
    this.site = site;
    this.region = region;
    this.mayVote = mayVote;
    this.membership = new Membership(self, maxVoters);
    this.historyRetentionMillis = historyMillis + 5000;
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
   * Keeps the history of routing changes in this store: at least this many entries, none larger
   * than this many bytes. Must be called before {@link #start}.
   */
  public void history(final AuditStore store, final long entries, final int entryBytes) {
    history(store, entries, new AuditSequencer(entryBytes));
  }

  void history(final AuditStore store, final long entries, final AuditSequencer sequencer) {
    auditRetention = entries;
    auditSequencer = sequencer;
    audit =
        new AuditReplica(
            new AuditLog(self, store, recovery::completeIfDurable),
            environment::send,
            new Random(owner));
    takenVersions = new TakenVersions(auditSequencer, audit.log());
  }

  void takenVersions(final TakenVersions replacement) {
    takenVersions = replacement;
  }

  /** The number of the partition that a register belongs to. */
  public static int partitionOf(final String register) {
    final StoredValues.Kind kind = StoredValues.Kind.of(register);
    return kind.isControl() ? 0 : 1 + Math.floorMod(register.hashCode(), PARTITIONS - 1);
  }

  /** Replaces the seed list. */
  public void seeds(final List<String> newSeeds) {
    seeds = newSeeds;
    updatePeers();
  }

  // ---- disk

  /**
   * Restores the state from the records on disk and starts; there are no records if the disk is
   * empty or counts as lost.
   */
  public void start(final List<byte[]> records, final boolean firstStart, final long now) {
    for (final byte[] record : records) {
      replay(Serializer.deserialize(record, StoredValues.DiskRecord.class));
    }
    if (recovering && firstStart) {
      recovering = false;
      incarnation = 1;
      final List<Voter> voters = new ArrayList<>();
      for (int index = 0; index < seeds.size(); index++) {
        voters.add(
            new Voter(
                seeds.get(index), "", "", TokenAssignment.initialTokens(index, seeds.size())));
      }
      roster = new Roster(1, voters);
    }
    for (final Partition partition : partitions) {
      partition.electionDueAt = now + 60 + electionRank(partition) * 60L + random.nextInt(60);
    }
    membership.onStart(now);
    updatePeers();
    LOGGER.atInfo().log(
        "state store %s starts: recovering %s, roster %s of %s voters, incarnation %s",
        self, recovering, roster.number, roster.voters.size(), incarnation);
  }

  private void replay(final StoredValues.DiskRecord record) {
    switch (record.type) {
      case RECORD_SELF -> {
        recovering = false;
        incarnation = record.incarnation;
      }
      case RECORD_PROMISE -> {
        final Partition partition = partitions[record.partition];
        if (record.ballot.compareTo(partition.promised) > 0) {
          partition.promised = record.ballot;
        }
      }
      case RECORD_REGISTERS ->
          partitions[record.partition].store(
              record.ballot,
              record.incarnation == 1,
              Protocol.emptyIfNull(record.entries),
              new ArrayList<>());
      case RECORD_ROSTER -> {
        if (record.roster.number > roster.number) {
          roster = record.roster;
        }
      }
      case RECORD_PEER_INCARNATION -> {
        knownIncarnations.merge(record.address, record.incarnation, Math::max);
        durableIncarnations.merge(record.address, record.incarnation, Math::max);
      }
      default ->
          throw new IllegalStateException(
              "disk record has unknown type " + record.type + "; run the release that wrote it");
    }
  }

  /** The live state as records of bounded size; only a single large register exceeds it. */
  public List<byte[]> snapshot() {
    final List<byte[]> records = new ArrayList<>();
    if (!recovering) {
      records.add(Serializer.serialize(selfRecord()));
    }
    for (final Partition partition : partitions) {
      records.addAll(partition.records(RECORD_REGISTERS, SNAPSHOT_RECORD_BYTES));
    }
    records.addAll(metadataRecords());
    return records;
  }

  StoredValues.DiskRecord selfRecord() {
    return new StoredValues.DiskRecord(RECORD_SELF, 0, null, null, null, null, incarnation);
  }

  /** Peers' incarnations, the roster, and each partition's promised and established ballots. */
  List<byte[]> metadataRecords() {
    final List<byte[]> records = new ArrayList<>();
    for (final Map.Entry<String, Long> entry : knownIncarnations.entrySet()) {
      records.add(
          Serializer.serialize(
              new StoredValues.DiskRecord(
                  RECORD_PEER_INCARNATION, 0, null, null, null, entry.getKey(), entry.getValue())));
    }
    records.add(
        Serializer.serialize(
            new StoredValues.DiskRecord(RECORD_ROSTER, 0, null, null, roster, null, 0)));
    for (final Partition partition : partitions) {
      records.add(
          Serializer.serialize(
              new StoredValues.DiskRecord(
                  RECORD_PROMISE, partition.number, partition.promised, null, null, null, 0)));
      records.add(
          Serializer.serialize(
              new StoredValues.DiskRecord(
                  RECORD_REGISTERS, partition.number, partition.established, null, null, null, 1)));
    }
    return records;
  }

  void persist(final StoredValues.DiskRecord record, final Runnable synced) {
    environment.append(Serializer.serialize(record), synced);
  }

  // ---- peers

  void updatePeers() {
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
    for (final String address : peersSeen) {
      if (recovering && !addresses.contains(address)) {
        addresses.add(address);
      }
    }
    addresses.remove(self);
    environment.peers(addresses);
  }

  List<Long> voterIncarnations() {
    final List<Long> list = new ArrayList<>(roster.voters.size());
    for (final Voter voter : roster.voters) {
      list.add(incarnationOf(voter.address));
    }
    return list;
  }

  /** The latest incarnation of a replica that is known here. */
  public long incarnationOf(final String address) {
    return address.equals(self) ? incarnation : knownIncarnations.getOrDefault(address, 1L);
  }

  private void learnIncarnations(final long rosterNumber, final List<Long> incarnations) {
    if (rosterNumber != roster.number
        || Protocol.emptyIfNull(incarnations).size() != roster.voters.size()) {
      return;
    }
    for (int index = 0; index < incarnations.size(); index++) {
      final String address = roster.voters.get(index).address;
      if (!address.equals(self) && incarnations.get(index) > incarnationOf(address)) {
        knownIncarnations.put(address, incarnations.get(index));
        onNewIncarnation(index);
      }
    }
  }

  /**
   * Takes the incarnations that a partition's leader learned from a majority, and writes them to
   * disk before the registers that it establishes.
   */
  private void persistIncarnations(final List<Long> incarnations) {
    if (incarnations.size() != roster.voters.size()) {
      return;
    }
    for (int index = 0; index < incarnations.size(); index++) {
      final String address = roster.voters.get(index).address;
      final long learned = incarnations.get(index);
      if (address.equals(self) && learned > incarnation) {
        raiseIncarnation(learned + 1);
      } else if (!address.equals(self)
          && learned > 1
          && learned >= incarnationOf(address)
          && durableIncarnations.getOrDefault(address, 1L) < learned) {
        durableIncarnations.put(address, learned);
        persist(
            new StoredValues.DiskRecord(
                RECORD_PEER_INCARNATION, 0, null, null, null, address, learned),
            () -> {});
      }
    }
    learnIncarnations(roster.number, incarnations);
  }

  /**
   * Takes a later incarnation because others know this replica under one: it lost its disk more
   * than once, and the replicas it recovered from had not been voters then. Under its present
   * incarnation they would never count its votes. It keeps its promises, so it may take a later
   * incarnation at any time.
   */
  private void raiseIncarnation(final long next) {
    if (next > pendingIncarnation) {
      pendingIncarnation = next;
      persist(
          new StoredValues.DiskRecord(RECORD_SELF, 0, null, null, null, null, next),
          () -> {
            if (next > incarnation) {
              LOGGER.atInfo().log(
                  "state store %s is known to others under a later incarnation than %s; continuing as incarnation %s",
                  self, incarnation, next);
              incarnation = next;
            }
          });
    }
  }

  private long pendingIncarnation;
  private final Map<String, Long> durableIncarnations = new HashMap<>();

  void onNewIncarnation(final int voterIndex) {
    for (final Partition partition : partitions) {
      if (partition.phase.ordinal() > Phase.PRE_VOTING.ordinal()
          && voterIndex < partition.promises.length) {
        partition.promises[voterIndex] = null;
        if (partition.phase != Phase.PREPARING && !partitionsToRestart.contains(partition)) {
          partitionsToRestart.add(partition);
        }
      }
    }
  }

  private final List<Partition> partitionsToRestart = new ArrayList<>();

  boolean canVote() {
    return !recovering && mayVote && roster.indexOf(self) >= 0;
  }

  // ---- messages from other replicas

  /** Handles a message from another replica; replies go back over the same connection. */
  public void receive(
      final String from, final Message message, final Consumer<Message> reply, final long now) {
    if (stopped) {
      return;
    }
    membership.onMessage(from, now);
    rememberPeer(from);
    if (message instanceof StateStoreMessages.MembershipRequest) {
      recovery.onMembershipRequest(from, (StateStoreMessages.MembershipRequest) message, reply);
    } else if (message instanceof StateStoreMessages.MembershipResponse) {
      recovery.onMembershipResponse(from, (StateStoreMessages.MembershipResponse) message, now);
    } else if (message instanceof StateStoreMessages.RecoveryResponse) {
      recovery.onRecoveryResponse(from, (StateStoreMessages.RecoveryResponse) message, now);
    } else if (audit.receive(from, message, reply)) {
      return;
    } else if (recovering) {
      return;
    } else if (message instanceof StateStoreMessages.RosterUpdate) {
      adoptRoster(((StateStoreMessages.RosterUpdate) message).roster, now);
    } else if (message instanceof StateStoreMessages.RecoveryRequest) {
      recovery.onRecoveryRequest(from, (StateStoreMessages.RecoveryRequest) message, reply);
    } else if (message instanceof StateStoreMessages.Join) {
      onJoin((StateStoreMessages.Join) message, now);
    } else if (message instanceof StateStoreMessages.Resign) {
      onResign(from, (StateStoreMessages.Resign) message, reply, now);
    } else if (message instanceof StateStoreMessages.Released) {
      onReleased((StateStoreMessages.Released) message, now);
    } else if (message instanceof StateStoreMessages.PreVote) {
      onPreVote((StateStoreMessages.PreVote) message, reply, now);
    } else if (message instanceof StateStoreMessages.PreVoteResponse) {
      onPreVoteResponse(from, (StateStoreMessages.PreVoteResponse) message, now);
    } else if (message instanceof StateStoreMessages.Prepare) {
      onPrepare((StateStoreMessages.Prepare) message, reply, now);
    } else if (message instanceof StateStoreMessages.Accept) {
      onAccept(from, (StateStoreMessages.Accept) message, reply, now);
    } else if (message instanceof StateStoreMessages.Heartbeat) {
      onHeartbeat(from, (StateStoreMessages.Heartbeat) message, reply, now);
    } else if (message instanceof StateStoreMessages.Promise) {
      recovery.markRecovered(from);
      onPromise(from, (StateStoreMessages.Promise) message, now);
    } else if (message instanceof StateStoreMessages.Accepted) {
      recovery.markRecovered(from);
      onAccepted(from, (StateStoreMessages.Accepted) message, now);
    } else if (message instanceof StateStoreMessages.HeartbeatAck) {
      recovery.markRecovered(from);
      onHeartbeatAck(from, (StateStoreMessages.HeartbeatAck) message, now);
    } else if (message instanceof StateStoreMessages.Refused) {
      onRefused(from, (StateStoreMessages.Refused) message, reply, now);
    }
    runRestarts(now);
  }

  /** While recovering, remembers who sends messages: the seeds may be gone or recovering too. */
  private void rememberPeer(final String from) {
    if (recovering && !from.equals(self) && peersSeen.add(from)) {
      updatePeers();
    }
  }

  private final Set<String> peersSeen = new HashSet<>();

  private void runRestarts(final long now) {
    while (!partitionsToRestart.isEmpty()) {
      final Partition partition = partitionsToRestart.remove(partitionsToRestart.size() - 1);
      if (partition.phase != Phase.IDLE) {
        stepDown(partition, now);
        startBallot(partition, now);
      }
    }
  }

  /** Handles the end of the connection to another replica. */
  public void connectionClosed(final String address, final long now) {
    membership.onConnectionClosed(address, now);
    recovery.connectionClosed(address);
    final int index = roster.indexOf(address);
    for (final Partition partition : partitions) {
      if (address.equals(partition.leader)
          && partition.phase.ordinal() <= Phase.PRE_VOTING.ordinal()) {
        partition.leaderHeardAt = Long.MIN_VALUE / 2;
        partition.electionDueAt =
            Math.min(
                partition.electionDueAt,
                now + 60 + electionRank(partition) * 120L + random.nextInt(60));
      }
      if (index >= 0 && index < partition.establishmentSent.length) {
        partition.establishmentSent[index] = false;
        partition.establishmentSentAt[index] = 0;
        partition.repairs[index] = new Partition.Repair();
        for (final RegisterState register : partition.registers.values()) {
          register.sentCounts[index] = -1;
          register.sentAt[index] = 0;
        }
      }
    }
  }

  private boolean checkRoster(
      final long senderRoster,
      final Consumer<Message> reply,
      final int partition,
      final RegisterVersion ballot) {
    if (senderRoster == roster.number) {
      return canVote();
    }
    if (senderRoster < roster.number) {
      reply.accept(new StateStoreMessages.RosterUpdate(roster));
    } else {
      reply.accept(
          new StateStoreMessages.Refused(
              partition, ballot, RegisterVersion.NONE, roster.number, null));
    }
    return false;
  }

  private void onPreVote(
      final StateStoreMessages.PreVote preVote, final Consumer<Message> reply, final long now) {
    if (!checkRoster(preVote.rosterNumber, reply, preVote.partition, RegisterVersion.NONE)) {
      return;
    }
    final Partition partition = partitions[preVote.partition];
    if (partition.phase.ordinal() <= Phase.PRE_VOTING.ordinal()
        && now - partition.leaderHeardAt > PRE_VOTE_LEADER_SILENCE_MILLIS) {
      reply.accept(
          new StateStoreMessages.PreVoteResponse(
              preVote.partition, preVote.number, partition.promised.round));
    }
  }

  private void onPreVoteResponse(
      final String from, final StateStoreMessages.PreVoteResponse response, final long now) {
    final Partition partition = partitions[response.partition];
    final int voterIndex = roster.indexOf(from);
    if (partition.phase != Phase.PRE_VOTING
        || partition.preVoteNumber != response.number
        || voterIndex < 0
        || voterIndex >= partition.preVotesGranted.length) {
      return;
    }
    highestRound = Math.max(highestRound, response.round);
    partition.preVotesGranted[voterIndex] = true;
    if (count(partition.preVotesGranted) >= roster.majority()) {
      startBallot(partition, now);
    }
  }

  private void startPreVote(final Partition partition, final long now) {
    partition.phase = Phase.PRE_VOTING;
    partition.preVoteNumber = ++preVotesStarted;
    partition.preVoteStartedAt = now;
    partition.preVotesGranted = new boolean[roster.voters.size()];
    broadcast(
        new StateStoreMessages.PreVote(partition.number, roster.number, partition.preVoteNumber),
        now);
  }

  private long preVotesStarted;

  private void onPrepare(
      final StateStoreMessages.Prepare prepare, final Consumer<Message> reply, final long now) {
    if (!checkRoster(prepare.rosterNumber, reply, prepare.partition, prepare.ballot)) {
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
              voterIncarnations()));
      return;
    }
    if (prepare.ballot.owner != owner
        && partition.phase != Phase.IDLE
        && !partition.ballot.sameBallot(prepare.ballot)) {
      stepDown(partition, now);
    }
    partition.promised = prepare.ballot;
    partition.electionDueAt =
        Math.max(partition.electionDueAt, now + BALLOT_TIMEOUT_MILLIS + random.nextInt(200));
    partition.leaderHeardAt = now;
    persist(
        new StoredValues.DiskRecord(
            RECORD_PROMISE, partition.number, prepare.ballot, null, null, null, 0),
        () -> {
          if (partition.promised.equals(prepare.ballot) && roster.number == prepare.rosterNumber) {
            reply.accept(
                new StateStoreMessages.Promise(
                    partition.number,
                    prepare.ballot,
                    partition.established,
                    partition.entries(),
                    incarnation,
                    voterIncarnations()));
          }
        });
  }

  private void onAccept(
      final String from,
      final StateStoreMessages.Accept accept,
      final Consumer<Message> reply,
      final long now) {
    if (!checkRoster(accept.rosterNumber, reply, accept.partition, accept.ballot)) {
      return;
    }
    final Partition partition = partitions[accept.partition];
    final List<Long> counted = Protocol.emptyIfNull(accept.countedIncarnations);
    for (int index = 0; index < counted.size() && index < roster.voters.size(); index++) {
      if (counted.get(index) > 0
          && counted.get(index) < incarnationOf(roster.voters.get(index).address)) {
        reply.accept(
            new StateStoreMessages.Refused(
                accept.partition,
                accept.ballot,
                partition.promised,
                roster.number,
                voterIncarnations()));
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
              voterIncarnations()));
      return;
    }
    if (accept.ballot.owner != owner && partition.phase != Phase.IDLE) {
      stepDown(partition, now);
    }
    leaderHeard(partition, from, now);
    persistIncarnations(Protocol.emptyIfNull(accept.knownIncarnations));
    final List<RegisterEntry> entries = Protocol.emptyIfNull(accept.entries);
    final List<RegisterEntry> missing = new ArrayList<>();
    partition.store(accept.ballot, accept.establish, entries, missing);
    final List<String> names = new ArrayList<>(entries.size());
    final List<Long> counts = new ArrayList<>(entries.size());
    final List<String> missingNames = new ArrayList<>();
    final List<RegisterEntry> storedEntries = new ArrayList<>(entries.size());
    for (final RegisterEntry entry : entries) {
      if (missing.contains(entry)) {
        missingNames.add(entry.name);
      } else {
        names.add(entry.name);
        counts.add(entry.version.count);
        storedEntries.add(entry);
      }
    }
    persist(
        new StoredValues.DiskRecord(
            RECORD_REGISTERS,
            partition.number,
            accept.ballot,
            storedEntries,
            null,
            null,
            accept.establish ? 1 : 0),
        () -> {
          if (roster.number == accept.rosterNumber) {
            reply.accept(
                new StateStoreMessages.Accepted(
                    partition.number,
                    accept.ballot,
                    accept.establish,
                    names,
                    counts,
                    missingNames,
                    incarnation,
                    voterIncarnations()));
          }
        });
  }

  private void leaderHeard(final Partition partition, final String from, final long now) {
    partition.leader = from;
    partition.leaderHeardAt = now;
    if (partition.phase == Phase.PRE_VOTING) {
      partition.phase = Phase.IDLE;
    }
    partition.electionDueAt =
        now + LEADER_TIMEOUT_MILLIS + electionRank(partition) * 150L + random.nextInt(150);
  }

  private void onHeartbeat(
      final String from,
      final StateStoreMessages.Heartbeat heartbeat,
      final Consumer<Message> reply,
      final long now) {
    final List<Integer> numbers = Protocol.emptyIfNull(heartbeat.partitions);
    if (numbers.isEmpty()
        || !checkRoster(heartbeat.rosterNumber, reply, numbers.get(0), heartbeat.ballots.get(0))) {
      return;
    }
    final List<Integer> followed = new ArrayList<>(numbers.size());
    final List<RegisterVersion> followedBallots = new ArrayList<>(numbers.size());
    for (int index = 0; index < numbers.size(); index++) {
      final Partition partition = partitions[numbers.get(index)];
      final RegisterVersion ballot = heartbeat.ballots.get(index);
      if (partition.promised.sameBallot(ballot)) {
        followed.add(partition.number);
        followedBallots.add(ballot);
        leaderHeard(partition, from, now);
        membership.establishedUnder(partition.number, heartbeat.rosterNumber);
      } else if (ballot.compareTo(partition.promised) > 0) {
        leaderHeard(partition, from, now);
        membership.establishedUnder(partition.number, heartbeat.rosterNumber);
      } else {
        reply.accept(
            new StateStoreMessages.Refused(
                partition.number, ballot, partition.promised, roster.number, voterIncarnations()));
      }
    }
    reply.accept(
        new StateStoreMessages.HeartbeatAck(
            followed,
            followedBallots,
            incarnation,
            voterIncarnations(),
            audit.log().lastDurable()));
  }

  private void onRefused(
      final String from,
      final StateStoreMessages.Refused refused,
      final Consumer<Message> reply,
      final long now) {
    if (refused.rosterNumber < roster.number) {
      environment.send(from, new StateStoreMessages.RosterUpdate(roster));
      return;
    }
    learnIncarnations(refused.rosterNumber, refused.knownIncarnations);
    final Partition partition = partitions[refused.partition];
    if (partition.phase != Phase.IDLE
        && partition.ballot.sameBallot(refused.ballot)
        && refused.promised.compareTo(partition.ballot) > 0) {
      highestRound = Math.max(highestRound, refused.promised.round);
      stepDown(partition, now);
      partition.electionDueAt = now + 300 + electionRank(partition) * 150L + random.nextInt(300);
    }
  }

  private long highestRound;

  private void onResign(
      final String from,
      final StateStoreMessages.Resign resign,
      final Consumer<Message> reply,
      final long now) {
    if (resign.leaving) {
      membership.onLeave(from, now);
      sendReleased(from, reply);
    }
    for (final int number : Protocol.emptyIfNull(resign.partitions)) {
      final Partition partition = partitions[number];
      if (from.equals(partition.leader)
          && partition.phase.ordinal() <= Phase.PRE_VOTING.ordinal()) {
        partition.leaderHeardAt = Long.MIN_VALUE / 2;
        partition.electionDueAt = now + electionRank(partition) * 120L + random.nextInt(20);
      }
    }
  }

  // ---- membership

  private void onJoin(final StateStoreMessages.Join join, final long now) {
    recovery.markRecovered(join.voter.address);
    if (membership.onJoin(join.voter, roster, now)) {
      updatePeers();
    }
  }

  void adoptRoster(final Roster update, final long now) {
    if (update == null || update.number <= roster.number || recovering) {
      return;
    }
    persist(
        new StoredValues.DiskRecord(RECORD_ROSTER, 0, null, null, update, null, 0),
        () -> {
          if (update.number <= roster.number) {
            return;
          }
          roster = update;
          membership.onRosterAdopted(update, now);
          LOGGER.atInfo().log(
              "state store %s adopts roster %s with voters %s",
              self, update.number, addresses(update));
          updatePeers();
          if (update.indexOf(self) < 0) {
            resign(false, now);
          }
          for (final Partition partition : partitions) {
            final boolean wasLeading = partition.phase.ordinal() > Phase.PRE_VOTING.ordinal();
            if (wasLeading) {
              stepDown(partition, now);
            }
            if (canVote() && wasLeading && !gracefulLeave.isLeaving()) {
              startBallot(partition, now);
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

  // ---- partition leadership

  private int electionRank(final Partition partition) {
    final int size = roster.voters.size();
    if (size == 0) {
      return 0;
    }
    final String best = preferredRegion();
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

  private String preferredRegion() {
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
    partition.leader = null;
    partition.electionDueAt = now + 300 + random.nextInt(200);
    for (final ConfirmationWaiter waiter : partition.waiters) {
      waiter.pending.reply.accept(redirectResponse(waiter.pending.call, partition));
    }
    partition.waiters.clear();
    partition.confirmationInFlight = false;
    if (partition.number == 0) {
      parkedControlRequests.clear();
    }
    for (final RegisterState register : partition.registers.values()) {
      for (final RegisterState.Proposal proposed : register.awaitingCommit) {
        proposed.pending.reply.accept(
            new StoreMessages.StoreResponse(proposed.pending.call.number, 504, 0, null, null));
      }
      for (final RegisterState.PendingRequest pending : register.waiting) {
        pending.reply.accept(redirectResponse(pending.call, partition));
      }
      for (final RegisterState.PendingRequest pending : register.parkedWatches) {
        pending.reply.accept(redirectResponse(pending.call, partition));
      }
    }
    partition.registers = new LinkedHashMap<>();
  }

  private static StoreMessages.StoreResponse redirectResponse(
      final StoreMessages.StoreRequest call, final Partition partition) {
    return new StoreMessages.StoreResponse(call.number, 0, 0, null, partition.leader);
  }

  private void startBallot(final Partition partition, final long now) {
    final int size = roster.voters.size();
    highestRound = Math.max(highestRound, partition.promised.round);
    highestRound = Math.max(highestRound, partition.ballot.round) + 1;
    partition.ballot = new RegisterVersion(highestRound, owner, 0);
    partition.phase = Phase.PREPARING;
    partition.phaseStartedAt = now;
    partition.promises = new StateStoreMessages.Promise[size];
    partition.establishmentAcked = new boolean[size];
    partition.establishmentSent = new boolean[size];
    partition.establishmentSentAt = new long[size];
    partition.heartbeatAcked = new long[size];
    partition.repairs = new Partition.Repair[size];
    Arrays.setAll(partition.repairs, voterIndex -> new Partition.Repair());
    partition.heartbeatCount = 0;
    partition.versionCount = 0;
    partition.confirmationInFlight = false;
    ballotsStarted++;
    partition.prepareSentAt = now;
    broadcast(
        new StateStoreMessages.Prepare(partition.number, roster.number, partition.ballot), now);
  }

  /**
   * Sends Prepare again to voters that have not promised: a voter that had not yet adopted the
   * roster may have done so by now.
   */
  private void retryPrepare(final Partition partition, final long now) {
    if (now - partition.prepareSentAt < PREPARE_RETRY_MILLIS) {
      return;
    }
    partition.prepareSentAt = now;
    for (int voterIndex = 0;
        voterIndex < partition.promises.length && voterIndex < roster.voters.size();
        voterIndex++) {
      if (partition.promises[voterIndex] == null) {
        send(
            roster.voters.get(voterIndex).address,
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
      localMessages.add(message);
      deliverLocalMessages(now);
    } else {
      environment.send(address, message);
    }
  }

  private final java.util.ArrayDeque<Message> localMessages = new java.util.ArrayDeque<>();
  private boolean deliveringLocally;
  private long latestTime;

  private void deliverLocalMessages(final long now) {
    latestTime = Math.max(latestTime, now);
    if (deliveringLocally) {
      return;
    }
    deliveringLocally = true;
    try {
      while (!localMessages.isEmpty()) {
        receive(
            self,
            localMessages.poll(),
            answer -> {
              localMessages.add(answer);
              deliverLocalMessages(latestTime);
            },
            now);
      }
    } finally {
      deliveringLocally = false;
    }
  }

  private void onPromise(
      final String from, final StateStoreMessages.Promise promise, final long now) {
    final Partition partition = partitions[promise.partition];
    final int index = roster.indexOf(from);
    if (partition.phase != Phase.PREPARING
        || !partition.ballot.equals(promise.ballot)
        || index < 0) {
      return;
    }
    learnIncarnations(roster.number, promise.knownIncarnations);
    if (partitionsToRestart.contains(partition) || promise.incarnation < incarnationOf(from)) {
      return;
    }
    if (promise.incarnation > incarnationOf(from)) {
      knownIncarnations.put(from, promise.incarnation);
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
    for (int voterIndex = 0; voterIndex < partition.promises.length; voterIndex++) {
      final StateStoreMessages.Promise one = partition.promises[voterIndex];
      if (one != null) {
        counted[voterIndex] = one.incarnation;
        if (one.established.compareTo(floor) > 0) {
          floor = one.established;
        }
      }
    }
    partition.countedIncarnations = List.of(counted);
    final Map<String, RegisterEntry> best = new LinkedHashMap<>();
    for (final StateStoreMessages.Promise one : partition.promises) {
      if (one != null) {
        for (final RegisterEntry entry : Protocol.emptyIfNull(one.entries)) {
          final RegisterEntry before = best.get(entry.name);
          if (entry.version.compareTo(floor) >= 0
              && (before == null || before.version.compareTo(entry.version) < 0)) {
            best.put(entry.name, entry);
          }
        }
      }
    }
    partition.registers = new LinkedHashMap<>();
    for (final RegisterEntry entry : best.values()) {
      final RegisterState register =
          new RegisterState(
              entry.name, historyRetentionMillis, partition.ballot.round, takenVersions);
      register.proposed = register.kind.decode(entry.fullValue);
      register.auditTail = entry.auditEntry;
      register.promisedVersion = entry.version;
      register.version = partition.ballot.withCount(++partition.versionCount);
      register.establishedVersion = register.version;
      Arrays.fill(register.ackedCounts, -1);
      Arrays.fill(register.sentCounts, -1);
      partition.registers.put(entry.name, register);
    }
    if (partition.number == 0) {
      auditSequencer.restore(partition.registers.values());
    }
    partition.phase = Phase.ESTABLISHING;
    partition.phaseStartedAt = now;
    for (int voterIndex = 0; voterIndex < roster.voters.size(); voterIndex++) {
      if (!recovery.isRecovering(roster.voters.get(voterIndex).address)) {
        sendEstablishment(partition, voterIndex, now);
      }
    }
  }

  private void sendEstablishment(final Partition partition, final int voterIndex, final long now) {
    final List<RegisterEntry> entries = new ArrayList<>(partition.registers.size());
    for (final RegisterState register : partition.registers.values()) {
      if (register.proposed != null) {
        entries.add(
            new RegisterEntry(
                register.name,
                register.version,
                RegisterVersion.NONE,
                null,
                register.kind.encode(register.proposed),
                register.auditTail));
        register.sentCounts[voterIndex] = register.version.count;
        register.sentAt[voterIndex] = now;
      }
    }
    partition.establishmentSent[voterIndex] = true;
    partition.establishmentSentAt[voterIndex] = now;
    send(
        roster.voters.get(voterIndex).address,
        new StateStoreMessages.Accept(
            partition.number,
            roster.number,
            partition.ballot,
            true,
            partition.countedIncarnations,
            entries,
            voterIncarnations()),
        now);
  }

  private void onAccepted(
      final String from, final StateStoreMessages.Accepted accepted, final long now) {
    final Partition partition = partitions[accepted.partition];
    final int voterIndex = roster.indexOf(from);
    if (partition.phase != Phase.ESTABLISHING && partition.phase != Phase.SERVING
        || !partition.ballot.sameBallot(accepted.ballot)
        || voterIndex < 0) {
      return;
    }
    learnIncarnations(roster.number, accepted.knownIncarnations);
    if (partitionsToRestart.contains(partition) || accepted.incarnation != incarnationOf(from)) {
      return;
    }
    final List<String> names = Protocol.emptyIfNull(accepted.names);
    for (int index = 0; index < names.size(); index++) {
      final RegisterState register = partition.registers.get(names.get(index));
      if (register != null) {
        register.ackedCounts[voterIndex] =
            Math.max(register.ackedCounts[voterIndex], accepted.counts.get(index));
      }
    }
    if (accepted.establish) {
      partition.establishmentAcked[voterIndex] = true;
    }
    partition.repairs[voterIndex].backoffMillis = 0;
    for (final String name : Protocol.emptyIfNull(accepted.missingBase)) {
      final RegisterState register = partition.registers.get(name);
      if (register != null) {
        sendFullValue(partition, register, voterIndex, now);
      }
    }
    if (partition.phase == Phase.ESTABLISHING) {
      if (count(partition.establishmentAcked) >= roster.majority()) {
        startServing(partition, now);
      }
    } else {
      for (final String name : names) {
        final RegisterState register = partition.registers.get(name);
        if (register != null) {
          tryCommit(partition, register, now);
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

  private void startServing(final Partition partition, final long now) {
    partition.phase = Phase.SERVING;
    partition.servingSince = now;
    partition.recentCalls.clear();
    partition.leader = self;
    partition.preferredRegionReadySince = 0;
    membership.establishedUnder(partition.number, roster.number);
    for (final RegisterState register : partition.registers.values()) {
      register.committed = register.proposed;
      if (register.kind == StoredValues.Kind.LOCK) {
        register.expiresAt =
            RegisterState.lockExpiry(now, ((StoredValues.Lock) register.committed).holdMillis);
      } else if (register.kind == StoredValues.Kind.GROUP) {
        for (final StoredValues.Put put : ((StoredValues.CellGroup) register.committed).history) {
          register.putTimes.add(new long[] {put.revision, now});
        }
      }
    }
    LOGGER.atInfo().log(
        "state store %s leads partition %s under ballot %s, roster %s, registers %s",
        self, partition.number, partition.ballot, roster.number, partition.registers.size());
    if (partition.number == 0) {
      audit.replicate(auditSequencer.decideRestored(), otherReplicas());
      final RegisterState register = partition.registers.get("roster");
      if (register != null && ((Roster) register.committed).number > roster.number) {
        announceRoster((Roster) register.committed, now);
      }
    }
    sendHeartbeat(partition, now);
  }

  private void announceRoster(final Roster update, final long now) {
    final List<String> recipients = new ArrayList<>(addresses(roster));
    for (final String address : addresses(update)) {
      if (!recipients.contains(address)) {
        recipients.add(address);
      }
    }
    for (final String address : recipients) {
      if (!address.equals(self)) {
        environment.send(address, new StateStoreMessages.RosterUpdate(update));
      }
    }
    adoptRoster(update, now);
  }

  private void sendHeartbeat(final Partition partition, final long now) {
    partition.heartbeatCount++;
    partition.heartbeatSentAt = now;
    broadcast(
        new StateStoreMessages.Heartbeat(
            roster.number,
            List.of(partition.number),
            List.of(partition.ballot.withCount(partition.heartbeatCount))),
        now);
  }

  private void sendHeartbeats(final long now) {
    final List<Integer> numbers = new ArrayList<>();
    final List<RegisterVersion> ballots = new ArrayList<>();
    if (now - heartbeatsSentAt < HEARTBEAT_INTERVAL_MILLIS) {
      return;
    }
    heartbeatsSentAt = now;
    for (final Partition partition : partitions) {
      if (partition.phase == Phase.SERVING
          && now - partition.heartbeatSentAt >= HEARTBEAT_INTERVAL_MILLIS / 2) {
        partition.heartbeatCount++;
        partition.heartbeatSentAt = now;
        numbers.add(partition.number);
        ballots.add(partition.ballot.withCount(partition.heartbeatCount));
      }
    }
    if (!numbers.isEmpty()) {
      broadcast(new StateStoreMessages.Heartbeat(roster.number, numbers, ballots), now);
    }
  }

  private long heartbeatsSentAt;

  private void onHeartbeatAck(
      final String from, final StateStoreMessages.HeartbeatAck ack, final long now) {
    final int voterIndex = roster.indexOf(from);
    final List<Integer> numbers = Protocol.emptyIfNull(ack.partitions);
    for (int index = 0; index < numbers.size(); index++) {
      final Partition partition = partitions[numbers.get(index)];
      if (partition.phase.ordinal() > Phase.PRE_VOTING.ordinal()
          && partition.ballot.sameBallot(ack.ballots.get(index))) {
        learnIncarnations(roster.number, ack.knownIncarnations);
        break;
      }
    }
    if (voterIndex < 0 || ack.incarnation != incarnationOf(from)) {
      return;
    }
    for (final Partition partition : partitions) {
      if (partition.phase == Phase.SERVING) {
        partition.repairs[voterIndex].lastAckAt = now;
      }
    }
    if (partitions[0].phase == Phase.SERVING) {
      auditSequencer.loggedThrough(voterIndex, ack.auditedThrough);
      auditSequencer.trimTail(roster);
    }
    for (int index = 0; index < numbers.size(); index++) {
      final Partition partition = partitions[numbers.get(index)];
      final RegisterVersion ballot = ack.ballots.get(index);
      if (partition.phase == Phase.SERVING
          && partition.ballot.sameBallot(ballot)
          && !partitionsToRestart.contains(partition)) {
        partition.heartbeatAcked[voterIndex] =
            Math.max(partition.heartbeatAcked[voterIndex], ballot.count);
        completeConfirmed(partition, now);
      }
    }
  }

  private void completeConfirmed(final Partition partition, final long now) {
    final long[] sorted = partition.heartbeatAcked.clone();
    Arrays.sort(sorted);
    final long confirmedThrough = sorted[sorted.length - roster.majority()];
    if (confirmedThrough >= partition.heartbeatCount) {
      partition.confirmationInFlight = false;
    }
    if (!partition.waiters.isEmpty()) {
      final List<ConfirmationWaiter> completed = new ArrayList<>();
      partition.waiters.removeIf(
          waiter -> waiter.heartbeatNumber <= confirmedThrough && completed.add(waiter));
      for (final ConfirmationWaiter waiter : completed) {
        waiter.onConfirmed.run();
      }
      if (!partition.waiters.isEmpty()
          && !partition.confirmationInFlight
          && partition.phase == Phase.SERVING) {
        partition.confirmationInFlight = true;
        sendHeartbeat(partition, now);
      }
    }
  }

  private void confirmLeadership(
      final Partition partition,
      final long now,
      final RegisterState.PendingRequest pending,
      final Runnable onConfirmed) {
    if (!partition.confirmationInFlight) {
      partition.confirmationInFlight = true;
      partition.waiters.add(
          new ConfirmationWaiter(partition.heartbeatCount + 1, now, pending, onConfirmed));
      sendHeartbeat(partition, now);
    } else {
      partition.waiters.add(
          new ConfirmationWaiter(partition.heartbeatCount + 1, now, pending, onConfirmed));
    }
  }

  // ---- client requests

  /** Handles a request from a registry. */
  public void call(
      final StoreMessages.StoreRequest call,
      final Consumer<StoreMessages.StoreResponse> connection,
      final long now) {
    final Consumer<StoreMessages.StoreResponse> reply =
        answer -> connection.accept(answer.withCaller(call.callerIncarnation));
    final StoreOperation operation = StoreOperation.of(call.operation);
    if (operation == null) {
      reply.accept(new StoreMessages.StoreResponse(call.number, 400, 0, null, null));
      return;
    }
    if (operation == StoreOperation.HISTORY_READ) {
      reply.accept(history(call));
      return;
    }
    final String registerName = operation.register(call.name);
    final Partition partition = partitions[partitionOf(registerName)];
    if (partition.phase != Phase.SERVING || gracefulLeave.isLeaving()) {
      reply.accept(
          new StoreMessages.StoreResponse(
              call.number, 0, 0, null, self.equals(partition.leader) ? null : partition.leader));
      return;
    }
    if (operation == StoreOperation.CONTROL) {
      controlRequest(partition, call, reply, now);
      return;
    }
    if (operation == StoreOperation.HISTORY_HEAD) {
      historyHead(partition, call, reply, now);
      return;
    }
    final RegisterState register = registerState(partition, registerName);
    register.waiting.add(new RegisterState.PendingRequest(call, operation, reply, now));
    processWaiting(partition, register, now);
  }

  private RegisterState registerState(final Partition partition, final String registerName) {
    return partition.registers.computeIfAbsent(
        registerName,
        name -> {
          final RegisterState register =
              new RegisterState(
                  name, historyRetentionMillis, partition.ballot.round, takenVersions);
          register.version = partition.ballot;
          Arrays.fill(register.ackedCounts, -1);
          Arrays.fill(register.sentCounts, -1);
          return register;
        });
  }

  private static StoreMessages.StoreResponse response(
      final RegisterState.PendingRequest pending, final Decision decision) {
    return new StoreMessages.StoreResponse(
        pending.call.number, decision.status, decision.first, decision.body, null);
  }

  private void processWaiting(
      final Partition partition, final RegisterState register, final long now) {
    final boolean mustWait = register.kind.isAudited() && auditSequencer.mustWait(register);
    Object value = register.committed;
    boolean changed = false;
    final List<StoredValues.Put> puts = new ArrayList<>();
    final List<RegisterState.PendingRequest> deferred = new ArrayList<>();
    while (!register.waiting.isEmpty()) {
      final RegisterState.PendingRequest pending = register.waiting.poll();
      if (pending.operation == StoreOperation.CELL_READ
          || pending.operation == StoreOperation.CONFIGURATION_READ
          || pending.operation == StoreOperation.WATCH) {
        processRead(partition, register, pending, now);
        continue;
      }
      if (register.inFlight || mustWait) {
        deferred.add(pending);
        continue;
      }
      if (expired(pending.call, now)
          || pending.operation == StoreOperation.LOCK_BEGIN
              && !sendTimeComparable(partition, pending.call, now)) {
        pending.reply.accept(redirectResponse(pending.call, partition));
        continue;
      }
      final Decision decision = decide(partition, register, value, pending, now);
      if (decision.action == Decision.Action.WRITE) {
        if (register.kind.isAudited()) {
          auditSequencer.add(
              auditSequencer.draft(
                  pending.operation,
                  pending.call,
                  value,
                  decision.value,
                  pending.call.first,
                  controlSerial(partition, register, decision.value),
                  environment.timeOfDay()));
        }
        changed = true;
        value = decision.value;
        if (decision.put != null) {
          puts.add(decision.put);
        }
        register.awaitingCommit.add(new RegisterState.Proposal(pending, decision));
      } else if (changed) {
        register.awaitingCommit.add(new RegisterState.Proposal(pending, decision));
      } else {
        confirmLeadership(
            partition, now, pending, () -> pending.reply.accept(response(pending, decision)));
      }
    }
    register.waiting.addAll(deferred);
    if (changed) {
      propose(partition, register, value, puts, now);
    }
  }

  /** Whether a copy of a request was in transit for too long; it is not carried out. */
  private static boolean expired(final StoreMessages.StoreRequest call, final long now) {
    return call.storeClockMillis != null && now - call.storeClockMillis > MAX_REQUEST_AGE_MILLIS;
  }

  /**
   * Whether it can be decided if a request was first sent before or after this replica became the
   * partition's leader.
   */
  private static boolean sendTimeComparable(
      final Partition partition, final StoreMessages.StoreRequest call, final long now) {
    return call.storeClockMillis == null
        || call.storeClockMillis - call.ageMillis >= partition.servingSince
        || predatesLeadership(partition, call, now);
  }

  /**
   * Whether a request was certainly sent before this replica became the partition's leader, so that
   * the previous leader may have carried it out.
   */
  private static boolean predatesLeadership(
      final Partition partition, final StoreMessages.StoreRequest call, final long now) {
    return call.ageMillis > 0 && now - call.ageMillis < partition.servingSince;
  }

  private Decision decide(
      final Partition partition,
      final RegisterState register,
      final Object value,
      final RegisterState.PendingRequest pending,
      final long now) {
    if (!pending.operation.needsDeduplication()) {
      return pending.operation.decide(register, value, pending.call, now);
    }
    final Decision before = partition.recentCalls.find(pending.call);
    if (before != null) {
      return before;
    }
    if (pending.operation == StoreOperation.LOCK_BEGIN
            && predatesLeadership(partition, pending.call, now)
        || partition.recentCalls.isFull(now)) {
      return Decision.confirm(504, 0);
    }
    final Decision decision = pending.operation.decide(register, value, pending.call, now);
    partition.recentCalls.remember(pending.call, decision, now);
    return decision;
  }

  private void processRead(
      final Partition partition,
      final RegisterState register,
      final RegisterState.PendingRequest pending,
      final long now) {
    final Decision decision =
        pending.operation.decide(register, register.committed, pending.call, now);
    switch (decision.action) {
      case READ ->
          confirmLeadership(
              partition,
              now,
              pending,
              () ->
                  pending.reply.accept(
                      response(pending, pending.operation.read(register.committed, pending.call))));
      case PARK -> register.parkedWatches.add(pending);
      case CONFIRM ->
          confirmLeadership(
              partition, now, pending, () -> pending.reply.accept(response(pending, decision)));
      default -> pending.reply.accept(response(pending, decision));
    }
  }

  private void propose(
      final Partition partition,
      final RegisterState register,
      final Object value,
      final List<StoredValues.Put> puts,
      final long now) {
    final RegisterVersion base = register.version;
    final boolean firstValue = register.committed == null;
    if (register.kind.isAudited()) {
      auditSequencer.propose(register);
    }
    register.inFlight = true;
    register.proposed = value;
    register.version = partition.ballot.withCount(++partition.versionCount);
    byte[] encoded = null;
    byte[] delta = null;
    for (int voterIndex = 0; voterIndex < roster.voters.size(); voterIndex++) {
      if (recovery.isRecovering(roster.voters.get(voterIndex).address)) {
        continue;
      }
      final boolean sendDelta =
          !puts.isEmpty() && !firstValue && register.sentCounts[voterIndex] == base.count;
      final RegisterEntry entry;
      if (sendDelta) {
        if (delta == null) {
          delta =
              Serializer.serialize(
                  new StoredValues.GroupDelta(puts, ((StoredValues.CellGroup) value).floor));
        }
        entry = new RegisterEntry(register.name, register.version, base, delta, null);
      } else {
        if (encoded == null) {
          encoded = register.kind.encode(value);
        }
        entry =
            new RegisterEntry(
                register.name,
                register.version,
                RegisterVersion.NONE,
                null,
                encoded,
                register.auditTail);
      }
      register.sentCounts[voterIndex] = register.version.count;
      register.sentAt[voterIndex] = now;
      send(
          roster.voters.get(voterIndex).address,
          new StateStoreMessages.Accept(
              partition.number,
              roster.number,
              partition.ballot,
              false,
              partition.countedIncarnations,
              List.of(entry)),
          now);
    }
  }

  private void sendFullValue(
      final Partition partition,
      final RegisterState register,
      final int voterIndex,
      final long now) {
    if (register.proposed == null) {
      return;
    }
    register.sentCounts[voterIndex] = register.version.count;
    register.sentAt[voterIndex] = now;
    send(
        roster.voters.get(voterIndex).address,
        new StateStoreMessages.Accept(
            partition.number,
            roster.number,
            partition.ballot,
            false,
            partition.countedIncarnations,
            List.of(
                new RegisterEntry(
                    register.name,
                    register.version,
                    RegisterVersion.NONE,
                    null,
                    register.kind.encode(register.proposed),
                    register.auditTail))),
        now);
  }

  private void tryCommit(final Partition partition, final RegisterState register, final long now) {
    if (!register.inFlight) {
      return;
    }
    int count = 0;
    for (int voterIndex = 0; voterIndex < roster.voters.size(); voterIndex++) {
      count += register.ackedCounts[voterIndex] >= register.version.count ? 1 : 0;
    }
    if (count < roster.majority()) {
      return;
    }
    register.inFlight = false;
    register.committed = register.proposed;
    valuesCommitted++;
    if (register.kind == StoredValues.Kind.LOCK) {
      register.expiresAt =
          Math.max(
              register.expiresAt,
              RegisterState.lockExpiry(now, ((StoredValues.Lock) register.committed).holdMillis));
      if (((StoredValues.Lock) register.committed).owner.isEmpty()) {
        register.expiresAt = 0;
      }
    } else if (register.kind == StoredValues.Kind.GROUP) {
      final StoredValues.CellGroup group = (StoredValues.CellGroup) register.committed;
      final long last = register.putTimes.isEmpty() ? 0 : register.putTimes.peekLast()[0];
      for (final StoredValues.Put put : group.history) {
        if (put.revision > last) {
          register.putTimes.add(new long[] {put.revision, now});
        }
      }
    }
    final List<RegisterState.Proposal> answers = new ArrayList<>(register.awaitingCommit);
    register.awaitingCommit.clear();
    for (final RegisterState.Proposal one : answers) {
      one.pending.reply.accept(response(one.pending, one.decision));
    }
    if (!register.parkedWatches.isEmpty()) {
      final List<RegisterState.PendingRequest> parked = new ArrayList<>(register.parkedWatches);
      register.parkedWatches.clear();
      for (final RegisterState.PendingRequest pending : parked) {
        processRead(partition, register, pending, now);
      }
    }
    if (partition.number == 0) {
      if (register.kind == StoredValues.Kind.ROSTER) {
        announceRoster((Roster) register.committed, now);
        return;
      }
      answerParkedControlRequests(partition, now);
      if (register.kind.isAudited()) {
        audit.replicate(auditSequencer.commit(register), otherReplicas());
        for (final RegisterState other : new ArrayList<>(partition.registers.values())) {
          if (other != register && other.kind.isAudited() && !other.waiting.isEmpty()) {
            processWaiting(partition, other, now);
          }
        }
      }
    }
    processWaiting(partition, register, now);
  }

  // ---- history

  /** The sum of the serials of all evacuations and trials. */
  private static long controlSerial(
      final Partition partition, final RegisterState changed, final Object value) {
    long serial = 0;
    for (final RegisterState register : partition.registers.values()) {
      serial +=
          StoredValues.serial(register.kind, register == changed ? value : register.committed);
    }
    return serial;
  }

  private List<String> otherReplicas() {
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
   * The peers for anti-entropy of the history: the other voters and joiners, or the seeds if there
   * are none.
   */
  private List<String> auditPeers() {
    final List<String> peers = otherReplicas();
    if (peers.isEmpty()) {
      peers.addAll(seeds);
      peers.remove(self);
    }
    return peers;
  }

  /** Answers from the local history, leader or not: from entry first on, at most second entries. */
  private StoreMessages.StoreResponse history(final StoreMessages.StoreRequest call) {
    final AuditLog log = audit.log();
    final List<byte[]> entries = new ArrayList<>();
    int bytes = 0;
    final long from = Math.max(call.first, log.base() + 1);
    for (long sequence = from;
        sequence <= log.last() && entries.size() < call.second && bytes < HISTORY_RESPONSE_BYTES;
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
                log.base(), log.last(), log.digest(), log.conflicts(), recovering, from, entries)),
        null);
  }

  private void historyHead(
      final Partition partition,
      final StoreMessages.StoreRequest call,
      final Consumer<StoreMessages.StoreResponse> reply,
      final long now) {
    final RegisterState.PendingRequest pending =
        new RegisterState.PendingRequest(call, StoreOperation.HISTORY_HEAD, reply, now);
    confirmLeadership(
        partition,
        now,
        pending,
        () ->
            reply.accept(
                new StoreMessages.StoreResponse(
                    call.number,
                    200,
                    auditSequencer.decidedSequence(),
                    auditSequencer
                        .decidedDigest()
                        .getBytes(java.nio.charset.StandardCharsets.UTF_8),
                    null)));
  }

  /**
   * Proposes the history's own changes if no other audited change is in flight: the first entry in
   * a store that is older than its history, and trimming.
   */
  private void maintainHistory(final Partition partition, final long now) {
    auditSequencer.trimTail(roster);
    if (!auditSequencer.isIdle()) {
      return;
    }
    final RegisterState register = registerState(partition, StoredValues.Kind.AUDIT.register(""));
    final RegisterState configuration =
        partition.registers.get(StoredValues.Kind.CONFIGURATION.register(""));
    if (auditSequencer.decidedSequence() == 0) {
      if (configuration != null && configuration.committed != null) {
        auditSequencer.add(
            auditSequencer.upgradeEntry(
                (StoredValues.StoredConfiguration) configuration.committed,
                self,
                environment.timeOfDay()));
        propose(partition, register, new StoredValues.Retention(0), List.of(), now);
      }
      return;
    }
    final AuditLog log = audit.log();
    final long trimThreshold = Math.max(16, auditRetention / 10);
    final long through = auditSequencer.decidedSequence() - auditRetention;
    if (auditRetention < Long.MAX_VALUE / 2
        && auditSequencer.decidedSequence() - log.base() > auditRetention + trimThreshold
        && log.last() == auditSequencer.decidedSequence()
        && through <= auditSequencer.majorityLogged(roster)) {
      final String digest = log.digestAt(through);
      if (digest != null) {
        auditSequencer.add(
            auditSequencer.retentionEntry(through, digest, self, environment.timeOfDay()));
        propose(partition, register, new StoredValues.Retention(through), List.of(), now);
      }
    }
  }

  // ---- control state for registries

  private final List<RegisterState.PendingRequest> parkedControlRequests = new ArrayList<>();

  private void controlRequest(
      final Partition partition,
      final StoreMessages.StoreRequest call,
      final Consumer<StoreMessages.StoreResponse> reply,
      final long now) {
    final RegisterState.PendingRequest pending =
        new RegisterState.PendingRequest(call, StoreOperation.CONTROL, reply, now);
    confirmLeadership(
        partition,
        now,
        pending,
        () -> {
          if (!answerControlRequest(partition, pending, false)) {
            parkedControlRequests.add(pending);
          }
        });
  }

  private boolean answerControlRequest(
      final Partition partition,
      final RegisterState.PendingRequest pending,
      final boolean evenIfUnchanged) {
    final ControlView view = new ControlView(partition.registers.values());
    if (!evenIfUnchanged && !view.isNewerThan(pending.call)) {
      return false;
    }
    final StoredValues.ControlSnapshot control = view.snapshotFor(pending.call, roster);
    pending.reply.accept(
        new StoreMessages.StoreResponse(
            pending.call.number, 200, view.version(), Serializer.serialize(control), null));
    return true;
  }

  private void answerParkedControlRequests(final Partition partition, final long now) {
    final List<RegisterState.PendingRequest> parked = new ArrayList<>(parkedControlRequests);
    parkedControlRequests.clear();
    for (final RegisterState.PendingRequest pending : parked) {
      if (!answerControlRequest(partition, pending, false)) {
        parkedControlRequests.add(pending);
      }
    }
  }

  // ---- time

  /**
   * Reports the state of the disk: how long the current write has lasted, and whether writes fail.
   */
  public void updateDiskState(final long writeMillis, final boolean failing, final long now) {
    final boolean nowFailing = failing || writeMillis > DISK_STALL_TIMEOUT_MILLIS;
    if (nowFailing && !diskFailing) {
      LOGGER.atWarning().log(
          "state store %s gives up its partitions: a disk write has hung for %s ms or writes fail; check free space and health of the disk",
          self, writeMillis);
      resign(false, now);
    }
    diskFailing = nowFailing;
  }

  /**
   * Gives up all partitions because the process ends. The replica stays a voter until a majority
   * has every partition on disk without it, or {@link GracefulLeave#TIMEOUT_MILLIS} have passed;
   * then the callback runs.
   */
  public void leave(final Runnable onStopped, final long now) {
    gracefulLeave.begin(onStopped, roster.number, now);
    resign(true, now);
    if (!canVote()) {
      completeLeave(now);
    }
  }

  private void completeLeave(final long now) {
    if (!gracefulLeave.isLeaving() || stopped) {
      return;
    }
    if (canVote() && !gracefulLeave.released()) {
      if (!gracefulLeave.timedOut(now)) {
        return;
      }
      LOGGER.atWarning().log(
          "state store %s leaves although partitions %s may be on too few other disks: no leader confirmed within %s ms that a majority has them without it; bring it back with its disk, or replace it, before another voter is lost",
          self, gracefulLeave.unreleasedPartitions(), GracefulLeave.TIMEOUT_MILLIS);
    }
    resign(true, now);
    stopped = true;
    gracefulLeave.onStopped().run();
  }

  /**
   * Tells a leaving voter which of the partitions led here are on a majority of disks without it.
   */
  private void sendReleased(final String from, final Consumer<Message> reply) {
    final int voterIndex = roster.indexOf(from);
    final List<Integer> numbers = new ArrayList<>();
    for (final Partition partition : partitions) {
      if (partition.phase == Phase.SERVING
          && !partitionsToRestart.contains(partition)
          && (voterIndex < 0 || storedWithout(partition, voterIndex))) {
        numbers.add(partition.number);
      }
    }
    if (!numbers.isEmpty()) {
      reply.accept(new StateStoreMessages.Released(roster.number, numbers));
    }
  }

  private boolean storedWithout(final Partition partition, final int leavingIndex) {
    if (partition.number == 0
        && auditSequencer.majorityLoggedWithout(roster, leavingIndex)
            < auditSequencer.decidedSequence()) {
      return false;
    }
    for (final RegisterState register : partition.registers.values()) {
      int count = 0;
      for (int voterIndex = 0; voterIndex < roster.voters.size(); voterIndex++) {
        count +=
            voterIndex != leavingIndex
                    && partition.establishmentAcked[voterIndex]
                    && register.ackedCounts[voterIndex] >= register.version.count
                ? 1
                : 0;
      }
      if (count < roster.majority() && register.proposed != null) {
        return false;
      }
    }
    return true;
  }

  private void onReleased(final StateStoreMessages.Released released, final long now) {
    if (gracefulLeave.isLeaving() && released.rosterNumber >= gracefulLeave.roster()) {
      gracefulLeave.released(Protocol.emptyIfNull(released.partitions));
      completeLeave(now);
    }
  }

  private void resign(final boolean leaving, final long now) {
    final List<Integer> numbers = new ArrayList<>();
    for (final Partition partition : partitions) {
      if (partition.phase.ordinal() > Phase.PRE_VOTING.ordinal()) {
        numbers.add(partition.number);
        stepDown(partition, now);
        partition.electionDueAt = now + 3000;
      }
    }
    if (leaving || !numbers.isEmpty()) {
      for (final Voter voter : roster.voters) {
        if (!voter.address.equals(self)) {
          environment.send(voter.address, new StateStoreMessages.Resign(leaving, numbers));
        }
      }
    }
  }

  /** Runs time-outs and periodic work; must be called every few tens of milliseconds. */
  public void tick(final long now) {
    if (stopped) {
      return;
    }
    if (gracefulLeave.isLeaving()) {
      completeLeave(now);
      if (stopped) {
        return;
      }
      if (gracefulLeave.noticeDue(now)) {
        resign(true, now);
      }
    }
    final int voterIndex = roster.indexOf(self);
    if (recovering || voterIndex < 0 || roster.voters.get(voterIndex).site.isEmpty()) {
      requestMembership(now);
    }
    if (recovering) {
      recovery.tick(now);
      return;
    }
    runRestarts(now);
    sendHeartbeats(now);
    for (final Partition partition : partitions) {
      switch (partition.phase) {
        case IDLE -> {
          if (canVote()
              && !diskFailing
              && !gracefulLeave.isLeaving()
              && now >= partition.electionDueAt) {
            startPreVote(partition, now);
          }
        }
        case PRE_VOTING -> {
          if (now - partition.preVoteStartedAt > PRE_VOTE_TIMEOUT_MILLIS) {
            partition.phase = Phase.IDLE;
            partition.electionDueAt = Math.max(partition.electionDueAt, now + random.nextInt(80));
          }
        }
        case PREPARING, ESTABLISHING -> {
          if (now - partition.phaseStartedAt > BALLOT_TIMEOUT_MILLIS) {
            stepDown(partition, now);
            partition.electionDueAt = now + electionRank(partition) * 100L + random.nextInt(300);
          } else if (partition.phase == Phase.PREPARING) {
            retryPrepare(partition, now);
          }
        }
        default -> {
          repairVoters(partition, now);
          expirePending(partition, now);
          handOverToPreferredRegion(partition, now);
        }
      }
    }
    audit.tick(auditPeers(), now);
    if (partitions[0].phase == Phase.SERVING) {
      maintainHistory(partitions[0], now);
      proposeRosterChange(now);
      sendRosterToSeeds(now);
    }
  }

  /**
   * Sends voters the registers that they lack, in messages of bounded size: the next once the last
   * was acknowledged, and none to voters that answer no heartbeat. A value that is unchanged since
   * this leader established it goes as its old version only: a voter that has it under that version
   * needs no more. The partition counts as established on a voter once all of it is there.
   */
  private void repairVoters(final Partition partition, final long now) {
    for (int voterIndex = 0; voterIndex < roster.voters.size(); voterIndex++) {
      final Partition.Repair repair = partition.repairs[voterIndex];
      if (repair.lastAckAt <= repair.sentAt || now - repair.sentAt <= repair.backoffMillis) {
        continue;
      }
      final List<RegisterEntry> entries = new ArrayList<>();
      boolean complete = true;
      int bytes = 0;
      for (final RegisterState register : partition.registers.values()) {
        if (register.proposed == null
            || register.ackedCounts[voterIndex] >= register.version.count) {
          continue;
        }
        complete &= register.ackedCounts[voterIndex] >= 0;
        if (bytes < REPAIR_MESSAGE_BYTES
            && now - register.sentAt[voterIndex] > RESEND_INTERVAL_MILLIS) {
          final boolean versionOnly =
              register.ackedCounts[voterIndex] < 0
                  && register.version.equals(register.establishedVersion);
          final byte[] value =
              versionOnly ? StoredValues.UNCHANGED : register.kind.encode(register.proposed);
          bytes +=
              register.name.length()
                  + ENTRY_OVERHEAD_BYTES
                  + value.length
                  + (register.auditTail == null ? 0 : register.auditTail.length);
          entries.add(
              versionOnly
                  ? new RegisterEntry(
                      register.name,
                      register.version,
                      register.promisedVersion,
                      value,
                      null,
                      register.auditTail)
                  : new RegisterEntry(
                      register.name,
                      register.version,
                      RegisterVersion.NONE,
                      null,
                      value,
                      register.auditTail));
          register.sentCounts[voterIndex] = register.version.count;
          register.sentAt[voterIndex] = now;
        }
      }
      final boolean establish =
          complete
              && !partition.establishmentAcked[voterIndex]
              && now - partition.establishmentSentAt[voterIndex] > RESEND_INTERVAL_MILLIS;
      if (establish || !entries.isEmpty()) {
        repair.sentAt = now;
        repair.backoffMillis =
            repair.backoffMillis == 0
                ? RESEND_INTERVAL_MILLIS
                : Math.min(MAX_REPAIR_BACKOFF_MILLIS, repair.backoffMillis * 2);
        partition.establishmentSentAt[voterIndex] =
            establish ? now : partition.establishmentSentAt[voterIndex];
        repairedBytes += bytes;
        send(
            roster.voters.get(voterIndex).address,
            new StateStoreMessages.Accept(
                partition.number,
                roster.number,
                partition.ballot,
                establish,
                partition.countedIncarnations,
                entries),
            now);
      }
    }
  }

  private long repairedBytes;

  private void expirePending(final Partition partition, final long now) {
    partition.waiters.removeIf(waiter -> now - waiter.receivedAt > PENDING_REQUEST_TIMEOUT_MILLIS);
    for (final RegisterState register : partition.registers.values()) {
      if (!register.waiting.isEmpty()) {
        register.waiting.removeIf(
            pending -> now - pending.receivedAt > PENDING_REQUEST_TIMEOUT_MILLIS);
      }
      if (!register.parkedWatches.isEmpty()) {
        register.parkedWatches.removeIf(
            pending -> {
              if (now - pending.receivedAt < pending.call.second) {
                return false;
              }
              pending.reply.accept(
                  new StoreMessages.StoreResponse(
                      pending.call.number,
                      200,
                      pending.call.first,
                      Serializer.serialize(
                          new StoredValues.WatchEvents(List.of(), pending.call.first)),
                      null));
              return true;
            });
      }
    }
    if (partition.number == 0) {
      parkedControlRequests.removeIf(
          pending ->
              now - pending.receivedAt >= CONTROL_WAIT_TIMEOUT_MILLIS
                  && answerControlRequest(partition, pending, true));
    }
  }

  private void handOverToPreferredRegion(final Partition partition, final long now) {
    final String best = preferredRegion();
    if (region.equals(best)) {
      partition.preferredRegionReadySince = 0;
      return;
    }
    int candidates = 0;
    for (int voterIndex = 0; voterIndex < roster.voters.size(); voterIndex++) {
      final Voter voter = roster.voters.get(voterIndex);
      if (voter.region.equals(best)
          && partition.heartbeatAcked[voterIndex] >= partition.heartbeatCount - 2
          && partition.establishmentAcked[voterIndex]) {
        candidates++;
      }
    }
    if (candidates < 2) {
      partition.preferredRegionReadySince = 0;
    } else if (partition.preferredRegionReadySince == 0) {
      partition.preferredRegionReadySince = now;
    } else if (now - partition.preferredRegionReadySince > 3000) {
      stepDown(partition, now);
      partition.electionDueAt = now + 2000;
      broadcast(new StateStoreMessages.Resign(false, List.of(partition.number)), now);
    }
  }

  private void requestMembership(final long now) {
    final StateStoreMessages.MembershipRequest request = recovery.nextMembershipRequest(now);
    if (request == null) {
      return;
    }
    final List<String> asked = new ArrayList<>(seeds);
    for (final String address : addresses(roster)) {
      if (!asked.contains(address)) {
        asked.add(address);
      }
    }
    for (final String address : peersSeen) {
      if (recovering && !asked.contains(address)) {
        asked.add(address);
      }
    }
    membership.describe(new Voter(self, site, region, List.of()));
    for (final String address : asked) {
      if (!address.equals(self)) {
        environment.send(address, request);
        if (!recovering && mayVote) {
          environment.send(
              address, new StateStoreMessages.Join(new Voter(self, site, region, List.of())));
        }
      }
    }
  }

  /**
   * Sends the roster to seeds that are neither voters nor joiners: they may have lost their disks
   * and know no other replica.
   */
  private void sendRosterToSeeds(final long now) {
    if (now - seedsUpdatedAt < SEED_UPDATE_INTERVAL_MILLIS) {
      return;
    }
    seedsUpdatedAt = now;
    for (final String seed : seeds) {
      if (!seed.equals(self) && roster.indexOf(seed) < 0 && !membership.joiners().contains(seed)) {
        environment.send(seed, new StateStoreMessages.RosterUpdate(roster));
      }
    }
  }

  private long seedsUpdatedAt;

  private void proposeRosterChange(final long now) {
    final Partition partition = partitions[0];
    final RegisterState register = registerState(partition, "roster");
    if (register.inFlight
        || register.committed != null && ((Roster) register.committed).number > roster.number
        || auditSequencer.majorityLogged(roster) < auditSequencer.decidedSequence()) {
      return;
    }
    final Roster next = membership.nextRoster(roster, now);
    if (next != null) {
      propose(partition, register, next, List.of(), now);
    }
  }

  // ---- state for tests, counters and operators

  /** The roster that this replica has adopted. */
  public Roster roster() {
    return roster;
  }

  /** Whether this replica has lost its state, or has none yet, and must not vote. */
  public boolean recovering() {
    return recovering;
  }

  /** The number of partitions that this replica leads. */
  public int partitionsLed() {
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

  /** The counters of the history and of recovery and repair, as one line. */
  public String historyCounters() {
    return audit.counters()
        + " "
        + recovery.counters()
        + " repaired "
        + repairedBytes / 1024
        + " KB";
  }

  /** The number of ballots started by this replica. */
  public long ballotsStarted() {
    return ballotsStarted;
  }

  /** The number of values committed by this replica as leader. */
  public long valuesCommitted() {
    return valuesCommitted;
  }
}
