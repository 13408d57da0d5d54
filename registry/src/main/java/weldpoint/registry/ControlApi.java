package weldpoint.registry;

import io.avaje.jsonb.Json;
import io.avaje.jsonb.JsonType;
import io.avaje.jsonb.Jsonb;
import java.util.List;

/**
 * The JSON bodies of the control interface, the directory and the calls of upstreams, requests and
 * responses. The names of record components are the names on the wire.
 */
public final class ControlApi {
  private static final Jsonb JSON = Jsonb.builder().build();
  static final JsonType<UpstreamHeartbeat> HEARTBEAT = JSON.type(UpstreamHeartbeat.class);
  static final JsonType<LockRequest> LOCK_REQUEST = JSON.type(LockRequest.class);
  static final JsonType<CellPut> CELL_PUT = JSON.type(CellPut.class);
  static final JsonType<UpstreamHeartbeatResponse> HEARTBEAT_RESPONSE =
      JSON.type(UpstreamHeartbeatResponse.class);
  static final JsonType<Resolution> RESOLUTION = JSON.type(Resolution.class);
  static final JsonType<FencingToken> FENCING_TOKEN = JSON.type(FencingToken.class);
  static final JsonType<NumberResponse> NUMBER_RESPONSE = JSON.type(NumberResponse.class);
  static final JsonType<Revision> REVISION = JSON.type(Revision.class);
  static final JsonType<CellResponse> CELL_RESPONSE = JSON.type(CellResponse.class);
  static final JsonType<WatchResponse> WATCH_RESPONSE = JSON.type(WatchResponse.class);
  static final JsonType<Problem> PROBLEM = JSON.type(Problem.class);

  static final JsonType<State> STATE = JSON.type(State.class);
  static final JsonType<PurgeRequest> PURGE_REQUEST = JSON.type(PurgeRequest.class);
  static final JsonType<TrialRequest> TRIAL_REQUEST = JSON.type(TrialRequest.class);
  static final JsonType<TrialStatus> TRIAL_STATUS = JSON.type(TrialStatus.class);

  static final JsonType<HistoryQuery> HISTORY_QUERY = JSON.type(HistoryQuery.class);
  static final JsonType<HistoryResponse> HISTORY_RESPONSE = JSON.type(HistoryResponse.class);
  static final JsonType<ReachResponse> REACH_RESPONSE = JSON.type(ReachResponse.class);

  static final JsonType<StatusResponse> STATUS_RESPONSE = JSON.type(StatusResponse.class);

  static final JsonType<Grant> GRANT = JSON.type(Grant.class);

  static final JsonType<Release> RELEASE = JSON.type(Release.class);

  private ControlApi() {}

  /**
   * Grants an upstream the keys from source to targetVersion, both inclusive, for holdMs from the
   * arrival of the call.
   */
  @Json
  public record Grant(
      int source, int targetVersion, long fenceNumber, long holdMs, String transfer) {}

  /** Asks an upstream to release the keys from source to targetVersion, both inclusive. */
  @Json
  public record Release(int source, int targetVersion, long fenceNumber) {}

  /**
   * What one registry knows. Counts of writes on routes with affinity are those of the proxies that
   * hold leases, and are known to the owner of the leases (field keeper) only; disk is the disk
   * space that the registry itself uses.
   */
  @Json
  public record StatusResponse(
      String exchange,
      boolean settled,
      long majorityAgeMs,
      long roster,
      List<String> voters,
      String version,
      List<String> evacuated,
      int upstreams,
      int suspects,
      List<DaemonStatus> daemons,
      String keeper,
      List<PlacementStatus> placements,
      List<WriteCount> writes,
      String disk,
      List<KeyRangeStatus> keys) {}

  /**
   * The holder of a range of the keys of a partitioned service, both ends inclusive, and the
   * registry that assigns the keys.
   */
  @Json
  public record KeyRangeStatus(
      String service,
      String assigner,
      int first,
      int last,
      String holder,
      long fence,
      String state) {}

  /**
   * One daemon as it last reported itself; mark is its register version, heardMs the age of the
   * report, or -1 if it has never reported.
   */
  @Json
  public record DaemonStatus(
      String address, String program, String version, long mark, long heardMs) {}

  /** The placement of one service. */
  @Json
  public record PlacementStatus(
      String service, long epoch, int nodes, boolean prepared, int nextNodes) {}

