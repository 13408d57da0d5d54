package weldpoint.proxy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.Test;
import weldpoint.registry.LifecycleStage;
import weldpoint.routing.RoutingTable;
import weldpoint.transport.Compression;
import weldpoint.transport.Message;
import weldpoint.transport.RegistryMessages;
import weldpoint.transport.RegistryMessages.Registration;
import weldpoint.transport.TrialMessages;

/** A proxy never accepts older control state, and leaves a stale or silent registry. */
public final class RegistryClientTest {
  private final List<Long> versions = new ArrayList<>();
  private final Map<String, Boolean> open = new HashMap<>();
  private final List<String> dialled = new ArrayList<>();
  private final List<String> dialledParallel = new ArrayList<>();
  private int parallelClosed;
  private boolean parallelSupported;
  private Set<String> evacuated = Set.of();

  /** A client whose environment supports parallel connections. */
  private RegistryClient clientWithParallelConnections() {
    parallelSupported = true;
    try {
      return client();
    } finally {
      parallelClosed = 0;
      dialledParallel.clear();
    }
  }

  private RegistryClient client() {
    versions.clear();
    open.clear();
    dialled.clear();
    final RegistryClient registry =
        new RegistryClient(
            new RegistryMessages.DaemonEntry("10.0.0.9", "10.0.0.9:80", "a", "r", 1, false, 0),
            List.of("e1", "e2", "e3"),
            new Random(1),
            new RegistryClient.Environment() {
              @Override
              public void dial(final String address) {
                dialled.add(address);
              }

              @Override
              public boolean dialParallel(final String address) {
                dialledParallel.add(address);
                return parallelSupported;
              }

              @Override
              public void closeParallel() {
                parallelClosed++;
              }

              @Override
              public void send(final Message message) {}

              @Override
              public void controlUpdate(
                  final RoutingTable routingTable,
                  final Map<Registration, Boolean> changes,
                  final Set<String> sites,
                  final Set<String> suspects,
                  final int proxyCount) {
                if (routingTable != null) {
                  versions.add(routingTable.version());
                }
                changes.forEach((registration, opened) -> open.put(registration.id, opened));
                if (sites != null) {
                  evacuated = sites;
                }
              }

              @Override
              public void trialsChanged(
                  final List<TrialMessages.Trial> trials, final long version) {}

              @Override
              public void firstViewReceived() {}
            });
    registry.start(0);
    return registry;
  }

  private static RegistryMessages.View view(
      final int version,
      final long evacuationMark,
      final List<String> sites,
      final Registration... registrations) {
    final byte[] spec =
        Compression.deflate(
            ("{\"version\":\"0000000" + version + "\",\"listeners\":[],\"pools\":[]}")
                .getBytes(StandardCharsets.UTF_8));
    return new RegistryMessages.View(
        version,
        spec,
        true,
        sites,
        evacuationMark,
        List.of(registrations),
        true,
        List.of(),
        3,
        List.of(),
        0);
  }

  private static Registration upstream(final LifecycleStage stage, final long sequence) {
    return new Registration("i", "s", "10.1.0.1:80", "a", "v", 4, stage.ordinal(), sequence, 0, 0);
  }

  @Test
  public void olderStateOfAnotherRegistryIsIgnored() {
    final RegistryClient registry = client();
    registry.messageReceived(view(5, 2, List.of("a"), upstream(LifecycleStage.DRAINING, 3)), 10);
    registry.streamClosed(20);
    registry.messageReceived(view(4, 1, List.of(), upstream(LifecycleStage.JOINED, 9)), 30);
    assertEquals(versions, List.of(5L));
    assertEquals(evacuated, Set.of("a"));
    assertNotEquals(open.get("i"), Boolean.TRUE);
    registry.messageReceived(view(6, 3, List.of()), 40);
    assertEquals(versions, List.of(5L, 6L));
    assertEquals(evacuated, Set.of());
  }

  @Test
  public void silentOrStaleRegistryIsLeft() {
    final RegistryClient registry = client();
    registry.messageReceived(view(5, 0, List.of()), 10);
    registry.messageReceived(
        new RegistryMessages.RegistryStatus(100, 3, List.of("e1", "e2", "e3")), 500);
    registry.tick(1000);
    assertEquals(dialled.size(), 1);
    registry.tick(2100);
    assertEquals(dialled.size(), 2);
    assertNotEquals(dialled.get(0), dialled.get(1));
    registry.messageReceived(view(5, 0, List.of()), 2200);
    registry.messageReceived(new RegistryMessages.RegistryStatus(9000, 3, List.of()), 2400);
    assertEquals(dialled.size(), 3);
    for (long now = 2600; now < 5000; now += 200) {
      registry.messageReceived(view(5, 0, List.of()), now);
      registry.messageReceived(new RegistryMessages.RegistryStatus(9000, 3, List.of()), now);
    }
    assertTrue(
        dialled.size() <= 6,
        "registries are changed less often while all are stale: " + dialled.size());
  }

