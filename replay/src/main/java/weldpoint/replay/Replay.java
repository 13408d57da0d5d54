package weldpoint.replay;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import weldpoint.common.WeldpointException;
import weldpoint.routing.RoutingTable;
import weldpoint.transport.Protocol;
import weldpoint.transport.RecordingMessages;

/**
 * Plays a recorded day under its own and under proposed settings, and compares the two call by
 * call.
 */
public final class Replay {
  private static final long SORT_MILLIS = 20_000;
  private static final long LEAST_ERROR_MILLIS = 20;
  private static final double SEEN = 0.95;
  private static final int MOST_LISTED = 100_000;

  /** Inflates a stored configuration. */
  public interface Inflater {
    /** The configuration as it was sent, from its stored form. */
    byte[] inflate(byte[] stored);
  }

  private final Path day;
  private final RoutingTable proposed;
  private final String extra;
  private final Inflater inflater;
  private final long tolerance;

  /** A replay of a day through this configuration, with these further settings. */
  public Replay(
      final Path day,
      final RoutingTable proposed,
      final String extra,
      final long tolerance,
      final Inflater inflater) {
    this.day = day;
    this.proposed = proposed;
    this.extra = extra;
    this.tolerance = tolerance;
    this.inflater = inflater;
  }

  private static final class Span {
    private final Errors errors = new Errors();
    private long calls;
    private long ended;
    private RecordingFile.Trailer end;
  }

  /** Plays the day and judges it. */
  public ReplayComparison run() throws IOException {
    if (proposed.allRoutes().stream().anyMatch(route -> route.affinity != null)) {
      throw new WeldpointException(
          WeldpointException.Kind.INVALID,
          "the proposed configuration ties callers to nodes, and a recorded day does not hold who called; leave affinity out, or try it on a route by a trial");
    }
    final Span first = new Span();
    pass(
        first,
        true,
        (call, own, other) -> {
          if (own.end == CallOutcome.End.SERVED
              && call.note.status >= 200
              && call.note.status < 300) {
            first.errors.add(call.note.route, Math.abs(own.total - call.note.total));
          }
        });
    final Map<String, Long> errors = new TreeMap<>();
    first
        .errors
        .worst(SEEN)
        .forEach((route, error) -> errors.put(route, Math.max(LEAST_ERROR_MILLIS, error)));
    for (final Map.Entry<String, Long> entry : errors.entrySet()) {
      if (entry.getValue() > tolerance) {
        throw new WeldpointException(
            WeldpointException.Kind.INVALID,
            "the model misses the recorded times of route "
                + entry.getKey()
                + " by "
                + entry.getValue()
                + " ms, more than "
                + tolerance
                + "; record a day with fewer breakdowns, or allow more with --error-ms");
      }
    }
    final ReplayComparison verdict = new ReplayComparison(errors, first.end.clockError);
    final Span second = new Span();
    pass(
        second,
        false,
        (call, own, other) ->
            verdict.add(
                call,
                own,
                other,
                errors.getOrDefault(call.note.route, LEAST_ERROR_MILLIS),
                MOST_LISTED));
    if (second.calls != first.end.notes || second.ended != second.calls) {
      throw new WeldpointException(
          WeldpointException.Kind.UNREADABLE,
          "of "
              + first.end.notes
              + " recorded calls "
              + second.ended
              + " were accounted for; record the day anew");
    }
    return verdict;
  }

  private interface Compared {
    void ended(RecordedCall call, CallOutcome own, CallOutcome other);
  }

  private final class Pass {
    private final EventLoopGroup loop;
    private final Span span;
    private final ReplaySimulator own;
    private final ReplaySimulator other;
    private final Compared compared;
    private final PriorityQueue<Object[]> waiting =
        new PriorityQueue<>(
            (one, two) ->
                one[0].equals(two[0])
                    ? Long.compare((long) one[1], (long) two[1])
                    : Long.compare((long) one[0], (long) two[0]));
    private final Map<String, String> sites = new LinkedHashMap<>();
    private final Map<String, long[]> serials = new HashMap<>();
    private final Set<String> open = new HashSet<>();
    private final Map<String, Double> usual = new HashMap<>();
    private long latest = Long.MIN_VALUE / 2;
    private long order;
    private long playedTo = Long.MIN_VALUE / 2;

    private Pass(
        final EventLoopGroup loop, final Span span, final boolean alone, final Compared compared) {
      this.loop = loop;
      this.span = span;
      this.own = new ReplaySimulator(loop, "", 7);
      this.other = alone ? null : new ReplaySimulator(loop, extra, 7);
      this.compared = compared;
      if (other != null) {
        other.routingTable(proposed);
      }
    }

    private void take(final Object part) {
      if (part instanceof RecordingFile.ControlSnapshot) {
        final RecordingFile.ControlSnapshot control = (RecordingFile.ControlSnapshot) part;
        add(control.at, control);
      } else if (part instanceof RecordingFile.TimedBatch) {
        turn((RecordingFile.TimedBatch) part);
      } else {
        span.end = (RecordingFile.Trailer) part;
        if (span.end.dropped > 0 || !Protocol.list(span.end.silent).isEmpty() || !open.isEmpty()) {
          throw new WeldpointException(
              WeldpointException.Kind.INVALID,
              "the recording has gaps: "
                  + span.end.dropped
                  + " calls dropped, silent switchboards "
                  + Protocol.list(span.end.silent)
                  + ", not ended "
                  + open
                  + "; record the day anew");
        }
      }
    }

