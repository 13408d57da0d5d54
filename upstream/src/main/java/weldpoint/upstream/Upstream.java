package weldpoint.upstream;

import java.util.ArrayDeque;
import weldpoint.transport.RegistryMessages.Registration;

/**
 * One upstream instance as this process sees it: its registration, the load it reports in response
 * headers, and the latency and failures observed here. Used on the event loop of its {@link
 * UpstreamPool} only; not thread-safe. Times are milliseconds of the steady clock.
 */
public final class Upstream {
  /** Age at which a load report no longer counts; its weight falls linearly until then. */
  private static final long LOAD_REPORT_TTL_MILLIS = 1500;

  private static final int MAX_EJECTION_MILLIS = 4000;
  private static final long MIN_AFFINITY_WINDOW_MILLIS = 1000;

  final String id;
  final String service;
  final String host;
  final int port;
  final String site;
  final String region;
  int capacity;
  boolean registered = true;
  boolean registrySuspect;
  boolean inSubset = true;
  long slowStartUntil;
  long nextSlowStartSendAt;
  long slowStartIntervalMillis;
  boolean slowStartJittered;
  int connecting;
  int slowStartRank;
  int slowStartRankVersion;
  int inFlight;
  SiteLoad siteLoad = new SiteLoad();
  final ArrayDeque<UpstreamConnection> idleConnections = new ArrayDeque<>();
  private int reportedLoad;
  private int ownInFlightAtReport;
  private long loadReportedAt = Long.MIN_VALUE / 2;
  double latencyEwmaMillis;
  private long affinityWindowStart = Long.MIN_VALUE / 2;
  private long affinityWindowMillis = 1000;
  private int affinityWrites;
  private int previousAffinityWrites;
  private int consecutiveFailures;
  private long ejectedUntil;
  private long lastResponseAt;
  final ArrayDeque<long[]> outstanding = new ArrayDeque<>();

  Upstream(final Registration registration, final String region, final long now) {
    this.id = registration.id;
    this.service = registration.service;
    final int colon = registration.address.lastIndexOf(':');
    this.host = registration.address.substring(0, colon);
    this.port = Integer.parseInt(registration.address.substring(colon + 1));
    this.site = registration.site;
    this.region = region;
    this.capacity = Math.max(1, registration.capacity);
    this.lastResponseAt = now;
  }

  /** Returns the instance id, which changes with every restart of the upstream process. */
  public String id() {
    return id;
  }

  /** Returns the name of the service it belongs to. */
  public String service() {
    return service;
  }

  /** Returns the site (zone) it runs in. */
  public String site() {
    return site;
  }

  /** Returns how many requests it processes concurrently (its slots). */
  public int capacity() {
    return capacity;
  }

  /**
   * Takes the header {@code Weldpoint-Instance-Load}: two counts of requests, then the capacity.
   */
  void updateLoad(final String load, final long now) {
    final String[] fields = load.split(",");
    if (fields.length != 3) {
      return;
    }
    try {
      reportedLoad = Integer.parseInt(fields[0].strip()) + Integer.parseInt(fields[1].strip());
      capacity = Math.max(1, Integer.parseInt(fields[2].strip()));
      ownInFlightAtReport = inFlight;
      loadReportedAt = now;
      siteLoad.update(Math.max(0, reportedLoad - ownInFlightAtReport) / (double) capacity, now);
    } catch (final NumberFormatException ignored) {
      loadReportedAt = Long.MIN_VALUE / 2;
    }
  }

  /**
   * Records a write sent here because of client affinity; an affinity session ends after {@code
   * pauseMillis} without a write.
   */
  void recordAffinityWrite(final long now, final long pauseMillis) {
    rollAffinityWindow(now);
    affinityWindowMillis = Math.max(1000, Math.min(10_000, pauseMillis));
    affinityWrites++;
  }

  private void rollAffinityWindow(final long now) {
    if (now - affinityWindowStart >= affinityWindowMillis) {
      previousAffinityWrites =
          now - affinityWindowStart >= 2 * affinityWindowMillis ? 0 : affinityWrites;
      affinityWrites = 0;
      affinityWindowStart = now;
    }
  }

  /**
   * Returns how many slots to reserve for affinity writes of all proxies, estimated from this
   * proxy's recent rate and at most {@code maxFraction} of the capacity; 0 once such writes have
   * ceased.
   */
  int reservedSlots(
      final long now,
      final double sharingProxies,
      final double maxFraction,
      final double typicalMillis) {
    rollAffinityWindow(now);
    final int writes = affinityWrites + previousAffinityWrites;
    if (writes == 0) {
      return 0;
    }
    final double writesPerMilli =
        writes
            / (double)
                ((previousAffinityWrites == 0 ? 0 : affinityWindowMillis)
                    + Math.max(MIN_AFFINITY_WINDOW_MILLIS, now - affinityWindowStart));
    return (int)
        Math.min(
            Math.floor(capacity * maxFraction),
            Math.ceil(
                writesPerMilli
                    * sharingProxies
                    * (latencyEwmaMillis == 0 ? typicalMillis : latencyEwmaMillis)));
  }

