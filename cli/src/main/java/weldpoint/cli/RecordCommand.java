package weldpoint.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import weldpoint.common.WeldpointException;
import weldpoint.registry.RecordingBuffer;
import weldpoint.replay.RecordingFile;
import weldpoint.transport.Protocol;
import weldpoint.transport.RegistryMessages;
import weldpoint.transport.Serializer;

/**
 * The record command: makes all proxies record their requests, polls every registry for the
 * recorded batches and writes them to a file until the recording ends.
 */
final class RecordCommand {
  private static final long POLL_INTERVAL_MILLIS = 1000;
  private static final long MIN_SETTLE_MILLIS = 4000;
  private static final long MAX_SETTLE_MILLIS = 30_000;

  private enum Action {
    BEGIN,
    STATUS,
    END
  }

  private final OptionParser parser = new OptionParser();
  private final OptionSpec<String> control =
      parser
          .accepts("control", "control addresses of all exchanges, separated by commas")
          .withRequiredArg()
          .withValuesSeparatedBy(',')
          .required();
  private final OptionSpec<String> file =
      parser.accepts("file", "file to write the recording to").withRequiredArg();
  private final OptionSpec<Long> seconds =
      parser
          .accepts("seconds", "ends the recording after this many seconds")
          .withRequiredArg()
          .ofType(Long.class);

  /**
   * Turns what the registries return for one recording into entries of the file. Used by one
   * thread.
   */
  static final class Collector {
    private final RecordingFile.Writer writer;
    private final Map<String, Long> clockOffsets = new HashMap<>();
    private final Map<String, Integer> registrationStages = new LinkedHashMap<>();
    private final Set<String> unfinished = new HashSet<>();
    private final Map<String, Long> droppedByRegistry = new HashMap<>();
    private long version;
    private List<String> evacuated = List.of();
    private long recordedCalls;
    private long clockError;

    Collector(final RecordingFile.Writer writer) {
      this.writer = writer;
    }

    /**
     * Adds the response of one registry. The times of request and response, in milliseconds of this
     * process's monotonic clock, give the offset to the proxy's clock and its error.
     */
    void add(
        final String registry,
        final RecordingBuffer.Collection collection,
        final long requestedAt,
        final long receivedAt)
        throws IOException {
      droppedByRegistry.put(registry, collection.dropped);
      final List<RegistryMessages.Registration> changes = new ArrayList<>();
      for (final RegistryMessages.Registration registration :
          Protocol.emptyIfNull(collection.registrations)) {
        final Integer previousStage = registrationStages.put(registration.id, registration.stage);
        if (previousStage == null ? registration.stage == 0 : previousStage != registration.stage) {
          changes.add(registration);
        }
      }
      final boolean newSpec = collection.version > version && collection.spec != null;
      final List<String> evacuatedSites = Protocol.emptyIfNull(collection.evacuated);
      if (newSpec || !changes.isEmpty() || !evacuatedSites.equals(evacuated)) {
        version = Math.max(version, collection.version);
        writer.add(
            new RecordingFile.ControlSnapshot(
                requestedAt,
                newSpec ? collection.spec : null,
                changes,
                evacuatedSites.equals(evacuated) ? null : evacuatedSites));
        evacuated = evacuatedSites;
      }
      for (final RecordingBuffer.CollectedBatch collected :
          Protocol.emptyIfNull(collection.batches)) {
        final String proxyRun = collected.batch.proxy + "#" + collected.batch.incarnation;
        final long offset = requestedAt - collected.ageMillis - collected.batch.sentAt;
        clockOffsets.merge(proxyRun, offset, Math::min);
        clockError = Math.max(clockError, receivedAt - requestedAt);
        recordedCalls += Protocol.emptyIfNull(collected.batch.records).size();
        if (collected.batch.last) {
          unfinished.remove(proxyRun);
        } else {
          unfinished.add(proxyRun);
        }
        writer.add(new RecordingFile.TimedBatch(clockOffsets.get(proxyRun), collected.batch));
      }
    }

    /** Returns whether every proxy that sent a batch has also sent the batch marked as its last. */
    boolean complete() {
      return unfinished.isEmpty();
    }

