package weldpoint.common;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Settings are validated; an error names the setting and how to correct it. */
public final class SettingsTest {
  private static final String VALID =
      "# a comment\nstation.name = one\nstation.address = 10.0.0.1\nstation.site = a\nstation.region = r\nstation.voter = true\nstation.first-start = false\n"
          + "trunk.ports = 7000,7015\ntrunk.seeds = 10.0.0.1:80,10.0.0.2:80\nsites = a:r,b:q\nunknown.field = whatever\nbound.retry-ratio = 0.2\nlisten.control =\n";

  @Test
  public void validSettingsAreParsed() {
    final Settings settings = Settings.parse(VALID);
    assertEquals(settings.seeds(), java.util.List.of("10.0.0.1", "10.0.0.2"));
    assertEquals(settings.transportPort(1), 7001);
    assertEquals(settings.sites().get("b"), "q");
    assertEquals(settings.heartbeatMillis(), 1500);
  }

  @Test
  public void ownershipHoldStaysWithinItsLimit() {
    assertEquals(Settings.parse(VALID).ownershipHoldMillis(), 4000);
    assertEquals(Settings.parse(VALID + "bound.hold-limit-ms = 900\n").ownershipHoldMillis(), 900);
    assertEquals(Settings.parse(VALID + "ownership.hold-ms = 2000\n").ownershipHoldMillis(), 2000);
    assertEquals(Settings.parse(VALID).ownershipLateMillis(), 1000);
    assertEquals(Settings.parse(VALID + "ownership.late-ms = 0\n").ownershipLateMillis(), 0);
    assertThrows(
        WeldpointException.class,
        () -> Settings.parse(VALID + "ownership.late-ms = -1\n").ownershipLateMillis());
    for (final String bad : new String[] {"10", "5000"}) {
      final WeldpointException exception =
          expectThrows(
              WeldpointException.class,
              () ->
                  Settings.parse(
                      VALID + "bound.hold-limit-ms = 4500\nownership.hold-ms = " + bad + "\n"));
      assertTrue(exception.getMessage().contains("bound.hold-limit-ms"), exception.getMessage());
    }
  }

  @DataProvider
  public Object[][] invalidSettings() {
    return new Object[][] {
      {"station.name = one", "station.name =", "station.name"},
      {"10.0.0.1\nstation.site", "host\nstation.site", "station.address"},
      {"7000,7015", "7000", "trunk.ports"},
      {"10.0.0.2:80", "10.0.0.2", "trunk.seeds"},
      {"voter = true", "voter = yes", "station.voter"},
      {"retry-ratio = 0.2", "retry-ratio = much", "bound.retry-ratio"},
      {"sites = a:r,b:q", "sites = a", "sites"},
      {"station.region = r", "station.region r", "line 5"},
    };
  }

  @Test(dataProvider = "invalidSettings")
  public void anInvalidValueIsReportedWithItsFieldAndRemedy(
      final String from, final String to, final String field) {
    final WeldpointException exception =
        expectThrows(WeldpointException.class, () -> Settings.parse(VALID.replace(from, to)));
    assertEquals(exception.kind(), WeldpointException.Kind.SETTING);
    assertTrue(exception.getMessage().contains(field), exception.getMessage());
    assertTrue(exception.getMessage().contains(";"), exception.getMessage());
  }
}
