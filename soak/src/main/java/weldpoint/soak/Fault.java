package weldpoint.soak;

import java.util.List;
import java.util.Random;

/** A trouble that a soak brings about and takes back. */
enum Fault {
  /** A proxy is killed and started again. */
  PROXY_KILL,
  /** A proxy is asked to end and started again. */
  PROXY_RESTART,
  /** A proxy is frozen. */
  PROXY_FREEZE,
  /** A registry is killed and started again. */
  REGISTRY_KILL,
  /** A registry is frozen. */
  REGISTRY_FREEZE,
  /** A state store is killed and started again. */
  STORE_KILL,
  /** A state store is frozen. */
  STORE_FREEZE,
  /** A core machine's registry and state store are killed together. */
  MACHINE_KILL,
  /** All registries are killed at once. */
  ALL_REGISTRIES_KILL,
  /** The bytes between proxies and an upstream are held up. */
  UPSTREAM_CUT,
  /** The bytes between proxies and an upstream are late. */
  UPSTREAM_DELAY,
  /** An upstream's answers are lost on their way. */
  ANSWERS_LOST,
  /** What other daemons send to a core machine is held up, and lost with its connections. */
  CORE_LINKS_CUT,
  /** What other daemons send to a core machine is late. */
  CORE_LINKS_DELAY,
  /** An upstream that holds keys cannot be reached. */
  HOLDER_CUT,
  /** An upstream that holds keys leaves in order, and comes back. */
  HOLDER_DRAIN,
  /** All proxies are asked to end, one after the other, and started again. */
  ROLLING_RESTART,
  /** A configuration is sent, with other idle times and other home regions. */
  CONFIGURATION,
  /** An upstream gives a share of its answers twice, at once or late. */
  SECOND_COPIES,
  /** All upstreams that hold keys give a share of their answers twice, at once or late. */
  HOLDER_SECOND_COPIES,
  /** An upstream that holds keys turns a share of its requests away, since it is full. */
  HOLDER_FULL,
  /**
   * An upstream that holds keys stands still, and then reads the calls that have come meanwhile.
   */
  HOLDER_STALL,
  /** A proxy is told that its settings have changed. */
  PROXY_RELOAD,
  /** The first beat of a life that has ended comes late, from an upstream's address. */
  LATE_FIRST_BEAT;

  /** One trouble that is in force. */
  interface ActiveFault {
    /** Takes the trouble back. */
    void revert();
  }

  private static final int LINK_DELAY_MILLIS = 150;

  /** Less than a call's longest life and the setting ownership.late-ms together. */
  private static final int STALL_MILLIS = 1500;

  private static final double DUPLICATED_RESPONSE_SHARE = 0.5;
  private static final double REJECTED_SHARE_WHEN_FULL = 0.4;

  /** The share of requests that an upstream which holds keys turns away without any trouble. */
  static final double BASELINE_REJECTED_SHARE = 0.25;

  private static final int[] IDLE_TIMEOUTS_MILLIS = {400, 1000, 15_000};

