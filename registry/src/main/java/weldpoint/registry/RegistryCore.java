package weldpoint.registry;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongFunction;
import weldpoint.affinity.PlacementCoordinator;
import weldpoint.common.WeldpointException;
import weldpoint.metrics.Metric;
import weldpoint.ownership.GrantTimings;
import weldpoint.ownership.OwnershipCoordinator;
import weldpoint.ratelimit.QuotaAllocator;
import weldpoint.routing.Affinity;
import weldpoint.statestore.StoreOperation;
import weldpoint.statestore.StoredValues;
import weldpoint.transport.CacheMessages;
import weldpoint.transport.KeyMessages;
import weldpoint.transport.Message;
import weldpoint.transport.OwnershipMessages.AssignerHeartbeat;
import weldpoint.transport.OwnershipMessages.Assignment;
import weldpoint.transport.OwnershipMessages.Assignments;
import weldpoint.transport.OwnershipMessages.SlotReport;
import weldpoint.transport.PermitMessages;
import weldpoint.transport.PlacementMessages;
import weldpoint.transport.Protocol;
import weldpoint.transport.RecordingMessages;
import weldpoint.transport.RegistryMessages;
import weldpoint.transport.RegistryMessages.DaemonEntry;
import weldpoint.transport.RegistryMessages.Registration;
import weldpoint.transport.Serializer;
import weldpoint.transport.StateStoreMessages.Roster;
import weldpoint.transport.StateStoreMessages.Voter;
import weldpoint.transport.StoreMessages;
import weldpoint.transport.TrialMessages;
import weldpoint.trial.TrialCoordinator;

/**
 * The membership: a persisted history of upstreams, reconciled with a random peer every second and
 * pushed at once, and the map of tokens that says which daemon keeps whose beats. It knows neither
 * threads nor clocks nor sockets.
 */
public final class RegistryCore {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final long GOSSIP_INTERVAL_MILLIS = 1000;
  private static final long STATUS_INTERVAL_MILLIS = 500;

  /** How long the word to proxies waits for the quorum read that makes it a proof. */
  private static final long STATUS_READ_TIMEOUT_MILLIS = 260;

  private static final long QUORUM_WRITE_TIMEOUT_MILLIS = 900;
  private static final long REFRESH_TIMEOUT_MILLIS = 400;
  private static final long RECONFIRM_AFTER_MILLIS = 1600;
  private static final long START_LEASE_MILLIS = 1500;
  private static final long MIN_BOOTSTRAP_MILLIS = 1500;
  private static final long MAX_BOOTSTRAP_MILLIS = 10_000;
  private static final long JOINT_ROSTER_MILLIS = 3000;
  private static final long MAJORITY_TIMEOUT_MILLIS = 2500;

  /** What the core does to the world. */
  public interface Environment {
    /** Sends to another exchange; false where there is no line to it. */
    boolean sendToMember(String address, Message message);

    /** Sends to a frame; false where there is no line to it. */
    boolean sendToReplica(String address, StoreMessages.StoreRequest call);

    /** Sends to a switchboard's stream. */
    void sendToStream(Object stream, Message message);

    /** Puts a record on disk; the callback runs once it is lasting. */
    void append(byte[] record, Runnable synced);

    /** The machines whose exchanges and frames to keep lines to. */
    void updatePeers(List<String> members);

    /** What is on disk, as counters. */
    default String diskCounters() {
      return "";
    }
  }

  private final String self;
  private final Random random;
  private final Environment environment;
  private List<String> seedAddresses;
  private final boolean firstStart;
  private final StoreClient store;
  private final HistoryReader historyReader;
  private final TrialService trialService;
  private final Registrations registrations;
  private final ControlState controlState;
  private final DaemonTable daemonTable = new DaemonTable();
  private final Directory directory = new Directory(daemonTable);
  private final ProxyStreams proxyStreams;
  private QuorumWrites quorumWrites = new QuorumWrites();
  private QuorumReads quorumReads;
  private MajorityReachability majorityReachability;
  private CacheMessages.Purges purges;
  private QuotaEndpoint quotaEndpoint;
  private final KeyClaims keyClaims;
  private final SiteMembership siteMembership = new SiteMembership();
  private Electorates electorates;
  private PlacementService placementService;
  private OwnershipEndpoint ownershipEndpoint;
  private final RecordingBuffer recordingBuffer = new RecordingBuffer();
  private final Map<String, Long> members = new LinkedHashMap<>();
  private final Set<String> connected = new HashSet<>();
  private Roster roster = new Roster(0, List.of());
  private Roster previousRoster;
  private long rosterChangedAt;
  private boolean bootstrapping;
  private long bootstrapRead = Long.MAX_VALUE;
  private long acksWithheldUntil = Long.MIN_VALUE / 2;
  private final List<Runnable> withheldAcks = new ArrayList<>();
  private long lastGossipAt;
  private long lastStatusAt;
  private boolean statusPending;
  private long statusRead;
  private long startedAt;
  private boolean reconciled;
  private long majorityAt = Long.MIN_VALUE / 2;
  private boolean controlRequestPending;
  private boolean leaving;
  private long heartbeats;
  private long gossipRounds;

  /** A core for these settings. */
  public RegistryCore(
      final String self,
      final List<String> seedAddresses,
      final boolean firstStart,
      final long heartbeatMillis,
      final Random random,
      final Environment environment) {
    this.self = self;
    this.seedAddresses = seedAddresses;
    this.firstStart = firstStart;
    this.registrations = new Registrations(heartbeatMillis);
    this.controlState = new ControlState(self);
    this.proxyStreams =
        new ProxyStreams(environment::sendToStream, registrations, controlState, daemonTable);
    this.random = random;
    this.environment = environment;
    this.store = new StoreClient(self, random, environment::sendToReplica);
    this.historyReader = new HistoryReader(self, store);
    this.trialService = new TrialService(self, controlState, store, new TrialRegistry());
    this.quorumReads = new QuorumReads(self);
    this.majorityReachability = new MajorityReachability(self, environment::sendToMember);
    this.keyClaims =
        new KeyClaims(
            self,
            environment::sendToMember,
            (claims, synced) ->
                environment.append(Serializer.serialize(PersistedRecord.claims(claims)), synced));
  }

  /** What trials need of this registry. */
  private final class TrialRegistry implements TrialService.Registry {
    @Override
    public CompletableFuture<Void> refresh(final long now) {
      return RegistryCore.this.refreshControlState(now);
    }

    @Override
    public CompletableFuture<Void> settle() {
      return RegistryCore.this.replicateControlState(clock);
    }

    @Override
    public long now() {
      return clock;
    }

    @Override
    public List<String> liveProxies(final long now) {
      final List<String> live = new ArrayList<>();
      daemonTable.liveProxies(now).forEach(proxy -> live.add(proxy.address));
      return live;
    }

    @Override
    public boolean hearsMajority(final long now) {
      return now - majorityAt < MAJORITY_TIMEOUT_MILLIS;
    }

    @Override
    public void relay(final TrialMessages.TrialReport report) {
      for (final String member : members.keySet()) {
        environment.sendToMember(member, report);
      }
    }
  }

  /** Takes other judges of what may be answered, for tests that break them. */
  void replaceQuorumChecks(
      final QuorumWrites givenWrites,
      final QuorumReads givenReads,
      final MajorityReachability givenReachability) {
    quorumWrites = givenWrites;
    quorumReads = givenReads;
    majorityReachability = givenReachability;
  }

  /** Takes to keeping who may choose a region's chief. */
  public void enableElectorates() {
    electorates =
        new Electorates(
            (region, body, now) ->
                store.call(StoreOperation.ELECTORATE, region, null, 0, 0, body, null, now, 900));
  }

