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
 * A simulated network of registries on a fake clock, with a scripted state store: connections that
 * can be cut in one direction, frozen processes, restarts with and without the disk.
 */
final class SimulatedCoreNetwork {
  private static final long LINK_MILLIS = 5;
  private static final long DISCONNECT_MILLIS = 1900;

  private record Event(long at, long order, Runnable action) {}

  /** A core machine. */
  final class Node {
    final String address;
    final List<byte[]> disk = new ArrayList<>();
    final Map<Object, List<Message>> sentToStreams = new LinkedHashMap<>();
    final Set<String> connections = new HashSet<>();
    final Map<String, Long> silentSince = new HashMap<>();
    final List<Runnable> deferred = new ArrayList<>();
    RegistryCore core;
    long incarnation;
    boolean frozen;

    Node(final String address) {
      this.address = address;
    }

    void start(final boolean firstStart) {
      final long mine = ++incarnation;
      connections.clear();
      sentToStreams.clear();
      deferred.clear();
      core =
          new RegistryCore(
              address,
              seeds,
              firstStart,
              1500,
              new Random(address.hashCode() + incarnation),
              new RegistryCore.Environment() {
                @Override
                public boolean sendToMember(final String to, final Message message) {
                  if (!connections.contains(to)) {
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
                                      if (incarnation == mine) {
                                        core.receive(to, copy(answer), ignored -> {}, now);
                                      }
                                    }),
                            now);
                      });
                  return true;
                }

                @Override
                public boolean sendToReplica(
                    final String to, final StoreMessages.StoreRequest call) {
                  if (!to.equals(address) && !connections.contains(to)) {
                    return false;
                  }
                  send(
                      Node.this,
                      to,
                      () ->
                          answerStoreCall(
                              to,
                              call,
                              answer ->
                                  send(
                                      nodes.get(to),
                                      address,
                                      () -> {
                                        if (incarnation == mine) {
                                          core.onStoreResponse(
                                              to, answer.withCaller(call.callerIncarnation), now);
                                        }
                                      })));
                  return true;
                }

                @Override
                public void sendToStream(final Object stream, final Message message) {
                  sentToStreams.computeIfAbsent(stream, key -> new ArrayList<>()).add(message);
                }

                @Override
                public void append(final byte[] record, final Runnable synced) {
                  after(
                      Node.this,
                      2,
                      () -> {
                        if (incarnation == mine) {
                          disk.add(record);
                          synced.run();
                        }
                      });
                }

