package weldpoint.proxy;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.Test;
import weldpoint.routing.RoutingTable;
import weldpoint.transport.Message;
import weldpoint.transport.PeerClock;
import weldpoint.transport.RegistryMessages;
import weldpoint.transport.RegistryMessages.Registration;
import weldpoint.transport.RegistryMessages.RegistryStatus;
import weldpoint.transport.TrialMessages;

/** How a stream passes a registry's messages to its client. */
public final class RegistryStreamTest {
  private static final long PEER_AHEAD_MILLIS = 50_000;

  private final List<Long> ages = new ArrayList<>();
  private final List<Long> proofs = new ArrayList<>();
  private final List<Long> unsettled = new ArrayList<>();

  private final class RecordingEnvironment implements RegistryClient.Environment {
    @Override
    public void dial(final String address) {}

    @Override
    public void send(final Message message) {}

    @Override
    public void controlUpdate(
        final RoutingTable routingTable,
        final Map<Registration, Boolean> changes,
        final Set<String> evacuated,
        final Set<String> suspects,
        final int proxies) {}

    @Override
    public void trialsChanged(final List<TrialMessages.Trial> trials, final long version) {}

    @Override
    public void registryStatus(final long ageMillis, final int proxies, final List<String> caches) {
      ages.add(ageMillis);
    }

    @Override
    public void coreUnsettled(final long ageMillis) {
      unsettled.add(ageMillis);
    }

    @Override
    public void proofRenewed(final long provedAt) {
      proofs.add(provedAt);
    }

    @Override
    public void firstViewReceived() {}
  }

  /**
   * Guards against PURGE: a delayed message about contact with a majority makes a cache believe
   * that it knows all purges acknowledged meanwhile.
   */
  @Test
  public void agesAreCountedFromSending() {
    final RegistryClient registry =
        new RegistryClient(
            new RegistryMessages.DaemonEntry("10.0.0.9", "10.0.0.9:80", "a", "r", 1, false, 0),
            List.of("e1", "e2"),
            new Random(1),
            new RecordingEnvironment());
    final RegistryStream stream =
        new RegistryStream(null, null, weldpoint.common.Settings.parse(SETTINGS), () -> {});
    stream.registryClient(registry);
    registry.start(0);
    final PeerClock clock = new PeerClock();
    clock.requestSent(100);
    clock.responseReceived(100 + PEER_AHEAD_MILLIS, 110);
    stream.deliver(
        clock,
        new RegistryMessages.View(1, null, false, null, 0, null, false, null, 1, null, -1),
        200);
    final RegistryStatus status =
        new RegistryStatus(
            40, 1, List.of(), null, null, 40, 960 + PEER_AHEAD_MILLIS, 1000 + PEER_AHEAD_MILLIS);
    stream.deliver(clock, status, 3500);
    final long drift = (3500 - 110) / 50;
    assertEquals(ages, List.of(40 + 2500 + drift), "40 ms old when it was sent, 2.5 s in transit");
    assertEquals(proofs, List.of(960 - drift));
    assertEquals(unsettled, List.of(), "the connection was slow, but the registry had a majority");
    stream.deliver(
        clock,
        new RegistryStatus(1200, 1, List.of(), null, null, 1200, null, 3490 + PEER_AHEAD_MILLIS),
        3500);
    assertEquals(unsettled.size(), 1, "the registry itself stated that it had lost the majority");
  }

  private static final String SETTINGS =
      "station.name = one\nstation.address = 127.0.0.1\nstation.site = a\nstation.region = r\ntrunk.ports = 7000,7015\ntrunk.seeds = 127.0.0.1:80\n";
}
