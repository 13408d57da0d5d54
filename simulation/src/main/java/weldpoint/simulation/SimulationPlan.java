package weldpoint.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;

/**
 * What a day is made of: the seed of its traffic and network, its core machines, its length, and
 * its troubles.
 */
public record SimulationPlan(long seed, int cores, long lasts, List<Fault> troubles) {
  private static final long LONGEST = 600_000;
  private static final Fault.Kind[] KINDS = Fault.Kind.values();

  /** The day that a seed stands for: a trouble alone, one that comes twice, or several together. */
  public static SimulationPlan drawn(final long seed) {
    final Random random = new Random(seed * 0x9e3779b97f4a7c15L + 17);
    final int cores = random.nextInt(4) == 0 ? 3 : 5 + random.nextInt(2);
    final List<Fault> troubles = new ArrayList<>();
    final Fault.Kind one = KINDS[(int) Math.floorMod(seed, KINDS.length)];
    final long at = 2000 + random.nextInt(3000);
    troubles.add(trouble(one, at, random));
    switch (random.nextInt(4)) {
      case 0 -> troubles.add(trouble(one, at + 1000 + random.nextInt(8000), random));
      case 1 ->
          troubles.add(
              trouble(KINDS[random.nextInt(KINDS.length)], at + random.nextInt(1500), random));
      case 2 -> {
        troubles.add(
            trouble(KINDS[random.nextInt(KINDS.length)], at + random.nextInt(3000), random));
        troubles.add(
            trouble(KINDS[random.nextInt(KINDS.length)], at + random.nextInt(8000), random));
        troubles.add(
            trouble(KINDS[random.nextInt(KINDS.length)], at + 4000 + random.nextInt(6000), random));
      }
      default -> {}
    }
    return new SimulationPlan(seed, cores, 16_000 + random.nextInt(8000), List.copyOf(troubles));
  }

  private static Fault trouble(final Fault.Kind kind, final long at, final Random random) {
    return new Fault(
        kind,
        at,
        500 + random.nextInt(random.nextInt(3) == 0 ? 10_000 : 4000),
        random.nextInt(1_000_000));
  }

  /** Reads a day as {@link #toString} writes it; what makes no sense is refused with the remedy. */
  public static SimulationPlan parse(final String text) {
    final String[] words = text.strip().split("\\s+");
    if (words.length < 3) {
      throw new IllegalArgumentException(
          "the day '"
              + text
              + "' lacks its seed, cores or length; write it as 'seed=1 cores=5 lasts=16000 node_kill@3000+2000#7'");
    }
    final long seed = number("seed", value(words[0], "seed"));
    final long cores = number("cores", value(words[1], "cores"));
    final long lasts = number("lasts", value(words[2], "lasts"));
    if (cores < 3 || cores > 9) {
      throw new IllegalArgumentException("cores is " + cores + "; give 3 to 9 core machines");
    }
    if (lasts < 1000 || lasts > LONGEST) {
      throw new IllegalArgumentException(
          "lasts is " + lasts + "; give 1000 to " + LONGEST + " milliseconds");
    }
    final List<Fault> troubles = new ArrayList<>();
    for (int index = 3; index < words.length; index++) {
      final java.util.regex.Matcher matcher =
          java.util.regex.Pattern.compile("([a-z_]+)@(-?\\w+)\\+(-?\\w+)#(-?\\w+)")
              .matcher(words[index]);
      if (!matcher.matches()) {
        throw new IllegalArgumentException(
            "the trouble '"
                + words[index]
                + "' cannot be read; write it as kind@start+length#seed, in milliseconds");
      }
      final Fault one =
          new Fault(
              kind(matcher.group(1)),
              number("the start of " + words[index], matcher.group(2)),
              number("the length of " + words[index], matcher.group(3)),
              number("the seed of " + words[index], matcher.group(4)));
      if (one.atMillis() < 0
          || one.forMillis() <= 0
          || one.atMillis() >= lasts
          || one.forMillis() > LONGEST) {
        throw new IllegalArgumentException(
            "the trouble '"
                + words[index]
                + "' has times that make no sense; let it start inside the day and last 1 to "
                + LONGEST
                + " milliseconds");
      }
      troubles.add(one);
    }
    return new SimulationPlan(seed, (int) cores, lasts, List.copyOf(troubles));
  }

  private static String value(final String word, final String name) {
    if (!word.startsWith(name + "=")) {
      throw new IllegalArgumentException(
          "'"
              + word
              + "' stands where "
              + name
              + "=NUMBER is expected; write the day as it was printed");
    }
    return word.substring(name.length() + 1);
  }

  /** Reads a whole number. */
  static long number(final String name, final String text) {
    try {
      return Long.parseLong(text);
    } catch (final NumberFormatException problem) {
      throw new IllegalArgumentException(name + " is '" + text + "'; give a whole number");
    }
  }

  /** The kind of trouble of this name. */
  static Fault.Kind kind(final String name) {
    final List<String> names = new ArrayList<>();
    for (final Fault.Kind kind : KINDS) {
      if (kind.word().equals(name)) {
        return kind;
      }
      names.add(kind.word());
    }
    throw new IllegalArgumentException(
        "the trouble '" + name + "' is unknown; name one of " + String.join(" ", names));
  }

  /** The day without one of its troubles. */
  SimulationPlan without(final int index) {
    final List<Fault> fewer = new ArrayList<>(troubles);
    fewer.remove(index);
    return new SimulationPlan(seed, cores, lasts, List.copyOf(fewer));
  }

  /** The day with one trouble in the place of another. */
  SimulationPlan with(final int index, final Fault other) {
    final List<Fault> changed = new ArrayList<>(troubles);
    changed.set(index, other);
    return new SimulationPlan(seed, cores, lasts, List.copyOf(changed));
  }

  /** The day with another length. */
  SimulationPlan lasting(final long millis) {
    return new SimulationPlan(
        seed, cores, millis, troubles.stream().filter(fault -> fault.atMillis() < millis).toList());
  }

  @Override
  public String toString() {
    final StringBuilder text =
        new StringBuilder(
            String.format(Locale.ROOT, "seed=%d cores=%d lasts=%d", seed, cores, lasts));
    troubles.forEach(fault -> text.append(' ').append(fault));
    return text.toString();
  }
}