  /** Takes to placing callers on nodes, by what settings say of write routes without a rule. */
  public void enablePlacements(
      final Affinity defaultAffinity,
      final long incarnation,
      final long leaseMillis,
      final long batchMillis) {
    placementService =
        new PlacementService(
            defaultAffinity,
            new PlacementCoordinator(
                self,
                incarnation,
                leaseMillis,
                batchMillis,
                new PlacementCoordinator.Writer() {
                  @Override
                  public CompletableFuture<StoreMessages.StoreResponse> keeper(
                      final PlacementMessages.PlacementOwner next, final long now) {
                    return store.call(
                        StoreOperation.KEEPER_WRITE,
                        "",
                        null,
                        0,
                        0,
                        Serializer.serialize(next),
                        null,
                        now,
                        900);
                  }

                  @Override
                  public CompletableFuture<StoreMessages.StoreResponse> placement(
                      final PlacementMessages.Placement next, final long now) {
                    return store.call(
                        StoreOperation.PLACEMENT_WRITE,
                        next.service,
                        null,
                        0,
                        0,
                        PlacementCoordinator.bytes(next),
                        null,
                        now,
                        900);
                  }
                }));
  }

  /** A switchboard asks for a lease on placements. */
  public void requestPlacementLease(
      final Object stream, final PlacementMessages.LeaseRequest request, final long now) {
    if (placementService == null) {
      return;
    }
    if (placementService.coordinator().keeps()) {
      environment.sendToStream(
          stream, placementService.coordinator().ask(request, majorityAt, now));
    } else {
      placementService.asker(request.board, stream);
      environment.sendToMember(placementService.coordinator().keeper(), request);
    }
  }

  /** Takes to assigning the keys of divided services. */
  void enableOwnership(
      final long incarnation, final GrantTimings timings, final KeyGrantClient grantClient) {
    ownershipEndpoint =
        new OwnershipEndpoint(
            self,
            incarnation,
            timings,
            new AssignerEnvironment(store, grantClient, () -> clock),
            this::sendToMembers,
            environment::sendToMember);
  }

  /** A proxy tells what it sent to the holders of keys. */
  public void slotReport(final SlotReport report) {
    if (ownershipEndpoint != null) {
      ownershipEndpoint.fromProxy(report);
    }
  }

  /** Takes to giving out permits. */
  public void enableQuotas(final QuotaAllocator allocator) {
    quotaEndpoint = new QuotaEndpoint(self, allocator, environment::sendToMember);
  }

  /** Takes where this daemon stands. */
  public void setLocation(final String givenSite, final String givenRegion) {
    site = givenSite;
    region = givenRegion;
  }

  private String site = "";
  private String region = "";

  /** Takes another seed list. */
  public void updateSeeds(final List<String> newSeeds, final long now) {
    seedAddresses = newSeeds;
    for (final String seed : newSeeds) {
      members.putIfAbsent(seed, now);
    }
    updatePeers(now);
  }

  // ---- disk

  /** Takes what the disk held and begins. */
  public void start(final List<byte[]> records, final long now) {
    startedAt = now;
    bootstrapping = records.isEmpty() && !(firstStart && seedAddresses.contains(self));
    for (final byte[] record : records) {
      final PersistedRecord persisted = Serializer.deserialize(record, PersistedRecord.class);
      bootstrapping =
          persisted.bootstrapState == PersistedRecord.BOOTSTRAP_UNCHANGED
              ? bootstrapping
              : persisted.bootstrapState == PersistedRecord.BOOTSTRAPPING;
      for (final Registration registration : Protocol.list(persisted.registrations)) {
        registrations.put(registration);
      }
      if (persisted.roster != null && persisted.roster.number > roster.number) {
        roster = persisted.roster;
      }
      controlState.restore(persisted);
      keyClaims.recall(Protocol.list(persisted.claims), now);
    }
    if (bootstrapping && records.isEmpty()) {
      persistBootstrapState();
    }
    rosterChangedAt = now;
    if (!firstStart && !records.isEmpty()) {
      acksWithheldUntil = now + START_LEASE_MILLIS;
      quorumReads.requestRead();
      if (startLeaseMillis(now) > 0) {
        quorumReads.recordLease(self, acksWithheldUntil);
      }
    }
    clock = now;
    majorityReachability.started(now);
    if (quotaEndpoint != null) {
      quotaEndpoint.began(roster);
    }
    reconciled = firstStart || registrations.size() > 0;
    registrations.resetHeartbeats(now);
    for (final String seed : seedAddresses) {
      members.put(seed, now);
    }
    updatePeers(now);
    LOGGER.atInfo().log(
        "registry %s starts with %s registrations, roster %s",
        self, registrations.size(), roster.number);
  }

  /** The live state as records. */
  public List<byte[]> snapshot() {
    final List<Registration> all = new ArrayList<>(registrations.all().values());
    return List.of(
        Serializer.serialize(
            new PersistedRecord(
                all,
                roster.number == 0 ? null : roster,
                controlState.version(),
                controlState.spec(),
                controlState.evacuated(),
                controlState.evacuationVersion(),
                controlState.trialCoordinator().trials(),
                controlState.trialVersion(),
                bootstrapping ? PersistedRecord.BOOTSTRAPPING : PersistedRecord.BOOTSTRAPPED,
                keyClaims.live())));
  }

  private void persistBootstrapState() {
    environment.append(
        Serializer.serialize(PersistedRecord.bootstrapState(bootstrapping)), () -> {});
  }

  private void persist(
      final List<Registration> changes, final Roster newRoster, final Runnable synced) {
    environment.append(
        Serializer.serialize(PersistedRecord.membership(changes, newRoster)), synced);
  }

  // ---- upstreams

  /**
   * Who keeps the beats of an upstream: the token's owner if it can be reached, otherwise the next
   * of the list.
   */
  public String heartbeatOwner(
      final String id, final String site, final Map<String, String> regions) {
    final String owner =
        HeartbeatOwners.heartbeatOwner(roster.voters, id, regions.get(site), this::reachable);
    return owner == null ? self : owner;
  }

  private boolean reachable(final String address) {
    return address.equals(self) || connected.contains(address);
  }

  /** A beat of an upstream; completes once it may be acknowledged. */
  public CompletableFuture<Void> heartbeat(final Registration heartbeat, final long now) {
    heartbeats++;
    final Registration before = registrations.get(heartbeat.id);
    if (registrations.heartbeat(heartbeat.id, now)) {
      proxyStreams.sendSuspects();
    }
    final boolean draining = LifecycleStage.of(heartbeat) == LifecycleStage.DRAINING;
    final boolean late =
        before != null
            && (LifecycleStage.of(before) == LifecycleStage.REMOVED
                || heartbeat.sequence < before.sequence);
    if (late && !draining) {
      return CompletableFuture.completedFuture(null);
    }
    final List<Registration> changes = new ArrayList<>();
    if (registrations.put(heartbeat)) {
      changes.add(heartbeat);
      if (before == null) {
        LOGGER.atInfo().log(
            "upstream %s joined %s at %s", heartbeat.id, heartbeat.service, heartbeat.address);
      } else if (before.stage != heartbeat.stage) {
        LOGGER.atInfo().log("upstream %s is %s", heartbeat.id, LifecycleStage.of(heartbeat));
      }
    }
    changes.addAll(claimAddress(heartbeat, before == null, now));
    if (!changes.isEmpty()) {
      if (draining) {
        proxyStreams.sendRegistrations(changes);
        return writeToQuorum(changes, now);
      }
      persist(changes, null, () -> {});
      sendToMembers(new RegistryMessages.Changes(0, changes, null));
      proxyStreams.sendRegistrations(changes);
    }
    return draining
        ? writeToQuorum(List.of(registrations.get(heartbeat.id)), now)
        : CompletableFuture.completedFuture(null);
  }

