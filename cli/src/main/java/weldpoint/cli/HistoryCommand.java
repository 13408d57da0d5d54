package weldpoint.cli;

import io.avaje.jsonb.JsonType;
import io.avaje.jsonb.Jsonb;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import weldpoint.common.WeldpointException;
import weldpoint.registry.ControlApi;

/**
 * The history command: lists the routing changes in order, as any replica returns them, or shows
 * which daemons have applied one of them.
 */
final class HistoryCommand {
  /** Exit code if the history could not be confirmed to be complete. */
  static final int EXIT_INCOMPLETE = 3;

  private static final Jsonb JSON = Jsonb.builder().build();
  private static final JsonType<ControlApi.HistoryQuery> QUERY =
      JSON.type(ControlApi.HistoryQuery.class);
  private static final JsonType<ControlApi.HistoryResponse> RESPONSE =
      JSON.type(ControlApi.HistoryResponse.class);
  private static final JsonType<ControlApi.ReachResponse> REACH =
      JSON.type(ControlApi.ReachResponse.class);
  private static final int DIGEST_PREFIX_LENGTH = 12;

  private final OptionParser parser = new OptionParser();
  private final OptionSpec<String> control =
      parser
          .accepts("control", "control addresses, separated by commas; the first that answers")
          .withRequiredArg()
          .withValuesSeparatedBy(',');
  private final OptionSpec<String> at =
      parser.accepts("at", "control address of the only replica to ask").withRequiredArg();
  private final OptionSpec<Long> from =
      parser.accepts("from", "number of the first entry").withRequiredArg().ofType(Long.class);
  private final OptionSpec<Long> to =
      parser.accepts("to", "number of the last entry").withRequiredArg().ofType(Long.class);
  private final OptionSpec<String> since =
      parser
          .accepts(
              "since", "only entries recorded at or after this time, such as 2026-01-31T08:00:00Z")
          .withRequiredArg();
  private final OptionSpec<String> until =
      parser.accepts("until", "only entries recorded at or before this time").withRequiredArg();
  private final OptionSpec<String> route =
      parser.accepts("route", "only changes of this route, service or zone").withRequiredArg();
  private final OptionSpec<String> author =
      parser.accepts("author", "only changes by this author").withRequiredArg();
  private final OptionSpec<Long> reach =
      parser
          .accepts("reach", "shows which daemons have applied the change with this number")
          .withRequiredArg()
          .ofType(Long.class);
  private final OptionSpec<Void> json =
      parser.accepts("json", "prints JSON, the same bytes from any replica");

  int run(final String[] arguments, final PrintStream out, final PrintStream err)
      throws InterruptedException {
    final OptionSet options = parser.parse(arguments);
    if (!options.nonOptionArguments().isEmpty() || options.has(control) == options.has(at)) {
      throw new WeldpointException(
          WeldpointException.Kind.USAGE,
          "history takes either --control HOST:PORT,... or --at HOST:PORT, and no further arguments");
    }
    final ControlClient client =
        new ControlClient(
            options.has(at) ? List.of(options.valueOf(at)) : options.valuesOf(control));
    return options.has(reach) ? reach(client, options, out, err) : list(client, options, out, err);
  }

  private int list(
      final ControlClient client,
      final OptionSet options,
      final PrintStream out,
      final PrintStream err)
      throws InterruptedException {
    final List<ControlApi.HistoryEntry> entries = new ArrayList<>();
    Long next = options.valueOf(from);
    ControlApi.HistoryResponse response;
    do {
      response =
          ControlClient.parse(
              RESPONSE,
              client.call(
                  "history.read",
                  "",
                  QUERY.toJson(
                      new ControlApi.HistoryQuery(
                          next,
                          options.valueOf(to),
                          options.valueOf(since),
                          options.valueOf(until),
                          options.valueOf(route),
                          options.valueOf(author),
                          null))));
      entries.addAll(response.entries());
      next = response.next();
    } while (response.complete() && response.next() > 0);
    if (options.has(json)) {
      out.println(
          RESPONSE.toJson(
              new ControlApi.HistoryResponse(
                  response.complete(),
                  response.problem(),
                  response.first(),
                  response.through(),
                  response.digest(),
                  response.next(),
                  entries)));
    } else {
      entries.forEach(entry -> print(entry, out));
      out.printf(
          "%d entries shown; the history goes from %d to %d, digest %s%n",
          entries.size(), response.first(), response.through(), abbreviate(response.digest()));
    }
    return exitCode(response.complete(), response.problem(), err);
  }

  private static int exitCode(final boolean complete, final String problem, final PrintStream err) {
    if (!complete) {
      err.println("weldpoint: NOT COMPLETE: " + problem);
      return EXIT_INCOMPLETE;
    }
    return 0;
  }

  private int reach(
      final ControlClient client,
      final OptionSet options,
      final PrintStream out,
      final PrintStream err)
      throws InterruptedException {
    final String text = client.call("history.reach", options.valueOf(reach).toString(), "");
    final ControlApi.ReachResponse response = ControlClient.parse(REACH, text);
    if (options.has(json)) {
      out.println(text);
    } else {
      print(response.change(), out);
      response
          .daemons()
          .forEach(
              daemon ->
                  out.printf(
                      "  %-12s %-16s %-9s %-26s %s%n",
                      daemon.program(),
                      daemon.address(),
                      daemon.state(),
                      daemon.since(),
                      daemon.note()));
    }
    return exitCode(response.complete(), response.problem(), err);
  }

  private static void print(final ControlApi.HistoryEntry entry, final PrintStream out) {
    out.printf(
        "%d  %s  %s  %s%s%s%n",
        entry.sequence(),
        entry.time(),
        entry.author(),
        entry.kind(),
        entry.version().isEmpty() ? "" : " " + entry.version(),
        entry.subject().isEmpty() ? "" : " " + entry.subject());
    out.printf(
        "    from %s, taken by %s; digest %s after %s%n",
        entry.caller().isEmpty() ? "the system" : entry.caller(),
        entry.taker(),
        abbreviate(entry.digest()),
        entry.previous().isEmpty() ? "nothing" : abbreviate(entry.previous()));
    if (entry.added() + entry.removed() + entry.changed() > 0) {
      out.printf(
          "    %d added, %d removed, %d changed; %d of them carry writes; configuration %s -> %s%n",
          entry.added(),
          entry.removed(),
          entry.changed(),
          entry.writeRoutes(),
          abbreviate(entry.before()),
          abbreviate(entry.after()));
    }
    entry.changes().forEach(change -> out.println("    " + change));
  }

  private static String abbreviate(final String digest) {
    return digest.length() <= DIGEST_PREFIX_LENGTH
        ? digest.isEmpty() ? "none" : digest
        : digest.substring(0, DIGEST_PREFIX_LENGTH);
  }
}
