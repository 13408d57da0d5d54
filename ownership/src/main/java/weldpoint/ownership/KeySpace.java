package weldpoint.ownership;

/**
 * The shard keys of partitioned services, and the slots (groups of adjacent keys) in which load is
 * counted.
 */
public final class KeySpace {
  /** Number of keys, starting at 0. */
  public static final int KEYS = 65_536;

  /** Number of adjacent keys in a slot; ranges begin and end at slot boundaries. */
  public static final int SLOT_KEYS = 64;

  /** Number of slots. */
  public static final int SLOTS = KEYS / SLOT_KEYS;

  /** Returned by {@link #parse} for a text that is not a key. */
  public static final int NO_KEY = -1;

  private static final int MAX_DIGITS = 5;

  private KeySpace() {}

  /** Returns the slot of a key. */
  public static int slot(final int key) {
    return key / SLOT_KEYS;
  }

  /** Returns the first key of a slot. */
  public static int firstKey(final int slot) {
    return slot * SLOT_KEYS;
  }

  /** Returns the last key of a slot. */
  public static int lastKey(final int slot) {
    return slot * SLOT_KEYS + SLOT_KEYS - 1;
  }

  /**
   * Parses a key from a request header, a decimal number of up to five digits; returns {@link
   * #NO_KEY} for anything else.
   */
  public static int parse(final String text) {
    final String digits = text == null ? "" : text.strip();
    if (digits.isEmpty() || digits.length() > MAX_DIGITS) {
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