    private void turn(final RecordingFile.TimedBatch turn) {
      final RecordingMessages.RecordingBatch batch = turn.batch;
      final String life = batch.board + "#" + batch.incarnation;
      if (batch.dropped > 0) {
        throw new WeldpointException(
            WeldpointException.Kind.INVALID,
            "switchboard "
                + batch.board
                + " had to drop "
                + batch.dropped
                + " calls; record a shorter or calmer day");
      }
      if (sites.putIfAbsent(batch.site, batch.region) == null) {
        sites.put(batch.site, batch.region);
      }
      if (batch.last) {
        open.remove(life);
      } else {
        open.add(life);
      }
      own.board(batch.board, batch.site, batch.region, sites);
      if (other != null) {
        other.board(batch.board, batch.site, batch.region, sites);
      }
      final long[] serial = serials.computeIfAbsent(life, name -> new long[1]);
      for (final RecordingMessages.RequestRecord note : Protocol.list(batch.notes)) {
        if (note.serial != serial[0] + 1) {
          throw new WeldpointException(
              WeldpointException.Kind.INVALID,
              "the recording of "
                  + batch.board
                  + " lacks the calls between "
                  + serial[0]
                  + " and "
                  + note.serial
                  + "; record the day anew");
        }
        serial[0] = note.serial;
        final RecordedCall call =
            new RecordedCall(
                note,
                batch.board,
                turn.offset,
                usual.getOrDefault(note.service, 100.0).longValue());
        if (call.work > 0 && note.status >= 200 && note.status < 300) {
          usual.merge(
              note.service, (double) call.work, (before, now) -> before * 0.99 + now * 0.01);
        }
        add(call.at, call);
      }
      advance(latest - SORT_MILLIS);
    }

    private void add(final long at, final Object what) {
      if (at < playedTo) {
        throw new WeldpointException(
            WeldpointException.Kind.INVALID,
            "the recording is more than "
                + SORT_MILLIS
                + " ms out of order; record the day anew, with fewer exchanges out of reach");
      }
      latest = Math.max(latest, at);
      waiting.add(new Object[] {at, order++, what});
    }

    private void advance(final long until) {
      playedTo = until;
      while (!waiting.isEmpty() && (long) waiting.peek()[0] <= until) {
        final Object[] next = waiting.poll();
        final long at = (long) next[0];
        own.until(at);
        if (other != null) {
          other.until(at);
        }
        if (next[2] instanceof RecordingFile.ControlSnapshot) {
          control((RecordingFile.ControlSnapshot) next[2]);
        } else {
          call((RecordedCall) next[2]);
        }
      }
    }

    private void control(final RecordingFile.ControlSnapshot control) {
      if (control.spec != null) {
        own.routingTable(RoutingTable.compile(inflater.inflate(control.spec)));
      }
      own.control(control.registrations, control.evacuated);
      if (other != null) {
        other.control(control.registrations, control.evacuated);
      }
    }

    private void call(final RecordedCall call) {
      span.calls++;
      final CallOutcome[] both = new CallOutcome[2];
      final Consumer<Integer> ended =
          which -> {
            if (both[0] != null && (other == null || both[1] != null)) {
              span.ended++;
              compared.ended(call, both[0], both[1]);
            }
          };
      own.play(
          call,
          outcome -> {
            both[0] = outcome;
            ended.accept(0);
          });
      if (other != null) {
        other.play(
            call,
            outcome -> {
              both[1] = outcome;
              ended.accept(1);
            });
      }
    }

    private void finish() {
      advance(Long.MAX_VALUE);
      own.finish();
      if (other != null) {
        other.finish();
      }
    }
  }

  private void pass(final Span span, final boolean alone, final Compared compared)
      throws IOException {
    final EventLoopGroup loop = new NioEventLoopGroup(1);
    try (RecordingFile.Reader reader = new RecordingFile.Reader(day)) {
      final Pass pass = new Pass(loop, span, alone, compared);
      for (Object part = reader.next(); part != null; part = reader.next()) {
        pass.take(part);
      }
      pass.finish();
      if (span.end.notes != span.calls) {
        throw new WeldpointException(
            WeldpointException.Kind.UNREADABLE,
            "the recording holds "
                + span.calls
                + " calls and says "
                + span.end.notes
                + "; record the day anew");
      }
      if (span.calls == 0) {
        throw new WeldpointException(
            WeldpointException.Kind.INVALID,
            "the recording holds no calls; record a day with traffic");
      }
    } finally {
      loop.shutdownGracefully(0, 0, java.util.concurrent.TimeUnit.MILLISECONDS);
    }
  }

  /**
   * The differences between recorded and modelled times, by route: a histogram, since a day has
   * millions.
   */
  private static final class Errors {
    private static final int MOST = 20_000;
    private final Map<String, int[]> counts = new TreeMap<>();

    private void add(final String route, final long error) {
      counts.computeIfAbsent(route, name -> new int[MOST + 1])[(int) Math.min(MOST, error)]++;
    }

    private Map<String, Long> worst(final double share) {
      final Map<String, Long> worst = new TreeMap<>();
      counts.forEach(
          (route, histogram) -> {
            long all = 0;
            for (final int count : histogram) {
              all += count;
            }
            long sum = 0;
            int at = 0;
            while (at < MOST && sum + histogram[at] < share * all) {
              sum += histogram[at++];
            }
            worst.put(route, (long) at);
          });
      return worst;
    }
  }
}
