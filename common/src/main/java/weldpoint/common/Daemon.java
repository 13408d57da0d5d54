package weldpoint.common;

import java.io.IOException;

/** One of the system's programs, as a process runs it. */
public interface Daemon {
  /** Starts everything. */
  void start() throws IOException, InterruptedException;

  /** Takes what may change while it runs. */
  void reload(Settings settings);

  /** Leaves in order; returns when the process may end. */
  void stop();
}
