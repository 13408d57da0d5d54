package weldpoint.registry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import weldpoint.statestore.StoreOperation;
import weldpoint.statestore.StoredValues;
import weldpoint.transport.Compression;
import weldpoint.transport.Message;
import weldpoint.transport.RegistryMessages;
import weldpoint.transport.RegistryMessages.Registration;
import weldpoint.transport.Serializer;
import weldpoint.transport.StateStoreMessages;
import weldpoint.transport.StoreMessages;

/**
 * Exchanges over scripted frames, on a fake clock: lines that can be cut one way, freezes, restarts
 * with and without disks.
 */
final class SimulatedCoreNetwork {
  private static final long LINK_MILLIS = 5;
  private static final long SILENCE_MILLIS = 1900;

  private record Event(long at, long order, Runnable action) {}

  /** One core machine. */
  final class Node {
    final String address;
    final List<byte[]> disk = new ArrayList<>();
    final Map<Object, List<Message>> told = new LinkedHashMap<>();
    final Set<String> open = new HashSet<>();
    final Map<String, Long> silentSince = new HashMap<>();
    final List<Runnable> heldUp = new ArrayList<>();
    RegistryCore core;
    long life;
    boolean frozen;

    Node(final String address) {
      this.address = address;
    }

    void start(final boolean first) {
      final long mine = ++life;
      open.clear();
      told.clear();
      heldUp.clear();
      core =
          new RegistryCore(
              address,
              seeds,
              first,
              1500,
              new Random(address.hashCode() + life),
              new RegistryCore.Environment() {
                @Override
                public boolean member(final String to, final Message message) {
                  if (!open.contains(to)) {
                    return false;
                  }
                  send(
                      Node.this,
                      to,
                      () -> {
                        final Node peer = nodes.get(to);
                        peer.core.receive(
                            address,
                            copy(message),
                            answer ->
                                send(
                                    peer,
                                    address,
                                    () -> {
                                      if (life == mine) {
                                        core.receive(to, copy(answer), ignored -> {}, now);
                                      }
                                    }),
                            now);
                      });
                  return true;
                }

                @Override
                public boolean frame(final String to, final StoreMessages.StoreRequest call) {
                  if (!to.equals(address) && !open.contains(to)) {
                    return false;
                  }
                  send(
                      Node.this,
                      to,
                      () ->
                          answerCall(
                              to,
                              call,
                              answer ->
                                  send(
                                      nodes.get(to),
                                      address,
                                      () -> {
                                        if (life == mine) {
                                          core.answered(
                                              to, answer.withCaller(call.callerIncarnation), now);
                                        }
                                      })));
                  return true;
                }

                @Override
                public void board(final Object stream, final Message message) {
                  told.computeIfAbsent(stream, key -> new ArrayList<>()).add(message);
                }

                @Override
                public void append(final byte[] record, final Runnable synced) {
                  after(
                      Node.this,
                      2,
                      () -> {
                        if (life == mine) {
                          disk.add(record);
                          synced.run();
                        }
                      });
                }

                @Override
                public void peers(final List<String> members) {}
              });
      if (judges != null) {
        judges.accept(this);
      }
      core.start(new ArrayList<>(disk), now);
    }

    List<RegistryMessages.View> views(final Object stream) {
      return told.getOrDefault(stream, List.of()).stream()
          .filter(message -> message instanceof RegistryMessages.View)
          .map(message -> (RegistryMessages.View) message)
          .toList();
    }

    /** A switchboard opens a stream; version is what it has in force. */
    void opens(final Object stream, final long version) {
      core.boardState(
          stream,
          new RegistryMessages.DaemonEntry(
              "10.9.0." + stream,
              "10.9.0." + stream + ":80",
              "z",
              "r",
              1,
              false,
              0,
              false,
              version,
              0,
              0),
          null,
          now);
    }

    /** The newest configuration that a stream was given; 0 where none was. */
    long given(final Object stream) {
      return views(stream).stream()
          .filter(view -> view.spec != null)
          .mapToLong(view -> view.version)
          .max()
          .orElse(0);
    }
  }

  final List<String> seeds;
  final Map<String, Node> nodes = new LinkedHashMap<>();
  final Set<String> cut = new HashSet<>();
  java.util.function.Consumer<Node> judges;
  long now = 10_000;
  StateStoreMessages.Roster roster;
  long version;
  List<String> evacuated = List.of();
  long evacuationMark;
  boolean framesDown;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          java.util.Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
  private long order;

  SimulatedCoreNetwork(final int machines, final int voters) {
    seeds = new ArrayList<>();
    for (int index = 1; index <= machines; index++) {
      nodes.put("10.0.0." + index, new Node("10.0.0." + index));
      if (index <= voters) {
        seeds.add("10.0.0." + index);
      }
    }
    roster = roster(1, seeds);
  }

  static StateStoreMessages.Roster roster(final long number, final List<String> addresses) {
    final List<StateStoreMessages.Voter> voters = new ArrayList<>();
    addresses.forEach(
        address -> voters.add(new StateStoreMessages.Voter(address, address, "r", List.of())));
    return new StateStoreMessages.Roster(number, voters);
  }

  static byte[] spec(final long version) {
    return Compression.deflate(
        ("{\"version\":\"" + String.format("%08x", version) + "\",\"listeners\":[],\"pools\":[]}")
            .getBytes(java.nio.charset.StandardCharsets.UTF_8));
  }

