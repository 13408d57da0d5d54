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

/** Asks the exchange of the stream for permits. All of it lives on the traffic thread. */
public final class PermitPool {
  /** What an asker hears as the confirmation's time where nobody answered. */
  static final long UNANSWERED = Long.MIN_VALUE / 2;

  private static final long PATIENCE_MILLIS = 700;

  /**
   * Hears what came of an ask: how many were granted, and since when the spec is known to be the
   * newest, on the own clock.
   */
  public interface PermitCallback {
    /** Hears how many were granted, the version judged by, and since when that was the newest. */
    void answered(int granted, long version, long confirmedAt);
  }

  private record PendingRequest(PermitCallback asker, long askedAt) {}

  private final Predicate<Message> line;
  private final Map<Long, PendingRequest> pending = new HashMap<>();
  private long number;
  private long asked;
  private long denied;

  /** PermitPool over a line that tells whether it took a message. */
  public PermitPool(final Predicate<Message> line) {
    this.line = line;
  }

  /** Asks for permits; the asker hears exactly once. */
  public void ask(final String name, final int count, final PermitCallback asker, final long now) {
    final long key = ++number;
    asked++;
    pending.put(key, new PendingRequest(asker, now));
    if (!line.test(new PermitRequest(key, name, count, 0))) {
      pending.remove(key);
      denied++;
      asker.answered(0, 0, UNANSWERED);
    }
  }

  /** An answer has come. */
  public void answered(final PermitResponse response) {
    final PendingRequest one = pending.remove(response.number);
    if (one != null) {
      denied += response.granted > 0 ? 0 : 1;
      one.asker.answered(response.granted, response.version, one.askedAt - response.ageMillis);
    }
  }

  /**
   * The line has ended, or time has passed: those who have waited for too long hear that nothing
   * was granted.
   */
  public void sweep(final boolean all, final long now) {
    if (pending.isEmpty()) {
      return;
    }
    final List<Long> over = new ArrayList<>();
    pending.forEach(
        (key, one) -> {
          if (all || now - one.askedAt > PATIENCE_MILLIS) {
            over.add(key);
          }
        });
    for (final Long key : over) {
      final PendingRequest one = pending.remove(key);
      if (one != null) {
        denied++;
        one.asker.answered(0, 0, UNANSWERED);
      }
    }
  }

  /** Figures of permits. */
  List<Metric> figures() {
    return List.of(
        Metric.counter("weldpoint_permits_asked", "Asks for permits.", asked),
        Metric.counter("weldpoint_permits_denied", "Asks that brought no permit.", denied));
  }

  /** How many were asked for and how many of these were not granted. */
  public String counters() {
    return "permits asked " + asked + " denied " + denied;
  }
}