    /** Returns the last entry of the file; names the proxies whose last batch is missing. */
    RecordingFile.Trailer trailer() {
      return new RecordingFile.Trailer(
          recordedCalls,
          droppedByRegistry.values().stream().mapToLong(count -> count).sum(),
          clockError,
          new ArrayList<>(unfinished));
    }
  }

  int run(final String[] arguments, final PrintStream out)
      throws IOException, InterruptedException {
    final OptionSet options = parser.parse(arguments);
    final List<?> names = options.nonOptionArguments();
    final Action action;
    try {
      action =
          Action.valueOf(
              names.size() == 1 ? names.get(0).toString().toUpperCase(java.util.Locale.ROOT) : "");
    } catch (final IllegalArgumentException unknown) {
      throw new WeldpointException(
          WeldpointException.Kind.USAGE,
          "record takes exactly one action: record begin|status|end --control HOST:PORT,...");
    }
    final List<String> addresses = options.valuesOf(control);
    final ControlClient client = new ControlClient(addresses);
    if (action == Action.STATUS || action == Action.END) {
      out.println(client.call(action == Action.END ? "record.end" : "record.status", "all", ""));
      return 0;
    }
    if (!options.has(file)) {
      throw new WeldpointException(
          WeldpointException.Kind.USAGE,
          "record begin needs --file FILE, the file to write the recording to");
    }
    out.println(client.call("record.begin", "all", ""));
    try (RecordingFile.Writer writer = new RecordingFile.Writer(Path.of(options.valueOf(file)))) {
      return collect(options, addresses, client, writer, out);
    }
  }

  /**
   * Polls all registries until they report that the recording is off and every proxy has sent its
   * last batch, at least MIN_SETTLE_MILLIS and at most MAX_SETTLE_MILLIS after the end.
   *
   * @return 0 if the recording is complete, 1 if calls were dropped or last batches are missing
   */
  private int collect(
      final OptionSet options,
      final List<String> addresses,
      final ControlClient client,
      final RecordingFile.Writer writer,
      final PrintStream out)
      throws IOException, InterruptedException {
    final Collector collector = new Collector(writer);
    final long startedAt = System.nanoTime() / 1_000_000;
    boolean endRequested = false;
    long endedAt = 0;
    final Map<String, Long> missedPolls = new HashMap<>();
    while (true) {
      Thread.sleep(POLL_INTERVAL_MILLIS);
      boolean recording = false;
      boolean reached = false;
      for (final String address : addresses) {
        final long requestedAt = System.nanoTime() / 1_000_000;
        try {
          final RecordingBuffer.Collection collection =
              Serializer.deserialize(
                  new ControlClient(List.of(address)).callForBytes("record.drain", "all"),
                  RecordingBuffer.Collection.class);
          collector.add(address, collection, requestedAt, System.nanoTime() / 1_000_000);
          recording |= collection.recording;
          reached = true;
          missedPolls.remove(address);
        } catch (final WeldpointException unreachable) {
          missedPolls.merge(address, 1L, Long::sum);
        }
      }
      final long now = System.nanoTime() / 1_000_000;
      if (!endRequested
          && options.has(seconds)
          && now - startedAt > 1000 * options.valueOf(seconds)) {
        client.call("record.end", "all", "");
        endRequested = true;
      }
      if (reached && !recording && now - startedAt > MIN_SETTLE_MILLIS) {
        endedAt = endedAt == 0 ? now : endedAt;
        if (now - endedAt > MIN_SETTLE_MILLIS && collector.complete()
            || now - endedAt > MAX_SETTLE_MILLIS) {
          break;
        }
      }
    }
    final RecordingFile.Trailer trailer = collector.trailer();
    writer.add(trailer);
    out.printf(
        "recorded %d calls, dropped %d, clocks agree within %d ms, not ended: %s, exchanges not heard at the end: %s%n",
        trailer.requestCount,
        trailer.droppedCount,
        trailer.clockErrorMillis,
        trailer.silentProxies,
        missedPolls.keySet());
    return trailer.droppedCount == 0 && trailer.silentProxies.isEmpty() ? 0 : 1;
  }
}
