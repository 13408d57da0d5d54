package weldpoint.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import weldpoint.common.WeldpointException;

/**
 * Guards against CONFIG (incident 27): a configuration that cannot be read whole was compiled from
 * the part before the error.
 */
public final class UnreadableConfigurationTest {
  private static final String LISTENERS =
      "\"listeners\":[{\"host\":\"h\",\"rules\":[{\"name\":\"r\",\"routeKind\":\"keyed\",\"targetLatencyMs\":300,\"priority\":2,\"match\":{\"pathPrefix\":\"/x/\"},\"action\":{\"service\":\"s\",\"timeoutMs\":2000,\"maxAttempts\":2,\"homeRegions\":[]}}]}]";
  private static final String POOLS = "\"pools\":[{\"name\":\"s\",\"maxConns\":110,\"tls\":false}]";
  private static final String TENANTS =
      "\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"k\"],\"ratePerS\":0}]";
  private static final String VALID =
      "{\"version\":\"00000002\"," + LISTENERS + "," + POOLS + "," + TENANTS + "}";

  private static byte[] bytes(final String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @DataProvider
  public Object[][] unreadable() {
    return new Object[][] {
      {VALID.replace("," + TENANTS, "}," + TENANTS)},
      {VALID + "}"},
      {VALID + VALID},
      {VALID.replace("}],\"tenants\"", "}]\"tenants\"")},
      {VALID.replace("}],\"tenants\"", "}],,\"tenants\"")},
      {VALID.replace(TENANTS, TENANTS + "," + TENANTS)},
      {
        VALID.replace(
            "\"version\":\"00000002\"", "\"version\":\"00000002\",\"version\":\"00000003\"")
      },
      {VALID.replace("2000", "1e999")},
      {VALID.replace("\"name\":\"t\"", "\"name\":5")},
      {VALID.replace("\"apiKeys\":[\"k\"]", "\"apiKeys\":[5]")},
      {VALID.replace("\"apiKeys\":[\"k\"]", "\"apiKeys\":\"k\"")},
      {VALID.replace("\"tenants\":[", "\"tenants\":{").replace("0}]}", "0}}}")},
      {VALID.replace("2000", "\"2000x\"")},
      {VALID.replace("2000", "true")},
      {VALID.replace("\"tls\":false", "\"partitioned\":\"yes\"")},
      {VALID.replace("\"tls\":false", "\"partitioned\":1")},
      {"[" + VALID + "]"},
      {"null"},
      {"5"},
      {"\"" + VALID.replace("\"", "\\\"") + "\""},
    };
  }

  @Test(dataProvider = "unreadable")
  public void configurationThatCannotBeReadWholeIsRejected(final String text) {
    final WeldpointException problem =
        expectThrows(WeldpointException.class, () -> RoutingTable.compile(bytes(text)));
    assertEquals(problem.kind().status(), 400);
  }

  @Test
  public void unknownMembersOfAnyTypeAreAccepted() {
    for (final String value :
        new String[] {"1", "\"\"", "null", "[[{}]]", "{\"a\":[1]}", "-1.5e-3"}) {
      final RoutingTable table =
          RoutingTable.compile(bytes(VALID.replace("\"tls\":false", "\"later\":" + value)));
      assertEquals(table.tenants().size(), 1);
    }
  }

  /** The binding reads a number in quotes as that number; nothing of it is lost. */
  @Test
  public void numbersInQuotesKeepTheirValue() {
    final RoutingTable table = RoutingTable.compile(bytes(VALID.replace("2000", "\"2000\"")));
    assertEquals(table.route("r").timeoutMillis, 2000);
  }

  /** What an earlier release acknowledged stays in force, as far as it was read then. */
  @Test
  public void acceptedConfigurationIsCompiledAsFarAsItIsReadable() {
    final byte[] cut = bytes(VALID.replace("," + TENANTS, "}," + TENANTS));
    assertEquals(RoutingTable.compileAccepted(cut).routeCount(), 1);
    assertEquals(RoutingTable.compileAccepted(cut).tenants().size(), 0);
    assertEquals(RoutingTable.compileAccepted(bytes(VALID)).tenants().size(), 1);
  }

  /** Cuts, doubles and replaces bytes at random: what is accepted has one meaning. */
  @Test
  public void damagedConfigurationsAreRejectedOrReadWhole() {
    final long seed = Long.getLong("weldpoint.fuzz.seed", 48);
    Reporter.log("seed " + seed, true);
    final Random random = new Random(seed);
    final byte[] valid = bytes(VALID);
    int accepted = 0;
    for (int round = 0; round < 20_000; round++) {
      final byte[] damaged = damage(valid, random);
      final RoutingTable table;
      try {
        table = RoutingTable.compile(damaged);
      } catch (final WeldpointException problem) {
        assertEquals(problem.kind().status(), 400, "round " + round);
        continue;
      }
      accepted++;
      final String text = new String(damaged, StandardCharsets.UTF_8);
      assertEquals(text.getBytes(StandardCharsets.UTF_8), damaged, "round " + round);
      assertEquals(
          table.tenants().isEmpty(),
          !text.contains("\"tenants\":["),
          "round " + round + " of seed " + seed + ": " + text);
    }
    assertTrue(accepted > 0, "damage inside of texts is accepted");
  }

  private static byte[] damage(final byte[] valid, final Random random) {
    final int position = random.nextInt(valid.length);
    final byte[] damaged;
    switch (random.nextInt(4)) {
      case 0 -> {
        damaged = valid.clone();
        damaged[position] = (byte) random.nextInt(256);
      }
      case 1 -> {
        damaged = new byte[valid.length - 1];
        System.arraycopy(valid, 0, damaged, 0, position);
        System.arraycopy(valid, position + 1, damaged, position, valid.length - position - 1);
      }
      case 2 -> {
        damaged = new byte[valid.length + 1];
        System.arraycopy(valid, 0, damaged, 0, position + 1);
        System.arraycopy(valid, position, damaged, position + 1, valid.length - position);
      }
      default -> damaged = Arrays.copyOf(valid, position);
    }
    return damaged;
  }
}
