package weldpoint.simulation;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.testng.annotations.Test;
import weldpoint.transport.Message;
import weldpoint.transport.Protocol;
import weldpoint.transport.Serializer;
import weldpoint.transport.StateStoreMessages;

/**
 * A roster's number names one roster, whoever has it, and incarnations are those of the voters they
 * were told of.
 */
public class RosterNumberTest {
  private static String content(final StateStoreMessages.Roster roster) {
    final StringBuilder text = new StringBuilder();
    for (final StateStoreMessages.Voter voter : roster.voters) {
      text.append(voter.address)
          .append(' ')
          .append(voter.site)
          .append(' ')
          .append(Protocol.emptyIfNull(voter.tokens))
          .append("; ");
    }
    return text.toString();
  }

  /**
   * Machines come one by one while disks are slow, so that rosters are decided while the one before
   * is being adopted. A holder has one proposal for the register under way at a time, so that a
   * second one says that the first was decided.
   */
  private static List<String> slowAdoptions(final long seed) {
    final StateStoreSimulation simulation =
        new StateStoreSimulation(seed, List.of("10.0.1.1", "10.0.1.2", "10.0.2.1"), true);
    final Random random = simulation.random();
    final Map<Long, String> rosters = new HashMap<>();
    final Map<String, String> proposed = new HashMap<>();
    final List<String> breaches = new ArrayList<>();
    simulation.faultInjector(
        new StateStoreSimulation.FaultInjector() {
          @Override
          public Message pass(final String from, final String to, final Message message) {
            if (message instanceof StateStoreMessages.Accept
                && !((StateStoreMessages.Accept) message).establish) {
              for (final StateStoreMessages.RegisterEntry entry :
                  ((StateStoreMessages.Accept) message).entries) {
                if (entry.name.equals("roster") && entry.fullValue != null) {
                  final StateStoreMessages.Roster roster =
                      Serializer.deserialize(entry.fullValue, StateStoreMessages.Roster.class);
                  final String before =
                      proposed.putIfAbsent(
                          entry.version.ballot() + " roster " + roster.number, content(roster));
                  if (before != null && !before.equals(content(roster))) {
                    breaches.add(
                        from
                            + " decided roster "
                            + roster.number
                            + " as "
                            + before
                            + " and then as "
                            + content(roster));
                  }
                }
              }
            }
            return message instanceof StateStoreMessages.RosterUpdate && random.nextInt(3) == 0
                ? null
                : message;
          }
        });
    final String[] addresses = {
      "10.0.1.1", "10.0.1.2", "10.0.2.1", "10.0.1.3", "10.0.3.1", "10.0.2.2", "10.0.4.1"
    };
    for (final String address : addresses) {
      simulation.add(address, "zone-" + address.charAt(5), "x");
      simulation.disk(address, random.nextInt(3) == 0 ? 500 : 60 + random.nextInt(60));
      final boolean early =
          address.equals("10.0.1.1") || address.equals("10.0.1.2") || address.equals("10.0.2.1");
      simulation.after(
          early ? random.nextInt(300) : 500 + random.nextInt(3000),
          () -> simulation.start(address, true));
    }
    for (int step = 0; step < 300; step++) {
      simulation.run(50);
      for (final StateStoreSimulation.Machine machine : simulation.machines().values()) {
        if (machine.replica() != null) {
          final StateStoreMessages.Roster roster = machine.replica().roster();
          final String before = rosters.putIfAbsent(roster.number, content(roster));
          if (before != null && !before.equals(content(roster))) {
            breaches.add("roster " + roster.number + " is " + before + " and " + content(roster));
          }
        }
      }
    }
    return breaches;
  }

  @Test
  public void aNumberNamesOneRoster() {
    final List<String> breaches = new ArrayList<>();
    for (long seed = 1; seed <= 60; seed++) {
      for (final String breach : slowAdoptions(seed)) {
        breaches.add("seed " + seed + ": " + breach);
      }
    }
    assertTrue(breaches.isEmpty(), breaches.toString());
  }
}
