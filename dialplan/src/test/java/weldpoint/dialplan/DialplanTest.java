package weldpoint.dialplan;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import weldpoint.boot.Breakdown;

/** Compiling, checking and interpreting configurations. */
public final class DialplanTest {
  private static final String GOOD = "{\"version\":\"0000000c\",\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1000,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"listeners\":[{\"host\":\"a.example\",\"rules\":["
      + "{\"name\":\"r1\",\"routeKind\":\"idempotent\",\"targetLatencyMs\":300,\"priority\":2,\"match\":{\"pathPrefix\":\"/x/\"},\"action\":{\"service\":\"s\",\"timeoutMs\":2000.5,\"maxAttempts\":2,\"homeRegions\":[]},\"unknown\":{\"a\":[1]}},"
      + "{\"name\":\"r2\",\"routeKind\":\"mutating\",\"targetLatencyMs\":400,\"priority\":1,\"match\":{\"pathPrefix\":\"/x/y/\"},\"action\":{\"split\":[{\"service\":\"s\",\"weight\":90},{\"service\":\"t\",\"weight\":10}],\"timeoutMs\":2500,\"maxAttempts\":1,\"homeRegions\":[\"north\"]}}]}],"
      + "\"pools\":[{\"name\":\"s\",\"healthPath\":\"/health\",\"maxConns\":120,\"protocol\":\"h1\",\"tls\":false,\"warmupS\":3.0,\"warmupPerS\":12.0},{\"name\":\"t\",\"maxConns\":120}]}";

  private static Dialplan compile(final String text) {
    return Dialplan.compile(text.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  public void theLongestPrefixOfTheHostWins() {
    final Dialplan plan = compile(GOOD);
    assertEquals(plan.version(), 12);
    final Interpreter deep = new Interpreter("A.example:80", "/x/y/z?q=/1/", 0.95);
    assertTrue(plan.interpret(deep));
    assertEquals(deep.route().name, "r2");
    assertFalse(deep.route().kind.repeatable());
    assertEquals(plan.services().get(deep.service()).name(), "t");
    assertTrue(deep.route().home("north"));
    assertFalse(deep.route().home("south"));
    final Interpreter shallow = new Interpreter("a.example", "/x/z", 0.5);
    assertTrue(plan.interpret(shallow));
    assertEquals(shallow.route().name, "r1");
    assertFalse(plan.interpret(new Interpreter("a.example", "/y/z", 0.5)));
    assertFalse(plan.interpret(new Interpreter("b.example", "/x/z", 0.5)));
  }

  @DataProvider
  public Object[][] invalid() {
    return new Object[][] {
        {GOOD.substring(0, GOOD.length() - 40), Breakdown.Kind.UNREADABLE},
        {"", Breakdown.Kind.UNREADABLE},
        {GOOD.replace("\"a.example\"", "\"\""), Breakdown.Kind.INVALID},
        {GOOD.replace("2000.5", "0"), Breakdown.Kind.INVALID},
        {GOOD.replace("\"service\":\"s\",\"timeoutMs\"", "\"service\":\"u\",\"timeoutMs\""), Breakdown.Kind.INVALID},
        {GOOD.replace("{\"service\":\"t\"", "{\"service\":\"u\""), Breakdown.Kind.INVALID},
        {GOOD.replace("\"maxAttempts\":1", "\"maxAttempts\":0"), Breakdown.Kind.INVALID},
        {GOOD.replace("0000000c", "zz"), Breakdown.Kind.UNREADABLE},
    };
  }

  @Test(dataProvider = "invalid")
  public void whatIsInvalidIsRefusedWithItsKind(final String text, final Breakdown.Kind kind) {
    assertEquals(expectThrows(Breakdown.class, () -> compile(text)).kind(), kind);
  }
}