  /**
   * Writes off other lives at the address of an upstream that beats; those that changed. One that
   * leaves claims nothing: it may be a life of which nothing but its end is heard, late.
   */
  private List<Registration> claimAddress(
      final Registration heartbeat, final boolean newcomer, final long now) {
    if (LifecycleStage.of(heartbeat) != LifecycleStage.JOINED) {
      return List.of();
    }
    final List<Registration> superseded =
        newcomer
            ? registrations.supersede(heartbeat, now)
            : registrations.resolveContestedAddress(heartbeat, now);
    for (final Registration registration : superseded) {
      LOGGER.atInfo().log(
          "upstream %s is %s, since %s beats from its address %s",
          registration.id, LifecycleStage.of(registration), heartbeat.id, heartbeat.address);
    }
    return superseded;
  }

  /** An upstream signs off; completes once a majority of disks holds it. */
  public CompletableFuture<Void> deregister(final String id, final long issued, final long now) {
    final Registration before = registrations.get(id);
    final Registration ended =
        before == null
            ? new Registration(
                id, "", "", "", "", 0, LifecycleStage.REMOVED.ordinal(), 0, issued, 0)
            : Registrations.withStage(before, LifecycleStage.REMOVED, issued);
    if (before == null || LifecycleStage.of(before) != LifecycleStage.REMOVED) {
      registrations.put(ended);
      LOGGER.atInfo().log("upstream %s signed off", id);
      proxyStreams.sendRegistrations(List.of(ended));
    }
    return writeToQuorum(List.of(registrations.get(id)), now);
  }

  private CompletableFuture<Void> writeToQuorum(final List<Registration> changes, final long now) {
    return beginQuorumWrite(
        changes,
        changeNumber -> new RegistryMessages.Changes(changeNumber, changes, null),
        now + QUORUM_WRITE_TIMEOUT_MILLIS,
        now);
  }

  private CompletableFuture<Void> beginQuorumWrite(
      final List<Registration> changes,
      final LongFunction<Message> message,
      final long deadline,
      final long now) {
    final CompletableFuture<Void> future =
        quorumWrites.begin(message, this::sendToMembers, deadline, now);
    final long changeNumber = quorumWrites.lastNumber();
    persist(changes, null, () -> acknowledge(() -> recordAck(self, changeNumber, clock)));
    return future;
  }

  private void recordAck(final String from, final long changeNumber, final long now) {
    quorumWrites.acknowledged(
        from,
        changeNumber,
        roster,
        now - rosterChangedAt < JOINT_ROSTER_MILLIS ? previousRoster : null,
        now);
  }

  private void sendToVoters(final Message message) {
    for (final Voter voter : roster.voters) {
      if (!voter.address.equals(self)) {
        environment.sendToMember(voter.address, message);
      }
    }
  }

  private void sendToMembers(final Message message) {
    for (final String member : members.keySet()) {
      if (!member.equals(self)) {
        environment.sendToMember(member, message);
      }
    }
  }

  /**
   * The frames have taken a configuration (null where they hold it, or a later one, already);
   * completes once a majority of exchanges has it, or a later one, on disk too.
   */
  public CompletableFuture<Void> replicateConfiguration(
      final long version, final byte[] body, final long now) {
    if (body == null) {
      return refreshControlState(clock).thenCompose(done -> replicateCurrentConfiguration(now));
    }
    applyControlState(version, body, null, 0, null, 0);
    return replicateCurrentConfiguration(now);
  }

  private CompletableFuture<Void> replicateCurrentConfiguration(final long now) {
    final long version = controlState.version();
    final byte[] body = controlState.spec();
    return beginQuorumWrite(
        List.of(),
        changeNumber ->
            new RegistryMessages.Changes(changeNumber, null, null, version, body, null, 0, null, 0),
        now + QUORUM_WRITE_TIMEOUT_MILLIS,
        now);
  }

  /** The frames have taken an order; completes once a majority of exchanges has it on disk too. */
  public CompletableFuture<Void> replicateControlState(final long now) {
    return refreshControlState(clock)
        .thenCompose(
            done -> {
              final List<String> evacuated = controlState.evacuated();
              final long evacuationMark = controlState.evacuationVersion();
              final List<TrialMessages.Trial> trials = controlState.trialCoordinator().trials();
              final long trialMark = controlState.trialVersion();
              return beginQuorumWrite(
                  List.of(),
                  changeNumber ->
                      new RegistryMessages.Changes(
                          changeNumber,
                          null,
                          null,
                          0,
                          null,
                          evacuated,
                          evacuationMark,
                          trials,
                          trialMark),
                  now + QUORUM_WRITE_TIMEOUT_MILLIS,
                  now);
            });
  }

  /**
   * Asks the frames for what they hold; completes once a majority has confirmed it after this
   * question.
   */
  public CompletableFuture<Void> refreshControlState(final long now) {
    return store
        .call(
            StoreOperation.CONTROL,
            "",
            null,
            controlState.version(),
            -1,
            null,
            null,
            now,
            REFRESH_TIMEOUT_MILLIS)
        .thenAccept(
            answer -> {
              if (answer.status != 200) {
                throw new WeldpointException(
                    WeldpointException.Kind.OUT_OF_REACH,
                    "no majority confirmed what is in force; ask another daemon");
              }
              applyControlSnapshot(
                  Serializer.deserialize(answer.body, StoredValues.ControlSnapshot.class), now);
            });
  }

  private void applyControlState(
      final long version,
      final byte[] spec,
      final List<String> evacuated,
      final long evacuationMark,
      final List<TrialMessages.Trial> trials,
      final long trialMark) {
    final ControlState.Delta delta =
        controlState.update(version, spec, evacuated, evacuationMark, trials, trialMark, clock);
    if (delta.anyChange()) {
      environment.append(
          Serializer.serialize(
              new PersistedRecord(
                  null,
                  null,
                  controlState.version(),
                  delta.spec(),
                  controlState.evacuated(),
                  controlState.evacuationVersion(),
                  controlState.trialCoordinator().trials(),
                  controlState.trialVersion())),
          () -> {});
      proxyStreams.sendToAll(
          new RegistryMessages.View(
              delta.spec() == null ? 0 : controlState.version(),
              delta.spec(),
              delta.evacuations(),
              controlState.evacuated(),
              controlState.evacuationVersion(),
              null,
              false,
              null,
              daemonTable.peakProxyCount(),
              delta.trials() ? controlState.trials() : null,
              delta.trials() ? controlState.trialVersion() : -1));
    }
  }

  // ---- other exchanges

