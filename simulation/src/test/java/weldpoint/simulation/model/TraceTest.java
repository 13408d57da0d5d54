package weldpoint.simulation.model;

import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;
import weldpoint.simulation.StateStoreSimulation;
import weldpoint.statestore.StoreOperation;
import weldpoint.transport.Message;
import weldpoint.transport.Protocol;
import weldpoint.transport.StateStoreMessages;

/** Whole days of real cores never leave the model; cores that are made to break a rule do. */
public class TraceTest {
  private static final List<String> SEEDS = List.of("10.0.1.1", "10.0.1.2", "10.0.2.1");
  private static final String[] OTHERS = {"10.0.2.2", "10.0.3.1", "10.0.3.2", "10.0.1.3"};

  private static void traffic(final StateStoreSimulation simulation) {
    final Random random = simulation.random();
    final List<String> running = simulation.running();
    if (!running.isEmpty()) {
      final String at = running.get(random.nextInt(running.size()));
      switch (random.nextInt(3)) {
        case 0 ->
            simulation.call(
                at, StoreOperation.NUMBER, "n" + random.nextInt(4), null, 0, 0, null, answer -> {});
        case 1 ->
            simulation.call(
                at,
                StoreOperation.LOCK_BEGIN,
                "l" + random.nextInt(3),
                "o" + random.nextInt(3),
                800,
                0,
                null,
                answer -> {});
        default ->
            simulation.call(
                at,
                StoreOperation.CELL_REPLACE,
                "g" + random.nextInt(2),
                "v" + random.nextInt(1 << 20),
                -1,
                0,
                "k".getBytes(StandardCharsets.UTF_8),
                answer -> {});
      }
    }
    simulation.after(25, () -> traffic(simulation));
  }

  private static void again(
      final StateStoreSimulation simulation, final String address, final boolean wipe) {
    simulation.kill(address, true);
    if (wipe) {
      simulation.wipe(address);
    }
    simulation.after(
        200 + simulation.random().nextInt(1200),
        () -> {
          if (simulation.machines().get(address).replica() == null) {
            simulation.start(address, false);
          }
        });
  }

  private static void trouble(final StateStoreSimulation simulation) {
    final Random random = simulation.random();
    final List<String> running = new ArrayList<>(simulation.running());
    Collections.shuffle(running, random);
    final String one = running.get(0);
    switch (random.nextInt(9)) {
      case 0 -> again(simulation, one, false);
      case 1 -> running.forEach(address -> again(simulation, address, false));
      case 2 ->
          running
              .subList(1, running.size())
              .forEach(
                  other -> {
                    simulation.cut(one, other, true);
                    simulation.cut(other, one, random.nextBoolean());
                  });
      case 3 -> simulation.freeze(one, true);
      case 4 -> running.forEach(address -> simulation.disk(address, 2 + random.nextInt(300)));
      case 5 -> {
        simulation.kill(one, true);
        simulation.after(6000, () -> simulation.start(one, false));
      }
      case 6 -> {
        again(simulation, one, true);
        simulation.after(
            150, () -> running.subList(1, 3).forEach(address -> again(simulation, address, false)));
      }
      default -> again(simulation, one, true);
    }
    simulation.after(2500, simulation::heal);
  }

  private static StateStoreSimulation fleet(
      final long seed,
      final boolean syncsFirst,
      final int others,
      final StateStoreSimulation.FaultInjector faultInjector,
      final Trace trace) {
    final StateStoreSimulation simulation = new StateStoreSimulation(seed, SEEDS, syncsFirst);
    simulation.observer(trace);
    if (faultInjector != null) {
      simulation.faultInjector(faultInjector);
    }
    for (final String address : SEEDS) {
      simulation.add(address, "zone-" + address.charAt(5), "x");
      simulation.start(address, true);
    }
    for (final String address : List.of(OTHERS).subList(0, others)) {
      simulation.add(address, "zone-" + address.charAt(5), "x");
      simulation.after(
          500 + simulation.random().nextInt(3000), () -> simulation.start(address, true));
    }
    simulation.run(3600);
    traffic(simulation);
    return simulation;
  }

  private static Trace day(
      final long seed,
      final boolean syncsFirst,
      final StateStoreSimulation.FaultInjector faultInjector,
      final int rounds) {
    final Trace trace = new Trace();
    final StateStoreSimulation simulation =
        fleet(seed, syncsFirst, OTHERS.length, faultInjector, trace);
    for (int round = 0; round < rounds; round++) {
      simulation.run(1500);
      trouble(simulation);
      simulation.run(5500);
    }
    return trace;
  }

  @Test
  public void realCoresStayInsideTheModel() {
    final EnumMap<Trace.Step, Integer> steps = new EnumMap<>(Trace.Step.class);
    final int days = Integer.getInteger("trace.days", 20);
    for (long seed = 1; seed <= days; seed++) {
      final Trace trace = day(seed, true, null, 5);
      assertTrue(trace.breaches().isEmpty(), "seed " + seed + ": " + trace.breaches());
      trace.steps().forEach((step, count) -> steps.merge(step, count, Integer::sum));
    }
    System.out.println("trace: " + days + " days, " + steps);
    for (final Trace.Step step : Trace.Step.values()) {
      assertTrue(
          steps.getOrDefault(step, 0) >= days, "too little of " + step + " was seen: " + steps);
    }
  }

  @Test
  public void anAnswerBeforeTheSyncIsSeen() {
    final Trace trace = day(1, false, null, 1);
    assertTrue(
        trace.breaches().stream().anyMatch(line -> line.contains("before it is on its disk")),
        trace.breaches().toString());
  }

