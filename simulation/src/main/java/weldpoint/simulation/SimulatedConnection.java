package weldpoint.simulation;

import java.util.ArrayDeque;
import weldpoint.transport.Message;
import weldpoint.transport.Protocol;
import weldpoint.transport.Serializer;

/**
 * One connection between two programs, as TCP has it: in order, bound to the two lives at its ends.
 * What meets a cut waits and arrives once the cut is healed, unless the line was given up
 * meanwhile; an end that hears nothing closes it.
 */
final class SimulatedConnection {
  private static final long RING_MILLIS = 500;
  private static final long SILENCE_MILLIS = 1900;
  private static final Object OPEN = new Object();
  private static final Object CLOSE = new Object();

  /** What one end does with what comes. */
  interface Receiver {
    default void opened(final SimulatedConnection connection) {}

    void heard(SimulatedConnection connection, Message message);

    default void closed(final SimulatedConnection connection) {}
  }

  private record Packet(Object marker, Class<?> kind, byte[] bytes) {}

  /** One end. */
  private final class Endpoint {
    final ControlPlaneSimulation.Incarnation life;
    final Receiver receiver;
    boolean open = true;
    boolean greeted;
    long heardAt;
    long ringAt;
    long arrivesAt;
    final ArrayDeque<Packet> held = new ArrayDeque<>();

    Endpoint(final ControlPlaneSimulation.Incarnation life, final Receiver receiver) {
      this.life = life;
      this.receiver = receiver;
      heardAt = simulation.now();
      ringAt = simulation.now();
    }

    Endpoint other() {
      return this == dialler ? acceptor : dialler;
    }

    void put(final Packet packet) {
      final Endpoint to = other();
      if (!held.isEmpty() || simulation.cut(life.machine(), to.life.machine())) {
        held.add(packet);
        return;
      }
      arrive(packet);
    }

    private void arrive(final Packet packet) {
      final Endpoint to = other();
      arrivesAt =
          Math.max(
              arrivesAt, simulation.now() + simulation.delay(life.machine(), to.life.machine()));
      simulation.after(arrivesAt - simulation.now(), () -> to.arrived(packet));
    }

    /** The cut on the way from here is healed: what waited is sent again. */
    void healed() {
      if (!held.isEmpty()) {
        simulation.after(
            10 + simulation.random().nextInt(400),
            () -> {
              if (!simulation.cut(life.machine(), other().life.machine())) {
                while (!held.isEmpty()) {
                  arrive(held.poll());
                }
              }
            });
      }
    }

    private void arrived(final Packet packet) {
      if (!life.lives()) {
        if (life.machine().powered() && other().open && packet.marker != CLOSE) {
          put(new Packet(CLOSE, null, null));
        }
        return;
      }
      life.run(() -> take(packet));
    }

    private void take(final Packet packet) {
      if (!open) {
        return;
      }
      heardAt = simulation.now();
      if (packet.marker == CLOSE) {
        open = false;
        if (greeted) {
          receiver.closed(SimulatedConnection.this);
        }
      } else if (packet.marker == OPEN) {
        greeted = true;
        receiver.opened(SimulatedConnection.this);
      } else {
        final Message message = (Message) Serializer.deserialize(packet.bytes, packet.kind);
        if (message instanceof Protocol.KeepAlive) {
          if (!((Protocol.KeepAlive) message).echo) {
            say(new Protocol.KeepAlive(true));
          }
          return;
        }
        simulation.heard(
            other().life.machine().address,
            life.machine().address,
            SimulatedConnection.this,
            message,
            heard -> receiver.heard(SimulatedConnection.this, heard));
      }
    }

    void say(final Message message) {
      if (open && life.lives()) {
        put(new Packet(null, message.getClass(), simulation.bytes(message)));
      }
    }

    void close() {
      if (open) {
        open = false;
        put(new Packet(CLOSE, null, null));
        if (greeted && life.lives()) {
          receiver.closed(SimulatedConnection.this);
        }
      }
    }

    void watch() {
      simulation.after(
          RING_MILLIS,
          () -> {
            if (!open || !life.lives()) {
              return;
            }
            if (life.machine().frozen()) {
              watch();
              return;
            }
            if (simulation.now() - heardAt > SILENCE_MILLIS
                && simulation.now() - ringAt < 2 * SILENCE_MILLIS) {
              close();
              return;
            }
            ringAt = simulation.now();
            if (this == dialler) {
              say(new Protocol.KeepAlive(false));
            }
            watch();
          });
    }
  }

  private final ControlPlaneSimulation simulation;
  private final int number;
  private final Endpoint dialler;
  private final Endpoint acceptor;

  SimulatedConnection(
      final ControlPlaneSimulation simulation,
      final int number,
      final ControlPlaneSimulation.Incarnation from,
      final Receiver fromEar,
      final ControlPlaneSimulation.Incarnation to,
      final Receiver toEar) {
    this.simulation = simulation;
    this.number = number;
    dialler = new Endpoint(from, fromEar);
    acceptor = new Endpoint(to, toEar);
    dialler.put(new Packet(OPEN, null, null));
    acceptor.life.run(
        () -> {
          acceptor.put(new Packet(OPEN, null, null));
          acceptor.watch();
        });
    dialler.watch();
  }

  /** The address at the dialling end. */
  String from() {
    return dialler.life.machine().address;
  }

  /** Says something from the dialling end. */
  void send(final Message message) {
    dialler.say(message);
  }

  /** Says something from the accepting end. */
  void reply(final Message message) {
    acceptor.say(message);
  }

  /** Whether the dialling end may send. */
  boolean usable() {
    return dialler.open && dialler.greeted;
  }

  /** Whether the dialling end has not given the line up. */
  boolean dials() {
    return dialler.open;
  }

  /** Whether both lives are gone, or both ends closed. */
  boolean over() {
    return (!dialler.open || !dialler.life.lives()) && (!acceptor.open || !acceptor.life.lives());
  }

  /** Ends the line from the dialling end. */
  void close() {
    dialler.close();
  }

  /** Ends the line at both ends, as a reset does. */
  void reset() {
    dialler.close();
    acceptor.close();
  }

  /** One of the lives has ended while its machine runs on: the other end is told. */
  void ended(final ControlPlaneSimulation.Incarnation life) {
    if (dialler.life == life && dialler.open) {
      dialler.open = false;
      dialler.put(new Packet(CLOSE, null, null));
    }
    if (acceptor.life == life && acceptor.open) {
      acceptor.open = false;
      acceptor.put(new Packet(CLOSE, null, null));
    }
  }

  void healed() {
    dialler.healed();
    acceptor.healed();
  }

  boolean joins(final ControlPlaneSimulation.Machine machine) {
    return dialler.life.machine() == machine || acceptor.life.machine() == machine;
  }

  @Override
  public int hashCode() {
    return number;
  }

  @Override
  public boolean equals(final Object other) {
    return this == other;
  }
}