  /** Another exchange has said something. */
  public void receive(
      final String from,
      final Message message,
      final java.util.function.Consumer<Message> reply,
      final long now) {
    if (members.put(from, now) == null) {
      updatePeers(now);
    }
    if (message instanceof RegistryMessages.Changes) {
      final RegistryMessages.Changes changes = (RegistryMessages.Changes) message;
      mergeRegistrations(Protocol.list(changes.registrations), now);
      applyControlState(
          changes.version,
          changes.spec,
          changes.evacuated,
          changes.evacuationMark,
          changes.trials,
          changes.trialMark);
      daemonTable.merge(Protocol.list(changes.boards), now);
      for (final DaemonEntry daemon : Protocol.list(changes.boards)) {
        if (daemon.ageMillis >= DaemonTable.GONE_MILLIS) {
          daemonTable.markGone(daemon, now);
        }
      }
      if (changes.number != 0) {
        final List<Registration> current = new ArrayList<>();
        for (final Registration registration : Protocol.list(changes.registrations)) {
          current.add(registrations.get(registration.id));
        }
        persist(
            current,
            null,
            () ->
                acknowledge(
                    () ->
                        reply.accept(
                            new RegistryMessages.ChangesAck(changes.number, roster.number))));
      }
    } else if (message instanceof RegistryMessages.ChangesAck) {
      onChangesAck(from, (RegistryMessages.ChangesAck) message, now);
    } else if (message instanceof RegistryMessages.ControlStateRequest) {
      onControlStateRequest(from, (RegistryMessages.ControlStateRequest) message, reply, now);
    } else if (message instanceof RegistryMessages.ControlStateResponse) {
      onControlStateResponse(from, (RegistryMessages.ControlStateResponse) message, now);
    } else if (message instanceof TrialMessages.TrialReport) {
      trialService.report((TrialMessages.TrialReport) message, now);
    } else if (message instanceof RecordingMessages.RecordingState) {
      if (recordingBuffer.take((RecordingMessages.RecordingState) message)) {
        proxyStreams.sendToAll(message);
      }
    } else if (message instanceof PermitMessages.PermitRequest) {
      requestPermits((PermitMessages.PermitRequest) message, reply, now);
    } else if (message instanceof PermitMessages.PermitResponse && quotaEndpoint != null) {
      quotaEndpoint.answered((PermitMessages.PermitResponse) message, now);
    } else if (message instanceof KeyMessages.ClaimVoteRequest
        || message instanceof KeyMessages.ClaimVoteResponse
        || message instanceof KeyMessages.ClaimRelease) {
      updateKeyRoster(now);
      keyClaims.receive(from, message, reply, now);
    } else if (message instanceof PlacementMessages.LeaseRequest && placementService != null) {
      reply.accept(
          placementService
              .coordinator()
              .ask((PlacementMessages.LeaseRequest) message, majorityAt, now));
    } else if (message instanceof PlacementMessages.LeaseGrant && placementService != null) {
      placementService.granted(
          (PlacementMessages.LeaseGrant) message,
          proxyStreams::contains,
          environment::sendToStream);
    } else if (message instanceof AssignerHeartbeat && ownershipEndpoint != null) {
      ownershipEndpoint.pulse(from, (AssignerHeartbeat) message, now);
    } else if (message instanceof SlotReport && ownershipEndpoint != null) {
      ownershipEndpoint.fromRegistry((SlotReport) message, now);
    } else if (message instanceof RegistryMessages.Gossip) {
      onGossip(from, (RegistryMessages.Gossip) message, reply, now);
    }
  }

  private void mergeRegistrations(final List<Registration> received, final long now) {
    final List<Registration> changed = registrations.merge(received, now);
    if (!changed.isEmpty()) {
      persist(changed, null, () -> {});
      proxyStreams.sendRegistrations(changed);
    }
  }

  private void onChangesAck(
      final String from, final RegistryMessages.ChangesAck ack, final long now) {
    if (ack.rosterNumber > roster.number) {
      environment.sendToMember(from, gossipMessage(0, false, false, false, null, now));
      return;
    }
    recordAck(from, ack.number, now);
  }

  private Message controlStateRequest(final long readNumber) {
    return controlStateRequest(readNumber, 0);
  }

  /**
   * The question with a lease. It goes only over a line that the other was at the end of before
   * this clock was read: the other counts the lease from its own start.
   */
  private Message controlStateRequestWithLease(final long readNumber) {
    return controlStateRequest(readNumber, startLeaseMillis(clock));
  }

  private Message controlStateRequest(final long readNumber, final long leaseMillis) {
    return new RegistryMessages.ControlStateRequest(
        readNumber,
        roster.number,
        controlState.version(),
        controlState.evacuationVersion(),
        controlState.trialVersion(),
        registrations.bucketDigests(true),
        leaseMillis,
        bootstrapping);
  }

  private RegistryMessages.ControlStateResponse controlStateResponse(
      final RegistryMessages.ControlStateRequest request, final long now) {
    final boolean includeSpec = controlState.version() > request.version;
    final boolean includeEvacuations = controlState.evacuationVersion() > request.evacuationMark;
    final boolean includeTrials = controlState.trialVersion() > request.trialMark;
    List<Registration> missing = List.of();
    final List<Long> buckets = registrations.bucketDigests(true);
    if (request.buckets != null && !buckets.equals(request.buckets)) {
      missing =
          RegistrationBuckets.differing(registrations.all().values(), buckets, request.buckets);
    }
    return new RegistryMessages.ControlStateResponse(
        request.number,
        roster.number > request.rosterNumber ? roster : null,
        bootstrapping,
        Math.min(Integer.MAX_VALUE, now - lastMajorityContactAt()),
        includeSpec ? controlState.version() : 0,
        includeSpec ? controlState.spec() : null,
        includeEvacuations ? controlState.evacuated() : null,
        includeEvacuations ? controlState.evacuationVersion() : 0,
        includeTrials ? controlState.trialCoordinator().trials() : null,
        includeTrials ? controlState.trialVersion() : 0,
        missing.isEmpty() ? null : RegistrationBuckets.pack(missing),
        startLeaseMillis(now),
        request.claimsToo ? keyClaims.live() : null);
  }

  /**
   * For how long a voter that has only just started confirms no change yet. After a loss of power
   * everywhere, what a majority says over its first lines then holds for all switchboards that come
   * back meanwhile, and nothing is held up, since the frames need longer for their ballots.
   */
  private long startLeaseMillis(final long now) {
    return bootstrapping || roster.index(self) < 0 ? 0 : Math.max(0, acksWithheldUntil - now);
  }

  /**
   * Another exchange asks, and says so what it holds; a line of this life carries nothing that was
   * said before this life began.
   */
  private void onControlStateRequest(
      final String from,
      final RegistryMessages.ControlStateRequest request,
      final java.util.function.Consumer<Message> reply,
      final long now) {
    clock = Math.max(clock, now);
    reply.accept(controlStateResponse(request, now));
    final boolean nothingNew =
        request.buckets != null
            && request.rosterNumber <= roster.number
            && request.version <= controlState.version()
            && request.evacuationMark <= controlState.evacuationVersion()
            && request.trialMark <= controlState.trialVersion()
            && request.buckets.equals(registrations.bucketDigests(true));
    if (request.leaseMillis > 0 && nothingNew) {
      quorumReads.recordLease(from, startedAt + request.leaseMillis);
    }
    if (roster.index(from) >= 0 && !connected.contains(from)) {
      quorumReads.onConnected(from, this::controlStateRequestWithLease, reply);
    }
    sendInitialViews(now);
  }

  /**
   * Confirms that a change is on this disk: at once, or when a lease that was given has run out.
   */
  private void acknowledge(final Runnable ack) {
    if (clock < acksWithheldUntil) {
      withheldAcks.add(ack);
    } else {
      ack.run();
    }
  }

  private void onControlStateResponse(
      final String from, final RegistryMessages.ControlStateResponse response, final long now) {
    clock = Math.max(clock, now);
    majorityReachability.reported(from, response.majorityAgeMillis, now);
    applyRoster(response.roster, now);
    applyControlState(
        response.version,
        response.spec,
        response.evacuated,
        response.evacuationMark,
        response.trials,
        response.trialMark);
    mergeRegistrations(RegistrationBuckets.unpack(response.packed), now);
    keyClaims.learn(Protocol.list(response.claims), now);
    if (!response.learning) {
      quorumReads.recordAnswer(from, response.number);
      if (response.leaseMillis > 0) {
        quorumReads.recordLease(
            from, quorumReads.startedAt(response.number) + response.leaseMillis);
      }
    }
    advanceQuorumReads(now);
  }

