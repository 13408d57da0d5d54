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
 * The trial command: begins, shows, advances, holds and finishes the staged rollout of a new
 * version on a route. Exits with 3 if the status action finds the trial held.
 */
final class TrialCommand {
  private static final Jsonb JSON = Jsonb.builder().build();
  private static final JsonType<ControlApi.TrialStatus> STATUS =
      JSON.type(ControlApi.TrialStatus.class);
  private static final JsonType<ControlApi.TrialRequest> REQUEST =
      JSON.type(ControlApi.TrialRequest.class);
  private static final int EXIT_HELD = 3;

  private enum Action {
    BEGIN,
    STATUS,
    ADVANCE,
    HOLD,
    FINISH
  }

  private final OptionParser parser = new OptionParser();
  private final OptionSpec<String> control =
      parser
          .accepts("control", "control addresses, separated by commas")
          .withRequiredArg()
          .withValuesSeparatedBy(',')
          .required();
  private final OptionSpec<String> oldService =
      parser.accepts("old", "service that runs the old version").withRequiredArg();
  private final OptionSpec<String> newService =
      parser.accepts("new", "service that runs the new version").withRequiredArg();
  private final OptionSpec<String> token =
      parser
          .accepts("token", "value of the Weldpoint-Trial-Token header that testers send")
          .withRequiredArg();
  private final OptionSpec<Integer> stages =
      parser
          .accepts("stages", "increasing shares of traffic for the new version, in per cent")
          .withRequiredArg()
          .ofType(Integer.class)
          .withValuesSeparatedBy(',');
  private final OptionSpec<Integer> leastWrites =
      parser
          .accepts("least-writes", "confirmed writes required before the next stage")
          .withRequiredArg()
          .ofType(Integer.class)
          .defaultsTo(30);
  private final OptionSpec<Double> lateAllowance =
      parser
          .accepts(
              "late-allowance",
              "holds the trial if the probability of so many late writes by chance is below this; 0 holds at the first late write")
          .withRequiredArg()
          .ofType(Double.class)
          .defaultsTo(0.01);
  private final OptionSpec<String> reason =
      parser
          .accepts("reason", "reason for the hold")
          .withRequiredArg()
          .defaultsTo("held by an operator");
  private final OptionSpec<String> author =
      parser
          .accepts("author", "author of the change; by default the user who runs the command")
          .withRequiredArg()
          .defaultsTo(ControlClient.currentUser());
  private final OptionSpec<Void> json = parser.accepts("json", "prints JSON");

  int run(final String[] arguments, final PrintStream out) throws InterruptedException {
    final OptionSet options = parser.parse(arguments);
    final List<?> names = options.nonOptionArguments();
    if (names.size() != 2) {
      throw new WeldpointException(
          WeldpointException.Kind.USAGE,
          "trial takes an action and a route: trial begin|status|advance|hold|finish ROUTE --control HOST:PORT");
    }
    final Action action;
    try {
      action = Action.valueOf(names.get(0).toString().toUpperCase(java.util.Locale.ROOT));
    } catch (final IllegalArgumentException unknown) {
      throw new WeldpointException(
          WeldpointException.Kind.USAGE,
          "trial cannot '"
              + names.get(0)
              + "'; the actions are begin, status, advance, hold and finish");
    }
    final List<Double> shares = new ArrayList<>();
    options.valuesOf(stages).forEach(share -> shares.add(share.doubleValue()));
    final String body =
        switch (action) {
          case BEGIN ->
              REQUEST.toJson(
                  new ControlApi.TrialRequest(
                      options.valueOf(oldService),
                      options.valueOf(newService),
                      options.valueOf(token),
                      shares,
                      options.valueOf(leastWrites).doubleValue(),
                      options.valueOf(lateAllowance),
                      null));
          case HOLD ->
              REQUEST.toJson(
                  new ControlApi.TrialRequest(
                      null, null, null, null, null, null, options.valueOf(reason)));
          default -> "";
        };
    final String response =
        new ControlClient(
                options.valuesOf(control), action == Action.STATUS ? null : options.valueOf(author))
            .call(
                "trial." + action.name().toLowerCase(java.util.Locale.ROOT),
                names.get(1).toString(),
                body);
    if (options.has(json)) {
      out.println(response);
    } else {
      print(ControlClient.parse(STATUS, response), out);
    }
    return "HELD".equals(ControlClient.parse(STATUS, response).verdict()) && action == Action.STATUS
        ? EXIT_HELD
        : 0;
  }

  static void print(final ControlApi.TrialStatus status, final PrintStream out) {
    out.printf(
        "route %s, trial %d: %s%s%n",
        status.route(),
        status.number(),
        status.verdict(),
        status.reason().isEmpty() ? "" : " - " + status.reason());
    out.printf(
        "stage %d of %d (%s), shares %s, at least %d writes a stage, allowance for late ones %s%n",
        status.stage(),
        status.stages().size() - 1,
        status.stage() == 0
            ? "rehearsal: only requests with the token"
            : status.stages().get(status.stage()) + " per cent",
        status.stages(),
        status.leastWrites(),
        status.lateAllowance());
    if ("HELD".equals(status.verdict())) {
      out.printf(
          "writes sent to the new version before the hold: %d; attempts that decided it: %s%n",
          status.writesBeforeHold(), status.attempts());
    }
    out.printf(
        "%-28s %-10s %8s %9s %6s %7s %6s | %s%n",
        "", "version", "sent", "confirmed", "lost", "doubled", "late", "other requests (failed)");
    printProxy(status.total(), out);
    status.switchboards().forEach(proxy -> printProxy(proxy, out));
  }

  private static void printProxy(final ControlApi.ProxyTrialCounts proxy, final PrintStream out) {
    printVersion(proxy.switchboard(), "old", proxy.oldVersion(), out);
    printVersion("", "new", proxy.newVersion(), out);
  }

  private static void printVersion(
      final String name,
      final String version,
      final ControlApi.VersionCounts counts,
      final PrintStream out) {
    out.printf(
        "%-28s %-10s %8d %9d %6d %7d %6d | %d (%d)%n",
        name,
        version,
        counts.sent(),
        counts.confirmed(),
        counts.lost(),
        counts.doubled(),
        counts.late(),
        counts.others() + counts.othersFailed(),
        counts.othersFailed());
  }
}
