package weldpoint.statestore;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.UnaryOperator;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import weldpoint.transport.Message;
import weldpoint.transport.Protocol;
import weldpoint.transport.RegisterVersion;
import weldpoint.transport.Serializer;
import weldpoint.transport.StateStoreMessages;
import weldpoint.transport.StoreMessages;

/**
 * Guards against stale answers by a paused leader. The leader's process stops at any moment around
 * a request; another replica becomes leader and acknowledges newer values. When the first resumes,
 * it finds all messages sent to it meanwhile, in order per sender.
 */
public final class ThawTest {
  private static final List<String> SEEDS = List.of("10.0.0.1", "10.0.0.2", "10.0.0.3");

  private record Event(long at, long order, Runnable action) {}

  private static final class Cluster {
    final Map<String, StateStoreReplica> replicas = new LinkedHashMap<>();
    final Map<String, Map<String, java.util.ArrayDeque<Runnable>>> delayed = new LinkedHashMap<>();
    final List<String> paused = new ArrayList<>();
    final PriorityQueue<Event> events =
        new PriorityQueue<>(
            java.util.Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    final UnaryOperator<Message> messageFilter;
    final Random random;
    long now = 100_000;
    long order;
    long calls;

    Cluster(final long seed, final UnaryOperator<Message> messageFilter) {
      this.random = new Random(seed);
      this.messageFilter = messageFilter;
      for (final String address : SEEDS) {
        delayed.put(address, new LinkedHashMap<>());
        replicas.put(
            address,
            new StateStoreReplica(
                address,
                address,
                "r",
                true,
                5,
                20_000,
                1 + SEEDS.indexOf(address),
                new Random(seed * 7 + SEEDS.indexOf(address)),
                SEEDS,
                new StateStoreReplica.Environment() {
                  @Override
                  public void send(final String to, final Message message) {
                    deliver(address, to, message);
                  }

                  @Override
                  public void append(final byte[] record, final Runnable synced) {
                    schedule(address, "disk", 2, synced);
                  }

                  @Override
                  public void peers(final List<String> addresses) {}
                }));
      }
      replicas.values().forEach(replica -> replica.start(List.of(), true, now));
    }

    private void schedule(
        final String address, final String source, final long millis, final Runnable action) {
      events.add(
          new Event(
              now + millis,
              ++order,
              () -> {
                if (paused.contains(address)) {
                  delayed
                      .get(address)
                      .computeIfAbsent(source, key -> new java.util.ArrayDeque<>())
                      .add(action);
                } else {
                  action.run();
                }
              }));
    }

    private void deliver(final String from, final String to, final Message message) {
      if (!replicas.containsKey(to)) {
        return;
      }
      final byte[] bytes = Serializer.serialize(message);
      schedule(
          to,
          from,
          1 + random.nextInt(4),
          () ->
              replicas
                  .get(to)
                  .receive(
                      from,
                      messageFilter.apply(
                          (Message) Serializer.deserialize(bytes, message.getClass())),
                      answer -> deliver(to, from, answer),
                      now));
    }

    void pause(final String address) {
      paused.add(address);
    }

    void resume(final String address, final boolean tickFirst) {
      paused.remove(address);
      if (tickFirst) {
        replicas.get(address).tick(now);
      }
      final Map<String, java.util.ArrayDeque<Runnable>> waiting =
          new LinkedHashMap<>(delayed.get(address));
      delayed.get(address).clear();
      while (!waiting.isEmpty()) {
        final List<String> sources = new ArrayList<>(waiting.keySet());
        final String source =
            waiting.containsKey("caller") && random.nextInt(3) > 0
                ? "caller"
                : sources.get(random.nextInt(sources.size()));
        waiting.get(source).poll().run();
        waiting.values().removeIf(java.util.ArrayDeque::isEmpty);
      }
    }

    void advance(final long millis) {
      final long end = now + millis;
      while (now < end) {
        now++;
        while (!events.isEmpty() && events.peek().at <= now) {
          events.poll().action.run();
        }
        if (now % 50 == 0) {
          replicas.forEach(
              (address, replica) -> {
                if (!paused.contains(address)) {
                  replica.tick(now);
                }
              });
        }
      }
    }

    /** Sends a request to one replica; its answers are added to the returned list. */
    List<StoreMessages.StoreResponse> call(
        final String to,
        final StoreOperation operation,
        final String name,
        final String owner,
        final long first,
        final long second,
        final String body) {
      final List<StoreMessages.StoreResponse> answers = new ArrayList<>();
      final StoreMessages.StoreRequest call =
          new StoreMessages.StoreRequest(
              ++calls,
              operation.ordinal(),
              name,
              owner,
              first,
              second,
              body == null ? null : body.getBytes(StandardCharsets.UTF_8));
      schedule(to, "caller", 1, () -> replicas.get(to).call(call, answers::add, now));
      return answers;
    }

    /**
     * The replica that answers requests for the register, which leads its partition; null if none
     * does.
     */
    String findLeader(final StoreOperation operation, final String name, final String body) {
      for (final String address : SEEDS) {
        if (!paused.contains(address)) {
          final List<StoreMessages.StoreResponse> answers =
              call(address, operation, name, "o", -1, 0, body);
          advance(60);
          if (answers.stream()
              .anyMatch(
                  answer -> answer.status == 200 || answer.status == 404 || answer.status == 409)) {
            return address;
          }
        }
      }
      return null;
    }
  }

