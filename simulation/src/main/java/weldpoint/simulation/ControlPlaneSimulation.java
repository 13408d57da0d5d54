package weldpoint.simulation;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import weldpoint.common.Settings;
import weldpoint.proxy.RegistryClient;
import weldpoint.registry.ControlServer;
import weldpoint.registry.RegistryCore;
import weldpoint.routing.RoutingTable;
import weldpoint.statestore.StateStoreReplica;
import weldpoint.transport.Message;
import weldpoint.transport.Protocol;
import weldpoint.transport.RegistryMessages;
import weldpoint.transport.Serializer;
import weldpoint.transport.StoreMessages;
import weldpoint.transport.TrialMessages;

/**
 * Whole control sides on a fake clock, a fake network and fake disks, driven by one seed: on each
 * core machine a frame and an exchange with its door, on the others a switchboard's link. All run
 * the product's own code.
 */
public final class ControlPlaneSimulation {
  /** How often the steps of a life that are due by time are run. */
  private static final long TICK_MILLIS = 50;

  private static final long DIAL_MILLIS = 50;
  private static final long MOST_DIAL_MILLIS = 250;
  private static final long SYN_MILLIS = 1000;
  private static final int MOST_VOTERS = 5;
  private static final int ENTRIES = 2000;
  private static final int ENTRY_BYTES = 1024;
  private static final long BEAT_MILLIS = 1500;
  private static final long HISTORY_MILLIS = 20_000;

  private record Event(long at, long order, Runnable deed) {}

  /** What the rig's user is told of switchboards. */
  public interface Observer {
    /** A switchboard has taken a configuration up; the first of its life makes it ready. */
    void takenUp(Machine board, long life, long startedAt, long version, byte[] spec);

    /** A switchboard has taken a set of evacuated zones up. */
    void evacuated(Machine board, Set<String> zones);

    /** A switchboard has learned of an upstream. */
    void upstream(Machine board, RegistryMessages.Registration registration, boolean open);
  }

  /** What a test may do to messages on their way; it stands for a broken variant. */
  public interface FaultInjector {
    /** A machine's processes start. */
    default void started(final String machine) {}

    /** Takes a message on its way over a line; whatever is given on is heard. */
    default void heard(
        final String from, final String to, final Message message, final Consumer<Message> ear) {
      ear.accept(message);
    }

    /** Takes a write on its way to a disk; the callback says that it is lasting. */
    default void append(
        final String machine,
        final String program,
        final byte[] record,
        final Runnable synced,
        final java.util.function.BiConsumer<byte[], Runnable> disk) {
      disk.accept(record, synced);
    }

    /** Takes the answer of a door on its way to its caller. */
    default void answered(
        final String machine, final String uri, final Reply reply, final Consumer<Reply> caller) {
      caller.accept(reply);
    }
  }

  /**
   * What a caller of a door gets: a status, or 0 for a failed connection, a body, and where a
   * redirect leads.
   */
  public record Reply(int status, String body, String location) {
    /** A connection that failed. */
    public static final Reply FAILED = new Reply(0, "", null);
  }

  /** One machine: a disk that may outlive its processes, and the life of the moment. */
  public final class Machine {
    final String address;
    final String site;
    final String region;
    final boolean core;
    final SimulatedDisk disk = new SimulatedDisk(ControlPlaneSimulation.this);
    final SimulatedDisk.Records frameRecords = disk.new Records();
    final SimulatedDisk.Records exchangeRecords = disk.new Records();
    final SimulatedDisk.Entries entries = disk.new Entries();
    List<String> seeds;
    private Incarnation life;
    private boolean powered = true;
    private int frozen;
    private long slowMillis;
    private long clockStep;
    private long lives;
    private boolean removed;

    private Machine(
        final String address, final String site, final String region, final boolean core) {
      this.address = address;
      this.site = site;
      this.region = region;
      this.core = core;
      this.seeds = ControlPlaneSimulation.this.seeds;
    }

    /** Its address. */
    public String address() {
      return address;
    }

    /** Its zone. */
    public String site() {
      return site;
    }

    boolean powered() {
      return powered;
    }

    boolean frozen() {
      return frozen > 0;
    }

