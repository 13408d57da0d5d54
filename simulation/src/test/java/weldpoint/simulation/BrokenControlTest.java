package weldpoint.simulation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import weldpoint.statestore.StoreOperation;
import weldpoint.transport.Message;
import weldpoint.transport.StateStoreMessages;
import weldpoint.transport.StoreMessages;

/**
 * Control sides with one safety mechanism broken, by meddling with what is said: the checker must
 * notice each.
 */
public final class BrokenControlTest {
  private static final int DAYS = 12;
  private static final int WHOLE_DAYS = 4;

  @BeforeClass
  public void quiet() {
    java.util.logging.Logger.getLogger("").setLevel(java.util.logging.Level.SEVERE);
  }

  /** A door that answers a read with what was last read there, where no majority can be asked. */
  private static final class AnswersAlone implements ControlPlaneSimulation.FaultInjector {
    private final Map<String, ControlPlaneSimulation.Reply> last = new HashMap<>();

    @Override
    public void answered(
        final String machine,
        final String uri,
        final ControlPlaneSimulation.Reply reply,
        final Consumer<ControlPlaneSimulation.Reply> caller) {
      if (uri.contains("configuration.read")) {
        if (reply.status() == 200) {
          last.put(machine, reply);
        } else if (last.containsKey(machine)) {
          caller.accept(last.get(machine));
          return;
        }
      }
      caller.accept(reply);
    }
  }

  /** A door that acknowledges a configuration which was refused, as though its number were free. */
  private static final class AcknowledgesTwice implements ControlPlaneSimulation.FaultInjector {
    @Override
    public void answered(
        final String machine,
        final String uri,
        final ControlPlaneSimulation.Reply reply,
        final Consumer<ControlPlaneSimulation.Reply> caller) {
      caller.accept(
          uri.contains("configuration.replace") && reply.status() == 409
              ? new ControlPlaneSimulation.Reply(200, "{}", null)
              : reply);
    }
  }

  /**
   * A holder of a duty who heeds no other ballot, and for whom each pulse counts as confirmed,
   * whatever the answer said.
   */
  private static final class NeverOvertaken implements ControlPlaneSimulation.FaultInjector {
    private final Map<String, StateStoreMessages.Heartbeat> pulses = new HashMap<>();

    @Override
    public void heard(
        final String from, final String to, final Message message, final Consumer<Message> ear) {
      final boolean holds = pulses.keySet().stream().anyMatch(way -> way.startsWith(to + ">"));
      if (message instanceof StateStoreMessages.Refused
          || holds
              && (message instanceof StateStoreMessages.Prepare
                  || message instanceof StateStoreMessages.Accept)) {
        return;
      }
      if (message instanceof StateStoreMessages.Heartbeat) {
        pulses.put(from + ">" + to, (StateStoreMessages.Heartbeat) message);
      } else if (message instanceof StateStoreMessages.HeartbeatAck
          && pulses.containsKey(to + ">" + from)) {
        final StateStoreMessages.Heartbeat heartbeat = pulses.get(to + ">" + from);
        final StateStoreMessages.HeartbeatAck ack = (StateStoreMessages.HeartbeatAck) message;
        ear.accept(
            new StateStoreMessages.HeartbeatAck(
                heartbeat.partitions,
                heartbeat.ballots,
                ack.incarnation,
                ack.knownIncarnations,
                ack.auditedThrough));
        return;
      }
      ear.accept(message);
    }
  }

  /** Orders on zones reach the store a second time, seconds later, as calls that nobody knows. */
  private static final class DelayedCopies implements ControlPlaneSimulation.FaultInjector {
    private final boolean known;
    private final Random random = new Random(1);
    private final List<Runnable> copies = new ArrayList<>();

    private DelayedCopies(final boolean known) {
      this.known = known;
    }

