package weldpoint.common;

import java.io.IOException;

/** One of the system's long-running programs. */
public interface Daemon {
  /** Starts the program. */
  void start() throws IOException, InterruptedException;

  /** Applies the settings that may change while the program runs. */
  void reload(Settings settings);

  /** Shuts down in order; returns when the process may exit. */
  void stop();
}
