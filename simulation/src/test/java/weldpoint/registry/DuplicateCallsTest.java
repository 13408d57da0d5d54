package weldpoint.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import weldpoint.audit.AuditEntry;
import weldpoint.audit.AuditLog;
import weldpoint.audit.ChangeKind;
import weldpoint.simulation.StateStoreSimulation;
import weldpoint.statestore.StoreOperation;
import weldpoint.transport.Serializer;
import weldpoint.transport.StoreMessages;

/**
 * Three registries whose copies of calls are lost, arrive seconds late, and overlap with changes of
 * the partition's holder: no call is executed twice or after its deadline.
 */
public final class DuplicateCallsTest {
  private static final List<String> SEEDS = List.of("10.0.1.1", "10.0.2.1", "10.0.3.1");
  private static final String[][] MACHINES = {
    {"10.0.1.1", "a", "x"},
    {"10.0.1.2", "a", "x"},
    {"10.0.2.1", "b", "y"},
    {"10.0.3.1", "c", "x"},
    {"10.0.4.1", "d", "y"}
  };

  @BeforeClass
  public void disableLogging() {
    java.util.logging.Logger.getLogger("").setLevel(java.util.logging.Level.OFF);
  }

  private static final class World {
    private final StateStoreSimulation simulation;
    private final boolean identified;
    private final List<StoreClient> stores = new ArrayList<>();
    private final Map<String, Boolean> frozen = new HashMap<>();
    private int begins;
    private int possibleHolders;
    private int evacuations;
    private boolean stopped;

    private World(final long seed, final boolean identified) {
      this.identified = identified;
      simulation = new StateStoreSimulation(seed, SEEDS, true);
      for (final String[] machine : MACHINES) {
        simulation.add(machine[0], machine[1], machine[2]);
        simulation.start(machine[0], true);
      }
      for (int index = 0; index < 3; index++) {
        final int which = index;
        final StoreClient store =
            new StoreClient(
                MACHINES[index][0],
                new Random(seed * 31 + index),
                (address, call) -> send(which, address, call));
        final List<String> all = new ArrayList<>();
        for (final String[] machine : MACHINES) {
          all.add(machine[0]);
        }
        store.replicas(all);
        stores.add(store);
      }
      tick();
      simulation.run(6000);
    }

    private void tick() {
      stores.forEach(store -> store.tick(simulation.now()));
      simulation.after(40, this::tick);
    }

    private boolean send(final int which, final String to, final StoreMessages.StoreRequest call) {
      final Random random = simulation.random();
      if (simulation.machines().get(to).replica() == null) {
        return false;
      }
      final StoreMessages.StoreRequest copy =
          identified
              ? call.stampedForSend(simulation.now() - random.nextInt(500), simulation.now())
              : call.withCaller(0).stampedForSend(null, simulation.now());
      final byte[] bytes = Serializer.serialize(copy);
      final int chance = random.nextInt(20);
      if (chance > 0) {
        simulation.after(
            chance < 4 ? 300 + random.nextInt(6000) : 1 + random.nextInt(8),
            () -> arrive(which, to, bytes, call.callerIncarnation));
      }
      return true;
    }

    private void arrive(final int which, final String to, final byte[] bytes, final long caller) {
      if (frozen.containsKey(to)) {
        simulation.after(20, () -> arrive(which, to, bytes, caller));
      } else if (simulation.machines().get(to).replica() != null) {
        simulation
            .machines()
            .get(to)
            .replica()
            .call(
                Serializer.deserialize(bytes, StoreMessages.StoreRequest.class),
                answer -> {
                  final int chance = simulation.random().nextInt(10);
                  if (chance > 0) {
                    simulation.after(
                        chance == 1 ? 500 : 1 + simulation.random().nextInt(8),
                        () ->
                            stores
                                .get(which)
                                .onResponse(to, answer.withCaller(caller), simulation.now()));
                  }
                },
                simulation.now());
      }
    }

    private StoreClient randomClient() {
      return stores.get(simulation.random().nextInt(stores.size()));
    }

    private void beginLocks() {
      if (stopped) {
        return;
      }
      final String owner = "owner " + ++begins;
      randomClient()
          .call(StoreOperation.LOCK_BEGIN, "l", owner, 30, 0, null, null, simulation.now(), 900)
          .whenComplete(
              (answer, problem) ->
                  possibleHolders +=
                      problem != null || answer.status == 200 || answer.status == 504 ? 1 : 0);
      simulation.after(60 + simulation.random().nextInt(80), this::beginLocks);
    }

    private void nextEvacuation() {
      if (stopped) {
        return;
      }
      evacuations++;
      evacuateUntilDone(evacuations % 2);
    }

