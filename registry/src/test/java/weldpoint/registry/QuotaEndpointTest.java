package weldpoint.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;
import weldpoint.common.Settings;
import weldpoint.ratelimit.QuotaAllocator;
import weldpoint.routing.RoutingTable;
import weldpoint.transport.Message;
import weldpoint.transport.PermitMessages.PermitRequest;
import weldpoint.transport.PermitMessages.PermitResponse;
import weldpoint.transport.StateStoreMessages.Roster;
import weldpoint.transport.StateStoreMessages.Voter;

/** Grants from a registry's share of a limit, roster changes, and relaying to other voters. */
public class QuotaEndpointTest {
  private static final Settings SETTINGS =
      Settings.parse(
          "station.name = a\nstation.address = 10.0.0.1\nstation.site = s\nstation.region = r\ntrunk.ports = 7000,7015\ntrunk.seeds = 10.0.0.1:7000\nbound.quota-tolerance = 0\n");
  private static final RoutingTable ROUTING_TABLE =
      RoutingTable.compile(
          "{\"version\":\"1\",\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"k\"],\"ratePerS\":20},{\"name\":\"saver\",\"apiKeys\":[\"s\"],\"ratePerS\":20,\"burst\":60}],\"listeners\":[],\"pools\":[]}"
              .getBytes(StandardCharsets.UTF_8));
  private static final Roster ROSTER =
      new Roster(
          3,
          List.of(
              new Voter("a", "s", "r", null),
              new Voter("b", "s", "r", null),
              new Voter("c", "s", "r", null)));

  private final List<Message> relayed = new ArrayList<>();
  private final List<Integer> granted = new ArrayList<>();

  private QuotaEndpoint endpoint(final boolean connected) {
    relayed.clear();
    granted.clear();
    return new QuotaEndpoint(
        "a",
        new QuotaAllocator(SETTINGS, false, 1000),
        (address, message) -> connected && relayed.add(message));
  }

  private void request(
      final QuotaEndpoint endpoint, final int count, final long ageMillis, final long now) {
    endpoint.request(
        new PermitRequest(1, "tenant/t", count, 0),
        response -> granted.add(((PermitResponse) response).granted),
        ROUTING_TABLE,
        ROSTER,
        1,
        ageMillis,
        now);
  }

  @Test
  public void restartedVoterGrantsEarnedPermitsAndNewVoterWaits() {
    final QuotaEndpoint old = endpoint(false);
    old.restore(ROSTER);
    request(old, 3, 100, 1000);
    request(old, 3, 100, 1350);
    assertEquals(
        granted,
        List.of(0, 2),
        "permits accrue from the start of the process, whatever was granted before");
    final QuotaEndpoint fresh = endpoint(false);
    fresh.restore(new Roster(0, List.of()));
    request(fresh, 3, 100, 1200);
    request(fresh, 3, 100, 1200 + 8900);
    assertEquals(granted, List.of(0, 0), "others may still use the previous roster");
    request(fresh, 3, 100, 1200 + 9500);
    assertEquals(granted, List.of(0, 0, 2));
  }

  @Test
  public void smallerShareAppliesUntilRosterChangeHasSpread() {
    final QuotaEndpoint endpoint = endpoint(false);
    endpoint.restore(ROSTER);
    final Roster two = new Roster(4, ROSTER.voters.subList(0, 2));
    final List<Integer> given = new ArrayList<>();
    for (final long now : new long[] {900_000, 904_000, 1_900_000}) {
      endpoint.request(
          new PermitRequest(1, "tenant/saver", 1000, 99),
          response -> given.add(((PermitResponse) response).granted),
          ROUTING_TABLE,
          now < 904_000 ? ROSTER : two,
          1,
          100,
          now);
    }
    final double capacity = 0.98 * 60 * 1.1;
    assertEquals(given.get(0).intValue(), (int) (capacity / 3));
    assertTrue(given.get(1) <= capacity / 3, "still a third: " + given);
    assertEquals(
        given.get(2).intValue(), (int) (capacity / 2), "a half, once the change has spread");
  }

  @Test
  public void withoutMajorityNothingIsGrantedAndRequestIsRelayed() {
    final QuotaEndpoint endpoint = endpoint(true);
    endpoint.restore(ROSTER);
    request(endpoint, 1, 9000, 1200);
    assertEquals(((PermitRequest) relayed.get(0)).hops, 1);
    endpoint.onResponse(new PermitResponse(((PermitRequest) relayed.get(0)).number, 1, 1, 0), 1200);
    assertEquals(granted, List.of(1));
    request(endpoint, 400, 100, 1400);
    final int left = ((PermitRequest) relayed.get(1)).count;
    assertEquals(left, 400 - (int) (0.98 * 20 * 1.1 / 3 * 0.4), "a third of what accrues in 0.4 s");
    endpoint.tick(1400 + 700);
    assertEquals(granted.get(1).intValue(), 400 - left, "the next voter did not respond in time");
  }

  @Test
  public void denialIsCachedBriefly() {
    final QuotaEndpoint endpoint = endpoint(true);
    endpoint.restore(ROSTER);
    request(endpoint, 1, 100, 1000);
    endpoint.onResponse(new PermitResponse(((PermitRequest) relayed.get(0)).number, 0, 1, 0), 1010);
    request(endpoint, 1, 100, 1020);
    assertEquals(relayed.size(), 1, "not relayed again so soon");
    request(endpoint, 1, 100, 1060);
    assertEquals(relayed.size(), 2);
  }
}
