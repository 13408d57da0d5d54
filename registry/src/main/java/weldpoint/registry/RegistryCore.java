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
 * The state machine of a registry: a persisted set of upstream registrations, pushed to the other
 * registries on each change and reconciled with a random peer every second (anti-entropy), and the
 * token map that says which registry owns the heartbeats of which upstream. It has no threads,
 * clocks or sockets of its own: {@link RegistryDaemon} and {@link ControlServer} call it from the
 * registry's serial executor and pass in the time.
 */
public final class RegistryCore {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final long GOSSIP_INTERVAL_MILLIS = 1000;
  private static final long STATUS_INTERVAL_MILLIS = 500;

  /** How long the periodic status to proxies waits for the quorum read that confirms it. */
  private static final long STATUS_READ_TIMEOUT_MILLIS = 260;

  private static final long QUORUM_WRITE_TIMEOUT_MILLIS = 900;
  private static final long REFRESH_TIMEOUT_MILLIS = 400;

  /** After this time without a confirmed majority, a fresh confirmation is requested. */
  private static final long RECONFIRM_AFTER_MILLIS = 1600;

  /** How long a voter withholds acknowledgements after a restart, and leases that to its peers. */
  private static final long START_LEASE_MILLIS = 1500;

  /**
   * A bootstrapping voter starts the quorum read that completes its data no earlier after its
   * start.
   */
  private static final long MIN_BOOTSTRAP_MILLIS = 1500;

  /**
   * After this time without a majority of complete voters, a voter that still reaches a majority of
   * state store replicas counts with the data it has.
   */
  private static final long MAX_BOOTSTRAP_MILLIS = 10_000;

  /** How long after a change of roster a write needs majorities of both rosters. */
  private static final long JOINT_ROSTER_MILLIS = 3000;

  private static final long MAJORITY_TIMEOUT_MILLIS = 2500;

  /** The side effects of the core: sending messages and writing to disk. */
  public interface Environment {
    /** Sends to another registry; false if there is no connection to it. */
    boolean sendToMember(String address, Message message);

    /** Sends to a state store replica; false if there is no connection to it. */
    boolean sendToReplica(String address, StoreMessages.StoreRequest call);

    /** Sends to the stream of a proxy or cache daemon. */
    void sendToStream(Object stream, Message message);

    /** Appends a record to the log on disk; the callback runs once the record is durable. */
    void append(byte[] record, Runnable synced);

    /** Sets the machines to whose registries and state store replicas connections are kept open. */
    void updatePeers(List<String> members);

    /** The counters of the log on disk, as one line. */
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
  private final KeyOutcomes keyOutcomes;
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

  /** Creates a core for these settings; it does nothing until it is started. */
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
    this.keyOutcomes =
        new KeyOutcomes(
            self,
            environment::sendToMember,
            (outcomes, synced) ->
                environment.append(
                    Serializer.serialize(PersistedRecord.outcomes(outcomes)), synced));
  }

  /** What the trial service needs of this registry. */
  private final class TrialRegistry implements TrialService.Registry {
    @Override
    public CompletableFuture<Void> refresh(final long now) {
      return RegistryCore.this.refreshControlState(now);
    }

