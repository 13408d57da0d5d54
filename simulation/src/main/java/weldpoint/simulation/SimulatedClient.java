package weldpoint.simulation;

import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Somebody outside who calls doors as the pages say: a second of silence, then another daemon, with
 * a pause that grows.
 */
final class SimulatedClient {
  static final long SILENCE_MILLIS = 1000;
  private static final int MOST_REDIRECTS = 2;
  private static final int MOST_REFUSALS = 3;

  /**
   * How a call ended: the status of the clear answer or 0, who gave it, when that try and the first
   * were sent.
   */
  record End(int status, String body, String by, long sentAt, long firstSentAt) {
    boolean good() {
      return status >= 200 && status < 300;
    }
  }

  private final ControlPlaneSimulation simulation;
  private final Random random;
  private final Supplier<List<String>> list;
  private double loss;

  SimulatedClient(
      final ControlPlaneSimulation simulation,
      final Random random,
      final Supplier<List<String>> list) {
    this.simulation = simulation;
    this.random = random;
    this.list = list;
  }

  /** Loses this share of the answers on their way. */
  void loses(final double share) {
    loss = share;
  }

  /**
   * Calls until there is a clear answer or the time is over; answers that come after their second
   * are not heard.
   */
  void call(
      final String first,
      final HttpMethod method,
      final String uri,
      final String body,
      final long silence,
      final long patience,
      final Runnable uponTry,
      final Consumer<End> then) {
    final long begunAt = simulation.now();
    attempt(
        first == null ? other(null) : first,
        uri,
        0,
        0,
        0,
        method,
        uri,
        body,
        silence,
        begunAt,
        begunAt + patience,
        uponTry,
        then);
  }

  private String other(final String but) {
    final List<String> addresses = new ArrayList<>(list.get());
    if (addresses.size() > 1) {
      addresses.remove(but);
    }
    return addresses.isEmpty() ? but : addresses.get(random.nextInt(addresses.size()));
  }

  /** Follows a redirect; should that fail too, the call goes on as it was. */
  private void redirected(
      final String location,
      final int tries,
      final int redirects,
      final int refusals,
      final HttpMethod method,
      final String uri,
      final String body,
      final long silence,
      final long begunAt,
      final long until,
      final Runnable uponTry,
      final Consumer<End> then) {
    attempt(
        RequestBodies.host(location),
        RequestBodies.path(location, uri),
        tries,
        redirects,
        refusals,
        method,
        uri,
        body,
        silence,
        begunAt,
        until,
        uponTry,
        then);
  }

  private void attempt(
      final String to,
      final String path,
      final int tries,
      final int redirects,
      final int refusals,
      final HttpMethod method,
      final String uri,
      final String body,
      final long silence,
      final long begunAt,
      final long until,
      final Runnable uponTry,
      final Consumer<End> then) {
    final long sentAt = simulation.now();
    final boolean[] done = new boolean[1];
    uponTry.run();
    final Consumer<Integer> again =
        count -> {
          final long pause = Math.min(1000, 50L << Math.min(5, tries)) + random.nextInt(50);
          if (simulation.now() + pause >= until) {
            then.accept(new End(0, "", to, sentAt, begunAt));
          } else {
            simulation.after(
                pause,
                () ->
                    attempt(
                        other(to), uri, tries + 1, 0, count, method, uri, body, silence, begunAt,
                        until, uponTry, then));
          }
        };
    if (to == null) {
      again.accept(refusals);
      return;
    }
    final ControlPlaneSimulation.PendingCall calling =
        simulation.http(
            to,
            method,
            path,
            body,
            reply -> {
              if (done[0] || loss > 0 && random.nextDouble() < loss) {
                return;
              }
              done[0] = true;
              final int status = reply.status();
              if (status == 307 && redirects < MOST_REDIRECTS) {
                redirected(
                    reply.location(),
                    tries,
                    redirects + 1,
                    refusals,
                    method,
                    uri,
                    body,
                    silence,
                    begunAt,
                    until,
                    uponTry,
                    then);
              } else if (status < 200
                  || status >= 500
                  || status == 307
                  || status == 408
                  || status == 429) {
                again.accept(refusals);
              } else if (status >= 400
                  && status != 400
                  && status != 404
                  && status != 409
                  && status != 410
                  && status != 412
                  && status != 413
                  && status != 422
                  && refusals + 1 < MOST_REFUSALS) {
                again.accept(refusals + 1);
              } else {
                then.accept(new End(status, reply.body(), to, sentAt, begunAt));
              }
            });
    simulation.after(
        silence,
        () -> {
          if (!done[0]) {
            done[0] = true;
            calling.giveUp();
            again.accept(refusals);
          }
        });
  }
}
