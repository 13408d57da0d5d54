package weldpoint.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;

/** One trouble of a day: what happens, when, for how long, and a seed for what it picks. */
public record Fault(Kind kind, long atMillis, long forMillis, long seed) {
  /** How long a machine that is started again takes at most until its processes run. */
  private static final int START_MILLIS = 1200;

  /** The troubles that touch the control side. */
  public enum Kind {
    /** Machines are killed, or lose power. */
    NODE_KILL {
      @Override
      void strike(final SimulationRun day, final Fault fault, final Random random) {
        final boolean power = random.nextBoolean();
        for (final ControlPlaneSimulation.Machine machine :
            day.draw(day.all(), 1 + random.nextInt(2), random)) {
          day.down(machine, power, power ? fault.forMillis : 200 + random.nextInt(START_MILLIS));
        }
      }
    },
    /** All core machines are killed, or lose power. */
    HERD_KILL {
      @Override
      void strike(final SimulationRun day, final Fault fault, final Random random) {
        final boolean power = random.nextBoolean();
        day.simulation()
            .core()
            .forEach(machine -> day.down(machine, power, 300 + random.nextInt(START_MILLIS)));
      }
    },
    /** The machines are stopped in order, one after the other, and start again. */
    ROLL_TERM {
      @Override
      void strike(final SimulationRun day, final Fault fault, final Random random) {
        final List<ControlPlaneSimulation.Machine> order =
            new ArrayList<>(random.nextBoolean() ? day.simulation().core() : day.all());
        final long gap = Math.max(600, fault.forMillis / order.size());
        for (int index = 0; index < order.size(); index++) {
          final ControlPlaneSimulation.Machine machine = order.get(index);
          day.simulation()
              .after(index * gap, () -> day.restart(machine, 100 + random.nextInt(START_MILLIS)));
        }
      }
    },
    /**
     * One core machine is gone for good, and an empty one comes at another address; planned, the
     * new one comes first.
     */
    REPLACE_CORE {
      @Override
      void strike(final SimulationRun day, final Fault fault, final Random random) {
        day.replace(random.nextBoolean(), 500 + random.nextInt(1500), random);
      }
    },
    /**
     * The machine that acknowledges the next change, and perhaps another, loses power within 4 ms.
     */
    AFTER_ACK_KILL {
      @Override
      void strike(final SimulationRun day, final Fault fault, final Random random) {
        final int count = 1 + random.nextInt(2);
        final boolean power = random.nextInt(4) > 0;
        day.uponAck(
            by ->
                day.simulation()
                    .after(
                        random.nextInt(5),
                        () ->
                            day.with(by, count, random)
                                .forEach(
                                    machine ->
                                        day.down(
                                            machine,
                                            power,
                                            300 + random.nextInt((int) fault.forMillis + 1)))));
      }
    },
    /** The same, and the disks are lost; the other core machines may lose power too. */
    AFTER_ACK_WIPE {
      @Override
      void strike(final SimulationRun day, final Fault fault, final Random random) {
        final int count = 1 + random.nextInt(2);
        final boolean others = random.nextBoolean();
        day.uponAck(
            by ->
                day.simulation()
                    .after(
                        random.nextInt(5),
                        () -> {
                          final List<ControlPlaneSimulation.Machine> hit =
                              day.with(by, Math.min(count, day.mayLose()), random);
                          hit.forEach(
                              machine ->
                                  day.wiped(
                                      machine, 300 + random.nextInt((int) fault.forMillis + 1)));
                          if (others && !hit.isEmpty()) {
                            day.simulation()
                                .core()
                                .forEach(
                                    machine ->
                                        day.down(
                                            machine, true, 300 + random.nextInt(START_MILLIS)));
                          }
                        }));
      }
    },
    /** A disk takes no more bytes. */
    DISK_FULL {
      @Override
      void strike(final SimulationRun day, final Fault fault, final Random random) {
        for (final ControlPlaneSimulation.Machine machine :
            day.draw(day.simulation().core(), 1, random)) {
          machine.disk.full++;
          day.simulation().after(fault.forMillis, () -> machine.disk.full--);
        }
      }
    },
    /** A disk takes thirty times as long. */
    DISK_SLOW {
      @Override
      void strike(final SimulationRun day, final Fault fault, final Random random) {
        for (final ControlPlaneSimulation.Machine machine :
            day.draw(day.simulation().core(), 1 + random.nextInt(2), random)) {
          machine.disk.syncMillis *= 30;
          day.simulation().after(fault.forMillis, () -> machine.disk.syncMillis /= 30);
        }
      }
    },
    /** A disk answers nothing. */
    DISK_STALL {
      @Override
      void strike(final SimulationRun day, final Fault fault, final Random random) {
        for (final ControlPlaneSimulation.Machine machine :
            day.draw(day.simulation().core(), 1, random)) {
          machine.disk.stalled++;
          day.simulation().after(fault.forMillis, () -> machine.disk.stalled--);
        }
      }
    },
    /** The time of day jumps, and jumps back. */
    CLOCK_STEP {
      @Override
      void strike(final SimulationRun day, final Fault fault, final Random random) {
        final long step = random.nextBoolean() ? 2000 : -2000;
        for (final ControlPlaneSimulation.Machine machine : day.draw(day.all(), 3, random)) {
          day.simulation().step(machine, step);
          day.simulation().after(fault.forMillis, () -> day.simulation().step(machine, -step));
        }
      }
    },
    /** A zone loses power; its machines come back within 1.5 s of each other. */
    ZONE_LOSS {
      @Override
      void strike(final SimulationRun day, final Fault fault, final Random random) {
        day.zone(random)
            .forEach(machine -> day.down(machine, true, fault.forMillis + random.nextInt(1500)));
      }
    },
    /** A zone is cut off from the others. */
    ZONE_CUT {
      @Override
      void strike(final SimulationRun day, final Fault fault, final Random random) {
        final List<ControlPlaneSimulation.Machine> inside = day.zone(random);
        for (final ControlPlaneSimulation.Machine machine : day.all()) {
          if (!inside.contains(machine)) {
            inside.forEach(one -> day.cut(one, machine, true, true, fault.forMillis));
          }
        }
      }
    },
    /**
     * Core machines are cut off from the other core machines, at times in one direction, with new
     * seeds, or restarted.
     */
    CORE_CUT {
      @Override
      void strike(final SimulationRun day, final Fault fault, final Random random) {
        final List<ControlPlaneSimulation.Machine> off =
            day.draw(day.simulation().core(), 1 + random.nextInt(2), random);
        final int how = random.nextInt(4);
        final boolean towards = how != 1 || random.nextBoolean();
        for (final ControlPlaneSimulation.Machine machine : day.simulation().core()) {
          if (!off.contains(machine)) {
            off.forEach(
                one -> day.cut(one, machine, towards, how != 1 || !towards, fault.forMillis));
          }
        }
        if (how == 2) {
          day.newSeeds(off);
          final List<ControlPlaneSimulation.Machine> others = day.draw(day.all(), 2, random);
          others.removeAll(off);
          others.forEach(machine -> day.down(machine, false, 200 + random.nextInt(START_MILLIS)));
        } else if (how == 3) {
          off.forEach(machine -> day.down(machine, false, 200 + random.nextInt(START_MILLIS)));
          day.simulation()
              .after(
                  fault.forMillis / 2,
                  () ->
                      day.simulation().core().stream()
                          .filter(machine -> !off.contains(machine))
                          .forEach(
                              machine ->
                                  day.down(machine, false, 200 + random.nextInt(START_MILLIS))));
        }
      }
    },
    /** Switchboards are cut off from all core machines. */
    NODE_CUT {
      @Override
      void strike(final SimulationRun day, final Fault fault, final Random random) {
        for (final ControlPlaneSimulation.Machine board :
            day.draw(day.simulation().boards(), 2, random)) {
          day.simulation()
              .core()
              .forEach(machine -> day.cut(board, machine, true, true, fault.forMillis));
        }
      }
    },
    /** Machines stand still. */
    NODE_FREEZE {
      @Override
      void strike(final SimulationRun day, final Fault fault, final Random random) {
        for (final ControlPlaneSimulation.Machine machine :
            day.draw(
                random.nextInt(4) == 0 ? day.all() : day.simulation().core(),
                1 + random.nextInt(2),
                random)) {
          day.simulation().freeze(machine, true);
          day.simulation().after(fault.forMillis, () -> day.simulation().freeze(machine, false));
        }
      }
    },
    /** Machines run slowly. */
    NODE_SLOW {
      @Override
      void strike(final SimulationRun day, final Fault fault, final Random random) {
        final long slow = 5 + random.nextInt(60);
        for (final ControlPlaneSimulation.Machine machine :
            day.draw(day.all(), 1 + random.nextInt(2), random)) {
          day.simulation().slow(machine, slow);
          day.simulation().after(fault.forMillis, () -> day.simulation().slow(machine, -slow));
        }
      }
    },
    /** Connections are reset. */
    RESET_CONNS {
      @Override
      void strike(final SimulationRun day, final Fault fault, final Random random) {
        for (final ControlPlaneSimulation.Machine machine : day.draw(day.all(), 3, random)) {
          day.simulation().reset(machine, 0.5, random);
        }
      }
    },
    /** The settings name other seeds. */
    SEED_TURNOVER {
      @Override
      void strike(final SimulationRun day, final Fault fault, final Random random) {
        day.newSeeds(day.draw(day.simulation().core(), 3, random));
      }
    },
    /** Most acknowledgements to the operator are lost. */
    ACK_LOST {
      @Override
      void strike(final SimulationRun day, final Fault fault, final Random random) {
        day.loseAcks(1);
        day.simulation().after(fault.forMillis, () -> day.loseAcks(-1));
      }
    },
    /** Machines get SIGHUP with the settings they have. */
    HUP {
      @Override
      void strike(final SimulationRun day, final Fault fault, final Random random) {
        day.draw(day.all(), 3, random)
            .forEach(machine -> day.simulation().seeds(machine, machine.seeds));
      }
    };

    /** Its name in days. */
    public String word() {
      return name().toLowerCase(Locale.ROOT);
    }

    abstract void strike(SimulationRun day, Fault fault, Random random);
  }

  /** Brings the trouble about. */
  void strike(final SimulationRun day) {
    kind.strike(day, this, new Random(seed));
  }

  @Override
  public String toString() {
    return kind.word() + "@" + atMillis + "+" + forMillis + "#" + seed;
  }
}