    @Override
    public CompletableFuture<Void> awaitReplication() {
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

  /** Replaces the quorum checks, for tests that inject broken ones. */
  void replaceQuorumChecks(
      final QuorumWrites givenWrites,
      final QuorumReads givenReads,
      final MajorityReachability givenReachability) {
    quorumWrites = givenWrites;
    quorumReads = givenReads;
    majorityReachability = givenReachability;
  }

  /** Enables maintenance of the electorates: the proxies that may elect a region's leader. */
  public void enableElectorates() {
    electorates =
        new Electorates(
            (region, body, now) ->
                store.call(StoreOperation.ELECTORATE, region, null, 0, 0, body, null, now, 900));
  }

  /**
   * Enables placement of callers on nodes; the default affinity applies to write routes without a
   * rule of their own.
   */
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
                  public CompletableFuture<StoreMessages.StoreResponse> writeOwner(
                      final PlacementMessages.PlacementOwner next, final long now) {
                    return store.call(
                        StoreOperation.PLACEMENT_OWNER_WRITE,
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
                  public CompletableFuture<StoreMessages.StoreResponse> writePlacement(
                      final PlacementMessages.Placement next, final long now) {
                    return store.call(
                        StoreOperation.PLACEMENT_WRITE,
                        next.service,
                        null,
                        0,
                        0,
                        PlacementCoordinator.toBytes(next),
                        null,
                        now,
                        900);
                  }
                }));
  }

  /** Handles a proxy's request for a lease on placements, or forwards it to the placement owner. */
  public void requestPlacementLease(
      final Object stream, final PlacementMessages.LeaseRequest request, final long now) {
    if (placementService == null) {
      return;
    }
    if (placementService.coordinator().isOwner()) {
      environment.sendToStream(
          stream, placementService.coordinator().handleLeaseRequest(request, majorityAt, now));
    } else {
      placementService.addRequester(request.proxy, stream);
      environment.sendToMember(placementService.coordinator().owner(), request);
    }
  }

  /** Enables the assignment of keys of partitioned services. */
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

  /** Takes a proxy's report of what it sent to the holders of keys. */
  public void slotReport(final SlotReport report) {
    if (ownershipEndpoint != null) {
      ownershipEndpoint.fromProxy(report);
    }
  }

  /** Enables handing out permits against quotas. */
  public void enableQuotas(final QuotaAllocator allocator) {
    quotaEndpoint = new QuotaEndpoint(self, allocator, environment::sendToMember);
  }

  /** Sets the site and region of this daemon. */
  public void setLocation(final String givenSite, final String givenRegion) {
    site = givenSite;
    region = givenRegion;
  }

  private String site = "";
  private String region = "";

  /** Replaces the list of seed registries. */
  public void updateSeeds(final List<String> newSeeds, final long now) {
    seedAddresses = newSeeds;
    for (final String seed : newSeeds) {
      members.putIfAbsent(seed, now);
    }
    updatePeers(now);
  }

  // ---- disk

  /** Restores the records found on disk and starts. */
  public void start(final List<byte[]> records, final long now) {
    startedAt = now;
    bootstrapping = records.isEmpty() && !(firstStart && seedAddresses.contains(self));
    for (final byte[] record : records) {
      final PersistedRecord persisted = Serializer.deserialize(record, PersistedRecord.class);
      bootstrapping =
          persisted.bootstrapState == PersistedRecord.BOOTSTRAP_UNCHANGED
              ? bootstrapping
              : persisted.bootstrapState == PersistedRecord.BOOTSTRAPPING;
      for (final Registration registration : Protocol.emptyIfNull(persisted.registrations)) {
        registrations.put(registration);
      }
      if (persisted.roster != null && persisted.roster.number > roster.number) {
        roster = persisted.roster;
      }
      controlState.restore(persisted);
      keyClaims.restore(Protocol.emptyIfNull(persisted.claims), now);
      keyOutcomes.restore(Protocol.emptyIfNull(persisted.outcomes), now);
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
      quotaEndpoint.restore(roster);
    }
    reconciled = firstStart || registrations.size() > 0;
    registrations.resetHeartbeats(now);
    for (final String seed : seedAddresses) {
      members.put(seed, now);
    }
    updatePeers(now);
    LOGGER.atInfo().log(
        "registry %s started with %s registrations from disk, roster %s",
        self, registrations.size(), roster.number);
  }