                @Override
                public void updatePeers(final List<String> members) {}
              });
      if (checksOverride != null) {
        checksOverride.accept(this);
      }
      core.start(new ArrayList<>(disk), now);
    }

    List<RegistryMessages.View> views(final Object stream) {
      return sentToStreams.getOrDefault(stream, List.of()).stream()
          .filter(message -> message instanceof RegistryMessages.View)
          .map(message -> (RegistryMessages.View) message)
          .toList();
    }

    /** Opens a stream of a proxy that has applied this version of the configuration. */
    void openStream(final Object stream, final long appliedVersion) {
      core.onDaemonReport(
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
              appliedVersion,
              0,
              0),
          null,
          now);
    }

    /** The newest configuration version sent to a stream; 0 if none was. */
    long latestVersionSentTo(final Object stream) {
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
  java.util.function.Consumer<Node> checksOverride;
  long now = 10_000;
  StateStoreMessages.Roster roster;
  long version;
  List<String> evacuated = List.of();
  long evacuationMark;
  boolean storeDown;
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

  /** Cuts what a machine sends to all others, what they send to it, or both. */
  void cut(final int index, final boolean out, final boolean in) {
    nodes.keySet().forEach(to -> cut("10.0.0." + index, to, out, in));
  }

  void cut(final String from, final String to, final boolean out, final boolean in) {
    if (!from.equals(to)) {
      if (out) {
        cut.add(from + ">" + to);
      }
      if (in) {
        cut.add(to + ">" + from);
      }
    }
  }

  @SuppressWarnings("unchecked")
  private static <T extends Message> T copy(final T message) {
    return (T) Serializer.deserialize(Serializer.serialize(message), message.getClass());
  }

  private boolean delivers(final String from, final String to) {
    return !cut.contains(from + ">" + to) && nodes.get(to).incarnation > 0;
  }

  private void after(final Node node, final long millis, final Runnable action) {
    events.add(
        new Event(
            now + millis,
            ++order,
            () -> {
              if (node.frozen) {
                node.deferred.add(action);
              } else {
                action.run();
              }
            }));
  }

  private void send(final Node from, final String to, final Runnable action) {
    if (from.address.equals(to) || delivers(from.address, to)) {
      after(nodes.get(to), from.address.equals(to) ? 1 : LINK_MILLIS, action);
    }
  }

  private boolean hasMajority(final String address) {
    int count = 0;
    for (final StateStoreMessages.Voter voter : roster.voters) {
      final boolean runs =
          nodes.get(voter.address).incarnation > 0 && !nodes.get(voter.address).frozen;
      count +=
          runs
                  && (voter.address.equals(address)
                      || delivers(address, voter.address) && delivers(voter.address, address))
              ? 1
              : 0;
    }
    return !storeDown && count >= roster.majority();
  }

  /**
   * Answers a call as the state store replica of a machine does if a majority confirms: at once if
   * something changed, otherwise after 700 ms.
   */
  private void answerStoreCall(
      final String at,
      final StoreMessages.StoreRequest call,
      final java.util.function.Consumer<StoreMessages.StoreResponse> reply) {
    if (StoreOperation.of(call.operation) != StoreOperation.CONTROL || !hasMajority(at)) {
      return;
    }
    final boolean news = version > call.first || call.second != evacuationMark;
    final StoreMessages.StoreResponse asked = controlResponse(call);
    final Runnable answer = () -> reply.accept(hasMajority(at) ? controlResponse(call) : asked);
    if (news) {
      answer.run();
    } else {
      after(nodes.get(at), 700, answer);
    }
  }

  private StoreMessages.StoreResponse controlResponse(final StoreMessages.StoreRequest call) {
    final StoredValues.ControlSnapshot snapshot =
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
        call.number, 200, version, Serializer.serialize(snapshot), null);
  }

  /** Restarts a machine, with its disk or with an empty one. */
  void restart(final int index, final boolean disk) {
    final Node node = node(index);
    if (!disk) {
      node.disk.clear();
    }
    node.start(false);
    nodes.values().forEach(other -> other.connections.remove(node.address));
    nodes.values().forEach(other -> other.core.onMemberDisconnected(node.address, now));
  }

  void freeze(final int index) {
    node(index).frozen = true;
  }

  void unfreeze(final int index) {
    final Node node = node(index);
    node.frozen = false;
    final List<Runnable> deferred = new ArrayList<>(node.deferred);
    node.deferred.clear();
    deferred.forEach(Runnable::run);
  }

  /**
   * Opens connections where both directions pass, and closes those that have been silent for too
   * long.
   */
  private void updateConnections() {
    for (final Node node : nodes.values()) {
      if (node.incarnation == 0 || node.frozen) {
        continue;
      }
      for (final String other : nodes.keySet()) {
        if (other.equals(node.address)) {
          continue;
        }
        final boolean bothWays =
            delivers(node.address, other)
                && delivers(other, node.address)
                && !nodes.get(other).frozen;
        if (bothWays) {
          node.silentSince.put(other, now);
          if (node.connections.add(other)) {
            node.core.onMemberConnected(other, now);
          }
        } else if (now - node.silentSince.getOrDefault(other, now) >= DISCONNECT_MILLIS
            && node.connections.remove(other)) {
          node.core.onMemberDisconnected(other, now);
          node.core.onReplicaDisconnected(other, now);
        }
      }
    }
  }

  void advance(final long millis) {
    final long end = now + millis;
    while (now < end) {
      now++;
      while (!events.isEmpty() && events.peek().at <= now) {
        events.poll().action.run();
      }
      if (now % 40 == 0) {
        updateConnections();
        for (final Node node : nodes.values()) {
          if (node.incarnation > 0 && !node.frozen) {
            node.core.tick(now);
          }
        }
      }
    }
  }
}
