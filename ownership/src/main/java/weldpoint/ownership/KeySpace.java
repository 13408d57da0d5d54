package weldpoint.ownership;

/** The keys that a divided service is divided by, and the slots in which their load is counted. */
public final class KeySpace {
  /** How many keys there are, from 0 on. */
  public static final int KEYS = 65_536;

  /** How many neighbouring keys make a slot; ranges begin and end with slots. */
  public static final int SLOT_KEYS = 64;

  /** How many slots there are. */
  public static final int SLOTS = KEYS / SLOT_KEYS;

  /** What {@link #parse} gives for a text that is no key. */
  public static final int NO_KEY = -1;

  private static final int MOST_DIGITS = 5;

  private KeySpace() {}

  /** The slot of a key. */
  public static int slot(final int key) {
    return key / SLOT_KEYS;
  }

  /** The first key of a slot. */
  public static int firstKey(final int slot) {
    return slot * SLOT_KEYS;
  }

  /** The last key of a slot. */
  public static int lastKey(final int slot) {
    return slot * SLOT_KEYS + SLOT_KEYS - 1;
  }

  /** Reads a key as a request bears it: a decimal number; {@link #NO_KEY} for anything else. */
  public static int parse(final String text) {
    final String digits = text == null ? "" : text.strip();
    if (digits.isEmpty() || digits.length() > MOST_DIGITS) {
      return NO_KEY;
    }
    int key = 0;
    for (int index = 0; index < digits.length(); index++) {
      final char digit = digits.charAt(index);
      if (digit < '0' || digit > '9') {
        return NO_KEY;
      }
      key = key * 10 + digit - '0';
    }
    return key < KEYS ? key : NO_KEY;
  }
}
