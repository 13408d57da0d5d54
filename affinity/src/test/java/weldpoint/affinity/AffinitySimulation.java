package weldpoint.affinity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import weldpoint.transport.PlacementMessages;
import weldpoint.transport.PlacementMessages.Placement;
import weldpoint.transport.PlacementMessages.PlacementMember;
import weldpoint.transport.StoreMessages;

/**
 * Simulates proxies, two registries, one register store, nodes and callers on a simulated clock,
 * driven by one seed.
 */
final class AffinitySimulation {
  static final String SERVICE = "desk";
  static final long LEASE_MILLIS = 2000;
  static final long MAX_WRITE_MILLIS = 600;
  private static final long BATCH_MILLIS = 100;

  /** A fault put into the code under test, which the checks must detect. */
  enum Flaw {
    NONE,
    NO_CONFIRMATION,
    NO_LEASE_CHECK,
    DECLINED_ELSEWHERE
  }

  private record Event(long at, long sequence, Runnable action) {}

  final class Node {
    final String id;
    final String address;
    int capacity = 4;
    boolean member = true;
    boolean draining;
    boolean running = true;
    boolean frozen;
    final Map<String, Integer> executing = new HashMap<>();

    Node(final String id, final String address) {
      this.id = id;
      this.address = address;
    }
  }

  private final class Proxy {
    final String address;
    int generation;
    boolean running;
    boolean frozen;
    boolean partitioned;
    AffinityTable affinity;
    Registry registry;
    final List<Runnable> deferred = new ArrayList<>();

    Proxy(final String address) {
      this.address = address;
    }
  }

  private final class Registry {
    final String address;
    PlacementCoordinator coordinator;
    long incarnation;
    boolean running;
    boolean partitioned;
    long confirmedAt = Long.MIN_VALUE / 2;

    Registry(final String address) {
      this.address = address;
    }
  }

