package weldpoint.regionleader;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import weldpoint.transport.Message;
import weldpoint.transport.Protocol;
import weldpoint.transport.RegionMessages;
import weldpoint.transport.RegionMessages.Elector;
import weldpoint.transport.RegionMessages.Electorate;
import weldpoint.transport.RegionMessages.LeaderDirective;

/**
 * The switchboards of one region on a fake clock and a fake network, with clients, and upstreams
 * that count what they run.
 */
final class SimulatedRegion {
  static final LeaderElection.ElectionTimeouts TERMS =
      new LeaderElection.ElectionTimeouts(true, 3000, 2500, 500);

  private record Event(long at, long order, Runnable deed) {}

  /** One switchboard of the moment. */
  final class Proxy {
    final String address;
    long life;
    LeaderElection election;
    UncertainWrites uncertainWrites = new UncertainWrites();
    LeaderDirective directive;
    boolean up = true;
    boolean frozen;
    int inFlight;
    long repeatables;
    long writes;
    long refusedWrites;
    long carried;
    final Set<String> kept = new HashSet<>();

    Proxy(final String address) {
      this.address = address;
      boot();
    }

    void boot() {
      life = ++lives;
      directive = null;
      uncertainWrites = new UncertainWrites();
      inFlight = 0;
      up = true;
      election =
          new LeaderElection(
              address,
              life,
              "north",
              TERMS,
              new Random(random.nextLong()),
              now,
              new LeaderElection.Environment() {
                @Override
                public void peers(final List<String> addresses) {
                  kept.clear();
                  kept.addAll(addresses);
                }

                @Override
                public boolean send(final String to, final Message message) {
                  post(Proxy.this, to, message);
                  return true;
                }

                @Override
                public RegionMessages.ProxyObservations sight() {
                  final RegionMessages.ProxyObservations observations =
                      new RegionMessages.ProxyObservations(
                          repeatables,
                          writes,
                          refusedWrites,
                          carried,
                          null,
                          uncertainWrites.unsure(now, 30_000));
                  repeatables = 0;
                  writes = 0;
                  refusedWrites = 0;
                  carried = 0;
                  return observations;
                }

                @Override
                public void ordered(final LeaderDirective given) {
                  directive = given;
                  uncertainWrites.elsewhere(
                      given == null ? List.of() : Protocol.emptyIfNull(given.uncertainWrites));
                }
              });
    }
  }

