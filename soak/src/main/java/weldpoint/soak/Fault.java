package weldpoint.soak;

import java.util.List;
import java.util.Random;

/**
 * The kinds of fault that a soak injects and later reverts. The names of the constants are printed
 * in the line that {@link SoakCommand} prints for each seed.
 */
enum Fault {
  /** Kills a proxy, and starts it again when reverted. */
  PROXY_KILL,
  /** Shuts a proxy down in order (SIGTERM), and starts it again when reverted. */
  PROXY_RESTART,
  /** Freezes a proxy (SIGSTOP). */
  PROXY_FREEZE,
  /** Kills a registry, and starts it again when reverted. */
  REGISTRY_KILL,
  /** Freezes a registry (SIGSTOP). */
  REGISTRY_FREEZE,
  /** Kills a state store, and starts it again when reverted. */
  STORE_KILL,
  /** Freezes a state store (SIGSTOP). */
  STORE_FREEZE,
  /** Kills the registry and the state store of one core machine. */
  MACHINE_KILL,
  /** Kills all registries. */
  ALL_REGISTRIES_KILL,
  /** Holds back all bytes between the proxies and one upstream; none are lost. */
  UPSTREAM_CUT,
  /** Delays the bytes between the proxies and one upstream. */
  UPSTREAM_DELAY,
  /** Closes connections to one upstream when a response comes back over them. */
  ANSWERS_LOST,
  /**
   * Holds back what other daemons send to a core machine; the bytes held back are lost, since their
   * connections are closed afterwards.
   */
  CORE_LINKS_CUT,
  /** Delays the bytes between other daemons and one core machine. */
  CORE_LINKS_DELAY,
  /** Makes an upstream of the partitioned service unreachable. */
  HOLDER_CUT,
  /** Drains an upstream of the partitioned service, and restarts it when reverted. */
  HOLDER_DRAIN,
  /** Restarts all proxies one after the other (SIGTERM and start). */
  ROLLING_RESTART,
  /** Sends a new configuration with another idle timeout and other home regions. */
  CONFIGURATION,
  /** Makes an upstream send a share of its responses twice, immediately or late. */
  SECOND_COPIES,
  /**
   * Makes all upstreams of the partitioned service send a share of their responses twice,
   * immediately or late.
   */
  HOLDER_SECOND_COPIES,
  /** Makes an upstream of the partitioned service reject a share of its requests as full. */
  HOLDER_FULL,
  /**
   * Stalls an upstream of the partitioned service, which then handles the calls that arrived
   * meanwhile.
   */
  HOLDER_STALL,
  /** Makes a proxy reload its settings (SIGHUP). */
  PROXY_RELOAD,
  /**
   * Sends the delayed first heartbeat of an instance that has ended, from an upstream's address.
   */
  LATE_FIRST_BEAT;

  /** A fault that has been injected. */
  interface ActiveFault {
    /** Reverts the fault. */
    void revert();
  }

  private static final int LINK_DELAY_MILLIS = 150;

  /** Less than a call's longest lifetime plus the setting {@code ownership.late-ms}. */
  private static final int STALL_MILLIS = 1500;

  private static final double DUPLICATED_RESPONSE_SHARE = 0.5;
  private static final double REJECTED_SHARE_WHEN_FULL = 0.4;

  /** Share of requests that an upstream of the partitioned service rejects without any fault. */
  static final double BASELINE_REJECTED_SHARE = 0.25;

  private static final int[] IDLE_TIMEOUTS_MILLIS = {400, 1000, 15_000};

  /** Injects the fault into a randomly chosen part of the fleet. */
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
            IDLE_TIMEOUTS_MILLIS[random.nextInt(IDLE_TIMEOUTS_MILLIS.length)],
            HomeRegions.pick(random));
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
