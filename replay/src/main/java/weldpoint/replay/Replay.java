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
 * Simulates recorded traffic under the recorded and under a proposed configuration, and compares
 * the two simulations call by call. Used by the command {@code weldpoint replay}, on one thread.
 *
 * <p>A first pass simulates the recorded configuration alone and compares the simulated with the
 * recorded response times; if the error of any route exceeds the allowed one, the replay fails. The
 * second pass simulates both configurations side by side.
 */
public final class Replay {
  private static final long REORDER_WINDOW_MILLIS = 20_000;
  private static final long MIN_MODEL_ERROR_MILLIS = 20;
  private static final double MODEL_ERROR_QUANTILE = 0.95;
  private static final int MAX_LISTED_WRITES = 100_000;

  /** Decompresses a recorded configuration. */
  public interface Inflater {
    /** Returns the configuration as it was submitted, from its compressed form. */
    byte[] inflate(byte[] stored);
  }

  private final Path recording;
  private final RoutingTable proposedRouting;
  private final String extraSettings;
  private final Inflater inflater;
  private final long maxModelErrorMillis;

  /**
   * Creates a replay of the recording in this file. The extra settings, lines of the settings file,
   * apply to the proposed configuration only; maxModelErrorMillis is the largest allowed difference
   * between recorded and simulated response times.
   */
  public Replay(
      final Path recording,
      final RoutingTable proposedRouting,
      final String extraSettings,
      final long maxModelErrorMillis,
      final Inflater inflater) {
    this.recording = recording;
    this.proposedRouting = proposedRouting;
    this.extraSettings = extraSettings;
    this.maxModelErrorMillis = maxModelErrorMillis;
    this.inflater = inflater;
  }

  private static final class PassTotals {
    private final ErrorHistogram modelErrors = new ErrorHistogram();
    private long calls;
    private long completed;
    private RecordingFile.Trailer trailer;
  }

  /**
   * Runs both passes and returns the comparison.
   *
   * @throws WeldpointException if the recording is incomplete or damaged, the model misses the
   *     recorded times by too much, or the proposed configuration uses affinity
   */
  public ReplayComparison run() throws IOException {
    if (proposedRouting.allRoutes().stream().anyMatch(route -> route.affinity != null)) {
      throw new WeldpointException(
          WeldpointException.Kind.INVALID,
          "the proposed configuration uses affinity, and a recording does not hold who called; leave affinity out, or test it on one route with a trial");
    }
    final PassTotals baselineTotals = new PassTotals();
    runPass(
        baselineTotals,
        true,
        (call, baselineOutcome, proposedOutcome) -> {
          if (baselineOutcome.end == CallOutcome.End.SERVED
              && call.request.status >= 200
              && call.request.status < 300) {
            baselineTotals.modelErrors.add(
                call.request.route,
                Math.abs(baselineOutcome.totalMillis - call.request.totalMillis));
          }
        });
    final Map<String, Long> modelErrors = new TreeMap<>();
    baselineTotals
        .modelErrors
        .quantiles(MODEL_ERROR_QUANTILE)
        .forEach((route, error) -> modelErrors.put(route, Math.max(MIN_MODEL_ERROR_MILLIS, error)));
    for (final Map.Entry<String, Long> entry : modelErrors.entrySet()) {
      if (entry.getValue() > maxModelErrorMillis) {
        throw new WeldpointException(
            WeldpointException.Kind.INVALID,
            "the simulated response times of route "
                + entry.getKey()
                + " differ from the recorded ones by "
                + entry.getValue()
                + " ms, more than "
                + maxModelErrorMillis
                + " ms; record a time with fewer failures, or allow more with --error-ms");
      }
    }
    final ReplayComparison comparison =
        new ReplayComparison(modelErrors, baselineTotals.trailer.clockErrorMillis);
    final PassTotals comparisonTotals = new PassTotals();
    runPass(
        comparisonTotals,
        false,
        (call, baselineOutcome, proposedOutcome) ->
            comparison.add(
                call,
                baselineOutcome,
                proposedOutcome,
                modelErrors.getOrDefault(call.request.route, MIN_MODEL_ERROR_MILLIS),
                MAX_LISTED_WRITES));
    if (comparisonTotals.calls != baselineTotals.trailer.requestCount
        || comparisonTotals.completed != comparisonTotals.calls) {
      throw new WeldpointException(
          WeldpointException.Kind.UNREADABLE,
          "of "
              + baselineTotals.trailer.requestCount
              + " recorded calls "
              + comparisonTotals.completed
              + " completed in the simulation; record again");
    }
    return comparison;
  }

