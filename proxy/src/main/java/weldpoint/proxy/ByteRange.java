package weldpoint.proxy;

/**
 * The part of a body that a client requested: a single range with an explicit first byte. Any other
 * form means the whole body.
 *
 * @param first the first byte
 * @param end the byte after the last
 * @param unsatisfiable whether the range begins beyond the end of the body
 */
record ByteRange(int first, int end, boolean unsatisfiable) {
  static ByteRange of(final String range, final int length) {
    final ByteRange whole = new ByteRange(0, length, false);
    if (range == null || !range.regionMatches(true, 0, "bytes=", 0, 6)) {
      return whole;
    }
    final String text = range.substring(6).strip();
    final int dash = text.indexOf('-');
    if (dash < 1 || text.indexOf(',') >= 0) {
      return whole;
    }
    try {
      final long first = Long.parseLong(text.substring(0, dash).strip());
      final String rest = text.substring(dash + 1).strip();
      final long last = rest.isEmpty() ? Long.MAX_VALUE - 1 : Long.parseLong(rest);
      if (first < 0 || last < first) {
        return whole;
      }
      return first >= length
          ? new ByteRange(length, length, true)
          : new ByteRange((int) first, (int) Math.min(length, last + 1), false);
    } catch (final NumberFormatException malformed) {
      return whole;
    }
  }
}
