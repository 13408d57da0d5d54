package weldpoint.proxy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import weldpoint.metrics.Metric;
import weldpoint.transport.Message;
import weldpoint.transport.PermitMessages.PermitRequest;
import weldpoint.transport.PermitMessages.PermitResponse;

/** Requests rate limit permits from the current registry. Used on the traffic thread only. */
public final class PermitPool {
  /** The confirmation time that a callback gets if no registry answered. */
  static final long UNANSWERED = Long.MIN_VALUE / 2;

  private static final long REQUEST_TIMEOUT_MILLIS = 700;

  /** Receives the answer to a request for permits. */
  public interface PermitCallback {
    /**
     * Called with the answer.
     *
     * @param granted how many permits were granted
     * @param version the configuration version by which the registry decided
     * @param confirmedAt the time on the local clock at which that version was known to be the
     *     newest
     */
    void completed(int granted, long version, long confirmedAt);
  }

  private record PendingRequest(PermitCallback callback, long requestedAt) {}

  private final Predicate<Message> registrySender;
  private final Map<Long, PendingRequest> pending = new HashMap<>();
  private long lastNumber;
  private long requestCount;
  private long deniedCount;

  /** Requests permits through a sender that returns whether it accepted the message. */
  public PermitPool(final Predicate<Message> registrySender) {
    this.registrySender = registrySender;
  }

  /** Requests permits; the callback is called exactly once. */
  public void acquire(
      final String name, final int count, final PermitCallback callback, final long now) {
    final long number = ++lastNumber;
    requestCount++;
    pending.put(number, new PendingRequest(callback, now));
    if (!registrySender.test(new PermitRequest(number, name, count, 0))) {
      pending.remove(number);
      deniedCount++;
      callback.completed(0, 0, UNANSWERED);
    }
  }

  /** Handles the registry's answer. */
  public void answered(final PermitResponse response) {
    final PendingRequest request = pending.remove(response.number);
    if (request != null) {
      deniedCount += response.granted > 0 ? 0 : 1;
      request.callback.completed(
          response.granted, response.version, request.requestedAt - response.ageMillis);
    }
  }

  /**
   * Ends requests that have waited for too long, or all of them when the stream has ended: their
   * callbacks get no permit.
   */
  public void expire(final boolean all, final long now) {
    if (pending.isEmpty()) {
      return;
    }
    final List<Long> expired = new ArrayList<>();
    pending.forEach(
        (number, request) -> {
          if (all || now - request.requestedAt > REQUEST_TIMEOUT_MILLIS) {
            expired.add(number);
          }
        });
    for (final Long number : expired) {
      final PendingRequest request = pending.remove(number);
      if (request != null) {
        deniedCount++;
        request.callback.completed(0, 0, UNANSWERED);
      }
    }
  }

  /** Metrics of permits. */
  List<Metric> metrics() {
    return List.of(
        Metric.counter("weldpoint_permits_asked", "Asks for permits.", requestCount),
        Metric.counter("weldpoint_permits_denied", "Asks that brought no permit.", deniedCount));
  }

  /**
   * How many requests for permits were made and how many were not granted, for the counters log
   * line.
   */
  public String counters() {
    return "permits asked " + requestCount + " denied " + deniedCount;
  }
}
