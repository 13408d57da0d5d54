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
 * weldpoint trial: begins, shows, moves on, holds and finishes the trial of a route's new version.
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
      parser.accepts("old", "the service of the old version").withRequiredArg();
  private final OptionSpec<String> newService =
      parser.accepts("new", "the service of the new version").withRequiredArg();
  private final OptionSpec<String> token =
      parser.accepts("token", "what testers send as Weldpoint-Trial-Token").withRequiredArg();
  private final OptionSpec<Integer> stages =
      parser
          .accepts("stages", "rising shares in per cent")
          .withRequiredArg()
          .ofType(Integer.class)
          .withValuesSeparatedBy(',');
  private final OptionSpec<Integer> leastWrites =
      parser
          .accepts("least-writes", "writes to be confirmed at each stage")
          .withRequiredArg()
          .ofType(Integer.class)
          .defaultsTo(30);
  private final OptionSpec<Double> lateAllowance =
      parser
          .accepts(
              "late-allowance",
              "held if the chance of so many late writes is below this; 0 holds at the first")
          .withRequiredArg()
          .ofType(Double.class)
          .defaultsTo(0.01);
  private final OptionSpec<String> reason =
      parser
          .accepts("reason", "why it is held")
          .withRequiredArg()
          .defaultsTo("held by an operator");
  private final OptionSpec<String> author =
      parser
          .accepts("author", "who wants it; the user's name by default")
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
          "trial cannot '" + names.get(0) + "'; it can begin, status, advance, hold and finish");
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
      print(STATUS.fromJson(response), out);
    }
    return "HELD".equals(STATUS.fromJson(response).verdict()) && action == Action.STATUS
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
