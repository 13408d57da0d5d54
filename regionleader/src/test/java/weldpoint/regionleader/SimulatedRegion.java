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
 * Simulates the proxies of one region with a simulated clock and network, clients, and upstreams
 * that count what they execute.
 */
final class SimulatedRegion {
  static final LeaderElection.ElectionTimeouts TIMEOUTS =
      new LeaderElection.ElectionTimeouts(true, 3000, 2500, 500);

  private record Event(long at, long sequence, Runnable action) {}

  /** One simulated proxy; a restart gives it a new incarnation. */
  final class Proxy {
    final String address;
    long incarnation;
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
    final Set<String> peers = new HashSet<>();

    Proxy(final String address) {
      this.address = address;
      restart();
    }

    void restart() {
      incarnation = ++lastIncarnation;
      directive = null;
      uncertainWrites = new UncertainWrites();
      inFlight = 0;
      up = true;
      election =
          new LeaderElection(
              address,
              incarnation,
              "north",
              TIMEOUTS,
              new Random(random.nextLong()),
              now,
              new LeaderElection.Environment() {
                @Override
                public void connectPeers(final List<String> addresses) {
                  peers.clear();
                  peers.addAll(addresses);
                }

                @Override
                public boolean send(final String to, final Message message) {
                  post(Proxy.this, to, message);
                  return true;
                }

                @Override
                public RegionMessages.ProxyObservations takeObservations() {
                  final RegionMessages.ProxyObservations observations =
                      new RegionMessages.ProxyObservations(
                          repeatables,
                          writes,
                          refusedWrites,
                          carried,
                          null,
                          uncertainWrites.recentlyUncertain(now, 30_000));
                  repeatables = 0;
                  writes = 0;
                  refusedWrites = 0;
                  carried = 0;
                  return observations;
                }

                @Override
                public void directiveChanged(final LeaderDirective received) {
                  directive = received;
                  uncertainWrites.uncertainElsewhere(
                      received == null
                          ? List.of()
                          : Protocol.emptyIfNull(received.uncertainWrites));
                }
              });
    }
  }

