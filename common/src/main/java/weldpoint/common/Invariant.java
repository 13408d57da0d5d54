package weldpoint.common;

import com.google.common.flogger.FluentLogger;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/**
 * Something that must hold whenever a piece of code runs, checked there. A violation is counted
 * and, the first time, logged with its evidence; it never ends the process. Where the system
 * property {@value #STRICT_PROPERTY} is true, as in tests, a violation is thrown besides.
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

  /** The invariant of this name; one object for all who name it. */
  public static Invariant named(final String name) {
    return ALL.computeIfAbsent(name, Invariant::new);
  }

  /** Counts a check, and a violation where it does not hold. */
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

  /** How often it did not hold. */
  public long violations() {
    return violations.get();
  }

  /** How often it was checked. */
  public long checks() {
    return checks.get();
  }

  /** Violations by name, of all invariants that were named so far. */
  public static Map<String, Long> counts() {
    final Map<String, Long> counts = new TreeMap<>();
    ALL.forEach((name, invariant) -> counts.put(name, invariant.violations()));
    return counts;
  }
}
