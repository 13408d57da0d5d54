package weldpoint.transport;

import java.util.List;

/** Messages by which proxies record calls for a replay. */
public final class RecordingMessages {
  private RecordingMessages() {}

  /** Whether switchboards record what they carry, under a rising mark. */
  public static final class RecordingState implements Message {
    public final long mark;
    public final boolean on;

    public RecordingState(final long mark, final boolean on) {
      this.mark = mark;
      this.on = on;
    }
  }

  /**
   * One request as a switchboard carried it; serials of one switchboard's life leave no gap. Tries
   * stand in three lists, in order.
   */
  public static final class RequestRecord {
    public final long serial;
    public final long at;
    public final String id;
    public final String host;
    public final String target;
    public final String route;
    public final int kind;
    public final String service;
    public final long waits;
    public final long bytes;
    public final List<String> upstreams;
    public final List<Long> begun;
    public final List<Long> took;
    public final List<Integer> ends;
    public final long total;
    public final int status;

    public RequestRecord(
        final long serial,
        final long at,
        final String id,
        final String host,
        final String target,
        final String route,
        final int kind,
        final String service,
        final long waits,
        final long bytes,
        final List<String> upstreams,
        final List<Long> begun,
        final List<Long> took,
        final List<Integer> ends,
        final long total,
        final int status) {
      this.serial = serial;
      this.at = at;
      this.id = id;
      this.host = host;
      this.target = target;
      this.route = route;
      this.kind = kind;
      this.service = service;
      this.waits = waits;
      this.bytes = bytes;
      this.upstreams = upstreams;
      this.begun = begun;
      this.took = took;
      this.ends = ends;
      this.total = total;
      this.status = status;
    }
  }

  /**
   * Notes of one switchboard's life, with its own clock when they were sent, and how many were
   * dropped so far; the last reel of a life says so.
   */
  public static final class RecordingBatch implements Message {
    public final String board;
    public final String site;
    public final String region;
    public final long incarnation;
    public final long sentAt;
    public final long dropped;
    public final boolean last;
    public final List<RequestRecord> notes;

    public RecordingBatch(
        final String board,
        final String site,
        final String region,
        final long incarnation,
        final long sentAt,
        final long dropped,
        final boolean last,
        final List<RequestRecord> notes) {
      this.board = board;
      this.site = site;
      this.region = region;
      this.incarnation = incarnation;
      this.sentAt = sentAt;
      this.dropped = dropped;
      this.last = last;
      this.notes = notes;
    }
  }
}