  final Random random;
  final Flaw flaw;
  long now = 100_000;
  private long nextSequence;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (one, other) ->
              one.at != other.at
                  ? Long.compare(one.at, other.at)
                  : Long.compare(one.sequence, other.sequence));
  final Map<String, Node> nodes = new LinkedHashMap<>();
  private final List<Proxy> proxies = new ArrayList<>();
  private final List<Registry> registries = new ArrayList<>();
  private final TreeMap<String, Placement> placementRegisters = new TreeMap<>();
  private PlacementMessages.PlacementOwner owner = new PlacementMessages.PlacementOwner(0, "", 0);
  private boolean corePartitioned;
  private int lastId;
  private int lastWriteId;
  final List<String> violations = new ArrayList<>();
  private final Map<String, Integer> runs = new HashMap<>();
  private final Map<String, Set<String>> ranAt = new HashMap<>();
  private final Set<String> confirmed = new HashSet<>();
  private final Map<String, Set<String>> executingNodes = new HashMap<>();
  private final Map<String, String> lastNode = new HashMap<>();
  int confirmedCount;
  int refusedCount;
  int uncertainCount;
  int movedCallers;
  final Map<WriteDecision, Integer> refusalsByDecision = new TreeMap<>();

  AffinitySimulation(final long seed, final Flaw flaw, final int proxyCount, final int nodeCount) {
    this.random = new Random(seed);
    this.flaw = flaw;
    for (int index = 0; index < nodeCount; index++) {
      addNode();
    }
    for (int index = 0; index < 2; index++) {
      final Registry registry = new Registry("e" + index);
      registries.add(registry);
      start(registry);
    }
    for (int index = 0; index < proxyCount; index++) {
      final Proxy proxy = new Proxy("b" + index);
      proxies.add(proxy);
      start(proxy);
    }
    scheduleCoordinatorTick();
  }

  void after(final long millis, final Runnable action) {
    events.add(new Event(now + millis, nextSequence++, action));
  }

  void run(final long millis) {
    final long until = now + millis;
    while (!events.isEmpty() && events.peek().at <= until) {
      final Event event = events.poll();
      now = event.at;
      event.action.run();
    }
    now = until;
  }

  Node addNode() {
    final Node node = new Node("i-" + ++lastId, "10.1.0." + lastId % 9);
    nodes.put(node.id, node);
    return node;
  }

  private List<PlacementMember> members() {
    final List<PlacementMember> members = new ArrayList<>();
    for (final Node node : nodes.values()) {
      if (node.member && !node.draining) {
        members.add(new PlacementMember(node.id, node.capacity, "a"));
      }
    }
    return PlacementCoordinator.sortedById(members);
  }

  private long placementVersion() {
    long version = 0;
    for (final Placement placement : placementRegisters.values()) {
      version += placement.serial;
    }
    return version;
  }

  private <T> CompletableFuture<StoreMessages.StoreResponse> decide(
      final Registry from, final java.util.function.Supplier<Integer> write) {
    final CompletableFuture<StoreMessages.StoreResponse> future = new CompletableFuture<>();
    final long incarnation = from.incarnation;
    after(
        2 + random.nextInt(30),
        () -> {
          if (corePartitioned || from.partitioned) {
            future.completeExceptionally(new IllegalStateException("no majority"));
            return;
          }
          final int status = write.get();
          after(
              2 + random.nextInt(30),
              () -> {
                if (from.running && from.incarnation == incarnation) {
                  future.complete(new StoreMessages.StoreResponse(0, status, 0, null, null));
                }
              });
        });
    return future;
  }

  private void start(final Registry registry) {
    registry.running = true;
    registry.incarnation = ++lastId;
    registry.confirmedAt = Long.MIN_VALUE / 2;
    final PlacementCoordinator.Writer writer =
        new PlacementCoordinator.Writer() {
          @Override
          public CompletableFuture<StoreMessages.StoreResponse> writeOwner(
              final PlacementMessages.PlacementOwner next, final long at) {
            return decide(
                registry,
                () -> {
                  if (next.serial != owner.serial + 1) {
                    return 412;
                  }
                  owner = next;
                  return 200;
                });
          }

          @Override
          public CompletableFuture<StoreMessages.StoreResponse> writePlacement(
              final Placement next, final long at) {
            return decide(
                registry,
                () -> {
                  final Placement previous = placementRegisters.get(next.service);
                  if (next.serial != (previous == null ? 0 : previous.serial) + 1) {
                    return 412;
                  }
                  placementRegisters.put(next.service, next);
                  return 200;
                });
          }
        };
    registry.coordinator =
        flaw == Flaw.NO_CONFIRMATION
            ? new PlacementCoordinator(
                registry.address, registry.incarnation, LEASE_MILLIS, BATCH_MILLIS, writer) {
              @Override
              protected boolean isSettled(final Placement prepared, final long at) {
                return true;
              }
            }
            : new PlacementCoordinator(
                registry.address, registry.incarnation, LEASE_MILLIS, BATCH_MILLIS, writer);
    pollRegisters(registry, registry.incarnation);
  }

  private void pollRegisters(final Registry registry, final long incarnation) {
    final long asked = now;
    after(
        3 + random.nextInt(20),
        () -> {
          if (registry.running
              && registry.incarnation == incarnation
              && !corePartitioned
              && !registry.partitioned) {
            final List<Placement> storedPlacements = new ArrayList<>(placementRegisters.values());
            final PlacementMessages.PlacementOwner storedOwner = owner;
            final long version = placementVersion();
            after(
                3 + random.nextInt(20),
                () -> {
                  if (registry.running && registry.incarnation == incarnation) {
                    registry.confirmedAt = Math.max(registry.confirmedAt, asked);
                    if (registry.coordinator.update(storedPlacements, storedOwner, version, now)) {
                      proxies.forEach(proxy -> pushPlacements(registry, proxy));
                    }
                  }
                });
          }
        });
    after(
        60 + random.nextInt(200),
        () -> {
          if (registry.running && registry.incarnation == incarnation) {
            pollRegisters(registry, incarnation);
          }
        });
  }

  private void pushPlacements(final Registry registry, final Proxy proxy) {
    if (proxy.running && proxy.registry == registry) {
      final PlacementMessages.Placements placements = registry.coordinator.placements();
      final int generation = proxy.generation;
      after(
          2 + random.nextInt(8),
          () ->
              deliverFromCore(
                  proxy, generation, () -> proxy.affinity.updatePlacements(placements, now)));
    }
  }

  private void deliverFromCore(final Proxy proxy, final int generation, final Runnable action) {
    if (!proxy.partitioned) {
      deliver(proxy, generation, action);
    }
  }

  private void deliver(final Proxy proxy, final int generation, final Runnable action) {
    if (!proxy.running || proxy.generation != generation) {
      return;
    }
    if (proxy.frozen) {
      proxy.deferred.add(() -> deliver(proxy, generation, action));
      return;
    }
    action.run();
  }

  private void start(final Proxy proxy) {
    proxy.running = true;
    proxy.frozen = false;
    proxy.deferred.clear();
    final int generation = ++proxy.generation;
    proxy.affinity =
        newAffinityTable(
            proxy,
            request -> {
              final Registry connected = proxy.registry;
              if (proxy.partitioned || connected == null) {
                return;
              }
              after(
                  2 + random.nextInt(8),
                  () -> {
                    if (!connected.running) {
                      return;
                    }
                    if (connected.coordinator.isOwner()) {
                      deliverGrant(
                          proxy,
                          generation,
                          connected.coordinator.handleLeaseRequest(
                              request, connected.confirmedAt, now));
                    } else {
                      for (final Registry other : registries) {
                        if (other != connected
                            && other.running
                            && !other.partitioned
                            && !connected.partitioned
                            && other.address.equals(connected.coordinator.owner())) {
                          after(
                              2 + random.nextInt(8),
                              () -> {
                                if (other.running) {
                                  deliverGrant(
                                      proxy,
                                      generation,
                                      other.coordinator.handleLeaseRequest(
                                          request, other.confirmedAt, now));
                                }
                              });
                        }
                      }
                    }
                  });
            });
    proxy.registry = registries.get(random.nextInt(registries.size()));
    tick(proxy, generation);
  }

  private AffinityTable newAffinityTable(
      final Proxy proxy,
      final java.util.function.Consumer<PlacementMessages.LeaseRequest> leaseRequestSender) {
    return flaw != Flaw.NO_LEASE_CHECK
        ? new AffinityTable(proxy.address, ++lastId, LEASE_MILLIS, leaseRequestSender)
        : new AffinityTable(proxy.address, ++lastId, LEASE_MILLIS, leaseRequestSender) {
          @Override
          public boolean hasLease(final long at) {
            return true;
          }
        };
  }

  private void deliverGrant(
      final Proxy proxy, final int generation, final PlacementMessages.LeaseGrant grant) {
    after(
        2 + random.nextInt(8),
        () -> deliverFromCore(proxy, generation, () -> proxy.affinity.onLeaseGrant(grant, now)));
  }

  private void tick(final Proxy proxy, final int generation) {
    after(
        50,
        () -> {
          if (proxy.running && proxy.generation == generation) {
            if (!proxy.frozen) {
              if (!proxy.registry.running
                  || proxy.registry.partitioned
                  || random.nextInt(100) == 0) {
                proxy.registry = registries.get(random.nextInt(registries.size()));
              }
              pushPlacements(proxy.registry, proxy);
              proxy.affinity.tick(now);
            }
            tick(proxy, generation);
          }
        });
  }

  private void scheduleCoordinatorTick() {
    after(
        40,
        () -> {
          for (final Registry registry : registries) {
            if (registry.running) {
              registry.coordinator.desiredMembers(Map.of(SERVICE, members()), MAX_WRITE_MILLIS);
              boolean reachable = false;
              for (final Registry other : registries) {
                reachable |=
                    other.address.equals(registry.coordinator.owner())
                        && other.running
                        && (other == registry || !other.partitioned && !registry.partitioned);
              }
              registry.coordinator.tick(true, reachable, now - registry.confirmedAt < 1000, now);
            }
          }
          scheduleCoordinatorTick();
        });
  }

  // Callers and their writes.

  /** A caller sends a write to a random proxy. */
  void write(final String caller) {
    final Proxy proxy = proxies.get(random.nextInt(proxies.size()));
    if (!proxy.running) {
      return;
    }
    final String id = "w" + ++lastWriteId;
    final int generation = proxy.generation;
    after(
        random.nextInt(5),
        () -> deliver(proxy, generation, () -> send(proxy, generation, caller, id, now)));
  }

  private void send(
      final Proxy proxy,
      final int generation,
      final String caller,
      final String id,
      final long arrivedAt) {
    final long hash = Rendezvous.callerHash(SERVICE, caller);
    final WriteDecision decision = proxy.affinity.decide(SERVICE, hash, member -> true, now);
    if (decision != WriteDecision.GO) {
      if (decision.isTransient() && now - arrivedAt < 200) {
        after(
            25,
            () -> deliver(proxy, generation, () -> send(proxy, generation, caller, id, arrivedAt)));
      } else {
        refused(id, decision);
      }
      return;
    }
    final Node node = nodes.get(proxy.affinity.chosenNode().id);
    final long deadline = now + MAX_WRITE_MILLIS;
    final AffinityTable.PendingWrite pendingWrite =
        proxy.affinity.beginWrite(SERVICE, hash, node.id, member -> true, deadline);
    deliverWrite(proxy, generation, caller, id, node, pendingWrite, deadline, false);
  }

  private void refused(final String id, final WriteDecision decision) {
    refusedCount++;
    refusalsByDecision.merge(decision, 1, Integer::sum);
    if (runs.getOrDefault(id, 0) > 0) {
      violations.add(id + " was executed and refused");
    }
  }

  private void deliverWrite(
      final Proxy proxy,
      final int generation,
      final String caller,
      final String id,
      final Node node,
      final AffinityTable.PendingWrite pendingWrite,
      final long deadline,
      final boolean retried) {
    after(
        1 + random.nextInt(4),
        () -> {
          if (!node.running) {
            after(
                1,
                () ->
                    deliver(
                        proxy,
                        generation,
                        () -> {
                          pendingWrite.markEnded();
                          refused(id, WriteDecision.DECLINED);
                        }));
            return;
          }
          final int busy = node.executing.values().stream().mapToInt(Integer::intValue).sum();
          if (busy >= node.capacity * 2 || node.frozen) {
            after(
                1,
                () ->
                    deliver(
                        proxy,
                        generation,
                        () -> {
                          pendingWrite.markEnded();
                          final List<Node> others = new ArrayList<>(nodes.values());
                          others.removeIf(other -> !other.running || other == node);
                          if (flaw == Flaw.DECLINED_ELSEWHERE && !retried && !others.isEmpty()) {
                            deliverWrite(
                                proxy,
                                generation,
                                caller,
                                id,
                                others.get(random.nextInt(others.size())),
                                pendingWrite,
                                deadline,
                                true);
                          } else {
                            refused(id, WriteDecision.DECLINED);
                          }
                        }));
            return;
          }
          execute(proxy, generation, caller, id, node, pendingWrite, deadline);
        });
  }

  private void execute(
      final Proxy proxy,
      final int generation,
      final String caller,
      final String id,
      final Node node,
      final AffinityTable.PendingWrite pendingWrite,
      final long deadline) {
    if (runs.merge(id, 1, Integer::sum) > 1) {
      violations.add(id + " was executed twice");
    }
    ranAt.computeIfAbsent(id, key -> new HashSet<>()).add(node.id);
    node.executing.merge(caller, 1, Integer::sum);
    final Set<String> at = executingNodes.computeIfAbsent(caller, key -> new HashSet<>());
    at.add(node.id);
    if (at.size() > 1) {
      violations.add(
          "caller " + caller + " has writes executing on two nodes, " + at + ", at " + now);
    }
    if (!node.id.equals(lastNode.put(caller, node.id))) {
      movedCallers++;
    }
    final long took =
        Math.min(deadline - now, 20 + random.nextInt(random.nextInt(10) == 0 ? 500 : 120));
    after(
        took,
        () -> {
          if (node.executing.merge(caller, -1, Integer::sum) <= 0) {
            node.executing.remove(caller);
            executingNodes.get(caller).remove(node.id);
          }
          if (!node.running) {
            after(1, () -> deliver(proxy, generation, () -> uncertainCount++));
            return;
          }
          final boolean lost = random.nextInt(60) == 0;
          after(
              1 + random.nextInt(4),
              () ->
                  deliver(
                      proxy,
                      generation,
                      () -> {
                        if (lost) {
                          uncertainCount++;
                        } else {
                          pendingWrite.markEnded();
                          confirmed.add(id);
                          confirmedCount++;
                        }
                      }));
        });
  }

  // Faults and final checks.

  void injectFault() {
    final List<Node> activeNodes = new ArrayList<>(nodes.values());
    activeNodes.removeIf(node -> !node.member || node.draining);
    final Node node =
        activeNodes.isEmpty() ? null : activeNodes.get(random.nextInt(activeNodes.size()));
    final Proxy proxy = proxies.get(random.nextInt(proxies.size()));
    final Registry registry = registries.get(random.nextInt(registries.size()));
    switch (random.nextInt(10)) {
      case 0, 1 -> addNode();
      case 2, 3 -> {
        if (activeNodes.size() > 3) {
          node.draining = true;
          after(
              1500,
              () -> {
                node.running = false;
                node.member = false;
              });
        }
      }
      case 4 -> {
        if (activeNodes.size() > 3) {
          node.running = false;
          after(700, () -> node.member = false);
        }
      }
      case 5 -> {
        if (node != null) {
          node.frozen = true;
          after(1200, () -> node.frozen = false);
        }
      }
      case 6 -> {
        proxy.frozen = true;
        after(
            500 + random.nextInt(5000),
            () -> {
              proxy.frozen = false;
              final List<Runnable> deferred = new ArrayList<>(proxy.deferred);
              proxy.deferred.clear();
              deferred.forEach(Runnable::run);
            });
      }
      case 7 -> {
        proxy.running = false;
        after(400 + random.nextInt(2000), () -> start(proxy));
      }
      case 8 -> {
        proxy.partitioned = true;
        after(1000 + random.nextInt(5000), () -> proxy.partitioned = false);
      }
      default -> {
        switch (random.nextInt(3)) {
          case 0 -> {
            corePartitioned = true;
            after(1000 + random.nextInt(4000), () -> corePartitioned = false);
          }
          case 1 -> {
            registry.running = false;
            after(300 + random.nextInt(3000), () -> start(registry));
          }
          default -> {
            registry.partitioned = true;
            after(1000 + random.nextInt(4000), () -> registry.partitioned = false);
          }
        }
      }
    }
  }

  /** Disconnects every second proxy from the core for 5 s and adds two nodes meanwhile. */
  void partitionEverySecondProxy() {
    for (int index = 0; index < proxies.size(); index += 2) {
      final Proxy proxy = proxies.get(index);
      proxy.partitioned = true;
      after(5000, () -> proxy.partitioned = false);
    }
    addNode();
    addNode();
  }

  /** Runs the final checks and returns all violations. */
  List<String> finish() {
    for (final String id : confirmed) {
      if (runs.getOrDefault(id, 0) != 1) {
        violations.add(id + " was confirmed and executed " + runs.getOrDefault(id, 0) + " times");
      }
      if (ranAt.get(id).size() != 1) {
        violations.add(id + " was executed by " + ranAt.get(id));
      }
    }
    return violations;
  }

  /** Returns the epoch in force. */
  long epoch() {
    final Placement placement = placementRegisters.get(SERVICE);
    return placement == null ? 0 : placement.epoch;
  }

  /** Returns whether an epoch is prepared and not in force yet. */
  boolean prepared() {
    final Placement placement = placementRegisters.get(SERVICE);
    return placement != null && placement.nextPrepared;
  }
}