  /**
   * Returns the requests known to be in progress: ours, plus what the upstream recently reported of
   * others, discounted as the report ages.
   */
  double knownLoad(final long now) {
    return inFlight + Math.max(0, reportedLoad - ownInFlightAtReport) * loadReportFreshness(now);
  }

  private double loadReportFreshness(final long now) {
    return Math.max(0, 1 - (now - loadReportedAt) / (double) LOAD_REPORT_TTL_MILLIS);
  }

  /**
   * Returns the estimated number of requests in progress: ours, plus others' as recently reported
   * by the upstream; as that report ages, the average of its service in the same site replaces it.
   */
  double estimatedLoad(final long now) {
    final double freshness = loadReportFreshness(now);
    return inFlight
        + Math.max(0, reportedLoad - ownInFlightAtReport) * freshness
        + (1 - freshness) * siteLoad.loadPerSlot(now) * capacity;
  }

  /**
   * Moving average of the load from other proxies, per slot, that the upstreams of one service in
   * one site report.
   */
  static final class SiteLoad {
    private static final double EWMA_WEIGHT = 0.05;
    private static final long EXPIRY_MILLIS = 3000;
    private double loadPerSlot;
    private long updatedAt = Long.MIN_VALUE / 2;

    void update(final double observed, final long now) {
      loadPerSlot =
          now - updatedAt > EXPIRY_MILLIS
              ? observed
              : loadPerSlot * (1 - EWMA_WEIGHT) + observed * EWMA_WEIGHT;
      updatedAt = now;
    }

    double loadPerSlot(final long now) {
      return loadPerSlot * Math.max(0, 1 - (now - updatedAt) / (double) EXPIRY_MILLIS);
    }
  }

  /**
   * Returns the estimated latency in milliseconds of one more request, which rises with
   * utilization.
   */
  double estimatedLatencyMillis(final long now, final double typicalMillis) {
    final double baseMillis = latencyEwmaMillis == 0 ? typicalMillis : latencyEwmaMillis;
    final double utilization = (estimatedLoad(now) + 1) / capacity;
    return baseMillis
        * (utilization <= 0.8
            ? 1 + 0.2 * utilization
            : utilization <= 1 ? 1 + 1.5 * (utilization - 0.7) : 1.45 + 2 * (utilization - 1));
  }

  boolean inSlowStart(final long now) {
    return now < slowStartUntil;
  }

  /**
   * Restarts the slow-start send interval, since a request that waited for its connection is sent
   * only now.
   */
  void sentAfterConnect(final long now) {
    if (inSlowStart(now)) {
      nextSlowStartSendAt = Math.max(nextSlowStartSendAt, now + slowStartIntervalMillis);
    }
  }

  /**
   * Whether it is ejected after failures, or has returned nothing for so long while a request is
   * outstanding (at least 300 ms and twice its latency) that it may be down.
   */
  boolean isUnhealthy(final long now, final double typicalMillis) {
    if (now < ejectedUntil) {
      return true;
    }
    final long[] oldest = outstanding.peekFirst();
    return oldest != null
        && lastResponseAt < oldest[0]
        && now - oldest[0]
            > Math.max(300, 2 * (latencyEwmaMillis == 0 ? typicalMillis : latencyEwmaMillis));
  }

  /**
   * Whether nothing has come back for longer than its usual latency (at least 100 ms) since the
   * oldest outstanding request was sent.
   */
  boolean isOverdue(final long now, final double typicalMillis) {
    final long[] oldest = outstanding.peekFirst();
    return oldest != null
        && lastResponseAt < oldest[0]
        && now - oldest[0]
            > Math.max(100, 1.2 * (latencyEwmaMillis == 0 ? typicalMillis : latencyEwmaMillis));
  }

  void requestSent(final long[] token) {
    inFlight++;
    outstanding.addLast(token);
  }

  void requestEnded(final long[] token) {
    inFlight--;
    outstanding.remove(token);
  }

  /** Records a response, which ends an ejection; a negative latency is not averaged in. */
  void responseReceived(final long now, final long latencyMillis) {
    consecutiveFailures = 0;
    ejectedUntil = 0;
    lastResponseAt = now;
    if (latencyMillis >= 0) {
      latencyEwmaMillis =
          latencyEwmaMillis == 0 ? latencyMillis : latencyEwmaMillis * 0.9 + latencyMillis * 0.1;
    }
  }

  /**
   * Records that a request sent at {@code startedAt} is cancelled; it counts as a failure if
   * nothing at all has come back since then for longer than usual.
   */
  void requestAbandoned(final long startedAt, final long now) {
    if (lastResponseAt < startedAt && now - startedAt > Math.max(300, 2 * latencyEwmaMillis)) {
      requestFailed(now);
    }
  }

  /**
   * Counts a failure and ejects the upstream, for 500 ms at first, doubled by each further failure
   * up to the maximum.
   */
  void requestFailed(final long now) {
    consecutiveFailures++;
    ejectedUntil = now + Math.min(MAX_EJECTION_MILLIS, 250L << Math.min(4, consecutiveFailures));
  }
}
