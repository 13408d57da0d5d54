package weldpoint.proxy;

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
import weldpoint.routing.RouteKind;
import weldpoint.routing.RoutingTable;
import weldpoint.transport.Protocol;
import weldpoint.transport.RegionMessages;
import weldpoint.trial.TrialTracker;
import weldpoint.upstream.UpstreamPool;

/** What all sessions of a switchboard share. All of it lives on the traffic thread. */
final class ProxyContext {
  final UpstreamPool upstreamPool;
  final TrialTracker trials;
  final Random random;
  final EventLoopGroup loop;
  RoutingTable routingTable;
  PermitPool permits;
  IdempotentRequests keys;
  List<String> keyHeaders = List.of();
  AffinityTable affinity;
  final KeyOwners owners = new KeyOwners();
  Affinity usual;
  long tieWaitMillis;
  final AffinityKeys callers = new AffinityKeys();
  Runnable uponTies;
  UncertainWrites uncertainWrites;
  Recorder recorder;
  RegionMessages.LeaderDirective directive;
  long seenRepeatables;
  long seenWrites;
  long refusedWrites;
  CacheClient recordings;
  boolean strict;
  long revokeMillis;
  Runnable uponPlan;
  volatile boolean leaving;
  final OpenRequests open = new OpenRequests();
  final ControlProof proof;

  /** Beyond so many bytes of answers that clients have not taken, no request is begun. */
  long mostUnwrittenBytes = Runtime.getRuntime().maxMemory() / 4;

  long served;
  long refused;
  final RefusalCounts refusals = new RefusalCounts();
  final TenantCounts tenantCounts = new TenantCounts();
  long failed;
  long repeated;

  ProxyContext(
      final EventLoopGroup loop,
      final Settings settings,
      final Random random,
      final TrialTracker trials) {
    this.trials = trials;
    this.loop = loop;
    this.random = random;
    this.upstreamPool = new UpstreamPool(loop, settings, random);
    this.upstreamPool.surplus(trials::recordSurplusAnswer);
    this.usual = Affinity.setting("affinity.default", settings.affinityUsual());
    this.tieWaitMillis = settings.affinityWaitMillis();
    this.strict = settings.strictRevocation();
    this.revokeMillis = settings.revokeMillis();
    this.proof = new ControlProof(settings.obeyMillis(), settings.contactMillis());
  }

  /** Takes the orders of a chief; null where none are in force any longer. */
  void ordered(final RegionMessages.LeaderDirective given, final String self) {
    directive = given;
    uncertainWrites.uncertainElsewhere(
        given == null ? java.util.List.of() : Protocol.list(given.uncertain));
    upstreamPool.ordered(
        given == null ? 0 : RegionAssessment.budgetShare(given, self),
        given == null
            ? java.util.Set.of()
            : new java.util.HashSet<>(Protocol.list(given.suspects)));
  }

  /** What was seen since the last time. */
  RegionMessages.ProxyObservations sight(final long now) {
    final RegionMessages.ProxyObservations observations =
        new RegionMessages.ProxyObservations(
            seenRepeatables,
            seenWrites,
            refusedWrites,
            served - servedBefore,
            upstreamPool.silent(now),
            uncertainWrites.recentlyUncertain(now, UNSURE_MILLIS));
    seenRepeatables = 0;
    seenWrites = 0;
    refusedWrites = 0;
    servedBefore = served;
    return observations;
  }

  /** Whether a chief's order lets this kind in now. */
  boolean admits(final RouteKind kind) {
    return directive == null
        || !kind.repeatable()
        || directive.admission >= 1
        || random.nextDouble() < directive.admission;
  }

  private static final long UNSURE_MILLIS = 30_000;
  private long servedBefore;

  static long now() {
    return System.nanoTime() / 1_000_000;
  }

  void take(final ControlUpdate outlook) {
    final long now = now();
    if (outlook.routingTable() != null
        && (routingTable == null || outlook.routingTable().version() > routingTable.version())) {
      final boolean first = routingTable == null;
      routingTable = outlook.routingTable();
      upstreamPool.configuration(routingTable);
      if (affinity == null
          && uponTies != null
          && routingTable.all().stream()
              .anyMatch(route -> Affinity.inForce(route, usual) != null)) {
        uponTies.run();
      }
      if (first && uponPlan != null) {
        loop.execute(uponPlan);
      }
    }
    if (outlook.switchboards() > 0) {
      upstreamPool.switchboards(outlook.switchboards(), now);
    }
    if (outlook.trials() != null) {
      trials.updateTrials(outlook.trials(), outlook.trialMark());
    }
    upstreamPool.apply(outlook.changes(), now);
    if (outlook.evacuated() != null) {
      upstreamPool.evacuated(outlook.evacuated(), now);
    }
    if (outlook.suspects() != null) {
      upstreamPool.suspects(outlook.suspects());
    }
  }
}
