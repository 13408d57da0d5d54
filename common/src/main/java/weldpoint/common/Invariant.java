package weldpoint.common;

import com.google.common.flogger.FluentLogger;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/**
 * A condition that must hold whenever the code that checks it runs. A violation is counted and, the
 * first time, logged with its evidence; it never ends the process. If the system property {@value
 * #STRICT_PROPERTY} is true, as in tests, a violation also throws an exception. Invariants may be
 * checked from any thread.
 */
public final class Invariant {
  /** The system property that makes violations throw. */
  public static final String STRICT_PROPERTY = "weldpoint.invariants.strict";

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final Map<String, Invariant> ALL = new ConcurrentHashMap<>();

  private final String name;
  private final AtomicLong checks = new AtomicLong();
  private final AtomicLong violations = new AtomicLong();

  private Invariant(final String name) {
    this.name = name;
  }

  /** Returns the invariant of this name; there is one object for each name. */
  public static Invariant named(final String name) {
    return ALL.computeIfAbsent(name, Invariant::new);
  }

  /**
   * Counts a check, and a violation if the condition does not hold.
   *
   * @throws IllegalStateException on a violation, if {@link #STRICT_PROPERTY} is true
   */
  public void check(final boolean holds, final Supplier<String> evidence) {
    checks.incrementAndGet();
    if (holds) {
      return;
    }
    final String text = "invariant broken: " + name + ": " + evidence.get();
    if (violations.incrementAndGet() == 1) {
      LOGGER.atSevere().log("%s", text);
    }
    if (Boolean.getBoolean(STRICT_PROPERTY)) {
      throw new IllegalStateException(text);
    }
  }

  /** Returns the number of violations. */
  public long violations() {
    return violations.get();
  }

  /** Returns the number of checks. */
  public long checks() {
    return checks.get();
  }

  /** Returns the violations by name, of all invariants requested so far. */
  public static Map<String, Long> counts() {
    final Map<String, Long> counts = new TreeMap<>();
    ALL.forEach((name, invariant) -> counts.put(name, invariant.violations()));
    return counts;
  }
}