  /** The live state as records, for compaction of the log. */
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
                keyClaims.liveClaims(),
                keyOutcomes.liveOutcomes(clock))));
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
   * The registry that owns the heartbeats of an upstream: the owner of its token if reachable,
   * otherwise the next reachable one of the preference list.
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

  /** Handles a heartbeat of an upstream; completes once it may be acknowledged. */
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
            "upstream %s joined service %s at %s",
            heartbeat.id, heartbeat.service, heartbeat.address);
      } else if (before.stage != heartbeat.stage) {
        LOGGER.atInfo().log("upstream %s is now %s", heartbeat.id, LifecycleStage.of(heartbeat));
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
   * Marks other registrations at the address of a heartbeating upstream as lapsed or removed;
   * returns those that changed. A draining upstream claims no address: it may be an earlier process
   * of which only the late end arrives.
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
          "upstream %s is now %s: upstream %s sends heartbeats from its address %s",
          registration.id, LifecycleStage.of(registration), heartbeat.id, heartbeat.address);
    }
    return superseded;
  }

  /** Deregisters an upstream; completes once a majority of registries has the removal on disk. */
  public CompletableFuture<Void> deregister(final String id, final long issued, final long now) {
    final Registration before = registrations.get(id);
    final Registration ended =
        before == null
            ? new Registration(
                id, "", "", "", "", 0, LifecycleStage.REMOVED.ordinal(), 0, issued, 0)
            : Registrations.withStage(before, LifecycleStage.REMOVED, issued);
    if (before == null || LifecycleStage.of(before) != LifecycleStage.REMOVED) {
      registrations.put(ended);
      LOGGER.atInfo().log("upstream %s deregistered", id);
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
   * Replicates a configuration that the state store has accepted (null if the store already held it
   * or a later one); completes once a majority of registries has it, or a later one, on disk too.
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

  /**
   * Replicates evacuations and trials that the state store has accepted; completes once a majority
   * of registries has them on disk too.
   */
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
   * Reads the control state from the state store; completes once a majority of replicas has
   * confirmed it after this request.
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
                    "no majority of replicas confirmed the control state; retry elsewhere");
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

  // ---- other registries

  /** Handles a message of another registry. */
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
      mergeRegistrations(Protocol.emptyIfNull(changes.registrations), now);
      applyControlState(
          changes.version,
          changes.spec,
          changes.evacuated,
          changes.evacuationRevision,
          changes.trials,
          changes.trialRevision);
      daemonTable.merge(Protocol.emptyIfNull(changes.daemons), now);
      for (final DaemonEntry daemon : Protocol.emptyIfNull(changes.daemons)) {
        if (daemon.ageMillis >= DaemonTable.GONE_MILLIS) {
          daemonTable.markGone(daemon, now);
        }
      }
      if (changes.number != 0) {
        final List<Registration> current = new ArrayList<>();
        for (final Registration registration : Protocol.emptyIfNull(changes.registrations)) {
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
      if (recordingBuffer.accept((RecordingMessages.RecordingState) message)) {
        proxyStreams.sendToAll(message);
      }
    } else if (message instanceof PermitMessages.PermitRequest) {
      requestPermits((PermitMessages.PermitRequest) message, reply, now);
    } else if (message instanceof PermitMessages.PermitResponse && quotaEndpoint != null) {
      quotaEndpoint.onResponse((PermitMessages.PermitResponse) message, now);
    } else if (message instanceof KeyMessages.ClaimVoteRequest
        || message instanceof KeyMessages.ClaimVoteResponse
        || message instanceof KeyMessages.ClaimRelease) {
      updateKeyRoster(now);
      keyClaims.receive(from, message, reply, now);
    } else if (message instanceof KeyMessages.OutcomeReport
        || message instanceof KeyMessages.OutcomeStored
        || message instanceof KeyMessages.OutcomeLookup
        || message instanceof KeyMessages.OutcomeFound) {
      keyOutcomes.receive(from, message, reply, now);
    } else if (message instanceof PlacementMessages.LeaseRequest && placementService != null) {
      reply.accept(
          placementService
              .coordinator()
              .handleLeaseRequest((PlacementMessages.LeaseRequest) message, majorityAt, now));
    } else if (message instanceof PlacementMessages.LeaseGrant && placementService != null) {
      placementService.forwardGrant(
          (PlacementMessages.LeaseGrant) message,
          proxyStreams::contains,
          environment::sendToStream);
    } else if (message instanceof AssignerHeartbeat && ownershipEndpoint != null) {
      ownershipEndpoint.assignerHeartbeat(from, (AssignerHeartbeat) message, now);
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
   * The request that grants a lease. It may be sent only over a connection that the peer had
   * accepted before this clock was read, since the peer counts the lease from its own start.
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
        needsClaims(readNumber));
  }

  /**
   * Whether a quorum read must bring the claims of idempotency keys: only the read that completes
   * the data of a new voter, and its repetitions.
   */
  private boolean needsClaims(final long readNumber) {
    return bootstrapping && readNumber >= bootstrapRead;
  }

  private RegistryMessages.ControlStateResponse controlStateResponse(
      final RegistryMessages.ControlStateRequest request, final long now) {
    final boolean includeSpec = controlState.version() > request.version;
    final boolean includeEvacuations =
        controlState.evacuationVersion() > request.evacuationRevision;
    final boolean includeTrials = controlState.trialVersion() > request.trialRevision;
    List<Registration> missing = List.of();
    final List<Long> buckets = registrations.bucketDigests(true);
    if (request.bucketDigests != null && !buckets.equals(request.bucketDigests)) {
      missing =
          RegistrationBuckets.differing(
              registrations.all().values(), buckets, request.bucketDigests);
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
        request.includeClaims ? keyClaims.liveClaims() : null);
  }

  /**
   * For how long a voter that has only just started acknowledges no change yet. After a power loss
   * everywhere, the first answers of a majority are then valid for all proxies that reconnect in
   * the meantime. This delays nothing, since the state store needs longer for its ballots.
   */
  private long startLeaseMillis(final long now) {
    return bootstrapping || roster.indexOf(self) < 0 ? 0 : Math.max(0, acksWithheldUntil - now);
  }

  /**
   * Answers another registry's request, which also says what that registry holds. A connection
   * opened by this process carries nothing that was sent before this process started.
   */
  private void onControlStateRequest(
      final String from,
      final RegistryMessages.ControlStateRequest request,
      final java.util.function.Consumer<Message> reply,
      final long now) {
    clock = Math.max(clock, now);
    reply.accept(controlStateResponse(request, now));
    final boolean nothingNew =
        request.bucketDigests != null
            && request.rosterNumber <= roster.number
            && request.version <= controlState.version()
            && request.evacuationRevision <= controlState.evacuationVersion()
            && request.trialRevision <= controlState.trialVersion()
            && request.bucketDigests.equals(registrations.bucketDigests(true));
    if (request.leaseMillis > 0 && nothingNew) {
      quorumReads.recordLease(from, startedAt + request.leaseMillis);
    }
    if (roster.indexOf(from) >= 0 && !connected.contains(from)) {
      quorumReads.onConnected(from, this::controlStateRequestWithLease, reply);
    }
    sendInitialViews(now);
  }

  /**
   * Acknowledges that a change is on this disk: at once, or once a lease that this registry granted
   * has expired.
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
        response.evacuationRevision,
        response.trials,
        response.trialRevision);
    mergeRegistrations(RegistrationBuckets.unpack(response.packedRegistrations), now);
    keyClaims.merge(Protocol.emptyIfNull(response.claims), now);
    if (!response.learning) {
      quorumReads.recordAnswer(from, response.number);
      if (response.leaseMillis > 0) {
        quorumReads.recordLease(
            from, quorumReads.startedAt(response.number) + response.leaseMillis);
      }
    }
    advanceQuorumReads(now);
  }

  /**
   * Checks whether the quorum read in progress is complete, and starts the next one if requested.
   */
  private void advanceQuorumReads(final long now) {
    if (bootstrapping
        && bootstrapRead == Long.MAX_VALUE
        && roster.indexOf(self) >= 0
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
        && roster.indexOf(self) >= 0
        && now - Math.max(rosterChangedAt, startedAt) > MAX_BOOTSTRAP_MILLIS
        && now - majorityAt < MAJORITY_TIMEOUT_MILLIS) {
      LOGGER.atWarning().log(
          "registry %s found no majority of registries with complete data to bootstrap from; it now counts as a voter with the data it has",
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
    LOGGER.atInfo().log("registry %s has finished its bootstrap and counts as a voter", self);
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
    mergeRegistrations(Protocol.emptyIfNull(gossip.registrations), now);
    mergeRegistrations(RegistrationBuckets.unpack(gossip.packedRegistrations), now);
    appliedStates.report(
        from, gossip.version, gossip.controlRevision, gossip.appliedForMillis, now);
    if (gossip.region != null && !gossip.region.isEmpty()) {
      memberLocations.put(from, gossip.region + "/" + gossip.site);
    }
    final boolean daemonsEqual = gossip.daemonDigest == daemonTable.digest(now);
    if (daemonsEqual && gossip.packedDaemonAges != null) {
      daemonTable.mergeAges(gossip.packedDaemonAges, now);
    }
    daemonTable.merge(Protocol.emptyIfNull(gossip.daemons), now);
    applyRoster(gossip.roster, now);
    boolean newMembers = false;
    for (final String member : Protocol.emptyIfNull(gossip.members)) {
      if (!members.containsKey(member) && !member.equals(self)) {
        members.put(member, now - 1500);
        newMembers = true;
      }
    }
    if (newMembers) {
      updatePeers(now);
    }
    boolean suspectsCleared = false;
    if (registrationsEqual && gossip.packedHeartbeatAges != null) {
      suspectsCleared = registrations.mergeHeartbeatAges(gossip.packedHeartbeatAges, now);
    }
    final List<String> heardIds = Protocol.emptyIfNull(gossip.heartbeatIds);
    for (int index = 0; index < heardIds.size(); index++) {
      suspectsCleared |=
          registrations.mergeHeartbeat(
              heardIds.get(index), now - gossip.heartbeatAges.get(index), now);
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
              gossip.registrationCount == 0 ? List.of() : null,
              now));
      return;
    }
    if (gossip.depth < 3 && !registrationsEqual && gossip.digest != registrations.digest()) {
      reply.accept(
          gossipMessage(
              gossip.depth + 1,
              true,
              !daemonsEqual,
              false,
              Protocol.emptyIfNull(gossip.bucketDigests),
              now));
    } else if (gossip.depth == 1 && (!daemonsEqual || gossip.rosterNumber < roster.number)) {
      reply.accept(gossipMessage(3, false, true, gossip.rosterNumber < roster.number, null, now));
    }
    if (!reconciled
        && (gossip.depth > 1
            || registrationsEqual
            || gossip.digest == registrations.digest()
            || gossip.packedRegistrations != null
            || gossip.registrations != null)) {
      reconciled = true;
      LOGGER.atInfo().log("registry %s has reconciled its registrations with a peer", self);
    }
  }

  /**
   * A gossip message for a peer: the registrations of buckets that differ (all of them if the peer
   * sent no bucket digests), and the daemons and the roster where they differ.
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
        && newRoster.indexOf(self) >= 0
        && roster.indexOf(self) < 0
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

  /** Tells proxies to begin or end recording. */
  public RecordingMessages.RecordingState setRecording(
      final boolean on, final long wallClock, final long now) {
    final RecordingMessages.RecordingState state = recordingBuffer.setRecording(on, wallClock);
    proxyStreams.sendToAll(state);
    broadcastRecordingState(now);
    return state;
  }

  private void broadcastRecordingState(final long now) {
    if (recordingBuffer.shouldAnnounce(now)) {
      for (final String member : members.keySet()) {
        environment.sendToMember(member, recordingBuffer.state());
      }
    }
  }

  /** Takes a batch of what a proxy has recorded. */
  public void addRecordingBatch(final RecordingMessages.RecordingBatch batch, final long now) {
    recordingBuffer.add(batch, now);
  }

  /** What was recorded here since the last collection, with the state that is applied now. */
  public RecordingBuffer.Collection drainRecording(final long now) {
    final List<RecordingBuffer.CollectedBatch> batches = recordingBuffer.drain(now);
    return new RecordingBuffer.Collection(
        recordingBuffer.state().enabled,
        recordingBuffer.state().revision,
        recordingBuffer.dropped(),
        recordingBuffer.remaining(),
        batches,
        controlState.version(),
        controlState.spec(),
        new ArrayList<>(registrations.all().values()),
        controlState.evacuated());
  }

  /** Whether proxies record, and how many recorded calls wait here. */
  public String recordingStatus() {
    return (recordingBuffer.state().enabled ? "recording" : "not recording")
        + ", "
        + recordingBuffer.remaining()
        + " calls wait to be collected here, "
        + recordingBuffer.dropped()
        + " dropped here";
  }

  /**
   * Handles a proxy's claim of an idempotency key for a request, the release of one, and its
   * reports and lookups of outcomes.
   */
  public void onKeyMessage(
      final Message message, final java.util.function.Consumer<Message> reply, final long now) {
    if (message instanceof KeyMessages.ClaimRequest && cutOff(now)) {
      final long number = ((KeyMessages.ClaimRequest) message).claim.number;
      reply.accept(new KeyMessages.ClaimResponse(number, KeyMessages.ClaimResult.UNKNOWN, null));
      return;
    }
    updateKeyRoster(now);
    keyClaims.fromProxy(message, reply, now);
    keyOutcomes.fromProxy(message, reply, now);
  }

  private void updateKeyRoster(final long now) {
    final boolean joint = now - rosterChangedAt < JOINT_ROSTER_MILLIS;
    keyClaims.roster(
        roster, joint ? previousRoster : null, !bootstrapping && roster.indexOf(self) >= 0);
    keyOutcomes.roster(roster, joint ? previousRoster : null);
  }

  /** Handles a request for permits against a quota. */
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
    quotaEndpoint.request(
        request,
        reply,
        controlState.routingTable(),
        roster,
        controlState.version(),
        now - majorityAt,
        now);
  }

  // ---- proxies and cache daemons

  /** Whether this registry knows enough to configure proxies. */
  public boolean canServeProxies(final long now) {
    return reconciled && controlState.version() > 0 && !leaving;
  }

  /** Handles a report that a proxy or cache daemon sends about itself over its stream. */
  public void onDaemonReport(final Object stream, final DaemonEntry daemon, final long now) {
    onDaemonReport(stream, daemon, null, now);
  }

  /**
   * Handles a report that a proxy or cache daemon sends about itself; the first one on a stream
   * also has the bucket digests of the registrations that the daemon holds.
   */
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
      siteMembership.addStream(stream, daemon.cacheDaemon ? "" : daemon.site);
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
    if (recordingBuffer.state().revision > 0) {
      environment.sendToStream(stream, recordingBuffer.state());
    }
    if (placementService != null && placementService.coordinator().placementVersion() > 0) {
      environment.sendToStream(stream, placementService.coordinator().placements());
    }
    if (ownershipEndpoint != null
        && ownershipEndpoint.currentAssignments() != null
        && !proxyStreams.isCache(stream)) {
      environment.sendToStream(stream, ownershipEndpoint.currentAssignments());
    }
    siteMembership.sendTo(stream, environment::sendToStream);
    environment.sendToStream(stream, registryStatus(now, true));
  }

  /** Handles the end of a daemon's stream. */
  public void onStreamClosed(final Object stream, final String address, final long now) {
    proxyStreams.remove(stream);
    siteMembership.removeStream(stream);
    if (electorates != null) {
      electorates.removeStream(stream);
    }
    daemonTable.streamClosed(address, now);
  }

  /**
   * The periodic status to proxies; it lists the connected registries only if they have changed
   * since they were last sent to all. Machines that are gone must not be listed, since proxies dial
   * them.
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

  /**
   * When this registry was last known to be in touch with a majority of state store replicas or of
   * registries.
   */
  private long lastMajorityContactAt() {
    return Math.max(majorityAt, quorumReads.confirmedAt());
  }

  /**
   * Whether this registry knows that it has no majority: none has answered it recently, and it is
   * connected to too few voters.
   */
  public boolean cutOff(final long now) {
    return majorityReachability.cutOff(
        roster, seedAddresses, connected, lastMajorityContactAt(), now);
  }

  /** A registry that recently reported contact with a majority; null if there is none. */
  public String registryWithMajority(final long now) {
    return majorityReachability.peerWithMajority(connected, now);
  }

  /** The proxy addresses that a client at this site should use; empty if none is known. */
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
                    + (purges == null ? 0 : purges.lastSerial)
                    + (electorates == null ? electorateVersions : electorates.versionSum())
                    + (placementService == null ? placementVersions : placementService.serialSum())
                    + (ownershipEndpoint == null
                        ? ownershipVersion
                        : ownershipEndpoint.serialSum()),
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
        snapshot.configuration,
        snapshot.evacuated,
        snapshot.evacuationSerial,
        snapshot.trials,
        snapshot.trialSerial);
    if (electorates != null) {
      electorates.update(Protocol.emptyIfNull(snapshot.electorates), environment::sendToStream);
    } else if (snapshot.electorates != null) {
      electorateVersions =
          Protocol.emptyIfNull(snapshot.electorates).stream()
              .mapToLong(electorate -> electorate.revision)
              .sum();
    }
    placementVersions =
        snapshot.placementSerial
            + (snapshot.placementOwner == null ? 0 : snapshot.placementOwner.serial);
    if (placementService != null && placementService.apply(snapshot, clock)) {
      proxyStreams.sendToProxies(placementService.coordinator().placements());
    }
    applyAssignments(snapshot.assignments);
    if (snapshot.purges != null
        && (purges == null || snapshot.purges.lastSerial > purges.lastSerial)) {
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
        ownershipEndpoint == null ? null : ownershipEndpoint.apply(received, clock);
    if (changed != null) {
      proxyStreams.sendToProxies(changed);
    }
  }

  // ---- trials

  /** The trials of services: their reports and the commands of operators. */
  public TrialService trialService() {
    return trialService;
  }

  /** The state of all known trials. */
  public TrialCoordinator trialCoordinator() {
    return controlState.trialCoordinator();
  }

  /** Calls the state store. */
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

  /** Calls the state store with a routing change and its origin. */
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
   * Begins or ends an evacuation under a ticket, so that a late duplicate has no effect once
   * another evacuation command was decided.
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

  /**
   * Calls the state store with a configuration, the digest of its content, and the origin of the
   * change.
   */
  public CompletableFuture<StoreMessages.StoreResponse> replaceConfiguration(
      final long version,
      final boolean usesAffinity,
      final byte[] packed,
      final byte[] content,
      final StoreMessages.ChangeOrigin origin,
      final long timeout,
      final long now) {
    return store.call(
        StoreOperation.CONFIGURATION_REPLACE,
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

  /** The origin of a change that was requested at this registry. */
  public StoreMessages.ChangeOrigin changeOrigin(
      final String author, final String caller, final byte[] extra) {
    return new StoreMessages.ChangeOrigin(author, caller, self, extra);
  }

  /** The history of routing changes, read from the replica on this machine. */
  public HistoryReader historyReader() {
    return historyReader;
  }

  /** The status of the system, as far as this registry knows it. */
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
                Protocol.emptyIfNull(entry.members).size(),
                entry.nextPrepared,
                Protocol.emptyIfNull(entry.nextMembers).size()));
      }
      final long[] counts = placementService.coordinator().decisionCounts();
      for (int index = 0;
          placementService.coordinator().isOwner() && index < counts.length;
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
        placementService == null ? "" : placementService.coordinator().owner(),
        placementStatuses,
        writes,
        environment.diskCounters(),
        ownershipEndpoint == null ? List.of() : ownershipEndpoint.status());
  }

  /** The state that each daemon has applied, by its last report. */
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

  /** Handles a response of a state store replica. */
  public void onStoreResponse(
      final String from, final StoreMessages.StoreResponse answer, final long now) {
    clock = now;
    store.onResponse(from, answer, now);
  }

  /** Handles the end of the connection to a state store replica. */
  public void onReplicaDisconnected(final String address, final long now) {
    store.onDisconnected(address, now);
  }

  /** Handles a new connection to another registry. */
  public void onMemberConnected(final String address, final long now) {
    connected.add(address);
    members.put(address, now);
    if (roster.indexOf(address) >= 0) {
      clock = Math.max(clock, now);
      quorumReads.onConnected(
          address,
          this::controlStateRequestWithLease,
          request -> environment.sendToMember(address, request));
    }
  }

  /** Handles the end of the connection to another registry. */
  public void onMemberDisconnected(final String address, final long now) {
    connected.remove(address);
  }

  // ---- periodic work

  /** Runs all periodic work; to be called every few tens of milliseconds. */
  public void tick(final long now) {
    clock = now;
    store.tick(now);
    historyReader.tick(now);
    if (quotaEndpoint != null) {
      quotaEndpoint.tick(now);
    }
    updateKeyRoster(now);
    keyClaims.tick(now);
    keyOutcomes.tick(now);
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
      final String coordinator = placementService.coordinator().owner();
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
          new OwnershipCoordinator.Position(roster.indexOf(self), roster.voters.size(), majorityAt),
          now);
    }
    if (now - lastStatusAt >= STATUS_INTERVAL_MILLIS) {
      lastStatusAt = now;
      daemonTable.updatePeakCount(now);
      siteMembership.update(
          daemonTable.proxiesBySite(now), proxyStreams.all(), environment::sendToStream);
      announceDisconnectedDaemons(now);
      trialService.evaluate(now);
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
                    && roster.indexOf(entry.getKey()) < 0);
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
                registration.issuedAt));
      }
    }
    if (!expired.isEmpty()) {
      for (final Registration registration : expired) {
        LOGGER.atInfo().log(
            "upstream %s missed %s heartbeats and is no longer routable",
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

  /**
   * Prepares for shutdown: proxies and cache daemons should move their streams to other registries.
   */
  public void leave() {
    leaving = true;
    if (ownershipEndpoint != null) {
      ownershipEndpoint.leave();
    }
  }

  // ---- for tests and operators

  /** All registrations, by upstream id. */
  public Map<String, Registration> registrations() {
    return registrations.all();
  }

  /** The roster of voters known here. */
  public Roster roster() {
    return roster;
  }

  /** The metrics of this registry. */
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
      metrics.addAll(quotaEndpoint.metrics());
    }
    metrics.addAll(keyClaims.metrics());
    metrics.addAll(keyOutcomes.metrics());
    if (ownershipEndpoint != null) {
      metrics.addAll(ownershipEndpoint.metrics(now));
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
        + " heartbeats "
        + heartbeats
        + " gossip rounds "
        + gossipRounds
        + " streams "
        + proxyStreams.size()
        + " daemons "
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
