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

  /** Guards against TWICE: a deployment's key window was longer than that of the claims. */
  @Test
  public void keysAreKeptForLongerThanTheirWindow() {
    assertTrue(Settings.parse(VALID).keyWindowMillis() >= 75_000);
    for (final int windowSeconds : new int[] {0, 60, 300, 3600}) {
      final Settings settings =
          Settings.parse(VALID + "bound.key-window-s = " + windowSeconds + "\n");
      assertTrue(settings.keyWindowMillis() >= 1000L * windowSeconds + 15_000);
    }
    assertEquals(Settings.parse(VALID + "keys.window-s = 30\n").keyWindowMillis(), 30_000);
  }

  /** Guards against TWICE: the template did not hand the bound on, so the default was used. */
  @Test
  public void templateHandsOnTheKeyWindow() throws java.io.IOException {
    final String template =
        java.nio.file.Files.readString(java.nio.file.Path.of("../deploy/settings.template"));
    assertTrue(template.contains("bound.key-window-s = {{bounds.keyWindowS}}"), template);
  }

  /** Guards against TWICE: the header of the operations' keys was not read by default. */
  @Test
  public void operationKeyHeaderIsReadByDefaultAndFirst() {
    assertEquals(Settings.parse(VALID).keyHeaders().get(0), "Weldpoint-Operation-Key");
    assertEquals(
        Settings.parse(VALID + "keys.headers = X-One, X-Two\n").keyHeaders(),
        java.util.List.of("X-One", "X-Two"));
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
      {"listen.control =", "keys.headers =", "keys.headers"},
      {"listen.control =", "keys.headers = ,", "keys.headers"},
      {"listen.control =", "keys.headers = Two Words", "keys.headers"},
      {"listen.control =", "bound.key-window-s = long", "bound.key-window-s"},
      {"listen.control =", "bound.key-window-s = 60\nkeys.window-s = 59", "keys.window-s"},
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
