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
    void end();
  }

  private static final int DELAY_MILLIS = 150;

  /** Less than a call's longest life and the setting ownership.late-ms together. */
  private static final int STALL_MILLIS = 1500;

  private static final double DOUBLED_ANSWERS = 0.5;
  private static final double TURNED_AWAY = 0.4;

  /** The share of requests that an upstream which holds keys turns away without any trouble. */
  static final double USUALLY_TURNED_AWAY = 0.25;

  private static final int[] IDLE_MILLIS = {400, 1000, 15_000};

  /** Brings it about at a place that is drawn. */
  ActiveFault begin(final LocalFleet fleet, final Random random) {
    return switch (this) {
      case PROXY_KILL -> killed(List.of(drawn(fleet.proxies(), random)));
      case PROXY_RESTART -> terminated(drawn(fleet.proxies(), random));
      case PROXY_FREEZE -> frozen(drawn(fleet.proxies(), random));
      case REGISTRY_KILL -> killed(List.of(drawn(fleet.registries(), random)));
      case REGISTRY_FREEZE -> frozen(drawn(fleet.registries(), random));
      case STORE_KILL -> killed(List.of(drawn(fleet.stores(), random)));
      case STORE_FREEZE -> frozen(drawn(fleet.stores(), random));
      case MACHINE_KILL -> {
        final int machine = random.nextInt(fleet.stores().size());
        yield killed(List.of(fleet.registries().get(machine), fleet.stores().get(machine)));
      }
      case ALL_REGISTRIES_KILL -> killed(fleet.registries());
      case UPSTREAM_CUT -> {
        final TcpRelay relay = drawn(fleet.relays(), random);
        relay.cut(true);
        yield () -> relay.cut(false);
      }
      case UPSTREAM_DELAY -> {
        final TcpRelay relay = drawn(fleet.relays(), random);
        relay.delayMillis(DELAY_MILLIS);
        yield () -> relay.delayMillis(0);
      }
      case ANSWERS_LOST -> {
        final TcpRelay relay = drawn(fleet.relays(), random);
        relay.dropAnswers(true);
        yield () -> relay.dropAnswers(false);
      }
      case CORE_LINKS_CUT -> {
        final List<TcpRelay> relays = machineRelays(fleet, random);
        relays.forEach(relay -> relay.cut(true));
        yield () -> relays.forEach(relay -> relay.cut(false));
      }
      case CORE_LINKS_DELAY -> {
        final List<TcpRelay> relays = machineRelays(fleet, random);
        relays.forEach(relay -> relay.delayMillis(DELAY_MILLIS));
        yield () -> relays.forEach(relay -> relay.delayMillis(0));
      }
      case HOLDER_CUT -> {
        if (fleet.keyRelays().isEmpty()) {
          yield () -> {};
        }
        final TcpRelay relay = drawn(fleet.keyRelays(), random);
        relay.cut(true);
        yield () -> relay.cut(false);
      }
      case HOLDER_DRAIN -> {
        if (fleet.keyRelays().isEmpty()) {
          yield () -> {};
        }
        final int holder = random.nextInt(fleet.keyRelays().size());
        fleet.drain(holder);
        yield () -> fleet.beginLife(holder);
      }
      case ROLLING_RESTART -> {
        final Thread restarts = new Thread(() -> restartAll(fleet), "rolling-restart");
        restarts.setDaemon(true);
        restarts.start();
        yield () -> join(restarts);
      }
      case CONFIGURATION -> {
        fleet.sendNextConfiguration(
            IDLE_MILLIS[random.nextInt(IDLE_MILLIS.length)], HomeRegions.drawn(random));
        yield () -> {};
      }
      case SECOND_COPIES -> doubled(List.of(drawn(fleet.upstreams(), random)));
      case HOLDER_SECOND_COPIES -> doubled(fleet.keyHolders());
      case HOLDER_FULL -> {
        if (fleet.keyHolders().isEmpty()) {
          yield () -> {};
        }
        final RecordingUpstream holder = drawn(fleet.keyHolders(), random);
        holder.full(TURNED_AWAY);
        yield () -> holder.full(USUALLY_TURNED_AWAY);
      }
      case HOLDER_STALL -> {
        if (!fleet.keyHolders().isEmpty()) {
          drawn(fleet.keyHolders(), random).stall(STALL_MILLIS);
        }
        yield () -> {};
      }
      case PROXY_RELOAD -> {
        drawn(fleet.proxies(), random).reload();
        yield () -> {};
      }
      case LATE_FIRST_BEAT -> {
        fleet.lateFirstBeat(random);
        yield () -> {};
      }
    };
  }

  private static List<TcpRelay> machineRelays(final LocalFleet fleet, final Random random) {
    final int machine = random.nextInt(fleet.stores().size());
    return fleet.coreRelays().subList(2 * machine, 2 * machine + 2);
  }

  private static void restartAll(final LocalFleet fleet) {
    for (final DaemonProcess proxy : fleet.proxies()) {
      proxy.terminate();
      proxy.startIfDown();
    }
  }

  private static void join(final Thread thread) {
    try {
      thread.join();
    } catch (final InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
  }

  private static <T> T drawn(final List<T> those, final Random random) {
    return those.get(random.nextInt(those.size()));
  }

  private static ActiveFault doubled(final List<RecordingUpstream> upstreams) {
    upstreams.forEach(upstream -> upstream.secondCopies(DOUBLED_ANSWERS));
    return () -> upstreams.forEach(upstream -> upstream.secondCopies(0));
  }

  private static ActiveFault killed(final List<DaemonProcess> processes) {
    processes.forEach(DaemonProcess::kill);
    return () -> processes.forEach(DaemonProcess::startIfDown);
  }

  private static ActiveFault terminated(final DaemonProcess process) {
    process.terminate();
    return process::startIfDown;
  }

  private static ActiveFault frozen(final DaemonProcess process) {
    process.pause();
    return process::resume;
  }
}