  /**
   * One core takes all for the first incarnation of everybody, whatever it is told, and wins
   * partitions after a disk was lost.
   */
  @Test
  public void anOvertakenPromiseThatCountsIsSeen() {
    final Trace trace = new Trace();
    final StateStoreSimulation simulation =
        fleet(
            1,
            true,
            2,
            new StateStoreSimulation.FaultInjector() {
              @Override
              public Message pass(final String from, final String to, final Message message) {
                return to.equals(SEEDS.get(0)) ? asFirst(message) : message;
              }
            },
            trace);
    simulation.run(3000);
    again(simulation, SEEDS.get(1), true);
    simulation.run(4000);
    assertTrue(trace.breaches().isEmpty(), trace.breaches().toString());
    othersPause(simulation);
    assertTrue(
        trace.breaches().stream()
            .anyMatch(
                line ->
                    line.startsWith(SEEDS.get(0))
                        && line.contains("counts a promise of " + SEEDS.get(1))),
        trace.breaches().toString());
  }

  /** All but the first core stand still in turn, so that the first wins their partitions. */
  private static void othersPause(final StateStoreSimulation simulation) {
    for (final String address : simulation.running()) {
      if (!address.equals(SEEDS.get(0))) {
        simulation.freeze(address, true);
        simulation.run(2200);
        simulation.heal();
        simulation.run(1500);
      }
    }
  }

  private static Message asFirst(final Message message) {
    if (message instanceof StateStoreMessages.RecoveryRequest) {
      return null;
    } else if (message instanceof StateStoreMessages.Promise) {
      final StateStoreMessages.Promise one = (StateStoreMessages.Promise) message;
      return new StateStoreMessages.Promise(
          one.partition, one.ballot, one.established, one.entries, 1, null);
    } else if (message instanceof StateStoreMessages.Accepted) {
      final StateStoreMessages.Accepted one = (StateStoreMessages.Accepted) message;
      return new StateStoreMessages.Accepted(
          one.partition,
          one.ballot,
          one.establish,
          one.names,
          one.counts,
          one.missingBase,
          1,
          null);
    } else if (message instanceof StateStoreMessages.HeartbeatAck) {
      final StateStoreMessages.HeartbeatAck one = (StateStoreMessages.HeartbeatAck) message;
      return new StateStoreMessages.HeartbeatAck(
          one.partitions, one.ballots, 1, null, one.auditedThrough);
    } else if (message instanceof StateStoreMessages.Refused) {
      final StateStoreMessages.Refused one = (StateStoreMessages.Refused) message;
      return new StateStoreMessages.Refused(
          one.partition, one.ballot, one.promised, one.rosterNumber, null);
    } else if (message instanceof StateStoreMessages.Accept) {
      final StateStoreMessages.Accept one = (StateStoreMessages.Accept) message;
      return new StateStoreMessages.Accept(
          one.partition,
          one.rosterNumber,
          one.ballot,
          one.establish,
          one.countedIncarnations,
          one.entries);
    }
    return message;
  }

  /** One core overlooks what others write and what their promises tell of registers. */
  @Test
  public void anEstablishmentOfLessThanWasToldIsSeen() {
    final Trace trace = new Trace();
    final StateStoreSimulation simulation =
        fleet(
            2,
            true,
            2,
            new StateStoreSimulation.FaultInjector() {
              @Override
              public Message pass(final String from, final String to, final Message message) {
                if (to.equals(SEEDS.get(0)) && message instanceof StateStoreMessages.Accept) {
                  return null;
                } else if (to.equals(SEEDS.get(0))
                    && message instanceof StateStoreMessages.Promise) {
                  final StateStoreMessages.Promise one = (StateStoreMessages.Promise) message;
                  return new StateStoreMessages.Promise(
                      one.partition,
                      one.ballot,
                      one.established,
                      List.of(),
                      one.incarnation,
                      one.knownIncarnations);
                }
                return message;
              }
            },
            trace);
    othersPause(simulation);
    assertTrue(
        trace.breaches().stream()
            .anyMatch(line -> line.startsWith(SEEDS.get(0)) && line.contains("where it was told")),
        trace.breaches().toString());
  }

  /**
   * One core takes an answer for one to its later proposals too, and goes on before a majority has
   * them.
   */
  @Test
  public void aCommitWithoutAMajorityIsSeen() {
    final Trace trace = new Trace();
    final StateStoreSimulation simulation =
        fleet(
            1,
            true,
            2,
            new StateStoreSimulation.FaultInjector() {
              @Override
              public Message pass(final String from, final String to, final Message message) {
                if (to.equals(SEEDS.get(0))
                    && message instanceof StateStoreMessages.Accepted
                    && !((StateStoreMessages.Accepted) message).establish) {
                  final StateStoreMessages.Accepted one = (StateStoreMessages.Accepted) message;
                  final List<Long> more = new ArrayList<>();
                  Protocol.emptyIfNull(one.counts).forEach(count -> more.add(count + 5));
                  return new StateStoreMessages.Accepted(
                      one.partition,
                      one.ballot,
                      one.establish,
                      one.names,
                      more,
                      one.missingBase,
                      one.incarnation,
                      one.knownIncarnations);
                }
                return message;
              }
            },
            trace);
    for (int call = 0; call < 1000; call++) {
      simulation.after(
          call * 4L,
          () ->
              simulation.call(
                  simulation.running().get(0),
                  StoreOperation.NUMBER,
                  "n",
                  null,
                  0,
                  0,
                  null,
                  answer -> {}));
    }
    simulation.run(1000);
    othersPause(simulation);
    assertTrue(
        trace.breaches().stream()
            .anyMatch(line -> line.startsWith(SEEDS.get(0)) && line.contains("the next value of")),
        trace.breaches().toString());
  }
}
