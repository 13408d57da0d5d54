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
 * A busy morning on a fake clock: switchboards, two exchanges, one register store, nodes and
 * callers, driven by one seed.
 */
final class AffinitySimulation {
  static final String SERVICE = "desk";
  static final long LEASE = 2000;
  static final long LONGEST = 600;
  private static final long BATCH = 100;

  /** What is broken on purpose. */
  enum Flaw {
    NONE,
    NO_CONFIRMATION,
    NO_LEASE_CHECK,
    DECLINED_ELSEWHERE
  }

  private record Event(long at, long order, Runnable deed) {}

  final class Node {
    final String id;
    final String address;
    int capacity = 4;
    boolean member = true;
    boolean draining;
    boolean running = true;
    boolean frozen;
    final Map<String, Integer> working = new HashMap<>();

    Node(final String id, final String address) {
      this.id = id;
      this.address = address;
    }
  }

  private final class Proxy {
    final String address;
    int life;
    boolean running;
    boolean frozen;
    boolean cut;
    AffinityTable affinity;
    Registry exchange;
    final List<Runnable> held = new ArrayList<>();

    Proxy(final String address) {
      this.address = address;
    }
  }

  private final class Registry {
    final String address;
    PlacementCoordinator coordinator;
    long incarnation;
    boolean running;
    boolean cut;
    long confirmedAt = Long.MIN_VALUE / 2;

    Registry(final String address) {
      this.address = address;
    }
  }