  /** Looks whether the quorum read under way is done, and begins the next where one is wanted. */
  private void advanceQuorumReads(final long now) {
    if (bootstrapping
        && bootstrapRead == Long.MAX_VALUE
        && roster.index(self) >= 0
        && now - startedAt >= MIN_BOOTSTRAP_MILLIS) {
      bootstrapRead = quorumReads.requestRead();
    }
    if (now - majorityAt > RECONFIRM_AFTER_MILLIS
        && now - quorumReads.confirmedAt() > RECONFIRM_AFTER_MILLIS
        && roster.number > 0) {
      quorumReads.requestRead();
    }
    if (quorumReads.completeReads(roster, !bootstrapping)) {
      reconciled = true;
      sendInitialViews(now);
    }
    if (bootstrapping && quorumReads.lastCompleted() >= bootstrapRead) {
      finishBootstrap(now);
    } else if (bootstrapping
        && roster.index(self) >= 0
        && now - Math.max(rosterChangedAt, startedAt) > MAX_BOOTSTRAP_MILLIS
        && now - majorityAt < MAJORITY_TIMEOUT_MILLIS) {
      LOGGER.atWarning().log(
          "registry %s found no majority of registries that have all that was acknowledged; it counts with what it has",
          self);
      finishBootstrap(now);
    }
    quorumReads.tick(this::controlStateRequest, this::sendToVoters, now);
    if (statusPending
        && (quorumReads.lastCompleted() >= statusRead
            || now - lastStatusAt >= STATUS_READ_TIMEOUT_MILLIS)) {
      statusPending = false;
      proxyStreams.sendToAllAndWaiting(registryStatus(now, false), canServeProxies(now), now);
    }
  }

  private void finishBootstrap(final long now) {
    bootstrapping = false;
    persistBootstrapState();
    LOGGER.atInfo().log(
        "registry %s has learned what was acknowledged before it came, and counts", self);
  }

  private boolean isFirstReachableVoter() {
    for (final Voter voter : roster.voters) {
      if (voter.address.equals(self) || connected.contains(voter.address)) {
        return voter.address.equals(self);
      }
    }
    return false;
  }

  private void announceDisconnectedDaemons(final long now) {
    for (final DaemonEntry daemon : daemonTable.expireDisconnected(now)) {
      final RegistryMessages.Changes message =
          new RegistryMessages.Changes(
              0, null, List.of(DaemonTable.withAge(daemon, DaemonTable.GONE_MILLIS)));
      for (final String member : members.keySet()) {
        environment.sendToMember(member, message);
      }
    }
  }

  private void onGossip(
      final String from,
      final RegistryMessages.Gossip gossip,
      final java.util.function.Consumer<Message> reply,
      final long now) {
    final boolean registrationsEqual = gossip.digest == registrations.digest();
    mergeRegistrations(Protocol.list(gossip.history), now);
    mergeRegistrations(RegistrationBuckets.unpack(gossip.packed), now);
    appliedStates.report(from, gossip.version, gossip.mark, gossip.heldMillis, now);
    if (gossip.region != null && !gossip.region.isEmpty()) {
      memberLocations.put(from, gossip.region + "/" + gossip.site);
    }
    final boolean daemonsEqual = gossip.boardDigest == daemonTable.digest(now);
    if (daemonsEqual && gossip.boardAges != null) {
      daemonTable.mergeAges(gossip.boardAges, now);
    }
    daemonTable.merge(Protocol.list(gossip.boards), now);
    applyRoster(gossip.roster, now);
    boolean newMembers = false;
    for (final String member : Protocol.list(gossip.members)) {
      if (!members.containsKey(member) && !member.equals(self)) {
        members.put(member, now - 1500);
        newMembers = true;
      }
    }
    if (newMembers) {
      updatePeers(now);
    }
    boolean suspectsCleared = false;
    if (registrationsEqual && gossip.beatAges != null) {
      suspectsCleared = registrations.mergeHeartbeatAges(gossip.beatAges, now);
    }
    final List<String> heardIds = Protocol.list(gossip.beaten);
    for (int index = 0; index < heardIds.size(); index++) {
      suspectsCleared |=
          registrations.mergeHeartbeat(heardIds.get(index), now - gossip.ages.get(index), now);
    }
    if (suspectsCleared) {
      proxyStreams.sendSuspects();
    }
    if (gossip.depth == 0) {
      reply.accept(
          gossipMessage(
              1,
              !registrationsEqual,
              !daemonsEqual,
              gossip.rosterNumber < roster.number,
              gossip.count == 0 ? List.of() : null,
              now));
      return;
    }
    if (gossip.depth < 3 && !registrationsEqual && gossip.digest != registrations.digest()) {
      reply.accept(
          gossipMessage(
              gossip.depth + 1, true, !daemonsEqual, false, Protocol.list(gossip.buckets), now));
    } else if (gossip.depth == 1 && (!daemonsEqual || gossip.rosterNumber < roster.number)) {
      reply.accept(gossipMessage(3, false, true, gossip.rosterNumber < roster.number, null, now));
    }
    if (!reconciled
        && (gossip.depth > 1
            || registrationsEqual
            || gossip.digest == registrations.digest()
            || gossip.packed != null
            || gossip.history != null)) {
      reconciled = true;
      LOGGER.atInfo().log("registry %s has reconciled its history with a peer", self);
    }
  }

  /**
   * What is told to a peer: the history where it differs (all of it where there are no buckets to
   * compare), switchboards and the roster where they do.
   */
  private RegistryMessages.Gossip gossipMessage(
      final int depth,
      final boolean registrationsDiffer,
      final boolean daemonsDiffer,
      final boolean includeRoster,
      final List<Long> peerDigests,
      final long now) {
    final List<String> heardIds = new ArrayList<>();
    final List<Long> ages = new ArrayList<>();
    if (registrationsDiffer) {
      registrations.recentHeartbeats(heardIds, ages, now);
    }
    final List<DaemonEntry> daemons =
        daemonsDiffer ? daemonTable.entriesWithAges(now) : new ArrayList<>();
    final List<Long> localDigests = registrationsDiffer ? registrations.bucketDigests(true) : null;
    final byte[] packed =
        registrationsDiffer && peerDigests != null
            ? RegistrationBuckets.pack(
                RegistrationBuckets.differing(
                    registrations.all().values(), localDigests, peerDigests))
            : null;
    return new RegistryMessages.Gossip(
        depth,
        registrations.digest(),
        includeRoster ? roster : null,
        depth == 0 || daemonsDiffer ? new ArrayList<>(members.keySet()) : null,
        null,
        daemons,
        heardIds,
        ages,
        controlState.version(),
        controlState.orderVersion(),
        now - controlState.appliedAt(),
        roster.number,
        registrations.size(),
        registrations.heartbeatAges(now),
        daemonTable.digest(now),
        daemonTable.ages(now),
        localDigests,
        packed,
        site,
        region);
  }

  private void applyRoster(final Roster newRoster, final long now) {
    if (newRoster == null || newRoster.number <= roster.number) {
      return;
    }
    if (!bootstrapping
        && newRoster.index(self) >= 0
        && roster.index(self) < 0
        && (roster.number > 0 || !seedAddresses.contains(self) || !firstStart)) {
      bootstrapping = true;
      persistBootstrapState();
    }
    bootstrapRead = Long.MAX_VALUE;
    previousRoster = roster.number == 0 ? null : roster;
    rosterChangedAt = now;
    roster = newRoster;
    quorumReads.onRosterChanged();
    persist(List.of(), newRoster, () -> {});
    for (final Voter voter : newRoster.voters) {
      members.putIfAbsent(voter.address, now - 1500);
    }
    updatePeers(now);
  }

  private void updatePeers(final long now) {
    final List<String> addresses = new ArrayList<>();
    for (final String member : members.keySet()) {
      if (!member.equals(self)) {
        addresses.add(member);
      }
    }
    environment.updatePeers(addresses);
    final List<String> replicas = new ArrayList<>(addresses);
    replicas.add(self);
    store.replicas(replicas);
  }

  /** Orders switchboards to begin or end recording. */
  public RecordingMessages.RecordingState setRecording(
      final boolean on, final long wallClock, final long now) {
    final RecordingMessages.RecordingState state = recordingBuffer.order(on, wallClock);
    proxyStreams.sendToAll(state);
    broadcastRecordingState(now);
    return state;
  }

  private void broadcastRecordingState(final long now) {
    if (recordingBuffer.tells(now)) {
      for (final String member : members.keySet()) {
        environment.sendToMember(member, recordingBuffer.state());
      }
    }
  }