    @Override
    public void heard(
        final String from, final String to, final Message message, final Consumer<Message> ear) {
      ear.accept(message);
      if (message instanceof StoreMessages.StoreRequest
          && ((StoreMessages.StoreRequest) message).operation
              == StoreOperation.EVACUATE.ordinal()) {
        final StoreMessages.StoreRequest call = (StoreMessages.StoreRequest) message;
        copies.add(() -> ear.accept(known ? call : unknown(call)));
        if (copies.size() > 2) {
          copies.remove(random.nextInt(2)).run();
        }
      }
    }

    private static StoreMessages.StoreRequest unknown(final StoreMessages.StoreRequest call) {
      return new StoreMessages.StoreRequest(
          call.number + 1_000_000,
          call.operation,
          call.name,
          call.owner,
          call.first,
          call.second,
          call.body,
          call.origin);
    }
  }

  /**
   * An exchange is told the answer that its last life got to a call of the same kind, under a
   * number of its own: under its own name too, so that it takes it, or under that of the life which
   * asked.
   */
  private static final class OfAnotherLife implements ControlPlaneSimulation.FaultInjector {
    private final boolean taken;
    private final Map<String, StoreMessages.StoreRequest> calls = new HashMap<>();
    private final Map<String, StoreMessages.StoreResponse> answers = new HashMap<>();
    private final Map<String, StoreMessages.StoreResponse> former = new HashMap<>();

    private OfAnotherLife(final boolean taken) {
      this.taken = taken;
    }

    @Override
    public void started(final String machine) {
      former.keySet().removeIf(key -> key.startsWith(machine + " "));
      answers.forEach(
          (key, answer) -> {
            if (key.startsWith(machine + " ")) {
              former.put(key, answer);
            }
          });
      answers.keySet().removeIf(key -> key.startsWith(machine + " "));
      calls.keySet().removeIf(key -> key.startsWith(machine + " "));
    }

    @Override
    public void heard(
        final String from, final String to, final Message message, final Consumer<Message> ear) {
      if (message instanceof StoreMessages.StoreRequest) {
        calls.put(
            from + " " + ((StoreMessages.StoreRequest) message).number,
            (StoreMessages.StoreRequest) message);
      } else if (message instanceof StoreMessages.StoreResponse
          && ((StoreMessages.StoreResponse) message).status == 200) {
        final StoreMessages.StoreResponse answer = (StoreMessages.StoreResponse) message;
        final StoreMessages.StoreRequest call = calls.get(to + " " + answer.number);
        if (call != null && call.operation == StoreOperation.NUMBER.ordinal()) {
          final StoreMessages.StoreResponse old = former.remove(to + " " + call.name);
          answers.put(to + " " + call.name, answer);
          if (old != null) {
            ear.accept(
                new StoreMessages.StoreResponse(
                        answer.number, old.status, old.first, old.body, old.holder)
                    .withCaller(taken ? answer.callerIncarnation : old.callerIncarnation));
            return;
          }
        }
      }
      ear.accept(message);
    }
  }

  /** A disk that says of its last records that they are lasting while they still wait in memory. */
  private static final class SyncsLate implements ControlPlaneSimulation.FaultInjector {
    private static final int WAITING = 30;
    private final Map<String, ArrayDeque<byte[]>> waiting = new HashMap<>();

    @Override
    public void started(final String machine) {
      waiting.put(machine + " frame", new ArrayDeque<>());
      waiting.put(machine + " exchange", new ArrayDeque<>());
    }

    @Override
    public void append(
        final String machine,
        final String program,
        final byte[] record,
        final Runnable synced,
        final BiConsumer<byte[], Runnable> disk) {
      final ArrayDeque<byte[]> records = waiting.get(machine + " " + program);
      records.add(record);
      if (records.size() > WAITING) {
        disk.accept(records.poll(), () -> {});
      }
      synced.run();
    }
  }

  private static LongFunction<SimulationPlan> days(final String troubles) {
    return seed ->
        SimulationPlan.parse(
            "seed="
                + seed
                + " cores=5 lasts=16000 "
                + troubles.replace("SEED", String.valueOf(seed)));
  }

