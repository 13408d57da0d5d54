package weldpoint.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import weldpoint.transport.Compression;
import weldpoint.transport.Message;
import weldpoint.transport.RegistryMessages;
import weldpoint.transport.RegistryMessages.Registration;
import weldpoint.transport.Serializer;
import weldpoint.transport.StoreMessages;

/**
 * What a registry sends with hundreds of proxies and upstreams: little while nothing differs, and
 * otherwise only the differences.
 */
public final class LargeFleetTest {
  private static final int UPSTREAMS = 300;
  private static final int PROXIES = 400;

  private static final class SentMessages {
    final Map<Object, List<Message>> toStreams = new LinkedHashMap<>();
    final Map<String, List<Message>> toMembers = new HashMap<>();
    long now = 100_000;

    RegistryCore startRegistry(final String self, final int upstreams) {
      final RegistryCore core =
          new RegistryCore(
              self,
              List.of("10.0.0.1", "10.0.0.2"),
              false,
              1500,
              new Random(1),
              new RegistryCore.Environment() {
                @Override
                public boolean sendToMember(final String to, final Message message) {
                  toMembers.computeIfAbsent(to, key -> new ArrayList<>()).add(message);
                  return true;
                }

                @Override
                public boolean sendToReplica(
                    final String to, final StoreMessages.StoreRequest call) {
                  return false;
                }

                @Override
                public void sendToStream(final Object stream, final Message message) {
                  toStreams.computeIfAbsent(stream, key -> new ArrayList<>()).add(message);
                }

                @Override
                public void append(final byte[] record, final Runnable synced) {
                  synced.run();
                }

                @Override
                public void updatePeers(final List<String> addresses) {}
              });
      core.setLocation("a", "north");
      final byte[] spec =
          Compression.deflate(
              "{\"version\":\"00000001\",\"listeners\":[],\"pools\":[]}"
                  .getBytes(StandardCharsets.UTF_8));
      core.start(
          List.of(
              Serializer.serialize(
                  new PersistedRecord(upstreams(upstreams), null, 1, spec, List.of(), 0, null, 0))),
          now);
      return core;
    }
  }

  @BeforeClass
  public void disableLogging() {
    java.util.logging.Logger.getLogger("").setLevel(java.util.logging.Level.OFF);
  }