    /** Whether its processes run, frozen or not. */
    public boolean runs() {
      return life != null;
    }

    /** Whether it is gone for good. */
    public boolean removed() {
      return removed;
    }

    /** The frame of the moment; null while there is none. */
    public StateStoreReplica frame() {
      return life == null ? null : life.replica;
    }

    /** The exchange of the moment; null while there is none. */
    public RegistryCore exchange() {
      return life == null ? null : life.exchange;
    }

    /** What the switchboard of the moment has taken up; 0 while there is nothing. */
    public long version() {
      return life == null ? 0 : life.version;
    }

    /** The zones that the switchboard of the moment knows as evacuated. */
    public Set<String> evacuated() {
      return life == null ? Set.of() : life.evacuated;
    }

    /** The upstreams that the switchboard of the moment may use. */
    public Map<String, RegistryMessages.Registration> upstreams() {
      return life == null ? Map.of() : life.upstreams;
    }

    /** Which life it leads; rises with each start. */
    public long lives() {
      return lives;
    }
  }

  /** One life of a machine's programs. */
  final class Incarnation {
    private final Machine machine;
    private final long startedAt = now;
    private final ArrayDeque<Runnable> inbox = new ArrayDeque<>();
    private long busyUntil;
    private boolean draining;
    private StateStoreReplica replica;
    private RegistryCore exchange;
    private ControlServer server;
    private RegistryClient registry;
    private SimulatedDisk.Writer frameWriter;
    private SimulatedDisk.Writer exchangeWriter;
    private Connector boardDialler;
    private long version;
    private Set<String> evacuated = Set.of();
    private final Map<String, RegistryMessages.Registration> upstreams = new LinkedHashMap<>();
    private byte[] lastSpec;
    private final List<SimulatedConnection> lines = new ArrayList<>();
    private final Connections frames = new Connections(this, Port.FRAME);
    private final Connections members = new Connections(this, Port.EXCHANGE);
    private final Connections calls = new Connections(this, Port.FRAME_CALLS);

    private Incarnation(final Machine machine) {
      this.machine = machine;
    }

    Machine machine() {
      return machine;
    }

    boolean lives() {
      return machine.life == this;
    }

    /**
     * Runs something on this life's threads: at once, later where the machine is slow, and after
     * its thaw where it is frozen.
     */
    void run(final Runnable deed) {
      if (!lives()) {
        return;
      }
      if (machine.frozen == 0 && machine.slowMillis == 0 && inbox.isEmpty()) {
        deed.run();
        return;
      }
      inbox.add(deed);
      drain();
    }

    private void drain() {
      if (draining || machine.frozen > 0 || inbox.isEmpty() || !lives()) {
        return;
      }
      draining = true;
      after(
          machine.slowMillis,
          () -> {
            draining = false;
            int most = 20;
            while (lives() && machine.frozen == 0 && !inbox.isEmpty() && most-- > 0) {
              inbox.poll().run();
            }
            drain();
          });
    }
  }

  /** What listens at a machine. */
  private enum Port {
    FRAME,
    FRAME_CALLS,
    EXCHANGE,
    BOARDS
  }

  /** Keeps one line to an address open, dialling again after it ends. */
  private final class Connector {
    private final Incarnation life;
    private final String to;
    private final Port port;
    private final SimulatedConnection.Receiver receiver;
    private SimulatedConnection connection;
    private boolean ended;
    private long pause = DIAL_MILLIS;

    private Connector(
        final Incarnation life,
        final String to,
        final Port port,
        final SimulatedConnection.Receiver receiver) {
      this.life = life;
      this.to = to;
      this.port = port;
      this.receiver = receiver;
      after(1, this::connect);
    }

