package weldpoint.simulation;

import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Operators as the pages have them: changes, races under one number, old and bad ones, evacuations,
 * reading back; up to eight orders under way.
 */
final class SimulatedOperators {
  private static final int MOST_UNDER_WAY = 8;
  private static final long ACK_DEADLINE_MILLIS = 5000;
  private static final String[] FLAWS = {
    "cut_short", "unknown_service", "no_timeout", "no_attempts"
  };

  private record Change(long version, String tag, String flaw) {}

  private final ControlPlaneSimulation simulation;
  private final ControlPlaneChecker checker;
  private final SimulatedClient caller;
  private final Random random;
  private final List<String> zones;
  private final List<Change> past = new ArrayList<>();
  private final List<Consumer<String>> uponAck = new ArrayList<>();
  private long version;
  private int underWay;
  private int tags;
  private boolean ended;

  SimulatedOperators(
      final ControlPlaneSimulation simulation,
      final ControlPlaneChecker checker,
      final Random random,
      final SimulatedClient caller,
      final List<String> zones) {
    this.simulation = simulation;
    this.checker = checker;
    this.random = random;
    this.caller = caller;
    this.zones = zones;
  }

  /**
   * Runs something once, with the address of the daemon that gives the next acknowledgement of a
   * change.
   */
  void uponAck(final Consumer<String> deed) {
    uponAck.add(deed);
  }

  /** The first configuration, sent until it is taken; then the day's work. */
  void begin() {
    send(
        next(""),
        60_000,
        end -> {
          if (end.good()) {
            work();
            for (final String zone : zones) {
              simulation.after(1000 + random.nextInt(3000), () -> evacuate(zone, true));
            }
            read();
          }
        });
  }

  void end() {
    ended = true;
  }

  /** Loses this share of the answers on their way. */
  void loses(final double share) {
    caller.loses(share);
  }

  private Change next(final String flaw) {
    version += 1 + random.nextInt(4);
    return new Change(version, "t" + ++tags, flaw);
  }

  /** Sends a change; whoever waits is told how it ended. */
  private void send(
      final Change change, final long patience, final Consumer<SimulatedClient.End> then) {
    underWay++;
    if (change.flaw.isEmpty()) {
      past.add(change);
    }
    caller.call(
        null,
        HttpMethod.POST,
        "/api/rpc?call=configuration.replace",
        RequestBodies.configuration(change.version, change.tag, change.flaw),
        SimulatedClient.SILENCE_MILLIS,
        patience,
        () -> checker.sent(change.version, change.tag, change.flaw.isEmpty(), simulation.now()),
        end -> {
          underWay--;
          if (end.good()) {
            checker.acked(change.version, change.tag, simulation.now());
            final List<Consumer<String>> due = new ArrayList<>(uponAck);
            uponAck.clear();
            due.forEach(one -> one.accept(end.by()));
          } else if (end.status() >= 400) {
            checker.refused(change.version, change.tag, end.status(), simulation.now());
          }
          then.accept(end);
        });
  }

  private void work() {
    if (ended) {
      return;
    }
    if (underWay < MOST_UNDER_WAY) {
      final Consumer<SimulatedClient.End> nothing = end -> {};
      switch (random.nextInt(10)) {
        case 0 -> {
          final Change one = next("");
          send(one, 15_000, nothing);
          send(new Change(one.version, "t" + ++tags, ""), 15_000, nothing);
        }
        case 1 -> send(past.get(random.nextInt(past.size())), 15_000, nothing);
        case 2 ->
            send(
                new Change(past.get(random.nextInt(past.size())).version, "t" + ++tags, ""),
                15_000,
                nothing);
        case 3 -> send(next(FLAWS[random.nextInt(FLAWS.length)]), 15_000, nothing);
        default -> send(next(""), 15_000, nothing);
      }
    }
    simulation.after(random.nextInt(4) == 0 ? 5 : 150 + random.nextInt(900), this::work);
  }

  private void evacuate(final String zone, final boolean on) {
    if (ended) {
      return;
    }
    order(
        zone,
        on,
        end ->
            simulation.after(200 + random.nextInt(2500), () -> evacuate(zone, end.good() != on)));
  }

  private void order(
      final String zone, final boolean on, final Consumer<SimulatedClient.End> then) {
    final int order = checker.ordered(zone, on, simulation.now());
    caller.call(
        null,
        HttpMethod.POST,
        "/api/rpc?call=evacuation." + (on ? "begin" : "finish") + "&of=" + zone,
        "",
        SimulatedClient.SILENCE_MILLIS,
        ACK_DEADLINE_MILLIS,
        () -> {},
        end -> {
          checker.ended(zone, order, end.good(), simulation.now());
          if (end.status() >= 400) {
            checker.breach(
                simulation.now(),
                "the order on zone " + zone + " was refused with " + end.status());
          }
          then.accept(end);
        });
  }

  private void read() {
    if (!ended) {
      readOnce(2000, end -> simulation.after(100 + random.nextInt(900), this::read));
    }
  }

  /** Reads the configuration back. */
  void readOnce(final long patience, final Consumer<SimulatedClient.End> then) {
    caller.call(
        null,
        HttpMethod.POST,
        "/api/rpc?call=configuration.read",
        "",
        SimulatedClient.SILENCE_MILLIS,
        patience,
        () -> {},
        end -> {
          if (end.good()) {
            checker.read(
                RequestBodies.version(end.body()),
                RequestBodies.tag(end.body()),
                end.sentAt(),
                simulation.now());
          } else if (end.status() == 404) {
            checker.readNothing(end.sentAt(), simulation.now());
          }
          then.accept(end);
        });
  }

  /** One change more, when all is calm. */
  void last(final Consumer<SimulatedClient.End> then) {
    send(next(""), ACK_DEADLINE_MILLIS, then);
  }
}