  static Registration upstream(final String id, final LifecycleStage stage, final long sequence) {
    return new Registration(id, "s", "10.8.0.1:80", "z", "v", 4, stage.ordinal(), sequence, 1, 0);
  }

  SimulatedCoreNetwork startAll(final boolean first) {
    nodes.values().forEach(node -> node.start(first));
    return this;
  }

  Node node(final int index) {
    return nodes.get("10.0.0." + index);
  }

  /** Cuts all that one machine sends to the others, or that they send to it, or both. */
  void cut(final int index, final boolean out, final boolean in) {
    nodes.keySet().forEach(other -> cut("10.0.0." + index, other, out, in));
  }

  void cut(final String one, final String other, final boolean out, final boolean in) {
    if (!one.equals(other)) {
      if (out) {
        cut.add(one + ">" + other);
      }
      if (in) {
        cut.add(other + ">" + one);
      }
    }
  }

  @SuppressWarnings("unchecked")
  private static <T extends Message> T copy(final T message) {
    return (T) Serializer.deserialize(Serializer.serialize(message), message.getClass());
  }

  private boolean passes(final String from, final String to) {
    return !cut.contains(from + ">" + to) && nodes.get(to).life > 0;
  }

  private void after(final Node node, final long millis, final Runnable action) {
    events.add(
        new Event(
            now + millis,
            ++order,
            () -> {
              if (node.frozen) {
                node.heldUp.add(action);
              } else {
                action.run();
              }
            }));
  }

  private void send(final Node from, final String to, final Runnable action) {
    if (from.address.equals(to) || passes(from.address, to)) {
      after(nodes.get(to), from.address.equals(to) ? 1 : LINK_MILLIS, action);
    }
  }

  private boolean majority(final String address) {
    int count = 0;
    for (final StateStoreMessages.Voter voter : roster.voters) {
      final boolean runs = nodes.get(voter.address).life > 0 && !nodes.get(voter.address).frozen;
      count +=
          runs
                  && (voter.address.equals(address)
                      || passes(address, voter.address) && passes(voter.address, address))
              ? 1
              : 0;
    }
    return !framesDown && count >= roster.majority();
  }

  /**
   * The frame of a machine answers where a majority confirms, as the frames do: at once with news,
   * else after a while.
   */
  private void answerCall(
      final String at,
      final StoreMessages.StoreRequest call,
      final java.util.function.Consumer<StoreMessages.StoreResponse> reply) {
    if (StoreOperation.of(call.operation) != StoreOperation.CONTROL || !majority(at)) {
      return;
    }
    final boolean news = version > call.first || call.second != evacuationMark;
    final StoreMessages.StoreResponse asked = control(call);
    final Runnable answer = () -> reply.accept(majority(at) ? control(call) : asked);
    if (news) {
      answer.run();
    } else {
      after(nodes.get(at), 700, answer);
    }
  }

  private StoreMessages.StoreResponse control(final StoreMessages.StoreRequest call) {
    final StoredValues.ControlSnapshot control =
        new StoredValues.ControlSnapshot(
            version,
            version > call.first ? spec(version) : null,
            evacuated,
            evacuationMark,
            roster,
            List.of(),
            0,
            null,
            List.of(),
            false,
            0,
            null,
            null);
    return new StoreMessages.StoreResponse(
        call.number, 200, version, Serializer.serialize(control), null);
  }

  /** Restarts a machine: without its disk, what it held is lost. */
  void restart(final int index, final boolean disk) {
    final Node node = node(index);
    if (!disk) {
      node.disk.clear();
    }
    node.start(false);
    nodes.values().forEach(other -> other.open.remove(node.address));
    nodes.values().forEach(other -> other.core.memberClosed(node.address, now));
  }

  void freeze(final int index) {
    node(index).frozen = true;
  }

  void thaw(final int index) {
    final Node node = node(index);
    node.frozen = false;
    final List<Runnable> due = new ArrayList<>(node.heldUp);
    node.heldUp.clear();
    due.forEach(Runnable::run);
  }

  /** Lines open where both ways pass, and end after a silence. */
  private void lines() {
    for (final Node node : nodes.values()) {
      if (node.life == 0 || node.frozen) {
        continue;
      }
      for (final String other : nodes.keySet()) {
        if (other.equals(node.address)) {
          continue;
        }
        final boolean both =
            passes(node.address, other) && passes(other, node.address) && !nodes.get(other).frozen;
        if (both) {
          node.silentSince.put(other, now);
          if (node.open.add(other)) {
            node.core.memberOpened(other, now);
          }
        } else if (now - node.silentSince.getOrDefault(other, now) >= SILENCE_MILLIS
            && node.open.remove(other)) {
          node.core.memberClosed(other, now);
          node.core.frameClosed(other, now);
        }
      }
    }
  }

  void pass(final long millis) {
    final long end = now + millis;
    while (now < end) {
      now++;
      while (!events.isEmpty() && events.peek().at <= now) {
        events.poll().action.run();
      }
      if (now % 40 == 0) {
        lines();
        for (final Node node : nodes.values()) {
          if (node.life > 0 && !node.frozen) {
            node.core.tick(now);
          }
        }
      }
    }
  }
}