  /** A switchboard has recorded something. */
  public void addRecordingBatch(final RecordingMessages.RecordingBatch batch, final long now) {
    recordingBuffer.add(batch, now);
  }

  /** What was recorded here since it was last collected, with what is in force. */
  public RecordingBuffer.Collection drainRecording(final long now) {
    final List<RecordingBuffer.CollectedBatch> batches = recordingBuffer.drain(now);
    return new RecordingBuffer.Collection(
        recordingBuffer.state().on,
        recordingBuffer.state().mark,
        recordingBuffer.dropped(),
        recordingBuffer.left(),
        batches,
        controlState.version(),
        controlState.spec(),
        new ArrayList<>(registrations.all().values()),
        controlState.evacuated());
  }

  /** Whether switchboards record, and how much waits here. */
  public String recordingStatus() {
    return (recordingBuffer.state().on ? "recording" : "not recording")
        + ", "
        + recordingBuffer.left()
        + " calls wait to be collected here, "
        + recordingBuffer.dropped()
        + " dropped here";
  }

  /** A proxy claims an idempotency key for a request, or gives one back. */
  public void onKeyMessage(
      final Message message, final java.util.function.Consumer<Message> reply, final long now) {
    if (message instanceof KeyMessages.ClaimRequest && cutOff(now)) {
      final long number = ((KeyMessages.ClaimRequest) message).claim.number;
      reply.accept(new KeyMessages.ClaimResponse(number, KeyMessages.ClaimResult.UNKNOWN, null));
      return;
    }
    updateKeyRoster(now);
    keyClaims.fromProxy(message, reply, now);
  }

  private void updateKeyRoster(final long now) {
    final boolean joint = now - rosterChangedAt < JOINT_ROSTER_MILLIS;
    keyClaims.roster(
        roster, joint ? previousRoster : null, !bootstrapping && roster.index(self) >= 0);
  }

  /** Somebody asks for permits. */
  public void requestPermits(
      final PermitMessages.PermitRequest request,
      final java.util.function.Consumer<Message> reply,
      final long now) {
    if (quotaEndpoint == null) {
      reply.accept(
          new PermitMessages.PermitResponse(
              request.number, 0, controlState.version(), Integer.MAX_VALUE));
      return;
    }
    quotaEndpoint.ask(
        request,
        reply,
        controlState.routingTable(),
        roster,
        controlState.version(),
        now - majorityAt,
        now);
  }

  // ---- switchboards

  /** Whether this exchange knows enough to tell switchboards what to do. */
  public boolean canServeProxies(final long now) {
    return reconciled && controlState.version() > 0 && !leaving;
  }

  /** A switchboard tells of itself over its stream. */
  public void onDaemonReport(final Object stream, final DaemonEntry daemon, final long now) {
    onDaemonReport(stream, daemon, null, now);
  }

  /** A switchboard tells of itself, and at the opening of its stream, by digests, what it has. */
  public void onDaemonReport(
      final Object stream,
      final DaemonEntry daemon,
      final List<Long> bucketDigests,
      final long now) {
    final boolean isNew = daemonTable.isNew(daemon, now);
    daemonTable.merge(List.of(daemon), now);
    if (isNew) {
      for (final String member : members.keySet()) {
        environment.sendToMember(member, new RegistryMessages.Changes(0, null, List.of(daemon)));
      }
    }
    if (!proxyStreams.contains(stream)) {
      if (electorates != null) {
        electorates.addStream(stream, daemon.region);
      }
      proxyStreams.add(
          stream, daemon, bucketDigests, daemon.version == 0 ? quorumReads.requestRead() : 0, now);
      siteMembership.addStream(stream, daemon.announcer ? "" : daemon.site);
      advanceQuorumReads(now);
      sendInitialViews(now);
    }
  }

  private void sendInitialViews(final long now) {
    final long completedRead =
        now < quorumReads.leasedUntil(roster) ? Long.MAX_VALUE : quorumReads.lastCompleted();
    if (canServeProxies(now) && proxyStreams.anyReady(completedRead)) {
      proxyStreams.sendInitialViews(completedRead, stream -> onInitialViewSent(stream, now));
    }
  }

  private void onInitialViewSent(final Object stream, final long now) {
    if (purges != null && proxyStreams.isCache(stream)) {
      environment.sendToStream(stream, purges);
    }
    if (electorates != null) {
      electorates.sendTo(stream, environment::sendToStream);
    }
    if (recordingBuffer.state().mark > 0) {
      environment.sendToStream(stream, recordingBuffer.state());
    }
    if (placementService != null && placementService.coordinator().mark() > 0) {
      environment.sendToStream(stream, placementService.coordinator().placements());
    }
    if (ownershipEndpoint != null
        && ownershipEndpoint.all() != null
        && !proxyStreams.isCache(stream)) {
      environment.sendToStream(stream, ownershipEndpoint.all());
    }
    siteMembership.sendTo(stream, environment::sendToStream);
    environment.sendToStream(stream, registryStatus(now, true));
  }

  /** A switchboard's stream has ended. */
  public void onStreamClosed(final Object stream, final String address, final long now) {
    proxyStreams.remove(stream);
    siteMembership.removeStream(stream);
    if (electorates != null) {
      electorates.removeStream(stream);
    }
    daemonTable.streamClosed(address, now);
  }

  /**
   * What is told each time, with the registries that there is a line to where they have changed
   * since they were told to all. Machines that are gone must not be named: proxies dial them.
   */
  private RegistryMessages.RegistryStatus registryStatus(final long now, final boolean initial) {
    final List<String> caches = daemonTable.liveCaches(now);
    final List<String> locations = new ArrayList<>();
    final List<String> reachableMembers = new ArrayList<>(members.keySet());
    reachableMembers.removeIf(member -> !member.equals(self) && !connected.contains(member));
    for (final String member : reachableMembers) {
      locations.add(
          member.equals(self) ? region + "/" + site : memberLocations.getOrDefault(member, ""));
    }
    final boolean changed =
        !reachableMembers.equals(lastSentMembers) || !locations.equals(lastSentLocations);
    if (!initial) {
      lastSentMembers = reachableMembers;
      lastSentLocations = locations;
    }
    return new RegistryMessages.RegistryStatus(
        Math.min(Integer.MAX_VALUE, now - majorityAt),
        daemonTable.peakProxyCount(),
        initial || changed ? reachableMembers : null,
        caches,
        initial || changed ? locations : null,
        Math.min(Integer.MAX_VALUE, now - lastMajorityContactAt()),
        quorumReads.lastCompleted() == 0 ? null : Long.valueOf(quorumReads.confirmedAt()),
        now);
  }

  private List<String> lastSentMembers = List.of();
  private List<String> lastSentLocations = List.of();
  private final Map<String, String> memberLocations = new HashMap<>();

  /** When this exchange was last surely in touch with a majority, of frames or of exchanges. */
  private long lastMajorityContactAt() {
    return Math.max(majorityAt, quorumReads.confirmedAt());
  }

  /**
   * Whether this exchange knows that it is without a majority: none has answered it lately, and
   * there are not enough lines to voters.
   */
  public boolean cutOff(final long now) {
    return majorityReachability.cutOff(
        roster, seedAddresses, connected, lastMajorityContactAt(), now);
  }

  /** An exchange that told lately that it hears a majority; null where there is none. */
  public String registryWithMajority(final long now) {
    return majorityReachability.peerWithMajority(connected, now);
  }

  /** The fronts that a client in this place should use; empty where none is known. */
  public List<String> resolve(
      final String region, final String site, final int limit, final long now) {
    return directory.resolve(region, site, limit, now - majorityAt > MAJORITY_TIMEOUT_MILLIS, now);
  }

  // ---- control state

