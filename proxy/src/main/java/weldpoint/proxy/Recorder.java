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
 * Notes what a switchboard carries while an operator records a day; bounded, and what had to be
 * dropped is counted.
 */
final class Recorder {
  private static final int MOST_NOTES = 20_000;
  private static final int MOST_SENT = 1500;

  /** A request under way. */
  static final class Draft {
    private final long at;
    private final String id;
    private final String host;
    private final String target;
    private final Route route;
    private final String service;
    private final long waits;
    private final long bytes;
    private final List<String> upstreams = new ArrayList<>(2);
    private final List<Long> begun = new ArrayList<>(2);
    private final List<Long> took = new ArrayList<>(2);
    private final List<Integer> ends = new ArrayList<>(2);
    private int status;

    private Draft(
        final long at,
        final String id,
        final String host,
        final String target,
        final Route route,
        final String service,
        final long waits,
        final long bytes) {
      this.at = at;
      this.id = id;
      this.host = host;
      this.target = target;
      this.route = route;
      this.service = service;
      this.waits = waits;
      this.bytes = bytes;
    }

    int sent(final String upstream, final long now) {
      upstreams.add(upstream);
      begun.add(now - at);
      took.add(-1L);
      ends.add(AttemptOutcome.OPEN.ordinal());
      return upstreams.size() - 1;
    }

    void ended(
        final int place,
        final UpstreamConnection.End end,
        final HttpResponse head,
        final long now) {
      took.set(place, now - at - begun.get(place));
      ends.set(place, AttemptOutcome.named(end, head).ordinal());
    }

    void status(final int given) {
      status = given;
    }
  }

  private final String board;
  private final String site;
  private final String region;
  private final long incarnation;
  private final ArrayDeque<RecordingMessages.RequestRecord> notes = new ArrayDeque<>();
  private long serial;
  private long dropped;
  private long mark;
  private boolean on;
  private boolean closing;

  Recorder(final String board, final String site, final String region, final long incarnation) {
    this.board = board;
    this.site = site;
    this.region = region;
    this.incarnation = incarnation;
  }

  void state(final RecordingMessages.RecordingState state) {
    if (state.revision > mark) {
      mark = state.revision;
      closing = on && !state.enabled;
      on = state.enabled;
    }
  }

  boolean on() {
    return on;
  }

  Draft draft(
      final long at,
      final HttpRequest request,
      final Route route,
      final String service,
      final long waits,
      final long bytes) {
    return new Draft(
        at,
        request.headers().get(Headers.ATTEMPT_ID),
        request.headers().get(HttpHeaderNames.HOST),
        request.uri(),
        route,
        service,
        waits,
        bytes);
  }

  void done(final Draft draft, final long now) {
    serial++;
    if (notes.size() >= MOST_NOTES) {
      dropped++;
      return;
    }
    notes.add(
        new RecordingMessages.RequestRecord(
            serial,
            draft.at,
            draft.id == null ? "" : draft.id,
            draft.host,
            draft.target,
            draft.route.name,
            draft.route.kind.ordinal(),
            draft.service,
            draft.waits,
            draft.bytes,
            draft.upstreams,
            draft.begun,
            draft.took,
            draft.ends,
            now - draft.at,
            draft.status));
  }

  void flush(final long now, final Predicate<Message> line) {
    if (notes.isEmpty() && !closing) {
      return;
    }
    final List<RecordingMessages.RequestRecord> batch = new ArrayList<>();
    while (batch.size() < MOST_SENT && !notes.isEmpty()) {
      batch.add(notes.poll());
    }
    final boolean last = closing && notes.isEmpty();
    if (line.test(
        new RecordingMessages.RecordingBatch(
            board, site, region, incarnation, now, dropped, last, batch))) {
      closing = closing && !last;
    } else {
      for (int index = batch.size() - 1; index >= 0; index--) {
        notes.addFirst(batch.get(index));
      }
    }
  }
}