  final Random random;
  final Map<String, Proxy> proxies = new LinkedHashMap<>();
  final Map<String, Integer> runs = new HashMap<>();
  final Map<String, Integer> confirmed = new HashMap<>();
  final List<String> violations = new ArrayList<>();
  final List<String> leaderHistory = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (one, other) ->
              one.at != other.at
                  ? Long.compare(one.at, other.at)
                  : Long.compare(one.sequence, other.sequence));
  private final Predicate<String> duplicateCheckDisabled;
  boolean coreUp = true;
  Predicate<String[]> partitioned = pair -> false;
  double lostAnswers;
  int capacity = 1000;
  int busy;
  long now = 1_000_000;
  long messages;
  long refusedWrites;
  private long nextSequence;
  private long lastIncarnation;

  SimulatedRegion(final long seed, final int size, final Predicate<String> duplicateCheckDisabled) {
    this.random = new Random(seed);
    this.duplicateCheckDisabled = duplicateCheckDisabled;
    for (int index = 0; index < size; index++) {
      final String address = "10.0.0." + (index + 1);
      proxies.put(address, new Proxy(address));
    }
    publishElectorate(1);
  }

  /** Publishes an electorate of all proxies in their present incarnations, as the core does. */
  void publishElectorate(final long version) {
    final List<Elector> electors = new ArrayList<>();
    proxies.values().forEach(proxy -> electors.add(new Elector(proxy.address, proxy.incarnation)));
    final Electorate electorate = new Electorate("north", version, electors, 0.5);
    proxies.values().forEach(proxy -> proxy.election.electorate(electorate));
  }

  void after(final long millis, final Runnable action) {
    events.add(new Event(now + millis, nextSequence++, action));
  }

  private void post(final Proxy from, final String to, final Message message) {
    messages++;
    final long incarnation = from.incarnation;
    final long delay = 1 + random.nextInt(12);
    deliver(from.address, incarnation, to, message, delay);
    if (random.nextInt(12) == 0) {
      deliver(from.address, incarnation, to, message, delay + random.nextInt(3000));
    }
  }

  private void deliver(
      final String from,
      final long incarnation,
      final String to,
      final Message message,
      final long delay) {
    after(
        delay,
        () -> {
          final Proxy proxy = proxies.get(to);
          if (proxy != null && proxy.up && !partitioned.test(new String[] {from, to})) {
            if (proxy.frozen) {
              deliver(from, incarnation, to, message, 50);
            } else {
              proxy.election.receive(from, incarnation, message, now);
            }
          }
        });
  }

  /**
   * Advances the clock with regular ticks, and checks after every step that no two proxies lead
   * under the same electorate version and term.
   */
  void run(final long millis) {
    final long until = now + millis;
    while (now < until) {
      final long next = Math.min(until, now + 100);
      while (!events.isEmpty() && events.peek().at <= next) {
        final Event event = events.poll();
        now = Math.max(now, event.at);
        event.action.run();
      }
      now = next;
      for (final Proxy proxy : proxies.values()) {
        if (proxy.up && !proxy.frozen) {
          if (coreUp) {
            proxy.election.coreHeard(now, now);
          }
          proxy.election.tick(now);
        }
      }
      checkSingleLeader();
    }
  }

  private final Map<String, String> leaderByToken = new HashMap<>();

  private void checkSingleLeader() {
    for (final Proxy proxy : proxies.values()) {
      if (proxy.up && proxy.election.phase() == LeaderPhase.LEADER) {
        final String fencingToken =
            proxy.election.fencingToken()[0] + "/" + proxy.election.fencingToken()[1];
        final String previous =
            leaderByToken.putIfAbsent(fencingToken, proxy.address + "#" + proxy.incarnation);
        if (previous != null && !previous.equals(proxy.address + "#" + proxy.incarnation)) {
          violations.add(
              "two leaders under " + fencingToken + ": " + previous + " and " + proxy.address);
        }
        if (leaderHistory.isEmpty()
            || !leaderHistory.get(leaderHistory.size() - 1).equals(proxy.address)) {
          leaderHistory.add(proxy.address);
        }
      }
    }
  }

  /**
   * A client sends a request to a random proxy; it retries at another only what has certainly not
   * been executed.
   */
  void request(final String name, final boolean write, final int attemptsLeft) {
    final List<Proxy> all = new ArrayList<>(proxies.values());
    final Proxy proxy = all.get(random.nextInt(all.size()));
    if (!proxy.up || proxy.frozen) {
      if (attemptsLeft > 1) {
        after(30 + random.nextInt(50), () -> request(name, write, attemptsLeft - 1));
      }
      return;
    }
    if (write) {
      proxy.writes++;
    } else {
      proxy.repeatables++;
    }
    final boolean admitted =
        write || proxy.directive == null || random.nextDouble() < proxy.directive.admittedFraction;
    if (!admitted || busy >= capacity + (write ? capacity / 4 : 0)) {
      if (write) {
        refusedWrites++;
        proxy.refusedWrites++;
      }
      if (attemptsLeft > 1) {
        after(100 + random.nextInt(200), () -> request(name, write, attemptsLeft - 1));
      }
      return;
    }
    send(proxy, proxy.incarnation, name, name + "~" + attemptsLeft, write, 3);
  }

  private void send(
      final Proxy proxy,
      final long incarnation,
      final String name,
      final String id,
      final boolean write,
      final int attemptsLeft) {
    if (attemptsLeft == 0 || !proxy.up || proxy.incarnation != incarnation) {
      return;
    }
    if (write && !duplicateCheckDisabled.test(id) && !proxy.uncertainWrites.tryBegin(id)) {
      return;
    }
    busy++;
    runs.merge(write ? name : "lookup", 1, Integer::sum);
    final boolean lost = random.nextDouble() < lostAnswers;
    after(
        80 + random.nextInt(120),
        () -> {
          busy--;
          if (!proxy.up || proxy.incarnation != incarnation) {
            return;
          }
          proxy.carried++;
          if (write) {
            proxy.uncertainWrites.recordExecuted(id, !lost, now);
          }
          if (!lost) {
            confirmed.merge(write ? name : "lookup", 1, Integer::sum);
          } else {
            send(proxy, incarnation, name, id, write, attemptsLeft - 1);
          }
        });
  }

  List<Proxy> activeLeaders() {
    final List<Proxy> list = new ArrayList<>();
    for (final Proxy proxy : proxies.values()) {
      if (proxy.up && !proxy.frozen && proxy.election.phase() == LeaderPhase.LEADER) {
        list.add(proxy);
      }
    }
    return list;
  }
}