  @DataProvider
  public Object[][] variants() {
    return new Object[][] {
      {
        "an answer with authority without a majority since the question",
        (Supplier<ControlPlaneSimulation.FaultInjector>) AnswersAlone::new,
        days("core_cut@3000+6000#SEED"),
        "a read sent at"
      },
      {
        "a number acknowledged twice with different content",
        (Supplier<ControlPlaneSimulation.FaultInjector>) AcknowledgesTwice::new,
        days(""),
        "with two contents"
      },
      {
        "a stale holder that serves on after thawing",
        (Supplier<ControlPlaneSimulation.FaultInjector>) NeverOvertaken::new,
        days("node_freeze@2000+2500#SEED node_freeze@6000+2500#1SEED node_freeze@11000+2500#2SEED"),
        "though"
      },
      {
        "a call carried out a second time from a delayed copy",
        (Supplier<ControlPlaneSimulation.FaultInjector>) () -> new DelayedCopies(false),
        days(""),
        "which no order of its orders allows"
      },
      {
        "an answer given to the number of another life",
        (Supplier<ControlPlaneSimulation.FaultInjector>) () -> new OfAnotherLife(true),
        days("roll_term@2000+6000#SEED"),
        "gave"
      },
      {
        "a record that counts before it is synced",
        (Supplier<ControlPlaneSimulation.FaultInjector>) SyncsLate::new,
        days("herd_kill@4000+1000#SEED herd_kill@8000+1000#1SEED"),
        "though"
      },
    };
  }

  @Test(dataProvider = "variants")
  public void aBrokenMechanismIsNoticed(
      final String name,
      final Supplier<ControlPlaneSimulation.FaultInjector> variant,
      final LongFunction<SimulationPlan> days,
      final String breach) {
    int caught = 0;
    for (long seed = 1; seed <= DAYS; seed++) {
      final SimulationPlan plan = days.apply(seed);
      caught +=
          SimulationRun.play(plan, variant.get()).breaches().stream()
                  .anyMatch(line -> line.contains(breach))
              ? 1
              : 0;
    }
    assertTrue(caught >= DAYS / 4, name + " was noticed on " + caught + " days of " + DAYS);
  }

  @Test(dataProvider = "variants")
  public void theSameDaysAreWholeWithoutTheFault(
      final String name,
      final Supplier<ControlPlaneSimulation.FaultInjector> variant,
      final LongFunction<SimulationPlan> days,
      final String breach) {
    for (long seed = 1; seed <= WHOLE_DAYS; seed++) {
      final SimulationPlan plan = days.apply(seed);
      assertEquals(SimulationRun.play(plan).breaches(), List.of(), "--day '" + plan + "'");
    }
  }

  @Test
  public void copiesAndAnswersUnderTheirOwnNamesDoNoHarm() {
    for (long seed = 1; seed <= DAYS; seed++) {
      final List<String> copies =
          SimulationRun.play(days("").apply(seed), new DelayedCopies(true)).breaches();
      assertTrue(copies.isEmpty(), "seed " + seed + ": " + copies);
      final List<String> answers =
          SimulationRun.play(days("roll_term@2000+6000#SEED").apply(seed), new OfAnotherLife(false))
              .breaches();
      assertTrue(answers.isEmpty(), "seed " + seed + ": " + answers);
    }
  }

  @Test
  public void aDayThatBreaksAPromiseIsShortened() {
    final SimulationPlan plan =
        SimulationPlan.parse(
            "seed=3 cores=5 lasts=16000 hup@1000+500#1 core_cut@3000+6000#3 clock_step@4000+2000#2 seed_turnover@9000+500#4");
    final SimulationRun.Outcome outcome = SimulationRun.play(plan, new AnswersAlone());
    final SimulationPlan shorter =
        PlanShrinker.shrink(plan, outcome, one -> SimulationRun.play(one, new AnswersAlone()));
    assertTrue(
        SimulationRun.play(shorter, new AnswersAlone()).breaches().size() > 0, shorter.toString());
    assertTrue(
        shorter.troubles().size() <= 1 && shorter.lasts() < plan.lasts(), shorter.toString());
  }
}