  @Test
  public void slowViewIsAwaitedUnlessTheRegistryHasNone() {
    final RegistryClient slow = client();
    slow.streamOpened(10);
    slow.tick(1500);
    slow.tick(3000);
    assertEquals(dialled.size(), 1, "the connection is open and a view may be on its way");
    slow.messageReceived(view(5, 0, List.of()), 3100);
    assertEquals(versions, List.of(5L));
    final RegistryClient uninformed = client();
    uninformed.streamOpened(10);
    uninformed.messageReceived(
        new RegistryMessages.RegistryStatus(Integer.MAX_VALUE, 3, List.of()), 500);
    uninformed.tick(950);
    assertEquals(dialled.size(), 2);
    final RegistryClient dead = client();
    dead.tick(950);
    assertEquals(dialled.size(), 2, "no connection was established");
  }

  private static final List<String> MEMBERS = List.of("e1", "e2", "e3", "here");
  private static final List<String> LOCATIONS = List.of("q/x", "q/y", "q/z", "r/a");

  private static void sendStatus(final RegistryClient registry, final long from, final long until) {
    for (long now = from; now < until; now += 500) {
      registry.messageReceived(
          new RegistryMessages.RegistryStatus(100, 3, MEMBERS, null, LOCATIONS), now);
      registry.tick(now);
    }
  }

  @Test
  public void streamIsKeptUntilNearerRegistryDeliversView() {
    final RegistryClient registry = clientWithParallelConnections();
    try {
      registry.streamOpened(10);
      registry.messageReceived(view(5, 0, List.of()), 20);
      sendStatus(registry, 500, 9000);
      assertEquals(dialledParallel, List.of("here"));
      assertEquals(dialled.size(), 1, "the current stream was kept");
      registry.messageReceived(view(6, 1, List.of()), 9100);
      assertEquals(versions, List.of(5L, 6L), "views received meanwhile are applied");
      registry.switchTo("here", view(6, 1, List.of()), 9200);
      sendStatus(registry, 9500, 40_000);
      assertEquals(dialled.size(), 1, "the nearer registry is the current one");
      assertEquals(dialledParallel, List.of("here"));
      registry.streamClosed(40_000);
      assertEquals(dialled.size(), 2);
      assertNotEquals(dialled.get(1), "here");
    } finally {
      parallelSupported = false;
    }
  }

  /**
   * Incident 15: on a full link nothing is received for a while and connections are established
   * late. A silent stream is still the most likely one to bring the next configuration.
   */
  @Test
  public void silentStreamIsKeptUntilAnotherRegistryDeliversView() {
    final RegistryClient registry = clientWithParallelConnections();
    try {
      registry.streamOpened(10);
      registry.messageReceived(view(5, 0, List.of()), 20);
      for (long now = 100; now <= 4000; now += 100) {
        registry.tick(now);
      }
      assertTrue(!dialledParallel.isEmpty(), "another registry is dialled");
      assertEquals(dialled.size(), 1, "the stream there is was not left: " + dialled);
      assertTrue(
          dialledParallel.size() >= 3,
          "one more registry is dialled each time: " + dialledParallel);
      registry.messageReceived(view(6, 1, List.of()), 4100);
      assertEquals(parallelClosed, 1, "a message on the current stream ends the search");
      registry.tick(4200);
      assertEquals(dialled.size(), 1);
    } finally {
      parallelSupported = false;
    }
  }

  @Test
  public void nearerRegistryWithoutViewIsAbandoned() {
    final RegistryClient registry = clientWithParallelConnections();
    try {
      registry.streamOpened(10);
      registry.messageReceived(view(5, 0, List.of()), 20);
      sendStatus(registry, 500, 16_000);
      assertEquals(dialledParallel.size(), 1);
      assertEquals(parallelClosed, 1);
      assertEquals(dialled.size(), 1, "the current stream was kept");
    } finally {
      parallelSupported = false;
    }
  }

  @Test
  public void clientMovesOnceToARegistryOfItsZone() {
    final RegistryClient registry = client();
    final List<String> members = List.of("e1", "e2", "e3", "near", "here");
    final List<String> places = List.of("q/x", "q/y", "q/z", "r/b", "r/a");
    registry.streamOpened(10);
    registry.messageReceived(view(5, 0, List.of()), 20);
    for (long now = 500; now < 60_000; now += 500) {
      registry.messageReceived(
          new RegistryMessages.RegistryStatus(100, 3, members, null, places), now);
      registry.tick(now);
      if (dialled.size() == 2) {
        registry.messageReceived(view(5, 0, List.of()), now + 10);
      }
    }
    assertEquals(dialled.size(), 2, dialled.toString());
    assertEquals(dialled.get(1), "here");
  }

