package weldpoint.registry;

import io.avaje.jsonb.Json;
import io.avaje.jsonb.JsonType;
import io.avaje.jsonb.Jsonb;
import java.util.List;

/** The bodies of calls to the system's own interfaces, and of its answers. */
public final class ControlApi {
  private static final Jsonb JSON = Jsonb.builder().build();
  static final JsonType<UpstreamHeartbeat> BEAT = JSON.type(UpstreamHeartbeat.class);
  static final JsonType<LockRequest> GRIP = JSON.type(LockRequest.class);
  static final JsonType<CellPut> CELL_PUT = JSON.type(CellPut.class);
  static final JsonType<UpstreamHeartbeatResponse> BEAT_ANSWER =
      JSON.type(UpstreamHeartbeatResponse.class);
  static final JsonType<Resolution> RESOLUTION = JSON.type(Resolution.class);
  static final JsonType<FencingToken> FENCE = JSON.type(FencingToken.class);
  static final JsonType<NumberResponse> NUMBER = JSON.type(NumberResponse.class);
  static final JsonType<Revision> REVISION = JSON.type(Revision.class);
  static final JsonType<CellResponse> CELL = JSON.type(CellResponse.class);
  static final JsonType<WatchResponse> WATCH = JSON.type(WatchResponse.class);
  static final JsonType<Problem> PROBLEM = JSON.type(Problem.class);

  static final JsonType<State> STATE = JSON.type(State.class);
  static final JsonType<PurgeRequest> PURGE = JSON.type(PurgeRequest.class);
  static final JsonType<TrialRequest> TRIAL_ORDER = JSON.type(TrialRequest.class);
  static final JsonType<TrialStatus> TRIAL_STATUS = JSON.type(TrialStatus.class);

  static final JsonType<HistoryQuery> HISTORY_QUERY = JSON.type(HistoryQuery.class);
  static final JsonType<HistoryResponse> HISTORY = JSON.type(HistoryResponse.class);
  static final JsonType<ReachResponse> REACH = JSON.type(ReachResponse.class);

  static final JsonType<StatusResponse> STATUS = JSON.type(StatusResponse.class);

  static final JsonType<Grant> GRANT = JSON.type(Grant.class);

  static final JsonType<Release> RELEASE = JSON.type(Release.class);

  private ControlApi() {}

  /**
   * Gives an upstream the keys from source to targetVersion, both inside, for holdMs from its
   * arrival.
   */
  @Json
  public record Grant(
      int source, int targetVersion, long fenceNumber, long holdMs, String transfer) {}

  /** Takes keys back from an upstream. */
  @Json
  public record Release(int source, int targetVersion, long fenceNumber) {}

  /**
   * What one exchange knows. Counts of tied writes are those of the switchboards that hold leases,
   * from the keeper only; disk is what the exchange itself takes there.
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
   * Who holds a range of a divided service's keys, both ends inside, and which registry assigns.
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

  /** One daemon as it told last; heardMs is -1 for one that has never been heard of. */
  @Json
  public record DaemonStatus(
      String address, String program, String version, long mark, long heardMs) {}

  /** One service's placement. */
  @Json
  public record PlacementStatus(
      String service, long epoch, int nodes, boolean prepared, int nextNodes) {}

  /** How many tied writes ended so. */
  @Json
  public record WriteCount(String outcome, long count) {}

  /**
   * What of the history of routing changes is asked for: entries by number, by time (both ends
   * included), by route, zone or service, and by author.
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
   * A part of the history: whether all decided entries of the range are in it, how far the history
   * reaches, and where to go on.
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

  /** How one daemon stands to a change: IN_FORCE, NOT_YET or UNHEARD. */
  @Json
  public record DaemonReach(
      String address, String program, String state, String since, String note) {}

  /** Which daemons had a change in force. */
  @Json
  public record ReachResponse(
      boolean complete, String problem, HistoryEntry change, List<DaemonReach> daemons) {}

  /** A beat of an upstream. */
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

  /** A call about a lock. */
  @Json
  public record LockRequest(String owner, Long fenceNumber, Double holdMs) {}

  /** A put of a key. */
  @Json
  public record CellPut(String value, Long enabled) {}

  /** The answer to a beat. */
  @Json
  public record UpstreamHeartbeatResponse(String beatTarget) {}

  /** A directory answer. */
  @Json
  public record Resolution(List<String> addresses, double ttlS) {}

  /** A lock was taken. */
  @Json
  public record FencingToken(long fenceNumber) {}

  /** A number. */
  @Json
  public record NumberResponse(long value) {}

  /** A revision of a key. */
  @Json
  public record Revision(long revision) {}

  /** What a key holds. */
  @Json
  public record CellResponse(String value, long revision) {}

  /** A put that a watch saw. */
  @Json
  public record Event(String name, String value, long revision) {}

  /** What a watch saw. */
  @Json
  public record WatchResponse(List<Event> events, long revision) {}

  /** Why a call was refused, with the remedy. */
  @Json
  public record Problem(String error, String kind) {}

  /** An order to begin a trial; the route is named by the call. */
  @Json
  public record TrialRequest(
      String oldService,
      String newService,
      String token,
      List<Double> stages,
      Double leastWrites,
      Double lateAllowance,
      String reason) {}

  /** What was counted for one version, writes apart from other requests. */
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

  /** What one switchboard, or all of them, have counted. */
  @Json
  public record ProxyTrialCounts(
      String switchboard,
      VersionCounts oldVersion,
      VersionCounts newVersion,
      long rehearsed,
      long confirmedAtStage) {}

  /** How a trial stands. */
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

  /** A purge: an object by host and path, or a label. */
  @Json
  public record PurgeRequest(String host, String path, String tag) {}

  /** How something stands, in words. */
  @Json
  public record State(String state) {}
}