  /** How many writes on routes with affinity ended with this outcome. */
  @Json
  public record WriteCount(String outcome, long count) {}

  /**
   * Selects entries of the history of routing changes: by number, by time (both ends inclusive), by
   * route, zone or service, and by author; most limits their number.
   */
  @Json
  public record HistoryQuery(
      Long from, Long to, String since, String until, String route, String author, Long most) {}

  /** One change of routing. */
  @Json
  public record HistoryEntry(
      long sequence,
      String kind,
      String version,
      String subject,
      String author,
      String caller,
      String taker,
      String time,
      String before,
      String after,
      int added,
      int removed,
      int changed,
      int writeRoutes,
      List<String> changes,
      String digest,
      String previous) {}

  /**
   * A page of the history: whether it contains all decided entries of the range, how far the
   * history reaches, and the entry at which the next page begins (0 if there is none).
   */
  @Json
  public record HistoryResponse(
      boolean complete,
      String problem,
      long first,
      long through,
      String digest,
      long next,
      List<HistoryEntry> entries) {}

  /** Whether one daemon has applied a change: IN_FORCE, NOT_YET or UNHEARD (state unknown). */
  @Json
  public record DaemonReach(
      String address, String program, String state, String since, String note) {}

  /** Which daemons have applied a change. */
  @Json
  public record ReachResponse(
      boolean complete, String problem, HistoryEntry change, List<DaemonReach> daemons) {}

  /** A heartbeat of an upstream. */
  @Json
  public record UpstreamHeartbeat(
      String service,
      String address,
      String zone,
      String version,
      Double capacity,
      String state,
      Double warmupLeftMs,
      Long callSeq) {}

  /** The body of the lock calls. */
  @Json
  public record LockRequest(String owner, Long fenceNumber, Double holdMs) {}

  /** Replaces the value of a cell. */
  @Json
  public record CellPut(String value, Long enabled) {}

  /** The response to a heartbeat: the address to which the next one should be sent. */
  @Json
  public record UpstreamHeartbeatResponse(String beatTarget) {}

  /** The response of the directory: addresses of proxies, and how long they may be cached. */
  @Json
  public record Resolution(List<String> addresses, double ttlS) {}

  /** The fencing token of a lock that was granted. */
  @Json
  public record FencingToken(long fenceNumber) {}

  /** The next number of a sequence. */
  @Json
  public record NumberResponse(long value) {}

  /** The revision of a cell. */
  @Json
  public record Revision(long revision) {}

  /** The value and revision of a cell. */
  @Json
  public record CellResponse(String value, long revision) {}

  /** A replaced cell, as a watch reports it. */
  @Json
  public record Event(String name, String value, long revision) {}

  /** The events that a watch collected, and the revision after which to continue. */
  @Json
  public record WatchResponse(List<Event> events, long revision) {}

  /** Why a call was refused, and how to fix it. */
  @Json
  public record Problem(String error, String kind) {}

  /** A request to begin a trial; the route is named by the call. */
  @Json
  public record TrialRequest(
      String oldService,
      String newService,
      String token,
      List<Double> stages,
      Double leastWrites,
      Double lateAllowance,
      String reason) {}

  /** The counts of one version, writes apart from other requests. */
  @Json
  public record VersionCounts(
      String service,
      long sent,
      long confirmed,
      long lost,
      long doubled,
      long late,
      long others,
      long othersFailed) {}

  /** The trial counts of one proxy, or of all of them. */
  @Json
  public record ProxyTrialCounts(
      String switchboard,
      VersionCounts oldVersion,
      VersionCounts newVersion,
      long rehearsed,
      long confirmedAtStage) {}

  /** The status of a trial. */
  @Json
  public record TrialStatus(
      String route,
      long number,
      String verdict,
      String reason,
      int stage,
      List<Integer> stages,
      int leastWrites,
      double lateAllowance,
      long writesBeforeHold,
      List<String> attempts,
      ProxyTrialCounts total,
      List<ProxyTrialCounts> switchboards) {}

  /** A purge of the cache: one object by host and path, or all objects with a tag. */
  @Json
  public record PurgeRequest(String host, String path, String tag) {}

  /** The state of the recording, in words. */
  @Json
  public record State(String state) {}
}