  private static final long WITHIN_MILLIS = 1000;

  /**
   * Guards against DRAIN: a stream ends while two of the registries are unreachable and do not
   * refuse connections, and the proxy waits for one after the other.
   */
  @Test
  public void closedStreamIsReplacedByParallelDials() {
    final RegistryClient registry = clientWithParallelConnections();
    try {
      registry.streamOpened(10);
      registry.messageReceived(view(5, 0, List.of()), 20);
      registry.messageReceived(new RegistryMessages.RegistryStatus(100, 3, MEMBERS), 500);
      registry.streamClosed(600);
      for (long now = 700; now <= 600 + WITHIN_MILLIS; now += 100) {
        registry.tick(now);
      }
      final java.util.Set<String> sought = new java.util.HashSet<>(dialledParallel);
      sought.add(dialled.get(dialled.size() - 1));
      assertTrue(sought.size() >= 3, "registries dialled: " + sought);
      registry.switchTo(dialledParallel.get(0), view(6, 1, List.of()), 1700);
      assertEquals(versions, List.of(5L, 6L));
    } finally {
      parallelSupported = false;
    }
  }

  /**
   * Guards against CONFIG: a registry that lost the majority is left before another one has
   * delivered a view.
   */
  @Test
  public void staleRegistryIsKeptUntilAnotherDeliversView() {
    final RegistryClient registry = clientWithParallelConnections();
    try {
      registry.streamOpened(10);
      registry.messageReceived(view(5, 0, List.of()), 20);
      for (long now = 500; now <= 3000; now += 500) {
        registry.messageReceived(new RegistryMessages.RegistryStatus(9000, 3, MEMBERS), now);
        registry.tick(now);
      }
      assertEquals(dialled.size(), 1, "the current stream was kept: " + dialled);
      assertTrue(!dialledParallel.isEmpty(), "another registry is dialled");
      registry.messageReceived(view(6, 1, List.of()), 3100);
      assertEquals(versions, List.of(5L, 6L), "views received meanwhile are applied");
    } finally {
      parallelSupported = false;
    }
  }

  /** Guards against DRAIN: registries that are gone for good are dialled again each time. */
  @Test
  public void failedRegistryIsDialledLast() {
    final RegistryClient registry = clientWithParallelConnections();
    try {
      registry.streamOpened(10);
      registry.messageReceived(view(5, 0, List.of()), 20);
      registry.messageReceived(
          new RegistryMessages.RegistryStatus(100, 3, List.of("e4", "e5", "e6")), 500);
      registry.streamClosed(600);
      long now = 700;
      for (; dialledParallel.size() < 3; now += 100) {
        registry.tick(now);
        assertTrue(now < 5000, "registries dialled within 5 s: " + dialledParallel);
      }
      final String silent = dialledParallel.get(0);
      final String found = dialledParallel.get(2);
      registry.switchTo(found, view(6, 1, List.of()), now);
      dialledParallel.clear();
      registry.streamClosed(now + 1000);
      final long again = now + 1000;
      for (now = again; now < again + 600; now += 100) {
        registry.tick(now);
      }
      assertTrue(
          !dialledParallel.contains(silent) && !silent.equals(dialled.get(dialled.size() - 1)),
          silent + " is dialled again before the others: " + dialledParallel);
    } finally {
      parallelSupported = false;
    }
  }

  /**
   * Guards against DRAIN: registry machines were replaced one after the other, and a proxy whose
   * stream ended dials the removed registries before those that are running.
   */
  @Test
  public void unreachableRegistriesAreDialledLast() {
    final RegistryClient registry = clientWithParallelConnections();
    try {
      registry.streamOpened(10);
      registry.messageReceived(view(5, 0, List.of()), 20);
      registry.messageReceived(new RegistryMessages.RegistryStatus(100, 3, MEMBERS), 500);
      registry.messageReceived(
          new RegistryMessages.RegistryStatus(100, 3, List.of("n1", "n2")), 1000);
      registry.streamClosed(1100);
      for (long now = 1200; now <= 1500; now += 100) {
        registry.tick(now);
      }
      final List<String> sought = new ArrayList<>(dialledParallel);
      sought.add(dialled.get(dialled.size() - 1));
      assertTrue(sought.size() >= 2, "registries dialled: " + sought);
      assertTrue(
          Set.of("n1", "n2").containsAll(sought),
          "removed registries were dialled first: " + sought);
    } finally {
      parallelSupported = false;
    }
  }
}
