package weldpoint.simulation;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import weldpoint.audit.AuditStore;
import weldpoint.statestore.StateStoreReplica;
import weldpoint.statestore.StoreOperation;
import weldpoint.transport.Message;
import weldpoint.transport.Serializer;
import weldpoint.transport.StoreMessages;

/** Several frames on a fake clock, a fake network and fake disks, driven by one seed. */
public final class StateStoreSimulation {
  private static final long HISTORY_MILLIS = 20_000;
  private static final long DISK_BYTES = 2 << 20;

  private record Event(long at, long order, Runnable deed) {}

  /** One machine: a disk that may outlive its process, and the process of the moment. */
  public final class Machine {
    final String address;
    final String site;
    final String region;
    private final List<byte[]> lasting = new ArrayList<>();
    private long lastingBytes;
    private final List<byte[]> written = new ArrayList<>();
    private final List<byte[]> entries = new ArrayList<>();
    private long entriesBase;
    private StateStoreReplica replica;
    private FakeHistory store;
    private int life;
    private boolean frozen;
    private boolean full;
    private long diskDelay = 2;
    private long clockStep;
    private long syncedAt;

    private Machine(final String address, final String site, final String region) {
      this.address = address;
      this.site = site;
      this.region = region;
    }

    /** The process of the moment; null while there is none. */
    public StateStoreReplica replica() {
      return replica;
    }
  }

  /** The history on a fake disk: entries that were synced outlive the process. */
  private final class FakeHistory implements AuditStore {
    private final Machine machine;
    private final int life;
    private final List<byte[]> all;
    private long base;

    private FakeHistory(final Machine machine, final int life) {
      this.machine = machine;
      this.life = life;
      this.all = new ArrayList<>(machine.entries);
      this.base = machine.entriesBase;
    }

    @Override
    public long base() {
      return base;
    }

    @Override
    public long last() {
      return base + all.size();
    }

    @Override
    public boolean append(final long sequence, final byte[] entry, final Runnable synced) {
      if (machine.full) {
        return false;
      }
      all.add(entry);
      after(
          machine.diskDelay + random.nextInt(3),
          () -> {
            if (machine.life == life && machine.replica != null) {
              if (sequence == machine.entriesBase + machine.entries.size() + 1) {
                machine.entries.add(entry);
              }
              synced.run();
            }
          });
      return true;
    }

    @Override
    public byte[] read(final long sequence) {
      return sequence <= base || sequence > last() ? null : all.get((int) (sequence - base - 1));
    }

    @Override
    public void trim(final long through) {
      if (through > base && through <= last()) {
        all.subList(0, (int) (through - base)).clear();
        base = through;
        final int gone =
            (int) Math.min(machine.entries.size(), Math.max(0, through - machine.entriesBase));
        machine.entries.subList(0, gone).clear();
        machine.entriesBase += gone;
      }
    }

    @Override
    public void reset(final long newBase) {
      all.clear();
      base = newBase;
      machine.entries.clear();
      machine.entriesBase = newBase;
    }
  }

  /**
   * What a test may do to a core before it starts, and to a message on its way; null as the message
   * loses it.
   */
  public interface FaultInjector {
    /** Takes part in setting up a core: the store and the number of entries to keep are given. */
    default void prepare(
        final StateStoreReplica replica, final AuditStore store, final long keeps) {
      replica.history(store, keeps, ENTRY_BYTES);
    }

    /** The message that arrives instead. */
    default Message pass(final String from, final String to, final Message message) {
      return message;
    }
  }

  /** Sees all that cores send to each other, get, and put on disk. */
  public interface Observer {
    /** A core starts, and its disk holds these records. */
    default void started(final String address, final List<byte[]> records) {}

    /** A core gives a record to its disk. */
    default void appended(final String address, final byte[] record) {}

    /** A record is lasting; the core is told next, if it was not before. */
    default void lasting(final String address, final byte[] record) {}

    /** A core sends a message; it may be lost. */
    default void sent(final String from, final String to, final Message message) {}

    /** A core is about to get a message, or what a test makes of it. */
    default void received(final String from, final String to, final Message message) {}
  }

  /** The most bytes of an entry of the history here. */
  public static final int ENTRY_BYTES = 1024;