  final Random random;
  final Map<String, Proxy> boards = new LinkedHashMap<>();
  final Map<String, Integer> runs = new HashMap<>();
  final Map<String, Integer> confirmed = new HashMap<>();
  final List<String> breaches = new ArrayList<>();
  final List<String> chiefs = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (one, other) ->
              one.at != other.at
                  ? Long.compare(one.at, other.at)
                  : Long.compare(one.order, other.order));
  private final Predicate<String> onceBroken;
  boolean coreUp = true;
  Predicate<String[]> cut = pair -> false;
  double lostAnswers;
  int capacity = 1000;
  int busy;
  long now = 1_000_000;
  long messages;
  long refusedWrites;
  private long order;
  private long lives;

  SimulatedRegion(final long seed, final int size, final Predicate<String> onceBroken) {
    this.random = new Random(seed);
    this.onceBroken = onceBroken;
    for (int index = 0; index < size; index++) {
      final String address = "10.0.0." + (index + 1);
      boards.put(address, new Proxy(address));
    }
    elect(1);
  }

  /** The core acknowledges who may vote. */
  void elect(final long mark) {
    final List<Elector> electors = new ArrayList<>();
    boards.values().forEach(board -> electors.add(new Elector(board.address, board.life)));
    final Electorate electorate = new Electorate("north", mark, electors, 0.5);
    boards.values().forEach(board -> board.election.electorate(electorate));
  }

  void after(final long millis, final Runnable deed) {
    events.add(new Event(now + millis, order++, deed));
  }

  private void post(final Proxy from, final String to, final Message message) {
    messages++;
    final long life = from.life;
    final long delay = 1 + random.nextInt(12);
    deliver(from.address, life, to, message, delay);
    if (random.nextInt(12) == 0) {
      deliver(from.address, life, to, message, delay + random.nextInt(3000));
    }
  }

  private void deliver(
      final String from,
      final long life,
      final String to,
      final Message message,
      final long delay) {
    after(
        delay,
        () -> {
          final Proxy board = boards.get(to);
          if (board != null && board.up && !cut.test(new String[] {from, to})) {
            if (board.frozen) {
              deliver(from, life, to, message, 50);
            } else {
              board.election.receive(from, life, message, now);
            }
          }
        });
  }

  /**
   * Lets time pass, with ticks, and looks after every step for two chiefs under one mark and term.
   */
  void run(final long millis) {
    final long until = now + millis;
    while (now < until) {
      final long next = Math.min(until, now + 100);
      while (!events.isEmpty() && events.peek().at <= next) {
        final Event event = events.poll();
        now = Math.max(now, event.at);
        event.deed.run();
      }
      now = next;
      for (final Proxy board : boards.values()) {
        if (board.up && !board.frozen) {
          if (coreUp) {
            board.election.core(now, now);
          }
          board.election.tick(now);
        }
      }
      look();
    }
  }

  private final Map<String, String> chiefOf = new HashMap<>();

  private void look() {
    for (final Proxy board : boards.values()) {
      if (board.up && board.election.phase() == LeaderPhase.ACTING) {
        final String fence = board.election.fence()[0] + "/" + board.election.fence()[1];
        final String before = chiefOf.putIfAbsent(fence, board.address + "#" + board.life);
        if (before != null && !before.equals(board.address + "#" + board.life)) {
          breaches.add("two chiefs under " + fence + ": " + before + " and " + board.address);
        }
        if (chiefs.isEmpty() || !chiefs.get(chiefs.size() - 1).equals(board.address)) {
          chiefs.add(board.address);
        }
      }
    }
  }

  /** A client makes a request at a board; it tries again elsewhere only what surely has not run. */
  void request(final String name, final boolean write, final int tries) {
    final List<Proxy> all = new ArrayList<>(boards.values());
    final Proxy board = all.get(random.nextInt(all.size()));
    if (!board.up || board.frozen) {
      if (tries > 1) {
        after(30 + random.nextInt(50), () -> request(name, write, tries - 1));
      }
      return;
    }
    if (write) {
      board.writes++;
    } else {
      board.repeatables++;
    }
    final boolean letIn =
        write || board.directive == null || random.nextDouble() < board.directive.admittedFraction;
    if (!letIn || busy >= capacity + (write ? capacity / 4 : 0)) {
      if (write) {
        refusedWrites++;
        board.refusedWrites++;
      }
      if (tries > 1) {
        after(100 + random.nextInt(200), () -> request(name, write, tries - 1));
      }
      return;
    }
    send(board, board.life, name, name + "~" + tries, write, 3);
  }

  private void send(
      final Proxy board,
      final long life,
      final String name,
      final String id,
      final boolean write,
      final int left) {
    if (left == 0 || !board.up || board.life != life) {
      return;
    }
    if (write && !onceBroken.test(id) && !board.uncertainWrites.begin(id)) {
      return;
    }
    busy++;
    runs.merge(write ? name : "lookup", 1, Integer::sum);
    final boolean lost = random.nextDouble() < lostAnswers;
    after(
        80 + random.nextInt(120),
        () -> {
          busy--;
          if (!board.up || board.life != life) {
            return;
          }
          board.carried++;
          if (write) {
            board.uncertainWrites.ran(id, !lost, now);
          }
          if (!lost) {
            confirmed.merge(write ? name : "lookup", 1, Integer::sum);
          } else {
            send(board, life, name, id, write, left - 1);
          }
        });
  }

  List<Proxy> acting() {
    final List<Proxy> list = new ArrayList<>();
    for (final Proxy board : boards.values()) {
      if (board.up && !board.frozen && board.election.phase() == LeaderPhase.ACTING) {
        list.add(board);
      }
    }
    return list;
  }
}
