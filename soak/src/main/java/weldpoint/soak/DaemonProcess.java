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
 * One weldpoint daemon, run as an operating system process that can be killed, paused, resumed and
 * restarted. Signals are sent by process id, so no other process receives them. Used by the thread
 * that injects faults and by the threads of running faults; all state changes are synchronized.
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

  /** Returns {@code program@host}, as used in reports. */
  String name() {
    return program + "@" + name;
  }

  /** Starts the process, which reads the settings file again; does nothing after a shutdown. */
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
    builder.environment().put(Settings.FILE_VARIABLE, settings.toString());
    builder.environment().put(Logging.LEVEL_VARIABLE, "FINE");
    try {
      process = builder.start();
    } catch (final IOException e) {
      throw new UncheckedIOException("cannot start daemon " + name(), e);
    }
    paused = false;
    starts++;
    final Process started = process;
    final Thread reader = new Thread(() -> readOutput(started), "output-" + name());
    reader.setDaemon(true);
    reader.start();
  }

  /** Starts the process if it is not running. */
  synchronized void startIfDown() {
    if (!isAlive()) {
      start();
    }
  }

  private void readOutput(final Process source) {
    try (BufferedReader reader =
        new BufferedReader(
            new InputStreamReader(source.getInputStream(), StandardCharsets.UTF_8))) {
      for (String line = reader.readLine(); line != null; line = reader.readLine()) {
        appendOutput(line);
      }
    } catch (final IOException e) {
      appendOutput("reading the process output failed: " + e.getMessage());
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

  /** Returns the last lines of the process's output, oldest first. */
  List<String> output() {
    synchronized (output) {
      return new ArrayList<>(output);
    }
  }

  /** Kills the process without giving it time to shut down, like a crash. */
  synchronized void kill() {
    if (process != null) {
      recordDisruption();
      process.destroyForcibly();
      awaitExit();
    }
  }

  /** Kills the process and prevents further starts. */
  synchronized void shutdownNow() {
    shutdown = true;
    resume();
    kill();
  }

  /** Requests an orderly shutdown (SIGTERM), and kills the process if it does not exit in time. */
  synchronized void terminate() {
    if (process == null) {
      return;
    }
    resume();
    process.destroy();
    if (!awaitExit()) {
      recordDisruption();
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
      recordDisruption();
      signal("-STOP");
    }
  }

  /** Resumes a frozen process (SIGCONT). */
  synchronized void resume() {
    if (paused && isAlive()) {
      signal("-CONT");
      recordDisruption();
    }
    paused = false;
  }

  /** Makes the process reload its settings file (SIGHUP). */
  synchronized void reload() {
    if (isAlive()) {
      signal("-HUP");
    }
  }

  private void recordDisruption() {
    synchronized (disruptionTimes) {
      disruptionTimes.add(Clock.millis());
    }
  }

  /**
   * Returns whether the process was killed, frozen or resumed between two times, both inclusive and
   * in milliseconds of {@link Clock}.
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
      throw new UncheckedIOException("cannot send a signal to daemon " + name(), e);
    } catch (final InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  synchronized boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Returns how many times the process has been started. */
  synchronized int starts() {
    return starts;
  }
}