  private FaultInjector faultInjector = new FaultInjector() {};
  private Observer observer = new Observer() {};
  private long keeps = 2000;

  /** Lets a test meddle. */
  public void faultInjector(final FaultInjector given) {
    faultInjector = given;
  }

  /** Lets a test watch. */
  public void observer(final Observer given) {
    observer = given;
  }

  /** Sets how many entries of the history daemons that start from now on keep. */
  public void keeps(final long entries) {
    keeps = entries;
  }

  private final Random random;
  private final boolean syncsFirst;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (one, other) ->
              one.at != other.at
                  ? Long.compare(one.at, other.at)
                  : Long.compare(one.order, other.order));
  private final Map<String, Machine> machines = new LinkedHashMap<>();
  private final Set<String> cuts = new HashSet<>();
  private final List<String> seeds;
  private long now = 1_000_000;
  private long order;
  private long owners;
  private long calls;

  /**
   * A fleet whose disks sync before they say so; a broken one, for the checks to catch, says so at
   * once.
   */
  public StateStoreSimulation(final long seed, final List<String> seeds, final boolean syncsFirst) {
    this.random = new Random(seed);
    this.seeds = seeds;
    this.syncsFirst = syncsFirst;
  }

  /** The fake time. */
  public long now() {
    return now;
  }

  /** The one source of chance. */
  public Random random() {
    return random;
  }

  /** All machines, by address. */
  public Map<String, Machine> machines() {
    return machines;
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

  /** Adds a machine without a process. */
  public Machine add(final String address, final String site, final String region) {
    return machines.computeIfAbsent(address, key -> new Machine(key, site, region));
  }

  /** Starts the process of a machine. */
  public void start(final String address, final boolean first) {
    final Machine machine = machines.get(address);
    final int life = ++machine.life;
    machine.written.clear();
    machine.syncedAt = now;
    machine.replica =
        new StateStoreReplica(
            address,
            machine.site,
            machine.region,
            true,
            5,
            HISTORY_MILLIS,
            ++owners,
            new Random(random.nextLong()),
            seeds,
            new StateStoreReplica.Environment() {
              @Override
              public void send(final String to, final Message message) {
                post(address, life, to, message);
              }

              @Override
              public void append(final byte[] record, final Runnable synced) {
                machine.written.add(record);
                observer.appended(address, record);
                final Runnable lasting =
                    () -> {
                      if (machine.life == life && machine.replica != null) {
                        machine.written.remove(record);
                        machine.lasting.add(record);
                        observer.lasting(address, record);
                        machine.lastingBytes += record.length;
                        turnOver(machine);
                        if (syncsFirst) {
                          synced.run();
                        }
                      }
                    };
                machine.syncedAt =
                    Math.max(machine.syncedAt, now + machine.diskDelay + random.nextInt(3));
                after(machine.syncedAt - now, lasting);
                if (!syncsFirst) {
                  after(
                      0,
                      () -> {
                        if (machine.life == life) {
                          synced.run();
                        }
                      });
                }
              }

              @Override
              public void peers(final List<String> addresses) {}

              @Override
              public long timeOfDay() {
                return now + machine.clockStep;
              }
            });
    machine.store = new FakeHistory(machine, life);
    faultInjector.prepare(machine.replica, machine.store, keeps);
    machine.replica.start(
        new ArrayList<>(machine.lasting), first && machine.lasting.isEmpty(), now);
    final List<byte[]> view = machine.replica.snapshot();
    machine.lasting.clear();
    machine.lasting.addAll(view);
    observer.started(address, new ArrayList<>(view));
    tick(machine, life);
  }

  /** A disk that has taken much goes on with a snapshot, as a ring does. */
  private void turnOver(final Machine machine) {
    if (syncsFirst && machine.lastingBytes > DISK_BYTES) {
      machine.lasting.clear();
      machine.lasting.addAll(machine.replica.snapshot());
      machine.lastingBytes = 0;
    }
  }

  private void tick(final Machine machine, final int life) {
    after(
        50,
        () -> {
          if (machine.life == life && machine.replica != null) {
            if (!machine.frozen) {
              machine.replica.tick(now);
            }
            tick(machine, life);
          }
        });
  }

  private boolean cut(final String from, final String to) {
    return cuts.contains(from + ">" + to);
  }

  private long delay(final String from, final String to) {
    final Machine one = machines.get(from);
    final Machine other = machines.get(to);
    return (one != null && other != null && one.region.equals(other.region) ? 1 : 12)
        + random.nextInt(4);
  }

  private void post(final String from, final int fromLife, final String to, final Message message) {
    final Machine target = machines.get(to);
    deliver(from, fromLife, to, target == null ? 0 : target.life, false, message);
  }

  private final Map<String, Long> linkBytes = new HashMap<>();
  private final Map<String, Long> linkFreeAt = new HashMap<>();
  private final Map<String, Long> received = new HashMap<>();

  /**
   * Gives a machine so many bytes a millisecond for what it receives; 0 for as many as there are.
   */
  public void link(final String to, final long bytesPerMilli) {
    linkBytes.put(to, bytesPerMilli);
  }

  /** How many bytes of a class of messages have arrived at a machine. */
  public long received(final String at, final Class<? extends Message> kind) {
    return received.getOrDefault(at + kind.getSimpleName(), 0L);
  }

  private long queued(final String to, final int bytes) {
    final long rate = linkBytes.getOrDefault(to, 0L);
    if (rate == 0) {
      return 0;
    }
    final long free = Math.max(now, linkFreeAt.getOrDefault(to, 0L)) + bytes / rate;
    linkFreeAt.put(to, free);
    return free - now;
  }

  private void deliver(
      final String from,
      final int fromLife,
      final String to,
      final int toLife,
      final boolean bound,
      final Message message) {
    final byte[] bytes = Serializer.serialize(message);
    observer.sent(from, to, message);
    after(
        delay(from, to) + queued(to, bytes.length),
        () -> {
          final Machine target = machines.get(to);
          if (target == null
              || target.replica == null
              || target.frozen
              || cut(from, to)
              || bound && target.life != toLife) {
            return;
          }
          final Message came = (Message) Serializer.deserialize(bytes, message.getClass());
          final Message copy = faultInjector.pass(from, to, came);
          if (copy == null) {
            return;
          }
          received.merge(to + message.getClass().getSimpleName(), (long) bytes.length, Long::sum);
          final int life = target.life;
          observer.received(from, to, came);
          target.replica.receive(
              from,
              copy,
              answer -> {
                if (target.life == life) {
                  deliver(to, life, from, fromLife, true, answer);
                }
              },
              now);
        });
  }

  /**
   * Ends a process; with power loss, only a part of what was not synced may remain, otherwise all
   * that was written.
   */
  public void kill(final String address, final boolean power) {
    final Machine machine = machines.get(address);
    if (machine.replica == null) {
      return;
    }
    final int kept = power ? random.nextInt(machine.written.size() + 1) : machine.written.size();
    machine.lasting.addAll(machine.written.subList(0, syncsFirst ? kept : 0));
    machine.written.clear();
    machine.replica = null;
    machine.life++;
    for (final Machine other : machines.values()) {
      if (other.replica != null && other != machine) {
        final StateStoreReplica replica = other.replica;
        after(
            delay(address, other.address),
            () -> {
              if (other.replica == replica) {
                replica.connectionClosed(address, now);
              }
            });
      }
    }
  }

  /**
   * Ends a process in order: it goes once the others hold without it what it counted for, or too
   * long has passed.
   */
  public void leave(final String address) {
    final Machine machine = machines.get(address);
    final int life = machine.life;
    if (machine.replica != null) {
      machine.replica.leave(
          () ->
              after(
                  60,
                  () -> {
                    if (machine.life == life) {
                      kill(address, false);
                    }
                  }),
          now);
    }
  }

  /** Empties the disk of a machine whose process has ended. */
  public void wipe(final String address) {
    machines.get(address).lasting.clear();
    machines.get(address).entries.clear();
    machines.get(address).entriesBase = 0;
  }

  /**
   * Damages an entry of the history on the disk of a machine whose process has ended; false where
   * there is none.
   */
  public boolean damage(final String address) {
    final List<byte[]> entries = machines.get(address).entries;
    if (entries.isEmpty()) {
      return false;
    }
    final int at = random.nextInt(entries.size());
    entries.subList(at, entries.size()).clear();
    return true;
  }

  /** Makes the part of a disk that holds the history full, or free again. */
  public void full(final String address, final boolean on) {
    machines.get(address).full = on;
  }

  /** Steps the time of day of a machine. */
  public void step(final String address, final long millis) {
    machines.get(address).clockStep = millis;
  }

  /** Stops or resumes a process without ending it. */
  public void freeze(final String address, final boolean on) {
    machines.get(address).frozen = on;
  }

  /** Makes a disk slow. */
  public void disk(final String address, final long millis) {
    machines.get(address).diskDelay = millis;
  }

  /** Cuts or heals one direction between two machines. */
  public void cut(final String from, final String to, final boolean on) {
    if (on) {
      cuts.add(from + ">" + to);
    } else {
      cuts.remove(from + ">" + to);
    }
  }

  /** Heals all cuts, freezes and slow disks. */
  public void heal() {
    cuts.clear();
    for (final Machine machine : machines.values()) {
      machine.frozen = false;
      machine.full = false;
      machine.diskDelay = 2;
    }
  }

  /** The addresses of machines whose process runs. */
  public List<String> running() {
    final List<String> list = new ArrayList<>();
    machines.forEach(
        (address, machine) -> {
          if (machine.replica != null) {
            list.add(address);
          }
        });
    Collections.sort(list);
    return list;
  }

  /**
   * Calls the store by way of one frame, following its word on who holds the duty; the answer may
   * never come.
   */
  public void call(
      final String at,
      final StoreOperation operation,
      final String name,
      final String owner,
      final long first,
      final long second,
      final byte[] body,
      final Consumer<StoreMessages.StoreResponse> then) {
    call(
        at,
        new StoreMessages.StoreRequest(
            ++calls, operation.ordinal(), name, owner, first, second, body),
        0,
        then);
  }

  /** Calls the store with a change of routing, in somebody's name. */
  public void change(
      final String at,
      final StoreOperation operation,
      final String name,
      final long first,
      final byte[] body,
      final StoreMessages.ChangeOrigin origin,
      final Consumer<StoreMessages.StoreResponse> then) {
    call(
        at,
        new StoreMessages.StoreRequest(
            ++calls, operation.ordinal(), name, null, first, 0, body, origin),
        0,
        then);
  }

  /** Sends a call that was made before once more, with the same number or another. */
  public void again(
      final String at,
      final StoreMessages.StoreRequest call,
      final Consumer<StoreMessages.StoreResponse> then) {
    call(
        at,
        new StoreMessages.StoreRequest(
            ++calls,
            call.operation,
            call.name,
            call.owner,
            call.first,
            call.second,
            call.body,
            call.origin,
            call.contentDigest),
        0,
        then);
  }

  /** Asks one frame, and only it. */
  public void ask(
      final String at,
      final StoreOperation operation,
      final long first,
      final long second,
      final Consumer<StoreMessages.StoreResponse> then) {
    call(
        at,
        new StoreMessages.StoreRequest(++calls, operation.ordinal(), "", null, first, second, null),
        3,
        then);
  }

  /** Calls the store at one frame only; whatever it says of others is not followed. */
  public void callOnly(
      final String at,
      final StoreOperation operation,
      final String name,
      final Consumer<StoreMessages.StoreResponse> then) {
    call(
        at,
        new StoreMessages.StoreRequest(++calls, operation.ordinal(), name, null, 0, 0, null),
        3,
        then);
  }

  private void call(
      final String at,
      final StoreMessages.StoreRequest call,
      final int hops,
      final Consumer<StoreMessages.StoreResponse> then) {
    after(
        1 + random.nextInt(3),
        () -> {
          final Machine machine = machines.get(at);
          if (machine == null || machine.replica == null || machine.frozen) {
            return;
          }
          machine.replica.call(
              call,
              answer ->
                  after(
                      1 + random.nextInt(3),
                      () -> {
                        if (answer.status == 0
                            && answer.holder != null
                            && hops < 3
                            && !answer.holder.equals(at)) {
                          call(answer.holder, call, hops + 1, then);
                        } else if (answer.status != 0) {
                          then.accept(answer);
                        }
                      }),
              now);
        });
  }
}
