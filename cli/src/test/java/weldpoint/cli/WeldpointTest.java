package weldpoint.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that wrong invocations are reported by message and exit code. */
public final class WeldpointTest {
  private static String[] run(final String... arguments) {
    final PrintStream out = System.out;
    final PrintStream err = System.err;
    final ByteArrayOutputStream captured = new ByteArrayOutputStream();
    final PrintStream capture = new PrintStream(captured, true, StandardCharsets.UTF_8);
    System.setOut(capture);
    System.setErr(capture);
    try {
      final int code = Weldpoint.execute(arguments);
      return new String[] {Integer.toString(code), captured.toString(StandardCharsets.UTF_8)};
    } finally {
      System.setOut(out);
      System.setErr(err);
    }
  }

  @DataProvider
  public Object[][] invocations() {
    return new Object[][] {
      {new String[] {}, 2, "usage"},
      {new String[] {"fly"}, 2, "'fly' is unknown"},
      {new String[] {"--help"}, 0, "usage"},
      {new String[] {"--version"}, 0, "weldpoint"},
      {new String[] {"frame", "--what"}, 2, "what"},
      {new String[] {"check", "settings"}, 2, "check takes"},
      {new String[] {"check", "settings", "/does/not/exist"}, 1, "cannot be read"},
      {new String[] {"check", "spec", "/does/not/exist"}, 1, "cannot be read"},
      {new String[] {"trial", "begin", "book"}, 2, "control"},
      {new String[] {"status"}, 2, "control"},
      {new String[] {"status", "--control", "127.0.0.1:1"}, 1, "no exchange answered"},
      {new String[] {"history"}, 2, "either --control"},
      {
        new String[] {"history", "--control", "127.0.0.1:1", "--at", "127.0.0.1:1"},
        2,
        "either --control"
      },
      {new String[] {"history", "--at", "127.0.0.1:1"}, 1, "no exchange answered"},
      {new String[] {"scale", "--series", "moons"}, 2, "cannot be varied"},
      {
        new String[] {"trial", "hold", "book", "--control", "127.0.0.1:1", "--author", ""},
        1,
        "is empty"
      },
      {new String[] {"trial", "fly", "book", "--control", "127.0.0.1:1"}, 2, "trial cannot"},
      {
        new String[] {"trial", "status", "book", "--control", "127.0.0.1:1"},
        1,
        "no exchange answered"
      },
    };
  }

  @Test(dataProvider = "invocations")
  public void exitCodeAndOutputMatchTheInvocation(
      final String[] arguments, final int expectedCode, final String expectedText) {
    final String[] result = run(arguments);
    assertEquals(Integer.parseInt(result[0]), expectedCode, result[1]);
    assertTrue(result[1].contains(expectedText), result[1]);
  }

  @Test
  public void checkSettingsReportsAnInvalidValueAndAcceptsAValidFile() throws IOException {
    final Path file = Files.createTempFile("weldpoint", ".conf");
    Files.writeString(
        file,
        "station.name = one\nstation.address = 10.0.0.1\nstation.site = a\nstation.region = r\nstation.voter = maybe\ntrunk.ports = 1,2\ntrunk.seeds = 10.0.0.1:80\n");
    final String[] invalid = run("check", "settings", file.toString());
    assertEquals(invalid[0], "1");
    assertTrue(
        invalid[1].contains("station.voter")
            && invalid[1].contains("maybe")
            && invalid[1].contains("give true or false"),
        invalid[1]);
    Files.writeString(file, Files.readString(file).replace("maybe", "true"));
    assertEquals(run("check", "settings", file.toString())[0], "0");
    Files.delete(file);
  }
}