    private void connect() {
      if (ended || !life.lives()) {
        return;
      }
      if (life.machine.frozen()) {
        after(DIAL_MILLIS, this::connect);
        return;
      }
      final Machine target = machines.get(to);
      if (target == null
          || !target.powered
          || cut(life.machine, target)
          || cut(target, life.machine)) {
        after(SYN_MILLIS, this::again);
        return;
      }
      if (target.life == null) {
        after(2 * delay(life.machine, target), this::again);
        return;
      }
      connection =
          open(
              life,
              to,
              port,
              new SimulatedConnection.Receiver() {
                @Override
                public void opened(final SimulatedConnection opened) {
                  if (ended) {
                    opened.close();
                    return;
                  }
                  pause = DIAL_MILLIS;
                  receiver.opened(opened);
                }

                @Override
                public void heard(final SimulatedConnection heard, final Message message) {
                  receiver.heard(heard, message);
                }

                @Override
                public void closed(final SimulatedConnection closed) {
                  connection = null;
                  if (!ended) {
                    receiver.closed(closed);
                  }
                  again();
                }
              });
      watchGreeting(connection);
    }

    /** A line that is given up before its hello is dialled again. */
    private void watchGreeting(final SimulatedConnection opening) {
      after(
          100,
          () -> {
            if (connection == opening && life.lives()) {
              if (opening.usable()) {
                return;
              }
              if (opening.over() || !opening.dials()) {
                connection = null;
                again();
                return;
              }
              watchGreeting(opening);
            }
          });
    }

    private void again() {
      if (!ended && life.lives()) {
        pause = Math.min(MOST_DIAL_MILLIS, pause * 2);
        after(pause, this::connect);
      }
    }

    private boolean send(final Message message) {
      if (connection == null || !connection.usable()) {
        return false;
      }
      connection.send(message);
      return true;
    }

    private void close() {
      ended = true;
      if (connection != null) {
        connection.close();
      }
    }
  }

  /** Lines kept to a wanted set of addresses. */
  private final class Connections {
    private final Incarnation life;
    private final Port port;
    private final Map<String, Connector> diallers = new LinkedHashMap<>();
    private java.util.function.Function<String, SimulatedConnection.Receiver> ears;

    private Connections(final Incarnation life, final Port port) {
      this.life = life;
      this.port = port;
    }

    private void keep(final List<String> addresses) {
      for (final String address : addresses) {
        diallers.computeIfAbsent(address, to -> new Connector(life, to, port, ears.apply(to)));
      }
      diallers
          .entrySet()
          .removeIf(
              entry -> {
                if (addresses.contains(entry.getKey())) {
                  return false;
                }
                entry.getValue().close();
                return true;
              });
    }

    private boolean send(final String address, final Message message) {
      final Connector connector = diallers.get(address);
      return connector != null && connector.send(message);
    }
  }

