package weldpoint.simulation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;
import weldpoint.transport.Message;
import weldpoint.transport.StateStoreMessages;

/**
 * An incarnation is taken once, whoever votes meanwhile, and is never held against another voter.
 */
public class IncarnationTest {
  private static final String[] SEEDS = {
    "10.0.1.1", "10.0.1.2", "10.0.1.3", "10.0.1.4", "10.0.1.5"
  };
  private static final String[] SPARES = {"10.0.1.6", "10.0.1.7", "10.0.1.8"};

  private static StateStoreSimulation fleet(final long seed, final int spares) {
    final StateStoreSimulation simulation = new StateStoreSimulation(seed, List.of(SEEDS), true);
    for (final String address : SEEDS) {
      simulation.add(address, "zone-" + address, "x");
      simulation.start(address, true);
    }
    for (int index = 0; index < spares; index++) {
      simulation.add(SPARES[index], "zone-" + SPARES[index], "x");
      simulation.start(SPARES[index], true);
    }
    simulation.run(6000);
    return simulation;
  }

  private static void wipe(final StateStoreSimulation simulation, final String address) {
    simulation.kill(address, true);
    simulation.wipe(address);
    simulation.run(300);
    simulation.start(address, false);
    simulation.run(4000);
  }

  /** Replaces a voter, which is lost for good, by a machine that waits. */
  private static void replace(final StateStoreSimulation simulation, final String address) {
    simulation.kill(address, true);
    simulation.run(9000);
    final StateStoreMessages.Roster roster = roster(simulation);
    assertEquals(roster.indexOf(address), -1, "the voter that was lost is still in the roster");
    assertEquals(roster.voters.size(), 5);
  }

  private static StateStoreMessages.Roster roster(final StateStoreSimulation simulation) {
    return simulation.machines().get(simulation.running().get(0)).replica().roster();
  }

  /**
   * One voter loses its disk, all who then answered it are replaced, the others lose power and
   * forget what they only heard, and the voter loses its disk again: its votes from between must
   * not count as those of its third life.
   */
  @Test
  public void anIncarnationIsTakenOnceThoughAllWhoHeardOfItAreGone() {
    for (long seed = 1; seed <= 5; seed++) {
      final StateStoreSimulation simulation = fleet(seed, 3);
      final String twice = SEEDS[0];
      final long[] incarnation = new long[1];
      simulation.faultInjector(
          new StateStoreSimulation.FaultInjector() {
            @Override
            public Message pass(final String from, final String to, final Message message) {
              if (from.equals(twice) && message instanceof StateStoreMessages.HeartbeatAck) {
                incarnation[0] = ((StateStoreMessages.HeartbeatAck) message).incarnation;
              }
              return message;
            }
          });
      simulation.cut(twice, SEEDS[4], true);
      simulation.cut(SEEDS[4], twice, true);
      wipe(simulation, twice);
      simulation.heal();
      simulation.run(1000);
      assertEquals(incarnation[0], 2L);
      for (int index = 1; index <= 3; index++) {
        replace(simulation, SEEDS[index]);
      }
      for (final String address : simulation.running()) {
        simulation.kill(address, true);
      }
      simulation.wipe(twice);
      incarnation[0] = 0;
      simulation.start(SEEDS[4], false);
      for (final String address : SPARES) {
        simulation.start(address, false);
      }
      simulation.start(twice, false);
      simulation.run(6000);
      assertEquals(incarnation[0], 3L, "seed " + seed + ": the incarnation of the third life");
    }
  }

  /**
   * An answer that was given under an older roster comes late: its list of incarnations is that of
   * the older voters.
   */
  @Test
  public void aLateListOfIncarnationsIsNotReadAsOneOfOtherVoters() {
    final StateStoreSimulation simulation = fleet(3, 1);
    wipe(simulation, SEEDS[1]);
    final String late = SEEDS[4];
    final Map<String, StateStoreMessages.HeartbeatAck> kept = new HashMap<>();
    final boolean[] give = new boolean[1];
    final Map<String, List<Long>> lists = new HashMap<>();
    simulation.faultInjector(
        new StateStoreSimulation.FaultInjector() {
          @Override
          public Message pass(final String from, final String to, final Message message) {
            if (!(message instanceof StateStoreMessages.HeartbeatAck)) {
              return message;
            }
            if (from.equals(late) && !give[0]) {
              kept.put(to, (StateStoreMessages.HeartbeatAck) message);
            }
            lists.put(from, ((StateStoreMessages.HeartbeatAck) message).knownIncarnations);
            return from.equals(late) && give[0] && kept.containsKey(to) ? kept.remove(to) : message;
          }
        });
    simulation.run(2000);
    assertTrue(
        kept.values().stream().allMatch(ack -> ack.knownIncarnations.contains(2L)),
        "nobody knows of the lost disk");
    final Map<String, StateStoreMessages.HeartbeatAck> copies = new HashMap<>(kept);
    replace(simulation, SEEDS[0]);
    kept.clear();
    kept.putAll(copies);
    give[0] = true;
    simulation.run(4000);
    lists.clear();
    simulation.run(1000);
    final StateStoreMessages.Roster roster = roster(simulation);
    lists.forEach(
        (from, known) -> {
          for (int index = 0; index < known.size(); index++) {
            final String address = roster.voters.get(index).address;
            assertEquals(
                (long) known.get(index),
                address.equals(SEEDS[1]) ? 2L : 1L,
                from + " on the incarnation of " + address);
          }
        });
    assertTrue(lists.size() >= 4, "only " + lists.keySet() + " answered");
  }
}
