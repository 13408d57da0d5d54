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
  private static final int KEPT_LINES = 8000;
  private static final long TERMINATION_SECONDS = 12;

  private final String program;
  private final String name;
  private final Path settings;
  private final Deque<String> output = new ArrayDeque<>();
  private Process process;
  private boolean paused;
  private int starts;
  private boolean over;
  private final List<Long> disturbedAt = new ArrayList<>();

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
    if (over) {
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
    } catch (final IOException problem) {
      throw new UncheckedIOException("cannot start " + name(), problem);
    }
    paused = false;
    starts++;
    final Process started = process;
    final Thread reader = new Thread(() -> read(started), "output-" + name());
    reader.setDaemon(true);
    reader.start();
  }

  /** Starts the process where it does not run. */
  synchronized void startIfDown() {
    if (!alive()) {
      start();
    }
  }

  private void read(final Process from) {
    try (BufferedReader lines =
        new BufferedReader(new InputStreamReader(from.getInputStream(), StandardCharsets.UTF_8))) {
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        keep(line);
      }
    } catch (final IOException ended) {
      keep("output ended: " + ended.getMessage());
    }
  }

  private void keep(final String line) {
    synchronized (output) {
      output.add(line);
      if (output.size() > KEPT_LINES) {
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
      disturbed();
      process.destroyForcibly();
      await();
    }
  }

  /** Ends the process at once; it is not started again. */
  synchronized void endForGood() {
    over = true;
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
    if (!await()) {
      disturbed();
      process.destroyForcibly();
      await();
    }
  }

  private boolean await() {
    try {
      return process.waitFor(TERMINATION_SECONDS, TimeUnit.SECONDS);
    } catch (final InterruptedException stopped) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Freezes the process (SIGSTOP). */
  synchronized void pause() {
    if (alive() && !paused) {
      paused = true;
      disturbed();
      signal("-STOP");
    }
  }

  /** Lets a frozen process go on (SIGCONT). */
  synchronized void resume() {
    if (paused && alive()) {
      signal("-CONT");
      disturbed();
    }
    paused = false;
  }

  /** Tells the process that its settings file has changed (SIGHUP). */
  synchronized void reload() {
    if (alive()) {
      signal("-HUP");
    }
  }

  private void disturbed() {
    synchronized (disturbedAt) {
      disturbedAt.add(Clock.millis());
    }
  }

  /**
   * Whether the process was killed, frozen or woken in a span, in milliseconds of the steady clock.
   */
  boolean disturbed(final long from, final long to) {
    synchronized (disturbedAt) {
      return disturbedAt.stream().anyMatch(at -> at >= from && at <= to);
    }
  }

  private void signal(final String signal) {
    try {
      new ProcessBuilder("kill", signal, Long.toString(process.pid())).start().waitFor();
    } catch (final IOException problem) {
      throw new UncheckedIOException("cannot signal " + name(), problem);
    } catch (final InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
  }

  synchronized boolean alive() {
    return process != null && process.isAlive();
  }

  /** How often the process was started. */
  synchronized int starts() {
    return starts;
  }
}
