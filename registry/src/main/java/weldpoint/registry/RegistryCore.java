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
  private static final long GOSSIP_MILLIS = 1000;
  private static final long REACH_MILLIS = 500;

  /** How long the word to proxies waits for the quorum read that makes it a proof. */
  private static final long PROOF_MILLIS = 260;

  private static final long QUORUM_MILLIS = 900;
  private static final long REFRESH_MILLIS = 400;
  private static final long CONFIRM_MILLIS = 1600;
  private static final long YOUNG_MILLIS = 1500;
  private static final long LEARNING_MILLIS = 1500;
  private static final long MOST_LEARNING_MILLIS = 10_000;
  private static final long JOINT_MILLIS = 3000;
  private static final long MAJORITY_MILLIS = 2500;

  /** What the core does to the world. */
  public interface Environment {
    /** Sends to another exchange; false where there is no line to it. */
    boolean member(String address, Message message);

    /** Sends to a frame; false where there is no line to it. */
    boolean frame(String address, StoreMessages.StoreRequest call);

    /** Sends to a switchboard's stream. */
    void board(Object stream, Message message);

    /** Puts a record on disk; the callback runs once it is lasting. */
    void append(byte[] record, Runnable synced);

    /** The machines whose exchanges and frames to keep lines to. */
    void peers(List<String> members);

    /** What is on disk, as counters. */
    default String disk() {
      return "";
    }
  }

  private final String self;
  private final Random random;
  private final Environment environment;
  private List<String> seeds;
  private final boolean firstStart;
  private final StoreClient store;
  private final HistoryReader historyReader;
  private final TrialService trialService;
  private final Registrations registrations;
  private final ControlState control;
  private final DaemonTable switchboards = new DaemonTable();
  private final Directory directory = new Directory(switchboards);
  private final ProxyStreams proxyStreams;
  private QuorumWrites quorums = new QuorumWrites();
  private QuorumReads reads;
  private MajorityReachability majority;
  private CacheMessages.Purges purges;
  private QuotaEndpoint quotas;
  private final KeyClaims keyClaims;
  private final SiteMembership siteMembership = new SiteMembership();
  private Electorates electorates;
  private PlacementService placements;
  private OwnershipEndpoint ownership;
  private final RecordingBuffer recordingBuffer = new RecordingBuffer();
  private final Map<String, Long> members = new LinkedHashMap<>();
  private final Set<String> connected = new HashSet<>();
  private Roster roster = new Roster(0, List.of());
  private Roster rosterBefore;
  private long rosterAt;
  private boolean learning;
  private long learningRead = Long.MAX_VALUE;
  private long withheldUntil = Long.MIN_VALUE / 2;
  private final List<Runnable> withheld = new ArrayList<>();
  private long gossipAt;
  private long reachAt;
  private boolean proofDue;
  private long proofRead;
  private long startedAt;
  private boolean reconciled;
  private long majorityAt = Long.MIN_VALUE / 2;
  private boolean controlOut;
  private boolean leaving;
  private long beats;
  private long gossips;

  /** A core for these settings. */
  public RegistryCore(
      final String self,
      final List<String> seeds,
      final boolean firstStart,
      final long beatMillis,
      final Random random,
      final Environment environment) {
    this.self = self;
    this.seeds = seeds;
    this.firstStart = firstStart;
    this.registrations = new Registrations(beatMillis);
    this.control = new ControlState(self);
    this.proxyStreams = new ProxyStreams(environment::board, registrations, control, switchboards);
    this.random = random;
    this.environment = environment;
    this.store = new StoreClient(self, random, environment::frame);
    this.historyReader = new HistoryReader(self, store);
    this.trialService = new TrialService(self, control, store, new TrialSurroundings());
    this.reads = new QuorumReads(self);
    this.majority = new MajorityReachability(self, environment::member);
    this.keyClaims =
        new KeyClaims(
            self,
            environment::member,
            (claims, synced) ->
                environment.append(Serializer.serialize(PersistedRecord.claims(claims)), synced));
  }

  /** What trials need of this registry. */
  private final class TrialSurroundings implements TrialService.Registry {
    @Override
    public CompletableFuture<Void> refresh(final long now) {
      return RegistryCore.this.refresh(now);
    }

    @Override
    public CompletableFuture<Void> settle() {
      return RegistryCore.this.settle(clock);
    }

    @Override
    public long now() {
      return clock;
    }

    @Override
    public List<String> liveProxies(final long now) {
      final List<String> live = new ArrayList<>();
      switchboards.live(now).forEach(board -> live.add(board.address));
      return live;
    }

    @Override
    public boolean hearsMajority(final long now) {
      return now - majorityAt < MAJORITY_MILLIS;
    }

    @Override
    public void relay(final TrialMessages.TrialReport report) {
      for (final String member : members.keySet()) {
        environment.member(member, report);
      }
    }
  }

  /** Takes other judges of what may be answered, for tests that break them. */
  void judges(
      final QuorumWrites givenQuorums,
      final QuorumReads givenReads,
      final MajorityReachability givenAuthority) {
    quorums = givenQuorums;
    reads = givenReads;
    majority = givenAuthority;
  }

  /** Takes to keeping who may choose a region's chief. */
  public void chiefs() {
    electorates =
        new Electorates(
            (region, body, now) ->
                store.call(StoreOperation.ELECTORATE, region, null, 0, 0, body, null, now, 900));
  }

  /** Takes to placing callers on nodes, by what settings say of write routes without a rule. */
  public void placements(
      final Affinity usual,
      final long incarnation,
      final long leaseMillis,
      final long batchMillis) {
    placements =
        new PlacementService(
            usual,
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

  /** A switchboard asks for a lease on placements. */
  public void lease(final Object stream, final PlacementMessages.LeaseRequest ask, final long now) {
    if (placements == null) {
      return;
    }
    if (placements.coordinator().isOwner()) {
      environment.board(stream, placements.coordinator().handleLeaseRequest(ask, majorityAt, now));
    } else {
      placements.asker(ask.board, stream);
      environment.member(placements.coordinator().owner(), ask);
    }
  }

  /** Takes to assigning the keys of divided services. */
  void ownership(
      final long incarnation, final GrantTimings timings, final KeyGrantClient grantClient) {
    ownership =
        new OwnershipEndpoint(
            self,
            incarnation,
            timings,
            new AssignerEnvironment(store, grantClient, () -> clock),
            this::tellMembers,
            environment::member);
  }

  /** A proxy tells what it sent to the holders of keys. */
  public void slotReport(final SlotReport report) {
    if (ownership != null) {
      ownership.fromProxy(report);
    }
  }

  /** Takes to giving out permits. */
  public void quotas(final QuotaAllocator allocator) {
    quotas = new QuotaEndpoint(self, allocator, environment::member);
  }

  /** Takes where this daemon stands. */
  public void place(final String givenSite, final String givenRegion) {
    site = givenSite;
    region = givenRegion;
  }

  private String site = "";
  private String region = "";

  /** Takes another seed list. */
  public void seeds(final List<String> given, final long now) {
    seeds = given;
    for (final String seed : given) {
      members.putIfAbsent(seed, now);
    }
    tellPeers(now);
  }

  // ---- disk

  /** Takes what the disk held and begins. */
  public void start(final List<byte[]> records, final long now) {
    startedAt = now;
    learning = records.isEmpty() && !(firstStart && seeds.contains(self));
    for (final byte[] record : records) {
      final PersistedRecord kept = Serializer.deserialize(record, PersistedRecord.class);
      learning =
          kept.learning == PersistedRecord.UNSAID
              ? learning
              : kept.learning == PersistedRecord.LEARNING;
      for (final Registration registration : Protocol.list(kept.history)) {
        registrations.put(registration);
      }
      if (kept.roster != null && kept.roster.number > roster.number) {
        roster = kept.roster;
      }
      control.recall(kept);
      keyClaims.recall(Protocol.list(kept.claims), now);
    }
    if (learning && records.isEmpty()) {
      keepLearning();
    }
    rosterAt = now;
    if (!firstStart && !records.isEmpty()) {
      withheldUntil = now + YOUNG_MILLIS;
      reads.next();
      if (lease(now) > 0) {
        reads.leased(self, withheldUntil);
      }
    }
    clock = now;
    majority.started(now);
    if (quotas != null) {
      quotas.began(roster);
    }
    reconciled = firstStart || registrations.size() > 0;
    registrations.began(now);
    for (final String seed : seeds) {
      members.put(seed, now);
    }
    tellPeers(now);
    LOGGER.atInfo().log(
        "registry %s starts with %s registrations, roster %s",
        self, registrations.size(), roster.number);
  }

  /** The live state as records. */
  public List<byte[]> view() {
    final List<Registration> all = new ArrayList<>(registrations.all().values());
    return List.of(
        Serializer.serialize(
            new PersistedRecord(
                all,
                roster.number == 0 ? null : roster,
                control.version(),
                control.spec(),
                control.evacuated(),
                control.evacuationMark(),
                control.coordinator().trials(),
                control.trialMark(),
                learning ? PersistedRecord.LEARNING : PersistedRecord.WHOLE,
                keyClaims.live())));
  }

  private void keepLearning() {
    environment.append(Serializer.serialize(PersistedRecord.learning(learning)), () -> {});
  }

  private void persist(final List<Registration> changes, final Roster news, final Runnable synced) {
    environment.append(Serializer.serialize(PersistedRecord.membership(changes, news)), synced);
  }

  // ---- upstreams

  /**
   * Who keeps the beats of an upstream: the token's owner if it can be reached, otherwise the next
   * of the list.
   */
  public String keeper(final String id, final String site, final Map<String, String> regions) {
    final String keeper =
        HeartbeatOwners.keeper(roster.voters, id, regions.get(site), this::reachable);
    return keeper == null ? self : keeper;
  }

  private boolean reachable(final String address) {
    return address.equals(self) || connected.contains(address);
  }

  /** A beat of an upstream; completes once it may be acknowledged. */
  public CompletableFuture<Void> beat(final Registration beat, final long now) {
    beats++;
    final Registration before = registrations.get(beat.id);
    if (registrations.beat(beat.id, now)) {
      proxyStreams.suspects();
    }
    final boolean drains = LifecycleStage.of(beat) == LifecycleStage.DRAINING;
    final boolean late =
        before != null
            && (LifecycleStage.of(before) == LifecycleStage.REMOVED
                || beat.sequence < before.sequence);
    if (late && !drains) {
      return CompletableFuture.completedFuture(null);
    }
    final List<Registration> changes = new ArrayList<>();
    if (registrations.put(beat)) {
      changes.add(beat);
      if (before == null) {
        LOGGER.atInfo().log("upstream %s joined %s at %s", beat.id, beat.service, beat.address);
      } else if (before.stage != beat.stage) {
        LOGGER.atInfo().log("upstream %s is %s", beat.id, LifecycleStage.of(beat));
      }
    }
    changes.addAll(claimAddress(beat, before == null, now));
    if (!changes.isEmpty()) {
      if (drains) {
        proxyStreams.registrations(changes);
        return quorum(changes, now);
      }
      persist(changes, null, () -> {});
      tellMembers(new RegistryMessages.Changes(0, changes, null));
      proxyStreams.registrations(changes);
    }
    return drains
        ? quorum(List.of(registrations.get(beat.id)), now)
        : CompletableFuture.completedFuture(null);
  }

  /**
   * Writes off other lives at the address of an upstream that beats; those that changed. One that
   * leaves claims nothing: it may be a life of which nothing but its end is heard, late.
   */
  private List<Registration> claimAddress(
      final Registration beat, final boolean newcomer, final long now) {
    if (LifecycleStage.of(beat) != LifecycleStage.JOINED) {
      return List.of();
    }
    final List<Registration> ended =
        newcomer ? registrations.supersede(beat, now) : registrations.settleAddress(beat, now);
    for (final Registration one : ended) {
      LOGGER.atInfo().log(
          "upstream %s is %s, since %s beats from its address %s",
          one.id, LifecycleStage.of(one), beat.id, beat.address);
    }
    return ended;
  }

  /** An upstream signs off; completes once a majority of disks holds it. */
  public CompletableFuture<Void> deregister(final String id, final long issued, final long now) {
    final Registration before = registrations.get(id);
    final Registration ended =
        before == null
            ? new Registration(
                id, "", "", "", "", 0, LifecycleStage.REMOVED.ordinal(), 0, issued, 0)
            : Registrations.step(before, LifecycleStage.REMOVED, issued);
    if (before == null || LifecycleStage.of(before) != LifecycleStage.REMOVED) {
      registrations.put(ended);
      LOGGER.atInfo().log("upstream %s signed off", id);
      proxyStreams.registrations(List.of(ended));
    }
    return quorum(List.of(registrations.get(id)), now);
  }

  private CompletableFuture<Void> quorum(final List<Registration> changes, final long now) {
    return begin(
        changes, key -> new RegistryMessages.Changes(key, changes, null), now + QUORUM_MILLIS, now);
  }

  private CompletableFuture<Void> begin(
      final List<Registration> changes,
      final LongFunction<Message> message,
      final long deadline,
      final long now) {
    final CompletableFuture<Void> future = quorums.begin(message, this::tellMembers, deadline, now);
    final long key = quorums.last();
    persist(changes, null, () -> confirm(() -> kept(self, key, clock)));
    return future;
  }

  private void kept(final String from, final long key, final long now) {
    quorums.kept(from, key, roster, now - rosterAt < JOINT_MILLIS ? rosterBefore : null, now);
  }

  private void tellVoters(final Message message) {
    for (final Voter voter : roster.voters) {
      if (!voter.address.equals(self)) {
        environment.member(voter.address, message);
      }
    }
  }

  private void tellMembers(final Message message) {
    for (final String member : members.keySet()) {
      if (!member.equals(self)) {
        environment.member(member, message);
      }
    }
  }

  /**
   * The frames have taken a configuration (null where they hold it, or a later one, already);
   * completes once a majority of exchanges has it, or a later one, on disk too.
   */
  public CompletableFuture<Void> spread(final long given, final byte[] body, final long now) {
    if (body == null) {
      return refresh(clock).thenCompose(done -> spreadHeld(now));
    }
    take(given, body, null, 0, null, 0);
    return spreadHeld(now);
  }

  private CompletableFuture<Void> spreadHeld(final long now) {
    final long given = control.version();
    final byte[] body = control.spec();
    return begin(
        List.of(),
        key -> new RegistryMessages.Changes(key, null, null, given, body, null, 0, null, 0),
        now + QUORUM_MILLIS,
        now);
  }

  /** The frames have taken an order; completes once a majority of exchanges has it on disk too. */
  public CompletableFuture<Void> settle(final long now) {
    return refresh(clock)
        .thenCompose(
            done -> {
              final List<String> evacuated = control.evacuated();
              final long evacuationMark = control.evacuationMark();
              final List<TrialMessages.Trial> trials = control.coordinator().trials();
              final long trialMark = control.trialMark();
              return begin(
                  List.of(),
                  key ->
                      new RegistryMessages.Changes(
                          key, null, null, 0, null, evacuated, evacuationMark, trials, trialMark),
                  now + QUORUM_MILLIS,
                  now);
            });
  }

  /**
   * Asks the frames for what they hold; completes once a majority has confirmed it after this
   * question.
   */
  public CompletableFuture<Void> refresh(final long now) {
    return store
        .call(
            StoreOperation.CONTROL,
            "",
            null,
            control.version(),
            -1,
            null,
            null,
            now,
            REFRESH_MILLIS)
        .thenAccept(
            answer -> {
              if (answer.status != 200) {
                throw new WeldpointException(
                    WeldpointException.Kind.OUT_OF_REACH,
                    "no majority confirmed what is in force; ask another daemon");
              }
              takeControl(
                  Serializer.deserialize(answer.body, StoredValues.ControlSnapshot.class), now);
            });
  }

  private void take(
      final long version,
      final byte[] spec,
      final List<String> evacuated,
      final long evacuationMark,
      final List<TrialMessages.Trial> trials,
      final long trialMark) {
    final ControlState.Delta news =
        control.take(version, spec, evacuated, evacuationMark, trials, trialMark, clock);
    if (news.any()) {
      environment.append(
          Serializer.serialize(
              new PersistedRecord(
                  null,
                  null,
                  control.version(),
                  news.spec(),
                  control.evacuated(),
                  control.evacuationMark(),
                  control.coordinator().trials(),
                  control.trialMark())),
          () -> {});
      proxyStreams.tell(
          new RegistryMessages.View(
              news.spec() == null ? 0 : control.version(),
              news.spec(),
              news.evacuations(),
              control.evacuated(),
              control.evacuationMark(),
              null,
              false,
              null,
              switchboards.most(),
              news.trials() ? control.trials() : null,
              news.trials() ? control.trialMark() : -1));
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
      tellPeers(now);
    }
    if (message instanceof RegistryMessages.Changes) {
      final RegistryMessages.Changes changes = (RegistryMessages.Changes) message;
      merge(Protocol.list(changes.registrations), now);
      take(
          changes.version,
          changes.spec,
          changes.evacuated,
          changes.evacuationMark,
          changes.trials,
          changes.trialMark);
      switchboards.merge(Protocol.list(changes.boards), now);
      for (final DaemonEntry board : Protocol.list(changes.boards)) {
        if (board.ageMillis >= DaemonTable.GONE_MILLIS) {
          switchboards.gone(board, now);
        }
      }
      if (changes.number != 0) {
        final List<Registration> held = new ArrayList<>();
        for (final Registration registration : Protocol.list(changes.registrations)) {
          held.add(registrations.get(registration.id));
        }
        persist(
            held,
            null,
            () ->
                confirm(
                    () ->
                        reply.accept(
                            new RegistryMessages.ChangesAck(changes.number, roster.number))));
      }
    } else if (message instanceof RegistryMessages.ChangesAck) {
      onKept(from, (RegistryMessages.ChangesAck) message, now);
    } else if (message instanceof RegistryMessages.ControlStateRequest) {
      onRead(from, (RegistryMessages.ControlStateRequest) message, reply, now);
    } else if (message instanceof RegistryMessages.ControlStateResponse) {
      onHeld(from, (RegistryMessages.ControlStateResponse) message, now);
    } else if (message instanceof TrialMessages.TrialReport) {
      trialService.report((TrialMessages.TrialReport) message, now);
    } else if (message instanceof RecordingMessages.RecordingState) {
      if (recordingBuffer.take((RecordingMessages.RecordingState) message)) {
        proxyStreams.tell(message);
      }
    } else if (message instanceof PermitMessages.PermitRequest) {
      permit((PermitMessages.PermitRequest) message, reply, now);
    } else if (message instanceof PermitMessages.PermitResponse && quotas != null) {
      quotas.answered((PermitMessages.PermitResponse) message, now);
    } else if (message instanceof KeyMessages.ClaimVoteRequest
        || message instanceof KeyMessages.ClaimVoteResponse
        || message instanceof KeyMessages.ClaimRelease) {
      takeKeyRoster(now);
      keyClaims.receive(from, message, reply, now);
    } else if (message instanceof PlacementMessages.LeaseRequest && placements != null) {
      reply.accept(
          placements
              .coordinator()
              .handleLeaseRequest((PlacementMessages.LeaseRequest) message, majorityAt, now));
    } else if (message instanceof PlacementMessages.LeaseGrant && placements != null) {
      placements.granted(
          (PlacementMessages.LeaseGrant) message, proxyStreams::contains, environment::board);
    } else if (message instanceof AssignerHeartbeat && ownership != null) {
      ownership.pulse(from, (AssignerHeartbeat) message, now);
    } else if (message instanceof SlotReport && ownership != null) {
      ownership.fromRegistry((SlotReport) message, now);
    } else if (message instanceof RegistryMessages.Gossip) {
      onGossip(from, (RegistryMessages.Gossip) message, reply, now);
    }
  }

  private void merge(final List<Registration> given, final long now) {
    final List<Registration> news = registrations.merge(given, now);
    if (!news.isEmpty()) {
      persist(news, null, () -> {});
      proxyStreams.registrations(news);
    }
  }

  private void onKept(final String from, final RegistryMessages.ChangesAck kept, final long now) {
    if (kept.rosterNumber > roster.number) {
      environment.member(from, gossip(0, false, false, false, null, now));
      return;
    }
    kept(from, kept.number, now);
  }

  private Message question(final long number) {
    return question(number, 0);
  }

  /**
   * The question with a lease. It goes only over a line that the other was at the end of before
   * this clock was read: the other counts the lease from its own start.
   */
  private Message offer(final long number) {
    return question(number, lease(clock));
  }

  private Message question(final long number, final long leaseMillis) {
    return new RegistryMessages.ControlStateRequest(
        number,
        roster.number,
        control.version(),
        control.evacuationMark(),
        control.trialMark(),
        registrations.buckets(true),
        leaseMillis,
        learning);
  }

  private RegistryMessages.ControlStateResponse held(
      final RegistryMessages.ControlStateRequest read, final long now) {
    final boolean spec = control.version() > read.version;
    final boolean evacuations = control.evacuationMark() > read.evacuationMark;
    final boolean trials = control.trialMark() > read.trialMark;
    List<Registration> lacking = List.of();
    final List<Long> buckets = registrations.buckets(true);
    if (read.buckets != null && !buckets.equals(read.buckets)) {
      lacking = RegistrationBuckets.differing(registrations.all().values(), buckets, read.buckets);
    }
    return new RegistryMessages.ControlStateResponse(
        read.number,
        roster.number > read.rosterNumber ? roster : null,
        learning,
        Math.min(Integer.MAX_VALUE, now - contactAt()),
        spec ? control.version() : 0,
        spec ? control.spec() : null,
        evacuations ? control.evacuated() : null,
        evacuations ? control.evacuationMark() : 0,
        trials ? control.coordinator().trials() : null,
        trials ? control.trialMark() : 0,
        lacking.isEmpty() ? null : RegistrationBuckets.pack(lacking),
        lease(now),
        read.claimsToo ? keyClaims.live() : null);
  }

  /**
   * For how long a voter that has only just started confirms no change yet. After a loss of power
   * everywhere, what a majority says over its first lines then holds for all switchboards that come
   * back meanwhile, and nothing is held up, since the frames need longer for their ballots.
   */
  private long lease(final long now) {
    return learning || roster.index(self) < 0 ? 0 : Math.max(0, withheldUntil - now);
  }

  /**
   * Another exchange asks, and says so what it holds; a line of this life carries nothing that was
   * said before this life began.
   */
  private void onRead(
      final String from,
      final RegistryMessages.ControlStateRequest read,
      final java.util.function.Consumer<Message> reply,
      final long now) {
    clock = Math.max(clock, now);
    reply.accept(held(read, now));
    final boolean nothingNew =
        read.buckets != null
            && read.rosterNumber <= roster.number
            && read.version <= control.version()
            && read.evacuationMark <= control.evacuationMark()
            && read.trialMark <= control.trialMark()
            && read.buckets.equals(registrations.buckets(true));
    if (read.leaseMillis > 0 && nothingNew) {
      reads.leased(from, startedAt + read.leaseMillis);
    }
    if (roster.index(from) >= 0 && !connected.contains(from)) {
      reads.line(from, this::offer, reply);
    }
    admit(now);
  }

  /**
   * Confirms that a change is on this disk: at once, or when a lease that was given has run out.
   */
  private void confirm(final Runnable confirmation) {
    if (clock < withheldUntil) {
      withheld.add(confirmation);
    } else {
      confirmation.run();
    }
  }

  private void onHeld(
      final String from, final RegistryMessages.ControlStateResponse held, final long now) {
    clock = Math.max(clock, now);
    majority.told(from, held.majorityAgeMillis, now);
    takeRoster(held.roster, now);
    take(held.version, held.spec, held.evacuated, held.evacuationMark, held.trials, held.trialMark);
    merge(RegistrationBuckets.unpack(held.packed), now);
    keyClaims.learn(Protocol.list(held.claims), now);
    if (!held.learning) {
      reads.answered(from, held.number);
      if (held.leaseMillis > 0) {
        reads.leased(from, reads.began(held.number) + held.leaseMillis);
      }
    }
    read(now);
  }

  /** Looks whether the quorum read under way is done, and begins the next where one is wanted. */
  private void read(final long now) {
    if (learning
        && learningRead == Long.MAX_VALUE
        && roster.index(self) >= 0
        && now - startedAt >= LEARNING_MILLIS) {
      learningRead = reads.next();
    }
    if (now - majorityAt > CONFIRM_MILLIS
        && now - reads.confirmedAt() > CONFIRM_MILLIS
        && roster.number > 0) {
      reads.next();
    }
    if (reads.complete(roster, !learning)) {
      reconciled = true;
      admit(now);
    }
    if (learning && reads.done() >= learningRead) {
      learned(now);
    } else if (learning
        && roster.index(self) >= 0
        && now - Math.max(rosterAt, startedAt) > MOST_LEARNING_MILLIS
        && now - majorityAt < MAJORITY_MILLIS) {
      LOGGER.atWarning().log(
          "registry %s found no majority of registries that have all that was acknowledged; it counts with what it has",
          self);
      learned(now);
    }
    reads.tick(this::question, this::tellVoters, now);
    if (proofDue && (reads.done() >= proofRead || now - reachAt >= PROOF_MILLIS)) {
      proofDue = false;
      proxyStreams.tellEverybody(reach(now, false), informed(now), now);
    }
  }

  private void learned(final long now) {
    learning = false;
    keepLearning();
    LOGGER.atInfo().log(
        "registry %s has learned what was acknowledged before it came, and counts", self);
  }

  private boolean writesElectorates() {
    for (final Voter voter : roster.voters) {
      if (voter.address.equals(self) || connected.contains(voter.address)) {
        return voter.address.equals(self);
      }
    }
    return false;
  }

  private void missSwitchboards(final long now) {
    for (final DaemonEntry board : switchboards.missed(now)) {
      final RegistryMessages.Changes message =
          new RegistryMessages.Changes(
              0, null, List.of(DaemonTable.aged(board, DaemonTable.GONE_MILLIS)));
      for (final String member : members.keySet()) {
        environment.member(member, message);
      }
    }
  }

  private void onGossip(
      final String from,
      final RegistryMessages.Gossip gossip,
      final java.util.function.Consumer<Message> reply,
      final long now) {
    final boolean alike = gossip.digest == registrations.digest();
    merge(Protocol.list(gossip.history), now);
    merge(RegistrationBuckets.unpack(gossip.packed), now);
    appliedStates.told(from, gossip.version, gossip.mark, gossip.heldMillis, now);
    if (gossip.region != null && !gossip.region.isEmpty()) {
      memberPlaces.put(from, gossip.region + "/" + gossip.site);
    }
    final boolean boardsAlike = gossip.boardDigest == switchboards.digest(now);
    if (boardsAlike && gossip.boardAges != null) {
      switchboards.takeAges(gossip.boardAges, now);
    }
    switchboards.merge(Protocol.list(gossip.boards), now);
    takeRoster(gossip.roster, now);
    boolean more = false;
    for (final String member : Protocol.list(gossip.members)) {
      if (!members.containsKey(member) && !member.equals(self)) {
        members.put(member, now - 1500);
        more = true;
      }
    }
    if (more) {
      tellPeers(now);
    }
    boolean cleared = false;
    if (alike && gossip.beatAges != null) {
      cleared = registrations.takeBeatAges(gossip.beatAges, now);
    }
    final List<String> beaten = Protocol.list(gossip.beaten);
    for (int index = 0; index < beaten.size(); index++) {
      cleared |= registrations.beaten(beaten.get(index), now - gossip.ages.get(index), now);
    }
    if (cleared) {
      proxyStreams.suspects();
    }
    if (gossip.depth == 0) {
      reply.accept(
          gossip(
              1,
              !alike,
              !boardsAlike,
              gossip.rosterNumber < roster.number,
              gossip.count == 0 ? List.of() : null,
              now));
      return;
    }
    if (gossip.depth < 3 && !alike && gossip.digest != registrations.digest()) {
      reply.accept(
          gossip(gossip.depth + 1, true, !boardsAlike, false, Protocol.list(gossip.buckets), now));
    } else if (gossip.depth == 1 && (!boardsAlike || gossip.rosterNumber < roster.number)) {
      reply.accept(gossip(3, false, true, gossip.rosterNumber < roster.number, null, now));
    }
    if (!reconciled
        && (gossip.depth > 1
            || alike
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
  private RegistryMessages.Gossip gossip(
      final int depth,
      final boolean differs,
      final boolean boardsDiffer,
      final boolean rosterToo,
      final List<Long> there,
      final long now) {
    final List<String> beaten = new ArrayList<>();
    final List<Long> ages = new ArrayList<>();
    if (differs) {
      registrations.recent(beaten, ages, now);
    }
    final List<DaemonEntry> list = boardsDiffer ? switchboards.told(now) : new ArrayList<>();
    final List<Long> here = differs ? registrations.buckets(true) : null;
    final byte[] packed =
        differs && there != null
            ? RegistrationBuckets.pack(
                RegistrationBuckets.differing(registrations.all().values(), here, there))
            : null;
    return new RegistryMessages.Gossip(
        depth,
        registrations.digest(),
        rosterToo ? roster : null,
        depth == 0 || boardsDiffer ? new ArrayList<>(members.keySet()) : null,
        null,
        list,
        beaten,
        ages,
        control.version(),
        control.mark(),
        now - control.heldSince(),
        roster.number,
        registrations.size(),
        registrations.beatAges(now),
        switchboards.digest(now),
        switchboards.ages(now),
        here,
        packed,
        site,
        region);
  }

  private void takeRoster(final Roster news, final long now) {
    if (news == null || news.number <= roster.number) {
      return;
    }
    if (!learning
        && news.index(self) >= 0
        && roster.index(self) < 0
        && (roster.number > 0 || !seeds.contains(self) || !firstStart)) {
      learning = true;
      keepLearning();
    }
    learningRead = Long.MAX_VALUE;
    rosterBefore = roster.number == 0 ? null : roster;
    rosterAt = now;
    roster = news;
    reads.restart();
    persist(List.of(), news, () -> {});
    for (final Voter voter : news.voters) {
      members.putIfAbsent(voter.address, now - 1500);
    }
    tellPeers(now);
  }

  private void tellPeers(final long now) {
    final List<String> addresses = new ArrayList<>();
    for (final String member : members.keySet()) {
      if (!member.equals(self)) {
        addresses.add(member);
      }
    }
    environment.peers(addresses);
    final List<String> frames = new ArrayList<>(addresses);
    frames.add(self);
    store.frames(frames);
  }

  /** Orders switchboards to begin or end recording. */
  public RecordingMessages.RecordingState record(
      final boolean on, final long wall, final long now) {
    final RecordingMessages.RecordingState state = recordingBuffer.order(on, wall);
    proxyStreams.tell(state);
    tellRecording(now);
    return state;
  }

  private void tellRecording(final long now) {
    if (recordingBuffer.tells(now)) {
      for (final String member : members.keySet()) {
        environment.member(member, recordingBuffer.state());
      }
    }
  }

  /** A switchboard has recorded something. */
  public void reel(final RecordingMessages.RecordingBatch batch, final long now) {
    recordingBuffer.add(batch, now);
  }

  /** What was recorded here since it was last collected, with what is in force. */
  public RecordingBuffer.Collection drain(final long now) {
    final List<RecordingBuffer.CollectedBatch> list = recordingBuffer.drain(now);
    return new RecordingBuffer.Collection(
        recordingBuffer.state().on,
        recordingBuffer.state().mark,
        recordingBuffer.dropped(),
        recordingBuffer.left(),
        list,
        control.version(),
        control.spec(),
        new ArrayList<>(registrations.all().values()),
        control.evacuated());
  }

  /** Whether switchboards record, and how much waits here. */
  public String recording() {
    return (recordingBuffer.state().on ? "recording" : "not recording")
        + ", "
        + recordingBuffer.left()
        + " calls wait to be collected here, "
        + recordingBuffer.dropped()
        + " dropped here";
  }

  /** A proxy claims an idempotency key for a request, or gives one back. */
  public void key(
      final Message message, final java.util.function.Consumer<Message> reply, final long now) {
    if (message instanceof KeyMessages.ClaimRequest && cutOff(now)) {
      final long number = ((KeyMessages.ClaimRequest) message).claim.number;
      reply.accept(new KeyMessages.ClaimResponse(number, KeyMessages.ClaimResult.UNKNOWN, null));
      return;
    }
    takeKeyRoster(now);
    keyClaims.fromProxy(message, reply, now);
  }

  private void takeKeyRoster(final long now) {
    final boolean joint = now - rosterAt < JOINT_MILLIS;
    keyClaims.roster(roster, joint ? rosterBefore : null, !learning && roster.index(self) >= 0);
  }

  /** Somebody asks for permits. */
  public void permit(
      final PermitMessages.PermitRequest request,
      final java.util.function.Consumer<Message> reply,
      final long now) {
    if (quotas == null) {
      reply.accept(
          new PermitMessages.PermitResponse(
              request.number, 0, control.version(), Integer.MAX_VALUE));
      return;
    }
    quotas.ask(
        request, reply, control.routingTable(), roster, control.version(), now - majorityAt, now);
  }

  // ---- switchboards

  /** Whether this exchange knows enough to tell switchboards what to do. */
  public boolean informed(final long now) {
    return reconciled && control.version() > 0 && !leaving;
  }

  /** A switchboard tells of itself over its stream. */
  public void boardState(final Object stream, final DaemonEntry board, final long now) {
    boardState(stream, board, null, now);
  }

  /** A switchboard tells of itself, and at the opening of its stream, by digests, what it has. */
  public void boardState(
      final Object stream, final DaemonEntry board, final List<Long> buckets, final long now) {
    final boolean news = switchboards.news(board, now);
    switchboards.merge(List.of(board), now);
    if (news) {
      for (final String member : members.keySet()) {
        environment.member(member, new RegistryMessages.Changes(0, null, List.of(board)));
      }
    }
    if (!proxyStreams.contains(stream)) {
      if (electorates != null) {
        electorates.stream(stream, board.region);
      }
      proxyStreams.opened(stream, board, buckets, board.version == 0 ? reads.next() : 0, now);
      siteMembership.stream(stream, board.announcer ? "" : board.site);
      read(now);
      admit(now);
    }
  }

  private void admit(final long now) {
    final long read = now < reads.leasedUntil(roster) ? Long.MAX_VALUE : reads.done();
    if (informed(now) && proxyStreams.waiting(read)) {
      proxyStreams.admit(read, stream -> admitted(stream, now));
    }
  }

  private void admitted(final Object stream, final long now) {
    if (purges != null && proxyStreams.announces(stream)) {
      environment.board(stream, purges);
    }
    if (electorates != null) {
      electorates.tell(stream, environment::board);
    }
    if (recordingBuffer.state().mark > 0) {
      environment.board(stream, recordingBuffer.state());
    }
    if (placements != null && placements.coordinator().placementVersion() > 0) {
      environment.board(stream, placements.coordinator().placements());
    }
    if (ownership != null && ownership.all() != null && !proxyStreams.announces(stream)) {
      environment.board(stream, ownership.all());
    }
    siteMembership.tell(stream, environment::board);
    environment.board(stream, reach(now, true));
  }

  /** A switchboard's stream has ended. */
  public void streamClosed(final Object stream, final String address, final long now) {
    proxyStreams.closed(stream);
    siteMembership.closed(stream);
    if (electorates != null) {
      electorates.closed(stream);
    }
    switchboards.closed(address, now);
  }

  /**
   * What is told each time, with the registries that there is a line to where they have changed
   * since they were told to all. Machines that are gone must not be named: proxies dial them.
   */
  private RegistryMessages.RegistryStatus reach(final long now, final boolean first) {
    final List<String> caches = switchboards.announcers(now);
    final List<String> places = new ArrayList<>();
    final List<String> named = new ArrayList<>(members.keySet());
    named.removeIf(member -> !member.equals(self) && !connected.contains(member));
    for (final String member : named) {
      places.add(member.equals(self) ? region + "/" + site : memberPlaces.getOrDefault(member, ""));
    }
    final boolean news = !named.equals(toldMembers) || !places.equals(toldPlaces);
    if (!first) {
      toldMembers = named;
      toldPlaces = places;
    }
    return new RegistryMessages.RegistryStatus(
        Math.min(Integer.MAX_VALUE, now - majorityAt),
        switchboards.most(),
        first || news ? named : null,
        caches,
        first || news ? places : null,
        Math.min(Integer.MAX_VALUE, now - contactAt()),
        reads.done() == 0 ? null : Long.valueOf(reads.confirmedAt()),
        now);
  }

  private List<String> toldMembers = List.of();
  private List<String> toldPlaces = List.of();
  private final Map<String, String> memberPlaces = new HashMap<>();

  /** When this exchange was last surely in touch with a majority, of frames or of exchanges. */
  private long contactAt() {
    return Math.max(majorityAt, reads.confirmedAt());
  }

  /**
   * Whether this exchange knows that it is without a majority: none has answered it lately, and
   * there are not enough lines to voters.
   */
  public boolean cutOff(final long now) {
    return majority.cutOff(roster, seeds, connected, contactAt(), now);
  }

  /** An exchange that told lately that it hears a majority; null where there is none. */
  public String majority(final long now) {
    return majority.elsewhere(connected, now);
  }

  /** The fronts that a client in this place should use; empty where none is known. */
  public List<String> resolve(
      final String region, final String site, final int most, final long now) {
    return directory.resolve(region, site, most, now - majorityAt > MAJORITY_MILLIS, now);
  }

  // ---- control state

  private void askControl(final long now) {
    if (controlOut || leaving) {
      return;
    }
    controlOut = true;
    controlAskedAt = now;
    final boolean stale = now - majorityAt > CONFIRM_MILLIS;
    store
        .call(
            StoreOperation.CONTROL,
            "",
            null,
            control.version(),
            stale
                ? -1
                : control.mark()
                    + (purges == null ? 0 : purges.mark)
                    + (electorates == null ? otherMarks : electorates.marks())
                    + (placements == null ? placementMarks : placements.marks())
                    + (ownership == null ? ownershipMark : ownership.mark()),
            null,
            null,
            now,
            2500)
        .whenComplete(
            (answer, problem) -> {
              controlOut = false;
              if (problem == null && answer.status == 200) {
                takeControl(
                    Serializer.deserialize(answer.body, StoredValues.ControlSnapshot.class),
                    controlAskedAt);
              }
            });
  }

  private long controlAskedAt;
  private long otherMarks;
  private long placementMarks;
  private long ownershipMark;
  private long clock;

  private void takeControl(final StoredValues.ControlSnapshot given, final long askedAt) {
    majorityAt = Math.max(majorityAt, askedAt);
    takeRoster(given.roster, clock);
    take(
        given.version,
        given.spec,
        given.evacuated,
        given.evacuationMark,
        given.trials,
        given.trialMark);
    if (electorates != null) {
      electorates.take(Protocol.list(given.electorates), environment::board);
    } else if (given.electorates != null) {
      otherMarks = Protocol.list(given.electorates).stream().mapToLong(one -> one.mark).sum();
    }
    placementMarks = given.placementMark + (given.keeper == null ? 0 : given.keeper.serial);
    if (placements != null && placements.take(given, clock)) {
      proxyStreams.tellSwitchboards(placements.coordinator().placements());
    }
    takeAssignments(given.assignments);
    if (given.purges != null && (purges == null || given.purges.mark > purges.mark)) {
      purges = given.purges;
      proxyStreams.tellAnnouncers(purges);
    }
    admit(clock);
    askControl(clock);
  }

  private void takeAssignments(final List<Assignment> given) {
    if (given == null) {
      return;
    }
    ownershipMark = given.stream().mapToLong(assignment -> assignment.serial).sum();
    final Assignments news = ownership == null ? null : ownership.take(given, clock);
    if (news != null) {
      proxyStreams.tellSwitchboards(news);
    }
  }

  // ---- trials

  /** Trials of services: their reports and operators' orders. */
  public TrialService trials() {
    return trialService;
  }

  /** All that is known of trials. */
  public TrialCoordinator panel() {
    return control.coordinator();
  }

  /** Calls the store. */
  public CompletableFuture<StoreMessages.StoreResponse> call(
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
  public CompletableFuture<StoreMessages.StoreResponse> change(
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
      final long on,
      final StoreMessages.ChangeOrigin origin,
      final long cutoff) {
    return store
        .call(StoreOperation.EVACUATION_TICKET, zone, null, 0, 0, null, null, clock, cutoff - clock)
        .thenCompose(
            ticket ->
                ticket.status != 200
                    ? CompletableFuture.completedFuture(ticket)
                    : store
                        .call(
                            StoreOperation.EVACUATE,
                            zone,
                            null,
                            on,
                            ticket.first,
                            null,
                            origin,
                            clock,
                            cutoff - clock)
                        .thenCompose(
                            answer ->
                                answer.status != 410
                                    ? CompletableFuture.completedFuture(answer)
                                    : evacuate(zone, on, origin, cutoff)));
  }

  /** Calls the store with a configuration, the digest of what it says, and who wants it. */
  public CompletableFuture<StoreMessages.StoreResponse> replace(
      final long given,
      final boolean tied,
      final byte[] packed,
      final byte[] content,
      final StoreMessages.ChangeOrigin origin,
      final long timeout,
      final long now) {
    return store.call(
        StoreOperation.SPEC_REPLACE,
        "",
        null,
        given,
        tied ? 1 : 0,
        packed,
        origin,
        content,
        now,
        timeout);
  }

  /** Who wants a change that came in here. */
  public StoreMessages.ChangeOrigin cause(
      final String author, final String caller, final byte[] extra) {
    return new StoreMessages.ChangeOrigin(author, caller, self, extra);
  }

  /** The history of routing changes, read from the replica on this machine. */
  public HistoryReader audit() {
    return historyReader;
  }

  /** How all stands, as far as it is known here. */
  public ControlApi.StatusResponse status(final long now) {
    final List<ControlApi.DaemonStatus> daemons = new ArrayList<>();
    for (final AppliedState one : inForce(now)) {
      daemons.add(
          new ControlApi.DaemonStatus(
              one.address(),
              one.program(),
              String.format("%08x", one.version()),
              one.mark(),
              one.ageMillis() == Long.MAX_VALUE ? -1 : one.ageMillis()));
    }
    final List<ControlApi.PlacementStatus> placed = new ArrayList<>();
    final List<ControlApi.WriteCount> writes = new ArrayList<>();
    if (placements != null) {
      for (final PlacementMessages.Placement one :
          placements.coordinator().placements().placements) {
        placed.add(
            new ControlApi.PlacementStatus(
                one.service,
                one.epoch,
                Protocol.list(one.members).size(),
                one.prepared,
                Protocol.list(one.next).size()));
      }
      final long[] counts = placements.coordinator().decisionCounts();
      for (int index = 0; placements.coordinator().isOwner() && index < counts.length; index++) {
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
    final boolean settled = now - majorityAt < MAJORITY_MILLIS;
    return new ControlApi.StatusResponse(
        self,
        settled,
        settled ? now - majorityAt : -1,
        roster.number,
        voters,
        String.format("%08x", control.version()),
        control.evacuated(),
        registrations.size(),
        registrations.suspects().size(),
        daemons,
        placements == null ? "" : placements.coordinator().owner(),
        placed,
        writes,
        environment.disk(),
        ownership == null ? List.of() : ownership.status());
  }

  /** What each daemon has in force, as it told last. */
  public List<AppliedState> inForce(final long now) {
    final AppliedState own =
        new AppliedState(
            self,
            AppliedStateTable.REGISTRY,
            control.version(),
            control.mark(),
            now - control.heldSince(),
            0);
    return appliedStates.all(own, members.keySet(), switchboards.all(), now);
  }

  private final AppliedStateTable appliedStates = new AppliedStateTable();

  /** A frame has answered. */
  public void answered(
      final String from, final StoreMessages.StoreResponse answer, final long now) {
    clock = now;
    store.answered(from, answer, now);
  }

  /** The line to a frame has ended. */
  public void frameClosed(final String address, final long now) {
    store.closed(address, now);
  }

  /** There is a line to an exchange. */
  public void memberOpened(final String address, final long now) {
    connected.add(address);
    members.put(address, now);
    if (roster.index(address) >= 0) {
      clock = Math.max(clock, now);
      reads.line(address, this::offer, question -> environment.member(address, question));
    }
  }

  /** The line to an exchange has ended. */
  public void memberClosed(final String address, final long now) {
    connected.remove(address);
  }

  // ---- time

  /** Time has passed; to be called every few tens of milliseconds. */
  public void tick(final long now) {
    clock = now;
    store.tick(now);
    historyReader.tick(now);
    if (quotas != null) {
      quotas.tick(now);
    }
    takeKeyRoster(now);
    keyClaims.tick(now);
    if (now >= withheldUntil && !withheld.isEmpty()) {
      final List<Runnable> due = new ArrayList<>(withheld);
      withheld.clear();
      due.forEach(Runnable::run);
    }
    read(now);
    admit(now);
    majority.tick(roster, seeds, connected, contactAt(), now);
    askControl(now);
    if (placements != null && placements.active()) {
      final String keeper = placements.coordinator().owner();
      placements.tick(
          control.routingTable(),
          registrations.all().values(),
          control.evacuated(),
          registrations.suspects(),
          registrations.revision(),
          writesElectorates(),
          keeper.equals(self) || connected.contains(keeper),
          now - majorityAt < MAJORITY_MILLIS,
          now);
    }
    if (ownership != null) {
      ownership.tick(
          control.routingTable(),
          registrations,
          control.evacuated(),
          new OwnershipCoordinator.Position(roster.index(self), roster.voters.size(), majorityAt),
          now);
    }
    if (now - reachAt >= REACH_MILLIS) {
      reachAt = now;
      switchboards.count(now);
      siteMembership.keep(switchboards.sites(now), proxyStreams.all(), environment::board);
      missSwitchboards(now);
      trialService.judge(now);
      tellRecording(now);
      if (electorates != null && now - majorityAt < MAJORITY_MILLIS && writesElectorates()) {
        electorates.keep(switchboards.live(now), now);
      }
      proofRead = reads.next();
      proofDue = true;
      read(now);
      judge(now);
    }
    quorums.tick(this::tellMembers, now);
    if (now - gossipAt >= GOSSIP_MILLIS) {
      gossipAt = now;
      gossipWithOne(now);
    }
  }

  private void gossipWithOne(final long now) {
    final List<String> others = new ArrayList<>();
    members
        .entrySet()
        .removeIf(
            entry ->
                now - entry.getValue() > 60_000
                    && !seeds.contains(entry.getKey())
                    && roster.index(entry.getKey()) < 0);
    for (final String member : members.keySet()) {
      if (!member.equals(self)) {
        others.add(member);
      }
    }
    java.util.Collections.shuffle(others, random);
    final RegistryMessages.Gossip message = gossip(0, false, false, false, null, now);
    for (final String other : others) {
      if (environment.member(other, message)) {
        gossips++;
        return;
      }
    }
    if (now - startedAt > 3000 && others.isEmpty()) {
      reconciled = true;
    }
  }

  private void judge(final long now) {
    final List<Registration> silent = new ArrayList<>();
    final boolean changed = registrations.judge(silent, now);
    final List<Registration> lapsed = new ArrayList<>();
    for (final Registration registration : silent) {
      if (now - majorityAt < MAJORITY_MILLIS
          && self.equals(keeper(registration.id, registration.site, Map.of()))) {
        lapsed.add(
            Registrations.step(
                registration,
                LifecycleStage.of(registration) == LifecycleStage.DRAINING
                    ? LifecycleStage.REMOVED
                    : LifecycleStage.LAPSED,
                registration.issued));
      }
    }
    if (!lapsed.isEmpty()) {
      for (final Registration registration : lapsed) {
        LOGGER.atInfo().log(
            "upstream %s was silent for %s beats and is written off",
            registration.id, Registrations.LAPSE_BEATS);
        registrations.put(registration);
      }
      persist(lapsed, null, () -> {});
      tellMembers(new RegistryMessages.Changes(0, lapsed, null));
      proxyStreams.registrations(lapsed);
    }
    if (changed) {
      proxyStreams.suspects();
    }
    registrations.forget();
  }

  /** The process ends: its streams should go elsewhere. */
  public void leave() {
    leaving = true;
    if (ownership != null) {
      ownership.leave();
    }
  }

  // ---- what tests and operators look at

  /** The history, by upstream. */
  public Map<String, Registration> history() {
    return registrations.all();
  }

  /** The roster known here. */
  public Roster roster() {
    return roster;
  }

  /** What this registry tells of itself. */
  public List<Metric> figures(final long now) {
    final List<Metric> figures = new ArrayList<>();
    figures.add(Metric.gauge("weldpoint_registrations", "Upstreams known.", registrations.size()));
    figures.add(Metric.counter("weldpoint_beats", "Beats of upstreams taken here.", beats));
    figures.add(
        Metric.counter(
            "weldpoint_superseded_registrations",
            "Upstreams written off since another one beat from their address.",
            registrations.superseded()));
    figures.add(Metric.gauge("weldpoint_streams", "Streams to proxies.", proxyStreams.size()));
    figures.add(Metric.gauge("weldpoint_roster_number", "The roster's number.", roster.number));
    figures.add(
        Metric.gauge(
            "weldpoint_majority_age_seconds",
            "Time since a majority of state stores was last heard.",
            Math.min(1e6, (now - majorityAt) / 1000.0)));
    if (quotas != null) {
      figures.addAll(quotas.figures());
    }
    figures.addAll(keyClaims.figures());
    if (ownership != null) {
      figures.addAll(ownership.figures(now));
    }
    return figures;
  }

  /** The counters, as one line. */
  public String counters() {
    return (placements == null || !placements.active()
            ? ""
            : placements.coordinator().counters() + " ")
        + "registrations "
        + registrations.size()
        + " beats "
        + beats
        + " gossips "
        + gossips
        + " streams "
        + proxyStreams.size()
        + " boards "
        + switchboards.size()
        + (quotas == null ? "" : " " + quotas.counters())
        + keyClaims.counters()
        + (ownership == null ? "" : ownership.counters())
        + " roster "
        + roster.number
        + " spec "
        + Long.toHexString(control.version());
  }
}
