package weldpoint.soak;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import weldpoint.common.Logging;
import weldpoint.common.Settings;

/**
 * One weldpoint daemon as an operating system process that can be killed, paused, resumed and
 * started again. Signals go to this process by its id and to no other.
 */
final class DaemonProcess {
  private static final int MAX_OUTPUT_LINES = 8000;
  private static final long TERMINATION_TIMEOUT_SECONDS = 12;

  private final String program;
  private final String name;
  private final Path settings;
  private final Deque<String> output = new ArrayDeque<>();
  private Process process;
  private boolean paused;
  private int starts;
  private boolean shutdown;
  private final List<Long> disruptionTimes = new ArrayList<>();

  DaemonProcess(final String program, final String name, final Path settings) {
    this.program = program;
    this.name = name;
    this.settings = settings;
  }

  /** The daemon's program and machine, for reports. */
  String name() {
    return program + "@" + name;
  }

  /** Starts the process; the settings file is read anew. */
  synchronized void start() {
    if (shutdown) {
      return;
    }
    final List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xms16m",
                "-Xmx96m",
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:-UsePerfData",
                "-cp",
                System.getProperty("java.class.path"),
                "weldpoint.cli.Weldpoint",
                program));
    final ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().put(Settings.VARIABLE, settings.toString());
    builder.environment().put(Logging.LEVEL_VARIABLE, "FINE");
    try {
      process = builder.start();
    } catch (final IOException e) {
      throw new UncheckedIOException("cannot start " + name(), e);
    }
    paused = false;
    starts++;
    final Process started = process;
    final Thread reader = new Thread(() -> readOutput(started), "output-" + name());
    reader.setDaemon(true);
    reader.start();
  }

  /** Starts the process where it does not run. */
  synchronized void startIfDown() {
    if (!isAlive()) {
      start();
    }
  }

  private void readOutput(final Process source) {
    try (BufferedReader reader =
        new BufferedReader(new InputStreamReader(source.getInputStream(), StandardCharsets.UTF_8))) {
      for (String line = reader.readLine(); line != null; line = reader.readLine()) {
        appendOutput(line);
      }
    } catch (final IOException e) {
      appendOutput("output ended: " + e.getMessage());
    }
  }

  private void appendOutput(final String line) {
    synchronized (output) {
      output.add(line);
      if (output.size() > MAX_OUTPUT_LINES) {
        output.poll();
      }
    }
  }

  /** The last lines that the process wrote, oldest first. */
  List<String> output() {
    synchronized (output) {
      return new ArrayList<>(output);
    }
  }

  /** Ends the process at once, as a crash does. */
  synchronized void kill() {
    if (process != null) {
      disruptedBetween();
      process.destroyForcibly();
      awaitExit();
    }
  }

  /** Ends the process at once; it is not started again. */
  synchronized void shutdownNow() {
    shutdown = true;
    resume();
    kill();
  }

  /** Asks the process to end in order, and ends it at once if it does not. */
  synchronized void terminate() {
    if (process == null) {
      return;
    }
    resume();
    process.destroy();
    if (!awaitExit()) {
      disruptedBetween();
      process.destroyForcibly();
      awaitExit();
    }
  }

  private boolean awaitExit() {
    try {
      return process.waitFor(TERMINATION_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (final InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Freezes the process (SIGSTOP). */
  synchronized void pause() {
    if (isAlive() && !paused) {
      paused = true;
      disruptedBetween();
      signal("-STOP");
    }
  }

  /** Lets a frozen process go on (SIGCONT). */
  synchronized void resume() {
    if (paused && isAlive()) {
      signal("-CONT");
      disruptedBetween();
    }
    paused = false;
  }

  /** Tells the process that its settings file has changed (SIGHUP). */
  synchronized void reload() {
    if (isAlive()) {
      signal("-HUP");
    }
  }

  private void disruptedBetween() {
    synchronized (disruptionTimes) {
      disruptionTimes.add(Clock.millis());
    }
  }

  /**
   * Whether the process was killed, frozen or woken in a span, in milliseconds of the steady clock.
   */
  boolean disruptedBetween(final long from, final long to) {
    synchronized (disruptionTimes) {
      return disruptionTimes.stream().anyMatch(at -> at >= from && at <= to);
    }
  }

  private void signal(final String signal) {
    try {
      new ProcessBuilder("kill", signal, Long.toString(process.pid())).start().waitFor();
    } catch (final IOException e) {
      throw new UncheckedIOException("cannot signal " + name(), e);
    } catch (final InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  synchronized boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** How often the process was started. */
  synchronized int starts() {
    return starts;
  }
}