  private void pollControlState(final long now) {
    if (controlRequestPending || leaving) {
      return;
    }
    controlRequestPending = true;
    controlRequestedAt = now;
    final boolean stale = now - majorityAt > RECONFIRM_AFTER_MILLIS;
    store
        .call(
            StoreOperation.CONTROL,
            "",
            null,
            controlState.version(),
            stale
                ? -1
                : controlState.orderVersion()
                    + (purges == null ? 0 : purges.mark)
                    + (electorates == null ? electorateVersions : electorates.versionSum())
                    + (placementService == null ? placementVersions : placementService.marks())
                    + (ownershipEndpoint == null ? ownershipVersion : ownershipEndpoint.mark()),
            null,
            null,
            now,
            2500)
        .whenComplete(
            (answer, error) -> {
              controlRequestPending = false;
              if (error == null && answer.status == 200) {
                applyControlSnapshot(
                    Serializer.deserialize(answer.body, StoredValues.ControlSnapshot.class),
                    controlRequestedAt);
              }
            });
  }

  private long controlRequestedAt;
  private long electorateVersions;
  private long placementVersions;
  private long ownershipVersion;
  private long clock;

  private void applyControlSnapshot(
      final StoredValues.ControlSnapshot snapshot, final long requestedAt) {
    majorityAt = Math.max(majorityAt, requestedAt);
    applyRoster(snapshot.roster, clock);
    applyControlState(
        snapshot.version,
        snapshot.spec,
        snapshot.evacuated,
        snapshot.evacuationMark,
        snapshot.trials,
        snapshot.trialMark);
    if (electorates != null) {
      electorates.update(Protocol.list(snapshot.electorates), environment::sendToStream);
    } else if (snapshot.electorates != null) {
      electorateVersions =
          Protocol.list(snapshot.electorates).stream()
              .mapToLong(electorate -> electorate.mark)
              .sum();
    }
    placementVersions =
        snapshot.placementMark + (snapshot.keeper == null ? 0 : snapshot.keeper.serial);
    if (placementService != null && placementService.take(snapshot, clock)) {
      proxyStreams.sendToProxies(placementService.coordinator().placements());
    }
    applyAssignments(snapshot.assignments);
    if (snapshot.purges != null && (purges == null || snapshot.purges.mark > purges.mark)) {
      purges = snapshot.purges;
      proxyStreams.sendToCaches(purges);
    }
    sendInitialViews(clock);
    pollControlState(clock);
  }

  private void applyAssignments(final List<Assignment> received) {
    if (received == null) {
      return;
    }
    ownershipVersion = received.stream().mapToLong(assignment -> assignment.serial).sum();
    final Assignments changed =
        ownershipEndpoint == null ? null : ownershipEndpoint.take(received, clock);
    if (changed != null) {
      proxyStreams.sendToProxies(changed);
    }
  }

  // ---- trials

  /** Trials of services: their reports and operators' orders. */
  public TrialService trialService() {
    return trialService;
  }

  /** All that is known of trials. */
  public TrialCoordinator trialCoordinator() {
    return controlState.trialCoordinator();
  }

  /** Calls the store. */
  public CompletableFuture<StoreMessages.StoreResponse> callStore(
      final StoreOperation operation,
      final String name,
      final String owner,
      final long first,
      final long second,
      final byte[] body,
      final long timeout,
      final long now) {
    return store.call(operation, name, owner, first, second, body, null, now, timeout);
  }

  /** Calls the store with a change of routing, and who wants it. */
  public CompletableFuture<StoreMessages.StoreResponse> changeRouting(
      final StoreOperation operation,
      final String name,
      final long first,
      final long second,
      final byte[] body,
      final StoreMessages.ChangeOrigin origin,
      final long timeout,
      final long now) {
    clock = Math.max(clock, now);
    return operation == StoreOperation.EVACUATE
        ? evacuate(name, first, origin, now + timeout)
        : store.call(operation, name, null, first, second, body, origin, now, timeout);
  }

  /**
   * An evacuation is ordered under a ticket, so that a copy that comes late does nothing once
   * another order was decided.
   */
  private CompletableFuture<StoreMessages.StoreResponse> evacuate(
      final String zone,
      final long begin,
      final StoreMessages.ChangeOrigin origin,
      final long deadline) {
    return store
        .call(
            StoreOperation.EVACUATION_TICKET, zone, null, 0, 0, null, null, clock, deadline - clock)
        .thenCompose(
            ticket ->
                ticket.status != 200
                    ? CompletableFuture.completedFuture(ticket)
                    : store
                        .call(
                            StoreOperation.EVACUATE,
                            zone,
                            null,
                            begin,
                            ticket.first,
                            null,
                            origin,
                            clock,
                            deadline - clock)
                        .thenCompose(
                            answer ->
                                answer.status != 410
                                    ? CompletableFuture.completedFuture(answer)
                                    : evacuate(zone, begin, origin, deadline)));
  }

  /** Calls the store with a configuration, the digest of what it says, and who wants it. */
  public CompletableFuture<StoreMessages.StoreResponse> replaceConfiguration(
      final long version,
      final boolean usesAffinity,
      final byte[] packed,
      final byte[] content,
      final StoreMessages.ChangeOrigin origin,
      final long timeout,
      final long now) {
    return store.call(
        StoreOperation.SPEC_REPLACE,
        "",
        null,
        version,
        usesAffinity ? 1 : 0,
        packed,
        origin,
        content,
        now,
        timeout);
  }

  /** Who wants a change that came in here. */
  public StoreMessages.ChangeOrigin changeOrigin(
      final String author, final String caller, final byte[] extra) {
    return new StoreMessages.ChangeOrigin(author, caller, self, extra);
  }

  /** The history of routing changes, read from the replica on this machine. */
  public HistoryReader historyReader() {
    return historyReader;
  }

  /** How all stands, as far as it is known here. */
  public ControlApi.StatusResponse status(final long now) {
    final List<ControlApi.DaemonStatus> daemons = new ArrayList<>();
    for (final AppliedState entry : appliedStates(now)) {
      daemons.add(
          new ControlApi.DaemonStatus(
              entry.address(),
              entry.program(),
              String.format("%08x", entry.version()),
              entry.orderVersion(),
              entry.ageMillis() == Long.MAX_VALUE ? -1 : entry.ageMillis()));
    }
    final List<ControlApi.PlacementStatus> placementStatuses = new ArrayList<>();
    final List<ControlApi.WriteCount> writes = new ArrayList<>();
    if (placementService != null) {
      for (final PlacementMessages.Placement entry :
          placementService.coordinator().placements().placements) {
        placementStatuses.add(
            new ControlApi.PlacementStatus(
                entry.service,
                entry.epoch,
                Protocol.list(entry.members).size(),
                entry.prepared,
                Protocol.list(entry.next).size()));
      }
      final long[] counts = placementService.coordinator().counts();
      for (int index = 0;
          placementService.coordinator().keeps() && index < counts.length;
          index++) {
        writes.add(
            new ControlApi.WriteCount(
                weldpoint.affinity.WriteDecision.values()[index]
                    .name()
                    .toLowerCase(java.util.Locale.ROOT),
                counts[index]));
      }
    }
    final List<String> voters = new ArrayList<>();
    roster.voters.forEach(voter -> voters.add(voter.address));
    final boolean settled = now - majorityAt < MAJORITY_TIMEOUT_MILLIS;
    return new ControlApi.StatusResponse(
        self,
        settled,
        settled ? now - majorityAt : -1,
        roster.number,
        voters,
        String.format("%08x", controlState.version()),
        controlState.evacuated(),
        registrations.size(),
        registrations.suspects().size(),
        daemons,
        placementService == null ? "" : placementService.coordinator().keeper(),
        placementStatuses,
        writes,
        environment.diskCounters(),
        ownershipEndpoint == null ? List.of() : ownershipEndpoint.status());
  }

