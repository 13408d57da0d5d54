package weldpoint.simulation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.SkipException;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import weldpoint.audit.ConfigurationSummary;
import weldpoint.routing.RoutingTable;
import weldpoint.statestore.StoreOperation;
import weldpoint.transport.AuditMessages;
import weldpoint.transport.Compression;
import weldpoint.transport.Serializer;
import weldpoint.transport.StateStoreMessages;
import weldpoint.transport.StoreMessages;

/**
 * Catching up after hundreds and thousands of configurations: a member is killed, cut off and wiped
 * while they come, and restarted and wiped after them. Prints time, bytes and memory; all on the
 * fake clock, over links of 3.6 MB a second. The runs of 10,000 changes are played with
 * -Dweldpoint.catchup.long=true.
 */
public final class CatchUpMeasureTest {
  private static final List<String> SEEDS = List.of("10.0.1.1", "10.0.2.1", "10.0.3.1");
  private static final String[][] MACHINES = {
    {"10.0.1.1", "a", "x"},
    {"10.0.1.2", "a", "x"},
    {"10.0.2.1", "b", "y"},
    {"10.0.3.1", "c", "x"},
    {"10.0.4.1", "d", "y"}
  };
  private static final String MEMBER = "10.0.4.1";
  private static final int RETENTION = 2000;

  private final Random random = new Random(4);
  private final List<byte[]> rules = new ArrayList<>();

  @BeforeClass
  public void quiet() {
    java.util.logging.Logger.getLogger("").setLevel(java.util.logging.Level.OFF);
  }

  private byte[] configuration(final long version, final int routes) {
    while (rules.size() < routes) {
      rules.add(null);
    }
    final StringBuilder text =
        new StringBuilder(
            "{\"version\":\""
                + String.format("%08x", version)
                + "\",\"listeners\":[{\"host\":\"h.example\",\"rules\":[");
    final int changed = (int) (version % routes);
    for (int route = 0; route < routes; route++) {
      if (rules.get(route) == null || route == changed) {
        rules.set(
            route,
            ("{\"name\":\"r-"
                    + Long.toString(random.nextLong() >>> 1, 36)
                    + "\",\"routeKind\":\"idempotent\",\"targetLatencyMs\":300,\"priority\":2,\"match\":{\"pathPrefix\":\"/p"
                    + route
                    + "/\"},\"action\":{\"service\":\"s"
                    + random.nextInt(3)
                    + "\",\"timeoutMs\":"
                    + (500 + random.nextInt(3000))
                    + ",\"maxAttempts\":2,\"homeRegions\":[]}}")
                .getBytes(StandardCharsets.UTF_8));
      }
      text.append(route == 0 ? "" : ",")
          .append(new String(rules.get(route), StandardCharsets.UTF_8));
    }
    return text.append("]}],\"pools\":[{\"name\":\"s0\"},{\"name\":\"s1\"},{\"name\":\"s2\"}]}")
        .toString()
        .getBytes(StandardCharsets.UTF_8);
  }

  /** Sends configurations until the last is acknowledged. */
  private long change(
      final StateStoreSimulation simulation,
      final long from,
      final long through,
      final int routes) {
    for (long version = from + 1; version <= through; version++) {
      final byte[] body = configuration(version, routes);
      final StoreMessages.ChangeOrigin origin =
          new StoreMessages.ChangeOrigin(
              "author",
              "10.9.9.9",
              "10.0.1.1",
              Compression.deflate(
                  Serializer.serialize(ConfigurationSummary.of(RoutingTable.parse(body), body))));
      final byte[] packed = Compression.deflate(body);
      final boolean[] taken = new boolean[1];
      for (int attempt = 0; attempt < 100 && !taken[0]; attempt++) {
        simulation.change(
            SEEDS.get(attempt % 3),
            StoreOperation.CONFIGURATION_REPLACE,
            "",
            version,
            packed,
            origin,
            answer -> taken[0] |= answer.status == 200);
        for (int wait = 0; wait < 60 && !taken[0]; wait++) {
          simulation.run(10);
        }
      }
      assertTrue(taken[0], "version " + version);
    }
    return through;
  }

  private static long bytes(final StateStoreSimulation simulation) {
    return simulation.received(MEMBER, StateStoreMessages.RecoveryResponse.class)
        + simulation.received(MEMBER, StateStoreMessages.Accept.class)
        + simulation.received(MEMBER, AuditMessages.AuditEntries.class);
  }

  private static boolean caughtUp(final StateStoreSimulation simulation) {
    return !simulation.machines().get(MEMBER).replica().recovering()
        && simulation.machines().get(MEMBER).replica().history().lastDurable()
            == simulation.machines().get(SEEDS.get(0)).replica().history().lastDurable();
  }

