package weldpoint.scale;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import weldpoint.common.WeldpointException;

/**
 * Checks the line fit against known data, the rejection of invalid sizes and arguments, and a small
 * end-to-end run with real and simulated proxies.
 */
public final class ScaleTest {
  @Test
  public void fitReturnsLineAndResiduals() {
    final LinearFit exact = LinearFit.of(new double[] {10, 40, 160}, new double[] {25, 85, 325});
    assertEquals(exact.slope(), 2, 1e-9);
    assertEquals(exact.intercept(), 5, 1e-9);
    assertEquals(exact.maxResidual(), 0, 1e-9);
    assertEquals(exact.rSquared(), 1, 1e-9);
    assertEquals(exact.predict(16_000), 32_005, 1e-6);
    assertEquals(exact.extrapolationFactor(16_000), 100, 1e-9);
    final LinearFit noisy = LinearFit.of(new double[] {1, 2, 3, 4}, new double[] {2, 1, 4, 3});
    assertEquals(noisy.slope(), 0.6, 1e-9);
    assertEquals(noisy.intercept(), 1, 1e-9);
    assertEquals(noisy.maxResidual(), 1.2, 1e-9);
    assertEquals(noisy.rSquared(), 0.36, 1e-9);
  }

  @Test
  public void fitRejectsTooFewOrTooCloseSizes() {
    assertTrue(
        expectThrows(
                WeldpointException.class,
                () -> LinearFit.of(new double[] {1, 9}, new double[] {1, 2}))
            .getMessage()
            .contains("at least 3"));
    assertTrue(
        expectThrows(
                WeldpointException.class,
                () -> LinearFit.of(new double[] {10, 20, 30}, new double[] {1, 2, 3}))
            .getMessage()
            .contains("too close"));
  }

  @DataProvider
  public Object[][] invalidSizes() {
    return new Object[][] {
      {new FleetSize(0, 1, 1, 1, 1, 1, 0, 0, false), "is invalid"},
      {new FleetSize(1, 1, 1, 1, 2, 1, 0, 0, false), "is invalid"},
      {new FleetSize(1, 1, 1, 1, 1, 1, -1, 0, false), "is invalid"},
      {new FleetSize(40, 1, 150, 1, 1, 1, 0, 0, false), "too many"},
      {new FleetSize(3, 100_000_000, 1, 1, 1, 1, 0, 0, false), "half of this machine's memory"},
    };
  }

  @Test(dataProvider = "invalidSizes")
  public void invalidOrTooLargeSizesAreRejectedBeforeAnythingStarts(
      final FleetSize sizes, final String reason) {
    final WeldpointException exception = expectThrows(WeldpointException.class, sizes::validated);
    assertEquals(exception.kind(), WeldpointException.Kind.USAGE);
    assertTrue(exception.getMessage().contains(reason), exception.getMessage());
  }

  @DataProvider
  public Object[][] invalidArguments() {
    return new Object[][] {
      {new String[] {"--series", "moons"}, "cannot be varied"},
      {new String[] {"--sizes", "1,4,16"}, "belong to one series"},
      {new String[] {"--series", "boards", "--seconds", "1"}, "--seconds from 3"},
      {
        new String[] {"--series", "boards", "--sizes", "1,4,100000000"},
        "half of this machine's memory"
      }
    };
  }

  @Test(dataProvider = "invalidArguments")
  public void invalidArgumentsAreRejectedWithTheRemedy(
      final String[] arguments, final String reason) {
    final WeldpointException exception =
        expectThrows(
            WeldpointException.class,
            () -> new ScaleCommand().run(arguments, new PrintStream(new ByteArrayOutputStream())));
    assertEquals(exception.kind(), WeldpointException.Kind.USAGE);
    assertTrue(exception.getMessage().contains(reason), exception.getMessage());
  }

  @Test
  public void smallFleetIsMeasuredAndAllProcessesEnd() throws IOException, InterruptedException {
    final long childrenBefore =
        ProcessHandle.current().children().filter(ProcessHandle::isAlive).count();
    final Map<String, Double> results;
    try (ScaleRun run = new ScaleRun(new FleetSize(1, 3, 1, 5, 1, 2, 0.5, 0, false), freePorts())) {
      results = run.measure(3, 6);
    }
    assertTrue(results.get("hollow bytes-in/s") > 0, results.toString());
    assertTrue(results.get("exchange cpu-ms/s") > 0, results.toString());
    assertTrue(results.get("frame memory-mb") > 10, results.toString());
    assertTrue(results.get("beats/s") > 1, results.toString());
    assertTrue(results.get("acknowledged-ms") > 0, results.toString());
    assertEquals(
        ProcessHandle.current().children().filter(ProcessHandle::isAlive).count(), childrenBefore);
  }

  /**
   * Returns the first of twenty consecutive ports that are free on the loopback addresses of the
   * run.
   */
  private static int freePorts() throws IOException {
    for (int first = 22_500; first < 32_000; first += 20) {
      if (free(first)) {
        return first;
      }
    }
    throw new IOException("no twenty free ports in a row from 22500 to 32000");
  }

  private static boolean free(final int first) {
    for (final String address : new String[] {"127.7.0.1", "127.8.0.1"}) {
      for (int port = first; port < first + 20; port++) {
        try (ServerSocket socket = new ServerSocket()) {
          socket.bind(new InetSocketAddress(address, port));
        } catch (final IOException taken) {
          return false;
        }
      }
    }
    return true;
  }
}
