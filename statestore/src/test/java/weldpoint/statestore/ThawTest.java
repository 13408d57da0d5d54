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
 * A holder that stands still at any moment around a call, while another takes its duties over and
 * acknowledges newer values, and that finds all that was sent to it meanwhile waiting when it
 * wakes, each sender in its order.
 */
public final class ThawTest {
  private static final List<String> SEEDS = List.of("10.0.0.1", "10.0.0.2", "10.0.0.3");

  private record Event(long at, long order, Runnable action) {}

  private static final class Frames {
    final Map<String, StateStoreReplica> cores = new LinkedHashMap<>();
    final Map<String, Map<String, java.util.ArrayDeque<Runnable>>> heldUp = new LinkedHashMap<>();
    final List<String> frozen = new ArrayList<>();
    final PriorityQueue<Event> events =
        new PriorityQueue<>(
            java.util.Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    final UnaryOperator<Message> meddler;
    final Random random;
    long now = 100_000;
    long order;
    long calls;

    Frames(final long seed, final UnaryOperator<Message> meddler) {
      this.random = new Random(seed);
      this.meddler = meddler;
      for (final String address : SEEDS) {
        heldUp.put(address, new LinkedHashMap<>());
        cores.put(
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
                    post(address, to, message);
                  }

                  @Override
                  public void append(final byte[] record, final Runnable synced) {
                    at(address, "disk", 2, synced);
                  }

                  @Override
                  public void peers(final List<String> addresses) {}
                }));
      }
      cores.values().forEach(replica -> replica.start(List.of(), true, now));
    }

    private void at(
        final String address, final String source, final long millis, final Runnable action) {
      events.add(
          new Event(
              now + millis,
              ++order,
              () -> {
                if (frozen.contains(address)) {
                  heldUp
                      .get(address)
                      .computeIfAbsent(source, key -> new java.util.ArrayDeque<>())
                      .add(action);
                } else {
                  action.run();
                }
              }));
    }

    private void post(final String from, final String to, final Message message) {
      if (!cores.containsKey(to)) {
        return;
      }
      final byte[] bytes = Serializer.serialize(message);
      at(
          to,
          from,
          1 + random.nextInt(4),
          () ->
              cores
                  .get(to)
                  .receive(
                      from,
                      meddler.apply((Message) Serializer.deserialize(bytes, message.getClass())),
                      answer -> post(to, from, answer),
                      now));
    }

    void freeze(final String address) {
      frozen.add(address);
    }

    void thaw(final String address, final boolean tickFirst) {
      frozen.remove(address);
      if (tickFirst) {
        cores.get(address).tick(now);
      }
      final Map<String, java.util.ArrayDeque<Runnable>> waiting =
          new LinkedHashMap<>(heldUp.get(address));
      heldUp.get(address).clear();
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

    void pass(final long millis) {
      final long end = now + millis;
      while (now < end) {
        now++;
        while (!events.isEmpty() && events.peek().at <= now) {
          events.poll().action.run();
        }
        if (now % 50 == 0) {
          cores.forEach(
              (address, replica) -> {
                if (!frozen.contains(address)) {
                  replica.tick(now);
                }
              });
        }
      }
    }

    /** Calls one frame; what it answers is put into the list. */
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
      at(to, "caller", 1, () -> cores.get(to).call(call, answers::add, now));
      return answers;
    }

    /**
     * The frame that answers calls for the lock's, the number's and the key's registers; null where
     * none does.
     */
    String holder(final StoreOperation operation, final String name, final String body) {
      for (final String address : SEEDS) {
        if (!frozen.contains(address)) {
          final List<StoreMessages.StoreResponse> answers =
              call(address, operation, name, "o", -1, 0, body);
          pass(60);
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
   * One story: what was answered by the holder of before after others had acknowledged something
   * newer; empty where all was right.
   */
  private static List<String> story(final long seed, final UnaryOperator<Message> meddler) {
    final Frames frames = new Frames(seed, meddler);
    final List<String> faults = new ArrayList<>();
    frames.pass(3000);
    final String old = frames.holder(StoreOperation.CELL_READ, "g.", "g.k");
    assertTrue(old != null, "nobody serves");
    final List<StoreMessages.StoreResponse> first =
        frames.call(old, StoreOperation.CELL_REPLACE, "g.", "one", -1, 0, "g.k");
    frames.pass(100);
    assertEquals(first.get(0).status, 200);
    final List<StoreMessages.StoreResponse> early =
        frames.call(old, StoreOperation.CELL_READ, "g.", null, 0, 0, "g.k");
    final List<StoreMessages.StoreResponse> earlyPut =
        frames.call(old, StoreOperation.CELL_REPLACE, "g.", "late", first.get(0).first, 0, "g.k");
    frames.pass(1 + seed % 13);
    frames.freeze(old);
    frames.pass(1500);
    String holder = null;
    for (int round = 0; round < 30 && holder == null; round++) {
      holder = frames.holder(StoreOperation.CELL_READ, "g.", "g.k");
      frames.pass(100);
    }
    assertTrue(holder != null && !holder.equals(old), "nobody took over");
    final List<StoreMessages.StoreResponse> newer =
        frames.call(holder, StoreOperation.CELL_REPLACE, "g.", "two", -1, 0, "g.k");
    frames.pass(100);
    assertEquals(newer.get(0).status, 200);
    final long revision = newer.get(0).first;
    final List<StoreMessages.StoreResponse> queued =
        frames.call(old, StoreOperation.CELL_READ, "g.", null, 0, 0, "g.k");
    final List<StoreMessages.StoreResponse> queuedPut =
        frames.call(old, StoreOperation.CELL_REPLACE, "g.", "three", revision - 1, 0, "g.k");
    frames.pass(20);
    frames.thaw(old, seed % 2 == 0);
    final List<StoreMessages.StoreResponse> woken =
        frames.call(old, StoreOperation.CELL_READ, "g.", null, 0, 0, "g.k");
    frames.pass(2000);
    for (final List<StoreMessages.StoreResponse> reads : List.of(queued, woken)) {
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
  public void aHolderThatWakesAnswersNothingFromBefore() {
    for (long seed = 1; seed <= 60; seed++) {
      assertEquals(story(seed, message -> message), List.of(), "seed " + seed);
    }
  }

  @Test
  public void aHolderThatServesOnAfterThawingIsCaught() {
    final List<String> faults = new ArrayList<>();
    for (long seed = 1; seed <= 20; seed++) {
      faults.addAll(
          story(
              seed,
              message -> {
                if (!(message instanceof StateStoreMessages.HeartbeatAck)) {
                  return message;
                }
                final StateStoreMessages.HeartbeatAck ack =
                    (StateStoreMessages.HeartbeatAck) message;
                final List<RegisterVersion> later = new ArrayList<>();
                Protocol.emptyIfNull(ack.ballots)
                    .forEach(mark -> later.add(mark.withCount(Long.MAX_VALUE)));
                return new StateStoreMessages.HeartbeatAck(
                    ack.partitions,
                    later,
                    ack.incarnation,
                    ack.knownIncarnations,
                    ack.auditedThrough);
              }));
    }
    assertTrue(
        faults.size() > 0, "a holder whose old confirmations cover later questions was not caught");
  }
}
