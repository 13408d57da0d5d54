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
 * What an exchange tells at hundreds of switchboards and upstreams: little while nothing differs,
 * and only what differs otherwise.
 */
public final class LargeFleetTest {
  private static final int UPSTREAMS = 300;
  private static final int BOARDS = 400;

  private static final class Told {
    final Map<Object, List<Message>> boards = new LinkedHashMap<>();
    final Map<String, List<Message>> members = new HashMap<>();
    long now = 100_000;

    RegistryCore exchange(final String self, final int upstreams) {
      final RegistryCore core =
          new RegistryCore(
              self,
              List.of("10.0.0.1", "10.0.0.2"),
              false,
              1500,
              new Random(1),
              new RegistryCore.Environment() {
                @Override
                public boolean member(final String to, final Message message) {
                  members.computeIfAbsent(to, key -> new ArrayList<>()).add(message);
                  return true;
                }

                @Override
                public boolean frame(final String to, final StoreMessages.StoreRequest call) {
                  return false;
                }

                @Override
                public void board(final Object stream, final Message message) {
                  boards.computeIfAbsent(stream, key -> new ArrayList<>()).add(message);
                }

                @Override
                public void append(final byte[] record, final Runnable synced) {
                  synced.run();
                }

                @Override
                public void peers(final List<String> addresses) {}
              });
      core.place("a", "north");
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
  public void quiet() {
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

  private static RegistryMessages.DaemonEntry board(final int index) {
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
  public void aFleetThatReturnsAtOnceCostsOneEncodingAndLittleEach() {
    final Told told = new Told();
    final RegistryCore core = told.exchange("10.0.0.1", UPSTREAMS);
    for (int index = 0; index < BOARDS; index++) {
      core.boardState("stream-" + index, board(index), null, told.now);
    }
    Message first = null;
    for (final List<Message> messages : told.boards.values()) {
      final Message view = messages.get(0);
      first = first == null ? view : first;
      assertSame(view, first, "one view for all");
      assertTrue(messages.size() <= 3, messages.size() + " messages to one switchboard");
    }
    assertTrue(
        Serializer.serialize(first).length < 45 * UPSTREAMS,
        "a whole view of " + Serializer.serialize(first).length + " bytes");
  }

  @Test
  public void whoReturnsWithWhatItHadIsToldOnlyWhatDiffers() {
    final Told told = new Told();
    final RegistryCore core = told.exchange("10.0.0.1", UPSTREAMS);
    final List<Registration> had = upstreams(UPSTREAMS);
    long bytes = 0;
    for (int index = 0; index < BOARDS; index++) {
      core.boardState(
          "stream-" + index, board(index), RegistrationBuckets.digests(had, false), told.now);
    }
    for (final List<Message> messages : told.boards.values()) {
      final RegistryMessages.View view = (RegistryMessages.View) messages.get(0);
      assertNull(view.packedRegistrations);
      assertNull(view.spec);
      bytes += Serializer.serialize(view).length;
    }
    assertTrue(bytes < 60L * BOARDS, bytes + " bytes for " + BOARDS + " switchboards");
    final Registration gone = had.get(7);
    had.set(
        7,
        new Registration(
            gone.id,
            gone.service,
            gone.address,
            gone.site,
            gone.software,
            gone.capacity,
            LifecycleStage.DRAINING.ordinal(),
            99,
            gone.issuedAt,
            0));
    core.boardState("late", board(BOARDS), RegistrationBuckets.digests(had, false), told.now);
    final RegistryMessages.View view = (RegistryMessages.View) told.boards.get("late").get(0);
    final List<Registration> given = RegistrationBuckets.unpack(view.packedRegistrations);
    assertTrue(given.size() < UPSTREAMS / 8, given.size() + " were told");
    assertTrue(given.stream().anyMatch(one -> one.id.equals(gone.id)));
  }

  private static void meet(
      final Told[] told,
      final RegistryCore[] cores,
      final int from,
      final Message message,
      final long[] bytes) {
    bytes[0] += Serializer.serialize(message).length;
    cores[1 - from].receive(
        "10.0.0." + (1 + from),
        (Message) Serializer.deserialize(Serializer.serialize(message), message.getClass()),
        answer -> meet(told, cores, 1 - from, answer, bytes),
        told[0].now);
  }

  private static Message gossip(final Told told, final RegistryCore core, final String to) {
    told.members.clear();
    told.now += 1000;
    core.tick(told.now);
    return told.members.get(to).stream()
        .filter(message -> message instanceof RegistryMessages.Gossip)
        .findFirst()
        .orElseThrow();
  }

  @Test
  public void exchangesThatAgreeSpendFewBytesAndThoseThatDifferMeetOnce() {
    final Told[] told = {new Told(), new Told()};
    final RegistryCore[] cores = {
      told[0].exchange("10.0.0.1", UPSTREAMS), told[1].exchange("10.0.0.2", UPSTREAMS)
    };
    for (int index = 0; index < 100; index++) {
      cores[0].boardState("stream-" + index, board(index), null, told[0].now);
    }
    final long[] first = new long[1];
    meet(told, cores, 0, gossip(told[0], cores[0], "10.0.0.2"), first);
    final long[] calm = new long[1];
    meet(told, cores, 0, gossip(told[0], cores[0], "10.0.0.2"), calm);
    assertTrue(
        calm[0] < 2L * (UPSTREAMS + 2 * 100 + 200), calm[0] + " bytes while nothing differs");
    final RegistryCore[] wiped = {
      told[0].exchange("10.0.0.1", UPSTREAMS), told[1].exchange("10.0.0.2", 0)
    };
    final long[] refill = new long[1];
    meet(told, wiped, 1, gossip(told[1], wiped[1], "10.0.0.1"), refill);
    assertEquals(wiped[1].history().size(), UPSTREAMS);
    assertTrue(wiped[1].informed(told[1].now) || wiped[1].history().size() == UPSTREAMS);
    final RegistryCore[] apart = {
      told[0].exchange("10.0.0.1", UPSTREAMS), told[1].exchange("10.0.0.2", UPSTREAMS - 2)
    };
    final long[] few = new long[1];
    meet(told, apart, 0, gossip(told[0], apart[0], "10.0.0.2"), few);
    assertEquals(apart[1].history().size(), UPSTREAMS);
    assertTrue(few[0] < refill[0] * 2, few[0] + " bytes for two, " + refill[0] + " for all");
  }

  @Test
  public void agesAreNotMadeYoungerByTellingThemOn() {
    final Told[] told = {new Told(), new Told()};
    final RegistryCore[] cores = {told[0].exchange("10.0.0.1", 4), told[1].exchange("10.0.0.2", 4)};
    final long silentSince = told[0].now;
    for (int round = 0; round < 12; round++) {
      told[1].now = told[0].now;
      meet(
          told,
          cores,
          round % 2,
          gossip(told[round % 2], cores[round % 2], "10.0.0." + (2 - round % 2)),
          new long[1]);
      told[0].now = Math.max(told[0].now, told[1].now);
    }
    for (final RegistryCore core : cores) {
      core.tick(told[0].now + 600);
    }
    assertTrue(told[0].now - silentSince > 10_000);
    final List<Message> last = new ArrayList<>();
    cores[0].boardState("s", board(1), null, told[0].now + 700);
    last.addAll(told[0].boards.get("s"));
    assertEquals(
        ((RegistryMessages.View) last.get(0)).suspects.size(),
        4,
        "upstreams that nobody has heard of for 10 s are suspect");
  }

  @Test
  public void neighboursAreToldToTheirZoneOnceAndWhenTheyChange() {
    final Told told = new Told();
    final RegistryCore core = told.exchange("10.0.0.1", 10);
    for (int index = 0; index < 24; index++) {
      core.boardState("stream-" + index, board(index), null, told.now);
    }
    told.now += 600;
    core.tick(told.now);
    told.now += 600;
    core.tick(told.now);
    for (final List<Message> messages : told.boards.values()) {
      final List<Message> lists =
          messages.stream()
              .filter(message -> message instanceof RegistryMessages.SiteProxies)
              .toList();
      assertEquals(lists.size(), 1);
      assertEquals(((RegistryMessages.SiteProxies) lists.get(0)).addresses.size(), 3);
    }
    core.boardState("new", board(24), null, told.now);
    told.now += 600;
    core.tick(told.now);
    assertEquals(
        told.boards.get("stream-0").stream()
            .filter(message -> message instanceof RegistryMessages.SiteProxies)
            .count(),
        2);
    assertEquals(
        told.boards.get("stream-1").stream()
            .filter(message -> message instanceof RegistryMessages.SiteProxies)
            .count(),
        1);
  }

  @Test
  public void aViewWithoutUpstreamsIsOneToo() {
    assertEquals(RegistrationBuckets.unpack(RegistrationBuckets.pack(List.of())), List.of());
    assertEquals(RegistrationBuckets.unpack(RegistrationBuckets.pack(upstreams(2))).size(), 2);
    final Told told = new Told();
    told.exchange("10.0.0.1", 0).boardState("s", board(1), null, told.now);
    assertTrue(
        told.boards.isEmpty()
            || RegistrationBuckets.unpack(
                    ((RegistryMessages.View) told.boards.get("s").get(0)).packedRegistrations)
                .isEmpty());
  }

  @Test
  public void theStatusNamesWhoIsThereAndThatNoMajorityWasHeardOf() {
    final Told told = new Told();
    final RegistryCore core = told.exchange("10.0.0.1", 3);
    core.boardState("s", board(1), null, told.now);
    final ControlApi.StatusResponse status = core.status(told.now + 500);
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
