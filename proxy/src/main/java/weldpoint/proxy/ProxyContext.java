package weldpoint.proxy;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.Random;
import weldpoint.affinity.AffinityKeys;
import weldpoint.affinity.AffinityTable;
import weldpoint.common.Settings;
import weldpoint.ownership.KeyOwners;
import weldpoint.regionleader.RegionAssessment;
import weldpoint.regionleader.UncertainWrites;
import weldpoint.routing.Affinity;
import weldpoint.routing.KeyedRouteWarnings;
import weldpoint.routing.RouteKind;
import weldpoint.routing.RoutingTable;
import weldpoint.transport.Protocol;
import weldpoint.transport.RegionMessages;
import weldpoint.trial.TrialTracker;
import weldpoint.upstream.UpstreamPool;

/**
 * The state shared by all client connections of a proxy. Used on the traffic thread only, except
 * for {@code shuttingDown}, which may be read from any thread.
 */
final class ProxyContext {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  final UpstreamPool upstreamPool;
  final TrialTracker trials;
  final Random random;
  final EventLoopGroup loop;
  RoutingTable routingTable;
  PermitPool permitPool;
  IdempotentRequests idempotentRequests;
  List<String> keyHeaders;
  AffinityTable affinity;
  final KeyOwners keyOwners = new KeyOwners();
  Affinity defaultAffinity;
  long affinityWaitMillis;
  final AffinityKeys affinityKeys = new AffinityKeys();
  Runnable onAffinityNeeded;
  UncertainWrites uncertainWrites;
  Recorder recorder;
  RegionMessages.LeaderDirective directive;
  long repeatableRequestsSeen;
  long writesSeen;
  long writesRefused;
  CacheClient cacheClient;
  boolean strictRevocation;
  long revokeMillis;
  Runnable onFirstConfiguration;
  volatile boolean shuttingDown;
  final OpenRequests openRequests = new OpenRequests();
  final ControlProof controlProof;

  /** No request is started while more response bytes than this wait for their clients. */
  long maxUnwrittenBytes = Runtime.getRuntime().maxMemory() / 4;

  long served;
  long refused;
  final RefusalCounts refusalCounts = new RefusalCounts();
  final TenantCounts tenantCounts = new TenantCounts();
  long failed;
  long retries;

  ProxyContext(
      final EventLoopGroup loop,
      final Settings settings,
      final Random random,
      final TrialTracker trials) {
    this.trials = trials;
    this.loop = loop;
    this.random = random;
    this.upstreamPool = new UpstreamPool(loop, settings, random);
    this.upstreamPool.onUnsolicitedResponse(trials::recordSurplusAnswer);
    this.defaultAffinity = Affinity.parseSetting("affinity.default", settings.defaultAffinity());
    this.affinityWaitMillis = settings.affinityWaitMillis();
    this.keyHeaders = settings.keyHeaders();
    this.strictRevocation = settings.strictRevocation();
    this.revokeMillis = settings.revokeMillis();
    this.controlProof =
        new ControlProof(settings.enforcementBoundMillis(), settings.contactMillis());
  }

  /** Applies a region leader's directive; null if none is in force any longer. */
  void applyDirective(final RegionMessages.LeaderDirective newDirective, final String ownAddress) {
    directive = newDirective;
    uncertainWrites.uncertainElsewhere(
        newDirective == null
            ? java.util.List.of()
            : Protocol.emptyIfNull(newDirective.uncertainWrites));
    upstreamPool.setAssignedShare(
        newDirective == null ? 0 : RegionAssessment.budgetShare(newDirective, ownAddress),
        newDirective == null
            ? java.util.Set.of()
            : new java.util.HashSet<>(Protocol.emptyIfNull(newDirective.suspects)));
  }

  /** Returns what this proxy observed since the previous call, and resets the counts. */
  RegionMessages.ProxyObservations takeObservations(final long now) {
    final RegionMessages.ProxyObservations observations =
        new RegionMessages.ProxyObservations(
            repeatableRequestsSeen,
            writesSeen,
            writesRefused,
            served - servedAtLastObservation,
            upstreamPool.unhealthyUpstreams(now),
            uncertainWrites.recentlyUncertain(now, UNCERTAIN_MILLIS));
    repeatableRequestsSeen = 0;
    writesSeen = 0;
    writesRefused = 0;
    servedAtLastObservation = served;
    return observations;
  }

  /** Whether the region leader's directive admits a request of this kind now. */
  boolean admits(final RouteKind kind) {
    return directive == null
        || !kind.repeatable()
        || directive.admittedFraction >= 1
        || random.nextDouble() < directive.admittedFraction;
  }

  private static final long UNCERTAIN_MILLIS = 30_000;
  private long servedAtLastObservation;

  static long now() {
    return System.nanoTime() / 1_000_000;
  }

  void apply(final ControlUpdate update) {
    final long now = now();
    if (update.routingTable() != null
        && (routingTable == null || update.routingTable().version() > routingTable.version())) {
      final boolean firstConfiguration = routingTable == null;
      routingTable = update.routingTable();
      upstreamPool.setRoutingTable(routingTable);
      KeyedRouteWarnings.of(routingTable, Settings.OPERATION_KEY_HEADER, keyHeaders)
          .forEach(warning -> LOGGER.atWarning().log("configuration in force: %s", warning));
      if (affinity == null
          && onAffinityNeeded != null
          && routingTable.allRoutes().stream()
              .anyMatch(route -> Affinity.effective(route, defaultAffinity) != null)) {
        onAffinityNeeded.run();
      }
      if (firstConfiguration && onFirstConfiguration != null) {
        loop.execute(onFirstConfiguration);
      }
    }
    if (update.proxyCount() > 0) {
      upstreamPool.setFleetSize(update.proxyCount(), now);
    }
    if (update.trials() != null) {
      trials.updateTrials(update.trials(), update.trialVersion());
    }
    upstreamPool.applyChanges(update.changes(), now);
    if (update.evacuated() != null) {
      upstreamPool.setEvacuatedSites(update.evacuated(), now);
    }
    if (update.suspects() != null) {
      upstreamPool.setSuspects(update.suspects());
    }
  }
}