  private static long[] catchUp(final StateStoreSimulation simulation) {
    final long from = simulation.now();
    final long before = bytes(simulation);
    simulation.start(MEMBER, false);
    while (!caughtUp(simulation) && simulation.now() - from < 60_000) {
      simulation.run(10);
    }
    final long took = simulation.now() - from;
    assertTrue(caughtUp(simulation), "not caught up after " + took + " ms");
    simulation.run(2000);
    return new long[] {took, bytes(simulation) - before};
  }

  private static long heap() {
    System.gc();
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  /**
   * One measurement: the bytes and times of a restart with the disk that missed the last half of
   * the changes, and of a wiped disk.
   */
  private long[] measure(final int changes, final int routes) {
    final StateStoreSimulation simulation = new StateStoreSimulation(11, SEEDS, true);
    simulation.keeps(RETENTION);
    for (final String[] machine : MACHINES) {
      simulation.add(machine[0], machine[1], machine[2]);
      simulation.start(machine[0], true);
      simulation.link(machine[0], 3600);
    }
    simulation.run(8000);
    final long started = System.nanoTime();
    long version = change(simulation, 0, changes / 4, routes);
    simulation.kill(MEMBER, true);
    version = change(simulation, version, version + changes / 8, routes);
    final long[] killed = catchUp(simulation);
    for (final String[] machine : MACHINES) {
      simulation.cut(machine[0], MEMBER, true);
      simulation.cut(MEMBER, machine[0], true);
    }
    version = change(simulation, version, version + changes / 8, routes);
    simulation.heal();
    final long healed = simulation.now();
    while (!caughtUp(simulation) && simulation.now() - healed < 60_000) {
      simulation.run(10);
    }
    final long cut = simulation.now() - healed;
    assertTrue(caughtUp(simulation), "not caught up after a cut");
    simulation.kill(MEMBER, true);
    version = change(simulation, version, changes, routes);
    final long[] restarted = catchUp(simulation);
    simulation.kill(MEMBER, true);
    simulation.wipe(MEMBER);
    simulation.run(2000);
    final long[] wiped = catchUp(simulation);
    long disk = 0;
    for (final byte[] record : simulation.machines().get(MEMBER).replica().snapshot()) {
      disk += record.length;
    }
    final long heap = heap();
    System.out.println(
        "catching up, "
            + changes
            + " changes of "
            + routes
            + " routes ("
            + Compression.deflate(configuration(version, routes)).length
            + " bytes packed): killed for an eighth "
            + killed[0]
            + " ms "
            + killed[1]
            + " bytes; cut for an eighth "
            + cut
            + " ms; killed for a half "
            + restarted[0]
            + " ms "
            + restarted[1]
            + " bytes; wiped after all "
            + wiped[0]
            + " ms "
            + wiped[1]
            + " bytes; live state "
            + disk
            + " bytes, history "
            + simulation.machines().get(MEMBER).replica().history().base()
            + " to "
            + simulation.machines().get(MEMBER).replica().history().last()
            + "; heap of five frames "
            + heap / 1024
            + " KB; played in "
            + (System.nanoTime() - started) / 1_000_000
            + " ms");
    assertEquals(
        simulation.machines().get(MEMBER).replica().history().last(),
        simulation.machines().get(SEEDS.get(0)).replica().history().last());
    assertFalse(simulation.machines().get(MEMBER).replica().recovering());
    return new long[] {restarted[0], restarted[1], wiped[0], wiped[1], heap};
  }

  private static void linear(final long[] few, final long[] many, final double times) {
    assertTrue(
        many[1] < few[1] * times * 1.5 + 200_000, "restart: " + few[1] + " bytes, then " + many[1]);
    assertTrue(
        many[3] < few[3] * times * 1.5 + 200_000, "wipe: " + few[3] + " bytes, then " + many[3]);
    assertTrue(
        many[0] < 6000 && many[2] < 6000, "restart " + many[0] + " ms, wipe " + many[2] + " ms");
  }

  @Test
  public void catchingUpIsLinearInWhatIsMissing() {
    linear(measure(100, 3), measure(1000, 3), 10);
    final long[] large = measure(100, 500);
    assertTrue(large[0] < 4000 && large[2] < 4000);
    assertTrue(
        large[1] < 1_500_000 && large[3] < 1_500_000, "restart " + large[1] + ", wipe " + large[3]);
  }

  @Test
  public void tenThousandChangesStayWithinMemoryAndTime() {
    if (!Boolean.getBoolean("weldpoint.catchup.long")) {
      throw new SkipException("long; play it with -Dweldpoint.catchup.long=true");
    }
    final long[] few = measure(1000, 3);
    linear(few, measure(10_000, 3), 10);
    final long[] large = measure(1000, 500);
    final long[] all = measure(10_000, 500);
    linear(large, all, 10);
    assertTrue(all[4] < 5L * (64 << 20), "heap " + all[4]);
  }
}