  final Random random;
  final Flaw flaw;
  long now = 100_000;
  private long order;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (one, other) ->
              one.at != other.at
                  ? Long.compare(one.at, other.at)
                  : Long.compare(one.order, other.order));
  final Map<String, Node> nodes = new LinkedHashMap<>();
  private final List<Proxy> boards = new ArrayList<>();
  private final List<Registry> exchanges = new ArrayList<>();
  private final TreeMap<String, Placement> registers = new TreeMap<>();
  private PlacementMessages.PlacementOwner keeper = new PlacementMessages.PlacementOwner(0, "", 0);
  private boolean coreCut;
  private int lives;
  private int writes;
  final List<String> breaches = new ArrayList<>();
  private final Map<String, Integer> runs = new HashMap<>();
  private final Map<String, Set<String>> ranAt = new HashMap<>();
  private final Set<String> confirmed = new HashSet<>();
  private final Map<String, Set<String>> workingFor = new HashMap<>();
  private final Map<String, String> lastNode = new HashMap<>();
  int confirmedCount;
  int refusedCount;
  int uncertainCount;
  int movedCallers;
  final Map<WriteDecision, Integer> verdicts = new TreeMap<>();

  AffinitySimulation(final long seed, final Flaw flaw, final int boardCount, final int nodeCount) {
    this.random = new Random(seed);
    this.flaw = flaw;
    for (int index = 0; index < nodeCount; index++) {
      join();
    }
    for (int index = 0; index < 2; index++) {
      final Registry exchange = new Registry("e" + index);
      exchanges.add(exchange);
      start(exchange);
    }
    for (int index = 0; index < boardCount; index++) {
      final Proxy board = new Proxy("b" + index);
      boards.add(board);
      start(board);
    }
    loop();
  }

  void after(final long millis, final Runnable deed) {
    events.add(new Event(now + millis, order++, deed));
  }

  void run(final long millis) {
    final long until = now + millis;
    while (!events.isEmpty() && events.peek().at <= until) {
      final Event event = events.poll();
      now = event.at;
      event.deed.run();
    }
    now = until;
  }

  Node join() {
    final Node node = new Node("i-" + ++lives, "10.1.0." + lives % 9);
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
    return PlacementCoordinator.sorted(members);
  }

  private long mark() {
    long mark = 0;
    for (final Placement placement : registers.values()) {
      mark += placement.serial;
    }
    return mark;
  }

  private <T> CompletableFuture<StoreMessages.StoreResponse> decide(
      final Registry from, final java.util.function.Supplier<Integer> write) {
    final CompletableFuture<StoreMessages.StoreResponse> future = new CompletableFuture<>();
    final long incarnation = from.incarnation;
    after(
        2 + random.nextInt(30),
        () -> {
          if (coreCut || from.cut) {
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

  private void start(final Registry exchange) {
    exchange.running = true;
    exchange.incarnation = ++lives;
    exchange.confirmedAt = Long.MIN_VALUE / 2;
    final PlacementCoordinator.Writer writer =
        new PlacementCoordinator.Writer() {
          @Override
          public CompletableFuture<StoreMessages.StoreResponse> keeper(
              final PlacementMessages.PlacementOwner next, final long at) {
            return decide(
                exchange,
                () -> {
                  if (next.serial != keeper.serial + 1) {
                    return 412;
                  }
                  keeper = next;
                  return 200;
                });
          }

          @Override
          public CompletableFuture<StoreMessages.StoreResponse> placement(
              final Placement next, final long at) {
            return decide(
                exchange,
                () -> {
                  final Placement before = registers.get(next.service);
                  if (next.serial != (before == null ? 0 : before.serial) + 1) {
                    return 412;
                  }
                  registers.put(next.service, next);
                  return 200;
                });
          }
        };
    exchange.coordinator =
        flaw == Flaw.NO_CONFIRMATION
            ? new PlacementCoordinator(
                exchange.address, exchange.incarnation, LEASE, BATCH, writer) {
              @Override
              protected boolean settled(final Placement prepared, final long at) {
                return true;
              }
            }
            : new PlacementCoordinator(
                exchange.address, exchange.incarnation, LEASE, BATCH, writer);
    poll(exchange, exchange.incarnation);
  }

  private void poll(final Registry exchange, final long incarnation) {
    final long asked = now;
    after(
        3 + random.nextInt(20),
        () -> {
          if (exchange.running
              && exchange.incarnation == incarnation
              && !coreCut
              && !exchange.cut) {
            final List<Placement> given = new ArrayList<>(registers.values());
            final PlacementMessages.PlacementOwner named = keeper;
            final long mark = mark();
            after(
                3 + random.nextInt(20),
                () -> {
                  if (exchange.running && exchange.incarnation == incarnation) {
                    exchange.confirmedAt = Math.max(exchange.confirmedAt, asked);
                    if (exchange.coordinator.take(given, named, mark, now)) {
                      boards.forEach(board -> push(exchange, board));
                    }
                  }
                });
          }
        });
    after(
        60 + random.nextInt(200),
        () -> {
          if (exchange.running && exchange.incarnation == incarnation) {
            poll(exchange, incarnation);
          }
        });
  }

  private void push(final Registry exchange, final Proxy board) {
    if (board.running && board.exchange == exchange) {
      final PlacementMessages.Placements told = exchange.coordinator.placements();
      final int life = board.life;
      after(
          2 + random.nextInt(8), () -> fromCore(board, life, () -> board.affinity.take(told, now)));
    }
  }

  private void fromCore(final Proxy board, final int life, final Runnable deed) {
    if (!board.cut) {
      toBoard(board, life, deed);
    }
  }

  private void toBoard(final Proxy board, final int life, final Runnable deed) {
    if (!board.running || board.life != life) {
      return;
    }
    if (board.frozen) {
      board.held.add(() -> toBoard(board, life, deed));
      return;
    }
    deed.run();
  }

  private void start(final Proxy board) {
    board.running = true;
    board.frozen = false;
    board.held.clear();
    final int life = ++board.life;
    board.affinity =
        ties(
            board,
            ask -> {
              final Registry near = board.exchange;
              if (board.cut || near == null) {
                return;
              }
              after(
                  2 + random.nextInt(8),
                  () -> {
                    if (!near.running) {
                      return;
                    }
                    if (near.coordinator.keeps()) {
                      answer(board, life, near.coordinator.ask(ask, near.confirmedAt, now));
                    } else {
                      for (final Registry other : exchanges) {
                        if (other != near
                            && other.running
                            && !other.cut
                            && !near.cut
                            && other.address.equals(near.coordinator.keeper())) {
                          after(
                              2 + random.nextInt(8),
                              () -> {
                                if (other.running) {
                                  answer(
                                      board,
                                      life,
                                      other.coordinator.ask(ask, other.confirmedAt, now));
                                }
                              });
                        }
                      }
                    }
                  });
            });
    board.exchange = exchanges.get(random.nextInt(exchanges.size()));
    tick(board, life);
  }

  private AffinityTable ties(
      final Proxy board, final java.util.function.Consumer<PlacementMessages.LeaseRequest> outlet) {
    return flaw != Flaw.NO_LEASE_CHECK
        ? new AffinityTable(board.address, ++lives, LEASE, outlet)
        : new AffinityTable(board.address, ++lives, LEASE, outlet) {
          @Override
          public boolean leased(final long at) {
            return true;
          }
        };
  }

  private void answer(final Proxy board, final int life, final PlacementMessages.LeaseGrant grant) {
    after(
        2 + random.nextInt(8),
        () -> fromCore(board, life, () -> board.affinity.granted(grant, now)));
  }

  private void tick(final Proxy board, final int life) {
    after(
        50,
        () -> {
          if (board.running && board.life == life) {
            if (!board.frozen) {
              if (!board.exchange.running || board.exchange.cut || random.nextInt(100) == 0) {
                board.exchange = exchanges.get(random.nextInt(exchanges.size()));
              }
              push(board.exchange, board);
              board.affinity.tick(now);
            }
            tick(board, life);
          }
        });
  }

  private void loop() {
    after(
        40,
        () -> {
          for (final Registry exchange : exchanges) {
            if (exchange.running) {
              exchange.coordinator.wanted(Map.of(SERVICE, members()), LONGEST);
              boolean reachable = false;
              for (final Registry other : exchanges) {
                reachable |=
                    other.address.equals(exchange.coordinator.keeper())
                        && other.running
                        && (other == exchange || !other.cut && !exchange.cut);
              }
              exchange.coordinator.tick(true, reachable, now - exchange.confirmedAt < 1000, now);
            }
          }
          loop();
        });
  }

  // ---- callers

  /** A caller asks a switchboard for a write. */
  void write(final String caller) {
    final Proxy board = boards.get(random.nextInt(boards.size()));
    if (!board.running) {
      return;
    }
    final String id = "w" + ++writes;
    final int life = board.life;
    after(random.nextInt(5), () -> toBoard(board, life, () -> send(board, life, caller, id, now)));
  }

  private void send(
      final Proxy board,
      final int life,
      final String caller,
      final String id,
      final long arrivedAt) {
    final long hash = Rendezvous.caller(SERVICE, caller);
    final WriteDecision verdict = board.affinity.decide(SERVICE, hash, member -> true, now);
    if (verdict != WriteDecision.GO) {
      if (verdict.passing() && now - arrivedAt < 200) {
        after(25, () -> toBoard(board, life, () -> send(board, life, caller, id, arrivedAt)));
      } else {
        refused(id, verdict);
      }
      return;
    }
    final Node node = nodes.get(board.affinity.node().id);
    final long deadline = now + LONGEST;
    final AffinityTable.PendingWrite pendingWrite =
        board.affinity.begin(SERVICE, hash, node.id, member -> true, deadline);
    arrive(board, life, caller, id, node, pendingWrite, deadline, false);
  }

  private void refused(final String id, final WriteDecision verdict) {
    refusedCount++;
    verdicts.merge(verdict, 1, Integer::sum);
    if (runs.getOrDefault(id, 0) > 0) {
      breaches.add(id + " ran and was refused");
    }
  }

  private void arrive(
      final Proxy board,
      final int life,
      final String caller,
      final String id,
      final Node node,
      final AffinityTable.PendingWrite pendingWrite,
      final long deadline,
      final boolean again) {
    after(
        1 + random.nextInt(4),
        () -> {
          if (!node.running) {
            after(
                1,
                () ->
                    toBoard(
                        board,
                        life,
                        () -> {
                          pendingWrite.ended();
                          refused(id, WriteDecision.DECLINED);
                        }));
            return;
          }
          final int busy = node.working.values().stream().mapToInt(Integer::intValue).sum();
          if (busy >= node.capacity * 2 || node.frozen) {
            after(
                1,
                () ->
                    toBoard(
                        board,
                        life,
                        () -> {
                          pendingWrite.ended();
                          final List<Node> others = new ArrayList<>(nodes.values());
                          others.removeIf(other -> !other.running || other == node);
                          if (flaw == Flaw.DECLINED_ELSEWHERE && !again && !others.isEmpty()) {
                            arrive(
                                board,
                                life,
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
          work(board, life, caller, id, node, pendingWrite, deadline);
        });
  }

  private void work(
      final Proxy board,
      final int life,
      final String caller,
      final String id,
      final Node node,
      final AffinityTable.PendingWrite pendingWrite,
      final long deadline) {
    if (runs.merge(id, 1, Integer::sum) > 1) {
      breaches.add(id + " ran twice");
    }
    ranAt.computeIfAbsent(id, key -> new HashSet<>()).add(node.id);
    node.working.merge(caller, 1, Integer::sum);
    final Set<String> at = workingFor.computeIfAbsent(caller, key -> new HashSet<>());
    at.add(node.id);
    if (at.size() > 1) {
      breaches.add("caller " + caller + " has two nodes at work, " + at + ", at " + now);
    }
    if (!node.id.equals(lastNode.put(caller, node.id))) {
      movedCallers++;
    }
    final long took =
        Math.min(deadline - now, 20 + random.nextInt(random.nextInt(10) == 0 ? 500 : 120));
    after(
        took,
        () -> {
          if (node.working.merge(caller, -1, Integer::sum) <= 0) {
            node.working.remove(caller);
            workingFor.get(caller).remove(node.id);
          }
          if (!node.running) {
            after(1, () -> toBoard(board, life, () -> uncertainCount++));
            return;
          }
          final boolean lost = random.nextInt(60) == 0;
          after(
              1 + random.nextInt(4),
              () ->
                  toBoard(
                      board,
                      life,
                      () -> {
                        if (lost) {
                          uncertainCount++;
                        } else {
                          pendingWrite.ended();
                          confirmed.add(id);
                          confirmedCount++;
                        }
                      }));
        });
  }

  // ---- trouble

  void trouble() {
    final List<Node> up = new ArrayList<>(nodes.values());
    up.removeIf(node -> !node.member || node.draining);
    final Node one = up.isEmpty() ? null : up.get(random.nextInt(up.size()));
    final Proxy board = boards.get(random.nextInt(boards.size()));
    final Registry exchange = exchanges.get(random.nextInt(exchanges.size()));
    switch (random.nextInt(10)) {
      case 0, 1 -> join();
      case 2, 3 -> {
        if (up.size() > 3) {
          one.draining = true;
          after(
              1500,
              () -> {
                one.running = false;
                one.member = false;
              });
        }
      }
      case 4 -> {
        if (up.size() > 3) {
          one.running = false;
          after(700, () -> one.member = false);
        }
      }
      case 5 -> {
        if (one != null) {
          one.frozen = true;
          after(1200, () -> one.frozen = false);
        }
      }
      case 6 -> {
        board.frozen = true;
        after(
            500 + random.nextInt(5000),
            () -> {
              board.frozen = false;
              final List<Runnable> held = new ArrayList<>(board.held);
              board.held.clear();
              held.forEach(Runnable::run);
            });
      }
      case 7 -> {
        board.running = false;
        after(400 + random.nextInt(2000), () -> start(board));
      }
      case 8 -> {
        board.cut = true;
        after(1000 + random.nextInt(5000), () -> board.cut = false);
      }
      default -> {
        switch (random.nextInt(3)) {
          case 0 -> {
            coreCut = true;
            after(1000 + random.nextInt(4000), () -> coreCut = false);
          }
          case 1 -> {
            exchange.running = false;
            after(300 + random.nextInt(3000), () -> start(exchange));
          }
          default -> {
            exchange.cut = true;
            after(1000 + random.nextInt(4000), () -> exchange.cut = false);
          }
        }
      }
    }
  }

  /** Cuts every second switchboard off for a while, and changes who the nodes are meanwhile. */
  void islands() {
    for (int index = 0; index < boards.size(); index += 2) {
      final Proxy board = boards.get(index);
      board.cut = true;
      after(5000, () -> board.cut = false);
    }
    join();
    join();
  }

  /** What broke, once all is over. */
  List<String> finish() {
    for (final String id : confirmed) {
      if (runs.getOrDefault(id, 0) != 1) {
        breaches.add(id + " was confirmed and ran " + runs.getOrDefault(id, 0) + " times");
      }
      if (ranAt.get(id).size() != 1) {
        breaches.add(id + " ran at " + ranAt.get(id));
      }
    }
    return breaches;
  }

  /** The epoch in force. */
  long epoch() {
    final Placement placement = registers.get(SERVICE);
    return placement == null ? 0 : placement.epoch;
  }

  /** Whether an epoch is prepared and not in force yet. */
  boolean prepared() {
    final Placement placement = registers.get(SERVICE);
    return placement != null && placement.nextPrepared;
  }
}