    private void evacuateUntilDone(final int on) {
      evacuate(randomClient(), on, simulation.now() + 900)
          .whenComplete(
              (answer, problem) -> {
                if (problem == null && answer.status == 200) {
                  simulation.after(20 + simulation.random().nextInt(300), this::nextEvacuation);
                } else {
                  simulation.after(20, () -> evacuateUntilDone(on));
                }
              });
    }

    private CompletableFuture<StoreMessages.StoreResponse> evacuate(
        final StoreClient store, final int on, final long cutoff) {
      final StoreMessages.ChangeOrigin origin =
          new StoreMessages.ChangeOrigin("operator", "", "", null);
      return store
          .call(
              StoreOperation.EVACUATION_TICKET,
              "z",
              null,
              0,
              0,
              null,
              null,
              simulation.now(),
              cutoff - simulation.now())
          .thenCompose(
              ticket ->
                  ticket.status != 200
                      ? CompletableFuture.completedFuture(ticket)
                      : store
                          .call(
                              StoreOperation.EVACUATE,
                              "z",
                              null,
                              on,
                              ticket.first,
                              null,
                              origin,
                              simulation.now(),
                              cutoff - simulation.now())
                          .thenCompose(
                              answer ->
                                  answer.status != 410
                                      ? CompletableFuture.completedFuture(answer)
                                      : evacuate(store, on, cutoff)));
    }

    private void injectFault() {
      final List<String> running = simulation.running();
      final String one = running.get(simulation.random().nextInt(running.size()));
      switch (simulation.random().nextInt(4)) {
        case 0 -> {
          simulation.kill(one, true);
          stores.forEach(store -> store.onDisconnected(one, simulation.now()));
          simulation.after(
              500 + simulation.random().nextInt(1500), () -> simulation.start(one, false));
        }
        case 1 -> {
          simulation.freeze(one, true);
          frozen.put(one, true);
          simulation.after(
              1500,
              () -> {
                simulation.freeze(one, false);
                frozen.remove(one);
              });
        }
        case 2 -> {
          for (final String other : running) {
            simulation.cut(one, other, !one.equals(other));
            simulation.cut(other, one, !one.equals(other));
          }
          simulation.after(1800, simulation::heal);
        }
        default -> {
          simulation.disk(one, 150);
          simulation.after(1500, simulation::heal);
        }
      }
    }

    private List<String> violations() {
      stopped = true;
      simulation.heal();
      simulation.run(12_000);
      final List<String> violations = new ArrayList<>();
      final long[] fence = new long[1];
      for (int round = 0; round < 20 && fence[0] == 0; round++) {
        simulation.call(
            simulation.running().get(round % simulation.running().size()),
            StoreOperation.LOCK_BEGIN,
            "l",
            "last",
            30,
            0,
            null,
            answer -> fence[0] = answer.status == 200 ? answer.first : 0);
        simulation.run(400);
      }
      if (fence[0] - 1 > possibleHolders) {
        violations.add(
            "the lock was granted " + (fence[0] - 1) + " times to " + possibleHolders + " callers");
      }
      final AuditLog log = simulation.machines().get("10.0.1.1").replica().history();
      long before = 0;
      int begun = 0;
      for (long sequence = 1; sequence <= log.last(); sequence++) {
        final AuditEntry entry = AuditEntry.read(log.read(sequence));
        begun += entry.kind() == ChangeKind.EVACUATION_BEGUN ? 1 : 0;
        before++;
      }
      if (before != evacuations || begun != (evacuations + 1) / 2) {
        violations.add(
            evacuations
                + " sequential evacuation commands changed the evacuation "
                + before
                + " times");
      }
      return violations;
    }
  }

  private static List<String> run(final long seed, final boolean identified, final int[] counts) {
    final World world = new World(seed, identified);
    world.beginLocks();
    world.nextEvacuation();
    for (int round = 0; round < 4; round++) {
      world.simulation.run(2500);
      world.injectFault();
      world.simulation.run(3000);
    }
    final List<String> violations = world.violations();
    counts[0] += world.begins;
    counts[1] += world.evacuations;
    return violations;
  }

  @Test
  public void noCallIsExecutedTwiceOrTooLate() {
    final int[] counts = new int[2];
    for (long seed = 1; seed <= 30; seed++) {
      final List<String> violations = run(seed, true, counts);
      assertTrue(violations.isEmpty(), "seed " + seed + ": " + violations);
    }
    assertTrue(
        counts[0] > 30 * 150 && counts[1] > 30 * 15,
        "only " + counts[0] + " calls for the lock and " + counts[1] + " evacuation commands");
  }

