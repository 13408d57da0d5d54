package weldpoint.transport;

import java.util.List;

/** Messages by which proxies record calls for a replay. */
public final class RecordingMessages {
  private RecordingMessages() {}

  /** Whether proxies record the requests that they carry; the revision rises with each change. */
  public static final class RecordingState implements Message {
    public final long revision;
    public final boolean enabled;

    public RecordingState(final long revision, final boolean enabled) {
      this.revision = revision;
      this.enabled = enabled;
    }
  }

  /**
   * One request as a proxy carried it; the serials of one incarnation of a proxy have no gaps. The
   * attempts are in parallel lists, in order: upstream, start, duration and outcome. Times are in
   * milliseconds.
   */
  public static final class RequestRecord {
    public final long serial;
    public final long startedAt;
    public final String id;
    public final String host;
    public final String target;
    public final String route;
    public final int routeKind;
    public final String service;
    public final long waitMillis;
    public final long bytes;
    public final List<String> upstreams;
    public final List<Long> attemptStarts;
    public final List<Long> attemptDurations;
    public final List<Integer> attemptOutcomes;
    public final long totalMillis;
    public final int status;

    public RequestRecord(
        final long serial,
        final long startedAt,
        final String id,
        final String host,
        final String target,
        final String route,
        final int routeKind,
        final String service,
        final long waitMillis,
        final long bytes,
        final List<String> upstreams,
        final List<Long> attemptStarts,
        final List<Long> attemptDurations,
        final List<Integer> attemptOutcomes,
        final long totalMillis,
        final int status) {
      this.serial = serial;
      this.startedAt = startedAt;
      this.id = id;
      this.host = host;
      this.target = target;
      this.route = route;
      this.routeKind = routeKind;
      this.service = service;
      this.waitMillis = waitMillis;
      this.bytes = bytes;
      this.upstreams = upstreams;
      this.attemptStarts = attemptStarts;
      this.attemptDurations = attemptDurations;
      this.attemptOutcomes = attemptOutcomes;
      this.totalMillis = totalMillis;
      this.status = status;
    }
  }

  /**
   * Records of one incarnation of a proxy, with the time of its own clock when they were sent and
   * the number of records dropped so far. The last batch of an incarnation is marked as such.
   */
  public static final class RecordingBatch implements Message {
    public final String proxy;
    public final String site;
    public final String region;
    public final long incarnation;
    public final long sentAt;
    public final long dropped;
    public final boolean last;
    public final List<RequestRecord> records;

    public RecordingBatch(
        final String proxy,
        final String site,
        final String region,
        final long incarnation,
        final long sentAt,
        final long dropped,
        final boolean last,
        final List<RequestRecord> records) {
      this.proxy = proxy;
      this.site = site;
      this.region = region;
      this.incarnation = incarnation;
      this.sentAt = sentAt;
      this.dropped = dropped;
      this.last = last;
      this.records = records;
    }
  }
}
