package weldpoint.cli;

import io.avaje.jsonb.JsonType;
import io.avaje.jsonb.Jsonb;
import java.io.PrintStream;
import java.util.List;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import weldpoint.common.WeldpointException;
import weldpoint.registry.ControlApi;

/**
 * The status command: shows what one registry knows of the core machines, the daemons, the key
 * ranges and the placements that bind callers to nodes. Exits with 3 if that registry has not heard
 * from a majority recently.
 */
final class StatusCommand {
  private static final JsonType<ControlApi.StatusResponse> STATUS =
      Jsonb.builder().build().type(ControlApi.StatusResponse.class);
  private static final int EXIT_NO_MAJORITY = 3;

  private final OptionParser parser = new OptionParser();
  private final OptionSpec<String> control =
      parser
          .accepts("control", "control addresses, separated by commas; the first that answers")
          .withRequiredArg()
          .withValuesSeparatedBy(',')
          .required();
  private final OptionSpec<Void> json = parser.accepts("json", "prints JSON");

  int run(final String[] arguments, final PrintStream out) throws InterruptedException {
    final OptionSet options = parser.parse(arguments);
    if (!options.nonOptionArguments().isEmpty()) {
      throw new WeldpointException(
          WeldpointException.Kind.USAGE,
          "status takes --control HOST:PORT,... and no further arguments");
    }
    final String text = new ControlClient(options.valuesOf(control)).call("status.read", "", "");
    final ControlApi.StatusResponse response = ControlClient.parse(STATUS, text);
    if (options.has(json)) {
      out.println(text);
    } else {
      print(response, out);
    }
    return response.settled() ? 0 : EXIT_NO_MAJORITY;
  }

  private static void print(final ControlApi.StatusResponse response, final PrintStream out) {
    out.printf(
        "exchange %s: a majority was heard of %s; configuration %s, evacuated %s%n",
        response.exchange(),
        response.settled() ? response.majorityAgeMs() + " ms ago" : "too long ago or never",
        response.version(),
        response.evacuated());
    out.printf("roster %d: %s%n", response.roster(), response.voters());
    out.printf("store of %s: %s%n", response.exchange(), response.disk());
    out.printf(
        "upstreams: %d registered, %d of them silent%n", response.upstreams(), response.suspects());
    response
        .daemons()
        .forEach(
            entry ->
                out.printf(
                    "  %-12s %-16s configuration %-9s mark %-6d heard of %s%n",
                    entry.program(),
                    entry.address(),
                    entry.version(),
                    entry.mark(),
                    entry.heardMs() < 0 ? "never" : entry.heardMs() + " ms ago"));
    for (final ControlApi.KeyRangeStatus range :
        response.keys() == null ? List.<ControlApi.KeyRangeStatus>of() : response.keys()) {
      out.printf(
          "keys %d-%d of %s: %s by %s, fence %d, assigned by %s%n",
          range.first(),
          range.last(),
          range.service(),
          range.state(),
          range.holder(),
          range.fence(),
          range.assigner());
    }
    if (!response.placements().isEmpty()) {
      out.printf(
          "placements kept by %s%n", response.keeper().isEmpty() ? "nobody" : response.keeper());
      response
          .placements()
          .forEach(
              entry ->
                  out.printf(
                      "  %s: epoch %d of %d nodes%s%n",
                      entry.service(),
                      entry.epoch(),
                      entry.nodes(),
                      entry.prepared() ? ", the next of " + entry.nextNodes() + " prepared" : ""));
      response
          .writes()
          .forEach(entry -> out.printf("  tied writes %s: %d%n", entry.outcome(), entry.count()));
    }
  }
}
