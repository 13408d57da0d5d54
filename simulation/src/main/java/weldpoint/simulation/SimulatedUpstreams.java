package weldpoint.simulation;

import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Upstreams that beat, drain and sign off as the pages say; some crash. */
final class SimulatedUpstreams {
  private static final long BEAT_MILLIS = 1500;
  private static final long DRAIN_MILLIS = 2500;
  private static final String[] ZONES = {"a", "b", "c"};

  private final class SimulatedUpstream {
    final String id;
    final String address;
    final String zone;
    long sequence;
    long goodAt = -1;
    boolean draining;
    boolean leftAcked;
    boolean gone;
    String target;

    SimulatedUpstream(final int number) {
      id = "i-" + number;
      address = "10.128.0." + number + ":8080";
      zone = ZONES[number % 3];
    }

    void beat() {
      if (gone) {
        return;
      }
      final boolean drains = draining;
      final String body =
          "{\"service\":\"s\",\"address\":\""
              + address
              + "\",\"zone\":\""
              + zone
              + "\",\"version\":\"v1\",\"capacity\":4,\"state\":\""
              + (drains ? "draining" : "ready")
              + "\",\"warmupLeftMs\":0,\"callSeq\":"
              + ++sequence
              + "}";
      caller.call(
          target,
          HttpMethod.POST,
          "/api/rpc?call=instances.heartbeat&of=" + id,
          body,
          SimulatedClient.SILENCE_MILLIS,
          4000,
          () -> {},
          end -> {
            target = null;
            if (end.good()) {
              goodAt = simulation.now();
              final String named = RequestBodies.word(end.body(), "beatTarget");
              target = named == null ? null : named.substring(0, named.indexOf(':'));
              if (drains) {
                leftAcked = true;
                simulation.after(DRAIN_MILLIS, this::leave);
                return;
              }
            } else if (end.status() >= 400) {
              checker.breach(
                  simulation.now(), "a beat of " + id + " was refused with " + end.status());
            } else if (drains) {
              simulation.after(DRAIN_MILLIS, this::leave);
              return;
            }
            simulation.after(draining ? 0 : BEAT_MILLIS, this::beat);
          });
    }

    void leave() {
      caller.call(
          null,
          HttpMethod.POST,
          "/api/rpc?call=instances.deregister&of=" + id,
          "",
          SimulatedClient.SILENCE_MILLIS,
          4000,
          () -> {},
          end -> {
            gone = true;
            leftAcked |= end.good();
          });
    }
  }

  private final ControlPlaneSimulation simulation;
  private final ControlPlaneChecker checker;
  private final Random random;
  private final SimulatedClient caller;
  private final List<SimulatedUpstream> all = new ArrayList<>();
  private boolean ended;

  SimulatedUpstreams(
      final ControlPlaneSimulation simulation,
      final ControlPlaneChecker checker,
      final Random random,
      final SimulatedClient caller) {
    this.simulation = simulation;
    this.checker = checker;
    this.random = random;
    this.caller = caller;
  }

  void begin() {
    for (int count = 0; count < 4; count++) {
      born();
    }
    churn();
  }

  private void born() {
    final SimulatedUpstream one = new SimulatedUpstream(all.size() + 1);
    all.add(one);
    simulation.after(random.nextInt(1500), one::beat);
  }

  private void churn() {
    simulation.after(
        1500 + random.nextInt(3000),
        () -> {
          if (ended) {
            return;
          }
          final List<SimulatedUpstream> present =
              all.stream().filter(one -> !one.gone && !one.draining).toList();
          if (present.size() > 2) {
            final SimulatedUpstream one = present.get(random.nextInt(present.size()));
            if (random.nextInt(4) == 0) {
              one.gone = true;
            } else {
              one.draining = true;
            }
          }
          born();
          churn();
        });
  }

  /** No more come or go. */
  void end() {
    ended = true;
  }

  /**
   * In the calm at the end: a switchboard has each upstream that beats, and none that left with an
   * acknowledgement.
   */
  void check(final ControlPlaneSimulation.Machine board) {
    for (final SimulatedUpstream one : all) {
      final boolean known = board.upstreams().containsKey(one.id);
      if (one.leftAcked && known) {
        checker.breach(
            simulation.now(),
            board.address() + " still has " + one.id + ", which left with an acknowledgement");
      } else if (!one.gone
          && !one.draining
          && one.goodAt >= 0
          && simulation.now() - one.goodAt < 2 * BEAT_MILLIS
          && !known) {
        checker.breach(
            simulation.now(),
            board.address() + " lacks " + one.id + ", whose beats are acknowledged");
      }
    }
  }
}
