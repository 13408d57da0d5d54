package weldpoint.proxy;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import weldpoint.routing.Route;
import weldpoint.transport.Message;
import weldpoint.transport.RecordingMessages;
import weldpoint.upstream.AttemptOutcome;
import weldpoint.upstream.Headers;
import weldpoint.upstream.UpstreamConnection;

/**
 * Records the requests of a proxy while an operator records a day of traffic. The buffer is
 * bounded; records that had to be dropped are counted. Used on the traffic thread.
 */
final class Recorder {
  private static final int MAX_PENDING_RECORDS = 20_000;
  private static final int MAX_BATCH_RECORDS = 1500;

  /** The record of a request in progress. */
  static final class PendingRecord {
    private final long arrivedAt;
    private final String attemptId;
    private final String host;
    private final String target;
    private final Route route;
    private final String service;
    private final long timeoutMillis;
    private final long bodyBytes;
    private final List<String> upstreams = new ArrayList<>(2);
    private final List<Long> startOffsets = new ArrayList<>(2);
    private final List<Long> durations = new ArrayList<>(2);
    private final List<Integer> outcomes = new ArrayList<>(2);
    private int status;

    private PendingRecord(
        final long arrivedAt,
        final String attemptId,
        final String host,
        final String target,
        final Route route,
        final String service,
        final long timeoutMillis,
        final long bodyBytes) {
      this.arrivedAt = arrivedAt;
      this.attemptId = attemptId;
      this.host = host;
      this.target = target;
      this.route = route;
      this.service = service;
      this.timeoutMillis = timeoutMillis;
      this.bodyBytes = bodyBytes;
    }

    int attemptSent(final String upstream, final long now) {
      upstreams.add(upstream);
      startOffsets.add(now - arrivedAt);
      durations.add(-1L);
      outcomes.add(AttemptOutcome.OPEN.ordinal());
      return upstreams.size() - 1;
    }

    void attemptEnded(
        final int index,
        final UpstreamConnection.CompletionStatus end,
        final HttpResponse head,
        final long now) {
      durations.set(index, now - arrivedAt - startOffsets.get(index));
      outcomes.set(index, AttemptOutcome.ofIdentifiedResponse(end, head).ordinal());
    }

    void status(final int given) {
      status = given;
    }
  }

  private final String proxyAddress;
  private final String site;
  private final String region;
  private final long incarnation;
  private final ArrayDeque<RecordingMessages.RequestRecord> records = new ArrayDeque<>();
  private long lastSerial;
  private long droppedCount;
  private long stateVersion;
  private boolean recording;
  private boolean closing;

  Recorder(
      final String proxyAddress, final String site, final String region, final long incarnation) {
    this.proxyAddress = proxyAddress;
    this.site = site;
    this.region = region;
    this.incarnation = incarnation;
  }

  void applyState(final RecordingMessages.RecordingState state) {
    if (state.revision > stateVersion) {
      stateVersion = state.revision;
      closing = recording && !state.enabled;
      recording = state.enabled;
    }
  }

  boolean recording() {
    return recording;
  }

  PendingRecord begin(
      final long arrivedAt,
      final HttpRequest request,
      final Route route,
      final String service,
      final long timeoutMillis,
      final long bodyBytes) {
    return new PendingRecord(
        arrivedAt,
        request.headers().get(Headers.ATTEMPT_ID),
        request.headers().get(HttpHeaderNames.HOST),
        request.uri(),
        route,
        service,
        timeoutMillis,
        bodyBytes);
  }

  void finish(final PendingRecord pendingRecord, final long now) {
    lastSerial++;
    if (records.size() >= MAX_PENDING_RECORDS) {
      droppedCount++;
      return;
    }
    records.add(
        new RecordingMessages.RequestRecord(
            lastSerial,
            pendingRecord.arrivedAt,
            pendingRecord.attemptId == null ? "" : pendingRecord.attemptId,
            pendingRecord.host,
            pendingRecord.target,
            pendingRecord.route.name,
            pendingRecord.route.kind.ordinal(),
            pendingRecord.service,
            pendingRecord.timeoutMillis,
            pendingRecord.bodyBytes,
            pendingRecord.upstreams,
            pendingRecord.startOffsets,
            pendingRecord.durations,
            pendingRecord.outcomes,
            now - pendingRecord.arrivedAt,
            pendingRecord.status));
  }

  void flush(final long now, final Predicate<Message> sender) {
    if (records.isEmpty() && !closing) {
      return;
    }
    final List<RecordingMessages.RequestRecord> batch = new ArrayList<>();
    while (batch.size() < MAX_BATCH_RECORDS && !records.isEmpty()) {
      batch.add(records.poll());
    }
    final boolean last = closing && records.isEmpty();
    if (sender.test(
        new RecordingMessages.RecordingBatch(
            proxyAddress, site, region, incarnation, now, droppedCount, last, batch))) {
      closing = closing && !last;
    } else {
      for (int index = batch.size() - 1; index >= 0; index--) {
        records.addFirst(batch.get(index));
      }
    }
  }
}