  /** What each daemon has in force, as it told last. */
  public List<AppliedState> appliedStates(final long now) {
    final AppliedState own =
        new AppliedState(
            self,
            AppliedStateTable.REGISTRY,
            controlState.version(),
            controlState.orderVersion(),
            now - controlState.appliedAt(),
            0);
    return appliedStates.all(own, members.keySet(), daemonTable.all(), now);
  }

  private final AppliedStateTable appliedStates = new AppliedStateTable();

  /** A frame has answered. */
  public void onStoreResponse(
      final String from, final StoreMessages.StoreResponse answer, final long now) {
    clock = now;
    store.onResponse(from, answer, now);
  }

  /** The line to a frame has ended. */
  public void onReplicaDisconnected(final String address, final long now) {
    store.onDisconnected(address, now);
  }

  /** There is a line to an exchange. */
  public void onMemberConnected(final String address, final long now) {
    connected.add(address);
    members.put(address, now);
    if (roster.index(address) >= 0) {
      clock = Math.max(clock, now);
      quorumReads.onConnected(
          address,
          this::controlStateRequestWithLease,
          request -> environment.sendToMember(address, request));
    }
  }

  /** The line to an exchange has ended. */
  public void onMemberDisconnected(final String address, final long now) {
    connected.remove(address);
  }

  // ---- time

  /** Time has passed; to be called every few tens of milliseconds. */
  public void tick(final long now) {
    clock = now;
    store.tick(now);
    historyReader.tick(now);
    if (quotaEndpoint != null) {
      quotaEndpoint.tick(now);
    }
    updateKeyRoster(now);
    keyClaims.tick(now);
    if (now >= acksWithheldUntil && !withheldAcks.isEmpty()) {
      final List<Runnable> due = new ArrayList<>(withheldAcks);
      withheldAcks.clear();
      due.forEach(Runnable::run);
    }
    advanceQuorumReads(now);
    sendInitialViews(now);
    majorityReachability.tick(roster, seedAddresses, connected, lastMajorityContactAt(), now);
    pollControlState(now);
    if (placementService != null && placementService.active()) {
      final String coordinator = placementService.coordinator().keeper();
      placementService.tick(
          controlState.routingTable(),
          registrations.all().values(),
          controlState.evacuated(),
          registrations.suspects(),
          registrations.revision(),
          isFirstReachableVoter(),
          coordinator.equals(self) || connected.contains(coordinator),
          now - majorityAt < MAJORITY_TIMEOUT_MILLIS,
          now);
    }
    if (ownershipEndpoint != null) {
      ownershipEndpoint.tick(
          controlState.routingTable(),
          registrations,
          controlState.evacuated(),
          new OwnershipCoordinator.Position(roster.index(self), roster.voters.size(), majorityAt),
          now);
    }
    if (now - lastStatusAt >= STATUS_INTERVAL_MILLIS) {
      lastStatusAt = now;
      daemonTable.updatePeakCount(now);
      siteMembership.update(
          daemonTable.proxiesBySite(now), proxyStreams.all(), environment::sendToStream);
      announceDisconnectedDaemons(now);
      trialService.judge(now);
      broadcastRecordingState(now);
      if (electorates != null
          && now - majorityAt < MAJORITY_TIMEOUT_MILLIS
          && isFirstReachableVoter()) {
        electorates.reconcile(daemonTable.liveProxies(now), now);
      }
      statusRead = quorumReads.requestRead();
      statusPending = true;
      advanceQuorumReads(now);
      expireSilentUpstreams(now);
    }
    quorumWrites.tick(this::sendToMembers, now);
    if (now - lastGossipAt >= GOSSIP_INTERVAL_MILLIS) {
      lastGossipAt = now;
      gossipWithRandomPeer(now);
    }
  }

  private void gossipWithRandomPeer(final long now) {
    final List<String> others = new ArrayList<>();
    members
        .entrySet()
        .removeIf(
            entry ->
                now - entry.getValue() > 60_000
                    && !seedAddresses.contains(entry.getKey())
                    && roster.index(entry.getKey()) < 0);
    for (final String member : members.keySet()) {
      if (!member.equals(self)) {
        others.add(member);
      }
    }
    java.util.Collections.shuffle(others, random);
    final RegistryMessages.Gossip message = gossipMessage(0, false, false, false, null, now);
    for (final String other : others) {
      if (environment.sendToMember(other, message)) {
        gossipRounds++;
        return;
      }
    }
    if (now - startedAt > 3000 && others.isEmpty()) {
      reconciled = true;
    }
  }

  private void expireSilentUpstreams(final long now) {
    final List<Registration> silent = new ArrayList<>();
    final boolean suspectsChanged = registrations.updateSuspects(silent, now);
    final List<Registration> expired = new ArrayList<>();
    for (final Registration registration : silent) {
      if (now - majorityAt < MAJORITY_TIMEOUT_MILLIS
          && self.equals(heartbeatOwner(registration.id, registration.site, Map.of()))) {
        expired.add(
            Registrations.withStage(
                registration,
                LifecycleStage.of(registration) == LifecycleStage.DRAINING
                    ? LifecycleStage.REMOVED
                    : LifecycleStage.LAPSED,
                registration.issued));
      }
    }
    if (!expired.isEmpty()) {
      for (final Registration registration : expired) {
        LOGGER.atInfo().log(
            "upstream %s was silent for %s beats and is written off",
            registration.id, Registrations.LAPSE_HEARTBEATS);
        registrations.put(registration);
      }
      persist(expired, null, () -> {});
      sendToMembers(new RegistryMessages.Changes(0, expired, null));
      proxyStreams.sendRegistrations(expired);
    }
    if (suspectsChanged) {
      proxyStreams.sendSuspects();
    }
    registrations.pruneRemoved();
  }

  /** The process ends: its streams should go elsewhere. */
  public void leave() {
    leaving = true;
    if (ownershipEndpoint != null) {
      ownershipEndpoint.leave();
    }
  }

  // ---- what tests and operators look at

  /** The history, by upstream. */
  public Map<String, Registration> registrations() {
    return registrations.all();
  }

  /** The roster known here. */
  public Roster roster() {
    return roster;
  }

  /** What this registry tells of itself. */
  public List<Metric> metrics(final long now) {
    final List<Metric> metrics = new ArrayList<>();
    metrics.add(Metric.gauge("weldpoint_registrations", "Upstreams known.", registrations.size()));
    metrics.add(Metric.counter("weldpoint_beats", "Beats of upstreams taken here.", heartbeats));
    metrics.add(
        Metric.counter(
            "weldpoint_superseded_registrations",
            "Upstreams written off since another one beat from their address.",
            registrations.supersededCount()));
    metrics.add(Metric.gauge("weldpoint_streams", "Streams to proxies.", proxyStreams.size()));
    metrics.add(Metric.gauge("weldpoint_roster_number", "The roster's number.", roster.number));
    metrics.add(
        Metric.gauge(
            "weldpoint_majority_age_seconds",
            "Time since a majority of state stores was last heard.",
            Math.min(1e6, (now - majorityAt) / 1000.0)));
    if (quotaEndpoint != null) {
      metrics.addAll(quotaEndpoint.figures());
    }
    metrics.addAll(keyClaims.figures());
    if (ownershipEndpoint != null) {
      metrics.addAll(ownershipEndpoint.figures(now));
    }
    return metrics;
  }

  /** The counters, as one line. */
  public String counters() {
    return (placementService == null || !placementService.active()
            ? ""
            : placementService.coordinator().counters() + " ")
        + "registrations "
        + registrations.size()
        + " beats "
        + heartbeats
        + " gossips "
        + gossipRounds
        + " streams "
        + proxyStreams.size()
        + " boards "
        + daemonTable.size()
        + (quotaEndpoint == null ? "" : " " + quotaEndpoint.counters())
        + keyClaims.counters()
        + (ownershipEndpoint == null ? "" : ownershipEndpoint.counters())
        + " roster "
        + roster.number
        + " spec "
        + Long.toHexString(controlState.version());
  }
}