  @Test
  public void detectsCopiesWithoutAnIdentity() {
    int caught = 0;
    for (long seed = 1; seed <= 6; seed++) {
      caught += run(seed, false, new int[2]).isEmpty() ? 0 : 1;
    }
    assertEquals(caught, 6);
  }

  private static StoreMessages.StoreRequest begin(final long number, final long hold) {
    return new StoreMessages.StoreRequest(
            number, StoreOperation.LOCK_BEGIN.ordinal(), "k", "owner " + number, hold, 0, null)
        .withCaller(9);
  }

  private static StoreMessages.StoreResponse ask(
      final World world, final String at, final StoreMessages.StoreRequest call) {
    final StoreMessages.StoreResponse[] answer = new StoreMessages.StoreResponse[1];
    world
        .simulation
        .machines()
        .get(at)
        .replica()
        .call(
            Serializer.deserialize(Serializer.serialize(call), StoreMessages.StoreRequest.class),
            one -> answer[0] = one,
            world.simulation.now());
    world.simulation.run(300);
    return answer[0];
  }

  /**
   * The replica that holds the lock's partition, found by acquiring the lock under this number, or
   * under one of the following numbers while another owner still holds the lock.
   */
  private static String holder(final World world, final long number, final long hold) {
    for (int round = 0; round < 40; round++) {
      for (final String address : world.simulation.running()) {
        final StoreMessages.StoreResponse answer =
            ask(
                world,
                address,
                begin(number + round, hold).stampedForSend(world.simulation.now(), 0));
        if (answer != null && answer.status == 200) {
          return address;
        }
      }
    }
    throw new AssertionError("no replica holds the partition");
  }

  @Test
  public void copyOfACallThatThePreviousHolderMayHaveExecutedFails() {
    final World world = new World(5, true);
    final StoreMessages.StoreRequest call = begin(1, 200);
    final long sentAt = world.simulation.now();
    final String first = holder(world, 1, 200);
    world.simulation.kill(first, true);
    final String next = holder(world, 100, 100);
    world.simulation.run(300);
    final StoreMessages.StoreResponse copy =
        ask(
            world,
            next,
            call.withAge(world.simulation.now() - sentAt, 0)
                .stampedForSend(world.simulation.now(), 0));
    assertEquals(copy.status, 504);
    assertEquals(copy.callerIncarnation, 9);
    final StoreMessages.StoreResponse fresh =
        ask(world, next, begin(203, 100).stampedForSend(world.simulation.now(), 0));
    assertEquals(fresh.status, 200);
    assertEquals(fresh.first, 3, "the copy was executed");
  }

  @Test
  public void copyOfUnknownAgeOrTooLongInFlightIsNotExecuted() {
    final World world = new World(6, true);
    world.simulation.run(6000);
    final String at = holder(world, 1, 100);
    world.simulation.run(300);
    assertEquals(
        ask(world, at, begin(202, 100).stampedForSend(world.simulation.now() - 2501, 0)).status, 0);
    assertEquals(
        ask(world, at, begin(203, 100).stampedForSend(world.simulation.now() - 2000, 0)).first, 2);
    world.simulation.run(300);
    final String last = holder(world, 300, 100);
    final long before = world.simulation.now();
    world.simulation.kill(last, true);
    final String next = holder(world, 400, 100);
    assertEquals(
        ask(world, next, begin(205, 100).stampedForSend(before, 0)).status,
        0,
        "not known whether it was sent before the replica took over the partition or after");
    world.simulation.run(300);
    assertEquals(
        ask(world, next, begin(205, 100).stampedForSend(world.simulation.now(), 0)).first, 5);
  }

  @Test
  public void secondCopyGetsTheResponseOfTheFirst() {
    final World world = new World(7, true);
    final String at = holder(world, 1, 100);
    world.simulation.run(300);
    final StoreMessages.StoreResponse first =
        ask(world, at, begin(202, 100).stampedForSend(world.simulation.now(), 0));
    world.simulation.run(300);
    final StoreMessages.StoreResponse other =
        ask(world, at, begin(203, 100).stampedForSend(world.simulation.now(), 0));
    assertEquals(other.first, first.first + 1);
    world.simulation.run(300);
    final StoreMessages.StoreResponse second =
        ask(world, at, begin(202, 100).withAge(900, 0).stampedForSend(world.simulation.now(), 0));
    assertEquals(second.status, 200);
    assertEquals(second.first, first.first);
    assertEquals(
        ask(world, at, begin(204, 100).stampedForSend(world.simulation.now(), 0)).first,
        other.first + 1);
  }
}