  /** Brings it about at a place that is drawn. */
  ActiveFault inject(final LocalFleet fleet, final Random random) {
    return switch (this) {
      case PROXY_KILL -> kill(List.of(pick(fleet.proxies(), random)));
      case PROXY_RESTART -> terminate(pick(fleet.proxies(), random));
      case PROXY_FREEZE -> freeze(pick(fleet.proxies(), random));
      case REGISTRY_KILL -> kill(List.of(pick(fleet.registries(), random)));
      case REGISTRY_FREEZE -> freeze(pick(fleet.registries(), random));
      case STORE_KILL -> kill(List.of(pick(fleet.stores(), random)));
      case STORE_FREEZE -> freeze(pick(fleet.stores(), random));
      case MACHINE_KILL -> {
        final int machine = random.nextInt(fleet.stores().size());
        yield kill(List.of(fleet.registries().get(machine), fleet.stores().get(machine)));
      }
      case ALL_REGISTRIES_KILL -> kill(fleet.registries());
      case UPSTREAM_CUT -> {
        final TcpRelay relay = pick(fleet.upstreamRelays(), random);
        relay.blocked(true);
        yield () -> relay.blocked(false);
      }
      case UPSTREAM_DELAY -> {
        final TcpRelay relay = pick(fleet.upstreamRelays(), random);
        relay.delayMillis(LINK_DELAY_MILLIS);
        yield () -> relay.delayMillis(0);
      }
      case ANSWERS_LOST -> {
        final TcpRelay relay = pick(fleet.upstreamRelays(), random);
        relay.closeOnResponse(true);
        yield () -> relay.closeOnResponse(false);
      }
      case CORE_LINKS_CUT -> {
        final List<TcpRelay> relays = coreMachineRelays(fleet, random);
        relays.forEach(relay -> relay.blocked(true));
        yield () -> relays.forEach(relay -> relay.blocked(false));
      }
      case CORE_LINKS_DELAY -> {
        final List<TcpRelay> relays = coreMachineRelays(fleet, random);
        relays.forEach(relay -> relay.delayMillis(LINK_DELAY_MILLIS));
        yield () -> relays.forEach(relay -> relay.delayMillis(0));
      }
      case HOLDER_CUT -> {
        if (fleet.keyHolderRelays().isEmpty()) {
          yield () -> {};
        }
        final TcpRelay relay = pick(fleet.keyHolderRelays(), random);
        relay.blocked(true);
        yield () -> relay.blocked(false);
      }
      case HOLDER_DRAIN -> {
        if (fleet.keyHolderRelays().isEmpty()) {
          yield () -> {};
        }
        final int leaseHolder = random.nextInt(fleet.keyHolderRelays().size());
        fleet.drainKeyHolder(leaseHolder);
        yield () -> fleet.restartKeyHolder(leaseHolder);
      }
      case ROLLING_RESTART -> {
        final Thread restarts = new Thread(() -> restartAllProxies(fleet), "rolling-restart");
        restarts.setDaemon(true);
        restarts.start();
        yield () -> join(restarts);
      }
      case CONFIGURATION -> {
        fleet.sendNextConfiguration(
            IDLE_TIMEOUTS_MILLIS[random.nextInt(IDLE_TIMEOUTS_MILLIS.length)], HomeRegions.pick(random));
        yield () -> {};
      }
      case SECOND_COPIES -> duplicateResponses(List.of(pick(fleet.upstreams(), random)));
      case HOLDER_SECOND_COPIES -> duplicateResponses(fleet.keyHolders());
      case HOLDER_FULL -> {
        if (fleet.keyHolders().isEmpty()) {
          yield () -> {};
        }
        final RecordingUpstream leaseHolder = pick(fleet.keyHolders(), random);
        leaseHolder.rejectedShare(REJECTED_SHARE_WHEN_FULL);
        yield () -> leaseHolder.rejectedShare(BASELINE_REJECTED_SHARE);
      }
      case HOLDER_STALL -> {
        if (!fleet.keyHolders().isEmpty()) {
          pick(fleet.keyHolders(), random).stall(STALL_MILLIS);
        }
        yield () -> {};
      }
      case PROXY_RELOAD -> {
        pick(fleet.proxies(), random).reload();
        yield () -> {};
      }
      case LATE_FIRST_BEAT -> {
        fleet.sendLateFirstHeartbeat(random);
        yield () -> {};
      }
    };
  }

  private static List<TcpRelay> coreMachineRelays(final LocalFleet fleet, final Random random) {
    final int machine = random.nextInt(fleet.stores().size());
    return fleet.coreRelays().subList(2 * machine, 2 * machine + 2);
  }

  private static void restartAllProxies(final LocalFleet fleet) {
    for (final DaemonProcess proxy : fleet.proxies()) {
      proxy.terminate();
      proxy.startIfDown();
    }
  }

  private static void join(final Thread thread) {
    try {
      thread.join();
    } catch (final InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static <T> T pick(final List<T> candidates, final Random random) {
    return candidates.get(random.nextInt(candidates.size()));
  }

  private static ActiveFault duplicateResponses(final List<RecordingUpstream> upstreams) {
    upstreams.forEach(upstream -> upstream.duplicatedResponseShare(DUPLICATED_RESPONSE_SHARE));
    return () -> upstreams.forEach(upstream -> upstream.duplicatedResponseShare(0));
  }

  private static ActiveFault kill(final List<DaemonProcess> processes) {
    processes.forEach(DaemonProcess::kill);
    return () -> processes.forEach(DaemonProcess::startIfDown);
  }

  private static ActiveFault terminate(final DaemonProcess process) {
    process.terminate();
    return process::startIfDown;
  }

  private static ActiveFault freeze(final DaemonProcess process) {
    process.pause();
    return process::resume;
  }
}
