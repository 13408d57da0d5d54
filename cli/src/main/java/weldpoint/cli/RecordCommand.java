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
 * weldpoint record: has all switchboards record, and collects what they recorded into a file until
 * the recording ends.
 */
final class RecordCommand {
  private static final long PAUSE_MILLIS = 1000;
  private static final long SETTLE_MILLIS = 4000;
  private static final long MOST_SETTLE_MILLIS = 30_000;

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
      parser.accepts("file", "where the day is written").withRequiredArg();
  private final OptionSpec<Long> seconds =
      parser
          .accepts("seconds", "ends the recording after so long")
          .withRequiredArg()
          .ofType(Long.class);

  /** Follows one recording. */
  static final class Collector {
    private final RecordingFile.Writer writer;
    private final Map<String, Long> offsets = new HashMap<>();
    private final Map<String, Integer> known = new LinkedHashMap<>();
    private final Set<String> open = new HashSet<>();
    private final Map<String, Long> droppedBy = new HashMap<>();
    private long version;
    private List<String> evacuated = List.of();
    private long notes;
    private long clockError;

    Collector(final RecordingFile.Writer writer) {
      this.writer = writer;
    }

    /** Adds what one exchange gave to a question asked then and answered now. */
    void add(
        final String exchange,
        final RecordingBuffer.Collection drained,
        final long asked,
        final long now)
        throws IOException {
      droppedBy.put(exchange, drained.dropped);
      final List<RegistryMessages.Registration> changes = new ArrayList<>();
      for (final RegistryMessages.Registration registration :
          Protocol.list(drained.registrations)) {
        final Integer before = known.put(registration.id, registration.stage);
        if (before == null ? registration.stage == 0 : before != registration.stage) {
          changes.add(registration);
        }
      }
      final boolean spec = drained.version > version && drained.spec != null;
      final List<String> sites = Protocol.list(drained.evacuated);
      if (spec || !changes.isEmpty() || !sites.equals(evacuated)) {
        version = Math.max(version, drained.version);
        writer.add(
            new RecordingFile.ControlSnapshot(
                asked,
                spec ? drained.spec : null,
                changes,
                sites.equals(evacuated) ? null : sites));
        evacuated = sites;
      }
      for (final RecordingBuffer.CollectedBatch kept : Protocol.list(drained.reels)) {
        final String life = kept.batch.board + "#" + kept.batch.incarnation;
        final long offset = asked - kept.ageMillis - kept.batch.sentAt;
        offsets.merge(life, offset, Math::min);
        clockError = Math.max(clockError, now - asked);
        notes += Protocol.list(kept.batch.notes).size();
        if (kept.batch.last) {
          open.remove(life);
        } else {
          open.add(life);
        }
        writer.add(new RecordingFile.TimedBatch(offsets.get(life), kept.batch));
      }
    }

    /** Whether every switchboard that was heard has said that its reel is its last. */
    boolean complete() {
      return open.isEmpty();
    }

    RecordingFile.Trailer end() {
      return new RecordingFile.Trailer(
          notes,
          droppedBy.values().stream().mapToLong(count -> count).sum(),
          clockError,
          new ArrayList<>(open));
    }
  }

  int run(final String[] words, final PrintStream out) throws IOException, InterruptedException {
    final OptionSet options = parser.parse(words);
    final List<?> names = options.nonOptionArguments();
    final Action action;
    try {
      action =
          Action.valueOf(
              names.size() == 1 ? names.get(0).toString().toUpperCase(java.util.Locale.ROOT) : "");
    } catch (final IllegalArgumentException unknown) {
      throw new WeldpointException(
          WeldpointException.Kind.USAGE,
          "record takes one action: record begin|status|end --control HOST:PORT,...");
    }
    final List<String> addresses = options.valuesOf(control);
    final ControlClient caller = new ControlClient(addresses);
    if (action == Action.STATUS || action == Action.END) {
      out.println(caller.call(action == Action.END ? "record.end" : "record.status", "all", ""));
      return 0;
    }
    if (!options.has(file)) {
      throw new WeldpointException(
          WeldpointException.Kind.USAGE,
          "record begin needs --file FILE, where the day is to be written");
    }
    out.println(caller.call("record.begin", "all", ""));
    try (RecordingFile.Writer writer = new RecordingFile.Writer(Path.of(options.valueOf(file)))) {
      return collect(options, addresses, caller, writer, out);
    }
  }

  private int collect(
      final OptionSet options,
      final List<String> addresses,
      final ControlClient caller,
      final RecordingFile.Writer writer,
      final PrintStream out)
      throws IOException, InterruptedException {
    final Collector collector = new Collector(writer);
    final long begun = System.nanoTime() / 1_000_000;
    boolean ordered = false;
    long endedAt = 0;
    final Map<String, Long> missed = new HashMap<>();
    while (true) {
      Thread.sleep(PAUSE_MILLIS);
      boolean on = false;
      boolean heard = false;
      for (final String address : addresses) {
        final long asked = System.nanoTime() / 1_000_000;
        try {
          final RecordingBuffer.Collection drained =
              Serializer.deserialize(
                  new ControlClient(List.of(address)).bytes("record.drain", "all"),
                  RecordingBuffer.Collection.class);
          collector.add(address, drained, asked, System.nanoTime() / 1_000_000);
          on |= drained.on;
          heard = true;
          missed.remove(address);
        } catch (final WeldpointException silent) {
          missed.merge(address, 1L, Long::sum);
        }
      }
      final long now = System.nanoTime() / 1_000_000;
      if (!ordered && options.has(seconds) && now - begun > 1000 * options.valueOf(seconds)) {
        caller.call("record.end", "all", "");
        ordered = true;
      }
      if (heard && !on && now - begun > SETTLE_MILLIS) {
        endedAt = endedAt == 0 ? now : endedAt;
        if (now - endedAt > SETTLE_MILLIS && collector.complete()
            || now - endedAt > MOST_SETTLE_MILLIS) {
          break;
        }
      }
    }
    final RecordingFile.Trailer end = collector.end();
    writer.add(end);
    out.printf(
        "recorded %d calls, dropped %d, clocks agree within %d ms, not ended: %s, exchanges not heard at the end: %s%n",
        end.requestCount,
        end.droppedCount,
        end.clockErrorMillis,
        end.silentProxies,
        missed.keySet());
    return end.droppedCount == 0 && end.silentProxies.isEmpty() ? 0 : 1;
  }
}
