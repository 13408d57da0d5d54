package weldpoint.common;

import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Configures logging: one line for each record, on standard error. */
public final class Logging {
  /** The environment variable with the level of the project's own loggers. */
  public static final String LEVEL_VARIABLE = "WELDPOINT_LOG";

  private static final Logger WELDPOINT_LOGGER = Logger.getLogger("weldpoint");

  private Logging() {}

  /**
   * Directs all logs to standard error, at the level given by WELDPOINT_LOG (INFO if it is unset);
   * libraries log nothing below INFO.
   */
  public static void configure(final String program) {
    final Logger root = Logger.getLogger("");
    for (final Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    final ConsoleHandler handler = new ConsoleHandler();
    handler.setLevel(Level.ALL);
    handler.setFormatter(
        new Formatter() {
          @Override
          public String format(final LogRecord record) {
            final String cause = record.getThrown() == null ? "" : " " + trace(record.getThrown());
            return program + " " + record.getLevel() + " " + record.getMessage() + cause + "\n";
          }
        });
    root.addHandler(handler);
    final String levelName = System.getenv(LEVEL_VARIABLE);
    final Level level =
        levelName == null || levelName.isEmpty() ? Level.INFO : Level.parse(levelName);
    WELDPOINT_LOGGER.setLevel(level);
    root.setLevel(level.intValue() > Level.INFO.intValue() ? level : Level.INFO);
  }

  private static String trace(final Throwable thrown) {
    final StringBuilder text = new StringBuilder(thrown.toString());
    for (int index = 0; index < Math.min(8, thrown.getStackTrace().length); index++) {
      text.append(" < ").append(thrown.getStackTrace()[index]);
    }
    return text.toString();
  }
}