  private static List<Registration> upstreams(final int count) {
    final List<Registration> list = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      list.add(
          new Registration(
              "i-" + Integer.toHexString(index * 77_777_777),
              "service-" + index % 3,
              "10." + index % 8 + ".64." + index % 200 + ":8129",
              "zone-" + index % 8,
              "v1",
              4,
              0,
              1 + index,
              1_800_000_000_000L + index,
              0));
    }
    return list;
  }

  private static RegistryMessages.DaemonEntry proxy(final int index) {
    return new RegistryMessages.DaemonEntry(
        "10." + index % 8 + ".0." + index,
        "10." + index % 8 + ".0." + index + ":8161",
        "zone-" + index % 8,
        "north",
        1000 + index,
        false,
        0,
        false,
        1,
        0,
        0);
  }

  @Test
  public void fleetReconnectingAtOnceIsSentOneSharedView() {
    final SentMessages sent = new SentMessages();
    final RegistryCore core = sent.startRegistry("10.0.0.1", UPSTREAMS);
    for (int index = 0; index < PROXIES; index++) {
      core.onDaemonReport("stream-" + index, proxy(index), null, sent.now);
    }
    Message first = null;
    for (final List<Message> messages : sent.toStreams.values()) {
      final Message view = messages.get(0);
      first = first == null ? view : first;
      assertSame(view, first, "all proxies are sent the same view object");
      assertTrue(messages.size() <= 3, messages.size() + " messages to one proxy");
    }
    assertTrue(
        Serializer.serialize(first).length < 45 * UPSTREAMS,
        "a full view of " + Serializer.serialize(first).length + " bytes");
  }

  @Test
  public void reconnectingProxyIsSentOnlyDifferences() {
    final SentMessages sent = new SentMessages();
    final RegistryCore core = sent.startRegistry("10.0.0.1", UPSTREAMS);
    final List<Registration> held = upstreams(UPSTREAMS);
    long bytes = 0;
    for (int index = 0; index < PROXIES; index++) {
      core.onDaemonReport(
          "stream-" + index, proxy(index), RegistrationBuckets.digests(held, false), sent.now);
    }
    for (final List<Message> messages : sent.toStreams.values()) {
      final RegistryMessages.View view = (RegistryMessages.View) messages.get(0);
      assertNull(view.packedRegistrations);
      assertNull(view.spec);
      bytes += Serializer.serialize(view).length;
    }
    assertTrue(bytes < 60L * PROXIES, bytes + " bytes for " + PROXIES + " proxies");
    final Registration draining = held.get(7);
    held.set(
        7,
        new Registration(
            draining.id,
            draining.service,
            draining.address,
            draining.site,
            draining.software,
            draining.capacity,
            LifecycleStage.DRAINING.ordinal(),
            99,
            draining.issuedAt,
            0));
    core.onDaemonReport("late", proxy(PROXIES), RegistrationBuckets.digests(held, false), sent.now);
    final RegistryMessages.View view = (RegistryMessages.View) sent.toStreams.get("late").get(0);
    final List<Registration> received = RegistrationBuckets.unpack(view.packedRegistrations);
    assertTrue(received.size() < UPSTREAMS / 8, received.size() + " registrations were sent");
    assertTrue(received.stream().anyMatch(one -> one.id.equals(draining.id)));
  }

  private static void exchangeMessages(
      final SentMessages[] sent,
      final RegistryCore[] cores,
      final int from,
      final Message message,
      final long[] bytes) {
    bytes[0] += Serializer.serialize(message).length;
    cores[1 - from].receive(
        "10.0.0." + (1 + from),
        (Message) Serializer.deserialize(Serializer.serialize(message), message.getClass()),
        answer -> exchangeMessages(sent, cores, 1 - from, answer, bytes),
        sent[0].now);
  }

  private static Message gossip(final SentMessages sent, final RegistryCore core, final String to) {
    sent.toMembers.clear();
    sent.now += 1000;
    core.tick(sent.now);
    return sent.toMembers.get(to).stream()
        .filter(message -> message instanceof RegistryMessages.Gossip)
        .findFirst()
        .orElseThrow();
  }

  @Test
  public void equalRegistriesSendFewBytesAndDifferentOnesConvergeInOneRound() {
    final SentMessages[] sent = {new SentMessages(), new SentMessages()};
    final RegistryCore[] cores = {
      sent[0].startRegistry("10.0.0.1", UPSTREAMS), sent[1].startRegistry("10.0.0.2", UPSTREAMS)
    };
    for (int index = 0; index < 100; index++) {
      cores[0].onDaemonReport("stream-" + index, proxy(index), null, sent[0].now);
    }
    final long[] first = new long[1];
    exchangeMessages(sent, cores, 0, gossip(sent[0], cores[0], "10.0.0.2"), first);
    final long[] unchanged = new long[1];
    exchangeMessages(sent, cores, 0, gossip(sent[0], cores[0], "10.0.0.2"), unchanged);
    assertTrue(
        unchanged[0] < 2L * (UPSTREAMS + 2 * 100 + 200),
        unchanged[0] + " bytes while nothing differs");
    final RegistryCore[] wiped = {
      sent[0].startRegistry("10.0.0.1", UPSTREAMS), sent[1].startRegistry("10.0.0.2", 0)
    };
    final long[] refill = new long[1];
    exchangeMessages(sent, wiped, 1, gossip(sent[1], wiped[1], "10.0.0.1"), refill);
    assertEquals(wiped[1].registrations().size(), UPSTREAMS);
    assertTrue(
        wiped[1].canServeProxies(sent[1].now) || wiped[1].registrations().size() == UPSTREAMS);
    final RegistryCore[] different = {
      sent[0].startRegistry("10.0.0.1", UPSTREAMS), sent[1].startRegistry("10.0.0.2", UPSTREAMS - 2)
    };
    final long[] few = new long[1];
    exchangeMessages(sent, different, 0, gossip(sent[0], different[0], "10.0.0.2"), few);
    assertEquals(different[1].registrations().size(), UPSTREAMS);
    assertTrue(
        few[0] < refill[0] * 2, few[0] + " bytes for two differences, " + refill[0] + " for all");
  }

  @Test
  public void gossipDoesNotMakeHeartbeatAgesYounger() {
    final SentMessages[] sent = {new SentMessages(), new SentMessages()};
    final RegistryCore[] cores = {
      sent[0].startRegistry("10.0.0.1", 4), sent[1].startRegistry("10.0.0.2", 4)
    };
    final long silentSince = sent[0].now;
    for (int round = 0; round < 12; round++) {
      sent[1].now = sent[0].now;
      exchangeMessages(
          sent,
          cores,
          round % 2,
          gossip(sent[round % 2], cores[round % 2], "10.0.0." + (2 - round % 2)),
          new long[1]);
      sent[0].now = Math.max(sent[0].now, sent[1].now);
    }
    for (final RegistryCore core : cores) {
      core.tick(sent[0].now + 600);
    }
    assertTrue(sent[0].now - silentSince > 10_000);
    final List<Message> last = new ArrayList<>();
    cores[0].onDaemonReport("s", proxy(1), null, sent[0].now + 700);
    last.addAll(sent[0].toStreams.get("s"));
    assertEquals(
        ((RegistryMessages.View) last.get(0)).suspects.size(),
        4,
        "upstreams without a heartbeat at any registry for 10 s are suspect");
  }

  @Test
  public void siteProxiesAreSentToTheirSiteOnceAndOnChange() {
    final SentMessages sent = new SentMessages();
    final RegistryCore core = sent.startRegistry("10.0.0.1", 10);
    for (int index = 0; index < 24; index++) {
      core.onDaemonReport("stream-" + index, proxy(index), null, sent.now);
    }
    sent.now += 600;
    core.tick(sent.now);
    sent.now += 600;
    core.tick(sent.now);
    for (final List<Message> messages : sent.toStreams.values()) {
      final List<Message> lists =
          messages.stream()
              .filter(message -> message instanceof RegistryMessages.SiteProxies)
              .toList();
      assertEquals(lists.size(), 1);
      assertEquals(((RegistryMessages.SiteProxies) lists.get(0)).addresses.size(), 3);
    }
    core.onDaemonReport("new", proxy(24), null, sent.now);
    sent.now += 600;
    core.tick(sent.now);
    assertEquals(
        sent.toStreams.get("stream-0").stream()
            .filter(message -> message instanceof RegistryMessages.SiteProxies)
            .count(),
        2);
    assertEquals(
        sent.toStreams.get("stream-1").stream()
            .filter(message -> message instanceof RegistryMessages.SiteProxies)
            .count(),
        1);
  }

  @Test
  public void viewWithoutUpstreamsIsValid() {
    assertEquals(RegistrationBuckets.unpack(RegistrationBuckets.pack(List.of())), List.of());
    assertEquals(RegistrationBuckets.unpack(RegistrationBuckets.pack(upstreams(2))).size(), 2);
    final SentMessages sent = new SentMessages();
    sent.startRegistry("10.0.0.1", 0).onDaemonReport("s", proxy(1), null, sent.now);
    assertTrue(
        sent.toStreams.isEmpty()
            || RegistrationBuckets.unpack(
                    ((RegistryMessages.View) sent.toStreams.get("s").get(0)).packedRegistrations)
                .isEmpty());
  }

  @Test
  public void statusListsDaemonsAndReportsAMissingMajority() {
    final SentMessages sent = new SentMessages();
    final RegistryCore core = sent.startRegistry("10.0.0.1", 3);
    core.onDaemonReport("s", proxy(1), null, sent.now);
    final ControlApi.StatusResponse status = core.status(sent.now + 500);
    assertEquals(status.settled(), false);
    assertEquals(status.upstreams(), 3);
    assertEquals(status.version(), "00000001");
    assertEquals(
        status.daemons().stream()
            .filter(one -> one.program().equals("switchboard"))
            .map(ControlApi.DaemonStatus::heardMs)
            .toList(),
        List.of(500L));
    assertEquals(
        status.daemons().stream()
            .filter(one -> one.address().equals("10.0.0.2"))
            .map(ControlApi.DaemonStatus::heardMs)
            .toList(),
        List.of(-1L));
    assertTrue(status.placements().isEmpty());
  }
}