  private final Random random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (one, other) ->
              one.at != other.at
                  ? Long.compare(one.at, other.at)
                  : Long.compare(one.order, other.order));
  private final Map<String, Machine> machines = new LinkedHashMap<>();
  private final Map<String, Integer> cuts = new HashMap<>();
  private final List<String> seeds;
  private final Observer observer;
  private FaultInjector faultInjector = new FaultInjector() {};
  private long now = 1_000_000;
  private long order;
  private int lineNumbers;
  private long incarnations;
  private Message sealed;
  private byte[] sealedBytes;

  /** A fleet without machines. */
  public ControlPlaneSimulation(
      final long seed, final List<String> seeds, final Observer observer) {
    this.random = new Random(seed);
    this.seeds = seeds;
    this.observer = observer;
  }

  /** Lets a test meddle. */
  public void faultInjector(final FaultInjector given) {
    faultInjector = given;
  }

  // ---- time

  /** The fake time. */
  public long now() {
    return now;
  }

  /** The source of chance of network and disks. */
  public Random random() {
    return random;
  }

  /** Runs something after a while. */
  public void after(final long millis, final Runnable deed) {
    events.add(new Event(now + millis, order++, deed));
  }

  /** Lets time pass. */
  public void run(final long millis) {
    final long until = now + millis;
    while (!events.isEmpty() && events.peek().at <= until) {
      final Event event = events.poll();
      now = event.at;
      event.deed.run();
    }
    now = until;
  }

  // ---- network

  boolean cut(final Machine from, final Machine to) {
    return from != to
        && !cuts.isEmpty()
        && cuts.getOrDefault(from.address + ">" + to.address, 0) > 0;
  }

  long delay(final Machine from, final Machine to) {
    return from == to ? 0 : (from.region.equals(to.region) ? 1 : 12) + random.nextInt(3);
  }

  byte[] bytes(final Message message) {
    if (message != sealed) {
      sealed = message;
      sealedBytes = Serializer.serialize(message);
    }
    return sealedBytes;
  }

  void heard(
      final String from,
      final String to,
      final SimulatedConnection connection,
      final Message message,
      final Consumer<Message> ear) {
    faultInjector.heard(from, to, message, ear);
  }

  private SimulatedConnection open(
      final Incarnation from,
      final String to,
      final Port port,
      final SimulatedConnection.Receiver receiver) {
    final Incarnation target = machines.get(to).life;
    final SimulatedConnection connection =
        new SimulatedConnection(
            this, ++lineNumbers, from, receiver, target, listener(target, port));
    from.lines.removeIf(SimulatedConnection::over);
    from.lines.add(connection);
    if (from != target) {
      target.lines.removeIf(SimulatedConnection::over);
      target.lines.add(connection);
    }
    return connection;
  }

  private SimulatedConnection.Receiver listener(final Incarnation life, final Port port) {
    return switch (port) {
      case FRAME ->
          (connection, message) ->
              life.replica.receive(connection.from(), message, connection::reply, now);
      case FRAME_CALLS ->
          (connection, message) ->
              life.replica.call((StoreMessages.StoreRequest) message, connection::reply, now);
      case EXCHANGE ->
          (connection, message) ->
              life.exchange.receive(connection.from(), message, connection::reply, now);
      case BOARDS ->
          new SimulatedConnection.Receiver() {
            @Override
            public void heard(final SimulatedConnection connection, final Message message) {
              if (message instanceof RegistryMessages.DaemonReport) {
                life.exchange.onDaemonReport(
                    connection,
                    ((RegistryMessages.DaemonReport) message).entry,
                    Protocol.emptyIfNull(((RegistryMessages.DaemonReport) message).bucketDigests),
                    now);
              } else {
                life.exchange.receive(connection.from(), message, connection::reply, now);
              }
            }

            @Override
            public void closed(final SimulatedConnection connection) {
              life.exchange.onStreamClosed(connection, connection.from(), now);
            }
          };
    };
  }

  // ---- machines

  /** All machines that were ever added, by address. */
  public Map<String, Machine> machines() {
    return machines;
  }

  /** The core machines that have not been removed. */
  public List<Machine> core() {
    return machines.values().stream().filter(machine -> machine.core && !machine.removed).toList();
  }

  /** The machines of switchboards. */
  public List<Machine> boards() {
    return machines.values().stream().filter(machine -> !machine.core).toList();
  }

  /** Adds a machine without processes. */
  public Machine add(
      final String address, final String site, final String region, final boolean core) {
    final Machine machine = new Machine(address, site, region, core);
    machines.put(address, machine);
    return machine;
  }

  /** Starts the processes of a machine. */
  public void start(final Machine machine, final boolean first) {
    if (machine.removed || machine.life != null) {
      return;
    }
    machine.powered = true;
    machine.lives++;
    faultInjector.started(machine.address);
    final Incarnation life = new Incarnation(machine);
    machine.life = life;
    if (machine.core) {
      startFrame(life, first);
      startExchange(life, first);
    } else {
      startBoard(life);
    }
    tick(life);
  }

  private void tick(final Incarnation life) {
    after(
        TICK_MILLIS,
        () -> {
          if (!life.lives()) {
            return;
          }
          if (!life.machine.frozen()) {
            life.run(
                () -> {
                  if (life.replica != null) {
                    life.replica.updateDiskState(
                        life.frameWriter.busyMillis(), life.frameWriter.refusing(), now);
                    life.replica.tick(now);
                    life.server.recordTick();
                    life.exchange.tick(now);
                  } else {
                    life.registry.tick(now);
                  }
                });
          }
          tick(life);
        });
  }

  private void startFrame(final Incarnation life, final boolean first) {
    final Machine machine = life.machine;
    final List<byte[]> found = machine.frameRecords.lasting();
    life.frames.ears =
        to ->
            new SimulatedConnection.Receiver() {
              @Override
              public void heard(final SimulatedConnection connection, final Message message) {
                life.replica.receive(to, message, connection::send, now);
              }

              @Override
              public void closed(final SimulatedConnection connection) {
                life.replica.connectionClosed(to, now);
              }
            };
    life.replica =
        new StateStoreReplica(
            machine.address,
            machine.site,
            machine.region,
            true,
            MOST_VOTERS,
            HISTORY_MILLIS,
            ++incarnations,
            new Random(random.nextLong()),
            machine.seeds,
            new StateStoreReplica.Environment() {
              @Override
              public void send(final String to, final Message message) {
                life.frames.send(to, message);
              }

              @Override
              public void append(final byte[] record, final Runnable synced) {
                faultInjector.append(
                    machine.address, "frame", record, synced, life.frameWriter::append);
              }

              @Override
              public void peers(final List<String> addresses) {
                life.frames.keep(addresses);
              }

              @Override
              public long timeOfDay() {
                return now + machine.clockStep;
              }
            });
    life.frameWriter =
        machine.disk.new Writer(machine.frameRecords, life, () -> life.replica.snapshot());
    life.replica.history(machine.disk.new EntryStore(machine.entries, life), ENTRIES, ENTRY_BYTES);
    life.replica.start(found, first && found.isEmpty(), now);
    life.frameWriter.begin();
  }

  private void startExchange(final Incarnation life, final boolean first) {
    final Machine machine = life.machine;
    life.members.ears =
        to ->
            new SimulatedConnection.Receiver() {
              @Override
              public void opened(final SimulatedConnection connection) {
                life.exchange.onMemberConnected(to, now);
              }

              @Override
              public void heard(final SimulatedConnection connection, final Message message) {
                life.exchange.receive(to, message, connection::send, now);
              }

              @Override
              public void closed(final SimulatedConnection connection) {
                life.exchange.onMemberDisconnected(to, now);
              }
            };
    life.calls.ears =
        to ->
            new SimulatedConnection.Receiver() {
              @Override
              public void heard(final SimulatedConnection connection, final Message message) {
                if (message instanceof StoreMessages.StoreResponse) {
                  life.exchange.onStoreResponse(to, (StoreMessages.StoreResponse) message, now);
                }
              }

              @Override
              public void closed(final SimulatedConnection connection) {
                life.exchange.onReplicaDisconnected(to, now);
              }
            };
    final List<byte[]> found = machine.exchangeRecords.lasting();
    life.exchange =
        new RegistryCore(
            machine.address,
            machine.seeds,
            first && found.isEmpty(),
            BEAT_MILLIS,
            new Random(random.nextLong()),
            new RegistryCore.Environment() {
              @Override
              public boolean sendToMember(final String address, final Message message) {
                return life.members.send(address, message);
              }

              @Override
              public boolean sendToReplica(
                  final String address, final StoreMessages.StoreRequest call) {
                return life.calls.send(address, call);
              }

              @Override
              public void sendToStream(final Object stream, final Message message) {
                ((SimulatedConnection) stream).reply(message);
              }

              @Override
              public void append(final byte[] record, final Runnable synced) {
                faultInjector.append(
                    machine.address, "exchange", record, synced, life.exchangeWriter::append);
              }

              @Override
              public void updatePeers(final List<String> addresses) {
                life.members.keep(addresses);
                final List<String> all = new ArrayList<>(addresses);
                all.add(machine.address);
                life.calls.keep(all);
              }
            });
    life.exchangeWriter =
        machine.disk.new Writer(machine.exchangeRecords, life, () -> life.exchange.snapshot());
    life.exchange.setLocation(machine.site, machine.region);
    life.exchange.start(found, now);
    life.exchangeWriter.begin();
    life.server =
        new ControlServer(
            Settings.parse(
                "station.name = one\nstation.address = "
                    + machine.address
                    + "\nstation.site = "
                    + machine.site
                    + "\nstation.region = "
                    + machine.region
                    + "\ntrunk.ports = 7000,7015\ntrunk.seeds = "
                    + String.join(":80,", machine.seeds)
                    + ":80\nlisten.control = "
                    + machine.address
                    + ":80\n"),
            life.exchange,
            Runnable::run,
            new ControlServer.Clock() {
              @Override
              public long monotonicMillis() {
                return now;
              }

              @Override
              public long wallMillis() {
                return now + machine.clockStep;
              }
            });
  }

  private void startBoard(final Incarnation life) {
    final Machine machine = life.machine;
    final RegistryMessages.DaemonEntry self =
        new RegistryMessages.DaemonEntry(
            machine.address,
            machine.address + ":90",
            machine.site,
            machine.region,
            ++incarnations,
            false,
            0);
    life.registry =
        new RegistryClient(
            self,
            machine.seeds,
            new Random(random.nextLong()),
            new RegistryClient.Environment() {
              @Override
              public void dial(final String address) {
                if (life.boardDialler != null) {
                  life.boardDialler.close();
                }
                life.boardDialler =
                    new Connector(
                        life,
                        address,
                        Port.BOARDS,
                        new SimulatedConnection.Receiver() {
                          @Override
                          public void opened(final SimulatedConnection connection) {
                            life.registry.streamOpened(now);
                          }

                          @Override
                          public void heard(
                              final SimulatedConnection connection, final Message message) {
                            if (message instanceof RegistryMessages.View
                                && ((RegistryMessages.View) message).spec != null) {
                              life.lastSpec = ((RegistryMessages.View) message).spec;
                            }
                            life.registry.messageReceived(message, now);
                          }

                          @Override
                          public void closed(final SimulatedConnection connection) {
                            life.registry.streamClosed(now);
                          }
                        });
              }

              @Override
              public void send(final Message message) {
                life.boardDialler.send(message);
              }

              @Override
              public void controlUpdate(
                  final RoutingTable routingTable,
                  final Map<RegistryMessages.Registration, Boolean> changes,
                  final Set<String> evacuated,
                  final Set<String> suspects,
                  final int switchboards) {
                if (routingTable != null) {
                  life.version = routingTable.version();
                  observer.takenUp(
                      machine,
                      machine.lives,
                      life.startedAt,
                      routingTable.version(),
                      life.lastSpec);
                  after(
                      5,
                      () ->
                          life.run(
                              () ->
                                  life.registry.reportInForce(
                                      life.registry.version(), life.registry.stateVersion(), now)));
                }
                changes.forEach(
                    (registration, open) -> {
                      if (open) {
                        life.upstreams.put(registration.id, registration);
                      } else {
                        life.upstreams.remove(registration.id);
                      }
                      observer.upstream(machine, registration, open);
                    });
                if (evacuated != null) {
                  life.evacuated = evacuated;
                  observer.evacuated(machine, evacuated);
                }
              }

              @Override
              public void trialsChanged(final List<TrialMessages.Trial> trials, final long mark) {}

              @Override
              public void firstViewReceived() {}
            });
    life.registry.start(now);
  }

  // ---- troubles

  /**
   * Ends the processes of a machine; with power loss a part of what was not synced is lost, and
   * nobody is told.
   */
  public void kill(final Machine machine, final boolean power) {
    final Incarnation life = machine.life;
    if (life == null) {
      machine.powered &= !power;
      return;
    }
    if (life.frameWriter != null) {
      life.frameWriter.ended(power);
      life.exchangeWriter.ended(power);
    }
    machine.life = null;
    machine.powered = !power;
    if (!power) {
      life.lines.forEach(connection -> connection.ended(life));
    }
  }

  /** Asks the processes of a machine to end; they are gone a little later. */
  public void stop(final Machine machine, final Runnable then) {
    final Incarnation life = machine.life;
    if (life == null) {
      then.run();
      return;
    }
    life.run(
        () -> {
          if (life.replica != null) {
            life.replica.leave(() -> {}, now);
            life.exchange.leave();
          } else {
            life.registry.leave(now);
          }
        });
    after(
        life.replica == null ? 1500 : 450,
        () -> {
          if (life.lives()) {
            kill(machine, false);
          }
          then.run();
        });
  }

  /** Empties the disk of a machine whose processes have ended. */
  public void wipe(final Machine machine) {
    machine.frameRecords.wipe();
    machine.exchangeRecords.wipe();
    machine.entries.wipe();
  }

  /** Takes a machine away for good. */
  public void remove(final Machine machine) {
    kill(machine, true);
    machine.removed = true;
  }

  /** Lets a machine stand still, or go on. */
  public void freeze(final Machine machine, final boolean on) {
    machine.frozen += on ? 1 : -1;
    if (machine.frozen == 0 && machine.life != null) {
      machine.life.drain();
    }
  }

  /** Makes a machine take so much longer for each bundle of steps. */
  public void slow(final Machine machine, final long millis) {
    machine.slowMillis += millis;
  }

  /** Steps the time of day of a machine. */
  public void step(final Machine machine, final long millis) {
    machine.clockStep += millis;
  }

  /** Cuts or joins one direction between two machines. */
  public void cut(final Machine from, final Machine to, final boolean on) {
    if (from == to) {
      return;
    }
    cuts.merge(from.address + ">" + to.address, on ? 1 : -1, Integer::sum);
    if (!cut(from, to)) {
      cuts.remove(from.address + ">" + to.address);
      if (from.life != null) {
        from.life.lines.stream()
            .filter(connection -> connection.joins(to))
            .forEach(SimulatedConnection::healed);
      }
    }
  }

  /** Resets a share of a machine's connections. */
  public void reset(final Machine machine, final double share, final Random chance) {
    if (machine.life != null) {
      for (final SimulatedConnection connection : new ArrayList<>(machine.life.lines)) {
        if (chance.nextDouble() < share) {
          connection.reset();
        }
      }
    }
  }

  /** Gives a machine other seeds, by its settings file and SIGHUP. */
  public void seeds(final Machine machine, final List<String> given) {
    machine.seeds = given;
    final Incarnation life = machine.life;
    if (life != null) {
      life.run(
          () -> {
            if (life.replica != null) {
              life.replica.seeds(given);
              life.exchange.updateSeeds(given, now);
            } else {
              life.registry.addSeeds(given);
            }
          });
    }
  }

  // ---- outside calls

  /** One call that is under way. */
  public final class PendingCall {
    private long closedAt = Long.MAX_VALUE;

    /**
     * The caller no longer waits: it closes its connection, and the door hears of it a little
     * later.
     */
    public void giveUp() {
      closedAt = now + 5;
    }
  }

  /**
   * A call over HTTP to a machine's door, from a caller whom no cut concerns; the answer is given
   * once, unless it never comes.
   */
  public PendingCall http(
      final String to,
      final HttpMethod method,
      final String uri,
      final String body,
      final Consumer<Reply> then) {
    final PendingCall calling = new PendingCall();
    final Machine machine = machines.get(to);
    final long trip = 1 + random.nextInt(12);
    after(
        trip,
        () -> {
          if (machine == null || !machine.powered) {
            return;
          }
          final Incarnation life = machine.life;
          if (life == null || life.server == null) {
            after(trip, () -> then.accept(Reply.FAILED));
            return;
          }
          final boolean[] done = new boolean[1];
          life.run(
              () ->
                  life.server.call(
                      new DefaultFullHttpRequest(
                          HttpVersion.HTTP_1_1,
                          method,
                          uri,
                          Unpooled.copiedBuffer(body, StandardCharsets.UTF_8)),
                      "10.9.9.9",
                      new ControlServer.ResponseCallback() {
                        private final long readAt = now;

                        @Override
                        public boolean isWaiting() {
                          return now == readAt || now < calling.closedAt;
                        }

                        @Override
                        public void respond(
                            final int status, final byte[] answer, final String location) {
                          if (life.lives()) {
                            faultInjector.answered(
                                machine.address,
                                uri,
                                new Reply(
                                    status, new String(answer, StandardCharsets.UTF_8), location),
                                reply ->
                                    after(
                                        trip,
                                        () -> {
                                          if (!done[0]) {
                                            done[0] = true;
                                            then.accept(reply);
                                          }
                                        }));
                          }
                        }
                      }));
          broken(machine, life, done, trip, then);
        });
    return calling;
  }

  /** Where the process ends before it has answered, the caller's connection fails. */
  private void broken(
      final Machine machine,
      final Incarnation life,
      final boolean[] done,
      final long trip,
      final Consumer<Reply> then) {
    for (int look = 1; look <= 3; look++) {
      after(
          300L * look,
          () -> {
            if (!done[0] && !life.lives() && machine.powered) {
              done[0] = true;
              after(trip, () -> then.accept(Reply.FAILED));
            }
          });
    }
  }
}
