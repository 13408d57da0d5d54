package weldpoint.scale;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import weldpoint.common.Settings;
import weldpoint.common.WeldpointException;

/**
 * A daemon in a process of its own. A reader thread takes a sample whenever the daemon logs its
 * traffic counters.
 */
final class MeasuredProcess {
  private static final Pattern TRAFFIC_COUNTERS =
      Pattern.compile("trunk-in (\\d+) (\\d+) trunk-out (\\d+) (\\d+)");

  /** Totals of a process since its start, with its present resident memory. */
  record Sample(
      long atNanos,
      long cpuMillis,
      long memoryKilobytes,
      long messagesIn,
      long bytesIn,
      long messagesOut,
      long bytesOut) {}

  final String program;
  private final Process process;
  private volatile Sample latestSample;
  private volatile String lastLine = "";

  MeasuredProcess(final String program, final Path settings, final int heapMegabytes)
      throws IOException {
    this.program = program;
    final List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xms16m",
                "-Xmx" + heapMegabytes + "m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:MaxMetaspaceSize=64m",
                "-XX:ReservedCodeCacheSize=24m",
                "-XX:MaxDirectMemorySize=48m",
                "-XX:-UsePerfData",
                "-cp",
                System.getProperty("java.class.path"),
                "weldpoint.cli.Weldpoint",
                program));
    final ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().put(Settings.FILE_VARIABLE, settings.toString());
    process = builder.start();
    final Thread reader = new Thread(this::readOutput, "output-" + program);
    reader.setDaemon(true);
    reader.start();
  }

  private void readOutput() {
    try (BufferedReader lines =
        new BufferedReader(
            new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
      String line = lines.readLine();
      while (line != null) {
        lastLine = line;
        final Matcher counters = TRAFFIC_COUNTERS.matcher(line);
        if (counters.find()) {
          latestSample =
              new Sample(
                  System.nanoTime(),
                  cpuMillis(),
                  residentKilobytes(),
                  Long.parseLong(counters.group(1)),
                  Long.parseLong(counters.group(2)),
                  Long.parseLong(counters.group(3)),
                  Long.parseLong(counters.group(4)));
        }
        line = lines.readLine();
      }
    } catch (final IOException exception) {
      lastLine = "reading its output failed: " + exception.getMessage();
    }
  }

  private long cpuMillis() {
    return process
        .toHandle()
        .info()
        .totalCpuDuration()
        .map(java.time.Duration::toMillis)
        .orElse(0L);
  }

  private long residentKilobytes() {
    try {
      for (final String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
        if (line.startsWith("VmRSS:")) {
          return Long.parseLong(line.replaceAll("[^0-9]", ""));
        }
      }
    } catch (final IOException exited) {
      return 0;
    }
    return 0;
  }

  /**
   * Returns the latest sample, null before the first. Throws {@link WeldpointException} of kind
   * OUT_OF_REACH if the process has exited.
   */
  Sample sample() {
    if (!process.isAlive()) {
      throw new WeldpointException(
          WeldpointException.Kind.OUT_OF_REACH,
          "a "
              + program
              + " has exited unexpectedly with code "
              + process.exitValue()
              + " ("
              + lastLine
              + "); the run cannot be used");
    }
    return latestSample;
  }

  void terminate() {
    process.destroy();
  }

  void kill() {
    process.destroyForcibly();
  }

  boolean isAlive() {
    return process.isAlive();
  }
}