  private interface CallListener {
    void callCompleted(RecordedCall call, CallOutcome baselineOutcome, CallOutcome proposedOutcome);
  }

  private final class Pass {
    private final EventLoopGroup loop;
    private final PassTotals totals;
    private final ReplaySimulator baseline;
    private final ReplaySimulator proposal;
    private final CallListener listener;
    private final PriorityQueue<Object[]> reorderBuffer =
        new PriorityQueue<>(
            (first, second) ->
                first[0].equals(second[0])
                    ? Long.compare((long) first[1], (long) second[1])
                    : Long.compare((long) first[0], (long) second[0]));
    private final Map<String, String> sites = new LinkedHashMap<>();
    private final Map<String, long[]> lastSerials = new HashMap<>();
    private final Set<String> openRecordings = new HashSet<>();
    private final Map<String, Double> meanServiceTimes = new HashMap<>();
    private long latestAt = Long.MIN_VALUE / 2;
    private long order;
    private long playedTo = Long.MIN_VALUE / 2;

    private Pass(
        final EventLoopGroup loop,
        final PassTotals totals,
        final boolean baselineOnly,
        final CallListener listener) {
      this.loop = loop;
      this.totals = totals;
      this.baseline = new ReplaySimulator(loop, "", 7);
      this.proposal = baselineOnly ? null : new ReplaySimulator(loop, extraSettings, 7);
      this.listener = listener;
      if (proposal != null) {
        proposal.routingTable(proposedRouting);
      }
    }

    private void accept(final Object part) {
      if (part instanceof RecordingFile.ControlSnapshot) {
        final RecordingFile.ControlSnapshot control = (RecordingFile.ControlSnapshot) part;
        enqueue(control.at, control);
      } else if (part instanceof RecordingFile.TimedBatch) {
        addBatch((RecordingFile.TimedBatch) part);
      } else {
        totals.trailer = (RecordingFile.Trailer) part;
        if (totals.trailer.droppedCount > 0
            || !Protocol.emptyIfNull(totals.trailer.silentProxies).isEmpty()
            || !openRecordings.isEmpty()) {
          throw new WeldpointException(
              WeldpointException.Kind.INVALID,
              "the recording has gaps: "
                  + totals.trailer.droppedCount
                  + " calls dropped, proxies that did not report "
                  + Protocol.emptyIfNull(totals.trailer.silentProxies)
                  + ", proxies without a last batch "
                  + openRecordings
                  + "; record again");
        }
      }
    }

    private void addBatch(final RecordingFile.TimedBatch timedBatch) {
      final RecordingMessages.RecordingBatch batch = timedBatch.batch;
      final String proxyInstance = batch.proxy + "#" + batch.incarnation;
      if (batch.dropped > 0) {
        throw new WeldpointException(
            WeldpointException.Kind.INVALID,
            "proxy "
                + batch.proxy
                + " dropped "
                + batch.dropped
                + " calls; record a shorter time or less traffic");
      }
      if (sites.putIfAbsent(batch.site, batch.region) == null) {
        sites.put(batch.site, batch.region);
      }
      if (batch.last) {
        openRecordings.remove(proxyInstance);
      } else {
        openRecordings.add(proxyInstance);
      }
      baseline.addProxy(batch.proxy, batch.site, batch.region, sites);
      if (proposal != null) {
        proposal.addProxy(batch.proxy, batch.site, batch.region, sites);
      }
      final long[] lastSerial = lastSerials.computeIfAbsent(proxyInstance, name -> new long[1]);
      for (final RecordingMessages.RequestRecord request : Protocol.emptyIfNull(batch.records)) {
        if (request.serial != lastSerial[0] + 1) {
          throw new WeldpointException(
              WeldpointException.Kind.INVALID,
              "the recording of "
                  + batch.proxy
                  + " lacks calls between numbers "
                  + lastSerial[0]
                  + " and "
                  + request.serial
                  + "; record again");
        }
        lastSerial[0] = request.serial;
        final RecordedCall call =
            new RecordedCall(
                request,
                batch.proxy,
                timedBatch.clockOffsetMillis,
                meanServiceTimes.getOrDefault(request.service, 100.0).longValue());
        if (call.serviceTimeMillis > 0 && request.status >= 200 && request.status < 300) {
          meanServiceTimes.merge(
              request.service,
              (double) call.serviceTimeMillis,
              (mean, sample) -> mean * 0.99 + sample * 0.01);
        }
        enqueue(call.at, call);
      }
      advance(latestAt - REORDER_WINDOW_MILLIS);
    }