  @BeforeClass
  public void quiet() {
    java.util.logging.Logger.getLogger("").setLevel(java.util.logging.Level.OFF);
  }

  /**
   * Runs one scenario; returns the stale answers that the old leader gave after another had
   * acknowledged something newer, which must be none.
   */
  private static List<String> runScenario(
      final long seed, final UnaryOperator<Message> messageFilter) {
    final Cluster cluster = new Cluster(seed, messageFilter);
    final List<String> faults = new ArrayList<>();
    cluster.advance(3000);
    final String oldLeader = cluster.findLeader(StoreOperation.CELL_READ, "g.", "g.k");
    assertTrue(oldLeader != null, "no replica leads the partition");
    final List<StoreMessages.StoreResponse> first =
        cluster.call(oldLeader, StoreOperation.CELL_REPLACE, "g.", "one", -1, 0, "g.k");
    cluster.advance(100);
    assertEquals(first.get(0).status, 200);
    final List<StoreMessages.StoreResponse> early =
        cluster.call(oldLeader, StoreOperation.CELL_READ, "g.", null, 0, 0, "g.k");
    final List<StoreMessages.StoreResponse> earlyPut =
        cluster.call(
            oldLeader, StoreOperation.CELL_REPLACE, "g.", "late", first.get(0).first, 0, "g.k");
    cluster.advance(1 + seed % 13);
    cluster.pause(oldLeader);
    cluster.advance(1500);
    String newLeader = null;
    for (int round = 0; round < 30 && newLeader == null; round++) {
      newLeader = cluster.findLeader(StoreOperation.CELL_READ, "g.", "g.k");
      cluster.advance(100);
    }
    assertTrue(newLeader != null && !newLeader.equals(oldLeader), "no other replica became leader");
    final List<StoreMessages.StoreResponse> newer =
        cluster.call(newLeader, StoreOperation.CELL_REPLACE, "g.", "two", -1, 0, "g.k");
    cluster.advance(100);
    assertEquals(newer.get(0).status, 200);
    final long revision = newer.get(0).first;
    final List<StoreMessages.StoreResponse> queued =
        cluster.call(oldLeader, StoreOperation.CELL_READ, "g.", null, 0, 0, "g.k");
    final List<StoreMessages.StoreResponse> queuedPut =
        cluster.call(oldLeader, StoreOperation.CELL_REPLACE, "g.", "three", revision - 1, 0, "g.k");
    cluster.advance(20);
    cluster.resume(oldLeader, seed % 2 == 0);
    final List<StoreMessages.StoreResponse> afterResume =
        cluster.call(oldLeader, StoreOperation.CELL_READ, "g.", null, 0, 0, "g.k");
    cluster.advance(2000);
    for (final List<StoreMessages.StoreResponse> reads : List.of(queued, afterResume)) {
      for (final StoreMessages.StoreResponse answer : reads) {
        if (answer.status == 404 || answer.status == 200 && answer.first < revision) {
          faults.add(
              "a read that came after revision "
                  + revision
                  + " was acknowledged found "
                  + answer.first);
        }
      }
    }
    for (final StoreMessages.StoreResponse answer : queuedPut) {
      if (answer.status == 412 && answer.first < revision
          || answer.status == 200 && answer.first <= revision) {
        faults.add(
            "a put after revision "
                + revision
                + " was answered "
                + answer.status
                + " with "
                + answer.first);
      }
    }
    for (final StoreMessages.StoreResponse answer : earlyPut) {
      if (answer.status == 200 && answer.first == revision) {
        faults.add("revision " + revision + " was given twice");
      }
    }
    for (final StoreMessages.StoreResponse answer : early) {
      if (answer.status == 200 && answer.first < first.get(0).first) {
        faults.add(
            "a read found " + answer.first + " after " + first.get(0).first + " was acknowledged");
      }
    }
    return faults;
  }

  @Test
  public void aResumedLeaderAnswersNothingStale() {
    for (long seed = 1; seed <= 60; seed++) {
      assertEquals(runScenario(seed, message -> message), List.of(), "seed " + seed);
    }
  }

  @Test
  public void aResumedLeaderThatSkipsConfirmationIsCaught() {
    final List<String> faults = new ArrayList<>();
    for (long seed = 1; seed <= 20; seed++) {
      faults.addAll(
          runScenario(
              seed,
              message -> {
                if (!(message instanceof StateStoreMessages.HeartbeatAck)) {
                  return message;
                }
                final StateStoreMessages.HeartbeatAck ack =
                    (StateStoreMessages.HeartbeatAck) message;
                final List<RegisterVersion> later = new ArrayList<>();
                Protocol.emptyIfNull(ack.ballots)
                    .forEach(version -> later.add(version.withCount(Long.MAX_VALUE)));
                return new StateStoreMessages.HeartbeatAck(
                    ack.partitions,
                    later,
                    ack.incarnation,
                    ack.knownIncarnations,
                    ack.auditedThrough);
              }));
    }
    assertTrue(
        faults.size() > 0,
        "a leader that takes old heartbeat acknowledgements for later reads was not caught");
  }
}
