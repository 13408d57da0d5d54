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
 * weldpoint status: what one exchange knows of the core, of all daemons, and of callers tied to
 * nodes.
 */
final class StatusCommand {
  private static final JsonType<ControlApi.StatusResponse> STATUS =
      Jsonb.builder().build().type(ControlApi.StatusResponse.class);
  private static final int CUT_OFF = 3;

  private final OptionParser parser = new OptionParser();
  private final OptionSpec<String> control =
      parser
          .accepts("control", "control addresses, separated by commas; the first that answers")
          .withRequiredArg()
          .withValuesSeparatedBy(',')
          .required();
  private final OptionSpec<Void> json = parser.accepts("json", "prints JSON");

  int run(final String[] words, final PrintStream out) throws InterruptedException {
    final OptionSet options = parser.parse(words);
    if (!options.nonOptionArguments().isEmpty()) {
      throw new WeldpointException(
          WeldpointException.Kind.USAGE,
          "status takes --control HOST:PORT,... and no further words");
    }
    final String text = new ControlClient(options.valuesOf(control)).call("status.read", "", "");
    final ControlApi.StatusResponse answer = STATUS.fromJson(text);
    if (options.has(json)) {
      out.println(text);
    } else {
      print(answer, out);
    }
    return answer.settled() ? 0 : CUT_OFF;
  }

  private static void print(final ControlApi.StatusResponse answer, final PrintStream out) {
    out.printf(
        "exchange %s: a majority was heard of %s; configuration %s, evacuated %s%n",
        answer.exchange(),
        answer.settled() ? answer.majorityAgeMs() + " ms ago" : "too long ago or never",
        answer.version(),
        answer.evacuated());
    out.printf("roster %d: %s%n", answer.roster(), answer.voters());
    out.printf("store of %s: %s%n", answer.exchange(), answer.disk());
    out.printf(
        "upstreams: %d registered, %d of them silent%n", answer.upstreams(), answer.suspects());
    answer
        .daemons()
        .forEach(
            one ->
                out.printf(
                    "  %-12s %-16s configuration %-9s mark %-6d heard of %s%n",
                    one.program(),
                    one.address(),
                    one.version(),
                    one.mark(),
                    one.heardMs() < 0 ? "never" : one.heardMs() + " ms ago"));
    for (final ControlApi.KeyRangeStatus range :
        answer.keys() == null ? List.<ControlApi.KeyRangeStatus>of() : answer.keys()) {
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
    if (!answer.placements().isEmpty()) {
      out.printf("placements kept by %s%n", answer.keeper().isEmpty() ? "nobody" : answer.keeper());
      answer
          .placements()
          .forEach(
              one ->
                  out.printf(
                      "  %s: epoch %d of %d nodes%s%n",
                      one.service(),
                      one.epoch(),
                      one.nodes(),
                      one.prepared() ? ", the next of " + one.nextNodes() + " prepared" : ""));
      answer
          .writes()
          .forEach(one -> out.printf("  tied writes %s: %d%n", one.outcome(), one.count()));
    }
  }
}