    private void enqueue(final long at, final Object event) {
      if (at < playedTo) {
        throw new WeldpointException(
            WeldpointException.Kind.INVALID,
            "the recording is more than "
                + REORDER_WINDOW_MILLIS
                + " ms out of order; record again, with all registry nodes reachable");
      }
      latestAt = Math.max(latestAt, at);
      reorderBuffer.add(new Object[] {at, order++, event});
    }

    private void advance(final long until) {
      playedTo = until;
      while (!reorderBuffer.isEmpty() && (long) reorderBuffer.peek()[0] <= until) {
        final Object[] next = reorderBuffer.poll();
        final long at = (long) next[0];
        baseline.advanceTo(at);
        if (proposal != null) {
          proposal.advanceTo(at);
        }
        if (next[2] instanceof RecordingFile.ControlSnapshot) {
          applyControl((RecordingFile.ControlSnapshot) next[2]);
        } else {
          play((RecordedCall) next[2]);
        }
      }
    }

    private void applyControl(final RecordingFile.ControlSnapshot snapshot) {
      if (snapshot.configuration != null) {
        baseline.routingTable(
            RoutingTable.compileAccepted(inflater.inflate(snapshot.configuration)));
      }
      baseline.applyControl(snapshot.registrations, snapshot.evacuatedSites);
      if (proposal != null) {
        proposal.applyControl(snapshot.registrations, snapshot.evacuatedSites);
      }
    }

    private void play(final RecordedCall call) {
      totals.calls++;
      final CallOutcome[] outcomes = new CallOutcome[2];
      final Consumer<Integer> onOutcome =
          ignored -> {
            if (outcomes[0] != null && (proposal == null || outcomes[1] != null)) {
              totals.completed++;
              listener.callCompleted(call, outcomes[0], outcomes[1]);
            }
          };
      baseline.play(
          call,
          outcome -> {
            outcomes[0] = outcome;
            onOutcome.accept(0);
          });
      if (proposal != null) {
        proposal.play(
            call,
            outcome -> {
              outcomes[1] = outcome;
              onOutcome.accept(1);
            });
      }
    }

    private void finish() {
      advance(Long.MAX_VALUE);
      baseline.runToCompletion();
      if (proposal != null) {
        proposal.runToCompletion();
      }
    }
  }

  private void runPass(
      final PassTotals totals, final boolean baselineOnly, final CallListener listener)
      throws IOException {
    final EventLoopGroup loop = new NioEventLoopGroup(1);
    try (RecordingFile.Reader reader = new RecordingFile.Reader(recording)) {
      final Pass pass = new Pass(loop, totals, baselineOnly, listener);
      for (Object part = reader.next(); part != null; part = reader.next()) {
        pass.accept(part);
      }
      pass.finish();
      if (totals.trailer.requestCount != totals.calls) {
        throw new WeldpointException(
            WeldpointException.Kind.UNREADABLE,
            "the recording holds "
                + totals.calls
                + " calls, but its trailer says "
                + totals.trailer.requestCount
                + "; record again");
      }
      if (totals.calls == 0) {
        throw new WeldpointException(
            WeldpointException.Kind.INVALID,
            "the recording holds no calls; record while there is traffic");
      }
    } finally {
      loop.shutdownGracefully(0, 0, java.util.concurrent.TimeUnit.MILLISECONDS);
    }
  }

  /**
   * The differences between recorded and simulated response times, by route. Kept as histograms
   * with buckets of 1 ms, since a recording may hold millions of calls.
   */
  private static final class ErrorHistogram {
    private static final int MAX_MILLIS = 20_000;
    private final Map<String, int[]> countsByRoute = new TreeMap<>();

    private void add(final String route, final long error) {
      countsByRoute
          .computeIfAbsent(route, name -> new int[MAX_MILLIS + 1])[
          (int) Math.min(MAX_MILLIS, error)]++;
    }

    private Map<String, Long> quantiles(final double fraction) {
      final Map<String, Long> millisByRoute = new TreeMap<>();
      countsByRoute.forEach(
          (route, histogram) -> {
            long total = 0;
            for (final int count : histogram) {
              total += count;
            }
            long cumulative = 0;
            int millis = 0;
            while (millis < MAX_MILLIS && cumulative + histogram[millis] < fraction * total) {
              cumulative += histogram[millis++];
            }
            millisByRoute.put(route, (long) millis);
          });
      return millisByRoute;
    }
  }
}
